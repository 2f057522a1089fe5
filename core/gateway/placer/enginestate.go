package placer

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/manifest"
)

// engineState is one engine as the placer sees it.
type engineState struct {
	id, address, group, zone string
	incarnation              int64
	config                   *manifest.Engine
	server                   *directory.Server
	leaving                  bool // it serves no more, or not for long, or is out of reach
	reachability             Reachability

	known    bool // sequence and holdings can be relied on
	sequence int64
	models   map[string]*loadedModel
	inMemory []string
	onDisk   []string

	reservation reservation
	pending     *pendingOrder // an order without a final answer
	loading     *modelLoad    // an accepted load of a model
	conflicts   int
	changedAt   clock.Time // the last change of the holdings by an order
	needsQuery  bool
	queriedAt   clock.Time
	retryAt     clock.Time
}

type loadedModel struct {
	adapters map[string]*loadedAdapter
	loadedAt clock.Time
	lastUsed clock.Time
}

type loadedAdapter struct {
	readyAt clock.Time
	usedAt  clock.Time
}

type pendingOrder struct {
	order    Order
	sentAt   clock.Time
	inFlight bool // sent, and neither answered nor timed out
	resent   bool // sent more than once
}

// reservation keeps a lane for the model that room is made for. Without it the
// next plan, which does not see the room yet, would make room elsewhere too.
type reservation struct {
	model string
	until clock.Time
}

// maxReportAge is how old a report may be. A lower count of orders in a later one is
// right: an answer that was read as if the engine had counted an order, which it had
// not, would else keep the engine from all orders for ever.
const maxReportAge = time.Second

// reservationTimeout bounds a reservation: an unload waits for runs that began just
// before it.
const reservationTimeout = 1500 * time.Millisecond

// reservedModel returns the model that the lane is kept for.
func (l *engineState) reservedModel(now clock.Time) string {
	if now.Before(l.reservation.until) {
		return l.reservation.model
	}
	return ""
}

type modelLoad struct {
	model      string
	startedAt  clock.Time
	expectedAt clock.Time
	fromStore  bool // from the weight store
}

func newEngineState(s *directory.Server, now clock.Time) *engineState {
	return &engineState{
		id: s.ID, address: s.Address, group: s.Group, zone: s.Zone, incarnation: s.Born, server: s,
		models: make(map[string]*loadedModel), sequence: -1,
	}
}

// setReachability takes how the engine can be ordered. Others may have ordered it while it was out
// of reach.
func (l *engineState) setReachability(r Reachability) {
	if l.reachability == Unreachable && r != Unreachable {
		l.needsQuery = true
	}
	l.reachability = r
}

// syncEntry takes the engine's entry.
func (l *engineState) syncEntry(now clock.Time, s *directory.Server, entry *directory.Entry, e *manifest.Engine) {
	l.server, l.config, l.address, l.leaving = s, e, s.Address, !s.Stays() || l.reachability == Unreachable
	l.inMemory, l.onDisk = s.InMemory, s.OnDisk
	if l.loading != nil && now.Reached(l.loading.expectedAt) {
		if _, ok := entry.Holds(l.loading.model); ok {
			l.finishLoad(now)
		}
	}
	if l.known && !l.needsQuery && l.pending == nil && l.loading == nil && now.Sub(l.changedAt) > maxEntryLag && l.differsFrom(entry) {
		l.needsQuery, l.changedAt = true, now
	}
	for name, m := range l.models {
		if s.RunningModel(name) > 0 {
			m.lastUsed = now
		}
	}
}

// maxEntryLag is how long an engine's entry may lag behind its orders.
const maxEntryLag = 4 * time.Second

// differsFrom reports whether the engine's entry names other models than the lane.
func (l *engineState) differsFrom(entry *directory.Entry) bool {
	for _, h := range entry.Holdings {
		if l.models[h.Model] == nil {
			return true
		}
	}
	return len(entry.Holdings) != len(l.models)
}

// adoptState replaces what the lane believes by what the engine said.
func (l *engineState) adoptState(now clock.Time, sequence int64, holdings []directory.Holding) {
	before := l.models
	l.known, l.sequence = true, sequence
	l.models = make(map[string]*loadedModel, len(holdings))
	for _, h := range holdings {
		m := before[h.Model]
		if m == nil {
			m = &loadedModel{loadedAt: now, lastUsed: l.server.UsedModel(h.Model)}
		}
		adapters := make(map[string]*loadedAdapter, len(h.Adapters))
		for _, a := range h.Adapters {
			if adapters[a] = m.adapters[a]; adapters[a] == nil {
				adapters[a] = &loadedAdapter{readyAt: now, usedAt: now}
			}
		}
		m.adapters = adapters
		l.models[h.Model] = m
	}
}

// finishLoad ends a load that took effect.
func (l *engineState) finishLoad(now clock.Time) {
	l.changedAt = now
	l.models[l.loading.model] = &loadedModel{adapters: make(map[string]*loadedAdapter), loadedAt: now, lastUsed: now}
	l.loading = nil
}

