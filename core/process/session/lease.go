// Package session implements the session lease of an instance, which is a row
// in the table service. Everything else that the instance owns in the table
// refers to the session. One renewal thus covers all of it, and one takeover
// frees all of it.
//
// The holder counts the lease on its own clock, from before it sent a
// renewal. The lease survives an outage of the table: a holder whose ticks
// show no pause keeps it past expiry while it goes on trying to renew.
// Another instance may only take a session over if it is in the same zone,
// has seen the row unchanged for Term plus DriftMargin, and has not heard
// from the holder for Term. A holder that detects a pause in its ticks stops
// using the lease at once. It resumes when a renewal sent after the pause has
// taken effect, or when all instances of its zone confirm that none of them
// has reached the table since (see confirm.go).
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

// neverReached is the table age of an instance that has not reached the
// table.
const neverReached = time.Duration(math.MaxInt64)

// phase is the state of the own session.
type phase int

const (
	joining phase = iota // the row is not written yet
	held
	unconfirmed // a pause was detected and the lease is not used until it is confirmed
	stopping    // Stop was called and the row does not show it yet
	ended       // ended by this instance
	lost        // ended by another instance, or the row was removed
)

// Lease implements process.LeaseStatus and process.Machine.
type Lease struct {
	settings Settings
	members  Members
	check    *invariant.Checker
	hooks    testHooks

	phase         phase
	fencing       id.Fencing
	rowVersion    uint64                // version of the own row, 0 if there is none
	lastRenewal   uint64                // number of the last renewal
	renewalSentAt map[uint64]clock.Time // by number of the renewal
	expiry        clock.Time            // of the last renewal that took effect
	nextAttempt   clock.Time
	rowUnknown    bool // the own row must be read before the next write
	ops           ops
	started       bool
	lastTick      clock.Time // time of the last Tick
	runningSince  clock.Time // when this instance started or detected its last pause

	tableReached      bool
	tableAnsweredAt   clock.Time // when the table last answered
	zoneTableContacts map[id.Instance]tableContact

	pause      pause
	watch      watchList
	newlyEnded []id.Instance
}

// testHooks disables safeguards in tests that show that they are needed.
type testHooks struct {
	ignorePauses     bool // goes on after a pause
	assumeRenewed    bool // takes an unknown result of a write for a success
	skipSilenceCheck bool // takes over without waiting for the holder's silence
	acceptAnyConfirm bool // accepts a Confirm whatever its table age
}

// New returns the lease of a new session. The lease is not valid before its
// row is written.
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

// Valid reports whether the lease is valid at now.
func (l *Lease) Valid(now clock.Time) bool {
	if l.phase != held || l.pausedAt(now) {
		return false
	}
	return now.Before(l.expiry) || l.renewalOnTime(now)
}

// renewalOnTime reports whether the next renewal is at most MaxTickGap late.
func (l *Lease) renewalOnTime(now clock.Time) bool {
	return now.Sub(l.nextAttempt) <= l.settings.MaxTickGap
}

// pausedAt reports whether this instance was paused since its last tick.
// Every use of the lease checks this, because a resumed process may handle a
// request before its tick.
func (l *Lease) pausedAt(now clock.Time) bool {
	return l.started && now.Sub(l.lastTick) > l.settings.MaxTickGap && !l.hooks.ignorePauses
}

// NotAfter returns the latest time at which an action decided now may be
// taken without calling Valid again. It is before now if the lease is not
// valid.
func (l *Lease) NotAfter(now clock.Time) clock.Time {
	if !l.Valid(now) {
		return now.Add(-1)
	}
	return l.lastTick.Add(l.settings.MaxTickGap)
}

// Fencing returns the fencing number of the session.
func (l *Lease) Fencing() id.Fencing { return l.fencing }

// Lost reports whether another instance ended this session. The lease never
// becomes valid again; the process must restart under a new name.
func (l *Lease) Lost() bool { return l.phase == lost }

// Stopped reports whether the table records the end of this session.
func (l *Lease) Stopped() bool { return l.phase == ended || l.phase == lost }

// TableAge returns the time since the table last answered, or the largest
// Duration if it never did.
func (l *Lease) TableAge(now clock.Time) time.Duration {
	if !l.tableReached {
		return neverReached
	}
	return now.Sub(l.tableAnsweredAt)
}

