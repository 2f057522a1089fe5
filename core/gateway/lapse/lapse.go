// Package lapse decides what the lack of a backend server's entry means.
//
// The platform removes an entry when its server leaves. It also removes the entries of
// servers that could not renew them while the store was away; those serve on, and their
// entries are back a moment after the store is. The two must be told apart: a server
// that left must get no more requests, and after an outage all servers are needed.
//
// Failed calls of one instance don't show that the store was away: it may be turned
// away, or cut off, alone. So an outage is a time in which the store is not known to
// have answered any instance. The one that holds the lease makes its calls through
// another instance if need be, and the others hear of its renewals.
package lapse

import (
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// shortestOutage is the time without an answer after which entries may have lapsed.
	// A server renews its entry about once a second, and three renewals must fail.
	shortestOutage = time.Second
	// GracePeriod is how long after the store's return an entry may still be missing.
	GracePeriod = 2 * time.Second
)

// Tracker follows the outages of the store as one instance knows them, and the entries
// that are missing. It is not safe for concurrent use.
type Tracker struct {
	answered clock.Time // the store last answered an instance
	since    clock.Time // start of the time without an answer; 0: the store answers
	returned clock.Time // end of the last outage; 0: there was none
	missing  map[string]clock.Time
}

// New returns the Tracker of an instance that starts.
func New() *Tracker { return &Tracker{missing: make(map[string]clock.Time)} }

// RecordAnswer records that the store answered a call, of this instance or of another.
func (t *Tracker) RecordAnswer(now clock.Time) {
	if t.away(now) {
		t.returned = now
	}
	t.answered, t.since = now, 0
}

// RecordFailure records that a call of this instance, sent at began, was not answered. An
// answer to another call meanwhile shows that the store was there until then.
func (t *Tracker) RecordFailure(began clock.Time) {
	if t.since == 0 {
		t.since = max(began, t.answered)
	}
}

// RecordRestore records that the store came back from an older copy. Entries that were written
// since are gone from it, and are written again as after an outage.
func (t *Tracker) RecordRestore(now clock.Time) {
	t.answered, t.since, t.returned = now, 0, now
}

// away reports whether the store has answered nobody for long enough that entries may
// have lapsed.
func (t *Tracker) away(now clock.Time) bool {
	return t.since != 0 && now.Sub(t.since) >= shortestOutage
}

// RecordMissing takes the lack of an entry, and reports whether its server has left. If not,
// Overdue names it later unless its entry comes back.
func (t *Tracker) RecordMissing(now clock.Time, id string) (left bool) {
	if !t.away(now) && (t.returned == 0 || now.Sub(t.returned) >= GracePeriod) {
		return true
	}
	if !t.IsMissing(id) {
		t.missing[id] = now
	}
	return false
}

// IsMissing reports whether an entry is missing and may come back.
func (t *Tracker) IsMissing(id string) bool {
	_, ok := t.missing[id]
	return ok
}

// Forget drops what is known of an entry: it is there again, or its server has left.
func (t *Tracker) Forget(id string) { delete(t.missing, id) }

// Overdue returns the servers whose entries had time to come back and did not, by id.
func (t *Tracker) Overdue(now clock.Time) []string {
	if t.away(now) {
		return nil
	}
	var overdue []string
	for _, id := range slices.Sorted(maps.Keys(t.missing)) {
		if now.Sub(t.missing[id]) > GracePeriod {
			overdue = append(overdue, id)
		}
	}
	return overdue
}
