package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/catalog"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

// serversRead is the progress of a complete read of the servers.
type serversRead struct {
	catalog.Read
	began   clock.Time
	fencing int64 // of the lease holder known when the read began
	// endsKnownFor is for how long the instance that gave the entries had known the IDs of all servers that ended.
	endsKnownFor time.Duration
}

// loadServers reads all entries at least at a revision, from another instance of the zone
// or from the store, until it has them or the gateway ends. It returns the revision of the
// first page, and whether another instance gave the entries.
func (g *Gateway) loadServers(least revision.Revision) (at revision.Revision, transferred bool) {
	l := catalog.NewLoader(boottime.Now(), g.settings.Name, g.settings.Zone)
	var stored serversRead
	for g.ctx.Err() == nil {
		switch step := g.nextLoadStep(l); step.Kind {
		case catalog.Wait:
			g.sleep(step.Until.Sub(boottime.Now()))
		case catalog.Ask:
			at, refused := g.fetchServers(step, least)
			if refused == nil {
				return at, true
			}
			g.metrics.serversTransfer("refused")
			l.HandleAnswer(boottime.Now(), step.From, refused.answer, refused.others)
		case catalog.ReadStore:
			at, err := g.readServers(&stored)
			if err == nil {
				return at, false
			}
			l.HandleStoreFailure(boottime.Now())
			g.sleep(g.storeRetryDelay())
		}
	}
	return unreadRevision, false
}

// nextLoadStep returns the next step to get all entries.
func (g *Gateway) nextLoadStep(l *catalog.Loader) catalog.Step {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	var peers []string
	for _, m := range g.members.All(now) {
		if m.Zone == g.settings.Zone && !m.Leaving {
			peers = append(peers, m.Name)
		}
	}
	return l.Next(now, peers, g.peersRead)
}

// readServers reads the pages of all entries from the store. After an error the next call
// continues with the page that failed. It returns the revision of the first page.
func (g *Gateway) readServers(r *serversRead) (revision.Revision, error) {
	for {
		if r.Pages() == 0 {
			r.began, r.fencing = boottime.Now(), g.holderFencing()
		}
		began := boottime.Now()
		p, err := g.readServersPage(r.Next())
		g.recordStoreCall("servers", began, err)
		if err != nil {
			return unreadRevision, err
		}
		switch g.handleServersPage(r, p, sourceStore) {
		case catalog.Restart:
			return unreadRevision, ports.ErrHistoryGone
		case catalog.Complete:
			g.recordServersRead(r.fencing)
			return r.At(), nil
		}
	}
}

func (g *Gateway) readServersPage(from string) (ports.ServersPage, error) {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	return g.store.ServersPage(ctx, from)
}

