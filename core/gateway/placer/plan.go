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
	clear(p.ahead)
	p.atStore = 0
	p.forget()
	orders := append(p.repeat(now), p.follow(now)...)
	for _, k := range p.wanted(now) {
		if o, ok := p.serve(now, k); ok {
			orders = append(orders, o)
		}
	}
	if o, ok := p.fill(now); ok {
		orders = append(orders, o)
	}
	return orders
}

// repeat sends orders again that got no answer.
func (p *Placer) repeat(now clock.Time) []Order {
	var orders []Order
	for _, l := range p.ordered {
		if q := l.pending; q != nil && !q.flying && now.Sub(q.sentAt) >= orderRepeat && !l.server.ZoneClosed() && l.reach == Reachable {
			q.sentAt, q.flying, q.again = now, true, true
			orders = append(orders, q.order)
		}
	}
	return orders
}

// follow loads what room was made for.
func (p *Placer) follow(now clock.Time) []Order {
	var orders []Order
	for _, l := range p.ordered {
		model := l.reserved(now)
		if model == "" || !l.free(now) {
			continue
		}
		if l.models[model] != nil || l.usedMB()+l.engine.Models[model].WeightsMB > l.engine.MemoryMB {
			l.reservation = reservation{}
			continue
		}
		if _, store := l.loadTime(model); store && !p.storeRoom(now, l) {
			continue
		}
		l.reservation = reservation{}
		p.held[Key{Group: l.group, Model: model}]--
		if o, ok := p.order(now, l, Load, model, ""); ok {
			orders = append(orders, o)
		}
	}
	return orders
}

// wanted returns the keys that need an order, the most urgent first: what
// waits, then busy models with too few engines.
func (p *Placer) wanted(now clock.Time) []Key {
	var keys []Key
	for k := range p.wants {
		if !p.impossible(now, Key{Group: k.Group, Model: k.Model, Adapter: k.Adapter}) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		x, y := p.wants[a], p.wants[b]
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(x.rank(now), y.rank(now)), compareKeys(a, b))
	})
	for _, model := range sortedKeys(p.rates) {
		if p.replicas(now, model) == 0 {
			continue
		}
		for _, group := range p.groupsOf(model) {
			k := Key{Group: group, Model: model}
			if _, waits := p.wants[k]; !waits && !p.impossible(now, k) {
				keys = append(keys, k)
			}
		}
	}
	return keys
}

