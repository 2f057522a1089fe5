package fleet

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/id"
)

// maxOfferDelay is how long after a server began to leave it may still be
// offered work: until its report, or its refusal of the first request, shows
// that it leaves.
const maxOfferDelay = 5 * time.Second

// lastOffer returns the time from when the server began to leave to the latest
// offer of work.
func (s *Server) lastOffer() time.Duration { return s.lastOfferDelay }

// TestLeavingEngine: an engine begins to leave under load. Its report or its
// refusal of a request shows this seconds before the instance list. Refused
// requests go to other engines and running ones end normally. A few seconds
// after the first sign the engine is offered no more work and gets no more
// orders to load. No call is refused.
func TestLeavingEngine(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newReadyFleet(t, 80+seed, nil)
			sendCalls := func(length time.Duration) {
				f.repeat(100*time.Millisecond, length, func(n int) {
					f.Call(f.Nodes[n%9], artifactSpec(id.Artifact(fmt.Sprint("m", n%2)), n))
				})
			}
			sendCalls(10 * time.Second)
			var leaving []*Server
			for _, z := range f.zones {
				for _, s := range f.zoneServers(z, "workers") {
					if s.artifacts["m0"] != nil {
						s.Leave()
						leaving = append(leaving, s)
						break
					}
				}
			}
			if len(leaving) == 0 {
				t.Fatal("no engine holds m0")
			}
			sendCalls(30 * time.Second)
			f.Run(26 * time.Second)
			for _, s := range leaving {
				if s.lastOffer() > maxOfferDelay {
					t.Errorf("%s was offered work %s after it began to leave", s.Name, s.lastOffer())
				}
			}
			wantCompleted(t, f.Calls...)
			wantNoViolations(t, f)
		})
	}
}

// TestLeavingServiceWithStaleList: a plain service begins to leave, and the
// instance list shows it alternately as leaving and as staying, as old versions
// of a list in the wrong order would. Once seen, a sign that a server leaves is
// kept: calls go to the services of other zones.
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

// TestEngineLeavesWhileTableDown: an engine leaves while the table is down.
// Instances learn this without the table. Models whose only pre-authorised place
// is on this engine cannot be placed before the table is back; their calls are
// served by other zones or refused in time.
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

// TestReclaimedEngine: an engine is removed without notice while it runs calls,
// and the instance list shows it seconds later. Its calls continue on other
// engines. Its models are placed again in the zone once it is certain that it is
// gone; until then other zones may serve them. Half a minute later all calls are
// answered as before.
func TestReclaimedEngine(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newReadyFleet(t, 180+seed, func(s *Settings) { ignoreFencing(s, seed%2 == 0) })
			sendCalls := func(length time.Duration) []*Call {
				first := len(f.Calls)
				f.repeat(200*time.Millisecond, length, func(n int) { f.Call(f.Nodes[n%9], artifactSpec("m0", n)) })
				return f.Calls[first:]
			}
			sendCalls(10 * time.Second)
			for _, s := range f.zoneServers("za", "workers") {
				if s.artifacts["m0"] != nil {
					s.Reclaim()
				}
			}
			sendCalls(30 * time.Second)
			afterwards := sendCalls(10 * time.Second)
			f.Run(26 * time.Second)
			wantCompleted(t, afterwards...)
			if f.holderCount("za", "m0") == 0 {
				t.Error("m0 was not loaded again in its zone")
			}
			wantNoViolations(t, f)
		})
	}
}

// holderCount returns the number of engines of a zone that hold an artifact.
func (f *Fleet) holderCount(z id.Zone, a id.Artifact) int {
	n := 0
	for _, s := range f.zoneServers(z, "workers") {
		if s.artifacts[a] != nil {
			n++
		}
	}
	return n
}

// TestLeavingBoundCanBeExceeded: a server leaves without being shown as leaving
// in the instance list, and is first offered work after the bound. This shows
// that the bound is not met trivially.
func TestLeavingBoundCanBeExceeded(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 87, nil)
	s := f.zoneServers("za", "desk")[0]
	s.leaving, s.leavingSince = true, f.now
	f.Run(2 * maxOfferDelay)
	f.Call(f.Nodes[0], orderSpec(Desk, "k", "one"))
	f.Run(time.Second)
	if s.lastOffer() <= maxOfferDelay {
		t.Errorf("the first offer came %s after it began to leave, want it after the bound", s.lastOffer())
	}
}
