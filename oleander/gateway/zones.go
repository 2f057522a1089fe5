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

// zoneHolder is the instance that gives the orders of a zone, as it says itself.
type zoneHolder struct {
	name    string
	fencing int64
	heard   clock.Time
	from    clock.Time // it gives orders
}

// zoneName is the name of the lease of this instance's zone.
func (g *Gateway) zoneName() ports.LeaseName { return ports.LeaseName(g.set.Zone) }

// claimOf returns what the holder of a lease tells of its right; nil at another instance.
func claimOf(now clock.Time, l *leader.Lease) *claimMsg {
	c, ok := l.Tell(now)
	if !ok {
		return nil
	}
	return &claimMsg{
		Fencing: c.Fencing, Sequence: c.Sequence, Version: c.Version,
		LeftMS: c.Left.Milliseconds() + 1, OrdersInMS: c.OrdersIn.Milliseconds(),
	}
}

// echoOf returns what is said to the holder of a lease, nil if nothing is.
func echoOf(l *leader.Lease) *echoMsg {
	e, ok := l.Echo()
	if !ok {
		return nil
	}
	return &echoMsg{Fencing: e.Fencing, Sequence: e.Sequence}
}

// claim is the reverse of claimOf.
func (c *claimMsg) claim() leader.Claim {
	return leader.Claim{
		Fencing: c.Fencing, Sequence: c.Sequence, Version: c.Version,
		Left: time.Duration(c.LeftMS) * time.Millisecond, OrdersIn: time.Duration(c.OrdersInMS) * time.Millisecond,
	}
}

// hearZoneHolder takes what an instance says of the lease of its zone. The caller holds mu.
func (g *Gateway) hearZoneHolder(now clock.Time, b *beatMsg) {
	own := b.Zone == g.set.Zone
	known := g.zoneHolder[b.Zone]
	if own && b.ZoneEcho != nil {
		g.zoneLease.Echoed(machine(b.Name, b.Address), leader.Echo{Fencing: b.ZoneEcho.Fencing, Sequence: b.ZoneEcho.Sequence})
	}
	if own && b.Leaving && b.ZoneClaim == nil && known.name == b.Name {
		g.zoneLease.HolderLeft(now)
	}
	if b.ZoneClaim == nil || b.ZoneClaim.Fencing < known.fencing {
		return
	}
	c := b.ZoneClaim.claim()
	if known.name != b.Name || known.fencing != c.Fencing {
		g.log.Info().Str("zone", b.Zone).Str("holder", b.Name).Int64("fencing", c.Fencing).Msg("lease: another instance gives the orders of a zone")
	}
	g.zoneHolder[b.Zone] = zoneHolder{name: b.Name, fencing: c.Fencing, heard: now, from: now.Add(c.OrdersIn)}
	if !own {
		return
	}
	g.zoneLease.HeardHolder(now, c)
	if g.fleetSilent(now) {
		g.outlook.HeardHolder(now, now.Add(max(c.Left, leasePromise)), now.Add(c.OrdersIn))
	}
}

// fleetSilent reports whether the holder of the fleet's lease is not heard. The caller
// holds mu.
func (g *Gateway) fleetSilent(now clock.Time) bool { return now.Sub(g.holder.heard) > leaseSilence }

// scopeOf returns which engines this instance plans for. The caller holds mu.
func (g *Gateway) scopeOf(now clock.Time) placer.Scope {
	return placer.ScopeOf(placer.Rights{
		HoldsFleet: g.lease.Holds(now), OrdersZone: g.zoneLease.MayOrder(now), FleetSilence: now.Sub(g.holder.heard),
	}, leaseSilence)
}

// planners returns how many instances may plan at a time: one for all, or one in each zone.
// The caller holds mu.
func (g *Gateway) planners(scope placer.Scope) int {
	if scope != placer.Zone {
		return 1
	}
	zones := map[string]bool{g.set.Zone: true}
	for zone := range g.zoneHolder {
		zones[zone] = true
	}
	return len(zones)
}

