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
	DefaultMaxWaiting     = 1024
	DefaultBatchBound     = 30 * time.Second
	DefaultInitialService = 500 * time.Millisecond
	DefaultReviewEvery    = 50 * time.Millisecond
	DefaultStaleAfter     = 2500 * time.Millisecond
	DefaultGrantCheck     = 2 * time.Second
	DefaultBrokenHold     = time.Second
	DefaultAloneGap       = time.Second
	DefaultMissedFor      = 30 * time.Second
)

// Settings of an Owner; a zero field takes its default.
type Settings struct {
	Instance id.Instance
	Zone     id.Zone
	// MaxWaiting bounds the requests that wait for one target.
	MaxWaiting int
	// BatchBound is the longest that a queue may pass its batch requests over
	// while it grants turns to others.
	BatchBound time.Duration
	// InitialService stands for the service time until one is measured.
	InitialService time.Duration
	// ReviewEvery is how often a queue looks again for servers that became
	// ready and for requests that can't be served in time any more.
	ReviewEvery time.Duration
	// StaleAfter is when a waiting request is dropped that its entry does not
	// ask for any more.
	StaleAfter time.Duration
	// GrantCheck is how often a turn in use is sent again, so that an entry
	// whose TurnDone was lost gives it back.
	GrantCheck time.Duration
	// BrokenHold is how long a server gets nothing new after it broke a call.
	BrokenHold time.Duration
	// AloneGap is how long the next suspect of the same digest waits after
	// one broke its server, so that the word of the crash arrives first.
	AloneGap time.Duration
	// MissedFor is how long a request that was refused because its target is
	// not loaded goes on counting as a demand.
	MissedFor time.Duration
	// Picker chooses among the servers; default DefaultPicker().
	Picker Picker
	// FirstCome is a baseline for measurements: one line for all accounts and
	// classes, by arrival.
	FirstCome bool
}

func (s Settings) withDefaults() Settings {
	s.MaxWaiting = cmp.Or(s.MaxWaiting, DefaultMaxWaiting)
	s.BatchBound = cmp.Or(s.BatchBound, DefaultBatchBound)
	s.InitialService = cmp.Or(s.InitialService, DefaultInitialService)
	s.ReviewEvery = cmp.Or(s.ReviewEvery, DefaultReviewEvery)
	s.StaleAfter = cmp.Or(s.StaleAfter, DefaultStaleAfter)
	s.GrantCheck = cmp.Or(s.GrantCheck, DefaultGrantCheck)
	s.BrokenHold = cmp.Or(s.BrokenHold, DefaultBrokenHold)
	s.AloneGap = cmp.Or(s.AloneGap, DefaultAloneGap)
	s.MissedFor = cmp.Or(s.MissedFor, DefaultMissedFor)
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

// entry is one request that waits for a turn or has one.
type entry struct {
	ask      message.TurnRequest
	from     id.Instance
	queue    *targetQueue
	level    int
	deadline clock.Time // on this instance's clock
	entered  clock.Time
	estimate time.Duration // of its wait, when it entered
	heard    clock.Time    // when its entry last asked
	arrived  float64       // virtual time of arrival
	parked   bool
	reserved *server // kept free for it, an Alone request

	server  *server // nil while it waits
	address string
	granted clock.Time
}

// Owner holds the queues that this instance owns.
type Owner struct {
	set      Settings
	members  process.Members
	replicas Replicas

	check *invariant.Checker

	weights  map[id.Account]float64
	queues   map[Target]*targetQueue
	order    []*targetQueue // sorted by target
	next     int            // index in order of the queue to look at first
	entries  map[id.Request]*entry
	times    due.Times[id.Request]
	waiting  int
	review   clock.Time
	servers  map[id.Backend]*server
	alone    map[id.Digest]clock.Time // digest to when another may run; Never while one runs
	draining bool
	scratch  []Candidate
	accuracy Accuracy

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
func New(set Settings, members process.Members, replicas Replicas, check *invariant.Checker) *Owner {
	return &Owner{
		set: set.withDefaults(), members: members, replicas: replicas, check: check,

		weights: make(map[id.Account]float64),
		queues:  make(map[Target]*targetQueue),
		entries: make(map[id.Request]*entry),
		servers: make(map[id.Backend]*server),
		alone:   make(map[id.Digest]clock.Time),
		review:  clock.Never, accuracy: newAccuracy(),
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
	o.expire(now, out)
	if now.Reached(o.review) {
		o.reviewAll(now, out)
	}
}

func (o *Owner) expire(now clock.Time, out *event.Outbox) {
	for !o.hooks.ignoreDeadline {
		r, ok := o.times.Pop(now)
		if !ok {
			return
		}
		o.due(now, o.entries[r], out)
	}
}

// Next implements process.Machine.
func (o *Owner) Next() clock.Time { return min(o.times.Next(), o.review) }

// Changed looks at once for servers that became ready; call it when a load
// report has come in.
func (o *Owner) Changed(now clock.Time, out *event.Outbox) {
	o.expire(now, out)
	if o.waiting > 0 {
		o.pumpAll(now, out)
	}
}

// Lost drops all that an instance asked for; call it when the instance is
// known to be gone.
func (o *Owner) Lost(now clock.Time, inst id.Instance, out *event.Outbox) {
	o.expire(now, out)
	var gone []id.Request
	for r, e := range o.entries {
		if e.from == inst {
			gone = append(gone, r)
		}
	}
	slices.Sort(gone)
	for _, r := range gone {
		o.remove(now, o.entries[r])
	}
	if len(gone) > 0 {
		o.pumpAll(now, out)
	}
}

// Drain sends all that waits, and whatever asks later, to the next owner. Turns
// in use go on.
func (o *Owner) Drain(now clock.Time, out *event.Outbox) {
	o.draining = true
	for _, r := range o.sortedWaiting() {
		o.refuse(now, o.entries[r], ReasonMoved, 0, out)
	}
}

// Waiting returns the number of requests that wait.
func (o *Owner) Waiting() int { return o.waiting }

// Granted returns the number of turns in use.
func (o *Owner) Granted() int { return len(o.entries) - o.waiting }

func (o *Owner) sortedWaiting() []id.Request {
	var rs []id.Request
	for r, e := range o.entries {
		if e.server == nil {
			rs = append(rs, r)
		}
	}
	slices.Sort(rs)
	return rs
}
