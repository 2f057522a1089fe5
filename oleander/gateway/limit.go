package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/quota"
	"oleanderdale.org/core/gateway/reservation"
	"oleanderdale.org/oleander/process/boottime"
)

// quotaGrant is the quota granted to a request.
type quotaGrant struct {
	number     uint64
	account    string  // that paid; the request's key may move to another one later
	cost       float64 // tokens that the request counts
	heldTokens float64 // granted and not returned
	outcome    quota.Outcome
}

// acquireQuota takes the request's tokens from its account's quota.
func (x *exchange) acquireQuota() *refusal {
	if x.account == nil {
		return nil
	}
	cost := x.quotaCost()
	// Requests of one account compete by their route's priority; the account's own
	// priority is the same for all of them.
	number, outcome := x.acquireTokens(cost)
	var o quota.Outcome
	select {
	case o = <-outcome:
	case <-x.r.Context().Done():
		x.g.cancelAcquire(number)
		return x.contextRefusal()
	case <-x.g.refuseQueued:
		x.g.cancelAcquire(number)
		return unavailable(reasonStopping, retryDelay)
	}
	x.quotaGrant = quotaGrant{number: number, account: x.account.Name, cost: cost, outcome: o}
	x.g.metrics.recordReturn(returnAtLimit, o.Returned)
	switch o.Verdict {
	case quota.Granted:
		x.quotaGrant.heldTokens = cost
		x.g.metrics.quotaSpent.Add(int(cost))
		return nil
	case quota.Refused:
		x.g.metrics.quotaDenied.Inc()
		return &refusal{status: http.StatusTooManyRequests, reason: reasonQuota, retryAfter: max(o.RetryAfter, retryDelay)}
	}
	x.g.metrics.quotaUnknown.Inc()
	return unavailable(reasonQuotaUnknown, max(o.RetryAfter, retryDelay))
}

// quotaCost returns how many tokens the request counts against its account's limit.
func (x *exchange) quotaCost() float64 {
	switch {
	case !x.account.CountTokens:
		return 1
	case x.call.TotalTokens == 0:
		return float64(x.account.DefaultTokens)
	}
	return float64(x.call.TotalTokens)
}

// refundQuota returns the tokens of a request that did not run.
func (x *exchange) refundQuota() {
	if x.quotaGrant.heldTokens == 0 || x.possibleRuns > 0 {
		return
	}
	g := x.g
	g.withQuota(func(now clock.Time) {
		g.limiter.Refund(now, x.quotaGrant.number, x.quotaGrant.account, x.quotaGrant.heldTokens, x.quotaGrant.outcome.Owner)
	})
	g.metrics.quotaRefunded.Add(int(x.quotaGrant.heldTokens))
	x.quotaGrant.heldTokens = 0
}

// log adds the decision of the account's quota to a log line.
func (t quotaGrant) log(e *zerolog.Event) *zerolog.Event {
	o := t.outcome
	if o.Owner == "" {
		return e
	}
	if o.Returned != reservation.New {
		e = e.Stringer("limit_returned", o.Returned)
	}
	return e.Float64("cost", t.cost).Str("limit", o.Verdict.String()).Str("limit_owner", o.Owner).Int64("limit_waited_ms", o.Waited.Milliseconds()).
		Float64("limit_level", o.Level).Float64("limit_ahead", o.QueuedTokens)
}

// acquireTokens asks for the request's tokens; the outcome is sent to the channel.
func (x *exchange) acquireTokens(cost float64) (uint64, <-chan quota.Outcome) {
	g := x.g
	outcome := make(chan quota.Outcome, 1)
	wait := quota.MaxWait(x.route.LatencyObjective, x.route.Timeout)
	var number uint64
	g.withQuota(func(now clock.Time) {
		var detail *quota.AcquireDetail
		if g.loadScheduling {
			detail = x.acquireDetail(now)
		}
		number = g.limiter.AcquireWithDetail(now, x.account.Name, cost, x.route.Priority, wait, detail)
		g.quotaWaiters[number] = outcome
	})
	return number, outcome
}

// acquireDetail describes the request for load scheduling.
func (x *exchange) acquireDetail(now clock.Time) *quota.AcquireDetail {
	return &quota.AcquireDetail{
		Group: x.group, Leaves: x.deadline.Sub(now), Digest: x.returnDigest,
	}
}

// cancelAcquire withdraws a request for tokens.
func (g *Gateway) cancelAcquire(number uint64) {
	g.withQuota(func(now clock.Time) {
		delete(g.quotaWaiters, number)
		g.limiter.Cancel(now, number)
	})
}

// quotaMessages returns the limiter's messages to other instances, delivers its
// outcomes, and sets the timer for its next action. The caller holds mu.
func (g *Gateway) quotaMessages() []outgoing {
	messages, outcomes := g.limiter.Drain()
	for _, o := range outcomes {
		g.recordTrip(o)
		if waiter := g.quotaWaiters[o.Number]; waiter != nil {
			waiter <- o
			delete(g.quotaWaiters, o.Number)
		}
	}
	if g.limiter.ClaimsChanged() {
		g.heartbeatDue = true
		g.triggerHousekeeping()
	}
	if next := g.limiter.NextTick(); next != clock.Never {
		g.quotaTimer.Reset(max(time.Millisecond, boottime.Until(next)))
	}
	var out []outgoing
	for _, m := range messages {
		if to := g.members.Get(m.To); to != nil {
			out = append(out, outgoing{message: g.encode(g.quotaPacket(m)), recipients: []recipient{g.recipient(to)}})
		}
	}
	return out
}

// withQuota calls do with mu held, and sends the resulting messages.
func (g *Gateway) withQuota(do func(now clock.Time)) {
	g.mu.Lock()
	do(boottime.Now())
	out := g.quotaMessages()
	g.mu.Unlock()
	g.sendAll(out)
}
