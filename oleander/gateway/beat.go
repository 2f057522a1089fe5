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
	// failedRunPeriod is how long a failed run of a request is reported.
	failedRunPeriod = 5 * time.Second
)

// newHeartbeat builds this instance's heartbeat without the demand, which only a
// lease holder needs. The caller holds mu.
func (g *Gateway) newHeartbeat(now clock.Time) *heartbeatMsg {
	b := &heartbeatMsg{
		Name: g.settings.Name, Incarnation: g.incarnation, Address: g.settings.PeerAddress, Zone: g.settings.Zone,
		Leaving: g.stopping.Load(), Strength: g.settings.Strength,
		Running: g.servers.LocalLoad(), FailedRuns: g.poison.LocalCounts(now, failedRunPeriod),
		StoreUnreachable: g.storeUnreachable(now), ServersStale: g.serversStale(now), Era: g.storeEra.current, Evacuations: g.evacuationMessages(now),
	}
	g.addOwnedAccounts(now, b)
	if m := g.manifest.Load(); m != nil {
		b.Manifest = m.Version
	}
	b.Claim, b.Echo = encodeClaim(now, g.fleetLease), encodeEcho(g.fleetLease)
	b.ZoneClaim, b.ZoneEcho = encodeClaim(now, g.zoneLease), encodeEcho(g.zoneLease)
	return b
}

// addDemand adds what a planner needs to know. The caller holds mu.
func (g *Gateway) addDemand(now clock.Time, b *heartbeatMsg) {
	b.ArrivalCounts, b.Running, b.Departures = g.recentArrivals(now), g.servers.LocalLoadByModel(), g.departures(now)
	for k, w := range g.ownWants(now) {
		b.Wants = append(b.Wants, wantMsg{
			Group: k.Group, Model: k.Model, Adapter: k.Adapter, Homes: k.AllowedRegions, Requests: w.Requests,
			WaitedMS: now.Sub(w.Since).Milliseconds(), Priority: w.Priority, DueMS: dueInMillis(now, w.ObjectiveDeadline),
		})
	}
}

// arrivalReportPeriod is how long after an arrival its counter is reported: ten
// heartbeats.
const arrivalReportPeriod = 2 * time.Second