// reachOf says how the engines of a zone can be ordered. The caller holds mu.
func (g *Gateway) reachOf(zone string) placer.Reach {
	now := g.planned
	if zone == g.set.Zone {
		if g.zoneLease.MayOrder(now) {
			return placer.Ordered
		}
		h := g.zoneHolder[zone]
		return heldUnless(h, now)
	}
	if g.dir.ZoneSilent(zone) {
		return placer.Cut
	}
	return heldUnless(g.zoneHolder[zone], now)
}

// heldUnless returns the reach of a zone by its holder.
func heldUnless(h zoneHolder, now clock.Time) placer.Reach {
	if h.name != "" && now.Sub(h.heard) <= leaseSilence && now.Reached(h.from) {
		return placer.Ordered
	}
	return placer.Held
}

// zoneCandidates tells the lease of the zone which other instances of it are heard, and
// returns the place of this one among the candidates for it. Of equally strong ones others
// go first than for the fleet's lease: one death should not end both rights. The caller
// holds mu.
func (g *Gateway) zoneCandidates(now clock.Time) (rank int) {
	var names []string
	for _, m := range g.members.All(now) {
		if m.Zone != g.set.Zone || !m.Live(now) && !m.AwaitingFirstMessage(now) {
			continue
		}
		if m.Live(now) {
			names = append(names, machine(m.Name, m.Address))
		}
		if cmp.Or(cmp.Compare(m.Strength, g.set.Strength), cmp.Compare(m.Name, g.set.Name)) > 0 {
			rank++
		}
	}
	g.zoneLease.SetVoters(names)
	return rank
}

// zoneHolderMember returns the holder of a zone's lease, nil if it is not heard or this
// instance. The caller holds mu.
func (g *Gateway) zoneHolderMember(now clock.Time, zone string) *members.Member {
	h := g.zoneHolder[zone]
	if h.name == "" || now.Sub(h.heard) > leaseSilence {
		return nil
	}
	return g.members.Get(h.name)
}

// speaksForZone reports whether a message of a zone's holder is for this instance: it is
// of its zone, and the holder of the fleet's lease is silent. The caller holds mu.
func (g *Gateway) speaksForZone(now clock.Time, zone string, fencing int64) bool {
	return zone == g.set.Zone && g.fleetSilent(now) && fencing >= g.zoneHolder[zone].fencing
}

// takeZoneState takes what the holder of the zone's lease says of its engines. The caller
// holds mu.
func (g *Gateway) takeZoneState(now clock.Time, s *stateMsg) {
	if s.Name == g.set.Name || !g.speaksForZone(now, s.Zone, s.Fencing) {
		return
	}
	for _, m := range s.Servers {
		g.takeServer(now, m)
	}
	if len(g.waits) > 0 {
		g.wake()
	}
}

// publishZone returns what the holder of the zone's lease tells its zone of the engines
// that it plans for. The caller holds mu.
func (g *Gateway) publishZone(now clock.Time) []outgoing {
	var servers []serverMsg
	changed := false
	p := &g.publisher
	for _, s := range g.enginesIn(placer.Zone) {
		m := g.describe(now, s)
		old, told := p.told[s.ID]
		changed = changed || !told || !sameServer(old, m)
		p.told[s.ID] = m
		servers = append(servers, m)
	}
	if changed {
		g.wake()
	}
	if since := now.Sub(p.flushed); !changed && since < leaseSilence || since < placeEvery {
		return nil
	}
	p.flushed = now
	var out []outgoing
	for _, m := range g.stateMessages(servers, nil, nil) {
		out = append(out, outgoing{message: m, to: g.ownZone(now)})
	}
	return out
}

// enginesIn returns the engines of a scope. The caller holds mu.
func (g *Gateway) enginesIn(scope placer.Scope) []*directory.Server {
	all := g.enginesOf()
	if scope == placer.Fleet {
		return all
	}
	return slices.DeleteFunc(all, func(s *directory.Server) bool { return s.Zone != g.set.Zone })
}
