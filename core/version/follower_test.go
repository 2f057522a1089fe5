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

// Each case is one failure of the table, the network or an instance; its
// scenario says what happens. Afterwards all instances must have the newest
// version, and none may have gone back.
func TestFollowerFailures(t *testing.T) {
	cases := []struct {
		name, scenario string
		run            func(t *testing.T, s *sim)
	}{
		{"table down after the start", `
			A version has reached one zone only, because the two others were
			isolated when it was applied. Then the table goes down. Once the
			isolation ends, the two zones fetch it from the first.`,
			func(t *testing.T, s *sim) {
				s.isolated["b"], s.isolated["c"] = true, true
				s.publish(1)
				s.run(3 * time.Second)
				s.tableUp = false
				clear(s.isolated)
				s.run(3 * time.Second)
			}},
		{"start while the table is down", `
			An instance is replaced during a table outage while the others have
			different versions. It must start with the newest: in an older one
			a withdrawn key still works.`,
			func(t *testing.T, s *sim) {
				s.isolated["b"], s.isolated["c"] = true, true
				s.publish(3)
				s.run(2 * time.Second)
				s.tableUp = false
				clear(s.isolated)
				n := s.start(4)
				s.run(4 * time.Second)
				if len(n.activated) == 0 || n.activated[0] != s.newest.Version {
					t.Errorf("started with %v, want %d", n.activated, s.newest.Version)
				}
			}},
		{"start with a version that can't be fetched", `
			The only peer that announces the newest version dies before anyone
			fetches it, while the table is down. A starting instance waits for
			it, but then activates the newest available version, so that its
			zone can serve.`,
			func(t *testing.T, s *sim) {
				s.tableUp = false
				n := s.start(4)
				n.HandleMessage(s.now, s.nodes[0].name, message.Heartbeat{Version: 99}, new(event.Outbox))
				s.run(4 * time.Second)
				if len(n.activated) != 0 {
					t.Errorf("started with %v, without waiting for version 99", n.activated)
				}
				s.run(4 * time.Second)
			}},
		{"start after a peer died", `
			As before, but the announcing peer is known to be dead, so the
			instance doesn't wait for its version.`,
			func(t *testing.T, s *sim) {
				s.tableUp = false
				n := s.start(4)
				n.HandleMessage(s.now, s.nodes[0].name, message.Heartbeat{Version: 99}, new(event.Outbox))
				s.run(time.Second)
				s.start(0)
				s.run(time.Second)
				if len(n.activated) == 0 {
					t.Error("still waits for the version of a dead peer")
				}
				s.run(2 * time.Second)
			}},
		{"far behind", `
			A zone is isolated while more versions are applied than its peers
			keep changes of. Then it catches up with a snapshot, with the table
			down, and never goes back.`,
			func(t *testing.T, s *sim) {
				s.isolated["c"] = true
				s.publish(120)
				s.run(3 * time.Second)
				s.tableUp = false
				clear(s.isolated)
				s.run(3 * time.Second)
			}},
		{"half of all messages lost", `
			The network loses half of the messages and table results. Requests
			are repeated at other sources, so the version still arrives.`,
			func(t *testing.T, s *sim) {
				rng := rand.New(rand.NewPCG(1, 1))
				s.network = func() (int, time.Duration) { return rng.IntN(2), time.Millisecond }
				s.publish(5)
				s.run(10 * time.Second)
			}},
		{"messages duplicated and reordered", `
			Each message arrives three times and out of order. Old changes that
			arrive again have no effect.`,
			func(t *testing.T, s *sim) {
				n := 0
				s.network = func() (int, time.Duration) {
					n++
					return 3, time.Duration(97-n%97) * 5 * time.Millisecond
				}
				for range 10 {
					s.publish(3)
					s.run(time.Second)
				}
				s.run(5 * time.Second)
			}},
		{"both head readers of a zone replaced", `
			Both head readers of a zone are replaced at once. Other instances
			become head readers, and the new ones start.`,
			func(t *testing.T, s *sim) {
				s.start(0)
				s.start(1)
				s.publish(1)
				s.run(3 * time.Second)
			}},
		{"unreadable change", `
			A peer sends a change that can't be decoded. It is dropped, and the
			change is fetched from another source.`,
			func(t *testing.T, s *sim) {
				var out event.Outbox
				bad := message.VersionChange{Version: s.newest.Version + 1, Change: []byte("{")}
				s.nodes[2].HandleMessage(s.now, s.nodes[8].name, bad, &out)
				s.applyEffects(s.nodes[2], &out)
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
			s.requireConverged(t)
			c.run(t, s)
			s.requireNoRollback(t)
			s.requireConverged(t)
		})
	}
}

// An instance requests a version from a peer that died after announcing it. The
// request times out and goes to the other peer, then to the table; otherwise a
// withdrawn key would go on working.
func TestFetchTriesAnotherPeer(t *testing.T) {
	s := newSim("a", "a", "a")
	s.publish(1)
	s.run(2 * time.Second)
	f := s.nodes[0].machine.(*Follower)
	f.nextHeadRead = clock.Never // no reads of the head in this test
	var out event.Outbox
	for _, p := range s.nodes[1:] {
		f.HandleMessage(s.now, p.name, message.Heartbeat{Version: 2}, &out)
	}
	f.Tick(f.fetch.deadline, &out)
	f.Tick(f.fetch.deadline, &out)
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
		t.Errorf("asked %v, read the row: %t; want both peers and the table", asked, read)
	}
}

