package placer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/manifest"
)

const (
	group     = "g"
	testTick  = 10 * time.Millisecond
	modelMB   = 70_000
	adapterMB = 60
)

// fakeEngine is a simulated engine. It executes one order at a time, and only those whose
// precondition holds. It fails the test when it is ordered to load more than fits into its
// memory.
type fakeEngine struct {
	id          string
	zone        string
	incarnation int64
	startedAt   clock.Time
	sequence    int64
	models      map[string]map[string]bool // adapters by model
	onDisk      []string
	inMemory    []string
	loading     string
	fromStore   bool // the load in progress
	doneAt      clock.Time
	delayed     []delayedOrder
}

type delayedOrder struct {
	at    clock.Time
	order Order
}

// simulation runs a Placer with simulated engines in virtual time.
type simulation struct {
	t              rapid.TB
	rng            *rand.Rand
	now            clock.Time
	config         *manifest.Engine
	groups         map[string]*manifest.Group
	dir            *directory.Directory
	engines        map[string]*fakeEngine
	placer         *Placer
	demand         map[Key]Demand
	responses      []scheduledResponse
	noResponseRate float64      // share of the orders that get no response
	loadsLost      bool         // loads get no response
	storeLoads     []clock.Time // when each load from the weight store started
	waitTimes      []time.Duration
	unloads        int
	entriesLate    bool // engines' entries aren't written
	startUntold    bool // reports don't tell the engine's start
	// storeAtOnce is how many loads from the weight store run at full speed; 0: any number.
	storeAtOnce int
}

type scheduledResponse struct {
	at    clock.Time
	apply func()
}

func newSimulation(t rapid.TB, seed uint64, engines, models int) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: clock.Time(time.Hour),
		dir: directory.New(), engines: make(map[string]*fakeEngine), placer: New(nil), demand: make(map[Key]Demand),
	}
	sim.config = &manifest.Engine{Slots: 16, MemoryMB: 220_000, AdapterSlots: 8, LoadsPerSecond: 4, Models: make(map[string]manifest.Model)}
	for i := range models {
		name := model(i)
		sim.config.Models[name] = manifest.Model{
			Name: name, WeightsMB: modelMB, AdapterMB: adapterMB, Adapters: 30,
			LoadFromStore: 6 * time.Second, LoadFromDisk: time.Second, LoadFromMemory: 400 * time.Millisecond,
		}
	}
	sim.groups = map[string]*manifest.Group{group: {Name: group, Engine: sim.config}}
	for i := range engines {
		e := &fakeEngine{id: fmt.Sprintf("e%02d", i), incarnation: 1, models: make(map[string]map[string]bool)}
		for m := range models {
			if (m+i)%3 == 0 {
				e.onDisk = append(e.onDisk, model(m))
			}
		}
		for j := range 3 {
			e.models[model((i*3+j)%models)] = make(map[string]bool)
		}
		sim.engines[e.id] = e
		sim.writeEntry(e)
	}
	return sim
}

func model(i int) string { return fmt.Sprintf("m%03d", i) }

// writeEntry writes an engine's entry to the directory.
func (sim *simulation) writeEntry(e *fakeEngine) {
	if sim.entriesLate {
		return
	}
	entry := directory.Entry{ID: e.id, Address: e.id, Zone: e.zone, Group: group, Incarnation: e.incarnation, Slots: 16, OnDisk: e.onDisk, InMemory: e.inMemory, Age: sim.now.Sub(e.startedAt)}
	entry.LoadedModels = e.loadedModels()
	sim.dir.Put(sim.now, entry)
}

func (e *fakeEngine) loadedModels() []directory.LoadedModel {
	var all []directory.LoadedModel
	for _, m := range sortedKeys(e.models) {
		all = append(all, directory.LoadedModel{Model: m, Adapters: sortedKeys(e.models[m])})
	}
	return all
}

// execute executes an order or refuses it.
func (sim *simulation) execute(e *fakeEngine, o Order) OrderResult {
	switch {
	case o.Precondition != e.sequence:
		return Busy
	case o.Adapter != "":
		return sim.executeAdapter(e, o)
	case e.loading != "":
		return Busy
	case o.Kind == Load && e.models[o.Model] != nil:
		return AlreadyDone
	case o.Kind == Unload:
		e.sequence++
		e.inMemory = append(e.inMemory, o.Model)
		if len(e.inMemory) > 2 {
			e.inMemory = e.inMemory[1:]
		}
		delete(e.models, o.Model)
		sim.unloads++
		return Accepted
	}
	e.sequence++
	sim.load(e, o.Model)
	return Accepted
}

