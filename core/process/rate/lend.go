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
const worthLending = 0.02

// loanHold is how long a lender sets aside what it lent.
func (h *Holder) loanHold() time.Duration { return h.set.LoanTerm + h.set.LoanMargin }

// drawn answers a Draw. The answer is kept for as long as the loan lasts: when
// it was lost, the repeat gets it again and nothing is deducted twice.
func (h *Holder) drawn(now clock.Time, from id.Instance, m message.LoanRequest, out *event.Outbox) {
	key := loanKey{to: from, id: m.ID}
	if l, ok := h.answers.find(now, key); ok && !h.hooks.answerTwice {
		out.Send(from, l)
		return
	}
	l := message.LoanGrant{ID: m.ID, Account: m.Account, Term: h.set.LoanTerm}
	a := h.account(now, m.Account)
	// A lease that lapsed during a pause may be another's by now.
	if a != nil && (h.rights.Valid(now) || h.hooks.skipRights) {
		a.refill(h, now)
		if m.Rate > 0 {
			h.lendShare(now, a, from, m, &l)
		} else {
			h.lendTokens(now, a, key, m, &l)
		}
		a.holdsInvariants(h)
	}
	h.answers.keep(now.Add(h.loanHold()), key, l)
	out.Send(from, l)
}

// lendTokens gives what is asked for out of what nobody waits for here.
func (h *Holder) lendTokens(now clock.Time, a *account, key loanKey, m message.LoanRequest, l *message.LoanGrant) {
	give := min(m.Tokens, a.balance-a.need())
	if m.Capacity > 0 {
		give = min(give, evenOut(a.balance, a.limits(h, now).burst, m))
	}
	if room := a.own(h, now).burst - a.out().burst; give > room {
		// The room of a borrowed share may be lent on while that share surely
		// lasts; beyond it the first lender fills it again.
		l.Term = min(l.Term, a.sharesLast(now)-h.set.LoanMargin)
		if l.Term < h.set.DrawTimeout {
			l.Term = h.set.LoanTerm
			give = room
		}
	}
	if give <= a.slack() {
		return
	}
	if !h.check.Hold(give <= a.limits(h, now).burst+a.slack(), "rate-overlent", "%s lends %g tokens", a.name, give) {
		return
	}
	l.Tokens = give
	a.lent = append(a.lent, tokenLent{key: key, tokens: give, until: now.Add(l.Term + h.set.LoanMargin)})
	if !h.hooks.lendWithoutDeducting {
		a.balance = max(0, a.balance-give)
	}
	a.clip(h)
}

// evenOut returns what a bucket with so many tokens and so much room gives to
// make all that take part in m equally full.
func evenOut(tokens, room float64, m message.LoanRequest) float64 {
	missing := tokens*m.Capacity - (m.Capacity-m.Tokens)*room
	return missing / (float64(max(1, m.HolderCount))*room + m.Capacity)
}

// sharesLast returns how long the borrowed share that ends first lasts.
func (a *account) sharesLast(now clock.Time) time.Duration {
	if len(a.shares) == 0 {
		return 0
	}
	t := clock.Never
	for _, s := range a.shares {
		t = min(t, s.until)
	}
	return t.Sub(now)
}

// lendShare lends the part of the own share that the demand here leaves over:
// rate, the same part of the burst, and the tokens that are in that part.
func (h *Holder) lendShare(now clock.Time, a *account, from id.Instance, m message.LoanRequest, l *message.LoanGrant) {
	own, others := a.own(h, now), a.out()
	before := 0.0
	if s := a.sharedTo(from); s != nil {
		before = s.burst()
		others.rate -= s.rate()
		others.burst -= before
	}
	rate := min(m.Rate, own.rate-others.rate-keepHeadroom*a.demandNow(now))
	if h.hooks.overLend {
		rate = m.Rate
	}
	if rate <= 0 || rate < worthLending*own.rate {
		return
	}
	burst := max(0, min(own.burst*rate/own.rate, own.burst-others.burst))
	if !h.check.Hold(rate+others.rate <= own.rate*(1+tolerance), "rate-overlent", "%s lends %g of %g", a.name, rate+others.rate, own.rate) {
		return
	}
	l.Rate, l.Burst = rate, burst
	if room := a.limits(h, now).burst; room > 0 {
		l.Tokens = a.balance * min(1, max(0, burst-before)/room)
	}
	a.setAside(from, m.ID, part{rate: rate, burst: burst, until: now.Add(h.loanHold())})
	a.balance = max(0, a.balance-l.Tokens)
	a.clip(h)
}

// settled ends a loan early. One that is settled again is not found.
func (h *Holder) settled(now clock.Time, from id.Instance, m message.LoanSettlement) {
	a := h.accounts[m.Account]
	if a == nil {
		return
	}
	a.refill(h, now)
	key := loanKey{to: from, id: m.ID}
	back := 0.0
	if i := slices.IndexFunc(a.lent, func(l tokenLent) bool { return l.key == key }); i >= 0 {
		back = min(m.Returned, a.lent[i].tokens)
		a.lent = slices.Delete(a.lent, i, i+1)
	} else if s := a.sharedTo(from); s != nil && s.id == m.ID {
		back = min(m.Returned, s.burst())
		a.endShare(s, m.EarlierOnly)
	}
	a.balance += max(0, back)
	a.clip(h)
	if len(a.queue) > 0 {
		h.wake(a, now)
	}
}

// endShare ends a loan of rate, or the part of it that was lent before its
// last extension and that the borrower no longer uses.
func (a *account) endShare(s *shareLent, keep bool) {
	s.old = part{}
	if !keep {
		a.lentTo = slices.DeleteFunc(a.lentTo, func(t *shareLent) bool { return t == s })
	}
}

// answers keeps the answers to draws until their loans have run out.
type answers struct {
	byKey map[loanKey]message.LoanGrant
	order []keptAnswer // by time of forgetting
}

type keptAnswer struct {
	until clock.Time
	key   loanKey
}

func newAnswers() answers { return answers{byKey: make(map[loanKey]message.LoanGrant)} }

func (a *answers) find(now clock.Time, key loanKey) (message.LoanGrant, bool) {
	a.forget(now)
	l, ok := a.byKey[key]
	return l, ok
}

func (a *answers) keep(until clock.Time, key loanKey, l message.LoanGrant) {
	a.byKey[key] = l
	a.order = append(a.order, keptAnswer{until: until, key: key})
}

func (a *answers) forget(now clock.Time) {
	for len(a.order) > 0 && now.Reached(a.order[0].until) {
		delete(a.byKey, a.order[0].key)
		a.order = a.order[1:]
	}
}
