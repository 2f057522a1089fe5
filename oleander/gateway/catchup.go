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

// wordMsg tells the zone that the sender waits at the store for changes of the
// configuration, and which version it has.
type wordMsg struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Zone    string
	Version uint64
	Zones   []zoneMsg // evacuations
}

// tellWord returns the word of a watcher to its zone, when it is due. The caller
// holds mu.
func (g *Gateway) tellWord(now clock.Time) []outgoing {
	m := g.manifest.Load()
	if m == nil || !g.watching.Load() || len(g.zonePeers(now)) < configsync.SmallZoneSize {
		return nil
	}
	if !g.sync.AnnouncementDue(now, operatorWait+storeTimeout/2) {
		return nil
	}
	word := g.encode(packet{Word: &wordMsg{
		Name: g.set.Name, Zone: g.set.Zone, Version: m.Version, Zones: g.zonesOf(now),
	}})
	return []outgoing{{message: word, to: g.ownZone(now)}}
}

// takeWord takes the word of a watcher. The caller holds mu.
func (g *Gateway) takeWord(now clock.Time, w *wordMsg) {
	if w.Name == g.set.Name {
		return
	}
	g.takeZones(now, w.Zones)
	g.sync.HandleAnnouncement(now, w.Name, w.Zone, w.Version)
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
	case step.Kind == configsync.ReadStore:
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
	o, at, err := g.nextOfOperator(unread)
	g.stored("operator", began, err)
	if err != nil {
		return
	}
	g.takeEvacuations(o.Evacuations, at, true, true)
	if o.Manifest != nil {
		g.adopt(o.Manifest, sourceStore)
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
	g.sync.FetchFailed()
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
