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
	watchWait = 4 * time.Second
	// changesPause is the time between two calls for changes of the backend
	// servers. Engines that swap models change all the time, and each change
	// would cost a call; a leaving server must be known within two seconds.
	changesPause = 400 * time.Millisecond
	// changesPauseMember is added for each instance, up to changesPauseMost, at
	// those that do not hold the lease: while no holder is heard all of them
	// follow the servers, and ninety made 225 calls a second.
	changesPauseMember = 8 * time.Millisecond
	changesPauseMost   = 1200 * time.Millisecond
	// serversPause is the time between two readings of all backend servers at
	// an instance that the holder of the lease tells of them; it is told of a
	// change within flushEvery, and again every repeatEvery if that was lost.
	serversPause = 40 * time.Second
	// toldPart of the time in which a leaving server must be known is how long an
	// instance waits for a holder, the next one if need be, to tell it of the
	// servers, before it reads the store itself.
	toldPart = 0.55
	// retryPause is the time before a call to the store is made again. Instances
	// that do not hold the lease add retryPauseMember for each of them, up to
	// retryPauseMost: eighty-three made 660 calls a second to a store that was
	// away.
	retryPause       = 250 * time.Millisecond
	retryPauseMember = 8 * time.Millisecond
	retryPauseMost   = time.Second
	// removedFor is how long a server that left is remembered, so that an
	// instance that was cut off from the store does not bring it back.
	removedFor = time.Minute
	// troubleFor is how long after a failed call the store counts as away.
	troubleFor = 3 * time.Second
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
func (g *Gateway) stored(what string, began clock.Time, err error) {
	g.metrics.storeCall(what, err == nil, boottime.Now().Sub(began))
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.eraIs(now, g.store.Era())
	if err == nil {
		g.lapse.RecordAnswer(now)
		if g.storeDown != 0 && now.Sub(g.storeDown) >= troubleFor {
			g.storeDown = 0
			g.log.Info().Str("call", what).Msg("store: reached again")
		}
		return
	}
	if g.ctx.Err() != nil || errors.Is(err, ports.ErrHistory) {
		return
	}
	if g.storeDown == 0 {
		g.log.Warn().Str("call", what).Err(err).Msg("store: lost")
	}
	g.storeDown = now
	g.lapse.RecordFailure(began)
}

// followServers keeps the entries of the backend servers.
func (g *Gateway) followServers() {
	at := unread
	for g.ctx.Err() == nil {
		var err error
		began, under := boottime.Now(), g.holderFencing()
		if at == unread {
			at, err = g.readServers()
		} else {
			at, err = g.watchServers(at)
		}
		if errors.Is(err, errWatchAgain) {
			at = unread
			continue
		}
		g.stored("servers", began, err)
		if err != nil {
			at = unread
			if !errors.Is(err, ports.ErrHistory) {
				g.sleep(g.pauseOfRetry())
			}
			continue
		}
		g.haveRead(under)
		if g.restWhileTold() {
			at = unread
		} else {
			g.sleep(g.pauseOfChanges())
		}
	}
}

// pauseOfRetry is the time before a call that failed is made again.
func (g *Gateway) pauseOfRetry() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lease.Holds(boottime.Now()) {
		return retryPause
	}
	return min(retryPauseMost, retryPause+time.Duration(g.members.Count()-1)*retryPauseMember)
}

func (g *Gateway) pauseOfChanges() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lease.Holds(boottime.Now()) {
		return changesPause
	}
	return min(changesPauseMost, changesPause+time.Duration(g.members.Count())*changesPauseMember)
}

// restWhileTold waits as long as the holder of the lease tells of the backend
// servers. It returns false at once if it does not.
func (g *Gateway) restWhileTold() bool {
	const step = 200 * time.Millisecond
	rested := time.Duration(0)
	for rested < serversPause && g.hearsHolder() && g.sleep(step) {
		rested += step
	}
	return rested > 0
}

// holderFencing returns the fencing number of the holder that is known.
func (g *Gateway) holderFencing() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.fencing
}

// haveRead records that the servers were read after a holder with a fencing
// number was known.
func (g *Gateway) haveRead(under int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readUnder, g.serversSeen = under, boottime.Now()
	if g.toldAt == 0 {
		g.toldAt = boottime.Now()
	}
}

// hearsHolder reports whether another instance follows the servers closely and
// tells of them, or did a moment ago.
func (g *Gateway) hearsHolder() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	switch {
	case g.lease.Holds(now):
		return false
	case g.holder.blind && now.Sub(g.holder.heard) <= leaseSilence:
		// Those that watch the store for their zone see servers leave, and tell the
		// holder, who tells all others. New servers these don't hear of.
		return !g.watching.Load() && g.servesAll(now)
	case g.isTold(now):
		g.toldAt = g.holder.heard
		return true
	}
	return now.Sub(g.toldAt) < time.Duration(toldPart*float64(g.set.LeavingWithin))
}

