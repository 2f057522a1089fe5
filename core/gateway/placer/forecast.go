package placer

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

// ExpectedReady returns when the models that are waited for are expected to be
// usable, under keys without an adapter, and when an order is tried again that
// an engine called impossible, under its own key. A model that is missing has no
// lane that could take it yet.
//
// The forecast follows the plan: the most urgent first, each on the lane where
// it is ready first, after what comes before it there. It leaves out that a
// victim may be used again and that a more urgent one may arrive, so it is
// early rather than late.
func (p *Placer) ExpectedReady(now clock.Time) map[Key]clock.Time {
	all := make(map[Key]clock.Time, len(p.expectedReady))
	for k, ready := range p.expectedReady {
		all[k] = max(now, ready)
	}
	for k, at := range p.notFoundAt {
		if _, waits := p.demand[k]; waits && now.Sub(at) < notFoundRetryDelay {
			all[k] = at.Add(notFoundRetryDelay)
		}
	}
	return all
}

// expect records when a model will be there by the best of all options, those
// that still wait for an idle model to unload among them. For what is less
// urgent the lane is taken until then.
func (p *Placer) recordForecast(now clock.Time, k Key, options []candidate) {
	if len(options) == 0 {
		delete(p.expectedReady, k)
		return
	}
	best := slices.MinFunc(options, compareCandidates)
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

// forget drops the forecasts of what is not waited for any more.
func (p *Placer) dropStaleForecasts() {
	for k := range p.expectedReady {
		if !p.hasDemand[k.model()] {
			delete(p.expectedReady, k)
		}
	}
}
