package rate

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/message"
)

// tickAccount does what is due for one account.
func (h *Limiter) tickAccount(now clock.Time, a *account, out *event.Outbox) {
	a.refill(h, now)
	h.retryLoanRequests(now, a, out)
	h.processQueue(now, a, out)
	h.reviewShares(now, a, out)
	h.scheduleNextTick(now, a)
}

// serve grants what can be granted, in the order of arrival, and sees to what
// is missing.
func (h *Limiter) processQueue(now clock.Time, a *account, out *event.Outbox) {
	h.grantQueued(now, a, out)
	if len(a.queue) == 0 {
		a.round.running, a.round.attempts = false, 0
		h.settleBorrowedTokens(a, out)
		return
	}
	h.advanceRound(now, a, out)
	h.refuseUnservable(now, a)
}

func (h *Limiter) grantQueued(now clock.Time, a *account, out *event.Outbox) {
	for len(a.queue) > 0 {
		w := a.queue[0]
		if a.available()+a.roundingTolerance() < w.tokens || now > w.deadline {
			return
		}
		// Asked right before each spend: a lease that lapsed while this
		// instance was paused may be another's by now, and both would spend.
		if !h.canSpend(now) {
			return
		}
		if !h.spend(a, w.tokens, out) {
			return
		}
		a.queue = slices.Delete(a.queue, 0, 1)
		delete(h.waiting, w.request)
		a.round.attempts = min(a.round.attempts, attemptsAfterGrant)
		h.decisions = append(h.decisions, Decision{Request: w.request, Granted: true})
	}
}

// maySpend reports whether this instance may spend at now. One without a slot
// has only what was lent to it, which ends by its own clock, lease or no lease:
// an instance that starts while the table is down has no session, and would
// else refuse every caller although its neighbours have tokens to lend.
func (h *Limiter) canSpend(now clock.Time) bool {
	return len(h.slots) == 0 || h.rights.Valid(now) || h.hooks.skipLeaseCheck
}

// spend takes tokens, the borrowed ones first: they run out.
func (h *Limiter) spend(a *account, tokens float64, out *event.Outbox) bool {
	if a.available()+a.roundingTolerance() < tokens {
		return h.check.Hold(false, "rate-overspent", "%s: %g of %g", a.name, tokens, a.available())
	}
	left := tokens
	kept := a.borrowedTokens[:0]
	for _, p := range a.borrowedTokens {
		used := min(p.tokens, left)
		p.tokens -= used
		left -= used
		if p.tokens > 0 {
			kept = append(kept, p)
			continue
		}
		out.Send(p.from, message.Settle{ID: p.id, Account: a.name})
	}
	a.borrowedTokens = kept
	a.balance = max(0, a.balance-left)
	a.granted += tokens
	return a.checkInvariants(h)
}

// settleBorrowed puts borrowed tokens that nobody waits for into the bucket as far
// as it has room, and returns the rest.
func (h *Limiter) settleBorrowedTokens(a *account, out *event.Outbox) {
	for _, p := range a.borrowedTokens {
		kept := max(0, min(p.tokens, a.limits(h, a.refilledAt).burst-a.balance))
		a.balance += kept
		out.Send(p.from, message.Settle{ID: p.id, Account: a.name, Returned: p.tokens - kept})
	}
	a.borrowedTokens = nil
	a.checkInvariants(h)
}

// judge refuses the waiting requests that can't be granted in time.
func (h *Limiter) refuseUnservable(now clock.Time, a *account) {
	valid := h.canSpend(now)
	reach := a.reachableRate(h)
	ahead := -a.available()
	kept := a.queue[:0]
	for _, w := range a.queue {
		wait := fillTime(ahead+w.tokens, reach)
		why := a.refusalReason(now, w, wait, valid)
		if why == ReasonNone {
			ahead += w.tokens
			kept = append(kept, w)
			continue
		}
		h.refuse(w.request, why, max(fillTime(ahead+w.tokens, a.rate), time.Second))
	}
	a.queue = kept
}

// refusal returns why w is to be refused now, or ReasonNone.
func (a *account) refusalReason(now clock.Time, w waiter, wait time.Duration, valid bool) Reason {
	late := now > w.deadline
	switch {
	case !valid && (late || w.waitedFor(now) >= maxLeaseWait):
		return ReasonNoLease
	case late:
		return ReasonOverRate
	case !valid || a.round.running:
		return ReasonNone
	case now.Add(wait) > w.deadline:
		return ReasonOverRate
	}
	return ReasonNone
}

// reach returns the rate, in tokens a second, of this instance and of the
// holders that answered the last round.
func (a *account) reachableRate(h *Limiter) float64 {
	n := float64(len(h.slots) + a.round.answeredSlots)
	return a.rate * min(1, n/h.totalSlots())
}

// fillTime returns how long missing tokens take at a rate.
func fillTime(missing, rate float64) time.Duration {
	switch {
	case missing <= 0:
		return 0
	case rate <= 0:
		return maxEstimate
	}
	return secondsToDuration(missing / rate)
}

// plan sets the next tick of an account.
func (h *Limiter) scheduleNextTick(now clock.Time, a *account) {
	t := clock.Never
	for _, d := range a.loanRequests {
		t = min(t, d.retryAt, d.expiresAt)
	}
	for _, s := range a.borrowedShares {
		t = min(t, s.until, max(s.until.Add(-h.settings.LoanTerm/2), a.nextShareReview))
	}
	if len(a.queue) > 0 {
		t = min(t, h.nextQueueTick(now, a))
	}
	if t != clock.Never {
		h.scheduleTick(a, max(t, now.Add(minTickDelay)))
	}
}

// minPlan keeps an account from asking for a tick at the moment of a tick.
const minTickDelay = time.Millisecond

func (h *Limiter) nextQueueTick(now clock.Time, a *account) clock.Time {
	t := clock.Never
	for _, w := range a.queue {
		t = min(t, w.deadline.Add(1))
	}
	if a.round.running {
		return min(t, a.round.deadline)
	}
	if !h.canSpend(now) {
		return min(t, now.Add(minRoundPause))
	}
	l := a.limits(h, now)
	own := fillTime(a.queue[0].tokens-a.available(), l.rate)
	return min(t, a.round.nextStart, now.Add(own))
}