func (sim *simulation) load(e *fakeEngine, model string) {
	if float64(len(e.models)+1)*modelMB > sim.config.MemoryMB {
		sim.t.Fatalf("%s ordered to load %s beside %v", e.id, model, sortedKeys(e.models))
	}
	duration := 6 * time.Second
	switch {
	case slices.Contains(e.inMemory, model):
		duration = 400 * time.Millisecond
	case slices.Contains(e.onDisk, model):
		duration = time.Second
	default:
		sim.storeLoads = append(sim.storeLoads, sim.now)
		e.onDisk = append(e.onDisk, model)
	}
	e.loading, e.doneAt = model, sim.now.Add(duration)
	e.fromStore = duration == 6*time.Second
}

// slowStoreLoads makes the loads from the weight store share its speed.
func (sim *simulation) slowStoreLoads() {
	var loading []*fakeEngine
	for _, e := range sim.engines {
		if e.loading != "" && e.fromStore {
			loading = append(loading, e)
		}
	}
	if sim.storeAtOnce == 0 || len(loading) <= sim.storeAtOnce {
		return
	}
	slowdown := 1 - float64(sim.storeAtOnce)/float64(len(loading))
	for _, e := range loading {
		e.doneAt = e.doneAt.Add(time.Duration(slowdown * float64(testTick)))
	}
}

func (sim *simulation) executeAdapter(e *fakeEngine, o Order) OrderResult {
	adapters := e.models[o.Model]
	if adapters == nil {
		return NotFound
	}
	e.sequence++
	if o.Kind == Unload {
		delete(adapters, o.Adapter)
		return AlreadyDone
	}
	n := 0
	for _, a := range e.models {
		n += len(a)
	}
	if n >= sim.config.AdapterSlots {
		sim.t.Fatalf("%s ordered to load adapter %d", e.id, n+1)
	}
	adapters[o.Adapter] = true
	return Accepted
}

// send delivers an order. Some get no response and are executed late.
func (sim *simulation) send(o Order) {
	e := sim.engines[o.Server]
	if sim.rng.Float64() < sim.noResponseRate || sim.loadsLost && o.Kind == Load {
		e.delayed = append(e.delayed, delayedOrder{sim.now.Add(time.Duration(sim.rng.IntN(12_000)) * time.Millisecond), o})
		sim.respond(300*time.Millisecond, o, NoResponse)
		return
	}
	sim.respond(2*time.Millisecond, o, sim.execute(e, o))
}

func (sim *simulation) respond(after time.Duration, o Order, result OrderResult) {
	sim.responses = append(sim.responses, scheduledResponse{sim.now.Add(after), func() { sim.placer.HandleResult(sim.now, o, result) }})
}

func (sim *simulation) tick() {
	sim.now = sim.now.Add(testTick)
	sim.slowStoreLoads()
	for _, id := range sortedKeys(sim.engines) {
		sim.advance(sim.engines[id])
	}
	due := sim.responses
	sim.responses = nil
	for _, r := range due {
		if sim.now >= r.at {
			r.apply()
		} else {
			sim.responses = append(sim.responses, r)
		}
	}
	sim.placer.SetDemand(sim.demand)
	sim.placer.Sync(sim.now, sim.dir.InGroup(group), sim.groups)
	for _, o := range sim.placer.Plan(sim.now) {
		sim.send(o)
	}
	for _, id := range sim.placer.DueQueries(sim.now) {
		sim.query(sim.engines[id])
	}
	sim.serveWaiting()
}

func (sim *simulation) advance(e *fakeEngine) {
	if e.loading != "" && sim.now >= e.doneAt {
		e.models[e.loading], e.loading = make(map[string]bool), ""
		sim.writeEntry(e)
	}
	var later []delayedOrder
	for _, d := range e.delayed {
		if sim.now >= d.at {
			sim.execute(e, d.order)
		} else {
			later = append(later, d)
		}
	}
	e.delayed = later
}

