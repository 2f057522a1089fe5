package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// doneData is the data of the event that ends a stream.
const endMarker = "[DONE]"

// ErrNoEnd says that a stream ended without its end marker: the answer is not
// whole, however much of it came.
var ErrTruncated = errors.New("the stream ended without its end marker")

// Part is one server-sent event of an engine.
type Event struct {
	Offset int    // token offset of the event; -1 if it carries none
	Data   []byte // valid until the next call of Next
	End    bool   // the end marker
}

// Parts reads the server-sent events of an engine's answer.
type EventReader struct{ lines *bufio.Scanner }

// NewParts reads from r.
func NewEventReader(r io.Reader) *EventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &EventReader{lines: s}
}

// Next returns the next part. It returns ErrNoEnd if the stream ended early.
func (r *EventReader) Next() (Event, error) {
	ev := Event{Offset: -1}
	hasData := false
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if hasData {
				return ev, nil
			}
			continue
		}
		if r.parseField(line, &ev) {
			hasData = true
		}
	}
	if err := r.lines.Err(); err != nil {
		return Event{}, errors.Wrap(err, "read the stream")
	}
	return Event{}, ErrTruncated
}

// field takes one line of an event; it reports whether it was data.
func (r *EventReader) parseField(line []byte, ev *Event) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if n, err := strconv.Atoi(string(value)); err == nil && n >= 0 {
			ev.Offset = n
		}
	case "data":
		ev.Data = append([]byte(nil), value...)
		ev.End = string(value) == endMarker
		return true
	}
	return false
}
