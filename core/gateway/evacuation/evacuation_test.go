package evacuation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/revision"
)

const (
	start     = clock.Time(time.Hour)
	timeLimit = 5 * time.Second
)

func wantState(t *testing.T, s *Set, now clock.Time, zone string, want State) {
	t.Helper()
	if got := s.State(now, zone); got != want {
		t.Errorf("zone %s after %v is %v, want %v", zone, now.Sub(start), got, want)
	}
}

// A zone is emptied for a part of the time limit, then closed, and open again when the
// request is withdrawn.
func TestZoneIsEmptiedAndClosed(t *testing.T) {
	s := New(timeLimit)
	if !s.ApplyChanges(start, 0, []Row{{Zone: "a", Version: 10}}, false) {
		t.Error("ApplyChanges reports no change")
	}
	wantState(t, s, start, "a", Emptying)
	wantState(t, s, start.Add(2*time.Second), "a", Closed)
	wantState(t, s, start, "b", Open)
	s.ApplyChanges(start.Add(3*time.Second), 0, []Row{{Zone: "a", Version: 12, Removed: true}}, false)
	wantState(t, s, start.Add(3*time.Second), "a", Open)
}

// An instance that reads a request from the store does not know its age, so it must not
// allow time for emptying that may already have passed.
func TestRequestOfUnknownAgeClosesZone(t *testing.T) {
	s := New(timeLimit)
	s.ApplySnapshot(start, revision.Revision{Version: 20}, []Row{{Zone: "a", Version: 10}})
	wantState(t, s, start, "a", Closed)
}

// The time for emptying a zone does not restart with each notice, nor when the operator
// writes the same request again.
func TestRepeatedNoticesDoNotDelayClosing(t *testing.T) {
	s := New(timeLimit)
	s.ApplyChanges(start, 0, []Row{{Zone: "a", Version: 10}}, false)
	for ms := 100; ms < 2000; ms += 100 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		s.ApplyNotice(now, Notice{Zone: "a", Revision: revision.Revision{Version: 10}, Active: true, ClosesIn: time.Hour})
		s.ApplyChanges(now, 0, []Row{{Zone: "a", Version: int64(ms)}}, false)
	}
	wantState(t, s, start.Add(2*time.Second), "a", Closed)
}

// A late notice must neither end an evacuation nor restart one that has ended.
func TestOlderNoticeIsIgnored(t *testing.T) {
	s := New(timeLimit)
	s.ApplyNotice(start, Notice{Zone: "a", Revision: revision.Revision{Version: 10}, Active: true})
	s.ApplyNotice(start, Notice{Zone: "a", Revision: revision.Revision{Version: 9}})
	wantState(t, s, start, "a", Closed)
	s.ApplyNotice(start, Notice{Zone: "a", Revision: revision.Revision{Version: 11}})
	s.ApplyNotice(start, Notice{Zone: "a", Revision: revision.Revision{Version: 10}, Active: true})
	wantState(t, s, start, "a", Open)
}

// An instance that missed the removal of a request detects it by the missing row.
func TestMissingRowEndsEvacuation(t *testing.T) {
	s := New(timeLimit)
	s.ApplyChanges(start, 0, []Row{{Zone: "a", Version: 10}}, false)
	s.ApplySnapshot(start, revision.Revision{Version: 9}, nil) // read before the request was written
	wantState(t, s, start.Add(timeLimit), "a", Closed)
	s.ApplySnapshot(start, revision.Revision{Version: 30}, nil)
	wantState(t, s, start, "a", Open)
}

// The store is restored from a copy that is older than the request. If the evacuation ended
// at once, requests would go to the zone until the operator writes it again. It remains in
// force for missingGrace, and ends if the operator does not write it again; the other
// instances hear of the end from one that read the store.
func TestEvacuationOutlivesRestoredStore(t *testing.T) {
	s, other := New(timeLimit), New(timeLimit)
	s.ApplyChanges(start, 1, []Row{{Zone: "a", Version: 100}}, false)
	other.ApplyNotice(start, s.Notices(start)[0])
	now := start.Add(10 * time.Second)
	s.ApplySnapshot(now, revision.Revision{Era: 2, Version: 90}, nil)
	s.Expire(now.Add(missingGrace - time.Millisecond))
	wantState(t, s, now.Add(missingGrace-time.Millisecond), "a", Closed)
	s.ApplyChanges(now.Add(time.Second), 2, []Row{{Zone: "a", Version: 95}}, false)
	s.Expire(now.Add(missingGrace))
	wantState(t, s, now.Add(missingGrace), "a", Closed)

	now = now.Add(time.Minute)
	s.ApplySnapshot(now, revision.Revision{Era: 3, Version: 80}, nil)
	if !s.Expire(now.Add(missingGrace)) {
		t.Error("Expire does not end an evacuation that the operator did not write again")
	}
	wantState(t, s, now.Add(missingGrace), "a", Open)
	other.ApplyNotice(now, s.Notices(now.Add(missingGrace))[0])
	wantState(t, other, now.Add(missingGrace), "a", Open)
}

