// Package process holds what lives as long as the process: the session lease,
// membership, rate slots, placement and the suspects of crashes. Its
// sub-packages are one state machine each; this package holds what they show
// one another.
//
// Each machine has methods that take the time and an input and append effects
// to an outbox. Tick does what is due; Next tells when Tick is wanted.
package process

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
)

// Machine is a part of an instance.
type Machine interface {
	// Tick does all that is due at now.
	Tick(now clock.Time, out *event.Outbox)
	// Next returns when Tick is wanted; clock.Never if nothing is planned.
	Next() clock.Time
}

// LeaseStatus tells what this instance may do by its session lease.
type LeaseStatus interface {
	// Valid reports whether the lease holds at now. It must be asked right
	// before each order and each spend.
	Valid(now clock.Time) bool
	// NotAfter returns the last moment at which something decided now may
	// still be done without asking again.
	NotAfter(now clock.Time) clock.Time
	// Fencing returns the fencing number of the session.
	Fencing() id.Fencing
	// HasEnded reports whether the table showed that the session of i has ended,
	// or never was: what i owned may be taken.
	HasEnded(i id.Instance) bool
}

// Members tells who is there.
type Members interface {
	Self() id.Instance
	Zone() id.Zone
	// InZone returns the live instances of a zone that are not leaving,
	// sorted, with this one among them if it is in that zone and not leaving.
	InZone(z id.Zone) []id.Instance
	// Live returns those of all zones, sorted.
	Live() []id.Instance
	// ZoneOf returns the zone of a known instance, else "".
	ZoneOf(i id.Instance) id.Zone
	// Backends returns the backend servers, sorted by name. Leaving is set
	// from the first sign on and never cleared by an older one.
	Backends() []event.Member
	// Backend returns one of them.
	Backend(b id.Backend) (event.Member, bool)
}
