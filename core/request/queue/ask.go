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

// Ask takes a request in, or answers it again: there is one entry for each
// request, so that a doubled or repeated ask changes nothing, and a grant whose
// message was lost is sent again as it was.
func (o *Owner) Ask(now clock.Time, from id.Instance, m message.TurnRequest, out *event.Outbox) {
	o.expire(now, out)
	e := o.entries[m.Request]
	if e != nil && m.Turn < e.ask.Turn {
		return // late: the entry asks for another turn already
	}
	if e != nil && m.Turn > e.ask.Turn {
		// Its TurnDone was lost or is late: the turn before is over.
		o.remove(now, e)
		o.pumpAfter(now, e.queue, out)
		e = nil
	}
	if e == nil {
		o.enter(now, from, m, out)
		return
	}
	e.heard = now
	if e.server != nil {
		o.sendGrant(e, out)
		return
	}
	o.sendWaiting(now, e, out)
}

func (o *Owner) enter(now clock.Time, from id.Instance, m message.TurnRequest, out *event.Outbox) {
	if o.set.FirstCome {
		m.Account, m.Class = "", config.Interactive
	}
	e := &entry{ask: m, from: from, level: levelOf(m.Class), deadline: now.Add(m.TimeToDeadline), heard: now, entered: now}
	e.queue = o.queue(Target{Artifact: m.Artifact, Service: m.Service})
	if o.draining && !o.lastResort(from) {
		o.answerRefused(e, ReasonMoved, 0, out)
		return
	}
	v := o.view(now, e.queue)
	if reason, after, ok := o.admit(now, e, &v); !ok {
		o.answerRefused(e, reason, after, out)
		return
	}
	if e.queue.size() >= o.set.MaxWaiting && !o.pushOut(now, e, &v, out) {
		o.answerRefused(e, ReasonFull, o.drainTime(e.queue, &v), out)
		return
	}
	o.add(now, e)
	o.pump(now, e.queue, out)
	if e.server == nil && o.entries[m.Request] == e {
		o.sendWaiting(now, e, out)
	}
}

// admit says whether a new request can be served by its deadline.
func (o *Owner) admit(now clock.Time, e *entry, v *view) (Reason, time.Duration, bool) {
	if v.servers == 0 || !v.offers(&e.ask) {
		return ReasonNoServer, 0, false
	}
	if e.ask.TimeToDeadline <= 0 || (e.ask.Spillover && v.cold) {
		return ReasonDeadline, max(v.ready, minRetry), false
	}
	wait := o.waitOf(e, v)
	e.estimate = v.ready + wait
	if e.estimate <= e.ask.TimeToDeadline {
		return "", 0, true
	}
	if v.ready > e.ask.TimeToDeadline {
		// A spilled request was noted as a demand where it was asked for first;
		// noted again, it would have the target loaded in every zone.
		if e.ask.Spillover {
			return ReasonDeadline, max(v.ready, minRetry), false
		}
		e.queue.missed = missed{level: e.level, until: now.Add(v.ready + o.set.MissedFor), ready: now.Add(v.ready)}
		return ReasonDeadline, max(v.ready, minRetry), false
	}
	return ReasonDeadline, max(e.estimate-e.ask.TimeToDeadline, minRetry), false
}

// minRetry is the shortest time a caller is told to come back after.
const minRetry = 100 * time.Millisecond

func (o *Owner) add(now clock.Time, e *entry) {
	o.entries[e.ask.Request] = e
	e.queue.classes[e.level].push(now, e, o.weight(e.ask.Account))
	o.waiting++
	o.times.Set(e.ask.Request, min(e.deadline, e.heard.Add(o.set.StaleAfter)))
	if o.review == clock.Never {
		o.review = now.Add(o.set.ReviewEvery)
	}
}

// pushOut makes room in a full queue by refusing the newest request of the
// account that holds most of it for its weight, unless that is the asker.
// Otherwise an account that floods the queue would have the others refused.
func (o *Owner) pushOut(now clock.Time, e *entry, v *view, out *event.Outbox) bool {
	victim := o.newestOfLargest(e)
	if victim == nil {
		return false
	}
	o.refuse(now, victim, ReasonFull, o.drainTime(e.queue, v), out)
	return true
}

