package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
)

func at(d time.Duration) clock.Time { return clock.Time(0).Add(d) }

func backend(name, address string, leaving bool) event.Member {
	return event.Member{Name: name, Address: address, Zone: "z1", Group: "models", Leaving: leaving}
}

func list(members ...event.Member) event.InstanceListRead {
	// This instance is on every list, so that none is empty.
	return event.InstanceListRead{Members: append(members, event.Member{Name: "a", Zone: "z1"})}
}

// A backend server is about to be reclaimed, and a call that goes to it then is
// cut. Signs of it come from the list, whose readings lag and overtake one
// another, and from the server; the first one counts until the server is gone.
func TestLeavingBackend(t *testing.T) {
	stays, leaves := backend("b", "b:1", false), backend("b", "b:1", true)
	cases := []struct {
		name    string
		lists   []event.InstanceListRead
		mark    bool
		leaving bool
	}{
		{"listed", []event.InstanceListRead{list(stays)}, false, false},
		{"listed as leaving", []event.InstanceListRead{list(leaves)}, false, true},
		{"older list after", []event.InstanceListRead{list(leaves), list(stays)}, false, true},
		{"own report", []event.InstanceListRead{list(stays)}, true, true},
		{"off the list", []event.InstanceListRead{list(stays), list()}, false, true},
		{"older list without it", []event.InstanceListRead{list(stays), list(), list(stays)}, false, false},
		{"off the list for long", []event.InstanceListRead{list(stays), list(), list(), list(), list(stays)}, false, true},
		{"no reading", []event.InstanceListRead{list(stays), {}}, false, false},
		{"new server of the same name", []event.InstanceListRead{list(leaves), list(backend("b", "b:2", false))}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New(Settings{Instance: "a", Zone: "z1"}, nil)
			for _, l := range c.lists {
				m.List(0, l)
			}
			if c.mark {
				m.MarkLeaving("b")
				m.List(0, list(stays))
			}
			if b, ok := m.Backend("b"); !ok || b.Leaving != c.leaving || m.Backends()[0] != b {
				t.Errorf("%+v, want leaving %v", b, c.leaving)
			}
		})
	}
}

// A backend server does not answer: it gets no call until the retry time, but
// it is not leaving, and serves again as soon as it answers.
func TestDownBackend(t *testing.T) {
	m := New(Settings{Instance: "a", Zone: "z1"}, nil)
	m.List(0, list(backend("b", "b:1", false)))
	m.MarkDown(0, "b")
	if !m.Down(at(DefaultBackendRetry-1), "b") || m.Down(at(DefaultBackendRetry), "b") {
		t.Error("not down until the retry time")
	}
	m.MarkDown(0, "b")
	m.MarkUp("b")
	if b, _ := m.Backend("b"); m.Down(1, "b") || b.Leaving {
		t.Errorf("%+v down after MarkUp", b)
	}
}

// run ticks m from one time to another and returns what it sent to whom.
func run(m *Membership, from, to time.Duration) map[id.Instance]int {
	sent := make(map[id.Instance]int)
	for d := from; d < to; d += DefaultPeriod {
		var out event.Outbox
		m.Tick(at(d), &out)
		for _, e := range out.Take() {
			sent[e.(event.SendPeer).To]++
		}
	}
	return sent
}

// Requests are queued and tokens drawn at the instances seen here. One that
// died or is leaving must be out of sight soon; one that is only listed must
// not be in sight; and after a pause of this instance the others must not all
// seem dead.
func TestLiveInstances(t *testing.T) {
	hb := message.Heartbeat{Zone: "z1", Address: "b:1"}
	cases := []struct {
		name string
		run  func(m *Membership, hear func(d time.Duration, h message.Heartbeat))
		live []id.Instance
	}{
		{"only listed", func(m *Membership, _ func(time.Duration, message.Heartbeat)) {
			m.List(0, list(event.Member{Name: "b", Zone: "z1"}))
		}, []id.Instance{"a"}},
		{"heard", func(_ *Membership, hear func(time.Duration, message.Heartbeat)) { hear(0, hb) }, []id.Instance{"a", "b"}},
		{"silent", func(m *Membership, hear func(time.Duration, message.Heartbeat)) {
			hear(0, hb)
			run(m, 0, DefaultDeadAfter+DefaultPeriod)
		}, []id.Instance{"a"}},
		{"after a pause here", func(m *Membership, hear func(time.Duration, message.Heartbeat)) {
			hear(0, hb)
			run(m, 0, DefaultPeriod)
			run(m, time.Minute, time.Minute+DefaultPeriod)
		}, []id.Instance{"a", "b"}},
		{"leaving, then a late heartbeat", func(_ *Membership, hear func(time.Duration, message.Heartbeat)) {
			hear(0, message.Heartbeat{Zone: "z1", Leaving: true})
			hear(1, hb)
		}, []id.Instance{"a"}},
		{"listed as leaving", func(m *Membership, hear func(time.Duration, message.Heartbeat)) {
			hear(0, hb)
			m.List(0, list(event.Member{Name: "b", Zone: "z1", Leaving: true}))
		}, []id.Instance{"a"}},
		{"this one leaving", func(m *Membership, hear func(time.Duration, message.Heartbeat)) {
			hear(0, hb)
			m.SetSelf(1, true, 1, 0)
		}, []id.Instance{"b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New(Settings{Instance: "a", Zone: "z1"}, nil)
			var out event.Outbox
			c.run(m, func(d time.Duration, h message.Heartbeat) { m.Peer(at(d), "b", h, &out) })
			if !slices.Equal(m.Live(), c.live) || !slices.Equal(m.InZone("z1"), c.live) {
				t.Errorf("live %v, want %v", m.Live(), c.live)
			}
		})
	}
}

// Two views of who lives, one with a leaving instance in it, send requests to
// where nobody answers. The assertion has to report such a view.
func TestAssertion(t *testing.T) {
	reported := 0
	m := New(Settings{Instance: "a", Zone: "z1"}, invariant.Reporting(func(invariant.Violation) { reported++ }))
	m.peers["a"] = &peer{zone: "z1", alive: true}
	m.SetSelf(1, true, 1, 0)
	if m.Live(); reported != 1 {
		t.Errorf("reported %d times", reported)
	}
}

// All instances of the own zone get heartbeats, of another zone only a few, who
// answer: at 1,800 nodes all-to-all between zones would not fit.
func TestHeartbeatTargets(t *testing.T) {
	m := New(Settings{Instance: "a", Zone: "z1"}, nil)
	var l []event.Member
	for n := range 20 {
		l = append(l, event.Member{Name: fmt.Sprint("b", n), Zone: "z1"}, event.Member{Name: fmt.Sprint("c", n), Zone: "z2"})
	}
	m.List(0, list(l...))
	if sent := run(m, 0, DefaultPeriod); len(sent) != 20+DefaultPeersPerZone {
		t.Errorf("sent to %d", len(sent))
	}
	var out event.Outbox
	m.Peer(0, "d", message.Heartbeat{Zone: "z3", WantReply: true}, &out)
	if e := out.Take(); len(e) != 1 || e[0].(event.SendPeer).Message.(message.Heartbeat).WantReply {
		t.Errorf("answered %v", e)
	}
}
