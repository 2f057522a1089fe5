package gateway

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/fleetshare"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/warmup"
)

// warmupLimits returns the request rates that cold servers of each group can take.
func (g *Gateway) warmupLimits(m *manifest.Manifest) map[string]warmup.Limit {
	limits := make(map[string]warmup.Limit)
	for name, group := range m.Groups {
		if group.ColdRateLimit > 0 {
			limits[name] = warmup.Limit{
				ColdRate: group.ColdRateLimit, SurvivableRate: g.settings.ColdRateFactor*group.ColdRateLimit + g.settings.ColdRateSlack,
			}
		}
	}
	return limits
}

// limitShare returns this instance's share of the limits over all instances. The caller holds mu.
func (g *Gateway) limitShare(now clock.Time) fleetshare.Share {
	s := fleetshare.Share{Dispatcher: g.dispatcherName(now) == g.settings.Name, Known: g.members.Count()}
	if g.peersRead { // otherwise the number of other instances is unknown
		s.Live = 1 + g.members.CountLive(now)
	}
	return s
}
