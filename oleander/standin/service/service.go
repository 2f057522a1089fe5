// Package service is a stand-in for a plain service: it executes every call at any
// path and records it with its Idempotency-Key and the digest of its body.
//
// GET /control/runs returns the recorded runs, GET /control/violations the
// violations, and /faults serves the fault settings. GET /status/{key} says whether
// the call with that Idempotency-Key was executed; it can be disabled.
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"oleanderdale.org/oleander/standin/internal/serve"
)

// Paths that are not calls.
const (
	RunsPath       = "/control/runs"
	ViolationsPath = "/control/violations"
	StatusPath     = "/status/{key}"
)

// Headers of a call and its response.
const (
	IdempotencyKeyHeader = "Idempotency-Key"
	AccountHeader        = "Client-Account"
	AttemptHeader        = "Attempt-Id"
	LeavingHeader        = "Oleanderdale-Leaving"
	NotRunHeader         = "Oleanderdale-Not-Run"
)

const maxRequestBytes = 4 << 20

// Faults are the faults that the stand-in injects.
type Faults struct {
	// Down closes the connection of every call and status query, and no call is
	// executed.
	Down bool `json:"down"`
	// CallDelay delays every call before it is executed. The call is executed
	// even if the caller disconnects during the delay.
	CallDelay time.Duration `json:"slow"`
	// ResponseDelay delays the response after the call was executed.
	ResponseDelay time.Duration `json:"slow_answer"`
	// LoseResponses counts the next calls that are executed and whose connection
	// is closed without a response.
	LoseResponses int `json:"lose_answers"`
	// LoseRequests counts the next calls whose connection is closed and that are
	// not executed.
	LoseRequests int `json:"lose_requests"`
	// CrashAfterRun counts the next calls after whose execution the service
	// closes all connections and listeners for RestartDelay.
	CrashAfterRun int `json:"die_after_run"`
	// RestartDelay is the time from a crash by CrashAfterRun to the restart.
	RestartDelay time.Duration `json:"restart"`
	// RefuseCalls counts the next calls that are refused with status 503 and not
	// executed.
	RefuseCalls int `json:"refuse"`
	// Leaving refuses all calls with status 503 and LeavingHeader.
	Leaving bool `json:"leaving"`
	// DisableStatus answers status queries with status 404.
	DisableStatus bool `json:"no_status"`
}

