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
	start = clock.Time(time.Hour)
	bound = 5 * time.Second
)

func wantState(t *testing.T, s *Set, now clock.Time, zone string, want State) {
	t.Helper()
	if got := s.State(now, zone); got != want {
		t.Errorf("zone %s after %v is %v, want %v", zone, now.Sub(start), got, want)
	}
}

// A zone is emptied for a part of the bound, then closed, and open when it is taken back.
func TestZoneIsEmptiedAndClosed(t *testing.T) {
	s := New(bound)
	if !s.ApplyChanges(start, 0, []Row{{Zone: "a", Version: 10}}, false) {
		t.Error("no change told")
	}
	wantState(t, s, start, "a", Emptying)
	wantState(t, s, start.Add(2*time.Second), "a", Closed)
	wantState(t, s, start, "b", Open)
	s.ApplyChanges(start.Add(3*time.Second), 0, []Row{{Zone: "a", Version: 12, Removed: true}}, false)
	wantState(t, s, start.Add(3*time.Second), "a", Open)
}

// An instance that finds a request does not know how long it has stood: it must not take
// time that has passed already.
func TestFoundRequestClosesAtOnce(t *testing.T) {
	s := New(bound)
	s.ApplySnapshot(start, revision.Revision{Version: 20}, []Row{{Zone: "a", Version: 10}})
	wantState(t, s, start, "a", Closed)
}

// The time to empty a zone does not begin anew with each word, nor when the operator
// writes the same request again.
func TestRepeatedWordsDoNotProlong(t *testing.T) {
	s := New(bound)
	s.ApplyChanges(start, 0, []Row{{Zone: "a", Version: 10}}, false)
	for ms := 100; ms < 2000; ms += 100 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		s.ApplyNotice(now, Notice{Zone: "a", Revision: revision.Revision{Version: 10}, Active: true, ClosesIn: time.Hour})
		s.ApplyChanges(now, 0, []Row{{Zone: "a", Version: int64(ms)}}, false)
	}
	wantState(t, s, start.Add(2*time.Second), "a", Closed)
}

// A late word must neither end an evacuation nor begin one that is over.
func TestOlderWordChangesNothing(t *testing.T) {
	s := New(bound)
	s.ApplyNotice(start, Notice{Zone: "a", Revision: revision.Revision{Version: 10}, Active: true})
	s.ApplyNotice(start, Notice{Zone: "a", Revision: revision.Revision{Version: 9}})
	wantState(t, s, start, "a", Closed)
	s.ApplyNotice(start, Notice{Zone: "a", Revision: revision.Revision{Version: 11}})
	s.ApplyNotice(start, Notice{Zone: "a", Revision: revision.Revision{Version: 10}, Active: true})
	wantState(t, s, start, "a", Open)
}

// A removal that an instance never heard of is seen by the lack of the row.
func TestLackOfTheRowEndsIt(t *testing.T) {
	s := New(bound)
	s.ApplyChanges(start, 0, []Row{{Zone: "a", Version: 10}}, false)
	s.ApplySnapshot(start, revision.Revision{Version: 9}, nil) // an answer from before the request
	wantState(t, s, start.Add(bound), "a", Closed)
	s.ApplySnapshot(start, revision.Revision{Version: 30}, nil)
	wantState(t, s, start, "a", Open)
}

// The store comes back from a copy that is older than the request, and requests go to the
// zone until the operator writes it again. It is kept meanwhile, and given up if the
// operator does not; the others hear of that from whoever read.
func TestRequestLostByTheStoreIsKept(t *testing.T) {
	s, other := New(bound), New(bound)
	s.ApplyChanges(start, 1, []Row{{Zone: "a", Version: 100}}, false)
	other.ApplyNotice(start, s.Notices(start)[0])
	now := start.Add(10 * time.Second)
	s.ApplySnapshot(now, revision.Revision{Era: 2, Version: 90}, nil)
	s.Expire(now.Add(keepFor - time.Millisecond))
	wantState(t, s, now.Add(keepFor-time.Millisecond), "a", Closed)
	s.ApplyChanges(now.Add(time.Second), 2, []Row{{Zone: "a", Version: 95}}, false)
	s.Expire(now.Add(keepFor))
	wantState(t, s, now.Add(keepFor), "a", Closed)

	now = now.Add(time.Minute)
	s.ApplySnapshot(now, revision.Revision{Era: 3, Version: 80}, nil)
	if !s.Expire(now.Add(keepFor)) {
		t.Error("a request that the operator does not write again is kept for ever")
	}
	wantState(t, s, now.Add(keepFor), "a", Open)
	other.ApplyNotice(now, s.Notices(now.Add(keepFor))[0])
	wantState(t, other, now.Add(keepFor), "a", Open)
}

