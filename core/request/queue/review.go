package queue

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
)

// reviewWaitDivisor divides the estimated wait for others when it is estimated
// again: a request that was taken in is given up only for a clear miss. The
// estimate wavers, and each waver would refuse requests that would have been
// served.
const reviewWaitDivisor = 2

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

// refuseUnservable refuses what can't be served in time any more, so that its
// caller need not wait for the deadline to hear it.
func (o *Owner) refuseUnservable(now clock.Time, q *targetQueue, out *event.Outbox) {
	v := o.viewCapacity(now, q)
	for _, e := range o.findUnservable(now, q, &v) {
		if !v.hasServerFor(&e.ask) {
			o.refuse(now, e, ReasonNoServer, 0, out)
			continue
		}
		o.refuse(now, e, ReasonDeadline, max(v.readyIn, minRetryAfter), out)
	}
}

func (o *Owner) findUnservable(now clock.Time, q *targetQueue, v *capacityView) []*request {
	var gone []*request
	for _, e := range q.parked {
		if !v.hasServerFor(&e.ask) || v.readyIn > e.deadline.Sub(now) {
			gone = append(gone, e)
		}
	}
	for l := range q.classes {
		for _, f := range q.classes[l].flows {
			p := position{virtualStart: max(q.classes[l].virtualTime, f.virtualFinish)}
			for _, e := range f.requests {
				wait := o.estimateWaitAt(e, p, v) / reviewWaitDivisor
				if !v.hasServerFor(&e.ask) || v.readyIn+wait > e.deadline.Sub(now) {
					gone = append(gone, e)
					continue
				}
				p.ownAhead++
				p.virtualStart += tokenCost(e) / f.weight
			}
		}
	}
	return gone
}

// removeIdleServers drops servers of which nothing needs to be remembered.
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

// Demand is what should be loaded in this zone for those who wait.
type Demand struct {
	Artifact id.Artifact
	Class    config.Class  // the most urgent one that waits
	MaxWait  time.Duration // until the earliest deadline
	Waiting  int           // requests; at least 1
}

// Demands lists the artifacts that requests wait for, sorted, each once however
// many wait. A request that was refused because the load takes longer than its
// deadline counts as one for a while, as its caller was told to come back.
func (o *Owner) Demands(now clock.Time) []Demand {
	var ds []Demand
	for _, q := range o.sortedQueues {
		if q.target.Artifact == "" {
			continue
		}
		if d, ok := q.demand(now); ok {
			ds = append(ds, d)
		}
	}
	return ds
}

func (q *targetQueue) demand(now clock.Time) (Demand, bool) {
	level, earliest := numLevels, clock.Never
	note := func(l int, deadline clock.Time) {
		level, earliest = min(level, l), min(earliest, deadline)
	}
	for _, e := range q.parked {
		note(e.level, e.deadline)
	}
	for l := range q.classes {
		for _, f := range q.classes[l].flows {
			for _, e := range f.requests {
				note(l, e.deadline)
			}
		}
	}
	if now.Before(q.refusedDemand.expiresAt) {
		note(q.refusedDemand.level, q.refusedDemand.retryAt)
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
