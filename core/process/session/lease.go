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
const neverReached = time.Duration(math.MaxInt64)

// phase is how far the own session is.
type phase int

const (
	joining phase = iota // no row yet
	held
	unconfirmed // a gap was found: the right is not used
	stopping
	ended // stopped by this instance
	lost  // ended by another instance, or the row is gone
)

// Lease implements process.Rights and process.Machine.
type Lease struct {
	settings Settings
	members  Members
	check    *invariant.Checker
	hooks    testHooks

	phase         phase
	fencing       id.Fencing
	rowVersion    uint64 // version of the own row, 0: none
	lastRenewal   uint64 // number of the last attempt
	renewalSentAt map[uint64]clock.Time
	expiry        clock.Time // of the last renewal known to have taken effect
	nextAttempt   clock.Time
	rowUnknown    bool // the fate of the last write is unknown
	ops           ops
	started       bool
	lastTick      clock.Time // last Tick
	runningSince  clock.Time // since when this instance has run without a gap

	tableReached      bool
	tableAnsweredAt   clock.Time // when the last operation was answered
	zoneTableContacts map[id.Instance]tableContact

	pause      pause
	watch      watchList
	newlyEnded []id.Instance
}

// hooks switches safeguards off in tests that show what they are for.
type testHooks struct {
	ignorePauses     bool // go on after a pause
	assumeRenewed    bool // take a lost answer for a success
	skipSilenceCheck bool // do not wait for the holder's silence
	acceptAnyConfirm bool // accept a Confirm whatever its table age
}

// New returns the lease of a new session. It owns nothing until its row is
// written.
func New(s Settings, members Members, check *invariant.Checker) *Lease {
	return &Lease{
		settings:      s.withDefaults(),
		members:       members,
		check:         check,
		renewalSentAt: make(map[uint64]clock.Time),
		watch:         newWatchList(),

		zoneTableContacts: make(map[id.Instance]tableContact),
	}
}

// Valid reports whether the lease holds at now.
func (l *Lease) Valid(now clock.Time) bool {
	if l.phase != held || l.pausedAt(now) {
		return false
	}
	return now.Before(l.expiry) || l.renewalOnTime(now)
}

// trying reports whether renewals are still sent in time.
func (l *Lease) renewalOnTime(now clock.Time) bool {
	return now.Sub(l.nextAttempt) <= l.settings.MaxTickGap
}

// gapAt reports whether this instance was paused since its last tick. A
// resumed process may get to a request before it gets to its tick, hence the
// question at each use of the right.
func (l *Lease) pausedAt(now clock.Time) bool {
	return l.started && now.Sub(l.lastTick) > l.settings.MaxTickGap && !l.hooks.ignorePauses
}

// NotAfter returns the last moment at which something decided now may be done
// without asking Valid again, a moment before now if the lease does not hold.
func (l *Lease) NotAfter(now clock.Time) clock.Time {
	if !l.Valid(now) {
		return now.Add(-1)
	}
	return l.lastTick.Add(l.settings.MaxTickGap)
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
		return neverReached
	}
	return now.Sub(l.tableAnsweredAt)
}

// EndedChanged returns the sessions that were newly seen to have ended.
func (l *Lease) NewlyEnded() []id.Instance {
	sessions := l.newlyEnded
	l.newlyEnded = nil
	return sessions
}

// Stop ends the own session after a planned stop has given away what it owned.
// The right ends at once; the table learns of it when it can.
func (l *Lease) Stop(now clock.Time, out *event.Outbox) {
	if l.phase == stopping || l.Stopped() {
		return
	}
	l.phase = stopping
	if l.rowVersion == 0 && l.lastRenewal == 0 {
		l.phase = ended
		return
	}
	l.nextAttempt = now
	l.Tick(now, out)
}

// Tick renews the session, looks for pauses and takes over dead sessions.
func (l *Lease) Tick(now clock.Time, out *event.Outbox) {
	l.detectPause(now)
	if !l.started {
		l.runningSince = now
	}
	l.started, l.lastTick = true, now
	l.pause.zoneMembers = l.members.InZone(l.settings.Zone)
	l.expireOperations(now)
	l.updateOwnRow(now, out)
	l.requestConfirmations(now, out)
	l.updateWatches(now, out)
}

// Next returns when Tick is wanted next. It is often: a tick that fails to
// come is how a pause shows.
func (l *Lease) Next() clock.Time {
	if l.Stopped() {
		return clock.Never
	}
	return l.lastTick.Add(l.settings.MaxTickGap / ticksPerMaxGap)
}

// tryOwnRow sends the next operation on the own row if one is due.
func (l *Lease) updateOwnRow(now clock.Time, out *event.Outbox) {
	if l.Stopped() || l.ops.anyPending(opRead, opWrite) || now.Before(l.nextAttempt) {
		return
	}
	l.nextAttempt = now.Add(l.settings.RenewInterval)
	if l.rowUnknown {
		ref := l.ops.start(op{kind: opRead, sent: now})
		out.Add(event.TableRead{Op: ref, Keys: []table.Key{sessionKey(l.settings.Instance)}})
		return
	}
	l.writeOwnRow(now, out)
}

