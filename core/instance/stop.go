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
	handoverRepeat = 200 * time.Millisecond
	// handoverLimit ends the handover without an answer. What was offered is
	// then used by nobody until its session has ended in the table.
	handoverLimit = 3 * time.Second
	// releaseLimit bounds the wait for the session's end in the table; without
	// it the session runs out by itself.
	releaseLimit = 3 * time.Second
	stopTick     = 50 * time.Millisecond
)

// stopPhase is how far a planned stop came.
type stopPhase int

const (
	serving   stopPhase = iota
	draining            // calls are still taken, the balancer is to see it
	finishing           // calls run to their end
	handing             // rights are handed over
	releasing           // the session is ended in the table
	stopped
)

// stop is a planned stop under way.
type stop struct {
	asked  bool
	closed bool // new calls are refused
	phase  stopPhase
	until  clock.Time // end of the phase at the latest
	tickAt clock.Time

	successor id.Instance
	handover  message.Handover
	sendAt    clock.Time
	accepted  bool
}

// handoverKey recognises a repeated handover.
type handoverKey struct {
	from id.Instance
	id   uint64
}

func (s *stop) next() clock.Time {
	if !s.asked || s.phase == stopped {
		return clock.Never
	}
	return s.tickAt
}

// stopRequested begins a graceful shutdown.
func (i *Instance) stopRequested(now clock.Time) {
	if i.stop.asked {
		return
	}
	i.stop = stop{asked: true, phase: draining, until: now.Add(i.set.DrainDelay), tickAt: now}
	i.members.SetSelf(i.version(), true, i.lease.Fencing(), i.lease.TableAge(now))
	i.queue.Drain(now, &i.out)
}

// tickStop takes the stop one step further, if it is time.
func (i *Instance) tickStop(now clock.Time) {
	if !i.stop.asked && i.lease.Lost() {
		// Another instance took over what this one owned while it was paused.
		// It may not act for its session again; a new run gets a new one.
		i.stopRequested(now)
	}
	if !now.Reached(i.stop.next()) {
		return
	}
	i.stop.tickAt = now.Add(stopTick)
	switch i.stop.phase {
	case draining:
		i.finishDraining(now)
	case finishing:
		i.beginHandover(now)
	case handing:
		i.repeatHandover(now)
	case releasing:
		i.finishRelease(now)
	}
}

func (i *Instance) finishDraining(now clock.Time) {
	if !now.Reached(i.stop.until) {
		return
	}
	i.stop.closed = true
	i.stop.phase, i.stop.until = finishing, now.Add(i.set.Grace)
}

// beginHandover waits for the calls to end, then stops using all rights and
// offers them to one instance of the zone. It is one and stays the same: an
// offer to a second one could be taken by both.
func (i *Instance) beginHandover(now clock.Time) {
	// An outcome that is not recorded yet would be lost with this process, and
	// each repeat of its order would be told that nobody knows.
	open := len(i.flights) > 0 || i.once.Held() > 0
	if open && !now.Reached(i.stop.until) {
		return
	}
	i.refuseAll(now)
	others := slices.DeleteFunc(slices.Clone(i.members.InZone(i.set.Zone)), func(o id.Instance) bool { return o == i.set.Instance })
	i.stop.handover = message.Handover{
		ID: 1, Fencing: i.lease.Fencing(), Backends: i.places.Handover(), Slots: i.rates.Handover(now),
	}
	i.stop.successor = rendezvous.Owner("handover/"+string(i.set.Instance), others)
	empty := len(i.stop.handover.Backends) == 0 && len(i.stop.handover.Slots) == 0
	if i.stop.successor == "" || empty || i.lease.Lost() {
		i.release(now)
		return
	}
	i.stop.phase, i.stop.until, i.stop.sendAt = handing, now.Add(handoverLimit), now
	i.repeatHandover(now)
}

// refuseAll gives the calls that outlasted the grace time their final answer.
func (i *Instance) refuseAll(now clock.Time) {
	for _, f := range i.sortedFlights() {
		if f.stage == atServer {
			f.ran = true
			i.effects = append(i.effects, event.Cancel{
				Request: f.call.Request, Attempt: f.attempt,
				Refusal: f.refusal(event.ReasonStopping, backLater, "the instance stopped while the call was running"),
				Basis:   i.basis(now, f),
			})
			i.finish(now, f, false)
			continue
		}
		if f.stage == atOnce && !f.ran {
			i.once.Abandon(now, f.call.Request, &i.out)
		}
		i.end(now, f, f.refusal(event.ReasonStopping, backLater, "the instance stopped"))
	}
}

func (i *Instance) repeatHandover(now clock.Time) {
	if i.stop.accepted || now.Reached(i.stop.until) {
		i.release(now)
		return
	}
	if now.Reached(i.stop.sendAt) {
		i.stop.sendAt = now.Add(handoverRepeat)
		i.out.Send(i.stop.successor, i.stop.handover)
	}
}

// release ends the session in the table.
func (i *Instance) release(now clock.Time) {
	i.stop.phase, i.stop.until = releasing, now.Add(releaseLimit)
	i.lease.Stop(now, &i.out)
}

func (i *Instance) finishRelease(now clock.Time) {
	if !i.lease.Stopped() && !now.Reached(i.stop.until) {
		return
	}
	i.stop.phase = stopped
	i.out.Add(event.Stopped{})
}

// handoverReceived takes over what another instance of the zone gives up. A
// repeat is only answered again.
func (i *Instance) handoverReceived(now clock.Time, from id.Instance, m message.Handover) {
	k := handoverKey{from, m.ID}
	if !i.taken[k] {
		if !i.lease.Valid(now) || i.stop.asked {
			return
		}
		i.taken[k] = true
		i.rates.TakeOver(now, m.Slots, &i.out)
		i.places.TakeOver(now, m.Backends, &i.out)
	}
	i.out.Send(from, message.HandoverAck{ID: m.ID})
}

func (i *Instance) handoverTaken(m message.HandoverAck) {
	if i.stop.phase == handing && m.ID == i.stop.handover.ID {
		i.stop.accepted = true
	}
}
