package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/configsync"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// operatorWatchTimeout is how long the store holds a watch for changes by the
	// operator. A watch that went silent is noticed only after this time.
	operatorWatchTimeout = 4 * time.Second
	// watcherCheckInterval is how often an instance checks whether it has to watch
	// the store.
	watcherCheckInterval = 200 * time.Millisecond
	// peerDiscoveryPeriod is the time after the start in which an instance discovers
	// the others. Without it all instances would watch the store at first.
	peerDiscoveryPeriod = 1500 * time.Millisecond
	// firstManifestTimeout is how long an instance waits for other instances to
	// announce the first version.
	firstManifestTimeout = 3 * time.Second
)

// syncOperatorState applies what the operator writes: the newest manifest and the
// evacuations of zones.
func (g *Gateway) syncOperatorState() {
	at := unreadRevision
	for g.ctx.Err() == nil {
		watch := g.shouldWatchStore()
		g.watchingStore.Store(watch)
		if g.manifest.Load() != nil && !watch {
			at = unreadRevision
			g.sleep(watcherCheckInterval)
			continue
		}
		began := boottime.Now()
		late := g.isStoreUnreachable()
		state, next, err := g.readOrWatchOperator(at)
		if errors.Is(err, errWatchRestart) {
			at = unreadRevision
			continue
		}
		g.recordStoreCall("operator", began, err)
		switch {
		case errors.Is(err, ports.ErrHistoryGone):
			at = unreadRevision
			continue
		case err != nil:
			at = unreadRevision
			g.sleep(g.storeRetryDelay())
			continue
		case next.Before(at):
			at = unreadRevision // an outdated answer
			continue
		}
		g.recordEvacuations(state.Evacuations, next, at == unreadRevision, late)
		at = next
		g.confirmConfig()
		if state.Manifest != nil {
			if g.manifest.Load() == nil {
				g.readCrashRecords(firstCrashReadTimeout) // before the first request is accepted
			}
			g.applyManifest(state.Manifest, sourceStore)
		} else if g.manifest.Load() == nil {
			g.awaitFirstManifest()
		}
	}
}

// unreadRevision says that the store was not read yet.
var unreadRevision = revision.Revision{Version: -1}

// readOrWatchOperator reads the operator's state, or waits for changes after a
// revision.
func (g *Gateway) readOrWatchOperator(at revision.Revision) (ports.OperatorState, revision.Revision, error) {
	if at == unreadRevision {
		ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
		defer cancel()
		return g.store.OperatorState(ctx)
	}
	ctx, recoveries := g.storeWatches.begin(g.ctx, "operator", operatorWatchTimeout+storeTimeout)
	state, next, err := g.store.WatchOperatorState(ctx, at, operatorWatchTimeout)
	if restart := g.storeWatches.end("operator", recoveries); restart && err != nil {
		err = errWatchRestart
	}
	return state, next, err
}

// awaitFirstManifest waits while the operator has not written the first version. The
// watchers of the zone announce it.
func (g *Gateway) awaitFirstManifest() {
	g.sleep(baseStoreRetryDelay)
	for waited := baseStoreRetryDelay; waited < firstManifestTimeout && g.manifest.Load() == nil && !g.shouldWatchStore(); waited += watcherCheckInterval {
		g.sleep(watcherCheckInterval)
	}
}

// confirmConfig records that the store confirmed the current manifest as the newest.
func (g *Gateway) confirmConfig() {
	now := boottime.Now()
	g.configConfirmedAt.Store(int64(now))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.configSync.RecordStoreResponse(now)
}

// sourceStore is the source of a manifest that did not come from another instance.
const sourceStore = "store"

