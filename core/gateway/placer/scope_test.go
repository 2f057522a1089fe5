package placer

import (
	"testing"
	"time"
)

func TestScopeOf(t *testing.T) {
	const holderTimeout = time.Second
	tests := []struct {
		name   string
		status LeaseStatus
		want   Scope
	}{
		{"holder of the fleet lease", LeaseStatus{HoldsFleetLease: true}, ScopeFleet},
		{"holder of both leases", LeaseStatus{HoldsFleetLease: true, CanOrderZone: true, FleetHolderSilence: time.Hour}, ScopeFleet},
		{"holder of a zone lease, fleet holder heard", LeaseStatus{CanOrderZone: true, FleetHolderSilence: holderTimeout}, ScopeNone},
		{"holder of a zone lease, fleet holder silent", LeaseStatus{CanOrderZone: true, FleetHolderSilence: holderTimeout + 1}, ScopeZone},
		{"no lease", LeaseStatus{FleetHolderSilence: time.Hour}, ScopeNone},
	}
	for _, tc := range tests {
		if got := ScopeOf(tc.status, holderTimeout); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// A zone is unreachable, and there is demand for a model that only its engines hold. The
// model must be loaded elsewhere; if it counted as held, nothing would load it while the
// zone is unreachable. In a zone that only has no lease holder the engines still serve, so
// nothing must be loaded twice.
func TestModelsOfUnreachableZone(t *testing.T) {
	for _, reachability := range []Reachability{NoHolder, Unreachable} {
		sim := newSimulation(t, 1, 4, 12)
		farEngine := sortedKeys(sim.engines)[0]
		for id, e := range sim.engines {
			zone := "near"
			if id == farEngine {
				zone = "far"
				e.models = map[string]map[string]bool{model(0): {}}
			} else {
				delete(e.models, model(0))
			}
			entry := *sim.dir.Get(id).PublishedEntry()
			entry.Zone = zone
			sim.dir.Put(sim.now, entry)
		}
		sim.placer.SetReachability(func(zone string) Reachability {
			if zone == "far" {
				return reachability
			}
			return Reachable
		})
		start, ordered := sim.now, false
		for sim.now.Sub(start) < 3*time.Second {
			sim.now = sim.now.Add(testTick)
			sim.placer.SetDemand(map[Key]Demand{{Group: group, Model: model(0)}: {Requests: 1, Since: start}})
			sim.placer.Sync(sim.now, sim.dir.InGroup(group), sim.groups)
			for _, id := range sim.placer.DueQueries(sim.now) {
				if id == farEngine && reachability == Unreachable {
					t.Fatal("an unreachable engine is queried")
				}
				sim.placer.HandleReport(sim.now, id, 1, sim.now, Report{LoadedModels: sim.engines[id].loadedModels()})
			}
			for _, o := range sim.placer.Plan(sim.now) {
				if o.Server == farEngine {
					t.Fatalf("order %+v to an engine of the far zone", o)
				}
				ordered = true
			}
		}
		if ordered != (reachability == Unreachable) {
			t.Errorf("reachability %d: loaded elsewhere: %v", reachability, ordered)
		}
	}
}

// The holder of the fleet lease fails, and the planner of each zone loads the models that
// are requested there. All their loads together must stay within the rate limit of the
// weight store.
func TestPlannersShareTheStore(t *testing.T) {
	const zones = 4
	const window = 5 * time.Second
	loads := 0
	for zone := range zones {
		sim := newSimulation(t, uint64(zone), 6, 40)
		for _, e := range sim.engines {
			e.onDisk, e.models = nil, map[string]map[string]bool{}
			sim.writeEntry(e)
		}
		sim.config.LoadsPerSecond = 1
		sim.placer.SetStorePlanners(sim.now, zones)
		for m := range 40 {
			sim.request(Key{Group: group, Model: model(m)})
		}
		for range int(window / testTick) {
			sim.tick()
		}
		loads += len(sim.storeLoads)
	}
	const limit = 1*5*1.1 + 3 // 1 a second for five seconds, and a burst
	if float64(loads) > limit {
		t.Errorf("%d loads from the weight store in %v, want %v at most", loads, window, limit)
	}
	if loads < zones {
		t.Errorf("only %d loads, too few for the test to be conclusive", loads)
	}
}
