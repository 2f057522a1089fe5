// Package session holds the one lease of an instance, its session row in the
// table service. All that the instance owns elsewhere names the session, so
// that one renewal covers everything and one takeover frees everything.
//
// The right of the holder is counted on its own clock from before a renewal
// was sent. It outlives the store: a holder whose ticks show no gap keeps it
// past expiry while it goes on trying to renew. Whoever takes over must have
// watched the row unchanged for Term and Margin, and have heard nothing from
// the holder for Term, and belong to the same zone. A holder that finds a gap
// in its ticks stops at once, until a renewal sent after the gap took effect or
// all of its zone vouch that nobody reached the table since (see confirm.go).
package session

import (
	"maps"
	"math"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/table"
)

// never is the table age of an instance that has not reached the table.
const never = time.Duration(math.MaxInt64)

// phase is how far the own session is.
type phase int

const (
	joining phase = iota // no row yet
	held
	suspect // a gap was found: the right is not used
	stopping
	ended // stopped by this instance
	lost  // ended by another instance, or the row is gone
)

// Lease implements process.Rights and process.Machine.
type Lease struct {
	set     Settings
	members Members
	check   *invariant.Checker
	hooks   hooks

	phase     phase
	fencing   id.Fencing
	row       uint64 // version of the own row, 0: none
	renewal   uint64 // number of the last attempt
	attempts  map[uint64]clock.Time
	expiry    clock.Time // of the last renewal known to have taken effect
	nextTry   clock.Time
	readBack  bool // the fate of the last write is unknown
	ops       ops
	started   bool
	tick      clock.Time // last Tick
	listening clock.Time // since when this instance has run without a gap

	tableReached bool
	tableAt      clock.Time // when the last operation was answered
	zoneReached  map[id.Instance]reached

	gap     gap
	watch   watchList
	changed []id.Instance
}

// hooks switches safeguards off in tests that show what they are for.
type hooks struct {
	ignoreGap     bool // go on after a pause
	assumeRenewed bool // take a lost answer for a success
	takeUnheard   bool // do not wait for the holder's silence
	confirmAny    bool // accept a Confirm whatever its table age
}

// New returns the lease of a new session. It owns nothing until its row is
// written.
func New(s Settings, members Members, check *invariant.Checker) *Lease {
	return &Lease{
		set:      s.withDefaults(),
		members:  members,
		check:    check,
		attempts: make(map[uint64]clock.Time),
		watch:    newWatchList(),

		zoneReached: make(map[id.Instance]reached),
	}
}

// Valid reports whether the lease holds at now.
func (l *Lease) Valid(now clock.Time) bool {
	if l.phase != held || l.gapAt(now) {
		return false
	}
	return now.Before(l.expiry) || l.trying(now)
}

// trying reports whether renewals are still sent in time.
func (l *Lease) trying(now clock.Time) bool {
	return now.Sub(l.nextTry) <= l.set.MaxGap
}

// gapAt reports whether this instance was paused since its last tick. A
// resumed process may get to a request before it gets to its tick, hence the
// question at each use of the right.
func (l *Lease) gapAt(now clock.Time) bool {
	return l.started && now.Sub(l.tick) > l.set.MaxGap && !l.hooks.ignoreGap
}

// NotAfter returns the last moment at which something decided now may be done
// without asking Valid again, a moment before now if the lease does not hold.
func (l *Lease) NotAfter(now clock.Time) clock.Time {
	if !l.Valid(now) {
		return now.Add(-1)
	}
	return l.tick.Add(l.set.MaxGap)
}

// Fencing returns the fencing number of the session.
func (l *Lease) Fencing() id.Fencing { return l.fencing }

// Lost reports whether another instance ended this session. It never holds
// again: the program has to start over under a new name.
func (l *Lease) Lost() bool { return l.phase == lost }

// Stopped reports whether the table has the end of this session on record.
func (l *Lease) Stopped() bool { return l.phase == ended || l.phase == lost }

// TableAge returns the time since the table last answered, the largest
// Duration if it never did.
func (l *Lease) TableAge(now clock.Time) time.Duration {
	if !l.tableReached {
		return never
	}
	return now.Sub(l.tableAt)
}

// EndedChanged returns the sessions that were newly seen to have ended.
func (l *Lease) EndedChanged() []id.Instance {
	c := l.changed
	l.changed = nil
	return c
}

// Stop ends the own session after a planned stop has given away what it owned.
// The right ends at once; the table learns of it when it can.
func (l *Lease) Stop(now clock.Time, out *event.Outbox) {
	if l.phase == stopping || l.Stopped() {
		return
	}
	l.phase = stopping
	if l.row == 0 && l.renewal == 0 {
		l.phase = ended
		return
	}
	l.nextTry = now
	l.Tick(now, out)
}

// Tick renews the session, looks for pauses and takes over dead sessions.
func (l *Lease) Tick(now clock.Time, out *event.Outbox) {
	l.noteGap(now)
	if !l.started {
		l.listening = now
	}
	l.started, l.tick = true, now
	l.gap.zoneAtTick = l.members.InZone(l.set.Zone)
	l.giveUpLate(now)
	l.tryOwnRow(now, out)
	l.askConfirm(now, out)
	l.tickWatch(now, out)
}

