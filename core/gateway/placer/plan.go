package placer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"oleanderdale.org/core/clock"
)

// Plan returns the orders to send now. Each is pending until Answered.
func (p *Placer) Plan(now clock.Time) []Order {
	clear(p.queuedWork)
	p.queuedStoreLoads = 0
	p.dropStaleForecasts()
	orders := append(p.resendUnanswered(now), p.loadReserved(now)...)
	for _, k := range p.keysToPlan(now) {
		if o, ok := p.orderFor(now, k); ok {
			orders = append(orders, o)
		}
	}
	if o, ok := p.preload(now); ok {
		orders = append(orders, o)
	}
	return orders
}

// repeat sends orders again that got no answer.
func (p *Placer) resendUnanswered(now clock.Time) []Order {
	var orders []Order
	for _, l := range p.sortedEngines {
		if q := l.pending; q != nil && !q.inFlight && now.Sub(q.sentAt) >= resendDelay && !l.server.Closed() && l.reachability == Reachable {
			q.sentAt, q.inFlight, q.resent = now, true, true
			orders = append(orders, q.order)
		}
	}
	return orders
}

// follow loads what room was made for.
func (p *Placer) loadReserved(now clock.Time) []Order {
	var orders []Order
	for _, l := range p.sortedEngines {
		model := l.reservedModel(now)
		if model == "" || !l.canTakeOrder(now) {
			continue
		}
		if l.models[model] != nil || l.usedMB()+l.config.Models[model].MB > l.config.MemoryMB {
			l.reservation = reservation{}
			continue
		}
		if _, store := l.loadTime(model); store && !p.storeAvailable(now, l) {
			continue
		}
		l.reservation = reservation{}
		p.holderCount[Key{Group: l.group, Model: model}]--
		if o, ok := p.issueOrder(now, l, Load, model, ""); ok {
			orders = append(orders, o)
		}
	}
	return orders
}

// wanted returns the keys that need an order, the most urgent first: what
// waits, then busy models with too few engines.
func (p *Placer) keysToPlan(now clock.Time) []Key {
	var keys []Key
	for k := range p.demand {
		if !p.recentlyNotFound(now, Key{Group: k.Group, Model: k.Model, Adapter: k.Adapter}) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		x, y := p.demand[a], p.demand[b]
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(x.sortTime(now), y.sortTime(now)), compareKeys(a, b))
	})
	for _, model := range sortedKeys(p.rates) {
		if p.requiredReplicas(now, model) == 0 {
			continue
		}
		for _, group := range p.groupsOf(model) {
			k := Key{Group: group, Model: model}
			if _, waits := p.demand[k]; !waits && !p.recentlyNotFound(now, k) {
				keys = append(keys, k)
			}
		}
	}
	return keys
}

// rank is the moment by which wants of one priority are ordered.
func (w Demand) sortTime(now clock.Time) clock.Time {
	if w.ObjectiveDeadline != 0 && now.Add(TypicalSwapTime) > w.ObjectiveDeadline {
		return w.Since.Add(overduePenalty)
	}
	return w.Since
}

func compareKeys(a, b Key) int {
	return cmp.Or(strings.Compare(a.Group, b.Group), strings.Compare(a.Model, b.Model),
		strings.Compare(a.Adapter, b.Adapter), cmp.Compare(a.AllowedRegions, b.AllowedRegions))
}

// groupsOf returns the groups whose engines know a model.
func (p *Placer) groupsOf(model string) []string {
	var groups []string
	for _, l := range p.sortedEngines {
		if _, ok := l.config.Models[model]; ok && !slices.Contains(groups, l.group) {
			groups = append(groups, l.group)
		}
	}
	return groups
}

// serve returns the next order that brings a key nearer to being served.
func (p *Placer) orderFor(now clock.Time, k Key) (Order, bool) {
	model := k.model()
	held := p.holdersFor(now, k)
	if k.Adapter != "" && held > 0 {
		return p.adapterOrderFor(now, k)
	}
	need := p.requiredReplicas(now, k.Model)
	if p.hasDemand[model] {
		need = max(1, need)
	}
	if held >= need {
		return Order{}, false
	}
	// Callers that wait for room are as urgent as those that wait for a model.
	return p.placeModel(now, Key{Group: k.Group, Model: k.Model, AllowedRegions: k.AllowedRegions}, held == 0 || p.demand[k].Saturated)
}

// heldIn returns how many engines hold a model, or will, where its requests may run.
func (p *Placer) holdersFor(now clock.Time, k Key) int {
	if k.AllowedRegions == "" {
		return p.holderCount[k.model()]
	}
	n := 0
	for _, l := range p.sortedEngines {
		if l.group == k.Group && !l.leaving && l.holdsOrWillHold(now, k.Model) && k.AllowedRegions.Has(l.server.Region()) {
			n++
		}
	}
	return n
}

