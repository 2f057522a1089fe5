package once

import (
	"slices"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// waitFor begins or goes on to wait for the holder of the row.
func (o *Calls) waitFor(now clock.Time, c *call, out *event.Outbox) {
	if c.phase != waiting && c.phase != marking {
		c.heard = now
	}
	c.phase = waiting
	c.read = now
	if c.disowned {
		// The holder runs and knows nothing of it, and the row was read after
		// it said so: the outcome is lost.
		o.mark(now, c, out)
		return
	}
	o.ask(now, c, out)
}

func (o *Calls) ask(now clock.Time, c *call, out *event.Outbox) {
	body := c.row.Body.(table.Once)
	c.asked = now
	out.Send(body.Holder, message.OnceQuery{Account: c.Account, Key: c.Key, Attempt: body.Attempt})
	o.times.Set(c.Request, min(now.Add(o.set.Repeat), c.Deadline))
}

// wait does what is due for a call that waits for another's.
func (o *Calls) wait(now clock.Time, c *call, out *event.Outbox) {
	if now.Reached(c.Deadline) {
		o.refuse(now, c, event.ReasonRunningElsewhere, event.MayHaveRun, out)
		return
	}
	if !c.busy && (o.holderGone(now, c) || now.Sub(c.read) >= o.set.Reread) {
		o.rereadRow(now, c, out)
	}
	o.ask(now, c, out)
}

// holderGone reports whether the holder is neither live nor answers. Either
// alone is not enough: the instance list lags, and messages get lost.
func (o *Calls) holderGone(now clock.Time, c *call) bool {
	body := c.row.Body.(table.Once)
	return now.Sub(c.heard) >= o.set.HolderSilent && !slices.Contains(o.members.Live(), body.Holder)
}

func (o *Calls) rereadRow(now clock.Time, c *call, out *event.Outbox) {
	c.busy = true
	o.read(now, op{kind: opReread, request: c.Request, attempt: c.Attempt}, c.key(), out)
}

func (o *Calls) reread(now clock.Time, c *call, outcome table.Outcome, rows []table.Row, out *event.Outbox) {
	c.busy = false
	if c.phase != waiting || outcome != table.Done {
		return
	}
	row, body, ok := onceRow(rows)
	if !ok {
		return // rows of calls are not removed; read again later
	}
	c.read = now
	if row.Version == c.row.Version && body.State == table.OnceRunning {
		if c.disowned || o.holderGone(now, c) {
			o.mark(now, c, out)
		}
		return
	}
	c.phase = reading
	o.evaluate(now, c, row, body, out)
}

// mark writes down that nobody knows the outcome, on the condition that the
// row is still as it was read. The holder, should it live after all, may put
// the true outcome in its place.
func (o *Calls) mark(now clock.Time, c *call, out *event.Outbox) {
	if o.hooks.sendUnknown {
		o.takeOver(now, c, out)
		return
	}
	c.phase = marking
	c.busy = true
	body := c.row.Body.(table.Once)
	body.State = table.OnceUnknown
	o.commit(now, op{kind: opMark, request: c.Request, attempt: c.Attempt, expect: c.row.Version},
		table.Write{Key: c.key(), Expect: c.row.Version, Body: body}, out)
}

func (o *Calls) marked(now clock.Time, c *call, outcome table.Outcome, out *event.Outbox) {
	c.busy = false
	if c.phase != marking {
		return
	}
	switch outcome {
	case table.Conflict:
		// The outcome came in, or another instance marked it: read it.
		c.phase = waiting
		c.disowned = false
		o.rereadRow(now, c, out)
	case table.Done:
		c.row.Version++
		o.foundUnknown(now, c, out)
	default:
		o.foundUnknown(now, c, out)
	}
}

// foundUnknown is for a call that was sent and whose outcome nobody knows.
func (o *Calls) foundUnknown(now clock.Time, c *call, out *event.Outbox) {
	if c.StatusCall {
		o.askStatus(now, c)
		return
	}
	o.refuse(now, c, event.ReasonOutcomeUnknown, event.MayHaveRun, out)
}

// Peer takes OnceAsk and OnceTold. Lost ones are asked again; doubled and late
// ones change nothing, as they name the attempt that they speak of.
func (o *Calls) Peer(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	switch m := m.(type) {
	case message.OnceQuery:
		o.told(from, m, out)
	case message.OnceReply:
		o.onTold(now, from, m, out)
	}
}

// onTold hands a holder's word to all callers that wait for its attempt.
func (o *Calls) onTold(now clock.Time, from id.Instance, m message.OnceReply, out *event.Outbox) {
	var waiters []id.Request
	for r, c := range o.calls {
		if c.phase == waiting && c.Account == m.Account && c.Key == m.Key {
			waiters = append(waiters, r)
		}
	}
	slices.Sort(waiters)
	for _, r := range waiters {
		o.hear(now, o.calls[r], from, m, out)
	}
}

func (o *Calls) hear(now clock.Time, c *call, from id.Instance, m message.OnceReply, out *event.Outbox) {
	body := c.row.Body.(table.Once)
	if from != body.Holder || m.Attempt != body.Attempt {
		return
	}
	c.heard = now
	switch {
	case !m.Known:
		// Its end may have been stored and forgotten since the row was read.
		c.disowned = true
		if !c.busy {
			o.rereadRow(now, c, out)
		}
	case m.State == table.OnceDone:
		body.State, body.Status, body.ContentType, body.Body = m.State, m.Status, m.ContentType, m.Body
		o.answer(c, body, true)
	case m.State == table.OnceUnknown:
		o.foundUnknown(now, c, out)
	case m.State == table.OnceNotRun:
		o.takeOver(now, c, out)
	}
}
