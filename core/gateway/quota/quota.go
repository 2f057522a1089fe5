// Package quota keeps each client account within its rate and burst over all
// instances together.
//
// Every instance keeps the whole bucket of each account. It takes from it what
// it admits itself at once, and what the others say they admitted as it hears
// of it. Instances overdraw only what they admit within the delay of their
// messages, and pay it back since the bucket may go below zero. An instance
// that is not heard is taken to spend an equal share of the rate, so two sides
// of a network partition together stay within it.
package quota

import (
	"maps"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/manifest"
)

const (
	// silentAfter is when an instance counts as not heard: three of its
	// messages are missing in the largest fleet measured, where they are 0.7 s
	// apart.
	silentAfter = 2200 * time.Millisecond
	// unknownInstances is how many instances are assumed before any is known.
	unknownInstances = 100
	// paceWindow is the time over which the others' spending is averaged. With
	// what they spent between two messages alone, all instances stop and start
	// together: they admit four times the rate until they hear of it, and pay
	// it back all at once.
	paceWindow = 3 * time.Second
	// leastPassed bounds the rate that two messages close together would show.
	leastPassed = 50 * time.Millisecond
	// forgottenAfter is when an instance that is not heard is taken to be gone
	// and its share is the others'. Partitions end sooner as a rule.
	forgottenAfter = 30 * time.Second
	// debtLimit bounds, in seconds of the rate, how far a bucket may be below
	// zero, so that a wrong message can't shut an account out for long.
	debtLimit = 3.0
	// learnLeast and learnPerInstance are how long an instance that started takes
	// to hear the others, whose messages are the rarer the more there are. After
	// all were replaced at once, each has a bucket of its own until then, and
	// neither rate nor burst must be had once for each.
	learnLeast       = 200 * time.Millisecond
	learnPerInstance = 8 * time.Millisecond
	// learnShares is what an instance has of the burst and gets of the rate
	// meanwhile, in equal shares: a little more than one, since callers don't
	// spread evenly. All of them together then take 2.8 seconds' worth of the
	// rate more than they may, with ninety instances; 3.1 are allowed for.
	learnShares = 1.3
)

type bucket struct {
	level   float64
	updated clock.Time
	spent   uint64 // by this instance, ever
	filled  bool
}

type peer struct {
	incarnation uint64
	heard       clock.Time
	spent       map[string]uint64  // by account
	perSecond   map[string]float64 // spent of late, a mean over paceWindow
}

func newPeer(now clock.Time, incarnation uint64, spent map[string]uint64) *peer {
	p := &peer{
		incarnation: incarnation, heard: now,
		spent: make(map[string]uint64, len(spent)), perSecond: make(map[string]float64),
	}
	maps.Copy(p.spent, spent)
	return p
}

// Meter meters all accounts. It is not safe for concurrent use.
type Meter struct {
	accounts  map[string]*manifest.Account
	buckets   map[string]*bucket
	instances int
	started   clock.Time // when instances was first known; 0: not yet
	peers     map[string]*peer
}

// New returns a Meter without accounts.
func New() *Meter {
	return &Meter{buckets: make(map[string]*bucket), peers: make(map[string]*peer), instances: unknownInstances}
}

// Configure takes the accounts of a configuration version.
func (m *Meter) Configure(accounts map[string]*manifest.Account) { m.accounts = accounts }

// SetInstances says how many instances there are. The first call begins the time
// in which this one learns of the others.
func (m *Meter) SetInstances(now clock.Time, n int) {
	if m.started == 0 {
		m.started = now
	}
	m.instances = n
}

// ownShare is the part of rate and burst that this instance may take for itself:
// all of it once it had time to hear what the others take.
func (m *Meter) ownShare(now clock.Time) float64 {
	if m.started != 0 && now.Sub(m.started) >= learnLeast+time.Duration(m.instances)*learnPerInstance {
		return 1
	}
	return min(1, learnShares/float64(max(1, m.instances)))
}