// option is one way to load a model.
type candidate struct {
	engine    *engineState
	victim    string // to be unloaded first; "": there is room
	readyIn   time.Duration
	work      time.Duration // of the lane, for this load alone
	fromStore bool
	// storePause is the time between two loads from the weight store while
	// they wait for each other.
	storeInterval time.Duration
	victimIdle    time.Duration // of the victim
	blocked       bool          // nothing can be unloaded now
}

// place orders a load of a model where it is ready first, or makes room there.
// first says that callers wait for it.
func (p *Placer) placeModel(now clock.Time, k Key, first bool) (Order, bool) {
	var options []candidate // that are there now
	var later []candidate   // that were there if a lane had an idle model
	for _, l := range p.sortedEngines {
		o, ok := p.candidateOn(now, l, k, first)
		switch {
		case ok && o.blocked:
			later = append(later, o)
		case ok:
			options = append(options, o)
		}
	}
	p.recordForecast(now, k, append(later, options...))
	if len(options) == 0 {
		return Order{}, false
	}
	best := slices.MinFunc(options, compareCandidates)
	switch {
	case !best.engine.canTakeOrder(now):
		return Order{}, false // its lane is free soon, and waiting is faster
	case best.fromStore && !p.mayLoadFromStore(now, best.engine, k):
		return Order{}, false // and no model makes room in vain meanwhile
	case best.victim != "":
		best.engine.reservation = reservation{model: k.Model, until: now.Add(reservationTimeout)}
		p.holderCount[k.model()]++
		return p.issueOrder(now, best.engine, Unload, best.victim, "")
	}
	return p.issueOrder(now, best.engine, Load, k.Model, "")
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.readyIn, b.readyIn), cmp.Compare(b.victimIdle, a.victimIdle), strings.Compare(a.engine.id, b.engine.id))
}

// unloadTime is what an unload adds to a load, measured over loopback.
const unloadTime = 40 * time.Millisecond

// option says how soon a lane could have a model.
func (p *Placer) candidateOn(now clock.Time, l *engineState, k Key, first bool) (candidate, bool) {
	spec, knows := l.config.Models[k.Model]
	if l.reservedModel(now) != "" {
		return candidate{}, false
	}
	if l.group != k.Group || !k.AllowedRegions.Has(l.server.Region()) || l.leaving || l.reachability != Reachable || !l.known || !knows || l.models[k.Model] != nil {
		return candidate{}, false
	}
	o := candidate{engine: l, victimIdle: time.Hour}
	o.readyIn, o.fromStore = l.loadTime(k.Model)
	o.work = o.readyIn
	if o.fromStore {
		o.storeInterval = max(o.readyIn/maxStoreLoads, time.Duration(float64(time.Second)/max(0.1, l.config.LoadsPerSecond)))
		o.readyIn = max(o.readyIn, time.Duration(float64(o.readyIn)*float64(p.storeLoads()+1)/maxStoreLoads))
	}
	if l.usedMB()+spec.MB > l.config.MemoryMB {
		if v, ok := p.chooseVictim(now, l, first); ok {
			o.victim, o.victimIdle = v, now.Sub(l.models[v].lastUsed)
		} else {
			o.blocked = true
			o.readyIn += minResidence
		}
		o.readyIn += unloadTime
		o.work += unloadTime
	}
	if l.loading != nil {
		o.readyIn += max(0, l.loading.expectedAt.Sub(now))
	}
	o.readyIn += p.queuedWork[l]
	// A load slows what runs beside it little, but its own first tokens wait
	// behind them: prefer the engine with less to do.
	o.readyIn += time.Duration(l.server.Running()) * time.Millisecond
	return o, true
}

// victim returns the model that an engine misses least: idle, waited for by
// nobody, and unused for longest. Engines of a busy model above its need come
// first. If first is false, the load is for speed only, and takes nothing that
// was used of late.
func (p *Placer) chooseVictim(now clock.Time, l *engineState, first bool) (string, bool) {
	const quiet = 4 * time.Second
	best, bestIdle := "", time.Duration(-1)
	for _, name := range sortedKeys(l.models) {
		m := l.models[name]
		if l.server.RunningModel(name) > 0 || now.Sub(m.loadedAt) < minResidence {
			continue
		}
		k := Key{Group: l.group, Model: name}
		if p.hasDemand[k] || p.holderCount[k] <= p.requiredReplicas(now, name) {
			continue
		}
		idle := now.Sub(m.lastUsed)
		if !first && idle < quiet {
			continue
		}
		if idle > bestIdle {
			best, bestIdle = name, idle
		}
	}
	return best, best != ""
}

