package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
)

// staleEntryPeriod is how long after the store was restored from an older copy it may
// list servers that are gone. The platform removes entries that are not renewed.
const staleEntryPeriod = 10 * time.Second

// storeEra is what this instance knows about restorations of the store from older
// copies.
type storeEra struct {
	current    int64
	known      bool
	restoredAt clock.Time // 0: never
}

// observeEra handles the store's era, as named by an answer or another instance. The
// caller holds mu.
func (g *Gateway) observeEra(now clock.Time, era int64) {
	state := &g.storeEra
	restored := state.known && era > state.current
	if state.known && era <= state.current {
		return
	}
	state.known, state.current = true, era
	g.fleetLease.ObserveEra(now, era)
	g.zoneLease.ObserveEra(now, era)
	if !restored {
		return
	}
	state.restoredAt = now
	g.log.Warn().Int64("era", era).Msg("store: restored from an older copy, recent writes are lost")
	g.lapse.RecordRestore(now)
	g.serversOffered, g.serversPartial = false, nil
	select {
	case g.reregister <- struct{}{}:
	default:
	}
	// Earlier answers are void: restart the pending watches.
	g.storeWatches.storeRecovered()
	g.triggerHousekeeping()
}

// isStaleEntry reports whether an entry belongs to a removed server and comes from a
// store that was restored from an older copy. The caller holds mu.
func (g *Gateway) isStaleEntry(now clock.Time, id string, incarnation int64) bool {
	removed, ok := g.removedServers[id]
	return ok && incarnation <= removed.incarnation && g.storeEra.restoredAt != 0 && now.Sub(g.storeEra.restoredAt) < staleEntryPeriod
}