// fleet plays instances that hear each other now and then. A few see the store's changes
// as they come, the others only hear; some are cut off for a time.
type fleet struct {
	random  *rand.Rand
	sets    []*Set
	cutTill []clock.Time
}

const (
	playStep  = 50 * time.Millisecond
	playBeat  = 600 * time.Millisecond // between the messages of an instance
	playReads = 6                      // instances that see the store
	playLoss  = 20                     // one message in so many is lost
)

func newPlay(seed uint64, instances int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7)), cutTill: make([]clock.Time, instances)}
	for range instances {
		f.sets = append(f.sets, New(bound))
	}
	return f
}

// tell lets an instance tell some others; forget leaves out the revision, the safeguard.
func (f *fleet) tell(now clock.Time, from int, forget bool) {
	for _, n := range f.sets[from].Notices(now) {
		if forget {
			n.Revision.Version = int64(now)
		}
		for to := range f.sets {
			if to != from && f.random.IntN(playLoss) > 0 && now.Reached(f.cutTill[to]) && now.Reached(f.cutTill[from]) {
				f.sets[to].ApplyNotice(now, n)
			}
		}
	}
}

// play evacuates a zone and takes it back again and again. It returns how often an
// instance in touch sent to a closed zone, or kept from one that is open.
func (f *fleet) play(forget bool) (wrong int) {
	version, active, since := int64(1), false, start
	for now := start; now.Before(start.Add(2 * time.Minute)); now = now.Add(playStep) {
		if now.Sub(since) > 8*time.Second && f.random.IntN(40) == 0 {
			version, active, since = version+1, !active, now
			for i := range min(playReads, len(f.sets)) {
				if now.Reached(f.cutTill[i]) {
					f.sets[i].ApplyChanges(now, 0, []Row{{Zone: "a", Version: version, Removed: !active}}, false)
				}
			}
		}
		if f.random.IntN(60) == 0 {
			i := f.random.IntN(len(f.sets))
			f.cutTill[i] = now.Add(time.Duration(f.random.IntN(6000)) * time.Millisecond)
		}
		for i := range f.sets {
			if f.random.IntN(int(playBeat/playStep)) == 0 {
				f.tell(now, i, forget)
			}
			if i < playReads && now.Reached(f.cutTill[i]) && f.random.IntN(100) == 0 {
				var rows []Row
				if active {
					rows = []Row{{Zone: "a", Version: version}}
				}
				f.sets[i].ApplySnapshot(now, revision.Revision{Version: version}, rows)
			}
			inTouch := now.Sub(f.cutTill[i]) > 4*time.Second
			state := f.sets[i].State(now, "a")
			if inTouch && now.Sub(since) > bound && (active && state != Closed || !active && state != Open) {
				wrong++
			}
		}
	}
	return wrong
}

// Random cuts and losses: every instance in touch sends nothing to a zone within the
// bound, and uses it again within the same time.
func TestPlay(t *testing.T) {
	for _, n := range []int{9, 77, 195} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d instances, seed %d", n, seed), func(t *testing.T) {
				if wrong := newPlay(seed, n).play(false); wrong > 0 {
					t.Errorf("%d times", wrong)
				}
			})
		}
	}
}

// Without the revision, a word of an instance that was cut off counts as news.
func TestPlayWithoutRevisions(t *testing.T) {
	if wrong := newPlay(0, 77).play(true); wrong == 0 {
		t.Error("the play does not notice that the safeguard is taken out")
	}
}
