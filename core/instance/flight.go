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

// maxAttempts bounds how often one request is sent to backend servers. Each
// attempt that failed after sending costs a server its time.
const maxAttempts = 4

// backLater is when a caller may come back after a passing trouble.
const defaultRetryAfter = time.Second

// stage is how far a request came.
type stage int

const (
	stageTokens stage = iota // waits for tokens
	stageTurn                // waits for a turn at a backend server
	stageRecord              // its record is being written to the table
	stageServer              // sent to a backend server
)

// flight is one accepted request that has no final answer yet.
type request struct {
	call            event.Call
	arrived         clock.Time
	account         id.Account
	class           config.Class
	atMostOnce      bool
	cost            float64 // tokens charged
	charged         bool
	alone           bool
	stage           stage
	attempts        int
	mayHaveRun      bool // an attempt may have been run by a server
	responseStarted bool // a part of the answer reached the caller
	attempt         id.Attempt
	backend         id.Backend
	address         string
	sentAt          clock.Time
	failedBackends  []id.Backend
	callerGone      bool // the caller has gone
}

func (i *Instance) digest(req *request) id.Digest {
	return suspect.Digest(req.account, req.call.BodyDigest)
}

func notRun(r event.Reason, after time.Duration, detail string) *event.Refusal {
	return &event.Refusal{Reason: r, Execution: event.NotRun, RetryAfter: after, Detail: detail}
}

// refusal builds a refusal that says truly whether the request may have run.
func (req *request) refusal(r event.Reason, after time.Duration, detail string) event.Refusal {
	ran := event.NotRun
	if req.mayHaveRun {
		ran = event.MayHaveRun
	}
	return event.Refusal{Reason: r, Execution: ran, RetryAfter: after, Detail: detail}
}

// passing are the reasons that go away by themselves. A caller that is not told
// when to come back takes the refusal as lasting, and gives up.
var transientReasons = map[event.Reason]bool{
	event.ReasonDeadline: true, event.ReasonQueueFull: true, event.ReasonNoBackend: true, event.ReasonTableUnavailable: true,
	event.ReasonRunningElsewhere: true, event.ReasonStopping: true, event.ReasonIsolated: true, event.ReasonInterrupted: true,
}

// stages names the stages for those who explain a decision.
var eventStages = map[stage]event.Stage{
	stageTokens: event.StageRate, stageTurn: event.StageTurn, stageRecord: event.StageOnce, stageServer: event.StageServer,
}

// basis says what a decision on a request rests on at now.
func (i *Instance) basis(now clock.Time, req *request) event.Basis {
	b := event.Basis{Stage: event.StageAdmission, ConfigAge: i.follower.HeardAge(now)}
	if i.cfg != nil {
		b.ConfigVersion = i.cfg.Version
	}
	if req != nil {
		b.Stage, b.Account, b.Waited, b.Attempts = eventStages[req.stage], req.account, now.Sub(req.arrived), req.attempts
	}
	return b
}

func (i *Instance) refuseCall(r id.Request, refusal event.Refusal, b event.Basis) {
	if refusal.RetryAfter == 0 && transientReasons[refusal.Reason] {
		refusal.RetryAfter = defaultRetryAfter
	}
	i.effects = append(i.effects, event.Refuse{Request: r, Refusal: refusal, Basis: b})
}

func (i *Instance) sortedRequests() []*request {
	return slices.SortedFunc(maps.Values(i.requests), func(a, b *request) int {
		return cmp.Compare(a.call.Request, b.call.Request)
	})
}

// end refuses a request and forgets it.
func (i *Instance) refuseRequest(now clock.Time, req *request, r event.Refusal) {
	if !i.check.Hold(r.Execution != event.NotRun || !req.mayHaveRun, "not-run-true", "%s may have run, refused with %s", req.call.Request, r.Reason) {
		r.Execution = event.MayHaveRun
	}
	i.refuseCall(req.call.Request, r, i.basis(now, req))
	i.finish(now, req, !req.mayHaveRun)
}

// finish gives back what a request holds. unused says that nothing was run for
// the tokens that it was charged.
func (i *Instance) finish(now clock.Time, req *request, unused bool) {
	r := req.call.Request
	if req.stage == stageTokens {
		i.limiter.Cancel(r)
	}
	if req.stage == stageRecord && !req.mayHaveRun {
		// Its record would else be taken for a call that was sent, and each
		// repeat would be told that nobody knows.
		i.once.Abandon(now, r, &i.out)
	}
	if req.stage == stageTurn || req.stage == stageRecord {
		i.turns.Cancel(now, r, &i.out)
	}
	if req.charged && unused {
		i.limiter.GiveBack(now, req.account, req.cost)
	}
	delete(i.requests, r)
}

// callerGone ends what was started for a caller that has gone.
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
