// Package placer decides which models and adapters each engine loads, over the whole fleet.
// It runs at the instance that holds the lease on orders.
//
// Not all models fit into the memory of the engines. A request for a model that is not
// loaded waits for a swap: an idle model is unloaded from an engine, and the requested one
// is loaded on the engine where it is ready first. A copy in an engine's memory or on its
// disk is loaded in about a second. A load from the weight store takes far longer, and the
// rate of such loads is limited. Each engine executes one order at a time. Busy models are
// loaded on as many engines as their arrival rate needs.
//
// Each order names the number of orders that the engine has accepted before, so an order
// that reaches the engine late, after newer ones, has no effect. An order without a
// response is sent again unchanged: only one of the two copies takes effect.
package placer

import (
	"math"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/origin"
	"oleanderdale.org/core/gateway/regions"
	"oleanderdale.org/core/invariant"
)

const (
	// arrivalsPerReplica is the arrival rate of one model, in requests a second, that one
	// engine serves. The prompt of a request, 650 tokens, takes 17 ms of an engine's time,
	// so 14 a second leave three quarters of it for generating tokens and for bursts.
	arrivalsPerReplica = 14.0
	// rateWindow is the time constant of the arrival rates. With it, a model whose demand
	// jumps gets its second replica within two seconds.
	rateWindow = 1500 * time.Millisecond
	// lastingRateWindow is the time constant of the rates by which models compete for the
	// weight store. A load takes ten seconds, and a rarely used model has a request every few
	// seconds.
	lastingRateWindow = 20 * time.Second
	// minReplicatedRate is the arrival rate, in requests a second, from which a model is
	// kept on two engines, so that it is still served when one of them fails.
	minReplicatedRate = 3.0
	// targetSlotShare is the part of an engine's slots that the requests of one busy model
	// should use. The rest is for bursts and for the other models on the engine.
	targetSlotShare = 0.25
	// maxStoreLoads is how many loads from the weight store run at full speed at once. More
	// would only slow each other down.
	maxStoreLoads = 4
	// storeBurst is how many loads may start at once within the rate limit of the weight
	// store.
	storeBurst = 2.0
	// resendDelay is the time after which an order without a response is sent again.
	resendDelay = 300 * time.Millisecond
	// busyRetryDelay is the time after which an engine that refused an order as busy is
	// planned for again. Unloading an idle model takes a few milliseconds.
	busyRetryDelay = 25 * time.Millisecond
	// maxConflicts is how many orders in a row an engine may refuse as busy before it is
	// queried for its state.
	maxConflicts = 6
	// adapterLoadTime is the time from the acceptance of an order until its adapter is
	// usable. A load takes 10 ms at most while the path from the store is free.
	adapterLoadTime = 12 * time.Millisecond
	// maxAdapterTransfers is how many adapters are on their way from the weight store at a
	// time, over all engines, with load scheduling. The path from the store slows beyond
	// that, and each adapter would then arrive later.
	maxAdapterTransfers = 16
	// queryInterval is the least time between two queries to an engine.
	queryInterval = 150 * time.Millisecond
	// loadQueryDelay is how long after the expected end of a load the engine is queried.
	loadQueryDelay = 20 * time.Millisecond
	// loadTimeoutFactor times the expected duration is when a load is considered failed.
	loadTimeoutFactor = 4
	// overduePenalty is added to the arrival time of demand that can no longer meet its
	// objective, when demand is ordered by arrival. When more swaps are requested than the
	// engines can make, serving the oldest demand first would make all of it late. So demand
	// that can still meet its objective is served first, unless overdue demand is older by
	// more than the penalty; thus overdue demand is still served before its callers give up.
	overduePenalty = 3 * time.Second
	// minResidence is how long a model stays loaded at least, so that the requests that it
	// was loaded for can run.
	minResidence = 700 * time.Millisecond
)

// TypicalSwapTime is the duration of a swap with a load from disk, including the unload and
// the messages. Demand with less time left can't meet its objective.
const TypicalSwapTime = 1200 * time.Millisecond

// Key identifies a model or one of its adapters, with a restriction on where its requests
// may run.
type Key struct {
	Group   string
	Model   string
	Adapter string // empty for the model itself
	// AllowedRegions are the regions in which the requests may run.
	AllowedRegions regions.Set
	// Origin is the version of the engines' software at which streams must go on.
	Origin origin.Requirement
}

