package rate

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// noRateTime is how long a holder that had no rate to lend is not asked again.
const noRateDuration = time.Second

// manageShares borrows rate when the demand here lasts above the rate here,
// extends the loans that are still needed and ends those that are not.
func (h *Limiter) reviewShares(now clock.Time, a *account, out *event.Outbox) {
	if now.Before(a.nextShareReview) {
		return
	}
	a.nextShareReview = now.Add(shareReviewInterval)
	want := min(a.rate, borrowHeadroom*a.currentDemand(now))
	have := a.limits(h, now).rate
	for _, s := range slices.Clone(a.borrowedShares) {
		switch {
		case s.until.Sub(now) > h.settings.LoanTerm/2 || a.hasRateRequest(s.from):
		case want > have-s.rate/2:
			h.sendLoanRequest(now, a, &loanRequest{to: s.from, rate: s.rate}, out)
		case h.returnShare(now, a, s, out):
			have -= s.rate
		}
	}
	missing := want - have - a.requestedRate()
	if missing > minLentShare*a.rate/h.totalSlots() && a.currentDemand(now) > borrowThreshold*have {
		h.requestRate(now, a, missing, out)
	}
}

// askRate asks the nearest holders that may have rate to lend.
func (h *Limiter) requestRate(now clock.Time, a *account, missing float64, out *event.Outbox) {
	targets := append(h.directory.holders(now, h, false), h.directory.holders(now, h, true)...)
	for _, to := range targets {
		if missing <= 0 {
			return
		}
		if a.borrowedShareFrom(to) != nil || a.hasRateRequest(to) || now.Before(a.noRateUntil[to]) || now.Before(a.avoidUntil[to]) {
			continue
		}
		want := min(missing, a.rate/h.totalSlots()*float64(h.directory.slotCount(to)))
		missing -= want
		h.sendLoanRequest(now, a, &loanRequest{to: to, rate: want}, out)
	}
}

func (a *account) hasRateRequest(to id.Instance) bool {
	for _, d := range a.loanRequests {
		if d.to == to && d.rate > 0 {
			return true
		}
	}
	return false
}

// rateAsked returns the rate that is asked for and not yet answered, loans to
// be extended left out.
func (a *account) requestedRate() float64 {
	t := 0.0
	for _, d := range a.loanRequests {
		if d.rate > 0 && a.borrowedShareFrom(d.to) == nil {
			t += d.rate
		}
	}
	return t
}

// borrowShare takes in a part of a lender's share, in place of the part that
// it lent before.
func (h *Limiter) handleShareLoan(now clock.Time, a *account, from id.Instance, m message.Lent, until clock.Time, out *event.Outbox) {
	old := a.borrowedShareFrom(from)
	if old != nil && old.id > m.ID {
		return
	}
	if m.Rate <= 0 && old != nil {
		h.returnShare(now, a, old, out)
	}
	a.removeBorrowedShare(from)
	if m.Rate > 0 {
		a.addBorrowedShare(&borrowedShare{from: from, id: m.ID, rate: m.Rate, burst: m.Burst, until: until})
	} else {
		a.noRateUntil[from] = now.Add(noRateDuration)
	}
	a.balance += m.Tokens
	back := max(0, a.balance-a.limits(h, now).burst)
	a.clampBalance(h)
	a.checkInvariants(h)
	if old != nil && m.Rate > 0 && (back > 0 || m.Burst < old.burst) {
		out.Send(from, message.Settle{ID: m.ID, Account: a.name, Returned: back, Keep: true})
	}
}

// returnShare ends a loan early and returns the tokens that there is no room
// for without it. It does nothing while room of the loan is lent on: the lender
// would fill it a second time.
func (h *Limiter) returnShare(now clock.Time, a *account, s *borrowedShare, out *event.Outbox) bool {
	if a.ownLimits(h, now).burst < a.lentLimits().burst {
		return false
	}
	a.removeBorrowedShare(s.from)
	back := max(0, min(s.burst, a.balance-a.limits(h, now).burst))
	a.clampBalance(h)
	out.Send(s.from, message.Settle{ID: s.id, Account: a.name, Returned: back})
	return true
}
