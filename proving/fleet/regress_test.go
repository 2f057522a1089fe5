package fleet

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// Each test in this file reproduces one failure that a random run found, in as
// few steps as possible.

// TestOutcomeReceivedDuringPause: an instance is paused right after it sent an
// order to a service whose outcomes cannot be queried, and the response arrives
// during the pause. When the instance resumes, its timers fire first: the
// deadline of the order has passed, and it stores that the outcome is unknown.
// Then it processes the response, and must replace that record, so that a repeat
// gets the real outcome.
func TestOutcomeReceivedDuringPause(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 18, nil)
	f.OnDispatch = func(n *Node, _ *Call) {
		f.OnDispatch = nil
		f.schedule(5*time.Millisecond, func() { n.Pause(15 * time.Second) })
	}
	f.Call(f.Nodes[0], orderSpec(Desk, "k", "one"))
	f.Run(30 * time.Second)
	repeat := f.Call(f.Nodes[8], orderSpec(Desk, "k", "one"))
	f.Run(12 * time.Second)
	wantCompleted(t, repeat)
	wantNoViolations(t, f)
}

// TestTableUnreachableDuringLoadDecision: a zone is isolated just as the owner
// of an engine writes its decision to load a model there, so the write gets no
// reply. The model has its pre-authorised place on the same engine, which needs
// no table. It must be loaded there, however long the isolation lasts.
func TestTableUnreachableDuringLoadDecision(t *testing.T) {
	t.Parallel()
	for _, fault := range []CommitFault{RequestLost, ReplyLost} {
		t.Run(fault.String(), func(t *testing.T) {
			f := newReadyFleet(t, 24, func(s *Settings) { ignoreFencing(s, true) })
			f.Run(4100 * time.Millisecond)
			f.onLoadDecision(func(n *Node) CommitFault {
				if n.Zone != "za" {
					return NoFault
				}
				f.Table.OnCommit = nil
				f.Network.SetIsolated("za", true)
				return fault
			})
			nodes := f.zoneNodes("za")
			f.repeat(time.Second, 20*time.Second, func(n int) { f.Call(nodes[n%3], artifactSpec("m3", n)) })
			f.Run(26 * time.Second)
			wantCompleted(t, f.Calls...)
			f.Heal()
			f.Run(20 * time.Second)
			wantNoViolations(t, f)
		})
	}
}

// TestIsolatedZoneServesThreeModels: three models have their pre-authorised
// places on one engine of an isolated zone, which holds one of them at a time,
// and all three are called regularly. The model whose calls have waited longest
// must be loaded next; otherwise all its calls are refused at their deadlines as
// long as the isolation lasts.
func TestIsolatedZoneServesThreeModels(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 24, nil)
	f.Run(10 * time.Second)
	f.Network.SetIsolated("za", true)
	nodes := f.zoneNodes("za")
	completed := make(map[id.Artifact]int)
	f.repeat(300*time.Millisecond, 90*time.Second, func(n int) {
		f.Call(nodes[n%3], artifactSpec(id.Artifact(fmt.Sprint("m", n/6%3)), n))
	})
	f.Run(26 * time.Second)
	for _, c := range f.Calls {
		if c.Completed {
			completed[c.Artifact]++
		}
	}
	for _, a := range []id.Artifact{"m0", "m1", "m2"} {
		if completed[a] < len(f.Calls)/6 {
			t.Errorf("%s: %d of about %d calls were answered, want at least half", a, completed[a], len(f.Calls)/3)
		}
	}
	wantNoViolations(t, f)
}

// TestStopOfAllWithCallsWaiting: all instances are stopped at the same time
// while more calls wait than the engines run at once. Each owner of a queue
// passes its calls on to the next owner, but there is none. The calls must still
// be served within the grace period, as a planned stop must not break off any
// call.
func TestStopOfAllWithCallsWaiting(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 92, nil)
	f.scheduleSteadyCalls(12*time.Second, 50*time.Millisecond)
	f.Run(10 * time.Second)
	f.stopAll(t)
	wantCompleted(t, f.Calls...)
	wantNoViolations(t, f)
}

