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

// instance is a membership and a lease, as an entry instance has them.
type instance struct {
	*member.Membership
	lease *Lease
}

func (i *instance) Tick(now clock.Time, out *event.Outbox) {
	i.lease.Tick(now, out)
	i.SetSelf(0, false, i.lease.Fencing(), i.lease.TableAge(now))
	i.Membership.Tick(now, out)
}
func (i *instance) Next() clock.Time { return clock.Earliest(i.lease.Next(), i.Membership.Next()) }
func (i *instance) Peer(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	i.lease.Peer(now, from, m, out)
	i.Membership.Peer(now, from, m, out)
}
func (i *instance) Table(now clock.Time, r event.TableResult, out *event.Outbox) {
	i.lease.Table(now, r, out)
}

// fleet is a world of instances whose leases are checked at each step.
type fleet struct {
	*fleettest.World
	hooks   hooks
	violate func(format string, args ...any)
}

func newFleet(seed uint64, violate func(string, ...any)) *fleet {
	f := &fleet{World: fleettest.New(seed), violate: violate}
	f.Check = f.checkRights
	f.Drift = 0.02
	return f
}

// start adds an instance that finds the running ones on the instance list.
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
	m.List(n.Local(f.Now), list)
	return n
}

func lease(n *fleettest.Node) *Lease { return n.Machine.(*instance).lease }

func (f *fleet) valid(n *fleettest.Node) bool {
	return !n.Dead && !f.Paused(n) && lease(n).Valid(n.Local(f.Now))
}

// checkRights is the oracle: a session that the table has as ended, whose
// things others may use by now, must not be in use.
func (f *fleet) checkRights() {
	for _, n := range f.Nodes {
		row, ok := f.Rows[sessionKey(n.Name)]
		if ok && row.Body.(table.Session).State == table.SessionEnded && f.valid(n) {
			f.violate("%s uses its right, ended by %s", n.Name, row.Body.(table.Session).EndedBy)
		}
	}
}

// three starts a, b and c in zone z1 and d in z2, each with its row.
func (f *fleet) three() (a, b, c, d *fleettest.Node) {
	a, b, c, d = f.start("a", "z1"), f.start("b", "z1"), f.start("c", "z1"), f.start("d", "z2")
	f.Run(5 * time.Second)
	return a, b, c, d
}

func TestMain(m *testing.M) {
	fleettest.FixSeed(100)
	m.Run()
}

