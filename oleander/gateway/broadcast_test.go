package gateway

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/oleander/process/boottime"
)

// lone returns a gateway that does not run and knows five instances of each of
// two zones.
func newStoppedGateway(t *testing.T, name, zone string) *Gateway {
	t.Helper()
	g, err := New(Settings{Name: name, Zone: zone, PeerAddress: name}, nil, nil, fakeDialect{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	for _, z := range []string{"a", "b"} {
		for i := range 5 {
			o := fmt.Sprintf("%s%d", z, i)
			g.members.UpdateFromMessage(boottime.Now(), members.Member{Name: o, Address: o, Zone: z})
		}
	}
	return g
}

// to returns the addresses of messages.
func addresses(out []outgoing) map[string]int {
	to := make(map[string]int)
	for _, m := range out {
		for _, r := range m.recipients {
			to[r.address]++
		}
	}
	return to
}

func decode(t *testing.T, m message) packet {
	t.Helper()
	var p packet
	if err := cbor.Unmarshal(m.body, &p); err != nil {
		t.Fatal(err)
	}
	return p
}

// A heartbeat goes to all of the own zone and to one instance of the other, which
// passes it on there; each instance has it once, and nobody sends it further.
func TestRelayedHeartbeat(t *testing.T) {
	sender, relay, receiver := newStoppedGateway(t, "a0", "a"), newStoppedGateway(t, "b0", "b"), newStoppedGateway(t, "b4", "b")
	now := boottime.Now()
	b := &heartbeatMsg{Name: "new", Address: "new", Zone: "a", Incarnation: 7}
	out := sender.broadcast(now, sender.encode(packet{Heartbeat: b}), sender.members.All(now), false)
	to := addresses(out)
	if len(to) != 5 || to["a4"] != 1 || to["b0"]+to["b1"] != 1 {
		t.Fatalf("sent to %v", to)
	}
	wrapped := decode(t, out[1].message)
	if relay.handlePacketForTest(wrapped); relay.members.Get("new") == nil {
		t.Error("the relay did not take it")
	}
	on := relay.relayMessages(now)
	if got := addresses(on); len(got) != 4 || got["b4"] != 1 || got["b0"] != 0 {
		t.Fatalf("passed on to %v", got)
	}
	if receiver.handlePacketForTest(decode(t, on[0].message)); receiver.members.Get("new") == nil {
		t.Error("the receiver did not take it")
	}
	if further := receiver.relayMessages(now); len(further) != 0 {
		t.Errorf("the receiver sends it on to %v", addresses(further))
	}
}

// takePacketForTest takes a packet without sending what follows from it.
func (g *Gateway) handlePacketForTest(p packet) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handleLocked(boottime.Now(), p)
}

// A message between relays that can't be read is counted and dropped; those beside
// it are taken.
func TestDamagedRelayedMessage(t *testing.T) {
	g := newStoppedGateway(t, "b4", "b")
	good := g.encode(packet{Heartbeat: &heartbeatMsg{Name: "new", Address: "new", Zone: "a"}})
	g.handlePacketForTest(packet{Relayed: [][]byte{[]byte("damaged"), good.body}})
	if g.members.Get("new") == nil || g.metrics.damagedMessages.Get() != 1 {
		t.Errorf("known %v, damaged %d", g.members.Get("new"), g.metrics.damagedMessages.Get())
	}
}
