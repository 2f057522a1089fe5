package grace

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

const start = clock.Time(time.Hour)

// Guards against open requests that are ended before the last sixth of the grace period, in which a kill may end them anyway.
func TestNothingIsEndedBeforeTheLastSixth(t *testing.T) {
	for _, length := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 8 * time.Second, 30 * time.Second} {
		for _, late := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} {
			end := Begin(start, late, length).End()
			if end < start.Add(length*5/6) || end >= start.Add(length) {
				t.Errorf("%v, late %v: ends after %v", length, late, end.Sub(start))
			}
		}
	}
}

// Guards against requests that are accepted later than the platform excuses, as the signal was noticed late, and that the kill then cuts.
func TestLateNoticeAcceptsNothingLate(t *testing.T) {
	const length, excused = 8 * time.Second, 3 * time.Second
	for _, late := range []time.Duration{0, 250 * time.Millisecond, time.Second, 4 * time.Second, 10 * time.Second} {
		sent := start.Add(-late)
		p := Begin(start, late, length)
		for after := time.Duration(0); after < 8*time.Second; after += 10 * time.Millisecond {
			now := start.Add(after)
			for _, duration := range []time.Duration{100 * time.Millisecond, 2 * time.Second, 12 * time.Second} {
				if p.Accepts(now, duration) && now.Sub(sent) > excused && now.Add(duration) > sent.Add(length) {
					t.Errorf("late %v: accepts what may take %v, %v after the signal", late, duration, now.Sub(sent))
				}
			}
		}
	}
	if !Begin(start, 0, length).Accepts(start.Add(2*time.Second), 12*time.Second) {
		t.Error("a request right after the signal is not accepted")
	}
}
