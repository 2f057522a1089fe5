package placer

import (
	"testing"
	"time"
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
			full := 0
			for i := 0; sim.now.Sub(sentAt) < 20*time.Second; i++ {
				if i%100 == 0 {
					sim.request(Key{Group: group, Model: model(i / 100 % 3)})
				}
				sim.tick()
				if sim.now.Sub(sentAt) <= 12*time.Second && sim.overfills(e, late) {
					t.Fatalf("%v after the order was sent: count %d, %d models, so that it overfills the engine", sim.now.Sub(sentAt), e.sequence, len(e.models))
				}
				full = max(full, len(e.models))
			}
			if full != 3 {
				t.Errorf("%d models at most, want 3 once the order can't arrive any more", full)
			}
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
