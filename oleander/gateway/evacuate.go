package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/evacuation"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/oleander/process/boottime"
)

// zoneMsg tells whether a zone is evacuated, as of a revision of the store.
type zoneMsg struct {
	_        struct{} `cbor:",toarray"`
	Zone     string
	Era      int64
	Version  int64
	Active   bool
	ClosesMS int64 // until nothing is sent there any more
}

// takeEvacuations takes what the store says of evacuations: all that stand, or those that
// changed. late says that the word may be old.
func (g *Gateway) takeEvacuations(rows []evacuation.Row, at revision.Revision, all, late bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	changed := false
	if all {
		changed = g.evacuations.ApplySnapshot(now, at, rows)
	} else {
		changed = g.evacuations.ApplyChanges(now, at.Era, rows, late)
	}
	if changed {
		g.tellClaim = true // the others are told at once
		g.applyEvacuations(now)
	}
}

// zonesOf returns what to tell of evacuations. The caller holds mu.
func (g *Gateway) zonesOf(now clock.Time) []zoneMsg {
	var all []zoneMsg
	for _, n := range g.evacuations.Notices(now) {
		all = append(all, zoneMsg{
			Zone: n.Zone, Era: n.Revision.Era, Version: n.Revision.Version, Active: n.Active, ClosesMS: n.ClosesIn.Milliseconds(),
		})
	}
	return all
}

// takeZones takes what another instance tells of evacuations. The caller holds mu.
func (g *Gateway) takeZones(now clock.Time, zones []zoneMsg) {
	changed := false
	for _, z := range zones {
		changed = g.evacuations.ApplyNotice(now, evacuation.Notice{
			Zone: z.Zone, Revision: revision.Revision{Era: z.Era, Version: z.Version}, Active: z.Active,
			ClosesIn: time.Duration(z.ClosesMS) * time.Millisecond,
		}) || changed
	}
	if changed {
		g.applyEvacuations(now)
	}
}

// closedZones returns how many zones get nothing. The caller holds mu.
func (g *Gateway) closedZones(now clock.Time) int {
	n := 0
	for _, zone := range g.evacuations.Zones() {
		if g.evacuations.State(now, zone) == evacuation.Closed {
			n++
		}
	}
	return n
}

// applyEvacuations puts in force what is known of evacuations and what time alone changes.
// The caller holds mu.
func (g *Gateway) applyEvacuations(now clock.Time) {
	g.evacuations.Expire(now)
	changed := false
	for _, zone := range g.evacuations.Zones() {
		state := g.evacuations.State(now, zone)
		if g.dir.SetZone(now, zone, state) {
			changed = true
			g.log.Info().Str("zone", zone).Stringer("state", state).Msg("evacuation: zone changed")
		}
	}
	if changed {
		g.wake()
		g.poke()
	}
}
