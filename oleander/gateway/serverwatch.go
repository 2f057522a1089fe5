package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// storeTimeout bounds a call to the store, which takes 4 ms as a rule.
	storeTimeout = 1200 * time.Millisecond
	// watchWait is how long the store holds a call that waits for changes of the
	// backend servers. A connection that went silent is found out a second later.
	serverWatchTimeout = 4 * time.Second
	// changesPause is the time between two calls for changes of the backend
	// servers. Engines that swap models change all the time, and each change
	// would cost a call; a leaving server must be known within two seconds.
	baseWatchPause = 400 * time.Millisecond
	// changesPauseMember is added for each instance, up to changesPauseMost, at
	// those that do not hold the lease: while no holder is heard all of them
	// follow the servers, and ninety made 225 calls a second.
	watchPausePerInstance = 8 * time.Millisecond
	maxWatchPause         = 1200 * time.Millisecond
	// serversPause is the time between two readings of all backend servers at
	// an instance that the holder of the lease tells of them; it is told of a
	// change within flushEvery, and again every repeatEvery if that was lost.
	serverReadInterval = 40 * time.Second
	// toldPart of the time in which a leaving server must be known is how long an
	// instance waits for a holder, the next one if need be, to tell it of the
	// servers, before it reads the store itself.
	holderWaitFraction = 0.55
	// retryPause is the time before a call to the store is made again. Instances
	// that do not hold the lease add retryPauseMember for each of them, up to
	// retryPauseMost: eighty-three made 660 calls a second to a store that was
	// away.
	baseStoreRetryDelay        = 250 * time.Millisecond
	storeRetryDelayPerInstance = 8 * time.Millisecond
	maxStoreRetryDelay         = time.Second
	// removedFor is how long a server that left is remembered, so that an
	// instance that was cut off from the store does not bring it back.
	removedServerRetention = time.Minute
	// troubleFor is how long after a failed call the store counts as away.
	storeRecoveryPeriod = 3 * time.Second
)

// sleep waits, or returns false when the gateway ends.
func (g *Gateway) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-g.ctx.Done():
		return false
	}
}

// stored records a call to the store that began at a moment.
func (g *Gateway) recordStoreCall(what string, began clock.Time, err error) {
	g.metrics.storeCall(what, err == nil, boottime.Now().Sub(began))
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.observeEra(now, g.store.Era())
	if err == nil {
		g.lapse.Answered(now)
		if g.storeFailedAt != 0 && now.Sub(g.storeFailedAt) >= storeRecoveryPeriod {
			g.storeFailedAt = 0
			g.log.Info().Str("call", what).Msg("store: reached again")
		}
		return
	}
	if g.ctx.Err() != nil || errors.Is(err, ports.ErrHistory) {
		return
	}
	if g.storeFailedAt == 0 {
		g.log.Warn().Str("call", what).Err(err).Msg("store: lost")
	}
	g.storeFailedAt = now
	g.lapse.Failed(began)
}

// followServers keeps the entries of the backend servers.
func (g *Gateway) syncServers() {
	at := unreadRevision
	for g.ctx.Err() == nil {
		var err error
		began, under := boottime.Now(), g.holderFencing()
		if at == unreadRevision {
			at, err = g.readServers()
		} else {
			at, err = g.watchServerChanges(at)
		}
		if errors.Is(err, errWatchRestart) {
			at = unreadRevision
			continue
		}
		g.recordStoreCall("servers", began, err)
		if err != nil {
			at = unreadRevision
			if !errors.Is(err, ports.ErrHistory) {
				g.sleep(g.storeRetryDelay())
			}
			continue
		}
		g.recordServersRead(under)
		if g.waitWhilePublished() {
			at = unreadRevision
		} else {
			g.sleep(g.watchPause())
		}
	}
}

// pauseOfRetry is the time before a call that failed is made again.
func (g *Gateway) storeRetryDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fleetLease.Holds(boottime.Now()) {
		return baseStoreRetryDelay
	}
	return min(maxStoreRetryDelay, baseStoreRetryDelay+time.Duration(g.members.Count()-1)*storeRetryDelayPerInstance)
}

func (g *Gateway) watchPause() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fleetLease.Holds(boottime.Now()) {
		return baseWatchPause
	}
	return min(maxWatchPause, baseWatchPause+time.Duration(g.members.Count())*watchPausePerInstance)
}

// restWhileTold waits as long as the holder of the lease tells of the backend
// servers. It returns false at once if it does not.
func (g *Gateway) waitWhilePublished() bool {
	const step = 200 * time.Millisecond
	rested := time.Duration(0)
	for rested < serverReadInterval && g.reliesOnHolder() && g.sleep(step) {
		rested += step
	}
	return rested > 0
}

// holderFencing returns the fencing number of the holder that is known.
func (g *Gateway) holderFencing() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleetHolder.fencing
}

// haveRead records that the servers were read after a holder with a fencing
// number was known.
func (g *Gateway) recordServersRead(under int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serversReadFencing, g.serversReadAt = under, boottime.Now()
	if g.holderPublishedAt == 0 {
		g.holderPublishedAt = boottime.Now()
	}
}

// hearsHolder reports whether another instance follows the servers closely and
// tells of them, or did a moment ago.
func (g *Gateway) reliesOnHolder() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	switch {
	case g.fleetLease.Holds(now):
		return false
	case g.fleetHolder.serversStale && now.Sub(g.fleetHolder.heardAt) <= holderTimeout:
		// Those that watch the store for their zone see servers leave, and tell the
		// holder, who tells all others. New servers these don't hear of.
		return !g.watchingStore.Load() && g.allGroupsUsable(now)
	case g.holderPublishes(now):
		g.holderPublishedAt = g.fleetHolder.heardAt
		return true
	}
	return now.Sub(g.holderPublishedAt) < time.Duration(holderWaitFraction*float64(g.settings.MaxDrainDelay))
}

