package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/gateway/budget"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/internal/testutil"
)

// Headers of the tests' dialect.
const (
	testID     = "Id"
	testKey    = "Key"
	testWait   = "Wait-Ms"
	testModel  = "Model"
	testLast   = "Last-Event"
	testSigned = "Signed"
	testNotRun = "Not-Run"
	testServer = "Server-Id"
	testOwner  = "Account"
)

type fakeDialect struct{}

func (fakeDialect) ReadCall(r *http.Request) Call {
	h := r.Header
	ms, _ := strconv.Atoi(h.Get(testWait))
	return Call{
		ID: h.Get(testID), Key: h.Get(testKey), Wait: time.Duration(ms) * time.Millisecond,
		Model: h.Get(testModel), LastEventID: h.Get(testLast), Tokens: 10,
	}
}

func (fakeDialect) Forward(from http.Header, a Attempt) http.Header {
	h := from.Clone()
	DropHopHeaders(h)
	h.Del(testKey)
	h.Set(testOwner, a.Account)
	h.Set(testServer, a.Server)
	if a.LastEventID != "" {
		h.Set(testLast, a.LastEventID)
	}
	return h
}

func (fakeDialect) ReadAnswer(status int, h http.Header) AnswerHead {
	return AnswerHead{
		RequestID: h.Get(testID), Signed: h.Get(testSigned) != "", Server: h.Get(testServer),
		NotRun: h.Get(testNotRun) != "" || status == http.StatusMisdirectedRequest,
	}
}

// fakeStore is a store in memory, shared by the gateways of a test.
type fakeStore struct {
	mu       sync.Mutex
	manifest *manifest.Manifest
	servers  map[string]directory.Entry
	peers    map[string]Peer
	record   leader.Record
	version  int64
	changes  int64
	down     bool
	// refuseLease lets no write of the lease through.
	refuseLease atomic.Bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{servers: make(map[string]directory.Entry), peers: make(map[string]Peer)}
}

func (s *fakeStore) locked(f func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return ErrUnavailable
	}
	f()
	return nil
}

func (s *fakeStore) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.changes++
}

func (s *fakeStore) Manifest(context.Context) (raw []byte, at int64, err error) {
	err = s.locked(func() {
		at = s.changes
		if s.manifest != nil {
			raw = []byte(strconv.FormatUint(s.manifest.Version, 10))
		}
	})
	return raw, at, err
}

func (s *fakeStore) wait(after int64, wait time.Duration) {
	for end := time.Now().Add(min(wait, time.Second)); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		changed := s.changes > after
		s.mu.Unlock()
		if changed {
			return
		}
	}
}

func (s *fakeStore) WatchManifest(ctx context.Context, after int64, wait time.Duration) ([]byte, int64, error) {
	s.wait(after, wait)
	return s.Manifest(ctx)
}

func (s *fakeStore) Decode([]byte) (*manifest.Manifest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.manifest, nil
}

func (s *fakeStore) Servers(context.Context) (entries []directory.Entry, at int64, err error) {
	err = s.locked(func() {
		at = s.changes
		for _, id := range sortedNames(s.servers) {
			entries = append(entries, s.servers[id])
		}
	})
	return entries, at, err
}

func (s *fakeStore) WatchServers(ctx context.Context, after int64, wait time.Duration) ([]ServerChange, int64, error) {
	s.wait(after, wait)
	entries, at, err := s.Servers(ctx)
	var changes []ServerChange
	for _, e := range entries {
		changes = append(changes, ServerChange{Entry: e})
	}
	return changes, at, err
}

func (s *fakeStore) Peers(context.Context) (all []Peer, err error) {
	err = s.locked(func() {
		for _, name := range sortedNames(s.peers) {
			all = append(all, s.peers[name])
		}
	})
	return all, err
}

func (s *fakeStore) Join(_ context.Context, p Peer) error {
	return s.locked(func() { s.peers[p.Name] = p })
}

func (s *fakeStore) Lease(context.Context) (r leader.Record, v int64, err error) {
	err = s.locked(func() { r, v = s.record, s.version })
	return r, v, err
}

