package placer

import (
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
func (p *Placer) storeLoadLimit() int { return max(1, maxStoreLoads/max(1, p.storePlanners)) }

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
	if p.demand[k].Saturated && p.storeLoadsOf(k.Model) < maxStoreLoads/2 {
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
