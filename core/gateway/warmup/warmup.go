// Package warmup paces the requests to backend servers that bear little just after their
// start.
//
// A cold server bears a rate of requests over all instances together, and crashes above
// it. Only an instance that chooses servers for others sends to it or lets others send. It
// hands out the part of the rate that its hearers are of the fleet, so that two of them on
// both sides of a cut hand out the rate once. A pace begins without credit, so one that
// takes over adds next to nothing to what the one before handed out in the same second.
//
// A server may turn cold again without a word, so the others are paced too, at what a cold
// server survives.
package warmup

import (
	"time"

	"oleanderdale.org/core/clock"
)

// Limit is what a server of one group bears, over all instances. The zero Limit bounds
// nothing.
type Limit struct {
	// ColdRate is the rate, in requests a second, that a cold server bears.
	ColdRate float64
	// SurvivableRate is the most in any second that it survives.
	SurvivableRate float64
}

const (
	// credit is how many requests may go out at once after a rest.
	credit = 3
	// coldPart of what a cold server bears is handed out: requests of more than a second
	// may arrive within one.
	coldPart = 0.85
	// warmPart is the part of Survived for servers that are not known to be cold.
	warmPart = 0.85
	// choosers bounds how many instances may choose at once: one that hears less than such
	// a part of the fleet hands out nothing, for the credit of many would add up.
	choosers = 8
)

// Share is what one instance may hand out.
type Share struct {
	// Dispatcher says that it chooses servers for all that it hears.
	Dispatcher bool
	// Live of Known instances are heard, itself included in both.
	Live, Known int
}

// rate returns the requests a second that an instance may send to a server, or let go to
// it; bounded is false if it need not count.
func (s Share) rate(l Limit, cold bool) (perSecond float64, bounded bool) {
	part := float64(s.Live) / float64(max(1, s.Known))
	switch {
	case l.ColdRate <= 0, !cold && (!s.Dispatcher || s.few()):
		return 0, false
	case !s.Dispatcher || s.few():
		return 0, true // no request goes there
	case cold:
		return coldPart * l.ColdRate * part, true
	}
	return warmPart * l.SurvivableRate * part, true
}

// few reports whether too few are heard to choose for.
func (s Share) few() bool { return s.Live*choosers < s.Known }

// Pacer is the pace of one server, as one instance keeps it. The zero Pacer has handed out
// nothing and has no credit.
type Pacer struct {
	due   clock.Time // when the credit is whole again; 0: not used yet
	share Share      // under which it was last used
}

// CanSend reports whether a request may go to the server now.
func (p *Pacer) CanSend(now clock.Time, s Share, l Limit, cold bool) bool {
	rate, bounded := s.rate(l, cold)
	if !bounded {
		return true
	}
	if rate <= 0 {
		return false
	}
	each := interval(rate)
	if p.due == 0 || p.share.Dispatcher != s.Dispatcher {
		p.due = now.Add(credit * each)
	}
	p.share = s
	return now.Reached(p.due.Add(-(credit - 1) * each))
}

// RecordSend counts a request that went to the server.
func (p *Pacer) RecordSend(now clock.Time, s Share, l Limit, cold bool) {
	rate, bounded := s.rate(l, cold)
	if !bounded || rate <= 0 {
		return
	}
	each := interval(rate)
	p.due = min(max(p.due, now).Add(each), now.Add(credit*each))
}

func interval(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }
