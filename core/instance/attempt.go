package instance

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/suspect"
)

func (i *Instance) handleAttemptStarted(e event.AttemptStarted) {
	if req := i.requests[e.Request]; req != nil {
		req.responseStarted = true
	}
}

// handleAttemptEnded finishes a request whose attempt ended, or retries it on
// another backend server.
func (i *Instance) handleAttemptEnded(now clock.Time, e event.AttemptEnded) {
	req := i.requests[e.Request]
	if req == nil {
		// The answer to a non-idempotent call may arrive after the request was
		// ended, for example when this process was paused; its outcome must
		// still be recorded.
		i.once.HandleAttemptEnded(now, e, &i.out)
		return
	}
	if req.stage != stageServer || req.attempt != e.Attempt {
		return
	}
	i.releaseTurn(now, req, e)
	req.responseStarted = req.responseStarted || e.ResponseStarted
	if req.atMostOnce {
		i.handleOnceAttemptEnded(now, req, e)
		return
	}
	switch e.Result {
	case event.AttemptCompleted:
		i.complete(now, req, e)
	case event.AttemptCancelled:
		req.mayHaveRun = true
		i.finish(now, req, false)
	default:
		i.retryOrRefuse(now, req, e)
	}
}

// releaseTurn gives the turn back and records what the attempt showed about the
// backend server.
func (i *Instance) releaseTurn(now clock.Time, req *request, e event.AttemptEnded) {
	serverFailed := e.Result == event.AttemptCrashed || e.Result == event.AttemptNotSent
	i.turns.Release(now, message.TurnRelease{
		Request: req.call.Request, Backend: req.backend, ServerFailed: serverFailed, ServerLeaving: e.Leaving,
		ServiceTime: serviceTime(now, req, e), GeneratedTokens: e.GeneratedTokens,
	}, &i.out)
	i.recordServerState(now, req.backend, serverFailed, e.Leaving)
	if e.Result == event.AttemptCrashed {
		i.suspects.RecordCrash(now, req.attempt, req.backend, []suspect.InFlight{{
			Digest: i.digest(req), Alone: req.alone,
		}}, &i.out)
	}
}

// serviceTime returns the duration of a completed attempt, from which the owner
// of the queue estimates service times, and 0 for any other result.
func serviceTime(now clock.Time, req *request, e event.AttemptEnded) time.Duration {
	if e.Result != event.AttemptCompleted {
		return 0
	}
	return now.Sub(req.sentAt)
}

// recordServerState records what a request showed about a backend server:
// whether it failed, and whether it is leaving.
func (i *Instance) recordServerState(now clock.Time, b id.Backend, failed, leaving bool) {
	if leaving {
		clear(i.zonesByGroup)
		i.members.MarkLeaving(b)
		i.placement.MarkUnavailable(now, b)
	}
	if failed {
		i.members.MarkDown(now, b)
		i.placement.MarkUnavailable(now, b)
	} else {
		i.members.MarkUp(b)
	}
}

// handleTurnRelease handles a turn that an instance gives back to this owner.
func (i *Instance) handleTurnRelease(now clock.Time, from id.Instance, m message.TurnRelease) {
	if from != i.settings.Instance && m.Backend != "" && (m.ServerFailed || m.ServerLeaving) {
		i.recordServerState(now, m.Backend, m.ServerFailed, m.ServerLeaving)
	}
	i.queue.HandleRelease(now, from, m, &i.out)
}

// complete ends a request whose whole answer reached its caller, and refunds the
// tokens that it was charged but did not generate.
func (i *Instance) complete(now clock.Time, req *request, e event.AttemptEnded) {
	if req.alone {
		i.suspects.RecordCompletion(now, i.digest(req), &i.out)
	}
	req.mayHaveRun = true
	if req.call.Service == "" {
		unused := req.cost - float64(req.call.PromptTokens+e.GeneratedTokens)
		i.limiter.Refund(now, req.account, max(unused, 0))
	}
	i.finish(now, req, false)
}

// retryOrRefuse handles an attempt that failed: the request is retried on another
// backend server if its answer, deadline and number of attempts permit it, and
// refused otherwise.
func (i *Instance) retryOrRefuse(now clock.Time, req *request, e event.AttemptEnded) {
	req.mayHaveRun = req.mayHaveRun || e.Result == event.AttemptBroken || e.Result == event.AttemptCrashed
	if !slices.Contains(req.failedBackends, req.backend) {
		req.failedBackends = append(req.failedBackends, req.backend)
	}
	switch {
	case req.callerGone:
		i.finish(now, req, !req.mayHaveRun)
	case req.responseStarted && !i.resumable(req):
		i.refuseRequest(now, req, req.refusal(event.ReasonInterrupted, defaultRetryAfter, "the backend server broke the answer off"))
	case now.Reached(req.call.Deadline):
		i.refuseRequest(now, req, req.refusal(event.ReasonDeadline, defaultRetryAfter, ""))
	case req.attempts >= maxAttempts:
		i.refuseRequest(now, req, req.refusal(event.ReasonNoBackend, defaultRetryAfter, "several backend servers failed one after the other"))
	default:
		i.retry(now, req)
	}
}

// resumable reports whether the request's engine can continue a broken stream.
func (i *Instance) resumable(req *request) bool {
	return req.call.Service == "" && i.cfg.Groups[i.cfg.Artifacts[req.call.Artifact].Group].Resumes
}

// retry asks for another turn. A request suspected of crashing backend servers
// runs alone or is refused.
func (i *Instance) retry(now clock.Time, req *request) {
	decision := i.suspects.Check(now, i.digest(req))
	if decision.Mode == suspect.Refuse {
		i.refuseRequest(now, req, req.refusal(event.ReasonCrash, decision.RetryAfter, "backend servers crashed while they ran it"))
		return
	}
	req.alone = req.alone || decision.Mode == suspect.Alone
	i.acquireTurn(now, req)
}
