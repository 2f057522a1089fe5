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
	hooks    testHooks

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
type testHooks struct {
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
func (lim *Limiter) Configure(now clock.Time, c *config.Config) {
	lim.refillAll(now)
	lim.cfg = c
	for _, name := range sortedKeys(lim.accounts) {
		a := lim.accounts[name]
		lim.reconfigure(now, a)
		lim.scheduleTick(a, now)
	}
}

func (lim *Limiter) reconfigure(now clock.Time, a *account) {
	c, ok := lim.cfg.Accounts[a.name]
	if !ok {
		a.rate, a.burst, a.removed = 0, 0, true
		a.clampBalance(lim)
		return
	}
	for _, s := range a.borrowedShares {
		s.scale(shrinkFactor(c.Rate, a.rate), shrinkFactor(c.Burst, a.burst))
	}
	a.rate, a.burst, a.removed = c.Rate, c.Burst, false
	a.clampBalance(lim)
}

// ratio returns by how much a loan shrinks when a limit goes from old to now.
func shrinkFactor(newLimit, oldLimit float64) float64 {
	if oldLimit <= newLimit || oldLimit == 0 {
		return 1
	}
	return newLimit / oldLimit
}

// Tick does what is due for slots and for accounts with something pending.
func (lim *Limiter) Tick(now clock.Time, out *event.Outbox) {
	lim.tickSlots(now, out)
	for {
		a := lim.schedule.popDue(now, lim.accounts)
		if a == nil {
			return
		}
		lim.tickAccount(now, a, out)
	}
}

// Next returns when Tick is wanted.
func (lim *Limiter) Next() clock.Time {
	return clock.Earliest(lim.schedule.next(lim.accounts), lim.nextTableTick(), lim.nextAnnouncementTick(), lim.nextTransferTick())
}

// Decisions returns and forgets the decisions made since the last call.
func (lim *Limiter) Decisions() []Decision {
	d := lim.decisions
	lim.decisions = nil
	return d
}

// Ask wants tokens of an account for a request until deadline. The answer is
// among Decisions, at once if it can be.
func (lim *Limiter) Acquire(now clock.Time, req id.Request, name id.Account, tokens float64, deadline clock.Time, out *event.Outbox) {
	a := lim.account(now, name)
	switch {
	case a == nil || a.removed:
		lim.refuse(req, ReasonUnknownAccount, 0)
		return
	case tokens > a.burst:
		lim.refuse(req, ReasonLargerThanBurst, 0)
		return
	}
	a.refill(lim, now)
	a.recordDemand(now, tokens)
	a.queue = append(a.queue, waiter{request: req, tokens: tokens, deadline: deadline, arrivedAt: now})
	lim.waiting[req] = a
	lim.processQueue(now, a, out)
	lim.reviewShares(now, a, out)
	lim.rebalance(now, a, out)
	lim.scheduleNextTick(now, a)
}

// Cancel withdraws a request that waits. Tokens already granted stay taken;
// GiveBack returns them.
func (lim *Limiter) Cancel(req id.Request) {
	a := lim.waiting[req]
	if a == nil {
		return
	}
	delete(lim.waiting, req)
	a.queue = slices.DeleteFunc(a.queue, func(w waiter) bool { return w.request == req })
	lim.scheduleTick(a, a.refilledAt) // the next one may be granted now
}

// GiveBack returns tokens that were granted and not used. More than was taken,
// or than there is room for, is dropped.
func (lim *Limiter) Refund(now clock.Time, name id.Account, tokens float64) {
	a := lim.accounts[name]
	if a == nil || tokens <= 0 {
		return
	}
	a.refill(lim, now)
	refunded := min(tokens, a.granted)
	a.granted -= refunded
	a.balance += refunded
	a.clampBalance(lim)
	if len(a.queue) > 0 {
		lim.scheduleTick(a, now)
	}
}

func (lim *Limiter) refuse(req id.Request, reason Reason, retryAfter time.Duration) {
	delete(lim.waiting, req)
	lim.decisions = append(lim.decisions, Decision{Request: req, Reason: reason, RetryAfter: retryAfter})
}

// account returns the state of an account, nil if it is not configured. It is
// made at the first use: until then its buckets are what their slots say.
func (lim *Limiter) account(now clock.Time, name id.Account) *account {
	if a := lim.accounts[name]; a != nil {
		return a
	}
	if lim.cfg == nil {
		return nil
	}
	c, ok := lim.cfg.Accounts[name]
	if !ok {
		return nil
	}
	a := newAccount(now, c)
	for _, s := range lim.slots {
		a.balance += s.initialBalance(lim, now, a)
	}
	lim.accounts[name] = a
	return a
}

// parts is the number of slots that each account is divided into.
func (lim *Limiter) totalSlots() float64 {
	if lim.cfg == nil || lim.cfg.Slots() == 0 {
		return 1
	}
	return float64(lim.cfg.Slots())
}

func (lim *Limiter) refillAll(now clock.Time) {
	for _, a := range lim.accounts {
		a.refill(lim, now)
	}
}
