package session

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/fleettest"
	"oleanderdale.org/core/process/member"
	"oleanderdale.org/core/table"
)

// instance combines a membership and a lease, as a real instance does.
type instance struct {
	*member.Membership
	lease *Lease
}

func (i *instance) Tick(now clock.Time, out *event.Outbox) {
	i.lease.Tick(now, out)
	i.SetOwnState(0, false, i.lease.Fencing(), i.lease.TableAge(now))
	i.Membership.Tick(now, out)
}
func (i *instance) Next() clock.Time { return clock.Earliest(i.lease.Next(), i.Membership.Next()) }
func (i *instance) HandleMessage(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	i.lease.HandleMessage(now, from, m, out)
	i.Membership.HandleMessage(now, from, m, out)
}
func (i *instance) HandleTableResult(now clock.Time, r event.TableResult, out *event.Outbox) {
	i.lease.HandleTableResult(now, r, out)
}

// fleet is a simulated fleet of instances whose leases are checked at each
// step.
type fleet struct {
	*fleettest.Fleet
	hooks           testHooks
	reportViolation func(format string, args ...any)
}

func newFleet(seed uint64, violate func(string, ...any)) *fleet {
	f := &fleet{Fleet: fleettest.New(seed), reportViolation: violate}
	f.OnStep = f.checkLeases
	f.ClockDrift = 0.02
	return f
}

// start adds an instance that finds the running instances in the instance
// list.
func (f *fleet) start(name id.Instance, z id.Zone) *fleettest.Node {
	set := member.Settings{Instance: name, Zone: z, Address: string(name)}
	m := member.New(set, &invariant.Checker{})
	var list event.InstanceListRead
	for _, n := range f.Nodes {
		if !n.Dead {
			list.Members = append(list.Members, event.Member{Name: string(n.Name), Zone: n.Zone})
		}
	}
	l := New(Settings{Instance: name, Zone: z, Address: string(name)}, m, &invariant.Checker{})
	l.hooks = f.hooks
	n := f.Add(name, z, &instance{Membership: m, lease: l})
	m.ApplyList(n.LocalTime(f.Now), list)
	return n
}

func leaseOf(n *fleettest.Node) *Lease { return n.Machine.(*instance).lease }

func (f *fleet) holdsLease(n *fleettest.Node) bool {
	return !n.Dead && !f.Paused(n) && leaseOf(n).Valid(n.LocalTime(f.Now))
}

// checkLeases checks that a session that has ended according to the table is
// not in use. Others may already use what it owned.
func (f *fleet) checkLeases() {
	for _, n := range f.Nodes {
		row, ok := f.Rows[sessionKey(n.Name)]
		if ok && row.Body.(table.Session).State == table.SessionEnded && f.holdsLease(n) {
			f.reportViolation("%s uses its lease, ended by %s", n.Name, row.Body.(table.Session).EndedBy)
		}
	}
}

// startFour starts a, b and c in zone z1 and d in zone z2, and waits for
// their rows to be written.
func (f *fleet) startFour() (a, b, c, d *fleettest.Node) {
	a, b, c, d = f.start("a", "z1"), f.start("b", "z1"), f.start("c", "z1"), f.start("d", "z2")
	f.Run(5 * time.Second)
	return a, b, c, d
}

func TestMain(m *testing.M) {
	fleettest.SetRapidDefaults(100)
	m.Run()
}

