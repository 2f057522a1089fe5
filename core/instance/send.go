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
func (i *Instance) askTurn(now clock.Time, f *flight) {
	f.stage = atTurn
	i.turns.Request(now, turn.Ask{
		Call: f.call, Account: f.account, Class: f.class, Cost: int(f.cost),
		Alone: f.alone, Avoid: i.toAvoid(f), Ran: f.ran,
	}, &i.out)
}

// toAvoid returns the servers that a request failed on, if another one has its
// target. Where there is a single replica, a request that avoids its server for
// good waits out its deadline while the server is back and serves the others.
// Until then the server is kept out as down, which the failure showed.
func (i *Instance) toAvoid(f *flight) []id.Backend {
	if len(f.avoid) == 0 {
		return nil
	}
	view := servers{i}
	replicas := view.Servers(f.call.Service)
	if f.call.Service == "" {
		replicas = view.Snapshot(f.call.Artifact)
	}
	for _, r := range replicas {
		if !r.Down && !r.Leaving && r.State != queue.Cold && !slices.Contains(f.avoid, r.Backend) {
			return f.avoid
		}
	}
	return nil
}

// turnDecided takes a turn or a refusal of one.
func (i *Instance) turnDecided(now clock.Time, d turn.Decision) {
	f := i.flights[d.Request]
	if f == nil || f.stage != atTurn {
		return
	}
	if d.Refused != nil {
		i.end(now, f, *d.Refused)
		return
	}
	f.backend, f.address = d.Granted.Backend, d.Granted.Address
	i.attempts++
	f.attempt = id.Attempt(fmt.Sprintf("%s/%d", i.set.Instance, i.attempts))
	if f.once {
		f.stage = atOnce
		i.once.Begin(now, once.Call{
			Request: f.call.Request, Account: f.account, Key: f.call.IdempotencyKey,
			Digest: f.call.BodyDigest, Attempt: f.attempt, Deadline: f.call.Deadline,
			StatusCall: i.cfg.Services[f.call.Service].StatusPath != "",
		}, &i.out)
		return
	}
	i.dispatch(now, f)
}

// dispatch sends a request to the backend server that it has a turn at. What
// admitted it may have changed while it waited, so that is checked again.
func (i *Instance) dispatch(now clock.Time, f *flight) {
	if r := i.recheck(now, f); r != nil {
		i.end(now, f, *r)
		return
	}
	if i.askAlone(now, f) {
		return
	}
	b := i.basis(now, f)
	f.stage, f.sentAt = atServer, now
	f.tries++
	i.effects = append(i.effects, event.Dispatch{
		Request: f.call.Request, Attempt: f.attempt, Backend: f.backend, Address: f.address,
		Account: f.account, Once: f.once, Deadline: f.call.Deadline, Basis: b,
	})
}

// recheck reports why a waiting request may not be sent any more, nil if it may.
func (i *Instance) recheck(now clock.Time, f *flight) *event.Refusal {
	if r := i.withdrawn(f); r != nil {
		return r
	}
	if now.Reached(f.call.Deadline) {
		r := f.refusal(event.ReasonDeadline, backLater, "")
		return &r
	}
	v := i.suspects.Check(now, i.digest(f))
	if v.Kind == suspect.Refuse {
		r := f.refusal(event.ReasonCrash, v.RetryAfter, "backend servers crashed while they ran it")
		return &r
	}
	return nil
}

// askAlone gives back the turn of a request that became a suspect while it
// waited, and asks for one away from others' work. It reports whether it did.
func (i *Instance) askAlone(now clock.Time, f *flight) bool {
	if f.alone || i.suspects.Check(now, i.digest(f)).Kind != suspect.Alone {
		return false
	}
	if f.once {
		i.once.Abandon(now, f.call.Request, &i.out)
	}
	f.alone = true
	i.askTurn(now, f)
	return true
}

// withdrawn reports why a request has lost its right, nil if it has not.
func (i *Instance) withdrawn(f *flight) *event.Refusal {
	key, ok := i.cfg.Keys[f.call.KeyDigest]
	if !ok || key.Account != f.account {
		r := f.refusal(event.ReasonUnknownKey, 0, "the key was withdrawn")
		return &r
	}
	approved := i.cfg.ApprovedService(f.account, f.call.Service)
	if f.call.Service == "" {
		approved = i.cfg.Approved(f.account, f.call.Artifact)
	}
	if !approved {
		r := f.refusal(event.ReasonNotApproved, 0, "the approval was withdrawn")
		return &r
	}
	return nil
}

// recheckAll ends the calls whose key or approval a new configuration
// withdraws. A non-idempotent order that was sent runs to its end, since
// breaking it off would only lose its outcome.
func (i *Instance) recheckAll(now clock.Time) {
	for _, f := range i.sortedFlights() {
		r := i.withdrawn(f)
		switch {
		case r == nil || (f.stage == atOnce && f.ran):
			// A call that has run only waits for its outcome to be recorded.
		case f.stage != atServer:
			i.end(now, f, *r)
		case !f.once:
			f.ran = true
			i.effects = append(i.effects, event.Cancel{
				Request: f.call.Request, Attempt: f.attempt, Refusal: f.refusal(r.Reason, 0, r.Detail), Basis: i.basis(now, f),
			})
		}
	}
}
