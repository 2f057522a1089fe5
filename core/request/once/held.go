package once

import (
	"slices"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// held is an attempt that this instance answers for. It outlives its caller
// until its end is stored.
type held struct {
	account  id.Account
	key      string
	row      table.Once // as it is, or is to be, in the table
	version  uint64     // of the row when last known to be ours; 0: not known
	mayExist bool       // an insert had no answer
	began    clock.Time
	final    bool // row holds the end, which is being stored
	busy     bool // a table operation is under way
	caller   id.Request
	askers   []id.Instance // to be told of the end
}

// maxAskers bounds the instances told of an end; the others ask again.
const maxAskers = 64

func (o *Calls) drop(h *held) {
	delete(o.held, h.row.Attempt)
	o.heldTimes.Drop(h.row.Attempt)
}

// conclude gives a held call its final state, tells who asked, and stores it.
func (o *Calls) conclude(now clock.Time, h *held, s table.OnceState, out *event.Outbox) {
	h.row.State = s
	h.final = true
	h.began = now
	for _, i := range h.askers {
		out.Send(i, h.told())
	}
	h.askers = nil
	if !h.busy {
		o.store(now, h, out)
	}
}

func (h *held) told() message.OnceReply {
	return message.OnceReply{
		Account: h.account, Key: h.key, Attempt: h.row.Attempt, Known: true,
		Running: h.row.State == table.OnceRunning, State: h.row.State,
		Status: h.row.Status, ContentType: h.row.ContentType, Body: h.row.Body,
	}
}

// store writes the final state. Where the version of our row is not known it
// reads first: a write on a guess could hit the row of somebody else.
func (o *Calls) store(now clock.Time, h *held, out *event.Outbox) {
	key := rowKey(h.account, h.key)
	h.busy = true
	if h.version == 0 {
		o.read(now, op{kind: opCheck, attempt: h.row.Attempt}, key, out)
		return
	}
	o.commit(now, op{kind: opStore, attempt: h.row.Attempt, expect: h.version, state: h.row.State},
		table.Write{Key: key, Expect: h.version, Body: h.row}, out)
}

func (o *Calls) storeResult(now clock.Time, h *held, p op, outcome table.Outcome, rows []table.Row, out *event.Outbox) {
	h.busy = false
	switch {
	case p.kind == opStore && outcome == table.Done && p.state == h.row.State:
		o.stored(h)
	case p.kind == opStore && outcome == table.Done:
		h.version = p.expect + 1 // the end became known meanwhile
		o.store(now, h, out)
	case p.kind == opStore && outcome == table.Conflict:
		h.version = 0
		o.store(now, h, out)
	case p.kind == opCheck && outcome == table.Done:
		o.checked(now, h, rows, out)
	default:
		h.version = 0
		o.heldTimes.Set(h.row.Attempt, now.Add(o.set.StoreRetry))
	}
}

// checked goes on with the row as it stands in the table.
func (o *Calls) checked(now clock.Time, h *held, rows []table.Row, out *event.Outbox) {
	row, body, ok := onceRow(rows)
	switch {
	case !ok:
		// A lost insert of ours may still be under way. Our row in its place
		// makes it fail.
		h.busy = true
		o.commit(now, op{kind: opStore, attempt: h.row.Attempt, state: h.row.State},
			table.Write{Key: rowKey(h.account, h.key), Body: h.row}, out)
	case body.State == table.OnceNotRun && h.row.State == table.OnceNotRun && body.Attempt != h.row.Attempt:
		// We were to take this row over; our write may still be under way.
		h.version = row.Version
		o.store(now, h, out)
	case body.Attempt != h.row.Attempt:
		// Only a row that says not-run may be taken over.
		o.check.Hold(h.row.State == table.OnceNotRun, "once-row-kept",
			"row of %s, %s, is of %s now", h.row.Attempt, h.row.State, body.Attempt)
		o.stored(h)
	case body.State == h.row.State, body.State == table.OnceDone:
		o.stored(h)
	default:
		h.version = row.Version
		o.store(now, h, out)
	}
}

func (o *Calls) stored(h *held) {
	o.drop(h)
	if c := o.calls[h.caller]; c != nil && c.phase == storing && c.held == h {
		o.answer(c, h.row, false)
	}
}

// storeDue tries again to store, or gives up: whoever reads the row after that
// finds it running and its holder knowing nothing, which counts as unknown.
func (o *Calls) storeDue(now clock.Time, h *held, out *event.Outbox) {
	if now.Sub(h.began) > o.set.StoreFor {
		o.drop(h)
		return
	}
	if !h.busy {
		o.store(now, h, out)
	}
}

// told answers another instance's OnceAsk.
func (o *Calls) told(from id.Instance, m message.OnceQuery, out *event.Outbox) {
	h := o.held[m.Attempt]
	if h == nil {
		out.Send(from, message.OnceReply{Account: m.Account, Key: m.Key, Attempt: m.Attempt})
		return
	}
	if !h.final && !slices.Contains(h.askers, from) && len(h.askers) < maxAskers {
		h.askers = append(h.askers, from)
	}
	out.Send(from, h.told())
}
