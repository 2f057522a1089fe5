package fleet

import (
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// Network carries messages between instances, with injected faults.
type Network struct {
	fleet         *Fleet
	LossRate      float64       // share of messages that are lost
	DuplicateRate float64       // share of messages that are delivered twice
	DelayRate     float64       // share of messages that are delayed by up to MaxDelay
	MaxDelay      time.Duration // longest delay of a delayed message
	// OnSend, if set, is called for each message that an instance sends.
	OnSend func(from *Node, e event.SendPeer)
	// RewriteMessage, if set, replaces each message on its way. It simulates a
	// sender whose messages do not match what it did.
	RewriteMessage func(m message.Message) message.Message
	// Drop, if set, selects messages that are never delivered.
	Drop       func(m message.Message) bool
	partitions map[[2]id.Zone]bool
	noPlatform map[id.Zone]bool // zones that reach neither the table service nor the instance list
}

func newNetwork(f *Fleet) *Network {
	return &Network{fleet: f, partitions: make(map[[2]id.Zone]bool), noPlatform: make(map[id.Zone]bool), MaxDelay: time.Second}
}

// SetPartitioned stops or restores the traffic between two zones.
func (w *Network) SetPartitioned(a, b id.Zone, on bool) {
	w.partitions[[2]id.Zone{a, b}], w.partitions[[2]id.Zone{b, a}] = on, on
}

// SetIsolated disconnects a zone from all other zones and from the platform, or
// reconnects it.
func (w *Network) SetIsolated(z id.Zone, on bool) {
	w.SetPlatformUnreachable(z, on)
	for _, other := range w.fleet.zones {
		if other != z {
			w.SetPartitioned(z, other, on)
		}
	}
}

// SetPlatformUnreachable disconnects a zone from the platform (the table service
// and the instance list), or reconnects it.
func (w *Network) SetPlatformUnreachable(z id.Zone, on bool) { w.noPlatform[z] = on }

func (w *Network) platformUnreachable(z id.Zone) bool { return w.noPlatform[z] }

// Heal ends all injected faults of the network.
func (w *Network) Heal() {
	w.LossRate, w.DuplicateRate, w.DelayRate = 0, 0, 0
	clear(w.partitions)
	clear(w.noPlatform)
}

func (w *Network) partitioned(a, b id.Zone) bool { return w.partitions[[2]id.Zone{a, b}] }

// findNode returns the node that runs an instance, by instance ID or node name,
// or nil if none does.
func (w *Network) findNode(to id.Instance) *Node {
	if n := w.fleet.nodeByName[to]; n != nil && n.core != nil && (n.ID == to || n.Name == string(to)) {
		return n
	}
	return nil
}

func (w *Network) send(from *Node, e event.SendPeer) {
	f := w.fleet
	if w.OnSend != nil {
		w.OnSend(from, e)
	}
	if w.RewriteMessage != nil {
		e.Message = w.RewriteMessage(e.Message)
	}
	to := w.findNode(e.To)
	if w.Drop != nil && w.Drop(e.Message) {
		return
	}
	if to == nil || w.partitioned(from.Zone, to.Zone) || f.random.Float64() < w.LossRate {
		return
	}
	copies := 1
	if f.random.Float64() < w.DuplicateRate {
		copies = 2
	}
	for range copies {
		w.deliver(from, to, e)
	}
}

func (w *Network) deliver(from, to *Node, e event.SendPeer) {
	f := w.fleet
	d := crossZoneLatency
	if from.Zone == to.Zone {
		d = inZoneLatency
	}
	d = f.jitter(d)
	if f.random.Float64() < w.DelayRate {
		d += time.Duration(f.random.Int64N(int64(w.MaxDelay)))
	}
	sender, receiver := from.ID, to.ID
	f.schedule(d, func() { to.postToRun(receiver, event.PeerMessage{From: sender, Message: e.Message}) })
}
