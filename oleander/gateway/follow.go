package gateway

import (
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
	// storeTimeout bounds a call to the store, which normally takes 4 ms.
	storeTimeout = 1200 * time.Millisecond
	// serverWatchTimeout is how long the store holds a watch for changes of the
	// backend servers. A silent connection is noticed storeTimeout later.
	serverWatchTimeout = 4 * time.Second
	// baseWatchPause is the time between two watches for changes of the backend
	// servers. Engines that swap models change all the time, and without a pause each
	// change would cost a call; a draining server must be known within 2 s.
	baseWatchPause = 400 * time.Millisecond
	// Instances that do not hold the fleet lease add watchPausePerInstance for each
	// instance, up to maxWatchPause. While no holder is heard all of them watch the
	// servers.
	watchPausePerInstance = 8 * time.Millisecond
	maxWatchPause         = 1200 * time.Millisecond
	// serverReadInterval is the time between two readings of all backend servers
	// while the lease holder publishes them. Changes arrive within publishInterval,
	// or republishInterval if a message was lost.
	serverReadInterval = 40 * time.Second
	// holderWaitFraction is the part of MaxDrainDelay that an instance waits for a
	// lease holder, possibly the next one, to publish the servers before it reads the
	// store itself.
	holderWaitFraction = 0.55
	// baseStoreRetryDelay is the time before a failed call to the store is repeated.
	// Instances that do not hold the fleet lease add storeRetryDelayPerInstance for
	// each instance, up to maxStoreRetryDelay.
	baseStoreRetryDelay        = 250 * time.Millisecond
	storeRetryDelayPerInstance = 8 * time.Millisecond
	maxStoreRetryDelay         = time.Second
	// removedServerRetention is how long a removed server is remembered, so that an
	// instance that was cut off from the store does not bring it back.
	removedServerRetention = time.Minute
	// storeRecoveryPeriod is the time after the last failed call before the store is
	// logged as reachable again.
	storeRecoveryPeriod = 3 * time.Second
)

// sleep waits for d. It returns false if the gateway ends first.
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

// recordStoreCall records the outcome of a call to the store and the time at which it
// began.
func (g *Gateway) recordStoreCall(what string, began clock.Time, err error) {
	g.metrics.storeCall(what, err == nil, boottime.Now().Sub(began))
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.observeEra(now, g.store.Era())
	if err == nil {
		g.storeAnsweredAt = now
		g.lapse.RecordAnswer(now)
		if g.storeFailedAt != 0 && now.Sub(g.storeFailedAt) >= storeRecoveryPeriod {
			g.storeFailedAt = 0
			g.log.Info().Str("call", what).Msg("store: reached again")
		}
		return
	}
	if g.ctx.Err() != nil || errors.Is(err, ports.ErrHistoryGone) {
		return
	}
	if g.storeFailedAt == 0 {
		g.log.Warn().Str("call", what).Err(err).Msg("store: lost")
	}
	g.storeFailedAt = now
	g.lapse.RecordFailure(began)
}

// maxWatchFailures is how many watches for changes of the servers in a row may fail before
// all entries are read again. A complete read of a large fleet costs thousands of times a
// watch, so a brief outage must not cause one at every instance.
const maxWatchFailures = 3

// syncServers keeps the directory of the backend servers up to date: it reads all entries
// once and then continues with the changes since. Another complete read is needed only if
// the store no longer has these changes.
func (g *Gateway) syncServers() {
	at, failures := unreadRevision, 0
	catchUp := false            // ask only for changes that were already made
	var least revision.Revision // of a complete read
	for g.ctx.Err() == nil {
		switch {
		case at == unreadRevision:
			at, catchUp = g.loadServers(least)
			failures = 0
			if catchUp {
				continue // the other instance may have read long ago
			}
		default:
			fencing := g.holderFencing()
			next, err := g.watchServerChanges(at, watchWait(catchUp))
			if errors.Is(err, errWatchRestart) {
				continue
			}
			if err != nil {
				if failures++; failures >= maxWatchFailures || errors.Is(err, ports.ErrHistoryGone) {
					at, least = unreadRevision, revision.Revision{Era: at.Era, Version: at.Version + 1}
				} else {
					g.sleep(g.storeRetryDelay())
				}
				continue
			}
			at, failures = next, 0
			g.recordServersRead(fencing)
		}
		if g.takeServersDoubtful() {
			at, least = unreadRevision, at
			continue
		}
		if catchUp = g.waitWhilePublished(); !catchUp {
			g.sleep(g.watchPause())
		}
	}
}

