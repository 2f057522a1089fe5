package queue

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
)

// reviewWaitDivisor divides the estimated wait when a waiting request is reviewed,
// so that it is refused only if it will clearly miss its deadline. The estimate
// fluctuates; without the divisor each peak would refuse requests that could have
// been served.
const reviewWaitDivisor = 2

// reviewAll reviews all queues and removes idle servers and queues.
func (o *Owner) reviewAll(now clock.Time, out *event.Outbox) {
	o.grantAll(now, out)
	for _, q := range o.sortedQueues {
		if q.size() > 0 {
			o.refuseUnservable(now, q, out)
		}
	}
	o.removeIdleServers(now)
	o.removeIdleQueues(now)
	o.nextReview = clock.Never
	if o.queueLength > 0 {
		o.nextReview = now.Add(o.settings.ReviewInterval)
	}
}

// refuseUnservable refuses requests that can no longer be served in time, so that
// their callers learn it before the deadline.
func (o *Owner) refuseUnservable(now clock.Time, q *targetQueue, out *event.Outbox) {
	capacity := o.viewCapacity(now, q)
	for _, req := range o.findUnservable(now, q, &capacity) {
		if !capacity.hasServerFor(&req.ask) {
			o.refuse(now, req, ReasonNoServer, 0, out)
			continue
		}
		o.refuse(now, req, ReasonDeadline, max(capacity.readyIn, minRetryAfter), out)
	}
}

func (o *Owner) findUnservable(now clock.Time, q *targetQueue, capacity *capacityView) []*request {
	var unservable []*request
	for _, req := range q.parked {
		if !capacity.hasServerFor(&req.ask) || capacity.readyIn > req.deadline.Sub(now) {
			unservable = append(unservable, req)
		}
	}
	for l := range q.classes {
		for _, f := range q.classes[l].flows {
			p := position{virtualStart: max(q.classes[l].virtualTime, f.virtualFinish)}
			for _, req := range f.requests {
				wait := o.estimateWaitAt(req, p, capacity) / reviewWaitDivisor
				if !capacity.hasServerFor(&req.ask) || capacity.readyIn+wait > req.deadline.Sub(now) {
					unservable = append(unservable, req)
					continue
				}
				p.ownAhead++
				p.virtualStart += tokenCost(req) / f.weight
			}
		}
	}
	return unservable
}

// removeIdleServers removes servers and digests whose state is no longer needed.
func (o *Owner) removeIdleServers(now clock.Time) {
	for b, s := range o.servers {
		if s.leaving && len(s.turns) == 0 {
			_, s.leaving = o.members.Backend(b)
		}
		if s.idle(now) {
			delete(o.servers, b)
		}
	}
	for d, until := range o.aloneDigests {
		if now.Reached(until) {
			delete(o.aloneDigests, d)
		}
	}
}

// Demand is an artifact that waiting requests need in this zone.
type Demand struct {
	Artifact id.Artifact
	Class    config.Class  // the most urgent class among them
	MaxWait  time.Duration // time until the earliest deadline
	Waiting  int           // number of requests, at least 1
}

// Demands lists the artifacts that requests wait for, sorted, with one Demand for
// each artifact. A request that was refused because loading takes longer than its
// deadline counts for RefusedDemandTTL, because its caller was told to retry.
func (o *Owner) Demands(now clock.Time) []Demand {
	var demands []Demand
	for _, q := range o.sortedQueues {
		if q.target.Artifact == "" {
			continue
		}
		if d, ok := q.demand(now); ok {
			demands = append(demands, d)
		}
	}
	return demands
}

// demand returns the demand of one queue, and false if there is none.
func (q *targetQueue) demand(now clock.Time) (Demand, bool) {
	level, earliest := numLevels, clock.Never
	include := func(l int, deadline clock.Time) {
		level, earliest = min(level, l), min(earliest, deadline)
	}
	for _, req := range q.parked {
		include(req.level, req.deadline)
	}
	for l := range q.classes {
		for _, f := range q.classes[l].flows {
			for _, req := range f.requests {
				include(l, req.deadline)
			}
		}
	}
	if now.Before(q.refusedDemand.expiresAt) {
		include(q.refusedDemand.level, q.refusedDemand.retryAt)
	}
	if level == numLevels {
		return Demand{}, false
	}
	return Demand{
		Artifact: q.target.Artifact,
		Class:    classes[level],
		MaxWait:  max(earliest.Sub(now), 0),
		Waiting:  max(q.size(), 1),
	}, true
}
