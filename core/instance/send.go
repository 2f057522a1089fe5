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

// askTurn asks for a turn at a backend server.
func (i *Instance) acquireTurn(now clock.Time, req *request) {
	req.stage = stageTurn
	i.turns.Request(now, turn.Ask{
		Call: req.call, Account: req.account, Class: req.class, Cost: int(req.cost),
		Alone: req.alone, Avoid: i.backendsToAvoid(req), Ran: req.mayHaveRun,
	}, &i.out)
}

// toAvoid returns the servers that a request failed on, if another one has its
// target. Where there is a single replica, a request that avoids its server for
// good waits out its deadline while the server is back and serves the others.
// Until then the server is kept out as down, which the failure showed.
func (i *Instance) backendsToAvoid(req *request) []id.Backend {
	if len(req.failedBackends) == 0 {
		return nil
	}
	view := servers{i}
	replicas := view.Servers(req.call.Service)
	if req.call.Service == "" {
		replicas = view.Snapshot(req.call.Artifact)
	}
	for _, r := range replicas {
		if !r.Down && !r.Leaving && r.State != queue.Cold && !slices.Contains(req.failedBackends, r.Backend) {
			return req.failedBackends
		}
	}
	return nil
}

// turnDecided takes a turn or a refusal of one.
func (i *Instance) handleTurnDecision(now clock.Time, d turn.Decision) {
	req := i.requests[d.Request]
	if req == nil || req.stage != stageTurn {
		return
	}
	if d.Refused != nil {
		i.refuseRequest(now, req, *d.Refused)
		return
	}
	req.backend, req.address = d.Granted.Backend, d.Granted.Address
	i.attemptCount++
	req.attempt = id.Attempt(fmt.Sprintf("%s/%d", i.settings.Instance, i.attemptCount))
	if req.atMostOnce {
		req.stage = stageRecord
		i.once.Begin(now, once.Call{
			Request: req.call.Request, Account: req.account, Key: req.call.IdempotencyKey,
			Digest: req.call.BodyDigest, Attempt: req.attempt, Deadline: req.call.Deadline,
			StatusCall: i.cfg.Services[req.call.Service].StatusPath != "",
		}, &i.out)
		return
	}
	i.dispatch(now, req)
}

// dispatch sends a request to the backend server that it has a turn at. What
// admitted it may have changed while it waited, so that is checked again.
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
		Account: req.account, Once: req.atMostOnce, Deadline: req.call.Deadline, Basis: b,
	})
}

// recheck reports why a waiting request may not be sent any more, nil if it may.
func (i *Instance) recheck(now clock.Time, req *request) *event.Refusal {
	if r := i.checkAuthorization(req); r != nil {
		return r
	}
	if now.Reached(req.call.Deadline) {
		r := req.refusal(event.ReasonDeadline, defaultRetryAfter, "")
		return &r
	}
	v := i.suspects.Check(now, i.digest(req))
	if v.Kind == suspect.Refuse {
		r := req.refusal(event.ReasonCrash, v.RetryAfter, "backend servers crashed while they ran it")
		return &r
	}
	return nil
}

// askAlone gives back the turn of a request that became a suspect while it
// waited, and asks for one away from others' work. It reports whether it did.
func (i *Instance) reacquireAlone(now clock.Time, req *request) bool {
	if req.alone || i.suspects.Check(now, i.digest(req)).Kind != suspect.Alone {
		return false
	}
	if req.atMostOnce {
		i.once.Abandon(now, req.call.Request, &i.out)
	}
	req.alone = true
	i.acquireTurn(now, req)
	return true
}

// withdrawn reports why a request has lost its right, nil if it has not.
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

// recheckAll ends the calls whose key or approval a new configuration
// withdraws. A non-idempotent order that was sent runs to its end, since
// breaking it off would only lose its outcome.
func (i *Instance) recheckOpenRequests(now clock.Time) {
	for _, req := range i.sortedRequests() {
		r := i.checkAuthorization(req)
		switch {
		case r == nil || (req.stage == stageRecord && req.mayHaveRun):
			// A call that has run only waits for its outcome to be recorded.
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
