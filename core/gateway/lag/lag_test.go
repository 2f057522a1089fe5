package lag

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

const start = clock.Time(time.Hour)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func TestLateTimersAreMeasured(t *testing.T) {
	var m Meter
	if got := m.Since(start, 0); got != 0 {
		t.Errorf("lag %v before the first tick", got)
	}
	now := start
	for range 10 {
		m.Ticked(now, 0)
		now = now.Add(Interval)
	}
	if got := m.Since(now, now.Add(-ms(300))); got != 0 {
		t.Errorf("lag %v of timers on time", got)
	}
	if got := m.Since(now.Add(ms(70)), now); got != ms(70) {
		t.Errorf("lag %v while a tick is 70 ms late", got)
	}
	m.Ticked(now.Add(ms(80)), 0)
	if got := m.Since(now.Add(ms(90)), now); got != ms(80) {
		t.Errorf("lag %v right after a tick that was 80 ms late", got)
	}
	for now = now.Add(ms(100)); now < start.Add(ms(800)); now = now.Add(Interval) {
		m.Ticked(now, 0)
	}
	if got := m.Since(now, now.Add(-ms(300))); got != 0 {
		t.Errorf("lag %v long after it", got)
	}
}

// Guards against an instance that thinks it is on time while its requests wait for each other.
func TestWaitsOfGoroutinesAreMeasured(t *testing.T) {
	var m Meter
	m.Ticked(start, ms(90))
	m.Ticked(start.Add(Interval), ms(50))
	if got := m.Processor(start.Add(Interval), start); got != ms(50) {
		t.Errorf("lag %v, want that of the goroutines since the start", got)
	}
	m.Ticked(start.Add(2*Interval+ms(70)), ms(1))
	if got := m.Processor(start.Add(2*Interval+ms(70)), start.Add(2*Interval)); got != ms(70) {
		t.Errorf("lag %v, want that of the timer", got)
	}
}

func TestQuickestAnswerCounts(t *testing.T) {
	var m Meter
	for i := range minTrips - 1 {
		m.Answered(start.Add(ms(i)), ms(100+i))
	}
	if got := m.Since(start.Add(ms(20)), 0); got != 0 {
		t.Errorf("lag %v from few answers", got)
	}
	m.Answered(start.Add(ms(20)), ms(500))
	if got := m.Since(start.Add(ms(20)), 0); got != ms(100) {
		t.Errorf("lag %v, want that of the quickest answer", got)
	}
	m.Answered(start.Add(ms(30)), ms(2))
	if got := m.Since(start.Add(ms(30)), 0); got != ms(2) {
		t.Errorf("lag %v beside one quick answer", got)
	}
	if got := m.Since(start.Add(tripMemory+ms(40)), 0); got != 0 {
		t.Errorf("lag %v of old answers", got)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	var m Meter
	for range 10 * maxSamples {
		m.Answered(start, ms(1))
	}
	if len(m.trips) > maxSamples {
		t.Errorf("%d answers remembered", len(m.trips))
	}
}
