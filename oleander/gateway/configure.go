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
	// operatorWait is how long the store holds a call that waits for what the operator
	// writes, and so the time after which a call that nobody answers is missed.
	operatorWait = 4 * time.Second
	// watcherPause is the time between two looks whether this instance has to
	// wait for changes at the store.
	watcherPause = 200 * time.Millisecond
	// watcherLearn is the time after the start in which an instance hears who else
	// is there; until then all of them would wait at the store.
	watcherLearn = 1500 * time.Millisecond
	// firstWithin is how long an instance waits to be told of the first version.
	firstWithin = 3 * time.Second
)

// followOperator keeps in force what the operator has written: the newest manifest, and
// the evacuations of zones.
func (g *Gateway) followOperator() {
	at := unread
	for g.ctx.Err() == nil {
		watches := g.watchesStore()
		g.watching.Store(watches)
		if g.manifest.Load() != nil && !watches {
			at = unread
			g.sleep(watcherPause)
			continue
		}
		began := boottime.Now()
		late := g.missesStore()
		o, next, err := g.nextOfOperator(at)
		if errors.Is(err, errWatchAgain) {
			at = unread
			continue
		}
		g.stored("operator", began, err)
		switch {
		case errors.Is(err, ports.ErrHistory):
			at = unread
			continue
		case err != nil:
			at = unread
			g.sleep(g.pauseOfRetry())
			continue
		case next.Before(at):
			at = unread // an answer from the past
			continue
		}
		g.takeEvacuations(o.Evacuations, next, at == unread, late)
		at = next
		g.storeAnswered()
		if o.Manifest != nil {
			g.adopt(o.Manifest, sourceStore)
		} else if g.manifest.Load() == nil {
			g.awaitFirst()
		}
	}
}

// unread is the revision of a store that was not read yet.
var unread = revision.Revision{Version: -1}

// nextOfOperator reads what the operator has written, or waits for what is new since at.
func (g *Gateway) nextOfOperator(at revision.Revision) (ports.Operator, revision.Revision, error) {
	if at == unread {
		ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
		defer cancel()
		return g.store.Operator(ctx)
	}
	ctx, returns := g.watches.begin(g.ctx, "operator", operatorWait+storeTimeout)
	o, next, err := g.store.WatchOperator(ctx, at, operatorWait)
	if again := g.watches.end("operator", returns); again && err != nil {
		err = errWatchAgain
	}
	return o, next, err
}

// awaitFirst waits for the first version, which the operator has not written yet.
// Those that wait at the store for their zone tell the others.
func (g *Gateway) awaitFirst() {
	g.sleep(retryPause)
	for waited := retryPause; waited < firstWithin && g.manifest.Load() == nil && !g.watchesStore(); waited += watcherPause {
		g.sleep(watcherPause)
	}
}

// storeAnswered records that the manifest in force was the store's newest a
// moment ago.
func (g *Gateway) storeAnswered() {
	now := boottime.Now()
	g.configHeard.Store(int64(now))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync.RecordStoreResponse(now)
}

// sourceStore is the source of a manifest that did not come from an instance.
const sourceStore = "store"

// adopt puts a manifest in force if it is newer than the one that is.
func (g *Gateway) adopt(raw []byte, source string) {
	m, err := g.store.Decode(raw)
	if err != nil {
		g.log.Error().Err(err).Str("source", source).Msg("config: version not usable, the last one stays")
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// Two sources may bring versions in any order; an older one never returns.
	if old := g.manifest.Load(); old != nil && old.Version >= m.Version {
		return
	}
	g.logLimits(m)
	g.logHomes(m)
	g.manifest.Store(m)
	g.raw.Store(newPacked(raw))
	g.configHeard.Store(int64(boottime.Now()))
	g.sync.SetApplied(m.Version)
	if source == sourceStore {
		// The others of the zone wait to hear of it: by a word, or where all wait
		// at the store and no words are told, by a heartbeat.
		g.tellClaim = g.tellClaim || len(g.zonePeers(boottime.Now())) < configsync.SmallZoneSize
		g.poke()
	}
	g.quota.Configure(boottime.Now(), m.Accounts)
	g.dir.SetWarmupLimits(g.warmupLimits(m))
	g.wake()
	g.metrics.configVersion.Store(m.Version)
	g.log.Info().Uint64("version", m.Version).Str("source", source).Msg("config: version in force")
}

// logLimits tells the limits of accounts that a version changes.
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

// logHomes tells of homes that name no region there is: what they bind is refused.
func (g *Gateway) logHomes(m *manifest.Manifest) {
	for _, homes := range m.AllowedRegionSets() {
		used := homes == ""
		for _, region := range g.set.Regions {
			used = used || homes.Allows(region)
		}
		if !used {
			g.log.Warn().Uint64("version", m.Version).Strs("homes", homes.Names()).Msg("config: homes name no region in use")
		}
	}
}

// watchesStore reports whether this instance waits for changes of the
// configuration at the store. The others of its zone hear of a version by the
// heartbeat that follows it, and have it from whoever told.
func (g *Gateway) watchesStore() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if now.Sub(g.started) < watcherLearn && g.members.Count() > 1 {
		return false
	}
	return g.stopping.Load() || g.sync.ShouldWatch(now, g.zonePeers(now))
}

// zonePeers returns the other instances of the zone that are heard and not
// stopping. The caller holds mu.
func (g *Gateway) zonePeers(now clock.Time) []configsync.Peer {
	var peers []configsync.Peer
	for _, m := range g.members.All(now) {
		if m.Zone != g.set.Zone || !m.Live(now) || m.Leaving {
			continue
		}
		seen := g.peerSeen[m.Name]
		peers = append(peers, configsync.Peer{
			Name: m.Name, ReachesStore: seen != nil && !seen.storeDown,
			Preferred: !g.strongerThan(m),
		})
	}
	return peers
}
