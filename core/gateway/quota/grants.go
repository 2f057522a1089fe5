package quota

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// probeTimeout is how long a suspected owner has to reply before it is replaced.
	probeTimeout = 120 * time.Millisecond
	// recentlyHeard is the age up to which an owner's last message shows that the owner
	// is alive, so that no probe is needed.
	recentlyHeard = 100 * time.Millisecond
	// probeValidity is how long the result of a probe is used.
	probeValidity = 300 * time.Millisecond
)

// decision is an owner's final reply to an AcquireRequest.
type decision struct {
	at       clock.Time
	account  string
	cost     float64
	reply    AcquireReply
	released bool
	overflow float64 // total of the bucket at the decision
}

// HandleAcquire processes an AcquireRequest from another instance or from this one.
func (l *Limiter) HandleAcquire(now clock.Time, req AcquireRequest) {
	if req.ID.Requester != l.settings.Self {
		l.markHeard(now, req.ID.Requester)
	}
	if d, ok := l.decisions[req.ID]; ok {
		l.sendReply(now, req, d.reply)
		return
	}
	b := l.buckets[req.Account]
	if b == nil {
		if b = l.becomeOwner(now, req); b == nil {
			return
		}
	}
	l.decide(now, b, req)
}

// decide lets the bucket grant, queue or refuse a request, and replies to it.
func (l *Limiter) decide(now clock.Time, b *bucket, req AcquireRequest) {
	if wait, queued := b.remainingWait(req.ID); queued {
		l.sendReply(now, req, AcquireReply{Verdict: Waiting, Wait: wait})
		return
	}
	l.currentView(now)
	admit := b.admit
	if b.updateScheduling(now, req) {
		l.grantReady(now, req.Account) // a late timer must not make requests appear late
		admit = b.admitScheduled
	}
	b.refill(now)
	r := AcquireReply{Level: b.level, QueuedTokens: b.queuedTokens()}
	var evicted []AcquireRequest
	r.Verdict, r.Wait, evicted = admit(now, req)
	if b.load != nil {
		l.sizeCounts.add(b.load.counts)
		b.load.counts = SizeCounts{}
		r.Returned = b.load.returned
	}
	if r.Verdict != Waiting {
		l.decisions[req.ID] = decision{at: now, account: req.Account, cost: req.Cost, reply: r, overflow: l.buckets[req.Account].overflow.total}
	}
	l.checkInvariants(req.Account, b)
	l.sendReply(now, req, r)
	l.refuseAll(now, b, evicted)
}

// checkInvariants checks the invariants of a bucket after a decision.
func (l *Limiter) checkInvariants(account string, b *bucket) {
	if !l.settings.Check.Hold(b.level <= b.account.Burst, "quota-over-burst", "%s: %.0f tokens, burst %.0f", account, b.level, b.account.Burst) {
		b.level = b.account.Burst
	}
	l.settings.Check.Hold(l.ownershipOf(account).owner == l.settings.Self, "quota-owner", "%s is owned by %s", account, l.ownershipOf(account).owner)
}

// refuseAll refuses requests that were queued, with the time after which to retry.
func (l *Limiter) refuseAll(now clock.Time, b *bucket, requests []AcquireRequest) {
	for _, req := range requests {
		l.recordDecision(now, req, AcquireReply{Verdict: Refused, Wait: b.retryAfter(now, req), Level: b.level, QueuedTokens: b.queuedTokens()})
	}
}

// sendReply sends a reply to the requester, or processes it here if that is this
// instance.
func (l *Limiter) sendReply(now clock.Time, req AcquireRequest, r AcquireReply) {
	r.ID = req.ID
	if req.ID.Requester != l.settings.Self {
		l.send(Message{To: req.ID.Requester, Reply: &r})
		return
	}
	p := l.pending[req.ID.Number]
	switch {
	case p == nil || req.ID.Incarnation != l.settings.Incarnation:
	case r.Verdict == NotOwner:
		p.leaveOwner(now, "") // asks again at the next tick
	default:
		l.handleVerdict(now, p, l.settings.Self, r)
	}
}

