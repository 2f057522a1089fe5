package budget

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

var testSettings = Settings{Window: 10 * time.Second, Ratio: 0.2, Allowance: 58}

// For half a minute every request fails and every instance retries as often as its budget
// allows. In any window of ten seconds the retries of all instances together stay within
// the ratio and the allowance.
func TestRetriesOverAllInstances(t *testing.T) {
	const instances, perSecond = 9, 10
	var budgets []*Budget
	for range instances {
		budgets = append(budgets, New(testSettings))
	}
	const step = 100 * time.Millisecond
	var retriesPerStep, requestsPerStep []int
	now := clock.Time(time.Hour)
	for range 300 {
		now = now.Add(step)
		retries, requests := 0, 0
		for _, b := range budgets {
			b.RecordRequest(now, "g")
			requests++
			for b.TryRetry(now, "g", instances) {
				retries++
			}
		}
		retriesPerStep, requestsPerStep = append(retriesPerStep, retries), append(requestsPerStep, requests)
	}
	const window = 100 // steps
	for end := window; end <= len(retriesPerStep); end++ {
		retries, requests := 0, 0
		for i := end - window; i < end; i++ {
			retries += retriesPerStep[i]
			requests += requestsPerStep[i]
		}
		if limit := testSettings.Ratio*float64(requests) + testSettings.Allowance; float64(retries) > limit {
			t.Fatalf("%d retries of %d requests in the window ending at step %d, want at most %.0f", retries, requests, end, limit)
		}
	}
}

func TestTryRetry(t *testing.T) {
	tests := []struct {
		name      string
		requests  int
		instances int
		want      int // retries allowed
	}{
		{"allowance alone", 0, 1, 46},
		{"share of the allowance", 0, 9, 5},
		{"ratio of the requests", 100, 9, 21},
		{"no known instance counts as one", 0, 0, 46},
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
				t.Errorf("%d retries allowed, want %d", got, tc.want)
			}
			if b.TryRetry(now.Add(9*time.Second), "g", tc.instances) {
				t.Error("another retry allowed within the window")
			}
			if tc.requests == 0 && !b.TryRetry(now.Add(11*time.Second), "g", tc.instances) {
				t.Error("no retry allowed after the window")
			}
		})
	}
}