// An instance serves requests for as long as its lease is valid. In each case
// something fails around the holder a. It must keep the lease if no instance
// can have taken its session over, and must have stopped using it before any
// instance has.
func TestFailures(t *testing.T) {
	const minute = time.Minute
	cases := []struct {
		name      string
		run       func(f *fleet, a, b, c *fleettest.Node)
		wantValid bool
		wantLost  bool
	}{
		{"store down for ten minutes", func(f *fleet, a, _, _ *fleettest.Node) {
			f.Faults.TableDown = true
			f.Run(10 * minute)
		}, true, false},
		{"platform unreachable from the zone", func(f *fleet, a, _, _ *fleettest.Node) {
			f.Faults.IsolatedZones["z1"] = true
			f.Run(10 * minute)
		}, true, false},
		{"zone isolated from the other zone", func(f *fleet, a, _, _ *fleettest.Node) {
			f.Faults.IsLinkCut = func(a, b *fleettest.Node) bool { return a.Zone != b.Zone }
			f.Run(minute)
		}, true, false},
		{"a alone can't reach the store", func(f *fleet, a, _, _ *fleettest.Node) {
			a.TableUnreachable = true
			f.Run(minute)
		}, true, false},
		{"all answers lost", func(f *fleet, a, _, _ *fleettest.Node) {
			f.Faults.LostReplyRate = 0.9
			f.Run(minute)
		}, true, false},
		{"short pause", func(f *fleet, a, _, _ *fleettest.Node) {
			f.Pause(a, 3*time.Second)
			f.Run(4 * time.Second)
		}, true, false},
		{"long pause", func(f *fleet, a, _, _ *fleettest.Node) {
			f.Pause(a, minute)
			f.Run(minute + 5*time.Second)
		}, false, true},
		{"long pause with the store down", func(f *fleet, a, _, _ *fleettest.Node) {
			f.Faults.TableDown = true
			f.Run(minute)
			f.Pause(a, minute)
			f.Run(minute + 5*time.Second)
		}, true, false},
		{"whole zone paused with the store down", func(f *fleet, a, b, c *fleettest.Node) {
			f.Faults.TableDown = true
			f.Run(minute)
			for _, n := range []*fleettest.Node{a, b, c} {
				f.Pause(n, minute)
			}
			f.Run(minute + 5*time.Second)
		}, true, false},
		{"pause while another instance of the zone dies, with the store down", func(f *fleet, a, b, _ *fleettest.Node) {
			f.Faults.TableDown = true
			f.Pause(a, minute)
			b.Dead = true
			f.Run(2 * minute)
		}, false, false},
		{"store up during the pause, down again after it", func(f *fleet, a, _, _ *fleettest.Node) {
			f.Faults.TableDown = true
			f.Run(minute)
			f.Pause(a, 2*minute)
			f.Faults.TableDown = false
			f.Run(minute)
			f.Faults.TableDown = true
			f.Run(2 * minute)
		}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(1, t.Fatalf)
			a, b, third, _ := f.startFour()
			c.run(f, a, b, third)
			if got := f.holdsLease(a); got != c.wantValid {
				t.Errorf("valid: %v, want %v", got, c.wantValid)
			}
			if got := leaseOf(a).Lost(); got != c.wantLost {
				t.Errorf("lost: %v, want %v", got, c.wantLost)
			}
		})
	}
}

// Two instances of a dead holder's zone and one of another zone ask at the
// same time whether its session has ended. Only one of the two may end the
// session, and only after the whole wait; otherwise rate limits could be
// exceeded. Then all of them must learn of it.
func TestTakeover(t *testing.T) {
	f := newFleet(2, t.Fatalf)
	a, b, c, d := f.startFour()
	died := f.Now
	a.Dead = true
	takeovers := 0
	f.Faults.OnCommit = func(w []table.Write) {
		if s, ok := w[0].Body.(table.Session); ok && s.Instance == "a" {
			takeovers++
			if waited := f.Now.Sub(died); waited < DefaultTerm || s.Fencing != 2 || s.EndedBy == "d" {
				t.Errorf("%s took over after %s with fencing %d", s.EndedBy, waited, s.Fencing)
			}
		}
	}
	for range 40 {
		for _, n := range []*fleettest.Node{b, c, d} {
			leaseOf(n).HasEnded("a")
		}
		f.Run(time.Second)
	}
	for _, n := range []*fleettest.Node{b, c, d} {
		if changed := leaseOf(n).NewlyEnded(); !leaseOf(n).HasEnded("a") || len(changed) != 1 {
			t.Errorf("%s: newly ended %v, want only a", n.Name, changed)
		}
	}
	if takeovers != 1 {
		t.Errorf("%d takeovers, want 1", takeovers)
	}
}

// A planned stop ends the lease at once, even while the table is down. The
// row is updated when the table is back. No caller may be refused because of
// it.
func TestStop(t *testing.T) {
	f := newFleet(3, t.Fatalf)
	a, _, _, _ := f.startFour()
	f.Faults.TableDown = true
	f.Call(a, leaseOf(a).Stop)
	if f.holdsLease(a) {
		t.Error("valid after Stop")
	}
	f.Run(time.Minute)
	f.Faults.TableDown = false
	f.Faults.LostReplyRate = 0.5
	f.Run(time.Minute)
	if s := f.Rows[sessionKey("a")].Body.(table.Session); s.EndedBy != "a" || !leaseOf(a).Stopped() || leaseOf(a).Lost() {
		t.Errorf("row %+v, stopped %v", s, leaseOf(a).Stopped())
	}
}

