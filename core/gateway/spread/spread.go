// Package spread decides through which instances a message is broadcast to all others.
//
// Within an availability zone, the message is sent to every instance directly. Another
// zone gets it through one of its instances, a relay, which forwards it within its zone:
// traffic between zones thus grows with the number of instances times the number of
// zones, not with the square of the number of instances. Messages alternate between two
// relays of a zone. If one relay fails, only every second message is lost until the
// failure is detected; enough heartbeats arrive that no instance counts as silent.
package spread

import (
	"cmp"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/members"
)

const (
	// maxDirectZoneSize is the size up to which a zone gets messages directly: a relay
	// would need as many messages and add latency.
	maxDirectZoneSize = 4
	// relaysPerZone is the number of instances of a zone that relay messages in turn.
	relaysPerZone = 2
	// relayTimeout is the silence after which an instance is not used as a relay: two
	// heartbeats in a fleet of 83 instances.
	relayTimeout = 1400 * time.Millisecond
)

// Recipients are the instances to which a message for all others is sent.
type Recipients struct {
	Direct []*members.Member
	// Relays forward the message within their zones.
	Relays []*members.Member
}

// Plan returns the recipients of a message from an instance in zone to all others. The
// relays alternate with turn, the count of such messages. With all set, the message goes
// through all relays of each zone, for messages that must not be lost.
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

// Strongest returns the n instances with the highest strength among those that are heard
// and not leaving. They are preferred because a relay sends as many datagrams per message
// as its zone has instances, and the instance that places models has the most work.
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

// byZone groups the instances by zone, sorted by the names of the zones.
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
