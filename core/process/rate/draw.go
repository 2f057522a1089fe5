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
func (h *Limiter) advanceRound(now clock.Time, a *account, out *event.Outbox) {
	missing := a.queuedTokens() - a.available()
	if missing <= 0 {
		return
	}
	if a.round.running {
		if a.pendingRequests() > 0 && now.Before(a.round.deadline) {
			return
		}
		h.endPhase(now, a, missing, out)
		return
	}
	if now.Before(a.round.nextStart) {
		return
	}
	a.round = borrowRound{running: true, attempts: a.round.attempts + 1}
	if !h.requestTokens(now, a, missing, out) {
		h.endPhase(now, a, missing, out)
	}
}

// endHalf ends the first or the second half of a round.
func (h *Limiter) endPhase(now clock.Time, a *account, missing float64, out *event.Outbox) {
	a.avoidUnresponsive(now)
	if !a.round.otherZones {
		a.round.otherZones = true
		if h.requestTokens(now, a, missing, out) {
			return
		}
	}
	a.round.running = false
	wait := fillTime(a.queue[0].tokens-a.available(), a.reachableRate(h))
	pause := max(wait, minRoundPause<<min(a.round.attempts, maxBackoffDoublings))
	a.round.nextStart = now.Add(min(pause, maxRoundPause))
}

// openDraws counts the draws that the running round still waits for.
func (a *account) pendingRequests() int {
	n := 0
	for _, d := range a.loanRequests {
		if d.pending {
			n++
		}
	}
	return n
}

// avoidSilent lets the next rounds pass over holders that did not answer, so
// that an unreachable zone costs one timeout, not one a round.
func (a *account) avoidUnresponsive(now clock.Time) {
	for _, d := range a.loanRequests {
		if d.pending {
			d.pending = false
			a.avoidUntil[d.to] = now.Add(avoidDuration)
		}
	}
}

// sendDraws asks the holders of this half for what is missing, all at once;
// what comes in excess is settled. It reports whether there was one to ask.
func (h *Limiter) requestTokens(now clock.Time, a *account, missing float64, out *event.Outbox) bool {
	targets := h.selectLenders(now, a, h.directory.holders(now, h, a.round.otherZones), maxParallelRequests)
	for _, to := range targets {
		h.sendLoanRequest(now, a, &loanRequest{to: to, tokens: missing, pending: true}, out)
	}
	a.round.deadline = now.Add(h.settings.LoanRequestTimeout)
	return len(targets) > 0
}

// askable returns up to most of the targets, others each time, without those
// that did not answer lately.
func (h *Limiter) selectLenders(now clock.Time, a *account, targets []id.Instance, most int) []id.Instance {
	targets = slices.DeleteFunc(targets, func(i id.Instance) bool { return now.Before(a.avoidUntil[i]) })
	if len(targets) <= most {
		return targets
	}
	first := int(h.lastRequestID % uint64(len(targets)))
	return append(targets[first:], targets[:first]...)[:most]
}

// evenOut draws tokens before they are short. A bucket elsewhere that is full
// wastes what accrues to it, and the account's callers here miss it later.
func (h *Limiter) rebalance(now clock.Time, a *account, out *event.Outbox) {
	room := a.limits(h, now).burst
	if now.Before(a.nextRebalance) || len(a.queue) > 0 || room <= 0 || a.balance >= rebalanceBelow*room {
		return
	}
	a.nextRebalance = now.Add(rebalanceInterval * time.Duration(1+len(h.members.Live())/rebalanceFleetSize))
	targets := append(h.directory.holders(now, h, false), h.directory.holders(now, h, true)...)
	targets = h.selectLenders(now, a, targets, maxRebalanceRequests)
	for _, to := range targets {
		h.sendLoanRequest(now, a, &loanRequest{to: to, tokens: room - a.balance, capacity: room, lenders: len(targets)}, out)
	}
}

func (h *Limiter) sendLoanRequest(now clock.Time, a *account, d *loanRequest, out *event.Outbox) {
	h.lastRequestID++
	d.sentAt = now
	d.retryAt = now.Add(h.settings.LoanRequestTimeout / 2)
	d.expiresAt = now.Add(h.settings.LoanTerm)
	d.id = h.lastRequestID
	a.loanRequests = append(a.loanRequests, d)
	out.Send(d.to, d.message(a))
}

func (d *loanRequest) message(a *account) message.Draw {
	return message.Draw{ID: d.id, Account: a.name, Tokens: d.tokens, WantRate: d.rate, Room: d.capacity, Among: d.lenders}
}

// tickDraws repeats draws without an answer and forgets those that ran out.
func (h *Limiter) retryLoanRequests(now clock.Time, a *account, out *event.Outbox) {
	a.loanRequests = slices.DeleteFunc(a.loanRequests, func(d *loanRequest) bool { return now.Reached(d.expiresAt) })
	for _, d := range a.loanRequests {
		if now.Reached(d.retryAt) {
			d.retryAt = clock.Never
			out.Send(d.to, d.message(a))
		}
	}
}

// Peer takes in a message of another instance.
func (h *Limiter) HandleMessage(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	switch m := m.(type) {
	case message.Draw:
		h.handleLoanRequest(now, from, m, out)
	case message.Lent:
		h.handleLoanReply(now, from, m, out)
	case message.Settle:
		h.handleSettlement(now, from, m)
	case message.SlotsHeld:
		h.directory.update(now, from, h.members.ZoneOf(from), m)
	case message.SlotGiven:
		h.handleSlotGiven(now, from, m.Slot, out)
	case message.SlotTaken:
		h.handleSlotTaken(from, m.Slot)
	}
}

// lentHere takes in the answer to a draw. One that comes again, or after the
// loan has run out on this clock, finds no draw.
func (h *Limiter) handleLoanReply(now clock.Time, from id.Instance, m message.Lent, out *event.Outbox) {
	a := h.accounts[m.Account]
	if a == nil {
		return
	}
	d := a.loanRequest(m.ID)
	until := clock.Time(0)
	if d != nil {
		until = d.sentAt.Add(min(m.Term, h.settings.LoanTerm))
	}
	if d == nil || d.to != from || now.Reached(until) {
		return
	}
	a.refill(h, now)
	a.removeLoanRequest(m.ID)
	delete(a.avoidUntil, from)
	if d.rate > 0 {
		h.handleShareLoan(now, a, from, m, until, out)
	} else {
		h.addBorrowedTokens(a, from, m, until)
		if d.pending {
			a.round.answeredSlots += h.directory.slotCount(from)
		}
	}
	h.processQueue(now, a, out)
	h.scheduleNextTick(now, a)
}

func (h *Limiter) addBorrowedTokens(a *account, from id.Instance, m message.Lent, until clock.Time) {
	if m.Tokens <= 0 {
		return
	}
	a.borrowedTokens = append(a.borrowedTokens, borrowedTokens{from: from, id: m.ID, tokens: m.Tokens, until: until})
	slices.SortStableFunc(a.borrowedTokens, func(p, q borrowedTokens) int { return int(p.until.Sub(q.until)) })
}
