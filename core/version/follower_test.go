package version

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
)

var threeZones = []id.Zone{"a", "a", "a", "b", "b", "b", "c", "c", "c"}

// Each case is one failure as operators and callers meet it: what happens in
// what order is told by its story.
func TestFollowerFailures(t *testing.T) {
	cases := []struct {
		name, story string
		run         func(t *testing.T, s *sim)
	}{
		{"table down after the start", `
			The table goes down. An operator's earlier version has reached one
			zone only, because two were cut off when it was applied. Once the
			cut heals, they get it from the zone that has it.`,
			func(t *testing.T, s *sim) {
				s.cut["b"], s.cut["c"] = true, true
				s.publish(1)
				s.run(3 * time.Second)
				s.tableUp = false
				clear(s.cut)
				s.run(3 * time.Second)
			}},
		{"start while the table is down", `
			An instance is replaced during a table outage while its neighbours
			are on different versions. It must not take calls on the older one,
			in which a withdrawn key still works: it starts on the newest.`,
			func(t *testing.T, s *sim) {
				s.cut["b"], s.cut["c"] = true, true
				s.publish(3)
				s.run(2 * time.Second)
				s.tableUp = false
				clear(s.cut)
				n := s.start(4)
				s.run(4 * time.Second)
				if len(n.inForce) == 0 || n.inForce[0] != s.newest.Version {
					t.Errorf("started on %v, newest is %d", n.inForce, s.newest.Version)
				}
			}},
		{"start with a version that can't be had", `
			The only peer that announces the newest version dies before anybody
			fetches it, while the table is down. A starting instance waits, but
			then takes the best that there is: its zone must go on serving.`,
			func(t *testing.T, s *sim) {
				s.tableUp = false
				n := s.start(4)
				n.HandleMessage(s.now, s.nodes[0].name, message.Heartbeat{Version: 99}, new(event.Outbox))
				s.run(4 * time.Second)
				if len(n.inForce) != 0 {
					t.Errorf("started on %v without waiting for version 99", n.inForce)
				}
				s.run(4 * time.Second)
			}},
		{"start after a peer's death", `
			As before, but the announcing peer is known to be gone: there is
			nothing to wait for, and callers need not.`,
			func(t *testing.T, s *sim) {
				s.tableUp = false
				n := s.start(4)
				n.HandleMessage(s.now, s.nodes[0].name, message.Heartbeat{Version: 99}, new(event.Outbox))
				s.run(time.Second)
				s.start(0)
				s.run(time.Second)
				if len(n.inForce) == 0 {
					t.Error("still waits for a version of a dead peer")
				}
				s.run(2 * time.Second)
			}},
		{"far behind", `
			A zone is cut off while more versions are applied than its peers
			keep changes of. After the cut it catches up by a snapshot, with the
			table down, and no request sees a version in between twice.`,
			func(t *testing.T, s *sim) {
				s.cut["c"] = true
				s.publish(120)
				s.run(3 * time.Second)
				s.tableUp = false
				clear(s.cut)
				s.run(3 * time.Second)
			}},
		{"half of all messages lost", `
			The network loses half of the messages and table answers. Asks are
			repeated and go to another source, so the version still arrives.`,
			func(t *testing.T, s *sim) {
				rng := rand.New(rand.NewPCG(1, 1))
				s.fate = func() (int, time.Duration) { return rng.IntN(2), time.Millisecond }
				s.publish(5)
				s.run(10 * time.Second)
			}},
		{"messages doubled and out of order", `
			Each message comes three times, and earlier ones later than later
			ones. Old changes that arrive again change nothing.`,
			func(t *testing.T, s *sim) {
				n := 0
				s.fate = func() (int, time.Duration) {
					n++
					return 3, time.Duration(97-n%97) * 5 * time.Millisecond
				}
				for range 10 {
					s.publish(3)
					s.run(time.Second)
				}
				s.run(5 * time.Second)
			}},
		{"both readers of a zone replaced", `
			The two instances that read the head for their zone are replaced at
			once. The third becomes a reader by rank and the new ones start.`,
			func(t *testing.T, s *sim) {
				s.start(0)
				s.start(1)
				s.publish(1)
				s.run(3 * time.Second)
			}},
		{"unreadable change", `
			A peer sends a change that can't be decoded. It is dropped, and the
			change is fetched again from elsewhere.`,
			func(t *testing.T, s *sim) {
				var out event.Outbox
				bad := message.VersionChange{Version: s.newest.Version + 1, Change: []byte("{")}
				s.nodes[2].HandleMessage(s.now, s.nodes[8].name, bad, &out)
				s.effects(s.nodes[2], &out)
				s.run(time.Second)
				s.publish(1)
				s.run(3 * time.Second)
			}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(threeZones...)
			s.publish(2)
			s.run(2 * time.Second)
			s.converged(t)
			c.run(t, s)
			s.checkNoReversal(t)
			s.converged(t)
		})
	}
}