// TestReleasedEngineIsTaken: an engine changes its owner within a zone, as in a
// rolling replacement. Until the new owner has taken it, no load can be ordered
// and calls of models that are not loaded wait. It must be taken within about
// two reads of the table.
func TestReleasedEngineIsTaken(t *testing.T) {
	t.Parallel()
	const maxUnowned = 2500 * time.Millisecond
	f := newFleet(t, 24, nil)
	released := make(map[string]time.Duration)
	f.Table.OnCommit = func(_ *Node, writes []table.Write) CommitFault {
		for _, w := range writes {
			body, ok := w.Body.(table.Backend)
			if !ok {
				continue
			}
			at, wasReleased := released[w.Key.ID]
			if wasReleased && body.Owner != "" {
				if unowned := f.Now() - at; unowned > maxUnowned {
					t.Errorf("%s had no owner for %s", w.Key.ID, unowned)
				}
				delete(released, w.Key.ID)
			}
			if body.Owner == "" {
				released[w.Key.ID] = f.Now()
			}
		}
		return NoFault
	}
	f.Run(20 * time.Second)
	for name, at := range released {
		t.Errorf("%s was released at %s and never taken", name, at)
	}
}

// TestOnlyEngineOfIsolatedZoneCrashes: the only engine of an isolated zone
// crashes while a response streams, and restarts two seconds later. The call is
// queued again while the engine is down, when the zone has no server and the
// other zones do not respond. The caller must get the rest of its response, or a
// refusal at once and not only at its deadline.
func TestOnlyEngineOfIsolatedZoneCrashes(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 60, func(s *Settings) { setSlowTokens(s); s.EnginesPerZone = 1 })
	f.Run(10 * time.Second)
	f.Network.SetIsolated("za", true)
	f.Run(3 * time.Second)
	c := f.Call(f.Nodes[0], streamSpec(1))
	f.waitFor(t, "the response streams", 20*time.Second, func() bool { return c.FirstTokenAt != 0 })
	f.runningServer(t, c).Crash()
	crashed := f.now
	f.Run(50 * time.Second)
	if !c.Completed && c.EndedAt.Sub(crashed) > 5*time.Second {
		t.Errorf("ended %s after the crash with %s", c.EndedAt.Sub(crashed), c.describeResult())
	}
	wantNoViolations(t, f)
}

// TestPauseIsNotLearnedAsLoadTime: the instances of a zone are paused for 20 s
// while their engine loads an adapter, which takes 0.3 s. They see the end of
// the load 20 s after its order. If they learned this as the load time, they
// would expect all loads to take about sixty times as long, and refuse calls
// that could be served in time.
func TestPauseIsNotLearnedAsLoadTime(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 143, func(s *Settings) { s.EnginesPerZone = 1 })
	f.Run(5 * time.Second)
	f.Call(f.Nodes[0], artifactSpec("m0", 1))
	f.Run(5 * time.Second)
	f.Call(f.Nodes[0], artifactSpec("m0:x", 1))
	f.waitFor(t, "the engine loads the adapter", 5*time.Second, func() bool { return f.holderCount("za", "m0:x") > 0 })
	for _, n := range f.zoneNodes("za") {
		n.Pause(20 * time.Second)
	}
	f.Run(40 * time.Second)
	for _, a := range []id.Artifact{"m1", "m2", "m3"} {
		s := artifactSpec(a, 2)
		s.Timeout = 12 * time.Second
		c := f.Call(f.Nodes[0], s)
		f.Run(15 * time.Second)
		wantCompleted(t, c)
	}
	wantNoViolations(t, f)
}

// TestRegressionScenarios runs scenarios that found failures in TestLongRun.
// Their numbers denote the same scenarios only as long as stepKinds does not
// change.
func TestRegressionScenarios(t *testing.T) {
	t.Parallel()
	tests := []struct {
		number int
		cause  string
	}{
		{200270, "the turn of an instance that died while it was stopping was never released"},
		{301900, "the turn of an instance that died while it was stopping was never released"},
		{201583, "the duration of a pause was learned as a load time"},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.number), func(t *testing.T) {
			t.Parallel()
			s := numberedScenario(test.number)
			for _, violation := range NewRunner(s, nil).Play(s) {
				t.Errorf("%s: %s", test.cause, violation)
			}
		})
	}
}
