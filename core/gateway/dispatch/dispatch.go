// Package dispatch lets one instance, the dispatcher, choose the backend server
// for the requests of all instances.
//
// Two hundred instances exchange their load every 1.6 s, while a request takes
// 0.3 s. Each instance's view of the load is therefore outdated, and all choose
// the same few servers. Instead, an instance queries the dispatcher before it sends
// a request, and reports when the request ended. The dispatcher has exact counts.
// While all servers that could run a request are full, it queues the query, highest
// priority first, or by due time if the queries carry what load scheduling needs.
//
// The dispatcher has no durable state. Each message of an instance lists all its
// running requests, so that the next message makes up for a lost one and a new
// dispatcher learns the state of the fleet at once. An instance that gets no reply
// decides from its own view, so no request waits for a failed dispatcher: by the same rules
// in queues of its own (NewLocal), or without load scheduling with no queue at all.
//
// One dispatcher serves a few hundred instances. Larger fleets need one per group of
// servers.
package dispatch

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/forecast"
	pacing "oleanderdale.org/core/gateway/pace"
	"oleanderdale.org/core/gateway/reservation"
	"oleanderdale.org/core/gateway/schedule"
)

const (
	// grantTTL is how long a granted request counts as running although its
	// instance does not report it: the reply may have been lost.
	grantTTL = 500 * time.Millisecond
	// directReportTTL is how long an instance's messages to the dispatcher override the
	// load in its heartbeats, which is older on arrival.
	directReportTTL = 2 * time.Second
)

// Query requests a server for one request.
type Query struct {
	Number       uint64 // chosen by the instance; a repeated query keeps its number and its place in the queue
	Requirements directory.Requirements
	Priority     int // 0 is the highest
	// MaxWait is how long the request can wait for a free slot and still meet its
	// latency objective; 0 means no limit.
	MaxWait time.Duration
	// Turn is when a query without MaxWait takes its turn, if that is before noDueWait; 0: not
	// before. It is not sent to other instances.
	Turn time.Duration
	// Detail describes the request for load scheduling; nil if it is off, or if the instance
	// runs a version without it.
	Detail *QueryDetail
}

// QueryDetail is what load scheduling needs to know about a request.
type QueryDetail struct {
	Account      string        // "": none
	Due          time.Duration // until the latency objective; 0 or less: missed, or none
	PromptTokens int           // 0: unknown
	TotalTokens  int           // of the prompt and the longest completion; 0: unknown
	Digest       uint64        // equal for repetitions of a request; 0: unknown
}

// Message is sent by an instance to the dispatcher.
type Message struct {
	From        string
	Incarnation uint64
	Sequence    uint64 // increases with each message of an incarnation
	// Running counts the instance's requests by server and model.
	Running map[string]map[string]int
	// OpenQueries are the numbers of the queries without a final reply. A granted
	// request that is not among them is in Running or has ended.
	OpenQueries []uint64
	Query       *Query        // nil if the message only reports
	Ended       *EndedRequest // nil if no request ended
	// NotRun names a server that turned a request away because it was full; "" if none. It is
	// not sent to other instances.
	NotRun string
}

// EndedRequest is the outcome of a request at a server.
type EndedRequest struct {
	Server      string
	Incarnation int64
	Outcome     directory.Outcome
	// Unreachable is set if the connection to the server could not be established.
	Unreachable bool
	// Timing is how long an answered request took; nil if unknown.
	Timing *RunTiming
}

// RunTiming is how long a server took for a request.
type RunTiming struct {
	PromptTokens int
	FirstEvent   time.Duration // from the send to the first event of a stream; 0 if the response was none
	Run          time.Duration // from the send to the end of the response
	Work         float64       // load of the server when it was chosen, in requests
	// LongestPause is the longest time between two events of a stream as the server sent
	// them; 0 if unknown.
	LongestPause time.Duration
}

// PaceRun returns what the estimate of the server's pace takes from the timing.
func (t *RunTiming) PaceRun() pacing.Run {
	return pacing.Run{PromptTokens: t.PromptTokens, FirstEvent: t.FirstEvent, Run: t.Run, Work: t.Work, LongestPause: t.LongestPause}
}

// Decision is the dispatcher's decision on a query.
type Decision int

// Decisions on a query.
const (
	Granted     Decision = iota // send the request to the chosen server
	Queued                      // all servers are full; another reply follows
	NoCandidate                 // no server meets the requirements
	Refused                     // no slot is expected to be free within MaxWait
)

// String returns the name of the decision for logs.
func (v Decision) String() string { return [...]string{"granted", "queued", "missing", "refused"}[v] }