func (o *Owner) newestOfLargest(e *entry) *entry {
	c := &e.queue.classes[e.level]
	most := 1 / o.weight(e.ask.Account)
	if f := c.flow(e.ask.Account); f != nil {
		most = float64(len(f.entries)+1) / f.weight
	}
	var largest *flow
	for l := e.level; l < levels; l++ {
		for _, f := range e.queue.classes[l].flows {
			if n := float64(len(f.entries)) / f.weight; n > most {
				largest, most = f, n
			}
		}
	}
	if largest == nil {
		return nil
	}
	return largest.entries[len(largest.entries)-1]
}

// Done gives a turn back, or withdraws a waiting request. A repeat, or one for
// a turn that was voided, changes nothing.
func (o *Owner) Done(now clock.Time, from id.Instance, m message.TurnRelease, out *event.Outbox) {
	o.expire(now, out)
	e := o.entries[m.Request]
	if e == nil || e.from != from || m.Turn < e.ask.Turn {
		return
	}
	if s := e.server; s != nil {
		o.learn(now, e, s, m)
	}
	o.remove(now, e)
	o.pumpAfter(now, e.queue, out)
}

// learn takes in what a finished turn says of its server.
func (o *Owner) learn(now clock.Time, e *entry, s *server, m message.TurnRelease) {
	if m.Backend != "" && m.Backend != s.name {
		return
	}
	switch {
	case m.ServerFailed:
		s.held = now.Add(o.set.BrokenHold)
	case m.ServerLeaving:
		s.leaving = true
	default:
		e.queue.addService(m.ServiceTime)
	}
	if m.ServerFailed && e.ask.Alone {
		o.alone[e.ask.Digest] = now.Add(o.set.AloneGap)
	}
}

// remove forgets an entry, whether it waits or has a turn.
func (o *Owner) remove(now clock.Time, e *entry) {
	delete(o.entries, e.ask.Request)
	o.times.Drop(e.ask.Request)
	o.unreserve(e)
	if e.server != nil {
		e.server.close(e, now)
		e.queue.running--
		if e.ask.Alone && o.alone[e.ask.Digest] == clock.Never {
			delete(o.alone, e.ask.Digest)
		}
		return
	}
	o.waiting--
	o.unqueue(e)
}

func (o *Owner) unqueue(e *entry) {
	if !e.parked {
		e.queue.classes[e.level].remove(e)
		return
	}
	e.queue.parked = slices.DeleteFunc(e.queue.parked, func(p *entry) bool { return p == e })
}

func (o *Owner) unreserve(e *entry) {
	if e.reserved != nil {
		e.reserved.reserved = nil
		e.reserved = nil
	}
}

// due does what the time of an entry asks for.
func (o *Owner) due(now clock.Time, e *entry, out *event.Outbox) {
	switch {
	case e.server != nil:
		o.sendGrant(e, out)
		o.times.Set(e.ask.Request, now.Add(o.set.GrantCheck))
	case now.Reached(e.deadline):
		o.refuse(now, e, ReasonDeadline, minRetry, out)
	case now.Reached(e.heard.Add(o.set.StaleAfter)):
		// Its entry died, or went to another owner and its word was lost.
		o.remove(now, e)
	default:
		o.times.Set(e.ask.Request, min(e.deadline, e.heard.Add(o.set.StaleAfter)))
	}
}

// refuse refuses a request that was taken in.
func (o *Owner) refuse(now clock.Time, e *entry, r Reason, after time.Duration, out *event.Outbox) {
	if r != ReasonMoved {
		o.accuracy.GivenUp++
	}
	o.remove(now, e)
	o.answerRefused(e, r, after, out)
}

func (o *Owner) answerRefused(e *entry, r Reason, after time.Duration, out *event.Outbox) {
	out.Send(e.from, message.TurnRefused{
		Request: e.ask.Request, Reason: string(r), RetryAfter: after, Turn: e.ask.Turn,
	})
}

func (o *Owner) sendWaiting(now clock.Time, e *entry, out *event.Outbox) {
	v := o.view(now, e.queue)
	out.Send(e.from, message.TurnQueued{
		Request: e.ask.Request, Estimate: v.ready + o.waitOf(e, &v), Turn: e.ask.Turn,
	})
}

func (o *Owner) sendGrant(e *entry, out *event.Outbox) {
	out.Send(e.from, message.TurnGranted{
		Request: e.ask.Request, Backend: e.server.name, Address: e.address, Turn: e.ask.Turn,
	})
}

// lastResort reports whether a draining owner still has to take a request: its
// own, when no other instance of the zone could.
func (o *Owner) lastResort(from id.Instance) bool {
	return from == o.set.Instance && len(o.members.InZone(o.set.Zone)) == 0
}