// An isolated zone must know how long ago its version was last confirmed;
// otherwise it would serve an account beyond its serve_for limit.
func TestConfirmedAge(t *testing.T) {
	s := newSim(threeZones...)
	if s.nodes[0].ConfirmedAge(s.now) != NeverConfirmed {
		t.Error("confirmed before any input")
	}
	alone := NewFollower(Settings{}, s.nodes[0], new(invariant.Checker))
	alone.active = &config.Config{Version: 1}
	alone.tip = alone.active
	alone.HandleMessage(5, s.nodes[1].name, message.Heartbeat{Version: 1, TableAge: math.MaxInt64}, new(event.Outbox))
	if alone.ConfirmedAge(9) != NeverConfirmed {
		t.Error("confirmed by a peer that never reached the table")
	}
	s.publish(1)
	s.run(3 * time.Second)
	requireAge := func(i int, low, high time.Duration) {
		t.Helper()
		if age := s.nodes[i].ConfirmedAge(s.now); age < low || age > high {
			t.Errorf("confirmed age of instance %d is %s, want %s to %s", i, age, low, high)
		}
	}
	for i := range s.nodes {
		requireAge(i, 0, time.Second)
	}
	s.isolated["b"] = true
	s.run(time.Minute)
	requireAge(0, 0, time.Second)
	requireAge(4, 59*time.Second, 61*time.Second) // instances of the isolated zone don't confirm one another
	s.publish(1)
	s.run(2 * time.Second)
	// An announced version that was not fetched confirms nothing.
	s.nodes[4].HandleMessage(s.now, s.nodes[3].name, message.Heartbeat{Version: 2}, new(event.Outbox))
	requireAge(4, 61*time.Second, 63*time.Second)
	clear(s.isolated)
	s.run(2 * time.Second)
	requireAge(4, 0, time.Second)
}

// The number of head readers is fixed per zone, so that the load on the table
// does not grow with the fleet.
func TestTwoReadersPerZone(t *testing.T) {
	s := newSim("a", "a", "a", "a", "a")
	s.publish(1)
	s.run(2 * time.Second)
	readers := 0
	for _, n := range s.nodes {
		if n.machine.(*Follower).isHeadReader() {
			readers++
		}
	}
	if readers != 2 {
		t.Errorf("%d head readers, want 2", readers)
	}
}

// BenchmarkPropagation measures, in virtual time, how long a version takes to
// become active at all nine instances of three zones. Table reads and messages
// take 1 ms, and heartbeats are sent every 500 ms.
func BenchmarkPropagation(b *testing.B) {
	for _, push := range []int{defaultPushFanout, -1} {
		b.Run(fmt.Sprint("push=", push), func(b *testing.B) {
			s := newSim(threeZones...)
			s.make = func(n *node) machine { return NewFollower(Settings{PushFanout: push}, n, new(invariant.Checker)) }
			for i := range s.nodes {
				s.start(i)
				s.run(77 * time.Millisecond) // so that their timers are not in phase
			}
			s.publish(1)
			s.run(5 * time.Second)
			var took []time.Duration
			for b.Loop() {
				s.run(time.Duration(1000+len(took)*37%300) * time.Millisecond)
				s.publish(1)
				from := s.now
				for !s.allCurrent() {
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

// Without isolated zones, a version must reach all instances without waiting for
// heartbeats, since a withdrawn key works until then.
func TestHeadReadersPushChanges(t *testing.T) {
	s := newSim(threeZones...)
	s.publish(1)
	s.run(3 * time.Second)
	for range 20 {
		s.run(731 * time.Millisecond)
		s.publish(1)
		s.run(defaultHeadPollInterval + 10*time.Millisecond)
		s.requireConverged(t)
	}
}

// Instances are replaced and zones isolated while versions are published and the
// network loses, duplicates and delays messages. No instance may go back to a
// lower version, and after the faults all have the newest.
func TestFollowersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim("a", "a", "a", "b", "b", "c")
		loss := rapid.IntRange(0, 60).Draw(t, "loss")
		rng := rapid.Uint64().Draw(t, "network")
		next := func(n int) int {
			rng = rng*6364136223846793005 + 1442695040888963407
			return int(rng>>33) % n
		}
		s.network = func() (int, time.Duration) {
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
				s.isolated[z] = !s.isolated[z]
			case 3:
				s.start(rapid.IntRange(0, 5).Draw(t, "restart"))
			default:
				s.run(time.Duration(rapid.IntRange(50, 1500).Draw(t, "ms")) * time.Millisecond)
			}
		}
		s.tableUp = true
		clear(s.isolated)
		s.network = func() (int, time.Duration) { return 1, time.Millisecond }
		s.run(20 * time.Second)
		if len(s.rollbacks) > 0 {
			t.Fatalf("went back to lower versions: %v", s.rollbacks)
		}
		s.requireConverged(t)
	})
}

// rollbackFollower is a Follower that also accepts the previous decoded version
// again, without comparing versions.
type rollbackFollower struct {
	*Follower
	previous event.ConfigDecoded
}

func (r *rollbackFollower) HandleDecoded(now clock.Time, e event.ConfigDecoded, out *event.Outbox) {
	if r.previous.Config != nil {
		r.setTip(r.previous.Config) // a late duplicate of the previous result
	}
	r.previous = e
	r.Follower.HandleDecoded(now, e, out)
}

// If a duplicate of an old result were accepted, a withdrawn key would work
// again; the invariant must report it.
func TestNoReversalCheckFires(t *testing.T) {
	s := newSim()
	s.zones = []id.Zone{"a"}
	s.make = func(n *node) machine {
		return &rollbackFollower{Follower: NewFollower(Settings{}, n, new(invariant.Checker))}
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
