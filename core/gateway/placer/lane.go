package placer

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/manifest"
)

// engineState is the state of one engine as known to the placer.
type engineState struct {
	id, address, group, zone string
	incarnation              int64
	config                   *manifest.Engine
	server                   *directory.Server
	leaving                  bool // it stops serving now or soon, or it is unreachable
	limited                  bool // it takes only part of the load: it named a rate limit or asks for rest
	reachability             Reachability

	known    bool  // sequence and models are reliable
	sequence int64 // number of orders that the engine has accepted
	models   map[string]*loadedModel
	inMemory []string // models with a copy in the memory of the engine's server
	onDisk   []string // models with a copy on its disk

	reservation reservation
	pending     *pendingOrder // an order without a final result
	restartedAt clock.Time    // when a report showed a start that is newer than the entry; 0: none did
	// reportedIncarnation is that start; 0: not told.
	reportedIncarnation int64
	toldHeldUntil       clock.Time  // heldUntil at the last call of NewlyHeld
	heldUntil           clock.Time  // room is kept until then: see Placer.keepRoom
	unknownMB           float64     // room kept for orders of other planners
	unknownAdapters     int         // adapters for which room is kept
	late                []lateOrder // orders to earlier starts that may still be carried out
	loading             *modelLoad  // an accepted load of a model
	conflicts           int         // orders in a row refused as busy
	changedAt           clock.Time  // when an order last changed the models or adapters
	needsQuery          bool
	queriedAt           clock.Time
	retryAt             clock.Time
}

type loadedModel struct {
	adapters map[string]*loadedAdapter
	loadedAt clock.Time
	lastUsed clock.Time
}

type loadedAdapter struct {
	readyAt  clock.Time
	lastUsed clock.Time
}

type pendingOrder struct {
	order    Order
	sentAt   clock.Time
	inFlight bool // sent, with neither a response nor a timeout yet
	resent   bool
}

// reservation keeps an engine for a model while another model is unloaded for it. Without
// it the next plan, which does not see the freed memory yet, would unload a model on a
// second engine too.
type reservation struct {
	model string
	until clock.Time
}

// maxReportAge is the greatest delay of a report. A report that was requested later than
// that after the last order is believed even if it has a lower count of accepted orders:
// if an order was assumed to be counted but was not, the engine would otherwise refuse all
// further orders.
const maxReportAge = time.Second

// reservationTimeout limits a reservation. An unload waits for requests that started just
// before it.
const reservationTimeout = 1500 * time.Millisecond

// reservedModel returns the model that the engine is reserved for, if any.
func (e *engineState) reservedModel(now clock.Time) string {
	if now.Before(e.reservation.until) {
		return e.reservation.model
	}
	return ""
}

type modelLoad struct {
	model      string
	startedAt  clock.Time
	expectedAt clock.Time
	fromStore  bool
	// concurrent is the number of loads from the weight store when this one started.
	concurrent int
}

func newEngineState(s *directory.Server, now clock.Time) *engineState {
	return &engineState{
		id: s.ID, address: s.Address, group: s.Group, zone: s.Zone, incarnation: s.Incarnation, server: s,
		models: make(map[string]*loadedModel), sequence: -1,
	}
}

// setReachability sets whether the engine can be ordered. While it was unreachable, other
// instances may have ordered it, so it is queried afterwards.
func (e *engineState) setReachability(r Reachability) {
	if e.reachability == Unreachable && r != Unreachable {
		e.needsQuery = true
	}
	e.reachability = r
}

// sharesLoad reports whether the engine can be counted on for its part of the load, so
// that models are placed there and need no other copy.
func (e *engineState) sharesLoad() bool { return !e.leaving && !e.limited }