func (s *fakeStore) WriteLease(_ context.Context, r leader.Record, expect int64) (res leader.Result, v int64) {
	if s.refuseLease.Load() {
		return leader.Unknown, 0
	}
	if s.locked(func() {
		res = leader.Conflict
		if expect == s.version {
			s.version++
			s.record, res, v = r, leader.Done, s.version
		}
	}) != nil {
		return leader.Unknown, 0
	}
	return res, v
}

// cutStore is the store as one instance reaches it, or does not.
type cutStore struct {
	*fakeStore
	cut atomic.Bool
}

func (s *cutStore) Manifest(ctx context.Context) ([]byte, int64, error) {
	if s.cut.Load() {
		return nil, 0, ErrUnavailable
	}
	return s.fakeStore.Manifest(ctx)
}

func (s *cutStore) WatchManifest(ctx context.Context, after int64, wait time.Duration) ([]byte, int64, error) {
	s.wait(after, wait)
	return s.Manifest(ctx)
}

func (s *cutStore) Lease(ctx context.Context) (leader.Record, int64, error) {
	if s.cut.Load() {
		return leader.Record{}, 0, ErrUnavailable
	}
	return s.fakeStore.Lease(ctx)
}

func (s *cutStore) WriteLease(ctx context.Context, r leader.Record, expect int64) (leader.Result, int64) {
	if s.cut.Load() {
		<-ctx.Done() // the way there is silent
		return leader.Unknown, 0
	}
	return s.fakeStore.WriteLease(ctx, r, expect)
}

// backend is a server whose answers a test scripts.
type backend struct {
	id      string
	handler http.HandlerFunc
	mu      sync.Mutex
	seen    []*http.Request
	held    map[string]bool
	count   int64
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	b.mu.Lock()
	b.seen = append(b.seen, r)
	b.mu.Unlock()
	w.Header().Set(testID, r.Header.Get(testID))
	b.handler(w, r)
}

func (b *backend) requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.seen)
}

// ok answers as a sound server does.
func ok(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testSigned, "1")
	_, _ = fmt.Fprintf(w, "answer to %s", r.Header.Get(testID))
}

// fakeEngines takes orders for the backends of a test.
type fakeEngines struct{ backends map[string]*backend }

func (e *fakeEngines) Order(_ context.Context, o placer.Order, _ string, _ int64) placer.Answer {
	b := e.backends[o.Server]
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.count != o.Precondition {
		return placer.Busy
	}
	b.count++
	if o.Kind == placer.Load {
		b.held[o.Model] = true
	} else {
		delete(b.held, o.Model)
	}
	return placer.Accepted
}

func (e *fakeEngines) Report(_ context.Context, _, server string) (placer.Report, error) {
	b := e.backends[server]
	b.mu.Lock()
	defer b.mu.Unlock()
	r := placer.Report{Sequence: b.count}
	for _, m := range sortedNames(b.held) {
		r.Holdings = append(r.Holdings, directory.Holding{Model: m})
	}
	return r, nil
}

// fixture is one or more gateways before backends.
type fixture struct {
	t        *testing.T
	store    *fakeStore
	engines  *fakeEngines
	gateways []*Gateway
	cuts     []*cutStore
	stops    []chan struct{}
	ended    []chan struct{}
	log      logBuffer // of all gateways
}

// logBuffer keeps lines; gateways write while a test reads.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// slowLoad is longer than the tests' callers wait.
const slowLoad = 3 * time.Second

// testHost is the host that the tests' callers name.
const testHost = "any.example"

const testGrace = 5 * time.Second

func newFixture(t *testing.T, config *manifest.Manifest) *fixture {
	f := &fixture{t: t, store: newFakeStore(), engines: &fakeEngines{backends: make(map[string]*backend)}}
	f.store.manifest = config
	return f
}

// backend starts a server of a group that holds models.
func (f *fixture) backend(id, group string, h http.HandlerFunc, models ...string) *backend {
	b := &backend{id: id, handler: h, held: make(map[string]bool)}
	l := testutil.Listen(f.t)
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(func() { _ = server.Close() })
	e := directory.Entry{ID: id, Address: l.Addr().String(), Zone: "z", Group: group, Born: 1, Slots: 4}
	for _, m := range models {
		b.held[m] = true
		e.Holdings = append(e.Holdings, directory.Holding{Model: m})
	}
	e.OnDisk = []string{"cold", "slow"}
	f.engines.backends[id] = b
	f.store.change(func() { f.store.servers[id] = e })
	return b
}

