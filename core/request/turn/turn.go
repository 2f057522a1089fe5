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
	DefaultRepeat = 400 * time.Millisecond
	DefaultSilent = 1200 * time.Millisecond
)

// Settings of an Entry; a zero field takes its default.
type Settings struct {
	Repeat time.Duration // between two asks of the same owner
	Silent time.Duration // without an answer before the next owner is asked
}

// Targets tells which availability zones have backend servers for a target, in
// the order in which they are to be asked: the own zone first if it has any.
type Targets interface {
	Zones(t queue.Target) []id.Zone
}

// Ask is a request for a turn.
type Ask struct {
	Call    event.Call
	Account id.Account
	Class   config.Class
	Cost    int  // tokens, for fair queueing
	Alone   bool // a suspect of crashes
	Avoid   []id.Backend
	// Ran says that an earlier attempt of the request may have run: a refusal
	// must not say that it did not.
	Ran bool
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
	Granted *Grant
	Refused *event.Refusal
}

type call struct {
	ask      Ask
	target   queue.Target
	digest   id.Digest
	turn     uint64
	zones    []id.Zone     // still to be asked
	at       int           // index in zones of the one that is asked
	tried    []id.Instance // silent or moved, in the zone that is asked
	owner    id.Instance   // "": none to be asked now
	heard    clock.Time    // when the owner was first asked, or last answered
	refusal  *event.Refusal
	granted  bool
	grant    Grant
	deadline clock.Time
}

// Entry holds the requests of this instance that wait for a turn or have one.
type Entry struct {
	set       Settings
	members   process.Members
	targets   Targets
	check     *invariant.Checker
	calls     map[id.Request]*call
	times     due.Times[id.Request] // of those that wait
	turn      uint64
	decisions []Decision

	hooks hooks
}

// hooks switch one safeguard off each, to show in tests that a check fires.
type hooks struct {
	keepLateGrants bool
	ignoreDeadline bool
}

// New returns an Entry without requests.
func New(set Settings, members process.Members, targets Targets, check *invariant.Checker) *Entry {
	set.Repeat = cmp.Or(set.Repeat, DefaultRepeat)
	set.Silent = cmp.Or(set.Silent, DefaultSilent)
	return &Entry{
		set: set, members: members, targets: targets, check: check,
		calls: make(map[id.Request]*call),
	}
}

// Request asks for a turn. A request that has had a turn may ask for another
// one; what it held before is given back. Decisions tells the answer.
func (t *Entry) Request(now clock.Time, a Ask, out *event.Outbox) {
	t.Cancel(now, a.Call.Request, out)
	c := &call{
		ask:      a,
		target:   queue.Target{Artifact: a.Call.Artifact, Service: a.Call.Service},
		deadline: a.Call.Deadline,
	}
	if a.Alone {
		c.digest = suspect.Digest(a.Account, a.Call.BodyDigest)
	}
	c.zones = slices.Clone(t.targets.Zones(c.target))
	t.calls[a.Call.Request] = c
	if now.Reached(c.deadline) {
		t.refuse(now, c, refusal(queue.ReasonDeadline, 0), out)
		return
	}
	if !slices.ContainsFunc(c.zones, func(z id.Zone) bool { return len(t.owners(z)) > 0 }) {
		t.refuse(now, c, refusal(queue.ReasonNoServer, 0), out)
		return
	}
	t.askNext(now, c, out)
}

// Done gives back the turn of a finished attempt; its Turn is filled in. If the
// message is lost, the owner asks about the turn later and is told again.
func (t *Entry) Done(now clock.Time, m message.TurnRelease, out *event.Outbox) {
	c := t.calls[m.Request]
	if c == nil {
		return
	}
	if !c.granted {
		t.Cancel(now, m.Request, out)
		return
	}
	m.Turn = c.turn
	out.Send(c.grant.Owner, m)
	t.forget(m.Request)
}

// Cancel withdraws a request, or gives its turn back unused.
func (t *Entry) Cancel(_ clock.Time, r id.Request, out *event.Outbox) {
	c := t.calls[r]
	if c == nil {
		return
	}
	t.withdraw(c, out)
	t.forget(r)
}

// Decisions returns the decisions made since the last call, in order.
func (t *Entry) Decisions() []Decision {
	d := t.decisions
	t.decisions = nil
	return d
}

// Len returns the number of requests that wait for a turn or have one.
func (t *Entry) Len() int { return len(t.calls) }

// Next implements process.Machine.
func (t *Entry) Next() clock.Time { return t.times.Next() }

