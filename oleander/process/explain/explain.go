// Package explain reconstructs the timeline of a request from the log lines of all
// processes: the lines of the request in order of time, each preceded by the latest
// lines about the configuration, the lease, the store, what a backend server said about
// itself, the backend server, the account's limit and the model that show the state which
// its process acted on. A summary of the outcome follows.
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

// statePrefixes are the message prefixes of lines about the state of a process. A line
// belongs to the longest prefix that it has.
var statePrefixes = []string{"config: ", schedulingMessage, "lease: ", "store: ", "feedback: ", "evacuation: "}

const (
	schedulingMessage = "config: load scheduling"
	limitMessage      = "config: limit of an account"
	orderMessage      = "placer: order"
)

// Kinds of state that are not told apart by prefix.
const (
	kindServer = "server"
	kindLimit  = "limit" // of the request's account
	kindOrder  = "order" // about the request's model
)

// line is a parsed log line.
type line struct {
	Time     time.Time
	Instance string
	Request  string
	Server   string
	Message  string
	raw      map[string]any
}

// Timeline collects the log lines that concern one request.
type Timeline struct {
	requestID       string
	requestLines    []line
	stateLines      []line // lines without a request, of all processes
	UnreadableLines int
	dropNotices     int
}

// New returns the empty timeline of a request.
func New(id string) *Timeline { return &Timeline{requestID: id} }

// Read adds all lines of r.
func (t *Timeline) Read(r io.Reader) error {
	unreadable, err := logline.ForEach(r, t.addLine)
	t.UnreadableLines += unreadable
	return errors.Wrap(err, "explain")
}

// addLine adds a line and reports whether it could be parsed.
func (t *Timeline) addLine(text []byte) bool {
	var raw map[string]any
	if err := json.Unmarshal(text, &raw); err != nil {
		return false
	}
	parsed := line{Instance: stringField(raw, "instance"), Request: stringField(raw, "request"), Server: stringField(raw, "server"), Message: stringField(raw, "message"), raw: raw}
	if at, err := time.Parse(time.RFC3339Nano, stringField(raw, "time")); err == nil {
		parsed.Time = at
	}
	switch {
	case parsed.Request == t.requestID:
		t.requestLines = append(t.requestLines, parsed)
	case strings.HasPrefix(parsed.Message, logline.DroppedLinesPrefix):
		t.dropNotices++
	case parsed.Request == "":
		t.stateLines = append(t.stateLines, parsed)
	}
	return true
}

func stringField(raw map[string]any, name string) string {
	text, _ := raw[name].(string)
	return text
}

// Write writes the timeline.
func (t *Timeline) Write(w io.Writer) error {
	var b strings.Builder
	t.write(&b)
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "explain: write")
}

func (t *Timeline) write(b *strings.Builder) {
	byTime := func(x, y line) int { return cmp.Compare(x.Time.UnixNano(), y.Time.UnixNano()) }
	slices.SortStableFunc(t.requestLines, byTime)
	slices.SortStableFunc(t.stateLines, byTime)
	if len(t.requestLines) == 0 {
		fmt.Fprintf(b, "no line of request %s: it reached none of these processes, or its lines were left out\n", t.requestID)
	}
	summary := ""
	for _, l := range t.requestLines {
		if l.Message == endedMessage {
			summary = summarize(l.raw)
		}
		for _, c := range t.stateBefore(l) {
			fmt.Fprintf(b, "    believed  %s\n", c)
		}
		fmt.Fprintf(b, "%s\n", l)
	}
	if summary != "" {
		fmt.Fprintf(b, "summary: %s\n", summary)
	}
	if t.dropNotices > 0 {
		fmt.Fprintf(b, "%d lines say that others were left out: the timeline may have gaps\n", t.dropNotices)
	}
	if t.UnreadableLines > 0 {
		fmt.Fprintf(b, "%d lines could not be read\n", t.UnreadableLines)
	}
}

// stateBefore returns the latest state line of each kind that l's process logged
// before l, and the latest line of any process about the server and the model that l names.
func (t *Timeline) stateBefore(l line) []line {
	newest := make(map[string]line)
	for _, c := range t.stateLines {
		if c.Time.After(l.Time) {
			break
		}
		if kind := stateKind(c, l); kind != "" && c.Instance == l.Instance {
			newest[kind] = c
		}
		if l.Server != "" && c.Server == l.Server {
			newest[kindServer] = c
		}
		if model := stringField(l.raw, "model"); c.Message == orderMessage && model != "" && stringField(c.raw, "model") == model {
			newest[kindOrder] = c
		}
	}
	var state []line
	shown := make(map[string]bool) // a line may be of several kinds
	for _, kind := range append(slices.Clone(statePrefixes), kindLimit, kindOrder, kindServer) {
		if c, ok := newest[kind]; ok && !shown[c.String()] {
			shown[c.String()] = true
			state = append(state, c)
		}
	}
	return state
}

// stateKind returns the kind of state that a line about c's own process has, or "" if it
// does not matter to l.
func stateKind(c, l line) string {
	if c.Message == limitMessage {
		if account := stringField(l.raw, "account"); account == "" || stringField(c.raw, "account") != account {
			return ""
		}
		return kindLimit
	}
	longest := ""
	for _, prefix := range statePrefixes {
		if strings.HasPrefix(c.Message, prefix) && len(prefix) > len(longest) {
			longest = prefix
		}
	}
	return longest
}

// String formats a line for people: time, process, message, and the other fields as
// name=value.
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
