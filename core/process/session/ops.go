package session

import (
	"slices"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// opKind is the purpose of a table operation.
type opKind int

const (
	opWrite    opKind = iota // writes the own row
	opRead                   // reads the own row
	opWatch                  // reads rows of other sessions
	opTakeOver               // takes another session over
)

// op is a table operation without a result.
type op struct {
	number      uint64
	kind        opKind
	sent        clock.Time
	renewal     uint64        // number of the renewal, for opWrite
	endsSession bool          // the opWrite ends the session
	instances   []id.Instance // the sessions, for opWatch and opTakeOver
	queried     []bool        // for opWatch, whether Ended was called for the instance before
}

// ops are the operations without a result, the oldest first.
type ops struct {
	last    uint64
	pending []op
}

// start registers an operation and returns its reference.
func (o *ops) start(p op) event.Op {
	o.last++
	p.number = o.last
	o.pending = append(o.pending, p)
	return event.Op{Component: event.ComponentSession, Seq: p.number}
}

// finish removes and returns the operation that a result belongs to.
func (o *ops) finish(ref event.Op) (op, bool) {
	i := slices.IndexFunc(o.pending, func(p op) bool { return p.number == ref.Seq })
	if i < 0 || ref.Component != event.ComponentSession {
		return op{}, false
	}
	p := o.pending[i]
	o.pending = slices.Delete(o.pending, i, i+1)
	return p, true
}

// removeSentBy removes and returns the operations that were sent at t or
// earlier.
func (o *ops) removeSentBy(t clock.Time) []op {
	i := 0
	for i < len(o.pending) && !t.Before(o.pending[i].sent) {
		i++
	}
	removed := slices.Clone(o.pending[:i])
	o.pending = slices.Delete(o.pending, 0, i)
	return removed
}

// anyPending reports whether an operation of one of the kinds has no result
// yet.
func (o *ops) anyPending(kinds ...opKind) bool {
	return slices.ContainsFunc(o.pending, func(p op) bool { return slices.Contains(kinds, p.kind) })
}

// findSession returns the session row of instance i.
func findSession(rows []table.Row, i id.Instance) (version uint64, s table.Session, found bool) {
	for _, r := range rows {
		if r.Key == sessionKey(i) {
			s, found = r.Body.(table.Session)
			return r.Version, s, found
		}
	}
	return 0, table.Session{}, false
}
