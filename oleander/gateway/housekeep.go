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
	housekeepEvery = 50 * time.Millisecond
	// placeEvery is the time between rounds while orders are under way, and the
	// least time between two: each costs the holder about a millisecond with a
	// hundred engines.
	placeEvery = 15 * time.Millisecond
	// learnWithoutStore is when an instance that can't read the others' rows
	// counts those that it heard: all that reach it said something by then.
	learnWithoutStore = time.Second
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
		case <-g.kick:
			if since := boottime.Now().Sub(last); since < placeEvery {
				t.Reset(placeEvery - since)
				continue
			}
		}
		now := boottime.Now()
		last = now
		switch {
		case g.claimUntold():
			g.sendBeat(toAllAtOnce)
			nextBeat, nextWord = now.Add(g.beatInterval()), now.Add(beatEvery)
		case now.Reached(nextBeat):
			g.sendBeat(toAll)
			nextBeat, nextWord = now.Add(g.beatInterval()), now.Add(beatEvery)
		case now.Reached(nextWord) && g.holderNeedsWord():
			g.sendBeat(toHolder)
			nextWord = now.Add(beatEvery)
		}
		t.Reset(g.round())
	}
}

// claimUntold reports, once, that the lease was renewed. The others are told at
// once: if the holder dies, they know how long its right lasts.
func (g *Gateway) claimUntold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	untold := g.tellClaim
	g.tellClaim = false
	return untold
}

func (g *Gateway) beatInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if g.lease.Holds(now) || g.zoneLease.Holds(now) {
		return beatEvery // its silence is what the others take for its end
	}
	return beatIntervalOf(g.members.Count())
}

// holderNeedsWord reports whether the holder goes on by the word of the others,
// since the store is away for it or for this instance.
func (g *Gateway) holderNeedsWord() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	return g.storeAway(now) || g.holder.storeDown
}

// beatIntervalOf is the time between two messages of one of so many instances.
func beatIntervalOf(instances int) time.Duration {
	return max(beatEvery, time.Duration(instances)*beatPerMember)
}

// round is one round of the housekeeping. It returns when the next is due.
func (g *Gateway) round() time.Duration {
	g.mu.Lock()
	now := boottime.Now()
	g.lookAround(now)
	state := append(g.tokenMessages(), g.tellWord(now)...)
	step := g.lease.Next(now, g.candidates(now))
	zoneStep := g.zoneLease.Next(now, g.zoneCandidates(now))
	if g.lease.Holds(now) {
		g.holder.heard = now
	}
	scope := g.enterScope(now)
	var orders []placer.Order
	var asks []question
	pause := housekeepEvery
	if scope != placer.Nothing {
		g.outlook.HeardHolder(now, now.Add(leasePromise), now)
		orders, asks = g.plan(now, scope)
		if scope == placer.Fleet {
			state = append(state, g.publish(now)...)
		} else {
			state = append(state, g.publishZone(now)...)
		}
		state = append(state, g.tellForecasts(now)...)
		if g.placer.Active() {
			pause = placeEvery
		}
	}
	g.mu.Unlock()
	g.leaseStep("", g.lease, step)
	g.leaseStep(g.zoneName(), g.zoneLease, zoneStep)
	g.sendAll(state)
	for _, o := range orders {
		go g.order(o)
	}
	for _, q := range asks {
		go g.ask(q)
	}
	return pause
}

// enterScope returns which engines this instance plans for now. The caller holds mu.
func (g *Gateway) enterScope(now clock.Time) placer.Scope {
	scope := g.scopeOf(now)
	if scope == g.scope {
		return scope
	}
	g.log.Info().Stringer("scope", scope).Stringer("before", g.scope).Msg("placer: plans for other engines")
	g.scope = scope
	g.placer.ShareStore(now, g.planners(scope))
	clear(g.publisher.told)
	if scope == placer.Nothing && g.holder.name != g.set.Name {
		g.placer.Rest() // another one plans; a right that lapsed may be back in a moment
	}
	return scope
}

// lookAround drops what is too old and takes what time alone changes. The caller
// holds mu.
func (g *Gateway) lookAround(now clock.Time) {
	g.dropLapsed(now)
	g.applyEvacuations(now)
	g.dir.SetSilentZones(g.members.SilentZones(now, zoneSilence))
	if g.dir.HasWarmupLimits() {
		g.dir.SetWarmupShare(g.shareOfWarmup(now))
	}
	g.dir.ExpirePeerLoad(now)
	g.outlook.Expire(now)
	g.sync.Expire(now)
	g.dispatch.Expire(now)
	away := g.storeAway(now)
	if g.wasAway && !away {
		g.watches.storeReturned()
	}
	g.wasAway = away
	if g.knowsPeers || now.Sub(g.started) > learnWithoutStore {
		g.quota.Joined(now)
	}
	g.quota.Tick(now)
	if g.lease.Lapsed(now) {
		g.metrics.leaseLost.Inc()
		g.log.Warn().Msg("lease: lapsed, no more planning for all")
	}
	if g.zoneLease.Lapsed(now) {
		g.log.Warn().Str("zone", g.set.Zone).Msg("lease: lapsed, no more orders")
	}
}

// strongerThan reports whether this instance goes before another one where the
// strongest is chosen.
func (g *Gateway) strongerThan(m *members.Member) bool {
	return g.set.Strength > m.Strength || g.set.Strength == m.Strength && g.set.Name < m.Name
}

// candidates tells the lease which other instances are heard, and returns the
// place of this one among the candidates for it. The caller holds mu.
func (g *Gateway) candidates(now clock.Time) (rank int) {
	var names []string
	for _, m := range g.members.All(now) {
		if !m.Live(now) && !m.AwaitingFirstMessage(now) {
			continue
		}
		if m.Live(now) {
			names = append(names, machine(m.Name, m.Address))
		}
		if !g.strongerThan(m) {
			rank++
		}
	}
	g.lease.SetVoters(names)
	return rank
}
