// Package serve holds code shared by all stand-ins: fault settings with their
// HTTP endpoint, an HTTP server that can be interrupted and closed, and helpers
// for requests and responses.
package serve

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// FaultsPath is the path at which the fault settings of a stand-in are read and
// changed.
const FaultsPath = "/faults"

// maxFaultsBodyBytes limits the body of a POST to FaultsPath.
const maxFaultsBodyBytes = 64 << 10

// FaultSettings holds the fault settings of a stand-in, a struct F, and serves
// them over HTTP. It is safe for concurrent use. The zero value injects no
// faults.
type FaultSettings[F any] struct {
	mu    sync.Mutex
	value F
}

// Get returns the current settings.
func (s *FaultSettings[F]) Get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// Set replaces the settings.
func (s *FaultSettings[F]) Set(f F) { s.Update(func(old *F) { *old = f }) }

// Update calls change with a pointer to the current settings.
func (s *FaultSettings[F]) Update(change func(*F)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.value)
}

// Consume decrements the counter that count selects if it is positive, and
// reports whether it did, that is, whether the fault is to be injected now.
func (s *FaultSettings[F]) Consume(count func(*F) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := count(&s.value)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// ServeHTTP returns the settings in response to GET. POST changes the fields that
// the JSON body names and leaves the others; an unknown field is answered with
// status 400.
func (s *FaultSettings[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodPost:
		if err := s.mergeJSON(w, r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	default:
		http.Error(w, "method not allowed: use GET or POST", http.StatusMethodNotAllowed)
		return
	}
	WriteJSON(w, http.StatusOK, s.Get())
}

func (s *FaultSettings[F]) mergeJSON(w http.ResponseWriter, r *http.Request) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	merged := s.value
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&merged); err != nil {
		return errors.Wrap(err, "decode fault settings")
	}
	s.value = merged
	return nil
}

// Server runs the HTTP servers of a stand-in, one for each listener, until Close.
// The zero value is ready to use.
type Server struct {
	mu      sync.Mutex
	closed  bool
	done    chan struct{}
	running map[*http.Server]struct{}
}

// Done returns a channel that is closed by Close.
func (s *Server) Done() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doneLocked()
}

// doneLocked must be called with the lock held.
func (s *Server) doneLocked() chan struct{} {
	if s.done == nil {
		s.done = make(chan struct{})
	}
	return s.done
}

// Serve serves h on l until Close or Interrupt, and then returns nil.
func (s *Server) Serve(l net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h}
	if !s.add(srv) {
		return l.Close()
	}
	err := srv.Serve(l)
	s.remove(srv)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// add registers srv. It returns false if the server is closed.
func (s *Server) add(srv *http.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.running == nil {
		s.running = make(map[*http.Server]struct{})
	}
	s.running[srv] = struct{}{}
	return true
}

func (s *Server) remove(srv *http.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, srv)
}

// ServeWithRestarts serves h on l like Serve. After each Interrupt it waits for
// downtime() and then listens on the same address again, until Close.
func (s *Server) ServeWithRestarts(l net.Listener, h http.Handler, downtime func() time.Duration) error {
	addr := l.Addr().String()
	for {
		if err := s.Serve(l, h); err != nil {
			return err
		}
		s.Sleep(downtime())
		var err error
		if l, err = s.listenWithRetry(addr); l == nil {
			return err
		}
	}
}

// listenRetryInterval is the time between two attempts to listen on an address
// that is still in use.
const listenRetryInterval = 10 * time.Millisecond

// listenWithRetry listens on addr as soon as the address is free. It returns no
// listener and no error after Close.
func (s *Server) listenWithRetry(addr string) (net.Listener, error) {
	for {
		select {
		case <-s.Done():
			return nil, nil
		default:
		}
		l, err := net.Listen("tcp", addr)
		if err == nil {
			return l, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, errors.Wrap(err, "listen again")
		}
		s.Sleep(listenRetryInterval)
	}
}

// Interrupt closes all listeners and connections at once. Serve may be called
// again.
func (s *Server) Interrupt() {
	s.mu.Lock()
	servers := s.running
	s.running = nil
	s.mu.Unlock()
	for srv := range servers {
		srv.Close()
	}
}

// Close closes all listeners and connections permanently.
func (s *Server) Close() error {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.doneLocked())
	}
	s.mu.Unlock()
	s.Interrupt()
	return nil
}

// Sleep returns after d, or earlier when the server is closed.
func (s *Server) Sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.Done():
	}
}

// Abort ends the handler of a request and closes its connection without a
// response.
func Abort() { panic(http.ErrAbortHandler) }

// apiKeyPrefix is the prefix of every caller's API key.
const apiKeyPrefix = "odk_"

// ContainsAPIKey reports whether a header, the path, the query or the body of r
// contains the prefix of a caller's API key. A caller's key must never reach a
// backend server.
func ContainsAPIKey(r *http.Request, body []byte) bool {
	// The error is ignored: RequestURI, which has the raw query, is checked too.
	query, _ := url.QueryUnescape(r.URL.RawQuery)
	for _, s := range []string{r.RequestURI, r.URL.Path, query} {
		if strings.Contains(s, apiKeyPrefix) {
			return true
		}
	}
	for name, values := range r.Header {
		if strings.Contains(name+"\n"+strings.Join(values, "\n"), apiKeyPrefix) {
			return true
		}
	}
	return bytes.Contains(body, []byte(apiKeyPrefix))
}

// credentialPattern matches the access key in the Authorization header of an AWS
// Signature Version 4 request.
var credentialPattern = regexp.MustCompile(`Credential=([^/,\s]+)/`)

// AccessKey returns the access key that r is signed with, or "" if it is not
// signed.
func AccessKey(r *http.Request) string {
	m := credentialPattern.FindStringSubmatch(r.Header.Get("Authorization"))
	if m == nil {
		return ""
	}
	return m[1]
}

// WriteJSON writes a response with v as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error only means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