// Disables each safeguard in turn. Without it two instances act under the
// same lease, and the lease check of the fleet or the invariant check in the
// lease must detect that.
func TestSafeguardsAreNeeded(t *testing.T) {
	pauseUntilTakenOver := func(f *fleet) *fleettest.Node {
		a, _, _, _ := f.startFour()
		f.Pause(a, time.Minute)
		f.Run(time.Minute - time.Second)
		a.TableUnreachable = true
		f.Run(10 * time.Second)
		return a
	}
	cases := []struct {
		name  string
		hooks testHooks
		run   func(f *fleet)
	}{
		{"pause detection", testHooks{ignorePauses: true}, func(f *fleet) { pauseUntilTakenOver(f) }},
		{"row read after an unknown result", testHooks{assumeRenewed: true}, func(f *fleet) { pauseUntilTakenOver(f) }},
		{"wait for the holder's silence", testHooks{skipSilenceCheck: true}, func(f *fleet) {
			a, b, c, _ := f.startFour()
			a.TableUnreachable = true
			f.Faults.IsLinkCut = func(x, _ *fleettest.Node) bool { return x == a }
			nearlyTakenOver := func(l *Lease, now clock.Time) bool {
				e := l.watch.entries["a"]
				return e != nil && now.Sub(e.unchangedSince) > DefaultTerm+DefaultDriftMargin/2
			}
			for !nearlyTakenOver(leaseOf(b), b.LocalTime(f.Now)) && !nearlyTakenOver(leaseOf(c), c.LocalTime(f.Now)) {
				f.Run(100 * time.Millisecond)
			}
			f.Faults.IsLinkCut = nil // messages of a arrive again right before the takeover
			f.Run(2 * time.Second)
		}},
		{"table age in Confirm", testHooks{acceptAnyConfirm: true}, func(f *fleet) {
			a, b, c, _ := f.startFour()
			b.Dead, c.TableUnreachable = true, true
			f.Run(time.Minute)
			f.Pause(a, 3*time.Minute)
			f.Run(time.Second)
			e := f.start("e", "z1") // takes the session of a over and dies while a is paused
			f.Faults.IsLinkCut = func(x, y *fleettest.Node) bool { return x == e && y == a }
			f.Run(time.Second)
			leaseOf(e).HasEnded("a")
			f.Run(time.Minute)
			e.Dead, c.TableUnreachable = true, false
			f.Run(time.Second)
			f.Faults.TableDown = true
			f.Run(3 * time.Minute)
		}},
	}
	for _, c := range cases {
		for _, disabled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/disabled=%v", c.name, disabled), func(t *testing.T) {
				detected := false
				f := newFleet(4, func(string, ...any) { detected = true })
				if disabled {
					f.hooks = c.hooks
				}
				func() {
					defer func() { detected = recover() != nil || detected }()
					c.run(f)
				}()
				if detected != disabled {
					t.Errorf("violation detected: %v", detected)
				}
			})
		}
	}
}

// Pauses, deaths, restarts, table outages, lost results and isolated zones
// occur at random. In any combination no lease may be valid that another
// instance has ended, and afterwards all running instances must hold a valid
// lease or have lost theirs.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		f.startFour()
		f.Faults.LossRate, f.Faults.DuplicateRate = 0.05, 0.05
		f.Faults.MaxDelay = 100 * time.Millisecond
		for n := range rapid.IntRange(1, 25).Draw(t, "faults") {
			f.randomFault(t, n)
			f.Run(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
		}
		f.Faults = fleettest.Faults{MaxDelay: time.Millisecond, IsolatedZones: map[id.Zone]bool{}}
		f.Run(2 * time.Minute)
		for _, n := range f.Nodes {
			if !n.Dead && !f.holdsLease(n) && !leaseOf(n).Lost() {
				t.Fatalf("%s neither holds nor has lost its lease, although no fault is active", n.Name)
			}
		}
	})
}

func (f *fleet) randomFault(t *rapid.T, step int) {
	node := f.Nodes[rapid.IntRange(0, len(f.Nodes)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0, 1:
		f.Pause(node, time.Duration(rapid.IntRange(1, 60_000).Draw(t, "pause"))*time.Millisecond)
	case 2:
		node.Dead = true
		f.start(id.Instance(fmt.Sprint("n", step)), node.Zone)
	case 3:
		f.Faults.TableDown = !f.Faults.TableDown
	case 4:
		f.Faults.LostReplyRate = 0.5 - f.Faults.LostReplyRate
	case 5:
		f.Faults.IsolatedZones["z1"] = !f.Faults.IsolatedZones["z1"]
	case 6:
		f.Faults.IsLinkCut = func(a, b *fleettest.Node) bool { return a.Zone != b.Zone }
	}
}
