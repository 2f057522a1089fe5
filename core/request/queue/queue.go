// Package queue implements the owner's side of the queues of one availability
// zone. There is one queue for each model, adapter or plain service. The instance
// that owns a queue decides which request gets the next turn, that is, the
// permission to be sent to a backend server, and at which server.
//
// A queue is not persistent. If its owner is lost, the instances that hold the
// requests ask the next owner. If two instances act as owners at the same time,
// the order of requests is less strict and a server may be overloaded, but no
// request is lost. README.md describes the policy.
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

// Default values of Settings.
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

// Settings configures an Owner. A zero field takes its default.
type Settings struct {
	Instance id.Instance
	Zone     id.Zone
	// MaxQueueLength limits the requests that wait for one target.
	MaxQueueLength int
	// MaxBatchDelay is how long a queue may grant turns to other classes while
	// batch requests wait.
	MaxBatchDelay time.Duration
	// InitialServiceTime is assumed until a service time has been measured.
	InitialServiceTime time.Duration
	// ReviewInterval is the time between two reviews of a queue, which find
	// servers that became ready and requests that can no longer be served in time.
	ReviewInterval time.Duration
	// StaleAfter is the time after which a waiting request is dropped if its
	// requester has stopped asking for it.
	StaleAfter time.Duration
	// GrantCheckInterval is the time between two messages that repeat a grant in
	// use, so that a requester whose TurnRelease message was lost sends it again.
	GrantCheckInterval time.Duration
	// FailureBackoff is how long a server gets no new requests after a failed one.
	FailureBackoff time.Duration
	// SuspectDelay is how long the next suspect of the same digest waits after
	// one crashed its server, so that the news of the crash arrives first.
	SuspectDelay time.Duration
	// RefusedDemandTTL is how long a request counts as demand after it was refused
	// because its target is not loaded.
	RefusedDemandTTL time.Duration
	// Picker chooses the server; the default is DefaultPicker().
	Picker Picker
	// FIFO serves all accounts and classes in the order of arrival. It is the
	// baseline for measurements.
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

// Reason says why a turn is refused. It is sent in message.TurnRefused.
type Reason string

// The reasons.
const (
	ReasonDeadline Reason = "deadline"   // can't be served by its deadline in this zone
	ReasonFull     Reason = "queue-full" // the queue is full, and no other account has a larger share of it
	ReasonNoServer Reason = "no-backend" // the zone has no server for the target
	ReasonMoved    Reason = "moved"      // the owner is stopping; the next one should be asked
)

// Target is what a queue serves: an artifact (model or adapter) or a plain service.
type Target struct {
	Artifact id.Artifact
	Service  id.Service
}

func compareTargets(a, b Target) int {
	return cmp.Or(cmp.Compare(a.Artifact, b.Artifact), cmp.Compare(a.Service, b.Service))
}

// Key returns the key from which rendezvous hashing determines the owner of the
// queue of t in zone z.
func (t Target) Key(z id.Zone) string {
	if t.Service != "" {
		return "queue/" + string(z) + "/service/" + string(t.Service)
	}
	return "queue/" + string(z) + "/artifact/" + string(t.Artifact)
}

// request is a request that waits for a turn or has one.
type request struct {
	ask            message.TurnRequest
	requester      id.Instance
	queue          *targetQueue
	level          int        // index of its class, see levelUrgent
	deadline       clock.Time // by the clock of this instance
	enqueuedAt     clock.Time
	estimatedWait  time.Duration // estimated when it was enqueued
	lastAsked      clock.Time    // when its requester last asked
	virtualArrival float64       // virtual time of its class at its arrival
	parked         bool          // see targetQueue.parked
	reservedServer *server       // kept free for this request, which must run alone

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
	nextQueue       int            // index in sortedQueues of the queue to consider first
	requests        map[id.Request]*request
	timers          due.Timers[id.Request]
	queueLength     int
	nextReview      clock.Time
	servers         map[id.Backend]*server
	aloneDigests    map[id.Digest]clock.Time // digest to when its next request may run; Never while one runs
	draining        bool
	candidateBuffer []Candidate
	accuracy        WaitAccuracy

	hooks hooks
}

// hooks disable one safeguard each, so that tests can show that its failure is
// detected.
type hooks struct {
	ignoreConcurrency bool // exceed the concurrency of servers
	ignoreAlone       bool // grant requests that must run alone like others
	ignoreBatchBound  bool // do not prefer batch requests after MaxBatchDelay
	ignoreDeadline    bool // do not handle timers of requests
}

// New returns an Owner without queues.
func New(settings Settings, members process.Members, replicas ReplicaSource, check *invariant.Checker) *Owner {
	return &Owner{
		settings: settings.withDefaults(), members: members, replicas: replicas, check: check,

		weights:      make(map[id.Account]float64),
		queues:       make(map[Target]*targetQueue),
		requests:     make(map[id.Request]*request),
		servers:      make(map[id.Backend]*server),
		aloneDigests: make(map[id.Digest]clock.Time),
		nextReview:   clock.Never, accuracy: newAccuracy(),
	}
}

// Configure sets the weights of the accounts from a new configuration.
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

// handleTimers handles all timers of requests that have expired.
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

// ServersChanged grants turns at servers that may have become ready. It is called
// after each load report.
func (o *Owner) ServersChanged(now clock.Time, out *event.Outbox) {
	o.handleTimers(now, out)
	if o.queueLength > 0 {
		o.grantAll(now, out)
	}
}

// RemoveInstance removes all requests of an instance that is known to be gone.
func (o *Owner) RemoveInstance(now clock.Time, instance id.Instance, out *event.Outbox) {
	o.handleTimers(now, out)
	var gone []id.Request
	for r, req := range o.requests {
		if req.requester == instance {
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

// Drain refuses all waiting requests, and all later ones, so that they go to the
// next owner. Turns in use continue.
func (o *Owner) Drain(now clock.Time, out *event.Outbox) {
	o.draining = true
	for _, r := range o.waitingRequests() {
		o.refuse(now, o.requests[r], ReasonMoved, 0, out)
	}
}

// QueueLength returns the number of requests that wait in all queues.
func (o *Owner) QueueLength() int { return o.queueLength }

// TurnsInUse returns the number of granted turns that were not given back.
func (o *Owner) TurnsInUse() int { return len(o.requests) - o.queueLength }

func (o *Owner) waitingRequests() []id.Request {
	var waiting []id.Request
	for r, req := range o.requests {
		if req.server == nil {
			waiting = append(waiting, r)
		}
	}
	slices.Sort(waiting)
	return waiting
}