// NewlyEnded returns the sessions that were seen to have ended since the last
// call.
func (l *Lease) NewlyEnded() []id.Instance {
	sessions := l.newlyEnded
	l.newlyEnded = nil
	return sessions
}

// Stop ends the own session, after a planned stop has handed over what it
// owned. The lease becomes invalid at once, and the row is updated as soon as
// the table can be reached.
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

// Tick renews the session, detects pauses and takes over sessions of dead
// instances.
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

// Next returns when Tick should be called next. The interval is short because
// missing ticks reveal a pause.
func (l *Lease) Next() clock.Time {
	if l.Stopped() {
		return clock.Never
	}
	return l.lastTick.Add(l.settings.MaxTickGap / ticksPerMaxGap)
}

// updateOwnRow starts the next operation on the own row if one is due.
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

// writeOwnRow renews the session, or ends it while stopping.
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

// pruneRenewals bounds the number of renewals whose sending time is kept.
func (l *Lease) pruneRenewals() {
	if len(l.renewalSentAt) <= maxRenewalsKept {
		return
	}
	delete(l.renewalSentAt, slices.Min(slices.Collect(maps.Keys(l.renewalSentAt))))
}

// HandleTableResult handles the result of one of the lease's operations. The
// result of an expired operation is ignored, because the row is read in any
// case.
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

// handleResult passes a result to the handler of its kind of operation.
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

// expireOperations treats operations that were not answered in time as
// unknown.
func (l *Lease) expireOperations(now clock.Time) {
	for _, op := range l.ops.removeSentBy(now.Add(-l.settings.RenewInterval)) {
		l.handleResult(now, op, event.TableResult{Outcome: table.Unknown})
	}
}

// handleOwnWrite handles the result of a write of the own row.
func (l *Lease) handleOwnWrite(now clock.Time, op op, outcome table.Outcome) {
	if outcome == table.Unknown && l.hooks.assumeRenewed {
		outcome = table.Done
	}
	switch {
	case outcome == table.Done && op.endsSession:
		l.phase = ended
	case outcome == table.Done:
		l.recordRenewal(l.rowVersion+1, op.renewal)
	case outcome == table.NotExecuted:
		l.retrySoon(now)
	case outcome == table.Conflict:
		l.rowUnknown = true
		l.nextAttempt = now
	default:
		// The write may have taken effect although its result is lost. If it
		// were taken for a success, the holder could act after a takeover; if
		// it were taken for a failure, the holder would renew against a wrong
		// version forever. Only the row itself shows what happened.
		l.rowUnknown = true
		l.retrySoon(now)
	}
}

func (l *Lease) retrySoon(now clock.Time) {
	l.nextAttempt = min(l.nextAttempt, now.Add(l.settings.RenewInterval/retriesPerRenewal))
}

// handleOwnRead learns from the own row which of the earlier writes took
// effect.
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
		// The first write has not taken effect so far. It is retried.
	case !found || row.State == table.SessionEnded:
		l.handleSessionEnded()
	default:
		l.recordRenewal(version, row.Renewal)
	}
}

// handleSessionEnded handles an own row that shows the end of the session or
// is missing.
func (l *Lease) handleSessionEnded() {
	if l.phase == stopping {
		l.phase = ended
		return
	}
	l.phase = lost
}

// recordRenewal records that the row has the given version, written by the
// renewal of the given number. The lease counts from before the renewal was
// sent: an instance that read the row since waits for longer than the lease
// can last.
func (l *Lease) recordRenewal(version, renewal uint64) {
	l.rowVersion = version
	l.fencing = firstFencing
	sent, known := l.renewalSentAt[renewal]
	if !known {
		return
	}
	l.expiry = max(l.expiry, sent.Add(l.settings.Term))
	// A renewal sent before a pause proves nothing about the time since. The
	// session may have been taken over before this instance handled the
	// result.
	if (l.phase == joining || l.phase == unconfirmed) && sent.Reached(l.runningSince) {
		l.phase = held
	}
}

func sessionKey(i id.Instance) table.Key {
	return table.Key{Kind: table.KindSession, ID: string(i)}
}
