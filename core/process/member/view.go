package member

import (
	"cmp"
	"maps"
	"slices"

	"oleanderdale.org/core/id"
)

// Self returns the name of this instance.
func (m *Membership) Self() id.Instance { return m.set.Instance }

// Zone returns the availability zone of this instance.
func (m *Membership) Zone() id.Zone { return m.set.Zone }

// InZone returns the live instances of z that are not leaving, sorted. The
// slice must not be changed.
func (m *Membership) InZone(z id.Zone) []id.Instance {
	m.refresh()
	return m.view[z]
}

// Live returns the live instances that are not leaving, sorted. The slice must
// not be changed.
func (m *Membership) Live() []id.Instance {
	m.refresh()
	return m.live
}

// ZoneOf returns the zone of a known instance, else "".
func (m *Membership) ZoneOf(i id.Instance) id.Zone {
	if i == m.set.Instance {
		return m.set.Zone
	}
	if p := m.peers[i]; p != nil {
		return p.zone
	}
	return ""
}

func (m *Membership) refresh() {
	if !m.stale {
		return
	}
	m.stale = false
	m.view = make(map[id.Zone][]id.Instance)
	m.live = nil
	for name, p := range m.peers {
		if p.alive && !p.leaving {
			m.live = append(m.live, name)
		}
	}
	if !m.own.Leaving {
		m.live = append(m.live, m.set.Instance)
	}
	slices.Sort(m.live)
	for _, name := range m.live {
		z := m.ZoneOf(name)
		m.view[z] = append(m.view[z], name)
	}
	m.check.Hold(slices.Contains(m.live, m.set.Instance) != m.own.Leaving, "member-self",
		"self %s, leaving %v, live %v", m.set.Instance, m.own.Leaving, m.live)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func sortedZones(zones map[id.Zone][]id.Instance) []id.Zone { return sortedKeys(zones) }