func (l *Lease) writeOwnRow(now clock.Time, out *event.Outbox) {
	l.lastRenewal++
	l.renewalSentAt[l.lastRenewal] = now
	l.pruneRenewals()
	write := op{kind: opWrite, sent: now, renewal: l.lastRenewal, endsSession: l.phase == stopping}
	body := table.Session{
		Instance: l.settings.Instance,
		Zone:     l.settings.Zone,
		Address:  l.settings.Address,
		Fencing:  firstFencing,
		Renewal:  l.lastRenewal,
		Term:     l.settings.Term,
		State:    table.SessionLive,
	}
	if write.endsSession {
		body.State, body.EndedBy = table.SessionEnded, l.settings.Instance
	}
	out.Add(event.TableCommit{
		Op:     l.ops.start(write),
		Writes: []table.Write{{Key: sessionKey(l.settings.Instance), Expect: l.rowVersion, Body: body}},
	})
}

func (l *Lease) pruneRenewals() {
	if len(l.renewalSentAt) <= maxRenewalsKept {
		return
	}
	delete(l.renewalSentAt, slices.Min(slices.Collect(maps.Keys(l.renewalSentAt))))
}

// Table takes in the answer to one of the lease's operations. The answer to an
// operation that was given up is left out: the row is read back anyway.
func (l *Lease) HandleTableResult(now clock.Time, r event.TableResult, out *event.Outbox) {
	l.detectPause(now)
	op, ok := l.ops.finish(r.Op)
	if !ok {
		return
	}
	if r.Outcome == table.Done || r.Outcome == table.Conflict {
		l.tableReached, l.tableAnsweredAt = true, now
	}
	l.handleResult(now, op, r)
	l.updateOwnRow(now, out)
}

func (l *Lease) handleResult(now clock.Time, op op, r event.TableResult) {
	switch op.kind {
	case opWrite:
		l.handleOwnWrite(now, op, r.Outcome)
	case opRead:
		l.handleOwnRead(now, r)
	case opWatch:
		l.handleWatchedRows(now, op, r)
	case opTakeOver:
		l.handleTakeoverResult(op, r.Outcome)
	}
}

// giveUpLate takes operations without an answer for unknown.
func (l *Lease) expireOperations(now clock.Time) {
	for _, op := range l.ops.removeSentBy(now.Add(-l.settings.RenewInterval)) {
		l.handleResult(now, op, event.TableResult{Outcome: table.Unknown})
	}
}

func (l *Lease) handleOwnWrite(now clock.Time, op op, outcome table.Outcome) {
	if outcome == table.Unknown && l.hooks.assumeRenewed {
		outcome = table.Done
	}
	switch {
	case outcome == table.Done && op.endsSession:
		l.phase = ended
	case outcome == table.Done:
		l.recordRenewal(l.rowVersion+1, op.renewal)
	case outcome == table.NotDone:
		l.retrySoon(now)
	case outcome == table.Conflict:
		l.rowUnknown = true
		l.nextAttempt = now
	default:
		// The answer to a write that took effect may be lost. Taking it for
		// done lets a holder act after a takeover; taking it for failed lets
		// it renew against a wrong version for ever. The row itself tells.
		l.rowUnknown = true
		l.retrySoon(now)
	}
}

func (l *Lease) retrySoon(now clock.Time) {
	l.nextAttempt = min(l.nextAttempt, now.Add(l.settings.RenewInterval/retriesPerRenewal))
}

// ownRead learns from the own row what became of the writes before.
func (l *Lease) handleOwnRead(now clock.Time, r event.TableResult) {
	if r.Outcome != table.Done {
		l.retrySoon(now)
		return
	}
	l.rowUnknown = false
	l.nextAttempt = now
	version, row, found := findSession(r.Rows, l.settings.Instance)
	switch {
	case !found && l.rowVersion == 0:
		// The first write did not take effect, or not yet: it is tried again.
	case !found || row.State == table.SessionEnded:
		l.handleSessionEnded()
	default:
		l.recordRenewal(version, row.Renewal)
	}
}

func (l *Lease) handleSessionEnded() {
	if l.phase == stopping {
		l.phase = ended
		return
	}
	l.phase = lost
}

// renewed takes note that the row has this version by the renewal of that
// number. The right counts from before the renewal was sent: a taker that read
// the row since waits for longer than the right can last.
func (l *Lease) recordRenewal(version, renewal uint64) {
	l.rowVersion = version
	l.fencing = firstFencing
	sent, known := l.renewalSentAt[renewal]
	if !known {
		return
	}
	l.expiry = max(l.expiry, sent.Add(l.settings.Term))
	// One sent before a pause says nothing about the time since: the row may
	// have been taken over while its answer waited here.
	if (l.phase == joining || l.phase == unconfirmed) && sent.Reached(l.runningSince) {
		l.phase = held
	}
}

func sessionKey(i id.Instance) table.Key {
	return table.Key{Kind: table.KindSession, ID: string(i)}
}
