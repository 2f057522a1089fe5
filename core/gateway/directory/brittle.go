package directory

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/brittle"
)

// RecordBrittle records what an answer of a server to this instance said about the rejections
// that the servers of its group survive. It reports whether that changes anything.
func (d *Directory) RecordBrittle(group string, s brittle.Statement) (changed bool) {
	g := d.brittleGroupOf(group, s)
	return g != nil && g.Record(s)
}

// HearBrittle is RecordBrittle for an answer to another instance.
func (d *Directory) HearBrittle(group string, s brittle.Statement) (changed bool) {
	g := d.brittleGroupOf(group, s)
	return g != nil && g.Hear(s)
}

// brittleGroupOf returns the group that a statement is about, a new one if it is the first; nil
// if there is none.
func (d *Directory) brittleGroupOf(group string, s brittle.Statement) *brittle.Group {
	g := d.brittleGroups[group]
	if g == nil && s.Brittle {
		g = &brittle.Group{}
		d.brittleGroups[group] = g
	}
	return g
}

// BrittleStatement returns what the servers of a group said last; ok is false if it does not
// hold or they never said anything.
func (d *Directory) BrittleStatement(now clock.Time, group string) (s brittle.Statement, ok bool) {
	g := d.brittleGroups[group]
	if g == nil {
		return brittle.Statement{}, false
	}
	return g.Last(now)
}

// RecordRejection records that a server rejected a request of any instance for want of room.
func (d *Directory) RecordRejection(now clock.Time, id string) {
	s := d.servers[id]
	if s == nil {
		return
	}
	if _, ok := d.BrittleStatement(now, s.Group); ok {
		s.bound.RecordRejection(now, s.Slots)
	}
}

// brittleAllows reports whether a server may get another request without the risk of more
// rejections than it survives.
func (d *Directory) brittleAllows(now clock.Time, s *Server) bool {
	said, ok := d.BrittleStatement(now, s.Group)
	return !ok || s.Slots == 0 || s.bound.Allows(now, said, s.Slots, s.Running())
}
