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
type watched struct {
	asked   bool // Ended asked about it
	known   bool // the row was read without a pause of this instance since
	version uint64
	session table.Session
	since   clock.Time // after the first reading with this version
	// takeSent says that a takeover was sent against version and its fate is
	// not known: it may still take effect.
	takeSent uint64
}

// watchList follows the sessions of others.
type watchList struct {
	heard   map[id.Instance]clock.Time
	entries map[id.Instance]*watched
	endedBy map[id.Instance]id.Instance
	due     clock.Time // next reading
	fresh   bool       // an entry has not been read yet
}

func newWatchList() watchList {
	return watchList{
		heard:   make(map[id.Instance]clock.Time),
		entries: make(map[id.Instance]*watched),
		endedBy: make(map[id.Instance]id.Instance),
	}
}

func (w *watchList) hear(now clock.Time, from id.Instance) { w.heard[from] = now }

// forgetReadings starts all waiting over: a paused instance neither saw the
// rows change nor could hear their holders.
func (w *watchList) forgetReadings() {
	for _, e := range w.entries {
		e.known = false
	}
}

// takerOf returns who took the session of i over, self if this instance may
// have done so, else "".
func (w *watchList) takerOf(i, self id.Instance) id.Instance {
	if by, ok := w.endedBy[i]; ok {
		return by
	}
	if e := w.entries[i]; e != nil && e.takeSent != 0 {
		return self
	}
	return ""
}

func (w *watchList) add(i id.Instance, asked bool) {
	e := w.entries[i]
	if e == nil {
		e = &watched{}
		w.entries[i] = e
		w.fresh = true
	}
	if asked && !e.asked {
		e.asked = true
		w.fresh = true
	}
}

// Ended reports whether the table showed that the session of i has ended, or
// is gone. Asking about an instance that is silent has its row read.
func (l *Lease) HasEnded(i id.Instance) bool {
	if i == l.set.Instance {
		return l.Stopped()
	}
	if _, ok := l.watch.endedBy[i]; ok {
		return true
	}
	if l.silentFor(l.tick, i, l.set.Term/silentTerms) {
		l.watch.add(i, true)
	}
	return false
}

// silentFor reports whether nothing was heard from i for d. Time before this
// instance last began to listen does not count.
func (l *Lease) silentFor(now clock.Time, i id.Instance, d time.Duration) bool {
	heard, ok := l.watch.heard[i]
	if !ok {
		return true
	}
	return now.Sub(heard) >= d
}

// tickWatch reads the rows of silent sessions and takes over dead ones.
func (l *Lease) tickWatch(now clock.Time, out *event.Outbox) {
	l.takeDead(now, out)
	if l.ops.busy(opWatch) || (now.Before(l.watch.due) && !l.watch.fresh) {
		return
	}
	l.watch.due, l.watch.fresh = now.Add(l.set.RenewEvery), false
	l.watchSilent(now)
	l.readWatched(now, out)
}

// watchSilent adds the silent instances of the zone that this one is a watcher
// of, and drops those heard again.
func (l *Lease) watchSilent(now clock.Time) {
	zone := l.members.InZone(l.set.Zone)
	for _, i := range sortedKeys(l.watch.heard) {
		silent := l.silentFor(now, i, l.set.Term/silentTerms)
		e := l.watch.entries[i]
		switch {
		case !silent && e != nil && e.takeSent == 0:
			delete(l.watch.entries, i)
		case silent && e == nil && !l.silentFor(now, i, forgetTerms*l.set.Term) && l.members.ZoneOf(i) == l.set.Zone && l.watches(i, zone):
			l.watch.add(i, false)
		case e == nil && l.silentFor(now, i, forgetTerms*l.set.Term):
			delete(l.watch.heard, i)
		}
	}
	l.watch.fresh = false
}

func (l *Lease) watches(i id.Instance, zone []id.Instance) bool {
	return slices.Contains(rendezvous.Rank(string(i), zone, watchers), l.set.Instance)
}

func (l *Lease) readWatched(now clock.Time, out *event.Outbox) {
	p := op{kind: opWatch, sent: now}
	var keys []table.Key
	for _, i := range sortedKeys(l.watch.entries) {
		p.of = append(p.of, i)
		p.asked = append(p.asked, l.watch.entries[i].asked)
		keys = append(keys, sessionKey(i))
	}
	if len(keys) > 0 {
		out.Add(event.TableRead{Op: l.ops.start(p), Keys: keys})
	}
}

