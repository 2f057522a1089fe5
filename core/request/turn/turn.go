// Package turn is the entry's side of the queues: the entry that took a call
// asks the owner of its queue for a turn, and is told which backend server to
// send the call to.
//
// The entry keeps the request. If an owner is silent, moves or is lost, it asks
// the next one; a turn that it no longer wants it gives back, so that none is
// lost. Each request is decided by its deadline.
package turn

import (
	"cmp"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process"
	"oleanderdale.org/core/process/suspect"
	"oleanderdale.org/core/request/due"
	"oleanderdale.org/core/request/queue"
)

// The defaults of Settings.
const (
	DefaultRetryInterval = 400 * time.Millisecond
	DefaultOwnerTimeout  = 1200 * time.Millisecond
)

// Settings of an Entry; a zero field takes its default.
type Settings struct {
	RetryInterval time.Duration // between two asks of the same owner
	OwnerTimeout  time.Duration // without an answer before the next owner is asked
}

// ZoneSource tells which availability zones have backend servers for a target, in
// the order in which they are to be asked: the own zone first if it has any.
type ZoneSource interface {
	Zones(t queue.Target) []id.Zone
}

// Request is a request for a turn.
type Request struct {
	Call    event.Call
	Account id.Account
	Class   config.Class
	Cost    int  // tokens, for fair queueing
	Alone   bool // a suspect of crashes
	Avoid   []id.Backend
	// MayHaveRun says that an earlier attempt of the request may have run: a refusal
	// must not say that it did not.
	MayHaveRun bool
}

// Grant is a turn.
type Grant struct {
	Backend id.Backend
	Address string
	Owner   id.Instance // of the queue
}

// Decision is the end of the wait for a turn; one of Granted and Refused is set.
type Decision struct {
	Request id.Request
	Grant   *Grant
	Refusal *event.Refusal
}

type call struct {
	request        Request
	target         queue.Target
	digest         id.Digest
	turnNumber     uint64
	remainingZones []id.Zone     // still to be asked
	zoneIndex      int           // index in zones of the one that is asked
	tried          []id.Instance // silent or moved, in the zone that is asked
	owner          id.Instance   // "": none to be asked now
	ownerHeard     clock.Time    // when the owner was first asked, or last answered
	refusal        *event.Refusal
	granted        bool
	grant          Grant
	deadline       clock.Time
}

// Client holds the requests of this instance that wait for a turn or have one.
type Client struct {
	settings       Settings
	members        process.Members
	zoneSource     ZoneSource
	check          *invariant.Checker
	calls          map[id.Request]*call
	timers         due.Timers[id.Request] // of those that wait
	lastTurnNumber uint64
	decisions      []Decision

	hooks hooks
}

// hooks switch one safeguard off each, to show in tests that a check fires.
type hooks struct {
	keepLateGrants bool
	ignoreDeadline bool
}

// New returns an Entry without requests.
func New(set Settings, members process.Members, targets ZoneSource, check *invariant.Checker) *Client {
	set.RetryInterval = cmp.Or(set.RetryInterval, DefaultRetryInterval)
	set.OwnerTimeout = cmp.Or(set.OwnerTimeout, DefaultOwnerTimeout)
	return &Client{
		settings: set, members: members, zoneSource: targets, check: check,
		calls: make(map[id.Request]*call),
	}
}

// Acquire asks for a turn. A request that has had a turn may ask for another
// one; what it held before is given back. Decisions tells the answer.
func (t *Client) Acquire(now clock.Time, a Request, out *event.Outbox) {
	t.Cancel(now, a.Call.Request, out)
	c := &call{
		request:  a,
		target:   queue.Target{Artifact: a.Call.Artifact, Service: a.Call.Service},
		deadline: a.Call.Deadline,
	}
	if a.Alone {
		c.digest = suspect.Digest(a.Account, a.Call.BodyDigest)
	}
	c.remainingZones = slices.Clone(t.zoneSource.Zones(c.target))
	t.calls[a.Call.Request] = c
	if now.Reached(c.deadline) {
		t.refuse(now, c, newRefusal(queue.ReasonDeadline, 0), out)
		return
	}
	if !slices.ContainsFunc(c.remainingZones, func(z id.Zone) bool { return len(t.possibleOwners(z)) > 0 }) {
		t.refuse(now, c, newRefusal(queue.ReasonNoServer, 0), out)
		return
	}
	t.askNextOwner(now, c, out)
}

// Release gives back the turn of a finished attempt; its Turn is filled in. If the
// message is lost, the owner asks about the turn later and is told again.
func (t *Client) Release(now clock.Time, m message.TurnDone, out *event.Outbox) {
	c := t.calls[m.Request]
	if c == nil {
		return
	}
	if !c.granted {
		t.Cancel(now, m.Request, out)
		return
	}
	m.Turn = c.turnNumber
	out.Send(c.grant.Owner, m)
	t.removeCall(m.Request)
}

// Cancel withdraws a request, or gives its turn back unused.
func (t *Client) Cancel(_ clock.Time, r id.Request, out *event.Outbox) {
	c := t.calls[r]
	if c == nil {
		return
	}
	t.withdraw(c, out)
	t.removeCall(r)
}

