// Package serverlimit paces the requests to backend servers that name a rate limit in
// their responses.
//
// A server in need names the requests per second that it accepts from all instances
// together, for as long as its responses say so. Every instance that gets such a response
// tells the others, but only an instance that acts as dispatcher, which chooses servers
// for other instances, sends requests to a limited server or lets others send them, at its
// share of the limit (package fleetshare): many instances that each used an equal part would
// waste the parts of the idle ones, and could use the credit of all parts in the same
// second. A new dispatcher starts without credit, so it adds next to nothing to what its
// predecessor sent.
package serverlimit

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/fleetshare"
)

const (
	// maxBurst is the most requests that may be sent at once after an idle time.
	maxBurst = 3.0
	// burstPeriod is the time whose requests may be sent at once if they are more: queues
	// are served every few milliseconds.
	burstPeriod = 20 * time.Millisecond
	// minRate, in requests per second, is sent to a server whatever limit it names. Only
	// a response tells that the limit has ended.
	minRate = 0.5
	// maxRate, in requests per second, bounds a named limit, so that arithmetic with it
	// stays finite.
	maxRate = 1e6
	// minLimitedTime is how long after a response that named the limit another response can
	// end it: responses of the same moment cross on their way, and a server may name its
	// limit in some of them only.
	minLimitedTime = time.Second
	// recentAge is how long after the last response that named it a limit counts as
	// current where no request is to be sent.
	recentAge = 10 * time.Second
	// forgetAfter is how long the limit of a server is kept without any response.
	forgetAfter = 10 * time.Minute
)

// Statement is what a response said about the rate limit of its server.
type Statement struct {
	Limited   bool
	PerSecond float64 // requests per second over all instances, if Limited; finite and not negative
	At        clock.Time
}

// Limit is the rate limit of one incarnation of a server. It is not safe for concurrent
// use.
type Limit struct {
	Incarnation int64
	last        Statement // to any instance
	own         Statement // to this instance; At 0: none
	credit      float64   // requests that may be sent at creditAt
	creditAt    clock.Time
}

// New returns a Limit that its server has not named yet.
func New(incarnation int64) *Limit { return &Limit{Incarnation: incarnation} }

// Record records a statement to this instance, unless a newer one is known or it would end the
// limit too soon. It reports whether the limit was named, changed or ended.
func (l *Limit) Record(s Statement) bool {
	if !l.accepts(s) {
		return false
	}
	changed := l.Hear(s)
	l.own = l.last
	return changed
}

// accepts reports whether a statement is not older than the newest, and does not end the limit
// too soon.
func (l *Limit) accepts(s Statement) bool {
	return s.At >= l.last.At && (s.Limited || !l.last.Limited || s.At.Sub(l.last.At) >= minLimitedTime)
}

// Hear is Record for a statement to another instance.
func (l *Limit) Hear(s Statement) bool {
	if !l.accepts(s) {
		return false
	}
	s.PerSecond = min(s.PerSecond, maxRate)
	before := l.last
	l.last = s
	if !before.Limited {
		l.ResetCredit(s.At)
	}
	return s.Limited != before.Limited || s.PerSecond != before.PerSecond
}

// ResetCredit makes the next request wait as if one had just been sent.
func (l *Limit) ResetCredit(now clock.Time) { l.credit, l.creditAt = 0, now }

// Last returns the newest statement to any instance.
func (l *Limit) Last() Statement { return l.last }

// Own returns the newest statement to this instance; ok is false if there is none.
func (l *Limit) Own() (s Statement, ok bool) { return l.own, l.own.At != 0 }

// Active reports whether the server has a limit. A nil Limit is not active.
func (l *Limit) Active() bool { return l != nil && l.last.Limited }

// Recent reports whether the server has a limit that it named a short time ago.
func (l *Limit) Recent(now clock.Time) bool { return l.Active() && now.Sub(l.last.At) < recentAge }

// Outdated reports whether the limit can be forgotten.
func (l *Limit) Outdated(now clock.Time) bool { return now.Sub(l.last.At) > forgetAfter }

// Rate returns the requests per second that an instance with this share may send, or let
// others send; 0 if it may send none.
func (l *Limit) Rate(share fleetshare.Share) float64 {
	return max(minRate, l.last.PerSecond) * share.Fraction()
}

// burst is the most credit of a share of the limit. A small limit has a small one: its
// burst would be the largest part of what the server gets.
func (l *Limit) burst(fraction float64) float64 {
	return max(1, fraction*max(min(maxBurst, l.last.PerSecond), l.last.PerSecond*burstPeriod.Seconds()))
}

// CanSend reports whether a request may be sent to the server now.
func (l *Limit) CanSend(now clock.Time, share fleetshare.Share) bool {
	return !l.Active() || l.Rate(share) > 0 && l.refill(now, share) >= 1
}

// RecordSend counts a request that was sent to the server.
func (l *Limit) RecordSend(now clock.Time, share fleetshare.Share) {
	if l.Active() {
		l.credit = l.refill(now, share) - 1
	}
}

// Wait returns how long until a request may be sent. It is 0 if none may be sent by an
// instance with this share.
func (l *Limit) Wait(now clock.Time, share fleetshare.Share) time.Duration {
	rate := l.Rate(share)
	if !l.Active() || rate <= 0 {
		return 0
	}
	missing := max(0, 1-l.refill(now, share))
	return time.Duration(missing / rate * float64(time.Second))
}

// refill returns the credit at now.
func (l *Limit) refill(now clock.Time, share fleetshare.Share) float64 {
	if now.Reached(l.creditAt) {
		gained := l.Rate(share) * now.Sub(l.creditAt).Seconds()
		l.credit, l.creditAt = min(l.credit+gained, l.burst(share.Fraction())), now
	}
	return l.credit
}