// syncEntry updates the state from the engine's directory entry.
func (e *engineState) syncEntry(now clock.Time, s *directory.Server, entry *directory.Entry, config *manifest.Engine) {
	e.server, e.config, e.address, e.leaving = s, config, s.Address, !s.RemainsInService() || e.reachability == Unreachable
	e.limited = s.RateLimited(now) || s.RestRemaining(now) > 0
	e.inMemory, e.onDisk = s.InMemory, s.OnDisk
	if e.loading != nil && now.Reached(e.loading.expectedAt) {
		if _, ok := entry.LoadedModel(e.loading.model); ok {
			e.finishLoad(now)
		}
	}
	if e.known && !e.needsQuery && e.pending == nil && e.loading == nil && now.Sub(e.changedAt) > maxEntryLag && e.differsFrom(entry) {
		e.needsQuery, e.changedAt = true, now
	}
	for name, m := range e.models {
		if s.RunningForModel(name) > 0 {
			m.lastUsed = now
		}
	}
}

// maxEntryLag is how long an engine's entry may lag behind its orders.
const maxEntryLag = 4 * time.Second

// differsFrom reports whether an engine's entry names other models than the state.
func (e *engineState) differsFrom(entry *directory.Entry) bool {
	for _, h := range entry.LoadedModels {
		if e.models[h.Model] == nil {
			return true
		}
	}
	return len(entry.LoadedModels) != len(e.models)
}

// adoptState replaces the models and the sequence by those that the engine reported.
func (e *engineState) adoptState(now clock.Time, sequence int64, models []directory.LoadedModel) {
	before := e.models
	e.known, e.sequence = true, sequence
	e.models = make(map[string]*loadedModel, len(models))
	for _, h := range models {
		m := before[h.Model]
		if m == nil {
			m = &loadedModel{loadedAt: now, lastUsed: e.server.ModelLastUsed(h.Model)}
		}
		adapters := make(map[string]*loadedAdapter, len(h.Adapters))
		for _, a := range h.Adapters {
			if adapters[a] = m.adapters[a]; adapters[a] == nil {
				adapters[a] = &loadedAdapter{readyAt: now, lastUsed: now}
			}
		}
		m.adapters = adapters
		e.models[h.Model] = m
	}
}

// finishLoad records that the load in progress has succeeded.
func (e *engineState) finishLoad(now clock.Time) {
	e.changedAt = now
	e.models[e.loading.model] = &loadedModel{adapters: make(map[string]*loadedAdapter), loadedAt: now, lastUsed: now}
	e.loading = nil
}

// usableModels returns the models and adapters that requests may use.
func (e *engineState) usableModels(now clock.Time) []directory.LoadedModel {
	var models []directory.LoadedModel
	for _, name := range sortedKeys(e.models) {
		usable := directory.LoadedModel{Model: name}
		m := e.models[name]
		for _, a := range sortedKeys(m.adapters) {
			if now.Reached(m.adapters[a].readyAt) {
				usable.Adapters = append(usable.Adapters, a)
			}
		}
		models = append(models, usable)
	}
	return models
}

// incomingModel returns the model that the engine is loading or is ordered to load, if any.
func (e *engineState) incomingModel() string {
	if e.loading != nil {
		return e.loading.model
	}
	if pending := e.pending; pending != nil && pending.order.Kind == Load && pending.order.Adapter == "" {
		return pending.order.Model
	}
	return ""
}

// holdsOrWillHold reports whether the engine holds a model or will hold it.
func (e *engineState) holdsOrWillHold(now clock.Time, model string) bool {
	return e.models[model] != nil || e.incomingModel() == model || e.reservedModel(now) == model
}

// canTakeOrder reports whether the engine can take an order now.
func (e *engineState) canTakeOrder(now clock.Time) bool {
	return e.known && !e.leaving && e.reachability == Reachable && !e.needsQuery && e.pending == nil && e.loading == nil && now.Reached(e.retryAt)
}

// queryDue reports whether the engine must be queried for its state now.
func (e *engineState) queryDue(now clock.Time) bool {
	if now.Sub(e.queriedAt) < queryInterval && e.queriedAt != 0 || e.server.ZoneClosed() || e.reachability == Unreachable {
		return false
	}
	return e.needsQuery || !e.known || e.loading != nil && now.Reached(e.loading.expectedAt.Add(loadQueryDelay))
}