// start starts a gateway and waits until it is ready.
func (f *fixture) start() string {
	n := len(f.gateways)
	address := func() string {
		l := testutil.Listen(f.t)
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}
	s := Settings{
		Name: fmt.Sprint("g", n), Zone: "z", Front: address(), Ready: address(), Peer: address(), Grace: testGrace,
		OrderQuiet: 100 * time.Millisecond,
		Retry:      budget.Settings{Window: 10 * time.Second, Ratio: 0.2, Allowance: 50},
	}
	store := &cutStore{fakeStore: f.store}
	f.cuts = append(f.cuts, store)
	g, err := New(s, store, f.engines, fakeDialect{}, zerolog.New(&f.log).With().Timestamp().Str("instance", s.Name).Logger())
	if err != nil {
		f.t.Fatal(err)
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(ended)
		if err := g.Run(ctx, stop); err != nil {
			f.t.Errorf("gateway ended: %v", err)
		}
	}()
	f.t.Cleanup(func() {
		cancel()
		<-ended
		if f.t.Failed() {
			f.t.Log(f.log.String())
		}
	})
	f.gateways, f.stops, f.ended = append(f.gateways, g), append(f.stops, stop), append(f.ended, ended)
	testutil.WaitFor(f.t, func() bool { return f.status("http://"+s.Ready+"/any") == http.StatusOK })
	return "http://" + s.Front
}

func (f *fixture) status(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	closes bool  // the connection is not to be used again
	err    error // of the body
}

// ask sends a request as a caller.
func (f *fixture) ask(method, url string, header ...string) answer {
	f.t.Helper()
	return f.askCtx(context.Background(), method, url, header...)
}

func (f *fixture) askCtx(ctx context.Context, method, url string, header ...string) answer {
	var body io.Reader
	if method == http.MethodPost {
		body = io.NopCloser(io.LimitReader(neverEnding('x'), 1000))
	}
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return answer{err: err}
	}
	r.Host = testHost
	r.Header.Set(testID, "r1")
	r.Header.Set(testKey, "secret")
	for pair := range slices.Chunk(header, 2) {
		r.Header.Set(pair[0], pair[1])
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(b), closes: resp.Close, err: err}
}

type neverEnding byte

func (b neverEnding) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(b)
	}
	return len(p), nil
}

// config returns a configuration with a route of each kind.
func config(version uint64) *manifest.Manifest {
	m := manifest.New(version, manifest.Limits{})
	m.Groups["plain"] = &manifest.Group{Name: "plain"}
	m.Groups["llm"] = &manifest.Group{Name: "llm", Engine: &manifest.Engine{
		Slots: 4, MemoryMB: 100, LoadsPerSecond: 10, Models: map[string]manifest.Model{
			"warm": {Name: "warm", MB: 60}, "cold": {Name: "cold", MB: 60, FromDisk: 50 * time.Millisecond},
			"slow": {Name: "slow", MB: 60, FromDisk: slowLoad},
		},
	}}
	a := &manifest.Account{Name: "account", Priority: manifest.NoPriority, Rate: 1e6, Burst: 1e6}
	m.Accounts["account"] = a
	m.AddKey(manifest.DigestOf("secret"), a)
	for _, r := range []manifest.Route{
		{Name: "read", Prefix: "/read/", Kind: manifest.Idempotent, MaxAttempts: 2},
		{Name: "order", Prefix: "/order/", Kind: manifest.NonIdempotent, MaxAttempts: 1},
		{Name: "resume", Prefix: "/resume/", Kind: manifest.Stream, Resumable: true, MaxAttempts: 2},
		{Name: "stream", Prefix: "/stream/", Kind: manifest.Stream, MaxAttempts: 1},
	} {
		r.Timeout = 2 * time.Second
		r.Objective = 100 * time.Millisecond
		r.Host = testHost
		r.Targets = []manifest.Target{{Group: "plain", Weight: 1}}
		if r.Kind == manifest.Stream {
			r.Targets[0].Group = "llm"
		}
		m.AddRoute(&r)
	}
	return m
}
