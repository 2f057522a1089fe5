package once

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// lateCall is a call whose caller was told that nobody knows its outcome, while
// its attempt had not ended here yet.
type lateCall struct {
	account id.Account
	key     string
	row     table.Once
}

// expectLate remembers an attempt that has not ended. A process that was frozen
// after it sent an order finds its timers before the answer that waited in its
// buffers: it stores "unknown", and every repeat would be told so for ever,
// though the outcome is at hand. The memory is bounded in number and time; what
// falls out of it stays unknown, which is true.
func (o *Calls) expectLate(now clock.Time, c *call) {
	if c.held == nil || len(o.late) >= o.set.MaxHeld {
		return
	}
	a := c.held.row.Attempt
	o.late[a] = lateCall{account: c.Account, key: c.Key, row: c.held.row}
	o.lateTimes.Set(a, now.Add(o.set.StoreFor))
}

// endedLate takes the end of an attempt whose call is decided. A whole answer
// takes the place of "unknown" in the table; the caller has its final answer.
func (o *Calls) endedLate(now clock.Time, e event.AttemptEnded, out *event.Outbox) {
	l, ok := o.late[e.Attempt]
	if !ok {
		return
	}
	o.dropLate(e.Attempt)
	if e.Result != event.AttemptCompleted || len(e.Body) > o.set.MaxBody {
		return
	}
	h := o.held[e.Attempt]
	if h == nil {
		h = &held{account: l.account, key: l.key, row: l.row}
		o.held[e.Attempt] = h
	}
	h.row.Status, h.row.ContentType, h.row.Body = e.Status, e.ContentType, e.Body
	o.conclude(now, h, table.OnceDone, out)
}

func (o *Calls) dropLate(a id.Attempt) {
	delete(o.late, a)
	o.lateTimes.Drop(a)
}

func (o *Calls) expireLate(now clock.Time) {
	for {
		a, ok := o.lateTimes.Pop(now)
		if !ok {
			return
		}
		delete(o.late, a)
	}
}
