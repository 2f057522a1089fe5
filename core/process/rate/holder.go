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
	ReasonNone            Reason = ""
	ReasonUnknownAccount  Reason = "unknown-account"
	ReasonLargerThanBurst Reason = "larger-than-burst" // can never be granted
	ReasonOverRate        Reason = "over-rate"
	ReasonNoLease         Reason = "no-lease" // this instance may not spend now
)

// Decision is the final answer to Ask.
type Decision struct {
	Request    id.Request
	Granted    bool
	Reason     Reason        // if not granted
	RetryAfter time.Duration // 0: no use to come back with as many tokens
}

// Holder implements process.Machine.
type Limiter struct {
	settings Settings
	rights   process.Rights
	members  process.Members
	check    *invariant.Checker
	hooks    hooks

	cfg              *config.Config
	slots            []*slot // held, in the order of their keys
	table            slotTable
	transfers        map[slotKey]*outgoingTransfer
	directory        directory
	replies          replyCache
	accounts         map[id.Account]*account
	waiting          map[id.Request]*account
	schedule         tickSchedule
	lastRequestID    uint64
	decisions        []Decision
	nextAnnouncement clock.Time
	closed           bool // handed over: takes no slot any more
}

// hooks switches safeguards off in tests that show what they are for.
type hooks struct {
	lendWithoutDeducting bool
	lendTwice            bool // a repeated Draw is lent again
	keepLentCapacity     bool // lent tokens leave no room set aside
	skipLeaseCheck       bool
	overLend             bool
	keepAfterHandover    bool
}

// New returns a holder without slots. It grants nothing before Configure.
func New(s Settings, rights process.Rights, members process.Members, check *invariant.Checker) *Limiter {
	return &Limiter{
		settings:  s.withDefaults(),
		rights:    rights,
		members:   members,
		check:     check,
		table:     newSlotTable(),
		transfers: make(map[slotKey]*outgoingTransfer),
		directory: make(directory),
		replies:   newReplyCache(),
		accounts:  make(map[id.Account]*account),
		waiting:   make(map[id.Request]*account),
	}
}

// Configure puts a configuration in force. A lowered rate or burst counts at
// once for what this instance holds or borrowed; what it lent before runs out
// within the term of the loan.
func (h *Limiter) Configure(now clock.Time, c *config.Config) {
	h.refillAll(now)
	h.cfg = c
	for _, name := range sortedKeys(h.accounts) {
		a := h.accounts[name]
		h.reconfigure(now, a)
		h.scheduleTick(a, now)
	}
}

func (h *Limiter) reconfigure(now clock.Time, a *account) {
	c, ok := h.cfg.Accounts[a.name]
	if !ok {
		a.rate, a.burst, a.removed = 0, 0, true
		a.clampBalance(h)
		return
	}
	for _, s := range a.borrowedShares {
		s.scale(shrinkFactor(c.Rate, a.rate), shrinkFactor(c.Burst, a.burst))
	}
	a.rate, a.burst, a.removed = c.Rate, c.Burst, false
	a.clampBalance(h)
}

// ratio returns by how much a loan shrinks when a limit goes from old to now.
func shrinkFactor(now, old float64) float64 {
	if old <= now || old == 0 {
		return 1
	}
	return now / old
}

// Tick does what is due for slots and for accounts with something pending.
func (h *Limiter) Tick(now clock.Time, out *event.Outbox) {
	h.tickSlots(now, out)
	for {
		a := h.schedule.popDue(now, h.accounts)
		if a == nil {
			return
		}
		h.tickAccount(now, a, out)
	}
}

// Next returns when Tick is wanted.
func (h *Limiter) Next() clock.Time {
	return clock.Earliest(h.schedule.next(h.accounts), h.nextTableTick(), h.nextAnnouncementTick(), h.nextTransferTick())
}

// Decisions returns and forgets the decisions made since the last call.
func (h *Limiter) Decisions() []Decision {
	d := h.decisions
	h.decisions = nil
	return d
}

// Ask wants tokens of an account for a request until deadline. The answer is
// among Decisions, at once if it can be.
func (h *Limiter) Acquire(now clock.Time, req id.Request, name id.Account, tokens float64, deadline clock.Time, out *event.Outbox) {
	a := h.account(now, name)
	switch {
	case a == nil || a.removed:
		h.refuse(req, ReasonUnknownAccount, 0)
		return
	case tokens > a.burst:
		h.refuse(req, ReasonLargerThanBurst, 0)
		return
	}
	a.refill(h, now)
	a.recordDemand(now, tokens)
	a.queue = append(a.queue, waiter{request: req, tokens: tokens, deadline: deadline, arrivedAt: now})
	h.waiting[req] = a
	h.processQueue(now, a, out)
	h.reviewShares(now, a, out)
	h.rebalance(now, a, out)
	h.scheduleNextTick(now, a)
}

// Cancel withdraws a request that waits. Tokens already granted stay taken;
// GiveBack returns them.
func (h *Limiter) Cancel(req id.Request) {
	a := h.waiting[req]
	if a == nil {
		return
	}
	delete(h.waiting, req)
	a.queue = slices.DeleteFunc(a.queue, func(w waiter) bool { return w.request == req })
	h.scheduleTick(a, a.refilledAt) // the next one may be granted now
}

// GiveBack returns tokens that were granted and not used. More than was taken,
// or than there is room for, is dropped.
func (h *Limiter) Refund(now clock.Time, name id.Account, tokens float64) {
	a := h.accounts[name]
	if a == nil || tokens <= 0 {
		return
	}
	a.refill(h, now)
	back := min(tokens, a.granted)
	a.granted -= back
	a.balance += back
	a.clampBalance(h)
	if len(a.queue) > 0 {
		h.scheduleTick(a, now)
	}
}

func (h *Limiter) refuse(req id.Request, why Reason, after time.Duration) {
	delete(h.waiting, req)
	h.decisions = append(h.decisions, Decision{Request: req, Reason: why, RetryAfter: after})
}

// account returns the state of an account, nil if it is not configured. It is
// made at the first use: until then its buckets are what their slots say.
func (h *Limiter) account(now clock.Time, name id.Account) *account {
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
		a.balance += s.initialBalance(h, now, a)
	}
	h.accounts[name] = a
	return a
}

// parts is the number of slots that each account is divided into.
func (h *Limiter) totalSlots() float64 {
	if h.cfg == nil || h.cfg.Slots() == 0 {
		return 1
	}
	return float64(h.cfg.Slots())
}

func (h *Limiter) refillAll(now clock.Time) {
	for _, a := range h.accounts {
		a.refill(h, now)
	}
}
