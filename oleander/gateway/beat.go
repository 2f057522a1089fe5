package gateway

import (
	"cmp"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/core/gateway/spread"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// An instance sends a heartbeat every baseHeartbeatInterval, or less often in a
	// large fleet: heartbeatIntervalPerInstance times the number of instances.
	// Together the heartbeats cost each instance at most a few hundred datagrams a
	// second.
	baseHeartbeatInterval        = 200 * time.Millisecond
	heartbeatIntervalPerInstance = 8 * time.Millisecond
)

// newHeartbeat builds this instance's heartbeat without the demand, which only a
// lease holder needs. The caller holds mu.
func (g *Gateway) newHeartbeat(now clock.Time) *heartbeatMsg {
	heartbeat := &heartbeatMsg{
		Name: g.settings.Name, Incarnation: g.incarnation, Address: g.settings.PeerAddress, Zone: g.settings.Zone,
		Leaving: g.stopping.Load(), Strength: g.settings.Strength,
		Running:          g.servers.LocalLoad(),
		StoreUnreachable: g.storeUnreachable(now), ServersStale: g.serversStale(now), Era: g.storeEra.current, Evacuations: g.evacuationMessages(now),
	}
	g.addOwnedAccounts(now, heartbeat)
	if m := g.manifest.Load(); m != nil {
		heartbeat.Manifest = m.Version
	}
	heartbeat.Announcement, heartbeat.Ack = encodeAnnouncement(now, g.fleetLease), encodeAck(g.fleetLease)
	heartbeat.ZoneAnnouncement, heartbeat.ZoneAck = encodeAnnouncement(now, g.zoneLease), encodeAck(g.zoneLease)
	return heartbeat
}

// attachDemand adds what a planner needs to know. The caller holds mu.
func (g *Gateway) attachDemand(now clock.Time, p *packet) {
	heartbeat := p.Heartbeat
	heartbeat.ArrivalCounts, heartbeat.Running, heartbeat.Departures = g.recentArrivals(now), g.servers.LocalLoadByModel(), g.departures(now)
	for k, d := range g.ownDemand(now) {
		heartbeat.Demand = append(heartbeat.Demand, demandMsg{
			Group: k.Group, Model: k.Model, Adapter: k.Adapter, AllowedRegions: k.AllowedRegions, Requests: d.Requests,
			WaitedMS: now.Sub(d.Since).Milliseconds(), Priority: d.Priority, DueMS: dueInMillis(now, d.ObjectiveDeadline),
		})
		if k.Origin.Begun {
			if p.DemandOrigins == nil {
				p.DemandOrigins = make(map[int]string)
			}
			p.DemandOrigins[len(heartbeat.Demand)-1] = k.Origin.Software
		}
	}
}

// arrivalReportPeriod is how long after an arrival its counter is reported: ten
// heartbeats.
const arrivalReportPeriod = 2 * time.Second

// recentArrivals returns the counters that changed within arrivalReportPeriod. The
// caller holds mu.
func (g *Gateway) recentArrivals(now clock.Time) map[string]uint64 {
	recent := make(map[string]uint64)
	for model, a := range g.arrivalCounts {
		if now.Sub(a.lastAt) < arrivalReportPeriod {
			recent[model] = a.count
		}
	}
	return recent
}

// dueInMillis and dueTime convert the time at which an objective is missed between
// the clocks of two instances. 0 means that there is none.
func dueInMillis(now, due clock.Time) int64 {
	if due == 0 {
		return 0
	}
	return cmp.Or(due.Sub(now).Milliseconds(), -1)
}

func dueTime(heard clock.Time, ms int64) clock.Time {
	if ms == 0 {
		return 0
	}
	return heard.Add(time.Duration(ms) * time.Millisecond)
}

// audience selects the recipients of a heartbeat.
type audience int

const (
	audienceHolder    audience = iota // only the holder of the fleet lease
	audienceAll                       // all instances, through relays
	audienceAllDirect                 // all instances directly: it must not be late or lost
)

