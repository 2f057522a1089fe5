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

// owners returns who may own queues in a zone. When all instances of the own
// zone are leaving, this one owns its own: its callers would else wait for an
// owner that never comes, and be refused when the grace time ends.
func (t *Entry) owners(zone id.Zone) []id.Instance {
	in := t.members.InZone(zone)
	if len(in) == 0 && zone == t.members.Zone() {
		return []id.Instance{t.members.Self()}
	}
	return in
}

// choose returns the owner to ask in the zone that is asked: the first in rank
// that was not tried yet, "" if none is left.
func (t *Entry) choose(c *call) id.Instance {
	zone := c.zones[c.at]
	in := t.owners(zone)
	if len(c.tried) == 0 {
		return rendezvous.Owner(c.target.Key(zone), in)
	}
	left := slices.DeleteFunc(slices.Clone(in), func(i id.Instance) bool { return slices.Contains(c.tried, i) })
	return rendezvous.Owner(c.target.Key(zone), left)
}

// askNext asks the next owner in rank, of the zone that is asked or of the
// next one. Once all were tried it begins again, at the next repeat: asked at
// once, owners that all refuse to have the queue would be asked without end.
func (t *Entry) askNext(now clock.Time, c *call, out *event.Outbox) {
	if len(c.zones) == 0 {
		t.refuse(now, c, c.refusal, out)
		return
	}
	for c.at < len(c.zones) {
		if owner := t.choose(c); owner != "" {
			t.turn++
			c.turn, c.owner, c.heard = t.turn, owner, now
			t.sendAsk(now, c, out)
			return
		}
		c.at++
		c.tried = nil
	}
	if c.late() {
		t.refuse(now, c, c.refusal, out)
		return
	}
	c.at, c.tried, c.owner = 0, nil, ""
	t.wake(now, c)
}

func (t *Entry) sendAsk(now clock.Time, c *call, out *event.Outbox) {
	out.Send(c.owner, message.TurnRequest{
		Request:        c.ask.Call.Request,
		Artifact:       c.target.Artifact,
		Service:        c.target.Service,
		Account:        c.ask.Account,
		Class:          c.ask.Class,
		TimeToDeadline: c.deadline.Sub(now),
		Tokens:         c.ask.Cost,
		PrefixHash:     c.ask.Call.PrefixHash,
		Alone:          c.ask.Alone,
		Avoid:          c.ask.Avoid,
		Turn:           c.turn,
		Digest:         c.digest,
		Spillover:      c.late(),
	})
	t.wake(now, c)
}

func (t *Entry) wake(now clock.Time, c *call) {
	t.times.Set(c.ask.Call.Request, min(now.Add(t.set.Repeat), c.deadline))
}

// withdraw tells the owner that is asked, or granted, that the turn is not
// wanted any more.
func (t *Entry) withdraw(c *call, out *event.Outbox) {
	if c.owner != "" {
		out.Send(c.owner, message.TurnRelease{Request: c.ask.Call.Request, Turn: c.turn})
		c.owner = ""
	}
}

func (t *Entry) refuse(now clock.Time, c *call, r *event.Refusal, out *event.Outbox) {
	t.withdraw(c, out)
	t.forget(c.ask.Call.Request)
	if c.ask.Ran {
		r.Execution = event.MayHaveRun
	}
	t.decide(Decision{Request: c.ask.Call.Request, Refused: r})
}

func (t *Entry) forget(r id.Request) {
	delete(t.calls, r)
	t.times.Drop(r)
}

// late reports whether a zone refused it, and none has taken it in since. One
// that has run is refused only for lack of time: that it found no server may
// mean that its server has just broken, and is back in a moment.
func (c *call) late() bool {
	return c.refusal != nil && (c.refusal.Reason == event.ReasonDeadline || !c.ask.Ran)
}

// keep remembers the refusal of one zone until all have been asked; that of a
// zone that could serve the request at a later time tells the caller more.
func (c *call) keep(r *event.Refusal) {
	switch {
	case c.refusal == nil, c.refusal.Reason == event.ReasonNoBackend:
		c.refusal = r
	case r.Reason == event.ReasonDeadline && r.RetryAfter < c.refusal.RetryAfter:
		c.refusal = r
	}
}

// refusal turns an owner's reason into the caller's.
func refusal(r queue.Reason, after time.Duration) *event.Refusal {
	f := &event.Refusal{Execution: event.NotRun, RetryAfter: after}
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
