// Package engine is a stand-in for a model engine on a backend server. It loads
// and unloads artifacts within a limited memory when ordered to, reports its
// state, and responds to OpenAI-compatible calls with text that is determined by
// the request alone.
//
// Besides the interface of docs/api/engine.openapi.yaml it has paths from which
// tests check its history: GET /control/violations, /control/accounts,
// /control/runs and /control/usage. /faults serves the fault settings.
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

// Paths that only the stand-in serves, not a real engine.
const (
	ViolationsPath = "/control/violations"
	AccountsPath   = "/control/accounts"
	RunsPath       = "/control/runs"
	UsagePath      = "/control/usage"
)

// Paths of calls.
const (
	CompletionsPath = "/v1/completions"
	ChatPath        = "/v1/chat/completions"
)

// Headers of a call and its response.
const (
	AccountHeader = "Client-Account" // required
	AttemptHeader = "Attempt-Id"
	ResumeHeader  = "Resume-Offset" // number of tokens that the caller has received already
	LeavingHeader = "Oleanderdale-Leaving"
)

// Defaults of Settings.
const (
	DefaultHostCacheLoadFactor = 0.1
	DefaultDiskCacheLoadFactor = 0.3
	DefaultRestartDelay        = time.Second
)

// Settings are the properties of an engine.
type Settings struct {
	Name string
	// MemoryBytes is the size of the memory for artifacts.
	MemoryBytes int64
	// HostCacheBytes and DiskCacheBytes are the sizes of the caches of
	// checkpoints, in host memory and on disk.
	HostCacheBytes int64
	DiskCacheBytes int64
	// HostCacheLoadFactor and DiskCacheLoadFactor are the time of a load from
	// each cache as a fraction of the time of a load from the remote store; 0
	// means the default.
	HostCacheLoadFactor float64
	DiskCacheLoadFactor float64
	// Store is the weight store, usually shared by all engines; nil means one
	// without limits.
	Store *WeightStore
	// TokenTime is the time to generate one token.
	TokenTime time.Duration
	// Concurrency is the number of requests that run at a time; further ones
	// wait. 0 means no limit.
	Concurrency int
	// ChecksFencing refuses orders with a lower fencing number than the highest
	// one seen. That number is lost in a crash unless PersistsFencing is set.
	ChecksFencing   bool
	PersistsFencing bool
	// Resumes says whether the engine supports ResumeHeader.
	Resumes bool
	// RequiresBaseModel refuses calls for an adapter whose base model is not
	// loaded.
	RequiresBaseModel bool
	// RestartDelay is the time from a crash to the restart; 0 means
	// DefaultRestartDelay.
	RestartDelay time.Duration
}

// Faults are the faults that the stand-in injects.
type Faults struct {
	// Down closes the connection of every call, report and order.
	Down bool `json:"down"`
	// Leaving refuses new calls with status 503 and LeavingHeader, refuses
	// orders to load, and sets the field leaving of the report.
	Leaving bool `json:"leaving"`
	// CallDelay delays the start of each call, TokenDelay each token.
	CallDelay  time.Duration `json:"slow"`
	TokenDelay time.Duration `json:"slow_tokens"`
	// ReportDelay delays the response to each request for the report. The report
	// is made before the delay.
	ReportDelay time.Duration `json:"slow_reports"`
	// RequestCountLag is the maximum age of the numbers of running requests in a
	// report.
	RequestCountLag time.Duration `json:"load_lag"`
	// CrashMarker crashes the engine when it starts to run a call whose prompt
	// contains this text; empty means never.
	CrashMarker string `json:"crash_marker"`
	// CrashLoads counts the next loads that crash the engine after half of their
	// time.
	CrashLoads int `json:"crash_loads"`
	// BreakStreams counts the next streamed responses whose connection is closed
	// after BreakAfter tokens.
	BreakStreams int `json:"break_streams"`
	BreakAfter   int `json:"break_after"`
	// TruncateStreams counts the next streamed responses that end after
	// BreakAfter tokens without the end marker, though the HTTP response ends
	// normally.
	TruncateStreams int `json:"end_early"`
	// RefuseCalls counts the next calls that are refused with status 503.
	RefuseCalls int `json:"refuse_calls"`
	// LoseOrderResponses counts the next orders that are executed and whose
	// connection is closed without a response.
	LoseOrderResponses int `json:"lose_order_answers"`
	// LoseOrders counts the next orders whose connection is closed and that are
	// not executed.
	LoseOrders int `json:"lose_orders"`
	// LateOrders counts the next orders whose connection is closed at once and
	// that are executed after LateOrderDelay, even if the engine crashed in the
	// meantime.
	LateOrders     int           `json:"late_orders"`
	LateOrderDelay time.Duration `json:"order_delay"`
	// MalformedReports and OversizedReports count the next reports that are not
	// valid JSON, or longer than the size at which a client must stop reading.
	MalformedReports int `json:"garbage_reports"`
	OversizedReports int `json:"oversized_reports"`
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	settings Settings
	faults   serve.FaultSettings[Faults]
	server   serve.Server
	router   *mux.Router
	slots    chan struct{} // one element for each running call; nil means no limit

	mu            sync.Mutex
	bootCount     int
	bootCtx       context.Context // canceled by the next crash
	cancelBoot    context.CancelFunc
	downUntil     time.Time
	fencing       id.Fencing
	held          map[id.Artifact]*heldArtifact
	memory        *cache
	disk          *cache
	requestCounts requestCounts
	recorder      recorder
}

// New returns an engine without artifacts.
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

// Faults returns the current fault settings.
func (e *Engine) Faults() Faults { return e.faults.Get() }

// SetFaults replaces the fault settings.
func (e *Engine) SetFaults(f Faults) { e.faults.Set(f) }

// UpdateFaults calls change with a pointer to the current fault settings.
func (e *Engine) UpdateFaults(change func(*Faults)) { e.faults.Update(change) }

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// Serve serves requests on l until Close. After a crash it listens on the same
// address again once Settings.RestartDelay has passed.
func (e *Engine) Serve(l net.Listener) error {
	return e.server.ServeWithRestarts(l, e, e.remainingDowntime)
}

// Close closes all listeners and connections permanently and cancels all loads.
func (e *Engine) Close() error {
	e.mu.Lock()
	e.cancelBoot()
	e.mu.Unlock()
	return e.server.Close()
}

// remainingDowntime returns the time until the engine restarts after a crash. It
// is not positive if the engine is running.
func (e *Engine) remainingDowntime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.downUntil)
}

// abortIfDown closes the connection of the request if Faults.Down is set or the
// engine is restarting.
func (e *Engine) abortIfDown() {
	if e.faults.Get().Down || e.remainingDowntime() > 0 {
		serve.Abort()
	}
}

// Crash ends all requests and loads, closes all connections and listeners, and
// discards all artifacts except the checkpoints on disk. The engine restarts after
// Settings.RestartDelay with a new boot ID.
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

// bootContext returns the context that is canceled by the next crash.
func (e *Engine) bootContext() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootCtx
}

// bootID identifies the time from one start to the next crash. It must be called
// with the lock held.
func (e *Engine) bootID() string { return e.settings.Name + "#" + strconv.Itoa(e.bootCount) }

// Report returns the engine's report of its current state.
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
		BootID:  e.bootID(),
	}
	if e.settings.ChecksFencing {
		r.Fencing = e.fencing
	}
	return r
}
