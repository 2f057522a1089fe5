package gateway

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/gateway/budget"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/oleander/connection/rawhttp"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/gateway/portstest"
	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// Headers of the test dialect.
const (
	testID      = "Id"
	testKey     = "Key"
	testWait    = "Wait-Ms"
	testModel   = "Model"
	testLast    = "Last-Event"
	testResumes = "Resumes-Id"
	testSigned  = "Signed"
	testNotRun  = "Not-Run"
	testServer  = "Server-Id"
	testOwner   = "Account"
	testLeft    = "Left-Ms" // remaining time, sent to the server
	testLimit   = "Limit"   // requests per second that the server accepts
	testLeaves  = "Leaves"  // the server leaves
	testBrittle = "Brittle" // rejections in a second that the server survives
	testParts   = "Parts"   // "ID:TOKENS,..." of the prompt
	testRest    = "Rest-Ms" // with a rejection: how long the server wants no other request
)

// testTokens is the token count of each request.
const testTokens = 10

// testPrompt is the prompt's part of testTokens.
const testPrompt = 8

type fakeDialect struct{}

func (fakeDialect) ParseCall(r *http.Request) ports.Call {
	h := r.Header
	ms, _ := strconv.Atoi(h.Get(testWait))
	return ports.Call{
		PromptParts: parseTestParts(h.Get(testParts)),
		ID:          h.Get(testID), APIKey: h.Get(testKey), Timeout: time.Duration(ms) * time.Millisecond,
		Model: h.Get(testModel), LastEventID: h.Get(testLast), Resumes: h.Get(testResumes), TotalTokens: testTokens, PromptTokens: testPrompt,
	}
}

func parseTestParts(text string) []ports.PromptPart {
	var parts []ports.PromptPart
	for part := range strings.SplitSeq(text, ",") {
		if id, tokens, ok := strings.Cut(part, ":"); ok {
			n, _ := strconv.Atoi(tokens)
			parts = append(parts, ports.PromptPart{ID: id, Tokens: n})
		}
	}
	return parts
}

func (fakeDialect) ForwardHeaders(from http.Header, a ports.Attempt) http.Header {
	h := from.Clone()
	RemoveHopByHopHeaders(h)
	h.Del(testKey)
	h.Set(testOwner, a.Account)
	h.Set(testServer, a.Server)
	h.Set(testLeft, strconv.FormatInt(a.Timeout.Milliseconds(), 10))
	if a.LastEventID != "" {
		h.Set(testLast, a.LastEventID)
	}
	return h
}