// Reply answers a Query.
type Reply struct {
	To          string
	Incarnation uint64
	Number      uint64
	Decision    Decision
	Choice      directory.Choice // if Granted
	// RetryAfter is when a refused request can be served, if the servers' rate limits say
	// so; 0 if unknown.
	RetryAfter time.Duration
	// NoSlot says that RetryAfter is the time at which a slot is expected, and not one that
	// the rate limits of servers allow.
	NoSlot bool
	// Returned says whether the caller had been told when to return.
	Returned reservation.Status
}

// Dispatcher is the dispatcher's state. It is not safe for concurrent use.
type Dispatcher struct {
	self         string // this instance, whose requests are counted by the directory
	local        bool   // serves the queries of this instance only
	dir          *directory.Directory
	instances    map[string]*instance
	queues       map[queueKey]*queue
	queueOrder   []*queue // the queues, in the order of their creation
	lastPosition uint64   // of the last query; orders queries of equal priority

	// State of load scheduling.
	share      float64              // part of the servers' capacity on which queries may count
	lastDetail clock.Time           // last query with a Detail
	groups     map[string]*group    // by name
	holdTimes  map[string]*holdTime // by server
	forecasts  forecast.Tracker     // over all queues
	displaced  []Reply              // refusals of waiting queries, for ServeQueues
	// reservations are the times that refused callers were promised. They are lost with the
	// dispatcher; its successor takes the callers for new ones.
	reservations *reservation.Book

	contenderBuffer []contender // reused by each decision
	jobBuffer       []schedule.Job
}

// instance is the state of an instance that sends messages.
type instance struct {
	incarnation uint64
	sequence    uint64
	lastHeard   clock.Time
	openQueries []uint64
	grants      []grant
	held        map[string]int // slots, by server; with load scheduling
}

// grant is a granted request that its instance has not reported yet.
type grant struct {
	number        uint64
	server, model string
	at            clock.Time
}

// New returns a Dispatcher that chooses among the servers of dir.
func New(self string, dir *directory.Directory) *Dispatcher {
	return &Dispatcher{
		self: self, dir: dir, share: 1, instances: make(map[string]*instance), queues: make(map[queueKey]*queue),
		groups: make(map[string]*group), holdTimes: make(map[string]*holdTime),
		reservations: reservation.NewBook(),
	}
}

// NewLocal returns a Dispatcher that serves the queries of its own instance only, while no
// dispatcher of the fleet answers. It learns from the messages of the instance about its
// requests at any time, so that hold times are known when it is needed.
func NewLocal(self string, dir *directory.Directory) *Dispatcher {
	d := New(self, dir)
	d.local = true
	return d
}

// SetShare sets the part of the servers' capacity that the forecast counts on, from 0 to 1.
// Other instances that decide by themselves use the same servers. It does not limit the
// slots that queries get.
func (d *Dispatcher) SetShare(share float64) { d.share = share }

// HandleMessage processes a message and returns the reply to its query, if it has
// one. A queued query gets a second reply from ServeQueues.
func (d *Dispatcher) HandleMessage(now clock.Time, m Message) (Reply, bool) {
	inst := d.instanceOf(now, m)
	if m.Ended != nil && m.From != d.self {
		d.recordOutcome(now, *m.Ended)
	}
	if m.NotRun != "" && m.From != d.self {
		d.dir.RecordRejection(now, m.NotRun)
	}
	if m.Sequence > inst.sequence {
		inst.sequence, inst.lastHeard, inst.openQueries = m.Sequence, now, m.OpenQueries
		inst.reconcileGrants(now)
		if m.From != d.self {
			d.dir.SetPeerLoad(now, m.From, m.Running)
			for _, g := range inst.grants {
				d.dir.AddPeerRequest(now, m.From, g.server, g.model)
			}
		}
		if m.From != d.self || d.local {
			d.recordHolds(now, inst, m)
		}
	}
	if m.Query == nil {
		return Reply{}, false
	}
	return d.handleQuery(now, m.From, inst, *m.Query), true
}

// recordOutcome records how a request of another instance ended.
func (d *Dispatcher) recordOutcome(now clock.Time, e EndedRequest) {
	s := d.dir.Get(e.Server)
	if s == nil || s.Incarnation != e.Incarnation {
		return
	}
	if e.Unreachable {
		d.dir.MarkUnreachable(now, e.Server)
		return
	}
	d.dir.RecordOutcome(now, e.Server, e.Outcome)
	if e.Timing != nil {
		d.dir.RecordRun(now, e.Server, e.Incarnation, e.Timing.PaceRun())
	}
}

