package rate

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// worthLending is the smallest part of the own rate that is lent.
const minLentShare = 0.02

// loanHold is how long a lender sets aside what it lent.
func (lim *Limiter) lenderTerm() time.Duration {
	return lim.settings.LoanTerm + lim.settings.LoanMargin
}

// drawn answers a Draw. The answer is kept for as long as the loan lasts: when
// it was lost, the repeat gets it again and nothing is deducted twice.
func (lim *Limiter) handleLoanRequest(now clock.Time, from id.Instance, req message.Draw, out *event.Outbox) {
	key := loanKey{to: from, id: req.ID}
	if reply, ok := lim.replies.find(now, key); ok && !lim.hooks.lendTwice {
		out.Send(from, reply)
		return
	}
	reply := message.Lent{ID: req.ID, Account: req.Account, Term: lim.settings.LoanTerm}
	a := lim.account(now, req.Account)
	// A lease that lapsed during a pause may be another's by now.
	if a != nil && (lim.rights.Valid(now) || lim.hooks.skipLeaseCheck) {
		a.refill(lim, now)
		if req.WantRate > 0 {
			lim.lendShare(now, a, from, req, &reply)
		} else {
			lim.lendTokens(now, a, key, req, &reply)
		}
		a.checkInvariants(lim)
	}
	lim.replies.store(now.Add(lim.lenderTerm()), key, reply)
	out.Send(from, reply)
}

// lendTokens gives what is asked for out of what nobody waits for here.
func (lim *Limiter) lendTokens(now clock.Time, a *account, key loanKey, req message.Draw, reply *message.Lent) {
	amount := min(req.Tokens, a.balance-a.queuedTokens())
	if req.Room > 0 {
		amount = min(amount, rebalanceAmount(a.balance, a.limits(lim, now).burst, req))
	}
	if unlent := a.ownLimits(lim, now).burst - a.lentLimits().burst; amount > unlent {
		// The room of a borrowed share may be lent on while that share surely
		// lasts; beyond it the first lender fills it again.
		reply.Term = min(reply.Term, a.shortestShareTerm(now)-lim.settings.LoanMargin)
		if reply.Term < lim.settings.LoanRequestTimeout {
			reply.Term = lim.settings.LoanTerm
			amount = unlent
		}
	}
	if amount <= a.roundingTolerance() {
		return
	}
	if !lim.check.Hold(amount <= a.limits(lim, now).burst+a.roundingTolerance(), "rate-overlent", "%s lends %g tokens", a.name, amount) {
		return
	}
	reply.Tokens = amount
	a.lentTokens = append(a.lentTokens, lentTokens{key: key, tokens: amount, until: now.Add(reply.Term + lim.settings.LoanMargin)})
	if !lim.hooks.lendWithoutDeducting {
		a.balance = max(0, a.balance-amount)
	}
	a.clampBalance(lim)
}

// evenOut returns what a bucket with so many tokens and so much room gives to
// make all that take part in m equally full.
func rebalanceAmount(tokens, capacity float64, req message.Draw) float64 {
	surplus := tokens*req.Room - (req.Room-req.Tokens)*capacity
	return surplus / (float64(max(1, req.Among))*capacity + req.Room)
}

// sharesLast returns how long the borrowed share that ends first lasts.
func (a *account) shortestShareTerm(now clock.Time) time.Duration {
	if len(a.borrowedShares) == 0 {
		return 0
	}
	earliest := clock.Never
	for _, s := range a.borrowedShares {
		earliest = min(earliest, s.until)
	}
	return earliest.Sub(now)
}

// lendShare lends the part of the own share that the demand here leaves over:
// rate, the same part of the burst, and the tokens that are in that part.
func (lim *Limiter) lendShare(now clock.Time, a *account, from id.Instance, req message.Draw, reply *message.Lent) {
	own, lent := a.ownLimits(lim, now), a.lentLimits()
	previousBurst := 0.0
	if s := a.lentShareTo(from); s != nil {
		previousBurst = s.burst()
		lent.rate -= s.rate()
		lent.burst -= previousBurst
	}
	rate := min(req.WantRate, own.rate-lent.rate-lendHeadroom*a.currentDemand(now))
	if lim.hooks.overLend {
		rate = req.WantRate
	}
	if rate <= 0 || rate < minLentShare*own.rate {
		return
	}
	burst := max(0, min(own.burst*rate/own.rate, own.burst-lent.burst))
	if !lim.check.Hold(rate+lent.rate <= own.rate*(1+relativeTolerance), "rate-overlent", "%s lends %g of %g", a.name, rate+lent.rate, own.rate) {
		return
	}
	reply.Rate, reply.Burst = rate, burst
	if capacity := a.limits(lim, now).burst; capacity > 0 {
		reply.Tokens = a.balance * min(1, max(0, burst-previousBurst)/capacity)
	}
	a.reserveShare(from, req.ID, reservation{rate: rate, burst: burst, until: now.Add(lim.lenderTerm())})
	a.balance = max(0, a.balance-reply.Tokens)
	a.clampBalance(lim)
}

// settled ends a loan early. One that is settled again is not found.
func (lim *Limiter) handleSettlement(now clock.Time, from id.Instance, m message.Settle) {
	a := lim.accounts[m.Account]
	if a == nil {
		return
	}
	a.refill(lim, now)
	key := loanKey{to: from, id: m.ID}
	returned := 0.0
	if i := slices.IndexFunc(a.lentTokens, func(l lentTokens) bool { return l.key == key }); i >= 0 {
		returned = min(m.Returned, a.lentTokens[i].tokens)
		a.lentTokens = slices.Delete(a.lentTokens, i, i+1)
	} else if s := a.lentShareTo(from); s != nil && s.id == m.ID {
		returned = min(m.Returned, s.burst())
		a.endShare(s, m.Keep)
	}
	a.balance += max(0, returned)
	a.clampBalance(lim)
	if len(a.queue) > 0 {
		lim.scheduleTick(a, now)
	}
}

// endShare ends a loan of rate, or the part of it that was lent before its
// last extension and that the borrower no longer uses.
func (a *account) endShare(s *lentShare, keep bool) {
	s.previous = reservation{}
	if !keep {
		a.lentShares = slices.DeleteFunc(a.lentShares, func(t *lentShare) bool { return t == s })
	}
}

// answers keeps the answers to draws until their loans have run out.
type replyCache struct {
	replies  map[loanKey]message.Lent
	expiries []replyExpiry // by time of forgetting
}

type replyExpiry struct {
	until clock.Time
	key   loanKey
}

func newReplyCache() replyCache { return replyCache{replies: make(map[loanKey]message.Lent)} }

func (c *replyCache) find(now clock.Time, key loanKey) (message.Lent, bool) {
	c.removeExpired(now)
	reply, ok := c.replies[key]
	return reply, ok
}

func (c *replyCache) store(until clock.Time, key loanKey, reply message.Lent) {
	c.replies[key] = reply
	c.expiries = append(c.expiries, replyExpiry{until: until, key: key})
}

func (c *replyCache) removeExpired(now clock.Time) {
	for len(c.expiries) > 0 && now.Reached(c.expiries[0].until) {
		delete(c.replies, c.expiries[0].key)
		c.expiries = c.expiries[1:]
	}
}
