package placer

import (
	"cmp"
	"slices"
	"strings"

	"oleanderdale.org/core/clock"
)

// Plan returns the orders to send now. Each is pending until HandleResult is called for it.
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

// resendUnanswered returns the orders without a response that are due to be sent again.
func (p *Placer) resendUnanswered(now clock.Time) []Order {
	var orders []Order
	for _, e := range p.sortedEngines {
		if pending := e.pending; pending != nil && e.known && !pending.inFlight && now.Sub(pending.sentAt) >= resendDelay && !e.server.ZoneClosed() && e.reachability == Reachable {
			pending.sentAt, pending.inFlight, pending.resent = now, true, true
			orders = append(orders, pending.order)
		}
	}
	return orders
}

// loadReserved returns the orders that load models on engines reserved for them, once an
// unload has made room.
func (p *Placer) loadReserved(now clock.Time) []Order {
	var orders []Order
	for _, e := range p.sortedEngines {
		model := e.reservedModel(now)
		if model == "" || !e.canTakeOrder(now) {
			continue
		}
		if e.models[model] != nil || e.usedMB()+e.config.Models[model].WeightsMB > e.config.MemoryMB {
			e.reservation = reservation{}
			continue
		}
		if _, fromStore := e.loadTime(model); fromStore && !p.storeAvailable(now, e) {
			continue
		}
		e.reservation = reservation{}
		p.holderCount[Key{Group: e.group, Model: model}]--
		if o, ok := p.issueOrder(now, e, Load, model, ""); ok {
			orders = append(orders, o)
		}
	}
	return orders
}

// keysToPlan returns the keys that may need an order: first those with demand, the most
// urgent first, then busy models, which may need more replicas.
func (p *Placer) keysToPlan(now clock.Time) []Key {
	var keys []Key
	for k := range p.demand {
		if !p.recentlyNotFound(now, Key{Group: k.Group, Model: k.Model, Adapter: k.Adapter}) {
			keys = append(keys, k)
		}
	}
	storeRates := p.storeRates(now, keys)
	slices.SortFunc(keys, func(a, b Key) int {
		x, y := p.demand[a], p.demand[b]
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), compareStoreRates(storeRates, a, b),
			cmp.Compare(x.sortTime(now), y.sortTime(now)), compareKeys(a, b))
	})
	for _, model := range sortedKeys(p.rates) {
		if p.requiredReplicas(now, model) == 0 {
			continue
		}
		for _, group := range p.groupsOf(model) {
			k := Key{Group: group, Model: model}
			if _, requested := p.demand[k]; !requested && !p.recentlyNotFound(now, k) {
				keys = append(keys, k)
			}
		}
	}
	return keys
}

// storeRates returns the request rates of the models that only the weight store has, if load
// scheduling is on. Their callers were refused, as a load takes longer than they wait: what
// counts is not who asked first, but how many requests the load will serve.
func (p *Placer) storeRates(now clock.Time, keys []Key) map[Key]float64 {
	if !p.loadScheduling {
		return nil
	}
	rates := make(map[Key]float64)
	for _, k := range keys {
		if k.Adapter == "" && !p.hasCopy(k) {
			rates[k] = p.arrivalRate(now, k.Model).lasting
		}
	}
	return rates
}

// compareStoreRates orders keys without a rate first, then those of the highest rate.
func compareStoreRates(rates map[Key]float64, a, b Key) int {
	x, fromStoreA := rates[a]
	y, fromStoreB := rates[b]
	switch {
	case fromStoreA != fromStoreB && fromStoreA:
		return 1
	case fromStoreA != fromStoreB:
		return -1
	}
	return cmp.Compare(y, x)
}

// hasCopy reports whether any engine that can be used holds a model, or has a copy of it in
// memory or on its disk.
func (p *Placer) hasCopy(k Key) bool {
	return slices.ContainsFunc(p.sortedEngines, func(e *engineState) bool {
		return e.group == k.Group && e.sharesLoad() &&
			(e.models[k.Model] != nil || e.incomingModel() == k.Model || slices.Contains(e.inMemory, k.Model) || slices.Contains(e.onDisk, k.Model))
	})
}

