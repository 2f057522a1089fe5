package tablesvc_test

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
	"oleanderdale.org/oleander/clients/tablesvc"
	"oleanderdale.org/oleander/internal/testutil"
	standin "oleanderdale.org/oleander/standin/tablesvc"
)

const (
	tableName    = "oleanderdale"
	shortTimeout = 500 * time.Millisecond // for services that respond later than this
)

// harness is a client with a simulated table service.
type harness struct {
	*tablesvc.Client
	service  *standin.Table
	url      string
	requests atomic.Int64 // requests received by the service
}

func newHarness(t *testing.T, timeout time.Duration) *harness {
	t.Helper()
	h := &harness{service: standin.New()}
	h.url = testutil.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.requests.Add(1)
		h.service.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { h.service.Close() })
	h.Client = newClient(t, h.url, timeout)
	return h
}

func newClient(t *testing.T, url string, timeout time.Duration) *tablesvc.Client {
	t.Helper()
	c, err := tablesvc.New(tablesvc.Settings{
		Endpoint: url, Region: "local", Table: tableName,
		AccessKey: "zone-a", SecretKey: "secret", Timeout: timeout,
		OnOperationEnd: func(o tablesvc.Observation) { t.Logf("%s: %v", o.Op, o.Err) },
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

var headKey = table.Key{Kind: table.KindHead, ID: table.HeadID}

func headWrite(expect uint64) table.Write {
	return table.Write{Key: headKey, Expect: expect, Body: table.Head{Version: 7}}
}

// headVersion returns the version of the head row, or 0 if there is no such row.
func (h *harness) headVersion(t *testing.T) uint64 {
	t.Helper()
	rows, outcome := newClient(t, h.url, testutil.Timeout).Read(context.Background(), []table.Key{headKey})
	if outcome != table.Done {
		t.Fatalf("read back: %v", outcome)
	}
	if len(rows) == 0 {
		return 0
	}
	return rows[0].Version
}

func TestRoundTripOfEveryKind(t *testing.T) {
	h := newHarness(t, testutil.Timeout)
	bodies := map[string]table.Body{
		"session": table.Session{Instance: "i", Zone: "z", Address: "127.0.0.1:1", Fencing: 3, Term: time.Second, State: table.SessionLive},
		"slot":    table.Slot{Zone: "z", Index: 2, Holder: "i", Fencing: 3},
		"backend": table.Backend{Name: "b", Bytes: 5, Reservations: []table.Reservation{{Artifact: "m:a", Order: "o", Bytes: 1, State: table.Decided}}},
		"replica": table.Replica{Zone: "z", Artifact: "m", Decided: []id.Backend{"b"}},
		"head":    table.Head{Version: 9},
		"version": table.Version{Version: 9, ApplyID: "a", Change: []byte{0, 1, 255}},
		"once":    table.Once{Account: "c", Key: "k", State: table.OnceDone, Status: 200, Body: []byte("done")},
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			key := table.Key{Kind: table.KindOf(body), ID: "z/1"}
			if outcome := h.Commit(context.Background(), []table.Write{{Key: key, Body: body}}); outcome != table.Done {
				t.Fatalf("commit: %v", outcome)
			}
			rows, outcome := h.Read(context.Background(), []table.Key{key, key})
			want := []table.Row{{Key: key, Version: 1, Body: body}}
			if outcome != table.Done || !reflect.DeepEqual(rows, want) {
				t.Fatalf("read %v, %+v; want %+v", outcome, rows, want)
			}
		})
	}
}

// A transaction in which any condition fails has the outcome Conflict, and none of
// its writes take effect, including those whose own condition holds.
func TestWriteConditions(t *testing.T) {
	other := table.Key{Kind: table.KindSlot, ID: "z/0"}
	tests := []struct {
		name  string
		write table.Write
		want  table.Outcome
	}{
		{"created twice", headWrite(0), table.Conflict},
		{"outdated version", headWrite(1), table.Conflict},
		{"newer version", headWrite(3), table.Conflict},
		{"current version", headWrite(2), table.Done},
		{"check of an outdated version", table.Write{Key: headKey, Expect: 1, Check: true}, table.Conflict},
		{"check of absence", table.Write{Key: headKey, Check: true}, table.Conflict},
		{"check of the current version", table.Write{Key: headKey, Expect: 2, Check: true}, table.Done},
		{"delete of an outdated version", table.Write{Key: headKey, Expect: 1, Delete: true}, table.Conflict},
		{"delete of the current version", table.Write{Key: headKey, Expect: 2, Delete: true}, table.Done},
		{"body of another kind", table.Write{Key: headKey, Expect: 2, Body: table.Slot{}}, table.NotExecuted},
		{"two writes of one row", table.Write{Key: other, Body: table.Slot{}}, table.NotExecuted},
		{"no body", table.Write{Key: headKey, Expect: 2}, table.NotExecuted},
		{"oversized body", table.Write{Key: table.Key{Kind: table.KindVersion, ID: "9"}, Body: table.Version{Change: make([]byte, tablesvc.MaxBodySize)}}, table.NotExecuted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, testutil.Timeout)
			ctx := context.Background()
			for v := range uint64(2) {
				if outcome := h.Commit(ctx, []table.Write{headWrite(v)}); outcome != table.Done {
					t.Fatalf("prepare: %v", outcome)
				}
			}
			outcome := h.Commit(ctx, []table.Write{{Key: other, Body: table.Slot{Zone: "z"}}, test.write})
			if outcome != test.want {
				t.Errorf("commit: %v, want %v", outcome, test.want)
			}
			rows, _ := h.Read(ctx, []table.Key{other})
			if tookEffect := len(rows) == 1; tookEffect != (test.want == table.Done) {
				t.Errorf("the other write of the transaction took effect: %v", tookEffect)
			}
		})
	}
}

