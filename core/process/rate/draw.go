package rate

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// advanceRound starts a round of loan requests if one is due, and moves a
// running round to its next phase once all lenders have answered or the phase
// has timed out.
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

// endPhase ends a phase of a round. The first phase asks the holders in this
// zone, the second those in the other zones.
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

// pendingRequests returns the number of loan requests that the running phase
// waits for.
func (a *account) pendingRequests() int {
	count := 0
	for _, req := range a.loanRequests {
		if req.pending {
			count++
		}
	}
	return count
}

// avoidUnresponsive excludes holders that did not answer from the next
// rounds. An unreachable zone then costs one timeout, instead of one in each
// round.
func (a *account) avoidUnresponsive(now clock.Time) {
	for _, req := range a.loanRequests {
		if req.pending {
			req.pending = false
			a.avoidUntil[req.to] = now.Add(avoidDuration)
		}
	}
}

// requestTokens asks the holders of this phase for the missing tokens, each
// for all of them and all at once. Tokens lent in excess are returned. It
// reports whether there was a holder to ask.
func (lim *Limiter) requestTokens(now clock.Time, a *account, missing float64, out *event.Outbox) bool {
	lenders := lim.selectLenders(now, a, lim.directory.holders(now, lim, a.round.otherZones), maxParallelRequests)
	for _, to := range lenders {
		lim.sendLoanRequest(now, a, &loanRequest{to: to, tokens: missing, pending: true}, out)
	}
	a.round.deadline = now.Add(lim.settings.LoanRequestTimeout)
	return len(lenders) > 0
}

// selectLenders returns up to limit of the candidates, starting at another
// one each time. It skips those that recently left a request unanswered.
func (lim *Limiter) selectLenders(now clock.Time, a *account, candidates []id.Instance, limit int) []id.Instance {
	candidates = slices.DeleteFunc(candidates, func(i id.Instance) bool { return now.Before(a.avoidUntil[i]) })
	if len(candidates) <= limit {
		return candidates
	}
	first := int(lim.lastRequestID % uint64(len(candidates)))
	return append(candidates[first:], candidates[:first]...)[:limit]
}

// rebalance borrows tokens before they run short. A full bucket at another
// holder wastes the tokens that it gains, and the account's callers at this
// instance would lack them later.
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

// sendLoanRequest assigns the request an ID and its deadlines, and sends it.
func (lim *Limiter) sendLoanRequest(now clock.Time, a *account, req *loanRequest, out *event.Outbox) {
	lim.lastRequestID++
	req.sentAt = now
	req.retryAt = now.Add(lim.settings.LoanRequestTimeout / 2)
	req.expiresAt = now.Add(lim.settings.LoanTerm)
	req.id = lim.lastRequestID
	a.loanRequests = append(a.loanRequests, req)
	out.Send(req.to, req.message(a))
}

// message returns the message that carries the request.
func (req *loanRequest) message(a *account) message.LoanRequest {
	return message.LoanRequest{ID: req.id, Account: a.name, Tokens: req.tokens, Rate: req.rate, Capacity: req.capacity, HolderCount: req.lenders}
}

// retryLoanRequests sends each unanswered request once more and removes
// expired ones.
func (lim *Limiter) retryLoanRequests(now clock.Time, a *account, out *event.Outbox) {
	a.loanRequests = slices.DeleteFunc(a.loanRequests, func(req *loanRequest) bool { return now.Reached(req.expiresAt) })
	for _, req := range a.loanRequests {
		if now.Reached(req.retryAt) {
			req.retryAt = clock.Never
			out.Send(req.to, req.message(a))
		}
	}
}

// HandleMessage handles a message of another instance.
func (lim *Limiter) HandleMessage(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	switch m := m.(type) {
	case message.LoanRequest:
		lim.handleLoanRequest(now, from, m, out)
	case message.LoanGrant:
		lim.handleLoanReply(now, from, m, out)
	case message.LoanSettlement:
		lim.handleSettlement(now, from, m)
	case message.SlotsHeld:
		lim.directory.update(now, from, lim.members.ZoneOf(from), m)
	case message.SlotTransfer:
		lim.handleSlotGiven(now, from, m.Slot, out)
	case message.SlotTransferAck:
		lim.handleSlotTaken(from, m.Slot)
	}
}

// handleLoanReply handles the reply to a loan request. A duplicate reply, or
// one that arrives after the loan has expired on this clock, finds no request
// and is ignored.
func (lim *Limiter) handleLoanReply(now clock.Time, from id.Instance, reply message.LoanGrant, out *event.Outbox) {
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

// addBorrowedTokens adds a loan of tokens, keeping the loans sorted by
// expiry.
func (lim *Limiter) addBorrowedTokens(a *account, from id.Instance, reply message.LoanGrant, until clock.Time) {
	if reply.Tokens <= 0 {
		return
	}
	a.borrowedTokens = append(a.borrowedTokens, borrowedTokens{from: from, id: reply.ID, tokens: reply.Tokens, until: until})
	slices.SortStableFunc(a.borrowedTokens, func(p, q borrowedTokens) int { return int(p.until.Sub(q.until)) })
}
