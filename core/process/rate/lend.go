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
func (h *Limiter) lenderTerm() time.Duration { return h.settings.LoanTerm + h.settings.LoanMargin }

// drawn answers a Draw. The answer is kept for as long as the loan lasts: when
// it was lost, the repeat gets it again and nothing is deducted twice.
func (h *Limiter) handleLoanRequest(now clock.Time, from id.Instance, m message.Draw, out *event.Outbox) {
	key := loanKey{to: from, id: m.ID}
	if l, ok := h.replies.find(now, key); ok && !h.hooks.lendTwice {
		out.Send(from, l)
		return
	}
	l := message.Lent{ID: m.ID, Account: m.Account, Term: h.settings.LoanTerm}
	a := h.account(now, m.Account)
	// A lease that lapsed during a pause may be another's by now.
	if a != nil && (h.rights.Valid(now) || h.hooks.skipLeaseCheck) {
		a.refill(h, now)
		if m.WantRate > 0 {
			h.lendShare(now, a, from, m, &l)
		} else {
			h.lendTokens(now, a, key, m, &l)
		}
		a.checkInvariants(h)
	}
	h.replies.store(now.Add(h.lenderTerm()), key, l)
	out.Send(from, l)
}

// lendTokens gives what is asked for out of what nobody waits for here.
func (h *Limiter) lendTokens(now clock.Time, a *account, key loanKey, m message.Draw, l *message.Lent) {
	give := min(m.Tokens, a.balance-a.queuedTokens())
	if m.Room > 0 {
		give = min(give, rebalanceAmount(a.balance, a.limits(h, now).burst, m))
	}
	if room := a.ownLimits(h, now).burst - a.lentLimits().burst; give > room {
		// The room of a borrowed share may be lent on while that share surely
		// lasts; beyond it the first lender fills it again.
		l.Term = min(l.Term, a.shortestShareTerm(now)-h.settings.LoanMargin)
		if l.Term < h.settings.LoanRequestTimeout {
			l.Term = h.settings.LoanTerm
			give = room
		}
	}
	if give <= a.roundingTolerance() {
		return
	}
	if !h.check.Hold(give <= a.limits(h, now).burst+a.roundingTolerance(), "rate-overlent", "%s lends %g tokens", a.name, give) {
		return
	}
	l.Tokens = give
	a.lentTokens = append(a.lentTokens, lentTokens{key: key, tokens: give, until: now.Add(l.Term + h.settings.LoanMargin)})
	if !h.hooks.lendWithoutDeducting {
		a.balance = max(0, a.balance-give)
	}
	a.clampBalance(h)
}

// evenOut returns what a bucket with so many tokens and so much room gives to
// make all that take part in m equally full.
func rebalanceAmount(tokens, room float64, m message.Draw) float64 {
	missing := tokens*m.Room - (m.Room-m.Tokens)*room
	return missing / (float64(max(1, m.Among))*room + m.Room)
}

// sharesLast returns how long the borrowed share that ends first lasts.
func (a *account) shortestShareTerm(now clock.Time) time.Duration {
	if len(a.borrowedShares) == 0 {
		return 0
	}
	t := clock.Never
	for _, s := range a.borrowedShares {
		t = min(t, s.until)
	}
	return t.Sub(now)
}

// lendShare lends the part of the own share that the demand here leaves over:
// rate, the same part of the burst, and the tokens that are in that part.
func (h *Limiter) lendShare(now clock.Time, a *account, from id.Instance, m message.Draw, l *message.Lent) {
	own, others := a.ownLimits(h, now), a.lentLimits()
	before := 0.0
	if s := a.lentShareTo(from); s != nil {
		before = s.burst()
		others.rate -= s.rate()
		others.burst -= before
	}
	rate := min(m.WantRate, own.rate-others.rate-lendHeadroom*a.currentDemand(now))
	if h.hooks.overLend {
		rate = m.WantRate
	}
	if rate <= 0 || rate < minLentShare*own.rate {
		return
	}
	burst := max(0, min(own.burst*rate/own.rate, own.burst-others.burst))
	if !h.check.Hold(rate+others.rate <= own.rate*(1+relativeTolerance), "rate-overlent", "%s lends %g of %g", a.name, rate+others.rate, own.rate) {
		return
	}
	l.Rate, l.Burst = rate, burst
	if room := a.limits(h, now).burst; room > 0 {
		l.Tokens = a.balance * min(1, max(0, burst-before)/room)
	}
	a.reserveShare(from, m.ID, reservation{rate: rate, burst: burst, until: now.Add(h.lenderTerm())})
	a.balance = max(0, a.balance-l.Tokens)
	a.clampBalance(h)
}

// settled ends a loan early. One that is settled again is not found.
func (h *Limiter) handleSettlement(now clock.Time, from id.Instance, m message.Settle) {
	a := h.accounts[m.Account]
	if a == nil {
		return
	}
	a.refill(h, now)
	key := loanKey{to: from, id: m.ID}
	back := 0.0
	if i := slices.IndexFunc(a.lentTokens, func(l lentTokens) bool { return l.key == key }); i >= 0 {
		back = min(m.Returned, a.lentTokens[i].tokens)
		a.lentTokens = slices.Delete(a.lentTokens, i, i+1)
	} else if s := a.lentShareTo(from); s != nil && s.id == m.ID {
		back = min(m.Returned, s.burst())
		a.endShare(s, m.Keep)
	}
	a.balance += max(0, back)
	a.clampBalance(h)
	if len(a.queue) > 0 {
		h.scheduleTick(a, now)
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

func (a *replyCache) find(now clock.Time, key loanKey) (message.Lent, bool) {
	a.removeExpired(now)
	l, ok := a.replies[key]
	return l, ok
}

func (a *replyCache) store(until clock.Time, key loanKey, l message.Lent) {
	a.replies[key] = l
	a.expiries = append(a.expiries, replyExpiry{until: until, key: key})
}

func (a *replyCache) removeExpired(now clock.Time) {
	for len(a.expiries) > 0 && now.Reached(a.expiries[0].until) {
		delete(a.replies, a.expiries[0].key)
		a.expiries = a.expiries[1:]
	}
}
