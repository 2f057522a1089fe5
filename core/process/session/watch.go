package session

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/process/rendezvous"
	"oleanderdale.org/core/table"
)

// watchedSession is a session of another instance whose row is read.
type watchedSession struct {
	queried        bool // Ended was called for the instance
	rowKnown       bool // the row was read since the last pause of this instance
	version        uint64
	session        table.Session
	unchangedSince clock.Time // after the first read of this version
	// takeoverVersion is the version against which a takeover with an unknown
	// result was sent, 0 if there is none. The takeover may still take
	// effect.
	takeoverVersion uint64
}

// watchList watches the sessions of other instances.
type watchList struct {
	lastHeard map[id.Instance]clock.Time      // time of the last message
	entries   map[id.Instance]*watchedSession // the watched sessions
	endedBy   map[id.Instance]id.Instance     // who ended each session that is known to have ended
	nextRead  clock.Time                      // time of the next read
	hasUnread bool                            // an entry must be read at the next tick
}

func newWatchList() watchList {
	return watchList{
		lastHeard: make(map[id.Instance]clock.Time),
		entries:   make(map[id.Instance]*watchedSession),
		endedBy:   make(map[id.Instance]id.Instance),
	}
}

// recordHeard records that a message of an instance arrived.
func (w *watchList) recordHeard(now clock.Time, from id.Instance) { w.lastHeard[from] = now }

// invalidateRows restarts all waiting for takeovers: while this instance was
// paused, it neither saw the rows change nor heard their holders.
func (w *watchList) invalidateRows() {
	for _, e := range w.entries {
		e.rowKnown = false
	}
}

// takenOverBy returns the instance that took the session of i over, self if
// this instance may have done so, and otherwise "".
func (w *watchList) takenOverBy(i, self id.Instance) id.Instance {
	if by, ok := w.endedBy[i]; ok {
		return by
	}
	if e := w.entries[i]; e != nil && e.takeoverVersion != 0 {
		return self
	}
	return ""
}

// add starts watching the session of i. queried tells whether Ended was
// called for it.
func (w *watchList) add(i id.Instance, queried bool) {
	e := w.entries[i]
	if e == nil {
		e = &watchedSession{}
		w.entries[i] = e
		w.hasUnread = true
	}
	if queried && !e.queried {
		e.queried = true
		w.hasUnread = true
	}
}

// Ended reports whether the table showed that the session of i has ended or
// was removed. If i is silent, its row is read from then on.
func (l *Lease) HasEnded(i id.Instance) bool {
	if i == l.settings.Instance {
		return l.Stopped()
	}
	if _, ok := l.watch.endedBy[i]; ok {
		return true
	}
	if l.silentFor(l.lastTick, i, l.settings.Term/silenceDivisor) {
		l.watch.add(i, true)
	}
	return false
}

// silentFor reports whether no message of i arrived for d. An instance that
// was never heard counts as silent.
func (l *Lease) silentFor(now clock.Time, i id.Instance, d time.Duration) bool {
	heard, ok := l.watch.lastHeard[i]
	if !ok {
		return true
	}
	return now.Sub(heard) >= d
}

// updateWatches reads the rows of silent instances and takes over the
// sessions of dead ones.
func (l *Lease) updateWatches(now clock.Time, out *event.Outbox) {
	l.takeOverDead(now, out)
	if l.ops.anyPending(opWatch) || (now.Before(l.watch.nextRead) && !l.watch.hasUnread) {
		return
	}
	l.watch.nextRead, l.watch.hasUnread = now.Add(l.settings.RenewInterval), false
	l.selectWatches(now)
	l.readWatchedRows(now, out)
}

// selectWatches watches the sessions of silent instances of the zone for
// which this instance is a watcher. It stops watching those that were heard
// again, and forgets instances that have been silent for too long.
func (l *Lease) selectWatches(now clock.Time) {
	members := l.members.InZone(l.settings.Zone)
	for _, i := range sortedKeys(l.watch.lastHeard) {
		silent := l.silentFor(now, i, l.settings.Term/silenceDivisor)
		e := l.watch.entries[i]
		switch {
		case !silent && e != nil && e.takeoverVersion == 0:
			delete(l.watch.entries, i)
		case silent && e == nil && !l.silentFor(now, i, forgetAfterTerms*l.settings.Term) && l.members.ZoneOf(i) == l.settings.Zone && l.isWatcherOf(i, members):
			l.watch.add(i, false)
		case e == nil && l.silentFor(now, i, forgetAfterTerms*l.settings.Term):
			delete(l.watch.lastHeard, i)
		}
	}
	l.watch.hasUnread = false
}

// isWatcherOf reports whether this instance is one of the watchers of i among
// the zone's members.
func (l *Lease) isWatcherOf(i id.Instance, members []id.Instance) bool {
	return slices.Contains(rendezvous.Rank(string(i), members, watchersPerSession), l.settings.Instance)
}

