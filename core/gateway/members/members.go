// Package members keeps which other instances there are, from the rows that
// each writes at its start and from their messages.
package members

import (
	"slices"
	"strings"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// heardWithin is how long an instance counts as heard: two of its messages
	// may be lost in the largest fleet measured, where they are 0.7 s apart.
	liveTimeout = 2200 * time.Millisecond
	// greetedWithin is how long an instance that is listed and was never heard is
	// expected: one that starts says so as soon as it has read the others' rows.
	firstMessageTimeout = 1500 * time.Millisecond
	// missedFor is how long instances that went silent are looked for in the rows.
	missingTTL = 5 * time.Minute
	// forgetAfter is when a silent instance is no longer written to. A zone
	// that is cut off for longer is found again through the rows.
	forgetAfter = 45 * time.Second
)

// Member is another instance.
type Member struct {
	Name        string
	Address     string
	Zone        string
	Incarnation uint64
	Strength    int        // for the choice among candidates for the lease
	Leaving     bool       // it was told to stop
	LastHeard   clock.Time // 0: never
	knownAt     clock.Time
}

// Set is the set of the other instances. It is not safe for concurrent use.
type Set struct {
	self          string
	members       map[string]*Member
	lastForgotten clock.Time // an instance was last forgotten; 0: none was
}

// New returns the set of an instance that knows no other.
func New(self string) *Set { return &Set{self: self, members: make(map[string]*Member)} }

// UpdateFromRow takes an instance from its row. A strength of 0 is not known.
func (s *Set) UpdateFromRow(now clock.Time, name, address, zone string, strength int) {
	if name == s.self {
		return
	}
	m := s.members[name]
	if m == nil {
		s.members[name] = &Member{Name: name, Address: address, Zone: zone, Strength: strength, knownAt: now}
		return
	}
	// What it says itself goes before its row.
	if now.Sub(m.LastHeard) > liveTimeout && m.Address != address {
		m.Address, m.knownAt = address, now
	}
}

// UpdateFromMessage takes what an instance says of itself.
func (s *Set) UpdateFromMessage(now clock.Time, said Member) {
	if said.Name == s.self {
		return
	}
	said.LastHeard, said.knownAt = now, now
	s.members[said.Name] = &said
}

// All returns the instances that are written to, by name.
func (s *Set) All(now clock.Time) []*Member {
	var all []*Member
	for name, m := range s.members {
		if now.Sub(m.knownAt) > forgetAfter {
			delete(s.members, name)
			s.lastForgotten = now
			continue
		}
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Get returns an instance, or nil.
func (s *Set) Get(name string) *Member { return s.members[name] }

// AnyMissing reports whether an instance that is known is not heard, or was forgotten
// some minutes ago.
func (s *Set) AnyMissing(now clock.Time) bool {
	if s.lastForgotten != 0 && now.Sub(s.lastForgotten) < missingTTL {
		return true
	}
	for _, m := range s.members {
		if !m.Live(now) {
			return true
		}
	}
	return false
}

// AwaitingFirstMessage reports whether an instance is listed and may only not have been heard
// yet.
func (m *Member) AwaitingFirstMessage(now clock.Time) bool {
	return m.LastHeard == 0 && now.Sub(m.knownAt) <= firstMessageTimeout
}

// Live reports whether an instance was heard of late.
func (m *Member) Live(now clock.Time) bool {
	return m.LastHeard != 0 && now.Sub(m.LastHeard) <= liveTimeout
}

// CountLive returns how many other instances were heard of late.
func (s *Set) CountLive(now clock.Time) int {
	n := 0
	for _, m := range s.members {
		if m.Live(now) {
			n++
		}
	}
	return n
}

// SilentZones returns the zones with instances of which none was heard for so long.
func (s *Set) SilentZones(now clock.Time, silence time.Duration) map[string]bool {
	silent := make(map[string]bool)
	for _, m := range s.members {
		if m.LastHeard == 0 {
			continue
		}
		heard := now.Sub(m.LastHeard) <= silence
		if known, ok := silent[m.Zone]; !ok || known {
			silent[m.Zone] = !heard
		}
	}
	return silent
}

// Count returns the number of instances, this one included.
func (s *Set) Count() int { return len(s.members) + 1 }
