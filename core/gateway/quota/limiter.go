// Package quota keeps each client account within its rate and burst over all
// instances together.
//
// One instance, the account's owner, keeps its bucket. Every other one asks it
// before it lets a request in, and lets it in only when the owner granted it.
// There is one bucket, so what is granted in any window is within burst and rate,
// and requests get their tokens by one order wherever they come in.
//
// A Meter takes typed events and returns typed messages. Who owns an account is
// told in heartbeats (owners.go); an owner that does not answer is replaced
// within a quarter of a second (tickets.go). A new owner begins with an empty
// bucket, so a change of owners grants nothing that the rate does not give;
// while two believe that they own an account, each grants the rate, so that a
// change adds at most the rate times that overlap. Instances that are not heard
// are taken to grant their part of the rate, so the sides of a partition stay
// within it together.
package quota

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/invariant"
)

const (
	// rememberFor is how long a decision is kept for asks that are repeated; an
	// asker repeats for answerWithin and gives back what came too late.
	rememberFor = 3 * time.Second
	// tickEvery is the time between two looks at what time alone changes.
	tickEvery = 50 * time.Millisecond
)

// Settings of a Meter.
type Settings struct {
	Self        string // name of this instance
	Zone        string
	Strength    int // the strongest instances own the accounts
	Incarnation uint64
	// HeartbeatInterval is the time between two heartbeats of one of so many instances.
	HeartbeatInterval func(instances int) time.Duration
	Check             *invariant.Checker
}

// Limiter is one instance's part. It is not safe for concurrent use.
type Limiter struct {
	set      Settings
	members  *members.Set
	accounts map[string]*manifest.Account

	// As an asker.
	number  uint64
	tickets map[uint64]*ticket
	closed  map[uint64]closedTicket
	doubted map[string]clock.Time // since when, by owner

	// As an owner.
	buckets  map[string]*bucket
	memory   map[RequestID]decision
	probes   map[string]*probe // of owners that others doubt
	verified map[string]clock.Time
	handed   []Handover
	handedAt clock.Time
	leaving  bool

	// Of all accounts.
	records   map[string]*record
	ownedBy   map[string]map[string]bool // accounts by owner
	touched   map[string]clock.Time      // when an instance's last message came
	joined    clock.Time                 // when the others were first listed; 0: not yet
	learned   bool
	askedLast clock.Time
	ticked    clock.Time
	view      view
	untold    bool

	messages []Message
	outcomes []Outcome
}

// New returns a Meter without accounts.
func New(s Settings, set *members.Set) *Limiter {
	return &Limiter{
		set: s, members: set,
		tickets: make(map[uint64]*ticket), closed: make(map[uint64]closedTicket), doubted: make(map[string]clock.Time),
		buckets: make(map[string]*bucket), memory: make(map[RequestID]decision),
		probes: make(map[string]*probe), verified: make(map[string]clock.Time),
		records: make(map[string]*record), ownedBy: make(map[string]map[string]bool), touched: make(map[string]clock.Time),
	}
}

// Configure takes the accounts of a configuration version.
func (m *Limiter) Configure(now clock.Time, accounts map[string]*manifest.Account) {
	m.accounts = accounts
	for name, b := range m.buckets {
		if a := m.limited(name); a != nil {
			b.refill(now)
			b.account = a
		} else {
			m.drop(now, name, "", 0)
		}
	}
	for name := range m.records {
		if m.limited(name) == nil {
			m.setOwner(name, "")
			delete(m.records, name)
		}
	}
}

// limited returns an account that has a limit, or nil.
func (m *Limiter) limited(name string) *manifest.Account {
	if a := m.accounts[name]; a != nil && a.Rate > 0 {
		return a
	}
	return nil
}

// Drain returns what has to be sent and which requests were decided since the
// last call.
func (m *Limiter) Drain() ([]Message, []Outcome) {
	messages, outcomes := m.messages, m.outcomes
	m.messages, m.outcomes = nil, nil
	return messages, outcomes
}

// ClaimsChanged reports, once, that a claim is new: the others are told at once, so
// that two owners know of each other soon.
func (m *Limiter) ClaimsChanged() bool {
	untold := m.untold
	m.untold = false
	return untold
}

// Tick does what time alone brings. It must be called when Next says.
func (m *Limiter) Tick(now clock.Time) {
	for _, name := range sortedKeys(m.buckets) {
		m.mature(now, name)
	}
	for _, n := range sortedKeys(m.tickets) {
		if t := m.tickets[n]; t != nil {
			m.pursue(now, t)
		}
	}
	for _, owner := range sortedKeys(m.probes) {
		m.pursueProbe(now, owner)
	}
	if now.Sub(m.ticked) < tickEvery {
		return
	}
	m.ticked = now
	m.learn(now)
	m.takeOver(now)
	m.forget(now)
}

// NextTick returns when Tick has something to do, or Never: looks at what time alone
// changes are the caller's to make, twenty times a second.
func (m *Limiter) NextTick() clock.Time {
	next := clock.Never
	for _, b := range m.buckets {
		next = min(next, b.next())
	}
	for _, t := range m.tickets {
		next = min(next, t.next())
	}
	for _, p := range m.probes {
		next = min(next, p.next)
	}
	return next
}

func (m *Limiter) forget(now clock.Time) {
	for id, d := range m.memory {
		if now.Sub(d.at) > rememberFor {
			delete(m.memory, id)
		}
	}
	for n, c := range m.closed {
		if now.Sub(c.at) > rememberFor {
			delete(m.closed, n)
		}
	}
	for name, since := range m.doubted {
		if m.heard(name) > since || now.Sub(since) > forgottenAfter {
			delete(m.doubted, name)
		}
	}
}

func (m *Limiter) send(message Message) { m.messages = append(m.messages, message) }

// Status is what an instance shows of its part.
type Status struct {
	Owned   int // accounts that this instance owns
	Waiting int // requests that wait for tokens in their buckets
}

// Status returns figures for the metrics.
func (m *Limiter) Status() Status {
	s := Status{Owned: len(m.buckets)}
	for _, b := range m.buckets {
		s.Waiting += len(b.queue)
	}
	return s
}
