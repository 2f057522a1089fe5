package gateway

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/spread"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// relayInterval is how long a relay collects messages for its zone. It packs the
	// heartbeats of sixty senders five to a datagram and adds 3% to their permitted
	// age.
	relayInterval = 40 * time.Millisecond
	// maxRelayBytes bounds one datagram of a relay.
	maxRelayBytes = 8 << 10
)

// broadcast returns the messages that bring m to all others: directly within the
// zone, through relays in other zones. With certain it uses all relays of a zone,
// otherwise one of them in rotation. The caller holds mu.
func (g *Gateway) broadcast(now clock.Time, m message, others []*members.Member, certain bool) []outgoing {
	g.relayTurn++
	routes := spread.Plan(now, g.settings.Zone, others, g.relayTurn, certain)
	out := []outgoing{{message: m, recipients: g.recipients(routes.Direct)}}
	if len(routes.Relays) > 0 && len(m.body) > 0 {
		forward := g.encode(packet{Forward: m.body})
		forward.kind = m.kind
		out = append(out, outgoing{message: forward, recipients: g.recipients(routes.Relays)})
	}
	return out
}

func (g *Gateway) recipients(all []*members.Member) []recipient {
	to := make([]recipient, 0, len(all))
	for _, m := range all {
		to = append(to, g.recipient(m))
	}
	return to
}

// queueRelay queues a message for the other instances of this zone. The caller holds
// mu.
func (g *Gateway) queueRelay(body []byte) {
	if len(g.relayQueue) == 0 {
		time.AfterFunc(relayInterval, g.flushRelay)
	}
	g.relayQueue = append(g.relayQueue, body)
}

// flushRelay sends the queued messages.
func (g *Gateway) flushRelay() {
	g.mu.Lock()
	out := g.relayMessages(boottime.Now())
	g.mu.Unlock()
	g.sendAll(out)
}

// zoneRecipients returns the other instances of this zone. The caller holds mu.
func (g *Gateway) zoneRecipients(now clock.Time) []recipient {
	var to []recipient
	for _, m := range g.members.All(now) {
		if m.Zone == g.settings.Zone {
			to = append(to, g.recipient(m))
		}
	}
	return to
}

// relayMessages empties the queue and returns its messages in batches for the other
// instances of this zone. The caller holds mu.
func (g *Gateway) relayMessages(now clock.Time) []outgoing {
	to := g.zoneRecipients(now)
	var out []outgoing
	for len(g.relayQueue) > 0 {
		n, size := 0, 0
		for n < len(g.relayQueue) && (n == 0 || size+len(g.relayQueue[n]) <= maxRelayBytes) {
			size += len(g.relayQueue[n])
			n++
		}
		out = append(out, outgoing{message: g.encode(packet{Relayed: g.relayQueue[:n]}), recipients: to})
		g.relayQueue = g.relayQueue[n:]
	}
	g.relayQueue = nil
	return out
}

// handleRelayed handles a message that was relayed or is to be relayed. The caller
// holds mu.
func (g *Gateway) handleRelayed(now clock.Time, body []byte) []outgoing {
	var p packet
	if err := cbor.Unmarshal(body, &p); err != nil {
		g.metrics.damagedMessages.Inc()
		g.log.Warn().Err(err).Msg("peers: invalid relayed message dropped")
		return nil
	}
	return g.handleUnwrapped(now, p)
}