// rank is the moment by which wants of one priority are ordered.
func (w Demand) rank(now clock.Time) clock.Time {
	if w.ObjectiveDeadline != 0 && now.Add(TypicalSwapTime) > w.ObjectiveDeadline {
		return w.Since.Add(overdueBehind)
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
	for _, l := range p.ordered {
		if _, ok := l.engine.Models[model]; ok && !slices.Contains(groups, l.group) {
			groups = append(groups, l.group)
		}
	}
	return groups
}

// serve returns the next order that brings a key nearer to being served.
func (p *Placer) serve(now clock.Time, k Key) (Order, bool) {
	model := k.model()
	held := p.heldIn(now, k)
	if k.Adapter != "" && held > 0 {
		return p.serveAdapter(now, k)
	}
	need := p.replicas(now, k.Model)
	if p.waitsOn[model] {
		need = max(1, need)
	}
	if held >= need {
		return Order{}, false
	}
	// Callers that wait for room are as urgent as those that wait for a model.
	return p.place(now, Key{Group: k.Group, Model: k.Model, AllowedRegions: k.AllowedRegions}, held == 0 || p.wants[k].Saturated)
}

// heldIn returns how many engines hold a model, or will, where its requests may run.
func (p *Placer) heldIn(now clock.Time, k Key) int {
	if k.AllowedRegions == "" {
		return p.held[k.model()]
	}
	n := 0
	for _, l := range p.ordered {
		if l.group == k.Group && !l.leaving && l.hasOrGets(now, k.Model) && k.AllowedRegions.Allows(l.server.Region()) {
			n++
		}
	}
	return n
}

// option is one way to load a model.
type option struct {
	lane   *lane
	victim string // to be unloaded first; "": there is room
	ready  time.Duration
	work   time.Duration // of the lane, for this load alone
	store  bool
	// storePause is the time between two loads from the weight store while
	// they wait for each other.
	storePause time.Duration
	idle       time.Duration // of the victim
	blocked    bool          // nothing can be unloaded now
}

// place orders a load of a model where it is ready first, or makes room there.
// first says that callers wait for it.
func (p *Placer) place(now clock.Time, k Key, first bool) (Order, bool) {
	var options []option // that are there now
	var later []option   // that were there if a lane had an idle model
	for _, l := range p.ordered {
		o, ok := p.option(now, l, k, first)
		switch {
		case ok && o.blocked:
			later = append(later, o)
		case ok:
			options = append(options, o)
		}
	}
	p.expect(now, k, append(later, options...))
	if len(options) == 0 {
		return Order{}, false
	}
	best := slices.MinFunc(options, sooner)
	switch {
	case !best.lane.free(now):
		return Order{}, false // its lane is free soon, and waiting is faster
	case best.store && !p.mayUseStore(now, best.lane, k):
		return Order{}, false // and no model makes room in vain meanwhile
	case best.victim != "":
		best.lane.reservation = reservation{model: k.Model, until: now.Add(reserveFor)}
		p.held[k.model()]++
		return p.order(now, best.lane, Unload, best.victim, "")
	}
	return p.order(now, best.lane, Load, k.Model, "")
}

func sooner(a, b option) int {
	return cmp.Or(cmp.Compare(a.ready, b.ready), cmp.Compare(b.idle, a.idle), strings.Compare(a.lane.id, b.lane.id))
}

// unloadTime is what an unload adds to a load, measured over loopback.
const unloadTime = 40 * time.Millisecond

// option says how soon a lane could have a model.
func (p *Placer) option(now clock.Time, l *lane, k Key, first bool) (option, bool) {
	spec, knows := l.engine.Models[k.Model]
	if l.reserved(now) != "" {
		return option{}, false
	}
	if l.group != k.Group || !k.AllowedRegions.Allows(l.server.Region()) || l.leaving || l.reach != Reachable || !l.known || !knows || l.models[k.Model] != nil {
		return option{}, false
	}
	o := option{lane: l, idle: time.Hour}
	o.ready, o.store = l.loadTime(k.Model)
	o.work = o.ready
	if o.store {
		o.storePause = max(o.ready/storeAtOnce, time.Duration(float64(time.Second)/max(0.1, l.engine.LoadsPerSecond)))
		o.ready = max(o.ready, time.Duration(float64(o.ready)*float64(p.storeLoads()+1)/storeAtOnce))
	}
	if l.usedMB()+spec.WeightsMB > l.engine.MemoryMB {
		if v, ok := p.victim(now, l, first); ok {
			o.victim, o.idle = v, now.Sub(l.models[v].usedAt)
		} else {
			o.blocked = true
			o.ready += settledFor
		}
		o.ready += unloadTime
		o.work += unloadTime
	}
	if l.loading != nil {
		o.ready += max(0, l.loading.expected.Sub(now))
	}
	o.ready += p.ahead[l]
	// A load slows what runs beside it little, but its own first tokens wait
	// behind them: prefer the engine with less to do.
	o.ready += time.Duration(l.server.Running()) * time.Millisecond
	return o, true
}

// victim returns the model that an engine misses least: idle, waited for by
// nobody, and unused for longest. Engines of a busy model above its need come
// first. If first is false, the load is for speed only, and takes nothing that
// was used of late.
func (p *Placer) victim(now clock.Time, l *lane, first bool) (string, bool) {
	const quiet = 4 * time.Second
	best, bestIdle := "", time.Duration(-1)
	for _, name := range sortedKeys(l.models) {
		m := l.models[name]
		if l.server.RunningForModel(name) > 0 || now.Sub(m.loadedAt) < settledFor {
			continue
		}
		k := Key{Group: l.group, Model: name}
		if p.waitsOn[k] || p.held[k] <= p.replicas(now, name) {
			continue
		}
		idle := now.Sub(m.usedAt)
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
func (p *Placer) order(now clock.Time, l *lane, kind OrderKind, model, adapter string) (Order, bool) {
	spec := l.engine.Models[model]
	if kind == Load {
		size := spec.WeightsMB
		if adapter != "" {
			size = spec.AdapterMB
		}
		if !p.check.Hold(l.usedMB()+size <= l.engine.MemoryMB, "engine-memory",
			"%s: %.0f MB in use and %.0f more of %.0f", l.id, l.usedMB(), size, l.engine.MemoryMB) {
			return Order{}, false
		}
		if adapter != "" && !p.check.Hold(l.adapterCount() < l.engine.AdapterSlots, "adapter-places",
			"%s: %d adapters of %d", l.id, l.adapterCount(), l.engine.AdapterSlots) {
			return Order{}, false
		}
		if _, store := l.loadTime(model); store && adapter == "" {
			p.tokens--
		}
	}
	if kind == Load && adapter == "" {
		p.held[Key{Group: l.group, Model: model}]++
	} else if adapter == "" {
		p.held[Key{Group: l.group, Model: model}]--
	}
	return l.send(now, Order{
		Server: l.id, Address: l.address, Born: l.born, Kind: kind,
		Model: model, Adapter: adapter, Precondition: l.sequence,
	}), true
}

// serveAdapter loads an adapter on an engine that holds its model.
func (p *Placer) serveAdapter(now clock.Time, k Key) (Order, bool) {
	var best *lane
	for _, l := range p.ordered {
		if l.group != k.Group || !k.AllowedRegions.Allows(l.server.Region()) || l.leaving || l.models[k.Model] == nil {
			continue
		}
		if _, ok := l.models[k.Model].adapters[k.Adapter]; ok {
			return Order{}, false
		}
		if q := l.pending; q != nil && q.order.Adapter == k.Adapter && q.order.Model == k.Model {
			return Order{}, false
		}
		if l.free(now) && (best == nil || l.adapterCount() < best.adapterCount()) {
			best = l
		}
	}
	if best == nil {
		return Order{}, false
	}
	spec := best.engine.Models[k.Model]
	if best.adapterCount() < best.engine.AdapterSlots && best.usedMB()+spec.AdapterMB <= best.engine.MemoryMB {
		return p.order(now, best, Load, k.Model, k.Adapter)
	}
	model, adapter, ok := p.adapterVictim(now, best)
	if !ok {
		return Order{}, false
	}
	return p.order(now, best, Unload, model, adapter)
}

// adapterVictim returns the adapter that was loaded or wanted longest ago.
func (p *Placer) adapterVictim(now clock.Time, l *lane) (model, adapter string, ok bool) {
	oldest := now
	for _, m := range sortedKeys(l.models) {
		for _, a := range sortedKeys(l.models[m].adapters) {
			if _, waits := p.wants[Key{Group: l.group, Model: m, Adapter: a}]; waits {
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
	if l := p.lanes[server]; l != nil && l.models[model] != nil {
		if a := l.models[model].adapters[name]; a != nil {
			a.usedAt = now
		}
	}
}

// fill loads a model that no engine holds onto an engine with room, when
// nothing waits: a new engine starts empty, and its memory is of no use until
// somebody asks for what is not there.
func (p *Placer) fill(now clock.Time) (Order, bool) {
	if len(p.wants) > 0 || p.lanesLoading() > 0 {
		return Order{}, false
	}
	for _, l := range p.ordered {
		if !l.free(now) {
			continue
		}
		if model, ok := p.missing(now, l); ok {
			return p.order(now, l, Load, model, "")
		}
	}
	return Order{}, false
}

// missing returns the model that fits into an engine's free memory, is held
// nowhere and was asked for last.
func (p *Placer) missing(now clock.Time, l *lane) (string, bool) {
	best, found := "", false
	var last clock.Time
	for _, name := range sortedKeys(l.engine.Models) {
		spec := l.engine.Models[name]
		k := Key{Group: l.group, Model: name}
		if l.usedMB()+spec.WeightsMB > l.engine.MemoryMB || p.impossible(now, k) {
			continue
		}
		if p.held[k] > 0 {
			continue
		}
		if _, store := l.loadTime(name); store && !p.storeRoom(now, l) {
			continue
		}
		var at clock.Time
		if r := p.rates[name]; r != nil {
			at = r.last
		}
		if !found || at > last {
			best, found, last = name, true, at
		}
	}
	return best, found
}

func (p *Placer) lanesLoading() int {
	n := 0
	for _, l := range p.lanes {
		if l.loading != nil {
			n++
		}
	}
	return n
}