// unrestricted reports whether the requests may run on any engine of the group.
func (k Key) unrestricted() bool { return k.AllowedRegions == "" && !k.Origin.Begun }

// allows reports whether the requests may run on an engine.
func (k Key) allows(e *engineState) bool {
	return k.AllowedRegions.Allows(e.server.Region()) && k.Origin.Allows(e.server.Software)
}

// model returns the key of the model without adapter and restrictions.
func (k Key) model() Key { return Key{Group: k.Group, Model: k.Model} }

// Demand is the demand for a key by waiting requests, over all instances.
type Demand struct {
	Requests int
	Since    clock.Time // arrival of the oldest request
	Priority int        // of the most urgent request; 0 is the highest
	// ObjectiveDeadline is when the newest request misses its latency objective; 0 if it
	// has none.
	ObjectiveDeadline clock.Time
	// Saturated says that some engines hold the model and all of them are full.
	Saturated bool
}

// Merge returns the combined demand for one key from two sources.
func (d Demand) Merge(o Demand) Demand {
	return Demand{
		Requests: d.Requests + o.Requests, Since: min(d.Since, o.Since),
		Priority: min(d.Priority, o.Priority), ObjectiveDeadline: max(d.ObjectiveDeadline, o.ObjectiveDeadline), Saturated: d.Saturated || o.Saturated,
	}
}

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of order.
const (
	Load   OrderKind = "load"
	Unload OrderKind = "unload"
)

// Order is an order to one engine. The engine executes it only if the number of orders that
// it has accepted equals Precondition.
type Order struct {
	Server       string
	Address      string
	Incarnation  int64
	Kind         OrderKind
	Model        string
	Adapter      string
	Precondition int64
}

// OrderResult is the response of an engine to an order.
type OrderResult int

// The results of an order. Their numbers are sent between instances.
const (
	Accepted    OrderResult = iota // the engine executes the order
	AlreadyDone                    // the engine is in the requested state; nothing is left to do
	Busy                           // another order is in progress, or the precondition fails
	Fenced                         // the engine has seen a higher fencing number
	WrongServer                    // another server has the address now
	NotFound                       // the engine has no such model or adapter
	NoResponse                     // no response; the order may be executed, now or later
)

// Report is the state of an engine as it reports it.
type Report struct {
	Incarnation  int64 // start of the engine; 0 if it doesn't tell
	Sequence     int64
	Busy         bool
	LoadedModels []directory.LoadedModel // including adapters that are being loaded
}

// Placer holds the state of all engines and plans their orders. It is not safe for
// concurrent use.
type Placer struct {
	check         *invariant.Checker
	engines       map[string]*engineState
	demand        map[Key]Demand
	rates         map[string]*arrivalRate // by model
	storePlanners int                     // planners that share the weight store
	storeTokens   float64                 // loads from the weight store that may start now
	storeTokensAt clock.Time
	notFoundAt    map[Key]clock.Time
	lateOrders    map[string][]lateOrder // by server
	takenOver     map[string]clock.Time  // by zone: when this placer began to plan for it; none while another may
	// storeClaimedAt is when a model with saturated engines last requested a load from the
	// weight store.
	storeClaimedAt clock.Time
	expectedReady  map[Key]clock.Time // forecast of when a requested model is ready; keys without adapters
	reachability   func(zone string) Reachability
	loadScheduling bool
	storeSpeed     storeSpeed

	// The following fields are rebuilt for each plan.
	sortedEngines    []*engineState // by id
	holderCount      map[Key]int    // engines that hold a model or will hold it
	running          map[string]int // requests by model, including waiting ones
	hasDemand        map[Key]bool   // models that requests wait for
	slotsPerEngine   int
	queuedWork       map[*engineState]time.Duration // time that an engine needs for demand planned ahead of the current one
	queuedStoreLoads int                            // planned loads that wait for the weight store
}

type arrivalRate struct {
	perSecond   float64
	lasting     float64 // requests a second over lastingRateWindow
	updated     clock.Time
	lastArrival clock.Time
}

