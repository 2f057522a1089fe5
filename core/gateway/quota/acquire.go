package quota

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// repeatAfter is when an ask without an answer is sent again: an answer takes
	// 1 to 3 ms, and ten times that from a machine with a fifth of a core.
	repeatAfter = 40 * time.Millisecond
	// doubtAfter is when an owner that does not answer is doubted, after three
	// asks: of ten datagrams one may be lost, each way.
	doubtAfter = 120 * time.Millisecond
	// pollEvery is the time between two asks of a request that waits for tokens;
	// they find out that the owner is gone, or that its last word was lost.
	pollEvery = 150 * time.Millisecond
	// answerWithin is how long a request waits for any answer: twice the time in
	// which an owner that died is replaced.
	answerWithin = 600 * time.Millisecond
	// comeBack is when a request may come again that nobody decided.
	comeBack = 200 * time.Millisecond
	// maxRedirects are followed at once; further ones wait for repeatAfter.
	maxRedirects = 3
)

// ticket is one request of this instance that waits for its account's owner.
type ticket struct {
	ask     AcquireRequest
	began   clock.Time
	latest  clock.Time // by when tokens are of use
	to      string     // who was asked
	asked   clock.Time // first ask of that owner that is not answered
	sent    clock.Time // last ask
	waiting bool       // the owner has it in its queue
	// redirects counts the replies that named another owner. Two instances that
	// name each other would be asked in turn a thousand times a second.
	redirects int
}

// closedTicket is one that was decided; a second grant of it is given back.
type closedTicket struct {
	at        clock.Time
	account   string
	cost      float64
	grantedBy string // "": not granted
}

func (t *ticket) repeat() time.Duration {
	if t.waiting {
		return pollEvery
	}
	return repeatAfter
}

func (t *ticket) end() clock.Time {
	if t.waiting {
		return t.latest.Add(doubtAfter)
	}
	return t.began.Add(answerWithin)
}

func (t *ticket) next() clock.Time { return min(t.sent.Add(t.repeat()), t.end()) }

// Acquire asks for tokens of an account. An outcome with the same number follows,
// at once where the account has no limit.
func (m *Limiter) Acquire(now clock.Time, account string, cost float64, priority int, wait time.Duration) uint64 {
	m.number++
	if m.limited(account) == nil {
		m.outcomes = append(m.outcomes, Outcome{Number: m.number, Verdict: Granted})
		return m.number
	}
	t := &ticket{
		ask: AcquireRequest{
			ID:      RequestID{Requester: m.set.Self, Incarnation: m.set.Incarnation, Number: m.number},
			Account: account, Cost: cost, Priority: priority,
		},
		began: now, latest: now.Add(wait),
	}
	m.tickets[m.number] = t
	m.pursue(now, t)
	return m.number
}

// pursue asks, asks again, doubts the owner, or gives up.
func (m *Limiter) pursue(now clock.Time, t *ticket) {
	if m.limited(t.ask.Account) == nil {
		m.finish(now, t, Outcome{Verdict: Granted}) // its limit was lifted
		return
	}
	if now.Reached(t.end()) {
		m.cancel(now, t)
		m.finish(now, t, Outcome{Verdict: OwnerUnknown, RetryAfter: comeBack, Owner: t.to})
		return
	}
	if t.to != "" && now.Sub(t.sent) < t.repeat() {
		return
	}
	if t.asked != 0 && now.Sub(t.asked) >= doubtAfter && t.to != m.set.Self {
		m.doubted[t.to] = now
	}
	if to := m.ownerOf(now, t.ask.Account); to != t.to {
		t.to, t.asked, t.waiting = to, 0, false
	}
	t.sent = now
	if t.to == "" {
		return
	}
	if t.asked == 0 {
		t.asked = now
	}
	m.ask(now, t)
}

// ask sends the ask of a ticket to the owner that was chosen.
func (m *Limiter) ask(now clock.Time, t *ticket) {
	ask, r := t.ask, m.record(t.ask.Account)
	ask.Wait, ask.Epoch = max(0, t.latest.Sub(now)), r.epoch
	if r.owner != t.to && m.doubts(r.owner) {
		ask.SuspectedOwner = r.owner
	}
	if t.to == m.set.Self {
		m.HandleAcquire(now, ask)
		return
	}
	m.send(Message{To: t.to, Acquire: &ask})
}