// handleReport applies a report that was requested at queriedAt.
func (e *engineState) handleReport(now, queriedAt clock.Time, r Report) {
	if e.pending != nil || r.Sequence < e.sequence && queriedAt.Sub(e.changedAt) < maxReportAge {
		return // from before the last order
	}
	e.needsQuery, e.conflicts = false, 0
	if e.loading == nil {
		e.adoptState(now, r.Sequence, r.LoadedModels)
		e.needsQuery = r.Busy
		return
	}
	for _, h := range r.LoadedModels {
		if h.Model == e.loading.model {
			e.finishLoad(now)
			e.adoptState(now, r.Sequence, r.LoadedModels)
			e.needsQuery = r.Busy // with the order of another planner, whose model the report does not name yet
			return
		}
	}
	timedOut := now.Sub(e.loading.startedAt) > loadTimeoutFactor*e.loading.expectedAt.Sub(e.loading.startedAt)
	if timedOut && !r.Busy {
		e.loading = nil
		e.adoptState(now, r.Sequence, r.LoadedModels)
	}
}

// setPending makes o the pending order and returns it.
func (e *engineState) setPending(now clock.Time, o Order) Order {
	e.pending = &pendingOrder{order: o, sentAt: now, inFlight: true}
	return o
}

// handleResult applies the result of the pending order.
func (e *engineState) handleResult(now clock.Time, o Order, result OrderResult) {
	switch result {
	case Accepted:
		e.pending, e.conflicts = nil, 0
		e.sequence++
		e.applyOrder(now, o)
	case AlreadyDone:
		e.pending, e.conflicts = nil, 0
		if o.Adapter != "" && o.Kind == Unload {
			e.sequence++ // the engine executed it at once and counted it
		}
		e.applyOrder(now, o)
		if e.loading != nil {
			e.finishLoad(now)
		}
	case Busy:
		resent := e.pending.resent
		e.pending = nil
		e.retryAt = now.Add(busyRetryDelay)
		if e.conflicts++; e.conflicts >= maxConflicts || o.Adapter != "" || resent {
			e.needsQuery = true
		}
	case NoResponse:
		e.pending.inFlight = false
	case Fenced, WrongServer, NotFound:
		e.pending = nil
		e.known = result == NotFound
	}
}

// applyOrder records the effect of an order that the engine executes.
func (e *engineState) applyOrder(now clock.Time, o Order) {
	e.changedAt = now
	m := e.models[o.Model]
	switch {
	case o.Adapter != "" && m == nil:
		e.needsQuery = true
	case o.Adapter != "" && o.Kind == Load:
		m.adapters[o.Adapter] = &loadedAdapter{readyAt: now.Add(adapterLoadTime), lastUsed: now}
	case o.Adapter != "":
		delete(m.adapters, o.Adapter)
	case o.Kind == Load:
		duration, fromStore := e.loadTime(o.Model)
		e.loading = &modelLoad{model: o.Model, startedAt: now, expectedAt: now.Add(duration), fromStore: fromStore}
	default:
		delete(e.models, o.Model)
	}
}

// loadTime returns how long this engine takes to load a model, and whether from the weight
// store.
func (e *engineState) loadTime(model string) (duration time.Duration, fromStore bool) {
	m := e.config.Models[model]
	switch {
	case slices.Contains(e.inMemory, model):
		return m.LoadFromMemory, false
	case slices.Contains(e.onDisk, model):
		return m.LoadFromDisk, false
	}
	return m.LoadFromStore, true
}

// usedMB returns the memory in use by models and adapters, including a load in progress, and what orders
// to earlier starts may still take.
func (e *engineState) usedMB() float64 {
	total := e.lateMB() + e.unknownMB
	for name, m := range e.models {
		spec := e.config.Models[name]
		total += spec.WeightsMB + float64(len(m.adapters))*spec.AdapterMB
	}
	if e.loading != nil {
		total += e.config.Models[e.loading.model].WeightsMB
	}
	return total
}

// adapterCount returns the number of adapters of all models, and of those that orders to earlier starts
// may still load.
func (e *engineState) adapterCount() int {
	n := e.lateAdapters() + e.unknownAdapters
	for _, m := range e.models {
		n += len(m.adapters)
	}
	return n
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