// New returns a Placer without engines.
func New(check *invariant.Checker) *Placer {
	return &Placer{
		check: check, engines: make(map[string]*engineState), demand: make(map[Key]Demand),
		rates: make(map[string]*arrivalRate), notFoundAt: make(map[Key]clock.Time), lateOrders: make(map[string][]lateOrder),
		takenOver:     make(map[string]clock.Time),
		expectedReady: make(map[Key]clock.Time), queuedWork: make(map[*engineState]time.Duration),
	}
}

// RecordArrivals counts n requests for a model that arrived.
func (p *Placer) RecordArrivals(now clock.Time, model string, n int) {
	r := p.arrivalRate(now, model)
	r.perSecond += float64(n) / rateWindow.Seconds()
	r.lasting += float64(n) / lastingRateWindow.Seconds()
	r.lastArrival = now
}

// arrivalRate returns the arrival rate of a model, decayed to now.
func (p *Placer) arrivalRate(now clock.Time, model string) *arrivalRate {
	r := p.rates[model]
	if r == nil {
		r = &arrivalRate{updated: now}
		p.rates[model] = r
	}
	if elapsed := now.Sub(r.updated); elapsed > 0 {
		r.perSecond /= 1 + elapsed.Seconds()/rateWindow.Seconds()
		r.lasting *= math.Exp(-elapsed.Seconds() / lastingRateWindow.Seconds())
		r.updated = now
	}
	return r
}

// SetLoadScheduling turns load scheduling on or off. With it, the number of concurrent loads
// from the weight store is learned, and models that only the weight store has are loaded in
// the order of their demand.
func (p *Placer) SetLoadScheduling(on bool) { p.loadScheduling = on }

// SetReachability sets the function that says whether the engines of a zone can be ordered.
func (p *Placer) SetReachability(reachability func(zone string) Reachability) {
	p.reachability = reachability
}

// ForgetEngines removes the state of all engines, since another instance gives them orders
// from now on.
func (p *Placer) ForgetEngines() {
	for _, e := range p.engines {
		p.recordAbandoned(e)
	}
	clear(p.engines)
	clear(p.expectedReady)
	p.TakeOver()
	p.sortedEngines = nil
}

// SetDemand replaces the demand of all instances.
func (p *Placer) SetDemand(demand map[Key]Demand) { p.demand = demand }

// requiredReplicas returns the number of engines that the arrivals of a model need.
func (p *Placer) requiredReplicas(now clock.Time, model string) int {
	perSecond := p.arrivalRate(now, model).perSecond
	if perSecond < minReplicatedRate {
		return 0
	}
	byLoad := float64(p.running[model]) / (targetSlotShare * float64(p.slotsPerEngine))
	return max(2, int(max(perSecond/arrivalsPerReplica, byLoad))+1)
}

// Sync updates the engines from their directory entries and removes those that are gone.
func (p *Placer) Sync(now clock.Time, servers []*directory.Server, groups map[string]*manifest.Group) {
	p.expireLateOrders(now)
	p.updateTakenOver(now, servers)
	present := make(map[string]bool, len(servers))
	for _, s := range servers {
		g := groups[s.Group]
		if g == nil || g.Engine == nil {
			continue
		}
		present[s.ID] = true
		e := p.engines[s.ID]
		if e != nil && e.incarnation != s.Incarnation {
			p.recordAbandoned(e)
		}
		if e == nil || e.incarnation != s.Incarnation {
			e = newEngineState(s, now)
			p.engines[s.ID] = e
		}
		if p.reachability != nil {
			e.setReachability(p.reachability(s.Zone))
		}
		e.setLateOrders(p.lateOrders[s.ID])
		p.observeLoad(now, e, func() { e.syncEntry(now, s, s.PublishedEntry(), g.Engine) })
		p.keepRoom(now, e)
	}
	for id, e := range p.engines {
		if !present[id] {
			p.recordAbandoned(e)
			delete(p.engines, id)
		}
	}
	p.ignoreLimitsOfAll()
	p.reindex(now)
}

// ignoreLimitsOfAll makes limited engines count in groups that have no others: there, more
// copies would help nobody.
func (p *Placer) ignoreLimitsOfAll() {
	unlimited := make(map[string]bool)
	for _, e := range p.engines {
		unlimited[e.group] = unlimited[e.group] || e.sharesLoad()
	}
	for _, e := range p.engines {
		e.limited = e.limited && unlimited[e.group]
	}
}

