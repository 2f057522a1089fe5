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
const backLater = time.Second

// stage is how far a request came.
type stage int

const (
	atRate   stage = iota // waits for tokens
	atTurn                // waits for a turn at a backend server
	atOnce                // its record is being written to the table
	atServer              // sent to a backend server
)

// flight is one accepted request that has no final answer yet.
type flight struct {
	call     event.Call
	arrived  clock.Time
	account  id.Account
	class    config.Class
	once     bool
	cost     float64 // tokens charged
	paid     bool
	alone    bool
	stage    stage
	tries    int
	ran      bool // an attempt may have been run by a server
	answered bool // a part of the answer reached the caller
	attempt  id.Attempt
	backend  id.Backend
	address  string
	sentAt   clock.Time
	avoid    []id.Backend
	gone     bool // the caller has gone
}

func (i *Instance) digest(f *flight) id.Digest { return suspect.Digest(f.account, f.call.BodyDigest) }

func notRun(r event.Reason, after time.Duration, detail string) *event.Refusal {
	return &event.Refusal{Reason: r, Execution: event.NotRun, RetryAfter: after, Detail: detail}
}

// refusal builds a refusal that says truly whether the request may have run.
func (f *flight) refusal(r event.Reason, after time.Duration, detail string) event.Refusal {
	ran := event.NotRun
	if f.ran {
		ran = event.MayHaveRun
	}
	return event.Refusal{Reason: r, Execution: ran, RetryAfter: after, Detail: detail}
}

// passing are the reasons that go away by themselves. A caller that is not told
// when to come back takes the refusal as lasting, and gives up.
var passing = map[event.Reason]bool{
	event.ReasonDeadline: true, event.ReasonQueueFull: true, event.ReasonNoBackend: true, event.ReasonTableUnavailable: true,
	event.ReasonRunningElsewhere: true, event.ReasonStopping: true, event.ReasonIsolated: true, event.ReasonInterrupted: true,
}

// stages names the stages for those who explain a decision.
var stages = map[stage]event.Stage{
	atRate: event.StageRate, atTurn: event.StageTurn, atOnce: event.StageOnce, atServer: event.StageServer,
}

// basis says what a decision on a request rests on at now.
func (i *Instance) basis(now clock.Time, f *flight) event.Basis {
	b := event.Basis{Stage: event.StageAdmission, ConfigAge: i.follower.HeardAge(now)}
	if i.cfg != nil {
		b.ConfigVersion = i.cfg.Version
	}
	if f != nil {
		b.Stage, b.Account, b.Waited, b.Attempts = stages[f.stage], f.account, now.Sub(f.arrived), f.tries
	}
	return b
}

func (i *Instance) refuseCall(r id.Request, refusal event.Refusal, b event.Basis) {
	if refusal.RetryAfter == 0 && passing[refusal.Reason] {
		refusal.RetryAfter = backLater
	}
	i.effects = append(i.effects, event.Refuse{Request: r, Refusal: refusal, Basis: b})
}

func (i *Instance) sortedFlights() []*flight {
	return slices.SortedFunc(maps.Values(i.flights), func(a, b *flight) int {
		return cmp.Compare(a.call.Request, b.call.Request)
	})
}

// end refuses a request and forgets it.
func (i *Instance) end(now clock.Time, f *flight, r event.Refusal) {
	if !i.check.Hold(r.Execution != event.NotRun || !f.ran, "not-run-true", "%s may have run, refused with %s", f.call.Request, r.Reason) {
		r.Execution = event.MayHaveRun
	}
	i.refuseCall(f.call.Request, r, i.basis(now, f))
	i.finish(now, f, !f.ran)
}

// finish gives back what a request holds. unused says that nothing was run for
// the tokens that it was charged.
func (i *Instance) finish(now clock.Time, f *flight, unused bool) {
	r := f.call.Request
	if f.stage == atRate {
		i.rates.Cancel(r)
	}
	if f.stage == atOnce && !f.ran {
		// Its record would else be taken for a call that was sent, and each
		// repeat would be told that nobody knows.
		i.once.Abandon(now, r, &i.out)
	}
	if f.stage == atTurn || f.stage == atOnce {
		i.turns.Cancel(now, r, &i.out)
	}
	if f.paid && unused {
		i.rates.GiveBack(now, f.account, f.cost)
	}
	delete(i.flights, r)
}

// callerGone ends what was started for a caller that has gone.
func (i *Instance) callerGone(now clock.Time, r id.Request) {
	f := i.flights[r]
	if f == nil {
		return
	}
	f.gone = true
	switch {
	case f.stage == atServer: // AttemptEnded follows
	case f.stage == atOnce && f.ran: // its outcome is being recorded
	default:
		i.finish(now, f, true)
	}
}
