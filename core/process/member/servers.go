package member

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
)

// absentReadings is how many list readings in a row must miss a backend server
// until its absence counts as a lasting sign of leaving. A single reading may
// be older than the server.
const absentReadings = 3

// server is what is known of a backend server at one address.
type server struct {
	member  event.Member
	leaving bool       // lasting sign
	absent  int        // list readings in a row without it
	listed  clock.Time // last reading with it
	down    bool
	retry   clock.Time
}

// servers keeps the backend servers.
type servers struct {
	forgetAfter time.Duration
	retryAfter  time.Duration
	byName      map[id.Backend]*server
	sorted      []event.Member // nil: to be made again
}

func newServers(s Settings) servers {
	return servers{
		forgetAfter: s.RemoveAfter,
		retryAfter:  s.BackendRetryDelay,
		byName:      make(map[id.Backend]*server),
	}
}

func (s *servers) list(now clock.Time, members []event.Member) {
	s.sorted = nil
	seen := make(map[id.Backend]bool)
	for _, e := range members {
		if e.Group != "" {
			seen[id.Backend(e.Name)] = true
			s.listed(now, e)
		}
	}
	for name, b := range s.byName {
		if !seen[name] {
			s.missing(now, name, b)
		}
	}
}

func (s *servers) listed(now clock.Time, e event.Member) {
	name := id.Backend(e.Name)
	b := s.byName[name]
	if b == nil || b.member.Address != e.Address {
		b = &server{}
		s.byName[name] = b
	}
	b.leaving = b.leaving || e.Leaving
	b.member, b.absent, b.listed = e, 0, now
}

func (s *servers) missing(now clock.Time, name id.Backend, b *server) {
	b.absent++
	if b.absent >= absentReadings {
		b.leaving = true
	}
	if now.Sub(b.listed) >= s.forgetAfter {
		delete(s.byName, name)
	}
}

func (b *server) view() event.Member {
	e := b.member
	e.Leaving = b.leaving || b.absent > 0
	return e
}

// Backends returns the backend servers, sorted by name. The slice must not be
// changed.
func (m *Membership) Backends() []event.Member {
	s := &m.servers
	if s.sorted == nil {
		for _, name := range sortedKeys(s.byName) {
			s.sorted = append(s.sorted, s.byName[name].view())
		}
	}
	return s.sorted
}

// Backend returns one backend server.
func (m *Membership) Backend(b id.Backend) (event.Member, bool) {
	s := m.servers.byName[b]
	if s == nil {
		return event.Member{}, false
	}
	return s.view(), true
}

// MarkLeaving records that a backend server showed that it is leaving, by its
// report or by refusing work.
func (m *Membership) MarkLeaving(b id.Backend) {
	if s := m.servers.byName[b]; s != nil && !s.leaving {
		s.leaving = true
		m.servers.sorted = nil
	}
}

// MarkDown records that a backend server did not answer. It is down until the
// retry time has passed or MarkUp.
func (m *Membership) MarkDown(now clock.Time, b id.Backend) {
	if s := m.servers.byName[b]; s != nil {
		s.down, s.retry = true, now.Add(m.servers.retryAfter)
	}
}

// MarkUp records that a backend server answered.
func (m *Membership) MarkUp(b id.Backend) {
	if s := m.servers.byName[b]; s != nil {
		s.down = false
	}
}

// IsDown reports whether a backend server is down and not yet to be tried again.
func (m *Membership) IsDown(now clock.Time, b id.Backend) bool {
	s := m.servers.byName[b]
	return s != nil && s.down && now.Before(s.retry)
}
