package fleet

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/id"
)

// leavingBound is how long after a server began to leave it may still be offered
// work: until its report or its refusal of the first request shows it.
const maxOfferDelay = 5 * time.Second

// lastOffer returns how long after it began to leave the server was last
// offered work.
func (s *Server) lastOffer() time.Duration { return s.lastOfferDelay }

// TestLeavingEngine: an engine begins to leave under load; the platform's list
// shows it seconds later. Its report or its refusal of a request shows it first.
// What was refused goes elsewhere, running answers end, and a few seconds after
// the first sign nothing is offered to it any more, nor is it ordered to load.
// No caller is refused.
func TestLeavingEngine(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newReadyFleet(t, 80+seed, nil)
			use := func(length time.Duration) {
				f.repeat(100*time.Millisecond, length, func(n int) {
					f.Call(f.Nodes[n%9], artifactSpec(id.Artifact(fmt.Sprint("m", n%2)), n))
				})
			}
			use(10 * time.Second)
			var left []*Server
			for _, z := range f.zones {
				for _, s := range f.zoneServers(z, "workers") {
					if s.artifacts["m0"] != nil {
						s.Leave()
						left = append(left, s)
						break
					}
				}
			}
			if len(left) == 0 {
				t.Fatal("no engine holds m0")
			}
			use(30 * time.Second)
			f.Run(26 * time.Second)
			for _, s := range left {
				if s.lastOffer() > maxOfferDelay {
					t.Errorf("%s was offered work %s after it began to leave", s.Name, s.lastOffer())
				}
			}
			wantCompleted(t, f.Calls...)
			wantNoViolations(t, f)
		})
	}
}

// TestLeavingServiceWithStaleList: a zone's plain service begins to leave, and
// the list that the zone's instances read is old, comes in the wrong order, and
// shows it as staying again after it was shown as leaving. A sign once seen is
// kept: nothing goes to it, and the orders go to other zones' services.
func TestLeavingServiceWithStaleList(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 85, nil)
	s := f.zoneServers("za", "desk")[0]
	s.Leave()
	f.repeat(100*time.Millisecond, 30*time.Second, func(n int) {
		s.listedAsLeaving = n/10%2 == 1
		f.Call(f.Nodes[n%3], orderSpec(Orders, fmt.Sprint("k", n), "one"))
	})
	f.Run(12 * time.Second)
	if s.lastOffer() > maxOfferDelay {
		t.Errorf("offered work %s after it began to leave", s.lastOffer())
	}
	wantCompleted(t, f.Calls...)
	wantNoViolations(t, f)
}

// TestLeavingWhileTableDown: an engine leaves while the table is down. Its sign
// needs no table; its models that have their one pre-authorised place on it wait
// for the table, and are refused in time or served from other zones.
func TestEngineLeavesWhileTableDown(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 86, nil)
	f.Run(5 * time.Second)
	f.Table.Down = true
	f.Run(3 * time.Second)
	s := f.zoneServers("za", "workers")[0]
	s.Leave()
	f.repeat(200*time.Millisecond, 20*time.Second, func(n int) {
		f.Call(f.Nodes[n%9], artifactSpec(id.Artifact(fmt.Sprint("m", n%4)), n))
	})
	f.Run(26 * time.Second)
	if s.lastOffer() > maxOfferDelay {
		t.Errorf("offered work %s after it began to leave", s.lastOffer())
	}
	wantNoViolations(t, f)
	f.Heal()
	f.Run(10 * time.Second)
	last := f.Call(f.Nodes[0], artifactSpec("m0", 999))
	f.Run(26 * time.Second)
	wantCompleted(t, last)
}

// TestReclaimedEngine: an engine is taken away without notice while it answers
// calls, and the list shows it seconds later. Calls that it was running go on
// elsewhere; what was decided on it is decided anew in its zone once it is sure
// that it is gone, and until then other zones may serve. No call is dropped, and
// half a minute later calls in the zone are answered as before.
func TestReclaimedEngine(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newReadyFleet(t, 180+seed, func(s *Settings) { ignoreFencing(s, seed%2 == 0) })
			use := func(length time.Duration) []*Call {
				first := len(f.Calls)
				f.repeat(200*time.Millisecond, length, func(n int) { f.Call(f.Nodes[n%9], artifactSpec("m0", n)) })
				return f.Calls[first:]
			}
			use(10 * time.Second)
			for _, s := range f.zoneServers("za", "workers") {
				if s.artifacts["m0"] != nil {
					s.Reclaim()
				}
			}
			use(30 * time.Second)
			after := use(10 * time.Second)
			f.Run(26 * time.Second)
			wantCompleted(t, after...)
			if f.holderCount("za", "m0") == 0 {
				t.Error("m0 was not loaded anew in its zone")
			}
			wantNoViolations(t, f)
		})
	}
}

// holders counts the engines of a zone that hold an artifact.
func (f *Fleet) holderCount(z id.Zone, a id.Artifact) int {
	n := 0
	for _, s := range f.zoneServers(z, "workers") {
		if s.artifacts[a] != nil {
			n++
		}
	}
	return n
}

// TestLeavingCheckFires shows that the bound can be passed: where nobody reads
// the server's reports or hears of its refusals, work is offered until the list
// shows that it leaves.
func TestLeavingBoundCanBeExceeded(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 87, nil)
	s := f.zoneServers("za", "desk")[0]
	s.leaving, s.leavingSince = true, f.now
	f.Run(2 * maxOfferDelay)
	f.Call(f.Nodes[0], orderSpec(Desk, "k", "one"))
	f.Run(time.Second)
	if s.lastOffer() <= maxOfferDelay {
		t.Errorf("the first offer came %s after it began to leave: the bound shows nothing", s.lastOffer())
	}
}
