package member

import (
	"cmp"
	"maps"
	"slices"

	"oleanderdale.org/core/id"
)

// Self returns the name of this instance.
func (m *Membership) Self() id.Instance { return m.settings.Instance }

// Zone returns the availability zone of this instance.
func (m *Membership) Zone() id.Zone { return m.settings.Zone }

// InZone returns the live instances of z that are not leaving, sorted. The
// slice must not be modified.
func (m *Membership) InZone(z id.Zone) []id.Instance {
	m.refreshLive()
	return m.liveByZone[z]
}

// Live returns the live instances that are not leaving, sorted. The slice must
// not be modified.
func (m *Membership) Live() []id.Instance {
	m.refreshLive()
	return m.live
}

// ZoneOf returns the zone of a known instance, or "" if it is unknown.
func (m *Membership) ZoneOf(i id.Instance) id.Zone {
	if i == m.settings.Instance {
		return m.settings.Zone
	}
	if p := m.peers[i]; p != nil {
		return p.zone
	}
	return ""
}

// refreshLive rebuilds the results of Live and InZone if they are stale.
func (m *Membership) refreshLive() {
	if !m.liveStale {
		return
	}
	m.liveStale = false
	m.liveByZone = make(map[id.Zone][]id.Instance)
	m.live = nil
	for name, p := range m.peers {
		if p.alive && !p.leaving {
			m.live = append(m.live, name)
		}
	}
	if !m.ownHeartbeat.Leaving {
		m.live = append(m.live, m.settings.Instance)
	}
	slices.Sort(m.live)
	for _, name := range m.live {
		z := m.ZoneOf(name)
		m.liveByZone[z] = append(m.liveByZone[z], name)
	}
	m.check.Hold(slices.Contains(m.live, m.settings.Instance) != m.ownHeartbeat.Leaving, "member-self",
		"self %s, leaving %v, live %v", m.settings.Instance, m.ownHeartbeat.Leaving, m.live)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func sortedZones(zones map[id.Zone][]id.Instance) []id.Zone { return sortedKeys(zones) }
