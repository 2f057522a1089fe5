package once

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// opKind is the purpose of a table operation.
type opKind int

const (
	opInsert      opKind = iota // insert the row of an attempt
	opReadBack                  // read it back after an insert
	opReread                    // read the row of another attempt again while that runs
	opMarkUnknown               // mark the row of another attempt as unknown
	opStore                     // store the final state of an attempt
	opCheck                     // read the row before storing, if its version is not known
)

// op is a table operation in progress, for a call or for an open attempt.
type op struct {
	kind            opKind
	request         id.Request
	attempt         id.Attempt
	expectedVersion uint64          // version of the row that the write replaces
	state           table.OnceState // state that opStore writes
}

// startOp registers a table operation and starts its timeout.
func (t *Tracker) startOp(now clock.Time, p op) event.Op {
	t.nextOp++
	t.ops[t.nextOp] = p
	t.opTimers.Set(t.nextOp, now.Add(t.settings.TableTimeout))
	return event.Op{Component: event.ComponentOnce, Seq: t.nextOp}
}

func (t *Tracker) commitRow(now clock.Time, p op, w table.Write, out *event.Outbox) {
	out.Add(event.TableCommit{Op: t.startOp(now, p), Writes: []table.Write{w}})
}

func (t *Tracker) readRow(now clock.Time, p op, k table.Key, out *event.Outbox) {
	out.Add(event.TableRead{Op: t.startOp(now, p), Keys: []table.Key{k}})
}

// HandleTableResult handles the result of a table operation. A result after the
// timeout of the operation is ignored; reading the row shows what it did.
func (t *Tracker) HandleTableResult(now clock.Time, r event.TableResult, out *event.Outbox) {
	if r.Op.Component != event.ComponentOnce {
		return
	}
	t.opTimers.Delete(r.Op.Seq)
	t.finishOp(now, r.Op.Seq, r.Outcome, r.Rows, out)
}

// finishOp passes the result of an operation to the call or attempt that started
// it.
func (t *Tracker) finishOp(now clock.Time, n uint64, outcome table.Outcome, rows []table.Row, out *event.Outbox) {
	p, ok := t.ops[n]
	if !ok {
		return
	}
	delete(t.ops, n)
	if p.kind == opStore || p.kind == opCheck {
		if open := t.attempts[p.attempt]; open != nil {
			t.handleStoreResult(now, open, p, outcome, rows, out)
		}
		return
	}
	c := t.calls[p.request]
	if c == nil || c.Attempt != p.attempt {
		// The call was decided meanwhile, or began again with another attempt,
		// to which this result does not apply. Concluding the old attempt
		// finds what the operation did.
		return
	}
	switch p.kind {
	case opInsert:
		t.handleInsertResult(now, c, p, outcome, out)
	case opReadBack:
		t.handleReadBackResult(now, c, outcome, rows, out)
	case opReread:
		t.handleRereadResult(now, c, outcome, rows, out)
	case opMarkUnknown:
		t.handleMarkResult(now, c, outcome, out)
	}
}
