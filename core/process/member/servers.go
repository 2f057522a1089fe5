package member

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
)

// maxAbsentReads is the number of consecutive list reads without a backend server
// after which it counts as leaving for good. A single read may be older than the
// server.
const maxAbsentReads = 3

// server is the state of a backend server at one address.
type server struct {
	member       event.Member
	leaving      bool       // set for good
	absentReads  int        // consecutive list reads without it
	lastListedAt clock.Time // last list read with it
	down         bool
	retryAt      clock.Time
}

// servers holds the known backend servers.
type servers struct {
	removeAfter time.Duration
	retryAfter  time.Duration
	byName      map[id.Backend]*server
	sorted      []event.Member // nil if it must be rebuilt
}

func newServers(s Settings) servers {
	return servers{
		removeAfter: s.RemoveAfter,
		retryAfter:  s.BackendRetryDelay,
		byName:      make(map[id.Backend]*server),
	}
}

// applyList updates the servers from a read of the instance list.
func (s *servers) applyList(now clock.Time, members []event.Member) {
	s.sorted = nil
	seen := make(map[id.Backend]bool)
	for _, e := range members {
		if e.Group != "" {
			seen[id.Backend(e.Name)] = true
			s.updateListed(now, e)
		}
	}
	for name, b := range s.byName {
		if !seen[name] {
			s.updateAbsent(now, name, b)
		}
	}
}

// updateListed updates or adds a server that is on the list. A server with
// another address is a new one, which does not inherit the leaving mark.
func (s *servers) updateListed(now clock.Time, e event.Member) {
	name := id.Backend(e.Name)
	b := s.byName[name]
	if b == nil || b.member.Address != e.Address {
		b = &server{}
		s.byName[name] = b
	}
	b.leaving = b.leaving || e.Leaving
	b.member, b.absentReads, b.lastListedAt = e, 0, now
}

// updateAbsent counts a list read without the server, and removes it once it has
// been absent for long enough.
func (s *servers) updateAbsent(now clock.Time, name id.Backend, b *server) {
	b.absentReads++
	if b.absentReads >= maxAbsentReads {
		b.leaving = true
	}
	if now.Sub(b.lastListedAt) >= s.removeAfter {
		delete(s.byName, name)
	}
}

// currentMember returns the server's list entry with its current leaving mark.
func (b *server) currentMember() event.Member {
	e := b.member
	e.Leaving = b.leaving || b.absentReads > 0
	return e
}

// Backends returns the backend servers, sorted by name. The slice must not be
// modified.
func (m *Membership) Backends() []event.Member {
	s := &m.servers
	if s.sorted == nil {
		for _, name := range sortedKeys(s.byName) {
			s.sorted = append(s.sorted, s.byName[name].currentMember())
		}
	}
	return s.sorted
}

// Backend returns a backend server by name.
func (m *Membership) Backend(b id.Backend) (event.Member, bool) {
	s := m.servers.byName[b]
	if s == nil {
		return event.Member{}, false
	}
	return s.currentMember(), true
}

// MarkLeaving records that a backend server is leaving, as its report or a
// refused request showed.
func (m *Membership) MarkLeaving(b id.Backend) {
	if s := m.servers.byName[b]; s != nil && !s.leaving {
		s.leaving = true
		m.servers.sorted = nil
	}
}

// MarkDown records that a backend server did not respond. It is down until
// BackendRetryDelay has passed or MarkUp is called.
func (m *Membership) MarkDown(now clock.Time, b id.Backend) {
	if s := m.servers.byName[b]; s != nil {
		s.down, s.retryAt = true, now.Add(m.servers.retryAfter)
	}
}

// MarkUp records that a backend server responded.
func (m *Membership) MarkUp(b id.Backend) {
	if s := m.servers.byName[b]; s != nil {
		s.down = false
	}
}

// IsDown reports whether a backend server is down and not yet due for a retry.
func (m *Membership) IsDown(now clock.Time, b id.Backend) bool {
	s := m.servers.byName[b]
	return s != nil && s.down && now.Before(s.retryAt)
}
