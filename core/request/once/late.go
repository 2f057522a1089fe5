package once

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// lateAttempt is an attempt that had not ended when its caller was told that the
// outcome is unknown.
type lateAttempt struct {
	account id.Account
	key     string
	row     table.Once
}

// recordLateAttempt remembers an attempt that has not ended. A process that was
// suspended after sending a call handles its expired timers before the response
// that waits in its buffers. It would store "unknown", and every retry of the call
// would get that result for good, although the response is available. The number
// of records and their lifetime are limited; the outcome of an attempt that is
// dropped stays unknown, which is correct.
func (t *Tracker) recordLateAttempt(now clock.Time, c *call) {
	if c.attempt == nil || len(t.lateAttempts) >= t.settings.MaxOpenAttempts {
		return
	}
	a := c.attempt.row.Attempt
	t.lateAttempts[a] = lateAttempt{account: c.Account, key: c.Key, row: c.attempt.row}
	t.lateTimers.Set(a, now.Add(t.settings.StoreGiveUpAfter))
}

// handleLateEnd handles the end of an attempt whose call is already decided. A
// complete response replaces "unknown" in the table; the answer to the caller is
// final.
func (t *Tracker) handleLateEnd(now clock.Time, e event.AttemptEnded, out *event.Outbox) {
	late, ok := t.lateAttempts[e.Attempt]
	if !ok {
		return
	}
	t.removeLateAttempt(e.Attempt)
	if e.Result != event.AttemptCompleted || len(e.Body) > t.settings.MaxBodySize {
		return
	}
	open := t.attempts[e.Attempt]
	if open == nil {
		open = &openAttempt{account: late.account, key: late.key, row: late.row}
		t.attempts[e.Attempt] = open
	}
	open.row.Status, open.row.ContentType, open.row.Body = e.Status, e.ContentType, e.Body
	open.row.Unconfirmed = e.Unconfirmed
	t.conclude(now, open, table.OnceDone, out)
}

func (t *Tracker) removeLateAttempt(a id.Attempt) {
	delete(t.lateAttempts, a)
	t.lateTimers.Delete(a)
}

func (t *Tracker) expireLateAttempts(now clock.Time) {
	for {
		a, ok := t.lateTimers.Pop(now)
		if !ok {
			return
		}
		delete(t.lateAttempts, a)
	}
}
