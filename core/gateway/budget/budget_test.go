package budget

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

var testSettings = Settings{Window: 10 * time.Second, Ratio: 0.2, Allowance: 58}

// Guards against retries beyond the ratio and the allowance in some window, over all instances. For half a
// minute every request fails and every instance retries as often as its budget allows.
func TestRetriesOverAllInstances(t *testing.T) {
	for name, restarts := range map[string][]int{"no restart": nil, "all restarted": {150}, "all restarted twice": {130, 240}} {
		for _, perSecond := range []int{1, 10} {
			t.Run(fmt.Sprintf("%s, %d requests a second", name, perSecond), func(t *testing.T) { checkRetries(t, perSecond, restarts) })
		}
	}
}

// checkRetries restarts all instances in some steps. Each gets so many requests a second.
func checkRetries(t *testing.T, perSecond int, restarts []int) {
	const instances = 9
	now := clock.Time(time.Hour)
	start := func(at clock.Time) []*Budget {
		var budgets []*Budget
		for range instances {
			budgets = append(budgets, New(at, testSettings))
		}
		return budgets
	}
	budgets := start(0)
	const step = 100 * time.Millisecond
	var retriesPerStep, requestsPerStep []int
	for i := range 300 {
		now = now.Add(step)
		if slices.Contains(restarts, i) {
			budgets = start(now)
		}
		retries, requests := 0, 0
		for _, b := range budgets {
			if i%(10/perSecond) == 0 {
				b.RecordRequest(now, "g")
				requests++
			}
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
			b := New(0, testSettings)
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

// Guards against reserved retries that count twice, not at all, or for good.
func TestReservedRetriesCountUntilTheyAreReturned(t *testing.T) {
	b := New(0, Settings{Window: 10 * time.Second, Ratio: 0, Allowance: 10}) // eight, as four fifths are used
	now := clock.Time(time.Minute)
	r := b.Reserve(now, "g", 1, 3)
	if r.Left != 3 {
		t.Fatalf("%+v", r)
	}
	for range 5 {
		if !b.TryRetry(now, "g", 1) {
			t.Fatal("a retry beside the reserved ones is denied")
		}
	}
	if b.TryRetry(now, "g", 1) || b.Reserve(now, "g", 1, 1).Left > 0 {
		t.Fatal("more retries than the budget has")
	}
	r.Left--
	b.Return(r)
	for range 2 {
		if !b.TryRetry(now.Add(time.Second), "g", 1) {
			t.Fatal("a returned retry is denied")
		}
	}
	if b.TryRetry(now.Add(time.Second), "g", 1) {
		t.Fatal("the retry that was made counts no longer")
	}
	b.Return(r) // long after, it must not free retries of another window
	if b.TryRetry(now.Add(time.Minute), "g", 1); b.Reserve(now.Add(time.Minute), "g", 1, 8).Left > 0 {
		t.Fatal("an old reservation frees retries of a later window")
	}
	b.Return(Reservation{})
}