// reindex rebuilds the indexes that planning uses.
func (p *Placer) reindex(now clock.Time) {
	p.sortedEngines = p.sortedEngines[:0]
	for _, id := range sortedKeys(p.engines) {
		p.sortedEngines = append(p.sortedEngines, p.engines[id])
	}
	p.holderCount, p.running, p.slotsPerEngine = make(map[Key]int), make(map[string]int), 1
	for _, e := range p.sortedEngines {
		p.slotsPerEngine = max(p.slotsPerEngine, e.config.Slots)
		for model := range e.models {
			p.running[model] += e.server.RunningForModel(model)
			if e.sharesLoad() {
				p.holderCount[Key{Group: e.group, Model: model}]++
			}
		}
		if model := e.incomingModel(); model != "" && e.sharesLoad() {
			p.holderCount[Key{Group: e.group, Model: model}]++
		}
		if model := e.reservedModel(now); model != "" && e.sharesLoad() && e.models[model] == nil {
			p.holderCount[Key{Group: e.group, Model: model}]++
		}
	}
	p.hasDemand = make(map[Key]bool, len(p.demand))
	for k, d := range p.demand {
		p.hasDemand[k.model()] = true
		// Waiting requests count up to the number that runs already, or that one engine
		// can run: the first additional engines show how many more are needed.
		p.running[k.Model] += min(d.Requests, max(p.running[k.Model], p.slotsPerEngine))
	}
}

// UsableModels returns the models of an engine that requests may use now. ok is false while
// the state of the engine is unknown.
func (p *Placer) UsableModels(now clock.Time, server string) (incarnation int64, models []directory.LoadedModel, ok bool) {
	e := p.engines[server]
	if e == nil || !e.known {
		return 0, nil, false
	}
	return e.incarnation, e.usableModels(now), true
}

// DueQueries returns the engines that must be queried for their state, and marks them as
// queried.
func (p *Placer) DueQueries(now clock.Time) []string {
	var ids []string
	for _, e := range p.sortedEngines {
		if e.queryDue(now) {
			e.queriedAt = now
			ids = append(ids, e.id)
		}
	}
	return ids
}

// HandleReport applies an engine's response to a query that was sent at queriedAt.
func (p *Placer) HandleReport(now clock.Time, server string, incarnation int64, queriedAt clock.Time, r Report) {
	if e := p.engines[server]; e != nil && e.incarnation == incarnation {
		if e.restartedSinceEntry(r) {
			p.recordAbandoned(e)
			e.recordRestart(now, r)
		}
		p.observeLoad(now, e, func() { e.handleReport(now, queriedAt, r) })
	}
}

// HandleResult applies the result of an order.
func (p *Placer) HandleResult(now clock.Time, o Order, result OrderResult) {
	e := p.engines[o.Server]
	if result == NoResponse {
		p.recordUnanswered(o, now)
	}
	if e == nil || e.incarnation != o.Incarnation || e.pending == nil || e.pending.order != o {
		return
	}
	if result == NotFound {
		p.notFoundAt[Key{Group: e.group, Model: o.Model, Adapter: o.Adapter}] = now
	}
	e.handleResult(now, o, result)
	if e.loading != nil && e.loading.startedAt == now {
		e.loading.concurrent = p.storeLoads()
	}
}

// notFoundRetryDelay is how long an order that an engine answered with NotFound is not
// given again; by then a new configuration may have added the model or adapter.
const notFoundRetryDelay = 5 * time.Second

func (p *Placer) recentlyNotFound(now clock.Time, k Key) bool {
	at, ok := p.notFoundAt[k]
	return ok && now.Sub(at) < notFoundRetryDelay
}

// HasPendingWork reports whether there is demand or an order in progress, so that Plan
// should be called again soon.
func (p *Placer) HasPendingWork() bool {
	if len(p.demand) > 0 {
		return true
	}
	for _, e := range p.engines {
		if e.pending != nil || e.loading != nil || e.needsQuery || !e.known {
			return true
		}
	}
	return false
}

// String returns the name of a result for logs and metrics.
func (r OrderResult) String() string {
	return [...]string{"accepted", "holds", "busy", "fenced", "misplaced", "impossible", "silent"}[r]
}