// Take spends cost of an account. If it may not, wait says when enough will
// have accrued.
func (m *Meter) Take(now clock.Time, account string, cost float64) (ok bool, wait time.Duration) {
	b, a := m.refill(now, account)
	if a == nil || a.Rate <= 0 {
		return true, 0
	}
	// A request larger than the burst passes on a full bucket, or it never could.
	need := min(cost, a.Burst*m.ownShare(now))
	level := b.level - m.unheard(now, account)
	if level < need {
		return false, time.Duration((need - level) / a.Rate * float64(time.Second))
	}
	b.level -= cost
	b.spent += uint64(cost)
	return true, 0
}

// unheard is what the others probably spent since they were last heard. Without
// it, all instances spend the same tokens between two messages. With it, what an
// instance can spend of a busy account grows by its own part of the rate.
func (m *Meter) unheard(now clock.Time, account string) float64 {
	total := 0.0
	for _, p := range m.peers {
		if passed := now.Sub(p.heard); passed <= silentAfter {
			total += p.perSecond[account] * passed.Seconds()
		}
	}
	return total
}

// Refund gives back what was taken for a request that did not run.
func (m *Meter) Refund(now clock.Time, account string, cost float64) {
	b, a := m.refill(now, account)
	if a == nil || a.Rate <= 0 {
		return
	}
	b.level = min(b.level+cost, a.Burst)
	b.spent -= min(b.spent, uint64(cost))
}

// Spent returns what this instance has spent, ever, by account.
func (m *Meter) Spent() map[string]uint64 {
	spent := make(map[string]uint64, len(m.buckets))
	for name, b := range m.buckets {
		if b.spent > 0 {
			spent[name] = b.spent
		}
	}
	return spent
}

// Heard takes what another instance says it has spent in this incarnation.
func (m *Meter) Heard(now clock.Time, name string, incarnation uint64, spent map[string]uint64) {
	p, known := m.peers[name]
	if known {
		m.settle(now)
	}
	if !known || p.incarnation != incarnation {
		m.peers[name] = newPeer(now, incarnation, spent)
		return
	}
	passed := now.Sub(p.heard)
	silent := passed > silentAfter
	p.heard = now
	weight := passed.Seconds() / (passed + paceWindow).Seconds()
	for account, mean := range p.perSecond {
		p.perSecond[account] = mean * (1 - weight)
	}
	for account, total := range spent {
		before := p.spent[account]
		p.spent[account] = total
		if total <= before {
			continue
		}
		amount := float64(total - before)
		if silent {
			// Its share of the rate was set aside; only what it spent beyond
			// that is still to be paid.
			amount -= m.share(account) * (passed - silentAfter).Seconds()
		}
		m.debit(now, account, max(0, amount))
		p.perSecond[account] += weight * amount / max(passed, leastPassed).Seconds()
	}
}

// share is an instance's equal share of an account's rate, a second.
func (m *Meter) share(account string) float64 {
	a := m.accounts[account]
	if a == nil {
		return 0
	}
	return a.Rate / float64(len(m.peers)+1)
}

func (m *Meter) debit(now clock.Time, account string, amount float64) {
	b, a := m.refill(now, account)
	if a == nil || a.Rate <= 0 {
		return
	}
	b.level = max(b.level-amount, -debtLimit*a.Rate)
}

// settle brings all buckets up to now.
func (m *Meter) settle(now clock.Time) {
	for account := range m.accounts {
		m.refill(now, account)
	}
}

func (m *Meter) refill(now clock.Time, account string) (*bucket, *manifest.Account) {
	b := m.buckets[account]
	if b == nil {
		b = &bucket{updated: now}
		m.buckets[account] = b
	}
	a := m.accounts[account]
	if a == nil {
		return b, nil
	}
	own := m.ownShare(now)
	if !b.filled {
		b.filled, b.level = true, a.Burst*own
	}
	share := min(own, m.heardShare(now))
	b.level += a.Rate * now.Sub(b.updated).Seconds() * share
	b.level = min(b.level, a.Burst)
	b.updated = now
	return b, a
}

// heardShare is the part of the rate that is not set aside for instances
// that are not heard.
func (m *Meter) heardShare(now clock.Time) float64 {
	all, silent := 1, 0
	for _, p := range m.peers {
		quiet := now.Sub(p.heard)
		if quiet > forgottenAfter {
			continue
		}
		all++
		if quiet > silentAfter {
			silent++
		}
	}
	return float64(all-silent) / float64(all)
}
