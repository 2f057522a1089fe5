// Package members tracks the other instances, from the row that each instance writes to
// the store when it starts and from their messages.
package members

import (
	"slices"
	"strings"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// liveTimeout is how long an instance counts as live after its last message. Two
	// messages may be lost in a large fleet, too.
	liveTimeout = 2200 * time.Millisecond
	// firstMessageTimeout is how long the first message of an instance that has a row is
	// awaited: an instance sends one as soon as it has read the rows of the others.
	firstMessageTimeout = 1500 * time.Millisecond
	// missingTTL is how long after an instance was forgotten AnyMissing stays true, so that
	// the rows are searched for it.
	missingTTL = 5 * time.Minute
	// forgetAfter is how long messages are sent to an instance that is not heard. A zone
	// that is isolated for longer is rediscovered through the rows.
	forgetAfter = 45 * time.Second
)

// Member is another instance.
type Member struct {
	Name        string
	Address     string
	Zone        string
	Incarnation uint64
	Strength    int        // ranks the candidates for the lease and for relays; 0 if unknown
	Leaving     bool       // it is shutting down
	LastHeard   clock.Time // last message; 0 if none
	knownAt     clock.Time // last message or change of its row
	doubtedAt   clock.Time // LastHeard when Doubtful returned it last
}

// Set is the set of the other instances. It is not safe for concurrent use.
type Set struct {
	self          string
	members       map[string]*Member // by name
	lastForgotten clock.Time         // when an instance was last forgotten; 0 if never
}

// New returns an empty Set for the instance self.
func New(self string) *Set { return &Set{self: self, members: make(map[string]*Member)} }

// UpdateFromRow adds an instance from its row in the store, or updates its address.
// A strength of 0 means unknown.
func (s *Set) UpdateFromRow(now clock.Time, name, address, zone string, strength int) {
	if name == s.self {
		return
	}
	m := s.members[name]
	if m == nil {
		s.members[name] = &Member{Name: name, Address: address, Zone: zone, Strength: strength, knownAt: now}
		return
	}
	// The messages of a live instance take precedence over its row.
	if now.Sub(m.LastHeard) > liveTimeout && m.Address != address {
		m.Address, m.knownAt = address, now
	}
}

// UpdateFromMessage replaces what is known of an instance by the contents of its message.
func (s *Set) UpdateFromMessage(now clock.Time, reported Member) {
	if reported.Name == s.self {
		return
	}
	reported.LastHeard, reported.knownAt = now, now
	s.members[reported.Name] = &reported
}

// All returns the instances to send messages to, sorted by name, and forgets those that
// have not been heard for forgetAfter.
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

// Get returns the instance with a name, or nil.
func (s *Set) Get(name string) *Member { return s.members[name] }

// AnyMissing reports whether any known instance is not live, or one was forgotten
// within the last minutes.
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

// AwaitingFirstMessage reports whether the instance is known from its row only and its
// first message may still arrive.
func (m *Member) AwaitingFirstMessage(now clock.Time) bool {
	return m.LastHeard == 0 && now.Sub(m.knownAt) <= firstMessageTimeout
}

// Live reports whether the instance was heard recently.
func (m *Member) Live(now clock.Time) bool {
	return m.LastHeard != 0 && now.Sub(m.LastHeard) <= liveTimeout
}

// CountLive returns the number of other instances that are live.
func (s *Set) CountLive(now clock.Time) int {
	n := 0
	for _, m := range s.members {
		if m.Live(now) {
			n++
		}
	}
	return n
}

// Doubtful returns the live instances that have been silent for longer than silence, so that
// they may have ended, each once until it is heard again.
func (s *Set) Doubtful(now clock.Time, silence time.Duration) []Member {
	var doubtful []Member
	for _, m := range s.members {
		if m.Live(now) && now.Sub(m.LastHeard) > silence && m.doubtedAt != m.LastHeard {
			m.doubtedAt = m.LastHeard
			doubtful = append(doubtful, *m)
		}
	}
	slices.SortFunc(doubtful, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return doubtful
}

// SilentZones returns, for each zone with instances that were ever heard, whether none of
// them was heard for longer than silence.
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

// Count returns the number of known instances, including this one.
func (s *Set) Count() int { return len(s.members) + 1 }
