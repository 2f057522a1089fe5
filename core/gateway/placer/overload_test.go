package placer

import (
	"slices"
	"testing"
	"time"
)

const testObjective = 2500 * time.Millisecond

// waitTimesUnderOverload simulates demand for random models that is faster than the engines
// can swap models, and returns the sorted wait times.
func waitTimesUnderOverload(t *testing.T, objective time.Duration) []time.Duration {
	sim := newSimulation(t, 31, 9, overloadModels)
	sim.run(time.Second, 0, nil)
	sim.waitTimes = nil
	sim.run(time.Minute, 0, func() {
		if sim.rng.Float64() < overloadRate*testTick.Seconds() {
			k := Key{Group: group, Model: model(sim.rng.IntN(overloadModels))}
			sim.request(k)
			if objective > 0 {
				d := sim.demand[k]
				d.ObjectiveDeadline = sim.now.Add(objective)
				sim.demand[k] = d
			}
		}
	})
	sim.run(15*time.Second, 0, nil)
	if len(sim.demand) > 0 {
		t.Errorf("%d keys with demand not served", len(sim.demand))
	}
	slices.Sort(sim.waitTimes)
	return sim.waitTimes
}

// overloadRate is in requests a second, over overloadModels models. Nine engines make about
// eight swaps a second.
const (
	overloadRate   = 20
	overloadModels = 100
)

// More swaps are requested than the engines can make. Served in order of arrival, nearly
// all demand misses its objective. Served with demand first that can still meet its
// objective, more must meet it, and no request may wait much longer.
func TestReachableObjectivesFirstUnderOverload(t *testing.T) {
	metObjective := func(waitTimes []time.Duration) int {
		n, _ := slices.BinarySearch(waitTimes, testObjective)
		return n
	}
	byArrival, byObjective := waitTimesUnderOverload(t, 0), waitTimesUnderOverload(t, testObjective)
	longest := byObjective[len(byObjective)-1]
	t.Logf("met the objective: %d of %d in order of arrival, %d of %d by objective; longest wait %v and %v",
		metObjective(byArrival), len(byArrival), metObjective(byObjective), len(byObjective), byArrival[len(byArrival)-1], longest)
	if metObjective(byObjective) <= metObjective(byArrival)*11/10 {
		t.Errorf("%d met the objective, %d in order of arrival", metObjective(byObjective), metObjective(byArrival))
	}
	const maxWait = 10 * time.Second
	if longest > maxWait {
		t.Errorf("longest wait %v", longest)
	}
}
