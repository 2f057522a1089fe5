package gateway

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/revision"
)

// leftOfLate returns the servers that leave, and those that left of late. The
// caller holds mu.
func (g *Gateway) departures(now clock.Time) []departureMsg {
	var left []departureMsg
	if g.storeUnreachable(now) {
		return nil // others know better
	}
	for id, r := range g.removedServers {
		if now.Sub(r.removedAt) < goneRepeatPeriod {
			left = append(left, departureMsg{Server: id, Born: r.born, Gone: true, Era: r.goneRevision.Era, Version: r.goneRevision.Version})
		}
	}
	for _, id := range g.servers.IDs() {
		if s := g.servers.Get(id); s.Draining {
			left = append(left, departureMsg{Server: id, Born: s.Born})
		}
	}
	return left
}

// takeLeft takes what another instance saw of leaving servers, while the store
// turns this one away. A holder that does not know that a server has left takes
// what it held for loaded, and requests for it wait in vain: callers left after
// two seconds though an adapter is loaded in ten milliseconds. The caller holds mu.
func (g *Gateway) handleDepartures(now clock.Time, b *heartbeatMsg) {
	if !g.storeUnreachable(now) || b.StoreUnreachable {
		return
	}
	for _, l := range b.Departures {
		s := g.servers.Get(l.Server)
		switch {
		case s == nil || s.Born > l.Born:
		case l.Gone:
			if last := (revision.Revision{Era: l.Era, Version: l.Version}); !last.Before(s.At) {
				g.removeServer(now, l.Server, last)
			}
		case !s.Draining:
			e := s.Entry
			e.Draining = true
			g.putServer(now, e)
		}
	}
}
