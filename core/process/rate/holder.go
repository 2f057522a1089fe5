// Package rate holds the client accounts' rates and bursts over all instances.
//
// Every account's rate and burst is divided evenly over the slots, which are
// rows of the table. Whoever holds a slot spends its part without asking. An
// instance that is short draws tokens from other holders, and one that stays
// short borrows a part of their shares, rate and burst together, for a few
// seconds.
//
// What holds at every moment and under any loss: the tokens in all buckets,
// with those lent and not yet spent, are at most the account's burst, and grow
// at most at its rate. A lender therefore deducts before it sends, and sets
// aside the room of what it lent until the borrower settles or has surely
// dropped it. A message that is lost can lose tokens, never double them.
package rate

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/process"
)

// Reason says why a request was not granted its tokens.
type Reason string

// The reasons.
const (
	ReasonNone     Reason = ""
	ReasonAccount  Reason = "unknown-account"
	ReasonTooLarge Reason = "larger-than-burst" // can never be granted
	ReasonRate     Reason = "over-rate"
	ReasonLease    Reason = "no-lease" // this instance may not spend now
)

// Decision is the final answer to Ask.
type Decision struct {
	Request    id.Request
	Granted    bool
	Reason     Reason        // if not granted
	RetryAfter time.Duration // 0: no use to come back with as many tokens
}

// Holder implements process.Machine.
type Holder struct {
	set     Settings
	rights  process.LeaseStatus
	members process.Members
	check   *invariant.Checker
	hooks   hooks

	cfg       *config.Config
	slots     []*slot // held, in the order of their keys
	table     slotTable
	giving    map[slotKey]*giving
	directory directory
	answers   answers
	accounts  map[id.Account]*account
	waiting   map[id.Request]*account
	wakes     wakes
	lastDraw  uint64
	decisions []Decision
	heldDue   clock.Time
	closed    bool // handed over: takes no slot any more
}

// hooks switches safeguards off in tests that show what they are for.
type hooks struct {
	lendWithoutDeducting bool
	answerTwice          bool // a repeated Draw is lent again
	keepRoom             bool // lent tokens leave no room set aside
	skipRights           bool
	overLend             bool
	keepAfterHandover    bool
}

// New returns a holder without slots. It grants nothing before Configure.
func New(s Settings, rights process.LeaseStatus, members process.Members, check *invariant.Checker) *Holder {
	return &Holder{
		set:       s.withDefaults(),
		rights:    rights,
		members:   members,
		check:     check,
		table:     newSlotTable(),
		giving:    make(map[slotKey]*giving),
		directory: make(directory),
		answers:   newAnswers(),
		accounts:  make(map[id.Account]*account),
		waiting:   make(map[id.Request]*account),
	}
}

// Configure puts a configuration in force. A lowered rate or burst counts at
// once for what this instance holds or borrowed; what it lent before runs out
// within the term of the loan.
func (h *Holder) Configure(now clock.Time, c *config.Config) {
	h.refillAll(now)
	h.cfg = c
	for _, name := range sortedKeys(h.accounts) {
		a := h.accounts[name]
		h.reconfigure(now, a)
		h.wake(a, now)
	}
}

func (h *Holder) reconfigure(now clock.Time, a *account) {
	c, ok := h.cfg.Accounts[a.name]
	if !ok {
		a.rate, a.burst, a.gone = 0, 0, true
		a.clip(h)
		return
	}
	for _, s := range a.shares {
		s.scale(ratio(c.Rate, a.rate), ratio(c.Burst, a.burst))
	}
	a.rate, a.burst, a.gone = c.Rate, c.Burst, false
	a.clip(h)
}

// ratio returns by how much a loan shrinks when a limit goes from old to now.
func ratio(now, old float64) float64 {
	if old <= now || old == 0 {
		return 1
	}
	return now / old
}

// Tick does what is due for slots and for accounts with something pending.
func (h *Holder) Tick(now clock.Time, out *event.Outbox) {
	h.tickSlots(now, out)
	for {
		a := h.wakes.due(now, h.accounts)
		if a == nil {
			return
		}
		h.tickAccount(now, a, out)
	}
}

// Next returns when Tick is wanted.
func (h *Holder) Next() clock.Time {
	return clock.Earliest(h.wakes.next(h.accounts), h.nextTable(), h.nextHeld(), h.nextGiving())
}

// Decisions returns and forgets the decisions made since the last call.
func (h *Holder) Decisions() []Decision {
	d := h.decisions
	h.decisions = nil
	return d
}

// Ask wants tokens of an account for a request until deadline. The answer is
// among Decisions, at once if it can be.
func (h *Holder) Ask(now clock.Time, req id.Request, name id.Account, tokens float64, deadline clock.Time, out *event.Outbox) {
	a := h.account(now, name)
	switch {
	case a == nil || a.gone:
		h.refuse(req, ReasonAccount, 0)
		return
	case tokens > a.burst:
		h.refuse(req, ReasonTooLarge, 0)
		return
	}
	a.refill(h, now)
	a.noteDemand(now, tokens)
	a.queue = append(a.queue, waiter{request: req, tokens: tokens, deadline: deadline, asked: now})
	h.waiting[req] = a
	h.serve(now, a, out)
	h.manageShares(now, a, out)
	h.evenOut(now, a, out)
	h.plan(now, a)
}

// Cancel withdraws a request that waits. Tokens already granted stay taken;
// GiveBack returns them.
func (h *Holder) Cancel(req id.Request) {
	a := h.waiting[req]
	if a == nil {
		return
	}
	delete(h.waiting, req)
	a.queue = slices.DeleteFunc(a.queue, func(w waiter) bool { return w.request == req })
	h.wake(a, a.at) // the next one may be granted now
}

// GiveBack returns tokens that were granted and not used. More than was taken,
// or than there is room for, is dropped.
func (h *Holder) GiveBack(now clock.Time, name id.Account, tokens float64) {
	a := h.accounts[name]
	if a == nil || tokens <= 0 {
		return
	}
	a.refill(h, now)
	back := min(tokens, a.taken)
	a.taken -= back
	a.balance += back
	a.clip(h)
	if len(a.queue) > 0 {
		h.wake(a, now)
	}
}

func (h *Holder) refuse(req id.Request, why Reason, after time.Duration) {
	delete(h.waiting, req)
	h.decisions = append(h.decisions, Decision{Request: req, Reason: why, RetryAfter: after})
}

// account returns the state of an account, nil if it is not configured. It is
// made at the first use: until then its buckets are what their slots say.
func (h *Holder) account(now clock.Time, name id.Account) *account {
	if a := h.accounts[name]; a != nil {
		return a
	}
	if h.cfg == nil {
		return nil
	}
	c, ok := h.cfg.Accounts[name]
	if !ok {
		return nil
	}
	a := newAccount(now, c)
	for _, s := range h.slots {
		a.balance += s.untouched(h, now, a)
	}
	h.accounts[name] = a
	return a
}

// parts is the number of slots that each account is divided into.
func (h *Holder) parts() float64 {
	if h.cfg == nil || h.cfg.Slots() == 0 {
		return 1
	}
	return float64(h.cfg.Slots())
}

func (h *Holder) refillAll(now clock.Time) {
	for _, a := range h.accounts {
		a.refill(h, now)
	}
}
