package instance

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/rendezvous"
)

const (
	// handoverResendInterval is the time between two sends of the same handover.
	handoverResendInterval = 200 * time.Millisecond
	// handoverTimeout ends a handover that is not acknowledged. What was offered
	// then stays unused until the session has ended in the table.
	handoverTimeout = 3 * time.Second
	// sessionEndTimeout limits the wait until the session has ended in the table.
	// After it the process exits and the session expires by itself.
	sessionEndTimeout    = 3 * time.Second
	shutdownTickInterval = 50 * time.Millisecond
)

// shutdownPhase is the current step of a graceful shutdown.
type shutdownPhase int

const (
	serving           shutdownPhase = iota
	draining                        // calls are still accepted until the load balancer stops sending them
	finishingRequests               // new calls are refused, open ones run to their end
	handingOver                     // backend servers and rate slots are handed over
	endingSession                   // the session is being ended in the table
	stopped
)

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	requested     bool
	refusesCalls  bool // new calls are refused
	phase         shutdownPhase
	phaseDeadline clock.Time // when the phase ends at the latest
	nextTick      clock.Time

	successor    id.Instance
	handover     message.Handover
	nextSend     clock.Time
	acknowledged bool
}

// handoverKey identifies a handover, to recognise one that is sent again.
type handoverKey struct {
	from id.Instance
	id   uint64
}

func (s *shutdown) next() clock.Time {
	if !s.requested || s.phase == stopped {
		return clock.Never
	}
	return s.nextTick
}

// beginShutdown begins a graceful shutdown, unless one is under way.
func (i *Instance) beginShutdown(now clock.Time) {
	if i.shutdown.requested {
		return
	}
	i.shutdown = shutdown{requested: true, phase: draining, phaseDeadline: now.Add(i.settings.DrainDelay), nextTick: now}
	i.members.SetOwnState(i.version(), true, i.lease.Fencing(), i.lease.TableAge(now))
	i.queue.Drain(now, &i.out)
}

// advanceShutdown advances a shutdown whose next tick is due, and begins one if
// the session was taken over.
func (i *Instance) advanceShutdown(now clock.Time) {
	if !i.shutdown.requested && i.lease.Lost() {
		// Another instance took over the session while this one was paused. The
		// session can't be used again: the process exits, and a restarted one
		// gets a new session.
		i.beginShutdown(now)
	}
	if !now.Reached(i.shutdown.next()) {
		return
	}
	i.shutdown.nextTick = now.Add(shutdownTickInterval)
	switch i.shutdown.phase {
	case draining:
		i.finishDraining(now)
	case finishingRequests:
		i.beginHandover(now)
	case handingOver:
		i.sendHandover(now)
	case endingSession:
		i.awaitSessionEnd(now)
	}
}

func (i *Instance) finishDraining(now clock.Time) {
	if !now.Reached(i.shutdown.phaseDeadline) {
		return
	}
	i.shutdown.refusesCalls = true
	i.shutdown.phase, i.shutdown.phaseDeadline = finishingRequests, now.Add(i.settings.Grace)
}

// beginHandover waits for open calls to end, then stops using the instance's
// backend servers and rate slots and offers them to one instance of the zone. The
// successor never changes: two instances could otherwise both accept the offer.
func (i *Instance) beginHandover(now clock.Time) {
	// An outcome that is not recorded when the process exits is lost, and every
	// repeat of its call would be refused with an unknown outcome.
	open := len(i.requests) > 0 || i.once.OpenAttempts() > 0
	if open && !now.Reached(i.shutdown.phaseDeadline) {
		return
	}
	i.refuseRemaining(now)
	others := slices.DeleteFunc(slices.Clone(i.members.InZone(i.settings.Zone)), func(o id.Instance) bool { return o == i.settings.Instance })
	i.shutdown.handover = message.Handover{
		ID: 1, Fencing: i.lease.Fencing(), Backends: i.placement.Handover(), Slots: i.limiter.Handover(now),
	}
	i.shutdown.successor = rendezvous.Owner("handover/"+string(i.settings.Instance), others)
	empty := len(i.shutdown.handover.Backends) == 0 && len(i.shutdown.handover.Slots) == 0
	if i.shutdown.successor == "" || empty || i.lease.Lost() {
		i.endSession(now)
		return
	}
	i.shutdown.phase, i.shutdown.phaseDeadline, i.shutdown.nextSend = handingOver, now.Add(handoverTimeout), now
	i.sendHandover(now)
}

// refuseRemaining ends the requests still open after the grace period.
func (i *Instance) refuseRemaining(now clock.Time) {
	for _, req := range i.sortedRequests() {
		if req.stage == stageServer {
			req.mayHaveRun = true
			i.effects = append(i.effects, event.Cancel{
				Request: req.call.Request, Attempt: req.attempt,
				Refusal: req.refusal(event.ReasonStopping, defaultRetryAfter, "the instance stopped while the call was running"),
				Basis:   i.basis(now, req),
			})
			i.finish(now, req, false)
			continue
		}
		if req.stage == stageRecord && !req.mayHaveRun {
			i.once.Cancel(now, req.call.Request, &i.out)
		}
		i.refuseRequest(now, req, req.refusal(event.ReasonStopping, defaultRetryAfter, "the instance stopped"))
	}
}

// sendHandover sends the handover again when due, and goes on to end the session
// once it is acknowledged or timed out.
func (i *Instance) sendHandover(now clock.Time) {
	if i.shutdown.acknowledged || now.Reached(i.shutdown.phaseDeadline) {
		i.endSession(now)
		return
	}
	if now.Reached(i.shutdown.nextSend) {
		i.shutdown.nextSend = now.Add(handoverResendInterval)
		i.out.Send(i.shutdown.successor, i.shutdown.handover)
	}
}

// endSession begins to end the session in the table.
func (i *Instance) endSession(now clock.Time) {
	i.shutdown.phase, i.shutdown.phaseDeadline = endingSession, now.Add(sessionEndTimeout)
	i.lease.Stop(now, &i.out)
}

// awaitSessionEnd completes the shutdown once the session has ended or the wait
// has timed out.
func (i *Instance) awaitSessionEnd(now clock.Time) {
	if !i.lease.Stopped() && !now.Reached(i.shutdown.phaseDeadline) {
		return
	}
	i.shutdown.phase = stopped
	i.out.Add(event.Stopped{})
}

// handleHandover takes over the backend servers and rate slots of another
// instance of the zone. A repeated handover is only acknowledged again.
func (i *Instance) handleHandover(now clock.Time, from id.Instance, m message.Handover) {
	key := handoverKey{from, m.ID}
	if !i.receivedHandovers[key] {
		if !i.lease.Valid(now) || i.shutdown.requested {
			return
		}
		i.receivedHandovers[key] = true
		i.limiter.TakeOver(now, m.Slots, &i.out)
		i.placement.TakeOver(now, m.Backends, &i.out)
	}
	i.out.Send(from, message.HandoverAck{ID: m.ID})
}

func (i *Instance) handleHandoverAck(m message.HandoverAck) {
	if i.shutdown.phase == handingOver && m.ID == i.shutdown.handover.ID {
		i.shutdown.acknowledged = true
	}
}