// An instance asks a peer that died with the version it announced. The caller
// would see a withdrawn key work until somebody else has the version; the ask
// is not answered, and goes to another peer after one wait.
func TestAskGoesToAnotherPeer(t *testing.T) {
	s := newSim("a", "a", "a")
	s.publish(1)
	s.run(2 * time.Second)
	f := s.nodes[0].machine.(*Follower)
	f.nextHead = clock.Never // it reads no head here
	var out event.Outbox
	for _, p := range s.nodes[1:] {
		f.HandleMessage(s.now, p.name, message.Heartbeat{Version: 2}, &out)
	}
	f.Tick(f.fetch.until, &out)
	f.Tick(f.fetch.until, &out)
	asked, read := map[id.Instance]bool{}, false
	for _, e := range out.Take() {
		switch e := e.(type) {
		case event.SendPeer:
			asked[e.To] = true
		case event.TableRead:
			read = e.Keys[0] == RowKey(2)
		}
	}
	if len(asked) != 2 || !read {
		t.Errorf("asked %v, read the row: %t; want both peers, then the table", asked, read)
	}
}

// A zone that is cut off must know how old its knowledge is, or an account's
// serve_for limit would never end its service there.
func TestHeardAge(t *testing.T) {
	s := newSim(threeZones...)
	if s.nodes[0].ConfirmedAge(s.now) != NeverConfirmed {
		t.Error("heard before anything was")
	}
	alone := NewFollower(Settings{}, s.nodes[0], new(invariant.Checker))
	alone.inForce = &config.Config{Version: 1}
	alone.tip = alone.inForce
	alone.HandleMessage(5, s.nodes[1].name, message.Heartbeat{Version: 1, TableAge: math.MaxInt64}, new(event.Outbox))
	if alone.ConfirmedAge(9) != NeverConfirmed {
		t.Error("heard through a peer that never reached the table")
	}
	s.publish(1)
	s.run(3 * time.Second)
	within := func(i int, low, high time.Duration) {
		t.Helper()
		if age := s.nodes[i].ConfirmedAge(s.now); age < low || age > high {
			t.Errorf("age of %d is %s, want %s to %s", i, age, low, high)
		}
	}
	for i := range s.nodes {
		within(i, 0, time.Second)
	}
	s.cut["b"] = true
	s.run(time.Minute)
	within(0, 0, time.Second)
	within(4, 59*time.Second, 61*time.Second) // its own zone does not vouch for itself
	s.publish(1)
	s.run(2 * time.Second)
	// To hear of a version without getting it makes nothing in force newer.
	s.nodes[4].HandleMessage(s.now, s.nodes[3].name, message.Heartbeat{Version: 2}, new(event.Outbox))
	within(4, 61*time.Second, 63*time.Second)
	clear(s.cut)
	s.run(2 * time.Second)
	within(4, 0, time.Second)
}

// Readers are few, so that the load on the table does not grow with the fleet.
func TestTwoReadersPerZone(t *testing.T) {
	s := newSim("a", "a", "a", "a", "a")
	s.publish(1)
	s.run(2 * time.Second)
	readers := 0
	for _, n := range s.nodes {
		if n.machine.(*Follower).readsHead() {
			readers++
		}
	}
	if readers != 2 {
		t.Errorf("%d readers, want 2", readers)
	}
}

