package placer

import (
	"testing"
	"time"
)

// holdersAfterJump simulates rarely used models that are all in use all the time, and one
// model whose demand jumps to sixty requests a second, of which twelve wait for its one
// engine. It returns how many engines hold that model after five seconds.
func holdersAfterJump(t *testing.T, saturated bool) int {
	const engines, models, rarePerSecond, busyPerSecond = 20, 60, 8, 60
	sim := newSimulation(t, 11, engines, models)
	busy := Key{Group: group, Model: model(7)}
	sim.run(5*time.Second, rarePerSecond, nil)
	sim.run(5*time.Second, rarePerSecond, func() {
		for _, e := range sim.placer.engines {
			for _, m := range e.models {
				m.lastUsed = sim.now // no model is idle
			}
		}
		if sim.rng.Float64() < busyPerSecond*testTick.Seconds() {
			sim.placer.RecordArrivals(sim.now, busy.Model, 1)
		}
		sim.demand[busy] = Demand{Requests: 12, Since: sim.now.Add(-100 * time.Millisecond), Saturated: saturated}
	})
	return sim.holders(busy.Model)
}

// The demand for a model jumps while no model on any engine is idle. Requests that wait
// because its engines are full must count like requests for a model that no engine holds,
// and replace the least recently used model. Otherwise the model stayed on one engine, and
// its requests were refused for ten seconds.
func TestSaturatedModelIsReplicated(t *testing.T) {
	unmarked, marked := holdersAfterJump(t, false), holdersAfterJump(t, true)
	if need := 60/int(arrivalsPerReplica) + 1; marked < need || unmarked >= need {
		t.Errorf("%d engines hold the model, %d if it is not marked as saturated", marked, unmarked)
	}
}

// No engine has a copy of any other model, so all loads come from the weight store, and
// rarely used models are requested all the time. A model whose engines are saturated must
// get its share of the loads, and the others the rest.
func TestSaturatedModelSharesTheStore(t *testing.T) {
	const engines, models, rarePerSecond = 20, 120, 4
	sim := newSimulation(t, 12, engines, models)
	for _, e := range sim.engines {
		e.onDisk = nil
		sim.writeEntry(e)
	}
	busy := Key{Group: group, Model: model(7)}
	sim.run(10*time.Second, rarePerSecond, nil)
	loads := len(sim.storeLoads)
	sim.run(20*time.Second, rarePerSecond, func() {
		sim.placer.RecordArrivals(sim.now, busy.Model, 1)
		sim.demand[busy] = Demand{Requests: 12, Since: sim.now.Add(-100 * time.Millisecond), Saturated: true}
	})
	holders := sim.holders(busy.Model)
	rare := len(sim.storeLoads) - loads - (holders - 1)
	if holders < 5 || rare < 3 {
		t.Errorf("%d engines hold the saturated model, %d loads of other models", holders, rare)
	}
}
