// Package explain finds a request's story in the log lines of all processes:
// its own lines in order of time, and before each the newest lines that say
// what its process believed about configuration, lease, store and the backend
// server it used.
package explain

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/oleander/process/logline"
)

// beliefs are the beginnings of messages that say what a process believes.
var statePrefixes = []string{"config: ", "lease: ", "store: "}

// line is one line of a log.
type line struct {
	Time     time.Time
	Instance string
	Request  string
	Server   string
	Message  string
	raw      map[string]any
}

// Story is what the logs say of one request.
type Timeline struct {
	requestID       string
	requestLines    []line
	stateLines      []line // of all processes
	UnreadableLines int
	dropNotices     int
}

// New returns the empty story of a request.
func New(id string) *Timeline { return &Timeline{requestID: id} }

// Read takes all lines of r.
func (s *Timeline) Read(r io.Reader) error {
	unreadable, err := logline.ForEach(r, s.addLine)
	s.UnreadableLines += unreadable
	return errors.Wrap(err, "explain")
}

// take takes a line, and reports whether it could be read.
func (s *Timeline) addLine(text []byte) bool {
	var raw map[string]any
	if err := json.Unmarshal(text, &raw); err != nil {
		return false
	}
	parsed := line{Instance: stringField(raw, "instance"), Request: stringField(raw, "request"), Server: stringField(raw, "server"), Message: stringField(raw, "message"), raw: raw}
	if t, err := time.Parse(time.RFC3339Nano, stringField(raw, "time")); err == nil {
		parsed.Time = t
	}
	switch {
	case parsed.Request == s.requestID:
		s.requestLines = append(s.requestLines, parsed)
	case strings.HasPrefix(parsed.Message, logline.DroppedLinesPrefix):
		s.dropNotices++
	case parsed.Request == "":
		s.stateLines = append(s.stateLines, parsed)
	}
	return true
}

func stringField(raw map[string]any, name string) string {
	text, _ := raw[name].(string)
	return text
}

// Write writes the story.
func (s *Timeline) Write(w io.Writer) error {
	var b strings.Builder
	s.write(&b)
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "explain: write")
}

func (s *Timeline) write(b *strings.Builder) {
	byTime := func(x, y line) int { return cmp.Compare(x.Time.UnixNano(), y.Time.UnixNano()) }
	slices.SortStableFunc(s.requestLines, byTime)
	slices.SortStableFunc(s.stateLines, byTime)
	if len(s.requestLines) == 0 {
		fmt.Fprintf(b, "no line of request %s: it reached none of these processes, or its lines were left out\n", s.requestID)
	}
	for _, l := range s.requestLines {
		for _, c := range s.stateBefore(l) {
			fmt.Fprintf(b, "    believed  %s\n", c)
		}
		fmt.Fprintf(b, "%s\n", l)
	}
	if s.dropNotices > 0 {
		fmt.Fprintf(b, "%d lines say that others were left out: the story may have gaps\n", s.dropNotices)
	}
	if s.UnreadableLines > 0 {
		fmt.Fprintf(b, "%d lines could not be read\n", s.UnreadableLines)
	}
}

// before returns the newest belief of each kind that l's process held, and the
// newest line of any process about the server that l names.
func (s *Timeline) stateBefore(l line) []line {
	newest := make(map[string]line)
	for _, c := range s.stateLines {
		if c.Time.After(l.Time) {
			break
		}
		for _, prefix := range statePrefixes {
			if c.Instance == l.Instance && strings.HasPrefix(c.Message, prefix) {
				newest[prefix] = c
			}
		}
		if l.Server != "" && c.Server == l.Server {
			newest["server"] = c
		}
	}
	var state []line
	for _, kind := range append(slices.Clone(statePrefixes), "server") {
		if c, ok := newest[kind]; ok {
			state = append(state, c)
		}
	}
	return state
}

// String writes a line for people: time, process, message, and the rest as
// pairs.
func (l line) String() string {
	var pairs []string
	for name, v := range l.raw {
		switch name {
		case "time", "instance", "message", "level", "request":
		default:
			pairs = append(pairs, fmt.Sprintf("%s=%v", name, v))
		}
	}
	slices.Sort(pairs)
	return fmt.Sprintf("%s %s %s  %s", l.Time.Format("15:04:05.000"), l.Instance, l.Message, strings.Join(pairs, " "))
}
