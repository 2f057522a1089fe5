package once

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// HandleAttemptEnded handles the end of an attempt. A complete response is stored
// before the caller gets it. If the table can't be reached, the caller gets it
// after MaxStoreDelay, and storing continues.
func (t *Tracker) HandleAttemptEnded(now clock.Time, e event.AttemptEnded, out *event.Outbox) {
	c := t.calls[e.Request]
	completesCall := e.Result == event.AttemptCompleted && c != nil && c.attempt != nil && c.attempt.row.Attempt == e.Attempt
	if completesCall && c.phase == queryingStatus {
		// The response arrived while the service was being asked for it.
		t.removeLateAttempt(e.Attempt)
		t.recordOutcome(now, c, StatusResult{Known: true, Status: e.Status, Type: e.ContentType, Unconfirmed: e.Unconfirmed, Body: e.Body}, out)
		return
	}
	if c == nil || c.phase != running {
		t.handleLateEnd(now, e, out)
		return
	}
	switch e.Result {
	case event.AttemptCompleted:
		t.recordOutcome(now, c, StatusResult{Known: true, Status: e.Status, Type: e.ContentType, Unconfirmed: e.Unconfirmed, Body: e.Body}, out)
	case event.AttemptNotSent, event.AttemptRefused:
		c.sendDecided = false
		t.conclude(now, c.attempt, table.OnceNotRun, out)
		t.decideRefusal(now, c, event.ReasonNoBackend, event.NotRun, out)
	default:
		t.handleLostOutcome(now, c, out)
	}
}

// Cancel stops tracking a call that was certainly not sent, because its caller is
// gone or no turn was granted. No decision follows.
func (t *Tracker) Cancel(now clock.Time, r id.Request, out *event.Outbox) {
	c := t.calls[r]
	if c == nil || c.phase == storing || c.phase == queryingStatus {
		return
	}
	t.removeCall(c)
	if c.attempt != nil {
		t.conclude(now, c.attempt, table.OnceNotRun, out)
	}
}

// recordOutcome stores a known outcome; the caller is answered once it is stored.
func (t *Tracker) recordOutcome(now clock.Time, c *call, s StatusResult, out *event.Outbox) {
	open := c.attempt
	open.request = c.Request
	fullRow := open.row
	fullRow.State, fullRow.Status, fullRow.ContentType, fullRow.Body = table.OnceDone, s.Status, s.Type, s.Body
	fullRow.Unconfirmed = s.Unconfirmed
	open.row = fullRow
	if len(s.Body) > t.settings.MaxBodySize {
		// The caller still gets the whole response; only retries of the call don't.
		open.row.ContentType, open.row.Body = ContentTypeTooLong, nil
		t.conclude(now, open, table.OnceDone, out)
		t.decideAnswer(c, fullRow, false)
		return
	}
	c.phase = storing
	t.callTimers.Set(c.Request, min(now.Add(t.settings.MaxStoreDelay), t.decisionDeadline(c)))
	t.conclude(now, open, table.OnceDone, out)
}

// handleLostOutcome handles an attempt that was sent and failed. The call is
// never sent again, because the service may have executed it.
func (t *Tracker) handleLostOutcome(now clock.Time, c *call, out *event.Outbox) {
	if c.CanQueryStatus {
		t.queryStatus(now, c)
		return
	}
	t.conclude(now, c.attempt, table.OnceUnknown, out)
	ran := event.MayHaveRun
	if t.hooks.reportSentAsNotRun {
		ran = event.NotRun
	}
	t.decideRefusal(now, c, event.ReasonOutcomeUnknown, ran, out)
}

// StatusResult is the answer of a service to a status query.
type StatusResult struct {
	// Known is set if the service returned the outcome. It is not set if the
	// service doesn't know the call, which may still be on its way there.
	Known  bool
	Status int
	Type   string
	Body   []byte
	// Unconfirmed is set if nothing but the end of the connection ended the body.
	Unconfirmed bool
}

// queryStatus decides that the service is asked for the outcome.
func (t *Tracker) queryStatus(now clock.Time, c *call) {
	c.phase = queryingStatus
	t.callTimers.Set(c.Request, min(now.Add(t.settings.StatusTimeout), t.decisionDeadline(c)))
	d := Decision{Request: c.Request, Action: QueryStatus}
	if c.attempt != nil {
		d.Row = c.attempt.row
	} else {
		_, d.Row, _ = findOnceRow([]table.Row{c.row})
	}
	t.addDecision(d)
}

// HandleStatus handles the answer to a status query.
func (t *Tracker) HandleStatus(now clock.Time, r id.Request, s StatusResult, out *event.Outbox) {
	c := t.calls[r]
	if c == nil || c.phase != queryingStatus {
		return
	}
	if !s.Known {
		t.concludeUnknown(now, c, out)
		return
	}
	if c.attempt == nil {
		t.adoptAttempt(now, c)
	}
	t.recordOutcome(now, c, s, out)
}

// adoptAttempt makes this instance responsible for storing the outcome of another
// instance's attempt.
func (t *Tracker) adoptAttempt(now clock.Time, c *call) {
	_, body, _ := findOnceRow([]table.Row{c.row})
	open := t.attempts[body.Attempt]
	if open == nil {
		open = &openAttempt{account: c.Account, key: c.Key, row: body, version: c.row.Version, since: now}
		t.attempts[body.Attempt] = open
	}
	c.attempt = open
}

// concludeUnknown refuses a call whose outcome the service did not return, and
// stores the outcome as unknown if this instance holds the attempt.
func (t *Tracker) concludeUnknown(now clock.Time, c *call, out *event.Outbox) {
	if c.attempt != nil {
		t.conclude(now, c.attempt, table.OnceUnknown, out)
	}
	t.decideRefusal(now, c, event.ReasonOutcomeUnknown, event.MayHaveRun, out)
}