func (l *Lease) watchRead(now clock.Time, p op, r event.TableResult) {
	if r.Outcome != table.Done {
		return
	}
	for n, i := range p.of {
		version, s, found := findSession(r.Rows, i)
		switch {
		case found && s.State == table.SessionEnded:
			l.noteEnded(i, s.EndedBy)
		case found:
			l.sawLive(now, i, version, s)
		case p.asked[n]:
			// Something in the table named i before this reading, so its row
			// had been written: it was removed after it ended.
			l.noteEnded(i, i)
		}
	}
}

// sawLive takes note of a live row. The wait of a taker starts after the first
// reading with its version.
func (l *Lease) sawLive(now clock.Time, i id.Instance, version uint64, s table.Session) {
	e := l.watch.entries[i]
	if e == nil {
		return
	}
	if e.takeSent != 0 && e.takeSent != version {
		e.takeSent = 0 // the holder renewed: the takeover can't take effect
	}
	if !e.known || e.version != version || e.session.Renewal != s.Renewal {
		e.known, e.since = true, now
	}
	e.version, e.session = version, s
	if s.Zone == l.set.Zone {
		l.members.AddInstance(now, i, s.Zone, s.Address)
	}
}

func (l *Lease) noteEnded(i, by id.Instance) {
	if _, ok := l.watch.endedBy[i]; ok {
		return
	}
	l.watch.endedBy[i] = by
	delete(l.watch.entries, i)
	delete(l.watch.heard, i)
	delete(l.zoneReached, i)
	l.changed = append(l.changed, i)
}

// takeDead ends the sessions whose holders are dead.
func (l *Lease) takeDead(now clock.Time, out *event.Outbox) {
	if !l.Valid(now) || l.ops.busy(opTake) {
		return
	}
	for _, i := range sortedKeys(l.watch.entries) {
		if e := l.watch.entries[i]; l.mayTake(now, i, e) {
			l.take(now, i, e, out)
			return
		}
	}
}

// mayTake reports whether the session of i is dead beyond doubt: its row
// stayed as it is for the whole term, and its holder, who keeps its right
// without the table as long as it runs, could not be heard for as long.
func (l *Lease) mayTake(now clock.Time, i id.Instance, e *watched) bool {
	if !e.known || e.session.Zone != l.set.Zone {
		return false
	}
	return l.unchangedForTerm(now, e) && (l.unheardForTerm(now, i, e) || l.hooks.takeUnheard)
}

func (l *Lease) unchangedForTerm(now clock.Time, e *watched) bool {
	return now.Sub(e.since) >= max(e.session.Term, l.set.Term)+l.set.Margin
}

func (l *Lease) unheardForTerm(now clock.Time, i id.Instance, e *watched) bool {
	term := max(e.session.Term, l.set.Term)
	return l.silentFor(now, i, term) && now.Sub(l.listening) >= term
}

func (l *Lease) take(now clock.Time, i id.Instance, e *watched, out *event.Outbox) {
	if !l.check.Hold(l.unheardForTerm(now, i, e), "session-early-take", "%s takes %s over while it is heard", l.set.Instance, i) {
		return
	}
	s := e.session
	s.State, s.EndedBy, s.Fencing = table.SessionEnded, l.set.Instance, s.Fencing+1
	e.takeSent = e.version
	out.Add(event.TableCommit{
		Op:     l.ops.start(op{kind: opTake, sent: now, of: []id.Instance{i}}),
		Writes: []table.Write{{Key: sessionKey(i), Expect: e.version, Body: s}},
	})
}

// takeAnswered follows up a takeover. Its fate unknown, the row is read again,
// and until it shows a change this instance vouches for nothing.
func (l *Lease) takeAnswered(p op, o table.Outcome) {
	i := p.of[0]
	e := l.watch.entries[i]
	if e == nil {
		return
	}
	switch o {
	case table.Done:
		l.noteEnded(i, l.set.Instance)
	case table.Conflict:
		e.known = false
		l.watch.fresh = true
	default:
		l.watch.fresh = true
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