// Decisions returns the decisions made since the last call, in order.
func (t *Client) Decisions() []Decision {
	d := t.decisions
	t.decisions = nil
	return d
}

// Len returns the number of requests that wait for a turn or have one.
func (t *Client) Len() int { return len(t.calls) }

// Next implements process.Machine.
func (t *Client) Next() clock.Time { return t.timers.Next() }

// Tick implements process.Machine.
func (t *Client) Tick(now clock.Time, out *event.Outbox) {
	for {
		r, ok := t.timers.Pop(now)
		if !ok {
			return
		}
		t.handleTimer(now, t.calls[r], out)
	}
}

func (t *Client) handleTimer(now clock.Time, c *call, out *event.Outbox) {
	switch {
	case now.Reached(c.deadline):
		t.refuseAtDeadline(now, c, out)
	case c.owner == "":
		t.askNextOwner(now, c, out)
	case c.spilled() && now.Sub(c.ownerHeard) >= t.settings.RetryInterval:
		// One zone said that there is no time, and the next is silent, perhaps
		// cut off. The caller can use the refusal now, not at its deadline.
		t.refuse(now, c, c.refusal, out)
	case now.Sub(c.ownerHeard) >= t.settings.OwnerTimeout:
		c.tried = append(c.tried, c.owner)
		t.withdraw(c, out)
		t.askNextOwner(now, c, out)
	case t.nextOwner(c) != c.owner:
		// The queue belongs to another instance now: it came up, or the old
		// owner is leaving.
		t.withdraw(c, out)
		t.askNextOwner(now, c, out)
	default:
		t.sendAsk(now, c, out)
	}
}

// refuseAtDeadline refuses a request at its deadline, with what it was told before if it
// was refused elsewhere.
func (t *Client) refuseAtDeadline(now clock.Time, c *call, out *event.Outbox) {
	if c.refusal == nil {
		c.refusal = newRefusal(queue.ReasonDeadline, 0)
	}
	t.refuse(now, c, c.refusal, out)
}

// HandleMessage takes the answers of an owner. Those to an older ask change nothing,
// but a turn that they grant is given back.
func (t *Client) HandleMessage(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	switch m := m.(type) {
	case message.TurnWaiting:
		if c := t.waitingCall(m.Request, from, m.Turn); c != nil {
			c.ownerHeard = now
			c.refusal = nil // this zone took it in
		}
	case message.TurnGranted:
		t.handleGranted(now, from, m, out)
	case message.TurnRefused:
		if c := t.waitingCall(m.Request, from, m.Turn); c != nil {
			t.handleRefused(now, c, m, out)
		}
	}
}

// waitingCall returns the call if it waitingCall for that turn.
func (t *Client) waitingCall(r id.Request, from id.Instance, turn uint64) *call {
	c := t.calls[r]
	if c == nil || c.granted || c.owner != from || c.turnNumber != turn {
		return nil
	}
	return c
}

func (t *Client) handleGranted(now clock.Time, from id.Instance, m message.TurnGranted, out *event.Outbox) {
	c := t.calls[m.Request]
	if c != nil && c.granted && c.grant.Owner == from && c.turnNumber == m.Turn && c.grant.Backend == m.Backend {
		return // doubled, or the owner asks whether it is still in use
	}
	if c == nil || c.owner != from || c.turnNumber != m.Turn || c.granted {
		// A turn that nobody uses would take up a place on the server for
		// ever: the owner hears no other word of it.
		if !t.hooks.keepLateGrants {
			out.Send(from, message.TurnDone{Request: m.Request, Backend: m.Backend, Turn: m.Turn})
		}
		return
	}
	if now.Reached(c.deadline) && !t.hooks.ignoreDeadline {
		t.refuseAtDeadline(now, c, out)
		return
	}
	if !t.check.Hold(now.Before(c.deadline), "turn-deadline", "%s granted after its deadline", m.Request) {
		t.refuseAtDeadline(now, c, out)
		return
	}
	c.granted = true
	c.grant = Grant{Backend: m.Backend, Address: m.Address, Owner: from}
	t.timers.Delete(m.Request)
	t.addDecision(Decision{Request: m.Request, Grant: &c.grant})
}

func (t *Client) handleRefused(now clock.Time, c *call, m message.TurnRefused, out *event.Outbox) {
	r := queue.Reason(m.Reason)
	from := c.owner
	c.owner = ""
	switch r {
	case queue.ReasonMoved:
		c.tried = append(c.tried, from)
		t.askNextOwner(now, c, out)
	case queue.ReasonDeadline, queue.ReasonNoServer:
		// Another zone may have it loaded, or have a server at all.
		c.keepRefusal(newRefusal(r, m.RetryAfter))
		if r == queue.ReasonNoServer && c.request.MayHaveRun {
			// Its server has just broken, and is back in a moment: the zone is
			// asked again in the next round.
			c.zoneIndex++
		} else {
			c.remainingZones = slices.Delete(c.remainingZones, c.zoneIndex, c.zoneIndex+1)
		}
		c.tried = nil
		t.askNextOwner(now, c, out)
	default:
		t.refuse(now, c, newRefusal(r, m.RetryAfter), out)
	}
}

func (t *Client) addDecision(d Decision) { t.decisions = append(t.decisions, d) }
