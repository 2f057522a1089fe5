package placer

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
)

// restartUnderOrder plays an engine that is full and swaps, and restarts as it gets the order to load. It
// returns the engine and that order, which got no response.
func restartUnderOrder(t *testing.T, sim *simulation) (*fakeEngine, Order) {
	e := sim.engines["e00"]
	e.onDisk = sortedKeys(sim.config.Models)
	sim.writeEntry(e)
	sim.run(time.Second, 0, nil)
	sim.request(Key{Group: group, Model: model(3)})
	sim.run(10*time.Second, 0, nil) // two orders
	sim.request(Key{Group: group, Model: model(4)})
	for end := sim.now.Add(5 * time.Second); e.sequence == 2; sim.tick() {
		if sim.now > end {
			t.Fatal("no model was unloaded")
		}
	}
	sim.noResponseRate = 1
	for end := sim.now.Add(time.Second); len(e.delayed) == 0; sim.tick() {
		if sim.now > end {
			t.Fatal("no order to load")
		}
	}
	late := e.delayed[0].order
	e.delayed, sim.noResponseRate = nil, 0
	if late.Kind != Load {
		t.Fatalf("order %+v, want a load", late)
	}
	return e, late
}

// overfills reports whether an engine would be ordered beyond its memory if an order arrived now.
func (sim *simulation) overfills(e *fakeEngine, o Order) bool {
	held := len(e.models)
	if e.loading != "" {
		held++
	}
	_, holds := e.models[o.Model]
	return o.Precondition == e.sequence && !holds && e.loading == "" && float64(held+1)*modelMB > sim.config.MemoryMB
}

// fillBeside asks for three models until a time after an order was sent that got no response, which must not overfill the
// engine whenever it arrives; the engine must hold the three once it can't.
func (sim *simulation) fillBeside(e *fakeEngine, late Order, sentAt clock.Time, until time.Duration) {
	full := 0
	for i := 0; sim.now.Sub(sentAt) < until; i++ {
		if i%100 == 0 {
			sim.request(Key{Group: group, Model: model(i / 100 % 3)})
		}
		sim.tick()
		if sim.now.Sub(sentAt) <= 12*time.Second && sim.overfills(e, late) {
			sim.t.Fatalf("%v after the order was sent: count %d, %d models, so that it overfills the engine", sim.now.Sub(sentAt), e.sequence, len(e.models))
		}
		full = max(full, len(e.models))
	}
	if full != 3 {
		sim.t.Errorf("%d models at most, want 3 once the order can't arrive any more", full)
	}
}

// Guards against an order that overfills its engine, which has started again since it was sent.
func TestOrderFromBeforeARestartFits(t *testing.T) {
	for _, tc := range []struct {
		name string
		gone bool // its entry is gone for a while
		hand bool // another planner gives the orders for a moment
	}{{"back at once", false, false}, {"entry gone meanwhile", true, false}, {"planner changes", false, true}} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(t, 2, 1, 5)
			e, late := restartUnderOrder(t, sim)
			sentAt := sim.now
			if tc.gone {
				sim.dir.Remove(sim.now, e.id)
				sim.tick()
			}
			if tc.hand {
				sim.placer.ForgetEngines()
			}
			sim.restart(e)
			clear(sim.demand)
			sim.fillBeside(e, late, sentAt, 20*time.Second)
		})
	}
}

// Guards against an order that overfills its engine, which has started again since another planner sent it.
func TestOrderOfAnotherPlannerFits(t *testing.T) {
	sim := newSimulation(t, 2, 1, 5)
	e, late := restartUnderOrder(t, sim)
	sentAt := sim.now
	sim.restart(e)
	sim.placer, sim.responses = New(nil), nil
	clear(sim.demand)
	for i := 0; sim.now.Sub(sentAt) < 12*time.Second; i++ {
		if i%100 == 0 {
			sim.request(Key{Group: group, Model: model(i / 100 % 3)})
		}
		sim.tick()
		if sim.overfills(e, late) {
			t.Fatalf("%v after the order was sent: count %d, %d models, so that it overfills the engine", sim.now.Sub(sentAt), e.sequence, len(e.models))
		}
	}
}

