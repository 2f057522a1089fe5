package queue

import (
	"slices"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
)

// grantQueue grants the turns of one queue that are possible now.
func (o *Owner) grantQueue(now clock.Time, q *targetQueue, out *event.Outbox) {
	o.grantQueues(now, []*targetQueue{q}, out)
}

// grantAfterRelease grants turns after one of q has ended. Other queues that wait
// for busy servers may share the server that it used.
func (o *Owner) grantAfterRelease(now clock.Time, q *targetQueue, out *event.Outbox) {
	if o.queueLength == 0 {
		return
	}
	o.grantQueues(now, o.queuesInRotation(func(other *targetQueue) bool { return other == q || other.serversFull }), out)
}

// grantAll grants the turns of all queues that are possible now.
func (o *Owner) grantAll(now clock.Time, out *event.Outbox) {
	o.grantQueues(now, o.queuesInRotation(func(*targetQueue) bool { return true }), out)
}

// queuesInRotation returns the queues with waiting requests for which keep returns
// true. Each call starts with another queue, so that no queue is always first at a
// shared server.
func (o *Owner) queuesInRotation(keep func(*targetQueue) bool) []*targetQueue {
	var queues []*targetQueue
	n := len(o.sortedQueues)
	for i := range n {
		q := o.sortedQueues[(o.nextQueue+i)%n]
		if q.size() > 0 && keep(q) {
			queues = append(queues, q)
		}
	}
	o.nextQueue++
	return queues
}

// grantQueues iterates over classes before queues, so that an urgent request for one
// model doesn't wait for batch requests for another model on a shared server.
func (o *Owner) grantQueues(now clock.Time, queues []*targetQueue, out *event.Outbox) {
	for _, q := range queues {
		q.serversFull = false
		o.grantParked(now, q, out)
		o.grantStarvedBatch(now, q, out)
	}
	for level := range numLevels {
		for _, q := range queues {
			for q.classes[level].size > 0 && o.grantHead(now, q, level, out) {
			}
		}
	}
}

func (o *Owner) grantParked(now clock.Time, q *targetQueue, out *event.Outbox) {
	if len(q.parked) == 0 {
		return
	}
	for _, req := range slices.Clone(q.parked) {
		if o.tryGrantParked(now, req, out) {
			q.parked = slices.DeleteFunc(q.parked, func(p *request) bool { return p == req })
		}
	}
}

// grantStarvedBatch grants batch requests that have waited without a turn for
// MaxBatchDelay. Without it a steady stream of interactive requests would delay
// batch requests until their deadlines.
func (o *Owner) grantStarvedBatch(now clock.Time, q *targetQueue, out *event.Outbox) {
	c := &q.classes[levelBatch]
	if o.hooks.ignoreBatchBound {
		return
	}
	for c.starved(now, o.settings.MaxBatchDelay) && o.grantHead(now, q, levelBatch, out) {
	}
}

// grantHead grants or parks the first request of a class. It returns false if no
// server has capacity for the queue.
func (o *Owner) grantHead(now clock.Time, q *targetQueue, level int, out *event.Outbox) bool {
	candidates := o.candidates(now, q)
	if !anyCapacity(candidates) && !o.hooks.ignoreConcurrency {
		q.serversFull = true
		return false
	}
	c := &q.classes[level]
	f, req := c.head()
	c.dequeueHead(f, req)
	req.parked = true
	if !o.tryGrant(now, req, candidates, out) {
		q.parked = append(q.parked, req)
	}
	return true
}

func anyCapacity(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].ActiveRequests < candidates[i].Concurrency {
			return true
		}
	}
	return false
}

// candidates lists the servers that have the target loaded and accept requests that
// need not run alone. The slice is valid until the next call.
func (o *Owner) candidates(now clock.Time, q *targetQueue) []Candidate {
	all := o.loadedServers(now, q)
	return slices.DeleteFunc(all, func(c Candidate) bool {
		return c.server.reservedFor != nil || (c.server.aloneRequest() != nil && !o.hooks.ignoreAlone)
	})
}

// loadedServers lists the servers that have the target loaded and accept new requests.
func (o *Owner) loadedServers(now clock.Time, q *targetQueue) []Candidate {
	candidates := o.candidateBuffer[:0]
	for _, r := range o.targetReplicas(q.target) {
		if r.State != Loaded || !r.usable() {
			continue
		}
		s := o.server(r.Backend)
		if s.leaving || now.Before(s.blockedUntil) {
			continue
		}
		candidates = append(candidates, Candidate{Replica: r, ActiveRequests: s.activeRequests(&r), OwnTurns: len(s.turns), server: s})
	}
	o.candidateBuffer = candidates
	return candidates
}

