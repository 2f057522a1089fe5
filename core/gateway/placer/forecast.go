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
	all := make(map[Key]clock.Time, len(p.expected))
	for k, ready := range p.expected {
		all[k] = max(now, ready)
	}
	for k, at := range p.refused {
		if _, waits := p.wants[k]; waits && now.Sub(at) < refuseFor {
			all[k] = at.Add(refuseFor)
		}
	}
	return all
}

// expect records when a model will be there by the best of all options, those
// that still wait for an idle model to unload among them. For what is less
// urgent the lane is taken until then.
func (p *Placer) expect(now clock.Time, k Key, options []option) {
	if len(options) == 0 {
		delete(p.expected, k)
		return
	}
	best := slices.MinFunc(options, sooner)
	ready := best.ready
	if best.store && !p.storeRoom(now, best.lane) {
		ready += time.Duration(p.atStore) * best.storePause
		p.atStore++
	}
	p.expected[k] = now.Add(ready)
	if best.blocked || !best.lane.free(now) {
		p.ahead[best.lane] += best.work
	}
}

// forget drops the forecasts of what is not waited for any more.
func (p *Placer) forget() {
	for k := range p.expected {
		if !p.waitsOn[k.model()] {
			delete(p.expected, k)
		}
	}
}
