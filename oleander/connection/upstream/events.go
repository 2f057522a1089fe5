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
const doneData = "[DONE]"

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
func (p *EventReader) Next() (Event, error) {
	part := Event{Offset: -1}
	some := false
	for p.lines.Scan() {
		line := p.lines.Bytes()
		if len(line) == 0 {
			if some {
				return part, nil
			}
			continue
		}
		if p.field(line, &part) {
			some = true
		}
	}
	if err := p.lines.Err(); err != nil {
		return Event{}, errors.Wrap(err, "read the stream")
	}
	return Event{}, ErrTruncated
}

// field takes one line of an event; it reports whether it was data.
func (p *EventReader) field(line []byte, part *Event) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if n, err := strconv.Atoi(string(value)); err == nil && n >= 0 {
			part.Offset = n
		}
	case "data":
		part.Data = append([]byte(nil), value...)
		part.End = string(value) == doneData
		return true
	}
	return false
}
