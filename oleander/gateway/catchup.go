package gateway

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/configsync"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/oleander/process/boottime"
)

// watcherMsg tells the sender's zone that the sender watches the store for
// configuration changes, and its current version.
type watcherMsg struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Zone        string
	Version     uint64
	Evacuations []evacuationMsg
}

// watcherMessages returns a watcher's message to its zone if one is due. The caller
// holds mu.
func (g *Gateway) watcherMessages(now clock.Time) []outgoing {
	m := g.manifest.Load()
	if m == nil || !g.watchingStore.Load() || len(g.zonePeers(now)) < configsync.SmallZoneSize {
		return nil
	}
	if !g.configSync.AnnouncementDue(now, operatorWatchTimeout+storeTimeout/2) {
		return nil
	}
	notice := g.encode(packet{Watcher: &watcherMsg{
		Name: g.settings.Name, Zone: g.settings.Zone, Version: m.Version, Evacuations: g.evacuationMessages(now),
	}})
	return []outgoing{{message: notice, recipients: g.zoneRecipients(now)}}
}

// handleWatcher handles a watcher's message. The caller holds mu.
func (g *Gateway) handleWatcher(now clock.Time, w *watcherMsg) {
	if w.Name == g.settings.Name {
		return
	}
	g.handleEvacuations(now, w.Evacuations)
	g.configSync.HandleAnnouncement(now, w.Name, w.Zone, w.Version)
	g.fetchNewestManifest()
}

// fetchNewestManifest fetches the newest known manifest from another instance or the
// store, in the background. The caller holds mu.
func (g *Gateway) fetchNewestManifest() {
	if !g.configSync.Behind() || !g.fetchingManifest.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.fetchingManifest.Store(false)
		for g.fetchStep() {
		}
	}()
}

// fetchStep makes one step and reports whether more are needed.
func (g *Gateway) fetchStep() bool {
	g.mu.Lock()
	now := boottime.Now()
	behind, step := g.configSync.Behind(), configsync.Step{}
	var from *members.Member
	if behind {
		step = g.configSync.Next(now)
		from = g.members.Get(step.From)
	}
	g.mu.Unlock()
	switch {
	case !behind:
		return false
	case step.Kind == configsync.Wait:
		return g.sleep(max(time.Millisecond, step.Until.Sub(now)))
	case step.Kind == configsync.ReadStore:
		g.readManifest()
	case from == nil:
		g.fetchFailed()
	default:
		g.fetchManifestFrom(from)
	}
	return g.ctx.Err() == nil
}

// readManifest reads the manifest from the store, after no other instance provided
// it.
func (g *Gateway) readManifest() {
	began := boottime.Now()
	state, at, err := g.readOrWatchOperator(unreadRevision)
	g.recordStoreCall("operator", began, err)
	if err != nil {
		return
	}
	g.recordEvacuations(state.Evacuations, at, true, true)
	if state.Manifest != nil {
		g.applyManifest(state.Manifest, sourceStore)
	}
}

func (g *Gateway) fetchManifestFrom(m *members.Member) {
	raw, err := g.fetchManifest(m.Address)
	if err != nil {
		g.log.Warn().Err(err).Str("from", m.Name).Msg("config: fetching from another instance failed")
		g.fetchFailed()
		return
	}
	g.applyManifest(raw, m.Name)
}

func (g *Gateway) fetchFailed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.configSync.FetchFailed()
}

// peerHTTPClient makes the rare HTTP calls between instances.
var peerHTTPClient = sync.OnceValue(func() *http.Client {
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}}
})

func (g *Gateway) fetchManifest(address string) ([]byte, error) {
	resp, err := peerHTTPClient().Get("http://" + address + pathManifest)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: fetch manifest")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("gateway: fetch manifest: status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	return slices.Clip(raw), errors.Wrap(err, "gateway: fetch manifest")
}
