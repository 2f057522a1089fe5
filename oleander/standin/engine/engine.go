// Package engine is a stand-in for a model engine on a backend server. It loads
// and unloads artifacts within a limited memory when ordered to, reports on
// itself, and answers OpenAI-compatible calls with text that follows from the
// request alone.
//
// Beside the interface of docs/api/engine.openapi.yaml it shows what an oracle
// needs: GET /control/violations, /control/accounts, /control/runs and
// /control/usage. /faults has the fault knobs.
package engine

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	client "oleanderdale.org/oleander/clients/engine"
	"oleanderdale.org/oleander/standin/internal/serve"
)

// The paths that only the stand-in has.
const (
	ViolationsPath = "/control/violations"
	AccountsPath   = "/control/accounts"
	RunsPath       = "/control/runs"
	UsagePath      = "/control/usage"
)

// The paths of the calls.
const (
	CompletionsPath = "/v1/completions"
	ChatPath        = "/v1/chat/completions"
)

// The headers of a call and its answer.
const (
	AccountHeader = "Client-Account" // needed
	AttemptHeader = "Attempt-Id"
	ResumeHeader  = "Resume-Offset" // number of tokens that the caller has
	LeavingHeader = "Oleanderdale-Leaving"
)

// The defaults of Settings.
const (
	DefaultHostCacheLoadFactor = 0.1
	DefaultDiskCacheLoadFactor = 0.3
	DefaultRestartDelay        = time.Second
)

// Settings says what an engine is like.
type Settings struct {
	Name string
	// Bytes is the memory for artifacts.
	MemoryBytes int64
	// CacheBytes is the host memory, and DiskBytes the disk, that checkpoints
	// are cached in.
	HostCacheBytes int64
	DiskCacheBytes int64
	// MemoryShare and DiskShare are what a load from the cache takes of the
	// load time from remote; 0 means the default.
	HostCacheLoadFactor float64
	DiskCacheLoadFactor float64
	// Store is the weight store shared by all engines; nil means one without
	// limits.
	Store *WeightStore
	// TokenTime is the time that each token of an answer takes.
	TokenTime time.Duration
	// Concurrency is how many requests run at a time, further ones wait;
	// 0 means no limit.
	Concurrency int
	// ChecksFencing refuses orders with an old fencing number. The number is
	// lost in a crash unless KeepsFencing is set.
	ChecksFencing   bool
	PersistsFencing bool
	// Resumes says whether the engine honours ResumeHeader.
	Resumes bool
	// NeedsBase refuses calls for an adapter whose model is not loaded.
	RequiresBaseModel bool
	// Restart is how long the engine stays away after a crash; 0 means
	// DefaultRestart.
	RestartDelay time.Duration
}

// Faults are the fault knobs.
type Faults struct {
	// Down closes the connection of every call, report and order.
	Down bool `json:"down"`
	// Leaving refuses new calls with 503 and LeavingHeader, refuses loads, and
	// shows in the report.
	Leaving bool `json:"leaving"`
	// Slow delays the start of each call, SlowTokens each token.
	CallDelay  time.Duration `json:"slow"`
	TokenDelay time.Duration `json:"slow_tokens"`
	// SlowReports delays each report, after it was made.
	ReportDelay time.Duration `json:"slow_reports"`
	// LoadLag is how old the numbers of running requests in a report may be.
	RequestCountLag time.Duration `json:"load_lag"`
	// CrashMarker crashes the engine when it starts on a prompt that holds it.
	CrashMarker string `json:"crash_marker"`
	// CrashLoads counts the next loads that crash the engine halfway.
	CrashLoads int `json:"crash_loads"`
	// BreakStreams counts the next streams whose connection is closed after
	// BreakAfter tokens.
	BreakStreams int `json:"break_streams"`
	BreakAfter   int `json:"break_after"`
	// EndEarly counts the next streams that end after BreakAfter tokens without
	// the end marker, though the connection ends well.
	TruncateStreams int `json:"end_early"`
	// RefuseCalls counts the next calls that are refused with 503.
	RefuseCalls int `json:"refuse_calls"`
	// LoseOrderAnswers counts the next orders that are carried out and whose
	// connection is closed in place of the answer.
	LoseOrderResponses int `json:"lose_order_answers"`
	// LoseOrders counts the next orders whose connection is closed and that are
	// not carried out.
	LoseOrders int `json:"lose_orders"`
	// LateOrders counts the next orders whose connection is closed at once and
	// that are carried out after OrderDelay, a crash in between or not.
	LateOrders     int           `json:"late_orders"`
	LateOrderDelay time.Duration `json:"order_delay"`
	// GarbageReports and OversizedReports count the next reports that are no
	// JSON, or longer than any client should read.
	MalformedReports int `json:"garbage_reports"`
	OversizedReports int `json:"oversized_reports"`
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	settings Settings
	faults   serve.FaultSettings[Faults]
	server   serve.Server
	router   *mux.Router
	slots    chan struct{} // nil: no limit

	mu            sync.Mutex
	bootCount     int
	bootCtx       context.Context // ends in a crash
	cancelBoot    context.CancelFunc
	downUntil     time.Time
	fencing       id.Fencing
	held          map[id.Artifact]*heldArtifact
	memory        *cache
	disk          *cache
	requestCounts requestCounts
	recorder      recorder
}

