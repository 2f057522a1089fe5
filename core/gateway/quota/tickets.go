package quota

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/reservation"
)

const (
	// resendInterval is the time after which an unanswered request is sent again. A reply
	// takes 1 to 3 ms, and ten times that from a machine with a fifth of a core.
	resendInterval = 40 * time.Millisecond
	// suspectAfter is the time after which an owner that does not reply is suspected. It
	// allows for three attempts, as one datagram in ten may be lost in either direction.
	suspectAfter = 120 * time.Millisecond
	// newOwnerPatience is how long a request whose owner is gone waits for tokens of the next
	// one, whose bucket begins empty: most of its own time went by meanwhile.
	newOwnerPatience = 300 * time.Millisecond
	// minTokenWait is what is left at least of a request's time to wait for tokens, if it had as
	// much: it may have gone by before anybody knew the owner.
	minTokenWait = 20 * time.Millisecond
	// pollInterval is the time between two sends of a request that waits for tokens.
	// They detect that the owner is gone or that its last reply was lost.
	pollInterval = 150 * time.Millisecond
	// replyTimeout is how long a request waits for any reply: twice the time in which a
	// failed owner is replaced.
	replyTimeout = 600 * time.Millisecond
	// undecidedRetryAfter is when a caller may retry a request that no instance decided.
	undecidedRetryAfter = 200 * time.Millisecond
	// maxRedirects is the number of redirects followed at once; after further ones the
	// request waits for resendInterval.
	maxRedirects = 3
)

// pendingAcquire is a request of this instance that its account's owner has not decided
// yet.
type pendingAcquire struct {
	request         AcquireRequest
	startedAt       clock.Time
	deadline        clock.Time // latest time at which the tokens are useful
	owner           string     // instance that was asked
	ownerLost       bool       // an instance that was asked does not answer
	unansweredSince clock.Time // first send to that owner since its last reply
	lastSentAt      clock.Time // last send
	queued          bool       // the owner has it in its queue
	// queuedUntil is the latest time at which an owner that queued a request with a Detail
	// decides it: the owner may set it a later due time than its deadline.
	queuedUntil clock.Time
	// decideBy bounds the wait for any reply, again after each loss of an owner that had
	// queued a request with a Detail.
	decideBy clock.Time
	// redirects counts the replies that named another owner. Without a limit, two
	// instances that name each other would be asked in turn a thousand times a second.
	redirects int
	// returned is what the owner's first reply said of the caller's return.
	returned reservation.Status
}

// finishedAcquire is a request that was decided or cancelled. A further grant of it is
// returned to its owner.
type finishedAcquire struct {
	at        clock.Time
	account   string
	cost      float64
	grantedBy string // "": not granted
}

func (p *pendingAcquire) resendAfter() time.Duration {
	if p.queued {
		return pollInterval
	}
	return resendInterval
}

func (p *pendingAcquire) giveUpAt() clock.Time {
	if p.queued {
		return max(p.deadline, p.queuedUntil).Add(suspectAfter)
	}
	return p.decideBy
}

func (p *pendingAcquire) nextAt() clock.Time {
	return min(p.lastSentAt.Add(p.resendAfter()), p.giveUpAt())
}

// leaveOwner records that another owner is to be asked; "" if it is not known yet.
func (p *pendingAcquire) leaveOwner(now clock.Time, next string) {
	if p.queued && p.request.Detail != nil {
		p.decideBy, p.queuedUntil = max(p.decideBy, now.Add(replyTimeout)), 0
	}
	p.owner, p.unansweredSince, p.queued = next, 0, false
}

// Acquire requests tokens of an account without details for load scheduling.
func (l *Limiter) Acquire(now clock.Time, account string, cost float64, priority int, wait time.Duration) uint64 {
	return l.AcquireWithDetail(now, account, cost, priority, wait, nil)
}

