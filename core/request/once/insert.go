package once

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/table"
)

// insertRow writes the row of this attempt in place of the row with version
// expectedVersion; 0 means that there must be no row.
func (t *Tracker) insertRow(now clock.Time, c *call, expectedVersion uint64, out *event.Outbox) {
	if c.attempt == nil {
		c.attempt = &openAttempt{
			account: c.Account, key: c.Key, since: now,
			row: table.Once{
				Account: c.Account, Key: c.Key, Digest: c.Digest,
				Holder: t.members.Self(), Attempt: c.Attempt, State: table.OnceRunning,
			},
		}
		t.attempts[c.Attempt] = c.attempt
	}
	c.phase = inserting
	c.insertTries++
	t.callTimers.Set(c.Request, c.Deadline)
	t.commitRow(now, op{kind: opInsert, request: c.Request, attempt: c.Attempt, expectedVersion: expectedVersion},
		table.Write{Key: c.key(), Expect: expectedVersion, Body: c.attempt.row}, out)
}

func (t *Tracker) handleInsertResult(now clock.Time, c *call, p op, outcome table.Outcome, out *event.Outbox) {
	if c.phase != inserting {
		return
	}
	switch outcome {
	case table.Done:
		c.attempt.version = p.expectedVersion + 1
		t.decideSend(now, c, out)
	case table.NotExecuted:
		if c.attempt.rowMayExist {
			t.refuseUnsent(now, c, event.ReasonTableUnavailable, out)
			return
		}
		t.removeAttempt(c.attempt)
		t.decideRefusal(now, c, event.ReasonTableUnavailable, event.NotRun, out)
	case table.Conflict:
		c.rowFound = true
		t.readRowBack(now, c, out)
	case table.Unknown:
		// The row may exist. If it were assumed absent and the call refused or
		// tried elsewhere, a retry would find the row and conclude that the
		// call ran.
		c.attempt.rowMayExist = true
		if t.hooks.sendAfterLostInsert {
			t.decideSend(now, c, out)
			return
		}
		t.readRowBack(now, c, out)
	}
}

func (t *Tracker) readRowBack(now clock.Time, c *call, out *event.Outbox) {
	c.phase = readingBack
	t.readRow(now, op{kind: opReadBack, request: c.Request, attempt: c.Attempt}, c.key(), out)
}

// handleReadBackResult decides by the row that was read back after an insert.
func (t *Tracker) handleReadBackResult(now clock.Time, c *call, outcome table.Outcome, rows []table.Row, out *event.Outbox) {
	if c.phase != readingBack {
		return
	}
	if outcome != table.Done {
		if c.insertTries++; c.insertTries <= maxInsertTries {
			t.readRowBack(now, c, out)
			return
		}
		t.refuseUnsent(now, c, event.ReasonTableUnavailable, out)
		return
	}
	row, body, ok := findOnceRow(rows)
	switch {
	case !ok && c.insertTries < maxInsertTries:
		// The lost insert may still take effect. A second insert with the same
		// condition then fails, and reading back finds the row of this attempt.
		t.insertRow(now, c, 0, out)
	case !ok:
		t.refuseUnsent(now, c, event.ReasonTableUnavailable, out)
	case body.Attempt == c.Attempt && body.State == table.OnceRunning:
		c.attempt.version = row.Version
		t.decideSend(now, c, out)
	default:
		t.removeAttempt(c.attempt)
		c.attempt = nil
		t.evaluateRow(now, c, row, body, out)
	}
}

// refuseUnsent refuses a call that was not sent. Its row may exist, or may still
// be created by a lost insert, so it is marked as not-run in the background;
// until that is done, queries of other instances are answered with not-run.
func (t *Tracker) refuseUnsent(now clock.Time, c *call, r event.Reason, out *event.Outbox) {
	if c.attempt != nil {
		t.conclude(now, c.attempt, table.OnceNotRun, out)
	}
	if now.Reached(c.Deadline) {
		r = event.ReasonDeadline
	}
	ran := event.NotRun
	if c.rowFound {
		ran = event.MayHaveRun
	}
	t.decideRefusal(now, c, r, ran, out)
}

// findOnceRow returns the first row with a body of type table.Once.
func findOnceRow(rows []table.Row) (table.Row, table.Once, bool) {
	for _, r := range rows {
		if b, ok := r.Body.(table.Once); ok {
			return r, b, true
		}
	}
	return table.Row{}, table.Once{}, false
}

// evaluateRow decides by the row of another attempt.
func (t *Tracker) evaluateRow(now clock.Time, c *call, row table.Row, body table.Once, out *event.Outbox) {
	c.rowFound = true
	if c.row.Version != row.Version {
		c.unknownToHolder = false
	}
	c.row = row
	switch {
	case body.State == table.OnceNotRun:
		t.takeOverRow(now, c, out)
	case body.Account != c.Account, body.Key != c.Key, body.Digest != c.Digest:
		t.decideRefusal(now, c, event.ReasonKeyReuse, event.NotRun, out)
	case body.State == table.OnceDone:
		t.decideAnswer(c, body, true)
	case body.State == table.OnceUnknown:
		t.handleUnknownRow(now, c, out)
	default:
		t.waitForHolder(now, c, out)
	}
}

// takeOverRow replaces the row of an attempt whose holder guaranteed that it will
// never be sent. If several attempts try, the condition on the row's version lets
// only one succeed.
func (t *Tracker) takeOverRow(now clock.Time, c *call, out *event.Outbox) {
	c.attempt, c.rowFound = nil, false
	t.insertRow(now, c, c.row.Version, out)
}
