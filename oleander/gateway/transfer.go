package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/catalog"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// serversPerPage is the number of servers in a page of a transfer, as in a page of the
	// store.
	serversPerPage = 500
	// transferTimeout bounds one page of a transfer, besides the time for which the other
	// instance may hold the request.
	transferTimeout = storeTimeout
	// maxTransferBytes bounds an encoded page; 500 servers with fifty models each have 1 MB.
	maxTransferBytes = 8 << 20
	// snapshotAge is how long a snapshot for other instances is used. Instances that start
	// together share it; encoding a page takes 3 ms.
	snapshotAge = time.Second
	// offerCheckInterval is the time between two checks of a held request.
	offerCheckInterval = 20 * time.Millisecond
)

// Parameters of a request for a page.
const (
	paramInstance = "instance" // that asks
	paramFrom     = "from"     // ID of the first server
	paramHold     = "hold_ms"
	paramEra      = "era" // of the least revision
	paramVersion  = "version"
)

// serversPageMsg is a page of all servers, sent to an instance of the same zone, or the
// names of others that have them.
type serversPageMsg struct {
	Era     int64            `cbor:"1,keyasint,omitempty"`
	Version int64            `cbor:"2,keyasint,omitempty"` // the servers are complete as of this revision
	Next    string           `cbor:"3,keyasint,omitempty"`
	Servers []serverEntryMsg `cbor:"4,keyasint,omitempty"`
	Gone    []serverGoneMsg  `cbor:"5,keyasint,omitempty"` // in the first page: removed recently
	Others  []string         `cbor:"6,keyasint,omitempty"`
	// EndsKnownMS is for how long the sender has known the IDs of all servers that ended.
	EndsKnownMS int64 `cbor:"7,keyasint,omitempty"`
}

// serverEntryMsg is the entry of a server. Zero values are left out.
type serverEntryMsg struct {
	ID          string           `cbor:"1,keyasint"`
	Incarnation int64            `cbor:"2,keyasint,omitempty"`
	Address     string           `cbor:"3,keyasint,omitempty"`
	Zone        string           `cbor:"4,keyasint,omitempty"`
	Group       string           `cbor:"5,keyasint,omitempty"`
	Era         int64            `cbor:"6,keyasint,omitempty"`
	Version     int64            `cbor:"7,keyasint,omitempty"`
	Slots       int              `cbor:"8,keyasint,omitempty"`
	Leaving     bool             `cbor:"9,keyasint,omitempty"`
	ColdMS      int64            `cbor:"10,keyasint,omitempty"`
	Models      []loadedModelMsg `cbor:"11,keyasint,omitempty"`
	InMemory    []string         `cbor:"12,keyasint,omitempty"`
	OnDisk      []string         `cbor:"13,keyasint,omitempty"`
	Software    *string          `cbor:"14,keyasint,omitempty"` // nil: from an earlier version
	// RestartedMS is how long ago the server may have started again under its ID; 0: not lately, or unknown.
	RestartedMS int64 `cbor:"15,keyasint,omitempty"`
}

type loadedModelMsg struct {
	Model    string   `cbor:"1,keyasint"`
	Version  int      `cbor:"2,keyasint,omitempty"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
}

// serverGoneMsg reports that a server is gone as of a revision.
type serverGoneMsg struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint,omitempty"`
	Era         int64  `cbor:"3,keyasint,omitempty"`
	Version     int64  `cbor:"4,keyasint,omitempty"`
}

func encodeServerEntry(now clock.Time, s *directory.Server) serverEntryMsg {
	m := serverEntryMsg{
		ID: s.ID, Incarnation: s.Incarnation, Address: s.Address, Zone: s.Zone, Group: s.Group, Era: s.Revision.Era, Version: s.Revision.Version,
		Slots: s.Slots, Leaving: s.Draining, ColdMS: s.ColdRemaining(now).Milliseconds(), InMemory: s.InMemory, OnDisk: s.OnDisk, Software: &s.Software,
	}
	if at := s.RestartedAt(); at != 0 {
		m.RestartedMS = max(1, now.Sub(at).Milliseconds())
	}
	for _, l := range s.LoadedModels {
		m.Models = append(m.Models, loadedModelMsg{Model: l.Model, Version: l.Version, Adapters: l.Adapters})
	}
	return m
}

func (m *serverEntryMsg) decode() directory.Entry {
	e := directory.Entry{
		ID: m.ID, Incarnation: m.Incarnation, Address: m.Address, Zone: m.Zone, Group: m.Group, Revision: revision.Revision{Era: m.Era, Version: m.Version},
		Slots: m.Slots, Draining: m.Leaving, ColdFor: time.Duration(m.ColdMS) * time.Millisecond, Age: time.Duration(m.RestartedMS) * time.Millisecond, InMemory: m.InMemory, OnDisk: m.OnDisk,
	}
	if e.Software = directory.UnknownSoftware(m.ID, m.Incarnation); m.Software != nil {
		e.Software = *m.Software
	}
	for _, l := range m.Models {
		e.LoadedModels = append(e.LoadedModels, directory.LoadedModel{Model: l.Model, Version: l.Version, Adapters: l.Adapters})
	}
	return e
}

