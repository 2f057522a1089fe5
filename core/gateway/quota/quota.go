// Package quota is a distributed rate limiter: it keeps each client account within its
// rate and burst, summed over all instances.
//
// One instance, the account's owner, keeps the account's token bucket. Every other
// instance asks the owner before it admits a request, and admits it only if the owner
// grants the tokens. As there is one bucket, the tokens granted in any window are within
// burst and rate, and requests are queued in one order, whichever instance received them.
//
// A Limiter consumes typed events and returns typed messages. Owners are announced in
// heartbeats (ownership.go). An owner that does not reply is replaced within a quarter of
// a second (acquire.go). A new owner starts with an empty bucket, so a change of owner
// grants no more than the rate allows. While two instances consider themselves the owner
// of an account, each grants the rate, so a change adds at most the rate times that
// overlap. An owner assumes that unreachable instances grant their share of the rate, so
// the sides of a partition together stay within it.
package quota

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/invariant"
)

const (
	// decisionRetention is how long a decision is kept for requests that are sent again.
	// A requester resends for replyTimeout and returns tokens that are granted too late.
	decisionRetention = 3 * time.Second
	// tickInterval is the time between two runs of the periodic work in Tick.
	tickInterval = 50 * time.Millisecond
)

// Settings of a Limiter.
type Settings struct {
	Self        string // name of this instance
	Zone        string
	Strength    int // the instances of the highest strength own the accounts
	Incarnation uint64
	// HeartbeatInterval returns the time between two heartbeats of an instance, for the
	// given number of instances.
	HeartbeatInterval func(instances int) time.Duration
	Check             *invariant.Checker
}

// Limiter is one instance's part of the rate limiter, as requester and as owner. It is
// not safe for concurrent use.
type Limiter struct {
	settings Settings
	members  *members.Set
	accounts map[string]*manifest.Account

	// As a requester.
	lastNumber uint64
	pending    map[uint64]*pendingAcquire
	finished   map[uint64]finishedAcquire
	suspected  map[string]clock.Time // by owner: since when

	// As an owner.
	buckets    map[string]*bucket
	decisions  map[RequestID]decision
	probes     map[string]*probe     // by suspected owner
	verifiedAt map[string]clock.Time // by suspected owner: last successful probe
	handovers  []Handover
	handoverAt clock.Time
	sizeCounts SizeCounts
	leaving    bool

	// As a member.
	ownerships      map[string]*ownership
	ownedBy         map[string]map[string]bool // accounts by owner
	lastHeard       map[string]clock.Time      // by instance: arrival of its last message
	membersListedAt clock.Time                 // when the other instances were first listed; 0: not yet
	ownersKnown     bool                       // the other instances were asked which accounts they own
	lastQueryAt     clock.Time
	lastTick        clock.Time
	view            view
	claimsChanged   bool

	messages []Message
	outcomes []Outcome
}

// New returns a Limiter without accounts.
func New(s Settings, set *members.Set) *Limiter {
	return &Limiter{
		settings: s, members: set,
		pending: make(map[uint64]*pendingAcquire), finished: make(map[uint64]finishedAcquire), suspected: make(map[string]clock.Time),
		buckets: make(map[string]*bucket), decisions: make(map[RequestID]decision),
		probes: make(map[string]*probe), verifiedAt: make(map[string]clock.Time),
		ownerships: make(map[string]*ownership), ownedBy: make(map[string]map[string]bool), lastHeard: make(map[string]clock.Time),
	}
}

// Configure sets the accounts of a configuration version.
func (l *Limiter) Configure(now clock.Time, accounts map[string]*manifest.Account) {
	l.accounts = accounts
	for name, b := range l.buckets {
		if a := l.limitedAccount(name); a != nil {
			b.refill(now)
			b.account = a
		} else {
			l.dropOwnership(now, name, "", 0)
		}
	}
	for name := range l.ownerships {
		if l.limitedAccount(name) == nil {
			l.setOwner(name, "")
			delete(l.ownerships, name)
		}
	}
}

// limitedAccount returns an account that has a limit, or nil.
func (l *Limiter) limitedAccount(name string) *manifest.Account {
	if a := l.accounts[name]; a != nil && a.Rate > 0 {
		return a
	}
	return nil
}

// Drain returns the messages to send and the outcomes since the last call.
func (l *Limiter) Drain() ([]Message, []Outcome) {
	messages, outcomes := l.messages, l.outcomes
	l.messages, l.outcomes = nil, nil
	return messages, outcomes
}

// ClaimsChanged reports, once per change, that this instance's claims have changed. The
// caller then sends a heartbeat at once, so that two owners soon learn of each other.
func (l *Limiter) ClaimsChanged() bool {
	changed := l.claimsChanged
	l.claimsChanged = false
	return changed
}

// Tick performs the work that is due. It must be called at NextTick.
func (l *Limiter) Tick(now clock.Time) {
	for _, name := range sortedKeys(l.buckets) {
		l.grantReady(now, name)
	}
	for _, n := range sortedKeys(l.pending) {
		if p := l.pending[n]; p != nil {
			l.advance(now, p)
		}
	}
	for _, owner := range sortedKeys(l.probes) {
		l.advanceProbe(now, owner)
	}
	if now.Sub(l.lastTick) < tickInterval {
		return
	}
	l.lastTick = now
	l.queryOwners(now)
	l.claimUnowned(now)
	l.purge(now)
}

// NextTick returns when Tick has something to do, or Never. Regardless of it, the caller
// must call Tick twenty times a second for the periodic work.
func (l *Limiter) NextTick() clock.Time {
	next := clock.Never
	for _, b := range l.buckets {
		next = min(next, b.nextEvent())
	}
	for _, p := range l.pending {
		next = min(next, p.nextAt())
	}
	for _, p := range l.probes {
		next = min(next, p.nextAt)
	}
	return next
}

func (l *Limiter) purge(now clock.Time) {
	for id, d := range l.decisions {
		if now.Sub(d.at) > decisionRetention {
			delete(l.decisions, id)
		}
	}
	for n, c := range l.finished {
		if now.Sub(c.at) > decisionRetention {
			delete(l.finished, n)
		}
	}
	for name, since := range l.suspected {
		if l.lastHeardFrom(name) > since || now.Sub(since) > memberExpiry {
			delete(l.suspected, name)
		}
	}
}

func (l *Limiter) send(message Message) { l.messages = append(l.messages, message) }

// Status holds figures of a Limiter for the metrics.
type Status struct {
	Owned   int // accounts that this instance owns
	Waiting int // requests that wait for tokens in the buckets of these accounts
	// Reserved are the tokens that these buckets keep for requests of the sizes that were
	// served less often.
	Reserved float64
	SizeCounts
}

// Status returns the current figures.
func (l *Limiter) Status() Status {
	s := Status{Owned: len(l.buckets), SizeCounts: l.sizeCounts}
	for _, b := range l.buckets {
		s.Waiting += len(withCallers(b.queue))
		if b.load != nil {
			s.Reserved += b.load.reserved()
		}
	}
	return s
}
