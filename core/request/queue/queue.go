// Package queue is the owner's side of the queues of one availability zone:
// one queue for each model, adapter or plain service. It decides which request
// goes next, and to which backend server.
//
// A queue is soft state. If its owner is lost, the entries, which still hold
// their requests, ask the next owner; two owners at a time cost some order and
// may crowd a server, but no request. README.md gives the policy.
package queue

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
	"oleanderdale.org/core/request/due"
)

// The defaults of Settings.
const (
	DefaultMaxQueueLength     = 1024
	DefaultMaxBatchDelay      = 30 * time.Second
	DefaultInitialServiceTime = 500 * time.Millisecond
	DefaultReviewInterval     = 50 * time.Millisecond
	DefaultStaleAfter         = 2500 * time.Millisecond
	DefaultGrantCheckInterval = 2 * time.Second
	DefaultFailureBackoff     = time.Second
	DefaultSuspectDelay       = time.Second
	DefaultRefusedDemandTTL   = 30 * time.Second
)

// Settings of an Owner; a zero field takes its default.
type Settings struct {
	Instance id.Instance
	Zone     id.Zone
	// MaxQueueLength bounds the requests that wait for one target.
	MaxQueueLength int
	// MaxBatchDelay is the longest that a queue may pass its batch requests over
	// while it grants turns to others.
	MaxBatchDelay time.Duration
	// InitialServiceTime stands for the service time until one is measured.
	InitialServiceTime time.Duration
	// ReviewInterval is how often a queue looks again for servers that became
	// ready and for requests that can't be served in time any more.
	ReviewInterval time.Duration
	// StaleAfter is when a waiting request is dropped that its entry does not
	// ask for any more.
	StaleAfter time.Duration
	// GrantCheckInterval is how often a turn in use is sent again, so that an entry
	// whose TurnDone was lost gives it back.
	GrantCheckInterval time.Duration
	// FailureBackoff is how long a server gets nothing new after it broke a call.
	FailureBackoff time.Duration
	// SuspectDelay is how long the next suspect of the same digest waits after
	// one broke its server, so that the word of the crash arrives first.
	SuspectDelay time.Duration
	// RefusedDemandTTL is how long a request that was refused because its target is
	// not loaded goes on counting as a demand.
	RefusedDemandTTL time.Duration
	// Picker chooses among the servers; default DefaultPicker().
	Picker Picker
	// FIFO is a baseline for measurements: one line for all accounts and
	// classes, by arrival.
	FIFO bool
}

func (s Settings) withDefaults() Settings {
	s.MaxQueueLength = cmp.Or(s.MaxQueueLength, DefaultMaxQueueLength)
	s.MaxBatchDelay = cmp.Or(s.MaxBatchDelay, DefaultMaxBatchDelay)
	s.InitialServiceTime = cmp.Or(s.InitialServiceTime, DefaultInitialServiceTime)
	s.ReviewInterval = cmp.Or(s.ReviewInterval, DefaultReviewInterval)
	s.StaleAfter = cmp.Or(s.StaleAfter, DefaultStaleAfter)
	s.GrantCheckInterval = cmp.Or(s.GrantCheckInterval, DefaultGrantCheckInterval)
	s.FailureBackoff = cmp.Or(s.FailureBackoff, DefaultFailureBackoff)
	s.SuspectDelay = cmp.Or(s.SuspectDelay, DefaultSuspectDelay)
	s.RefusedDemandTTL = cmp.Or(s.RefusedDemandTTL, DefaultRefusedDemandTTL)
	if s.Picker == nil {
		s.Picker = DefaultPicker()
	}
	return s
}

// Reason says why a turn is refused; it travels in message.TurnRefused.
type Reason string

// The reasons.
const (
	ReasonDeadline Reason = "deadline"   // can't be served in time here
	ReasonFull     Reason = "queue-full" // and this account has its part of it
	ReasonNoServer Reason = "no-backend" // this zone has no server for the target
	ReasonMoved    Reason = "moved"      // ask the next owner; nothing else is wrong
)

// Target is what a queue is for: an artifact or a plain service.
type Target struct {
	Artifact id.Artifact
	Service  id.Service
}

func compareTargets(a, b Target) int {
	return cmp.Or(cmp.Compare(a.Artifact, b.Artifact), cmp.Compare(a.Service, b.Service))
}

// Key is the rendezvous key of the queue of t in zone z.
func (t Target) Key(z id.Zone) string {
	if t.Service != "" {
		return "queue/" + string(z) + "/service/" + string(t.Service)
	}
	return "queue/" + string(z) + "/artifact/" + string(t.Artifact)
}