// faultCases lists faults that give an operation the outcome Unknown.
var faultCases = []struct {
	name        string
	faults      standin.Faults
	timeout     time.Duration
	takesEffect bool // a commit takes effect
}{
	{"down", standin.Faults{Down: true}, testutil.Timeout, false},
	{"cut off", standin.Faults{BlockedAccessKeys: []string{"zone-a"}}, testutil.Timeout, false},
	{"response lost after the commit", standin.Faults{LoseResponses: 1}, testutil.Timeout, true},
	{"request lost", standin.Faults{LoseRequests: 1}, testutil.Timeout, false},
	{"slower than the timeout", standin.Faults{Delay: 4 * shortTimeout}, shortTimeout, true},
	{"throttled", standin.Faults{Throttle: 1}, testutil.Timeout, false},
	{"internal error after the commit", standin.Faults{InternalErrors: 1}, testutil.Timeout, true},
	{"garbage after the commit", standin.Faults{MalformedResponses: 1}, testutil.Timeout, true},
	{"oversized after the commit", standin.Faults{OversizedResponses: 1}, testutil.Timeout, true},
}

// A commit has the outcome Unknown whenever the request may have reached the
// service. The client must not send the request again: a write that took effect
// would conflict with itself.
func TestCommitFaults(t *testing.T) {
	for _, test := range faultCases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.timeout)
			h.service.SetFaults(test.faults)
			if outcome := h.Commit(context.Background(), []table.Write{headWrite(0)}); outcome != table.Unknown {
				t.Errorf("commit: %v, want unknown", outcome)
			}
			if n := h.requests.Load(); n != 1 {
				t.Errorf("%d requests for one commit", n)
			}
			if test.takesEffect {
				testutil.WaitFor(t, func() bool { return h.service.Counts().Transactions == 1 })
			}
			h.service.SetFaults(standin.Faults{})
			if effect := h.headVersion(t) == 1; effect != test.takesEffect {
				t.Errorf("took effect: %v, want %v", effect, test.takesEffect)
			}
		})
	}
}

