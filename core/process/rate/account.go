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
	gone        bool    // no longer configured

	balance float64    // tokens, as of at
	at      clock.Time // of the last refill
	taken   float64    // granted and not given back

	// All in a fixed order: sums of floating-point numbers depend on it.
	borrowed []tokenLoan  // tokens borrowed for what waits, the first to run out first
	shares   []*shareLoan // borrowed rate and burst, by lender
	lent     []tokenLent  // tokens lent
	lentTo   []*shareLent // rate and burst lent, by borrower
	draws    []*draw      // sent, by ID

	avoid  map[id.Instance]clock.Time // holders that did not answer, until
	noRate map[id.Instance]clock.Time // holders that had no rate to lend, until
	round  round
	queue  []waiter

	demand    float64 // tokens a second, averaged, as of demandAt
	demandAt  clock.Time
	nextShare clock.Time
	nextEven  clock.Time
	wake      clock.Time // clock.Never: nothing pending
}

func newAccount(now clock.Time, c config.Account) *account {
	return &account{
		name:     c.Name,
		rate:     c.Rate,
		burst:    c.Burst,
		at:       now,
		demandAt: now,
		avoid:    make(map[id.Instance]clock.Time),
		noRate:   make(map[id.Instance]clock.Time),
		wake:     clock.Never,
	}
}

// limits are how fast a bucket fills and how full it gets.
type limits struct{ rate, burst float64 }

// own returns the limits of the held slots at t, with what is lent out of them.
func (a *account) own(h *Limiter, t clock.Time) limits {
	n := h.slotsAt(t)
	return limits{rate: a.rate / h.parts() * n, burst: a.burst / h.parts() * n}
}

// out returns what is lent.
func (a *account) out() limits {
	var l limits
	for _, s := range a.lentTo {
		l.rate += s.rate()
		l.burst += s.burst()
	}
	for _, t := range a.lent {
		l.burst += t.tokens
	}
	return l
}

// limits returns what the bucket has at t: the own shares less what is lent,
// and what is borrowed.
func (a *account) limits(h *Limiter, t clock.Time) limits {
	l := a.own(h, t)
	if len(a.lent)+len(a.lentTo) > 0 && !h.hooks.keepRoom {
		o := a.out()
		l.rate -= o.rate
		l.burst -= o.burst
	}
	for _, s := range a.shares {
		l.rate += s.rate
		l.burst += s.burst
	}
	l.rate, l.burst = max(0, l.rate), max(0, l.burst)
	return l
}

// refill brings the bucket to now, step by step over the moments at which a
// slot began to count or a loan ran out.
func (a *account) refill(h *Limiter, now clock.Time) {
	for a.at.Before(now) {
		step := a.nextChange(h, now)
		l := a.limits(h, a.at)
		a.balance = min(l.burst, a.balance+l.rate*step.Sub(a.at).Seconds())
		a.at = step
		a.dropRunOut(step)
	}
	a.clip(h)
}

// nextChange returns the next moment up to now at which the limits change.
func (a *account) nextChange(h *Limiter, now clock.Time) clock.Time {
	t := now
	consider := func(c clock.Time) {
		if a.at.Before(c) {
			t = min(t, c)
		}
	}
	for _, s := range h.slots {
		consider(s.from)
	}
	for _, s := range a.shares {
		consider(s.until)
	}
	for _, s := range a.lentTo {
		consider(s.next())
	}
	for _, l := range a.lent {
		consider(l.until)
	}
	return t
}

func (a *account) dropRunOut(t clock.Time) {
	a.shares = slices.DeleteFunc(a.shares, func(s *shareLoan) bool { return t.Reached(s.until) })
	a.lentTo = slices.DeleteFunc(a.lentTo, func(s *shareLent) bool { return s.runOut(t) })
	a.lent = slices.DeleteFunc(a.lent, func(l tokenLent) bool { return t.Reached(l.until) })
	a.borrowed = slices.DeleteFunc(a.borrowed, func(p tokenLoan) bool { return t.Reached(p.until) })
}

// clip drops what the bucket has no room for.
func (a *account) clip(h *Limiter) {
	a.balance = max(0, min(a.balance, a.limits(h, a.at).burst))
}

// available returns the tokens that can be spent now.
func (a *account) available() float64 {
	t := a.balance
	for _, p := range a.borrowed {
		t += p.tokens
	}
	return t
}

// need returns the tokens that all waiting requests want.
func (a *account) need() float64 {
	t := 0.0
	for _, w := range a.queue {
		t += w.tokens
	}
	return t
}

// slack is what floating-point sums may be off.
func (a *account) slack() float64 { return a.burst * tolerance }

// holdsInvariants asserts what must hold between any two steps. The arguments
// are only built for a violation: this runs at each spend.
func (a *account) holdsInvariants(h *Limiter) bool {
	room := a.limits(h, a.at).burst
	switch {
	case a.balance < -a.slack():
		return h.check.Hold(false, "rate-negative", "%s has %g tokens", a.name, a.balance)
	case a.balance > room+a.slack():
		return h.check.Hold(false, "rate-over-burst", "%s has %g tokens and room for %g", a.name, a.balance, room)
	}
	return true
}

// noteDemand adds tokens to the averaged demand.
func (a *account) noteDemand(now clock.Time, tokens float64) {
	a.demand = a.demandNow(now) + tokens/demandWindow.Seconds()
	a.demandAt = now
}

// demandNow returns the averaged demand in tokens a second.
func (a *account) demandNow(now clock.Time) float64 {
	return a.demand * math.Exp(-now.Sub(a.demandAt).Seconds()/demandWindow.Seconds())
}

func seconds(s float64) time.Duration {
	if s > maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(math.Ceil(s * float64(time.Second)))
}

// maxWait caps estimates that would overflow.
const maxWait = 365 * 24 * time.Hour

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
