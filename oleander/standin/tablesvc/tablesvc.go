// Package tablesvc is a stand-in for the platform's table service. It speaks
// the part of the DynamoDB HTTP protocol that the client uses: BatchGetItem,
// Query and TransactWriteItems, over one table kept in memory. All operations
// are serialisable.
//
// GET /counts shows what was read and written; /faults has the fault knobs.
package tablesvc

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"oleanderdale.org/oleander/standin/internal/serve"
)

// CountsPath shows the Counts in JSON.
const CountsPath = "/counts"

const (
	targetHeader    = "X-Amz-Target"
	targetPrefix    = "DynamoDB_20120810."
	contentType     = "application/x-amz-json-1.0"
	maxRequestBytes = 20 << 20 // bytes
	oversizedBytes  = 24 << 20 // bytes; beyond what any client should read
	malformedBody   = `{"Responses": [not json`
)

// Faults are the fault knobs.
type Faults struct {
	// Down closes the connection of every operation, which has no effect.
	Down bool `json:"down"`
	// CutOff lists access keys: what they sign is treated as if Down were set.
	// With one access key an availability zone, it cuts off zones.
	BlockedAccessKeys []string `json:"cut_off"`
	// Slow delays every operation; it takes effect after the delay even if the
	// client has given up by then.
	Delay time.Duration `json:"slow"`
	// LoseAnswers counts the next transactions that take effect and whose
	// connection is closed in place of the answer.
	LoseResponses int `json:"lose_answers"`
	// LoseRequests counts the next transactions whose connection is closed
	// without an effect.
	LoseRequests int `json:"lose_requests"`
	// Throttle counts the next operations that are refused as throttled.
	Throttle int `json:"throttle"`
	// WritesPerSecond and ReadsPerSecond refuse as throttled what goes beyond
	// so many rows in a second, with a burst of one second; 0 means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// InternalErrors counts the next operations that take effect and are
	// answered with status 500.
	InternalErrors int `json:"internal_errors"`
	// StaleFor is how far reads lag that don't ask for consistency.
	StaleReadLag time.Duration `json:"stale_for"`
	// Garbage counts the next answers that are no JSON, after the effect.
	MalformedResponses int `json:"garbage"`
	// Oversized counts the next answers that are longer than the protocol
	// allows, after the effect.
	OversizedResponses int `json:"oversized"`
	// PageRows ends each page of a Query, and each batch, after so many rows;
	// 0 means no limit.
	MaxPageRows int `json:"page_rows"`
}

// Counts tells what was carried out since the start.
type Counts struct {
	RowReads      uint64 `json:"reads"`         // rows asked for by key
	Queries       uint64 `json:"queries"`       // pages of Query
	QueriedRows   uint64 `json:"rows"`          // rows that queries returned
	Transactions  uint64 `json:"transactions"`  // committed
	Writes        uint64 `json:"writes"`        // rows put or deleted by them
	Conflicts     uint64 `json:"conflicts"`     // transactions refused by a condition
	EventualReads uint64 `json:"inconsistent"`  // reads that did not ask for consistency
	Throttled     uint64 `json:"throttled"`     // operations beyond the rates per second
	LostResponses uint64 `json:"lost_answers"`  // by LoseAnswers
	LostRequests  uint64 `json:"lost_requests"` // by LoseRequests
}

// Table is the stand-in. It is safe for concurrent use.
type Table struct {
	faults serve.FaultSettings[Faults]
	server serve.Server
	router *mux.Router

	mu          sync.Mutex
	rows        map[rowKey]*history
	counts      Counts
	readTokens  tokenBucket
	writeTokens tokenBucket
}

// New returns an empty table.
func New() *Table {
	t := &Table{router: mux.NewRouter(), rows: make(map[rowKey]*history)}
	t.router.Handle(serve.FaultsPath, &t.faults)
	t.router.HandleFunc(CountsPath, t.serveCounts).Methods(http.MethodGet)
	t.router.HandleFunc("/", t.serveOperation).Methods(http.MethodPost)
	return t
}

