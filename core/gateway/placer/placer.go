// Package placer decides which model and adapter each engine holds, over the
// whole fleet. It runs at the instance that holds the lease on orders.
//
// There are more models than places. A request for one that is not resident
// waits for a swap: an idle model is unloaded from an engine, and the wanted one
// loaded where that is fastest. A copy in an engine's memory or on its disk is
// there in about a second, one from the weight store takes far longer and is
// rationed. Each engine carries out one order at a time (its lane); busy
// models get as many engines as their arrivals need.
//
// Each order names the number of orders that the engine has accepted, so an
// order that is carried out late, after newer ones, does nothing. An order
// without an answer is sent again as it was: of the two, one takes effect.
package placer

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/regions"
	"oleanderdale.org/core/invariant"
)

const (
	// arrivalsPerReplica is the rate, in requests a second, that one engine is
	// given of one model. A prompt of 650 tokens takes 17 ms of an engine's
	// time, so 14 a second leave three quarters of it for generating and for
	// bursts.
	arrivalsPerReplica = 14.0
	// rateWindow is the time constant of the arrival rates: a model whose
	// demand jumps gets its second replica within two seconds.
	rateWindow = 1500 * time.Millisecond
	// busyRate is the rate from which a model is kept on two engines, so that
	// the loss of one leaves its callers served.
	busyRate = 3.0
	// slotsUsed is the part of an engine's slots that the requests of one busy
	// model should take; the rest is for bursts and for the other models there.
	slotsUsed = 0.25
	// storeAtOnce is how many loads from the weight store run at full speed;
	// more only slow each other.
	storeAtOnce = 4
	// storeBurst is how many loads may begin at once under the store's rate.
	storeBurst = 2.0
	// orderRepeat is when an order without an answer is sent again.
	orderRepeat = 300 * time.Millisecond
	// busyRepeat is when an order is tried again that met another one under
	// way; an idle model is dropped within some milliseconds.
	busyRepeat = 25 * time.Millisecond
	// conflictLimit is how many refusals in a row are met by trying again;
	// then the engine is asked what it holds.
	conflictLimit = 6
	// adapterLoad is when an adapter can be used after its order was accepted;
	// 10 ms is the longest load while the way from the store is free.
	adapterLoad = 12 * time.Millisecond
	// askAgain is the time between two questions to an engine.
	askAgain = 150 * time.Millisecond
	// loadSlack is how long after its expected end a load is asked for.
	loadSlack = 20 * time.Millisecond
	// loadOverdue times the expected time is when a load is given up.
	loadOverdue = 4
	// overdueBehind is how much younger than it is a want counts that can't be
	// on time. When more swaps are wanted than the engines can make, the oldest
	// first would make all of them late; so those that can be on time go first,
	// for as long as an overdue one is still served before its caller leaves.
	// Virtual time, 9 engines and 100 models, 20 wants a second: of 760, 395 are
	// on time instead of 264, the longest wait is 7.9 s instead of 5.9.
	overdueBehind = 3 * time.Second
	// settledFor is how long a model stays at least after its load, for the
	// requests that it was loaded for.
	settledFor = 700 * time.Millisecond
)

// TypicalSwapTime is what a swap takes from a disk, with the unload and the telling:
// a want that is due sooner can't be on time.
const TypicalSwapTime = 1200 * time.Millisecond

// Key names a model or an adapter of it.
type Key struct {
	Group   string
	Model   string
	Adapter string // "": the model itself
	// AllowedRegions are the regions in which the requests may run.
	AllowedRegions regions.Set
}

// model returns the key of the model itself, wherever it is.
func (k Key) model() Key { return Key{Group: k.Group, Model: k.Model} }

// Demand is what waits for a key over all instances.
type Demand struct {
	Requests int
	Since    clock.Time // of the oldest
	Priority int        // of the most urgent; 0 goes first
	// ObjectiveDeadline is when the objective of the newest is missed; 0: it has none.
	ObjectiveDeadline clock.Time
	// Saturated says that some engines hold the model, and all of them are full.
	Saturated bool
}