// query responds to a query with the state of the engine at the time of the query.
func (sim *simulation) query(e *fakeEngine) {
	queriedAt, incarnation := sim.now, sim.dir.Get(e.id).Incarnation
	r := Report{Incarnation: e.incarnation, Sequence: e.sequence, Busy: e.loading != "", LoadedModels: e.loadedModels()}
	if sim.startUntold {
		r.Incarnation = 0
	}
	sim.responses = append(sim.responses, scheduledResponse{sim.now.Add(20 * time.Millisecond), func() {
		sim.placer.HandleReport(sim.now, e.id, incarnation, queriedAt, r)
	}})
}

// serveWaiting removes the demand for models that the placer considers usable.
func (sim *simulation) serveWaiting() {
	for _, id := range sortedKeys(sim.engines) {
		_, models, ok := sim.placer.UsableModels(sim.now, id)
		if !ok {
			continue
		}
		for _, m := range models {
			for k, d := range sim.demand {
				if k.Model == m.Model && (k.Adapter == "" || slices.Contains(m.Adapters, k.Adapter)) {
					sim.waitTimes = append(sim.waitTimes, sim.now.Sub(d.Since))
					delete(sim.demand, k)
				}
			}
		}
	}
}

func (sim *simulation) request(k Key) {
	k.Group = group
	sim.placer.RecordArrivals(sim.now, k.Model, 1)
	if _, ok := sim.demand[k]; !ok {
		sim.demand[k] = Demand{Requests: 1, Since: sim.now}
	}
}

// firstOrder returns the first order for a demand, or none if there is none within ten seconds. It is not sent.
func (sim *simulation) firstOrder(key Key) Order {
	start := sim.now
	for sim.now.Sub(start) < 10*time.Second {
		sim.now = sim.now.Add(testTick)
		sim.placer.SetDemand(map[Key]Demand{key: {Requests: 1, Since: start}})
		sim.placer.Sync(sim.now, sim.dir.InGroup(group), sim.groups)
		for _, id := range sim.placer.DueQueries(sim.now) {
			sim.placer.HandleReport(sim.now, id, 1, sim.now, Report{LoadedModels: sim.engines[id].loadedModels()})
		}
		if orders := sim.placer.Plan(sim.now); len(orders) > 0 {
			return orders[0]
		}
	}
	return Order{}
}

// restart restarts an engine under the same id; only the copies on its disk remain.
func (sim *simulation) restart(e *fakeEngine) {
	e.incarnation++
	e.startedAt = sim.now
	e.sequence, e.models, e.loading, e.inMemory = 0, make(map[string]map[string]bool), "", nil
	sim.writeEntry(e)
}

// replacePlanner lets an instance plan that knows none of the orders given so far.
func (sim *simulation) replacePlanner() { sim.placer, sim.responses = New(nil), nil }

// forgetOrders makes the orders given so far those of another planner, which this one does not know.
func (sim *simulation) forgetOrders() {
	clear(sim.placer.engines)
	clear(sim.placer.lateOrders)
	sim.responses = nil
}

// restartBeforeEntry restarts an engine, whose entry says so a second later, and lets another instance plan.
func (sim *simulation) restartBeforeEntry(e *fakeEngine) {
	sim.replacePlanner()
	sim.entriesLate = true
	sim.restart(e)
	for range int(time.Second / testTick) {
		sim.tick()
	}
	sim.entriesLate = false
	sim.writeEntry(e)
}

// forgetEntries makes the entries new to the planner's instance, which knows their age alone.
func (sim *simulation) forgetEntries() {
	sim.dir = directory.New()
	for _, e := range sim.engines {
		sim.writeEntry(e)
	}
	sim.dir.SetComplete(sim.now, 0)
}

func (sim *simulation) run(d time.Duration, perSecond float64, beforeTick func()) {
	for range int(d / testTick) {
		if sim.rng.Float64() < perSecond*testTick.Seconds() {
			k := Key{Model: model(sim.rng.IntN(len(sim.config.Models)))}
			if sim.rng.IntN(10) == 0 {
				k.Adapter = fmt.Sprintf("a%d", sim.rng.IntN(30))
			}
			sim.request(k)
		}
		if beforeTick != nil {
			beforeTick()
		}
		sim.tick()
	}
}

