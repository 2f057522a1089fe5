package placer

import (
	"testing"

	"oleanderdale.org/core/gateway/regions"
)

// A model is loaded in one region only, and requests for it are allowed in another region
// only. The model must be loaded there too, and nowhere else.
func TestModelIsLoadedInAllowedRegion(t *testing.T) {
	sim := newSimulation(t, 1, 6, 30)
	names := []string{"east", "west", "north"}
	byZone := map[string]string{}
	zone := make(map[string]string)
	for i, id := range sortedKeys(sim.engines) {
		zone[id] = names[i%len(names)]
		byZone[names[i%len(names)]] = names[i%len(names)]
	}
	sim.dir.SetRegions(byZone)
	for id, e := range sim.engines {
		entry := *sim.dir.Get(id).PublishedEntry()
		entry.Zone, entry.OnDisk = zone[id], nil
		e.models = map[string]map[string]bool{}
		switch zone[id] {
		case "east":
			e.models[model(0)] = make(map[string]bool)
		case "north": // a load would be faster here
			entry.OnDisk = []string{model(0)}
		}
		sim.dir.Put(sim.now, entry)
	}
	key := Key{Group: group, Model: model(0), AllowedRegions: regions.Of([]string{"west"})}
	if o := sim.firstOrder(key); zone[o.Server] != "west" || o.Model != model(0) {
		t.Errorf("order %+v to an engine in region %q", o, zone[o.Server])
	}
}
