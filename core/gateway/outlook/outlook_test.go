package outlook

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	start   = clock.Time(time.Hour)
	silence = 700 * time.Millisecond
	quiet   = 3 * time.Second
)

func at(ms int) clock.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// What an instance expects of a model, by what it heard of the holder of the
// lease and how long ago.
func TestExpect(t *testing.T) {
	tests := []struct {
		name  string
		heard func(o *Tracker[string])
		now   int // ms
		want  Expectation
	}{
		{"nothing was heard", func(*Tracker[string]) {}, 0, Expectation{NoHolder: true}},
		{"the holder is there and said nothing of the model",
			func(o *Tracker[string]) { o.RecordHolder(at(0), at(1000), at(0)) }, 500, Expectation{}},
		{"the holder forecast it",
			func(o *Tracker[string]) { o.RecordForecast(at(0), "m", at(4000)) }, 400, Expectation{Ready: at(4000)}},
		{"the forecast is old", func(o *Tracker[string]) {
			o.RecordHolder(at(500), at(1500), at(0))
			o.RecordForecast(at(0), "m", at(4000))
		}, 600, Expectation{}},
		{"the holder is in its quiet time",
			func(o *Tracker[string]) { o.RecordHolder(at(0), at(1000), at(2000)) }, 500, Expectation{Ready: at(2450)}},
		{"the holder is silent, and its right not over",
			func(o *Tracker[string]) { o.RecordHolder(at(0), at(1000), at(0)) }, 800, Expectation{Ready: at(4450), NoHolder: true}},
		{"the holder is silent, and the quiet time over",
			func(o *Tracker[string]) { o.RecordHolder(at(0), at(1000), at(0)) }, 4000, Expectation{NoHolder: true}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			o := New[string](Settings{HolderTimeout: silence, QuietPeriod: quiet})
			tc.heard(o)
			if got := o.Expect(at(tc.now), "m"); got != tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// A request waits while its model is expected before its caller leaves, and is
// refused at once otherwise.
func TestDecide(t *testing.T) {
	patience := WaitWindow{Arrived: at(0), End: at(2000)}
	tests := []struct {
		name   string
		now    int
		expect Expectation
		refuse bool
		retry  time.Duration
		look   int
	}{
		{"expected in time", 100, Expectation{Ready: at(1500)}, false, 0, 2000},
		{"expected too late", 100, Expectation{Ready: at(3600)}, true, 3500 * time.Millisecond, 0},
		{"expected a moment after the caller leaves", 1900, Expectation{Ready: at(2050)}, true, retryLeast, 0},
		{"no forecast, and the holder gives orders", 1900, Expectation{}, false, 0, 2000},
		{"no forecast, and the caller leaves", 2000, Expectation{}, true, retryBlind, 0},
		{"the forecast was wrong, and the caller leaves", 2000, Expectation{Ready: at(1500)}, true, retryBlind, 0},
		{"nobody gives orders", 100, Expectation{NoHolder: true}, false, 0, 1000},
		{"nobody gives orders for half of the patience", 1000, Expectation{NoHolder: true}, true, retryBlind, 0},
		{"orders can't be given in time", 100, Expectation{Ready: at(4450), NoHolder: true}, true, 4350 * time.Millisecond, 0},
		{"orders may be given in time", 1200, Expectation{Ready: at(1900), NoHolder: true}, false, 0, 2000},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			want := Decision{Refuse: tc.refuse, RetryAfter: tc.retry}
			if !tc.refuse {
				want.RecheckAt = at(tc.look)
			}
			if got := Decide(at(tc.now), patience, tc.expect); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

func TestExpire(t *testing.T) {
	o := New[string](Settings{HolderTimeout: silence, QuietPeriod: quiet})
	o.RecordForecast(at(0), "old", at(9000))
	o.RecordForecast(at(400), "new", at(9000))
	o.Expire(at(600))
	if len(o.forecasts) != 1 {
		t.Errorf("%d forecasts kept, want one", len(o.forecasts))
	}
}
