package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/evacuation"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/oleander/process/boottime"
)

// evacuationMsg says whether a zone is evacuated as of a store revision.
type evacuationMsg struct {
	_          struct{} `cbor:",toarray"`
	Zone       string
	Era        int64
	Version    int64
	Active     bool
	ClosesInMS int64 // until nothing is sent to the zone any more
}

// recordEvacuations records evacuations read from the store: all of them, or those
// that changed. late means that the answer may be old.
func (g *Gateway) recordEvacuations(rows []evacuation.Row, at revision.Revision, all, late bool) {
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
		g.heartbeatDue = true // announce it at once
		g.applyEvacuations(now)
	}
}

// evacuationMessages returns the evacuations to report to other instances. The caller
// holds mu.
func (g *Gateway) evacuationMessages(now clock.Time) []evacuationMsg {
	var all []evacuationMsg
	for _, n := range g.evacuations.Notices(now) {
		all = append(all, evacuationMsg{
			Zone: n.Zone, Era: n.Revision.Era, Version: n.Revision.Version, Active: n.Active, ClosesInMS: n.ClosesIn.Milliseconds(),
		})
	}
	return all
}

// handleEvacuations handles another instance's report of evacuations. The caller
// holds mu.
func (g *Gateway) handleEvacuations(now clock.Time, zones []evacuationMsg) {
	changed := false
	for _, z := range zones {
		changed = g.evacuations.ApplyNotice(now, evacuation.Notice{
			Zone: z.Zone, Revision: revision.Revision{Era: z.Era, Version: z.Version}, Active: z.Active,
			ClosesIn: time.Duration(z.ClosesInMS) * time.Millisecond,
		}) || changed
	}
	if changed {
		g.applyEvacuations(now)
	}
}

// closedZoneCount returns how many zones may not be sent anything. The caller holds
// mu.
func (g *Gateway) closedZoneCount(now clock.Time) int {
	n := 0
	for _, zone := range g.evacuations.Zones() {
		if g.evacuations.State(now, zone) == evacuation.Closed {
			n++
		}
	}
	return n
}

// applyEvacuations applies the known evacuations to the server directory, including
// changes due to time alone. The caller holds mu.
func (g *Gateway) applyEvacuations(now clock.Time) {
	g.evacuations.Expire(now)
	changed := false
	for _, zone := range g.evacuations.Zones() {
		state := g.evacuations.State(now, zone)
		if g.servers.SetZoneState(now, zone, state) {
			changed = true
			g.log.Info().Str("zone", zone).Stringer("state", state).Msg("evacuation: zone state changed")
		}
	}
	if changed {
		g.wakeWaiting()
		g.triggerHousekeeping()
	}
}
