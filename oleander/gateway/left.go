package gateway

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/revision"
)

// leftOfLate returns the servers that leave, and those that left of late. The
// caller holds mu.
func (g *Gateway) leftOfLate(now clock.Time) []leftMsg {
	var left []leftMsg
	if g.storeAway(now) {
		return nil // others know better
	}
	for id, r := range g.removed {
		if now.Sub(r.at) < goneFor {
			left = append(left, leftMsg{Server: id, Born: r.born, Gone: true, Era: r.last.Era, Version: r.last.Version})
		}
	}
	for _, id := range g.dir.IDs() {
		if s := g.dir.Get(id); s.Draining {
			left = append(left, leftMsg{Server: id, Born: s.Incarnation})
		}
	}
	return left
}

// takeLeft takes what another instance saw of leaving servers, while the store
// turns this one away. A holder that does not know that a server has left takes
// what it held for loaded, and requests for it wait in vain: callers left after
// two seconds though an adapter is loaded in ten milliseconds. The caller holds mu.
func (g *Gateway) takeLeft(now clock.Time, b *beatMsg) {
	if !g.storeAway(now) || b.StoreDown {
		return
	}
	for _, l := range b.Left {
		s := g.dir.Get(l.Server)
		switch {
		case s == nil || s.Incarnation > l.Born:
		case l.Gone:
			if last := (revision.Revision{Era: l.Era, Version: l.Version}); !last.Before(s.Revision) {
				g.drop(now, l.Server, last)
			}
		case !s.Draining:
			e := s.Entry
			e.Draining = true
			g.putServer(now, e)
		}
	}
}
