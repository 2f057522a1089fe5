package instance

import (
	"cmp"
	"strings"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/request/once"
)

// onceDecided takes what the record of a non-idempotent call says.
func (i *Instance) onceDecided(now clock.Time, d once.Decision) {
	f := i.flights[d.Request]
	if f == nil {
		return
	}
	switch d.Kind {
	case once.Send:
		i.sendOnce(now, f)
	case once.Answer:
		i.effects = append(i.effects, event.Answer{
			Request: f.call.Request, Status: d.Row.Status, ContentType: d.Row.ContentType, Body: d.Row.Body, Replay: d.Replay, Basis: i.basis(now, f),
		})
		i.finish(now, f, d.Replay)
	case once.Refuse:
		i.end(now, f, d.Refusal)
	case once.AskStatus:
		i.askOutcome(now, f)
	}
}

// askOutcome asks a server of the service what came of a call. Any of them
// may answer; the one that ran it is asked if it is still there, and one of
// another zone if none of this one is: where a zone has a single server, its
// death would make each outcome unknown that the service could still tell.
func (i *Instance) askOutcome(now clock.Time, f *flight) {
	s := i.cfg.Services[f.call.Service]
	address := i.statusAddress(now, f, s.Group)
	if s.StatusPath == "" || address == "" {
		i.once.StatusTold(now, f.call.Request, once.Status{}, &i.out)
		return
	}
	i.effects = append(i.effects, event.QueryStatus{
		Request: f.call.Request, Address: address, Path: strings.TrimSuffix(s.StatusPath, "/") + "/" + f.call.IdempotencyKey, Account: f.account,
	})
}

// statusAddress returns the address of the server to be asked for the outcome
// of a call, "" if there is none.
func (i *Instance) statusAddress(now clock.Time, f *flight, g id.Group) string {
	own, other := "", ""
	for _, m := range i.members.Backends() {
		b := id.Backend(m.Name)
		switch {
		case m.Group != g || i.members.Down(now, b):
		case b == f.backend:
			return m.Address
		case m.Zone == i.set.Zone:
			own = cmp.Or(own, m.Address)
		default:
			other = cmp.Or(other, m.Address)
		}
	}
	return cmp.Or(own, other)
}

func (i *Instance) sendOnce(now clock.Time, f *flight) {
	if !i.check.Hold(f.stage == atOnce && !f.ran, "once-single-send", "%s may have run, and is to be sent again", f.call.Request) {
		return
	}
	if !i.once.MaySend(f.call.Request) {
		return
	}
	i.dispatch(now, f)
}

// onceEnded takes the end of an attempt of a non-idempotent call. Only one
// that surely was not run may go to another server: its record is given up
// first, and made anew.
func (i *Instance) onceEnded(now clock.Time, f *flight, e event.AttemptEnded) {
	unsent := e.Result == event.AttemptNotSent || e.Result == event.AttemptRefused
	f.stage = atOnce
	if unsent && f.tries < maxAttempts && now.Before(f.call.Deadline) && !f.gone {
		i.once.Abandon(now, f.call.Request, &i.out)
		f.avoid = append(f.avoid, f.backend)
		i.askTurn(now, f)
		return
	}
	f.ran = f.ran || !unsent
	i.once.Ended(now, e, &i.out)
}
