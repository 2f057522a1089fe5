package directory

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/evacuation"
	"oleanderdale.org/core/gateway/warmup"
)

// coldAfterEvacuation is how long the servers of a zone count as cold after its
// evacuation, whatever their entries say: they may have been restarted meanwhile, and
// the entry that reports it is up to two seconds late.
const coldAfterEvacuation = 3 * time.Second

// SetZoneState sets the evacuation state of a zone and reports whether it changed.
func (d *Directory) SetZoneState(now clock.Time, zone string, state evacuation.State) bool {
	before := d.zoneStates[zone]
	if before == state {
		return false
	}
	d.zoneStates[zone] = state
	for _, s := range d.servers {
		if s.Zone != zone {
			continue
		}
		s.zoneState = state
		if before == evacuation.Closed {
			s.coldUntil = max(s.coldUntil, now.Add(coldAfterEvacuation))
		}
	}
	return true
}

// SetSilentZones sets the zones from which no instance is heard. Their servers are
// likely unreachable.
func (d *Directory) SetSilentZones(zones map[string]bool) { d.silentZones = zones }

// ZoneSilent reports whether no instance of a zone is heard.
func (d *Directory) ZoneSilent(zone string) bool { return d.silentZones[zone] }

// SetWarmupLimits replaces the request rate limits of cold servers, by group.
func (d *Directory) SetWarmupLimits(limits map[string]warmup.Limit) { d.warmupLimits = limits }

// MarkCold records that a server stays cold for coldFor, as reported by another instance.
func (d *Directory) MarkCold(now clock.Time, id string, incarnation int64, coldFor time.Duration) {
	if s := d.servers[id]; s != nil && s.Incarnation == incarnation {
		s.coldUntil = max(s.coldUntil, now.Add(coldFor))
	}
}

// warmupAllows reports whether the warm-up limit of a server allows another request.
func (d *Directory) warmupAllows(now clock.Time, s *Server) bool {
	return s.pacer.CanSend(now, d.share, d.warmupLimits[s.Group], s.Cold(now))
}
