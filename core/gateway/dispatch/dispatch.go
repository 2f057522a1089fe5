// Package dispatch lets one instance, the dispatcher, choose the backend server
// for the requests of all instances.
//
// Two hundred instances tell each other of their requests 1.6 s apart, while a
// request lasts 0.3 s: what an instance believes of a server's load is another
// load than it has, and all choose the same few servers. So each asks the
// dispatcher before it sends a request, and tells it when one ended. The
// dispatcher counts exactly; while all servers that could run a request are full,
// it keeps the request in one queue, the most urgent first.
//
// The dispatcher keeps nothing that must last. Each message of an instance names
// all that it has under way, so a lost one is mended by the next, and a new
// dispatcher knows the fleet within a moment. An instance that gets no answer
// chooses by what it believes itself, so no request waits for a dispatcher that
// is gone.
//
// One dispatcher answers for a few hundred instances. Larger fleets need one a group
// of servers.
package dispatch

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
)

const (
	// grantFor is how long a server counts a request that was let go to it and is
	// not in what its instance tells: its answer may have been lost.
	grantTTL = 500 * time.Millisecond
	// exactFor is how long what an instance told the dispatcher goes before its
	// heartbeats, which are older when they arrive.
	directReportTTL = 2 * time.Second
)

// Query asks for a server.
type Query struct {
	Number       uint64 // of the instance's requests; a repeated one keeps its place
	Requirements directory.Requirements
	Priority     int // 0 goes first
	// MaxWait is how long the request can wait for room and still be on time.
	MaxWait time.Duration
}

// Message is what an instance tells the dispatcher.
type Message struct {
	From        string
	Incarnation uint64
	Sequence    uint64 // of the messages of this incarnation
	// Running are its requests by server and model.
	Running map[string]map[string]int
	// OpenQueries are the numbers of its asks that have no answer yet; a request that was
	// let go and is not among them is in Running, or has ended.
	OpenQueries []uint64
	Query       *Query        // nil: it only tells
	Ended       *EndedRequest // nil: none ended
}

// EndedRequest is how a request ended at a server.
type EndedRequest struct {
	Server  string
	Born    int64
	Outcome directory.Outcome
	// Unreachable says that the server could not be connected to.
	Unreachable bool
}

// Decision is what the dispatcher decided.
type Decision int

// The verdicts.
const (
	Granted     Decision = iota // send it to Server
	Queued                      // all servers are full; another reply follows
	NoCandidate                 // no server holds what it needs
	Refused                     // there will be no room within the time that it has
)

// String names a verdict for logs.
func (v Decision) String() string { return [...]string{"granted", "queued", "missing", "refused"}[v] }

// Reply answers an Ask.
type Reply struct {
	To          string
	Incarnation uint64
	Number      uint64
	Decision    Decision
	Choice      directory.Choice // if granted
}

// Dispatcher is the state of the instance that chooses. It is not safe for
// concurrent use.
type Dispatcher struct {
	self         string // whose own requests the directory counts itself
	dir          *directory.Directory
	instances    map[string]*instance
	queues       map[queueKey]*queue
	lastPosition uint64 // of what waits, for the order among equals
}

type instance struct {
	incarnation uint64
	sequence    uint64
	lastHeard   clock.Time
	openQueries []uint64
	grants      []grant
}

// grant is a request that was let go and is not told yet.
type grant struct {
	number        uint64
	server, model string
	at            clock.Time
}

// New returns a Dispatcher that chooses among the servers of dir.
func New(self string, dir *directory.Directory) *Dispatcher {
	return &Dispatcher{self: self, dir: dir, instances: make(map[string]*instance), queues: make(map[queueKey]*queue)}
}

