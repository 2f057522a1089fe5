package placer

import (
	"time"

	"oleanderdale.org/core/clock"
)

// SetStorePlanners says that so many planners load from the weight store at a time: what it
// carries is shared among them. One that begins with a share has no credit, for the planner
// of before may have used it.
func (p *Placer) SetStorePlanners(now clock.Time, planners int) {
	if planners == p.storePlanners {
		return
	}
	p.storePlanners = planners
	if planners > 1 {
		p.storeTokens, p.storeTokensAt = 0, now
	}
}

// storeWidth is how many loads from the weight store this planner has under way at once.
func (p *Placer) storeLoadLimit() int { return max(1, maxStoreLoads/max(1, p.storePlanners)) }

// storeLoads counts the loads from the weight store under way.
func (p *Placer) storeLoads() int {
	n := 0
	for _, l := range p.engines {
		if l.loading != nil && l.loading.fromStore {
			n++
		}
		if q := l.pending; q != nil && q.order.Kind == Load && q.order.Adapter == "" {
			if _, store := l.loadTime(q.order.Model); store {
				n++
			}
		}
	}
	return n
}

// mayUseStore reports whether a model may be loaded from the weight store now. One
// whose callers find no room goes first, with half of the store's loads: a busy model
// has hundreds of callers a second, and rare ones that come by turns left it none.
func (p *Placer) mayLoadFromStore(now clock.Time, l *engineState, k Key) bool {
	if p.demand[k].Saturated && p.storeLoadsOf(k.Model) < maxStoreLoads/2 {
		p.storeClaimedAt = now
		return p.storeAvailable(now, l)
	}
	return now.Sub(p.storeClaimedAt) > storeClaimDuration && p.storeAvailable(now, l)
}

// storeClaimFor is how long a claim to the store's next load holds; it is renewed
// with each plan.
const storeClaimDuration = 200 * time.Millisecond

// storeLoadsOf counts the loads of a model from the weight store under way.
func (p *Placer) storeLoadsOf(model string) int {
	n := 0
	for _, l := range p.engines {
		if l.loading != nil && l.loading.fromStore && l.loading.model == model {
			n++
		}
	}
	return n
}

// storeRoom reports whether a load from the weight store may begin: within its
// rate, and no more at once than run at full speed.
func (p *Placer) storeAvailable(now clock.Time, l *engineState) bool {
	const part = 0.9 // of the rate; the rest covers a planner that was replaced
	share := part / float64(max(1, p.storePlanners))
	if p.storeTokensAt == 0 {
		p.storeTokens = storeBurst
	} else {
		p.storeTokens = min(storeBurst, p.storeTokens+now.Sub(p.storeTokensAt).Seconds()*l.config.LoadsPerSecond*share)
	}
	p.storeTokensAt = now
	return p.storeTokens >= 1 && p.storeLoads() < p.storeLoadLimit()
}
