package instance

import (
	"cmp"
	"strings"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/request/once"
)

// handleOnceDecision handles a decision on a non-idempotent call.
func (i *Instance) handleOnceDecision(now clock.Time, d once.Decision) {
	req := i.requests[d.Request]
	if req == nil {
		return
	}
	switch d.Action {
	case once.Send:
		i.sendOnce(now, req)
	case once.Answer:
		i.effects = append(i.effects, event.Answer{
			Request: req.call.Request, Status: d.Row.Status, ContentType: d.Row.ContentType, Body: d.Row.Body, Unconfirmed: d.Row.Unconfirmed,
			Replay: d.Replay, Basis: i.basis(now, req),
		})
		i.finish(now, req, d.Replay)
	case once.Refuse:
		i.refuseRequest(now, req, d.Refusal)
	case once.QueryStatus:
		i.queryStatus(now, req)
	}
}

// queryStatus asks the service for the outcome of a call. Any of its servers can
// answer: preferred is the one that ran the call, then one of this zone, then one
// of another zone. Without the last, the failure of a zone's only server would
// make outcomes unknown that the service can still tell.
func (i *Instance) queryStatus(now clock.Time, req *request) {
	s := i.cfg.Services[req.call.Service]
	address := i.statusAddress(now, req, s.Group)
	if s.StatusPath == "" || address == "" {
		i.once.HandleStatus(now, req.call.Request, once.StatusResult{}, &i.out)
		return
	}
	i.effects = append(i.effects, event.QueryStatus{
		Request: req.call.Request, Address: address, Path: strings.TrimSuffix(s.StatusPath, "/") + "/" + req.call.IdempotencyKey, Account: req.account,
	})
}

// statusAddress returns the address of the server to query for the outcome of a
// call, or "" if there is none.
func (i *Instance) statusAddress(now clock.Time, req *request, g id.Group) string {
	inOwnZone, inOtherZone := "", ""
	for _, m := range i.members.Backends() {
		b := id.Backend(m.Name)
		switch {
		case m.Group != g || i.members.IsDown(now, b):
		case b == req.backend:
			return m.Address
		case m.Zone == i.settings.Zone:
			inOwnZone = cmp.Or(inOwnZone, m.Address)
		default:
			inOtherZone = cmp.Or(inOtherZone, m.Address)
		}
	}
	return cmp.Or(inOwnZone, inOtherZone)
}

// sendOnce dispatches a non-idempotent call whose record is in the table.
func (i *Instance) sendOnce(now clock.Time, req *request) {
	if !i.check.Hold(req.stage == stageRecord && !req.mayHaveRun, "once-single-send", "%s may have run, and is to be sent again", req.call.Request) {
		return
	}
	if !i.once.CanSend(req.call.Request) {
		return
	}
	i.dispatch(now, req)
}

// handleOnceAttemptEnded handles the end of an attempt of a non-idempotent call.
// The call goes to another server only if it certainly did not run; its record is
// withdrawn first, and a new one is written for the next attempt.
func (i *Instance) handleOnceAttemptEnded(now clock.Time, req *request, e event.AttemptEnded) {
	didNotRun := e.Result == event.AttemptNotSent || e.Result == event.AttemptRefused
	req.stage = stageRecord
	if didNotRun && req.attempts < maxAttempts && now.Before(req.call.Deadline) && !req.callerGone {
		i.once.Cancel(now, req.call.Request, &i.out)
		req.failedBackends = append(req.failedBackends, req.backend)
		i.acquireTurn(now, req)
		return
	}
	req.mayHaveRun = req.mayHaveRun || !didNotRun
	i.once.HandleAttemptEnded(now, e, &i.out)
}
