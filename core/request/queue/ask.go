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

// HandleAcquire accepts a request for a turn, or answers it again. There is one
// entry for each request, so that a duplicate or repeated message has no effect
// except that a grant whose message was lost is sent again.
func (o *Owner) HandleAcquire(now clock.Time, from id.Instance, m message.TurnRequest, out *event.Outbox) {
	o.handleTimers(now, out)
	req := o.requests[m.Request]
	if req != nil && m.Turn < req.ask.Turn {
		return // late message: the requester has asked for another turn since
	}
	if req != nil && m.Turn > req.ask.Turn {
		// Its TurnRelease was lost or is late: the previous turn has ended.
		o.removeRequest(now, req)
		o.grantAfterRelease(now, req.queue, out)
		req = nil
	}
	if req == nil {
		o.handleNewRequest(now, from, m, out)
		return
	}
	req.lastAsked = now
	if req.server != nil {
		o.sendGrant(req, out)
		return
	}
	o.sendWaiting(now, req, out)
}

// handleNewRequest enqueues a new request or refuses it.
func (o *Owner) handleNewRequest(now clock.Time, from id.Instance, m message.TurnRequest, out *event.Outbox) {
	if o.settings.FIFO {
		m.Account, m.Class = "", config.Interactive
	}
	req := &request{ask: m, requester: from, level: levelOf(m.Class), deadline: now.Add(m.TimeToDeadline), lastAsked: now, enqueuedAt: now}
	req.queue = o.queue(Target{Artifact: m.Artifact, Service: m.Service})
	if o.draining && !o.isLastResort(from) {
		o.sendRefused(req, ReasonMoved, 0, out)
		return
	}
	capacity := o.viewCapacity(now, req.queue)
	if reason, after, ok := o.checkAdmission(now, req, &capacity); !ok {
		o.sendRefused(req, reason, after, out)
		return
	}
	if req.queue.size() >= o.settings.MaxQueueLength && !o.evict(now, req, &capacity, out) {
		o.sendRefused(req, ReasonFull, o.drainTime(req.queue, &capacity), out)
		return
	}
	o.enqueue(now, req)
	o.grantQueue(now, req.queue, out)
	if req.server == nil && o.requests[m.Request] == req {
		o.sendWaiting(now, req, out)
	}
}

// checkAdmission reports whether a new request can be served by its deadline. If
// not, it returns the reason and the time after which the caller may retry.
func (o *Owner) checkAdmission(now clock.Time, req *request, capacity *capacityView) (Reason, time.Duration, bool) {
	if capacity.usableServers == 0 || !capacity.hasServerFor(&req.ask) {
		return ReasonNoServer, 0, false
	}
	if req.ask.TimeToDeadline <= 0 || (req.ask.Spillover && capacity.notLoading) {
		return ReasonDeadline, max(capacity.readyIn, minRetryAfter), false
	}
	wait := o.estimateWait(req, capacity)
	req.estimatedWait = capacity.readyIn + wait
	if req.estimatedWait <= req.ask.TimeToDeadline {
		return "", 0, true
	}
	if capacity.readyIn > req.ask.TimeToDeadline {
		// A request that comes from another zone already counts as demand
		// there. Counting it here too would load the target in every zone.
		if req.ask.Spillover {
			return ReasonDeadline, max(capacity.readyIn, minRetryAfter), false
		}
		req.queue.refusedDemand = refusedDemand{level: req.level, expiresAt: now.Add(capacity.readyIn + o.settings.RefusedDemandTTL), retryAt: now.Add(capacity.readyIn)}
		return ReasonDeadline, max(capacity.readyIn, minRetryAfter), false
	}
	return ReasonDeadline, max(req.estimatedWait-req.ask.TimeToDeadline, minRetryAfter), false
}

// minRetryAfter is the shortest time after which a caller is told to retry.
const minRetryAfter = 100 * time.Millisecond

func (o *Owner) enqueue(now clock.Time, req *request) {
	o.requests[req.ask.Request] = req
	req.queue.classes[req.level].push(now, req, o.weight(req.ask.Account))
	o.queueLength++
	o.timers.Set(req.ask.Request, min(req.deadline, req.lastAsked.Add(o.settings.StaleAfter)))
	if o.nextReview == clock.Never {
		o.nextReview = now.Add(o.settings.ReviewInterval)
	}
}

// evict makes room in a full queue by refusing the newest request of the account
// that has the most waiting requests for its weight, unless that is the account of
// req. Otherwise an account that floods the queue would cause the requests of all
// others to be refused.
func (o *Owner) evict(now clock.Time, req *request, capacity *capacityView, out *event.Outbox) bool {
	victim := o.findEvictable(req)
	if victim == nil {
		return false
	}
	o.refuse(now, victim, ReasonFull, o.drainTime(req.queue, capacity), out)
	return true
}