// The service closes a reused connection just as the next commit arrives. net/http
// would retry some requests in this case; the outcome must be Unknown after exactly
// one request.
func TestCommitOnReusedConnectionIsSentOnce(t *testing.T) {
	h := newHarness(t, testutil.Timeout)
	h.headVersion(t)
	if _, outcome := h.Read(context.Background(), []table.Key{headKey}); outcome != table.Done {
		t.Fatal(outcome)
	}
	before := h.requests.Load()
	h.service.SetFaults(standin.Faults{LoseResponses: 1})
	if outcome := h.Commit(context.Background(), []table.Write{headWrite(0)}); outcome != table.Unknown {
		t.Errorf("commit: %v, want unknown", outcome)
	}
	if n := h.requests.Load() - before; n != 1 {
		t.Errorf("%d requests for one commit", n)
	}
}

// If the connection is refused, no byte can have been sent. The outcome is NotExecuted,
// and the caller may retry without reading the rows first.
func TestConnectionRefused(t *testing.T) {
	url := "http://" + testutil.ClosedAddress(t)
	c := newClient(t, url, testutil.Timeout)
	if outcome := c.Commit(context.Background(), []table.Write{headWrite(0)}); outcome != table.NotExecuted {
		t.Errorf("commit: %v", outcome)
	}
	if _, outcome := c.Read(context.Background(), []table.Key{headKey}); outcome != table.NotExecuted {
		t.Errorf("read: %v", outcome)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if _, outcome := c.Scan(cancelled, table.KindHead, ""); outcome != table.NotExecuted {
		t.Errorf("scan: %v", outcome)
	}
}

// A failed read has the outcome Unknown and returns no rows at all.
func TestReadFaults(t *testing.T) {
	for _, test := range faultCases {
		if test.faults.LoseResponses+test.faults.LoseRequests > 0 {
			continue // these faults affect only transactions
		}
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.timeout)
			h.expectUnknown(t, func() { h.service.SetFaults(test.faults) })
		})
	}
}

// expectUnknown reads and scans the head row, calling prepare before each, and
// expects the outcome Unknown.
func (h *harness) expectUnknown(t *testing.T, prepare func()) {
	t.Helper()
	prepare()
	if rows, outcome := h.Read(context.Background(), []table.Key{headKey}); outcome != table.Unknown || rows != nil {
		t.Errorf("read: %v, %v", outcome, rows)
	}
	prepare()
	if rows, outcome := h.Scan(context.Background(), table.KindHead, ""); outcome != table.Unknown || rows != nil {
		t.Errorf("scan: %v, %v", outcome, rows)
	}
}

// Reading a malformed row has the outcome Unknown. Using only the part of it that
// can be decoded could free memory that is still reserved.
func TestMalformedRows(t *testing.T) {
	tests := []struct{ name, row string }{
		{"body is not JSON", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"N":"1"},"body":{"S":"{"}}`},
		{"unknown field", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"N":"1"},"body":{"S":"{\"version\":1,\"x\":1}"}}`},
		{"data after the body", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"N":"1"},"body":{"S":"{} {}"}}`},
		{"wrong type in the body", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"N":"1"},"body":{"S":"{\"version\":-1}"}}`},
		{"version is not a number", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"N":"one"},"body":{"S":"{}"}}`},
		{"version 0", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"N":"0"},"body":{"S":"{}"}}`},
		{"version has the wrong type", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"S":"1"},"body":{"S":"{}"}}`},
		{"no body", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"N":"1"}}`},
		{"oversized body", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"N":"1"},"body":{"S":"{}` + strings.Repeat(" ", tablesvc.MaxBodySize) + `"}}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, testutil.Timeout)
			putRawRow(t, h.url, test.row)
			h.expectUnknown(t, func() {})
		})
	}
}

// putRawRow stores a row given in the JSON of the protocol, without a client.
func putRawRow(t *testing.T, url, row string) {
	t.Helper()
	body := `{"TransactItems":[{"Put":{"TableName":"` + tableName + `","Item":` + row + `}}]}`
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Amz-Target", "DynamoDB_20120810.TransactWriteItems")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
}

