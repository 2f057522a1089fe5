// Package logs writes structured lines without ever holding up whoever writes
// them: lines wait in a bounded queue, and each part of the program has a budget
// of lines and bytes a second. What goes beyond is counted, and a line a second
// tells how many of which message were left out. Refusals and failures are
// logged at a level of their own, so a flood of successes can't push them out;
// nor can the lines of one part push out those of another, such as who holds the
// lease.
package logs

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// queueLength bounds the lines that wait for a slow reader: about a second
	// of both budgets, 100 KB.
	queueLength = 400
	// infoLines and warnLines are what a part writes in a second. A line costs
	// 2 microseconds of a core, so a part stays below 0.1% of one.
	maxInfoLines = 200
	maxWarnLines = 200
	// partBytes is the same in bytes: lines of 300 to 400 bytes use up both
	// budgets alike, longer ones are fewer.
	maxComponentBytes = 128 << 10
	// maxParts bounds the parts that have a budget of their own.
	maxComponents = 32
	// errorLines are for faults of the program itself.
	maxErrorLines = 50
	window        = time.Second
)

// TimeFormat is that of the lines: a request's story plays in milliseconds.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Writer is a zerolog.LevelWriter.
type Writer struct {
	out   io.Writer
	queue chan []byte
	done  chan struct{}
	now   func() time.Time

	mu           sync.Mutex
	windowStart  time.Time
	used         map[string]*usage // by part
	dropped      map[string]int    // by message
	droppedTotal int64
}

// usage is what a part wrote in the current second.
type usage struct {
	lines map[zerolog.Level]int
	bytes int
}

// New returns a Writer to out; Close writes what waits.
func New(out io.Writer) *Writer {
	w := &Writer{
		out: out, queue: make(chan []byte, queueLength), done: make(chan struct{}), now: time.Now,
		used: make(map[string]*usage), dropped: make(map[string]int),
	}
	go w.writeQueue()
	return w
}

// drain is the only one that waits for out.
func (w *Writer) writeQueue() {
	defer close(w.done)
	for line := range w.queue {
		// There is nobody to tell if standard output is gone.
		_, _ = w.out.Write(line)
	}
}

// Close writes the lines that wait, for at most a window.
func (w *Writer) Close() {
	w.mu.Lock()
	w.writeDropNotice()
	close(w.queue)
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(window):
	}
}

// Write implements io.Writer.
func (w *Writer) Write(p []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel implements zerolog.LevelWriter. It never waits.
func (w *Writer) WriteLevel(l zerolog.Level, p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := w.now(); now.Sub(w.windowStart) >= window {
		w.writeDropNotice()
		w.windowStart = now
		clear(w.used)
	}
	used := w.usageFor(component(p))
	if used.lines[l] >= lineBudget(l) || used.bytes+len(p) > maxComponentBytes {
		w.drop(p)
		return len(p), nil
	}
	used.lines[l]++
	used.bytes += len(p)
	select {
	case w.queue <- bytes.Clone(p):
	default:
		w.drop(p)
	}
	return len(p), nil
}

func (w *Writer) usageFor(part string) *usage {
	if u := w.used[part]; u != nil {
		return u
	}
	if len(w.used) >= maxComponents {
		part = ""
	}
	u := w.used[part]
	if u == nil {
		u = &usage{lines: make(map[zerolog.Level]int)}
		w.used[part] = u
	}
	return u
}

// part returns the part of the program that wrote a line: what stands before
// the colon in its message.
func component(line []byte) string {
	name, _, found := strings.Cut(message(line), ":")
	if !found {
		return ""
	}
	return name
}

func lineBudget(l zerolog.Level) int {
	switch {
	case l >= zerolog.ErrorLevel:
		return maxErrorLines
	case l == zerolog.WarnLevel:
		return maxWarnLines
	}
	return maxInfoLines
}

// Omitted returns how many lines were left out so far.
func (w *Writer) DroppedLines() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}

func (w *Writer) drop(line []byte) {
	w.droppedTotal++
	w.dropped[message(line)]++
}

// message returns the message of a line, which says what kind it is.
func message(line []byte) string {
	const field = `"message":"`
	i := bytes.LastIndex(line, []byte(field))
	if i < 0 {
		return ""
	}
	text := line[i+len(field):]
	if end := bytes.IndexByte(text, '"'); end >= 0 {
		text = text[:end]
	}
	return string(text)
}

// omittedLine tells what was left out in a second.
type dropNotice struct {
	Level   string         `json:"level"`
	Lines   map[string]int `json:"lines"`
	Time    time.Time      `json:"time"`
	Message string         `json:"message"`
}

// flush tells what was left out. The caller holds mu.
func (w *Writer) writeDropNotice() {
	if len(w.dropped) == 0 {
		return
	}
	line, err := json.Marshal(dropNotice{Level: "warn", Lines: w.dropped, Time: w.now(), Message: "logs: lines left out"})
	if err != nil {
		return // a map of texts and numbers can always be encoded
	}
	select {
	case w.queue <- append(line, '\n'):
		clear(w.dropped)
	default: // told in the next second
	}
}
