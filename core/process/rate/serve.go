package rate

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/message"
)

// tickAccount does everything that is due for one account.
func (lim *Limiter) tickAccount(now clock.Time, a *account, out *event.Outbox) {
	a.refill(lim, now)
	lim.retryLoanRequests(now, a, out)
	lim.processQueue(now, a, out)
	lim.reviewShares(now, a, out)
	lim.scheduleNextTick(now, a)
}

// processQueue grants the queued requests that can be granted, in order of
// arrival, requests loans for the others and refuses those that can't be
// granted in time.
func (lim *Limiter) processQueue(now clock.Time, a *account, out *event.Outbox) {
	lim.grantQueued(now, a, out)
	if len(a.queue) == 0 {
		a.round.running, a.round.attempts = false, 0
		lim.settleBorrowedTokens(a, out)
		return
	}
	lim.advanceRound(now, a, out)
	lim.refuseUnservable(now, a)
}

// grantQueued grants requests from the head of the queue while there are
// tokens.
func (lim *Limiter) grantQueued(now clock.Time, a *account, out *event.Outbox) {
	for len(a.queue) > 0 {
		w := a.queue[0]
		if a.available()+a.roundingTolerance() < w.tokens || now > w.deadline {
			return
		}
		// The lease is checked right before each spend. If it expired while
		// this instance was paused, another instance may hold the slots by
		// now, and both would spend their tokens.
		if !lim.canSpend(now) {
			return
		}
		if !lim.spend(a, w.tokens, out) {
			return
		}
		a.queue = slices.Delete(a.queue, 0, 1)
		delete(lim.waiting, w.request)
		a.round.attempts = min(a.round.attempts, attemptsAfterGrant)
		lim.decisions = append(lim.decisions, Decision{Request: w.request, Granted: true})
	}
}

// canSpend reports whether this instance may spend tokens at now. Without a
// slot it has only borrowed tokens, which expire by its own clock and need no
// lease. An instance that starts while the table is down has no session and
// would otherwise refuse every caller, although other holders have tokens to
// lend.
func (lim *Limiter) canSpend(now clock.Time) bool {
	return len(lim.slots) == 0 || lim.rights.Valid(now) || lim.hooks.skipLeaseCheck
}

// spend takes tokens, borrowed ones first because they expire.
func (lim *Limiter) spend(a *account, tokens float64, out *event.Outbox) bool {
	if a.available()+a.roundingTolerance() < tokens {
		return lim.check.Hold(false, "rate-overspent", "%s spends %g tokens of %g available", a.name, tokens, a.available())
	}
	remaining := tokens
	kept := a.borrowedTokens[:0]
	for _, loan := range a.borrowedTokens {
		used := min(loan.tokens, remaining)
		loan.tokens -= used
		remaining -= used
		if loan.tokens > 0 {
			kept = append(kept, loan)
			continue
		}
		out.Send(loan.from, message.LoanSettlement{ID: loan.id, Account: a.name})
	}
	a.borrowedTokens = kept
	a.balance = max(0, a.balance-remaining)
	a.granted += tokens
	return a.checkInvariants(lim)
}

// settleBorrowedTokens moves borrowed tokens that no request waits for into
// the bucket, as far as it has capacity, and returns the rest to the lenders.
func (lim *Limiter) settleBorrowedTokens(a *account, out *event.Outbox) {
	for _, loan := range a.borrowedTokens {
		absorbed := max(0, min(loan.tokens, a.limits(lim, a.refilledAt).burst-a.balance))
		a.balance += absorbed
		out.Send(loan.from, message.LoanSettlement{ID: loan.id, Account: a.name, Returned: loan.tokens - absorbed})
	}
	a.borrowedTokens = nil
	a.checkInvariants(lim)
}

// refuseUnservable refuses the queued requests that can't be granted in time.
func (lim *Limiter) refuseUnservable(now clock.Time, a *account) {
	canSpend := lim.canSpend(now)
	rate := a.reachableRate(lim)
	missing := -a.available()
	remaining := a.queue[:0]
	for _, w := range a.queue {
		wait := fillTime(missing+w.tokens, rate)
		reason := a.refusalReason(now, w, wait, canSpend)
		if reason == ReasonNone {
			missing += w.tokens
			remaining = append(remaining, w)
			continue
		}
		lim.refuse(w.request, reason, max(fillTime(missing+w.tokens, a.rate), time.Second))
	}
	a.queue = remaining
}

// refusalReason returns why a request is to be refused now, or ReasonNone.
// wait is the estimated time until the request has its tokens.
func (a *account) refusalReason(now clock.Time, w waiter, wait time.Duration, canSpend bool) Reason {
	late := now > w.deadline
	switch {
	case !canSpend && (late || w.waitedFor(now) >= maxLeaseWait):
		return ReasonNoLease
	case late:
		return ReasonOverRate
	case !canSpend || a.round.running:
		return ReasonNone
	case now.Add(wait) > w.deadline:
		return ReasonOverRate
	}
	return ReasonNone
}

// reachableRate returns the rate, in tokens a second, of the slots of this
// instance and of the holders that answered in the last round.
func (a *account) reachableRate(lim *Limiter) float64 {
	slots := float64(len(lim.slots) + a.round.answeredSlots)
	return a.rate * min(1, slots/lim.totalSlots())
}

// fillTime returns the time in which the missing tokens accrue at a rate.
func fillTime(missing, rate float64) time.Duration {
	switch {
	case missing <= 0:
		return 0
	case rate <= 0:
		return maxEstimate
	}
	return secondsToDuration(missing / rate)
}

// scheduleNextTick schedules the next tick of an account.
func (lim *Limiter) scheduleNextTick(now clock.Time, a *account) {
	next := clock.Never
	for _, req := range a.loanRequests {
		next = min(next, req.retryAt, req.expiresAt)
	}
	for _, s := range a.borrowedShares {
		next = min(next, s.until, max(s.until.Add(-lim.settings.LoanTerm/2), a.nextShareReview))
	}
	if len(a.queue) > 0 {
		next = min(next, lim.nextQueueTick(now, a))
	}
	if next != clock.Never {
		lim.scheduleTick(a, max(next, now.Add(minTickDelay)))
	}
}

// minTickDelay keeps an account from scheduling a tick for the current time.
const minTickDelay = time.Millisecond

// nextQueueTick returns when the queue of an account needs a tick: a
// request's deadline passes, a round ends or may start, or the own bucket has
// filled up for the first request.
func (lim *Limiter) nextQueueTick(now clock.Time, a *account) clock.Time {
	next := clock.Never
	for _, w := range a.queue {
		next = min(next, w.deadline.Add(1))
	}
	if a.round.running {
		return min(next, a.round.deadline)
	}
	if !lim.canSpend(now) {
		return min(next, now.Add(minRoundPause))
	}
	own := a.limits(lim, now)
	ownWait := fillTime(a.queue[0].tokens-a.available(), own.rate)
	return min(next, a.round.nextStart, now.Add(ownWait))
}