// servesAll reports whether a server of each group can be used. The caller holds mu.
func (g *Gateway) servesAll(now clock.Time) bool {
	m := g.manifest.Load()
	if m == nil {
		return false
	}
	for name := range m.Groups {
		usable := func(s *directory.Server) bool { return s.Usable(now) }
		if !slices.ContainsFunc(g.dir.All(name), usable) {
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
func (g *Gateway) isTold(now clock.Time) bool {
	since := g.readUnder == g.holder.fencing || g.toldUnder == g.holder.fencing
	return since && g.holder.fencing > 0 && now.Sub(g.holder.heard) <= leaseSilence && now.Sub(g.holder.told) < repeatEvery+leaseSilence
}

func (g *Gateway) readServers() (revision.Revision, error) {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	entries, at, err := g.store.Servers(ctx)
	if err != nil {
		return unread, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.eraIs(now, at.Era)
	g.lapse.RecordAnswer(now)
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		g.putServer(now, e)
	}
	g.serversAt = at
	for _, id := range g.dir.IDs() {
		if !present[id] {
			g.missing(now, id, at)
		}
	}
	g.wake()
	g.poke()
	return at, nil
}

func (g *Gateway) watchServers(at revision.Revision) (revision.Revision, error) {
	ctx, returns := g.watches.begin(g.ctx, "servers", watchWait+storeTimeout)
	changes, next, err := g.store.WatchServers(ctx, at, watchWait)
	if again := g.watches.end("servers", returns); again && err != nil {
		return unread, errWatchAgain
	}
	if err != nil {
		return unread, err
	}
	if next.Before(at) {
		return unread, errors.Wrap(ports.ErrUnavailable, "an answer from the past")
	}
	if len(changes) == 0 {
		return next, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.lapse.RecordAnswer(now)
	g.serversAt = next
	for _, c := range changes {
		if c.Removed {
			g.missing(now, c.Entry.ID, c.Entry.At)
		} else {
			g.putServer(now, c.Entry)
		}
	}
	g.wake()
	g.poke()
	return next, nil
}

// putServer takes an entry. The caller holds mu.
func (g *Gateway) putServer(now clock.Time, e directory.Entry) {
	if g.staleRow(now, e.ID, e.Born) {
		return
	}
	g.lapse.Forget(e.ID)
	delete(g.removed, e.ID)
	delete(g.publisher.gone, e.ID)
	old := g.dir.Get(e.ID)
	if old == nil || old.Born != e.Born || old.Draining != e.Draining {
		g.log.Info().Str("server", e.ID).Str("group", e.Group).Str("zone", e.Zone).
			Bool("leaving", e.Draining).Dur("remaining", e.Remaining).Msg("servers: entry")
	}
	g.dir.Put(now, e)
}

// missing takes the lack of an entry at a revision of the store. A server that said that it
// leaves is gone, however the store is. The caller holds mu.
func (g *Gateway) missing(now clock.Time, id string, at revision.Revision) {
	s := g.dir.Get(id)
	if s == nil {
		return
	}
	awaited := g.lapse.IsMissing(id)
	switch {
	case s.Draining || g.lapse.RecordMissing(now, id):
		g.drop(now, id, at)
	case !awaited:
		g.log.Warn().Str("server", id).Msg("servers: entry missing after an outage of the store, may be back")
	}
}

// drop takes a server for gone, up to a revision of the store. The caller holds mu.
func (g *Gateway) drop(now clock.Time, id string, last revision.Revision) {
	if s := g.dir.Get(id); s != nil {
		g.removed[id] = removedServer{born: s.Born, at: now, last: last}
	}
	g.lapse.Forget(id)
	delete(g.publisher.told, id)
	g.publisher.gone[id], g.publisher.left[id] = goneServer{at: now, last: last}, now
	g.dir.Remove(id)
	g.log.Info().Str("server", id).Msg("servers: gone")
}

// blind reports whether this instance does not see servers come and leave: a call
// failed, and none for the servers was answered since. The caller holds mu.
func (g *Gateway) blind(now clock.Time) bool {
	return g.storeAway(now) && g.serversSeen < g.storeDown
}

// missesStore reports whether a call of this instance to the store failed of late.
func (g *Gateway) missesStore() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeAway(boottime.Now())
}

// storeAway reports whether a call of this instance to the store failed of late.
// The caller holds mu.
func (g *Gateway) storeAway(now clock.Time) bool {
	return g.storeDown != 0 && now.Sub(g.storeDown) < leaseTerm
}

func (g *Gateway) dropLapsed(now clock.Time) {
	for id, r := range g.removed {
		if now.Sub(r.at) > removedFor {
			delete(g.removed, id)
		}
	}
	for _, id := range g.lapse.Overdue(now) {
		g.drop(now, id, g.serversAt)
	}
}
