package schedwait

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

func TestWaitsForTheProcessorAreMeasured(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	m := New()
	var busy sync.WaitGroup
	for range 200 { // one wait in eight is recorded
		busy.Go(func() {
			for end := time.Now().Add(2 * time.Millisecond); time.Now().Before(end); {
				continue
			}
		})
	}
	busy.Wait()
	if got := m.Longest(); got < 50*time.Millisecond {
		t.Errorf("longest wait %v while 200 goroutines needed the processor for 2 ms each", got)
	}
	if got := m.Longest(); got > 50*time.Millisecond {
		t.Errorf("longest wait %v right after", got)
	}
}
