package once

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

type opKind int

const (
	opInsert   opKind = iota // our row
	opReadBack               // after an insert
	opReread                 // another's row, while its call runs
	opMark                   // another's row as unknown
	opStore                  // the end of our call
	opCheck                  // after a store that failed
)

// op is a table operation under way, for a caller or for a call that is held.
type op struct {
	kind    opKind
	request id.Request
	attempt id.Attempt
	expect  uint64
	state   table.OnceState // that opStore writes
}

func (o *Calls) start(now clock.Time, p op) event.Op {
	o.nextOp++
	o.ops[o.nextOp] = p
	o.opTimes.Set(o.nextOp, now.Add(o.set.OpTimeout))
	return event.Op{Component: event.ComponentOnce, Seq: o.nextOp}
}

func (o *Calls) commit(now clock.Time, p op, w table.Write, out *event.Outbox) {
	out.Add(event.TableCommit{Op: o.start(now, p), Writes: []table.Write{w}})
}

func (o *Calls) read(now clock.Time, p op, k table.Key, out *event.Outbox) {
	out.Add(event.TableRead{Op: o.start(now, p), Keys: []table.Key{k}})
}

// Table takes the result of a table operation. One that comes after the
// operation was given up is ignored: what it did is read back.
func (o *Calls) Table(now clock.Time, r event.TableResult, out *event.Outbox) {
	if r.Op.Component != event.ComponentOnce {
		return
	}
	o.opTimes.Drop(r.Op.Seq)
	o.finish(now, r.Op.Seq, r.Outcome, r.Rows, out)
}

func (o *Calls) finish(now clock.Time, n uint64, outcome table.Outcome, rows []table.Row, out *event.Outbox) {
	p, ok := o.ops[n]
	if !ok {
		return
	}
	delete(o.ops, n)
	if p.kind == opStore || p.kind == opCheck {
		if h := o.held[p.attempt]; h != nil {
			o.storeResult(now, h, p, outcome, rows, out)
		}
		return
	}
	c := o.calls[p.request]
	if c == nil || c.Attempt != p.attempt {
		// Decided meanwhile, or begun anew with another attempt, of which this
		// says nothing. What the operation did is found when it is cleaned up.
		return
	}
	switch p.kind {
	case opInsert:
		o.inserted(now, c, p, outcome, out)
	case opReadBack:
		o.wasRead(now, c, outcome, rows, out)
	case opReread:
		o.reread(now, c, outcome, rows, out)
	case opMark:
		o.marked(now, c, outcome, out)
	}
}
