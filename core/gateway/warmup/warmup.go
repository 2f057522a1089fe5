// Package warmup limits the rate of requests to backend servers that can handle
// only few of them just after their start.
//
// A cold server sustains a certain rate of requests over all instances together, and
// crashes above it. Only an instance that acts as dispatcher, which chooses servers for
// other instances, sends requests to a cold server or lets others send them. A dispatcher
// uses the part of the rate that the instances it hears are of the fleet, so that two
// dispatchers on both sides of a network partition together do not exceed the rate. A
// Pacer starts without burst, so a new dispatcher adds next to nothing to what its
// predecessor sent in the same second.
//
// A server may become cold again without notice, so servers that are not known to be cold
// are limited too, to the rate that a cold server survives.
package warmup

import (
	"time"

	"oleanderdale.org/core/clock"
)

// Limit is the rate limit of a server of one group, over all instances. The zero Limit
// means no limit.
type Limit struct {
	// ColdRate is the rate, in requests a second, that a cold server sustains.
	ColdRate float64
	// SurvivableRate is the number of requests in any second above which a cold server
	// crashes.
	SurvivableRate float64
}

const (
	// burst is how many requests may be sent at once after an idle time.
	burst = 3
	// coldRateShare is the part of ColdRate that is used: requests sent over more than a
	// second may arrive within one.
	coldRateShare = 0.85
	// warmRateShare is the part of SurvivableRate that is used for servers that are not
	// known to be cold.
	warmRateShare = 0.85
	// maxDispatchers bounds how many dispatchers may send at the same time: one that hears
	// less than 1/maxDispatchers of the fleet sends nothing, because the bursts of many
	// dispatchers would add up.
	maxDispatchers = 8
)

// Share determines which part of a Limit one instance may use.
type Share struct {
	// Dispatcher says that the instance chooses servers for all instances that it hears.
	Dispatcher bool
	// Live of Known instances are heard; both include this instance.
	Live, Known int
}

// rate returns the requests per second that an instance may send to a server, or let
// others send; bounded is false if the requests need not be counted.
func (s Share) rate(l Limit, cold bool) (perSecond float64, bounded bool) {
	liveShare := float64(s.Live) / float64(max(1, s.Known))
	switch {
	case l.ColdRate <= 0, !cold && (!s.Dispatcher || s.tooFewLive()):
		return 0, false
	case !s.Dispatcher || s.tooFewLive():
		return 0, true // no request is sent there
	case cold:
		return coldRateShare * l.ColdRate * liveShare, true
	}
	return warmRateShare * l.SurvivableRate * liveShare, true
}

// Fraction returns the part of a limit over all instances that an instance with this share
// may use for those that it chooses servers for; 0 if it may use none.
func (s Share) Fraction() float64 {
	if !s.Dispatcher || s.tooFewLive() {
		return 0
	}
	return min(1, float64(s.Live)/float64(max(1, s.Known)))
}

// tooFewLive reports whether too few instances are heard to act as their dispatcher.
func (s Share) tooFewLive() bool { return s.Live*maxDispatchers < s.Known }

// Pacer limits the requests of one instance to one server. The zero Pacer has sent
// nothing and allows no burst.
type Pacer struct {
	fullAt clock.Time // when the whole burst is available again; 0: not used yet
	share  Share      // with which it was last used
}

// CanSend reports whether a request may be sent to the server now.
func (p *Pacer) CanSend(now clock.Time, s Share, l Limit, cold bool) bool {
	rate, bounded := s.rate(l, cold)
	if !bounded {
		return true
	}
	if rate <= 0 {
		return false
	}
	spacing := interval(rate)
	if p.fullAt == 0 || p.share.Dispatcher != s.Dispatcher {
		p.fullAt = now.Add(burst * spacing)
	}
	p.share = s
	return now.Reached(p.fullAt.Add(-(burst - 1) * spacing))
}

// RecordSend counts a request that was sent to the server.
func (p *Pacer) RecordSend(now clock.Time, s Share, l Limit, cold bool) {
	rate, bounded := s.rate(l, cold)
	if !bounded || rate <= 0 {
		return
	}
	spacing := interval(rate)
	p.fullAt = min(max(p.fullAt, now).Add(spacing), now.Add(burst*spacing))
}

func interval(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }
