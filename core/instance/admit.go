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

// handleCall admits or refuses a call.
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
	i.limiter.Acquire(now, c.Request, req.account, req.cost, c.Deadline, &i.out)
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
	if account.ServeFor > 0 && i.follower.ConfirmedAge(now) > account.ServeFor {
		return nil, notRun(event.ReasonIsolated, defaultRetryAfter, "")
	}
	if now.Reached(c.Deadline) {
		return nil, notRun(event.ReasonDeadline, 0, "the deadline had passed when the call arrived")
	}
	if req.atMostOnce && i.tableUnavailable(now) {
		return nil, notRun(event.ReasonTableUnavailable, defaultRetryAfter, "the call can't be recorded now, so it was not sent")
	}
	req.class = effectiveClass(account.Class, c.Class)
	decision := i.suspects.Check(now, i.digest(req))
	if decision.Mode == suspect.Refuse {
		return nil, notRun(event.ReasonCrash, decision.RetryAfter, "backend servers crashed while they ran it")
	}
	req.alone = decision.Mode == suspect.Alone
	return req, nil
}

// tableUnavailable reports whether the table has not responded for a full lease
// term, in which the lease is renewed several times. A call that needs the table
// would otherwise be refused only after several operations had timed out in
// turn; refused at once, its caller can try elsewhere.
func (i *Instance) tableUnavailable(now clock.Time) bool {
	return i.lease.TableAge(now) > cmp.Or(i.settings.LeaseTerm, session.DefaultTerm)
}

// admitTarget checks that the model, adapter or service exists and that the
// account may call it, and sets the request's cost in tokens.
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

// effectiveClass returns the class that a request runs in. A caller may ask for
// a less urgent class than its account's, not for a more urgent one.
func effectiveClass(account, requested config.Class) config.Class {
	if requested == "" || urgency[requested] < urgency[account] {
		return account
	}
	return requested
}

// handleRateDecision handles a decision of the rate limiter.
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

// rateRefusal turns a refusal by the rate limiter into one for the caller.
func rateRefusal(req *request, d rate.Decision) event.Refusal {
	switch d.Reason {
	case rate.ReasonLargerThanBurst:
		return req.refusal(event.ReasonOverRate, 0, "the call can cost more tokens than the account's burst; ask for a shorter answer")
	case rate.ReasonNoLease:
		return req.refusal(event.ReasonStopping, defaultRetryAfter, "this instance may not spend the account's tokens now; another one can")
	}
	return req.refusal(event.ReasonOverRate, d.RetryAfter, "")
}