// usableModels returns the models and adapters that requests may use.
func (l *engineState) usableModels(now clock.Time) []directory.Holding {
	var holdings []directory.Holding
	for _, name := range sortedKeys(l.models) {
		h := directory.Holding{Model: name}
		m := l.models[name]
		for _, a := range sortedKeys(m.adapters) {
			if now.Reached(m.adapters[a].readyAt) {
				h.Adapters = append(h.Adapters, a)
			}
		}
		holdings = append(holdings, h)
	}
	return holdings
}

// incomingModel returns the model that the lane is loading or has the order for.
func (l *engineState) incomingModel() string {
	if l.loading != nil {
		return l.loading.model
	}
	if q := l.pending; q != nil && q.order.Kind == Load && q.order.Adapter == "" {
		return q.order.Model
	}
	return ""
}

// holdsOrWillHold reports whether the engine holds a model, or will.
func (l *engineState) holdsOrWillHold(now clock.Time, model string) bool {
	return l.models[model] != nil || l.incomingModel() == model || l.reservedModel(now) == model
}

// canTakeOrder reports whether the lane can take an order now.
func (l *engineState) canTakeOrder(now clock.Time) bool {
	return l.known && !l.leaving && l.reachability == Reachable && !l.needsQuery && l.pending == nil && l.loading == nil && now.Reached(l.retryAt)
}

// queryDue reports whether the engine must be asked what it holds.
func (l *engineState) queryDue(now clock.Time) bool {
	if now.Sub(l.queriedAt) < queryInterval && l.queriedAt != 0 || l.server.Closed() || l.reachability == Unreachable {
		return false
	}
	return l.needsQuery || !l.known || l.loading != nil && now.Reached(l.loading.expectedAt.Add(loadQueryDelay))
}

func (l *engineState) handleReport(now, asked clock.Time, r Report) {
	if l.pending != nil || r.Sequence < l.sequence && asked.Sub(l.changedAt) < maxReportAge {
		return // from before an order of ours
	}
	l.needsQuery, l.conflicts = false, 0
	if l.loading == nil {
		l.adoptState(now, r.Sequence, r.LoadedModels)
		l.needsQuery = r.Busy
		return
	}
	for _, h := range r.LoadedModels {
		if h.Model == l.loading.model {
			l.finishLoad(now)
			l.adoptState(now, r.Sequence, r.LoadedModels)
			return
		}
	}
	overdue := now.Sub(l.loading.startedAt) > loadTimeoutFactor*l.loading.expectedAt.Sub(l.loading.startedAt)
	if overdue && !r.Busy {
		l.loading = nil
		l.adoptState(now, r.Sequence, r.LoadedModels)
	}
}

// setPending makes o the pending order.
func (l *engineState) setPending(now clock.Time, o Order) Order {
	l.pending = &pendingOrder{order: o, sentAt: now, inFlight: true}
	return o
}

// handleResult takes the answer to the pending order.
func (l *engineState) handleResult(now clock.Time, o Order, a OrderResult) {
	switch a {
	case Accepted:
		l.pending, l.conflicts = nil, 0
		l.sequence++
		l.applyOrder(now, o)
	case AlreadyDone:
		l.pending, l.conflicts = nil, 0
		if o.Adapter != "" && o.Kind == Unload {
			l.sequence++ // carried out at once
		}
		l.applyOrder(now, o)
		if l.loading != nil {
			l.finishLoad(now)
		}
	case Busy:
		again := l.pending.resent
		l.pending = nil
		l.retryAt = now.Add(busyRetryDelay)
		if l.conflicts++; l.conflicts >= maxConflicts || o.Adapter != "" || again {
			l.needsQuery = true
		}
	case NoResponse:
		l.pending.inFlight = false
	case Fenced, WrongServer, NotFound:
		l.pending = nil
		l.known = a == NotFound
	}
}

// applyOrder records an order that is being carried out.
func (l *engineState) applyOrder(now clock.Time, o Order) {
	l.changedAt = now
	m := l.models[o.Model]
	switch {
	case o.Adapter != "" && m == nil:
		l.needsQuery = true
	case o.Adapter != "" && o.Kind == Load:
		m.adapters[o.Adapter] = &loadedAdapter{readyAt: now.Add(adapterLoadTime), usedAt: now}
	case o.Adapter != "":
		delete(m.adapters, o.Adapter)
	case o.Kind == Load:
		took, store := l.loadTime(o.Model)
		l.loading = &modelLoad{model: o.Model, startedAt: now, expectedAt: now.Add(took), fromStore: store}
	default:
		delete(l.models, o.Model)
	}
}

// loadTime returns how long a load of a model takes here, and whether it comes
// from the weight store.
func (l *engineState) loadTime(model string) (duration time.Duration, fromStore bool) {
	m := l.config.Models[model]
	switch {
	case slices.Contains(l.inMemory, model):
		return m.FromMemory, false
	case slices.Contains(l.onDisk, model):
		return m.FromDisk, false
	}
	return m.FromStore, true
}

// usedMB is the memory that models and adapters take, with what an order may
// still bring.
func (l *engineState) usedMB() float64 {
	total := 0.0
	for name, m := range l.models {
		spec := l.config.Models[name]
		total += spec.MB + float64(len(m.adapters))*spec.AdapterMB
	}
	if l.loading != nil {
		total += l.config.Models[l.loading.model].MB
	}
	return total
}

// adapterCount counts the adapters of all models.
func (l *engineState) adapterCount() int {
	n := 0
	for _, m := range l.models {
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
