package directory

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/evacuation"
	"oleanderdale.org/core/gateway/warmup"
)

// reopenedCold is how long the servers of a zone count as cold after its evacuation,
// whatever their entries said: they may have been started again meanwhile, and an entry
// that says so is up to two seconds late.
const coldAfterEvacuation = 3 * time.Second

// SetZoneState says what may be done with the servers of a zone. It reports whether that is new.
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

// SetSilentZones says of which zones no instance is heard: their servers are likely out of reach.
func (d *Directory) SetSilentZones(zones map[string]bool) { d.silentZones = zones }

// ZoneSilent reports whether no instance of a zone is heard.
func (d *Directory) ZoneSilent(zone string) bool { return d.silentZones[zone] }

// SetWarmupLimits replaces what the servers of the groups bear while they are cold.
func (d *Directory) SetWarmupLimits(limits map[string]warmup.Limit) { d.warmupLimits = limits }

// HasWarmupLimits reports whether the servers of any group are paced.
func (d *Directory) HasWarmupLimits() bool { return len(d.warmupLimits) > 0 }

// SetWarmupShare says which part of that this instance may hand out.
func (d *Directory) SetWarmupShare(s warmup.Share) { d.warmupShare = s }

// MarkCold takes what another instance knows of a server: that it is cold for so long.
func (d *Directory) MarkCold(now clock.Time, id string, born int64, coldFor time.Duration) {
	if s := d.servers[id]; s != nil && s.Incarnation == born {
		s.coldUntil = max(s.coldUntil, now.Add(coldFor))
	}
}

// mayStart reports whether a server bears one request more now.
func (d *Directory) warmupAllows(now clock.Time, s *Server) bool {
	return s.pace.May(now, d.warmupShare, d.warmupLimits[s.Group], s.Cold(now))
}

// paced counts a request that a server gets.
func (d *Directory) countWarmup(now clock.Time, s *Server) {
	s.pace.Took(now, d.warmupShare, d.warmupLimits[s.Group], s.Cold(now))
}