// A caller's requests are served by an instance for as long as its lease holds.
// In each case something fails around the holder a; what is checked is that it
// goes on where nobody can have taken its session over, and has stopped before
// anybody did.
func TestFailures(t *testing.T) {
	const minute = time.Minute
	cases := []struct {
		name  string
		run   func(f *fleet, a, b, c *fleettest.Node)
		valid bool
		lost  bool
	}{
		{"store down for ten minutes", func(f *fleet, a, _, _ *fleettest.Node) {
			f.Faults.TableDown = true
			f.Run(10 * minute)
		}, true, false},
		{"platform out of reach of the zone", func(f *fleet, a, _, _ *fleettest.Node) {
			f.Faults.ZoneCut["z1"] = true
			f.Run(10 * minute)
		}, true, false},
		{"zone cut from the other zone", func(f *fleet, a, _, _ *fleettest.Node) {
			f.Faults.LinkCut = func(a, b *fleettest.Node) bool { return a.Zone != b.Zone }
			f.Run(minute)
		}, true, false},
		{"a alone can't reach the store", func(f *fleet, a, _, _ *fleettest.Node) {
			a.NoTable = true
			f.Run(minute)
		}, true, false},
		{"all answers lost", func(f *fleet, a, _, _ *fleettest.Node) {
			f.Faults.LostAnswer = 0.9
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
		{"all of the zone paused with the store down", func(f *fleet, a, b, c *fleettest.Node) {
			f.Faults.TableDown = true
			f.Run(minute)
			for _, n := range []*fleettest.Node{a, b, c} {
				f.Pause(n, minute)
			}
			f.Run(minute + 5*time.Second)
		}, true, false},
		{"pause, and a zone-mate dies, with the store down", func(f *fleet, a, b, _ *fleettest.Node) {
			f.Faults.TableDown = true
			f.Pause(a, minute)
			b.Dead = true
			f.Run(2 * minute)
		}, false, false},
		{"store back during the pause, down again after", func(f *fleet, a, _, _ *fleettest.Node) {
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
			a, b, third, _ := f.three()
			c.run(f, a, b, third)
			if got := f.valid(a); got != c.valid {
				t.Errorf("valid: %v, want %v", got, c.valid)
			}
			if got := lease(a).Lost(); got != c.lost {
				t.Errorf("lost: %v, want %v", got, c.lost)
			}
		})
	}
}

// An instance of another zone asks about a dead holder's session, and so do two
// of its own zone at once. Only one of these two may end it, and only after the
// whole wait; the callers' limits depend on it. Then all of them learn of it.
func TestTakeover(t *testing.T) {
	f := newFleet(2, t.Fatalf)
	a, b, c, d := f.three()
	died := f.Now
	a.Dead = true
	takeovers := 0
	f.Faults.Commit = func(w []table.Write) {
		if s, ok := w[0].Body.(table.Session); ok && s.Instance == "a" {
			takeovers++
			if waited := f.Now.Sub(died); waited < DefaultTerm || s.Fencing != 2 || s.EndedBy == "d" {
				t.Errorf("%s took over after %s with fencing %d", s.EndedBy, waited, s.Fencing)
			}
		}
	}
	for range 40 {
		for _, n := range []*fleettest.Node{b, c, d} {
			lease(n).Ended("a")
		}
		f.Run(time.Second)
	}
	for _, n := range []*fleettest.Node{b, c, d} {
		if changed := lease(n).EndedChanged(); !lease(n).Ended("a") || len(changed) != 1 {
			t.Errorf("%s: changed %v", n.Name, changed)
		}
	}
	if takeovers != 1 {
		t.Errorf("%d takeovers", takeovers)
	}
}

// A planned stop ends the right at once, also while the table is down, and the
// table learns of it when it is back. The caller sees no refusal for it.
func TestStop(t *testing.T) {
	f := newFleet(3, t.Fatalf)
	a, _, _, _ := f.three()
	f.Faults.TableDown = true
	f.Do(a, lease(a).Stop)
	if f.valid(a) {
		t.Error("valid after Stop")
	}
	f.Run(time.Minute)
	f.Faults.TableDown = false
	f.Faults.LostAnswer = 0.5
	f.Run(time.Minute)
	if s := f.Rows[sessionKey("a")].Body.(table.Session); s.EndedBy != "a" || !lease(a).Stopped() || lease(a).Lost() {
		t.Errorf("row %+v, stopped %v", s, lease(a).Stopped())
	}
}

// Each safeguard is switched off in turn. Without it a caller's order is sent
// by two instances; the oracle or the assertion in the lease has to notice.
func TestSafeguardsAreNeeded(t *testing.T) {
	pausedAndTaken := func(f *fleet) *fleettest.Node {
		a, _, _, _ := f.three()
		f.Pause(a, time.Minute)
		f.Run(time.Minute - time.Second)
		a.NoTable = true
		f.Run(10 * time.Second)
		return a
	}
	cases := []struct {
		name  string
		hooks hooks
		run   func(f *fleet)
	}{
		{"gap", hooks{ignoreGap: true}, func(f *fleet) { pausedAndTaken(f) }},
		{"read back", hooks{assumeRenewed: true}, func(f *fleet) { pausedAndTaken(f) }},
		{"silence", hooks{takeUnheard: true}, func(f *fleet) {
			a, b, c, _ := f.three()
			a.NoTable = true
			f.Faults.LinkCut = func(x, _ *fleettest.Node) bool { return x == a }
			soon := func(l *Lease, now clock.Time) bool {
				e := l.watch.entries["a"]
				return e != nil && now.Sub(e.since) > DefaultTerm+DefaultMargin/2
			}
			for !soon(lease(b), b.Local(f.Now)) && !soon(lease(c), c.Local(f.Now)) {
				f.Run(100 * time.Millisecond)
			}
			f.Faults.LinkCut = nil // a is heard again right before it would be taken over
			f.Run(2 * time.Second)
		}},
		{"table age", hooks{confirmAny: true}, func(f *fleet) {
			a, b, c, _ := f.three()
			b.Dead, c.NoTable = true, true
			f.Run(time.Minute)
			f.Pause(a, 3*time.Minute)
			f.Run(time.Second)
			e := f.start("e", "z1") // takes over and dies while a is paused
			f.Faults.LinkCut = func(x, y *fleettest.Node) bool { return x == e && y == a }
			f.Run(time.Second)
			lease(e).Ended("a")
			f.Run(time.Minute)
			e.Dead, c.NoTable = true, false
			f.Run(time.Second)
			f.Faults.TableDown = true
			f.Run(3 * time.Minute)
		}},
	}
	for _, c := range cases {
		for _, broken := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/broken=%v", c.name, broken), func(t *testing.T) {
				noticed := false
				f := newFleet(4, func(string, ...any) { noticed = true })
				if broken {
					f.hooks = c.hooks
				}
				func() {
					defer func() { noticed = recover() != nil || noticed }()
					c.run(f)
				}()
				if noticed != broken {
					t.Errorf("violation noticed: %v", noticed)
				}
			})
		}
	}
}

// Pauses, deaths, restarts, store outages, lost answers and cuts between zones
// come at random. Whatever the mix, no caller may be served under a right that
// another instance has ended.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		f.three()
		f.Faults.Loss, f.Faults.Dup = 0.05, 0.05
		f.Faults.Delay = 100 * time.Millisecond
		for n := range rapid.IntRange(1, 25).Draw(t, "faults") {
			f.randomFault(t, n)
			f.Run(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
		}
		f.Faults = fleettest.Faults{Delay: time.Millisecond, ZoneCut: map[id.Zone]bool{}}
		f.Run(2 * time.Minute)
		for _, n := range f.Nodes {
			if !n.Dead && !f.valid(n) && !lease(n).Lost() {
				t.Fatalf("%s neither holds nor lost its lease though nothing fails", n.Name)
			}
		}
	})
}

func (f *fleet) randomFault(t *rapid.T, n int) {
	node := f.Nodes[rapid.IntRange(0, len(f.Nodes)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 6).Draw(t, "fault") {
	case 0, 1:
		f.Pause(node, time.Duration(rapid.IntRange(1, 60_000).Draw(t, "pause"))*time.Millisecond)
	case 2:
		node.Dead = true
		f.start(id.Instance(fmt.Sprint("n", n)), node.Zone)
	case 3:
		f.Faults.TableDown = !f.Faults.TableDown
	case 4:
		f.Faults.LostAnswer = 0.5 - f.Faults.LostAnswer
	case 5:
		f.Faults.ZoneCut["z1"] = !f.Faults.ZoneCut["z1"]
	case 6:
		f.Faults.LinkCut = func(a, b *fleettest.Node) bool { return a.Zone != b.Zone }
	}
}
