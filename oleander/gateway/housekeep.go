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
	// housekeepEvery is the time between two rounds of the housekeeping.
	housekeepInterval = 50 * time.Millisecond
	// placeEvery is the time between rounds while orders are under way, and the
	// least time between two: each costs the holder about a millisecond with a
	// hundred engines.
	planInterval = 15 * time.Millisecond
	// learnWithoutStore is when an instance that can't read the others' rows
	// counts those that it heard: all that reach it said something by then.
	storelessJoinDelay = time.Second
)

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// housekeep renews the lease, tells the others, and gives orders.
func (g *Gateway) housekeep() {
	t := time.NewTimer(0)
	defer t.Stop()
	var nextBeat, nextWord, last clock.Time
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
			nextBeat, nextWord = now.Add(g.heartbeatInterval()), now.Add(baseHeartbeatInterval)
		case now.Reached(nextBeat):
			g.sendHeartbeat(audienceAll)
			nextBeat, nextWord = now.Add(g.heartbeatInterval()), now.Add(baseHeartbeatInterval)
		case now.Reached(nextWord) && g.holderNeedsEcho():
			g.sendHeartbeat(audienceHolder)
			nextWord = now.Add(baseHeartbeatInterval)
		}
		t.Reset(g.housekeepRound())
	}
}

// claimUntold reports, once, that the lease was renewed. The others are told at
// once: if the holder dies, they know how long its right lasts.
func (g *Gateway) takeHeartbeatDue() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	untold := g.heartbeatDue
	g.heartbeatDue = false
	return untold
}

func (g *Gateway) heartbeatInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if g.fleetLease.Holds(now) || g.zoneLease.Holds(now) {
		return baseHeartbeatInterval // its silence is what the others take for its end
	}
	return heartbeatIntervalFor(g.members.Count())
}

// holderNeedsWord reports whether the holder goes on by the word of the others,
// since the store is away for it or for this instance.
func (g *Gateway) holderNeedsEcho() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	return g.storeUnreachable(now) || g.fleetHolder.storeUnreachable
}

// beatIntervalOf is the time between two messages of one of so many instances.
func heartbeatIntervalFor(instances int) time.Duration {
	return max(baseHeartbeatInterval, time.Duration(instances)*heartbeatIntervalPerInstance)
}

// round is one round of the housekeeping. It returns when the next is due.
func (g *Gateway) housekeepRound() time.Duration {
	g.mu.Lock()
	now := boottime.Now()
	g.refreshState(now)
	state := append(g.quotaMessages(), g.watcherMessages(now)...)
	step := g.fleetLease.Next(now, g.updateFleetVoters(now))
	zoneStep := g.zoneLease.Next(now, g.updateZoneVoters(now))
	if g.fleetLease.Holds(now) {
		g.fleetHolder.heardAt = now
	}
	scope := g.updateScope(now)
	var orders []placer.Order
	var asks []reportRequest
	pause := housekeepInterval
	if scope != placer.Nothing {
		g.outlook.HeardHolder(now, now.Add(takeoverHoldoff), now)
		orders, asks = g.plan(now, scope)
		if scope == placer.Fleet {
			state = append(state, g.publishServers(now)...)
		} else {
			state = append(state, g.publishZoneEngines(now)...)
		}
		state = append(state, g.forecastMessages(now)...)
		if g.placer.Active() {
			pause = planInterval
		}
	}
	g.mu.Unlock()
	g.runLeaseStep("", g.fleetLease, step)
	g.runLeaseStep(g.zoneLeaseName(), g.zoneLease, zoneStep)
	g.sendAll(state)
	for _, o := range orders {
		go g.executeOrder(o)
	}
	for _, q := range asks {
		go g.fetchReport(q)
	}
	return pause
}

// enterScope returns which engines this instance plans for now. The caller holds mu.
func (g *Gateway) updateScope(now clock.Time) placer.Scope {
	scope := g.currentScope(now)
	if scope == g.planScope {
		return scope
	}
	g.log.Info().Stringer("scope", scope).Stringer("before", g.planScope).Msg("placer: plans for other engines")
	g.planScope = scope
	g.placer.ShareStore(now, g.plannerCount(scope))
	clear(g.publisher.published)
	if scope == placer.Nothing && g.fleetHolder.name != g.settings.Name {
		g.placer.Rest() // another one plans; a right that lapsed may be back in a moment
	}
	return scope
}

// lookAround drops what is too old and takes what time alone changes. The caller
// holds mu.
func (g *Gateway) refreshState(now clock.Time) {
	g.removeLapsed(now)
	g.applyEvacuations(now)
	g.servers.SetSilent(g.members.SilentZones(now, zoneTimeout))
	if g.servers.Paces() {
		g.servers.SetShare(g.warmupShare(now))
	}
	g.servers.Expire(now)
	g.outlook.Expire(now)
	g.configSync.Forget(now)
	g.dispatcher.Forget(now)
	away := g.storeUnreachable(now)
	if g.storeWasUnreachable && !away {
		g.storeWatches.storeRecovered()
	}
	g.storeWasUnreachable = away
	if g.peersRead || now.Sub(g.started) > storelessJoinDelay {
		g.quota.Joined(now)
	}
	g.quota.Tick(now)
	if g.fleetLease.Lapsed(now) {
		g.metrics.leaseLost.Inc()
		g.log.Warn().Msg("lease: lapsed, no more planning for all")
	}
	if g.zoneLease.Lapsed(now) {
		g.log.Warn().Str("zone", g.settings.Zone).Msg("lease: lapsed, no more orders")
	}
}

// strongerThan reports whether this instance goes before another one where the
// strongest is chosen.
func (g *Gateway) ranksBefore(m *members.Member) bool {
	return g.settings.Strength > m.Strength || g.settings.Strength == m.Strength && g.settings.Name < m.Name
}

// candidates tells the lease which other instances are heard, and returns the
// place of this one among the candidates for it. The caller holds mu.
func (g *Gateway) updateFleetVoters(now clock.Time) (rank int) {
	var names []string
	for _, m := range g.members.All(now) {
		if !m.Live(now) && !m.Expected(now) {
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
	return rank
}
