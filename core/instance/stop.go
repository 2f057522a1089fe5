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
	// handoverRepeat is the time between two sendings of the same handover.
	handoverResendInterval = 200 * time.Millisecond
	// handoverLimit ends the handover without an answer. What was offered is
	// then used by nobody until its session has ended in the table.
	handoverTimeout = 3 * time.Second
	// releaseLimit bounds the wait for the session's end in the table; without
	// it the session runs out by itself.
	sessionEndTimeout    = 3 * time.Second
	shutdownTickInterval = 50 * time.Millisecond
)

// stopPhase is how far a planned stop came.
type shutdownPhase int

const (
	serving           shutdownPhase = iota
	draining                        // calls are still taken, the balancer is to see it
	finishingRequests               // calls run to their end
	handingOver                     // rights are handed over
	endingSession                   // the session is ended in the table
	stopped
)

// stop is a planned stop under way.
type shutdown struct {
	requested     bool
	refusesCalls  bool // new calls are refused
	phase         shutdownPhase
	phaseDeadline clock.Time // end of the phase at the latest
	nextTick      clock.Time

	successor    id.Instance
	handover     message.Handover
	nextSend     clock.Time
	acknowledged bool
}

// handoverKey recognises a repeated handover.
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

// stopRequested begins a graceful shutdown.
func (i *Instance) beginShutdown(now clock.Time) {
	if i.shutdown.requested {
		return
	}
	i.shutdown = shutdown{requested: true, phase: draining, phaseDeadline: now.Add(i.settings.DrainDelay), nextTick: now}
	i.members.SetSelf(i.version(), true, i.lease.Fencing(), i.lease.TableAge(now))
	i.queue.Drain(now, &i.out)
}

// tickStop takes the stop one step further, if it is time.
func (i *Instance) advanceShutdown(now clock.Time) {
	if !i.shutdown.requested && i.lease.Lost() {
		// Another instance took over what this one owned while it was paused.
		// It may not act for its session again; a new run gets a new one.
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

// beginHandover waits for the calls to end, then stops using all rights and
// offers them to one instance of the zone. It is one and stays the same: an
// offer to a second one could be taken by both.
func (i *Instance) beginHandover(now clock.Time) {
	// An outcome that is not recorded yet would be lost with this process, and
	// each repeat of its order would be told that nobody knows.
	open := len(i.requests) > 0 || i.once.Held() > 0
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

// refuseAll gives the calls that outlasted the grace time their final answer.
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
			i.once.Abandon(now, req.call.Request, &i.out)
		}
		i.refuseRequest(now, req, req.refusal(event.ReasonStopping, defaultRetryAfter, "the instance stopped"))
	}
}

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

// release ends the session in the table.
func (i *Instance) endSession(now clock.Time) {
	i.shutdown.phase, i.shutdown.phaseDeadline = endingSession, now.Add(sessionEndTimeout)
	i.lease.Stop(now, &i.out)
}

func (i *Instance) awaitSessionEnd(now clock.Time) {
	if !i.lease.Stopped() && !now.Reached(i.shutdown.phaseDeadline) {
		return
	}
	i.shutdown.phase = stopped
	i.out.Add(event.Stopped{})
}

// handoverReceived takes over what another instance of the zone gives up. A
// repeat is only answered again.
func (i *Instance) handleHandover(now clock.Time, from id.Instance, m message.Handover) {
	k := handoverKey{from, m.ID}
	if !i.receivedHandovers[k] {
		if !i.lease.Valid(now) || i.shutdown.requested {
			return
		}
		i.receivedHandovers[k] = true
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