// instanceOf returns the state of the sender of a message, a new one after its restart.
func (d *Dispatcher) instanceOf(now clock.Time, m Message) *instance {
	inst := d.instances[m.From]
	if inst == nil || inst.incarnation != m.Incarnation {
		if inst != nil {
			d.dropHolds(now, inst)
		}
		inst = &instance{incarnation: m.Incarnation}
		d.instances[m.From] = inst
	}
	return inst
}

// reconcileGrants drops the grants that the instance now reports itself, and those whose
// reply it did not receive.
func (inst *instance) reconcileGrants(now clock.Time) {
	inst.grants = slices.DeleteFunc(inst.grants, func(g grant) bool {
		return !slices.Contains(inst.openQueries, g.number) || now.Sub(g.at) > grantTTL
	})
}

// HasDirectReport reports whether the load of an instance is known from its recent
// messages to the dispatcher, which are newer than its heartbeats.
func (d *Dispatcher) HasDirectReport(now clock.Time, from string) bool {
	inst := d.instances[from]
	return inst != nil && now.Sub(inst.lastHeard) < directReportTTL
}

// handleQuery grants a query, queues it or refuses it.
func (d *Dispatcher) handleQuery(now clock.Time, from string, inst *instance, query Query) Reply {
	reply := Reply{To: from, Incarnation: inst.incarnation, Number: query.Number}
	if i := slices.IndexFunc(inst.grants, func(g grant) bool { return g.number == query.Number }); i >= 0 {
		// The reply was lost. Grant the same server again, so that it counts once.
		reply.Choice = directory.Choice{Server: d.dir.Get(inst.grants[i].server)}
		if reply.Choice.Server != nil {
			return reply
		}
	}
	q := d.queueOf(query.Requirements)
	if w := q.find(from, query.Number); w != nil {
		w.lastQueried = now
		w.query.Requirements.Exclude = query.Requirements.Exclude // a server may rest since
		reply.Decision = Queued
		return reply
	}
	d.noteDetail(now, q, query.Detail)
	w := d.newQueued(now, q, from, query)
	reply.Returned = w.status
	enqueue := func(p pace) {
		reply.Decision, reply.RetryAfter = d.enqueue(now, q, w, p)
		reply.NoSlot = q.scheduled && query.Detail != nil && reply.Decision == Refused && p.perSecond <= 0
	}
	if q.mustQueueBehind(w) {
		enqueue(q.pace)
		return reply
	}
	c := d.pick(now, query.Requirements)
	switch {
	case c.Server != nil && (q.anyAheadCanUse(w, c.Server.ID) || d.othersAhead(now, q, w, c.Server.ID)):
		enqueue(q.pace)
	case c.Server != nil:
		q.recordGrant(now)
		d.recordScheduledGrant(now, q, w)
		d.grant(now, from, inst, query, c.Server)
		reply.Choice = c
	case c.AllFull:
		enqueue(q.updatePace(now, query, c))
	default:
		reply.Decision = NoCandidate
	}
	return reply
}

// grant counts a request as running on a server.
func (d *Dispatcher) grant(now clock.Time, from string, inst *instance, query Query, s *directory.Server) {
	if from == d.self {
		return // the caller counts it when it takes the reply
	}
	if d.schedulesLoad(now) {
		d.addHeld(now, inst, s.ID, 1)
	}
	inst.grants = append(inst.grants, grant{number: query.Number, server: s.ID, model: query.Requirements.Model, at: now})
	d.dir.GrantPeerRequest(now, from, s.ID, query.Requirements.Model)
	d.dir.GrantPeerPrefill(now, s.ID, d.dir.SendPrompt(s.ID, query.Requirements.Prompt()), query.Requirements.PauseObjective)
}

// ForgetInstance drops the state of an instance that has ended: the slots that it holds and the
// queries that it waits for.
func (d *Dispatcher) ForgetInstance(now clock.Time, name string) {
	if inst := d.instances[name]; inst != nil {
		d.dropHolds(now, inst)
		delete(d.instances, name)
	}
	d.dir.DropPeerLoad(name)
}

// Expire drops the state of instances that are no longer heard, and idle queues.
func (d *Dispatcher) Expire(now clock.Time) {
	for name, inst := range d.instances {
		if now.Sub(inst.lastHeard) > directReportTTL && len(inst.grants) == 0 && name != d.self {
			d.dropHolds(now, inst)
			delete(d.instances, name)
		}
	}
	for k, q := range d.queues {
		if q.idle(now) {
			delete(d.queues, k)
			d.queueOrder = slices.DeleteFunc(d.queueOrder, func(o *queue) bool { return o == q })
		}
	}
	for _, g := range d.groups {
		g.shares.Expire(now)
	}
	for id, h := range d.holdTimes {
		if h.count == 0 && now.Sub(h.at) > holdTTL {
			delete(d.holdTimes, id)
		}
	}
}
