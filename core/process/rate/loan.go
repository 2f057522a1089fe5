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
type tokenLoan struct {
	from   id.Instance
	id     uint64
	tokens float64
	until  clock.Time
}

// tokenLent is tokens lent. Their room stays set aside, or the lender would
// refill while the borrower still has them and more than the burst could be
// spent at once.
type tokenLent struct {
	key    loanKey
	tokens float64
	until  clock.Time
}

// shareLoan is a part of a lender's share that is used here.
type shareLoan struct {
	from        id.Instance
	id          uint64
	rate, burst float64
	until       clock.Time
}

func (s *shareLoan) scale(rate, burst float64) {
	s.rate *= rate
	s.burst *= burst
}

// part is rate and burst that are lent until a moment.
type part struct {
	rate, burst float64
	until       clock.Time
}

// shareLent is a part of the own share that another instance uses. When a loan
// is extended the answer may be lost, so the larger of old and new stays set
// aside until the old one has run out.
type shareLent struct {
	to       id.Instance
	id       uint64
	now, old part
}

func (s *shareLent) rate() float64  { return max(s.now.rate, s.old.rate) }
func (s *shareLent) burst() float64 { return max(s.now.burst, s.old.burst) }

func (s *shareLent) extend(id uint64, p part) {
	s.old = part{
		rate:  s.rate(),
		burst: s.burst(),
		until: max(s.now.until, s.old.until),
	}
	s.id, s.now = id, p
}

// next returns when the part set aside changes.
func (s *shareLent) next() clock.Time {
	if s.old.until != 0 {
		return min(s.old.until, s.now.until)
	}
	return s.now.until
}

// runOut forgets what has run out at t and reports whether nothing is left.
func (s *shareLent) runOut(t clock.Time) bool {
	if t.Reached(s.old.until) {
		s.old = part{}
	}
	if t.Reached(s.now.until) {
		s.now = part{}
	}
	return s.now == part{} && s.old == part{}
}

// draw is a Draw that was sent.
type draw struct {
	id      uint64
	to      id.Instance
	tokens  float64
	want    float64 // rate; 0: a draw of tokens only
	room    float64 // to even out among so many; 0: for what waits
	among   int
	sent    clock.Time
	again   clock.Time // when to repeat it; clock.Never: it was
	expires clock.Time // the loan would have run out
	open    bool       // its round still waits for it
}

// round is a round of draws of tokens: the own zone first, then the others.
type round struct {
	running bool
	far     bool       // the second half, to the other zones
	until   clock.Time // when it is over at the latest
	reach   int        // slots of the holders that answered
	next    clock.Time // earliest start of another round
	tries   int        // rounds since a request last waited for nothing
}

// waiter is a request that waits for tokens.
type waiter struct {
	request  id.Request
	tokens   float64
	deadline clock.Time
	asked    clock.Time
}

func (w waiter) waitedFor(now clock.Time) time.Duration { return now.Sub(w.asked) }

// share returns the part that is borrowed from a lender, or nil.
func (a *account) share(from id.Instance) *shareLoan {
	for _, s := range a.shares {
		if s.from == from {
			return s
		}
	}
	return nil
}

func (a *account) dropShare(from id.Instance) {
	a.shares = slices.DeleteFunc(a.shares, func(s *shareLoan) bool { return s.from == from })
}

func (a *account) addShare(s *shareLoan) {
	a.shares = append(a.shares, s)
	slices.SortFunc(a.shares, func(s, t *shareLoan) int { return cmp.Compare(s.from, t.from) })
}

// sharedTo returns the part that is lent to a borrower, or nil.
func (a *account) sharedTo(to id.Instance) *shareLent {
	for _, s := range a.lentTo {
		if s.to == to {
			return s
		}
	}
	return nil
}

// setAside keeps p of the own share for a borrower.
func (a *account) setAside(to id.Instance, n uint64, p part) {
	s := a.sharedTo(to)
	if s == nil {
		s = &shareLent{to: to}
		a.lentTo = append(a.lentTo, s)
		slices.SortFunc(a.lentTo, func(s, t *shareLent) int { return cmp.Compare(s.to, t.to) })
	}
	s.extend(n, p)
}

// draw returns a draw by its ID, or nil.
func (a *account) draw(n uint64) *draw {
	for _, d := range a.draws {
		if d.id == n {
			return d
		}
	}
	return nil
}

func (a *account) dropDraw(n uint64) {
	a.draws = slices.DeleteFunc(a.draws, func(d *draw) bool { return d.id == n })
}
