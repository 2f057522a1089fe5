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
	opWrite opKind = iota // of the own row
	opRead                // of the own row
	opWatch               // read of other sessions
	opTake                // takeover of another session
)

// op is an operation on the table that has no answer yet.
type op struct {
	n       uint64
	kind    opKind
	sent    clock.Time
	renewal uint64        // of an opWrite
	ends    bool          // an opWrite that ends the session
	of      []id.Instance // of an opWatch or opTake
	asked   []bool        // of an opWatch: whether Ended asked about it before
}

// ops are the operations without an answer, the oldest first.
type ops struct {
	last uint64
	open []op
}

func (o *ops) start(p op) event.Op {
	o.last++
	p.n = o.last
	o.open = append(o.open, p)
	return event.Op{Component: event.ComponentSession, Seq: p.n}
}

func (o *ops) finish(e event.Op) (op, bool) {
	i := slices.IndexFunc(o.open, func(p op) bool { return p.n == e.Seq })
	if i < 0 || e.Component != event.ComponentSession {
		return op{}, false
	}
	p := o.open[i]
	o.open = slices.Delete(o.open, i, i+1)
	return p, true
}

// late removes and returns the operations that were sent at or before t.
func (o *ops) late(t clock.Time) []op {
	i := 0
	for i < len(o.open) && !t.Before(o.open[i].sent) {
		i++
	}
	late := slices.Clone(o.open[:i])
	o.open = slices.Delete(o.open, 0, i)
	return late
}

func (o *ops) busy(kinds ...opKind) bool {
	return slices.ContainsFunc(o.open, func(p op) bool { return slices.Contains(kinds, p.kind) })
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
