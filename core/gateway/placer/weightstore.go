package placer

import (
	"time"

	"oleanderdale.org/core/clock"
)

// SetStorePlanners says that so many planners load from the weight store at a time: what it
// carries is shared among them. One that begins with a share has no credit, for the planner
// of before may have used it.
func (p *Placer) SetStorePlanners(now clock.Time, planners int) {
	if planners == p.planners {
		return
	}
	p.planners = planners
	if planners > 1 {
		p.tokens, p.tokensAt = 0, now
	}
}

// storeWidth is how many loads from the weight store this planner has under way at once.
func (p *Placer) storeWidth() int { return max(1, storeAtOnce/max(1, p.planners)) }

// storeLoads counts the loads from the weight store under way.
func (p *Placer) storeLoads() int {
	n := 0
	for _, l := range p.lanes {
		if l.loading != nil && l.loading.store {
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
func (p *Placer) mayUseStore(now clock.Time, l *lane, k Key) bool {
	if p.wants[k].Saturated && p.storeLoadsOf(k.Model) < storeAtOnce/2 {
		p.storeClaimed = now
		return p.storeRoom(now, l)
	}
	return now.Sub(p.storeClaimed) > storeClaimFor && p.storeRoom(now, l)
}

// storeClaimFor is how long a claim to the store's next load holds; it is renewed
// with each plan.
const storeClaimFor = 200 * time.Millisecond

// storeLoadsOf counts the loads of a model from the weight store under way.
func (p *Placer) storeLoadsOf(model string) int {
	n := 0
	for _, l := range p.lanes {
		if l.loading != nil && l.loading.store && l.loading.model == model {
			n++
		}
	}
	return n
}

// storeRoom reports whether a load from the weight store may begin: within its
// rate, and no more at once than run at full speed.
func (p *Placer) storeRoom(now clock.Time, l *lane) bool {
	const part = 0.9 // of the rate; the rest covers a planner that was replaced
	share := part / float64(max(1, p.planners))
	if p.tokensAt == 0 {
		p.tokens = storeBurst
	} else {
		p.tokens = min(storeBurst, p.tokens+now.Sub(p.tokensAt).Seconds()*l.engine.LoadsPerSecond*share)
	}
	p.tokensAt = now
	return p.tokens >= 1 && p.storeLoads() < p.storeWidth()
}
