package queue

import (
	"slices"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
)

// grantQueue grants what one queue can be granted now.
func (o *Owner) grantQueue(now clock.Time, q *targetQueue, out *event.Outbox) {
	o.grantQueues(now, []*targetQueue{q}, out)
}

// grantAfterRelease grants turns after one of q came free. Other queues that wait for
// room may share its server.
func (o *Owner) grantAfterRelease(now clock.Time, q *targetQueue, out *event.Outbox) {
	if o.queueLength == 0 {
		return
	}
	o.grantQueues(now, o.queuesInRotation(func(w *targetQueue) bool { return w == q || w.serversFull }), out)
}

func (o *Owner) grantAll(now clock.Time, out *event.Outbox) {
	o.grantQueues(now, o.queuesInRotation(func(*targetQueue) bool { return true }), out)
}

// queuesInRotation returns the queues with waiting requests that pass keep, each time
// beginning with another one, so that none is always first at a shared server.
func (o *Owner) queuesInRotation(keep func(*targetQueue) bool) []*targetQueue {
	var qs []*targetQueue
	n := len(o.sortedQueues)
	for i := range n {
		q := o.sortedQueues[(o.nextQueue+i)%n]
		if q.size() > 0 && keep(q) {
			qs = append(qs, q)
		}
	}
	o.nextQueue++
	return qs
}

// grantQueues goes by class before it goes by queue, so that an urgent request
// of one model is not held up by another model's batch on a shared server.
func (o *Owner) grantQueues(now clock.Time, qs []*targetQueue, out *event.Outbox) {
	for _, q := range qs {
		q.serversFull = false
		o.grantParked(now, q, out)
		o.grantStarvedBatch(now, q, out)
	}
	for level := range numLevels {
		for _, q := range qs {
			for q.classes[level].size > 0 && o.grantHead(now, q, level, out) {
			}
		}
	}
}

func (o *Owner) grantParked(now clock.Time, q *targetQueue, out *event.Outbox) {
	if len(q.parked) == 0 {
		return
	}
	for _, e := range slices.Clone(q.parked) {
		if o.tryGrantParked(now, e, out) {
			q.parked = slices.DeleteFunc(q.parked, func(p *request) bool { return p == e })
		}
	}
}

// grantStarvedBatch grants one batch request that was passed over for too long.
// Without it a steady stream of interactive requests would hold batch work
// back until its deadline.
func (o *Owner) grantStarvedBatch(now clock.Time, q *targetQueue, out *event.Outbox) {
	c := &q.classes[levelBatch]
	if o.hooks.ignoreBatchBound {
		return
	}
	for c.starved(now, o.settings.MaxBatchDelay) && o.grantHead(now, q, levelBatch, out) {
	}
}

// grantHead grants or parks the head of a class. It returns false if there is
// no room for anything of the queue.
func (o *Owner) grantHead(now clock.Time, q *targetQueue, level int, out *event.Outbox) bool {
	cs := o.candidates(now, q)
	if !anyCapacity(cs) && !o.hooks.ignoreConcurrency {
		q.serversFull = true
		return false
	}
	c := &q.classes[level]
	f, e := c.head()
	c.dequeueHead(f, e)
	e.parked = true
	if !o.tryGrant(now, e, cs, out) {
		q.parked = append(q.parked, e)
	}
	return true
}

func anyCapacity(cs []Candidate) bool {
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
	all := o.loadedServers(now, q)
	return slices.DeleteFunc(all, func(c Candidate) bool {
		return c.server.reservedFor != nil || (c.server.aloneRequest() != nil && !o.hooks.ignoreAlone)
	})
}

// loadedServers lists the servers that have the target and take new work.
func (o *Owner) loadedServers(now clock.Time, q *targetQueue) []Candidate {
	cs := o.candidateBuffer[:0]
	for _, r := range o.targetReplicas(q.target) {
		if r.State != Loaded || !r.usable() {
			continue
		}
		s := o.server(r.Backend)
		if s.leaving || now.Before(s.blockedUntil) {
			continue
		}
		cs = append(cs, Candidate{Replica: r, ActiveRequests: s.activeRequests(&r), OwnTurns: len(s.turns), server: s})
	}
	o.candidateBuffer = cs
	return cs
}

