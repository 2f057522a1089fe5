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

// account is what this instance has of one client account, over all its slots.
// Its bucket is refilled only when it is looked at.
type account struct {
	name        id.Account
	rate, burst float64 // of the whole fleet
	removed     bool    // no longer configured

	balance    float64    // tokens, as of at
	refilledAt clock.Time // of the last refill
	granted    float64    // granted and not given back

	// All in a fixed order: sums of floating-point numbers depend on it.
	borrowedTokens []borrowedTokens // tokens borrowed for what waits, the first to run out first
	borrowedShares []*borrowedShare // borrowed rate and burst, by lender
	lentTokens     []lentTokens     // tokens lent
	lentShares     []*lentShare     // rate and burst lent, by borrower
	loanRequests   []*loanRequest   // sent, by ID

	avoidUntil  map[id.Instance]clock.Time // holders that did not answer, until
	noRateUntil map[id.Instance]clock.Time // holders that had no rate to lend, until
	round       borrowRound
	queue       []waiter

	demand          float64 // tokens a second, averaged, as of demandAt
	demandAt        clock.Time
	nextShareReview clock.Time
	nextRebalance   clock.Time
	nextTick        clock.Time // clock.Never: nothing pending
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

// limits are how fast a bucket fills and how full it gets.
type limits struct{ rate, burst float64 }

// own returns the limits of the held slots at t, with what is lent out of them.
func (a *account) ownLimits(lim *Limiter, t clock.Time) limits {
	n := lim.countingSlots(t)
	return limits{rate: a.rate / lim.totalSlots() * n, burst: a.burst / lim.totalSlots() * n}
}

// out returns what is lent.
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

// limits returns what the bucket has at t: the own shares less what is lent,
// and what is borrowed.
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

// refill brings the bucket to now, step by step over the moments at which a
// slot began to count or a loan ran out.
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

// nextChange returns the next moment up to now at which the limits change.
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

// clip drops what the bucket has no room for.
func (a *account) clampBalance(lim *Limiter) {
	a.balance = max(0, min(a.balance, a.limits(lim, a.refilledAt).burst))
}

// available returns the tokens that can be spent now.
func (a *account) available() float64 {
	total := a.balance
	for _, p := range a.borrowedTokens {
		total += p.tokens
	}
	return total
}

// need returns the tokens that all waiting requests want.
func (a *account) queuedTokens() float64 {
	total := 0.0
	for _, w := range a.queue {
		total += w.tokens
	}
	return total
}

// slack is what floating-point sums may be off.
func (a *account) roundingTolerance() float64 { return a.burst * relativeTolerance }

// holdsInvariants asserts what must hold between any two steps. The arguments
// are only built for a violation: this runs at each spend.
func (a *account) checkInvariants(lim *Limiter) bool {
	capacity := a.limits(lim, a.refilledAt).burst
	switch {
	case a.balance < -a.roundingTolerance():
		return lim.check.Hold(false, "rate-negative", "%s has %g tokens", a.name, a.balance)
	case a.balance > capacity+a.roundingTolerance():
		return lim.check.Hold(false, "rate-over-burst", "%s has %g tokens and room for %g", a.name, a.balance, capacity)
	}
	return true
}

// noteDemand adds tokens to the averaged demand.
func (a *account) recordDemand(now clock.Time, tokens float64) {
	a.demand = a.currentDemand(now) + tokens/demandWindow.Seconds()
	a.demandAt = now
}

// demandNow returns the averaged demand in tokens a second.
func (a *account) currentDemand(now clock.Time) float64 {
	return a.demand * math.Exp(-now.Sub(a.demandAt).Seconds()/demandWindow.Seconds())
}

func secondsToDuration(s float64) time.Duration {
	if s > maxEstimate.Seconds() {
		return maxEstimate
	}
	return time.Duration(math.Ceil(s * float64(time.Second)))
}

// maxWait caps estimates that would overflow.
const maxEstimate = 365 * 24 * time.Hour

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
