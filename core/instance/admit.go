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
func (i *Instance) arrive(now clock.Time, c event.Call) {
	if i.cfg == nil || i.stop.closed {
		i.refuseCall(c.Request, event.Refusal{Reason: event.ReasonStopping, Execution: event.NotRun, RetryAfter: backLater, Detail: "this instance takes no calls; another one will"}, i.basis(now, nil))
		return
	}
	f, refusal := i.admit(now, c)
	if refusal != nil {
		i.refuseCall(c.Request, *refusal, i.basis(now, nil))
		return
	}
	i.flights[c.Request] = f
	i.rates.Ask(now, c.Request, f.account, f.cost, c.Deadline, &i.out)
}

// admit checks a call against the configuration.
func (i *Instance) admit(now clock.Time, c event.Call) (*flight, *event.Refusal) {
	key, ok := i.cfg.Keys[c.KeyDigest]
	if !ok {
		return nil, notRun(event.ReasonUnknownKey, 0, "")
	}
	f := &flight{call: c, arrived: now, account: key.Account}
	account := i.cfg.Accounts[key.Account]
	if r := i.admitTarget(f); r != nil {
		return nil, r
	}
	if account.ServeFor > 0 && i.follower.HeardAge(now) > account.ServeFor {
		return nil, notRun(event.ReasonIsolated, backLater, "")
	}
	if now.Reached(c.Deadline) {
		return nil, notRun(event.ReasonDeadline, 0, "the deadline had passed when the call arrived")
	}
	if f.once && i.tableSilent(now) {
		return nil, notRun(event.ReasonTableUnavailable, backLater, "the call can't be recorded now, so it was not sent")
	}
	f.class = lessUrgent(account.Class, c.Class)
	v := i.suspects.Check(now, i.digest(f))
	if v.Kind == suspect.Refuse {
		return nil, notRun(event.ReasonCrash, v.RetryAfter, "backend servers crashed while they ran it")
	}
	f.alone = v.Kind == suspect.Alone
	return f, nil
}

// tableSilent reports whether the table has not answered for a whole term of
// the lease, within which it is asked several times. A call that needs it would
// wait for operations that time out one after the other, and be refused only
// then; its caller could have gone elsewhere long before.
func (i *Instance) tableSilent(now clock.Time) bool {
	return i.lease.TableAge(now) > cmp.Or(i.set.LeaseTerm, session.DefaultTerm)
}

// admitTarget checks what is called and sets the cost.
func (i *Instance) admitTarget(f *flight) *event.Refusal {
	if f.call.Service != "" {
		return i.admitService(f)
	}
	a, ok := i.cfg.Artifacts[f.call.Artifact]
	if !ok {
		return notRun(event.ReasonNoTarget, 0, "")
	}
	if !i.cfg.Approved(f.account, a.Name) {
		return notRun(event.ReasonNotApproved, 0, "")
	}
	limit := a.MaxTokens
	if f.call.MaxOutputTokens > 0 {
		limit = min(limit, f.call.MaxOutputTokens)
	}
	f.cost = float64(f.call.PromptTokens + limit)
	return nil
}

func (i *Instance) admitService(f *flight) *event.Refusal {
	s, ok := i.cfg.Services[f.call.Service]
	if !ok {
		return notRun(event.ReasonNoTarget, 0, "")
	}
	if !i.cfg.ApprovedService(f.account, s.Name) {
		return notRun(event.ReasonNotApproved, 0, "")
	}
	f.once = !s.Repeatable
	if f.once && f.call.IdempotencyKey == "" {
		return notRun(event.ReasonKeyMissing, 0, "calls of this service run at most once; send an Idempotency-Key")
	}
	f.cost = float64(s.Tokens)
	return nil
}

var urgency = map[config.Class]int{config.Urgent: 0, config.Interactive: 1, config.Batch: 2}

// lessUrgent keeps a caller from putting itself before others: it may ask for
// less urgency than its account has, not for more.
func lessUrgent(account, asked config.Class) config.Class {
	if asked == "" || urgency[asked] < urgency[account] {
		return account
	}
	return asked
}

// rateDecided takes the answer of the rate machine.
func (i *Instance) rateDecided(now clock.Time, d rate.Decision) {
	f := i.flights[d.Request]
	if f == nil || f.stage != atRate {
		return
	}
	if !d.Granted {
		i.end(now, f, rateRefusal(f, d))
		return
	}
	f.paid = true
	i.askTurn(now, f)
}

// rateRefusal words the refusal of the rate machine.
func rateRefusal(f *flight, d rate.Decision) event.Refusal {
	switch d.Reason {
	case rate.ReasonTooLarge:
		return f.refusal(event.ReasonOverRate, 0, "the call can cost more tokens than the account's burst; ask for a shorter answer")
	case rate.ReasonLease:
		return f.refusal(event.ReasonStopping, backLater, "this instance may not spend the account's tokens now; another one can")
	}
	return f.refusal(event.ReasonOverRate, d.RetryAfter, "")
}
