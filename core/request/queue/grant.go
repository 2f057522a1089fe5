package queue

import (
	"slices"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
)

// pump grants what one queue can be granted now.
func (o *Owner) pump(now clock.Time, q *targetQueue, out *event.Outbox) {
	o.pumpQueues(now, []*targetQueue{q}, out)
}

// pumpAfter grants turns after one of q came free. Other queues that wait for
// room may share its server.
func (o *Owner) pumpAfter(now clock.Time, q *targetQueue, out *event.Outbox) {
	if o.waiting == 0 {
		return
	}
	o.pumpQueues(now, o.rotated(func(w *targetQueue) bool { return w == q || w.full }), out)
}

func (o *Owner) pumpAll(now clock.Time, out *event.Outbox) {
	o.pumpQueues(now, o.rotated(func(*targetQueue) bool { return true }), out)
}

// rotated returns the queues with waiting requests that pass keep, each time
// beginning with another one, so that none is always first at a shared server.
func (o *Owner) rotated(keep func(*targetQueue) bool) []*targetQueue {
	var qs []*targetQueue
	n := len(o.order)
	for i := range n {
		q := o.order[(o.next+i)%n]
		if q.size() > 0 && keep(q) {
			qs = append(qs, q)
		}
	}
	o.next++
	return qs
}

// pumpQueues goes by class before it goes by queue, so that an urgent request
// of one model is not held up by another model's batch on a shared server.
func (o *Owner) pumpQueues(now clock.Time, qs []*targetQueue, out *event.Outbox) {
	for _, q := range qs {
		q.full = false
		o.pumpParked(now, q, out)
		o.pumpOverdue(now, q, out)
	}
	for level := range levels {
		for _, q := range qs {
			for q.classes[level].size > 0 && o.grantHead(now, q, level, out) {
			}
		}
	}
}

func (o *Owner) pumpParked(now clock.Time, q *targetQueue, out *event.Outbox) {
	if len(q.parked) == 0 {
		return
	}
	for _, e := range slices.Clone(q.parked) {
		if o.place(now, e, out) {
			q.parked = slices.DeleteFunc(q.parked, func(p *entry) bool { return p == e })
		}
	}
}

// pumpOverdue grants one batch request that was passed over for too long.
// Without it a steady stream of interactive requests would hold batch work
// back until its deadline.
func (o *Owner) pumpOverdue(now clock.Time, q *targetQueue, out *event.Outbox) {
	c := &q.classes[levelBatch]
	if o.hooks.ignoreBatchBound {
		return
	}
	for c.overdue(now, o.set.MaxBatchDelay) && o.grantHead(now, q, levelBatch, out) {
	}
}

// grantHead grants or parks the head of a class. It returns false if there is
// no room for anything of the queue.
func (o *Owner) grantHead(now clock.Time, q *targetQueue, level int, out *event.Outbox) bool {
	cs := o.candidates(now, q)
	if !anyRoom(cs) && !o.hooks.ignoreConcurrency {
		q.full = true
		return false
	}
	c := &q.classes[level]
	f, e := c.head()
	c.take(f, e)
	e.parked = true
	if !o.placeIn(now, e, cs, out) {
		q.parked = append(q.parked, e)
	}
	return true
}

func anyRoom(cs []Candidate) bool {
	for i := range cs {
		if cs[i].ActiveRequests < cs[i].Concurrency {
			return true
		}
	}
	return false
}

// candidates lists the servers that have the target and may get ordinary work.
// The slice is valid until the next call.
func (o *Owner) candidates(now clock.Time, q *targetQueue) []Candidate {
	all := o.loaded(now, q)
	return slices.DeleteFunc(all, func(c Candidate) bool {
		return c.server.reserved != nil || (c.server.alone() != nil && !o.hooks.ignoreAlone)
	})
}

// loaded lists the servers that have the target and take new work.
func (o *Owner) loaded(now clock.Time, q *targetQueue) []Candidate {
	cs := o.scratch[:0]
	for _, r := range o.snapshot(q.target) {
		if r.State != Loaded || !r.usable() {
			continue
		}
		s := o.server(r.Backend)
		if s.leaving || now.Before(s.held) {
			continue
		}
		cs = append(cs, Candidate{Replica: r, ActiveRequests: s.load(&r), OwnTurns: len(s.open), server: s})
	}
	o.scratch = cs
	return cs
}

