package instance

import (
	"cmp"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/process/rate"
	"oleanderdale.org/core/process/session"
	"oleanderdale.org/core/process/suspect"
)

// arrive admits or refuses a call.
func (i *Instance) handleCall(now clock.Time, c event.Call) {
	if i.cfg == nil || i.shutdown.refusesCalls {
		i.refuseCall(c.Request, event.Refusal{Reason: event.ReasonStopping, Execution: event.NotRun, RetryAfter: defaultRetryAfter, Detail: "this instance takes no calls; another one will"}, i.basis(now, nil))
		return
	}
	req, refusal := i.admit(now, c)
	if refusal != nil {
		i.refuseCall(c.Request, *refusal, i.basis(now, nil))
		return
	}
	i.requests[c.Request] = req
	i.limiter.Ask(now, c.Request, req.account, req.cost, c.Deadline, &i.out)
}

// admit checks a call against the configuration.
func (i *Instance) admit(now clock.Time, c event.Call) (*request, *event.Refusal) {
	key, ok := i.cfg.Keys[c.KeyDigest]
	if !ok {
		return nil, notRun(event.ReasonUnknownKey, 0, "")
	}
	req := &request{call: c, arrived: now, account: key.Account}
	account := i.cfg.Accounts[key.Account]
	if r := i.admitTarget(req); r != nil {
		return nil, r
	}
	if account.ServeFor > 0 && i.follower.HeardAge(now) > account.ServeFor {
		return nil, notRun(event.ReasonIsolated, defaultRetryAfter, "")
	}
	if now.Reached(c.Deadline) {
		return nil, notRun(event.ReasonDeadline, 0, "the deadline had passed when the call arrived")
	}
	if req.atMostOnce && i.tableUnavailable(now) {
		return nil, notRun(event.ReasonTableUnavailable, defaultRetryAfter, "the call can't be recorded now, so it was not sent")
	}
	req.class = effectiveClass(account.Class, c.Class)
	v := i.suspects.Check(now, i.digest(req))
	if v.Kind == suspect.Refuse {
		return nil, notRun(event.ReasonCrash, v.RetryAfter, "backend servers crashed while they ran it")
	}
	req.alone = v.Kind == suspect.Alone
	return req, nil
}

// tableSilent reports whether the table has not answered for a whole term of
// the lease, within which it is asked several times. A call that needs it would
// wait for operations that time out one after the other, and be refused only
// then; its caller could have gone elsewhere long before.
func (i *Instance) tableUnavailable(now clock.Time) bool {
	return i.lease.TableAge(now) > cmp.Or(i.settings.LeaseTerm, session.DefaultTerm)
}

// admitTarget checks what is called and sets the cost.
func (i *Instance) admitTarget(req *request) *event.Refusal {
	if req.call.Service != "" {
		return i.admitService(req)
	}
	a, ok := i.cfg.Artifacts[req.call.Artifact]
	if !ok {
		return notRun(event.ReasonNoTarget, 0, "")
	}
	if !i.cfg.Approved(req.account, a.Name) {
		return notRun(event.ReasonNotApproved, 0, "")
	}
	limit := a.MaxTokens
	if req.call.MaxOutputTokens > 0 {
		limit = min(limit, req.call.MaxOutputTokens)
	}
	req.cost = float64(req.call.PromptTokens + limit)
	return nil
}

func (i *Instance) admitService(req *request) *event.Refusal {
	s, ok := i.cfg.Services[req.call.Service]
	if !ok {
		return notRun(event.ReasonNoTarget, 0, "")
	}
	if !i.cfg.ApprovedService(req.account, s.Name) {
		return notRun(event.ReasonNotApproved, 0, "")
	}
	req.atMostOnce = !s.Repeatable
	if req.atMostOnce && req.call.IdempotencyKey == "" {
		return notRun(event.ReasonKeyMissing, 0, "calls of this service run at most once; send an Idempotency-Key")
	}
	req.cost = float64(s.Tokens)
	return nil
}

var urgency = map[config.Class]int{config.Urgent: 0, config.Interactive: 1, config.Batch: 2}

// lessUrgent keeps a caller from putting itself before others: it may ask for
// less urgency than its account has, not for more.
func effectiveClass(account, asked config.Class) config.Class {
	if asked == "" || urgency[asked] < urgency[account] {
		return account
	}
	return asked
}

// rateDecided takes the answer of the rate machine.
func (i *Instance) handleRateDecision(now clock.Time, d rate.Decision) {
	req := i.requests[d.Request]
	if req == nil || req.stage != stageTokens {
		return
	}
	if !d.Granted {
		i.refuseRequest(now, req, rateRefusal(req, d))
		return
	}
	req.charged = true
	i.acquireTurn(now, req)
}

// rateRefusal words the refusal of the rate machine.
func rateRefusal(req *request, d rate.Decision) event.Refusal {
	switch d.Reason {
	case rate.ReasonTooLarge:
		return req.refusal(event.ReasonOverRate, 0, "the call can cost more tokens than the account's burst; ask for a shorter answer")
	case rate.ReasonLease:
		return req.refusal(event.ReasonStopping, defaultRetryAfter, "this instance may not spend the account's tokens now; another one can")
	}
	return req.refusal(event.ReasonOverRate, d.RetryAfter, "")
}
