package once

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// Ended takes the end of the attempt. A whole answer is stored before the
// caller gets it, or for at most StoreWait if the table can't be reached; then
// the caller gets the true outcome, and storing goes on.
func (o *Calls) Ended(now clock.Time, e event.AttemptEnded, out *event.Outbox) {
	c := o.calls[e.Request]
	answers := e.Result == event.AttemptCompleted && c != nil && c.held != nil && c.held.row.Attempt == e.Attempt
	if answers && c.phase == asking {
		// The service is being asked for what has just come by itself.
		o.dropLate(e.Attempt)
		o.outcome(now, c, Status{Known: true, Status: e.Status, Type: e.ContentType, Body: e.Body}, out)
		return
	}
	if c == nil || c.phase != running {
		o.endedLate(now, e, out)
		return
	}
	switch e.Result {
	case event.AttemptCompleted:
		o.outcome(now, c, Status{Known: true, Status: e.Status, Type: e.ContentType, Body: e.Body}, out)
	case event.AttemptNotSent, event.AttemptRefused:
		c.decided = false
		o.conclude(now, c.held, table.OnceNotRun, out)
		o.refuse(now, c, event.ReasonNoBackend, event.NotRun, out)
	default:
		o.outcomeUnknown(now, c, out)
	}
}

// Abandon forgets a call that surely was not sent: its caller has gone, or no
// turn was granted. No decision follows.
func (o *Calls) Abandon(now clock.Time, r id.Request, out *event.Outbox) {
	c := o.calls[r]
	if c == nil || c.phase == storing || c.phase == asking {
		return
	}
	o.forget(c)
	if c.held != nil {
		o.conclude(now, c.held, table.OnceNotRun, out)
	}
}

// outcome records a known outcome and answers with it once it is stored.
func (o *Calls) outcome(now clock.Time, c *call, s Status, out *event.Outbox) {
	h := c.held
	h.caller = c.Request
	whole := h.row
	whole.State, whole.Status, whole.ContentType, whole.Body = table.OnceDone, s.Status, s.Type, s.Body
	h.row = whole
	if len(s.Body) > o.set.MaxBody {
		// The caller still gets the whole answer; only repeats don't.
		h.row.ContentType, h.row.Body = TypeTooLong, nil
		o.conclude(now, h, table.OnceDone, out)
		o.answer(c, whole, false)
		return
	}
	c.phase = storing
	o.times.Set(c.Request, min(now.Add(o.set.StoreWait), o.latest(c)))
	o.conclude(now, h, table.OnceDone, out)
}

// outcomeUnknown is for an attempt that was sent and broke. It is never sent
// again: the service may have carried it out.
func (o *Calls) outcomeUnknown(now clock.Time, c *call, out *event.Outbox) {
	if c.StatusCall {
		o.askStatus(now, c)
		return
	}
	o.conclude(now, c.held, table.OnceUnknown, out)
	ran := event.MayHaveRun
	if o.hooks.forgetSent {
		ran = event.NotRun
	}
	o.refuse(now, c, event.ReasonOutcomeUnknown, ran, out)
}

// Status is a service's word on a call.
type Status struct {
	// Known says that the service has the outcome. That it has never heard of
	// the call does not count: the call may still be on its way to it.
	Known  bool
	Status int
	Type   string
	Body   []byte
}

func (o *Calls) askStatus(now clock.Time, c *call) {
	c.phase = asking
	o.times.Set(c.Request, min(now.Add(o.set.StatusWait), o.latest(c)))
	d := Decision{Request: c.Request, Kind: AskStatus}
	if c.held != nil {
		d.Row = c.held.row
	} else {
		_, d.Row, _ = onceRow([]table.Row{c.row})
	}
	o.decide(d)
}

// StatusTold hands in the answer to AskStatus.
func (o *Calls) StatusTold(now clock.Time, r id.Request, s Status, out *event.Outbox) {
	c := o.calls[r]
	if c == nil || c.phase != asking {
		return
	}
	if !s.Known {
		o.statusUnknown(now, c, out)
		return
	}
	if c.held == nil {
		o.adopt(now, c)
	}
	o.outcome(now, c, s, out)
}

// adopt makes this instance store the outcome of another's call.
func (o *Calls) adopt(now clock.Time, c *call) {
	_, body, _ := onceRow([]table.Row{c.row})
	h := o.held[body.Attempt]
	if h == nil {
		h = &held{account: c.Account, key: c.Key, row: body, version: c.row.Version, began: now}
		o.held[body.Attempt] = h
	}
	c.held = h
}

func (o *Calls) statusUnknown(now clock.Time, c *call, out *event.Outbox) {
	if c.held != nil {
		o.conclude(now, c.held, table.OnceUnknown, out)
	}
	o.refuse(now, c, event.ReasonOutcomeUnknown, event.MayHaveRun, out)
}
