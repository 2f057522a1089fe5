// Package turn implements the requester's side of the queues. The instance that
// received a call asks the owner of the target's queue for a turn, that is, the
// permission to send the call to a backend server, which the owner names.
//
// The requester keeps the request. If an owner doesn't answer, is stopping or is
// lost, it asks the next one. It gives back every turn that it does not need, so
// that no turn stays in use by mistake. Each request is decided by its deadline.
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

// Default values of Settings.
const (
	DefaultRetryInterval = 400 * time.Millisecond
	DefaultOwnerTimeout  = 1200 * time.Millisecond
)

// Settings configures a Client. A zero field takes its default.
type Settings struct {
	RetryInterval time.Duration // time between two requests to the same owner
	OwnerTimeout  time.Duration // time without an answer after which the next owner is asked
}

// ZoneSource lists the availability zones that have backend servers for a target, in
// the order in which to ask them: the instance's own zone first if it has any.
type ZoneSource interface {
	Zones(t queue.Target) []id.Zone
}

// Request is a request for a turn.
type Request struct {
	Call    event.Call
	Account id.Account
	Class   config.Class
	Cost    int          // tokens, for fair queueing
	Alone   bool         // suspected of crashing servers: must run alone on a server
	Avoid   []id.Backend // servers that it must not be sent to
	// MayHaveRun is set if an earlier attempt of the request may have run. A
	// refusal then must not say that it was not run.
	MayHaveRun bool
}

// Grant is a turn at a backend server.
type Grant struct {
	Backend id.Backend
	Address string
	Owner   id.Instance // owner of the queue that granted it
}

// Decision ends the wait for a turn. Either Grant or Refusal is set.
type Decision struct {
	Request id.Request
	Grant   *Grant
	Refusal *event.Refusal
}

// call is a request that waits for a turn or has one.
type call struct {
	request        Request
	target         queue.Target
	digest         id.Digest      // set for a request that must run alone, see message.TurnRequest
	turnNumber     uint64         // of the last message to an owner
	remainingZones []id.Zone      // zones that have not refused the request for good
	zoneIndex      int            // index of the zone that is being asked
	tried          []id.Instance  // owners of that zone that did not answer or are stopping
	owner          id.Instance    // owner that is being asked; "" if none is
	ownerHeard     clock.Time     // when the owner was first asked, or last answered
	refusal        *event.Refusal // by a zone; used if no other zone serves the request
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
	timers         due.Timers[id.Request] // of the requests that wait
	lastTurnNumber uint64
	decisions      []Decision

	hooks hooks
}

// hooks disable one safeguard each, so that tests can show that its failure is
// detected.
type hooks struct {
	keepLateGrants bool // do not give back turns that are granted too late
	ignoreDeadline bool // accept grants after the deadline
}

// New returns a Client without requests.
func New(settings Settings, members process.Members, zoneSource ZoneSource, check *invariant.Checker) *Client {
	settings.RetryInterval = cmp.Or(settings.RetryInterval, DefaultRetryInterval)
	settings.OwnerTimeout = cmp.Or(settings.OwnerTimeout, DefaultOwnerTimeout)
	return &Client{
		settings: settings, members: members, zoneSource: zoneSource, check: check,
		calls: make(map[id.Request]*call),
	}
}

// Acquire asks for a turn; Decisions returns the result. A request that already had
// a turn may ask for another one; the previous one is given back.
func (cl *Client) Acquire(now clock.Time, req Request, out *event.Outbox) {
	cl.Cancel(now, req.Call.Request, out)
	c := &call{
		request:  req,
		target:   queue.Target{Artifact: req.Call.Artifact, Service: req.Call.Service},
		deadline: req.Call.Deadline,
	}
	if req.Alone {
		c.digest = suspect.RequestDigest(req.Account, req.Call.BodyDigest)
	}
	c.remainingZones = slices.Clone(cl.zoneSource.Zones(c.target))
	cl.calls[req.Call.Request] = c
	if now.Reached(c.deadline) {
		cl.refuse(now, c, newRefusal(queue.ReasonDeadline, 0), out)
		return
	}
	if !slices.ContainsFunc(c.remainingZones, func(z id.Zone) bool { return len(cl.possibleOwners(z)) > 0 }) {
		cl.refuse(now, c, newRefusal(queue.ReasonNoServer, 0), out)
		return
	}
	cl.askNextOwner(now, c, out)
}

// Release gives back the turn of an attempt that ended, and fills in m.Turn. If the
// message is lost, the owner repeats the grant later and is told again.
func (cl *Client) Release(now clock.Time, m message.TurnRelease, out *event.Outbox) {
	c := cl.calls[m.Request]
	if c == nil {
		return
	}
	if !c.granted {
		cl.Cancel(now, m.Request, out)
		return
	}
	m.Turn = c.turnNumber
	out.Send(c.grant.Owner, m)
	cl.removeCall(m.Request)
}

// Cancel withdraws a request, or gives its turn back unused.
func (cl *Client) Cancel(_ clock.Time, r id.Request, out *event.Outbox) {
	c := cl.calls[r]
	if c == nil {
		return
	}
	cl.withdraw(c, out)
	cl.removeCall(r)
}

// Decisions returns the decisions made since the last call, in order.
func (cl *Client) Decisions() []Decision {
	d := cl.decisions
	cl.decisions = nil
	return d
}