// place grants a parked request if there is a server for it now.
func (o *Owner) place(now clock.Time, e *entry, out *event.Outbox) bool {
	if e.ask.Alone {
		return o.placeAlone(now, e, out)
	}
	return o.placeIn(now, e, o.candidates(now, e.queue), out)
}

func (o *Owner) placeIn(now clock.Time, e *entry, cs []Candidate, out *event.Outbox) bool {
	if e.ask.Alone && !o.hooks.ignoreAlone {
		return o.placeAlone(now, e, out)
	}
	if len(cs) == 0 {
		return false
	}
	i := o.set.Picker.Pick(&e.ask, cs)
	if o.hooks.ignoreConcurrency && i < 0 {
		i = 0
	}
	return i >= 0 && o.grant(now, e, &cs[i], out)
}

// placeAlone grants a suspect of crashes a server on which nothing else of this
// owner runs. It keeps one free for it meanwhile: beside steady work an empty
// server would never come about.
func (o *Owner) placeAlone(now clock.Time, e *entry, out *event.Outbox) bool {
	all := o.loaded(now, e.queue)
	if r := e.reserved; r != nil && !slices.ContainsFunc(all, func(c Candidate) bool { return c.server == r }) {
		o.unreserve(e)
	}
	if until, ok := o.alone[e.ask.Digest]; ok && now.Before(until) {
		o.unreserve(e)
		return false
	}
	best := emptiest(e, all)
	if best == nil {
		return false
	}
	if best.OwnTurns > 0 {
		o.unreserve(e)
		e.reserved, best.server.reserved = best.server, e
		return false
	}
	return o.grant(now, e, best, out)
}

// emptiest returns the server with the fewest turns in use that e may have, the
// one that is already kept for it if it has one.
func emptiest(e *entry, all []Candidate) *Candidate {
	var best *Candidate
	for i := range all {
		c := &all[i]
		if c.server == e.reserved {
			return c
		}
		if c.server.reserved != nil || c.server.alone() != nil || !NotAvoided(&e.ask, c) {
			continue
		}
		if best == nil || c.OwnTurns < best.OwnTurns || (c.OwnTurns == best.OwnTurns && c.ActiveRequests < best.ActiveRequests) {
			best = c
		}
	}
	return best
}

func (o *Owner) grant(now clock.Time, e *entry, c *Candidate, out *event.Outbox) bool {
	if !o.mayGrant(now, e, c) {
		return false
	}
	s := c.server
	o.unreserve(e)
	e.parked = false
	e.server, e.address, e.granted = s, c.Address, now
	s.open = append(s.open, e)
	o.waiting--
	e.queue.running++
	e.queue.classes[e.level].granted = now
	if e.ask.Alone {
		o.alone[e.ask.Digest] = clock.Never
	}
	o.times.Set(e.ask.Request, now.Add(o.set.GrantCheckInterval))
	o.accuracy.granted(now, e)
	o.sendGrant(e, out)
	return true
}

// mayGrant asserts what must hold of a grant; if it does not, the request goes
// on waiting.
func (o *Owner) mayGrant(now clock.Time, e *entry, c *Candidate) bool {
	s := c.server
	batch := &e.queue.classes[levelBatch]
	switch {
	case e.server != nil:
		return o.check.Hold(false, "queue-one-turn", "%s has a turn on %s already", e.ask.Request, c.Backend)
	case len(s.open) >= c.Concurrency:
		return o.check.Hold(false, "queue-concurrency",
			"%d turns in use on %s, room for %d", len(s.open), c.Backend, c.Concurrency)
	case s.alone() != nil, e.ask.Alone && len(s.open) > 0:
		return o.check.Hold(false, "queue-alone", "%s beside %d others on %s", e.ask.Request, len(s.open), c.Backend)
	case e.level < levelBatch && batch.overdue(now, o.set.MaxBatchDelay):
		return o.check.Hold(false, "queue-batch-bound", "batch passed over since %d, now %d", batch.granted, now)
	case now.Reached(e.deadline):
		return o.check.Hold(false, "queue-deadline", "%s granted after its deadline", e.ask.Request)
	}
	return true
}
