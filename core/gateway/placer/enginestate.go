package placer

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/manifest"
)

// lane is one engine as the placer sees it.
type lane struct {
	id, address, group, zone string
	born                     int64
	engine                   *manifest.Engine
	server                   *directory.Server
	leaving                  bool // it serves no more, or not for long, or is out of reach
	reach                    Reachability

	known    bool // sequence and holdings can be relied on
	sequence int64
	models   map[string]*resident
	inMemory []string
	onDisk   []string

	reservation reservation
	pending     *pending // an order without a final answer
	loading     *loading // an accepted load of a model
	conflicts   int
	changedAt   clock.Time // the last change of the holdings by an order
	mustAsk     bool
	askedAt     clock.Time
	retryAt     clock.Time
}

type resident struct {
	adapters map[string]*adapter
	loadedAt clock.Time
	usedAt   clock.Time
}

type adapter struct {
	readyAt clock.Time
	usedAt  clock.Time
}

type pending struct {
	order  Order
	sentAt clock.Time
	flying bool // sent, and neither answered nor timed out
	again  bool // sent more than once
}

// reservation keeps a lane for the model that room is made for. Without it the
// next plan, which does not see the room yet, would make room elsewhere too.
type reservation struct {
	model string
	until clock.Time
}

// reportLag is how old a report may be. A lower count of orders in a later one is
// right: an answer that was read as if the engine had counted an order, which it had
// not, would else keep the engine from all orders for ever.
const reportLag = time.Second

// reserveFor bounds a reservation: an unload waits for runs that began just
// before it.
const reserveFor = 1500 * time.Millisecond

// reserved returns the model that the lane is kept for.
func (l *lane) reserved(now clock.Time) string {
	if now.Before(l.reservation.until) {
		return l.reservation.model
	}
	return ""
}

type loading struct {
	model    string
	began    clock.Time
	expected clock.Time
	store    bool // from the weight store
}

func newLane(s *directory.Server, now clock.Time) *lane {
	return &lane{
		id: s.ID, address: s.Address, group: s.Group, zone: s.Zone, born: s.Incarnation, server: s,
		models: make(map[string]*resident), sequence: -1,
	}
}

// reached takes how the engine can be ordered. Others may have ordered it while it was out
// of reach.
func (l *lane) reached(r Reachability) {
	if l.reach == Unreachable && r != Unreachable {
		l.mustAsk = true
	}
	l.reach = r
}

// sync takes the engine's entry.
func (l *lane) sync(now clock.Time, s *directory.Server, entry *directory.Entry, e *manifest.Engine) {
	l.server, l.engine, l.address, l.leaving = s, e, s.Address, !s.RemainsInService() || l.reach == Unreachable
	l.inMemory, l.onDisk = s.InMemory, s.OnDisk
	if l.loading != nil && now.Reached(l.loading.expected) {
		if _, ok := entry.LoadedModel(l.loading.model); ok {
			l.loaded(now)
		}
	}
	if l.known && !l.mustAsk && l.pending == nil && l.loading == nil && now.Sub(l.changedAt) > entryLag && l.differs(entry) {
		l.mustAsk, l.changedAt = true, now
	}
	for name, m := range l.models {
		if s.RunningForModel(name) > 0 {
			m.usedAt = now
		}
	}
}

// entryLag is how long an engine's entry may lag behind its orders.
const entryLag = 4 * time.Second

// differs reports whether the engine's entry names other models than the lane.
func (l *lane) differs(entry *directory.Entry) bool {
	for _, h := range entry.LoadedModels {
		if l.models[h.Model] == nil {
			return true
		}
	}
	return len(entry.LoadedModels) != len(l.models)
}

// adopt replaces what the lane believes by what the engine said.
func (l *lane) adopt(now clock.Time, sequence int64, holdings []directory.LoadedModel) {
	before := l.models
	l.known, l.sequence = true, sequence
	l.models = make(map[string]*resident, len(holdings))
	for _, h := range holdings {
		m := before[h.Model]
		if m == nil {
			m = &resident{loadedAt: now, usedAt: l.server.ModelLastUsed(h.Model)}
		}
		adapters := make(map[string]*adapter, len(h.Adapters))
		for _, a := range h.Adapters {
			if adapters[a] = m.adapters[a]; adapters[a] == nil {
				adapters[a] = &adapter{readyAt: now, usedAt: now}
			}
		}
		m.adapters = adapters
		l.models[h.Model] = m
	}
}

// loaded ends a load that took effect.
func (l *lane) loaded(now clock.Time) {
	l.changedAt = now
	l.models[l.loading.model] = &resident{adapters: make(map[string]*adapter), loadedAt: now, usedAt: now}
	l.loading = nil
}