// Merge returns what waits for a key in two places.
func (w Demand) Merge(o Demand) Demand {
	return Demand{
		Requests: w.Requests + o.Requests, Since: min(w.Since, o.Since),
		Priority: min(w.Priority, o.Priority), ObjectiveDeadline: max(w.ObjectiveDeadline, o.ObjectiveDeadline), Saturated: w.Saturated || o.Saturated,
	}
}

// OrderKind says what an order does.
type OrderKind string

// The kinds of order.
const (
	Load   OrderKind = "load"
	Unload OrderKind = "unload"
)

// Order is an order to one engine. Precondition is the number of orders that
// the engine must have accepted before.
type Order struct {
	Server       string
	Address      string
	Born         int64
	Kind         OrderKind
	Model        string
	Adapter      string
	Precondition int64
}

// OrderResult is what an engine said to an order.
type OrderResult int

// The answers.
const (
	Accepted    OrderResult = iota // it is being carried out
	AlreadyDone                    // nothing is left to do
	Busy                           // another order is under way, or the precondition fails
	Fenced                         // a higher fencing number was seen
	WrongServer                    // the server at the address is another one
	NotFound                       // there is no such model or adapter
	NoResponse                     // no answer: it may be carried out, now or later
)

// Report is what an engine says of itself when asked.
type Report struct {
	Sequence int64
	Busy     bool
	Holdings []directory.LoadedModel // with adapters that are on their way
}

// Placer holds the view of all engines. It is not safe for concurrent use.
type Placer struct {
	check    *invariant.Checker
	lanes    map[string]*lane
	wants    map[Key]Demand
	rates    map[string]*rate // by model
	planners int              // that share the weight store
	tokens   float64          // loads from the weight store that may begin
	tokensAt clock.Time
	refused  map[Key]clock.Time
	// storeClaimed is when a model whose callers find no room last asked for the
	// weight store.
	storeClaimed clock.Time
	expected     map[Key]clock.Time // when a model that waits is there; without adapters
	reach        func(zone string) Reachability

	// Made anew for each plan.
	ordered []*lane                 // by id
	held    map[Key]int             // engines that hold a model, or will
	running map[string]int          // requests by model, waiting ones included
	waitsOn map[Key]bool            // models that something waits for
	slots   int                     // of an engine
	ahead   map[*lane]time.Duration // work of a lane's next orders, by what comes first
	atStore int                     // loads that wait for the weight store
}

type rate struct {
	perSecond float64
	updated   clock.Time
	last      clock.Time // arrival
}

// New returns a Placer that knows no engine.
func New(check *invariant.Checker) *Placer {
	return &Placer{
		check: check, lanes: make(map[string]*lane), wants: make(map[Key]Demand),
		rates: make(map[string]*rate), refused: make(map[Key]clock.Time),
		expected: make(map[Key]clock.Time), ahead: make(map[*lane]time.Duration),
	}
}

// RecordArrivals counts requests for a model.
func (p *Placer) RecordArrivals(now clock.Time, model string, n int) {
	r := p.rate(now, model)
	r.perSecond += float64(n) / rateWindow.Seconds()
	r.last = now
}

// rate returns the rate of a model's arrivals, decayed to now.
func (p *Placer) rate(now clock.Time, model string) *rate {
	r := p.rates[model]
	if r == nil {
		r = &rate{updated: now}
		p.rates[model] = r
	}
	if past := now.Sub(r.updated); past > 0 {
		r.perSecond /= 1 + past.Seconds()/rateWindow.Seconds()
		r.updated = now
	}
	return r
}

// SetReachability says how the engines of each zone can be ordered.
func (p *Placer) SetReachability(reach func(zone string) Reachability) { p.reach = reach }

// ForgetEngines forgets the engines: others give them orders from now on.
func (p *Placer) ForgetEngines() {
	clear(p.lanes)
	clear(p.expected)
	p.ordered = nil
}

// SetDemand replaces what waits.
func (p *Placer) SetDemand(wants map[Key]Demand) { p.wants = wants }

// replicas is the number of engines that a model's arrivals need.
func (p *Placer) replicas(now clock.Time, model string) int {
	perSecond := p.rate(now, model).perSecond
	if perSecond < busyRate {
		return 0
	}
	byLoad := float64(p.running[model]) / (slotsUsed * float64(p.slots))
	return max(2, int(max(perSecond/arrivalsPerReplica, byLoad))+1)
}

