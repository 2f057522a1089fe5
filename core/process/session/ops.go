package session

import (
	"slices"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// opKind says what an operation on the table is for.
type opKind int

const (
	opWrite    opKind = iota // of the own row
	opRead                   // of the own row
	opWatch                  // read of other sessions
	opTakeOver               // takeover of another session
)

// op is an operation on the table that has no answer yet.
type op struct {
	number      uint64
	kind        opKind
	sent        clock.Time
	renewal     uint64        // of an opWrite
	endsSession bool          // an opWrite that ends the session
	instances   []id.Instance // of an opWatch or opTake
	queried     []bool        // of an opWatch: whether Ended asked about it before
}

// ops are the operations without an answer, the oldest first.
type ops struct {
	last    uint64
	pending []op
}

func (o *ops) start(p op) event.Op {
	o.last++
	p.number = o.last
	o.pending = append(o.pending, p)
	return event.Op{Part: event.PartSession, N: p.number}
}

func (o *ops) finish(ref event.Op) (op, bool) {
	i := slices.IndexFunc(o.pending, func(p op) bool { return p.number == ref.N })
	if i < 0 || ref.Part != event.PartSession {
		return op{}, false
	}
	p := o.pending[i]
	o.pending = slices.Delete(o.pending, i, i+1)
	return p, true
}

// late removes and returns the operations that were sent at or before t.
func (o *ops) removeSentBy(t clock.Time) []op {
	i := 0
	for i < len(o.pending) && !t.Before(o.pending[i].sent) {
		i++
	}
	removed := slices.Clone(o.pending[:i])
	o.pending = slices.Delete(o.pending, 0, i)
	return removed
}

func (o *ops) anyPending(kinds ...opKind) bool {
	return slices.ContainsFunc(o.pending, func(p op) bool { return slices.Contains(kinds, p.kind) })
}

// findSession returns the session row of i among rows.
func findSession(rows []table.Row, i id.Instance) (version uint64, s table.Session, found bool) {
	for _, r := range rows {
		if r.Key == sessionKey(i) {
			s, found = r.Body.(table.Session)
			return r.Version, s, found
		}
	}
	return 0, table.Session{}, false
}