// usable returns the models and adapters that requests may use.
func (l *lane) usable(now clock.Time) []directory.LoadedModel {
	var holdings []directory.LoadedModel
	for _, name := range sortedKeys(l.models) {
		h := directory.LoadedModel{Model: name}
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

// coming returns the model that the lane is loading or has the order for.
func (l *lane) coming() string {
	if l.loading != nil {
		return l.loading.model
	}
	if q := l.pending; q != nil && q.order.Kind == Load && q.order.Adapter == "" {
		return q.order.Model
	}
	return ""
}

// hasOrGets reports whether the engine holds a model, or will.
func (l *lane) hasOrGets(now clock.Time, model string) bool {
	return l.models[model] != nil || l.coming() == model || l.reserved(now) == model
}

// free reports whether the lane can take an order now.
func (l *lane) free(now clock.Time) bool {
	return l.known && !l.leaving && l.reach == Reachable && !l.mustAsk && l.pending == nil && l.loading == nil && now.Reached(l.retryAt)
}

// askDue reports whether the engine must be asked what it holds.
func (l *lane) askDue(now clock.Time) bool {
	if now.Sub(l.askedAt) < askAgain && l.askedAt != 0 || l.server.ZoneClosed() || l.reach == Unreachable {
		return false
	}
	return l.mustAsk || !l.known || l.loading != nil && now.Reached(l.loading.expected.Add(loadSlack))
}

func (l *lane) reported(now, asked clock.Time, r Report) {
	if l.pending != nil || r.Sequence < l.sequence && asked.Sub(l.changedAt) < reportLag {
		return // from before an order of ours
	}
	l.mustAsk, l.conflicts = false, 0
	if l.loading == nil {
		l.adopt(now, r.Sequence, r.Holdings)
		l.mustAsk = r.Busy
		return
	}
	for _, h := range r.Holdings {
		if h.Model == l.loading.model {
			l.loaded(now)
			l.adopt(now, r.Sequence, r.Holdings)
			return
		}
	}
	overdue := now.Sub(l.loading.began) > loadOverdue*l.loading.expected.Sub(l.loading.began)
	if overdue && !r.Busy {
		l.loading = nil
		l.adopt(now, r.Sequence, r.Holdings)
	}
}

// send makes o the pending order.
func (l *lane) send(now clock.Time, o Order) Order {
	l.pending = &pending{order: o, sentAt: now, flying: true}
	return o
}

// answered takes the answer to the pending order.
func (l *lane) answered(now clock.Time, o Order, a OrderResult) {
	switch a {
	case Accepted:
		l.pending, l.conflicts = nil, 0
		l.sequence++
		l.apply(now, o)
	case AlreadyDone:
		l.pending, l.conflicts = nil, 0
		if o.Adapter != "" && o.Kind == Unload {
			l.sequence++ // carried out at once
		}
		l.apply(now, o)
		if l.loading != nil {
			l.loaded(now)
		}
	case Busy:
		again := l.pending.again
		l.pending = nil
		l.retryAt = now.Add(busyRepeat)
		if l.conflicts++; l.conflicts >= conflictLimit || o.Adapter != "" || again {
			l.mustAsk = true
		}
	case NoResponse:
		l.pending.flying = false
	case Fenced, WrongServer, NotFound:
		l.pending = nil
		l.known = a == NotFound
	}
}

// apply records an order that is being carried out.
func (l *lane) apply(now clock.Time, o Order) {
	l.changedAt = now
	m := l.models[o.Model]
	switch {
	case o.Adapter != "" && m == nil:
		l.mustAsk = true
	case o.Adapter != "" && o.Kind == Load:
		m.adapters[o.Adapter] = &adapter{readyAt: now.Add(adapterLoad), usedAt: now}
	case o.Adapter != "":
		delete(m.adapters, o.Adapter)
	case o.Kind == Load:
		took, store := l.loadTime(o.Model)
		l.loading = &loading{model: o.Model, began: now, expected: now.Add(took), store: store}
	default:
		delete(l.models, o.Model)
	}
}

// loadTime returns how long a load of a model takes here, and whether it comes
// from the weight store.
func (l *lane) loadTime(model string) (took time.Duration, store bool) {
	m := l.engine.Models[model]
	switch {
	case slices.Contains(l.inMemory, model):
		return m.LoadFromMemory, false
	case slices.Contains(l.onDisk, model):
		return m.LoadFromDisk, false
	}
	return m.LoadFromStore, true
}

// usedMB is the memory that models and adapters take, with what an order may
// still bring.
func (l *lane) usedMB() float64 {
	total := 0.0
	for name, m := range l.models {
		spec := l.engine.Models[name]
		total += spec.WeightsMB + float64(len(m.adapters))*spec.AdapterMB
	}
	if l.loading != nil {
		total += l.engine.Models[l.loading.model].WeightsMB
	}
	return total
}

// adapterCount counts the adapters of all models.
func (l *lane) adapterCount() int {
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