// Next returns when Tick is wanted next. It is often: a tick that fails to
// come is how a pause shows.
func (l *Lease) Next() clock.Time {
	if l.Stopped() {
		return clock.Never
	}
	return l.tick.Add(l.set.MaxGap / ticksPerGap)
}

// tryOwnRow sends the next operation on the own row if one is due.
func (l *Lease) tryOwnRow(now clock.Time, out *event.Outbox) {
	if l.Stopped() || l.ops.busy(opRead, opWrite) || now.Before(l.nextTry) {
		return
	}
	l.nextTry = now.Add(l.set.RenewEvery)
	if l.readBack {
		o := l.ops.start(op{kind: opRead, sent: now})
		out.Add(event.TableRead{Op: o, Keys: []table.Key{sessionKey(l.set.Instance)}})
		return
	}
	l.writeOwnRow(now, out)
}

func (l *Lease) writeOwnRow(now clock.Time, out *event.Outbox) {
	l.renewal++
	l.attempts[l.renewal] = now
	l.forgetAttempts()
	o := op{kind: opWrite, sent: now, renewal: l.renewal, ends: l.phase == stopping}
	body := table.Session{
		Instance: l.set.Instance,
		Zone:     l.set.Zone,
		Address:  l.set.Address,
		Fencing:  firstFencing,
		Renewal:  l.renewal,
		Term:     l.set.Term,
		State:    table.SessionLive,
	}
	if o.ends {
		body.State, body.EndedBy = table.SessionEnded, l.set.Instance
	}
	out.Add(event.TableCommit{
		Op:     l.ops.start(o),
		Writes: []table.Write{{Key: sessionKey(l.set.Instance), Expect: l.row, Body: body}},
	})
}

func (l *Lease) forgetAttempts() {
	if len(l.attempts) <= attemptsKept {
		return
	}
	delete(l.attempts, slices.Min(slices.Collect(maps.Keys(l.attempts))))
}

// Table takes in the answer to one of the lease's operations. The answer to an
// operation that was given up is left out: the row is read back anyway.
func (l *Lease) Table(now clock.Time, r event.TableResult, out *event.Outbox) {
	l.noteGap(now)
	op, ok := l.ops.finish(r.Op)
	if !ok {
		return
	}
	if r.Outcome == table.Done || r.Outcome == table.Conflict {
		l.tableReached, l.tableAt = true, now
	}
	l.answered(now, op, r)
	l.tryOwnRow(now, out)
}

func (l *Lease) answered(now clock.Time, op op, r event.TableResult) {
	switch op.kind {
	case opWrite:
		l.ownWritten(now, op, r.Outcome)
	case opRead:
		l.ownRead(now, r)
	case opWatch:
		l.watchRead(now, op, r)
	case opTake:
		l.takeAnswered(op, r.Outcome)
	}
}

// giveUpLate takes operations without an answer for unknown.
func (l *Lease) giveUpLate(now clock.Time) {
	for _, op := range l.ops.late(now.Add(-l.set.RenewEvery)) {
		l.answered(now, op, event.TableResult{Outcome: table.Unknown})
	}
}

func (l *Lease) ownWritten(now clock.Time, op op, o table.Outcome) {
	if o == table.Unknown && l.hooks.assumeRenewed {
		o = table.Done
	}
	switch {
	case o == table.Done && op.ends:
		l.phase = ended
	case o == table.Done:
		l.renewed(l.row+1, op.renewal)
	case o == table.NotExecuted:
		l.retrySoon(now)
	case o == table.Conflict:
		l.readBack = true
		l.nextTry = now
	default:
		// The answer to a write that took effect may be lost. Taking it for
		// done lets a holder act after a takeover; taking it for failed lets
		// it renew against a wrong version for ever. The row itself tells.
		l.readBack = true
		l.retrySoon(now)
	}
}

func (l *Lease) retrySoon(now clock.Time) {
	l.nextTry = min(l.nextTry, now.Add(l.set.RenewEvery/retriesPerRenewal))
}

// ownRead learns from the own row what became of the writes before.
func (l *Lease) ownRead(now clock.Time, r event.TableResult) {
	if r.Outcome != table.Done {
		l.retrySoon(now)
		return
	}
	l.readBack = false
	l.nextTry = now
	version, s, found := findSession(r.Rows, l.set.Instance)
	switch {
	case !found && l.row == 0:
		// The first write did not take effect, or not yet: it is tried again.
	case !found || s.State == table.SessionEnded:
		l.endedInTable()
	default:
		l.renewed(version, s.Renewal)
	}
}

func (l *Lease) endedInTable() {
	if l.phase == stopping {
		l.phase = ended
		return
	}
	l.phase = lost
}

// renewed takes note that the row has this version by the renewal of that
// number. The right counts from before the renewal was sent: a taker that read
// the row since waits for longer than the right can last.
func (l *Lease) renewed(version, renewal uint64) {
	l.row = version
	l.fencing = firstFencing
	sent, known := l.attempts[renewal]
	if !known {
		return
	}
	l.expiry = max(l.expiry, sent.Add(l.set.Term))
	// One sent before a pause says nothing about the time since: the row may
	// have been taken over while its answer waited here.
	if (l.phase == joining || l.phase == suspect) && sent.Reached(l.listening) {
		l.phase = held
	}
}

func sessionKey(i id.Instance) table.Key {
	return table.Key{Kind: table.KindSession, ID: string(i)}
}