// sortTime returns the time by which demand of one priority is ordered.
func (d Demand) sortTime(now clock.Time) clock.Time {
	if d.ObjectiveDeadline != 0 && now.Add(TypicalSwapTime) > d.ObjectiveDeadline {
		return d.Since.Add(overduePenalty)
	}
	return d.Since
}

func compareKeys(a, b Key) int {
	return cmp.Or(strings.Compare(a.Group, b.Group), strings.Compare(a.Model, b.Model),
		strings.Compare(a.Adapter, b.Adapter), cmp.Compare(a.AllowedRegions, b.AllowedRegions), a.Origin.Compare(b.Origin))
}

// groupsOf returns the groups whose engines can load a model.
func (p *Placer) groupsOf(model string) []string {
	var groups []string
	for _, e := range p.sortedEngines {
		if _, ok := e.config.Models[model]; ok && !slices.Contains(groups, e.group) {
			groups = append(groups, e.group)
		}
	}
	return groups
}

// orderFor returns the next order towards serving a key, if one can be given now.
func (p *Placer) orderFor(now clock.Time, k Key) (Order, bool) {
	model := k.model()
	holders := p.holdersFor(now, k)
	if k.Adapter != "" && holders > 0 {
		return p.adapterOrderFor(now, k)
	}
	required := p.requiredReplicas(now, k.Model)
	if p.hasDemand[model] {
		required = max(1, required)
	}
	if k.Origin.Begun {
		required = 1 // for the few streams that go on
	}
	if holders >= required {
		return Order{}, false
	}
	// Requests for a saturated model are as urgent as those for a model that no engine holds.
	return p.placeModel(now, Key{Group: k.Group, Model: k.Model, AllowedRegions: k.AllowedRegions, Origin: k.Origin}, holders == 0 || p.demand[k].Saturated)
}

// holdersFor returns how many engines that a key allows hold its model or will hold it.
func (p *Placer) holdersFor(now clock.Time, k Key) int {
	if k.unrestricted() {
		return p.holderCount[k.model()]
	}
	n := 0
	for _, e := range p.sortedEngines {
		if e.group == k.Group && e.sharesLoad() && e.holdsOrWillHold(now, k.Model) && k.allows(e) {
			n++
		}
	}
	return n
}

// issueOrder makes an order the pending one of an engine, unless it would exceed the memory
// or the adapter slots of the engine.
func (p *Placer) issueOrder(now clock.Time, e *engineState, kind OrderKind, model, adapter string) (Order, bool) {
	spec := e.config.Models[model]
	if kind == Load {
		size := spec.WeightsMB
		if adapter != "" {
			size = spec.AdapterMB
		}
		if !p.check.Hold(e.usedMB()+size <= e.config.MemoryMB, "engine-memory",
			"%s: %.0f MB in use, an order needs %.0f MB more of %.0f MB in total", e.id, e.usedMB(), size, e.config.MemoryMB) {
			return Order{}, false
		}
		if adapter != "" && !p.check.Hold(e.adapterCount() < e.config.AdapterSlots, "adapter-places",
			"%s: %d adapters loaded, %d slots", e.id, e.adapterCount(), e.config.AdapterSlots) {
			return Order{}, false
		}
		if _, fromStore := e.loadTime(model); fromStore && adapter == "" {
			p.storeTokens--
		}
	}
	if kind == Load && adapter == "" {
		p.holderCount[Key{Group: e.group, Model: model}]++
	} else if adapter == "" {
		p.holderCount[Key{Group: e.group, Model: model}]--
	}
	return e.setPending(now, Order{
		Server: e.id, Address: e.address, Incarnation: e.incarnation, Kind: kind,
		Model: model, Adapter: adapter, Precondition: e.sequence,
	}), true
}