// HandleMessage takes a message. The reply to its ask, if it has one, comes at once; one
// that is queued gets a second reply of Serve.
func (d *Dispatcher) HandleMessage(now clock.Time, m Message) (Reply, bool) {
	a := d.instanceOf(m)
	if m.Ended != nil && m.From != d.self {
		d.recordOutcome(now, *m.Ended)
	}
	if m.Sequence > a.sequence {
		a.sequence, a.lastHeard, a.openQueries = m.Sequence, now, m.OpenQueries
		a.reconcileGrants(now)
		if m.From != d.self {
			d.dir.SetPeerLoad(now, m.From, m.Running)
			for _, g := range a.grants {
				d.dir.AddPeerRequest(now, m.From, g.server, g.model)
			}
		}
	}
	if m.Query == nil {
		return Reply{}, false
	}
	return d.handleQuery(now, m.From, a, *m.Query), true
}

// judge takes what another instance saw of a server.
func (d *Dispatcher) recordOutcome(now clock.Time, e EndedRequest) {
	s := d.dir.Get(e.Server)
	if s == nil || s.Incarnation != e.Born {
		return
	}
	if e.Unreachable {
		d.dir.MarkUnreachable(now, e.Server)
		return
	}
	d.dir.RecordOutcome(now, e.Server, e.Outcome)
}

func (d *Dispatcher) instanceOf(m Message) *instance {
	a := d.instances[m.From]
	if a == nil || a.incarnation != m.Incarnation {
		a = &instance{incarnation: m.Incarnation}
		d.instances[m.From] = a
	}
	return a
}

// settle drops the grants that the asker tells of itself, and those whose reply
// it never had.
func (a *instance) reconcileGrants(now clock.Time) {
	a.grants = slices.DeleteFunc(a.grants, func(g grant) bool {
		return !slices.Contains(a.openQueries, g.number) || now.Sub(g.at) > grantTTL
	})
}

// HasDirectReport reports whether what an instance has under way is known from its own
// messages, which are newer than its heartbeats.
func (d *Dispatcher) HasDirectReport(now clock.Time, from string) bool {
	a := d.instances[from]
	return a != nil && now.Sub(a.lastHeard) < directReportTTL
}

func (d *Dispatcher) handleQuery(now clock.Time, from string, a *instance, ask Query) Reply {
	reply := Reply{To: from, Incarnation: a.incarnation, Number: ask.Number}
	if i := slices.IndexFunc(a.grants, func(g grant) bool { return g.number == ask.Number }); i >= 0 {
		// The reply was lost; the same server again, or the count would be off.
		reply.Choice = directory.Choice{Server: d.dir.Get(a.grants[i].server)}
		if reply.Choice.Server != nil {
			return reply
		}
	}
	q := d.queueOf(ask.Requirements)
	if w := q.find(from, ask.Number); w != nil {
		w.lastQueried = now
		reply.Decision = Queued
		return reply
	}
	if len(q.waiting) > 0 && q.waiting[0].query.Priority <= ask.Priority {
		reply.Decision = d.enqueue(now, q, from, ask)
		return reply
	}
	c := d.dir.Pick(now, ask.Requirements)
	switch {
	case c.Server != nil:
		q.recordGrant(now)
		d.grant(now, from, a, ask, c.Server)
		reply.Choice = c
	case c.AllFull:
		reply.Decision = d.enqueue(now, q, from, ask)
	default:
		reply.Decision = NoCandidate
	}
	return reply
}

// grant counts a request as under way.
func (d *Dispatcher) grant(now clock.Time, from string, a *instance, ask Query, s *directory.Server) {
	if from == d.self {
		return // the instance counts it itself in the same moment
	}
	a.grants = append(a.grants, grant{number: ask.Number, server: s.ID, model: ask.Requirements.Model, at: now})
	d.dir.AddPeerRequest(now, from, s.ID, ask.Requirements.Model)
}

// Expire drops instances that are not heard any more, and queues that rest.
func (d *Dispatcher) Expire(now clock.Time) {
	for name, a := range d.instances {
		if now.Sub(a.lastHeard) > directReportTTL && len(a.grants) == 0 && name != d.self {
			delete(d.instances, name)
		}
	}
	for k, q := range d.queues {
		if q.idle(now) {
			delete(d.queues, k)
		}
	}
}
