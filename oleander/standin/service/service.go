// Package service is a stand-in for a plain service: a work-order desk that
// runs every call at any path and counts the runs by Idempotency-Key and
// digest of the body.
//
// GET /control/runs shows the runs, GET /control/violations the violations,
// /faults has the fault knobs. GET /status/{key} tells whether the call with
// that Idempotency-Key was run; it can be switched off.
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

// The paths that are not calls.
const (
	RunsPath       = "/control/runs"
	ViolationsPath = "/control/violations"
	StatusPath     = "/status/{key}"
)

// The headers of a call.
const (
	IdempotencyKeyHeader = "Idempotency-Key"
	AccountHeader        = "Client-Account"
	AttemptHeader        = "Attempt-Id"
	LeavingHeader        = "Oleanderdale-Leaving"
)

const maxRequestBytes = 4 << 20 // bytes

// Faults are the fault knobs.
type Faults struct {
	// Down closes the connection of every call before it runs.
	Down bool `json:"down"`
	// Slow delays every call before it runs; it runs even if the caller has
	// gone by then.
	CallDelay time.Duration `json:"slow"`
	// SlowAnswer delays every answer after the run.
	ResponseDelay time.Duration `json:"slow_answer"`
	// LoseAnswers counts the next calls that run and whose connection is
	// closed in place of the answer.
	LoseResponses int `json:"lose_answers"`
	// LoseRequests counts the next calls whose connection is closed and that
	// don't run.
	LoseRequests int `json:"lose_requests"`
	// DieAfterRun counts the next calls after whose run the service drops all
	// connections and listeners, for Restart.
	CrashAfterRun int `json:"die_after_run"`
	// Restart is how long the service stays away after DieAfterRun.
	RestartDelay time.Duration `json:"restart"`
	// Refuse counts the next calls that are answered with 503 and don't run.
	RefuseCalls int `json:"refuse"`
	// Leaving refuses all calls with 503 and LeavingHeader.
	Leaving bool `json:"leaving"`
	// NoStatus answers the status path with 404.
	DisableStatus bool `json:"no_status"`
}

// Run is one call that was run.
type Run struct {
	Account        string    `json:"account"`
	Attempt        string    `json:"attempt"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Digest         string    `json:"digest"` // hexadecimal SHA-256 of the body
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	StartedAt      time.Time `json:"at"`
}

// Violations counts what a service must never see.
type Violations struct {
	APIKeySeen     int `json:"key_seen"`        // a caller's key in a header, the query or the body
	AccountMissing int `json:"account_missing"` // no AccountHeader
}

// Answer is the JSON answer of a call.
type Response struct {
	RunNumber int    `json:"run"` // number of the run, starting at 1
	Digest    string `json:"digest"`
	Path      string `json:"path"`
}

// State says whether a call was run.
type State string

// The states of StatusPath.
const (
	StateDone   State = "done"
	StateNotRun State = "none"
)

// Status is the JSON answer of StatusPath.
type Status struct {
	State    State     `json:"state"`
	Response *Response `json:"answer,omitempty"` // of StateDone
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	faults serve.FaultSettings[Faults]
	server serve.Server
	router *mux.Router

	mu         sync.Mutex
	bootCount  int // counts the restarts
	downUntil  time.Time
	runs       []Run
	violations Violations
}

// New returns a service that has run nothing.
func New() *Service {
	s := &Service{router: mux.NewRouter().SkipClean(true)}
	s.router.Handle(serve.FaultsPath, &s.faults)
	s.router.HandleFunc(RunsPath, s.serveRuns).Methods(http.MethodGet)
	s.router.HandleFunc(ViolationsPath, s.serveViolations).Methods(http.MethodGet)
	s.router.HandleFunc(StatusPath, s.serveStatus).Methods(http.MethodGet)
	s.router.PathPrefix("/").HandlerFunc(s.serveCall)
	return s
}

// Faults returns the fault knobs as they are.
func (s *Service) Faults() Faults { return s.faults.Get() }

// SetFaults replaces the fault knobs.
func (s *Service) SetFaults(f Faults) { s.faults.Set(f) }

// UpdateFaults changes the fault knobs in place.
func (s *Service) UpdateFaults(change func(*Faults)) { s.faults.Update(change) }

// Runs returns all runs, the oldest first.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

// Violations returns what was seen that must never be.
func (s *Service) Violations() Violations {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.violations
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Serve answers on l until Close. After DieAfterRun it listens again at the
// same address.
func (s *Service) Serve(l net.Listener) error {
	return s.server.ServeWithRestarts(l, s, s.remainingDowntime)
}

// Close closes all listeners and connections for good.
func (s *Service) Close() error { return s.server.Close() }

// away returns how long the service stays away from now on.
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

func (r Run) response(n int) *Response {
	return &Response{RunNumber: n, Digest: r.Digest, Path: r.Path}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		serve.Abort()
	}
	s.countViolations(r, body)
	faults, boot := s.faults.Get(), s.currentBootCount()
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
	a := s.execute(r, body, boot)
	if a == nil {
		serve.Abort()
	}
	s.server.Sleep(faults.ResponseDelay)
	s.injectResponseFault()
	serve.WriteJSON(w, http.StatusOK, a)
}

// check counts the violations of a call.
func (s *Service) countViolations(r *http.Request, body []byte) {
	keySeen := serve.ContainsAPIKey(r, body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if keySeen {
		s.violations.APIKeySeen++
	}
	if r.Header.Get(AccountHeader) == "" {
		s.violations.AccountMissing++
	}
}

func (s *Service) refuse(w http.ResponseWriter, faults Faults) bool {
	if faults.Leaving {
		w.Header().Set(LeavingHeader, "true")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return true
	}
	if s.faults.Consume(func(f *Faults) *int { return &f.RefuseCalls }) {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return true
	}
	return false
}

func (s *Service) currentBootCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bootCount
}

// run runs the call, unless the service has died since the call came in at
// boot; then it returns nil.
func (s *Service) execute(r *http.Request, body []byte, boot int) *Response {
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
	if s.bootCount != boot {
		return nil
	}
	s.runs = append(s.runs, run)
	return run.response(len(s.runs))
}

// dieOrLose loses the answer after a run if a knob says so.
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
