package queue

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
)

// reviewDiscount divides the estimated wait for others when it is estimated
// again: a request that was taken in is given up only for a clear miss. The
// estimate wavers, and each waver would refuse requests that would have been
// served.
const reviewDiscount = 2

func (o *Owner) reviewAll(now clock.Time, out *event.Outbox) {
	o.pumpAll(now, out)
	for _, q := range o.order {
		if q.size() > 0 {
			o.refuseHopeless(now, q, out)
		}
	}
	o.forgetServers(now)
	o.forgetIdle(now)
	o.review = clock.Never
	if o.waiting > 0 {
		o.review = now.Add(o.set.ReviewInterval)
	}
}

// refuseHopeless refuses what can't be served in time any more, so that its
// caller need not wait for the deadline to hear it.
func (o *Owner) refuseHopeless(now clock.Time, q *targetQueue, out *event.Outbox) {
	v := o.view(now, q)
	for _, e := range o.hopeless(now, q, &v) {
		if !v.offers(&e.ask) {
			o.refuse(now, e, ReasonNoServer, 0, out)
			continue
		}
		o.refuse(now, e, ReasonDeadline, max(v.ready, minRetry), out)
	}
}

func (o *Owner) hopeless(now clock.Time, q *targetQueue, v *view) []*entry {
	var gone []*entry
	for _, e := range q.parked {
		if !v.offers(&e.ask) || v.ready > e.deadline.Sub(now) {
			gone = append(gone, e)
		}
	}
	for l := range q.classes {
		for _, f := range q.classes[l].flows {
			p := place{start: max(q.classes[l].virtual, f.finish)}
			for _, e := range f.entries {
				wait := o.waitAt(e, p, v) / reviewDiscount
				if !v.offers(&e.ask) || v.ready+wait > e.deadline.Sub(now) {
					gone = append(gone, e)
					continue
				}
				p.own++
				p.start += cost(e) / f.weight
			}
		}
	}
	return gone
}

// forgetServers drops servers of which nothing needs to be remembered.
func (o *Owner) forgetServers(now clock.Time) {
	for b, s := range o.servers {
		if s.leaving && len(s.open) == 0 {
			_, s.leaving = o.members.Backend(b)
		}
		if s.idle(now) {
			delete(o.servers, b)
		}
	}
	for d, until := range o.alone {
		if now.Reached(until) {
			delete(o.alone, d)
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
	for _, q := range o.order {
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
	level, earliest := levels, clock.Never
	note := func(l int, deadline clock.Time) {
		level, earliest = min(level, l), min(earliest, deadline)
	}
	for _, e := range q.parked {
		note(e.level, e.deadline)
	}
	for l := range q.classes {
		for _, f := range q.classes[l].flows {
			for _, e := range f.entries {
				note(l, e.deadline)
			}
		}
	}
	if now.Before(q.missed.until) {
		note(q.missed.level, q.missed.ready)
	}
	if level == levels {
		return Demand{}, false
	}
	return Demand{
		Artifact: q.target.Artifact,
		Class:    classes[level],
		MaxWait:  max(earliest.Sub(now), 0),
		Waiting:  max(q.size(), 1),
	}, true
}
