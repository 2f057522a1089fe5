package eviction

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

const start = clock.Time(time.Hour)

// stateAt returns a state that entered a phase at start and passed bytes at once.
func stateAt(p Phase, bytes int) State {
	var s State
	s.Enter(start, p)
	s.Passed(start.Add(time.Millisecond), bytes)
	return s
}

func TestFurthest(t *testing.T) {
	late := start.Add(5 * time.Second)
	for name, tc := range map[string]struct {
		states []State
		now    clock.Time
		want   int
	}{
		"none":                               {nil, late, -1},
		"all busy":                           {[]State{stateAt(Busy, 0), stateAt(Busy, 0)}, late, -1},
		"just begun":                         {[]State{stateAt(Head, 0), stateAt(Body, 0)}, start.Add(200 * time.Millisecond), -1},
		"a head before a kept connection":    {[]State{stateAt(Idle, 0), stateAt(Head, 0)}, late, 1},
		"an unread answer before a head":     {[]State{stateAt(Head, 0), stateAt(Response, 0)}, late, 1},
		"a kept connection if there is none": {[]State{stateAt(Busy, 0), stateAt(Idle, 0)}, late, 1},
		"a short pause of a reader":          {[]State{stateAt(Response, 0)}, start.Add(1900 * time.Millisecond), -1},
		"a burst does not earn a pause":      {[]State{stateAt(Body, 1<<30)}, late, 0},
	} {
		if got := Furthest(tc.now, tc.states); got != tc.want {
			t.Errorf("%s: %d, want %d", name, got, tc.want)
		}
	}
}

// Guards against slow callers that keep the pace and make way for those that come after them.
func TestSteadyCallerIsNotChosen(t *testing.T) {
	var steady, slow State
	steady.Enter(start, Body)
	slow.Enter(start, Body)
	now := start
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		steady.Passed(now, minRate/10+1)
		slow.Passed(now, minRate/20)
	}
	if b := steady.Behind(now); b > 0.001 {
		t.Errorf("a caller that keeps the pace is %.2f behind", b)
	}
	if got := Furthest(now, []State{steady, slow}); got != 1 {
		t.Errorf("chosen: %d, want the slow caller", got)
	}
}
