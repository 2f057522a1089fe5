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
const noRateTime = time.Second

// manageShares borrows rate when the demand here lasts above the rate here,
// extends the loans that are still needed and ends those that are not.
func (h *Holder) manageShares(now clock.Time, a *account, out *event.Outbox) {
	if now.Before(a.nextShare) {
		return
	}
	a.nextShare = now.Add(shareEvery)
	want := min(a.rate, wantHeadroom*a.demandNow(now))
	have := a.limits(h, now).rate
	for _, s := range slices.Clone(a.shares) {
		switch {
		case s.until.Sub(now) > h.set.LoanTerm/2 || a.asksRate(s.from):
		case want > have-s.rate/2:
			h.sendDraw(now, a, &draw{to: s.from, want: s.rate}, out)
		case h.returnShare(now, a, s, out):
			have -= s.rate
		}
	}
	missing := want - have - a.rateAsked()
	if missing > worthLending*a.rate/h.parts() && a.demandNow(now) > shareTrigger*have {
		h.askRate(now, a, missing, out)
	}
}

// askRate asks the nearest holders that may have rate to lend.
func (h *Holder) askRate(now clock.Time, a *account, missing float64, out *event.Outbox) {
	targets := append(h.directory.targets(now, h, false), h.directory.targets(now, h, true)...)
	for _, to := range targets {
		if missing <= 0 {
			return
		}
		if a.share(to) != nil || a.asksRate(to) || now.Before(a.noRate[to]) || now.Before(a.avoid[to]) {
			continue
		}
		want := min(missing, a.rate/h.parts()*float64(h.directory.slotsOf(to)))
		missing -= want
		h.sendDraw(now, a, &draw{to: to, want: want}, out)
	}
}

func (a *account) asksRate(to id.Instance) bool {
	for _, d := range a.draws {
		if d.to == to && d.want > 0 {
			return true
		}
	}
	return false
}

// rateAsked returns the rate that is asked for and not yet answered, loans to
// be extended left out.
func (a *account) rateAsked() float64 {
	t := 0.0
	for _, d := range a.draws {
		if d.want > 0 && a.share(d.to) == nil {
			t += d.want
		}
	}
	return t
}

// borrowShare takes in a part of a lender's share, in place of the part that
// it lent before.
func (h *Holder) borrowShare(now clock.Time, a *account, from id.Instance, m message.LoanGrant, until clock.Time, out *event.Outbox) {
	old := a.share(from)
	if old != nil && old.id > m.ID {
		return
	}
	if m.Rate <= 0 && old != nil {
		h.returnShare(now, a, old, out)
	}
	a.dropShare(from)
	if m.Rate > 0 {
		a.addShare(&shareLoan{from: from, id: m.ID, rate: m.Rate, burst: m.Burst, until: until})
	} else {
		a.noRate[from] = now.Add(noRateTime)
	}
	a.balance += m.Tokens
	back := max(0, a.balance-a.limits(h, now).burst)
	a.clip(h)
	a.holdsInvariants(h)
	if old != nil && m.Rate > 0 && (back > 0 || m.Burst < old.burst) {
		out.Send(from, message.LoanSettlement{ID: m.ID, Account: a.name, Returned: back, EarlierOnly: true})
	}
}

// returnShare ends a loan early and returns the tokens that there is no room
// for without it. It does nothing while room of the loan is lent on: the lender
// would fill it a second time.
func (h *Holder) returnShare(now clock.Time, a *account, s *shareLoan, out *event.Outbox) bool {
	if a.own(h, now).burst < a.out().burst {
		return false
	}
	a.dropShare(s.from)
	back := max(0, min(s.burst, a.balance-a.limits(h, now).burst))
	a.clip(h)
	out.Send(s.from, message.LoanSettlement{ID: s.id, Account: a.name, Returned: back})
	return true
}
