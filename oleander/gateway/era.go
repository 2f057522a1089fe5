package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
)

// staleRowsFor is how long after the store's return from an older copy rows of servers
// that left may stand there again: the platform removes what nobody renews within some
// renewals.
const staleRowsFor = 10 * time.Second

// eraSeen is what this instance knows of the store's returns from older copies.
type eraSeen struct {
	now   int64
	known bool
	rose  clock.Time // 0: it did not
}

// eraIs takes the era of the store, as an answer or another instance named it. The caller
// holds mu.
func (g *Gateway) eraIs(now clock.Time, era int64) {
	e := &g.era
	rises := e.known && era > e.now
	if e.known && era <= e.now {
		return
	}
	e.known, e.now = true, era
	g.lease.EraIs(now, era)
	g.zoneLease.EraIs(now, era)
	if !rises {
		return
	}
	e.rose = now
	g.log.Warn().Int64("era", era).Msg("store: back from an older copy, what was written of late is gone")
	g.lapse.RecordRestore(now)
	select {
	case g.rejoin <- struct{}{}:
	default:
	}
	// What the store told before holds no more: the calls that wait are made anew.
	g.watches.storeReturned()
	g.poke()
}

// staleRow reports whether an entry is that of a server that left, in a store that came
// back from a copy in which it had not. The caller holds mu.
func (g *Gateway) staleRow(now clock.Time, id string, born int64) bool {
	left, ok := g.removed[id]
	return ok && born <= left.born && g.era.rose != 0 && now.Sub(g.era.rose) < staleRowsFor
}