// serversSnapshot is the servers at one moment, for instances that ask for them.
type serversSnapshot struct {
	madeAt  clock.Time
	at      revision.Revision
	end     string           // the entries from this ID on are not known yet; "": all are known
	entries []serverEntryMsg // sorted by ID
	gone    []serverGoneMsg
	// endsKnownFor is for how long the IDs of all servers that ended were known.
	endsKnownFor time.Duration

	mu    sync.Mutex
	pages map[string]encodedPage // by the ID at which they begin
}

type encodedPage struct {
	body []byte // compressed
	last bool
	err  error
}

// offeredServers returns the revision, not older than least, as of which the servers with
// IDs before end are complete; end is "" if all are. An entry that is missing after an outage of the store is
// neither there nor gone, so nothing is offered then. The caller holds mu.
func (g *Gateway) offeredServers(least revision.Revision) (at revision.Revision, end string, ok bool) {
	switch p := g.serversPartial; {
	case g.lapse.AnyMissing():
	case g.serversOffered && !g.serversRevision.Before(least):
		return g.serversRevision, "", true
	case p != nil && !p.At().Before(least):
		return p.At(), p.Next(), true
	}
	return revision.Revision{}, "", false
}

// currentSnapshot returns a snapshot of the servers that contains the page that begins at
// an ID, as of a revision that is not older than least; nil if there is none yet.
func (g *Gateway) currentSnapshot(least revision.Revision, from string) *serversSnapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	at, end, ok := g.offeredServers(least)
	if !ok || end != "" && from >= end {
		return nil
	}
	if s := g.serversSnapshot; s != nil && now.Sub(s.madeAt) < snapshotAge && !s.at.Before(least) && s.at.Era == at.Era && s.end == end {
		return s
	}
	s := &serversSnapshot{madeAt: now, at: at, end: end, endsKnownFor: g.servers.EndsKnownFor(now), pages: make(map[string]encodedPage)}
	for _, id := range g.servers.IDs() {
		if v := g.servers.Get(id); end == "" || id < end && g.serversPartial.Includes(id, v.Revision) {
			s.entries = append(s.entries, encodeServerEntry(now, v))
		}
	}
	for _, id := range sortedNames(g.removedServers) {
		r := g.removedServers[id]
		s.gone = append(s.gone, serverGoneMsg{ID: id, Incarnation: r.incarnation, Era: r.goneRevision.Era, Version: r.goneRevision.Version})
	}
	g.serversSnapshot = s
	return s
}

// page returns the page that begins at an ID, encoded once for all instances that ask.
func (s *serversSnapshot) page(from string) encodedPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pages[from]
	if !ok {
		p = s.encode(from)
		s.pages[from] = p
	}
	return p
}

func (s *serversSnapshot) encode(from string) encodedPage {
	begin, _ := slices.BinarySearchFunc(s.entries, from, func(e serverEntryMsg, id string) int {
		switch {
		case e.ID < id:
			return -1
		case e.ID > id:
			return 1
		}
		return 0
	})
	end := min(begin+serversPerPage, len(s.entries))
	m := serversPageMsg{Era: s.at.Era, Version: s.at.Version, Servers: s.entries[begin:end], Next: s.end, EndsKnownMS: s.endsKnownFor.Milliseconds()}
	if end < len(s.entries) {
		m.Next = s.entries[end].ID
	}
	if from == "" {
		m.Gone = s.gone
	}
	raw, err := cbor.Marshal(m)
	return encodedPage{body: compress(raw), last: m.Next == "", err: err}
}

// serveServers gives a page of the servers to another instance of the zone. Status 503 says
// that this instance does not have the page, 429 that it serves others.
func (g *Gateway) serveServers(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	number := func(name string) int64 {
		n, err := strconv.ParseInt(q.Get(name), 10, 64)
		if err != nil {
			return 0 // left out
		}
		return n
	}
	least := revision.Revision{Era: number(paramEra), Version: number(paramVersion)}
	hold := min(time.Duration(number(paramHold))*time.Millisecond, catalog.HoldTime)
	from := q.Get(paramFrom)
	s := g.currentSnapshot(least, from)
	for waited := time.Duration(0); s == nil && waited < hold && r.Context().Err() == nil && g.sleep(offerCheckInterval); waited += offerCheckInterval {
		s = g.currentSnapshot(least, from)
	}
	if s == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name := q.Get(paramInstance)
	g.mu.Lock()
	admitted, others := g.serversSource.Admit(boottime.Now(), name)
	g.mu.Unlock()
	if !admitted {
		body, err := cbor.Marshal(serversPageMsg{Others: others})
		if err != nil {
			g.log.Error().Err(err).Msg("servers: encoding an answer failed")
		}
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = w.Write(body) // the other instance asks elsewhere
		return
	}
	p := s.page(from)
	if p.err != nil || p.body == nil {
		g.log.Error().Err(p.err).Msg("servers: encoding a page failed")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	g.metrics.peerBytes("servers", len(p.body), false)
	if _, err := w.Write(p.body); err == nil && p.last {
		g.mu.Lock()
		g.serversSource.Completed(name)
		g.mu.Unlock()
		g.metrics.serversTransfer("given")
	}
}

// transferRefusal says why another instance did not give its servers.
type transferRefusal struct {
	answer catalog.Answer
	others []string
	cause  error
}

// transferClient fetches pages of servers from other instances. The pages of a transfer
// share a connection.
var transferClient = sync.OnceValue(func() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{Proxy: nil, DialContext: dialer.DialContext, IdleConnTimeout: transferTimeout, MaxIdleConnsPerHost: 1}}
})

