package placer

import (
	"testing"
	"time"

	"oleanderdale.org/core/gateway/regions"
)

// A model is loaded in one region, and requests that must stay in another one wait for it:
// it is loaded there too, and only there.
func TestModelIsLoadedAtHome(t *testing.T) {
	p := newPlay(t, 1, 6, 30)
	names := []string{"east", "west", "north"}
	byZone := map[string]string{}
	zone := make(map[string]string)
	for i, id := range sortedKeys(p.engines) {
		zone[id] = names[i%len(names)]
		byZone[names[i%len(names)]] = names[i%len(names)]
	}
	p.dir.SetRegions(byZone)
	for id, e := range p.engines {
		s := *p.dir.Get(id).PublishedEntry()
		s.Zone, s.OnDisk = zone[id], nil
		e.models = map[string]map[string]bool{}
		switch zone[id] {
		case "east":
			e.models[model(0)] = make(map[string]bool)
		case "north": // where it would be ready sooner
			s.OnDisk = []string{model(0)}
		}
		p.dir.Put(p.now, s)
	}
	home := Key{Group: group, Model: model(0), AllowedRegions: regions.Of([]string{"west"})}
	began := p.now
	for p.now.Sub(began) < 10*time.Second {
		p.now = p.now.Add(testTick)
		p.placer.SetDemand(map[Key]Demand{home: {Requests: 1, Since: began}})
		p.placer.Sync(p.now, p.dir.InGroup(group), p.groups)
		for _, id := range p.placer.DueQueries(p.now) {
			p.placer.HandleReport(p.now, id, 1, p.now, Report{Holdings: p.engines[id].holdings()})
		}
		for _, o := range p.placer.Plan(p.now) {
			if zone[o.Server] != "west" || o.Model != model(0) {
				t.Fatalf("order %+v to an engine in %s", o, zone[o.Server])
			}
			return
		}
	}
	t.Error("no order in ten seconds")
}
