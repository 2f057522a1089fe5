package placer

import (
	"math"
	"time"

	"oleanderdale.org/core/clock"
)

// SetStorePlanners sets how many planners load from the weight store at a time. They share
// its rate. A planner that starts with a share has no burst, since the planner before it
// may have used it.
func (p *Placer) SetStorePlanners(now clock.Time, planners int) {
	if planners == p.storePlanners {
		return
	}
	p.storePlanners = planners
	if planners > 1 {
		p.storeTokens, p.storeTokensAt = 0, now
	}
}

// storeLoadLimit is how many loads from the weight store this planner runs at once.
func (p *Placer) storeLoadLimit() int { return max(1, p.storeConcurrency()/max(1, p.storePlanners)) }

// storeConcurrency is how many loads from the weight store run at full speed at once: a
// constant, or what finished loads showed if load scheduling is on.
func (p *Placer) storeConcurrency() int {
	if !p.loadScheduling {
		return maxStoreLoads
	}
	return p.storeSpeed.limit()
}

const (
	// initialStoreLoads is the limit until loads were observed. A limit that is too low
	// costs throughput until a few loads have ended, one that is too high makes each load
	// slower without any more throughput.
	initialStoreLoads = 2
	// maxLearnedStoreLoads bounds the limit.
	maxLearnedStoreLoads = 16
	// fullSpeedTolerance is the factor up to which a load counts as one at full speed: its
	// end is noticed late.
	fullSpeedTolerance = 1.2
)

// storeSpeed learns how many loads from the weight store run at full speed at once. Beyond
// that number each takes longer in proportion, so that more at once bring no model earlier
// and most of them later.
type storeSpeed struct{ learned int }

func (s *storeSpeed) limit() int {
	if s.learned == 0 {
		return initialStoreLoads
	}
	return s.learned
}

// record learns from a finished load. concurrent is the mean number of loads while it ran,
// expected its duration at full speed. A limit that was used to the full without slowing loads
// rises by one.
func (s *storeSpeed) record(concurrent int, took, expected time.Duration) {
	if concurrent <= 0 || took <= 0 || expected <= 0 {
		return
	}
	slowdown := took.Seconds() / expected.Seconds()
	switch {
	case slowdown > fullSpeedTolerance:
		s.learned = max(1, int(math.Round(float64(concurrent)/slowdown)))
	case concurrent >= s.limit():
		s.learned = min(maxLearnedStoreLoads, s.limit()+1)
	}
}

// observeLoad calls change, which may end the load in progress of an engine, and learns the
// speed of the weight store from that load.
func (p *Placer) observeLoad(now clock.Time, e *engineState, change func()) {
	before := e.loading
	if before == nil || !before.fromStore {
		change()
		return
	}
	concurrent := p.storeLoads()
	change()
	if e.loading != nil || e.models[before.model] == nil {
		return
	}
	mean := (before.concurrent + concurrent) / 2
	p.storeSpeed.record(mean, now.Sub(before.startedAt), e.config.Models[before.model].LoadFromStore)
}

// storeLoads counts the loads from the weight store in progress.
func (p *Placer) storeLoads() int {
	n := 0
	for _, e := range p.engines {
		if e.loading != nil && e.loading.fromStore {
			n++
		}
		if pending := e.pending; pending != nil && pending.order.Kind == Load && pending.order.Adapter == "" {
			if _, fromStore := e.loadTime(pending.order.Model); fromStore {
				n++
			}
		}
	}
	return n
}

// mayLoadFromStore reports whether a model may be loaded from the weight store now. A model
// whose engines are saturated takes precedence, for up to half of the store's concurrent
// loads: it has hundreds of requests a second, and without precedence a succession of
// rarely used models left it no load.
func (p *Placer) mayLoadFromStore(now clock.Time, e *engineState, k Key) bool {
	if p.demand[k].Saturated && p.storeLoadsOf(k.Model) < max(1, p.storeConcurrency()/2) {
		p.storeClaimedAt = now
		return p.storeAvailable(now, e)
	}
	return now.Sub(p.storeClaimedAt) > storeClaimDuration && p.storeAvailable(now, e)
}

// storeClaimDuration is how long a claim of a saturated model to the next load from the
// store is valid; each plan renews it.
const storeClaimDuration = 200 * time.Millisecond

// storeLoadsOf counts the loads of one model from the weight store in progress.
func (p *Placer) storeLoadsOf(model string) int {
	n := 0
	for _, e := range p.engines {
		if e.loading != nil && e.loading.fromStore && e.loading.model == model {
			n++
		}
	}
	return n
}

// storeAvailable reports whether a load from the weight store may start: within the store's
// rate, and within the number of loads that run at full speed.
func (p *Placer) storeAvailable(now clock.Time, e *engineState) bool {
	const rateShare = 0.9 // the rest is for loads that a replaced planner started
	share := rateShare / float64(max(1, p.storePlanners))
	if p.storeTokensAt == 0 {
		p.storeTokens = storeBurst
	} else {
		p.storeTokens = min(storeBurst, p.storeTokens+now.Sub(p.storeTokensAt).Seconds()*e.config.LoadsPerSecond*share)
	}
	p.storeTokensAt = now
	return p.storeTokens >= 1 && p.storeLoads() < p.storeLoadLimit()
}
