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
	// The list always contains this instance; an empty one is a failed read.
	return event.InstanceListRead{Members: append(members, event.Member{Name: "a", Zone: "z1"})}
}

// A call that is sent to a backend server shortly before it is reclaimed is cut
// off. The list, whose reads may be stale and out of order, or the server itself
// reports that it is leaving; the mark must stay until the server is gone.
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
		{"older list afterwards", []event.InstanceListRead{list(leaves), list(stays)}, false, true},
		{"reported by the server", []event.InstanceListRead{list(stays)}, true, true},
		{"off the list", []event.InstanceListRead{list(stays), list()}, false, true},
		{"older list without it", []event.InstanceListRead{list(stays), list(), list(stays)}, false, false},
		{"off the list for several reads", []event.InstanceListRead{list(stays), list(), list(), list(), list(stays)}, false, true},
		{"failed read", []event.InstanceListRead{list(stays), {}}, false, false},
		{"new server of the same name", []event.InstanceListRead{list(leaves), list(backend("b", "b:2", false))}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New(Settings{Instance: "a", Zone: "z1"}, nil)
			for _, l := range c.lists {
				m.ApplyList(0, l)
			}
			if c.mark {
				m.MarkLeaving("b")
				m.ApplyList(0, list(stays))
			}
			if b, ok := m.Backend("b"); !ok || b.Leaving != c.leaving || m.Backends()[0] != b {
				t.Errorf("got %+v, want leaving %v", b, c.leaving)
			}
		})
	}
}

// A backend server that does not respond gets no calls until the retry delay has
// passed. It is not leaving, and is used again as soon as it responds.
func TestDownBackend(t *testing.T) {
	m := New(Settings{Instance: "a", Zone: "z1"}, nil)
	m.ApplyList(0, list(backend("b", "b:1", false)))
	m.MarkDown(0, "b")
	if !m.IsDown(at(DefaultBackendRetryDelay-1), "b") || m.IsDown(at(DefaultBackendRetryDelay), "b") {
		t.Error("not down exactly for the retry delay")
	}
	m.MarkDown(0, "b")
	m.MarkUp("b")
	if b, _ := m.Backend("b"); m.IsDown(1, "b") || b.Leaving {
		t.Errorf("%+v is down or leaving after MarkUp", b)
	}
}

// runTicks ticks m in the given period and returns the number of messages sent to
// each instance.
func runTicks(m *Membership, from, to time.Duration) map[id.Instance]int {
	sent := make(map[id.Instance]int)
	for d := from; d < to; d += DefaultHeartbeatInterval {
		var out event.Outbox
		m.Tick(at(d), &out)
		for _, e := range out.Take() {
			sent[e.(event.SendPeer).To]++
		}
	}
	return sent
}

// Queues and rate limits are owned by live instances. An instance that died or is
// leaving must disappear soon, one that is only listed must not appear, and after
// a pause of this instance the others must not all be considered dead.
func TestLiveInstances(t *testing.T) {
	hb := message.Heartbeat{Zone: "z1", Address: "b:1"}
	cases := []struct {
		name string
		run  func(m *Membership, receive func(d time.Duration, h message.Heartbeat))
		live []id.Instance
	}{
		{"only listed", func(m *Membership, _ func(time.Duration, message.Heartbeat)) {
			m.ApplyList(0, list(event.Member{Name: "b", Zone: "z1"}))
		}, []id.Instance{"a"}},
		{"heartbeat received", func(_ *Membership, receive func(time.Duration, message.Heartbeat)) { receive(0, hb) }, []id.Instance{"a", "b"}},
		{"no more heartbeats", func(m *Membership, receive func(time.Duration, message.Heartbeat)) {
			receive(0, hb)
			runTicks(m, 0, DefaultHeartbeatTimeout+DefaultHeartbeatInterval)
		}, []id.Instance{"a"}},
		{"after a pause of this instance", func(m *Membership, receive func(time.Duration, message.Heartbeat)) {
			receive(0, hb)
			runTicks(m, 0, DefaultHeartbeatInterval)
			runTicks(m, time.Minute, time.Minute+DefaultHeartbeatInterval)
		}, []id.Instance{"a", "b"}},
		{"leaving, then a late heartbeat", func(_ *Membership, receive func(time.Duration, message.Heartbeat)) {
			receive(0, message.Heartbeat{Zone: "z1", Leaving: true})
			receive(1, hb)
		}, []id.Instance{"a"}},
		{"listed as leaving", func(m *Membership, receive func(time.Duration, message.Heartbeat)) {
			receive(0, hb)
			m.ApplyList(0, list(event.Member{Name: "b", Zone: "z1", Leaving: true}))
		}, []id.Instance{"a"}},
		{"this instance leaving", func(m *Membership, receive func(time.Duration, message.Heartbeat)) {
			receive(0, hb)
			m.SetOwnState(1, true, 1, 0)
		}, []id.Instance{"b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New(Settings{Instance: "a", Zone: "z1"}, nil)
			var out event.Outbox
			c.run(m, func(d time.Duration, h message.Heartbeat) { m.HandleMessage(at(d), "b", h, &out) })
			if !slices.Equal(m.Live(), c.live) || !slices.Equal(m.InZone("z1"), c.live) {
				t.Errorf("live %v, want %v", m.Live(), c.live)
			}
		})
	}
}

// Requests would be sent to a leaving instance if it were listed as live. The
// invariant must report such a list.
func TestLiveViewInvariant(t *testing.T) {
	reported := 0
	m := New(Settings{Instance: "a", Zone: "z1"}, invariant.Reporting(func(invariant.Violation) { reported++ }))
	m.peers["a"] = &peer{zone: "z1", alive: true}
	m.SetOwnState(1, true, 1, 0)
	if m.Live(); reported != 1 {
		t.Errorf("reported %d violations, want 1", reported)
	}
}

// All instances of the own zone get heartbeats, but only a few of each other zone,
// which reply: with 1,800 nodes, heartbeats between all instances of all zones
// would be too many.
func TestHeartbeatTargets(t *testing.T) {
	m := New(Settings{Instance: "a", Zone: "z1"}, nil)
	var l []event.Member
	for n := range 20 {
		l = append(l, event.Member{Name: fmt.Sprint("b", n), Zone: "z1"}, event.Member{Name: fmt.Sprint("c", n), Zone: "z2"})
	}
	m.ApplyList(0, list(l...))
	if sent := runTicks(m, 0, DefaultHeartbeatInterval); len(sent) != 20+DefaultPeersPerRemoteZone {
		t.Errorf("sent heartbeats to %d instances", len(sent))
	}
	var out event.Outbox
	m.HandleMessage(0, "d", message.Heartbeat{Zone: "z3", WantReply: true}, &out)
	if e := out.Take(); len(e) != 1 || e[0].(event.SendPeer).Message.(message.Heartbeat).WantReply {
		t.Errorf("replied %v, want one heartbeat that asks for no reply", e)
	}
}
