// Package front is the HTTP frontend for callers: OpenAI-compatible
// completions, plain services and the list of models. It parses a request,
// passes it to the core as an event.Call and carries out the core's commands:
// send the call to a backend server, answer it, or refuse it.
//
// Each call gets exactly one final response. A refusal is sent as soon as the
// core decides on it.
package front

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/eviction"
	"oleanderdale.org/core/id"
	"oleanderdale.org/oleander/connection/callerconn"
	"oleanderdale.org/oleander/connection/callermem"
	"oleanderdale.org/oleander/connection/upstream"
	"oleanderdale.org/oleander/process/metric"
)

// Settings limit the resources that callers can use.
type Settings struct {
	Instance        id.Instance
	MaxBodySize     int64         // bytes of a request body
	MaxResponseSize int64         // bytes of a response that is buffered
	MaxHeaderSize   int           // bytes of the headers of a request
	MaxConnections  int           // open connections; 0 means no limit
	Memory          int64         // bytes of the machine's memory
	HeaderTimeout   time.Duration // for reading the headers
	BodyTimeout     time.Duration // for reading the body
	DefaultTimeout  time.Duration // of a call without a Request-Timeout header
	MaxTimeout      time.Duration // longest accepted Request-Timeout
}

// DefaultSettings returns the settings of a small entry instance.
func DefaultSettings() Settings {
	return Settings{
		MaxBodySize: 4 << 20, MaxResponseSize: 16 << 20, MaxHeaderSize: 32 << 10, MaxConnections: 4096, Memory: DefaultMemoryMB << 20,
		HeaderTimeout: 5 * time.Second, BodyTimeout: 20 * time.Second,
		DefaultTimeout: time.Minute, MaxTimeout: 24 * time.Hour,
	}
}

// DefaultMemoryMB is the memory, in MB, of the machine of an instance whose settings name none.
const DefaultMemoryMB = 512

// Poster queues events for the core.
type Poster interface{ Post(e event.Event) }

// Front is the HTTP server for callers.
type Front struct {
	settings Settings
	poster   Poster
	upstream *upstream.Client
	config   func() *config.Config // in force; returns nil before the first configuration
	log      zerolog.Logger
	server   *http.Server
	memory   *callermem.Account
	observe  func(Observation)

	lastRequest atomic.Uint64
	ready       atomic.Bool
	mu          sync.Mutex
	exchanges   map[id.Request]*exchange
}

// Observation is the result of one call, for the report on the burn rate of the
// service-level objectives.
type Observation struct {
	Account id.Account
	Class   config.Class
	Good    bool // answered completely, or refused through the caller's own fault
	Reason  event.Reason
	Latency time.Duration // time to the first part of the response, or to the refusal
}

// New returns a Front. It calls observe, which may be nil, once for each call of
// a known account.
func New(s Settings, p Poster, u *upstream.Client, config func() *config.Config, observe func(Observation), log zerolog.Logger) *Front {
	f := &Front{
		settings: s, poster: p, upstream: u, config: config, observe: observe, log: log,
		exchanges: make(map[id.Request]*exchange),
	}
	held := callermem.SettingsFor(s.Memory, s.MaxConnections)
	held.OnEviction = func(p eviction.Phase) { metric.Evicted(p.String()).Inc() }
	held.Log = log
	f.memory = callermem.New(held)
	if most := f.memory.MaxBody(); s.MaxBodySize > most {
		log.Warn().Int64("max_body", s.MaxBodySize).Int64("largest_that_fits", most).Msg("front: bodies inside the limits do not fit in the memory")
	}
	f.server = &http.Server{
		Handler: f.Handler(), MaxHeaderBytes: s.MaxHeaderSize,
		ReadHeaderTimeout: s.HeaderTimeout, IdleTimeout: 2 * time.Minute, ConnContext: callerconn.With,
		ConnState: callermem.ConnState,
	}
	return f
}

// Handler returns the handler for all paths that callers can use.
func (f *Front) Handler() http.Handler {
	r := mux.NewRouter()
	r.UseEncodedPath()
	r.Use(f.refuseWithoutMemory)
	// By default the router cleans paths and redirects with status 301. The
	// caller would then repeat its request, at a path that it did not ask for.
	r.SkipClean(true)
	r.HandleFunc("/v1/chat/completions", f.handleCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", f.handleCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", f.handleModels).Methods(http.MethodGet)
	r.HandleFunc("/v1/models/{model}", f.handleModels).Methods(http.MethodGet)
	r.PathPrefix("/services/{service}").HandlerFunc(f.handleService)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		writeProblem(w, problem{Reason: reasonNoSuchPath, Status: http.StatusNotFound, Execution: event.NotRun, Detail: "there is nothing at this path"})
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		writeProblem(w, problem{Reason: reasonMethodNotAllowed, Status: http.StatusMethodNotAllowed, Execution: event.NotRun, Detail: "this path does not take the method " + q.Method})
	})
	return r
}

// Serve accepts connections on l until the server is shut down.
func (f *Front) Serve(l net.Listener) error {
	return f.server.Serve(f.memory.Listener(l, func() { metric.ConnectionsRefused.Inc() }))
}

// Server returns the HTTP server, so that the owner can shut it down.
func (f *Front) Server() *http.Server { return f.server }

// Ready reports whether the instance accepts calls, as set by SetReady.
func (f *Front) Ready() bool { return f.ready.Load() }

// SetReady sets whether the instance accepts calls.
func (f *Front) SetReady(ready bool) { f.ready.Store(ready) }

// OpenCalls returns the number of calls without a final response.
func (f *Front) OpenCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.exchanges)
}

// Deliver queues a command of the core for the call with the id request. It does
// not block. Commands for a call that has ended are ignored; a command that
// finds the queue full is counted and logged as lost.
func (f *Front) Deliver(request id.Request, e event.Effect) {
	f.mu.Lock()
	x := f.exchanges[request]
	f.mu.Unlock()
	if x == nil {
		return
	}
	select {
	case x.commands <- e:
	default:
		metric.FrontCommandsLost.Inc()
		f.log.Error().Str("request", string(request)).Type("effect", e).Msg("front: command lost, the queue of the call is full")
	}
}

// open registers a call, so that Deliver finds it.
func (f *Front) open(call event.Call) *exchange {
	x := &exchange{front: f, call: call, commands: make(chan event.Effect, commandQueueSize), start: time.Now()}
	f.mu.Lock()
	f.exchanges[call.Request] = x
	f.mu.Unlock()
	return x
}

// close removes a call that has ended.
func (f *Front) close(x *exchange) {
	f.mu.Lock()
	delete(f.exchanges, x.call.Request)
	f.mu.Unlock()
}

func (f *Front) nextRequestID() id.Request {
	return id.Request(fmt.Sprintf("%s-%d", f.settings.Instance, f.lastRequest.Add(1)))
}
