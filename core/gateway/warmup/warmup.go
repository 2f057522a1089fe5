// Package warmup limits the rate of requests to backend servers that can handle
// only few of them just after their start.
//
// A cold server sustains a certain rate of requests over all instances together, and
// crashes above it. Only an instance that acts as dispatcher, which chooses servers for
// other instances, sends requests to a cold server or lets others send them, at its share of
// the rate (package fleetshare). A Pacer starts without burst, so a new dispatcher adds next
// to nothing to what its predecessor sent in the same second.
//
// A server may become cold again without notice, so servers that are not known to be cold
// are limited too, to the rate that a cold server survives.
package warmup

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/fleetshare"
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
)

// rate returns the requests per second that an instance may send to a server, or let
// others send; bounded is false if the requests need not be counted.
func (l Limit) rate(s fleetshare.Share, cold bool) (perSecond float64, bounded bool) {
	fraction := s.Fraction()
	switch {
	case l.ColdRate <= 0, !cold && fraction == 0:
		return 0, false
	case cold:
		return coldRateShare * l.ColdRate * fraction, true // 0: no request is sent there
	}
	return warmRateShare * l.SurvivableRate * fraction, true
}

// Pacer limits the requests of one instance to one server. The zero Pacer has sent
// nothing and allows no burst.
type Pacer struct {
	fullAt clock.Time       // when the whole burst is available again; 0: not used yet
	share  fleetshare.Share // with which it was last used
}

// CanSend reports whether a request may be sent to the server now.
func (p *Pacer) CanSend(now clock.Time, s fleetshare.Share, l Limit, cold bool) bool {
	rate, bounded := l.rate(s, cold)
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
func (p *Pacer) RecordSend(now clock.Time, s fleetshare.Share, l Limit, cold bool) {
	rate, bounded := l.rate(s, cold)
	if !bounded || rate <= 0 {
		return
	}
	spacing := interval(rate)
	p.fullAt = min(max(p.fullAt, now).Add(spacing), now.Add(burst*spacing))
}

func interval(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }
