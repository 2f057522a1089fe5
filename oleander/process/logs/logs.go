// Package logs writes structured lines without ever holding up whoever writes
// them: lines wait in a bounded queue, and each level has a budget of lines a
// second. What goes beyond is counted, and a line a second tells how many of
// which message were left out. Refusals and failures are logged at a level of
// their own, so a flood of successes can't push them out.
package logs

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// queueLength bounds the lines that wait for a slow reader: about a second
	// of both budgets, 100 KB.
	queueLength = 400
	// infoLines and warnLines are what a process writes in a second. A line
	// costs about 5 microseconds of a core, so both together stay below a
	// quarter of a percent of one.
	infoLines = 200
	warnLines = 200
	// errorLines are for faults of the program itself.
	errorLines = 50
	window     = time.Second
)

// TimeFormat is that of the lines: a request's story plays in milliseconds.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Writer is a zerolog.LevelWriter.
type Writer struct {
	out   io.Writer
	queue chan []byte
	done  chan struct{}
	now   func() time.Time

	mu      sync.Mutex
	since   time.Time
	used    map[zerolog.Level]int
	omitted map[string]int // by message
	total   int64
}

// New returns a Writer to out; Close writes what waits.
func New(out io.Writer) *Writer {
	w := &Writer{
		out: out, queue: make(chan []byte, queueLength), done: make(chan struct{}), now: time.Now,
		used: make(map[zerolog.Level]int), omitted: make(map[string]int),
	}
	go w.drain()
	return w
}

// drain is the only one that waits for out.
func (w *Writer) drain() {
	defer close(w.done)
	for line := range w.queue {
		// There is nobody to tell if standard output is gone.
		_, _ = w.out.Write(line)
	}
}

// Close writes the lines that wait, for at most a window.
func (w *Writer) Close() {
	w.mu.Lock()
	w.flush()
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
	if now := w.now(); now.Sub(w.since) >= window {
		w.flush()
		w.since = now
		clear(w.used)
	}
	if w.used[l] >= budget(l) {
		w.omit(p)
		return len(p), nil
	}
	w.used[l]++
	select {
	case w.queue <- bytes.Clone(p):
	default:
		w.omit(p)
	}
	return len(p), nil
}

func budget(l zerolog.Level) int {
	switch {
	case l >= zerolog.ErrorLevel:
		return errorLines
	case l == zerolog.WarnLevel:
		return warnLines
	}
	return infoLines
}

// Omitted returns how many lines were left out so far.
func (w *Writer) Omitted() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

func (w *Writer) omit(line []byte) {
	w.total++
	w.omitted[message(line)]++
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
type omittedLine struct {
	Level   string         `json:"level"`
	Lines   map[string]int `json:"lines"`
	Time    time.Time      `json:"time"`
	Message string         `json:"message"`
}

// flush tells what was left out. The caller holds mu.
func (w *Writer) flush() {
	if len(w.omitted) == 0 {
		return
	}
	line, err := json.Marshal(omittedLine{Level: "warn", Lines: w.omitted, Time: w.now(), Message: "logs: lines left out"})
	if err != nil {
		return // a map of texts and numbers can always be encoded
	}
	select {
	case w.queue <- append(line, '\n'):
		clear(w.omitted)
	default: // told in the next second
	}
}
