// Package spread decides how what one instance tells all others reaches them.
//
// Within an availability zone every instance is told directly. Another zone is
// told through one of its instances, which passes the message on within its zone:
// so bytes between zones grow with instances times zones, and not with the
// square of the instances. Messages go through two relays of a zone in turn. If
// one dies, every second message is lost until it is missed, and two heartbeats
// in a row still arrive; nobody counts as silent.
package spread

import (
	"cmp"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/members"
)

const (
	// directZone is the size up to which a zone is told directly: through a relay
	// it would cost as many messages, and a moment more.
	maxDirectZoneSize = 4
	// relays are the instances of a zone that messages go through in turn.
	relaysPerZone = 2
	// relaySilence is when a relay is missed: two heartbeats of a fleet of 83.
	relayTimeout = 1400 * time.Millisecond
)

// Recipients is how a message to all others goes.
type Recipients struct {
	Direct []*members.Member
	// Relays pass it on in their zones.
	Relays []*members.Member
}

// Plan returns the route to all others of an instance in zone. Turn counts its
// messages. With all, each zone's relays are given, for what must not be lost.
func Plan(now clock.Time, zone string, others []*members.Member, turn int, all bool) Recipients {
	var r Recipients
	for _, z := range byZone(others) {
		chosen := Strongest(now, z, relaysPerZone)
		if z[0].Zone == zone || len(z) <= maxDirectZoneSize || len(chosen) < relaysPerZone {
			r.Direct = append(r.Direct, z...)
			continue
		}
		if !all {
			chosen = chosen[turn%relaysPerZone : turn%relaysPerZone+1]
		}
		r.Relays = append(r.Relays, chosen...)
	}
	return r
}

// Strongest returns the n strongest of the instances that are heard: each message
// costs a relay as many datagrams as its zone has instances, and whoever places
// models has most to do.
func Strongest(now clock.Time, all []*members.Member, n int) []*members.Member {
	heard := slices.DeleteFunc(slices.Clone(all), func(m *members.Member) bool {
		return m.Leaving || m.LastHeard == 0 || now.Sub(m.LastHeard) > relayTimeout
	})
	slices.SortFunc(heard, byStrength)
	return heard[:min(n, len(heard))]
}

func byStrength(a, b *members.Member) int {
	return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(a.Name, b.Name))
}

// byZone returns the instances of each zone, in the order of the zones' names.
func byZone(all []*members.Member) [][]*members.Member {
	zones := make(map[string][]*members.Member)
	for _, m := range all {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	var sorted [][]*members.Member
	for _, z := range zones {
		sorted = append(sorted, z)
	}
	slices.SortFunc(sorted, func(a, b []*members.Member) int { return cmp.Compare(a[0].Zone, b[0].Zone) })
	return sorted
}