// fetchServers gets all servers from another instance. It returns the revision as of which
// they are complete, or why the other instance did not give them.
func (g *Gateway) fetchServers(step catalog.Step, least revision.Revision) (revision.Revision, *transferRefusal) {
	g.mu.Lock()
	m := g.members.Get(step.From)
	least = revision.Max(least, revision.Revision{Era: g.storeEra.current})
	g.mu.Unlock()
	if m == nil {
		return unreadRevision, &transferRefusal{answer: catalog.Failed}
	}
	r := serversRead{began: boottime.Now()}
	for hold := step.Hold; ; hold = catalog.HoldTime { // the other instance may be reading, too
		p, refused := g.fetchServersPage(m.Address, r.Next(), hold, least)
		if refused != nil {
			if r.Pages() > 0 { // at a common start, many instances do not answer yet
				g.endPartial()
				g.log.Info().Err(refused.cause).Str("from", step.From).Int("pages", r.Pages()).Msg("servers: another instance did not give the entries")
			}
			return unreadRevision, refused
		}
		page := ports.ServersPage{At: revision.Revision{Era: p.Era, Version: p.Version}, Next: p.Next}
		for i := range p.Servers {
			page.Entries = append(page.Entries, p.Servers[i].decode())
		}
		g.handleTransferredGone(p.Gone)
		r.endsKnownFor = millis(p.EndsKnownMS)
		switch g.handleServersPage(&r, page, step.From) {
		case catalog.Restart:
			return unreadRevision, &transferRefusal{answer: catalog.Incomplete}
		case catalog.Complete:
			g.metrics.serversTransfer("received")
			return r.At(), nil
		}
	}
}

// endPartial ends the offer of a read that is given up.
func (g *Gateway) endPartial() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serversPartial = nil
}

func (g *Gateway) fetchServersPage(address, from string, hold time.Duration, least revision.Revision) (*serversPageMsg, *transferRefusal) {
	ctx, cancel := context.WithTimeout(g.ctx, hold+transferTimeout)
	defer cancel()
	failed := func(err error) (*serversPageMsg, *transferRefusal) {
		return nil, &transferRefusal{answer: catalog.Failed, cause: errors.Wrap(err, "gateway: fetch servers")}
	}
	q := url.Values{
		paramInstance: {g.settings.Name}, paramFrom: {from}, paramHold: {strconv.FormatInt(hold.Milliseconds(), 10)},
		paramEra: {strconv.FormatInt(least.Era, 10)}, paramVersion: {strconv.FormatInt(least.Version, 10)},
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathServers+"?"+q.Encode(), nil)
	if err != nil {
		return failed(err)
	}
	resp, err := transferClient().Do(r)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxTransferBytes))
	if err != nil {
		return failed(err)
	}
	var p serversPageMsg
	switch resp.StatusCode {
	case http.StatusOK:
		if err := decompressCBOR(body, &p); err != nil {
			return failed(err)
		}
		return &p, nil
	case http.StatusServiceUnavailable:
		return nil, &transferRefusal{answer: catalog.Incomplete}
	case http.StatusTooManyRequests:
		if err := cbor.Unmarshal(body, &p); err != nil {
			return failed(err)
		}
		return nil, &transferRefusal{answer: catalog.Busy, others: p.Others}
	}
	return nil, &transferRefusal{answer: catalog.Failed} // an earlier version answers 404
}

func decompressCBOR(body []byte, out any) error {
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return err
	}
	raw, err := io.ReadAll(io.LimitReader(z, maxTransferBytes))
	if err != nil {
		return err
	}
	return cbor.Unmarshal(raw, out)
}

// handleTransferredGone removes the servers that another instance knows to be gone, and
// remembers them, so that older messages do not bring them back.
func (g *Gateway) handleTransferredGone(gone []serverGoneMsg) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	for _, m := range gone {
		at := revision.Revision{Era: m.Era, Version: m.Version}
		s := g.servers.Get(m.ID)
		known, remembered := g.removedServers[m.ID]
		switch {
		case s != nil && !at.Before(s.Revision) && m.Incarnation >= s.Incarnation:
			g.removeServer(now, m.ID, at)
		case s == nil && (!remembered || known.goneRevision.Before(at)):
			g.removedServers[m.ID] = removedServer{incarnation: m.Incarnation, removedAt: now, goneRevision: at}
			g.servers.NoteGone(now, m.ID, m.Incarnation)
		}
	}
}