// Faults returns the fault knobs as they are.
func (t *Table) Faults() Faults { return t.faults.Get() }

// SetFaults replaces the fault knobs.
func (t *Table) SetFaults(f Faults) { t.faults.Set(f) }

// UpdateFaults changes the fault knobs in place.
func (t *Table) UpdateFaults(change func(*Faults)) { t.faults.Update(change) }

// Counts tells what was carried out.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// ServeHTTP implements http.Handler.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.router.ServeHTTP(w, r) }

// Serve answers on l until Close.
func (t *Table) Serve(l net.Listener) error { return t.server.Serve(l, t) }

// Close closes all listeners and connections.
func (t *Table) Close() error { return t.server.Close() }

func (t *Table) serveCounts(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, t.Counts())
}

func (t *Table) serveOperation(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		serve.Abort()
	}
	faults := t.faults.Get()
	if faults.Down || slices.Contains(faults.BlockedAccessKeys, serve.AccessKey(r)) {
		serve.Abort()
	}
	t.server.Sleep(faults.Delay)
	if t.faults.Consume(func(f *Faults) *int { return &f.Throttle }) {
		writeResponse(w, nil, &serviceError{kind: errThrottled, message: "rate exceeded"})
		return
	}
	t.executeOperation(w, strings.TrimPrefix(r.Header.Get(targetHeader), targetPrefix), body)
}

func (t *Table) executeOperation(w http.ResponseWriter, op string, body []byte) {
	var result any
	var svcErr *serviceError
	switch op {
	case "BatchGetItem":
		result, svcErr = decodeAndExecute(body, t.batchGet)
	case "Query":
		result, svcErr = decodeAndExecute(body, t.query)
	case "TransactWriteItems":
		t.loseRequest()
		if result, svcErr = decodeAndExecute(body, t.transactWrite); svcErr == nil {
			t.loseResponse()
		}
	default:
		svcErr = &serviceError{kind: errUnknownOperation, message: "operation is not part of this stand-in"}
	}
	if !t.writeFaultyResponse(w) {
		writeResponse(w, result, svcErr)
	}
}

func decodeAndExecute[In, Out any](body []byte, execute func(In) (Out, *serviceError)) (any, *serviceError) {
	var in In
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, &serviceError{kind: errSerialization, message: err.Error()}
	}
	return execute(in)
}

func (t *Table) loseRequest() {
	if t.faults.Consume(func(f *Faults) *int { return &f.LoseRequests }) {
		t.updateCounts(func(c *Counts) { c.LostRequests++ })
		serve.Abort()
	}
}

func (t *Table) loseResponse() {
	if t.faults.Consume(func(f *Faults) *int { return &f.LoseResponses }) {
		t.updateCounts(func(c *Counts) { c.LostResponses++ })
		serve.Abort()
	}
}

func (t *Table) updateCounts(change func(*Counts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.counts)
}

// spoilAnswer gives a bad answer in place of the right one if a knob says so.
func (t *Table) writeFaultyResponse(w http.ResponseWriter) bool {
	var body []byte
	switch {
	case t.faults.Consume(func(f *Faults) *int { return &f.InternalErrors }):
		writeResponse(w, nil, &serviceError{kind: errInternal, message: "internal error", status: http.StatusInternalServerError})
		return true
	case t.faults.Consume(func(f *Faults) *int { return &f.MalformedResponses }):
		body = []byte(malformedBody)
	case t.faults.Consume(func(f *Faults) *int { return &f.OversizedResponses }):
		body = make([]byte, oversizedBytes)
		for i := range body {
			body[i] = ' '
		}
	default:
		return false
	}
	w.Header().Set("Content-Type", contentType)
	// The client may be gone; there is nobody left to tell.
	_, _ = w.Write(body)
	return true
}
