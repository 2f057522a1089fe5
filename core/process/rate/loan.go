package rate

import (
	"cmp"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
)

// loanKey names a loan at its lender.
type loanKey struct {
	to id.Instance
	id uint64
}

// tokenLoan is tokens borrowed for requests that wait here.
type borrowedTokens struct {
	from   id.Instance
	id     uint64
	tokens float64
	until  clock.Time
}

// tokenLent is tokens lent. Their room stays set aside, or the lender would
// refill while the borrower still has them and more than the burst could be
// spent at once.
type lentTokens struct {
	key    loanKey
	tokens float64
	until  clock.Time
}

// shareLoan is a part of a lender's share that is used here.
type borrowedShare struct {
	from        id.Instance
	id          uint64
	rate, burst float64
	until       clock.Time
}

func (s *borrowedShare) scale(rate, burst float64) {
	s.rate *= rate
	s.burst *= burst
}

// part is rate and burst that are lent until a moment.
type reservation struct {
	rate, burst float64
	until       clock.Time
}

// shareLent is a part of the own share that another instance uses. When a loan
// is extended the answer may be lost, so the larger of old and new stays set
// aside until the old one has run out.
type lentShare struct {
	to                id.Instance
	id                uint64
	current, previous reservation
}

func (s *lentShare) rate() float64  { return max(s.current.rate, s.previous.rate) }
func (s *lentShare) burst() float64 { return max(s.current.burst, s.previous.burst) }

func (s *lentShare) extend(id uint64, r reservation) {
	s.previous = reservation{
		rate:  s.rate(),
		burst: s.burst(),
		until: max(s.current.until, s.previous.until),
	}
	s.id, s.current = id, r
}

// next returns when the part set aside changes.
func (s *lentShare) nextChange() clock.Time {
	if s.previous.until != 0 {
		return min(s.previous.until, s.current.until)
	}
	return s.current.until
}

// runOut forgets what has run out at t and reports whether nothing is left.
func (s *lentShare) removeExpired(t clock.Time) bool {
	if t.Reached(s.previous.until) {
		s.previous = reservation{}
	}
	if t.Reached(s.current.until) {
		s.current = reservation{}
	}
	return s.current == reservation{} && s.previous == reservation{}
}

// draw is a Draw that was sent.
type loanRequest struct {
	id        uint64
	to        id.Instance
	tokens    float64
	rate      float64 // rate; 0: a draw of tokens only
	capacity  float64 // to even out among so many; 0: for what waits
	lenders   int
	sentAt    clock.Time
	retryAt   clock.Time // when to repeat it; clock.Never: it was
	expiresAt clock.Time // the loan would have run out
	pending   bool       // its round still waits for it
}

// round is a round of draws of tokens: the own zone first, then the others.
type borrowRound struct {
	running       bool
	otherZones    bool       // the second half, to the other zones
	deadline      clock.Time // when it is over at the latest
	answeredSlots int        // slots of the holders that answered
	nextStart     clock.Time // earliest start of another round
	attempts      int        // rounds since a request last waited for nothing
}

// waiter is a request that waits for tokens.
type waiter struct {
	request   id.Request
	tokens    float64
	deadline  clock.Time
	arrivedAt clock.Time
}

func (w waiter) waitedFor(now clock.Time) time.Duration { return now.Sub(w.arrivedAt) }

// share returns the part that is borrowed from a lender, or nil.
func (a *account) borrowedShareFrom(from id.Instance) *borrowedShare {
	for _, s := range a.borrowedShares {
		if s.from == from {
			return s
		}
	}
	return nil
}

func (a *account) removeBorrowedShare(from id.Instance) {
	a.borrowedShares = slices.DeleteFunc(a.borrowedShares, func(s *borrowedShare) bool { return s.from == from })
}

func (a *account) addBorrowedShare(s *borrowedShare) {
	a.borrowedShares = append(a.borrowedShares, s)
	slices.SortFunc(a.borrowedShares, func(s, t *borrowedShare) int { return cmp.Compare(s.from, t.from) })
}

// sharedTo returns the part that is lent to a borrower, or nil.
func (a *account) lentShareTo(to id.Instance) *lentShare {
	for _, s := range a.lentShares {
		if s.to == to {
			return s
		}
	}
	return nil
}

// setAside keeps p of the own share for a borrower.
func (a *account) reserveShare(to id.Instance, loanID uint64, r reservation) {
	s := a.lentShareTo(to)
	if s == nil {
		s = &lentShare{to: to}
		a.lentShares = append(a.lentShares, s)
		slices.SortFunc(a.lentShares, func(s, t *lentShare) int { return cmp.Compare(s.to, t.to) })
	}
	s.extend(loanID, r)
}

// draw returns a draw by its ID, or nil.
func (a *account) loanRequest(requestID uint64) *loanRequest {
	for _, req := range a.loanRequests {
		if req.id == requestID {
			return req
		}
	}
	return nil
}

func (a *account) removeLoanRequest(requestID uint64) {
	a.loanRequests = slices.DeleteFunc(a.loanRequests, func(req *loanRequest) bool { return req.id == requestID })
}
