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

// watched is another instance's session whose row is being read.
type watchedSession struct {
	queried        bool // Ended asked about it
	rowKnown       bool // the row was read without a pause of this instance since
	version        uint64
	session        table.Session
	unchangedSince clock.Time // after the first reading with this version
	// takeSent says that a takeover was sent against version and its fate is
	// not known: it may still take effect.
	takeoverVersion uint64
}

// watchList follows the sessions of others.
type watchList struct {
	lastHeard map[id.Instance]clock.Time
	entries   map[id.Instance]*watchedSession
	endedBy   map[id.Instance]id.Instance
	nextRead  clock.Time // next reading
	hasUnread bool       // an entry has not been read yet
}

func newWatchList() watchList {
	return watchList{
		lastHeard: make(map[id.Instance]clock.Time),
		entries:   make(map[id.Instance]*watchedSession),
		endedBy:   make(map[id.Instance]id.Instance),
	}
}

func (w *watchList) recordHeard(now clock.Time, from id.Instance) { w.lastHeard[from] = now }

// forgetReadings starts all waiting over: a paused instance neither saw the
// rows change nor could hear their holders.
func (w *watchList) invalidateRows() {
	for _, e := range w.entries {
		e.rowKnown = false
	}
}

// takerOf returns who took the session of i over, self if this instance may
// have done so, else "".
func (w *watchList) takenOverBy(i, self id.Instance) id.Instance {
	if by, ok := w.endedBy[i]; ok {
		return by
	}
	if e := w.entries[i]; e != nil && e.takeoverVersion != 0 {
		return self
	}
	return ""
}

func (w *watchList) add(i id.Instance, asked bool) {
	e := w.entries[i]
	if e == nil {
		e = &watchedSession{}
		w.entries[i] = e
		w.hasUnread = true
	}
	if asked && !e.queried {
		e.queried = true
		w.hasUnread = true
	}
}

// Ended reports whether the table showed that the session of i has ended, or
// is gone. Asking about an instance that is silent has its row read.
func (l *Lease) Ended(i id.Instance) bool {
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

// silentFor reports whether nothing was heard from i for d. Time before this
// instance last began to listen does not count.
func (l *Lease) silentFor(now clock.Time, i id.Instance, d time.Duration) bool {
	heard, ok := l.watch.lastHeard[i]
	if !ok {
		return true
	}
	return now.Sub(heard) >= d
}

// tickWatch reads the rows of silent sessions and takes over dead ones.
func (l *Lease) updateWatches(now clock.Time, out *event.Outbox) {
	l.takeOverDead(now, out)
	if l.ops.anyPending(opWatch) || (now.Before(l.watch.nextRead) && !l.watch.hasUnread) {
		return
	}
	l.watch.nextRead, l.watch.hasUnread = now.Add(l.settings.RenewInterval), false
	l.selectWatches(now)
	l.readWatchedRows(now, out)
}

// watchSilent adds the silent instances of the zone that this one is a watcher
// of, and drops those heard again.
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

func (l *Lease) isWatcherOf(i id.Instance, members []id.Instance) bool {
	return slices.Contains(rendezvous.Rank(string(i), members, watchersPerSession), l.settings.Instance)
}

func (l *Lease) readWatchedRows(now clock.Time, out *event.Outbox) {
	p := op{kind: opWatch, sent: now}
	var keys []table.Key
	for _, i := range sortedKeys(l.watch.entries) {
		p.instances = append(p.instances, i)
		p.queried = append(p.queried, l.watch.entries[i].queried)
		keys = append(keys, sessionKey(i))
	}
	if len(keys) > 0 {
		out.Add(event.TableRead{Op: l.ops.start(p), Keys: keys})
	}
}

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
			// Something in the table named i before this reading, so its row
			// had been written: it was removed after it ended.
			l.recordEnded(i, i)
		}
	}
}

// sawLive takes note of a live row. The wait of a taker starts after the first
// reading with its version.
func (l *Lease) recordLive(now clock.Time, i id.Instance, version uint64, s table.Session) {
	e := l.watch.entries[i]
	if e == nil {
		return
	}
	if e.takeoverVersion != 0 && e.takeoverVersion != version {
		e.takeoverVersion = 0 // the holder renewed: the takeover can't take effect
	}
	if !e.rowKnown || e.version != version || e.session.Renewal != s.Renewal {
		e.rowKnown, e.unchangedSince = true, now
	}
	e.version, e.session = version, s
	if s.Zone == l.settings.Zone {
		l.members.Introduce(now, i, s.Zone, s.Address)
	}
}

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

// takeDead ends the sessions whose holders are dead.
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

// mayTake reports whether the session of i is dead beyond doubt: its row
// stayed as it is for the whole term, and its holder, who keeps its right
// without the table as long as it runs, could not be heard for as long.
func (l *Lease) canTakeOver(now clock.Time, i id.Instance, e *watchedSession) bool {
	if !e.rowKnown || e.session.Zone != l.settings.Zone {
		return false
	}
	return l.rowUnchangedForTerm(now, e) && (l.holderSilentForTerm(now, i, e) || l.hooks.skipSilenceCheck)
}

func (l *Lease) rowUnchangedForTerm(now clock.Time, e *watchedSession) bool {
	return now.Sub(e.unchangedSince) >= max(e.session.Term, l.settings.Term)+l.settings.DriftMargin
}

func (l *Lease) holderSilentForTerm(now clock.Time, i id.Instance, e *watchedSession) bool {
	term := max(e.session.Term, l.settings.Term)
	return l.silentFor(now, i, term) && now.Sub(l.runningSince) >= term
}

func (l *Lease) takeOver(now clock.Time, i id.Instance, e *watchedSession, out *event.Outbox) {
	if !l.check.Hold(l.holderSilentForTerm(now, i, e), "session-early-take", "%s takes %s over while it is heard", l.settings.Instance, i) {
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

// takeAnswered follows up a takeover. Its fate unknown, the row is read again,
// and until it shows a change this instance vouches for nothing.
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
