package gateway

import (
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// housekeepInterval is the time between two rounds of housekeeping.
	housekeepInterval = 50 * time.Millisecond
	// planInterval is the time between rounds while orders are in progress, and the
	// minimum between two rounds.
	planInterval = 15 * time.Millisecond
	// storelessJoinDelay is when an instance that cannot read the instances' rows
	// starts to count the instances that it heard: by then every reachable one has
	// sent a heartbeat.
	storelessJoinDelay = time.Second
)

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// housekeep renews the leases, sends heartbeats, and plans orders.
func (g *Gateway) housekeep() {
	t := time.NewTimer(0)
	defer t.Stop()
	var nextHeartbeat, nextAck, last clock.Time
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-t.C:
		case <-g.housekeepNow:
			if since := boottime.Now().Sub(last); since < planInterval {
				t.Reset(planInterval - since)
				continue
			}
		}
		now := boottime.Now()
		last = now
		switch {
		case g.takeHeartbeatDue():
			g.sendHeartbeat(audienceAllDirect)
			nextHeartbeat, nextAck = now.Add(g.heartbeatInterval()), now.Add(baseHeartbeatInterval)
		case now.Reached(nextHeartbeat):
			g.sendHeartbeat(audienceAll)
			nextHeartbeat, nextAck = now.Add(g.heartbeatInterval()), now.Add(baseHeartbeatInterval)
		case now.Reached(nextAck) && g.holderNeedsAcks():
			g.sendHeartbeat(audienceHolder)
			nextAck = now.Add(baseHeartbeatInterval)
		}
		g.checkLinks(now)
		g.checkSilent(now)
		g.pool.DropExpired()
		t.Reset(g.housekeepRound())
	}
}

// takeHeartbeatDue reports whether a heartbeat is due at once, and clears the flag.
// After a renewal of a lease, other instances must know how long it lasts in case the
// holder dies.
func (g *Gateway) takeHeartbeatDue() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	due := g.heartbeatDue
	g.heartbeatDue = false
	return due
}

func (g *Gateway) heartbeatInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if g.fleetLease.Holds(now) || g.zoneLease.Holds(now) {
		return baseHeartbeatInterval // other instances take the holder's silence for its death
	}
	return heartbeatIntervalFor(g.members.Count())
}

// holderNeedsAcks reports whether the holder of the fleet lease depends on frequent
// acknowledgments, since it or this instance does not reach the store.
func (g *Gateway) holderNeedsAcks() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	return g.storeUnreachable(now) || g.fleetHolder.storeUnreachable
}

// heartbeatIntervalFor returns the heartbeat interval in a fleet of a given size.
func heartbeatIntervalFor(instances int) time.Duration {
	return max(baseHeartbeatInterval, time.Duration(instances)*heartbeatIntervalPerInstance)
}

// housekeepRound runs one round and returns the time until the next.
func (g *Gateway) housekeepRound() time.Duration {
	g.mu.Lock()
	now := boottime.Now()
	g.refreshState(now)
	messages := append(g.quotaMessages(), g.watcherMessages(now)...)
	messages = append(messages, g.paceMessages(now)...)
	messages = append(messages, g.tellOrigins(now)...)
	fleetStep := g.fleetLease.Next(now, g.updateFleetVoters(now))
	g.zoneLease.SetYielding(g.yieldsOrders(now))
	zoneStep := g.zoneLease.Next(now, g.updateZoneVoters(now))
	if g.fleetLease.Holds(now) {
		g.fleetHolder.heardAt = now
	}
	scope := g.updateScope(now)
	var orders []placer.Order
	var reports []reportRequest
	pause := housekeepInterval
	if scope != placer.ScopeNone {
		g.outlook.RecordHolder(now, now.Add(promiseDuration), now)
		orders, reports = g.plan(now, scope)
		if scope == placer.ScopeFleet {
			messages = append(messages, g.publishServers(now)...)
		} else {
			messages = append(messages, g.publishZoneEngines(now)...)
		}
		messages = append(messages, g.forecastMessages(now)...)
		if g.placer.HasPendingWork() {
			pause = planInterval
		}
	}
	fleetLease, zoneLease := g.fleetLease, g.zoneLease
	g.mu.Unlock()
	g.runLeaseStep("", fleetLease, fleetStep)
	g.runLeaseStep(g.zoneLeaseName(), zoneLease, zoneStep)
	g.sendAll(messages)
	for _, o := range orders {
		go g.executeOrder(o)
	}
	for _, request := range reports {
		go g.fetchReport(request)
	}
	return pause
}

// updateScope determines for which engines this instance plans. The caller holds mu.
func (g *Gateway) updateScope(now clock.Time) placer.Scope {
	scope := g.currentScope(now)
	if scope == g.planScope {
		return scope
	}
	g.log.Info().Stringer("scope", scope).Stringer("before", g.planScope).Msg("placer: planning scope changed")
	g.planScope = scope
	g.placer.TakeOver()
	g.placer.SetStorePlanners(now, g.plannerCount(scope))
	clear(g.publisher.published)
	g.reports.clear()
	if scope == placer.ScopeNone && g.fleetHolder.name != g.settings.Name {
		g.placer.ForgetEngines() // not after a brief expiry of the own lease, which may be regained soon
	}
	return scope
}

// refreshState drops outdated state and applies changes that depend on time alone.
// The caller holds mu.
func (g *Gateway) refreshState(now clock.Time) {
	g.removeLapsed(now)
	g.applyEvacuations(now)
	g.servers.SetSilentZones(g.members.SilentZones(now, zoneTimeout))
	g.servers.ExpireFeedback(now)
	if g.servers.PacesServers() {
		g.servers.SetShare(now, g.limitShare(now))
	}
	g.servers.ExpirePeerLoad(now)
	g.servers.ExpirePaces(now)
	g.outlook.Expire(now)
	g.configSync.Expire(now)
	g.dispatcher.Expire(now)
	g.ownQueues.Expire(now)
	g.updateOwnShare(now)
	unreachable := g.storeUnreachable(now)
	if g.storeWasUnreachable && !unreachable {
		g.storeWatches.storeRecovered()
	}
	g.storeWasUnreachable = unreachable
	if g.peersRead || now.Sub(g.started) > storelessJoinDelay {
		g.limiter.MembersListed(now)
	}
	g.limiter.Tick(now)
	if g.fleetLease.CheckExpiry(now) {
		g.metrics.leaseLost.Inc()
		g.log.Warn().Msg("lease: expired, this instance no longer plans for the fleet")
	}
	if g.zoneLease.CheckExpiry(now) {
		g.log.Warn().Str("zone", g.settings.Zone).Msg("lease: expired, this instance no longer sends orders")
	}
}

// ranksBefore reports whether this instance ranks before another one among
// candidates.
func (g *Gateway) ranksBefore(m *members.Member) bool {
	return g.settings.Strength > m.Strength || g.settings.Strength == m.Strength && g.settings.Name < m.Name
}

// updateFleetVoters sets the voters of the fleet lease and returns this instance's
// rank among the candidates for it. The caller holds mu.
func (g *Gateway) updateFleetVoters(now clock.Time) (rank int) {
	var names, known []string
	for _, m := range g.members.All(now) {
		known = append(known, machineID(m.Name, m.Address))
		if !m.Live(now) && !m.AwaitingFirstMessage(now) {
			continue
		}
		if m.Live(now) {
			names = append(names, machineID(m.Name, m.Address))
		}
		if !g.ranksBefore(m) {
			rank++
		}
	}
	g.fleetLease.SetVoters(names)
	g.fleetLease.SetPeers(now, known, g.peersReadEra)
	return rank
}
