package gateway

import (
	"cmp"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/gateway/ports"
)

// zoneHolder describes the holder of a zone lease as its heartbeats do.
type zoneHolder struct {
	name       string
	fencing    int64
	heardAt    clock.Time
	quietUntil clock.Time // end of the quiet period
}

// zoneLeaseName returns the name of the lease of this instance's zone.
func (g *Gateway) zoneLeaseName() ports.LeaseName { return ports.LeaseName(g.settings.Zone) }

// encodeAnnouncement returns the announcement of a lease holder, or nil if this
// instance does not hold the lease.
func encodeAnnouncement(now clock.Time, l *leader.Lease) *announcementMsg {
	announcement, ok := l.Announce(now)
	if !ok {
		return nil
	}
	return &announcementMsg{
		Fencing: announcement.Fencing, Sequence: announcement.Sequence, Version: announcement.Version,
		RemainingMS: announcement.Remaining.Milliseconds() + 1, QuietRemainingMS: announcement.QuietRemaining.Milliseconds(),
	}
}

// encodeAck returns the acknowledgment for the holder of a lease, or nil if there is
// none to send.
func encodeAck(l *leader.Lease) *ackMsg {
	ack, ok := l.Ack()
	if !ok {
		return nil
	}
	return &ackMsg{Fencing: ack.Fencing, Sequence: ack.Sequence}
}

// decode converts an announcement from its wire form.
func (m *announcementMsg) decode() leader.Announcement {
	return leader.Announcement{
		Fencing: m.Fencing, Sequence: m.Sequence, Version: m.Version,
		Remaining: time.Duration(m.RemainingMS) * time.Millisecond, QuietRemaining: time.Duration(m.QuietRemainingMS) * time.Millisecond,
	}
}

// handleZoneAnnouncement handles what a heartbeat says about the lease of its
// sender's zone. The caller holds mu.
func (g *Gateway) handleZoneAnnouncement(now clock.Time, b *heartbeatMsg) {
	own := b.Zone == g.settings.Zone
	known := g.zoneHolders[b.Zone]
	if own && b.ZoneAck != nil {
		g.zoneLease.HandleAck(machineID(b.Name, b.Address), leader.Ack{Fencing: b.ZoneAck.Fencing, Sequence: b.ZoneAck.Sequence})
	}
	if own && b.Leaving && b.ZoneAnnouncement == nil && known.name == b.Name {
		g.zoneLease.HandleHolderStopping(now)
	}
	if b.ZoneAnnouncement == nil || b.ZoneAnnouncement.Fencing < known.fencing {
		return
	}
	announcement := b.ZoneAnnouncement.decode()
	if known.name != b.Name || known.fencing != announcement.Fencing {
		g.log.Info().Str("zone", b.Zone).Str("holder", b.Name).Int64("fencing", announcement.Fencing).Msg("lease: another instance sends the orders of a zone")
	}
	g.zoneHolders[b.Zone] = zoneHolder{name: b.Name, fencing: announcement.Fencing, heardAt: now, quietUntil: now.Add(announcement.QuietRemaining)}
	if !own {
		return
	}
	g.zoneLease.HandleAnnouncement(now, announcement)
	if g.fleetHolderSilent(now) {
		g.outlook.RecordHolder(now, now.Add(max(announcement.Remaining, promiseDuration)), now.Add(announcement.QuietRemaining))
	}
}

// fleetHolderSilent reports whether the holder of the fleet lease is not heard. The
// caller holds mu.
func (g *Gateway) fleetHolderSilent(now clock.Time) bool {
	return now.Sub(g.fleetHolder.heardAt) > holderTimeout
}

// currentScope returns for which engines this instance may plan. The caller holds mu.
func (g *Gateway) currentScope(now clock.Time) placer.Scope {
	return placer.ScopeOf(placer.LeaseStatus{
		HoldsFleetLease: g.fleetLease.Holds(now), CanOrderZone: g.zoneLease.MayOrder(now), FleetHolderSilence: now.Sub(g.fleetHolder.heardAt),
	}, holderTimeout)
}

// plannerCount returns how many instances may plan at the same time: one for the
// fleet, or one in each zone. The caller holds mu.
func (g *Gateway) plannerCount(scope placer.Scope) int {
	if scope != placer.ScopeZone {
		return 1
	}
	zones := map[string]bool{g.settings.Zone: true}
	for zone := range g.zoneHolders {
		zones[zone] = true
	}
	return len(zones)
}

