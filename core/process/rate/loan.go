package rate

import (
	"cmp"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
)

// loanKey identifies a loan at its lender, by the borrower and the borrower's
// request ID.
type loanKey struct {
	to id.Instance
	id uint64
}

// borrowedTokens is a loan of tokens for requests that are queued at this
// instance.
type borrowedTokens struct {
	from   id.Instance
	id     uint64
	tokens float64
	until  clock.Time
}

// lentTokens is a loan of tokens to another instance. Their part of the
// capacity stays reserved. Otherwise the lender's bucket would fill up while
// the borrower still has the tokens, and more than the burst could be spent
// at once.
type lentTokens struct {
	key    loanKey
	tokens float64
	until  clock.Time
}

// borrowedShare is a part of a lender's share that this instance uses.
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

// reservation is rate and burst that are lent until a point in time.
type reservation struct {
	rate, burst float64
	until       clock.Time
}

// lentShare is a part of the own share that another instance uses. The reply
// that extends a loan may be lost, so the larger of the current and the
// previous reservation counts until the previous one expires.
type lentShare struct {
	to                id.Instance
	id                uint64
	current, previous reservation
}

func (s *lentShare) rate() float64  { return max(s.current.rate, s.previous.rate) }
func (s *lentShare) burst() float64 { return max(s.current.burst, s.previous.burst) }

// extend replaces the current reservation and keeps what was reserved before
// as the previous one.
func (s *lentShare) extend(id uint64, r reservation) {
	s.previous = reservation{
		rate:  s.rate(),
		burst: s.burst(),
		until: max(s.current.until, s.previous.until),
	}
	s.id, s.current = id, r
}

// nextChange returns when the next reservation expires.
func (s *lentShare) nextChange() clock.Time {
	if s.previous.until != 0 {
		return min(s.previous.until, s.current.until)
	}
	return s.current.until
}

// removeExpired removes reservations that have expired at t and reports
// whether none is left.
func (s *lentShare) removeExpired(t clock.Time) bool {
	if t.Reached(s.previous.until) {
		s.previous = reservation{}
	}
	if t.Reached(s.current.until) {
		s.current = reservation{}
	}
	return s.current == reservation{} && s.previous == reservation{}
}

// loanRequest is a request for a loan that was sent as message.Draw.
type loanRequest struct {
	id     uint64
	to     id.Instance
	tokens float64
	rate   float64 // wanted rate; 0 if only tokens are wanted
	// capacity and lenders are set if the request rebalances buckets rather
	// than serving queued requests: the capacity of the requester's bucket
	// and the number of holders asked.
	capacity  float64
	lenders   int
	sentAt    clock.Time
	retryAt   clock.Time // clock.Never after the retry
	expiresAt clock.Time // when the loan would expire
	pending   bool       // the running phase of the round waits for it
}

// borrowRound is a round of requests for tokens, first to the holders in the
// own zone, then to those in the other zones.
type borrowRound struct {
	running       bool
	otherZones    bool       // the second phase runs
	deadline      clock.Time // latest end of the phase
	answeredSlots int        // slots of the holders that answered
	nextStart     clock.Time // earliest start of the next round
	attempts      int        // rounds since the queue was last empty, fewer after a grant
}

// waiter is a request that is queued for tokens.
type waiter struct {
	request   id.Request
	tokens    float64
	deadline  clock.Time
	arrivedAt clock.Time
}

func (w waiter) waitedFor(now clock.Time) time.Duration { return now.Sub(w.arrivedAt) }

// borrowedShareFrom returns the share borrowed from a lender, or nil.
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

// lentShareTo returns the share lent to a borrower, or nil.
func (a *account) lentShareTo(to id.Instance) *lentShare {
	for _, s := range a.lentShares {
		if s.to == to {
			return s
		}
	}
	return nil
}

// reserveShare reserves a part of the own share for a borrower.
func (a *account) reserveShare(to id.Instance, loanID uint64, r reservation) {
	s := a.lentShareTo(to)
	if s == nil {
		s = &lentShare{to: to}
		a.lentShares = append(a.lentShares, s)
		slices.SortFunc(a.lentShares, func(s, t *lentShare) int { return cmp.Compare(s.to, t.to) })
	}
	s.extend(loanID, r)
}

// loanRequest returns the request with the given ID, or nil.
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
