package fleet

import (
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// Network carries messages between instances. It loses, doubles and delays
// them as told.
type Network struct {
	fleet         *Fleet
	LossRate      float64       // share of messages lost
	DuplicateRate float64       // share of messages doubled
	DelayRate     float64       // share of messages that come up to LateBy late
	MaxDelay      time.Duration // for Late
	// OnSend, if set, is told of each message that an instance sends.
	OnSend func(from *Node, e event.SendPeer)
	// Alter, if set, replaces each message on its way; it stands for a sender
	// that says something else than what it did.
	RewriteMessage func(m message.Message) message.Message
	// Drop, if set, says which messages are never delivered.
	Drop       func(m message.Message) bool
	partitions map[[2]id.Zone]bool
	noPlatform map[id.Zone]bool // cut from the platform
}

func newNetwork(f *Fleet) *Network {
	return &Network{fleet: f, partitions: make(map[[2]id.Zone]bool), noPlatform: make(map[id.Zone]bool), MaxDelay: time.Second}
}

// Cut cuts two zones off from each other, or joins them again.
func (w *Network) SetPartitioned(a, b id.Zone, cut bool) {
	w.partitions[[2]id.Zone{a, b}], w.partitions[[2]id.Zone{b, a}] = cut, cut
}

// Isolate cuts a zone off from all others and the platform, or joins it again.
func (w *Network) SetIsolated(z id.Zone, cut bool) {
	w.SetPlatformUnreachable(z, cut)
	for _, other := range w.fleet.zones {
		if other != z {
			w.SetPartitioned(z, other, cut)
		}
	}
}

// CutPlatform cuts a zone off from the platform, or joins it again.
func (w *Network) SetPlatformUnreachable(z id.Zone, cut bool) { w.noPlatform[z] = cut }

func (w *Network) platformUnreachable(z id.Zone) bool { return w.noPlatform[z] }

// Heal ends all faults of the network.
func (w *Network) Heal() {
	w.LossRate, w.DuplicateRate, w.DelayRate = 0, 0, 0
	clear(w.partitions)
	clear(w.noPlatform)
}

func (w *Network) partitioned(a, b id.Zone) bool { return w.partitions[[2]id.Zone{a, b}] }

// node finds an instance by the name of its run or of its machine.
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
