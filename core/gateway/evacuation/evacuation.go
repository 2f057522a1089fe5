// Package evacuation keeps which availability zones the operator has evacuated: after a
// bound, nothing may be sent to their backend servers until the request is taken back.
//
// Each instance holds the whole set, whoever told it. Of two words about a zone the one
// of the later revision of the store counts, so messages may come late, twice or out of
// order, and an instance that was cut off is mended by the first message that it hears.
//
// A zone is first emptied and then closed. While it is emptied its servers go on serving,
// and models are loaded elsewhere; that takes a part of the bound, and the rest of it is
// for the word to reach everybody. Who can't tell how old the word is closes at once.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/revision"
)

// State is what may be done with the servers of a zone.
type State int

// The states of a zone.
const (
	Open     State = iota
	Emptying       // requests are served, no model is loaded
	Closed         // nothing is sent
)

// String names a state for logs.
func (s State) String() string { return [...]string{"open", "emptying", "closed"}[s] }

const (
	// emptyPart of the bound is what a zone is emptied for.
	emptyPart = 0.4
	// keepFor is how long an evacuation is kept that the store does not show after its
	// return from an older copy: the operator writes it again within a moment.
	keepFor = 5 * time.Second
)

// Notice is a word about one zone.
type Notice struct {
	Zone     string
	Revision revision.Revision // at which the word was true
	Active   bool
	ClosesIn time.Duration // if active, from the telling
}

// Row is an evacuation as it stands in the store.
type Row struct {
	Zone    string
	Version int64 // of the store that wrote it, or removed it
	Removed bool
}

// Set is the evacuations that one instance knows. It is not safe for concurrent use.
type Set struct {
	emptyFor time.Duration
	zones    map[string]*zone
}

type zone struct {
	at      revision.Revision
	active  bool
	closes  clock.Time
	missing clock.Time        // since when the store of a new era does not show it; 0: it does
	lacks   revision.Revision // of that store
}

// New returns an empty Set; within is the bound for everybody to send nothing more.
func New(within time.Duration) *Set {
	return &Set{emptyFor: time.Duration(emptyPart * float64(within)), zones: make(map[string]*zone)}
}

// ApplyChanges takes rows that the store told of as they changed. late says that the change
// may be old.
func (s *Set) ApplyChanges(now clock.Time, era int64, rows []Row, late bool) (changed bool) {
	closesIn := s.emptyFor
	if late {
		closesIn = 0
	}
	for _, r := range rows {
		n := Notice{Zone: r.Zone, Revision: revision.Revision{Era: era, Version: r.Version}, Active: !r.Removed, ClosesIn: closesIn}
		changed = s.ApplyNotice(now, n) || changed
	}
	return changed
}

// ApplySnapshot takes all rows of the store at a revision. How long they have stood there is not
// known, so a zone that was not known to be evacuated closes at once.
func (s *Set) ApplySnapshot(now clock.Time, at revision.Revision, rows []Row) (changed bool) {
	changed = s.ApplyChanges(now, at.Era, rows, true)
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		z := s.zones[name]
		shown := slices.ContainsFunc(rows, func(r Row) bool { return r.Zone == name && !r.Removed })
		switch {
		case shown:
			z.missing = 0
		case !z.active || !z.at.Before(at):
		case z.at.Era < at.Era:
			// The copy may be older than the request.
			if z.missing == 0 {
				z.missing = now
			}
			z.lacks = at
		default:
			z.active, z.at, changed = false, at, true
		}
	}
	return changed
}

// ApplyNotice takes a word of another instance, and reports whether it changed a zone.
func (s *Set) ApplyNotice(now clock.Time, n Notice) bool {
	closes := now.Add(min(max(0, n.ClosesIn), s.emptyFor))
	z := s.zones[n.Zone]
	switch {
	case z == nil:
		s.zones[n.Zone] = &zone{at: n.Revision, active: n.Active, closes: closes}
		return n.Active
	case n.Revision.Before(z.at):
		return false
	case n.Revision == z.at:
		z.closes = min(z.closes, closes)
		return false
	}
	changed := z.active != n.Active
	if z.active && n.Active {
		closes = min(closes, z.closes) // written again: its time began with the first word
	}
	*z = zone{at: n.Revision, active: n.Active, closes: closes}
	return changed
}

// Expire takes back what the store does not show some time after its return. It reports
// whether a zone changed.
func (s *Set) Expire(now clock.Time) (changed bool) {
	for _, z := range s.zones {
		if z.active && z.missing != 0 && now.Sub(z.missing) >= keepFor {
			*z, changed = zone{at: z.lacks}, true
		}
	}
	return changed
}

// State returns what may be done with a zone.
func (s *Set) State(now clock.Time, name string) State {
	z := s.zones[name]
	switch {
	case z == nil || !z.active:
		return Open
	case now.Before(z.closes):
		return Emptying
	}
	return Closed
}

// Zones returns the zones that were ever named, sorted.
func (s *Set) Zones() []string { return slices.Sorted(maps.Keys(s.zones)) }

// Notices returns what to tell others: all that is known, for whoever missed the start or
// the end of an evacuation.
func (s *Set) Notices(now clock.Time) []Notice {
	var all []Notice
	for _, name := range s.Zones() {
		z := s.zones[name]
		all = append(all, Notice{Zone: name, Revision: z.at, Active: z.active, ClosesIn: max(0, z.closes.Sub(now))})
	}
	return all
}
