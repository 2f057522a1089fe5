package placer

import (
	"testing"
	"time"
)

func TestScopeOf(t *testing.T) {
	const silence = time.Second
	tests := []struct {
		name string
		r    LeaseStatus
		want Scope
	}{
		{"holder of the fleet", LeaseStatus{HoldsFleetLease: true}, ScopeFleet},
		{"holder of both", LeaseStatus{HoldsFleetLease: true, CanOrderZone: true, FleetHolderSilence: time.Hour}, ScopeFleet},
		{"holder of a zone", LeaseStatus{CanOrderZone: true, FleetHolderSilence: silence}, ScopeNone},
		{"holder of a zone that is cut off", LeaseStatus{CanOrderZone: true, FleetHolderSilence: silence + 1}, ScopeZone},
		{"none", LeaseStatus{FleetHolderSilence: time.Hour}, ScopeNone},
	}
	for _, tc := range tests {
		if got := ScopeOf(tc.r, silence); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// A zone is cut off, and a model that only its engines hold is waited for: it counted as
// held, and nothing loaded it elsewhere for as long as the cut lasted. While a zone merely
// has nobody who gives its orders, its engines serve, and nothing is loaded twice.
func TestModelsOfAZoneThatIsCutOff(t *testing.T) {
	for _, reach := range []Reachability{NoHolder, Unreachable} {
		p := newPlay(t, 1, 4, 12)
		lost := sortedKeys(p.engines)[0]
		for id, e := range p.engines {
			zone := "near"
			if id == lost {
				zone = "far"
				e.models = map[string]map[string]bool{model(0): {}}
			} else {
				delete(e.models, model(0))
			}
			s := *p.dir.Get(id).PublishedEntry()
			s.Zone = zone
			p.dir.Put(p.now, s)
		}
		p.placer.SetReachability(func(zone string) Reachability {
			if zone == "far" {
				return reach
			}
			return Reachable
		})
		began, ordered := p.now, false
		for p.now.Sub(began) < 3*time.Second {
			p.now = p.now.Add(testTick)
			p.placer.SetDemand(map[Key]Demand{{Group: group, Model: model(0)}: {Requests: 1, Since: began}})
			p.placer.Sync(p.now, p.dir.InGroup(group), p.groups)
			for _, id := range p.placer.DueQueries(p.now) {
				if id == lost && reach == Unreachable {
					t.Fatal("an engine out of reach is asked what it holds")
				}
				p.placer.HandleReport(p.now, id, 1, p.now, Report{Holdings: p.engines[id].holdings()})
			}
			for _, o := range p.placer.Plan(p.now) {
				if o.Server == lost {
					t.Fatalf("order %+v to an engine that can't be ordered", o)
				}
				ordered = true
			}
		}
		if ordered != (reach == Unreachable) {
			t.Errorf("reach %d: ordered elsewhere %v", reach, ordered)
		}
	}
}

// The holder of the fleet's lease dies, and the planner of each zone loads what it is asked
// for. The weight store carries the loads of all of them together.
func TestPlannersShareTheStore(t *testing.T) {
	const zones = 4
	const window = 5 * time.Second
	loads := 0
	for zone := range zones {
		p := newPlay(t, uint64(zone), 6, 40)
		for _, e := range p.engines {
			e.onDisk, e.models = nil, map[string]map[string]bool{}
			p.write(e)
		}
		p.spec.LoadsPerSecond = 1
		p.placer.SetStorePlanners(p.now, zones)
		for m := range 40 {
			p.want(Key{Group: group, Model: model(m)})
		}
		for range int(window / testTick) {
			p.tick()
		}
		loads += len(p.loads)
	}
	const carried = 1*5*1.1 + 3 // 1 a second for five seconds, and what may begin beyond
	if float64(loads) > carried {
		t.Errorf("%d loads from the weight store in %v, %v are carried", loads, window, carried)
	}
	if loads < zones {
		t.Errorf("%d loads: the test shows little", loads)
	}
}
