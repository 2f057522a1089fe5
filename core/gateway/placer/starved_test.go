package placer

import (
	"testing"
	"time"
)

// Guards against a requested model that no engine loads, since every other one is busy on two engines.
func TestSecondReplicaMakesRoomForModelWithoutEngine(t *testing.T) {
	const engines, busyModels, perSecond = 3, 3, 10
	sim := newSimulation(t, 3, engines, busyModels+1)
	sim.config.MemoryMB = 2 * modelMB // each engine holds two models
	for i, id := range sortedKeys(sim.engines) {
		e := sim.engines[id]
		e.models = map[string]map[string]bool{model(i): {}, model((i + 1) % busyModels): {}}
		sim.writeEntry(e)
	}
	starved := Key{Group: group, Model: model(busyModels)}
	requestFirst := func(models int) func() {
		return func() {
			for i := range models {
				if sim.rng.Float64() < perSecond*testTick.Seconds() {
					sim.request(Key{Group: group, Model: model(i)})
				}
			}
		}
	}
	sim.run(5*time.Second, 0, requestFirst(busyModels))
	sim.run(10*time.Second, 0, requestFirst(busyModels+1))
	if sim.holders(starved.Model) == 0 {
		t.Error("no engine loaded the model in 10 s while the others are on two engines each")
	}
}
