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
	// passOnEvery is how long a relay collects messages for its zone: sixty
	// senders' heartbeats become five a datagram, and age by 3% of what they may.
	passOnEvery = 40 * time.Millisecond
	// passOnBytes bounds one datagram of a relay.
	passOnBytes = 8 << 10
)

// toAll returns a message with those that it goes to so that all others get it.
// With certain it goes through each zone's relays and not one of them in turn. The
// caller holds mu.
func (g *Gateway) toAll(now clock.Time, m message, others []*members.Member, certain bool) []outgoing {
	g.turn++
	r := spread.Plan(now, g.set.Zone, others, g.turn, certain)
	out := []outgoing{{message: m, to: g.recipients(r.Direct)}}
	if len(r.Relays) > 0 && len(m.body) > 0 {
		forward := g.encode(packet{Forward: m.body})
		forward.kind = m.kind
		out = append(out, outgoing{message: forward, to: g.recipients(r.Relays)})
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

// passOn keeps a message for the other instances of this zone. The caller holds mu.
func (g *Gateway) passOn(body []byte) {
	if len(g.passing) == 0 {
		time.AfterFunc(passOnEvery, g.flushPassing)
	}
	g.passing = append(g.passing, body)
}

// flushPassing sends what was kept.
func (g *Gateway) flushPassing() {
	g.mu.Lock()
	out := g.passed(boottime.Now())
	g.mu.Unlock()
	g.sendAll(out)
}

// ownZone returns the other instances of this zone. The caller holds mu.
func (g *Gateway) ownZone(now clock.Time) []recipient {
	var to []recipient
	for _, m := range g.members.All(now) {
		if m.Zone == g.set.Zone {
			to = append(to, g.recipient(m))
		}
	}
	return to
}

// passed returns what was kept for the other instances of this zone. The caller
// holds mu.
func (g *Gateway) passed(now clock.Time) []outgoing {
	to := g.ownZone(now)
	var out []outgoing
	for len(g.passing) > 0 {
		n, size := 0, 0
		for n < len(g.passing) && (n == 0 || size+len(g.passing[n]) <= passOnBytes) {
			size += len(g.passing[n])
			n++
		}
		out = append(out, outgoing{message: g.encode(packet{Relayed: g.passing[:n]}), to: to})
		g.passing = g.passing[n:]
	}
	g.passing = nil
	return out
}

// takeInner takes a message that came through a relay. The caller holds mu.
func (g *Gateway) takeInner(now clock.Time, body []byte) []outgoing {
	var p packet
	if err := cbor.Unmarshal(body, &p); err != nil {
		g.metrics.damaged.Inc()
		g.log.Warn().Err(err).Msg("peers: relayed message dropped")
		return nil
	}
	return g.takeOne(now, p)
}
