package gateway

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/revision"
)

// departures returns the servers that drain or were removed recently. The caller
// holds mu.
func (g *Gateway) departures(now clock.Time) []departureMsg {
	var departures []departureMsg
	if g.storeUnreachable(now) {
		return nil // without the store this instance has nothing newer than others
	}
	for id, r := range g.removedServers {
		if now.Sub(r.removedAt) < goneRepeatPeriod {
			departures = append(departures, departureMsg{Server: id, Incarnation: r.incarnation, Gone: true, Era: r.goneRevision.Era, Version: r.goneRevision.Version})
		}
	}
	for _, id := range g.servers.IDs() {
		if s := g.servers.Get(id); s.Draining {
			departures = append(departures, departureMsg{Server: id, Incarnation: s.Incarnation})
		}
	}
	return departures
}

// handleDepartures applies another instance's report of departures while this
// instance does not reach the store. Otherwise a planner counts the models of a
// removed server as loaded, and requests for them wait in vain: callers gave up after
// 2 s although an adapter loads in 10 ms. The caller holds mu.
func (g *Gateway) handleDepartures(now clock.Time, b *heartbeatMsg) {
	if !g.storeUnreachable(now) || b.StoreUnreachable {
		return
	}
	for _, d := range b.Departures {
		s := g.servers.Get(d.Server)
		switch {
		case s == nil || s.Incarnation > d.Incarnation:
		case d.Gone:
			if at := (revision.Revision{Era: d.Era, Version: d.Version}); !at.Before(s.Revision) {
				g.removeServer(now, d.Server, at)
			}
		case !s.Draining:
			e := s.Entry
			e.Draining = true
			g.putServer(now, e)
		}
	}
}