// applyManifest puts a manifest in force if it is newer than the current one.
func (g *Gateway) applyManifest(raw []byte, source string) {
	m, err := g.store.DecodeManifest(raw)
	if err != nil {
		g.log.Error().Err(err).Str("source", source).Msg("config: version not usable, the last one stays")
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// Versions may arrive out of order from two sources; an older one must not
	// return.
	if old := g.manifest.Load(); old != nil && old.Version >= m.Version {
		return
	}
	g.logLimits(m)
	g.checkBodyLimit(m)
	g.logUnusedRegions(m)
	g.manifest.Store(m)
	g.packedManifest.Store(newPackedManifest(raw))
	g.configConfirmedAt.Store(int64(boottime.Now()))
	g.configSync.SetApplied(m.Version)
	if source == sourceStore {
		// The other instances of the zone learn of the version from a watcher
		// message. A small zone, in which all watch the store, has none; there a
		// heartbeat announces it.
		g.heartbeatDue = g.heartbeatDue || len(g.zonePeers(boottime.Now())) < configsync.SmallZoneSize
		g.triggerHousekeeping()
	}
	g.limiter.Configure(boottime.Now(), m.Accounts)
	g.servers.SetWarmupLimits(g.warmupLimits(m))
	g.servers.SetCacheTokens(m.CacheTokens())
	g.setLoadScheduling(m)
	g.wakeWaiting()
	g.metrics.configVersion.Store(m.Version)
	g.log.Info().Uint64("version", m.Version).Str("source", source).Msg("config: version in force")
}

// setLoadScheduling turns load scheduling on or off as a version calls for it. The caller
// holds mu.
func (g *Gateway) setLoadScheduling(m *manifest.Manifest) {
	on := g.settings.LoadScheduling.Resolve(m.SchedulesLoad())
	if on != g.loadScheduling {
		g.log.Info().Uint64("version", m.Version).Bool("on", on).Msg("config: load scheduling")
	}
	g.loadScheduling = on
	g.placer.SetLoadScheduling(on)
	g.servers.SetLoadScheduling(on)
}

// logLimits logs the account limits that a version changes.
func (g *Gateway) logLimits(m *manifest.Manifest) {
	var before map[string]*manifest.Account
	if old := g.manifest.Load(); old != nil {
		before = old.Accounts
	}
	for _, name := range sortedNames(m.Accounts) {
		a, b := m.Accounts[name], before[name]
		if b == nil || a.Rate != b.Rate || a.Burst != b.Burst {
			g.log.Info().Uint64("version", m.Version).Str("account", name).Float64("rate", a.Rate).Float64("burst", a.Burst).Msg("config: limit of an account")
		}
	}
}

// bodyLimit returns the size of the largest body that a version allows.
func bodyLimit(m *manifest.Manifest) int64 {
	if m.Limits.BodyBytes > 0 {
		return m.Limits.BodyBytes
	}
	return maxBodyBytes
}

// checkBodyLimit warns about bodies that a version allows and this instance can't hold: their requests are refused.
func (g *Gateway) checkBodyLimit(m *manifest.Manifest) {
	if g.memory == nil || bodyLimit(m) <= g.memory.MaxBody() {
		return
	}
	g.log.Warn().Uint64("version", m.Version).Int64("max_body_bytes", bodyLimit(m)).Int64("largest_that_fits", g.memory.MaxBody()).
		Msg("memory: bodies inside the limits do not fit")
}

// logUnusedRegions warns about region lists without any region in use: requests bound
// to them are refused.
func (g *Gateway) logUnusedRegions(m *manifest.Manifest) {
	for _, allowed := range m.AllowedRegionSets() {
		used := allowed == ""
		for _, region := range g.settings.Regions {
			used = used || allowed.Allows(region)
		}
		if !used {
			g.log.Warn().Uint64("version", m.Version).Strs("homes", allowed.Names()).Msg("config: allowed regions contain no region in use")
		}
	}
}

// shouldWatchStore reports whether this instance watches the store for configuration
// changes. The other instances of its zone learn of a version from the next message
// of a watcher and fetch it there.
func (g *Gateway) shouldWatchStore() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if now.Sub(g.started) < peerDiscoveryPeriod && g.members.Count() > 1 {
		return false
	}
	return g.stopping.Load() || g.configSync.ShouldWatch(now, g.zonePeers(now))
}

// zonePeers returns the other instances of the zone that are heard and not stopping.
// The caller holds mu.
func (g *Gateway) zonePeers(now clock.Time) []configsync.Peer {
	var peers []configsync.Peer
	for _, m := range g.members.All(now) {
		if m.Zone != g.settings.Zone || !m.Live(now) || m.Leaving {
			continue
		}
		peer := g.peerStates[m.Name]
		peers = append(peers, configsync.Peer{
			Name: m.Name, ReachesStore: peer != nil && !peer.storeUnreachable,
			Preferred: !g.ranksBefore(m),
		})
	}
	return peers
}
