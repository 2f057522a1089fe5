package turn

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/rendezvous"
	"oleanderdale.org/core/request/queue"
)

// possibleOwners returns the instances that may own queues in a zone. If all
// instances of this instance's zone are stopping, it owns the queues itself.
// Otherwise its callers would wait for an owner that never comes, and would be
// refused when the grace period ends.
func (cl *Client) possibleOwners(zone id.Zone) []id.Instance {
	instances := cl.members.InZone(zone)
	if len(instances) == 0 && zone == cl.members.Zone() {
		return []id.Instance{cl.members.Self()}
	}
	return instances
}

// nextOwner returns the owner to ask in the current zone: the first by rendezvous
// rank that was not tried yet, or "" if none is left.
func (cl *Client) nextOwner(c *call) id.Instance {
	zone := c.remainingZones[c.zoneIndex]
	owners := cl.possibleOwners(zone)
	if len(c.tried) == 0 {
		return rendezvous.Owner(c.target.Key(zone), owners)
	}
	untried := slices.DeleteFunc(slices.Clone(owners), func(i id.Instance) bool { return slices.Contains(c.tried, i) })
	return rendezvous.Owner(c.target.Key(zone), untried)
}

// askNextOwner asks the next owner of the current zone, or of the next zone. When all
// were tried it starts again after RetryInterval. Without that pause, owners that
// all refuse to own the queue would be asked in an endless loop.
func (cl *Client) askNextOwner(now clock.Time, c *call, out *event.Outbox) {
	if len(c.remainingZones) == 0 {
		cl.refuse(now, c, c.refusal, out)
		return
	}
	for c.zoneIndex < len(c.remainingZones) {
		if owner := cl.nextOwner(c); owner != "" {
			cl.lastTurnNumber++
			c.turnNumber, c.owner, c.ownerHeard = cl.lastTurnNumber, owner, now
			cl.sendAsk(now, c, out)
			return
		}
		c.zoneIndex++
		c.tried = nil
	}
	if c.spilled() {
		cl.refuse(now, c, c.refusal, out)
		return
	}
	c.zoneIndex, c.tried, c.owner = 0, nil, ""
	cl.setRetryTimer(now, c)
}

func (cl *Client) sendAsk(now clock.Time, c *call, out *event.Outbox) {
	out.Send(c.owner, message.TurnRequest{
		Request:        c.request.Call.Request,
		Artifact:       c.target.Artifact,
		Service:        c.target.Service,
		Account:        c.request.Account,
		Class:          c.request.Class,
		TimeToDeadline: c.deadline.Sub(now),
		Tokens:         c.request.Cost,
		PrefixHash:     c.request.Call.PrefixHash,
		Alone:          c.request.Alone,
		Avoid:          c.request.Avoid,
		Turn:           c.turnNumber,
		Digest:         c.digest,
		Spillover:      c.spilled(),
	})
	cl.setRetryTimer(now, c)
}

func (cl *Client) setRetryTimer(now clock.Time, c *call) {
	cl.timers.Set(c.request.Call.Request, min(now.Add(cl.settings.RetryInterval), c.deadline))
}

// withdraw tells the owner that was asked, or that granted the turn, that the turn
// is no longer needed.
func (cl *Client) withdraw(c *call, out *event.Outbox) {
	if c.owner != "" {
		out.Send(c.owner, message.TurnRelease{Request: c.request.Call.Request, Turn: c.turnNumber})
		c.owner = ""
	}
}

// refuse ends the wait with a refusal.
func (cl *Client) refuse(now clock.Time, c *call, r *event.Refusal, out *event.Outbox) {
	cl.withdraw(c, out)
	cl.removeCall(c.request.Call.Request)
	if c.request.MayHaveRun {
		r.Execution = event.MayHaveRun
	}
	cl.addDecision(Decision{Request: c.request.Call.Request, Refusal: r})
}

func (cl *Client) removeCall(r id.Request) {
	delete(cl.calls, r)
	cl.timers.Delete(r)
}

// spilled reports whether a zone has refused the request and no other zone has
// accepted it since. For a request that may have run, only a refusal for lack of
// time counts: if no server was found, its own server may just have failed and will
// be back soon.
func (c *call) spilled() bool {
	return c.refusal != nil && (c.refusal.Reason == event.ReasonDeadline || !c.request.MayHaveRun)
}

// keepRefusal keeps the refusal of one zone until all were asked. A refusal by a zone
// that could serve the request later is preferred, and of those the one with the
// shortest time, because it is most useful to the caller.
func (c *call) keepRefusal(r *event.Refusal) {
	switch {
	case c.refusal == nil, c.refusal.Reason == event.ReasonNoBackend:
		c.refusal = r
	case r.Reason == event.ReasonDeadline && r.RetryAfter < c.refusal.RetryAfter:
		c.refusal = r
	}
}

// newRefusal converts an owner's reason to a refusal for the caller.
func newRefusal(r queue.Reason, after time.Duration) *event.Refusal {
	refusal := &event.Refusal{Execution: event.NotRun, RetryAfter: after}
	switch r {
	case queue.ReasonFull:
		refusal.Reason, refusal.Detail = event.ReasonQueueFull, "Too many requests wait for this target."
	case queue.ReasonNoServer:
		refusal.Reason, refusal.Detail = event.ReasonNoBackend, "No backend server for this target can be reached."
	default:
		refusal.Reason, refusal.Detail = event.ReasonDeadline, "The request can't be served by its deadline."
	}
	return refusal
}