// servesAll reports whether a server of each group can be used. The caller holds mu.
func (g *Gateway) allGroupsUsable(now clock.Time) bool {
	m := g.manifest.Load()
	if m == nil {
		return false
	}
	for name := range m.Groups {
		usable := func(s *directory.Server) bool { return s.Usable(now) }
		if !slices.ContainsFunc(g.servers.All(name), usable) {
			return false
		}
	}
	return true
}

// isTold reports whether the holder of the lease is heard and told which servers
// there are, or they were read since it holds the lease. What the holder before saw
// last it may not have told, and this one never knew a server that was gone when it
// began: without either, requests went to such a server for another seven seconds.
// The caller holds mu.
func (g *Gateway) holderPublishes(now clock.Time) bool {
	since := g.serversReadFencing == g.fleetHolder.fencing || g.serverListFencing == g.fleetHolder.fencing
	return since && g.fleetHolder.fencing > 0 && now.Sub(g.fleetHolder.heardAt) <= holderTimeout && now.Sub(g.fleetHolder.publishedAt) < republishInterval+holderTimeout
}

func (g *Gateway) readServers() (revision.Revision, error) {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	entries, at, err := g.store.Servers(ctx)
	if err != nil {
		return unreadRevision, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.observeEra(now, at.Era)
	g.lapse.Answered(now)
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		g.putServer(now, e)
	}
	g.serversRevision = at
	for _, id := range g.servers.IDs() {
		if !present[id] {
			g.handleMissingEntry(now, id, at)
		}
	}
	g.wakeWaiting()
	g.triggerHousekeeping()
	return at, nil
}

func (g *Gateway) watchServerChanges(at revision.Revision) (revision.Revision, error) {
	ctx, returns := g.storeWatches.begin(g.ctx, "servers", serverWatchTimeout+storeTimeout)
	changes, next, err := g.store.WatchServers(ctx, at, serverWatchTimeout)
	if again := g.storeWatches.end("servers", returns); again && err != nil {
		return unreadRevision, errWatchRestart
	}
	if err != nil {
		return unreadRevision, err
	}
	if next.Before(at) {
		return unreadRevision, errors.Wrap(ports.ErrUnavailable, "an answer from the past")
	}
	if len(changes) == 0 {
		return next, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.lapse.Answered(now)
	g.serversRevision = next
	for _, c := range changes {
		if c.Removed {
			g.handleMissingEntry(now, c.Entry.ID, c.Entry.At)
		} else {
			g.putServer(now, c.Entry)
		}
	}
	g.wakeWaiting()
	g.triggerHousekeeping()
	return next, nil
}

// putServer takes an entry. The caller holds mu.
func (g *Gateway) putServer(now clock.Time, e directory.Entry) {
	if g.isStaleEntry(now, e.ID, e.Born) {
		return
	}
	g.lapse.Forget(e.ID)
	delete(g.removedServers, e.ID)
	delete(g.publisher.gone, e.ID)
	old := g.servers.Get(e.ID)
	if old == nil || old.Born != e.Born || old.Draining != e.Draining {
		g.log.Info().Str("server", e.ID).Str("group", e.Group).Str("zone", e.Zone).
			Bool("leaving", e.Draining).Dur("remaining", e.Remaining).Msg("servers: entry")
	}
	g.servers.Put(now, e)
}

// missing takes the lack of an entry at a revision of the store. A server that said that it
// leaves is gone, however the store is. The caller holds mu.
func (g *Gateway) handleMissingEntry(now clock.Time, id string, at revision.Revision) {
	s := g.servers.Get(id)
	if s == nil {
		return
	}
	awaited := g.lapse.Awaits(id)
	switch {
	case s.Draining || g.lapse.Missing(now, id):
		g.removeServer(now, id, at)
	case !awaited:
		g.log.Warn().Str("server", id).Msg("servers: entry missing after an outage of the store, may be back")
	}
}

// drop takes a server for gone, up to a revision of the store. The caller holds mu.
func (g *Gateway) removeServer(now clock.Time, id string, last revision.Revision) {
	if s := g.servers.Get(id); s != nil {
		g.removedServers[id] = removedServer{born: s.Born, removedAt: now, goneRevision: last}
	}
	g.lapse.Forget(id)
	delete(g.publisher.published, id)
	g.publisher.gone[id], g.publisher.departures[id] = goneServer{goneAt: now, revision: last}, now
	g.servers.Remove(id)
	g.log.Info().Str("server", id).Msg("servers: gone")
}

// blind reports whether this instance does not see servers come and leave: a call
// failed, and none for the servers was answered since. The caller holds mu.
func (g *Gateway) serversStale(now clock.Time) bool {
	return g.storeUnreachable(now) && g.serversReadAt < g.storeFailedAt
}

// missesStore reports whether a call of this instance to the store failed of late.
func (g *Gateway) isStoreUnreachable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeUnreachable(boottime.Now())
}

// storeAway reports whether a call of this instance to the store failed of late.
// The caller holds mu.
func (g *Gateway) storeUnreachable(now clock.Time) bool {
	return g.storeFailedAt != 0 && now.Sub(g.storeFailedAt) < leaseTerm
}

func (g *Gateway) removeLapsed(now clock.Time) {
	for id, r := range g.removedServers {
		if now.Sub(r.removedAt) > removedServerRetention {
			delete(g.removedServers, id)
		}
	}
	for _, id := range g.lapse.Overdue(now) {
		g.removeServer(now, id, g.serversRevision)
	}
}
