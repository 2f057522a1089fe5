package outlook

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	start         = clock.Time(time.Hour)
	holderTimeout = 700 * time.Millisecond
	quietPeriod   = 3 * time.Second
)

func at(ms int) clock.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// The expected time of a model depends on what was last heard of the lease holder, and
// how long ago.
func TestExpect(t *testing.T) {
	tests := []struct {
		name   string
		record func(tr *Tracker[string])
		now    int // ms
		want   Expectation
	}{
		{"nothing recorded", func(*Tracker[string]) {}, 0, Expectation{NoHolder: true}},
		{"holder heard, no forecast of the model",
			func(tr *Tracker[string]) { tr.RecordHolder(at(0), at(1000), at(0)) }, 500, Expectation{}},
		{"valid forecast",
			func(tr *Tracker[string]) { tr.RecordForecast(at(0), "m", at(4000)) }, 400, Expectation{Ready: at(4000)}},
		{"expired forecast", func(tr *Tracker[string]) {
			tr.RecordHolder(at(500), at(1500), at(0))
			tr.RecordForecast(at(0), "m", at(4000))
		}, 600, Expectation{}},
		{"holder in its quiet period",
			func(tr *Tracker[string]) { tr.RecordHolder(at(0), at(1000), at(2000)) }, 500, Expectation{Ready: at(2450)}},
		{"holder silent, lease not expired",
			func(tr *Tracker[string]) { tr.RecordHolder(at(0), at(1000), at(0)) }, 800, Expectation{Ready: at(4450), NoHolder: true}},
		{"holder silent, quiet period over",
			func(tr *Tracker[string]) { tr.RecordHolder(at(0), at(1000), at(0)) }, 4000, Expectation{NoHolder: true}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tr := New[string](Settings{HolderTimeout: holderTimeout, QuietPeriod: quietPeriod})
			tc.record(tr)
			if got := tr.Expect(at(tc.now), "m"); got != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// A request waits while its model is expected before its caller gives up, and is refused
// at once otherwise.
func TestDecide(t *testing.T) {
	window := WaitWindow{Arrived: at(0), End: at(2000)}
	tests := []struct {
		name    string
		now     int
		expect  Expectation
		refuse  bool
		retry   time.Duration
		recheck int
	}{
		{"expected in time", 100, Expectation{Ready: at(1500)}, false, 0, 2000},
		{"expected too late", 100, Expectation{Ready: at(3600)}, true, 3500 * time.Millisecond, 0},
		{"expected just after the caller gives up", 1900, Expectation{Ready: at(2050)}, true, minRetryAfter, 0},
		{"no forecast, holder gives orders", 1900, Expectation{}, false, 0, 2000},
		{"no forecast, caller gives up", 2000, Expectation{}, true, defaultRetryAfter, 0},
		{"forecast was wrong, caller gives up", 2000, Expectation{Ready: at(1500)}, true, defaultRetryAfter, 0},
		{"no holder", 100, Expectation{NoHolder: true}, false, 0, 1000},
		{"no holder for half of the wait window", 1000, Expectation{NoHolder: true}, true, defaultRetryAfter, 0},
		{"no holder, orders possible too late", 100, Expectation{Ready: at(4450), NoHolder: true}, true, 4350 * time.Millisecond, 0},
		{"no holder, orders possible in time", 1200, Expectation{Ready: at(1900), NoHolder: true}, false, 0, 2000},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			want := Decision{Refuse: tc.refuse, RetryAfter: tc.retry}
			if !tc.refuse {
				want.RecheckAt = at(tc.recheck)
			}
			if got := Decide(at(tc.now), window, tc.expect); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

func TestExpire(t *testing.T) {
	tr := New[string](Settings{HolderTimeout: holderTimeout, QuietPeriod: quietPeriod})
	tr.RecordForecast(at(0), "old", at(9000))
	tr.RecordForecast(at(400), "new", at(9000))
	tr.Expire(at(600))
	if len(tr.forecasts) != 1 {
		t.Errorf("%d forecasts kept, want 1", len(tr.forecasts))
	}
}