// request is one request that waits for a turn or has one.
type request struct {
	ask            message.TurnAsk
	requester      id.Instance
	queue          *targetQueue
	level          int
	deadline       clock.Time // on this instance's clock
	enqueuedAt     clock.Time
	estimatedWait  time.Duration // of its wait, when it entered
	lastAsked      clock.Time    // when its entry last asked
	virtualArrival float64       // virtual time of arrival
	parked         bool
	reservedServer *server // kept free for it, an Alone request

	server    *server // nil while it waits
	address   string
	grantedAt clock.Time
}

// Owner holds the queues that this instance owns.
type Owner struct {
	settings Settings
	members  process.Members
	replicas ReplicaSource

	check *invariant.Checker

	weights         map[id.Account]float64
	queues          map[Target]*targetQueue
	sortedQueues    []*targetQueue // sorted by target
	nextQueue       int            // index in order of the queue to look at first
	requests        map[id.Request]*request
	timers          due.Timers[id.Request]
	queueLength     int
	nextReview      clock.Time
	servers         map[id.Backend]*server
	aloneDigests    map[id.Digest]clock.Time // digest to when another may run; Never while one runs
	draining        bool
	candidateBuffer []Candidate
	accuracy        WaitAccuracy

	hooks hooks
}

// hooks switch one safeguard off each, to show in tests that a check fires.
type hooks struct {
	ignoreConcurrency bool
	ignoreAlone       bool
	ignoreBatchBound  bool
	ignoreDeadline    bool
}

// New returns an Owner without queues.
func New(set Settings, members process.Members, replicas ReplicaSource, check *invariant.Checker) *Owner {
	return &Owner{
		settings: set.withDefaults(), members: members, replicas: replicas, check: check,

		weights:      make(map[id.Account]float64),
		queues:       make(map[Target]*targetQueue),
		requests:     make(map[id.Request]*request),
		servers:      make(map[id.Backend]*server),
		aloneDigests: make(map[id.Digest]clock.Time),
		nextReview:   clock.Never, accuracy: newAccuracy(),
	}
}

// Configure takes the accounts' weights of a new configuration.
func (o *Owner) Configure(_ clock.Time, c *config.Config) {
	clear(o.weights)
	for name, a := range c.Accounts {
		o.weights[name] = a.Weight
	}
}

func (o *Owner) weight(a id.Account) float64 {
	if w := o.weights[a]; w > 0 {
		return w
	}
	return 1
}

// Tick implements process.Machine.
func (o *Owner) Tick(now clock.Time, out *event.Outbox) {
	o.handleTimers(now, out)
	if now.Reached(o.nextReview) {
		o.reviewAll(now, out)
	}
}

func (o *Owner) handleTimers(now clock.Time, out *event.Outbox) {
	for !o.hooks.ignoreDeadline {
		r, ok := o.timers.Pop(now)
		if !ok {
			return
		}
		o.handleTimer(now, o.requests[r], out)
	}
}

// Next implements process.Machine.
func (o *Owner) Next() clock.Time { return min(o.timers.Next(), o.nextReview) }

// ServersChanged looks at once for servers that became ready; call it when a load
// report has come in.
func (o *Owner) ServersChanged(now clock.Time, out *event.Outbox) {
	o.handleTimers(now, out)
	if o.queueLength > 0 {
		o.grantAll(now, out)
	}
}

// RemoveInstance drops all that an instance asked for; call it when the instance is
// known to be gone.
func (o *Owner) RemoveInstance(now clock.Time, inst id.Instance, out *event.Outbox) {
	o.handleTimers(now, out)
	var gone []id.Request
	for r, e := range o.requests {
		if e.requester == inst {
			gone = append(gone, r)
		}
	}
	slices.Sort(gone)
	for _, r := range gone {
		o.removeRequest(now, o.requests[r])
	}
	if len(gone) > 0 {
		o.grantAll(now, out)
	}
}

// Drain sends all that waits, and whatever asks later, to the next owner. Turns
// in use go on.
func (o *Owner) Drain(now clock.Time, out *event.Outbox) {
	o.draining = true
	for _, r := range o.waitingRequests() {
		o.refuse(now, o.requests[r], ReasonMoved, 0, out)
	}
}

// QueueLength returns the number of requests that wait.
func (o *Owner) QueueLength() int { return o.queueLength }

// TurnsInUse returns the number of turns in use.
func (o *Owner) TurnsInUse() int { return len(o.requests) - o.queueLength }

func (o *Owner) waitingRequests() []id.Request {
	var rs []id.Request
	for r, e := range o.requests {
		if e.server == nil {
			rs = append(rs, r)
		}
	}
	slices.Sort(rs)
	return rs
}
