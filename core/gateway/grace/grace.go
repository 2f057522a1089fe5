// Package grace decides what an instance that was told to stop still accepts, and when it ends what is open.
//
// The platform counts its grace period from the stop signal on. An instance that is late notices the
// signal late, so each decision goes by the time that is safe for it: requests are accepted, and wait, as if the
// signal had been sent as early as possible, and open ones are ended as if it had just been sent.
package grace

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// listenPeriod is how long new connections are accepted: the load balancer probes once a second and
	// needs two failed probes.
	listenPeriod = 3500 * time.Millisecond
	// acceptPeriod is how long all requests are accepted; a short grace period limits it to acceptFraction.
	// Later requests come over open connections or from a balancer that has not probed yet. They are
	// accepted only if they end before the kill; refused ones are served elsewhere at once.
	acceptPeriod   = 2800 * time.Millisecond
	acceptFraction = 0.35
	// queueMargin is how long before the kill requests no longer wait, so that they can be served elsewhere.
	queueMargin = 3 * time.Second
	// endMargin is how long before the kill open requests are ended; a short grace period limits it to a
	// part of it, so that they are not ended before its last sixth.
	endMargin     = 600 * time.Millisecond
	endMarginPart = 7
)

// Period is the time from the stop signal to the kill.
type Period struct {
	sentSince clock.Time // the signal was not sent before
	noticed   clock.Time
	length    time.Duration
}

// Begin returns the period of an instance that notices the signal now, and that was late by a time at most.
func Begin(now clock.Time, late, length time.Duration) Period {
	return Period{sentSince: now.Add(-max(0, late)), noticed: now, length: length}
}

// Noticed returns when the instance noticed the signal.
func (p Period) Noticed() clock.Time { return p.noticed }

// Late returns how late the instance may have noticed the signal.
func (p Period) Late() time.Duration { return p.noticed.Sub(p.sentSince) }

// ListenEnd returns until when new connections are accepted.
func (p Period) ListenEnd() clock.Time { return p.noticed.Add(min(listenPeriod, p.length/2)) }

// QueueEnd returns until when requests may wait. One that waits at the kill would go without an answer.
func (p Period) QueueEnd() clock.Time { return p.sentSince.Add(p.length - queueMargin) }

// End returns when open requests are ended.
func (p Period) End() clock.Time { return p.noticed.Add(p.length - p.endMargin()) }

func (p Period) endMargin() time.Duration { return min(endMargin, p.length/endMarginPart) }

// Accepts reports whether a request is accepted that may take so long.
func (p Period) Accepts(now clock.Time, duration time.Duration) bool {
	elapsed := now.Sub(p.sentSince)
	if elapsed <= min(acceptPeriod, time.Duration(acceptFraction*float64(p.length))) {
		return true
	}
	return elapsed+duration <= p.length-p.endMargin()
}
