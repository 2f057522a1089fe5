// Package lapse decides whether a backend server whose entry is missing from the store has
// left.
//
// The platform removes an entry when its server leaves. It also removes the entries of
// servers that could not renew them during an outage of the store; those servers continue
// to serve, and write their entries again just after the outage. The two cases must be
// distinguished: a server that left must get no more requests, and after an outage all
// servers are needed.
//
// Failed calls of one instance do not prove an outage: the store may refuse that instance
// alone, or the network may separate it from the store. So an outage is a time in which
// the store is not known to have answered any instance. The lease holder calls the store
// through another instance if necessary, and the other instances hear of its renewals.
package lapse

import (
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// minOutage is the time without an answer after which entries may have expired. A
	// server renews its entry about once a second, and three renewals must fail.
	minOutage = time.Second
	// GracePeriod is how long after an outage an entry may still be missing.
	GracePeriod = 2 * time.Second
)

// Tracker records the outages of the store that one instance knows of, and the entries
// that are missing. It is not safe for concurrent use.
type Tracker struct {
	lastAnswer    clock.Time // when the store last answered any instance
	failingSince  clock.Time // start of the time without an answer; 0: the store answers
	lastOutageEnd clock.Time // 0: there was no outage
	missing       map[string]clock.Time
}

// New returns a Tracker that has recorded nothing.
func New() *Tracker { return &Tracker{missing: make(map[string]clock.Time)} }

// RecordAnswer records that the store answered a call of this instance or of another one.
func (t *Tracker) RecordAnswer(now clock.Time) {
	if t.outage(now) {
		t.lastOutageEnd = now
	}
	t.lastAnswer, t.failingSince = now, 0
}

// RecordFailure records that a call that this instance sent at sentAt was not answered. If
// another call was answered later than that, the store was reachable until that answer.
func (t *Tracker) RecordFailure(sentAt clock.Time) {
	if t.failingSince == 0 {
		t.failingSince = max(sentAt, t.lastAnswer)
	}
}

// RecordRestore records that the store was restored from an older copy. Entries that were
// written after the copy are gone, and are written again as after an outage.
func (t *Tracker) RecordRestore(now clock.Time) {
	t.lastAnswer, t.failingSince, t.lastOutageEnd = now, 0, now
}

// outage reports whether the store has not answered any instance for so long that entries
// may have expired.
func (t *Tracker) outage(now clock.Time) bool {
	return t.failingSince != 0 && now.Sub(t.failingSince) >= minOutage
}

// RecordMissing records that an entry is gone from the store, and reports whether its
// server has left. If it has not, Overdue returns it later unless Forget is called for it.
func (t *Tracker) RecordMissing(now clock.Time, id string) (left bool) {
	if !t.outage(now) && (t.lastOutageEnd == 0 || now.Sub(t.lastOutageEnd) >= GracePeriod) {
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

// AnyMissing reports whether any entry is missing and may come back.
func (t *Tracker) AnyMissing() bool { return len(t.missing) > 0 }

// Forget removes the record of a missing entry: it is present again, or its server has
// left.
func (t *Tracker) Forget(id string) { delete(t.missing, id) }

// Overdue returns the ids of the servers whose entries did not come back within
// GracePeriod, sorted. During an outage there are none, since no entry can come back.
func (t *Tracker) Overdue(now clock.Time) []string {
	if t.outage(now) {
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