// The service serves reads without strong consistency from data that is an hour
// old. Every read and scan must therefore request strong consistency.
func TestReadsAreConsistent(t *testing.T) {
	h := newHarness(t, testutil.Timeout)
	h.service.SetFaults(standin.Faults{StaleReadLag: time.Hour})
	ctx := context.Background()
	h.Commit(ctx, []table.Write{headWrite(0)})
	h.Commit(ctx, []table.Write{headWrite(1)})
	if rows, outcome := h.Read(ctx, []table.Key{headKey}); outcome != table.Done || len(rows) != 1 || rows[0].Version != 2 {
		t.Errorf("read: %v, %v", outcome, rows)
	}
	if rows, outcome := h.Scan(ctx, table.KindHead, ""); outcome != table.Done || len(rows) != 1 || rows[0].Version != 2 {
		t.Errorf("scan: %v, %v", outcome, rows)
	}
	if n := h.service.Counts().EventualReads; n != 0 {
		t.Errorf("%d reads did not request strong consistency", n)
	}
}

func TestPagination(t *testing.T) {
	h := newHarness(t, testutil.Timeout)
	ctx := context.Background()
	const n = 250
	var keys []table.Key
	for i := range n {
		key := table.Key{Kind: table.KindSlot, ID: fmt.Sprintf("z%d/%03d", i%2, i)}
		keys = append(keys, key)
		if outcome := h.Commit(ctx, []table.Write{{Key: key, Body: table.Slot{Index: i}}}); outcome != table.Done {
			t.Fatal(outcome)
		}
	}
	h.service.SetFaults(standin.Faults{MaxPageRows: 7})
	rows, outcome := h.Scan(ctx, table.KindSlot, "z1/")
	if outcome != table.Done || len(rows) != n/2 || rows[0].Key.ID != "z1/001" || rows[n/2-1].Key.ID != "z1/249" {
		t.Errorf("scan: %v, %d rows", outcome, len(rows))
	}
	rows, outcome = h.Read(ctx, keys)
	if outcome != table.Done || len(rows) != n {
		t.Fatalf("read: %v, %d rows", outcome, len(rows))
	}
	for i, r := range rows {
		if r.Key != keys[i] {
			t.Fatalf("row %d is %v, want %v", i, r.Key, keys[i])
		}
	}
}

// A commit beyond the service's write rate is rejected and does not take effect. The
// client cannot tell this from a failure after the commit, so the outcome is
// Unknown.
func TestThrottledCommits(t *testing.T) {
	h := newHarness(t, testutil.Timeout)
	h.service.SetFaults(standin.Faults{WritesPerSecond: 1e-9})
	for v, want := range []table.Outcome{table.Done, table.Unknown} {
		if outcome := h.Commit(context.Background(), []table.Write{headWrite(uint64(v))}); outcome != want {
			t.Errorf("commit %d: %v, want %v", v, outcome, want)
		}
	}
	if v := h.headVersion(t); v != 1 {
		t.Errorf("version %d, want 1", v)
	}
}

// Several writers increment the version of one row concurrently, and some responses
// are lost. Each version must be written by exactly one of them, so the final
// version is the number of commits that took effect, with outcome Done or Unknown.
func TestConcurrentCommits(t *testing.T) {
	h := newHarness(t, testutil.Timeout)
	h.service.SetFaults(standin.Faults{LoseResponses: 10})
	var done, unknown atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for v := range uint64(20) {
				switch h.Commit(context.Background(), []table.Write{headWrite(v)}) {
				case table.Done:
					done.Add(1)
				case table.Unknown:
					unknown.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if v := h.headVersion(t); v != uint64(done.Load()+unknown.Load()) || unknown.Load() != 10 {
		t.Errorf("version %d after %d done and %d unknown", v, done.Load(), unknown.Load())
	}
}