// New returns an engine that holds nothing.
func New(s Settings) *Engine {
	e := &Engine{
		settings: s.withDefaults(),
		router:   mux.NewRouter(),
		held:     make(map[id.Artifact]*heldArtifact),
		memory:   newCache(s.HostCacheBytes),
		disk:     newCache(s.DiskCacheBytes),
		recorder: newRecorder(),
	}
	if s.Concurrency > 0 {
		e.slots = make(chan struct{}, s.Concurrency)
	}
	e.bootCtx, e.cancelBoot = context.WithCancel(context.Background())
	e.registerRoutes()
	return e
}

func (s Settings) withDefaults() Settings {
	if s.HostCacheLoadFactor == 0 {
		s.HostCacheLoadFactor = DefaultHostCacheLoadFactor
	}
	if s.DiskCacheLoadFactor == 0 {
		s.DiskCacheLoadFactor = DefaultDiskCacheLoadFactor
	}
	if s.RestartDelay == 0 {
		s.RestartDelay = DefaultRestartDelay
	}
	if s.Store == nil {
		s.Store = NewWeightStore(StoreSettings{})
	}
	return s
}

func (e *Engine) registerRoutes() {
	e.router.Handle(serve.FaultsPath, &e.faults)
	handleGet := func(path string, value func() any) {
		e.router.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
			serve.WriteJSON(w, http.StatusOK, value())
		}).Methods(http.MethodGet)
	}
	handleGet(ViolationsPath, func() any { return e.Violations() })
	handleGet(AccountsPath, func() any { return e.Accounts() })
	handleGet(RunsPath, func() any { return e.Runs() })
	handleGet(UsagePath, func() any { return e.Usage() })
	e.router.HandleFunc(client.ReportPath, e.serveReport).Methods(http.MethodGet)
	e.router.HandleFunc(client.OrdersPath, e.serveOrder).Methods(http.MethodPost)
	e.router.HandleFunc(CompletionsPath, e.serveCall(completions)).Methods(http.MethodPost)
	e.router.HandleFunc(ChatPath, e.serveCall(chat)).Methods(http.MethodPost)
}

// Faults returns the fault knobs as they are.
func (e *Engine) Faults() Faults { return e.faults.Get() }

// SetFaults replaces the fault knobs.
func (e *Engine) SetFaults(f Faults) { e.faults.Set(f) }

// UpdateFaults changes the fault knobs in place.
func (e *Engine) UpdateFaults(change func(*Faults)) { e.faults.Update(change) }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// Serve answers on l until Close. After a crash it listens again at the same
// address once Settings.Restart has passed.
func (e *Engine) Serve(l net.Listener) error {
	return e.server.ServeWithRestarts(l, e, e.remainingDowntime)
}

// Close closes all listeners and connections for good and ends all loads.
func (e *Engine) Close() error {
	e.mu.Lock()
	e.cancelBoot()
	e.mu.Unlock()
	return e.server.Close()
}

// away returns how long the engine stays away from now on.
func (e *Engine) remainingDowntime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.downUntil)
}

// abortIfAway closes the connection if the engine is down or restarting.
func (e *Engine) abortIfDown() {
	if e.faults.Get().Down || e.remainingDowntime() > 0 {
		serve.Abort()
	}
}

// Crash ends all requests and loads, closes all connections and listeners, and
// forgets all artifacts but those cached on disk. The engine comes back after
// Settings.Restart with a new boot name.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.bootCount++
	e.downUntil = time.Now().Add(e.settings.RestartDelay)
	for _, h := range e.held {
		e.recorder.endLoaded(h, time.Now())
	}
	e.held = make(map[id.Artifact]*heldArtifact)
	e.memory = newCache(e.settings.HostCacheBytes)
	if !e.settings.PersistsFencing {
		e.fencing = 0
	}
	e.recorder.usage.Crashes++
	e.cancelBoot()
	e.bootCtx, e.cancelBoot = context.WithCancel(context.Background())
	e.mu.Unlock()
	e.server.Interrupt()
}

// current returns the context that ends with the next crash.
func (e *Engine) bootContext() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootCtx
}

// bootName must be called with the lock held.
func (e *Engine) bootID() string { return e.settings.Name + "#" + strconv.Itoa(e.bootCount) }

// Report returns the engine's report of itself as it is now.
func (e *Engine) Report() message.Report {
	faults := e.faults.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.requestCounts.takenAt) >= faults.RequestCountLag {
		e.requestCounts = e.countRequests(now)
	}
	r := message.Report{
		Bytes:   e.settings.MemoryBytes,
		Held:    e.reportHeld(now),
		Cached:  e.reportCached(),
		Running: e.requestCounts.total,
		Leaving: faults.Leaving,
		Boot:    e.bootID(),
	}
	if e.settings.ChecksFencing {
		r.Fencing = e.fencing
	}
	return r
}
