// Package brittle bounds the requests to backend servers that crash when they have to
// reject too many for want of room.
//
// The servers of a group say so, and how many rejections in a second they survive. They may
// let fewer requests wait from then on, and do not say how many. So the bound of each server
// starts at little more than its slots, falls with each rejection, and rises slowly. A server
// with many rejections in the last second gets no request until they are older.
package brittle

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// extraRequests is how many requests may wait at a server beside those that run, so that
	// no slot is idle while the next request is on its way; none if the server survives fewer
	// rejections than minSurvivedForExtra.
	extraRequests       = 1
	minSurvivedForExtra = 8
	// raiseInterval is the time without a rejection after which the bound rises by one.
	raiseInterval = 5 * time.Second
	// rejectionWindow is the time in which the servers count rejections.
	rejectionWindow = time.Second
	// toleratedShare is the part of the survived rejections after which a server gets no
	// further request: those on their way may be rejected, too.
	toleratedShare = 2.0 / 3
	// minTimeSaid is how long after a statement an answer without one can end it: answers
	// of the same moment cross on their way.
	minTimeSaid = time.Second
	// validity is how long a statement holds without an answer of any server of the group.
	validity = 10 * time.Second
)

// Statement is what an answer said about the servers of its group.
type Statement struct {
	Brittle bool
	// Survived is the number of rejections in a second that a server survives.
	Survived int
	At       clock.Time
}

// Group is what the servers of a group say. The zero Group said nothing.
type Group struct {
	last Statement // to any instance
	own  Statement // to this instance
}

// Record records a statement to this instance, unless a newer one is known or it would end one
// too soon. It reports whether it changes anything.
func (g *Group) Record(s Statement) (changed bool) {
	if !g.accepts(s) {
		return false
	}
	g.own = s
	return g.Hear(s)
}

// accepts reports whether a statement is not older than the newest, and does not end it too soon.
func (g *Group) accepts(s Statement) bool {
	return s.At >= g.last.At && (s.Brittle || !g.last.Brittle || s.At.Sub(g.last.At) >= minTimeSaid)
}

// Hear is Record for a statement to another instance.
func (g *Group) Hear(s Statement) (changed bool) {
	if !g.accepts(s) {
		return false
	}
	changed = s.Brittle != g.last.Brittle || s.Survived != g.last.Survived
	g.last = s
	return changed
}

// Last returns the newest statement to any instance; ok is false if it no longer holds.
func (g *Group) Last(now clock.Time) (s Statement, ok bool) { return g.last, g.last.holds(now) }

// Own returns the newest statement to this instance; ok is false if it no longer holds.
func (g *Group) Own(now clock.Time) (s Statement, ok bool) { return g.own, g.own.holds(now) }

// holds reports whether the servers are still taken to be brittle.
func (s Statement) holds(now clock.Time) bool { return s.Brittle && now.Sub(s.At) < validity }

// Bound is the bound of one server. The zero Bound has seen no rejection.
type Bound struct {
	lowered   int // below the highest bound
	changedAt clock.Time
	rejected  []clock.Time // within rejectionWindow, oldest first
}

// Allows reports whether a server with these slots and running requests may get another one.
func (b *Bound) Allows(now clock.Time, s Statement, slots, running int) bool {
	b.expire(now)
	if len(b.rejected) >= max(1, int(toleratedShare*float64(s.Survived))) {
		return false
	}
	bound := slots - b.lowered
	if s.Survived >= minSurvivedForExtra {
		bound += extraRequests
	}
	return running < max(1, bound)
}

// RecordRejection records that the server rejected a request.
func (b *Bound) RecordRejection(now clock.Time, slots int) {
	b.expire(now)
	b.rejected = append(b.rejected, now)
	b.lowered, b.changedAt = min(b.lowered+1, slots), now
}

func (b *Bound) expire(now clock.Time) {
	for len(b.rejected) > 0 && now.Sub(b.rejected[0]) > rejectionWindow {
		b.rejected = b.rejected[1:]
	}
	for b.lowered > 0 && now.Sub(b.changedAt) >= raiseInterval {
		b.lowered--
		b.changedAt = b.changedAt.Add(raiseInterval)
	}
}
