package quota

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// probeFor is how long a doubted owner has to answer before it is replaced.
	probeFor = 120 * time.Millisecond
	// heardJustNow is how long ago an owner that others doubt may have been heard
	// not to be asked itself.
	heardJustNow = 100 * time.Millisecond
	// verifiedFor is how long the answer of a doubted owner is relied on.
	verifiedFor = 300 * time.Millisecond
)

// decision is what an owner said to an ask.
type decision struct {
	at       clock.Time
	account  string
	cost     float64
	reply    AcquireReply
	returned bool
}

// HandleAcquire takes an ask, of this instance too.
func (m *Limiter) HandleAcquire(now clock.Time, a AcquireRequest) {
	if a.ID.Requester != m.set.Self {
		m.touch(now, a.ID.Requester)
	}
	if d, ok := m.memory[a.ID]; ok {
		m.answer(now, a, d.reply)
		return
	}
	b := m.buckets[a.Account]
	if b == nil {
		if b = m.succeed(now, a); b == nil {
			return
		}
	}
	m.decide(now, b, a)
}

// decide lets the bucket decide.
func (m *Limiter) decide(now clock.Time, b *bucket, a AcquireRequest) {
	if wait, waits := b.waiting(a.ID); waits {
		m.answer(now, a, AcquireReply{Verdict: Waiting, Wait: wait})
		return
	}
	m.look(now)
	b.refill(now)
	r := AcquireReply{Level: b.level, QueuedTokens: b.queued()}
	var displaced []AcquireRequest
	r.Verdict, r.Wait, displaced = b.admit(now, a)
	if r.Verdict != Waiting {
		m.memory[a.ID] = decision{at: now, account: a.Account, cost: a.Cost, reply: r}
	}
	m.assert(a.Account, b)
	m.answer(now, a, r)
	m.refuseAll(now, b, displaced)
}

// assert checks what must hold of a bucket whenever it decided.
func (m *Limiter) assert(account string, b *bucket) {
	if !m.set.Check.Hold(b.level <= b.account.Burst, "quota-over-burst", "%s: %.0f tokens, burst %.0f", account, b.level, b.account.Burst) {
		b.level = b.account.Burst
	}
	m.set.Check.Hold(m.record(account).owner == m.set.Self, "quota-owner", "%s is owned by %s", account, m.record(account).owner)
}

// refuseAll refuses requests that were let wait, with when to come back.
func (m *Limiter) refuseAll(now clock.Time, b *bucket, asks []AcquireRequest) {
	for _, a := range asks {
		m.conclude(now, a, AcquireReply{Verdict: Refused, Wait: b.behindAll(a), Level: b.level, QueuedTokens: b.queued()})
	}
}

// answer replies to an ask.
func (m *Limiter) answer(now clock.Time, a AcquireRequest, r AcquireReply) {
	r.ID = a.ID
	if a.ID.Requester != m.set.Self {
		m.send(Message{To: a.ID.Requester, Reply: &r})
		return
	}
	t := m.tickets[a.ID.Number]
	switch {
	case t == nil || a.ID.Incarnation != m.set.Incarnation:
	case r.Verdict == NotOwner:
		t.to, t.asked, t.waiting = "", 0, false // asks again with the next tick
	default:
		m.settle(now, t, m.set.Self, r)
	}
}

// succeed returns the bucket of an account that this instance did not own, if it
// is its turn to, and answers the ask if not.
func (m *Limiter) succeed(now clock.Time, a AcquireRequest) *bucket {
	r := m.record(a.Account)
	if a.Epoch > r.epoch && r.owner != m.set.Self {
		r.epoch = a.Epoch // a claim that was not heard here
		m.setOwner(a.Account, a.SuspectedOwner)
	}
	switch {
	case m.limited(a.Account) == nil || !m.learned:
		m.answer(now, a, AcquireReply{Verdict: OwnerUnknown})
		return nil
	case m.leaving && m.top(now, a.Account) != m.set.Self:
		m.answer(now, a, AcquireReply{Verdict: NotOwner, Epoch: r.epoch})
		return nil
	case r.owner != "" && r.owner != a.SuspectedOwner && m.look(now).live[r.owner]:
		m.answer(now, a, AcquireReply{Verdict: NotOwner, Owner: r.owner, Epoch: r.epoch})
		return nil
	case r.owner == "" || !m.look(now).live[r.owner]:
		return m.claim(now, a.Account, 0)
	}
	return m.succeedDoubted(now, a, r)
}

// succeedDoubted replaces an owner that does not answer the asker, unless it is
// heard here.
func (m *Limiter) succeedDoubted(now clock.Time, a AcquireRequest, r *record) *bucket {
	alive := now.Sub(m.heard(r.owner)) <= heardJustNow || m.verified[r.owner] != 0 && now.Sub(m.verified[r.owner]) <= verifiedFor
	if alive {
		m.answer(now, a, AcquireReply{Verdict: NotOwner, Owner: r.owner, Epoch: r.epoch})
		return nil
	}
	p := m.probes[r.owner]
	if p == nil {
		p = &probe{began: now}
		m.probes[r.owner] = p
		m.pursueProbe(now, r.owner)
	}
	if p.failed {
		return m.claim(now, a.Account, 0)
	}
	m.answer(now, a, AcquireReply{Verdict: OwnerUnknown})
	return nil
}

// probe is a question to an owner that another instance doubts.
type probe struct {
	began  clock.Time
	next   clock.Time
	failed bool
}

func (m *Limiter) pursueProbe(now clock.Time, owner string) {
	p := m.probes[owner]
	switch {
	case m.heard(owner) >= p.began:
		m.verified[owner] = now
		delete(m.probes, owner)
	case p.failed && now.Reached(p.next):
		delete(m.probes, owner)
	case !p.failed && now.Sub(p.began) >= probeFor:
		p.failed, p.next = true, now.Add(verifiedFor)
	case !p.failed && now.Reached(p.next):
		p.next = now.Add(repeatAfter)
		m.send(Message{To: owner, Ping: true})
	}
}

// mature grants what has its tokens now.
func (m *Limiter) mature(now clock.Time, account string) {
	b := m.buckets[account]
	if len(b.queue) == 0 {
		return
	}
	m.look(now)
	granted, expired := b.mature(now)
	m.assert(account, b)
	for _, a := range granted {
		m.conclude(now, a, AcquireReply{Verdict: Granted, Level: b.level, QueuedTokens: b.queued()})
	}
	m.refuseAll(now, b, expired)
}

func (m *Limiter) conclude(now clock.Time, a AcquireRequest, r AcquireReply) {
	m.memory[a.ID] = decision{at: now, account: a.Account, cost: a.Cost, reply: r}
	m.answer(now, a, r)
}

// HandleRelease takes tokens back from another instance.
func (m *Limiter) HandleRelease(now clock.Time, from string, r Release) {
	m.touch(now, from)
	m.takeReturn(now, r)
}

// takeReturn gives tokens back to their bucket. What an owner before this one
// granted is credited too if the asker knows that it was granted; a request that
// the owner has not seen, or that was given back, is not.
func (m *Limiter) takeReturn(now clock.Time, r Release) {
	b := m.buckets[r.Account]
	if b == nil {
		return
	}
	b.cancel(r.ID)
	d, known := m.memory[r.ID]
	amount := r.Unused
	if known {
		amount = 0
		if d.reply.Verdict == Granted && !d.returned {
			amount = d.cost
		}
		d.returned = true
		m.memory[r.ID] = d
	}
	b.put(now, amount)
}
