package once

import (
	"slices"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// openAttempt is an attempt that this instance holds. It is kept until its
// outcome is stored, also after its caller was answered.
type openAttempt struct {
	account     id.Account
	key         string
	row         table.Once    // content of the row, as it is or should be in the table
	version     uint64        // last known version of this attempt's row; 0 if unknown
	rowMayExist bool          // the result of an insert was lost
	since       clock.Time    // when it began, or when its outcome was decided
	concluded   bool          // row holds the outcome, which is being stored
	opPending   bool          // a table operation is in progress
	request     id.Request    // call that is answered when the outcome is stored
	requesters  []id.Instance // instances to be notified of the outcome
}

// maxRequesters limits the instances that are notified of an outcome; others
// learn it from their next query.
const maxRequesters = 64

// removeAttempt stops holding an attempt.
func (t *Tracker) removeAttempt(open *openAttempt) {
	delete(t.attempts, open.row.Attempt)
	t.attemptTimers.Delete(open.row.Attempt)
}

// conclude sets the final state of an attempt, notifies the instances that asked
// for it, and stores it.
func (t *Tracker) conclude(now clock.Time, open *openAttempt, s table.OnceState, out *event.Outbox) {
	open.row.State = s
	open.concluded = true
	open.since = now
	for _, i := range open.requesters {
		out.Send(i, open.statusMessage())
	}
	open.requesters = nil
	if !open.opPending {
		t.store(now, open, out)
	}
}

// statusMessage returns the message that tells other instances the state of the
// attempt.
func (open *openAttempt) statusMessage() message.OnceReply {
	return message.OnceReply{
		Account: open.account, Key: open.key, Attempt: open.row.Attempt, Known: true,
		Running: open.row.State == table.OnceRunning, State: open.row.State,
		Status: open.row.Status, ContentType: open.row.ContentType, Body: open.row.Body,
		Unconfirmed: open.row.Unconfirmed,
	}
}

// store writes the final state to the table. If the version of the row is not
// known, it reads the row first, because a write with a guessed version could
// overwrite the row of another attempt.
func (t *Tracker) store(now clock.Time, open *openAttempt, out *event.Outbox) {
	key := rowKey(open.account, open.key)
	open.opPending = true
	if open.version == 0 {
		t.readRow(now, op{kind: opCheck, attempt: open.row.Attempt}, key, out)
		return
	}
	t.commitRow(now, op{kind: opStore, attempt: open.row.Attempt, expectedVersion: open.version, state: open.row.State},
		table.Write{Key: key, Expect: open.version, Body: open.row}, out)
}

// handleStoreResult handles the result of a table operation of store.
func (t *Tracker) handleStoreResult(now clock.Time, open *openAttempt, p op, outcome table.Outcome, rows []table.Row, out *event.Outbox) {
	open.opPending = false
	switch {
	case p.kind == opStore && outcome == table.Done && p.state == open.row.State:
		t.finishStore(open)
	case p.kind == opStore && outcome == table.Done:
		open.version = p.expectedVersion + 1 // the state changed during the write
		t.store(now, open, out)
	case p.kind == opStore && outcome == table.Conflict:
		open.version = 0
		t.store(now, open, out)
	case p.kind == opCheck && outcome == table.Done:
		t.handleCheckResult(now, open, rows, out)
	default:
		open.version = 0
		t.attemptTimers.Set(open.row.Attempt, now.Add(t.settings.StoreRetryInterval))
	}
}

// handleCheckResult continues with the row as it was read from the table.
func (t *Tracker) handleCheckResult(now clock.Time, open *openAttempt, rows []table.Row, out *event.Outbox) {
	row, body, ok := findOnceRow(rows)
	switch {
	case !ok:
		// An insert of this attempt whose result was lost may still take
		// effect. Inserting the row with the final state makes it fail.
		open.opPending = true
		t.commitRow(now, op{kind: opStore, attempt: open.row.Attempt, state: open.row.State},
			table.Write{Key: rowKey(open.account, open.key), Body: open.row}, out)
	case body.State == table.OnceNotRun && open.row.State == table.OnceNotRun && body.Attempt != open.row.Attempt:
		// This attempt tried to take over this row; that write may still take
		// effect.
		open.version = row.Version
		t.store(now, open, out)
	case body.Attempt != open.row.Attempt:
		// Only a row with the state not-run may be taken over.
		t.check.Hold(open.row.State == table.OnceNotRun, "once-row-kept",
			"row of attempt %s (%s) was overwritten by attempt %s", open.row.Attempt, open.row.State, body.Attempt)
		t.finishStore(open)
	case body.State == open.row.State, body.State == table.OnceDone:
		t.finishStore(open)
	default:
		open.version = row.Version
		t.store(now, open, out)
	}
}

// finishStore ends an attempt whose state is stored, and answers its caller.
func (t *Tracker) finishStore(open *openAttempt) {
	t.removeAttempt(open)
	if c := t.calls[open.request]; c != nil && c.phase == storing && c.attempt == open {
		t.decideAnswer(c, open.row, false)
	}
}

// retryStore tries again to store the state, or gives up after StoreGiveUpAfter.
// Instances that read the row after that find it running while its holder does
// not know the attempt, which they treat as an unknown outcome.
func (t *Tracker) retryStore(now clock.Time, open *openAttempt, out *event.Outbox) {
	if now.Sub(open.since) > t.settings.StoreGiveUpAfter {
		t.removeAttempt(open)
		return
	}
	if !open.opPending {
		t.store(now, open, out)
	}
}

// handleQuery answers the query of another instance for an attempt.
func (t *Tracker) handleQuery(from id.Instance, m message.OnceQuery, out *event.Outbox) {
	open := t.attempts[m.Attempt]
	if open == nil {
		out.Send(from, message.OnceReply{Account: m.Account, Key: m.Key, Attempt: m.Attempt})
		return
	}
	if !open.concluded && !slices.Contains(open.requesters, from) && len(open.requesters) < maxRequesters {
		open.requesters = append(open.requesters, from)
	}
	out.Send(from, open.statusMessage())
}
