package placer

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

// ExpectedReady returns when the requested models are expected to be usable, under keys
// without an adapter. Under its own key it returns when an order that an engine answered
// with NotFound is tried again. A model that is missing in the result has no engine that
// could load it yet.
//
// The forecast follows the plan: keys in order of urgency, each on the engine where it is
// ready first, after the work planned before it. It ignores that a model chosen for
// unloading may be used again and that more urgent demand may arrive, so it errs towards
// early times.
func (p *Placer) ExpectedReady(now clock.Time) map[Key]clock.Time {
	all := make(map[Key]clock.Time, len(p.expectedReady))
	for k, ready := range p.expectedReady {
		all[k] = max(now, ready)
	}
	for k, at := range p.notFoundAt {
		if _, requested := p.demand[k]; requested && now.Sub(at) < notFoundRetryDelay {
			all[k] = at.Add(notFoundRetryDelay)
		}
	}
	return all
}

// recordForecast records when a model will be ready according to the best of all
// candidates, including engines that have no idle model to unload yet. That engine then
// counts as occupied for less urgent demand.
func (p *Placer) recordForecast(now clock.Time, k Key, candidates []candidate) {
	if len(candidates) == 0 {
		delete(p.expectedReady, k)
		return
	}
	best := slices.MinFunc(candidates, compareCandidates)
	ready := best.readyIn
	if best.fromStore && !p.storeAvailable(now, best.engine) {
		ready += time.Duration(p.queuedStoreLoads) * best.storeInterval
		p.queuedStoreLoads++
	}
	p.expectedReady[k] = now.Add(ready)
	if best.blocked || !best.engine.canTakeOrder(now) {
		p.queuedWork[best.engine] += best.work
	}
}

// dropStaleForecasts removes the forecasts of models without demand.
func (p *Placer) dropStaleForecasts() {
	for k := range p.expectedReady {
		if !p.hasDemand[k.model()] {
			delete(p.expectedReady, k)
		}
	}
}