// AcquireWithDetail requests tokens of an account and returns the number of the request.
// Drain later returns an Outcome with this number, at once if the account has no limit.
// detail is nil if load scheduling is off.
func (l *Limiter) AcquireWithDetail(now clock.Time, account string, cost float64, priority int, wait time.Duration, detail *AcquireDetail) uint64 {
	l.lastNumber++
	if l.limitedAccount(account) == nil {
		l.outcomes = append(l.outcomes, Outcome{Number: l.lastNumber, Verdict: Granted})
		return l.lastNumber
	}
	p := &pendingAcquire{
		request: AcquireRequest{
			ID:      RequestID{Requester: l.settings.Self, Incarnation: l.settings.Incarnation, Number: l.lastNumber},
			Account: account, Cost: cost, Priority: priority, Detail: detail,
		},
		startedAt: now, deadline: now.Add(wait), decideBy: now.Add(replyTimeout),
	}
	l.pending[l.lastNumber] = p
	l.advance(now, p)
	return l.lastNumber
}

// advance sends a request or sends it again, suspects its owner, or gives up.
func (l *Limiter) advance(now clock.Time, p *pendingAcquire) {
	if l.limitedAccount(p.request.Account) == nil {
		l.finish(now, p, Outcome{Verdict: Granted}) // the account's limit was removed
		return
	}
	if now.Reached(p.giveUpAt()) {
		l.cancelAtOwner(now, p)
		l.finish(now, p, Outcome{Verdict: OwnerUnknown, RetryAfter: undecidedRetryAfter, Owner: p.owner})
		return
	}
	if p.owner != "" && now.Sub(p.lastSentAt) < p.resendAfter() {
		return
	}
	if p.unansweredSince != 0 && now.Sub(p.unansweredSince) >= suspectAfter && p.owner != l.settings.Self {
		l.suspected[p.owner], p.ownerLost = now, true
	}
	p.ownerLost = p.ownerLost || l.isSuspected(l.ownershipOf(p.request.Account).owner)
	if owner := l.ownerToAsk(now, p.request.Account); owner != p.owner {
		p.leaveOwner(now, owner)
	}
	p.lastSentAt = now
	if p.owner == "" {
		return
	}
	if p.unansweredSince == 0 {
		p.unansweredSince = now
	}
	l.sendRequest(now, p)
}

// sendRequest sends a request to the chosen owner.
func (l *Limiter) sendRequest(now clock.Time, p *pendingAcquire) {
	req, o := p.request, l.ownershipOf(p.request.Account)
	if p.ownerLost && o.owner != p.owner {
		end := min(now.Add(newOwnerPatience), p.startedAt.Add(replyTimeout-suspectAfter))
		p.deadline = max(p.deadline, end)
	}
	least := min(minTokenWait, p.deadline.Sub(p.startedAt))
	req.Wait, req.Epoch = max(least, p.deadline.Sub(now)), o.epoch
	if d := req.Detail; d != nil {
		elapsed := now.Sub(p.startedAt)
		req.Detail = &AcquireDetail{Group: d.Group, Leaves: d.Leaves - elapsed, Digest: d.Digest}
	}
	if o.owner != p.owner && l.isSuspected(o.owner) {
		req.SuspectedOwner = o.owner
	}
	if p.owner == l.settings.Self {
		l.HandleAcquire(now, req)
		return
	}
	l.send(Message{To: p.owner, Acquire: &req})
}

// cancelAtOwner tells the owner that a request is cancelled.
func (l *Limiter) cancelAtOwner(now clock.Time, p *pendingAcquire) {
	if p.owner == "" {
		return
	}
	l.sendRelease(now, p.owner, Release{ID: p.request.ID, Account: p.request.Account})
}

func (l *Limiter) sendRelease(now clock.Time, owner string, r Release) {
	if owner != l.settings.Self {
		l.send(Message{To: owner, Release: &r})
		return
	}
	l.release(now, r)
}

// Cancel ends a request whose caller has given up.
func (l *Limiter) Cancel(now clock.Time, number uint64) {
	p := l.pending[number]
	if p == nil {
		return
	}
	l.cancelAtOwner(now, p)
	delete(l.pending, number)
	l.finished[number] = finishedAcquire{at: now, account: p.request.Account, cost: p.request.Cost}
}

