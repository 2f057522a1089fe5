package continuation

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

const start = clock.Time(time.Hour)

// Guards against a response that ends though what keeps it from going on may pass.
func TestOnlyWhatLastsEndsAResponse(t *testing.T) {
	deadline := start.Add(10 * time.Second)
	for name, tc := range map[string]struct {
		now        clock.Time
		obstacle   Obstacle
		serverLeft bool
		want       bool
	}{
		"servers are full":                      {start, Passing, true, true},
		"servers are full, none is known":       {start, Passing, false, true},
		"all servers are left out":              {start, NoServer, true, true},
		"no server is known":                    {start, NoServer, false, false},
		"the request may not run again":         {start, Lasting, true, false},
		"servers are full, but time is up":      {deadline, Passing, true, false},
		"servers are full, just before the end": {deadline - 1, Passing, true, true},
	} {
		var r Response
		wait, ok := r.Wait(tc.now, deadline, tc.obstacle, tc.serverLeft)
		if ok != tc.want {
			t.Errorf("%s: goes on %v, want %v", name, ok, tc.want)
		}
		if ok && (wait <= 0 || tc.now.Add(wait) > deadline) {
			t.Errorf("%s: waits %v", name, wait)
		}
	}
}

// Guards against servers that are asked again and again without a pause, and against ones that are left out for good.
func TestPausesGrowUntilTheResponseGoesOn(t *testing.T) {
	var r Response
	last := time.Duration(0)
	for range 20 {
		pause := r.Failed()
		if pause < last || pause < firstPause || pause > maxPause {
			t.Fatalf("pause %v after %v", pause, last)
		}
		last = pause
	}
	if last != maxPause {
		t.Errorf("the longest pause is %v, want %v", last, maxPause)
	}
	r.Continued()
	if pause := r.Failed(); pause != firstPause {
		t.Errorf("after an event the pause is %v, want %v", pause, firstPause)
	}
}

// Guards against a server that is left for its silence though nobody else can continue the response.
func TestSilentServerIsLeftForAnotherOnly(t *testing.T) {
	for _, s := range []Silence{{}, {Alternative: true}, {MayRepeat: true}, {Alternative: true, MayRepeat: true, Ending: true}} {
		if s.Leave() {
			t.Errorf("%+v: left", s)
		}
	}
	if !(Silence{Alternative: true, MayRepeat: true}).Leave() {
		t.Error("not left for another server")
	}
}
