package budget

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

var testSettings = Settings{Window: 10 * time.Second, Ratio: 0.2, Allowance: 58}

// Every request fails and every instance repeats as often as it may, for half a
// minute. In no ten seconds do all of them together repeat more than the ratio
// and the allowance.
func TestSumOverInstances(t *testing.T) {
	const instances, perSecond = 9, 10
	var all []*Budget
	for range instances {
		all = append(all, New(testSettings))
	}
	const step = 100 * time.Millisecond
	var repeats, requests []int
	now := clock.Time(time.Hour)
	for range 300 {
		now = now.Add(step)
		r, n := 0, 0
		for _, b := range all {
			b.RecordRequest(now, "g")
			n++
			for b.TryRetry(now, "g", instances) {
				r++
			}
		}
		repeats, requests = append(repeats, r), append(requests, n)
	}
	const window = 100 // steps
	for end := window; end <= len(repeats); end++ {
		r, n := 0, 0
		for i := end - window; i < end; i++ {
			r += repeats[i]
			n += requests[i]
		}
		if limit := testSettings.Ratio*float64(n) + testSettings.Allowance; float64(r) > limit {
			t.Fatalf("%d repeats of %d requests in the window that ends at step %d, more than %.0f", r, n, end, limit)
		}
	}
}

func TestRepeat(t *testing.T) {
	tests := []struct {
		name      string
		requests  int
		instances int
		want      int // repeats allowed
	}{
		{"allowance alone", 0, 1, 46},
		{"a share of the allowance", 0, 9, 5},
		{"ratio of the requests", 100, 9, 21},
		{"no instance known counts as one", 0, 0, 46},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			b := New(testSettings)
			now := clock.Time(time.Hour)
			for range tc.requests {
				b.RecordRequest(now, "g")
			}
			got := 0
			for b.TryRetry(now, "g", tc.instances) {
				got++
			}
			if got != tc.want {
				t.Errorf("%d repeats, want %d", got, tc.want)
			}
			if b.TryRetry(now.Add(9*time.Second), "g", tc.instances) {
				t.Error("a repeat within the window")
			}
			if tc.requests == 0 && !b.TryRetry(now.Add(11*time.Second), "g", tc.instances) {
				t.Error("no repeat after the window")
			}
		})
	}
}