// simulation is a fleet of instances that exchange messages at random times. A few of them
// watch the store, the others depend on notices; some are isolated for a time.
type simulation struct {
	random        *rand.Rand
	sets          []*Set
	isolatedUntil []clock.Time
}

const (
	simStep            = 50 * time.Millisecond
	simMessageInterval = 600 * time.Millisecond // mean time between the messages of an instance
	simStoreWatchers   = 6                      // instances that watch the store
	simLossInterval    = 20                     // one of so many messages is lost
)

func newSimulation(seed uint64, instances int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 7)), isolatedUntil: make([]clock.Time, instances)}
	for range instances {
		s.sets = append(s.sets, New(timeLimit))
	}
	return s
}

// broadcast sends the notices of an instance to all others. With ignoreRevisions, each
// notice counts as the latest, which disables the safeguard.
func (s *simulation) broadcast(now clock.Time, from int, ignoreRevisions bool) {
	for _, n := range s.sets[from].Notices(now) {
		if ignoreRevisions {
			n.Revision.Version = int64(now)
		}
		for to := range s.sets {
			if to != from && s.random.IntN(simLossInterval) > 0 && now.Reached(s.isolatedUntil[to]) && now.Reached(s.isolatedUntil[from]) {
				s.sets[to].ApplyNotice(now, n)
			}
		}
	}
}

// run evacuates a zone and withdraws the request, repeatedly. After the time limit, it
// counts how often an instance that was not isolated of late has not closed an evacuated
// zone, or not opened it again.
func (s *simulation) run(ignoreRevisions bool) (wrong int) {
	version, active, since := int64(1), false, start
	for now := start; now.Before(start.Add(2 * time.Minute)); now = now.Add(simStep) {
		if now.Sub(since) > 8*time.Second && s.random.IntN(40) == 0 {
			version, active, since = version+1, !active, now
			for i := range min(simStoreWatchers, len(s.sets)) {
				if now.Reached(s.isolatedUntil[i]) {
					s.sets[i].ApplyChanges(now, 0, []Row{{Zone: "a", Version: version, Removed: !active}}, false)
				}
			}
		}
		if s.random.IntN(60) == 0 {
			i := s.random.IntN(len(s.sets))
			s.isolatedUntil[i] = now.Add(time.Duration(s.random.IntN(6000)) * time.Millisecond)
		}
		for i := range s.sets {
			if s.random.IntN(int(simMessageInterval/simStep)) == 0 {
				s.broadcast(now, i, ignoreRevisions)
			}
			if i < simStoreWatchers && now.Reached(s.isolatedUntil[i]) && s.random.IntN(100) == 0 {
				var rows []Row
				if active {
					rows = []Row{{Zone: "a", Version: version}}
				}
				s.sets[i].ApplySnapshot(now, revision.Revision{Version: version}, rows)
			}
			connected := now.Sub(s.isolatedUntil[i]) > 4*time.Second
			state := s.sets[i].State(now, "a")
			if connected && now.Sub(since) > timeLimit && (active && state != Closed || !active && state != Open) {
				wrong++
			}
		}
	}
	return wrong
}

// With random isolation and message loss, every connected instance stops sending to a zone
// within the time limit after an evacuation, and uses the zone again within the same time
// after its end.
func TestEvacuationReachesConnectedInstances(t *testing.T) {
	for _, n := range []int{9, 77, 195} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d instances, seed %d", n, seed), func(t *testing.T) {
				if wrong := newSimulation(seed, n).run(false); wrong > 0 {
					t.Errorf("wrong state in %d steps", wrong)
				}
			})
		}
	}
}

// Without revisions, an outdated notice of an instance that was isolated counts as the
// latest. The simulation must detect that.
func TestSimulationWithoutRevisions(t *testing.T) {
	if wrong := newSimulation(0, 77).run(true); wrong == 0 {
		t.Error("the simulation does not detect the missing safeguard")
	}
}
