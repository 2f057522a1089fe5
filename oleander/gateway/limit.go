package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/quota"
	"oleanderdale.org/oleander/process/boottime"
)

// grant is what a request got of its account's tokens.
type grant struct {
	number  uint64
	cost    float64 // that the request counts
	tokens  float64 // that were granted and not given back
	outcome quota.Outcome
}

// charge takes the request's tokens from its account's bucket.
func (x *exchange) charge() *refusal {
	if x.account == nil {
		return nil
	}
	cost := x.tokenCost()
	// Within its account a request ranks by its route: the account's own priority
	// is the same for all of them.
	number, decided := x.g.requestTokens(x.account.Name, cost, x.route.Priority, quota.Patience(x.route.LatencyObjective, x.route.Timeout))
	var o quota.Outcome
	select {
	case o = <-decided:
	case <-x.r.Context().Done():
		x.g.abandonTokens(number)
		return refusalOf(reasonCallerGone, 0)
	case <-x.g.refuseWaiting:
		x.g.abandonTokens(number)
		return refusalOf(reasonStopping, comeBack)
	}
	x.grant.number, x.grant.cost, x.grant.outcome = number, cost, o
	switch o.Verdict {
	case quota.Granted:
		x.grant.tokens = cost
		x.g.metrics.quotaSpent.Add(int(cost))
		return nil
	case quota.Refused:
		x.g.metrics.quotaDenied.Inc()
		return &refusal{status: http.StatusTooManyRequests, reason: reasonQuota, retryAfter: max(o.RetryAfter, comeBack)}
	}
	x.g.metrics.quotaUnknown.Inc()
	return refusalOf(reasonNoOwner, max(o.RetryAfter, comeBack))
}

// tokenCost is what the request counts against its account's limit.
func (x *exchange) tokenCost() float64 {
	switch {
	case !x.account.CountTokens:
		return 1
	case x.call.Tokens == 0:
		return float64(x.account.DefaultTokens)
	}
	return float64(x.call.Tokens)
}

// refund gives back the tokens of a request that did not run.
func (x *exchange) refund() {
	if x.account == nil || x.grant.tokens == 0 || x.ran > 0 {
		return
	}
	g := x.g
	g.withTokens(func(now clock.Time) {
		g.quota.Refund(now, x.grant.number, x.account.Name, x.grant.tokens, x.grant.outcome.Owner)
	})
	g.metrics.quotaRefunded.Add(int(x.grant.tokens))
	x.grant.tokens = 0
}

// log adds what the limit of the account decided.
func (t grant) log(e *zerolog.Event) *zerolog.Event {
	o := t.outcome
	if o.Owner == "" {
		return e
	}
	return e.Float64("cost", t.cost).Str("limit", o.Verdict.String()).Str("limit_owner", o.Owner).Int64("limit_waited_ms", o.Waited.Milliseconds()).
		Float64("limit_level", o.Level).Float64("limit_ahead", o.Ahead)
}

// requestTokens asks for tokens; the outcome comes on the channel.
func (g *Gateway) requestTokens(account string, cost float64, priority int, wait time.Duration) (uint64, <-chan quota.Outcome) {
	decided := make(chan quota.Outcome, 1)
	var number uint64
	g.withTokens(func(now clock.Time) {
		number = g.quota.Request(now, account, cost, priority, wait)
		g.deciding[number] = decided
	})
	return number, decided
}

// abandonTokens gives up a request for tokens.
func (g *Gateway) abandonTokens(number uint64) {
	g.withTokens(func(now clock.Time) {
		delete(g.deciding, number)
		g.quota.Abandon(now, number)
	})
}

// tokenMessages takes what the meter wants sent, passes on what it decided, and
// sets the timer for what it does next. The caller holds mu.
func (g *Gateway) tokenMessages() []outgoing {
	messages, outcomes := g.quota.Drain()
	for _, o := range outcomes {
		if decided := g.deciding[o.Number]; decided != nil {
			decided <- o
			delete(g.deciding, o.Number)
		}
	}
	if g.quota.Untold() {
		g.tellClaim = true
		g.poke()
	}
	if next := g.quota.Next(); next != clock.Never {
		g.tokenTimer.Reset(max(time.Millisecond, boottime.Until(next)))
	}
	var out []outgoing
	for _, m := range messages {
		if to := g.members.Get(m.To); to != nil {
			out = append(out, outgoing{message: g.encode(g.tokenPacket(m)), to: []recipient{g.recipient(to)}})
		}
	}
	return out
}

// withTokens calls do with the meter's lock held, and sends what follows.
func (g *Gateway) withTokens(do func(now clock.Time)) {
	g.mu.Lock()
	do(boottime.Now())
	out := g.tokenMessages()
	g.mu.Unlock()
	g.sendAll(out)
}