// Refund returns the tokens of a granted request that did not run.
func (l *Limiter) Refund(now clock.Time, number uint64, account string, cost float64, owner string) {
	if owner == "" || l.limitedAccount(account) == nil {
		return
	}
	id := RequestID{Requester: l.settings.Self, Incarnation: l.settings.Incarnation, Number: number}
	l.sendRelease(now, owner, Release{ID: id, Account: account, Unused: cost})
}

func (l *Limiter) finish(now clock.Time, p *pendingAcquire, outcome Outcome) {
	number := p.request.ID.Number
	delete(l.pending, number)
	finished := finishedAcquire{at: now, account: p.request.Account, cost: p.request.Cost}
	if outcome.Verdict == Granted {
		finished.grantedBy = outcome.Owner
	}
	l.finished[number] = finished
	outcome.Number, outcome.Waited = number, now.Sub(p.startedAt)
	l.outcomes = append(l.outcomes, outcome)
}

// HandleReply processes a reply of another instance.
func (l *Limiter) HandleReply(now clock.Time, from string, r AcquireReply) {
	l.markHeard(now, from)
	if r.ID.Incarnation != l.settings.Incarnation {
		return // addressed to a previous process of this instance
	}
	p := l.pending[r.ID.Number]
	if p == nil {
		l.handleLateReply(now, from, r)
		return
	}
	if r.Verdict != Granted && from != p.owner {
		return // from an instance that is no longer asked
	}
	if r.Verdict == NotOwner {
		p.unansweredSince = 0
		l.followRedirect(now, p, r)
		return
	}
	l.handleVerdict(now, p, from, r)
}

// handleVerdict processes an owner's verdict.
func (l *Limiter) handleVerdict(now clock.Time, p *pendingAcquire, from string, r AcquireReply) {
	p.unansweredSince, p.queued = 0, r.Verdict == Waiting
	if r.Returned != reservation.New {
		p.returned = r.Returned
	}
	if d := p.request.Detail; p.queued && d != nil && p.queuedUntil == 0 {
		remaining := d.Leaves - now.Sub(p.startedAt)
		p.queuedUntil = now.Add(time.Duration(largeLeavesShare * float64(remaining)))
	}
	if r.Verdict == Granted || r.Verdict == Refused {
		l.finish(now, p, Outcome{Verdict: r.Verdict, RetryAfter: r.Wait, Owner: from, Level: r.Level, QueuedTokens: r.QueuedTokens, Returned: p.returned})
	}
}

// handleLateReply returns tokens that were granted after the request was finished.
func (l *Limiter) handleLateReply(now clock.Time, from string, r AcquireReply) {
	finished, ok := l.finished[r.ID.Number]
	if r.Verdict != Granted || !ok || finished.grantedBy == from {
		return
	}
	l.sendRelease(now, from, Release{ID: r.ID, Account: finished.account, Unused: finished.cost})
}

// followRedirect sends a request to the owner that a reply names.
func (l *Limiter) followRedirect(now clock.Time, p *pendingAcquire, r AcquireReply) {
	o := l.ownershipOf(p.request.Account)
	if r.Epoch >= o.epoch && o.owner != l.settings.Self {
		o.epoch = r.Epoch
		l.setOwner(p.request.Account, r.Owner)
		delete(l.suspected, r.Owner)
	}
	if r.Owner == "" {
		l.suspected[p.owner] = now // it is stopping
	}
	p.leaveOwner(now, "")
	if p.redirects++; p.redirects <= maxRedirects {
		l.advance(now, p)
	}
}

// MaxWait returns how long a request may wait for its account's tokens: half of its
// latency objective, as the other half is left for the response. A request without an
// objective waits for at most a quarter of its timeout.
func MaxWait(objective, timeout time.Duration) time.Duration {
	if objective > 0 {
		return objective / 2
	}
	return timeout / 4
}