// tryGrantParked grants a parked request if there is a server for it now.
func (o *Owner) tryGrantParked(now clock.Time, req *request, out *event.Outbox) bool {
	if req.ask.Alone {
		return o.tryGrantAlone(now, req, out)
	}
	return o.tryGrant(now, req, o.candidates(now, req.queue), out)
}

// tryGrant grants a request one of the candidates if the picker chooses one.
func (o *Owner) tryGrant(now clock.Time, req *request, candidates []Candidate, out *event.Outbox) bool {
	if req.ask.Alone && !o.hooks.ignoreAlone {
		return o.tryGrantAlone(now, req, out)
	}
	if len(candidates) == 0 {
		return false
	}
	i := o.settings.Picker.Pick(&req.ask, candidates)
	if o.hooks.ignoreConcurrency && i < 0 {
		i = 0
	}
	return i >= 0 && o.grant(now, req, &candidates[i], out)
}

// tryGrantAlone grants a request that must run alone a server without other turns of
// this owner. Until there is one it keeps a server reserved, because under steady
// load no server would ever become empty.
func (o *Owner) tryGrantAlone(now clock.Time, req *request, out *event.Outbox) bool {
	servers := o.loadedServers(now, req.queue)
	if r := req.reservedServer; r != nil && !slices.ContainsFunc(servers, func(c Candidate) bool { return c.server == r }) {
		o.cancelReservation(req)
	}
	if until, ok := o.aloneDigests[req.ask.Digest]; ok && now.Before(until) {
		o.cancelReservation(req)
		return false
	}
	best := leastBusyServer(req, servers)
	if best == nil {
		return false
	}
	if best.OwnTurns > 0 {
		o.cancelReservation(req)
		req.reservedServer, best.server.reservedFor = best.server, req
		return false
	}
	return o.grant(now, req, best, out)
}

// leastBusyServer returns the server with the fewest turns in use that req may use, or
// the server that is already reserved for it.
func leastBusyServer(req *request, servers []Candidate) *Candidate {
	var best *Candidate
	for i := range servers {
		c := &servers[i]
		if c.server == req.reservedServer {
			return c
		}
		if c.server.reservedFor != nil || c.server.aloneRequest() != nil || !NotAvoided(&req.ask, c) {
			continue
		}
		if best == nil || c.OwnTurns < best.OwnTurns || (c.OwnTurns == best.OwnTurns && c.ActiveRequests < best.ActiveRequests) {
			best = c
		}
	}
	return best
}

// grant gives a request a turn at a server. It returns false if an invariant does
// not hold.
func (o *Owner) grant(now clock.Time, req *request, c *Candidate, out *event.Outbox) bool {
	if !o.checkGrant(now, req, c) {
		return false
	}
	s := c.server
	o.cancelReservation(req)
	req.parked = false
	req.server, req.address, req.grantedAt = s, c.Address, now
	s.turns = append(s.turns, req)
	o.queueLength--
	req.queue.turnsInUse++
	req.queue.classes[req.level].lastGrant = now
	if req.ask.Alone {
		o.aloneDigests[req.ask.Digest] = clock.Never
	}
	o.timers.Set(req.ask.Request, now.Add(o.settings.GrantCheckInterval))
	o.accuracy.recordGrant(now, req)
	o.sendGrant(req, out)
	return true
}

// checkGrant checks the invariants of a grant. If one does not hold, the request
// continues to wait.
func (o *Owner) checkGrant(now clock.Time, req *request, c *Candidate) bool {
	s := c.server
	batch := &req.queue.classes[levelBatch]
	switch {
	case req.server != nil:
		return o.check.Hold(false, "queue-one-turn", "%s already has a turn on %s", req.ask.Request, c.Backend)
	case len(s.turns) >= c.Concurrency:
		return o.check.Hold(false, "queue-concurrency",
			"%d turns in use on %s with a concurrency of %d", len(s.turns), c.Backend, c.Concurrency)
	case s.aloneRequest() != nil, req.ask.Alone && len(s.turns) > 0:
		return o.check.Hold(false, "queue-alone", "%s would run beside %d others on %s", req.ask.Request, len(s.turns), c.Backend)
	case req.level < levelBatch && batch.starved(now, o.settings.MaxBatchDelay):
		return o.check.Hold(false, "queue-batch-bound", "batch requests without a turn since %d, now %d", batch.lastGrant, now)
	case now.Reached(req.deadline):
		return o.check.Hold(false, "queue-deadline", "%s granted after its deadline", req.ask.Request)
	}
	return true
}
