package gateway

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/warmup"
)

// warmupLimits returns what the servers of each group bear while they are cold.
func (g *Gateway) warmupLimits(m *manifest.Manifest) map[string]warmup.Limit {
	limits := make(map[string]warmup.Limit)
	for name, group := range m.Groups {
		if group.ColdRateLimit > 0 {
			limits[name] = warmup.Limit{
				Cold: group.ColdRateLimit, Survived: g.set.ColdFactor*group.ColdRateLimit + g.set.ColdSlack,
			}
		}
	}
	return limits
}

// shareOfWarmup returns which part of that this instance hands out. The caller holds mu.
func (g *Gateway) shareOfWarmup(now clock.Time) warmup.Share {
	s := warmup.Share{Chooses: g.dispatcher(now) == g.set.Name, Known: g.members.Count()}
	if g.knowsPeers { // else it is not known how many others there are
		s.Heard = 1 + g.members.CountLive(now)
	}
	return s
}