// Tick implements process.Machine.
func (t *Entry) Tick(now clock.Time, out *event.Outbox) {
	for {
		r, ok := t.times.Pop(now)
		if !ok {
			return
		}
		t.due(now, t.calls[r], out)
	}
}

func (t *Entry) due(now clock.Time, c *call, out *event.Outbox) {
	switch {
	case now.Reached(c.deadline):
		t.expire(now, c, out)
	case c.owner == "":
		t.askNext(now, c, out)
	case c.late() && now.Sub(c.heard) >= t.set.Repeat:
		// One zone said that there is no time, and the next is silent, perhaps
		// cut off. The caller can use the refusal now, not at its deadline.
		t.refuse(now, c, c.refusal, out)
	case now.Sub(c.heard) >= t.set.Silent:
		c.tried = append(c.tried, c.owner)
		t.withdraw(c, out)
		t.askNext(now, c, out)
	case t.choose(c) != c.owner:
		// The queue belongs to another instance now: it came up, or the old
		// owner is leaving.
		t.withdraw(c, out)
		t.askNext(now, c, out)
	default:
		t.sendAsk(now, c, out)
	}
}

// expire refuses a request at its deadline, with what it was told before if it
// was refused elsewhere.
func (t *Entry) expire(now clock.Time, c *call, out *event.Outbox) {
	if c.refusal == nil {
		c.refusal = refusal(queue.ReasonDeadline, 0)
	}
	t.refuse(now, c, c.refusal, out)
}

// Peer takes the answers of an owner. Those to an older ask change nothing,
// but a turn that they grant is given back.
func (t *Entry) Peer(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	switch m := m.(type) {
	case message.TurnQueued:
		if c := t.waits(m.Request, from, m.Turn); c != nil {
			c.heard = now
			c.refusal = nil // this zone took it in
		}
	case message.TurnGranted:
		t.onGranted(now, from, m, out)
	case message.TurnRefused:
		if c := t.waits(m.Request, from, m.Turn); c != nil {
			t.onRefused(now, c, m, out)
		}
	}
}

// waits returns the call if it waits for that turn.
func (t *Entry) waits(r id.Request, from id.Instance, turn uint64) *call {
	c := t.calls[r]
	if c == nil || c.granted || c.owner != from || c.turn != turn {
		return nil
	}
	return c
}

func (t *Entry) onGranted(now clock.Time, from id.Instance, m message.TurnGranted, out *event.Outbox) {
	c := t.calls[m.Request]
	if c != nil && c.granted && c.grant.Owner == from && c.turn == m.Turn && c.grant.Backend == m.Backend {
		return // doubled, or the owner asks whether it is still in use
	}
	if c == nil || c.owner != from || c.turn != m.Turn || c.granted {
		// A turn that nobody uses would take up a place on the server for
		// ever: the owner hears no other word of it.
		if !t.hooks.keepLateGrants {
			out.Send(from, message.TurnRelease{Request: m.Request, Backend: m.Backend, Turn: m.Turn})
		}
		return
	}
	if now.Reached(c.deadline) && !t.hooks.ignoreDeadline {
		t.expire(now, c, out)
		return
	}
	if !t.check.Hold(now.Before(c.deadline), "turn-deadline", "%s granted after its deadline", m.Request) {
		t.expire(now, c, out)
		return
	}
	c.granted = true
	c.grant = Grant{Backend: m.Backend, Address: m.Address, Owner: from}
	t.times.Drop(m.Request)
	t.decide(Decision{Request: m.Request, Granted: &c.grant})
}

func (t *Entry) onRefused(now clock.Time, c *call, m message.TurnRefused, out *event.Outbox) {
	r := queue.Reason(m.Reason)
	from := c.owner
	c.owner = ""
	switch r {
	case queue.ReasonMoved:
		c.tried = append(c.tried, from)
		t.askNext(now, c, out)
	case queue.ReasonDeadline, queue.ReasonNoServer:
		// Another zone may have it loaded, or have a server at all.
		c.keep(refusal(r, m.RetryAfter))
		if r == queue.ReasonNoServer && c.ask.Ran {
			// Its server has just broken, and is back in a moment: the zone is
			// asked again in the next round.
			c.at++
		} else {
			c.zones = slices.Delete(c.zones, c.at, c.at+1)
		}
		c.tried = nil
		t.askNext(now, c, out)
	default:
		t.refuse(now, c, refusal(r, m.RetryAfter), out)
	}
}

func (t *Entry) decide(d Decision) { t.decisions = append(t.decisions, d) }