// demandCandidates is how many instances receive the demand while no holder of the
// fleet lease is heard. One of the strongest becomes the next holder.
const demandCandidates = 3

// sendHeartbeat sends a heartbeat to an audience. Planners also receive the demand,
// which is more than half of a message; so do the next candidates while no holder of
// the fleet lease is heard.
func (g *Gateway) sendHeartbeat(to audience) {
	g.mu.Lock()
	now := boottime.Now()
	all := g.members.All(now)
	planners := g.demandRecipients(now, all)
	var withDemand, withoutDemand []*members.Member
	for _, m := range all {
		switch {
		case planners[m.Name]:
			withDemand = append(withDemand, m)
		case to != audienceHolder:
			withoutDemand = append(withoutDemand, m)
		}
	}
	// Messages are encoded under mu because they share maps with the gateway's state.
	var out []outgoing
	heartbeat := g.newHeartbeat(now)
	packet := g.heartbeatPacket(now, heartbeat)
	packet.Links, packet.InDoubt, packet.Late = g.linksMessage(), g.crashRecords.inDoubt(now, g.started), g.late(now)
	packet.Versions = g.softwareHash
	if to != audienceHolder {
		g.checkSilence(now)
		packet.Suspects = encodeSuspects(g.settings.Name, g.poison.Report(now))
	}
	switch {
	case len(withoutDemand) == 0:
	case to == audienceAllDirect || g.fleetLease.Holds(now):
		out = append(out, outgoing{message: g.encode(packet), recipients: g.recipients(withoutDemand)})
	default:
		out = g.broadcast(now, g.encode(packet), withoutDemand, false)
	}
	if to != audienceHolder {
		out = append(out, g.repeatedFeedback(now, all)...)
	}
	if len(withDemand) > 0 {
		g.attachDemand(now, &packet)
		out = append(out, outgoing{message: g.encode(packet), recipients: g.recipients(withDemand)})
	}
	g.mu.Unlock()
	g.sendAll(out)
}

// demandRecipients returns the instances that plan now or may do so next. The caller
// holds mu.
func (g *Gateway) demandRecipients(now clock.Time, all []*members.Member) map[string]bool {
	if g.fleetLease.Holds(now) {
		return nil
	}
	recipients := make(map[string]bool)
	if h := g.zoneHolderMember(now, g.settings.Zone); h != nil {
		recipients[h.Name] = true // plans for the zone when the fleet holder is silent
	}
	if !g.fleetHolderSilent(now) {
		recipients[g.fleetHolder.name] = true
		return recipients
	}
	for _, m := range spread.Strongest(now, all, demandCandidates) {
		recipients[m.Name] = true
	}
	return recipients
}

// handlePacket handles a packet of another instance.
func (g *Gateway) handlePacket(m packet) {
	g.mu.Lock()
	out := append(g.handleLocked(boottime.Now(), m), g.quotaMessages()...)
	g.mu.Unlock()
	g.sendAll(out)
}

// handleLocked handles a packet, including the packets wrapped in it, and returns the
// messages to send. The caller holds mu.
func (g *Gateway) handleLocked(now clock.Time, m packet) []outgoing {
	switch {
	case m.Forward != nil:
		g.queueRelay(m.Forward)
		return g.handleRelayed(now, m.Forward)
	case m.Relayed != nil:
		var out []outgoing
		for _, body := range m.Relayed {
			out = append(out, g.handleRelayed(now, body)...)
		}
		return out
	}
	return g.handleUnwrapped(now, m)
}

