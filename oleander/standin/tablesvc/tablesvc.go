// Package tablesvc is a stand-in for the platform's table service. It implements
// the part of the DynamoDB HTTP protocol that the client uses: BatchGetItem,
// Query and TransactWriteItems, on one table in memory. All operations are
// serializable.
//
// GET /counts returns the numbers of reads and writes; /faults serves the fault
// settings.
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

// CountsPath is the path that returns the Counts in JSON.
const CountsPath = "/counts"

const (
	targetHeader    = "X-Amz-Target"
	targetPrefix    = "DynamoDB_20120810."
	contentType     = "application/x-amz-json-1.0"
	maxRequestBytes = 20 << 20
	oversizedBytes  = 24 << 20 // above the size at which a client must stop reading
	malformedBody   = `{"Responses": [not json`
)

// Faults are the faults that the stand-in injects.
type Faults struct {
	// Down closes the connection of every operation, which has no effect.
	Down bool `json:"down"`
	// BlockedAccessKeys lists access keys. Requests signed with them are treated
	// as if Down were set. With one access key for each availability zone, it
	// makes the table unreachable from chosen zones.
	BlockedAccessKeys []string `json:"cut_off"`
	// Delay delays every operation before it takes effect. The operation takes
	// effect even if the client disconnects during the delay.
	Delay time.Duration `json:"slow"`
	// LoseResponses counts the next transactions that take effect and whose
	// connection is closed without a response.
	LoseResponses int `json:"lose_answers"`
	// LoseRequests counts the next transactions whose connection is closed and
	// that have no effect.
	LoseRequests int `json:"lose_requests"`
	// Throttle counts the next operations that are refused with a throttling
	// error.
	Throttle int `json:"throttle"`
	// WritesPerSecond and ReadsPerSecond are the maximum rates, in rows, with a
	// burst of one second. Operations beyond them are refused with a throttling
	// error; 0 means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// InternalErrors counts the next operations that take effect and whose
	// response has status 500.
	InternalErrors int `json:"internal_errors"`
	// StaleReadLag is the lag of eventually consistent reads.
	StaleReadLag time.Duration `json:"stale_for"`
	// MalformedResponses counts the next operations that take effect and whose
	// response is not valid JSON.
	MalformedResponses int `json:"garbage"`
	// OversizedResponses counts the next operations that take effect and whose
	// response is longer than the protocol allows.
	OversizedResponses int `json:"oversized"`
	// MaxPageRows is the maximum number of rows in a page of a Query and of keys
	// processed in a BatchGetItem; 0 means no limit.
	MaxPageRows int `json:"page_rows"`
}

// Counts counts the operations executed since the start.
type Counts struct {
	RowReads      uint64 `json:"reads"`         // rows requested by key
	Queries       uint64 `json:"queries"`       // pages of Query
	QueriedRows   uint64 `json:"rows"`          // rows that queries returned
	Transactions  uint64 `json:"transactions"`  // committed
	Writes        uint64 `json:"writes"`        // rows put or deleted by committed transactions
	Conflicts     uint64 `json:"conflicts"`     // transactions canceled because a condition was false
	EventualReads uint64 `json:"inconsistent"`  // eventually consistent reads
	Throttled     uint64 `json:"throttled"`     // operations refused by WritesPerSecond or ReadsPerSecond
	LostResponses uint64 `json:"lost_answers"`  // responses lost by LoseResponses
	LostRequests  uint64 `json:"lost_requests"` // requests lost by LoseRequests
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

// Faults returns the current fault settings.
func (t *Table) Faults() Faults { return t.faults.Get() }

// SetFaults replaces the fault settings.
func (t *Table) SetFaults(f Faults) { t.faults.Set(f) }

// UpdateFaults calls change with a pointer to the current fault settings.
func (t *Table) UpdateFaults(change func(*Faults)) { t.faults.Update(change) }

// Counts returns the number of operations executed so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// ServeHTTP implements http.Handler.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.router.ServeHTTP(w, r) }

// Serve serves requests on l until Close.
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

// executeOperation executes an operation and writes its response, with the
// injected faults.
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
		svcErr = &serviceError{kind: errUnknownOperation, message: "operation is not supported by the stand-in"}
	}
	if !t.writeFaultyResponse(w) {
		writeResponse(w, result, svcErr)
	}
}

// decodeAndExecute decodes the body of an operation and executes it.
func decodeAndExecute[In, Out any](body []byte, execute func(In) (Out, *serviceError)) (any, *serviceError) {
	var in In
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, &serviceError{kind: errSerialization, message: err.Error()}
	}
	return execute(in)
}

// loseRequest closes the connection before the effect if the faults say so.
func (t *Table) loseRequest() {
	if t.faults.Consume(func(f *Faults) *int { return &f.LoseRequests }) {
		t.updateCounts(func(c *Counts) { c.LostRequests++ })
		serve.Abort()
	}
}

// loseResponse closes the connection after the effect if the faults say so.
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

// writeFaultyResponse writes an error or an invalid response instead of the correct
// one if the faults say so, and reports whether it did.
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
	// A write error only means that the client has disconnected.
	_, _ = w.Write(body)
	return true
}
