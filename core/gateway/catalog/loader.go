package catalog

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/process/rendezvous"
)

const (
	// ReadersPerZone is how many instances of a zone read the store when all start
	// together: with two, the zone still gets the entries when one fails.
	ReadersPerZone = 2
	// SmallZoneSize is the number of other instances of a zone below which each instance
	// reads the store: few reads are no load, and nobody has to wait.
	SmallZoneSize = 4
	// MaxWait is how long an instance waits for the entries from another one before it
	// reads the store itself.
	MaxWait = 3 * time.Second
	// discoveryTimeout is how long the list of the other instances is awaited, a single
	// call that normally takes 4 ms. Without it the size of the zone is unknown.
	discoveryTimeout = 500 * time.Millisecond
	// discoveryInterval is the time between two checks for the list.
	discoveryInterval = 2 * time.Millisecond
	// asksBeforeStore is how many other instances a reader asks first. While others run,
	// one of two nearly always has the entries; at a common start none has, and the
	// answers come within a millisecond.
	asksBeforeStore = 2
	// HoldTime is how long an instance holds a request for a page that it does not have
	// yet. It gives the pages that it has while it reads the others.
	HoldTime = time.Second
	// askPause is the time between two requests to the same instance.
	askPause = 100 * time.Millisecond
	// storeRetryDelay is how long other instances are asked again after a page from the
	// store failed.
	storeRetryDelay = time.Second
)

// Answer is what came of a request to another instance.
type Answer int

// Answers of another instance.
const (
	Incomplete Answer = iota + 1 // it does not have the page yet, or only an outdated one
	Busy                         // it serves as many others as it can
	Failed                       // no connection, no answer in time, or a version without the transfer
)

// StepKind is the kind of a Step.
type StepKind int

// Kinds of steps.
const (
	Wait      StepKind = iota // wait until Until, then call Next again
	Ask                       // ask the instance From for its entries
	ReadStore                 // read the entries from the store
)

// Step is the next action of an instance that needs all entries.
type Step struct {
	Kind  StepKind
	From  string
	Hold  time.Duration // how long From may hold the request until it has all entries
	Until clock.Time
}

// Loader decides from where one instance gets all entries. It is not safe for concurrent
// use. Losing it means that the instance begins anew.
type Loader struct {
	self, zone string
	began      clock.Time
	storeDue   clock.Time            // when the store is read if nobody gave the entries
	failed     map[string]bool       // instances that do not offer the entries
	askedAt    map[string]clock.Time // last request, by instance
	advised    []string              // instances that have the entries, according to a busy one
	asks       int                   // since the last failed read of the store
}

// NewLoader returns the Loader of an instance that needs the entries from now on.
func NewLoader(now clock.Time, self, zone string) *Loader {
	return &Loader{self: self, zone: zone, began: now, storeDue: now.Add(MaxWait), failed: make(map[string]bool), askedAt: make(map[string]clock.Time)}
}

// Next returns the next step. The peers are the other instances of the zone that are known
// and not stopping; listed says whether the list of instances was read.
func (l *Loader) Next(now clock.Time, peers []string, listed bool) Step {
	if !listed && !now.Reached(l.began.Add(discoveryTimeout)) {
		return Step{Until: now.Add(discoveryInterval)}
	}
	var candidates []id.Instance
	for _, p := range peers {
		if !l.failed[p] {
			candidates = append(candidates, id.Instance(p))
		}
	}
	if len(candidates) < SmallZoneSize && len(peers) < SmallZoneSize || len(candidates) == 0 {
		return Step{Kind: ReadStore}
	}
	self := id.Instance(l.self)
	readers := rendezvous.Rank("servers/"+l.zone, append(slices.Clone(candidates), self), ReadersPerZone)
	switch {
	case slices.Contains(readers, self) && l.asks >= asksBeforeStore, now.Reached(l.storeDue):
		return Step{Kind: ReadStore}
	case slices.Contains(readers, self):
		if s := l.ask(now, without(candidates, readers), 0); s.Kind == Ask {
			return s
		}
		return Step{Kind: ReadStore}
	}
	if advised := l.among(candidates); len(advised) > 0 {
		if s := l.ask(now, advised, 0); s.Kind == Ask {
			return s
		}
	}
	return l.ask(now, without(readers, []id.Instance{self}), HoldTime)
}

// ask returns the request to one of the instances, or a wait until one of them may be asked
// again. Rendezvous hashing spreads the requests over the instances.
func (l *Loader) ask(now clock.Time, instances []id.Instance, hold time.Duration) Step {
	var free []id.Instance
	next := min(now.Add(askPause), max(l.storeDue, now.Add(1)))
	for _, c := range instances {
		if at, asked := l.askedAt[string(c)]; asked && now.Sub(at) < askPause {
			next = min(next, at.Add(askPause))
			continue
		}
		free = append(free, c)
	}
	if len(free) == 0 {
		return Step{Until: next}
	}
	chosen := string(rendezvous.Owner(l.self, free))
	l.askedAt[chosen] = now
	l.asks++
	return Step{Kind: Ask, From: chosen, Hold: max(0, min(hold, l.storeDue.Sub(now)))}
}

// among returns the advised instances that are candidates.
func (l *Loader) among(candidates []id.Instance) []id.Instance {
	return slices.DeleteFunc(slices.Clone(candidates), func(c id.Instance) bool { return !slices.Contains(l.advised, string(c)) })
}

// without returns the instances that are not in others.
func without(instances, others []id.Instance) []id.Instance {
	return slices.DeleteFunc(slices.Clone(instances), func(c id.Instance) bool { return slices.Contains(others, c) })
}

// HandleAnswer records that an instance did not give its entries. A busy one names others
// that have them.
func (l *Loader) HandleAnswer(now clock.Time, from string, a Answer, others []string) {
	l.askedAt[from] = now
	switch a {
	case Failed:
		l.failed[from] = true
	case Busy:
		l.advised = others
	}
	if a != Busy {
		l.advised = slices.DeleteFunc(l.advised, func(name string) bool { return name == from })
	}
}

// HandleStoreFailure records that reading a page from the store failed. Other instances are
// asked again before the next attempt, also those that failed: they may have the entries
// by now.
func (l *Loader) HandleStoreFailure(now clock.Time) {
	l.storeDue, l.asks = now.Add(storeRetryDelay), 0
	clear(l.failed)
}