// handleServersPage puts the entries of a page into the directory. After the last page it
// handles the servers that no page contains.
func (g *Gateway) handleServersPage(r *serversRead, p ports.ServersPage, source string) catalog.PageResult {
	ids := make([]string, 0, len(p.Entries))
	for _, e := range p.Entries {
		ids = append(ids, e.ID)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.observeEra(now, p.At.Era)
	g.serversPartial = nil
	if p.At.Era < g.storeEra.current {
		r.Read = catalog.Read{} // the store was restored since
		return catalog.Restart
	}
	result := r.HandlePage(ids, p.At, p.Next)
	if result == catalog.Restart {
		return result
	}
	for _, e := range p.Entries {
		if s := g.servers.Get(e.ID); source != sourceStore && s != nil && e.Incarnation < s.Incarnation {
			continue
		}
		g.putIfNewer(now, e)
	}
	if result == catalog.Complete {
		g.finishServersRead(now, r, source)
	} else {
		g.serversPartial = r
	}
	g.wakeWaiting()
	g.triggerHousekeeping()
	return result
}

// finishServersRead handles the servers without an entry after a complete read. The caller
// holds mu.
func (g *Gateway) finishServersRead(now clock.Time, r *serversRead, source string) {
	g.serversRevision = r.At()
	for _, id := range g.servers.IDs() {
		// A server that is newer than the first page may not be in the pages.
		if s := g.servers.Get(id); !r.Present(id) && !r.At().Before(s.Revision) {
			g.handleMissingEntry(now, id, r.At())
		}
	}
	g.serversComplete, g.serversOffered = true, !g.serversDoubtful
	if g.atFirstStart(now) {
		r.endsKnownFor = firstStartKnown
	}
	g.servers.SetComplete(now, r.endsKnownFor)
	g.log.Info().Str("source", source).Int("servers", r.Count()).Int("pages", r.Pages()).Dur("duration", now.Sub(r.began)).
		Int64("era", r.At().Era).Int64("version", r.At().Version).Msg("servers: all entries read")
}

// putIfNewer stores an entry that was read, unless the server is known from a newer one or
// is gone since. The caller holds mu.
func (g *Gateway) putIfNewer(now clock.Time, e directory.Entry) {
	if s := g.servers.Get(e.ID); s != nil && e.Revision.Before(s.Revision) {
		return
	}
	if removed, gone := g.removedServers[e.ID]; gone && !removed.goneRevision.Before(e.Revision) {
		return
	}
	g.putServer(now, e)
}

func (g *Gateway) watchServerChanges(at revision.Revision, wait time.Duration) (revision.Revision, error) {
	began := boottime.Now()
	ctx, recoveries := g.storeWatches.begin(g.ctx, "servers", wait+storeTimeout)
	g.setWatchingServers(true)
	changes, next, err := g.store.WatchServers(ctx, at, wait)
	g.setWatchingServers(false)
	if restart := g.storeWatches.end("servers", recoveries); restart && err != nil && !errors.Is(err, ports.ErrHistoryGone) {
		return at, errWatchRestart
	}
	if err == nil && next.Before(at) {
		err = errors.Wrap(ports.ErrUnavailable, "outdated answer")
	}
	g.recordStoreCall("servers", began, err)
	if err != nil {
		return at, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.lapse.RecordAnswer(now)
	g.serversRevision = next
	if len(changes) == 0 {
		return next, nil
	}
	for _, c := range changes {
		s := g.servers.Get(c.Entry.ID)
		switch {
		case !c.Removed:
			g.putIfNewer(now, c.Entry)
		case s != nil && !c.Entry.Revision.Before(s.Revision):
			g.handleMissingEntry(now, c.Entry.ID, c.Entry.Revision)
		}
	}
	g.wakeWaiting()
	g.triggerHousekeeping()
	return next, nil
}

// firstOrderDelay is the time from the first start of all instances within which no engine that got an order
// can have started again.
const firstOrderDelay = 2 * time.Second

// firstStartKnown is longer than any order is on its way.
const firstStartKnown = time.Hour

// atFirstStart reports whether no instance can have given orders yet.
func (g *Gateway) atFirstStart(now clock.Time) bool {
	return g.settings.FirstStart && now.Sub(g.started) < firstOrderDelay
}

// putServer stores an entry in the directory. The caller holds mu.
func (g *Gateway) putServer(now clock.Time, e directory.Entry) {
	if g.isStaleEntry(now, e.ID, e.Incarnation) {
		return
	}
	g.lapse.Forget(e.ID)
	delete(g.removedServers, e.ID)
	delete(g.publisher.gone, e.ID)
	if g.atFirstStart(now) {
		e.Age = 0 // no engine has got an order
	}
	old := g.servers.Get(e.ID)
	g.recordStart(now, old, e)
	// Until all entries were read, the servers are new to this instance only: one line for
	// each of 3,000 servers at each start hides everything else.
	if old == nil && g.serversComplete || old != nil && (old.Incarnation != e.Incarnation || old.Draining != e.Draining) {
		g.log.Info().Str("server", e.ID).Str("group", e.Group).Str("zone", e.Zone).Str("software", e.Software).
			Bool("leaving", e.Draining).Dur("remaining", e.RemainingLifetime).Msg("servers: entry added or changed")
	}
	g.servers.Put(now, e)
}

// handleMissingEntry handles the lack of a server's entry at a store revision. A
// draining server is removed at once, even after an outage of the store. The caller
// holds mu.
func (g *Gateway) handleMissingEntry(now clock.Time, id string, at revision.Revision) {
	s := g.servers.Get(id)
	if s == nil {
		return
	}
	known := g.lapse.IsMissing(id)
	switch {
	case s.Draining || g.lapse.RecordMissing(now, id):
		g.removeServer(now, id, at)
	case !known:
		g.log.Warn().Str("server", id).Msg("servers: entry missing after a store outage, kept for now")
	}
}

// removeServer removes a server that is gone as of a store revision. The caller holds
// mu.
func (g *Gateway) removeServer(now clock.Time, id string, at revision.Revision) {
	if s := g.servers.Get(id); s != nil {
		g.recordLapse(now, s)
		g.removedServers[id] = removedServer{incarnation: s.Incarnation, removedAt: now, goneRevision: at}
	}
	g.lapse.Forget(id)
	delete(g.publisher.published, id)
	g.publisher.gone[id], g.publisher.departures[id] = goneServer{goneAt: now, revision: at}, now
	g.servers.Remove(now, id)
	g.log.Info().Str("server", id).Msg("servers: gone")
}

// serversStale reports whether this instance does not see servers come and go: a call
// to the store failed, and no call for the servers was answered since. The caller
// holds mu.
func (g *Gateway) serversStale(now clock.Time) bool {
	return g.storeUnreachable(now) && g.serversReadAt < g.storeFailedAt
}

// isStoreUnreachable is storeUnreachable for callers that do not hold mu.
func (g *Gateway) isStoreUnreachable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeUnreachable(boottime.Now())
}

// storeUnreachable reports whether a call of this instance to the store failed
// recently. The caller holds mu.
func (g *Gateway) storeUnreachable(now clock.Time) bool {
	return g.storeFailedAt != 0 && now.Sub(g.storeFailedAt) < leaseTerm
}

func (g *Gateway) setWatchingServers(watching bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watchingServers = watching
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
