package instance

import (
	"fmt"
	"slices"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/process/suspect"
	"oleanderdale.org/core/request/once"
	"oleanderdale.org/core/request/queue"
	"oleanderdale.org/core/request/turn"
)

// acquireTurn asks for a turn at a backend server.
func (i *Instance) acquireTurn(now clock.Time, req *request) {
	req.stage = stageTurn
	i.turns.Acquire(now, turn.Request{
		Call: req.call, Account: req.account, Class: req.class, Cost: int(req.cost),
		Alone: req.alone, Avoid: i.backendsToAvoid(req), MayHaveRun: req.mayHaveRun,
	}, &i.out)
}

// backendsToAvoid returns the backend servers that a request failed on, if
// another one can serve its target. With a single replica it returns none: the
// request would otherwise wait until its deadline even after that server has
// recovered. Until then the server is marked down and gets no requests anyway.
func (i *Instance) backendsToAvoid(req *request) []id.Backend {
	if len(req.failedBackends) == 0 {
		return nil
	}
	view := servers{i}
	replicas := view.ServiceReplicas(req.call.Service)
	if req.call.Service == "" {
		replicas = view.ArtifactReplicas(req.call.Artifact)
	}
	for _, r := range replicas {
		if !r.Down && !r.Leaving && r.State != queue.Cold && !slices.Contains(req.failedBackends, r.Backend) {
			return req.failedBackends
		}
	}
	return nil
}

// handleTurnDecision handles a granted or refused turn.
func (i *Instance) handleTurnDecision(now clock.Time, d turn.Decision) {
	req := i.requests[d.Request]
	if req == nil || req.stage != stageTurn {
		return
	}
	if d.Refusal != nil {
		i.refuseRequest(now, req, *d.Refusal)
		return
	}
	req.backend, req.address = d.Grant.Backend, d.Grant.Address
	i.attemptCount++
	req.attempt = id.Attempt(fmt.Sprintf("%s/%d", i.settings.Instance, i.attemptCount))
	if req.atMostOnce {
		req.stage = stageRecord
		i.once.Begin(now, once.Call{
			Request: req.call.Request, Account: req.account, Key: req.call.IdempotencyKey,
			Digest: req.call.BodyDigest, Attempt: req.attempt, Deadline: req.call.Deadline,
			CanQueryStatus: i.cfg.Services[req.call.Service].StatusPath != "",
		}, &i.out)
		return
	}
	i.dispatch(now, req)
}

// dispatch sends a request to the backend server that it has a turn at. The
// conditions of its admission are checked again, as they may have changed while
// it waited.
func (i *Instance) dispatch(now clock.Time, req *request) {
	if r := i.recheck(now, req); r != nil {
		i.refuseRequest(now, req, *r)
		return
	}
	if i.reacquireAlone(now, req) {
		return
	}
	b := i.basis(now, req)
	req.stage, req.sentAt = stageServer, now
	req.attempts++
	i.effects = append(i.effects, event.Dispatch{
		Request: req.call.Request, Attempt: req.attempt, Backend: req.backend, Address: req.address,
		Account: req.account, AtMostOnce: req.atMostOnce, Deadline: req.call.Deadline, Basis: b,
	})
}

// recheck returns the reason why a waiting request may no longer be sent, or nil
// if it may.
func (i *Instance) recheck(now clock.Time, req *request) *event.Refusal {
	if r := i.checkAuthorization(req); r != nil {
		return r
	}
	if now.Reached(req.call.Deadline) {
		r := req.refusal(event.ReasonDeadline, defaultRetryAfter, "")
		return &r
	}
	decision := i.suspects.Check(now, i.digest(req))
	if decision.Mode == suspect.Refuse {
		r := req.refusal(event.ReasonCrash, decision.RetryAfter, "backend servers crashed while they ran it")
		return &r
	}
	return nil
}

// reacquireAlone gives back the turn of a request that became suspected of
// crashing servers while it waited, and asks for one on a server that runs nothing
// else. It reports whether it did.
func (i *Instance) reacquireAlone(now clock.Time, req *request) bool {
	if req.alone || i.suspects.Check(now, i.digest(req)).Mode != suspect.Alone {
		return false
	}
	if req.atMostOnce {
		i.once.Cancel(now, req.call.Request, &i.out)
	}
	req.alone = true
	i.acquireTurn(now, req)
	return true
}

// checkAuthorization returns a refusal if the request's key or approval has been
// withdrawn, and nil otherwise.
func (i *Instance) checkAuthorization(req *request) *event.Refusal {
	key, ok := i.cfg.Keys[req.call.KeyDigest]
	if !ok || key.Account != req.account {
		r := req.refusal(event.ReasonUnknownKey, 0, "the key was withdrawn")
		return &r
	}
	approved := i.cfg.ApprovedService(req.account, req.call.Service)
	if req.call.Service == "" {
		approved = i.cfg.Approved(req.account, req.call.Artifact)
	}
	if !approved {
		r := req.refusal(event.ReasonNotApproved, 0, "the approval was withdrawn")
		return &r
	}
	return nil
}

// recheckOpenRequests ends the requests whose key or approval a new configuration
// withdraws. A non-idempotent call that was sent runs to its end, since cancelling
// it would only lose its outcome.
func (i *Instance) recheckOpenRequests(now clock.Time) {
	for _, req := range i.sortedRequests() {
		r := i.checkAuthorization(req)
		switch {
		case r == nil || (req.stage == stageRecord && req.mayHaveRun):
			// A call in stageRecord that may have run only waits for its outcome
			// to be recorded.
		case req.stage != stageServer:
			i.refuseRequest(now, req, *r)
		case !req.atMostOnce:
			req.mayHaveRun = true
			i.effects = append(i.effects, event.Cancel{
				Request: req.call.Request, Attempt: req.attempt, Refusal: req.refusal(r.Reason, 0, r.Detail), Basis: i.basis(now, req),
			})
		}
	}
}