// findEvictable returns the request that evict refuses in favour of req, nil if there
// is none.
func (o *Owner) findEvictable(req *request) *request {
	class := &req.queue.classes[req.level]
	largestShare := 1 / o.weight(req.ask.Account)
	if f := class.flow(req.ask.Account); f != nil {
		largestShare = float64(len(f.requests)+1) / f.weight
	}
	var largest *flow
	for l := req.level; l < numLevels; l++ {
		for _, f := range req.queue.classes[l].flows {
			if share := float64(len(f.requests)) / f.weight; share > largestShare {
				largest, largestShare = f, share
			}
		}
	}
	if largest == nil {
		return nil
	}
	return largest.requests[len(largest.requests)-1]
}

// HandleRelease ends a turn, or removes a waiting request. Duplicates, and messages
// for a turn that was replaced by a later one, have no effect.
func (o *Owner) HandleRelease(now clock.Time, from id.Instance, m message.TurnRelease, out *event.Outbox) {
	o.handleTimers(now, out)
	req := o.requests[m.Request]
	if req == nil || req.requester != from || m.Turn < req.ask.Turn {
		return
	}
	if s := req.server; s != nil {
		o.updateServer(now, req, s, m)
	}
	o.removeRequest(now, req)
	o.grantAfterRelease(now, req.queue, out)
}

// updateServer records what the end of a turn shows about its server.
func (o *Owner) updateServer(now clock.Time, req *request, s *server, m message.TurnRelease) {
	if m.Backend != "" && m.Backend != s.name {
		return
	}
	switch {
	case m.ServerFailed:
		s.blockedUntil = now.Add(o.settings.FailureBackoff)
	case m.ServerLeaving:
		s.leaving = true
	default:
		req.queue.recordServiceTime(m.ServiceTime)
	}
	if m.ServerFailed && req.ask.Alone {
		o.aloneDigests[req.ask.Digest] = now.Add(o.settings.SuspectDelay)
	}
}

// removeRequest removes a request, whether it waits or has a turn.
func (o *Owner) removeRequest(now clock.Time, req *request) {
	delete(o.requests, req.ask.Request)
	o.timers.Delete(req.ask.Request)
	o.cancelReservation(req)
	if req.server != nil {
		req.server.close(req, now)
		req.queue.turnsInUse--
		if req.ask.Alone && o.aloneDigests[req.ask.Digest] == clock.Never {
			delete(o.aloneDigests, req.ask.Digest)
		}
		return
	}
	o.queueLength--
	o.dequeue(req)
}

// dequeue removes a waiting request from its queue.
func (o *Owner) dequeue(req *request) {
	if !req.parked {
		req.queue.classes[req.level].remove(req)
		return
	}
	req.queue.parked = slices.DeleteFunc(req.queue.parked, func(p *request) bool { return p == req })
}

func (o *Owner) cancelReservation(req *request) {
	if req.reservedServer != nil {
		req.reservedServer.reservedFor = nil
		req.reservedServer = nil
	}
}

// handleTimer handles the timer of a request.
func (o *Owner) handleTimer(now clock.Time, req *request, out *event.Outbox) {
	switch {
	case req.server != nil:
		o.sendGrant(req, out)
		o.timers.Set(req.ask.Request, now.Add(o.settings.GrantCheckInterval))
	case now.Reached(req.deadline):
		o.refuse(now, req, ReasonDeadline, minRetryAfter, out)
	case now.Reached(req.lastAsked.Add(o.settings.StaleAfter)):
		// Its requester is gone, or asked another owner and the message that
		// withdraws the request was lost.
		o.removeRequest(now, req)
	default:
		o.timers.Set(req.ask.Request, min(req.deadline, req.lastAsked.Add(o.settings.StaleAfter)))
	}
}

// refuse refuses a request that was enqueued.
func (o *Owner) refuse(now clock.Time, req *request, r Reason, after time.Duration, out *event.Outbox) {
	if r != ReasonMoved {
		o.accuracy.RefusedWhileWaiting++
	}
	o.removeRequest(now, req)
	o.sendRefused(req, r, after, out)
}

func (o *Owner) sendRefused(req *request, r Reason, after time.Duration, out *event.Outbox) {
	out.Send(req.requester, message.TurnRefused{
		Request: req.ask.Request, Reason: string(r), RetryAfter: after, Turn: req.ask.Turn,
	})
}

func (o *Owner) sendWaiting(now clock.Time, req *request, out *event.Outbox) {
	capacity := o.viewCapacity(now, req.queue)
	out.Send(req.requester, message.TurnQueued{
		Request: req.ask.Request, Estimate: capacity.readyIn + o.estimateWait(req, &capacity), Turn: req.ask.Turn,
	})
}

func (o *Owner) sendGrant(req *request, out *event.Outbox) {
	out.Send(req.requester, message.TurnGranted{
		Request: req.ask.Request, Backend: req.server.name, Address: req.address, Turn: req.ask.Turn,
	})
}

// isLastResort reports whether an owner that is stopping must still accept a
// request: one of its own, if no other instance of the zone can.
func (o *Owner) isLastResort(from id.Instance) bool {
	return from == o.settings.Instance && len(o.members.InZone(o.settings.Zone)) == 0
}
