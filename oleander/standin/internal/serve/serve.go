// Package serve holds what all stand-ins share: fault knobs with their HTTP
// endpoint, a server that can be closed, and JSON helpers.
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

// FaultsPath is where every stand-in shows and takes its fault knobs.
const FaultsPath = "/faults"

// maxFaultsBody bounds a POST to FaultsPath, in bytes.
const maxFaultsBodyBytes = 64 << 10

// Knobs holds the fault knobs of a stand-in. The zero value has none set.
type FaultSettings[F any] struct {
	mu    sync.Mutex
	value F
}

// Get returns the knobs as they are.
func (k *FaultSettings[F]) Get() F {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.value
}

// Set replaces the knobs.
func (k *FaultSettings[F]) Set(f F) { k.Update(func(old *F) { *old = f }) }

// Update changes the knobs in place.
func (k *FaultSettings[F]) Update(change func(*F)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(&k.value)
}

// Take uses up one of the counted faults that count points at, and reports
// whether there was one.
func (k *FaultSettings[F]) Consume(count func(*F) *int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := count(&k.value)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// ServeHTTP shows the knobs on GET; on POST it sets those that the JSON body
// names and keeps the others. An unknown knob is answered with 400.
func (k *FaultSettings[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodPost:
		if err := k.mergeJSON(w, r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	default:
		http.Error(w, "GET or POST only", http.StatusMethodNotAllowed)
		return
	}
	WriteJSON(w, http.StatusOK, k.Get())
}

func (k *FaultSettings[F]) mergeJSON(w http.ResponseWriter, r *http.Request) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	merged := k.value
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&merged); err != nil {
		return errors.Wrap(err, "decode fault knobs")
	}
	k.value = merged
	return nil
}

// Server runs the HTTP servers of a stand-in until Close. The zero value is
// ready.
type Server struct {
	mu      sync.Mutex
	closed  bool
	done    chan struct{}
	running map[*http.Server]struct{}
}

// Done is closed by Close.
func (s *Server) Done() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doneLocked()
}

func (s *Server) doneLocked() chan struct{} {
	if s.done == nil {
		s.done = make(chan struct{})
	}
	return s.done
}

// Serve answers on l until Close or Drop, and then returns nil.
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

// ServeAgain answers on l like Serve. After each Drop it waits for as long as
// away says, and then listens again at the same address, until Close.
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

// listenPause is the time between two tries to listen again.
const listenRetryInterval = 10 * time.Millisecond

// listen tries until the address is free; it returns nil after Close.
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

// Drop closes all listeners and connections at once; Serve may be called again.
func (s *Server) Interrupt() {
	s.mu.Lock()
	servers := s.running
	s.running = nil
	s.mu.Unlock()
	for srv := range servers {
		srv.Close()
	}
}

// Close closes all listeners and connections for good.
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

// Sleep waits for d, or less if the server is closed.
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

// Abort ends the request by closing its connection without an answer.
func Abort() { panic(http.ErrAbortHandler) }

// keyPrefix starts each caller's key.
const apiKeyPrefix = "odk_"

// HoldsKey reports whether a header, the path, the query or the body of r holds
// what looks like a caller's key. No backend server may ever see one.
func ContainsAPIKey(r *http.Request, body []byte) bool {
	// An escape that can't be undone hides no key: the raw form is checked too.
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

// accessKeyInHeader finds the access key in a signature of version 4.
var credentialPattern = regexp.MustCompile(`Credential=([^/,\s]+)/`)

// AccessKey returns the access key that r is signed with, or "".
func AccessKey(r *http.Request) string {
	m := credentialPattern.FindStringSubmatch(r.Header.Get("Authorization"))
	if m == nil {
		return ""
	}
	return m[1]
}

// JSON answers with v in JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(v)
}