// handleUnwrapped handles a packet that wraps no others. The caller holds mu.
func (g *Gateway) handleUnwrapped(now clock.Time, m packet) []outgoing {
	m.joinSoftware()
	switch {
	case m.Heartbeat != nil:
		if known := g.peerStates[m.Heartbeat.Name]; known == nil || known.incarnation != m.Heartbeat.Incarnation {
			g.poison.ReportAllNext()
		}
		g.handleHeartbeat(now, m.Heartbeat)
		g.recordPeerStatus(now, m.Heartbeat, m.LeaseRelease)
		g.handleSuspects(now, m.Suspects)
		g.handleDoubt(now, m.Heartbeat, m.InDoubt)
		peer := g.peerStateOf(m.Heartbeat.Name, m.Heartbeat.Incarnation)
		peer.late = m.Late
		if m.Versions != 0 {
			peer.versions = m.Versions
		}
		if m.Heartbeat.Name != g.settings.Name {
			g.handleLinks(now, m.Heartbeat, m.Links)
		}
	case m.State != nil:
		g.handleState(now, m.State)
	case m.Forecast != nil:
		g.handleForecast(now, m.Forecast)
	case m.Watcher != nil:
		g.handleWatcher(now, m.Watcher)
	case m.Order != nil:
		g.handleOrder(m.Order)
	case m.OrderResult != nil:
		g.handleOrderResult(m.OrderResult)
	case m.Dispatch != nil:
		return g.handleDispatchMsg(now, m.Dispatch, m.DispatchDetail, m.QueryOrigin)
	case m.Choice != nil:
		return g.handleChoiceMsg(now, m.Choice, m.ChoiceDetail)
	case m.Feedback != nil:
		g.handleFeedbackMsg(now, m.Feedback)
	case m.Probe != nil:
		return g.handleProbe(now, m.Probe)
	case m.Origins != nil:
		g.handleOrigins(now, m.Origins)
	case m.OriginQuery != nil:
		return g.handleOriginQuery(now, m.OriginQuery)
	case m.Paces != nil:
		g.handlePaces(now, m.Paces)
	case m.Suspects != nil:
		g.handleSuspects(now, m.Suspects)
	default:
		return g.handleQuotaPacket(now, m)
	}
	return nil
}

func (g *Gateway) handleHeartbeat(now clock.Time, b *heartbeatMsg) {
	if b.Name == g.settings.Name {
		return
	}
	g.observeEra(now, b.Era)
	g.handleEvacuations(now, b.Evacuations)
	if b.Leaving && b.Announcement == nil && g.fleetHolder.name == b.Name {
		g.fleetLease.HandleHolderStopping(now)
	}
	if b.Ack != nil {
		g.fleetLease.HandleAck(machineID(b.Name, b.Address), leader.Ack{Fencing: b.Ack.Fencing, Sequence: b.Ack.Sequence})
	}
	g.members.UpdateFromMessage(now, b.member())
	g.handleOwnedAccounts(now, b)
	if g.dispatcher.HasDirectReport(now, b.Name) {
		g.servers.RefreshPeerLoad(now, b.Name)
	} else {
		g.servers.SetPeerLoad(now, b.Name, b.Running)
	}
	g.handleFleetAnnouncement(now, b)
	g.handleZoneAnnouncement(now, b)
	g.handleDepartures(now, b)
	g.handleArrivalCounts(now, b)
	g.configSync.ObserveVersion(now, b.Name, b.Zone, b.Manifest)
	g.fetchNewestManifest()
	if len(b.Demand) > 0 && g.currentScope(now) != placer.ScopeNone {
		g.triggerHousekeeping()
	}
}

func (g *Gateway) handleFleetAnnouncement(now clock.Time, b *heartbeatMsg) {
	msg := b.Announcement
	if msg == nil || msg.Fencing < g.fleetHolder.fencing {
		return
	}
	if g.fleetHolder.name != b.Name || g.fleetHolder.fencing != msg.Fencing {
		g.log.Info().Str("holder", b.Name).Int64("fencing", msg.Fencing).Msg("lease: another instance plans for the fleet")
		g.fleetHolder = fleetHolder{name: b.Name, fencing: msg.Fencing}
	}
	if g.fleetHolder.storeUnreachable && !b.StoreUnreachable {
		g.storeWatches.storeRecovered()
	}
	if g.fleetHolder.rowVersion != 0 && msg.Version > g.fleetHolder.rowVersion {
		g.lapse.RecordAnswer(now) // the store accepted a renewal recently
	}
	g.fleetHolder.rowVersion = max(msg.Version, g.fleetHolder.rowVersion)
	g.fleetHolder.heardAt, g.fleetHolder.storeUnreachable, g.fleetHolder.serversStale = now, b.StoreUnreachable, b.ServersStale
	announcement := msg.decode()
	g.fleetLease.HandleAnnouncement(now, announcement)
	g.outlook.RecordHolder(now, now.Add(max(announcement.Remaining, promiseDuration)), now.Add(announcement.QuietRemaining))
}

