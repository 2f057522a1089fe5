package directory

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/fleetshare"
	"oleanderdale.org/core/gateway/serverlimit"
)

// SetShare sets the share of the limits over all instances that this instance may use. One
// that had none starts without credit: another instance may have used it a moment ago.
func (d *Directory) SetShare(now clock.Time, s fleetshare.Share) {
	if d.share.Fraction() == 0 && s.Fraction() > 0 {
		for _, l := range d.limits {
			l.ResetCredit(now)
		}
	}
	d.share = s
}

// PacesServers reports whether requests to any server are paced, so that the share of
// this instance matters.
func (d *Directory) PacesServers() bool { return len(d.warmupLimits) > 0 || len(d.limits) > 0 }

// RecordLimit records what a response of a server to this instance said about its rate limit.
// It reports whether the limit was named, changed or ended.
func (d *Directory) RecordLimit(id string, incarnation int64, statement serverlimit.Statement) bool {
	l := d.limitOf(id, incarnation, statement)
	return l != nil && l.Record(statement)
}

// HearLimit is RecordLimit for a response to another instance.
func (d *Directory) HearLimit(id string, incarnation int64, statement serverlimit.Statement) bool {
	l := d.limitOf(id, incarnation, statement)
	return l != nil && l.Hear(statement)
}

// limitOf returns the limit that a statement of a server is about, a new one if it names the
// first; nil if a later incarnation is known or there is none.
func (d *Directory) limitOf(id string, incarnation int64, statement serverlimit.Statement) *serverlimit.Limit {
	l := d.limits[id]
	if l == nil || l.Incarnation < incarnation {
		if !statement.Limited {
			return nil
		}
		l = serverlimit.New(incarnation)
		d.limits[id] = l
		if s := d.servers[id]; s != nil && s.Incarnation == incarnation {
			s.limit = l
		}
	}
	if l.Incarnation != incarnation {
		return nil
	}
	return l
}

// keptLimit returns the limit that an incarnation of a server named before; nil if none.
func (d *Directory) keptLimit(id string, incarnation int64) *serverlimit.Limit {
	if l := d.limits[id]; l != nil && l.Incarnation == incarnation {
		return l
	}
	return nil
}

// ExpireFeedback forgets what servers said about themselves once it no longer matters.
func (d *Directory) ExpireFeedback(now clock.Time) {
	d.expireLimits(now)
	d.expireDepartures(now)
	d.expireRests(now)
}

// expireLimits forgets limits without recent responses.
func (d *Directory) expireLimits(now clock.Time) {
	for id, l := range d.limits {
		if l.Outdated(now) {
			delete(d.limits, id)
			if s := d.servers[id]; s != nil {
				s.limit = nil
			}
		}
	}
}

// LimitStatement returns what the server said last about its rate limit; ok is false if
// it never named one.
func (s *Server) LimitStatement() (statement serverlimit.Statement, ok bool) {
	if s.limit == nil {
		return serverlimit.Statement{}, false
	}
	return s.limit.Last(), true
}

// PacedBy reports whether a dispatcher that chose the server paced the requests to it as
// its rate limit requires. known is what the dispatcher knows the server to have said. One
// that has just begun, or whose message was lost, may not know the limit yet.
func (s *Server) PacedBy(known serverlimit.Statement) bool { return !s.limit.Active() || known.Limited }

// LimitEnded reports whether a dispatcher that chose the server, and knows it to have said known,
// does not know that its rate limit has ended.
func (s *Server) LimitEnded(known serverlimit.Statement) bool {
	return known.Limited && s.limit != nil && !s.limit.Active()
}

// RateLimited reports whether the server named a rate limit a short time ago, so that it
// can't be counted on for its share of the load.
func (s *Server) RateLimited(now clock.Time) bool { return s.limit.Recent(now) }

// limitAllows reports whether the rate limit of a server allows another request.
func (d *Directory) limitAllows(now clock.Time, s *Server) bool {
	return s.limit.CanSend(now, d.share)
}

// countPaced counts a request sent to a server against its limits.
func (d *Directory) countPaced(now clock.Time, s *Server) {
	s.pacer.RecordSend(now, d.share, d.warmupLimits[s.Group], s.Cold(now))
	s.limit.RecordSend(now, d.share)
}

// Pace says when the rate limits of servers allow further requests.
type Pace struct {
	Next      time.Duration // until the next request
	PerSecond float64       // requests per second; 0 if limits are not what delays requests
}

// paceOf returns the pace of candidates that can take no request now. It is zero if any of
// them only lacks a free slot, or if this instance may not use the limits.
func (d *Directory) paceOf(now clock.Time, candidates []*Server, req Requirements) Pace {
	var p Pace
	for i, s := range candidates {
		if s.full(req) || !s.limit.Active() || s.limit.Rate(d.share) <= 0 {
			return Pace{}
		}
		next := s.limit.Wait(now, d.share)
		if i == 0 || next < p.Next {
			p.Next = next
		}
		p.PerSecond += s.limit.Rate(d.share)
	}
	return p
}