// readWatchedRows reads the rows of all watched sessions.
func (l *Lease) readWatchedRows(now clock.Time, out *event.Outbox) {
	read := op{kind: opWatch, sent: now}
	var keys []table.Key
	for _, i := range sortedKeys(l.watch.entries) {
		read.instances = append(read.instances, i)
		read.queried = append(read.queried, l.watch.entries[i].queried)
		keys = append(keys, sessionKey(i))
	}
	if len(keys) > 0 {
		out.Add(event.TableRead{Op: l.ops.start(read), Keys: keys})
	}
}

// handleWatchedRows handles the rows of watched sessions as read.
func (l *Lease) handleWatchedRows(now clock.Time, p op, r event.TableResult) {
	if r.Outcome != table.Done {
		return
	}
	for n, i := range p.instances {
		version, s, found := findSession(r.Rows, i)
		switch {
		case found && s.State == table.SessionEnded:
			l.recordEnded(i, s.EndedBy)
		case found:
			l.recordLive(now, i, version, s)
		case p.queried[n]:
			// A table row named i before this read, so the row of i had been
			// written. It was removed after the session ended.
			l.recordEnded(i, i)
		}
	}
}

// recordLive records the row of a session that has not ended. The wait before
// a takeover starts after the first read of its version.
func (l *Lease) recordLive(now clock.Time, i id.Instance, version uint64, s table.Session) {
	e := l.watch.entries[i]
	if e == nil {
		return
	}
	if e.takeoverVersion != 0 && e.takeoverVersion != version {
		e.takeoverVersion = 0 // the holder has renewed, so the takeover can't take effect
	}
	if !e.rowKnown || e.version != version || e.session.Renewal != s.Renewal {
		e.rowKnown, e.unchangedSince = true, now
	}
	e.version, e.session = version, s
	if s.Zone == l.settings.Zone {
		l.members.AddInstance(now, i, s.Zone, s.Address)
	}
}

// recordEnded records that the session of i was ended by an instance.
func (l *Lease) recordEnded(i, by id.Instance) {
	if _, ok := l.watch.endedBy[i]; ok {
		return
	}
	l.watch.endedBy[i] = by
	delete(l.watch.entries, i)
	delete(l.watch.lastHeard, i)
	delete(l.zoneTableContacts, i)
	l.newlyEnded = append(l.newlyEnded, i)
}

// takeOverDead takes over the session of a dead instance, one at a time.
func (l *Lease) takeOverDead(now clock.Time, out *event.Outbox) {
	if !l.Valid(now) || l.ops.anyPending(opTakeOver) {
		return
	}
	for _, i := range sortedKeys(l.watch.entries) {
		if e := l.watch.entries[i]; l.canTakeOver(now, i, e) {
			l.takeOver(now, i, e, out)
			return
		}
	}
}

// canTakeOver reports whether the holder of a session is certainly dead: its
// row has not changed for a whole term and no message of it arrived for a
// whole term. The row alone is not enough, because a running holder keeps its
// lease while it can't reach the table.
func (l *Lease) canTakeOver(now clock.Time, i id.Instance, e *watchedSession) bool {
	if !e.rowKnown || e.session.Zone != l.settings.Zone {
		return false
	}
	return l.rowUnchangedForTerm(now, e) && (l.holderSilentForTerm(now, i, e) || l.hooks.skipSilenceCheck)
}

// rowUnchangedForTerm reports whether the row has not changed for the term
// plus DriftMargin.
func (l *Lease) rowUnchangedForTerm(now clock.Time, e *watchedSession) bool {
	return now.Sub(e.unchangedSince) >= max(e.session.Term, l.settings.Term)+l.settings.DriftMargin
}

// holderSilentForTerm reports whether this instance ran without a pause for
// the term and heard nothing from i.
func (l *Lease) holderSilentForTerm(now clock.Time, i id.Instance, e *watchedSession) bool {
	term := max(e.session.Term, l.settings.Term)
	return l.silentFor(now, i, term) && now.Sub(l.runningSince) >= term
}

// takeOver writes the end of a session into its row.
func (l *Lease) takeOver(now clock.Time, i id.Instance, e *watchedSession, out *event.Outbox) {
	if !l.check.Hold(l.holderSilentForTerm(now, i, e), "session-early-take", "%s takes over the session of %s, which is not silent", l.settings.Instance, i) {
		return
	}
	s := e.session
	s.State, s.EndedBy, s.Fencing = table.SessionEnded, l.settings.Instance, s.Fencing+1
	e.takeoverVersion = e.version
	out.Add(event.TableCommit{
		Op:     l.ops.start(op{kind: opTakeOver, sent: now, instances: []id.Instance{i}}),
		Writes: []table.Write{{Key: sessionKey(i), Expect: e.version, Body: s}},
	})
}

// handleTakeoverResult handles the result of a takeover. If the result is
// unknown, the row is read again, and until the row has changed this instance
// confirms nothing to the holder.
func (l *Lease) handleTakeoverResult(p op, outcome table.Outcome) {
	i := p.instances[0]
	e := l.watch.entries[i]
	if e == nil {
		return
	}
	switch outcome {
	case table.Done:
		l.recordEnded(i, l.settings.Instance)
	case table.Conflict:
		e.rowKnown = false
		l.watch.hasUnread = true
	default:
		l.watch.hasUnread = true
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
