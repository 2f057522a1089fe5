package logs

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// safeBuffer is a buffer that can be read while another goroutine writes to it.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// TestLineBudget checks that info lines beyond the budget of a second are dropped and
// counted by message, and that a warning logged after them is kept.
func TestLineBudget(t *testing.T) {
	var out safeBuffer
	w := New(&out)
	start := time.Now()
	w.now = func() time.Time { return start }
	log := zerolog.New(w)
	for range 10 * maxInfoLines {
		log.Info().Msg("front: request ended")
		time.Sleep(time.Microsecond) // gives the writer time to empty the queue
	}
	log.Warn().Msg("front: attempt broke")
	start = start.Add(window)
	log.Info().Msg("next second")
	w.Close()
	text := out.String()
	if n := strings.Count(text, "request ended\"}"); n > maxInfoLines {
		t.Errorf("%d lines", n)
	}
	for _, want := range []string{"attempt broke", "next second", `"lines":{"front: request ended":`} {
		if !strings.Contains(text, want) {
			t.Errorf("%s is missing", want)
		}
	}
	if w.DroppedLines() < 9*maxInfoLines {
		t.Errorf("%d lines dropped", w.DroppedLines())
	}
}

// TestWriteNeverBlocks checks that logging does not block when nobody reads the output.
func TestWriteNeverBlocks(t *testing.T) {
	reader, out := io.Pipe()
	w := New(out)
	log := zerolog.New(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 5 * queueLength {
			log.Error().Msg("x")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocked on the output")
	}
	_ = reader.Close()
	w.Close()
}

// TestBudgetPerComponent checks that a component that logs many long lines is limited
// to its budget of bytes, and that the lines of another component are kept.
func TestBudgetPerComponent(t *testing.T) {
	var out safeBuffer
	w := New(&out)
	start := time.Now()
	w.now = func() time.Time { return start }
	log := zerolog.New(w)
	const long = 8 << 10
	for range maxInfoLines {
		log.Info().Str("detail", strings.Repeat("x", long)).Msg("front: request ended")
		time.Sleep(time.Microsecond)
	}
	for range maxInfoLines {
		log.Info().Msg("front: attempt ended")
	}
	log.Info().Msg("lease: taken")
	w.Close()
	text := out.String()
	if n := strings.Count(text, strings.Repeat("x", long)); n == 0 || n > maxComponentBytes/long {
		t.Errorf("%d long lines", n)
	}
	if !strings.Contains(text, "lease: taken") {
		t.Error("the line of another component was dropped")
	}
}

// TestDependency checks that a hundred failed calls of a dependency are logged as one
// line for the loss, and one line when it is available again.
func TestDependency(t *testing.T) {
	var out safeBuffer
	log := zerolog.New(&out)
	table, engines := NewDependency(log, "table"), NewDependencies(log, "engine")
	for _, ok := range []bool{true, false, true} {
		for range 100 {
			table.RecordResult(ok)
			engines.RecordResult("e1", ok)
			engines.RecordResult("e2", true)
		}
	}
	want := `{"level":"warn","dependency":"table","message":"store: lost"}
{"level":"warn","dependency":"engine","server":"e1","message":"servers: lost"}
{"level":"info","dependency":"table","message":"store: reached again"}
{"level":"info","dependency":"engine","server":"e1","message":"servers: reached again"}
`
	if out.String() != want {
		t.Errorf("got\n%s", out.String())
	}
}
