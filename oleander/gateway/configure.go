package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/configsync"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// manifestWait is how long the store holds a call that waits for a new version,
	// and so the time after which a call that nobody answers is missed.
	manifestWait = 4 * time.Second
	// watcherPause is the time between two looks whether this instance has to
	// wait for changes at the store.
	watcherPause = 200 * time.Millisecond
	// watcherLearn is the time after the start in which an instance hears who else
	// is there; until then all of them would wait at the store.
	watcherLearn = 1500 * time.Millisecond
	// firstWithin is how long an instance waits to be told of the first version.
	firstWithin = 3 * time.Second
)

// followManifest keeps the newest manifest in force.
func (g *Gateway) followManifest() {
	at := int64(-1)
	for g.ctx.Err() == nil {
		watches := g.watchesStore()
		g.watching.Store(watches)
		if g.manifest.Load() != nil && !watches {
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
		g.storeAnswered()
		if raw != nil {
			g.adopt(raw, sourceStore)
		} else if g.manifest.Load() == nil {
			g.awaitFirst()
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
	g.sync.Answered(now)
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
	g.raw.Store(newPacked(raw))
	g.configHeard.Store(int64(boottime.Now()))
	g.sync.InForce(m.Version)
	if source == sourceStore {
		// The others of the zone wait to hear of it: by a word, or where all wait
		// at the store and no words are told, by a heartbeat.
		g.tellClaim = g.tellClaim || len(g.zonePeers(boottime.Now())) < configsync.SmallZone
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
	return g.stopping.Load() || g.sync.Watches(now, g.zonePeers(now))
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
			Name: m.Name, Reaches: seen != nil && !seen.storeDown,
			Stronger: !g.strongerThan(m),
		})
	}
	return peers
}

// wordMsg tells the zone that the sender waits at the store for changes of the
// configuration, and which version it has.
type wordMsg struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Zone    string
	Version uint64
}

// tellWord returns the word of a watcher to its zone, when it is due. The caller
// holds mu.
func (g *Gateway) tellWord(now clock.Time) []outgoing {
	m := g.manifest.Load()
	if m == nil || !g.watching.Load() || len(g.zonePeers(now)) < configsync.SmallZone {
		return nil
	}
	if !g.sync.WordDue(now, manifestWait+storeTimeout/2) {
		return nil
	}
	word := g.encode(packet{Word: &wordMsg{Name: g.set.Name, Zone: g.set.Zone, Version: m.Version}})
	return []outgoing{{message: word, to: g.ownZone(now)}}
}

// takeWord takes the word of a watcher. The caller holds mu.
func (g *Gateway) takeWord(now clock.Time, w *wordMsg) {
	if w.Name == g.set.Name {
		return
	}
	g.sync.Word(now, w.Name, w.Zone, w.Version)
	g.catchUp()
}

// catchUp fetches the newest manifest that was heard of, from another instance or
// the store. The caller holds mu.
func (g *Gateway) catchUp() {
	if !g.sync.Behind() || !g.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.fetching.Store(false)
		for g.catchUpStep() {
		}
	}()
}

// catchUpStep makes one step, and reports whether more are needed.
func (g *Gateway) catchUpStep() bool {
	g.mu.Lock()
	now := boottime.Now()
	behind, step := g.sync.Behind(), configsync.Step{}
	var from *members.Member
	if behind {
		step = g.sync.Next(now)
		from = g.members.Get(step.From)
	}
	g.mu.Unlock()
	switch {
	case !behind:
		return false
	case step.Kind == configsync.Wait:
		return g.sleep(max(time.Millisecond, step.Until.Sub(now)))
	case step.Kind == configsync.Store:
		g.readManifest()
	case from == nil:
		g.fetchFailed()
	default:
		g.fetchFrom(from)
	}
	return g.ctx.Err() == nil
}

// readManifest reads the manifest from the store, since no other instance gave it.
func (g *Gateway) readManifest() {
	began := boottime.Now()
	raw, _, err := g.nextManifest(-1)
	g.stored("manifest", began, err)
	if err == nil && raw != nil {
		g.adopt(raw, sourceStore)
	}
}

func (g *Gateway) fetchFrom(m *members.Member) {
	raw, err := g.fetch(m.Address)
	if err != nil {
		g.log.Warn().Err(err).Str("from", m.Name).Msg("config: not had from another instance")
		g.fetchFailed()
		return
	}
	g.adopt(raw, m.Name)
}

func (g *Gateway) fetchFailed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync.Failed()
}

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