// zoneReachability returns whether orders can reach the engines of a zone. The caller
// holds mu.
func (g *Gateway) zoneReachability(zone string) placer.Reachability {
	now := g.plannedAt
	if zone == g.settings.Zone {
		if g.zoneLease.MayOrder(now) {
			return placer.Reachable
		}
		h := g.zoneHolders[zone]
		return reachabilityByHolder(h, now)
	}
	if g.servers.ZoneSilent(zone) {
		return placer.Unreachable
	}
	return reachabilityByHolder(g.zoneHolders[zone], now)
}

// reachabilityByHolder returns the reachability of a zone with a given lease holder.
func reachabilityByHolder(h zoneHolder, now clock.Time) placer.Reachability {
	if h.name != "" && now.Sub(h.heardAt) <= holderTimeout && now.Reached(h.quietUntil) {
		return placer.Reachable
	}
	return placer.NoHolder
}

// updateZoneVoters sets the voters of the zone lease and returns this instance's rank
// among the candidates for it. Among equally strong candidates the order is the
// reverse of the fleet lease's, so that one instance rarely holds both leases. The
// caller holds mu.
func (g *Gateway) updateZoneVoters(now clock.Time) (rank int) {
	var names, known []string
	for _, m := range g.members.All(now) {
		if m.Zone != g.settings.Zone {
			continue
		}
		known = append(known, machineID(m.Name, m.Address))
		if !m.Live(now) && !m.AwaitingFirstMessage(now) {
			continue
		}
		if m.Live(now) {
			names = append(names, machineID(m.Name, m.Address))
		}
		if cmp.Or(cmp.Compare(m.Strength, g.settings.Strength), cmp.Compare(m.Name, g.settings.Name)) > 0 {
			rank++
		}
	}
	g.zoneLease.SetVoters(names)
	g.zoneLease.SetPeers(now, known, g.peersReadEra)
	return rank
}

// zoneHolderMember returns the holder of a zone lease, or nil if it is not heard or
// is this instance. The caller holds mu.
func (g *Gateway) zoneHolderMember(now clock.Time, zone string) *members.Member {
	h := g.zoneHolders[zone]
	if h.name == "" || now.Sub(h.heardAt) > holderTimeout {
		return nil
	}
	return g.members.Get(h.name)
}

// acceptsZoneMessage reports whether a zone holder's message applies to this
// instance: it concerns its zone, and the holder of the fleet lease is silent. The
// caller holds mu.
func (g *Gateway) acceptsZoneMessage(now clock.Time, zone string, fencing int64) bool {
	return zone == g.settings.Zone && g.fleetHolderSilent(now) && fencing >= g.zoneHolders[zone].fencing
}

// handleZoneState handles a zone holder's message about its engines. The caller holds
// mu.
func (g *Gateway) handleZoneState(now clock.Time, s *stateMsg) {
	if s.Name == g.settings.Name || !g.acceptsZoneMessage(now, s.Zone, s.Fencing) {
		return
	}
	for _, m := range s.Servers {
		g.applyServer(now, m)
	}
	if len(g.localDemand) > 0 {
		g.wakeWaiting()
	}
}

// publishZoneEngines returns the zone holder's messages about the engines that it
// plans for. The caller holds mu.
func (g *Gateway) publishZoneEngines(now clock.Time) []outgoing {
	var servers []serverMsg
	changed := false
	p := &g.publisher
	for _, s := range g.enginesInScope(placer.ScopeZone) {
		m := g.serverMessage(now, s)
		old, wasPublished := p.published[s.ID]
		changed = changed || !wasPublished || !sameServer(old, m)
		p.published[s.ID] = m
		servers = append(servers, m)
	}
	if changed {
		g.wakeWaiting()
	}
	if since := now.Sub(p.flushedAt); !changed && since < holderTimeout || since < planInterval {
		return nil
	}
	p.flushedAt = now
	var out []outgoing
	for _, m := range g.stateMessages(servers, nil, nil) {
		out = append(out, outgoing{message: m, recipients: g.zoneRecipients(now)})
	}
	return out
}

// enginesInScope returns the engines of a scope. The caller holds mu.
func (g *Gateway) enginesInScope(scope placer.Scope) []*directory.Server {
	all := g.allEngines()
	if scope == placer.ScopeFleet {
		return all
	}
	return slices.DeleteFunc(all, func(s *directory.Server) bool { return s.Zone != g.settings.Zone })
}
