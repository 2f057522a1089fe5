package rate

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// minLentShare is the smallest part of the own rate that is lent.
const minLentShare = 0.02

// lenderTerm returns how long a lender reserves what it lent.
func (lim *Limiter) lenderTerm() time.Duration {
	return lim.settings.LoanTerm + lim.settings.LoanMargin
}

// handleLoanRequest replies to a loan request. The reply is cached for as
// long as the loan lasts: if it is lost, the repeated request gets the same
// reply and nothing is deducted twice.
func (lim *Limiter) handleLoanRequest(now clock.Time, from id.Instance, req message.LoanRequest, out *event.Outbox) {
	key := loanKey{to: from, id: req.ID}
	if reply, ok := lim.replies.find(now, key); ok && !lim.hooks.lendTwice {
		out.Send(from, reply)
		return
	}
	reply := message.LoanGrant{ID: req.ID, Account: req.Account, Term: lim.settings.LoanTerm}
	a := lim.account(now, req.Account)
	// If the lease expired during a pause, another instance may hold the slots.
	if a != nil && (lim.rights.Valid(now) || lim.hooks.skipLeaseCheck) {
		a.refill(lim, now)
		if req.Rate > 0 {
			lim.lendShare(now, a, from, req, &reply)
		} else {
			lim.lendTokens(now, a, key, req, &reply)
		}
		a.checkInvariants(lim)
	}
	lim.replies.store(now.Add(lim.lenderTerm()), key, reply)
	out.Send(from, reply)
}

// lendTokens lends the requested tokens, as far as they are not needed for
// queued requests.
func (lim *Limiter) lendTokens(now clock.Time, a *account, key loanKey, req message.LoanRequest, reply *message.LoanGrant) {
	amount := min(req.Tokens, a.balance-a.queuedTokens())
	if req.Capacity > 0 {
		amount = min(amount, rebalanceAmount(a.balance, a.limits(lim, now).burst, req))
	}
	if unlent := a.ownLimits(lim, now).burst - a.lentLimits().burst; amount > unlent {
		// Capacity that was itself borrowed may only be lent on for a term
		// that ends before its own loan does. After that, the first lender
		// fills the same capacity again.
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

// rebalanceAmount returns the tokens to lend from a bucket with the given
// balance and capacity, so that the buckets of the requester and of all
// lenders become equally full.
func rebalanceAmount(tokens, capacity float64, req message.LoanRequest) float64 {
	surplus := tokens*req.Capacity - (req.Capacity-req.Tokens)*capacity
	return surplus / (float64(max(1, req.HolderCount))*capacity + req.Capacity)
}

// shortestShareTerm returns the time until the first borrowed share expires.
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

// lendShare lends a part of the own share that the demand at this instance
// doesn't need: rate, the same part of the burst, and the tokens in that part
// of the bucket.
func (lim *Limiter) lendShare(now clock.Time, a *account, from id.Instance, req message.LoanRequest, reply *message.LoanGrant) {
	own, lent := a.ownLimits(lim, now), a.lentLimits()
	previousBurst := 0.0
	if s := a.lentShareTo(from); s != nil {
		previousBurst = s.burst()
		lent.rate -= s.rate()
		lent.burst -= previousBurst
	}
	rate := min(req.Rate, own.rate-lent.rate-lendHeadroom*a.currentDemand(now))
	if lim.hooks.overLend {
		rate = req.Rate
	}
	if rate <= 0 || rate < minLentShare*own.rate {
		return
	}
	burst := max(0, min(own.burst*rate/own.rate, own.burst-lent.burst))
	if !lim.check.Hold(rate+lent.rate <= own.rate*(1+relativeTolerance), "rate-overlent", "%s lends a rate of %g of its %g", a.name, rate+lent.rate, own.rate) {
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

// handleSettlement ends a loan early. A duplicate settlement finds no loan
// and is ignored.
func (lim *Limiter) handleSettlement(now clock.Time, from id.Instance, m message.LoanSettlement) {
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
		a.endShare(s, m.EarlierOnly)
	}
	a.balance += max(0, returned)
	a.clampBalance(lim)
	if len(a.queue) > 0 {
		lim.scheduleTick(a, now)
	}
}

// endShare ends a loan of a share. With keep it only ends the part that was
// lent before the last extension and that the borrower no longer uses.
func (a *account) endShare(s *lentShare, keep bool) {
	s.previous = reservation{}
	if !keep {
		a.lentShares = slices.DeleteFunc(a.lentShares, func(t *lentShare) bool { return t == s })
	}
}

// replyCache keeps the replies to loan requests until their loans have
// expired.
type replyCache struct {
	replies  map[loanKey]message.LoanGrant
	expiries []replyExpiry // by time
}

// replyExpiry is the time at which a reply is removed from the cache.
type replyExpiry struct {
	until clock.Time
	key   loanKey
}

func newReplyCache() replyCache { return replyCache{replies: make(map[loanKey]message.LoanGrant)} }

func (c *replyCache) find(now clock.Time, key loanKey) (message.LoanGrant, bool) {
	c.removeExpired(now)
	reply, ok := c.replies[key]
	return reply, ok
}

func (c *replyCache) store(until clock.Time, key loanKey, reply message.LoanGrant) {
	c.replies[key] = reply
	c.expiries = append(c.expiries, replyExpiry{until: until, key: key})
}

func (c *replyCache) removeExpired(now clock.Time) {
	for len(c.expiries) > 0 && now.Reached(c.expiries[0].until) {
		delete(c.replies, c.expiries[0].key)
		c.expiries = c.expiries[1:]
	}
}
