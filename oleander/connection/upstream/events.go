package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxLineBytes limits the length of a line of a stream.
const maxLineBytes = 1 << 20

// endMarker is the data of the event that ends a complete stream.
const endMarker = "[DONE]"

// ErrTruncated means that a stream ended without its end marker, so the response
// is incomplete.
var ErrTruncated = errors.New("the stream ended without its end marker")

// Event is one server-sent event of an engine.
type Event struct {
	Offset int    // token offset of the event; -1 if it carries none
	Data   []byte // the last data line of the event
	End    bool   // the event is the end marker
}

// EventReader reads the server-sent events of an engine's response.
type EventReader struct{ lines *bufio.Scanner }

// NewEventReader returns an EventReader that reads from r.
func NewEventReader(r io.Reader) *EventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &EventReader{lines: s}
}

// Next returns the next event that has data. At the end of the input it returns
// ErrTruncated, also after the end marker: the caller stops there.
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

// parseField parses one line of an event into ev. It reports whether the line is a
// data line.
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
