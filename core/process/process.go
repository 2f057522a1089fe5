// Package process defines the interfaces between the state machines that live as
// long as the process: the session lease, membership, rate limits, placement and
// crash suspects. Each of them is a sub-package.
//
// The methods of a machine take the time and an input and append effects to an
// outbox. Tick performs what is due; Next returns when Tick must be called next.
package process

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
)

// Machine is a state machine of an instance that is driven by time.
type Machine interface {
	// Tick performs everything that is due at now.
	Tick(now clock.Time, out *event.Outbox)
	// Next returns when Tick must be called next; clock.Never if nothing is
	// scheduled.
	Next() clock.Time
}

// LeaseStatus tells what the session lease of this instance permits, and which
// other sessions have ended.
type LeaseStatus interface {
	// Valid reports whether the lease is held at now. It must be called right
	// before each order and each spending of tokens.
	Valid(now clock.Time) bool
	// NotAfter returns the latest time at which an action decided at now may
	// still be carried out without another call of Valid.
	NotAfter(now clock.Time) clock.Time
	// Fencing returns the fencing number of this instance's session.
	Fencing() id.Fencing
	// HasEnded reports whether the table showed that the session of i has ended
	// or never existed, so that others may take over what i owned.
	HasEnded(i id.Instance) bool
}

// Members gives access to the known instances and backend servers.
type Members interface {
	Self() id.Instance
	Zone() id.Zone
	// InZone returns the live instances of a zone that are not leaving, sorted,
	// including this one if it is in that zone and not leaving.
	InZone(z id.Zone) []id.Instance
	// Live returns the same for all zones, sorted.
	Live() []id.Instance
	// ZoneOf returns the zone of a known instance, or "" if it is unknown.
	ZoneOf(i id.Instance) id.Zone
	// Backends returns the backend servers, sorted by name. Leaving stays set
	// once any source reported it; older reports don't clear it.
	Backends() []event.Member
	// Backend returns the backend server with this name, if it is known.
	Backend(b id.Backend) (event.Member, bool)
}
