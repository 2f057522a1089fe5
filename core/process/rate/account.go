package rate

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
)

// account is this instance's state of one client account, over all slots that
// it holds. Its token bucket is refilled lazily, whenever the account is
// used.
type account struct {
	name        id.Account
	rate, burst float64 // limits of the account over all instances
	removed     bool    // no longer in the configuration

	balance    float64 // tokens in the bucket at refilledAt
	refilledAt clock.Time
	granted    float64 // tokens granted and not refunded

	// These lists have a fixed order, because the sum of floating-point
	// numbers depends on the order of the terms.
	borrowedTokens []borrowedTokens // for queued requests, the earliest to expire first
	borrowedShares []*borrowedShare // by lender
	lentTokens     []lentTokens     // by time of lending
	lentShares     []*lentShare     // by borrower
	loanRequests   []*loanRequest   // without an answer, by ID

	avoidUntil  map[id.Instance]clock.Time // holders that did not answer
	noRateUntil map[id.Instance]clock.Time // holders that had no rate to lend
	round       borrowRound
	queue       []waiter

	demand          float64 // average demand in tokens a second at demandAt
	demandAt        clock.Time
	nextShareReview clock.Time
	nextRebalance   clock.Time
	nextTick        clock.Time // clock.Never if no tick is scheduled
}

func newAccount(now clock.Time, c config.Account) *account {
	return &account{
		name:        c.Name,
		rate:        c.Rate,
		burst:       c.Burst,
		refilledAt:  now,
		demandAt:    now,
		avoidUntil:  make(map[id.Instance]clock.Time),
		noRateUntil: make(map[id.Instance]clock.Time),
		nextTick:    clock.Never,
	}
}

// limits are the refill rate and the capacity (burst) of a bucket.
type limits struct{ rate, burst float64 }

// ownLimits returns the limits that the held slots give at t, including what
// is lent to other instances.
func (a *account) ownLimits(lim *Limiter, t clock.Time) limits {
	n := lim.countingSlots(t)
	return limits{rate: a.rate / lim.totalSlots() * n, burst: a.burst / lim.totalSlots() * n}
}

// lentLimits returns the rate and the burst that are lent to other instances.
func (a *account) lentLimits() limits {
	var l limits
	for _, s := range a.lentShares {
		l.rate += s.rate()
		l.burst += s.burst()
	}
	for _, t := range a.lentTokens {
		l.burst += t.tokens
	}
	return l
}

// limits returns the limits of the bucket at t: those of the held slots, less
// what is lent, plus what is borrowed.
func (a *account) limits(lim *Limiter, t clock.Time) limits {
	l := a.ownLimits(lim, t)
	if len(a.lentTokens)+len(a.lentShares) > 0 && !lim.hooks.keepLentCapacity {
		lent := a.lentLimits()
		l.rate -= lent.rate
		l.burst -= lent.burst
	}
	for _, s := range a.borrowedShares {
		l.rate += s.rate
		l.burst += s.burst
	}
	l.rate, l.burst = max(0, l.rate), max(0, l.burst)
	return l
}

// refill brings the bucket up to now. It goes in steps between the moments at
// which the limits change: a slot begins to count, or a loan expires.
func (a *account) refill(lim *Limiter, now clock.Time) {
	for a.refilledAt.Before(now) {
		next := a.nextLimitChange(lim, now)
		l := a.limits(lim, a.refilledAt)
		a.balance = min(l.burst, a.balance+l.rate*next.Sub(a.refilledAt).Seconds())
		a.refilledAt = next
		a.removeExpired(next)
	}
	a.clampBalance(lim)
}

// nextLimitChange returns the first moment after the last refill at which the
// limits change, at most now.
func (a *account) nextLimitChange(lim *Limiter, now clock.Time) clock.Time {
	next := now
	consider := func(c clock.Time) {
		if a.refilledAt.Before(c) {
			next = min(next, c)
		}
	}
	for _, s := range lim.slots {
		consider(s.countsFrom)
	}
	for _, s := range a.borrowedShares {
		consider(s.until)
	}
	for _, s := range a.lentShares {
		consider(s.nextChange())
	}
	for _, l := range a.lentTokens {
		consider(l.until)
	}
	return next
}

func (a *account) removeExpired(t clock.Time) {
	a.borrowedShares = slices.DeleteFunc(a.borrowedShares, func(s *borrowedShare) bool { return t.Reached(s.until) })
	a.lentShares = slices.DeleteFunc(a.lentShares, func(s *lentShare) bool { return s.removeExpired(t) })
	a.lentTokens = slices.DeleteFunc(a.lentTokens, func(l lentTokens) bool { return t.Reached(l.until) })
	a.borrowedTokens = slices.DeleteFunc(a.borrowedTokens, func(p borrowedTokens) bool { return t.Reached(p.until) })
}

// clampBalance limits the balance to the capacity of the bucket.
func (a *account) clampBalance(lim *Limiter) {
	a.balance = max(0, min(a.balance, a.limits(lim, a.refilledAt).burst))
}

// available returns the tokens that can be spent now, borrowed ones included.
func (a *account) available() float64 {
	total := a.balance
	for _, p := range a.borrowedTokens {
		total += p.tokens
	}
	return total
}

// queuedTokens returns the tokens that all queued requests ask for.
func (a *account) queuedTokens() float64 {
	total := 0.0
	for _, w := range a.queue {
		total += w.tokens
	}
	return total
}

// roundingTolerance returns the accepted rounding error of sums of tokens.
func (a *account) roundingTolerance() float64 { return a.burst * relativeTolerance }

// checkInvariants checks the balance against its bounds. It runs at each
// spend, so it passes arguments to the checker only for a violation.
func (a *account) checkInvariants(lim *Limiter) bool {
	capacity := a.limits(lim, a.refilledAt).burst
	switch {
	case a.balance < -a.roundingTolerance():
		return lim.check.Hold(false, "rate-negative", "%s has %g tokens", a.name, a.balance)
	case a.balance > capacity+a.roundingTolerance():
		return lim.check.Hold(false, "rate-over-burst", "%s has %g tokens, more than the capacity %g", a.name, a.balance, capacity)
	}
	return true
}

// recordDemand adds the tokens of a request to the average demand.
func (a *account) recordDemand(now clock.Time, tokens float64) {
	a.demand = a.currentDemand(now) + tokens/demandWindow.Seconds()
	a.demandAt = now
}

// currentDemand returns the average demand in tokens a second, which decays
// exponentially with demandWindow.
func (a *account) currentDemand(now clock.Time) float64 {
	return a.demand * math.Exp(-now.Sub(a.demandAt).Seconds()/demandWindow.Seconds())
}

// secondsToDuration converts seconds to a duration, rounded up and at most
// maxEstimate.
func secondsToDuration(s float64) time.Duration {
	if s > maxEstimate.Seconds() {
		return maxEstimate
	}
	return time.Duration(math.Ceil(s * float64(time.Second)))
}

// maxEstimate caps estimated times, which could overflow a time.Duration.
const maxEstimate = 365 * 24 * time.Hour

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
