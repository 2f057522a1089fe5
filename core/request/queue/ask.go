package queue

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// HandleAcquire takes a request in, or answers it again: there is one entry for each
// request, so that a doubled or repeated ask changes nothing, and a grant whose
// message was lost is sent again as it was.
func (o *Owner) HandleAcquire(now clock.Time, from id.Instance, m message.TurnAsk, out *event.Outbox) {
	o.handleTimers(now, out)
	e := o.requests[m.Request]
	if e != nil && m.Turn < e.ask.Turn {
		return // late: the entry asks for another turn already
	}
	if e != nil && m.Turn > e.ask.Turn {
		// Its TurnDone was lost or is late: the turn before is over.
		o.removeRequest(now, e)
		o.grantAfterRelease(now, e.queue, out)
		e = nil
	}
	if e == nil {
		o.handleNewRequest(now, from, m, out)
		return
	}
	e.lastAsked = now
	if e.server != nil {
		o.sendGrant(e, out)
		return
	}
	o.sendWaiting(now, e, out)
}

func (o *Owner) handleNewRequest(now clock.Time, from id.Instance, m message.TurnAsk, out *event.Outbox) {
	if o.settings.FIFO {
		m.Account, m.Class = "", config.Interactive
	}
	e := &request{ask: m, requester: from, level: levelOf(m.Class), deadline: now.Add(m.Within), lastAsked: now, enqueuedAt: now}
	e.queue = o.queue(Target{Artifact: m.Artifact, Service: m.Service})
	if o.draining && !o.isLastResort(from) {
		o.sendRefused(e, ReasonMoved, 0, out)
		return
	}
	v := o.viewCapacity(now, e.queue)
	if reason, after, ok := o.checkAdmission(now, e, &v); !ok {
		o.sendRefused(e, reason, after, out)
		return
	}
	if e.queue.size() >= o.settings.MaxQueueLength && !o.evict(now, e, &v, out) {
		o.sendRefused(e, ReasonFull, o.drainTime(e.queue, &v), out)
		return
	}
	o.enqueue(now, e)
	o.grantQueue(now, e.queue, out)
	if e.server == nil && o.requests[m.Request] == e {
		o.sendWaiting(now, e, out)
	}
}

// checkAdmission says whether a new request can be served by its deadline.
func (o *Owner) checkAdmission(now clock.Time, e *request, v *capacityView) (Reason, time.Duration, bool) {
	if v.usableServers == 0 || !v.hasServerFor(&e.ask) {
		return ReasonNoServer, 0, false
	}
	if e.ask.Within <= 0 || (e.ask.Spill && v.notLoading) {
		return ReasonDeadline, max(v.readyIn, minRetryAfter), false
	}
	wait := o.estimateWait(e, v)
	e.estimatedWait = v.readyIn + wait
	if e.estimatedWait <= e.ask.Within {
		return "", 0, true
	}
	if v.readyIn > e.ask.Within {
		// A spilled request was noted as a demand where it was asked for first;
		// noted again, it would have the target loaded in every zone.
		if e.ask.Spill {
			return ReasonDeadline, max(v.readyIn, minRetryAfter), false
		}
		e.queue.refusedDemand = refusedDemand{level: e.level, expiresAt: now.Add(v.readyIn + o.settings.RefusedDemandTTL), retryAt: now.Add(v.readyIn)}
		return ReasonDeadline, max(v.readyIn, minRetryAfter), false
	}
	return ReasonDeadline, max(e.estimatedWait-e.ask.Within, minRetryAfter), false
}

// minRetryAfter is the shortest time a caller is told to come back after.
const minRetryAfter = 100 * time.Millisecond

func (o *Owner) enqueue(now clock.Time, e *request) {
	o.requests[e.ask.Request] = e
	e.queue.classes[e.level].push(now, e, o.weight(e.ask.Account))
	o.queueLength++
	o.timers.Set(e.ask.Request, min(e.deadline, e.lastAsked.Add(o.settings.StaleAfter)))
	if o.nextReview == clock.Never {
		o.nextReview = now.Add(o.settings.ReviewInterval)
	}
}

// evict makes room in a full queue by refusing the newest request of the
// account that holds most of it for its weight, unless that is the asker.
// Otherwise an account that floods the queue would have the others refused.
func (o *Owner) evict(now clock.Time, e *request, v *capacityView, out *event.Outbox) bool {
	victim := o.findEvictable(e)
	if victim == nil {
		return false
	}
	o.refuse(now, victim, ReasonFull, o.drainTime(e.queue, v), out)
	return true
}

