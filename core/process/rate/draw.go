package rate

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// drawRound moves a round of draws on: it starts one, goes over to the other
// zones, or ends it.
func (h *Holder) drawRound(now clock.Time, a *account, out *event.Outbox) {
	missing := a.need() - a.available()
	if missing <= 0 {
		return
	}
	if a.round.running {
		if a.openDraws() > 0 && now.Before(a.round.until) {
			return
		}
		h.endHalf(now, a, missing, out)
		return
	}
	if now.Before(a.round.next) {
		return
	}
	a.round = round{running: true, tries: a.round.tries + 1}
	if !h.sendDraws(now, a, missing, out) {
		h.endHalf(now, a, missing, out)
	}
}

// endHalf ends the first or the second half of a round.
func (h *Holder) endHalf(now clock.Time, a *account, missing float64, out *event.Outbox) {
	a.avoidSilent(now)
	if !a.round.far {
		a.round.far = true
		if h.sendDraws(now, a, missing, out) {
			return
		}
	}
	a.round.running = false
	wait := fillTime(a.queue[0].tokens-a.available(), a.reach(h))
	pause := max(wait, retryMin<<min(a.round.tries, maxDoublings))
	a.round.next = now.Add(min(pause, retryMax))
}

// openDraws counts the draws that the running round still waits for.
func (a *account) openDraws() int {
	n := 0
	for _, d := range a.draws {
		if d.open {
			n++
		}
	}
	return n
}

// avoidSilent lets the next rounds pass over holders that did not answer, so
// that an unreachable zone costs one timeout, not one a round.
func (a *account) avoidSilent(now clock.Time) {
	for _, d := range a.draws {
		if d.open {
			d.open = false
			a.avoid[d.to] = now.Add(avoidFor)
		}
	}
}

// sendDraws asks the holders of this half for what is missing, all at once;
// what comes in excess is settled. It reports whether there was one to ask.
func (h *Holder) sendDraws(now clock.Time, a *account, missing float64, out *event.Outbox) bool {
	targets := h.askable(now, a, h.directory.targets(now, h, a.round.far), maxParallel)
	for _, to := range targets {
		h.sendDraw(now, a, &draw{to: to, tokens: missing, open: true}, out)
	}
	a.round.until = now.Add(h.set.DrawTimeout)
	return len(targets) > 0
}

// askable returns up to most of the targets, others each time, without those
// that did not answer lately.
func (h *Holder) askable(now clock.Time, a *account, targets []id.Instance, most int) []id.Instance {
	targets = slices.DeleteFunc(targets, func(i id.Instance) bool { return now.Before(a.avoid[i]) })
	if len(targets) <= most {
		return targets
	}
	first := int(h.lastDraw % uint64(len(targets)))
	return append(targets[first:], targets[:first]...)[:most]
}

// evenOut draws tokens before they are short. A bucket elsewhere that is full
// wastes what accrues to it, and the account's callers here miss it later.
func (h *Holder) evenOut(now clock.Time, a *account, out *event.Outbox) {
	room := a.limits(h, now).burst
	if now.Before(a.nextEven) || len(a.queue) > 0 || room <= 0 || a.balance >= evenBelow*room {
		return
	}
	a.nextEven = now.Add(evenEvery * time.Duration(1+len(h.members.Live())/evenFleet))
	targets := append(h.directory.targets(now, h, false), h.directory.targets(now, h, true)...)
	targets = h.askable(now, a, targets, evenParallel)
	for _, to := range targets {
		h.sendDraw(now, a, &draw{to: to, tokens: room - a.balance, room: room, among: len(targets)}, out)
	}
}

func (h *Holder) sendDraw(now clock.Time, a *account, d *draw, out *event.Outbox) {
	h.lastDraw++
	d.sent = now
	d.again = now.Add(h.set.DrawTimeout / 2)
	d.expires = now.Add(h.set.LoanTerm)
	d.id = h.lastDraw
	a.draws = append(a.draws, d)
	out.Send(d.to, d.message(a))
}

func (d *draw) message(a *account) message.LoanRequest {
	return message.LoanRequest{ID: d.id, Account: a.name, Tokens: d.tokens, Rate: d.want, Capacity: d.room, HolderCount: d.among}
}

// tickDraws repeats draws without an answer and forgets those that ran out.
func (h *Holder) tickDraws(now clock.Time, a *account, out *event.Outbox) {
	a.draws = slices.DeleteFunc(a.draws, func(d *draw) bool { return now.Reached(d.expires) })
	for _, d := range a.draws {
		if now.Reached(d.again) {
			d.again = clock.Never
			out.Send(d.to, d.message(a))
		}
	}
}

// Peer takes in a message of another instance.
func (h *Holder) Peer(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	switch m := m.(type) {
	case message.LoanRequest:
		h.drawn(now, from, m, out)
	case message.LoanGrant:
		h.lentHere(now, from, m, out)
	case message.LoanSettlement:
		h.settled(now, from, m)
	case message.SlotsHeld:
		h.directory.heard(now, from, h.members.ZoneOf(from), m)
	case message.SlotTransfer:
		h.given(now, from, m.Slot, out)
	case message.SlotTransferAck:
		h.taken(from, m.Slot)
	}
}

// lentHere takes in the answer to a draw. One that comes again, or after the
// loan has run out on this clock, finds no draw.
func (h *Holder) lentHere(now clock.Time, from id.Instance, m message.LoanGrant, out *event.Outbox) {
	a := h.accounts[m.Account]
	if a == nil {
		return
	}
	d := a.draw(m.ID)
	until := clock.Time(0)
	if d != nil {
		until = d.sent.Add(min(m.Term, h.set.LoanTerm))
	}
	if d == nil || d.to != from || now.Reached(until) {
		return
	}
	a.refill(h, now)
	a.dropDraw(m.ID)
	delete(a.avoid, from)
	if d.want > 0 {
		h.borrowShare(now, a, from, m, until, out)
	} else {
		h.borrowTokens(a, from, m, until)
		if d.open {
			a.round.reach += h.directory.slotsOf(from)
		}
	}
	h.serve(now, a, out)
	h.plan(now, a)
}

func (h *Holder) borrowTokens(a *account, from id.Instance, m message.LoanGrant, until clock.Time) {
	if m.Tokens <= 0 {
		return
	}
	a.borrowed = append(a.borrowed, tokenLoan{from: from, id: m.ID, tokens: m.Tokens, until: until})
	slices.SortStableFunc(a.borrowed, func(p, q tokenLoan) int { return int(p.until.Sub(q.until)) })
}
