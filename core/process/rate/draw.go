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
func (lim *Limiter) advanceRound(now clock.Time, a *account, out *event.Outbox) {
	missing := a.queuedTokens() - a.available()
	if missing <= 0 {
		return
	}
	if a.round.running {
		if a.pendingRequests() > 0 && now.Before(a.round.deadline) {
			return
		}
		lim.endPhase(now, a, missing, out)
		return
	}
	if now.Before(a.round.nextStart) {
		return
	}
	a.round = borrowRound{running: true, attempts: a.round.attempts + 1}
	if !lim.requestTokens(now, a, missing, out) {
		lim.endPhase(now, a, missing, out)
	}
}

// endHalf ends the first or the second half of a round.
func (lim *Limiter) endPhase(now clock.Time, a *account, missing float64, out *event.Outbox) {
	a.avoidUnresponsive(now)
	if !a.round.otherZones {
		a.round.otherZones = true
		if lim.requestTokens(now, a, missing, out) {
			return
		}
	}
	a.round.running = false
	fillWait := fillTime(a.queue[0].tokens-a.available(), a.reachableRate(lim))
	pause := max(fillWait, minRoundPause<<min(a.round.attempts, maxBackoffDoublings))
	a.round.nextStart = now.Add(min(pause, maxRoundPause))
}

// openDraws counts the draws that the running round still waits for.
func (a *account) pendingRequests() int {
	count := 0
	for _, req := range a.loanRequests {
		if req.pending {
			count++
		}
	}
	return count
}

// avoidSilent lets the next rounds pass over holders that did not answer, so
// that an unreachable zone costs one timeout, not one a round.
func (a *account) avoidUnresponsive(now clock.Time) {
	for _, req := range a.loanRequests {
		if req.pending {
			req.pending = false
			a.avoidUntil[req.to] = now.Add(avoidDuration)
		}
	}
}

// sendDraws asks the holders of this half for what is missing, all at once;
// what comes in excess is settled. It reports whether there was one to ask.
func (lim *Limiter) requestTokens(now clock.Time, a *account, missing float64, out *event.Outbox) bool {
	lenders := lim.selectLenders(now, a, lim.directory.holders(now, lim, a.round.otherZones), maxParallelRequests)
	for _, to := range lenders {
		lim.sendLoanRequest(now, a, &loanRequest{to: to, tokens: missing, pending: true}, out)
	}
	a.round.deadline = now.Add(lim.settings.LoanRequestTimeout)
	return len(lenders) > 0
}

// askable returns up to most of the targets, others each time, without those
// that did not answer lately.
func (lim *Limiter) selectLenders(now clock.Time, a *account, candidates []id.Instance, limit int) []id.Instance {
	candidates = slices.DeleteFunc(candidates, func(i id.Instance) bool { return now.Before(a.avoidUntil[i]) })
	if len(candidates) <= limit {
		return candidates
	}
	first := int(lim.lastRequestID % uint64(len(candidates)))
	return append(candidates[first:], candidates[:first]...)[:limit]
}

// evenOut draws tokens before they are short. A bucket elsewhere that is full
// wastes what accrues to it, and the account's callers here miss it later.
func (lim *Limiter) rebalance(now clock.Time, a *account, out *event.Outbox) {
	capacity := a.limits(lim, now).burst
	if now.Before(a.nextRebalance) || len(a.queue) > 0 || capacity <= 0 || a.balance >= rebalanceBelow*capacity {
		return
	}
	a.nextRebalance = now.Add(rebalanceInterval * time.Duration(1+len(lim.members.Live())/rebalanceFleetSize))
	lenders := append(lim.directory.holders(now, lim, false), lim.directory.holders(now, lim, true)...)
	lenders = lim.selectLenders(now, a, lenders, maxRebalanceRequests)
	for _, to := range lenders {
		lim.sendLoanRequest(now, a, &loanRequest{to: to, tokens: capacity - a.balance, capacity: capacity, lenders: len(lenders)}, out)
	}
}

func (lim *Limiter) sendLoanRequest(now clock.Time, a *account, req *loanRequest, out *event.Outbox) {
	lim.lastRequestID++
	req.sentAt = now
	req.retryAt = now.Add(lim.settings.LoanRequestTimeout / 2)
	req.expiresAt = now.Add(lim.settings.LoanTerm)
	req.id = lim.lastRequestID
	a.loanRequests = append(a.loanRequests, req)
	out.Send(req.to, req.message(a))
}

func (req *loanRequest) message(a *account) message.Draw {
	return message.Draw{ID: req.id, Account: a.name, Tokens: req.tokens, WantRate: req.rate, Room: req.capacity, Among: req.lenders}
}

// tickDraws repeats draws without an answer and forgets those that ran out.
func (lim *Limiter) retryLoanRequests(now clock.Time, a *account, out *event.Outbox) {
	a.loanRequests = slices.DeleteFunc(a.loanRequests, func(req *loanRequest) bool { return now.Reached(req.expiresAt) })
	for _, req := range a.loanRequests {
		if now.Reached(req.retryAt) {
			req.retryAt = clock.Never
			out.Send(req.to, req.message(a))
		}
	}
}

// Peer takes in a message of another instance.
func (lim *Limiter) HandleMessage(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	switch m := m.(type) {
	case message.Draw:
		lim.handleLoanRequest(now, from, m, out)
	case message.Lent:
		lim.handleLoanReply(now, from, m, out)
	case message.Settle:
		lim.handleSettlement(now, from, m)
	case message.SlotsHeld:
		lim.directory.update(now, from, lim.members.ZoneOf(from), m)
	case message.SlotGiven:
		lim.handleSlotGiven(now, from, m.Slot, out)
	case message.SlotTaken:
		lim.handleSlotTaken(from, m.Slot)
	}
}

// lentHere takes in the answer to a draw. One that comes again, or after the
// loan has run out on this clock, finds no draw.
func (lim *Limiter) handleLoanReply(now clock.Time, from id.Instance, reply message.Lent, out *event.Outbox) {
	a := lim.accounts[reply.Account]
	if a == nil {
		return
	}
	req := a.loanRequest(reply.ID)
	expiresAt := clock.Time(0)
	if req != nil {
		expiresAt = req.sentAt.Add(min(reply.Term, lim.settings.LoanTerm))
	}
	if req == nil || req.to != from || now.Reached(expiresAt) {
		return
	}
	a.refill(lim, now)
	a.removeLoanRequest(reply.ID)
	delete(a.avoidUntil, from)
	if req.rate > 0 {
		lim.handleShareLoan(now, a, from, reply, expiresAt, out)
	} else {
		lim.addBorrowedTokens(a, from, reply, expiresAt)
		if req.pending {
			a.round.answeredSlots += lim.directory.slotCount(from)
		}
	}
	lim.processQueue(now, a, out)
	lim.scheduleNextTick(now, a)
}

func (lim *Limiter) addBorrowedTokens(a *account, from id.Instance, reply message.Lent, until clock.Time) {
	if reply.Tokens <= 0 {
		return
	}
	a.borrowedTokens = append(a.borrowedTokens, borrowedTokens{from: from, id: reply.ID, tokens: reply.Tokens, until: until})
	slices.SortStableFunc(a.borrowedTokens, func(p, q borrowedTokens) int { return int(p.until.Sub(q.until)) })
}
