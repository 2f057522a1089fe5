package fleet

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// The tests in this file each show one fault that a run found, in as few steps
// as it takes.

// TestOutcomeInHandAfterPause: an instance is frozen right after it sent an order
// to a service that can't be asked. The service answers; the answer waits in the
// frozen process. When it resumes, its timers come first: the order's deadline has
// passed, and it stores that the outcome is unknown. Then it reads the answer, and
// must store that instead: a repeat is told what really happened.
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

// TestCutDuringDecision: a zone is cut off from the table in the moment in which
// the owner of an engine writes the decision to load a model there. The write has
// no answer. The model has its pre-authorised place on the same engine, which
// needs no table; callers in the zone must get it, however long the cut lasts.
func TestTableUnreachableDuringLoadDecision(t *testing.T) {
	t.Parallel()
	for _, fate := range []CommitFault{RequestLost, ReplyLost} {
		t.Run(fate.String(), func(t *testing.T) {
			f := newReadyFleet(t, 24, func(s *Settings) { ignoreFencing(s, true) })
			f.Run(4100 * time.Millisecond)
			f.onLoadDecision(func(n *Node) CommitFault {
				if n.Zone != "za" {
					return NoFault
				}
				f.Table.OnCommit = nil
				f.Network.SetIsolated("za", true)
				return fate
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

// TestCutZoneServesThreeModels: three models have their pre-authorised places on
// one engine of a cut-off zone, which holds one of them at a time, and all three
// are called now and then. They take turns. A model whose callers have waited
// longest must come next, or its callers are all refused at their deadlines for
// as long as the cut lasts.
func TestIsolatedZoneServesThreeModels(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 24, nil)
	f.Run(10 * time.Second)
	f.Network.SetIsolated("za", true)
	nodes := f.zoneNodes("za")
	whole := make(map[id.Artifact]int)
	f.repeat(300*time.Millisecond, 90*time.Second, func(n int) {
		f.Call(nodes[n%3], artifactSpec(id.Artifact(fmt.Sprint("m", n/6%3)), n))
	})
	f.Run(26 * time.Second)
	for _, c := range f.Calls {
		if c.Completed {
			whole[c.Artifact]++
		}
	}
	for _, a := range []id.Artifact{"m0", "m1", "m2"} {
		if whole[a] < len(f.Calls)/6 {
			t.Errorf("%s: %d of about %d calls were answered", a, whole[a], len(f.Calls)/3)
		}
	}
	wantNoViolations(t, f)
}

// TestStopOfAllWithCallsWaiting: all instances are stopped in the same moment
// while more calls wait for engines than these take at once. Each owner of a queue
// sends what waits to the next owner, and there is none. The calls have to be
// served all the same within the grace time: no planned stop cuts a call.
func TestStopOfAllWithCallsWaiting(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 92, nil)
	f.scheduleSteadyCalls(12*time.Second, 50*time.Millisecond)
	f.Run(10 * time.Second)
	f.stopAll(t)
	wantCompleted(t, f.Calls...)
	wantNoViolations(t, f)
}

// TestReleasedEngineIsTaken: an engine moves from one owner to another of its
// zone, as when instances are replaced one after the other. Between the release
// and the take nobody can order a load, and callers of cold models wait. It must
// be taken within a reading of the table or two.
func TestReleasedEngineIsTaken(t *testing.T) {
	t.Parallel()
	const most = 2500 * time.Millisecond
	f := newFleet(t, 24, nil)
	released := make(map[string]time.Duration)
	f.Table.OnCommit = func(_ *Node, writes []table.Write) CommitFault {
		for _, w := range writes {
			body, ok := w.Body.(table.Backend)
			if !ok {
				continue
			}
			at, was := released[w.Key.ID]
			if was && body.Owner != "" {
				if free := f.Now() - at; free > most {
					t.Errorf("%s belonged to nobody for %s", w.Key.ID, free)
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
		t.Errorf("%s was released at %s and not taken", name, at)
	}
}

// TestOnlyEngineOfCutZoneCrashes: a zone is cut off from the others, and its only
// engine dies while an answer streams; it is back two seconds later. The call is
// asked for again while the engine is down: the own zone has no server then, and the
// other zones are silent. The caller must get the rest of its answer, or hear at
// once that there is no server, not at its deadline.
func TestOnlyEngineOfIsolatedZoneCrashes(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 60, func(s *Settings) { setSlowTokens(s); s.EnginesPerZone = 1 })
	f.Run(10 * time.Second)
	f.Network.SetIsolated("za", true)
	f.Run(3 * time.Second)
	c := f.Call(f.Nodes[0], streamSpec(1))
	f.waitFor(t, "it streams", 20*time.Second, func() bool { return c.FirstTokenAt != 0 })
	f.runningServer(t, c).Crash()
	crashed := f.now
	f.Run(50 * time.Second)
	if !c.Completed && c.EndedAt.Sub(crashed) > 5*time.Second {
		t.Errorf("%s after the crash: %s", c.EndedAt.Sub(crashed), c.describeResult())
	}
	wantNoViolations(t, f)
}

// TestPauseIsNotLearnedAsLoadTime: the instances of a zone are frozen for twenty
// seconds while their engine loads an adapter, which takes a third of a second. The
// load is seen to be over twenty seconds after its order. If that was learned, each
// call for a cold model would be thought to take sixty times as long, and be refused
// though there is time for it.
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

// TestScenariosThatShowedFaults plays scenarios of the long run again that showed
// faults. Their numbers mean the same as long as the list of steps stays as it is.
func TestRegressionScenarios(t *testing.T) {
	t.Parallel()
	tests := []struct {
		number int
		cause  string
	}{
		{200270, "a turn of an instance that died while it was leaving stayed in use"},
		{301900, "a turn of an instance that died while it was leaving stayed in use"},
		{201583, "the time of a pause was learned as the time of loads"},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.number), func(t *testing.T) {
			t.Parallel()
			s := numberedScenario(test.number)
			for _, fault := range NewRunner(s, nil).Play(s) {
				t.Errorf("%s: %s", test.cause, fault)
			}
		})
	}
}
