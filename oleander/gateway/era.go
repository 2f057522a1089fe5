package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
)

// staleRowsFor is how long after the store's return from an older copy rows of servers
// that left may stand there again: the platform removes what nobody renews within some
// renewals.
const staleEntryPeriod = 10 * time.Second

// eraSeen is what this instance knows of the store's returns from older copies.
type storeEra struct {
	current    int64
	known      bool
	restoredAt clock.Time // 0: it did not
}

// eraIs takes the era of the store, as an answer or another instance named it. The caller
// holds mu.
func (g *Gateway) observeEra(now clock.Time, era int64) {
	e := &g.storeEra
	rises := e.known && era > e.current
	if e.known && era <= e.current {
		return
	}
	e.known, e.current = true, era
	g.fleetLease.EraIs(now, era)
	g.zoneLease.EraIs(now, era)
	if !rises {
		return
	}
	e.restoredAt = now
	g.log.Warn().Int64("era", era).Msg("store: back from an older copy, what was written of late is gone")
	g.lapse.Restored(now)
	select {
	case g.reregister <- struct{}{}:
	default:
	}
	// What the store told before holds no more: the calls that wait are made anew.
	g.storeWatches.storeRecovered()
	g.triggerHousekeeping()
}

// staleRow reports whether an entry is that of a server that left, in a store that came
// back from a copy in which it had not. The caller holds mu.
func (g *Gateway) isStaleEntry(now clock.Time, id string, born int64) bool {
	left, ok := g.removedServers[id]
	return ok && born <= left.born && g.storeEra.restoredAt != 0 && now.Sub(g.storeEra.restoredAt) < staleEntryPeriod
}