// handleArrivalCounts reports new arrivals at another instance to the placer. The
// caller holds mu.
func (g *Gateway) handleArrivalCounts(now clock.Time, b *heartbeatMsg) {
	peer := g.peerStateOf(b.Name, b.Incarnation)
	for model, n := range b.ArrivalCounts {
		g.addArrivals(now, peer, model, n)
	}
	peer.noHeartbeat = false
	peer.demand, peer.heardAt, peer.storeUnreachable = b.Demand, now, b.StoreUnreachable
}

// peerStateOf returns the state of an incarnation of another instance. The caller
// holds mu.
func (g *Gateway) peerStateOf(name string, incarnation uint64) *peerState {
	peer := g.peerStates[name]
	if peer == nil || peer.incarnation != incarnation {
		peer = &peerState{incarnation: incarnation, noHeartbeat: true, arrivalCounts: make(map[string]uint64)}
		g.peerStates[name] = peer
	}
	return peer
}

// addArrivals reports the increase of one counter to the placer. The caller holds mu.
func (g *Gateway) addArrivals(now clock.Time, peer *peerState, model string, n uint64) {
	before, known := peer.arrivalCounts[model]
	if !known {
		before = n - 1 // earlier arrivals are too old to count
	}
	if n > before && !peer.noHeartbeat {
		g.placer.RecordArrivals(now, model, int(n-before))
	}
	peer.arrivalCounts[model] = max(before, n)
}

// fleetDemand returns the models that requests wait for at all instances. The caller
// holds mu.
func (g *Gateway) fleetDemand(now clock.Time) map[placer.Key]placer.Demand {
	all := make(map[placer.Key]placer.Demand)
	add := func(k placer.Key, d placer.Demand) {
		if old, ok := all[k]; ok {
			d = old.Merge(d)
		}
		all[k] = d
	}
	for k, d := range g.ownDemand(now) {
		add(k, d)
	}
	for _, d := range g.dispatcher.Demands(now) {
		add(placer.Key{Group: d.Group, Model: d.Model, AllowedRegions: d.AllowedRegions, Origin: d.Origin}, placer.Demand{Requests: d.Requests, Since: d.Since, Saturated: true})
	}
	const maxAge = 2200 * time.Millisecond // three heartbeats in the largest fleet
	for _, s := range g.peerStates {
		if now.Sub(s.heardAt) > maxAge {
			continue
		}
		for _, d := range s.demand {
			add(placer.Key{Group: d.Group, Model: d.Model, Adapter: d.Adapter, AllowedRegions: d.AllowedRegions, Origin: d.origin}, placer.Demand{
				Requests: d.Requests, Since: s.heardAt.Add(-time.Duration(d.WaitedMS) * time.Millisecond), Priority: d.Priority,
				ObjectiveDeadline: dueTime(s.heardAt, d.DueMS),
			})
		}
	}
	return all
}

// allEngines returns the backend servers that take orders. The caller holds mu.
func (g *Gateway) allEngines() []*directory.Server {
	m := g.manifest.Load()
	if m == nil {
		return nil
	}
	var all []*directory.Server
	for _, name := range sortedNames(m.Groups) {
		if m.Groups[name].Engine != nil {
			all = append(all, g.servers.InGroup(name)...)
		}
	}
	return all
}
