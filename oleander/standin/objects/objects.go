// Package objects is a stand-in for the platform's object store. It implements
// the part of the S3 protocol that the client uses: PUT, GET and HEAD of an object
// and the location of a bucket. Buckets need not be created.
package objects

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/xml"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"oleanderdale.org/oleander/standin/internal/serve"
)

const (
	maxObjectBytes  = 256 << 20
	sha256Header    = "X-Amz-Content-Sha256"
	streamingPrefix = "STREAMING-"
	unsignedPayload = "UNSIGNED-PAYLOAD"
)

// Faults are the faults that the stand-in injects.
type Faults struct {
	// Down closes the connection of every request, which has no effect.
	Down bool `json:"down"`
	// BlockedAccessKeys lists access keys. Requests signed with them are treated
	// as if Down were set. With one access key for each availability zone, it
	// makes the store unreachable from chosen zones.
	BlockedAccessKeys []string `json:"cut_off"`
	// Delay delays every request, before it takes effect.
	Delay time.Duration `json:"slow"`
	// LoseResponses counts the next PUTs that take effect and whose connection
	// is closed without a response.
	LoseResponses int `json:"lose_answers"`
	// InternalErrors counts the next requests that are answered with status 500
	// and have no effect.
	InternalErrors int `json:"internal_errors"`
	// CorruptBodies counts the next GETs whose response has one bit flipped.
	CorruptBodies int `json:"damage"`
	// TruncateBodies counts the next GETs whose response ends after half of the
	// body.
	TruncateBodies int `json:"truncate"`
	// ExtraBytes is the number of bytes appended to the body of each GET.
	ExtraBytes int `json:"oversized"`
}

// Counts counts the requests executed since the start.
type Counts struct {
	Gets    uint64 `json:"gets"`
	Puts    uint64 `json:"puts"`
	Objects int    `json:"objects"` // stored objects
}

// CountsPath is the path that returns the Counts in JSON.
const CountsPath = "/counts"

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	faults serve.FaultSettings[Faults]
	server serve.Server
	router *mux.Router

	mu      sync.Mutex
	objects map[string]object // by "bucket/name"
	counts  Counts
}

type object struct {
	body       []byte
	modifiedAt time.Time
}

// New returns an empty store.
func New() *Store {
	s := &Store{router: mux.NewRouter().SkipClean(true), objects: make(map[string]object)}
	s.router.Handle(serve.FaultsPath, &s.faults)
	s.router.HandleFunc(CountsPath, s.serveCounts).Methods(http.MethodGet)
	s.router.HandleFunc("/{bucket}/{name:.*}", s.serveObject)
	return s
}

// Faults returns the current fault settings.
func (s *Store) Faults() Faults { return s.faults.Get() }

// SetFaults replaces the fault settings.
func (s *Store) SetFaults(f Faults) { s.faults.Set(f) }

// UpdateFaults calls change with a pointer to the current fault settings.
func (s *Store) UpdateFaults(change func(*Faults)) { s.faults.Update(change) }

// Counts returns the number of requests executed so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Objects = len(s.objects)
	return c
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Serve serves requests on l until Close.
func (s *Store) Serve(l net.Listener) error { return s.server.Serve(l, s) }

// Close closes all listeners and connections.
func (s *Store) Close() error { return s.server.Close() }

func (s *Store) serveCounts(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, s.Counts())
}

func (s *Store) serveObject(w http.ResponseWriter, r *http.Request) {
	faults := s.faults.Get()
	if faults.Down || slices.Contains(faults.BlockedAccessKeys, serve.AccessKey(r)) {
		serve.Abort()
	}
	s.server.Sleep(faults.Delay)
	if s.faults.Consume(func(f *Faults) *int { return &f.InternalErrors }) {
		writeError(w, http.StatusInternalServerError, "InternalError")
		return
	}
	vars := mux.Vars(r)
	name := vars["bucket"] + "/" + vars["name"]
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("location"):
		writeXML(w, http.StatusOK, locationResult{})
	case r.Method == http.MethodPut:
		s.putObject(w, r, name)
	case r.Method == http.MethodGet || r.Method == http.MethodHead:
		s.getObject(w, r, name)
	default:
		writeError(w, http.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (s *Store) putObject(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		serve.Abort()
	}
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	switch claimed := r.Header.Get(sha256Header); {
	case strings.HasPrefix(claimed, streamingPrefix):
		writeError(w, http.StatusNotImplemented, "NotImplemented")
		return
	case claimed != unsignedPayload && claimed != digest:
		writeError(w, http.StatusBadRequest, "XAmzContentSHA256Mismatch")
		return
	}
	s.storeObject(name, body)
	if s.faults.Consume(func(f *Faults) *int { return &f.LoseResponses }) {
		serve.Abort()
	}
	w.Header().Set("ETag", strconv.Quote(digest))
	w.WriteHeader(http.StatusOK)
}

func (s *Store) storeObject(name string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = object{body: body, modifiedAt: time.Now()}
	s.counts.Puts++
}

func (s *Store) getObject(w http.ResponseWriter, r *http.Request, name string) {
	s.mu.Lock()
	stored, ok := s.objects[name]
	s.counts.Gets++
	s.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "NoSuchKey")
		return
	}
	body := s.applyBodyFaults(stored.body)
	w.Header().Set("ETag", strconv.Quote(strconv.Itoa(len(body))))
	w.Header().Set("Last-Modified", stored.modifiedAt.UTC().Format(http.TimeFormat))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if r.Method == http.MethodHead {
		return
	}
	if s.faults.Consume(func(f *Faults) *int { return &f.TruncateBodies }) {
		body = body[:len(body)/2]
	}
	// A write error only means that the client has disconnected.
	_, _ = w.Write(body)
}

// applyBodyFaults returns the body with the injected faults applied.
func (s *Store) applyBodyFaults(body []byte) []byte {
	if n := s.faults.Get().ExtraBytes; n > 0 {
		body = append(bytes.Clone(body), make([]byte, n)...)
	}
	if len(body) > 0 && s.faults.Consume(func(f *Faults) *int { return &f.CorruptBodies }) {
		body = bytes.Clone(body)
		body[len(body)/2] ^= 1
	}
	return body
}

// locationResult is the response to a request for the location of a bucket; empty
// means the default region.
type locationResult struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ LocationConstraint"`
}

type errorBody struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

func writeError(w http.ResponseWriter, status int, code string) {
	writeXML(w, status, errorBody{Code: code, Message: code})
}

func writeXML(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	// A write error only means that the client has disconnected.
	_ = xml.NewEncoder(w).Encode(v)
}
