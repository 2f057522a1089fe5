// Package evacuation records which availability zones the operator has evacuated. Within a
// time limit after the request, no instance may send anything to the zone's backend servers
// until the request is withdrawn.
//
// Each instance holds the whole set, from whatever source. Of two notices about a zone, the
// one with the later revision of the store is valid. So messages may arrive late, twice or
// out of order, and an instance that was partitioned from the others is up to date again
// after the first message that it receives.
//
// A zone is first emptied and then closed. While it is emptied, its servers continue to
// serve and models are loaded elsewhere. That takes a part of the time limit; the rest is
// for the notice to reach all instances. An instance that does not know how old a notice is
// closes the zone at once.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/revision"
)

// State says how the servers of a zone may be used.
type State int

// The states of a zone.
const (
	Open     State = iota
	Emptying       // requests are sent, but no model is loaded
	Closed         // nothing is sent
)

// String returns the name of a state for logs.
func (s State) String() string { return [...]string{"open", "emptying", "closed"}[s] }

const (
	// emptyingShare is the part of the time limit in which a zone is emptied.
	emptyingShare = 0.4
	// missingGrace is how long an evacuation remains in force that is missing from the
	// store after it was restored from an older copy: the operator is expected to write
	// it again within that time.
	missingGrace = 5 * time.Second
)

// Notice is the state of one zone's evacuation as one instance tells it to another.
type Notice struct {
	Zone     string
	Revision revision.Revision // of the store at which the notice was true
	Active   bool
	ClosesIn time.Duration // time until the zone is closed, if active
}

// Row is the row of an evacuation in the store.
type Row struct {
	Zone    string
	Version int64 // version of the store at which it was written or removed
	Removed bool
}

// Set holds the evacuations that one instance knows of. It is not safe for concurrent use.
type Set struct {
	emptyingTime time.Duration
	zones        map[string]*zone
}

type zone struct {
	revision     revision.Revision
	active       bool
	closesAt     clock.Time
	missingSince clock.Time        // when a store of a later era was first read without it; 0: it is present
	missingAt    revision.Revision // revision at which it was last found missing
}

// New returns an empty Set; limit is the time within which all instances must have stopped
// sending to an evacuated zone.
func New(limit time.Duration) *Set {
	return &Set{emptyingTime: time.Duration(emptyingShare * float64(limit)), zones: make(map[string]*zone)}
}

// ApplyChanges applies rows that changed in the store, and reports whether a zone changed.
// late says that the changes may be old.
func (s *Set) ApplyChanges(now clock.Time, era int64, rows []Row, late bool) (changed bool) {
	closesIn := s.emptyingTime
	if late {
		closesIn = 0
	}
	for _, r := range rows {
		n := Notice{Zone: r.Zone, Revision: revision.Revision{Era: era, Version: r.Version}, Active: !r.Removed, ClosesIn: closesIn}
		changed = s.ApplyNotice(now, n) || changed
	}
	return changed
}

// ApplySnapshot applies all rows of the store at a revision, and reports whether a zone
// changed. The age of the rows is not known, so a zone that was not known to be evacuated is
// closed at once.
func (s *Set) ApplySnapshot(now clock.Time, rev revision.Revision, rows []Row) (changed bool) {
	changed = s.ApplyChanges(now, rev.Era, rows, true)
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		z := s.zones[name]
		present := slices.ContainsFunc(rows, func(r Row) bool { return r.Zone == name && !r.Removed })
		switch {
		case present:
			z.missingSince = 0
		case !z.active || !z.revision.Before(rev):
		case z.revision.Era < rev.Era:
			// The store may have been restored from a copy that is older than the request.
			if z.missingSince == 0 {
				z.missingSince = now
			}
			z.missingAt = rev
		default:
			z.active, z.revision, changed = false, rev, true
		}
	}
	return changed
}

// ApplyNotice applies a notice, and reports whether it changed a zone.
func (s *Set) ApplyNotice(now clock.Time, n Notice) bool {
	closesAt := now.Add(min(max(0, n.ClosesIn), s.emptyingTime))
	z := s.zones[n.Zone]
	switch {
	case z == nil:
		s.zones[n.Zone] = &zone{revision: n.Revision, active: n.Active, closesAt: closesAt}
		return n.Active
	case n.Revision.Before(z.revision):
		return false
	case n.Revision == z.revision:
		z.closesAt = min(z.closesAt, closesAt)
		return false
	}
	changed := z.active != n.Active
	if z.active && n.Active {
		closesAt = min(closesAt, z.closesAt) // written again: the time counts from the first notice
	}
	*z = zone{revision: n.Revision, active: n.Active, closesAt: closesAt}
	return changed
}

// Expire ends evacuations that have been missing from a restored store for missingGrace. It
// reports whether a zone changed.
func (s *Set) Expire(now clock.Time) (changed bool) {
	for _, z := range s.zones {
		if z.active && z.missingSince != 0 && now.Sub(z.missingSince) >= missingGrace {
			*z, changed = zone{revision: z.missingAt}, true
		}
	}
	return changed
}

// State returns the state of a zone.
func (s *Set) State(now clock.Time, name string) State {
	z := s.zones[name]
	switch {
	case z == nil || !z.active:
		return Open
	case now.Before(z.closesAt):
		return Emptying
	}
	return Closed
}

// Zones returns the zones with any recorded evacuation, ended ones included, sorted.
func (s *Set) Zones() []string { return slices.Sorted(maps.Keys(s.zones)) }

// Notices returns the notices to send to other instances. They include ended evacuations,
// for instances that missed the start or the end of one.
func (s *Set) Notices(now clock.Time) []Notice {
	var all []Notice
	for _, name := range s.Zones() {
		z := s.zones[name]
		all = append(all, Notice{Zone: name, Revision: z.revision, Active: z.active, ClosesIn: max(0, z.closesAt.Sub(now))})
	}
	return all
}
