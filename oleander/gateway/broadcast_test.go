package gateway

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/oleander/process/boottime"
)

// newStoppedGateway returns a gateway that is not running and knows five instances in
// each of two zones.
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

// addresses counts messages by recipient address.
func addresses(out []outgoing) map[string]int {
	counts := make(map[string]int)
	for _, m := range out {
		for _, r := range m.recipients {
			counts[r.address]++
		}
	}
	return counts
}

func decode(t *testing.T, m message) packet {
	t.Helper()
	var p packet
	if err := cbor.Unmarshal(m.body, &p); err != nil {
		t.Fatal(err)
	}
	return p
}

// A heartbeat goes directly to all of the own zone and to one instance of the other
// zone, which relays it there. Each instance receives it once.
func TestRelayedHeartbeat(t *testing.T) {
	sender, relay, receiver := newStoppedGateway(t, "a0", "a"), newStoppedGateway(t, "b0", "b"), newStoppedGateway(t, "b4", "b")
	now := boottime.Now()
	heartbeat := &heartbeatMsg{Name: "new", Address: "new", Zone: "a", Incarnation: 7}
	out := sender.broadcast(now, sender.encode(packet{Heartbeat: heartbeat}), sender.members.All(now), false)
	counts := addresses(out)
	if len(counts) != 5 || counts["a4"] != 1 || counts["b0"]+counts["b1"] != 1 {
		t.Fatalf("sent to %v", counts)
	}
	wrapped := decode(t, out[1].message)
	relayed := relay.relayedForTest(wrapped)
	if relay.members.Get("new") == nil {
		t.Error("the relay did not handle the message")
	}
	if got := addresses(relayed); len(got) != 4 || got["b4"] != 1 || got["b0"] != 0 {
		t.Fatalf("relayed to %v", got)
	}
	further := receiver.relayedForTest(decode(t, relayed[0].message))
	if receiver.members.Get("new") == nil {
		t.Error("the receiver did not handle the message")
	}
	if len(further) != 0 {
		t.Errorf("the receiver relays it to %v", addresses(further))
	}
}

// relayedForTest handles a packet and returns what is relayed of it, which would else be sent soon.
func (g *Gateway) relayedForTest(p packet) []outgoing {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.handleLocked(now, p)
	return g.relayMessages(now)
}

// handlePacketForTest handles a packet without sending the resulting messages.
func (g *Gateway) handlePacketForTest(p packet) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handleLocked(boottime.Now(), p)
}

// A relayed message that cannot be decoded is counted and dropped; the others beside
// it are handled.
func TestInvalidRelayedMessage(t *testing.T) {
	g := newStoppedGateway(t, "b4", "b")
	good := g.encode(packet{Heartbeat: &heartbeatMsg{Name: "new", Address: "new", Zone: "a"}})
	g.handlePacketForTest(packet{Relayed: [][]byte{[]byte("damaged"), good.body}})
	if g.members.Get("new") == nil || g.metrics.damagedMessages.Get() != 1 {
		t.Errorf("known %v, damaged %d", g.members.Get("new"), g.metrics.damagedMessages.Get())
	}
}