func (fakeDialect) ParseResponse(status int, h http.Header) ports.ResponseInfo {
	info := ports.ResponseInfo{
		RequestID: h.Get(testID), Signed: h.Get(testSigned) != "", Server: h.Get(testServer),
		NotExecuted: h.Get(testNotRun) != "" || status == http.StatusMisdirectedRequest,
	}
	info.Leaving = h.Get(testLeaves) != ""
	if ms, err := strconv.Atoi(h.Get(testRest)); err == nil && status == http.StatusServiceUnavailable {
		info.Rest = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.Atoi(h.Get(testBrittle)); err == nil {
		info.Brittle = ports.Brittleness{Named: true, Survived: n}
	}
	if text := h.Get(testLimit); text != "" {
		perSecond, err := strconv.ParseFloat(text, 64)
		if err != nil {
			info.Invalid = text
		} else {
			info.RateLimit = ports.RateLimit{Named: true, PerSecond: perSecond}
		}
	}
	return info
}

// fakeHarness is the other end of fakeDialect.
type fakeHarness struct{}

func (fakeHarness) Dialect() ports.Dialect { return fakeDialect{} }

func (fakeHarness) RequestHeaders(c ports.Call) http.Header {
	h := make(http.Header)
	h.Set(testID, c.ID)
	h.Set(testKey, c.APIKey)
	h.Set(testWait, strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	h.Set(testModel, c.Model)
	h.Set(testLast, c.LastEventID)
	h.Set(testResumes, c.Resumes)
	return h
}

func (fakeHarness) ParseAttempt(h http.Header) (string, ports.Attempt, string) {
	ms, _ := strconv.Atoi(h.Get(testLeft))
	return h.Get(testID), ports.Attempt{
		Account: h.Get(testOwner), Server: h.Get(testServer), Timeout: time.Duration(ms) * time.Millisecond, LastEventID: h.Get(testLast),
	}, h.Get(testKey)
}

func (fakeHarness) ResponseHeaders(head ports.ResponseInfo) (int, http.Header) {
	h := make(http.Header)
	h.Set(testID, head.RequestID)
	h.Set(testServer, head.Server)
	if head.Signed {
		h.Set(testSigned, "1")
	}
	if head.NotExecuted {
		h.Set(testNotRun, "1")
	}
	if head.Leaving {
		h.Set(testLeaves, "1")
	}
	if head.Rest > 0 {
		h.Set(testRest, strconv.FormatInt(head.Rest.Milliseconds(), 10))
		return http.StatusServiceUnavailable, h
	}
	if head.Brittle.Named {
		h.Set(testBrittle, strconv.Itoa(head.Brittle.Survived))
	}
	if head.RateLimit.Named {
		h.Set(testLimit, strconv.FormatFloat(head.RateLimit.PerSecond, 'f', -1, 64))
	}
	return http.StatusOK, h
}

// The test dialect keeps the contract of all dialects.
func TestDialectContract(t *testing.T) { portstest.TestDialect(t, fakeHarness{}) }

// leaselessStore is a store that accepts no write of a lease.
type leaselessStore struct{ ports.Store }

func (leaselessStore) WriteLease(context.Context, ports.LeaseName, leader.Record, revision.Revision) (leader.Result, revision.Revision) {
	return leader.Unknown, revision.Revision{}
}

// backend is a server with scripted responses.
type backend struct {
	id       string
	address  string
	handler  http.HandlerFunc
	mu       sync.Mutex
	received []*http.Request
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	b.mu.Lock()
	b.received = append(b.received, r)
	b.mu.Unlock()
	w.Header().Set(testID, r.Header.Get(testID))
	b.handler(w, r)
}

func (b *backend) requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.received)
}

// ok responds like a healthy server.
func ok(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testSigned, "1")
	_, _ = fmt.Fprintf(w, "answer to %s", r.Header.Get(testID))
}

// fixture is one or more gateways with backends.
type fixture struct {
	t           *testing.T
	store       *portstest.MemoryStore
	wrapStore   func(ports.Store) ports.Store // wraps the store for each gateway
	wrapEngines func(gateway int, e ports.Engines) ports.Engines
	engines     *portstest.MemoryEngines
	gateways    []*Gateway
	stops       []chan struct{}
	cancels     []context.CancelFunc // end a gateway at once
	ended       []chan struct{}
	log         logBuffer         // of all gateways
	regions     map[string]string // by zone; may be nil
	zones       []string          // of the gateways in order; further ones are in zone z
	memory      int64             // bound of each gateway; 0: none
	slots       int               // of each server; 0: 4
	asked       atomic.Int64      // requests of callers

	loadScheduling Switch
}

// logBuffer collects log lines. Gateways write while a test reads.
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

// slowLoadTime is longer than the tests' callers wait.
const slowLoadTime = 3 * time.Second

// testHost is the host requested by the tests' callers.
const testHost = "any.example"

const testGrace = 5 * time.Second

func newFixture(t *testing.T, config *manifest.Manifest) *fixture {
	f := &fixture{t: t, store: portstest.NewMemoryStore(), engines: portstest.NewMemoryEngines()}
	f.wrapStore = func(s ports.Store) ports.Store { return s }
	f.wrapEngines = func(_ int, e ports.Engines) ports.Engines { return e }
	f.store.SetManifest(config)
	return f
}

// backend starts a server of a group with loaded models.
func (f *fixture) backend(id, group string, h http.HandlerFunc, models ...string) *backend {
	return f.softwareBackend(id, group, "", h, models...)
}