// Sync takes the newest entries of the engines of a group.
func (p *Placer) Sync(now clock.Time, servers []*directory.Server, groups map[string]*manifest.Group) {
	present := make(map[string]bool, len(servers))
	for _, s := range servers {
		g := groups[s.Group]
		if g == nil || g.Engine == nil {
			continue
		}
		present[s.ID] = true
		l := p.lanes[s.ID]
		if l == nil || l.born != s.Incarnation {
			l = newLane(s, now)
			p.lanes[s.ID] = l
		}
		if p.reach != nil {
			l.reached(p.reach(s.Zone))
		}
		l.sync(now, s, s.PublishedEntry(), g.Engine)
	}
	for id := range p.lanes {
		if !present[id] {
			delete(p.lanes, id)
		}
	}
	p.index(now)
}

// index makes what a plan looks up many times.
func (p *Placer) index(now clock.Time) {
	p.ordered = p.ordered[:0]
	for _, id := range sortedKeys(p.lanes) {
		p.ordered = append(p.ordered, p.lanes[id])
	}
	p.held, p.running, p.slots = make(map[Key]int), make(map[string]int), 1
	for _, l := range p.ordered {
		p.slots = max(p.slots, l.engine.Slots)
		for model := range l.models {
			p.running[model] += l.server.RunningForModel(model)
			if !l.leaving {
				p.held[Key{Group: l.group, Model: model}]++
			}
		}
		if model := l.coming(); model != "" && !l.leaving {
			p.held[Key{Group: l.group, Model: model}]++
		}
		if model := l.reserved(now); model != "" && !l.leaving && l.models[model] == nil {
			p.held[Key{Group: l.group, Model: model}]++
		}
	}
	p.waitsOn = make(map[Key]bool, len(p.wants))
	for k, w := range p.wants {
		p.waitsOn[k.model()] = true
		// What finds no room counts as far as it is like what runs: the first engines
		// more show how much they take.
		p.running[k.Model] += min(w.Requests, max(p.running[k.Model], p.slots))
	}
}

// UsableModels returns what an engine holds that requests may use now.
func (p *Placer) UsableModels(now clock.Time, server string) (born int64, holdings []directory.LoadedModel, ok bool) {
	l := p.lanes[server]
	if l == nil || !l.known {
		return 0, nil, false
	}
	return l.born, l.usable(now), true
}

// DueQueries returns the engines that have to be asked what they hold, and marks
// them as asked.
func (p *Placer) DueQueries(now clock.Time) []string {
	var ids []string
	for _, l := range p.ordered {
		if l.askDue(now) {
			l.askedAt = now
			ids = append(ids, l.id)
		}
	}
	return ids
}

// HandleReport takes an engine's answer to a question that was sent at asked.
func (p *Placer) HandleReport(now clock.Time, server string, born int64, asked clock.Time, r Report) {
	if l := p.lanes[server]; l != nil && l.born == born {
		l.reported(now, asked, r)
	}
}

// HandleResult takes the answer to an order.
func (p *Placer) HandleResult(now clock.Time, o Order, a OrderResult) {
	l := p.lanes[o.Server]
	if l == nil || l.born != o.Born || l.pending == nil || l.pending.order != o {
		return
	}
	if a == NotFound {
		p.refused[Key{Group: l.group, Model: o.Model, Adapter: o.Adapter}] = now
	}
	l.answered(now, o, a)
}

// refuseFor is how long an order that an engine called impossible is not given
// again; a new configuration may have made it possible.
const refuseFor = 5 * time.Second

func (p *Placer) impossible(now clock.Time, k Key) bool {
	at, ok := p.refused[k]
	return ok && now.Sub(at) < refuseFor
}

// HasPendingWork reports whether something waits or an order is under way, so that
// Plan should be called again soon.
func (p *Placer) HasPendingWork() bool {
	if len(p.wants) > 0 {
		return true
	}
	for _, l := range p.lanes {
		if l.pending != nil || l.loading != nil || l.mustAsk || !l.known {
			return true
		}
	}
	return false
}

// String names an answer for logs and metrics.
func (a OrderResult) String() string {
	return [...]string{"accepted", "holds", "busy", "fenced", "misplaced", "impossible", "silent"}[a]
}
