package placer

import (
	"testing"
	"time"

	"oleanderdale.org/core/gateway/serverlimit"
)

// The only engine with a model names a rate limit. Requests that wait for its pace must get
// another copy of the model, unless all engines are limited.
func TestModelOfLimitedEngineIsCopied(t *testing.T) {
	for _, allLimited := range []bool{false, true} {
		sim := newSimulation(t, 13, 6, 18)
		sim.run(2*time.Second, 0, nil)
		k := Key{Group: group, Model: model(0)}
		if n := sim.holders(k.Model); n != 1 {
			t.Fatalf("%d engines hold the model at first", n)
		}
		sim.run(4*time.Second, 0, func() {
			for id := range sim.engines {
				if allLimited || id == "e00" {
					sim.dir.RecordLimit(id, 1, serverlimit.Statement{Limited: true, PerSecond: 1, At: sim.now})
				}
			}
			sim.demand[k] = Demand{Requests: 3, Since: sim.now.Add(-100 * time.Millisecond), Saturated: true}
		})
		if n := sim.holders(k.Model); (n > 1) == allLimited {
			t.Errorf("all engines limited: %v; %d engines hold the model", allLimited, n)
		}
	}
}
