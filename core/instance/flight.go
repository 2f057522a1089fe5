package instance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/process/suspect"
)

// maxAttempts limits how often one request is sent to backend servers. An
// attempt that fails after it was sent may have used a server's time.
const maxAttempts = 4

// defaultRetryAfter is the retry time given to callers for transient failures.
const defaultRetryAfter = time.Second

// stage is the step that a request waits in.
type stage int

const (
	stageTokens stage = iota // waits for tokens from the rate limiter
	stageTurn                // waits for a turn at a backend server
	stageRecord              // non-idempotent: its record or outcome is being written to the table
	stageServer              // sent to a backend server
)

// request is an admitted call that has no final answer yet.
type request struct {
	call            event.Call
	arrived         clock.Time
	account         id.Account
	class           config.Class
	atMostOnce      bool    // call of a non-idempotent service
	cost            float64 // tokens to charge
	charged         bool    // cost was charged
	alone           bool    // runs on a server without other requests
	stage           stage
	attempts        int        // times that it was sent
	mayHaveRun      bool       // a backend server may have run an attempt
	responseStarted bool       // a part of the answer reached the caller
	attempt         id.Attempt // the current one
	backend         id.Backend
	address         string
	sentAt          clock.Time
	failedBackends  []id.Backend
	callerGone      bool // the caller closed its connection
}

// digest identifies requests of one account with the same body.
func (i *Instance) digest(req *request) id.Digest {
	return suspect.RequestDigest(req.account, req.call.BodyDigest)
}

// notRun builds a refusal of a call that certainly did not run.
func notRun(r event.Reason, after time.Duration, detail string) *event.Refusal {
	return &event.Refusal{Reason: r, Execution: event.NotRun, RetryAfter: after, Detail: detail}
}

// refusal builds a refusal that states whether the request may have run.
func (req *request) refusal(r event.Reason, after time.Duration, detail string) event.Refusal {
	execution := event.NotRun
	if req.mayHaveRun {
		execution = event.MayHaveRun
	}
	return event.Refusal{Reason: r, Execution: execution, RetryAfter: after, Detail: detail}
}

// transientReasons are the reasons for which a later retry can succeed. Clients
// treat a refusal without a retry time as permanent and give up, so these always
// carry one.
var transientReasons = map[event.Reason]bool{
	event.ReasonDeadline: true, event.ReasonQueueFull: true, event.ReasonNoBackend: true, event.ReasonTableUnavailable: true,
	event.ReasonRunningElsewhere: true, event.ReasonStopping: true, event.ReasonIsolated: true, event.ReasonInterrupted: true,
}

// eventStages maps each stage to its name in event.Basis.
var eventStages = map[stage]event.Stage{
	stageTokens: event.StageRate, stageTurn: event.StageTurn, stageRecord: event.StageOnce, stageServer: event.StageServer,
}

// basis returns the state that a decision made now is based on; req is nil for a
// call that was not admitted.
func (i *Instance) basis(now clock.Time, req *request) event.Basis {
	b := event.Basis{Stage: event.StageAdmission, ConfigAge: i.follower.ConfirmedAge(now)}
	if i.cfg != nil {
		b.ConfigVersion = i.cfg.Version
	}
	if req != nil {
		b.Stage, b.Account, b.Waited, b.Attempts = eventStages[req.stage], req.account, now.Sub(req.arrived), req.attempts
	}
	return b
}

// refuseCall refuses a call, with a retry time if its reason is transient.
func (i *Instance) refuseCall(r id.Request, refusal event.Refusal, b event.Basis) {
	if refusal.RetryAfter == 0 && transientReasons[refusal.Reason] {
		refusal.RetryAfter = defaultRetryAfter
	}
	i.effects = append(i.effects, event.Refuse{Request: r, Refusal: refusal, Basis: b})
}

// sortedRequests returns the open requests by id: the order of effects must not
// depend on map iteration.
func (i *Instance) sortedRequests() []*request {
	return slices.SortedFunc(maps.Values(i.requests), func(a, b *request) int {
		return cmp.Compare(a.call.Request, b.call.Request)
	})
}

// refuseRequest refuses an open request and removes it.
func (i *Instance) refuseRequest(now clock.Time, req *request, r event.Refusal) {
	if !i.check.Hold(r.Execution != event.NotRun || !req.mayHaveRun, "not-run-true", "%s may have run, refused with %s", req.call.Request, r.Reason) {
		r.Execution = event.MayHaveRun
	}
	i.refuseCall(req.call.Request, r, i.basis(now, req))
	i.finish(now, req, !req.mayHaveRun)
}

// finish releases what a request holds and removes it. If unused is set, nothing
// was run for the tokens that it was charged, and they are refunded.
func (i *Instance) finish(now clock.Time, req *request, unused bool) {
	r := req.call.Request
	if req.stage == stageTokens {
		i.limiter.Cancel(r)
	}
	if req.stage == stageRecord && !req.mayHaveRun {
		// A record left behind would be taken for a call that was sent: every
		// repeat would be refused with an unknown outcome.
		i.once.Cancel(now, r, &i.out)
	}
	if req.stage == stageTurn || req.stage == stageRecord {
		i.turns.Cancel(now, r, &i.out)
	}
	if req.charged && unused {
		i.limiter.Refund(now, req.account, req.cost)
	}
	delete(i.requests, r)
}

// callerDisconnected ends the work for a caller that closed its connection.
func (i *Instance) callerDisconnected(now clock.Time, r id.Request) {
	req := i.requests[r]
	if req == nil {
		return
	}
	req.callerGone = true
	switch {
	case req.stage == stageServer: // AttemptEnded follows
	case req.stage == stageRecord && req.mayHaveRun: // its outcome is being recorded
	default:
		i.finish(now, req, true)
	}
}
