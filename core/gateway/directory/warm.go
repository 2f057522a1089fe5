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
const reopenedCold = 3 * time.Second

// SetZoneState says what may be done with the servers of a zone. It reports whether that is new.
func (d *Directory) SetZoneState(now clock.Time, zone string, state evacuation.State) bool {
	before := d.zones[zone]
	if before == state {
		return false
	}
	d.zones[zone] = state
	for _, s := range d.servers {
		if s.Zone != zone {
			continue
		}
		s.zoneState = state
		if before == evacuation.Closed {
			s.coldUntil = max(s.coldUntil, now.Add(reopenedCold))
		}
	}
	return true
}

// SetSilentZones says of which zones no instance is heard: their servers are likely out of reach.
func (d *Directory) SetSilentZones(zones map[string]bool) { d.silent = zones }

// ZoneSilent reports whether no instance of a zone is heard.
func (d *Directory) ZoneSilent(zone string) bool { return d.silent[zone] }

// SetWarmupLimits replaces what the servers of the groups bear while they are cold.
func (d *Directory) SetWarmupLimits(limits map[string]warmup.Limit) { d.limits = limits }

// HasWarmupLimits reports whether the servers of any group are paced.
func (d *Directory) HasWarmupLimits() bool { return len(d.limits) > 0 }

// SetWarmupShare says which part of that this instance may hand out.
func (d *Directory) SetWarmupShare(s warmup.Share) { d.share = s }

// MarkCold takes what another instance knows of a server: that it is cold for so long.
func (d *Directory) MarkCold(now clock.Time, id string, born int64, coldFor time.Duration) {
	if s := d.servers[id]; s != nil && s.Incarnation == born {
		s.coldUntil = max(s.coldUntil, now.Add(coldFor))
	}
}

// mayStart reports whether a server bears one request more now.
func (d *Directory) mayStart(now clock.Time, s *Server) bool {
	return s.pace.May(now, d.share, d.limits[s.Group], s.Cold(now))
}

// paced counts a request that a server gets.
func (d *Directory) paced(now clock.Time, s *Server) {
	s.pace.Took(now, d.share, d.limits[s.Group], s.Cold(now))
}
