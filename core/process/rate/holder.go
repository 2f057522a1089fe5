// Package rate enforces the rate and burst of each client account over all
// instances.
//
// The rate and burst of every account are divided evenly over the slots,
// which are rows of the table. The holder of a slot spends its part without
// asking anyone. An instance that lacks tokens borrows some from other
// holders. If it keeps lacking them, it borrows a part of their shares, rate
// and burst together, for a few seconds.
//
// The following holds at any time, whatever messages are lost: the tokens in
// all buckets, together with those lent and not yet spent, don't exceed the
// account's burst and don't grow faster than its rate. Therefore a lender
// deducts tokens before it sends them, and reserves the capacity that it lent
// until the borrower settles the loan or the loan has certainly expired. A
// lost message can lose tokens, but never duplicate them.
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

// Reason tells why a request was refused.
type Reason string

// The reasons.
const (
	ReasonNone            Reason = ""
	ReasonUnknownAccount  Reason = "unknown-account"
	ReasonLargerThanBurst Reason = "larger-than-burst" // a retry would fail as well
	ReasonOverRate        Reason = "over-rate"
	ReasonNoLease         Reason = "no-lease" // this instance's lease is not valid
)

// Decision is the final answer to Acquire.
type Decision struct {
	Request    id.Request
	Granted    bool
	Reason     Reason        // if not granted
	RetryAfter time.Duration // 0 if a retry with as many tokens can't succeed
}

// Limiter is one instance's part of the distributed rate limiter. It
// implements process.Machine.
type Limiter struct {
	settings Settings
	rights   process.LeaseStatus
	members  process.Members
	check    *invariant.Checker
	hooks    testHooks

	cfg              *config.Config
	slots            []*slot // held slots, sorted by key
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
	closed           bool // set by Handover: no slot is acquired any more
}

// testHooks disables safeguards in tests that show that they are needed.
type testHooks struct {
	lendWithoutDeducting bool // keeps lent tokens in the lender's bucket
	lendTwice            bool // lends again when a loan request is repeated
	keepLentCapacity     bool // does not reserve the capacity of lent tokens
	skipLeaseCheck       bool // spends and lends without a valid lease
	overLend             bool // lends as much rate as is asked for
	keepAfterHandover    bool // goes on using slots that were handed over
}

// New returns a limiter that holds no slots. It grants nothing before
// Configure.
func New(s Settings, rights process.LeaseStatus, members process.Members, check *invariant.Checker) *Limiter {
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

// Configure applies a configuration. A lowered rate or burst applies at once
// to what this instance holds or has borrowed. What it has lent out expires
// within the term of the loans.
func (lim *Limiter) Configure(now clock.Time, c *config.Config) {
	lim.refillAll(now)
	lim.cfg = c
	for _, name := range sortedKeys(lim.accounts) {
		a := lim.accounts[name]
		lim.reconfigure(now, a)
		lim.scheduleTick(a, now)
	}
}

// reconfigure applies the configuration to one account.
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

// shrinkFactor returns the factor by which a loan shrinks when a limit
// changes. It is 1 if the limit is raised.
func shrinkFactor(newLimit, oldLimit float64) float64 {
	if oldLimit <= newLimit || oldLimit == 0 {
		return 1
	}
	return newLimit / oldLimit
}

// Tick does everything that is due for slots and accounts.
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

// Next returns when Tick should be called next.
func (lim *Limiter) Next() clock.Time {
	return clock.Earliest(lim.schedule.next(lim.accounts), lim.nextTableTick(), lim.nextAnnouncementTick(), lim.nextTransferTick())
}

// Decisions returns the decisions made since the last call.
func (lim *Limiter) Decisions() []Decision {
	d := lim.decisions
	lim.decisions = nil
	return d
}

// Acquire asks for tokens of an account for a request, to be granted by the
// deadline. The answer appears in Decisions, at once if possible.
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

// Cancel withdraws a queued request. Tokens that were already granted are not
// returned; use Refund for them.
func (lim *Limiter) Cancel(req id.Request) {
	a := lim.waiting[req]
	if a == nil {
		return
	}
	delete(lim.waiting, req)
	a.queue = slices.DeleteFunc(a.queue, func(w waiter) bool { return w.request == req })
	lim.scheduleTick(a, a.refilledAt) // the next request may be grantable now
}

// Refund returns tokens that were granted and not used. It drops any excess
// over the granted tokens or over the capacity of the bucket.
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

// refuse records the refusal of a request.
func (lim *Limiter) refuse(req id.Request, reason Reason, retryAfter time.Duration) {
	delete(lim.waiting, req)
	lim.decisions = append(lim.decisions, Decision{Request: req, Reason: reason, RetryAfter: retryAfter})
}

// account returns the state of an account, nil if the account is not
// configured. The state is created at the first use; until then the account's
// buckets follow from the slots alone.
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

// totalSlots returns the number of slots over which each account is divided.
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