// Run is a call that was executed.
type Run struct {
	Account        string    `json:"account"`
	Attempt        string    `json:"attempt"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Digest         string    `json:"digest"` // hexadecimal SHA-256 of the body
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	StartedAt      time.Time `json:"at"`
}

// Violations counts requests that a service must never receive.
type Violations struct {
	APIKeySeen     int `json:"key_seen"`        // requests with a caller's API key in a header, the path, the query or the body
	AccountMissing int `json:"account_missing"` // requests without AccountHeader
}

// Response is the JSON body of the response to a call.
type Response struct {
	RunNumber int    `json:"run"` // number of the run, starting at 1
	Digest    string `json:"digest"`
	Path      string `json:"path"`
}

// State says whether a call was executed.
type State string

// States of a call.
const (
	StateDone   State = "done"
	StateNotRun State = "none"
)

// Status is the JSON body of the response to a status query.
type Status struct {
	State    State     `json:"state"`
	Response *Response `json:"answer,omitempty"` // set in StateDone
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	faults serve.FaultSettings[Faults]
	server serve.Server
	router *mux.Router

	mu         sync.Mutex
	bootCount  int // number of crashes
	downUntil  time.Time
	runs       []Run
	violations Violations
}

// New returns a service that has executed no calls.
func New() *Service {
	s := &Service{router: mux.NewRouter().SkipClean(true)}
	s.router.Handle(serve.FaultsPath, &s.faults)
	s.router.HandleFunc(RunsPath, s.serveRuns).Methods(http.MethodGet)
	s.router.HandleFunc(ViolationsPath, s.serveViolations).Methods(http.MethodGet)
	s.router.HandleFunc(StatusPath, s.serveStatus).Methods(http.MethodGet)
	s.router.PathPrefix("/").HandlerFunc(s.serveCall)
	return s
}

// Faults returns the current fault settings.
func (s *Service) Faults() Faults { return s.faults.Get() }

// SetFaults replaces the fault settings.
func (s *Service) SetFaults(f Faults) { s.faults.Set(f) }

// UpdateFaults calls change with a pointer to the current fault settings.
func (s *Service) UpdateFaults(change func(*Faults)) { s.faults.Update(change) }

// Runs returns all executed calls, oldest first.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

// Violations returns the number of requests that must never be received.
func (s *Service) Violations() Violations {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.violations
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Serve serves requests on l until Close. After a crash by Faults.CrashAfterRun it
// listens on the same address again.
func (s *Service) Serve(l net.Listener) error {
	return s.server.ServeWithRestarts(l, s, s.remainingDowntime)
}

// Close closes all listeners and connections permanently.
func (s *Service) Close() error { return s.server.Close() }

// remainingDowntime returns the time until the service restarts after a crash. It
// is not positive if the service is running.
func (s *Service) remainingDowntime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.downUntil)
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, s.Runs())
}

func (s *Service) serveViolations(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, s.Violations())
}

func (s *Service) serveStatus(w http.ResponseWriter, r *http.Request) {
	faults := s.faults.Get()
	if faults.Down || s.remainingDowntime() > 0 {
		serve.Abort()
	}
	if faults.DisableStatus {
		http.NotFound(w, r)
		return
	}
	serve.WriteJSON(w, http.StatusOK, s.status(mux.Vars(r)["key"]))
}

// status returns the state of the first call with an idempotency key.
func (s *Service) status(key string) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, run := range s.runs {
		if run.IdempotencyKey == key {
			return Status{State: StateDone, Response: run.response(i + 1)}
		}
	}
	return Status{State: StateNotRun}
}

// response returns the response to the call, which is run number n.
func (r Run) response(n int) *Response {
	return &Response{RunNumber: n, Digest: r.Digest, Path: r.Path}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		serve.Abort()
	}
	s.countViolations(r, body)
	faults, bootCount := s.faults.Get(), s.currentBootCount()
	if faults.Down || s.remainingDowntime() > 0 {
		serve.Abort()
	}
	s.server.Sleep(faults.CallDelay)
	if s.refuse(w, faults) {
		return
	}
	if s.faults.Consume(func(f *Faults) *int { return &f.LoseRequests }) {
		serve.Abort()
	}
	response := s.execute(r, body, bootCount)
	if response == nil {
		serve.Abort()
	}
	s.server.Sleep(faults.ResponseDelay)
	s.injectResponseFault()
	serve.WriteJSON(w, http.StatusOK, response)
}

// countViolations counts the violations of a call.
func (s *Service) countViolations(r *http.Request, body []byte) {
	containsKey := serve.ContainsAPIKey(r, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if containsKey {
		s.violations.APIKeySeen++
	}
	if r.Header.Get(AccountHeader) == "" {
		s.violations.AccountMissing++
	}
}

// refuse refuses the call if the faults say so, and reports whether it did.
func (s *Service) refuse(w http.ResponseWriter, faults Faults) bool {
	if faults.Leaving {
		w.Header().Set(LeavingHeader, "true")
		http.Error(w, "the service is leaving", http.StatusServiceUnavailable)
		return true
	}
	if s.faults.Consume(func(f *Faults) *int { return &f.RefuseCalls }) {
		w.Header().Set(NotRunHeader, "true")
		http.Error(w, "refused by an injected fault", http.StatusServiceUnavailable)
		return true
	}
	return false
}

func (s *Service) currentBootCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bootCount
}

// execute records the call as executed and returns its response. The parameter
// bootCount is the value when the call arrived; if the service has crashed since, the call is
// not executed and the response is nil.
func (s *Service) execute(r *http.Request, body []byte, bootCount int) *Response {
	sum := sha256.Sum256(body)
	run := Run{
		Account:        r.Header.Get(AccountHeader),
		Attempt:        r.Header.Get(AttemptHeader),
		IdempotencyKey: r.Header.Get(IdempotencyKeyHeader),
		Digest:         hex.EncodeToString(sum[:]),
		Method:         r.Method,
		Path:           r.URL.Path,
		StartedAt:      time.Now(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bootCount != bootCount {
		return nil
	}
	s.runs = append(s.runs, run)
	return run.response(len(s.runs))
}

// injectResponseFault closes the connection without a response, or crashes the
// service, if the faults say so.
func (s *Service) injectResponseFault() {
	if s.faults.Consume(func(f *Faults) *int { return &f.LoseResponses }) {
		serve.Abort()
	}
	if !s.faults.Consume(func(f *Faults) *int { return &f.CrashAfterRun }) {
		return
	}
	s.mu.Lock()
	s.bootCount++
	s.downUntil = time.Now().Add(s.faults.Get().RestartDelay)
	s.mu.Unlock()
	s.server.Interrupt()
	serve.Abort()
}