// recentArrivals returns the counters that changed within arrivalReportPeriod. The
// caller holds mu.
func (g *Gateway) recentArrivals(now clock.Time) map[string]uint64 {
	late := make(map[string]uint64)
	for model, a := range g.arrivalCounts {
		if now.Sub(a.lastAt) < arrivalReportPeriod {
			late[model] = a.count
		}
	}
	return late
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
	full := g.demandRecipients(now, all)
	var holder, others []*members.Member
	for _, o := range all {
		switch {
		case full[o.Name]:
			holder = append(holder, o)
		case to != audienceHolder:
			others = append(others, o)
		}
	}
	// Messages are encoded under mu because they share maps with the gateway's state.
	var out []outgoing
	b := g.newHeartbeat(now)
	switch {
	case len(others) == 0:
	case to == audienceAllDirect || g.fleetLease.Holds(now):
		out = append(out, outgoing{message: g.encode(packet{Heartbeat: b}), recipients: g.recipients(others)})
	default:
		out = g.broadcast(now, g.encode(packet{Heartbeat: b}), others, false)
	}
	if len(holder) > 0 {
		g.addDemand(now, b)
		out = append(out, outgoing{message: g.encode(packet{Heartbeat: b}), recipients: g.recipients(holder)})
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
	told := make(map[string]bool)
	if h := g.zoneHolderMember(now, g.settings.Zone); h != nil {
		told[h.Name] = true // plans for the zone when the fleet holder is silent
	}
	if !g.fleetHolderSilent(now) {
		told[g.fleetHolder.name] = true
		return told
	}
	for _, m := range spread.Strongest(now, all, demandCandidates) {
		told[m.Name] = true
	}
	return told
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
	switch {
	case m.Heartbeat != nil:
		g.handleHeartbeat(now, m.Heartbeat)
	case m.State != nil:
		g.handleState(now, m.State)
	case m.Forecast != nil:
		g.handleForecast(now, m.Forecast)
	case m.Watcher != nil:
		g.handleWatcher(now, m.Watcher)
	case m.Order != nil:
		g.handleOrder(m.Order)
	case m.OrderAnswer != nil:
		g.handleOrderAnswer(m.OrderAnswer)
	case m.Dispatch != nil:
		return g.handleDispatchMsg(now, m.Dispatch)
	case m.Choice != nil:
		g.handleChoiceMsg(now, m.Choice)
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
	if b.Leaving && b.Claim == nil && g.fleetHolder.name == b.Name {
		g.fleetLease.HandleHolderStopping(now)
	}
	if b.Echo != nil {
		g.fleetLease.HandleAck(machineID(b.Name, b.Address), leader.Ack{Fencing: b.Echo.Fencing, Sequence: b.Echo.Sequence})
	}
	g.members.UpdateFromMessage(now, b.member())
	g.handleOwnedAccounts(now, b)
	if g.dispatcher.HasDirectReport(now, b.Name) {
		g.servers.RefreshPeerLoad(now, b.Name)
	} else {
		g.servers.SetPeerLoad(now, b.Name, b.Running)
	}
	for d, n := range b.FailedRuns {
		g.poison.RecordPeerCount(now, b.Name, d, n)
	}
	g.handleFleetClaim(now, b)
	g.handleZoneClaim(now, b)
	g.handleDepartures(now, b)
	g.handleArrivalCounts(now, b)
	g.configSync.ObserveVersion(now, b.Name, b.Zone, b.Manifest)
	g.fetchNewestManifest()
	if len(b.Wants) > 0 && g.currentScope(now) != placer.ScopeNone {
		g.triggerHousekeeping()
	}
}

func (g *Gateway) handleFleetClaim(now clock.Time, b *heartbeatMsg) {
	c := b.Claim
	if c == nil || c.Fencing < g.fleetHolder.fencing {
		return
	}
	if g.fleetHolder.name != b.Name || g.fleetHolder.fencing != c.Fencing {
		g.log.Info().Str("holder", b.Name).Int64("fencing", c.Fencing).Msg("lease: another instance plans for the fleet")
		g.fleetHolder = fleetHolder{name: b.Name, fencing: c.Fencing}
	}
	if g.fleetHolder.storeUnreachable && !b.StoreUnreachable {
		g.storeWatches.storeRecovered()
	}
	if g.fleetHolder.rowVersion != 0 && c.Version > g.fleetHolder.rowVersion {
		g.lapse.RecordAnswer(now) // the store accepted a renewal recently
	}
	g.fleetHolder.rowVersion = max(c.Version, g.fleetHolder.rowVersion)
	g.fleetHolder.heardAt, g.fleetHolder.storeUnreachable, g.fleetHolder.serversStale = now, b.StoreUnreachable, b.ServersStale
	claim := c.decode()
	g.fleetLease.HandleAnnouncement(now, claim)
	g.outlook.RecordHolder(now, now.Add(max(claim.Remaining, takeoverHoldoff)), now.Add(claim.QuietRemaining))
}

// handleArrivalCounts reports new arrivals at another instance to the placer. The
// caller holds mu.
func (g *Gateway) handleArrivalCounts(now clock.Time, b *heartbeatMsg) {
	seen := g.peerStateOf(b.Name, b.Incarnation)
	for model, n := range b.ArrivalCounts {
		g.addArrivals(now, seen, model, n)
	}
	seen.noHeartbeat = false
	seen.wants, seen.heardAt, seen.storeUnreachable = b.Wants, now, b.StoreUnreachable
}

// peerStateOf returns the state of an incarnation of another instance. The caller
// holds mu.
func (g *Gateway) peerStateOf(name string, incarnation uint64) *peerState {
	seen := g.peerStates[name]
	if seen == nil || seen.incarnation != incarnation {
		seen = &peerState{incarnation: incarnation, noHeartbeat: true, arrivalCounts: make(map[string]uint64)}
		g.peerStates[name] = seen
	}
	return seen
}

// addArrivals reports the increase of one counter to the placer. The caller holds mu.
func (g *Gateway) addArrivals(now clock.Time, seen *peerState, model string, n uint64) {
	before, known := seen.arrivalCounts[model]
	if !known {
		before = n - 1 // earlier arrivals are too old to count
	}
	if n > before && !seen.noHeartbeat {
		g.placer.RecordArrivals(now, model, int(n-before))
	}
	seen.arrivalCounts[model] = max(before, n)
}

// fleetWants returns the models that requests wait for at all instances. The caller
// holds mu.
func (g *Gateway) fleetWants(now clock.Time) map[placer.Key]placer.Demand {
	all := make(map[placer.Key]placer.Demand)
	add := func(k placer.Key, w placer.Demand) {
		if old, ok := all[k]; ok {
			w = old.Merge(w)
		}
		all[k] = w
	}
	for k, w := range g.ownWants(now) {
		add(k, w)
	}
	for _, d := range g.dispatcher.Demands(now) {
		add(placer.Key{Group: d.Group, Model: d.Model, AllowedRegions: d.AllowedRegions}, placer.Demand{Requests: d.Requests, Since: d.Since, Saturated: true})
	}
	const fresh = 2200 * time.Millisecond // three heartbeats in the largest fleet
	for _, s := range g.peerStates {
		if now.Sub(s.heardAt) > fresh {
			continue
		}
		for _, w := range s.wants {
			add(placer.Key{Group: w.Group, Model: w.Model, Adapter: w.Adapter, AllowedRegions: w.Homes}, placer.Demand{
				Requests: w.Requests, Since: s.heardAt.Add(-time.Duration(w.WaitedMS) * time.Millisecond), Priority: w.Priority,
				ObjectiveDeadline: dueTime(s.heardAt, w.DueMS),
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
