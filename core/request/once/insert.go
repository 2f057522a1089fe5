package once

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/table"
)

// insert writes the row of our attempt over version expect; 0: there is none.
func (o *Calls) insert(now clock.Time, c *call, expect uint64, out *event.Outbox) {
	if c.held == nil {
		c.held = &held{
			account: c.Account, key: c.Key, began: now,
			row: table.Once{
				Account: c.Account, Key: c.Key, Digest: c.Digest,
				Holder: o.members.Self(), Attempt: c.Attempt, State: table.OnceRunning,
			},
		}
		o.held[c.Attempt] = c.held
	}
	c.phase = inserting
	c.tries++
	o.times.Set(c.Request, c.Deadline)
	o.commit(now, op{kind: opInsert, request: c.Request, attempt: c.Attempt, expect: expect},
		table.Write{Key: c.key(), Expect: expect, Body: c.held.row}, out)
}

func (o *Calls) inserted(now clock.Time, c *call, p op, outcome table.Outcome, out *event.Outbox) {
	if c.phase != inserting {
		return
	}
	switch outcome {
	case table.Done:
		c.held.version = p.expect + 1
		o.send(now, c, out)
	case table.NotExecuted:
		if c.held.mayExist {
			o.giveUpInsert(now, c, event.ReasonTableUnavailable, out)
			return
		}
		o.drop(c.held)
		o.refuse(now, c, event.ReasonTableUnavailable, event.NotRun, out)
	case table.Conflict:
		c.seen = true
		o.readBack(now, c, out)
	case table.Unknown:
		// The row may stand. If it was taken as absent and the call refused or
		// tried elsewhere, a repeat would find it and believe that it ran.
		c.held.mayExist = true
		if o.hooks.sendUnread {
			o.send(now, c, out)
			return
		}
		o.readBack(now, c, out)
	}
}

func (o *Calls) readBack(now clock.Time, c *call, out *event.Outbox) {
	c.phase = reading
	o.read(now, op{kind: opReadBack, request: c.Request, attempt: c.Attempt}, c.key(), out)
}

// wasRead decides by the row as it was read back after an insert.
func (o *Calls) wasRead(now clock.Time, c *call, outcome table.Outcome, rows []table.Row, out *event.Outbox) {
	if c.phase != reading {
		return
	}
	if outcome != table.Done {
		if c.tries++; c.tries <= maxTries {
			o.readBack(now, c, out)
			return
		}
		o.giveUpInsert(now, c, event.ReasonTableUnavailable, out)
		return
	}
	row, body, ok := onceRow(rows)
	switch {
	case !ok && c.tries < maxTries:
		// The lost insert may still take effect; a second one with the same
		// condition then fails, and is read back as ours.
		o.insert(now, c, 0, out)
	case !ok:
		o.giveUpInsert(now, c, event.ReasonTableUnavailable, out)
	case body.Attempt == c.Attempt && body.State == table.OnceRunning:
		c.held.version = row.Version
		o.send(now, c, out)
	default:
		o.drop(c.held)
		c.held = nil
		o.evaluate(now, c, row, body, out)
	}
}

// giveUpInsert refuses a call that was not sent. Its row may stand, or come to
// stand: it is marked as not-run in the background, and until then we tell
// whoever asks for it.
func (o *Calls) giveUpInsert(now clock.Time, c *call, r event.Reason, out *event.Outbox) {
	if c.held != nil {
		o.conclude(now, c.held, table.OnceNotRun, out)
	}
	if now.Reached(c.Deadline) {
		r = event.ReasonDeadline
	}
	ran := event.NotRun
	if c.seen {
		ran = event.MayHaveRun
	}
	o.refuse(now, c, r, ran, out)
}

func onceRow(rows []table.Row) (table.Row, table.Once, bool) {
	for _, r := range rows {
		if b, ok := r.Body.(table.Once); ok {
			return r, b, true
		}
	}
	return table.Row{}, table.Once{}, false
}

// evaluate decides by another's row.
func (o *Calls) evaluate(now clock.Time, c *call, row table.Row, body table.Once, out *event.Outbox) {
	c.seen = true
	if c.row.Version != row.Version {
		c.disowned = false
	}
	c.row = row
	switch {
	case body.State == table.OnceNotRun:
		o.takeOver(now, c, out)
	case body.Account != c.Account, body.Key != c.Key, body.Digest != c.Digest:
		o.refuse(now, c, event.ReasonKeyReuse, event.NotRun, out)
	case body.State == table.OnceDone:
		o.answer(c, body, true)
	case body.State == table.OnceUnknown:
		o.foundUnknown(now, c, out)
	default:
		o.waitFor(now, c, out)
	}
}

// takeOver makes the row ours: its holder promised never to send its attempt.
// Of several that try, the row's version lets one through.
func (o *Calls) takeOver(now clock.Time, c *call, out *event.Outbox) {
	c.held, c.seen = nil, false
	o.insert(now, c, c.row.Version, out)
}
