package rate

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// noRateDuration is how long a holder that had no rate to lend is not asked
// for rate again.
const noRateDuration = time.Second

// reviewShares borrows rate if the average demand exceeds the available rate,
// extends loans that are still needed and ends those that are not.
func (lim *Limiter) reviewShares(now clock.Time, a *account, out *event.Outbox) {
	if now.Before(a.nextShareReview) {
		return
	}
	a.nextShareReview = now.Add(shareReviewInterval)
	want := min(a.rate, borrowHeadroom*a.currentDemand(now))
	have := a.limits(lim, now).rate
	for _, s := range slices.Clone(a.borrowedShares) {
		switch {
		case s.until.Sub(now) > lim.settings.LoanTerm/2 || a.hasRateRequest(s.from):
		case want > have-s.rate/2:
			lim.sendLoanRequest(now, a, &loanRequest{to: s.from, rate: s.rate}, out)
		case lim.returnShare(now, a, s, out):
			have -= s.rate
		}
	}
	missing := want - have - a.requestedRate()
	if missing > minLentShare*a.rate/lim.totalSlots() && a.currentDemand(now) > borrowThreshold*have {
		lim.requestRate(now, a, missing, out)
	}
}

// requestRate asks holders that may have rate to lend, those in the own zone
// first.
func (lim *Limiter) requestRate(now clock.Time, a *account, missing float64, out *event.Outbox) {
	lenders := append(lim.directory.holders(now, lim, false), lim.directory.holders(now, lim, true)...)
	for _, to := range lenders {
		if missing <= 0 {
			return
		}
		if a.borrowedShareFrom(to) != nil || a.hasRateRequest(to) || now.Before(a.noRateUntil[to]) || now.Before(a.avoidUntil[to]) {
			continue
		}
		rate := min(missing, a.rate/lim.totalSlots()*float64(lim.directory.slotCount(to)))
		missing -= rate
		lim.sendLoanRequest(now, a, &loanRequest{to: to, rate: rate}, out)
	}
}

// hasRateRequest reports whether a request for rate to an instance is
// unanswered.
func (a *account) hasRateRequest(to id.Instance) bool {
	for _, req := range a.loanRequests {
		if req.to == to && req.rate > 0 {
			return true
		}
	}
	return false
}

// requestedRate returns the sum of the rates in unanswered requests, without
// extensions of loans.
func (a *account) requestedRate() float64 {
	total := 0.0
	for _, req := range a.loanRequests {
		if req.rate > 0 && a.borrowedShareFrom(req.to) == nil {
			total += req.rate
		}
	}
	return total
}

// handleShareLoan adds a borrowed share. It replaces the share borrowed from
// the same lender before.
func (lim *Limiter) handleShareLoan(now clock.Time, a *account, from id.Instance, reply message.LoanGrant, until clock.Time, out *event.Outbox) {
	previous := a.borrowedShareFrom(from)
	if previous != nil && previous.id > reply.ID {
		return
	}
	if reply.Rate <= 0 && previous != nil {
		lim.returnShare(now, a, previous, out)
	}
	a.removeBorrowedShare(from)
	if reply.Rate > 0 {
		a.addBorrowedShare(&borrowedShare{from: from, id: reply.ID, rate: reply.Rate, burst: reply.Burst, until: until})
	} else {
		a.noRateUntil[from] = now.Add(noRateDuration)
	}
	a.balance += reply.Tokens
	excess := max(0, a.balance-a.limits(lim, now).burst)
	a.clampBalance(lim)
	a.checkInvariants(lim)
	if previous != nil && reply.Rate > 0 && (excess > 0 || reply.Burst < previous.burst) {
		out.Send(from, message.LoanSettlement{ID: reply.ID, Account: a.name, Returned: excess, EarlierOnly: true})
	}
}

// returnShare ends a loan early and returns the tokens that exceed the
// capacity left without it. It does nothing while capacity of the loan is
// lent on, because the lender would fill the same capacity again.
func (lim *Limiter) returnShare(now clock.Time, a *account, s *borrowedShare, out *event.Outbox) bool {
	if a.ownLimits(lim, now).burst < a.lentLimits().burst {
		return false
	}
	a.removeBorrowedShare(s.from)
	excess := max(0, min(s.burst, a.balance-a.limits(lim, now).burst))
	a.clampBalance(lim)
	out.Send(s.from, message.LoanSettlement{ID: s.id, Account: a.name, Returned: excess})
	return true
}
