package rate

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/message"
)

// tickAccount does what is due for one account.
func (h *Holder) tickAccount(now clock.Time, a *account, out *event.Outbox) {
	a.refill(h, now)
	h.tickDraws(now, a, out)
	h.serve(now, a, out)
	h.manageShares(now, a, out)
	h.plan(now, a)
}

// serve grants what can be granted, in the order of arrival, and sees to what
// is missing.
func (h *Holder) serve(now clock.Time, a *account, out *event.Outbox) {
	h.grant(now, a, out)
	if len(a.queue) == 0 {
		a.round.running, a.round.tries = false, 0
		h.settleBorrowed(a, out)
		return
	}
	h.drawRound(now, a, out)
	h.judge(now, a)
}

func (h *Holder) grant(now clock.Time, a *account, out *event.Outbox) {
	for len(a.queue) > 0 {
		w := a.queue[0]
		if a.available()+a.slack() < w.tokens || now > w.deadline {
			return
		}
		// Asked right before each spend: a lease that lapsed while this
		// instance was paused may be another's by now, and both would spend.
		if !h.maySpend(now) {
			return
		}
		if !h.spend(a, w.tokens, out) {
			return
		}
		a.queue = slices.Delete(a.queue, 0, 1)
		delete(h.waiting, w.request)
		a.round.tries = min(a.round.tries, triesAfterGrant)
		h.decisions = append(h.decisions, Decision{Request: w.request, Granted: true})
	}
}

// maySpend reports whether this instance may spend at now. One without a slot
// has only what was lent to it, which ends by its own clock, lease or no lease:
// an instance that starts while the table is down has no session, and would
// else refuse every caller although its neighbours have tokens to lend.
func (h *Holder) maySpend(now clock.Time) bool {
	return len(h.slots) == 0 || h.rights.Valid(now) || h.hooks.skipRights
}

// spend takes tokens, the borrowed ones first: they run out.
func (h *Holder) spend(a *account, tokens float64, out *event.Outbox) bool {
	if a.available()+a.slack() < tokens {
		return h.check.Hold(false, "rate-overspent", "%s: %g of %g", a.name, tokens, a.available())
	}
	left := tokens
	kept := a.borrowed[:0]
	for _, p := range a.borrowed {
		used := min(p.tokens, left)
		p.tokens -= used
		left -= used
		if p.tokens > 0 {
			kept = append(kept, p)
			continue
		}
		out.Send(p.from, message.LoanSettlement{ID: p.id, Account: a.name})
	}
	a.borrowed = kept
	a.balance = max(0, a.balance-left)
	a.taken += tokens
	return a.holdsInvariants(h)
}

// settleBorrowed puts borrowed tokens that nobody waits for into the bucket as far
// as it has room, and returns the rest.
func (h *Holder) settleBorrowed(a *account, out *event.Outbox) {
	for _, p := range a.borrowed {
		kept := max(0, min(p.tokens, a.limits(h, a.at).burst-a.balance))
		a.balance += kept
		out.Send(p.from, message.LoanSettlement{ID: p.id, Account: a.name, Returned: p.tokens - kept})
	}
	a.borrowed = nil
	a.holdsInvariants(h)
}

// judge refuses the waiting requests that can't be granted in time.
func (h *Holder) judge(now clock.Time, a *account) {
	valid := h.maySpend(now)
	reach := a.reach(h)
	ahead := -a.available()
	kept := a.queue[:0]
	for _, w := range a.queue {
		wait := fillTime(ahead+w.tokens, reach)
		why := a.refusal(now, w, wait, valid)
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
func (a *account) refusal(now clock.Time, w waiter, wait time.Duration, valid bool) Reason {
	late := now > w.deadline
	switch {
	case !valid && (late || w.waitedFor(now) >= maxInvalidWait):
		return ReasonLease
	case late:
		return ReasonRate
	case !valid || a.round.running:
		return ReasonNone
	case now.Add(wait) > w.deadline:
		return ReasonRate
	}
	return ReasonNone
}

// reach returns the rate, in tokens a second, of this instance and of the
// holders that answered the last round.
func (a *account) reach(h *Holder) float64 {
	n := float64(len(h.slots) + a.round.reach)
	return a.rate * min(1, n/h.parts())
}

// fillTime returns how long missing tokens take at a rate.
func fillTime(missing, rate float64) time.Duration {
	switch {
	case missing <= 0:
		return 0
	case rate <= 0:
		return maxWait
	}
	return seconds(missing / rate)
}

// plan sets the next tick of an account.
func (h *Holder) plan(now clock.Time, a *account) {
	t := clock.Never
	for _, d := range a.draws {
		t = min(t, d.again, d.expires)
	}
	for _, s := range a.shares {
		t = min(t, s.until, max(s.until.Add(-h.set.LoanTerm/2), a.nextShare))
	}
	if len(a.queue) > 0 {
		t = min(t, h.planQueue(now, a))
	}
	if t != clock.Never {
		h.wake(a, max(t, now.Add(minPlan)))
	}
}

// minPlan keeps an account from asking for a tick at the moment of a tick.
const minPlan = time.Millisecond

func (h *Holder) planQueue(now clock.Time, a *account) clock.Time {
	t := clock.Never
	for _, w := range a.queue {
		t = min(t, w.deadline.Add(1))
	}
	if a.round.running {
		return min(t, a.round.until)
	}
	if !h.maySpend(now) {
		return min(t, now.Add(retryMin))
	}
	l := a.limits(h, now)
	own := fillTime(a.queue[0].tokens-a.available(), l.rate)
	return min(t, a.round.next, now.Add(own))
}
