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

func (i *Instance) attemptStarted(e event.AttemptStarted) {
	if f := i.flights[e.Request]; f != nil {
		f.answered = true
	}
}

// attemptEnded takes the end of an attempt: the request is over, or goes to
// another backend server.
func (i *Instance) attemptEnded(now clock.Time, e event.AttemptEnded) {
	f := i.flights[e.Request]
	if f == nil {
		// The answer to a non-idempotent call may come after the call was given
		// up, as in a process that was frozen: its record still wants it.
		i.once.Ended(now, e, &i.out)
		return
	}
	if f.stage != atServer || f.attempt != e.Attempt {
		return
	}
	i.leaveServer(now, f, e)
	f.answered = f.answered || e.ResponseStarted
	if f.once {
		i.onceEnded(now, f, e)
		return
	}
	switch e.Result {
	case event.AttemptCompleted:
		i.whole(now, f, e)
	case event.AttemptCancelled:
		f.ran = true
		i.finish(now, f, false)
	default:
		i.again(now, f, e)
	}
}

// leaveServer gives the turn back and learns about the server.
func (i *Instance) leaveServer(now clock.Time, f *flight, e event.AttemptEnded) {
	broken := e.Result == event.AttemptCrashed || e.Result == event.AttemptNotSent
	i.turns.Done(now, message.TurnRelease{
		Request: f.call.Request, Backend: f.backend, ServerFailed: broken, ServerLeaving: e.Leaving,
		ServiceTime: serviceTime(now, f, e), GeneratedTokens: e.GeneratedTokens,
	}, &i.out)
	i.serverSeen(now, f.backend, broken, e.Leaving)
	if e.Result == event.AttemptCrashed {
		i.suspects.Crashed(now, f.attempt, f.backend, []suspect.InFlight{{
			Digest: i.digest(f), Alone: f.alone,
		}}, &i.out)
	}
}

// serviceTime is what the queue's owner learns from: only a whole run tells how
// long one takes.
func serviceTime(now clock.Time, f *flight, e event.AttemptEnded) time.Duration {
	if e.Result != event.AttemptCompleted {
		return 0
	}
	return now.Sub(f.sentAt)
}

// serverSeen notes what a request found out about a backend server.
func (i *Instance) serverSeen(now clock.Time, b id.Backend, broken, leaving bool) {
	if leaving {
		clear(i.zones)
		i.members.MarkLeaving(b)
		i.places.Drop(now, b)
	}
	if broken {
		i.members.MarkDown(now, b)
		i.places.Drop(now, b)
	} else {
		i.members.MarkUp(b)
	}
}

// turnDone takes a turn that an entry gives back.
func (i *Instance) turnDone(now clock.Time, from id.Instance, m message.TurnRelease) {
	if from != i.set.Instance && m.Backend != "" && (m.ServerFailed || m.ServerLeaving) {
		i.serverSeen(now, m.Backend, m.ServerFailed, m.ServerLeaving)
	}
	i.queue.Done(now, from, m, &i.out)
}

// whole ends a request whose whole answer reached its caller.
func (i *Instance) whole(now clock.Time, f *flight, e event.AttemptEnded) {
	if f.alone {
		i.suspects.Cleared(now, i.digest(f), &i.out)
	}
	f.ran = true
	if f.call.Service == "" {
		unused := f.cost - float64(f.call.PromptTokens+e.GeneratedTokens)
		i.rates.GiveBack(now, f.account, max(unused, 0))
	}
	i.finish(now, f, false)
}

// again sends a request to another backend server, if that is right.
func (i *Instance) again(now clock.Time, f *flight, e event.AttemptEnded) {
	f.ran = f.ran || e.Result == event.AttemptBroken || e.Result == event.AttemptCrashed
	if !slices.Contains(f.avoid, f.backend) {
		f.avoid = append(f.avoid, f.backend)
	}
	switch {
	case f.gone:
		i.finish(now, f, !f.ran)
	case f.answered && !i.resumes(f):
		i.end(now, f, f.refusal(event.ReasonInterrupted, backLater, "the backend server broke the answer off"))
	case now.Reached(f.call.Deadline):
		i.end(now, f, f.refusal(event.ReasonDeadline, backLater, ""))
	case f.tries >= maxAttempts:
		i.end(now, f, f.refusal(event.ReasonNoBackend, backLater, "several backend servers failed one after the other"))
	default:
		i.retry(now, f)
	}
}

func (i *Instance) resumes(f *flight) bool {
	return f.call.Service == "" && i.cfg.Groups[i.cfg.Artifacts[f.call.Artifact].Group].Resumes
}

// retry asks for a turn elsewhere; after a crash only if the request may run
// at all, and then alone.
func (i *Instance) retry(now clock.Time, f *flight) {
	v := i.suspects.Check(now, i.digest(f))
	if v.Kind == suspect.Refuse {
		i.end(now, f, f.refusal(event.ReasonCrash, v.RetryAfter, "backend servers crashed while they ran it"))
		return
	}
	f.alone = f.alone || v.Kind == suspect.Alone
	i.askTurn(now, f)
}