// softwareBackend starts a server with a version of its software.
func (f *fixture) softwareBackend(id, group, software string, h http.HandlerFunc, models ...string) *backend {
	l := testutil.Listen(f.t)
	b := &backend{id: id, address: l.Addr().String(), handler: h}
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(func() { _ = server.Close() })
	e := directory.Entry{ID: id, Address: b.address, Zone: "z", Group: group, Software: software, Incarnation: 1, Slots: cmp.Or(f.slots, 4)}
	for _, m := range models {
		e.LoadedModels = append(e.LoadedModels, directory.LoadedModel{Model: m})
	}
	e.OnDisk = []string{"cold", "slow"}
	f.engines.AddEngine(id, e.Address, 0, models...)
	f.store.PutServer(e)
	return b
}

// start starts a gateway and waits until it is ready.
func (f *fixture) start() string {
	s := f.launch(testutil.FreeAddresses(f.t, 3))
	testutil.WaitFor(f.t, func() bool { return f.status("http://"+s.ReadinessAddress+"/any") == http.StatusOK })
	return "http://" + s.CallerAddress
}

// launch starts a gateway that listens on three addresses.
func (f *fixture) launch(own []string) Settings {
	n := len(f.gateways)
	zone := "z"
	if n < len(f.zones) {
		zone = f.zones[n]
	}
	s := Settings{
		Name: fmt.Sprint("g", n), Zone: zone, Regions: f.regions, CallerAddress: own[0], ReadinessAddress: own[1], PeerAddress: own[2], GracePeriod: testGrace,
		OrderQuietPeriod: 100 * time.Millisecond, MemoryBound: f.memory, ConnectionMemory: f.memory, CutSlowReaders: f.memory > 0, ServersFailOnLoad: f.memory > 0, MaxDrainDelay: 2 * time.Second,
		RetryBudget:    budget.Settings{Window: 10 * time.Second, Ratio: 0.2, Allowance: 50},
		LoadScheduling: f.loadScheduling,
	}
	g, err := New(s, f.wrapStore(f.store.Store(n)), f.wrapEngines(n, f.engines), fakeDialect{}, zerolog.New(&f.log).With().Timestamp().Str("instance", s.Name).Logger())
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
	f.cancels = append(f.cancels, cancel)
	return s
}

// single returns a running gateway with one plain server, a.
func single(t *testing.T) (*fixture, *Gateway) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.start()
	return f, f.gateways[0]
}

// startHolder starts the first gateway and waits until it holds the fleet lease.
// Otherwise a later one might take it first on a busy machine.
func (f *fixture) startHolder() {
	f.start()
	g := f.gateways[0]
	testutil.WaitFor(f.t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.fleetLease.Holds(boottime.Now())
	})
}

func (f *fixture) status(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// answer is the response as the caller sees it.
type answer struct {
	status int
	header http.Header
	body   string
	closes bool  // the connection is not reused
	framed bool  // the response has a length or chunks
	err    error // from reading the body
}

// ask sends a request as a caller. Its ID is r1, r2 and so on.
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
	r.Header.Set(testID, fmt.Sprint("r", f.asked.Add(1)))
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
	return answer{status: resp.StatusCode, header: resp.Header, body: string(b), closes: resp.Close, framed: !rawhttp.EndsWithConnection(resp), err: err}
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
			"warm": {Name: "warm", WeightsMB: 60}, "cold": {Name: "cold", WeightsMB: 60, LoadFromDisk: 50 * time.Millisecond},
			"slow": {Name: "slow", WeightsMB: 60, LoadFromDisk: slowLoadTime},
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
		r.LatencyObjective = 100 * time.Millisecond
		r.Host = testHost
		r.Targets = []manifest.Target{{Group: "plain", Weight: 1}}
		if r.Kind == manifest.Stream {
			r.Targets[0].Group = "llm"
		}
		m.AddRoute(&r)
	}
	return m
}
