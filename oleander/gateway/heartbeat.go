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
	// beatEvery is the time between the messages of an instance; they grow
	// rarer with their number, so that all of them together cost an instance
	// at most some hundred datagrams a second.
	baseHeartbeatInterval        = 200 * time.Millisecond
	heartbeatIntervalPerInstance = 8 * time.Millisecond
	// brokenFor is how long a broken run is told of.
	failedRunPeriod = 5 * time.Second
)

// beat builds this instance's message without what only a holder of the lease
// uses. The caller holds mu.
func (g *Gateway) newHeartbeat(now clock.Time) *heartbeatMsg {
	b := &heartbeatMsg{
		Name: g.settings.Name, Incarnation: g.incarnation, Address: g.settings.PeerAddress, Zone: g.settings.Zone,
		Leaving: g.stopping.Load(), Strength: g.settings.Strength,
		Running: g.servers.OwnTotals(), FailedRuns: g.poison.Own(now, failedRunPeriod),
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

// demand adds what the one that places models has to know. The caller holds mu.
func (g *Gateway) addDemand(now clock.Time, b *heartbeatMsg) {
	b.ArrivalCounts, b.Running, b.Departures = g.recentArrivals(now), g.servers.OwnRunning(), g.departures(now)
	for k, w := range g.ownWants(now) {
		b.Wants = append(b.Wants, wantMsg{
			Group: k.Group, Model: k.Model, Adapter: k.Adapter, Homes: k.Homes, Requests: w.Requests,
			WaitedMS: now.Sub(w.Since).Milliseconds(), Priority: w.Priority, DueMS: dueInMillis(now, w.Due),
		})
	}
}

// arrivedFor is how long after an arrival its counter is told: ten messages.
const arrivalReportPeriod = 2 * time.Second

// arrivedOfLate returns the counters that changed of late. The caller holds mu.
func (g *Gateway) recentArrivals(now clock.Time) map[string]uint64 {
	late := make(map[string]uint64)
	for model, a := range g.arrivalCounts {
		if now.Sub(a.lastAt) < arrivalReportPeriod {
			late[model] = a.count
		}
	}
	return late
}

// dueIn and dueAt carry the moment at which an objective is missed from one
// clock to another; 0 says that there is none.
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

// audience says whom a heartbeat is for.
type audience int

const (
	audienceHolder    audience = iota // of the lease only
	audienceAll                       // all, through relays
	audienceAllDirect                 // all directly: it must not be late or lost
)

// candidatesTold is how many instances are told of demand while no holder is
// heard: one of the strongest is the next.
const demandCandidates = 3

// sendBeat tells others of this instance. The holder is told of demand too, which
// is more than half of a message; so are the next candidates while no holder is
// heard.
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
	// The messages have maps that go on changing, so they are encoded under mu.
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

// toldOfDemand returns the instances that place models now or are the next to.
func (g *Gateway) demandRecipients(now clock.Time, all []*members.Member) map[string]bool {
	if g.fleetLease.Holds(now) {
		return nil
	}
	told := make(map[string]bool)
	if h := g.zoneHolderMember(now, g.settings.Zone); h != nil {
		told[h.Name] = true // it plans for the zone when the other one is gone
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

// takePacket takes a message of another instance.
func (g *Gateway) handlePacket(m packet) {
	g.mu.Lock()
	out := append(g.handleLocked(boottime.Now(), m), g.quotaMessages()...)
	g.mu.Unlock()
	g.sendAll(out)
}

// takeAny takes a message, or those that are wrapped in it. The caller holds mu.
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

// takeOne takes a message that is not wrapped. The caller holds mu.
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
		g.fleetLease.HolderLeft(now)
	}
	if b.Echo != nil {
		g.fleetLease.Echoed(machineID(b.Name, b.Address), leader.Echo{Fencing: b.Echo.Fencing, Sequence: b.Echo.Sequence})
	}
	g.members.Heard(now, b.member())
	g.handleOwnedAccounts(now, b)
	if g.dispatcher.Exact(now, b.Name) {
		g.servers.Refresh(now, b.Name)
	} else {
		g.servers.HeardRunning(now, b.Name, b.Running)
	}
	for d, n := range b.FailedRuns {
		g.poison.Heard(now, b.Name, d, n)
	}
	g.handleFleetClaim(now, b)
	g.handleZoneClaim(now, b)
	g.handleDepartures(now, b)
	g.handleArrivalCounts(now, b)
	g.configSync.Heard(now, b.Name, b.Zone, b.Manifest)
	g.fetchNewestManifest()
	if len(b.Wants) > 0 && g.currentScope(now) != placer.Nothing {
		g.triggerHousekeeping()
	}
}

func (g *Gateway) handleFleetClaim(now clock.Time, b *heartbeatMsg) {
	c := b.Claim
	if c == nil || c.Fencing < g.fleetHolder.fencing {
		return
	}
	if g.fleetHolder.name != b.Name || g.fleetHolder.fencing != c.Fencing {
		g.log.Info().Str("holder", b.Name).Int64("fencing", c.Fencing).Msg("lease: another instance plans for all")
		g.fleetHolder = fleetHolder{name: b.Name, fencing: c.Fencing}
	}
	if g.fleetHolder.storeUnreachable && !b.StoreUnreachable {
		g.storeWatches.storeRecovered()
	}
	if g.fleetHolder.rowVersion != 0 && c.Version > g.fleetHolder.rowVersion {
		g.lapse.Answered(now) // the store took a renewal a moment ago
	}
	g.fleetHolder.rowVersion = max(c.Version, g.fleetHolder.rowVersion)
	g.fleetHolder.heardAt, g.fleetHolder.storeUnreachable, g.fleetHolder.serversStale = now, b.StoreUnreachable, b.ServersStale
	claim := c.decode()
	g.fleetLease.HeardHolder(now, claim)
	g.outlook.HeardHolder(now, now.Add(max(claim.Left, takeoverHoldoff)), now.Add(claim.OrdersIn))
}

// countArrivals feeds the difference of another instance's counters.
func (g *Gateway) handleArrivalCounts(now clock.Time, b *heartbeatMsg) {
	seen := g.peerStateOf(b.Name, b.Incarnation)
	for model, n := range b.ArrivalCounts {
		g.addArrivals(now, seen, model, n)
	}
	seen.noHeartbeat = false
	seen.wants, seen.heardAt, seen.storeUnreachable = b.Wants, now, b.StoreUnreachable
}

// seenOf returns what was seen of a life of another instance.
func (g *Gateway) peerStateOf(name string, incarnation uint64) *peerState {
	seen := g.peerStates[name]
	if seen == nil || seen.incarnation != incarnation {
		seen = &peerState{incarnation: incarnation, noHeartbeat: true, arrivalCounts: make(map[string]uint64)}
		g.peerStates[name] = seen
	}
	return seen
}

// countModel feeds the difference of one counter.
func (g *Gateway) addArrivals(now clock.Time, seen *peerState, model string, n uint64) {
	before, known := seen.arrivalCounts[model]
	if !known {
		before = n - 1 // its count from before this instance listened is old
	}
	if n > before && !seen.noHeartbeat {
		g.placer.Arrived(now, model, int(n-before))
	}
	seen.arrivalCounts[model] = max(before, n)
}

// wants returns what waits at all instances. The caller holds mu.
func (g *Gateway) fleetWants(now clock.Time) map[placer.Key]placer.Want {
	all := make(map[placer.Key]placer.Want)
	add := func(k placer.Key, w placer.Want) {
		if old, ok := all[k]; ok {
			w = old.Join(w)
		}
		all[k] = w
	}
	for k, w := range g.ownWants(now) {
		add(k, w)
	}
	for _, d := range g.dispatcher.Demands(now) {
		add(placer.Key{Group: d.Group, Model: d.Model, Homes: d.Homes}, placer.Want{Requests: d.Requests, Since: d.Since, Room: true})
	}
	const fresh = 2200 * time.Millisecond // three messages in the largest fleet
	for _, s := range g.peerStates {
		if now.Sub(s.heardAt) > fresh {
			continue
		}
		for _, w := range s.wants {
			add(placer.Key{Group: w.Group, Model: w.Model, Adapter: w.Adapter, Homes: w.Homes}, placer.Want{
				Requests: w.Requests, Since: s.heardAt.Add(-time.Duration(w.WaitedMS) * time.Millisecond), Priority: w.Priority,
				Due: dueTime(s.heardAt, w.DueMS),
			})
		}
	}
	return all
}

// enginesOf returns the servers that take orders. The caller holds mu.
func (g *Gateway) allEngines() []*directory.Server {
	m := g.manifest.Load()
	if m == nil {
		return nil
	}
	var all []*directory.Server
	for _, name := range sortedNames(m.Groups) {
		if m.Groups[name].Engine != nil {
			all = append(all, g.servers.All(name)...)
		}
	}
	return all
}
