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

// possibleOwners returns who may own queues in a zone. When all instances of the own
// zone are leaving, this one owns its own: its callers would else wait for an
// owner that never comes, and be refused when the grace time ends.
func (t *Client) possibleOwners(zone id.Zone) []id.Instance {
	in := t.members.InZone(zone)
	if len(in) == 0 && zone == t.members.Zone() {
		return []id.Instance{t.members.Self()}
	}
	return in
}

// nextOwner returns the owner to ask in the zone that is asked: the first in rank
// that was not tried yet, "" if none is left.
func (t *Client) nextOwner(c *call) id.Instance {
	zone := c.remainingZones[c.zoneIndex]
	in := t.possibleOwners(zone)
	if len(c.tried) == 0 {
		return rendezvous.Owner(c.target.Key(zone), in)
	}
	left := slices.DeleteFunc(slices.Clone(in), func(i id.Instance) bool { return slices.Contains(c.tried, i) })
	return rendezvous.Owner(c.target.Key(zone), left)
}

// askNextOwner asks the next owner in rank, of the zone that is asked or of the
// next one. Once all were tried it begins again, at the next repeat: asked at
// once, owners that all refuse to have the queue would be asked without end.
func (t *Client) askNextOwner(now clock.Time, c *call, out *event.Outbox) {
	if len(c.remainingZones) == 0 {
		t.refuse(now, c, c.refusal, out)
		return
	}
	for c.zoneIndex < len(c.remainingZones) {
		if owner := t.nextOwner(c); owner != "" {
			t.lastTurnNumber++
			c.turnNumber, c.owner, c.ownerHeard = t.lastTurnNumber, owner, now
			t.sendAsk(now, c, out)
			return
		}
		c.zoneIndex++
		c.tried = nil
	}
	if c.spilled() {
		t.refuse(now, c, c.refusal, out)
		return
	}
	c.zoneIndex, c.tried, c.owner = 0, nil, ""
	t.setRetryTimer(now, c)
}

func (t *Client) sendAsk(now clock.Time, c *call, out *event.Outbox) {
	out.Send(c.owner, message.TurnAsk{
		Request:  c.request.Call.Request,
		Artifact: c.target.Artifact,
		Service:  c.target.Service,
		Account:  c.request.Account,
		Class:    c.request.Class,
		Within:   c.deadline.Sub(now),
		Tokens:   c.request.Cost,
		Prefix:   c.request.Call.PrefixHash,
		Alone:    c.request.Alone,
		Avoid:    c.request.Avoid,
		Turn:     c.turnNumber,
		Digest:   c.digest,
		Spill:    c.spilled(),
	})
	t.setRetryTimer(now, c)
}

func (t *Client) setRetryTimer(now clock.Time, c *call) {
	t.timers.Set(c.request.Call.Request, min(now.Add(t.settings.RetryInterval), c.deadline))
}

// withdraw tells the owner that is asked, or granted, that the turn is not
// wanted any more.
func (t *Client) withdraw(c *call, out *event.Outbox) {
	if c.owner != "" {
		out.Send(c.owner, message.TurnDone{Request: c.request.Call.Request, Turn: c.turnNumber})
		c.owner = ""
	}
}

func (t *Client) refuse(now clock.Time, c *call, r *event.Refusal, out *event.Outbox) {
	t.withdraw(c, out)
	t.removeCall(c.request.Call.Request)
	if c.request.MayHaveRun {
		r.Ran = event.RanUnknown
	}
	t.addDecision(Decision{Request: c.request.Call.Request, Refusal: r})
}

func (t *Client) removeCall(r id.Request) {
	delete(t.calls, r)
	t.timers.Delete(r)
}

// spilled reports whether a zone refused it, and none has taken it in since. One
// that has run is refused only for lack of time: that it found no server may
// mean that its server has just broken, and is back in a moment.
func (c *call) spilled() bool {
	return c.refusal != nil && (c.refusal.Reason == event.ReasonDeadline || !c.request.MayHaveRun)
}

// keepRefusal remembers the refusal of one zone until all have been asked; that of a
// zone that could serve the request at a later time tells the caller more.
func (c *call) keepRefusal(r *event.Refusal) {
	switch {
	case c.refusal == nil, c.refusal.Reason == event.ReasonNoBackend:
		c.refusal = r
	case r.Reason == event.ReasonDeadline && r.RetryAfter < c.refusal.RetryAfter:
		c.refusal = r
	}
}

// newRefusal turns an owner's reason into the caller's.
func newRefusal(r queue.Reason, after time.Duration) *event.Refusal {
	f := &event.Refusal{Ran: event.NotRun, RetryAfter: after}
	switch r {
	case queue.ReasonFull:
		f.Reason, f.Detail = event.ReasonQueueFull, "Too many requests wait for this target."
	case queue.ReasonNoServer:
		f.Reason, f.Detail = event.ReasonNoBackend, "No backend server for this target can be reached."
	default:
		f.Reason, f.Detail = event.ReasonDeadline, "The request can't be served by its deadline."
	}
	return f
}