// adapterOrderFor returns an order that loads an adapter on an engine that holds its model,
// or that unloads another adapter there.
func (p *Placer) adapterOrderFor(now clock.Time, k Key) (Order, bool) {
	var best *engineState
	for _, e := range p.sortedEngines {
		if e.group != k.Group || !k.allows(e) || !e.sharesLoad() || e.models[k.Model] == nil {
			continue
		}
		if _, ok := e.models[k.Model].adapters[k.Adapter]; ok {
			return Order{}, false
		}
		if pending := e.pending; pending != nil && pending.order.Adapter == k.Adapter && pending.order.Model == k.Model {
			return Order{}, false
		}
		if e.canTakeOrder(now) && (best == nil || e.adapterCount() < best.adapterCount()) {
			best = e
		}
	}
	if best == nil || p.loadScheduling && p.adapterTransfers(now) >= maxAdapterTransfers {
		return Order{}, false
	}
	spec := best.config.Models[k.Model]
	if best.adapterCount() < best.config.AdapterSlots && best.usedMB()+spec.AdapterMB <= best.config.MemoryMB {
		return p.issueOrder(now, best, Load, k.Model, k.Adapter)
	}
	model, adapter, ok := p.chooseAdapterVictim(now, best)
	if !ok {
		return Order{}, false
	}
	return p.issueOrder(now, best, Unload, model, adapter)
}

// adapterTransfers returns how many adapters are on their way to all engines.
func (p *Placer) adapterTransfers(now clock.Time) int {
	n := 0
	for _, e := range p.sortedEngines {
		if pending := e.pending; pending != nil && pending.order.Kind == Load && pending.order.Adapter != "" {
			n++
		}
		for _, m := range e.models {
			for _, a := range m.adapters {
				if now.Before(a.readyAt) {
					n++
				}
			}
		}
	}
	return n
}

// chooseAdapterVictim returns the adapter to unload from an engine: the least recently
// loaded or used one without demand.
func (p *Placer) chooseAdapterVictim(now clock.Time, e *engineState) (model, adapter string, ok bool) {
	oldest := now
	for _, m := range sortedKeys(e.models) {
		for _, a := range sortedKeys(e.models[m].adapters) {
			if _, requested := p.demand[Key{Group: e.group, Model: m, Adapter: a}]; requested {
				continue
			}
			if at := e.models[m].adapters[a].lastUsed; at < oldest {
				model, adapter, ok, oldest = m, a, true, at
			}
		}
	}
	return model, adapter, ok
}

// RecordAdapterUse records that a request uses an adapter.
func (p *Placer) RecordAdapterUse(now clock.Time, server, model, adapter string) {
	if e := p.engines[server]; e != nil && e.models[model] != nil {
		if a := e.models[model].adapters[adapter]; a != nil {
			a.lastUsed = now
		}
	}
}

// preload returns an order that loads a model that no engine holds onto an engine with free
// memory, when there is no demand. A new engine starts empty, and its memory would
// otherwise be unused until a request arrives for a model that is not loaded.
func (p *Placer) preload(now clock.Time) (Order, bool) {
	if len(p.demand) > 0 || p.enginesLoading() > 0 {
		return Order{}, false
	}
	for _, e := range p.sortedEngines {
		if !e.canTakeOrder(now) {
			continue
		}
		if model, ok := p.modelToPreload(now, e); ok {
			return p.issueOrder(now, e, Load, model, "")
		}
	}
	return Order{}, false
}

// modelToPreload returns the most recently requested model that fits into the free memory
// of an engine and that no engine holds.
func (p *Placer) modelToPreload(now clock.Time, e *engineState) (string, bool) {
	best, found := "", false
	var last clock.Time
	for _, name := range sortedKeys(e.config.Models) {
		spec := e.config.Models[name]
		k := Key{Group: e.group, Model: name}
		if e.usedMB()+spec.WeightsMB > e.config.MemoryMB || p.recentlyNotFound(now, k) {
			continue
		}
		if p.holderCount[k] > 0 {
			continue
		}
		if _, fromStore := e.loadTime(name); fromStore && !p.storeAvailable(now, e) {
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
	for _, e := range p.engines {
		if e.loading != nil {
			n++
		}
	}
	return n
}