// catchUpWait is how long the store may hold a watch for changes that were already made.
const catchUpWait = time.Millisecond

// watchWait returns how long the store may hold a watch. To catch up after a transfer, or
// under a new lease holder, it is not held: without a change, the answer would come late,
// and the instance would not rely on the holder before.
func watchWait(catchUp bool) time.Duration {
	if catchUp {
		return catchUpWait
	}
	return serverWatchTimeout
}

// takeServersDoubtful reports whether entries were dropped that the store may still have,
// so that the changes alone do not bring them back, and clears the flag.
func (g *Gateway) takeServersDoubtful() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	doubtful := g.serversDoubtful && g.serversComplete
	g.serversDoubtful = false
	return doubtful
}

// storeRetryDelay returns the time before a failed call to the store is repeated.
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

// waitWhilePublished waits while the lease holder publishes the backend servers. It
// returns false if it did not wait.
func (g *Gateway) waitWhilePublished() bool {
	const step = 200 * time.Millisecond
	waited := time.Duration(0)
	for waited < serverReadInterval && g.reliesOnHolder() && g.sleep(step) {
		waited += step
	}
	return waited > 0
}

// holderFencing returns the fencing number of the known holder of the fleet lease.
func (g *Gateway) holderFencing() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fleetHolder.fencing
}

// recordServersRead records a reading of the servers that began while the holder with
// a fencing number was known.
func (g *Gateway) recordServersRead(fencing int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serversReadFencing, g.serversReadAt = fencing, boottime.Now()
	if g.holderPublishedAt == 0 {
		g.holderPublishedAt = boottime.Now()
	}
}

// reliesOnHolder reports whether this instance relies on another one to watch the
// servers and publish them.
func (g *Gateway) reliesOnHolder() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	switch {
	case g.fleetLease.Holds(now):
		return false
	case g.fleetHolder.serversStale && now.Sub(g.fleetHolder.heardAt) <= holderTimeout:
		// Watchers of the configuration also watch the servers. They see departures
		// and report them to the holder, which publishes them. New servers remain
		// unknown meanwhile.
		return !g.watchingStore.Load() && g.allGroupsUsable(now)
	case g.holderPublishes(now):
		g.holderPublishedAt = g.fleetHolder.heardAt
		return true
	}
	return now.Sub(g.holderPublishedAt) < time.Duration(holderWaitFraction*float64(g.settings.MaxDrainDelay))
}

// allGroupsUsable reports whether each group has a usable server. The caller holds
// mu.
func (g *Gateway) allGroupsUsable(now clock.Time) bool {
	m := g.manifest.Load()
	if m == nil {
		return false
	}
	for name := range m.Groups {
		usable := func(s *directory.Server) bool { return s.Usable(now) }
		if !slices.ContainsFunc(g.servers.InGroup(name), usable) {
			return false
		}
	}
	return true
}

// holderPublishes reports whether the holder of the fleet lease is heard, and it
// listed the servers or this instance read them since it holds the lease. One of the
// two is required: the previous holder may not have published its last changes, and
// the new one never knew the servers that were already gone. Without this check
// requests went to a removed server for another 7 s. The caller holds mu.
func (g *Gateway) holderPublishes(now clock.Time) bool {
	complete := g.serversReadFencing == g.fleetHolder.fencing || g.serverListFencing == g.fleetHolder.fencing
	return complete && g.fleetHolder.fencing > 0 && now.Sub(g.fleetHolder.heardAt) <= holderTimeout && now.Sub(g.fleetHolder.publishedAt) < republishInterval+holderTimeout
}