// tryGrantParked grants a parked request if there is a server for it now.
func (o *Owner) tryGrantParked(now clock.Time, e *request, out *event.Outbox) bool {
	if e.ask.Alone {
		return o.tryGrantAlone(now, e, out)
	}
	return o.tryGrant(now, e, o.candidates(now, e.queue), out)
}

func (o *Owner) tryGrant(now clock.Time, e *request, cs []Candidate, out *event.Outbox) bool {
	if e.ask.Alone && !o.hooks.ignoreAlone {
		return o.tryGrantAlone(now, e, out)
	}
	if len(cs) == 0 {
		return false
	}
	i := o.settings.Picker.Pick(&e.ask, cs)
	if o.hooks.ignoreConcurrency && i < 0 {
		i = 0
	}
	return i >= 0 && o.grant(now, e, &cs[i], out)
}

// tryGrantAlone grants a suspect of crashes a server on which nothing else of this
// owner runs. It keeps one free for it meanwhile: beside steady work an empty
// server would never come about.
func (o *Owner) tryGrantAlone(now clock.Time, e *request, out *event.Outbox) bool {
	all := o.loadedServers(now, e.queue)
	if r := e.reservedServer; r != nil && !slices.ContainsFunc(all, func(c Candidate) bool { return c.server == r }) {
		o.cancelReservation(e)
	}
	if until, ok := o.aloneDigests[e.ask.Digest]; ok && now.Before(until) {
		o.cancelReservation(e)
		return false
	}
	best := leastBusyServer(e, all)
	if best == nil {
		return false
	}
	if best.OwnTurns > 0 {
		o.cancelReservation(e)
		e.reservedServer, best.server.reservedFor = best.server, e
		return false
	}
	return o.grant(now, e, best, out)
}

// leastBusyServer returns the server with the fewest turns in use that e may have, the
// one that is already kept for it if it has one.
func leastBusyServer(e *request, all []Candidate) *Candidate {
	var best *Candidate
	for i := range all {
		c := &all[i]
		if c.server == e.reservedServer {
			return c
		}
		if c.server.reservedFor != nil || c.server.aloneRequest() != nil || !NotAvoided(&e.ask, c) {
			continue
		}
		if best == nil || c.OwnTurns < best.OwnTurns || (c.OwnTurns == best.OwnTurns && c.ActiveRequests < best.ActiveRequests) {
			best = c
		}
	}
	return best
}

func (o *Owner) grant(now clock.Time, e *request, c *Candidate, out *event.Outbox) bool {
	if !o.checkGrant(now, e, c) {
		return false
	}
	s := c.server
	o.cancelReservation(e)
	e.parked = false
	e.server, e.address, e.grantedAt = s, c.Address, now
	s.turns = append(s.turns, e)
	o.queueLength--
	e.queue.turnsInUse++
	e.queue.classes[e.level].lastGrant = now
	if e.ask.Alone {
		o.aloneDigests[e.ask.Digest] = clock.Never
	}
	o.timers.Set(e.ask.Request, now.Add(o.settings.GrantCheckInterval))
	o.accuracy.recordGrant(now, e)
	o.sendGrant(e, out)
	return true
}

// checkGrant asserts what must hold of a grant; if it does not, the request goes
// on waiting.
func (o *Owner) checkGrant(now clock.Time, e *request, c *Candidate) bool {
	s := c.server
	batch := &e.queue.classes[levelBatch]
	switch {
	case e.server != nil:
		return o.check.Hold(false, "queue-one-turn", "%s has a turn on %s already", e.ask.Request, c.Backend)
	case len(s.turns) >= c.Concurrency:
		return o.check.Hold(false, "queue-concurrency",
			"%d turns in use on %s, room for %d", len(s.turns), c.Backend, c.Concurrency)
	case s.aloneRequest() != nil, e.ask.Alone && len(s.turns) > 0:
		return o.check.Hold(false, "queue-alone", "%s beside %d others on %s", e.ask.Request, len(s.turns), c.Backend)
	case e.level < levelBatch && batch.starved(now, o.settings.MaxBatchDelay):
		return o.check.Hold(false, "queue-batch-bound", "batch passed over since %d, now %d", batch.lastGrant, now)
	case now.Reached(e.deadline):
		return o.check.Hold(false, "queue-deadline", "%s granted after its deadline", e.ask.Request)
	}
	return true
}
