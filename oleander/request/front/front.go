// Package front is the callers' interface: OpenAI-compatible completions,
// plain services and the list of models, over HTTP. It reads a call, hands it
// to the core and does what the core decides: send it to a backend server,
// answer it, or refuse it.
//
// Each call has exactly one final answer. A refusal goes out as soon as it is
// decided.
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
	"golang.org/x/net/netutil"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/oleander/connection/upstream"
	"oleanderdale.org/oleander/process/metric"
)

// Settings bound what callers can use up.
type Settings struct {
	Instance        id.Instance
	MaxBody         int64         // bytes of a call
	MaxAnswer       int64         // bytes of an answer that is held whole
	MaxHeader       int           // bytes of the headers of a call
	MaxConnections  int           // open connections
	HeaderTimeout   time.Duration // to send the headers
	BodyTimeout     time.Duration // to send the body
	DefaultDeadline time.Duration // of a call that names none
	MaxDeadline     time.Duration
}

// DefaultSettings are for a small entry instance.
func DefaultSettings() Settings {
	return Settings{
		MaxBody: 4 << 20, MaxAnswer: 16 << 20, MaxHeader: 32 << 10, MaxConnections: 4096,
		HeaderTimeout: 5 * time.Second, BodyTimeout: 20 * time.Second,
		DefaultDeadline: time.Minute, MaxDeadline: 24 * time.Hour,
	}
}

// Poster takes events for the core.
type Poster interface{ Post(e event.Event) }

// Front serves callers.
type Front struct {
	settings Settings
	poster   Poster
	upstream *upstream.Client
	config   func() *config.Config // in force; nil before there is one
	log      zerolog.Logger
	server   *http.Server
	observe  func(Outcome)

	count     atomic.Uint64
	ready     atomic.Bool
	mu        sync.Mutex
	exchanges map[id.Request]*exchange
}

// Outcome is what became of one call, for the report on service-level burn.
type Outcome struct {
	Account id.Account
	Class   config.Class
	Good    bool // answered whole, or refused for a reason of the caller's
	Reason  event.Reason
	Took    time.Duration // until the first part of the answer, or the refusal
}

// New returns a Front. observe is called once for each call of a known account.
func New(s Settings, p Poster, u *upstream.Client, config func() *config.Config, observe func(Outcome), log zerolog.Logger) *Front {
	f := &Front{
		settings: s, poster: p, upstream: u, config: config, observe: observe, log: log,
		exchanges: make(map[id.Request]*exchange),
	}
	f.server = &http.Server{
		Handler: f.Handler(), MaxHeaderBytes: s.MaxHeader,
		ReadHeaderTimeout: s.HeaderTimeout, IdleTimeout: 2 * time.Minute,
	}
	return f
}

// Handler returns the routes of the callers' interface.
func (f *Front) Handler() http.Handler {
	r := mux.NewRouter()
	r.UseEncodedPath()
	// A router that cleans paths answers 301: a caller's path would reach
	// another place than the one it was written for, or its call be sent twice.
	r.SkipClean(true)
	r.HandleFunc("/v1/chat/completions", f.completion).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", f.completion).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", f.models).Methods(http.MethodGet)
	r.HandleFunc("/v1/models/{model}", f.models).Methods(http.MethodGet)
	r.PathPrefix("/services/{service}").HandlerFunc(f.service)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		writeProblem(w, problem{Reason: reasonPath, Status: http.StatusNotFound, Ran: event.NotRun, Detail: "there is nothing at this path"})
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		writeProblem(w, problem{Reason: reasonMethod, Status: http.StatusMethodNotAllowed, Ran: event.NotRun, Detail: "this path does not take the method " + q.Method})
	})
	return r
}

// Serve takes calls on l until Stop.
func (f *Front) Serve(l net.Listener) error {
	if f.settings.MaxConnections > 0 {
		l = netutil.LimitListener(l, f.settings.MaxConnections)
	}
	return f.server.Serve(l)
}

// Server returns the HTTP server, for shutting it down.
func (f *Front) Server() *http.Server { return f.server }

// Ready reports whether calls are taken.
func (f *Front) Ready() bool { return f.ready.Load() }

// SetReady says whether calls are taken.
func (f *Front) SetReady(ready bool) { f.ready.Store(ready) }

// Open returns the number of calls that have no final answer yet.
func (f *Front) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.exchanges)
}

// Deliver hands an effect of the core to the call it is for. It does not
// block; a call that is already over drops it.
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
		f.log.Error().Str("request", string(request)).Type("effect", e).Msg("front: command lost")
	}
}

func (f *Front) open(call event.Call) *exchange {
	x := &exchange{front: f, call: call, commands: make(chan event.Effect, commandQueue), start: time.Now()}
	f.mu.Lock()
	f.exchanges[call.Request] = x
	f.mu.Unlock()
	return x
}

func (f *Front) close(x *exchange) {
	f.mu.Lock()
	delete(f.exchanges, x.call.Request)
	f.mu.Unlock()
}

func (f *Front) nextRequest() id.Request {
	return id.Request(fmt.Sprintf("%s-%d", f.settings.Instance, f.count.Add(1)))
}