// Guards against the order of a planner that another one does not know: it may arrive on all paths by which that
// one comes to plan.
func TestOrderOfAnUnknownPlannerFits(t *testing.T) {
	for _, tc := range []struct {
		name     string
		takeOver func(sim *simulation, e *fakeEngine)
	}{
		{"instance that started after the engine", func(sim *simulation, e *fakeEngine) {
			sim.restart(e)
			sim.replacePlanner()
			sim.tick()
			sim.forgetEntries()
		}},
		{"entry gone before", func(sim *simulation, e *fakeEngine) {
			sim.dir.Remove(sim.now, e.id)
			sim.replacePlanner()
			sim.tick()
			sim.restart(e)
		}},
		{"planner of the zone before", func(sim *simulation, e *fakeEngine) {
			sim.forgetOrders()
			sim.placer.TakeOver()
			sim.restart(e)
		}},
		{"zone cut off before", func(sim *simulation, e *fakeEngine) {
			sim.forgetOrders()
			sim.placer.SetReachability(func(string) Reachability { return Unreachable })
			sim.tick()
			sim.placer.SetReachability(nil)
			sim.restart(e)
		}},
		{"report before the entry", func(sim *simulation, e *fakeEngine) { sim.restartBeforeEntry(e) }},
		{"report before the entry, which does not tell the start", func(sim *simulation, e *fakeEngine) {
			sim.startUntold = true
			sim.restartBeforeEntry(e)
		}},
		{"report before the entry, which never comes", func(sim *simulation, e *fakeEngine) {
			sim.replacePlanner()
			sim.entriesLate, sim.startUntold = true, true
			sim.restart(e)
		}},
		{"known order, report before the entry, which never comes", func(sim *simulation, e *fakeEngine) {
			sim.entriesLate, sim.startUntold = true, true
			sim.restart(e)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(t, 2, 1, 5)
			e, late := restartUnderOrder(t, sim)
			sentAt := sim.now
			clear(sim.demand)
			tc.takeOver(sim, e)
			sim.fillBeside(e, late, sentAt, 25*time.Second)
		})
	}
}

// Guards against adapters beyond an engine's slots: a second planner fills them, then the first one's orders arrive.
func TestAdapterOrdersOfAnotherPlannerFit(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(t, seed, 1, 3)
		e := sim.engines["e00"]
		e.onDisk = sortedKeys(sim.config.Models)
		sim.run(time.Second, 0, nil)
		sim.restart(e)
		ask := func(models int) {
			sim.checkDelayed()
			if sim.rng.IntN(10) == 0 {
				sim.request(Key{Model: model(sim.rng.IntN(models)), Adapter: fmt.Sprintf("a%d", sim.rng.IntN(30))})
			}
		}
		sim.run(maxOrderDelay, 0, nil)
		sim.request(Key{Model: model(0)})
		sim.run(3*time.Second, 0, func() { ask(1) })
		sim.noResponseRate = 0.5
		sim.run(3*time.Second, 0, func() { ask(1) })
		sim.noResponseRate = 0
		sim.restart(e)
		sim.replacePlanner()
		clear(sim.demand)
		sim.run(20*time.Second, 0, func() { ask(2) })
	}
}

// Guards against an engine that is held back for no reason: it is new, or nobody else gave orders since it started.
func TestEngineWithoutUnknownOrdersIsNotHeld(t *testing.T) {
	now := clock.Time(time.Hour)
	for _, tc := range []struct {
		name                   string
		restartedAt, takenOver clock.Time
		held                   bool
	}{
		{"no earlier start", 0, now, false},
		{"start long ago", now.Add(-maxOrderDelay - maxRestartLag), now, false},
		{"start long after the last planner", now, now.Add(-maxOrderDelay), false},
		{"start just after the last planner", now, now.Add(-time.Second), true},
		{"start just before this planner", now.Add(-time.Second), now, true},
	} {
		if got := now.Before(HeldUntil(tc.restartedAt, tc.takenOver)); got != tc.held {
			t.Errorf("%s: held %v, want %v", tc.name, got, tc.held)
		}
	}
}

// Guards against an order beyond an engine's memory: a report shows the end of this planner's load, and the engine is busy
// with a load of another planner.
func TestBusyEngineAfterItsLoadGetsNoOrder(t *testing.T) {
	sim := newSimulation(t, 1, 1, 5)
	e := sim.engines["e00"]
	delete(e.models, model(0))
	e.onDisk = sortedKeys(sim.config.Models)
	sim.writeEntry(e)
	sim.run(time.Second, 0, nil)
	sim.request(Key{Model: model(3)})
	state := sim.placer.engines[e.id]
	for end := sim.now.Add(time.Second); state.loading == nil; sim.tick() {
		if sim.now > end {
			t.Fatal("no load began")
		}
	}
	report := Report{Sequence: e.sequence + 1, Busy: true, LoadedModels: append(e.loadedModels(), directory.LoadedModel{Model: state.loading.model})}
	sim.placer.HandleReport(sim.now, e.id, e.incarnation, sim.now, report)
	if state.canTakeOrder(sim.now) {
		t.Errorf("the engine takes an order while it loads a model that nobody counts")
	}
	report.Busy = false
	sim.placer.HandleReport(sim.now, e.id, e.incarnation, sim.now, report)
	if !state.canTakeOrder(sim.now) {
		t.Errorf("the engine takes no order though it is free")
	}
}
