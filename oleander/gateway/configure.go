package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/spread"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// manifestWait is how long the store holds a call that waits for a new version.
	// Other instances tell of one, so a silent connection may be found out later.
	manifestWait = 25 * time.Second
	// watcherPause is the time between two looks whether this instance has to
	// wait for changes at the store.
	watcherPause = 200 * time.Millisecond
	// watcherLearn is the time after the start in which an instance hears who else
	// is there; until then all of them would wait at the store.
	watcherLearn = 1500 * time.Millisecond
)

// followManifest keeps the newest manifest in force.
func (g *Gateway) followManifest() {
	at := int64(-1)
	for g.ctx.Err() == nil {
		if g.manifest.Load() != nil && !g.watchesStore() {
			at = -1
			g.sleep(watcherPause)
			continue
		}
		began := boottime.Now()
		raw, next, err := g.nextManifest(at)
		if errors.Is(err, errWatchAgain) {
			at = -1
			continue
		}
		g.stored("manifest", began, err)
		switch {
		case errors.Is(err, ports.ErrHistory):
			at = -1
			continue
		case err != nil:
			at = -1
			g.sleep(g.pauseOfRetry())
			continue
		case next < at:
			at = -1 // an answer from the past
			continue
		}
		at = next
		g.configHeard.Store(int64(boottime.Now()))
		if raw != nil {
			g.adopt(raw, sourceStore)
		} else if g.manifest.Load() == nil {
			g.sleep(retryPause)
		}
	}
}

func (g *Gateway) nextManifest(at int64) ([]byte, int64, error) {
	if at < 0 {
		ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
		defer cancel()
		return g.store.Manifest(ctx)
	}
	ctx, returns := g.watches.begin(g.ctx, "manifest", manifestWait+storeTimeout)
	raw, next, err := g.store.WatchManifest(ctx, at, manifestWait)
	if again := g.watches.end("manifest", returns); again && err != nil {
		err = errWatchAgain
	}
	return raw, next, err
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
	g.manifest.Store(m)
	g.raw.Store(&raw)
	g.configHeard.Store(int64(boottime.Now()))
	if source == sourceStore {
		g.tellClaim = true // of the version: the others of the zone wait to hear of it
		g.poke()
	}
	g.quota.Configure(boottime.Now(), m.Accounts)
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
	self := &members.Member{Name: g.set.Name, Zone: g.set.Zone, Strength: g.set.Strength}
	return g.stopping.Load() || spread.Watches(now, self, g.members.All(now), func(name string) bool {
		seen := g.peerSeen[name]
		return seen != nil && !seen.storeDown
	})
}

// behind fetches the manifest from an instance that has a newer one. The caller
// holds mu.
func (g *Gateway) behind(from string) {
	m := g.members.Get(from)
	if m == nil || !g.fetching.CompareAndSwap(false, true) {
		return
	}
	address, delay := m.Address, fetchDelay
	if m.Zone == g.set.Zone {
		delay = fetchDelayNear
	}
	go func() {
		defer g.fetching.Store(false)
		if !g.sleep(delay) {
			return
		}
		raw, err := g.fetch(address)
		if err != nil {
			g.log.Warn().Err(err).Str("from", from).Msg("config: not had from another instance")
			return
		}
		g.adopt(raw, from)
	}()
}

const (
	// fetchDelay lets the store, or an instance of the own zone, bring a version
	// first; a configuration must be in force two seconds after it was accepted.
	fetchDelay = 300 * time.Millisecond
	// fetchDelayNear is the same for what an instance of the own zone has: the
	// store tells its watchers within some milliseconds of each other.
	fetchDelayNear = 30 * time.Millisecond
)

// peerClient is for calls between instances, which are rare.
var peerClient = sync.OnceValue(func() *http.Client {
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}}
})

func (g *Gateway) fetch(address string) ([]byte, error) {
	resp, err := peerClient().Get("http://" + address + pathManifest)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: fetch")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("gateway: fetch: status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	return slices.Clip(raw), errors.Wrap(err, "gateway: fetch")
}