// cancel tells the owner that a request is of no use any more.
func (m *Limiter) cancel(now clock.Time, t *ticket) {
	if t.to == "" {
		return
	}
	m.giveBack(now, t.to, Release{ID: t.ask.ID, Account: t.ask.Account})
}

func (m *Limiter) giveBack(now clock.Time, owner string, r Release) {
	if owner != m.set.Self {
		m.send(Message{To: owner, Release: &r})
		return
	}
	m.takeReturn(now, r)
}

// Cancel ends a request that its caller gave up.
func (m *Limiter) Cancel(now clock.Time, number uint64) {
	t := m.tickets[number]
	if t == nil {
		return
	}
	m.cancel(now, t)
	delete(m.tickets, number)
	m.closed[number] = closedTicket{at: now, account: t.ask.Account, cost: t.ask.Cost}
}

// Refund gives back what was granted to a request that did not run.
func (m *Limiter) Refund(now clock.Time, number uint64, account string, cost float64, owner string) {
	if owner == "" || m.limited(account) == nil {
		return
	}
	id := RequestID{Requester: m.set.Self, Incarnation: m.set.Incarnation, Number: number}
	m.giveBack(now, owner, Release{ID: id, Account: account, Unused: cost})
}

func (m *Limiter) finish(now clock.Time, t *ticket, o Outcome) {
	n := t.ask.ID.Number
	delete(m.tickets, n)
	c := closedTicket{at: now, account: t.ask.Account, cost: t.ask.Cost}
	if o.Verdict == Granted {
		c.grantedBy = o.Owner
	}
	m.closed[n] = c
	o.Number, o.Waited = n, now.Sub(t.began)
	m.outcomes = append(m.outcomes, o)
}

// HandleReply takes what another instance said to an ask.
func (m *Limiter) HandleReply(now clock.Time, from string, r AcquireReply) {
	m.touch(now, from)
	if r.ID.Incarnation != m.set.Incarnation {
		return // to a process that ran here before
	}
	t := m.tickets[r.ID.Number]
	if t == nil {
		m.lateReply(now, from, r)
		return
	}
	if r.Verdict != Granted && from != t.to {
		return // from an owner that is not asked any more
	}
	if r.Verdict == NotOwner {
		t.asked = 0
		m.redirect(now, t, r)
		return
	}
	m.settle(now, t, from, r)
}

// settle takes what an owner said.
func (m *Limiter) settle(now clock.Time, t *ticket, from string, r AcquireReply) {
	t.asked, t.waiting = 0, r.Verdict == Waiting
	if r.Verdict == Granted || r.Verdict == Refused {
		m.finish(now, t, Outcome{Verdict: r.Verdict, RetryAfter: r.Wait, Owner: from, Level: r.Level, QueuedTokens: r.QueuedTokens})
	}
}

// lateReply gives back a grant that came after the request was decided.
func (m *Limiter) lateReply(now clock.Time, from string, r AcquireReply) {
	c, ok := m.closed[r.ID.Number]
	if r.Verdict != Granted || !ok || c.grantedBy == from {
		return
	}
	m.giveBack(now, from, Release{ID: r.ID, Account: c.account, Unused: c.cost})
}

// redirect asks the owner that another instance named.
func (m *Limiter) redirect(now clock.Time, t *ticket, r AcquireReply) {
	record := m.record(t.ask.Account)
	if r.Epoch >= record.epoch && record.owner != m.set.Self {
		record.epoch = r.Epoch
		m.setOwner(t.ask.Account, r.Owner)
		delete(m.doubted, r.Owner)
	}
	if r.Owner == "" {
		m.doubted[t.to] = now // it leaves
	}
	t.to, t.waiting = "", false
	if t.redirects++; t.redirects <= maxRedirects {
		m.pursue(now, t)
	}
}

// MaxWait is how long a request may wait for its account's tokens: half of its
// objective, since the other half is the answer's. One without an objective
// waits for a quarter of its time.
func MaxWait(objective, timeout time.Duration) time.Duration {
	if objective > 0 {
		return objective / 2
	}
	return timeout / 4
}