// becomeOwner claims an account that this instance does not own, if it may, and returns
// its bucket. Otherwise it replies to the request and returns nil.
func (l *Limiter) becomeOwner(now clock.Time, req AcquireRequest) *bucket {
	o := l.ownershipOf(req.Account)
	if req.Epoch > o.epoch && o.owner != l.settings.Self {
		o.epoch = req.Epoch // of a claim that did not reach this instance
		l.setOwner(req.Account, req.SuspectedOwner)
	}
	switch {
	case l.limitedAccount(req.Account) == nil || !l.ownersKnown:
		l.sendReply(now, req, AcquireReply{Verdict: OwnerUnknown})
		return nil
	case l.leaving && l.preferredOwner(now, req.Account) != l.settings.Self:
		l.sendReply(now, req, AcquireReply{Verdict: NotOwner, Epoch: o.epoch})
		return nil
	case o.owner != "" && o.owner != req.SuspectedOwner && l.currentView(now).live[o.owner]:
		l.sendReply(now, req, AcquireReply{Verdict: NotOwner, Owner: o.owner, Epoch: o.epoch})
		return nil
	case o.owner == "" || !l.currentView(now).live[o.owner]:
		return l.claimOwnership(now, req.Account, 0)
	}
	return l.replaceSuspectedOwner(now, req, o)
}

// replaceSuspectedOwner takes an account over from an owner that does not reply to the
// requester, unless this instance can reach that owner.
func (l *Limiter) replaceSuspectedOwner(now clock.Time, req AcquireRequest, o *ownership) *bucket {
	alive := now.Sub(l.lastHeardFrom(o.owner)) <= recentlyHeard || l.verifiedAt[o.owner] != 0 && now.Sub(l.verifiedAt[o.owner]) <= probeValidity
	if alive {
		l.sendReply(now, req, AcquireReply{Verdict: NotOwner, Owner: o.owner, Epoch: o.epoch})
		return nil
	}
	p := l.probes[o.owner]
	if p == nil {
		p = &probe{startedAt: now}
		l.probes[o.owner] = p
		l.advanceProbe(now, o.owner)
	}
	if p.failed {
		return l.claimOwnership(now, req.Account, 0)
	}
	l.sendReply(now, req, AcquireReply{Verdict: OwnerUnknown})
	return nil
}

// probe checks whether an owner that another instance suspects is alive.
type probe struct {
	startedAt clock.Time
	nextAt    clock.Time
	failed    bool
}

func (l *Limiter) advanceProbe(now clock.Time, owner string) {
	p := l.probes[owner]
	switch {
	case l.lastHeardFrom(owner) >= p.startedAt:
		l.verifiedAt[owner] = now
		delete(l.probes, owner)
	case p.failed && now.Reached(p.nextAt):
		delete(l.probes, owner)
	case !p.failed && now.Sub(p.startedAt) >= probeTimeout:
		p.failed, p.nextAt = true, now.Add(probeValidity)
	case !p.failed && now.Reached(p.nextAt):
		p.nextAt = now.Add(resendInterval)
		l.send(Message{To: owner, Ping: true})
	}
}

// grantReady grants the queued requests whose tokens are available.
func (l *Limiter) grantReady(now clock.Time, account string) {
	b := l.buckets[account]
	if len(b.queue) == 0 {
		return
	}
	l.currentView(now)
	granted, expired := b.dequeueReady(now)
	l.checkInvariants(account, b)
	for _, req := range granted {
		l.recordDecision(now, req, AcquireReply{Verdict: Granted, Level: b.level, QueuedTokens: b.queuedTokens()})
	}
	l.refuseAll(now, b, expired)
}

func (l *Limiter) recordDecision(now clock.Time, req AcquireRequest, r AcquireReply) {
	l.decisions[req.ID] = decision{at: now, account: req.Account, cost: req.Cost, reply: r, overflow: l.buckets[req.Account].overflow.total}
	l.sendReply(now, req, r)
}

// HandleRelease processes a Release from another instance.
func (l *Limiter) HandleRelease(now clock.Time, from string, r Release) {
	l.markHeard(now, from)
	l.release(now, r)
}

// release returns tokens to their bucket. Tokens granted by a previous owner are credited
// too if the requester knows that they were granted. Requests that this owner has not
// seen and requests that were already released are not credited.
func (l *Limiter) release(now clock.Time, r Release) {
	b := l.buckets[r.Account]
	if b == nil {
		return
	}
	b.remove(r.ID)
	d, decided := l.decisions[r.ID]
	b.refill(now)
	amount, lost := r.Unused, b.overflow.sinceUnknownGrant()
	if decided {
		amount, lost = 0, b.overflow.total-d.overflow
		if d.reply.Verdict == Granted && !d.released {
			amount = d.cost
		}
		d.released = true
		l.decisions[r.ID] = d
	}
	b.refund(now, amount, lost)
}