// BenchmarkSpread tells how long a version takes to be in force at all of nine
// instances in three zones, in virtual time: the table answers after 1 ms,
// messages take 1 ms, heartbeats go out every 500 ms.
func BenchmarkSpread(b *testing.B) {
	for _, push := range []int{defaultPush, -1} {
		b.Run(fmt.Sprint("push=", push), func(b *testing.B) {
			s := newSim(threeZones...)
			s.make = func(n *node) machine { return NewFollower(Settings{PushFanout: push}, n, new(invariant.Checker)) }
			for i := range s.nodes {
				s.start(i)
				s.run(77 * time.Millisecond) // so that they do not act in step
			}
			s.publish(1)
			s.run(5 * time.Second)
			var took []time.Duration
			for b.Loop() {
				s.run(time.Duration(1000+len(took)*37%300) * time.Millisecond)
				s.publish(1)
				from := s.now
				for !s.everywhere() {
					s.run(time.Millisecond)
				}
				took = append(took, s.now.Sub(from))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "p50-ms")
			b.ReportMetric(float64(took[len(took)*99/100].Milliseconds()), "p99-ms")
		})
	}
}

// A cut zone aside, a version must not wait for heartbeats: a withdrawn key
// would work for that much longer.
func TestReadersPush(t *testing.T) {
	s := newSim(threeZones...)
	s.publish(1)
	s.run(3 * time.Second)
	for range 20 {
		s.run(731 * time.Millisecond)
		s.publish(1)
		s.run(defaultPoll + 10*time.Millisecond)
		s.converged(t)
	}
}

// Instances start, stop and are cut off while operators apply versions and the
// network loses, doubles and delays. At no time may one go back; once faults
// end all have the newest version.
func TestFollowersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim("a", "a", "a", "b", "b", "c")
		loss := rapid.IntRange(0, 60).Draw(t, "loss")
		rng := rapid.Uint64().Draw(t, "network")
		next := func(n int) int {
			rng = rng*6364136223846793005 + 1442695040888963407
			return int(rng>>33) % n
		}
		s.fate = func() (int, time.Duration) {
			if next(100) < loss {
				return 0, 0
			}
			return 1 + next(2), time.Duration(1+next(400)) * time.Millisecond
		}
		s.publish(1)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				s.publish(rapid.IntRange(1, 60).Draw(t, "versions"))
			case 1:
				s.tableUp = !s.tableUp
			case 2:
				z := rapid.SampledFrom([]id.Zone{"a", "b", "c"}).Draw(t, "zone")
				s.cut[z] = !s.cut[z]
			case 3:
				s.start(rapid.IntRange(0, 5).Draw(t, "restart"))
			default:
				s.run(time.Duration(rapid.IntRange(50, 1500).Draw(t, "ms")) * time.Millisecond)
			}
		}
		s.tableUp = true
		clear(s.cut)
		s.fate = func() (int, time.Duration) { return 1, time.Millisecond }
		s.run(20 * time.Second)
		if len(s.reversed) > 0 {
			t.Fatalf("went back: %v", s.reversed)
		}
		s.converged(t)
	})
}

// reversing is a Follower that takes any decoded version, as one would that
// trusted the last answer instead of comparing: the check must notice.
type reversing struct {
	*Follower
	last event.ConfigDecoded
}

func (r *reversing) HandleDecoded(now clock.Time, e event.ConfigDecoded, out *event.Outbox) {
	if r.last.Config != nil {
		r.setTip(r.last.Config) // a late double of the answer before
	}
	r.last = e
	r.Follower.HandleDecoded(now, e, out)
}

// A doubled old answer is taken as new. Requests would run under a withdrawn
// key again; the invariant must stop the run instead.
func TestNoReversalCheckFires(t *testing.T) {
	s := newSim()
	s.zones = []id.Zone{"a"}
	s.make = func(n *node) machine {
		return &reversing{Follower: NewFollower(Settings{}, n, new(invariant.Checker))}
	}
	s.start(0)
	defer func() {
		v, ok := recover().(invariant.Violation)
		if !ok || v.Name != NoReversal || !strings.Contains(v.Detail, "after") {
			t.Errorf("recovered %v, want a violation of %s", v, NoReversal)
		}
	}()
	s.publish(3)
	s.run(3 * time.Second)
	s.publish(3)
	s.run(3 * time.Second)
}
