// Package logs writes structured log lines without blocking the caller. Lines go to
// a bounded queue, and each component of the program has a budget of lines and bytes
// per second. Lines beyond it are dropped and counted; once per second a notice
// reports how many lines of each message were dropped. Each level has its own budget
// of lines, so that many successes don't crowd out refusals and failures, and each
// component has its own, so that one can't crowd out the lines of another, such as
// those about the lease.
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
	// queueLength is the capacity of the queue in lines: one second of the info
	// and warn budgets of a component, about 100 KB.
	queueLength = 400
	// maxInfoLines and maxWarnLines are the budgets of a component per second. A
	// line costs 2 microseconds of CPU time, so a component uses less than 0.1%
	// of a core.
	maxInfoLines = 200
	maxWarnLines = 200
	// maxComponentBytes is the budget in bytes for all levels. Lines of 300 to
	// 400 bytes use up both budgets at the same time.
	maxComponentBytes = 128 << 10
	// maxComponents is the number of components with a separate budget; the others
	// share one.
	maxComponents = 32
	// maxErrorLines is the budget for errors, which are bugs in the program.
	maxErrorLines = 50
	window        = time.Second
)

// TimeFormat is the time format of log lines. It has milliseconds, since the events
// of one request are only milliseconds apart.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Writer is a zerolog.LevelWriter that drops lines instead of blocking.
type Writer struct {
	out   io.Writer
	queue chan []byte
	done  chan struct{}
	now   func() time.Time

	mu           sync.Mutex
	windowStart  time.Time
	used         map[string]*usage // by component
	dropped      map[string]int    // by message
	droppedTotal int64
}

// usage is what a component has written in the current second.
type usage struct {
	lines map[zerolog.Level]int
	bytes int
}

// New returns a Writer that writes to out until Close.
func New(out io.Writer) *Writer {
	w := &Writer{
		out: out, queue: make(chan []byte, queueLength), done: make(chan struct{}), now: time.Now,
		used: make(map[string]*usage), dropped: make(map[string]int),
	}
	go w.writeQueue()
	return w
}

// writeQueue writes queued lines to out; no other goroutine writes to it.
func (w *Writer) writeQueue() {
	defer close(w.done)
	for line := range w.queue {
		// A failure to write the log can't be reported anywhere.
		_, _ = w.out.Write(line)
	}
}

// Close writes the queued lines and returns after one second at the latest.
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

// WriteLevel implements zerolog.LevelWriter. It never blocks.
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

// usageFor returns the usage of a component, or the shared one if there are too many
// components.
func (w *Writer) usageFor(name string) *usage {
	if u := w.used[name]; u != nil {
		return u
	}
	if len(w.used) >= maxComponents {
		name = ""
	}
	u := w.used[name]
	if u == nil {
		u = &usage{lines: make(map[zerolog.Level]int)}
		w.used[name] = u
	}
	return u
}

// component returns the component that wrote a line: the text before the first colon
// of its message.
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

// DroppedLines returns the number of lines dropped so far.
func (w *Writer) DroppedLines() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}

func (w *Writer) drop(line []byte) {
	w.droppedTotal++
	w.dropped[message(line)]++
}

// message returns the message of a line. It is searched for from the end, where
// zerolog writes it.
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

// dropNotice is the log line that reports the lines dropped in a second.
type dropNotice struct {
	Level   string         `json:"level"`
	Lines   map[string]int `json:"lines"`
	Time    time.Time      `json:"time"`
	Message string         `json:"message"`
}

// writeDropNotice queues a line that reports the dropped lines. The caller holds mu.
func (w *Writer) writeDropNotice() {
	if len(w.dropped) == 0 {
		return
	}
	line, err := json.Marshal(dropNotice{Level: "warn", Lines: w.dropped, Time: w.now(), Message: "logs: lines left out"})
	if err != nil {
		return // can't happen: strings, numbers and a time in range always encode
	}
	select {
	case w.queue <- append(line, '\n'):
		clear(w.dropped)
	default: // the queue is full: reported with the next second
	}
}