// Nine engines hold 27 of 50 models, and requests for random models arrive about twice a
// second. Nearly all of them must wait no longer than a load from disk takes, so that they
// are still served in time.
func TestRareModelsWaitOneSwap(t *testing.T) {
	sim := newSimulation(t, 1, 9, 50)
	sim.run(2*time.Minute, 2.4, nil)
	slices.Sort(sim.waitTimes)
	n := len(sim.waitTimes)
	if n < 200 {
		t.Fatalf("%d requests served, want 200 at least", n)
	}
	if p95 := sim.waitTimes[n*95/100]; p95 > 1500*time.Millisecond {
		t.Errorf("the 95th percentile of the wait times is %v, want 1.5 s at most", p95)
	}
}

// Orders get no response and are executed up to twelve seconds later, and engines restart
// under the same id. No engine may be ordered to load more than its memory or adapter slots
// allow, which would crash it, and all demand must be served in the end.
func TestNeverOvercommitted(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(t, seed, 4, 20)
		sim.noResponseRate = 0.4
		sim.run(time.Minute, 4, func() {
			if sim.rng.IntN(1000) == 0 {
				ids := sortedKeys(sim.engines)
				sim.restart(sim.engines[ids[sim.rng.IntN(len(ids))]])
			}
		})
		sim.noResponseRate = 0
		sim.run(30*time.Second, 0, nil)
		if len(sim.demand) > 0 {
			t.Errorf("seed %d: demand not served after 30 s: %v", seed, sim.demand)
		}
	}
}

// All engines start with empty disks. Loads from the weight store must stay within its rate
// limit.
func TestStoreRateLimit(t *testing.T) {
	sim := newSimulation(t, 3, 6, 40)
	for _, id := range sortedKeys(sim.engines) {
		sim.engines[id].onDisk = nil
		sim.restart(sim.engines[id])
	}
	sim.run(time.Minute, 5, nil)
	const window = 5 * time.Second
	limit := sim.config.LoadsPerSecond*window.Seconds()*1.1 + 3
	for i, start := range sim.storeLoads {
		n := 0
		for _, at := range sim.storeLoads[i:] {
			if at.Sub(start) <= window {
				n++
			}
		}
		if float64(n) > limit {
			t.Fatalf("%d loads from the store started within %v", n, window)
		}
	}
	if len(sim.storeLoads) == 0 {
		t.Error("no load from the store")
	}
}

// The demand for one model jumps from nothing to forty requests a second. Within four
// seconds, two to measure the rate and one to load, the model must be on as many engines as
// the rate needs, and these engines must keep it while the demand lasts.
func TestBusyModelIsReplicated(t *testing.T) {
	sim := newSimulation(t, 4, 9, 50)
	sim.run(5*time.Second, 0, nil)
	busy := Key{Model: model(7)}
	requestBusy := func() {
		if sim.rng.Float64() < 40*testTick.Seconds() {
			sim.request(busy)
		}
	}
	for _, d := range []time.Duration{4 * time.Second, 10 * time.Second} {
		sim.run(d, 1, requestBusy)
		if n := sim.holders(busy.Model); n < 3 {
			t.Errorf("model loaded on %d engines after %v, want 3 at least", n, d)
		}
	}
}

func (sim *simulation) holders(model string) int {
	n := 0
	for _, e := range sim.engines {
		if _, ok := e.models[model]; ok {
			n++
		}
	}
	return n
}

// An order without a response must be sent again unchanged: of two equal orders at most one
// takes effect, whenever the first is executed.
func TestOrderWithoutResponseIsResentUnchanged(t *testing.T) {
	sim := newSimulation(t, 5, 1, 10)
	sim.run(time.Second, 0, nil)
	sim.request(Key{Model: model(9)})
	sim.placer.SetDemand(sim.demand)
	sim.placer.Sync(sim.now, sim.dir.InGroup(group), sim.groups)
	first := sim.placer.Plan(sim.now)
	if len(first) != 1 {
		t.Fatalf("%d orders, want 1", len(first))
	}
	sim.placer.HandleResult(sim.now, first[0], NoResponse)
	sim.now = sim.now.Add(resendDelay)
	again := sim.placer.Plan(sim.now)
	if len(again) != 1 || again[0] != first[0] {
		t.Errorf("got %v, want the same order again: %v", again, first)
	}
}