// order makes the next order of a lane, if it keeps what must hold.
func (p *Placer) issueOrder(now clock.Time, l *engineState, kind OrderKind, model, adapter string) (Order, bool) {
	spec := l.config.Models[model]
	if kind == Load {
		size := spec.MB
		if adapter != "" {
			size = spec.AdapterMB
		}
		if !p.check.Hold(l.usedMB()+size <= l.config.MemoryMB, "engine-memory",
			"%s: %.0f MB in use and %.0f more of %.0f", l.id, l.usedMB(), size, l.config.MemoryMB) {
			return Order{}, false
		}
		if adapter != "" && !p.check.Hold(l.adapterCount() < l.config.AdapterPlaces, "adapter-places",
			"%s: %d adapters of %d", l.id, l.adapterCount(), l.config.AdapterPlaces) {
			return Order{}, false
		}
		if _, store := l.loadTime(model); store && adapter == "" {
			p.storeTokens--
		}
	}
	if kind == Load && adapter == "" {
		p.holderCount[Key{Group: l.group, Model: model}]++
	} else if adapter == "" {
		p.holderCount[Key{Group: l.group, Model: model}]--
	}
	return l.setPending(now, Order{
		Server: l.id, Address: l.address, Incarnation: l.incarnation, Kind: kind,
		Model: model, Adapter: adapter, Precondition: l.sequence,
	}), true
}

// serveAdapter loads an adapter on an engine that holds its model.
func (p *Placer) adapterOrderFor(now clock.Time, k Key) (Order, bool) {
	var best *engineState
	for _, l := range p.sortedEngines {
		if l.group != k.Group || !k.AllowedRegions.Has(l.server.Region()) || l.leaving || l.models[k.Model] == nil {
			continue
		}
		if _, ok := l.models[k.Model].adapters[k.Adapter]; ok {
			return Order{}, false
		}
		if q := l.pending; q != nil && q.order.Adapter == k.Adapter && q.order.Model == k.Model {
			return Order{}, false
		}
		if l.canTakeOrder(now) && (best == nil || l.adapterCount() < best.adapterCount()) {
			best = l
		}
	}
	if best == nil {
		return Order{}, false
	}
	spec := best.config.Models[k.Model]
	if best.adapterCount() < best.config.AdapterPlaces && best.usedMB()+spec.AdapterMB <= best.config.MemoryMB {
		return p.issueOrder(now, best, Load, k.Model, k.Adapter)
	}
	model, adapter, ok := p.chooseAdapterVictim(now, best)
	if !ok {
		return Order{}, false
	}
	return p.issueOrder(now, best, Unload, model, adapter)
}

// adapterVictim returns the adapter that was loaded or wanted longest ago.
func (p *Placer) chooseAdapterVictim(now clock.Time, l *engineState) (model, adapter string, ok bool) {
	oldest := now
	for _, m := range sortedKeys(l.models) {
		for _, a := range sortedKeys(l.models[m].adapters) {
			if _, waits := p.demand[Key{Group: l.group, Model: m, Adapter: a}]; waits {
				continue
			}
			if at := l.models[m].adapters[a].usedAt; at < oldest {
				model, adapter, ok, oldest = m, a, true, at
			}
		}
	}
	return model, adapter, ok
}

// RecordAdapterUse records the use of an adapter.
func (p *Placer) RecordAdapterUse(now clock.Time, server, model, name string) {
	if l := p.engines[server]; l != nil && l.models[model] != nil {
		if a := l.models[model].adapters[name]; a != nil {
			a.usedAt = now
		}
	}
}

// fill loads a model that no engine holds onto an engine with room, when
// nothing waits: a new engine starts empty, and its memory is of no use until
// somebody asks for what is not there.
func (p *Placer) preload(now clock.Time) (Order, bool) {
	if len(p.demand) > 0 || p.enginesLoading() > 0 {
		return Order{}, false
	}
	for _, l := range p.sortedEngines {
		if !l.canTakeOrder(now) {
			continue
		}
		if model, ok := p.modelToPreload(now, l); ok {
			return p.issueOrder(now, l, Load, model, "")
		}
	}
	return Order{}, false
}

// missing returns the model that fits into an engine's free memory, is held
// nowhere and was asked for last.
func (p *Placer) modelToPreload(now clock.Time, l *engineState) (string, bool) {
	best, found := "", false
	var last clock.Time
	for _, name := range sortedKeys(l.config.Models) {
		spec := l.config.Models[name]
		k := Key{Group: l.group, Model: name}
		if l.usedMB()+spec.MB > l.config.MemoryMB || p.recentlyNotFound(now, k) {
			continue
		}
		if p.holderCount[k] > 0 {
			continue
		}
		if _, store := l.loadTime(name); store && !p.storeAvailable(now, l) {
			continue
		}
		var at clock.Time
		if r := p.rates[name]; r != nil {
			at = r.lastArrival
		}
		if !found || at > last {
			best, found, last = name, true, at
		}
	}
	return best, found
}

func (p *Placer) enginesLoading() int {
	n := 0
	for _, l := range p.engines {
		if l.loading != nil {
			n++
		}
	}
	return n
}
