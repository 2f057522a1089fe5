package once

import (
	"slices"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// waitForHolder starts or continues to wait for the instance that holds the
// attempt in the row.
func (t *Tracker) waitForHolder(now clock.Time, c *call, out *event.Outbox) {
	if c.phase != waitingForHolder && c.phase != markingUnknown {
		c.holderHeard = now
	}
	c.phase = waitingForHolder
	c.rowRead = now
	if c.unknownToHolder {
		// The holder is running but does not know the attempt, and the row was
		// read after it said so: the outcome is lost.
		t.markUnknown(now, c, out)
		return
	}
	t.queryHolder(now, c, out)
}

func (t *Tracker) queryHolder(now clock.Time, c *call, out *event.Outbox) {
	body := c.row.Body.(table.Once)
	c.holderQueried = now
	out.Send(body.Holder, message.OnceQuery{Account: c.Account, Key: c.Key, Attempt: body.Attempt})
	t.callTimers.Set(c.Request, min(now.Add(t.settings.HolderQueryInterval), c.Deadline))
}

// checkHolder handles the timer of a call that waits for the holder of another
// attempt: it refuses the call at its deadline, reads the row again if that is
// due, and queries the holder.
func (t *Tracker) checkHolder(now clock.Time, c *call, out *event.Outbox) {
	if now.Reached(c.Deadline) {
		t.decideRefusal(now, c, event.ReasonRunningElsewhere, event.MayHaveRun, out)
		return
	}
	if !c.opPending && (t.holderGone(now, c) || now.Sub(c.rowRead) >= t.settings.RowReadInterval) {
		t.rereadRow(now, c, out)
	}
	t.queryHolder(now, c, out)
}

// holderGone reports whether the holder neither answers nor is in the list of live
// instances. One of these alone is not enough: the list lags behind, and messages
// can be lost.
func (t *Tracker) holderGone(now clock.Time, c *call) bool {
	body := c.row.Body.(table.Once)
	return now.Sub(c.holderHeard) >= t.settings.HolderTimeout && !slices.Contains(t.members.Live(), body.Holder)
}

func (t *Tracker) rereadRow(now clock.Time, c *call, out *event.Outbox) {
	c.opPending = true
	t.readRow(now, op{kind: opReread, request: c.Request, attempt: c.Attempt}, c.key(), out)
}

func (t *Tracker) handleRereadResult(now clock.Time, c *call, outcome table.Outcome, rows []table.Row, out *event.Outbox) {
	c.opPending = false
	if c.phase != waitingForHolder || outcome != table.Done {
		return
	}
	row, body, ok := findOnceRow(rows)
	if !ok {
		return // rows of calls are never removed; read again later
	}
	c.rowRead = now
	if row.Version == c.row.Version && body.State == table.OnceRunning {
		if c.unknownToHolder || t.holderGone(now, c) {
			t.markUnknown(now, c, out)
		}
		return
	}
	c.phase = readingBack
	t.evaluateRow(now, c, row, body, out)
}

// markUnknown marks the outcome in the row as unknown, provided that the row has
// not changed since it was read. If the holder is alive after all, it may replace
// the mark with the actual outcome.
func (t *Tracker) markUnknown(now clock.Time, c *call, out *event.Outbox) {
	if t.hooks.resendUnknown {
		t.takeOverRow(now, c, out)
		return
	}
	c.phase = markingUnknown
	c.opPending = true
	body := c.row.Body.(table.Once)
	body.State = table.OnceUnknown
	t.commitRow(now, op{kind: opMarkUnknown, request: c.Request, attempt: c.Attempt, expectedVersion: c.row.Version},
		table.Write{Key: c.key(), Expect: c.row.Version, Body: body}, out)
}

func (t *Tracker) handleMarkResult(now clock.Time, c *call, outcome table.Outcome, out *event.Outbox) {
	c.opPending = false
	if c.phase != markingUnknown {
		return
	}
	switch outcome {
	case table.Conflict:
		// The outcome was stored, or another instance marked the row: read it.
		c.phase = waitingForHolder
		c.unknownToHolder = false
		t.rereadRow(now, c, out)
	case table.Done:
		c.row.Version++
		t.handleUnknownRow(now, c, out)
	default:
		t.handleUnknownRow(now, c, out)
	}
}

// handleUnknownRow handles a call whose row says that an earlier attempt was sent
// and its outcome is unknown.
func (t *Tracker) handleUnknownRow(now clock.Time, c *call, out *event.Outbox) {
	if c.CanQueryStatus {
		t.queryStatus(now, c)
		return
	}
	t.decideRefusal(now, c, event.ReasonOutcomeUnknown, event.MayHaveRun, out)
}

// HandleMessage handles the queries of other instances and their answers. Lost
// messages are replaced by the next query. Duplicates and late messages have no
// effect, because each names the attempt that it refers to.
func (t *Tracker) HandleMessage(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	switch m := m.(type) {
	case message.OnceQuery:
		t.handleQuery(from, m, out)
	case message.OnceReply:
		t.handleHolderStatus(now, from, m, out)
	}
}

// handleHolderStatus passes the status of an attempt to all calls that wait for
// it.
func (t *Tracker) handleHolderStatus(now clock.Time, from id.Instance, m message.OnceReply, out *event.Outbox) {
	var waiting []id.Request
	for r, c := range t.calls {
		if c.phase == waitingForHolder && c.Account == m.Account && c.Key == m.Key {
			waiting = append(waiting, r)
		}
	}
	slices.Sort(waiting)
	for _, r := range waiting {
		t.applyHolderStatus(now, t.calls[r], from, m, out)
	}
}

func (t *Tracker) applyHolderStatus(now clock.Time, c *call, from id.Instance, m message.OnceReply, out *event.Outbox) {
	body := c.row.Body.(table.Once)
	if from != body.Holder || m.Attempt != body.Attempt {
		return
	}
	c.holderHeard = now
	switch {
	case !m.Known:
		// The holder may have stored the outcome and removed the attempt
		// since the row was read.
		c.unknownToHolder = true
		if !c.opPending {
			t.rereadRow(now, c, out)
		}
	case m.State == table.OnceDone:
		body.State, body.Status, body.ContentType, body.Body = m.State, m.Status, m.ContentType, m.Body
		body.Unconfirmed = m.Unconfirmed
		t.decideAnswer(c, body, true)
	case m.State == table.OnceUnknown:
		t.handleUnknownRow(now, c, out)
	case m.State == table.OnceNotRun:
		t.takeOverRow(now, c, out)
	}
}
