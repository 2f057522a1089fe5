package placer

import (
	"testing"

	"oleanderdale.org/core/gateway/origin"
)

// Guards against a stream that can't go on since its model is loaded at engines of another software version only.
func TestModelIsLoadedAtSoftwareOfStream(t *testing.T) {
	sim := newSimulation(t, 1, 6, 30)
	software := make(map[string]string)
	for i, id := range sortedKeys(sim.engines) {
		software[id] = []string{"v1", "v2", "v1", "v2", "v2", "v2"}[i]
	}
	for id, e := range sim.engines {
		entry := *sim.dir.Get(id).PublishedEntry()
		entry.Software = software[id]
		e.models = map[string]map[string]bool{}
		if software[id] == "v2" {
			e.models[model(0)] = make(map[string]bool)
		}
		sim.dir.Put(sim.now, entry)
	}
	key := Key{Group: group, Model: model(0), Origin: origin.At("v1")}
	if o := sim.firstOrder(key); software[o.Server] != "v1" || o.Model != model(0) {
		t.Errorf("order %+v to an engine of %q", o, software[o.Server])
	}
}