// Len returns the number of requests that wait for a turn or have one.
func (cl *Client) Len() int { return len(cl.calls) }

// Next implements process.Machine.
func (cl *Client) Next() clock.Time { return cl.timers.Next() }

// Tick implements process.Machine.
func (cl *Client) Tick(now clock.Time, out *event.Outbox) {
	for {
		r, ok := cl.timers.Pop(now)
		if !ok {
			return
		}
		cl.handleTimer(now, cl.calls[r], out)
	}
}

// handleTimer handles the timer of a request that waits.
func (cl *Client) handleTimer(now clock.Time, c *call, out *event.Outbox) {
	switch {
	case now.Reached(c.deadline):
		cl.refuseAtDeadline(now, c, out)
	case c.owner == "":
		cl.askNextOwner(now, c, out)
	case c.spilled() && now.Sub(c.ownerHeard) >= cl.settings.RetryInterval:
		// One zone refused the request, and the next does not answer, perhaps
		// because of a network partition. The caller gets the refusal now
		// instead of at its deadline.
		cl.refuse(now, c, c.refusal, out)
	case now.Sub(c.ownerHeard) >= cl.settings.OwnerTimeout:
		c.tried = append(c.tried, c.owner)
		cl.withdraw(c, out)
		cl.askNextOwner(now, c, out)
	case cl.nextOwner(c) != c.owner:
		// The queue now belongs to another instance, because that one started
		// or the previous owner is stopping.
		cl.withdraw(c, out)
		cl.askNextOwner(now, c, out)
	default:
		cl.sendAsk(now, c, out)
	}
}

// refuseAtDeadline refuses a request at its deadline, with the refusal of a zone if
// there is one.
func (cl *Client) refuseAtDeadline(now clock.Time, c *call, out *event.Outbox) {
	if c.refusal == nil {
		c.refusal = newRefusal(queue.ReasonDeadline, 0)
	}
	cl.refuse(now, c, c.refusal, out)
}

// HandleMessage handles the answers of owners. An answer to an earlier request has
// no effect, except that a turn that it grants is given back.
func (cl *Client) HandleMessage(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	switch m := m.(type) {
	case message.TurnQueued:
		if c := cl.waitingCall(m.Request, from, m.Turn); c != nil {
			c.ownerHeard = now
			c.refusal = nil // this zone accepted it
		}
	case message.TurnGranted:
		cl.handleGranted(now, from, m, out)
	case message.TurnRefused:
		if c := cl.waitingCall(m.Request, from, m.Turn); c != nil {
			cl.handleRefused(now, c, m, out)
		}
	}
}

// waitingCall returns the call if it waits for the answer of that owner to the
// request with that turn number.
func (cl *Client) waitingCall(r id.Request, from id.Instance, turn uint64) *call {
	c := cl.calls[r]
	if c == nil || c.granted || c.owner != from || c.turnNumber != turn {
		return nil
	}
	return c
}

func (cl *Client) handleGranted(now clock.Time, from id.Instance, m message.TurnGranted, out *event.Outbox) {
	c := cl.calls[m.Request]
	if c != nil && c.granted && c.grant.Owner == from && c.turnNumber == m.Turn && c.grant.Backend == m.Backend {
		return // duplicate, or the owner asks whether the turn is still in use
	}
	if c == nil || c.owner != from || c.turnNumber != m.Turn || c.granted {
		// Nobody uses this turn. It is given back, because otherwise it would
		// occupy capacity of the server for good.
		if !cl.hooks.keepLateGrants {
			out.Send(from, message.TurnRelease{Request: m.Request, Backend: m.Backend, Turn: m.Turn})
		}
		return
	}
	if now.Reached(c.deadline) && !cl.hooks.ignoreDeadline {
		cl.refuseAtDeadline(now, c, out)
		return
	}
	if !cl.check.Hold(now.Before(c.deadline), "turn-deadline", "%s granted after its deadline", m.Request) {
		cl.refuseAtDeadline(now, c, out)
		return
	}
	c.granted = true
	c.grant = Grant{Backend: m.Backend, Address: m.Address, Owner: from}
	cl.timers.Delete(m.Request)
	cl.addDecision(Decision{Request: m.Request, Grant: &c.grant})
}

func (cl *Client) handleRefused(now clock.Time, c *call, m message.TurnRefused, out *event.Outbox) {
	r := queue.Reason(m.Reason)
	from := c.owner
	c.owner = ""
	switch r {
	case queue.ReasonMoved:
		c.tried = append(c.tried, from)
		cl.askNextOwner(now, c, out)
	case queue.ReasonDeadline, queue.ReasonNoServer:
		// Another zone may have the target loaded, or have a server for it.
		c.keepRefusal(newRefusal(r, m.RetryAfter))
		if r == queue.ReasonNoServer && c.request.MayHaveRun {
			// Its server has just failed and will probably be back soon, so the
			// zone is asked again in the next round.
			c.zoneIndex++
		} else {
			c.remainingZones = slices.Delete(c.remainingZones, c.zoneIndex, c.zoneIndex+1)
		}
		c.tried = nil
		cl.askNextOwner(now, c, out)
	default:
		cl.refuse(now, c, newRefusal(r, m.RetryAfter), out)
	}
}

func (cl *Client) addDecision(d Decision) { cl.decisions = append(cl.decisions, d) }