func (o *Owner) findEvictable(e *request) *request {
	c := &e.queue.classes[e.level]
	most := 1 / o.weight(e.ask.Account)
	if f := c.flow(e.ask.Account); f != nil {
		most = float64(len(f.requests)+1) / f.weight
	}
	var largest *flow
	for l := e.level; l < numLevels; l++ {
		for _, f := range e.queue.classes[l].flows {
			if n := float64(len(f.requests)) / f.weight; n > most {
				largest, most = f, n
			}
		}
	}
	if largest == nil {
		return nil
	}
	return largest.requests[len(largest.requests)-1]
}

// HandleRelease gives a turn back, or withdraws a waiting request. A repeat, or one for
// a turn that was voided, changes nothing.
func (o *Owner) HandleRelease(now clock.Time, from id.Instance, m message.TurnDone, out *event.Outbox) {
	o.handleTimers(now, out)
	e := o.requests[m.Request]
	if e == nil || e.requester != from || m.Turn < e.ask.Turn {
		return
	}
	if s := e.server; s != nil {
		o.updateServer(now, e, s, m)
	}
	o.removeRequest(now, e)
	o.grantAfterRelease(now, e.queue, out)
}

// updateServer takes in what a finished turn says of its server.
func (o *Owner) updateServer(now clock.Time, e *request, s *server, m message.TurnDone) {
	if m.Backend != "" && m.Backend != s.name {
		return
	}
	switch {
	case m.Broken:
		s.blockedUntil = now.Add(o.settings.FailureBackoff)
	case m.Leaving:
		s.leaving = true
	default:
		e.queue.recordServiceTime(m.Service)
	}
	if m.Broken && e.ask.Alone {
		o.aloneDigests[e.ask.Digest] = now.Add(o.settings.SuspectDelay)
	}
}

// removeRequest forgets an entry, whether it waits or has a turn.
func (o *Owner) removeRequest(now clock.Time, e *request) {
	delete(o.requests, e.ask.Request)
	o.timers.Delete(e.ask.Request)
	o.cancelReservation(e)
	if e.server != nil {
		e.server.close(e, now)
		e.queue.turnsInUse--
		if e.ask.Alone && o.aloneDigests[e.ask.Digest] == clock.Never {
			delete(o.aloneDigests, e.ask.Digest)
		}
		return
	}
	o.queueLength--
	o.dequeue(e)
}

func (o *Owner) dequeue(e *request) {
	if !e.parked {
		e.queue.classes[e.level].remove(e)
		return
	}
	e.queue.parked = slices.DeleteFunc(e.queue.parked, func(p *request) bool { return p == e })
}

func (o *Owner) cancelReservation(e *request) {
	if e.reservedServer != nil {
		e.reservedServer.reservedFor = nil
		e.reservedServer = nil
	}
}

// handleTimer does what the time of an entry asks for.
func (o *Owner) handleTimer(now clock.Time, e *request, out *event.Outbox) {
	switch {
	case e.server != nil:
		o.sendGrant(e, out)
		o.timers.Set(e.ask.Request, now.Add(o.settings.GrantCheckInterval))
	case now.Reached(e.deadline):
		o.refuse(now, e, ReasonDeadline, minRetryAfter, out)
	case now.Reached(e.lastAsked.Add(o.settings.StaleAfter)):
		// Its entry died, or went to another owner and its word was lost.
		o.removeRequest(now, e)
	default:
		o.timers.Set(e.ask.Request, min(e.deadline, e.lastAsked.Add(o.settings.StaleAfter)))
	}
}

// refuse refuses a request that was taken in.
func (o *Owner) refuse(now clock.Time, e *request, r Reason, after time.Duration, out *event.Outbox) {
	if r != ReasonMoved {
		o.accuracy.RefusedWhileWaiting++
	}
	o.removeRequest(now, e)
	o.sendRefused(e, r, after, out)
}

func (o *Owner) sendRefused(e *request, r Reason, after time.Duration, out *event.Outbox) {
	out.Send(e.requester, message.TurnRefused{
		Request: e.ask.Request, Reason: string(r), RetryAfter: after, Turn: e.ask.Turn,
	})
}

func (o *Owner) sendWaiting(now clock.Time, e *request, out *event.Outbox) {
	v := o.viewCapacity(now, e.queue)
	out.Send(e.requester, message.TurnWaiting{
		Request: e.ask.Request, Estimate: v.readyIn + o.estimateWait(e, &v), Turn: e.ask.Turn,
	})
}

func (o *Owner) sendGrant(e *request, out *event.Outbox) {
	out.Send(e.requester, message.TurnGranted{
		Request: e.ask.Request, Backend: e.server.name, Address: e.address, Turn: e.ask.Turn,
	})
}

// isLastResort reports whether a draining owner still has to take a request: its
// own, when no other instance of the zone could.
func (o *Owner) isLastResort(from id.Instance) bool {
	return from == o.settings.Instance && len(o.members.InZone(o.settings.Zone)) == 0
}
