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
	tableName = "oleanderdale"
	hasty     = 500 * time.Millisecond // shorter than the delays it is used against
)

// bench is a client with the stand-in behind it.
type bench struct {
	*tablesvc.Client
	service *standin.Table
	url     string
	calls   atomic.Int64 // requests that reached the stand-in
}

func newBench(t *testing.T, timeout time.Duration) *bench {
	t.Helper()
	b := &bench{service: standin.New()}
	b.url = testutil.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.calls.Add(1)
		b.service.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { b.service.Close() })
	b.Client = newClient(t, b.url, timeout)
	return b
}

func newClient(t *testing.T, url string, timeout time.Duration) *tablesvc.Client {
	t.Helper()
	c, err := tablesvc.New(tablesvc.Settings{
		Endpoint: url, Region: "local", Table: tableName,
		AccessKey: "zone-a", SecretKey: "secret", Timeout: timeout,
		Observe: func(o tablesvc.Observation) { t.Logf("%s: %v", o.Op, o.Err) },
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

// version reads the head row's version, 0 if it is absent.
func (b *bench) version(t *testing.T) uint64 {
	t.Helper()
	rows, out := newClient(t, b.url, testutil.Timeout).Read(context.Background(), []table.Key{headKey})
	if out != table.Done {
		t.Fatalf("read back: %v", out)
	}
	if len(rows) == 0 {
		return 0
	}
	return rows[0].Version
}

func TestRoundTripOfEveryKind(t *testing.T) {
	b := newBench(t, testutil.Timeout)
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
			if out := b.Commit(context.Background(), []table.Write{{Key: key, Body: body}}); out != table.Done {
				t.Fatalf("commit: %v", out)
			}
			rows, out := b.Read(context.Background(), []table.Key{key, key})
			want := []table.Row{{Key: key, Version: 1, Body: body}}
			if out != table.Done || !reflect.DeepEqual(rows, want) {
				t.Fatalf("read %v, %+v; want %+v", out, rows, want)
			}
		})
	}
}

// A caller that writes under a condition that does not hold is told Conflict,
// and no write of its transaction has taken effect, not even those whose own
// condition held.
func TestConditions(t *testing.T) {
	other := table.Key{Kind: table.KindSlot, ID: "z/0"}
	tests := []struct {
		name  string
		write table.Write
		want  table.Outcome
	}{
		{"created twice", headWrite(0), table.Conflict},
		{"older version", headWrite(1), table.Conflict},
		{"newer version", headWrite(3), table.Conflict},
		{"right version", headWrite(2), table.Done},
		{"check of an older version", table.Write{Key: headKey, Expect: 1, Check: true}, table.Conflict},
		{"check of absence", table.Write{Key: headKey, Check: true}, table.Conflict},
		{"check of the right version", table.Write{Key: headKey, Expect: 2, Check: true}, table.Done},
		{"delete of an older version", table.Write{Key: headKey, Expect: 1, Delete: true}, table.Conflict},
		{"delete of the right version", table.Write{Key: headKey, Expect: 2, Delete: true}, table.Done},
		{"body of another kind", table.Write{Key: headKey, Expect: 2, Body: table.Slot{}}, table.NotDone},
		{"two writes of one row", table.Write{Key: other, Body: table.Slot{}}, table.NotDone},
		{"no body", table.Write{Key: headKey, Expect: 2}, table.NotDone},
		{"oversized body", table.Write{Key: table.Key{Kind: table.KindVersion, ID: "9"}, Body: table.Version{Change: make([]byte, tablesvc.MaxBody)}}, table.NotDone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, testutil.Timeout)
			ctx := context.Background()
			for v := range uint64(2) {
				if out := b.Commit(ctx, []table.Write{headWrite(v)}); out != table.Done {
					t.Fatalf("prepare: %v", out)
				}
			}
			out := b.Commit(ctx, []table.Write{{Key: other, Body: table.Slot{Zone: "z"}}, test.write})
			if out != test.want {
				t.Errorf("commit: %v, want %v", out, test.want)
			}
			rows, _ := b.Read(ctx, []table.Key{other})
			if took := len(rows) == 1; took != (test.want == table.Done) {
				t.Errorf("other write took effect: %v", took)
			}
		})
	}
}

// faultCases holds the faults that end an operation as Unknown.
var faultCases = []struct {
	name    string
	faults  standin.Faults
	timeout time.Duration
	effect  bool // whether a commit takes effect
}{
	{"down", standin.Faults{Down: true}, testutil.Timeout, false},
	{"cut off", standin.Faults{BlockedAccessKeys: []string{"zone-a"}}, testutil.Timeout, false},
	{"answer lost after effect", standin.Faults{LoseResponses: 1}, testutil.Timeout, true},
	{"request lost", standin.Faults{LoseRequests: 1}, testutil.Timeout, false},
	{"slower than the timeout", standin.Faults{Delay: 4 * hasty}, hasty, true},
	{"throttled", standin.Faults{Throttle: 1}, testutil.Timeout, false},
	{"internal error after effect", standin.Faults{InternalErrors: 1}, testutil.Timeout, true},
	{"garbage after effect", standin.Faults{MalformedResponses: 1}, testutil.Timeout, true},
	{"oversized after effect", standin.Faults{OversizedResponses: 1}, testutil.Timeout, true},
}

// The caller of a commit sees Unknown whenever the request may have reached the
// service, whether it took effect or not, and reads back to find out. The client
// must not send the request again: the repeat of a write that took effect would
// read as a conflict with itself.
func TestCommitFaults(t *testing.T) {
	for _, test := range faultCases {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, test.timeout)
			b.service.SetFaults(test.faults)
			if out := b.Commit(context.Background(), []table.Write{headWrite(0)}); out != table.Unknown {
				t.Errorf("commit: %v, want unknown", out)
			}
			if n := b.calls.Load(); n != 1 {
				t.Errorf("%d requests for one commit", n)
			}
			if test.effect {
				testutil.WaitFor(t, func() bool { return b.service.Counts().Transactions == 1 })
			}
			b.service.SetFaults(standin.Faults{})
			if effect := b.version(t) == 1; effect != test.effect {
				t.Errorf("took effect: %v, want %v", effect, test.effect)
			}
		})
	}
}

// The caller has used its connection before, and the service closes it just as
// the next commit arrives. net/http would send some requests again here by
// itself; the caller must see Unknown after exactly one request.
func TestCommitOnReusedConnectionIsSentOnce(t *testing.T) {
	b := newBench(t, testutil.Timeout)
	b.version(t)
	if _, out := b.Read(context.Background(), []table.Key{headKey}); out != table.Done {
		t.Fatal(out)
	}
	before := b.calls.Load()
	b.service.SetFaults(standin.Faults{LoseResponses: 1})
	if out := b.Commit(context.Background(), []table.Write{headWrite(0)}); out != table.Unknown {
		t.Errorf("commit: %v, want unknown", out)
	}
	if n := b.calls.Load() - before; n != 1 {
		t.Errorf("%d requests for one commit", n)
	}
}

// Nothing listens at the service's address: no byte can have left, so the
// caller sees NotDone and may try again without reading back.
func TestNothingListens(t *testing.T) {
	url := "http://" + testutil.ClosedAddress(t)
	c := newClient(t, url, testutil.Timeout)
	if out := c.Commit(context.Background(), []table.Write{headWrite(0)}); out != table.NotDone {
		t.Errorf("commit: %v", out)
	}
	if _, out := c.Read(context.Background(), []table.Key{headKey}); out != table.NotDone {
		t.Errorf("read: %v", out)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if _, out := c.Scan(cancelled, table.KindHead, ""); out != table.NotDone {
		t.Errorf("scan: %v", out)
	}
}

// The caller of a read sees Unknown and no rows, never a part of the rows and
// never a row that was guessed.
func TestReadFaults(t *testing.T) {
	for _, test := range faultCases {
		if test.faults.LoseResponses+test.faults.LoseRequests > 0 {
			continue // knobs of transactions only
		}
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, test.timeout)
			b.wantUnknown(t, func() { b.service.SetFaults(test.faults) })
		})
	}
}

// wantUnknown reads and scans the head row, each after prepare.
func (b *bench) wantUnknown(t *testing.T, prepare func()) {
	t.Helper()
	prepare()
	if rows, out := b.Read(context.Background(), []table.Key{headKey}); out != table.Unknown || rows != nil {
		t.Errorf("read: %v, %v", out, rows)
	}
	prepare()
	if rows, out := b.Scan(context.Background(), table.KindHead, ""); out != table.Unknown || rows != nil {
		t.Errorf("scan: %v, %v", out, rows)
	}
}

// Someone wrote a row that this client can't understand. Its reader sees
// Unknown: acting on a row in part could free memory that is still reserved.
func TestDamagedRows(t *testing.T) {
	tests := []struct{ name, row string }{
		{"body is no JSON", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"N":"1"},"body":{"S":"{"}}`},
		{"unknown field", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"N":"1"},"body":{"S":"{\"version\":1,\"x\":1}"}}`},
		{"data after the body", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"N":"1"},"body":{"S":"{} {}"}}`},
		{"wrong type in the body", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"N":"1"},"body":{"S":"{\"version\":-1}"}}`},
		{"version is no number", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"N":"one"},"body":{"S":"{}"}}`},
		{"version 0", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"N":"0"},"body":{"S":"{}"}}`},
		{"version of a wrong type", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"S":"1"},"body":{"S":"{}"}}`},
		{"no body", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"N":"1"}}`},
		{"oversized body", `{"kind":{"S":"head"},"id":{"S":"config"},"version":{"N":"1"},"body":{"S":"{}` + strings.Repeat(" ", tablesvc.MaxBody) + `"}}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, testutil.Timeout)
			putRaw(t, b.url, test.row)
			b.wantUnknown(t, func() {})
		})
	}
}

func putRaw(t *testing.T, url, row string) {
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

// The service answers reads that don't ask for consistency from an hour ago.
// The caller must not notice: it asks for consistency in every read and scan.
func TestReadsAreConsistent(t *testing.T) {
	b := newBench(t, testutil.Timeout)
	b.service.SetFaults(standin.Faults{StaleReadLag: time.Hour})
	ctx := context.Background()
	b.Commit(ctx, []table.Write{headWrite(0)})
	b.Commit(ctx, []table.Write{headWrite(1)})
	if rows, out := b.Read(ctx, []table.Key{headKey}); out != table.Done || len(rows) != 1 || rows[0].Version != 2 {
		t.Errorf("read: %v, %v", out, rows)
	}
	if rows, out := b.Scan(ctx, table.KindHead, ""); out != table.Done || len(rows) != 1 || rows[0].Version != 2 {
		t.Errorf("scan: %v, %v", out, rows)
	}
	if n := b.service.Counts().EventualReads; n != 0 {
		t.Errorf("%d reads did not ask for consistency", n)
	}
}

func TestPages(t *testing.T) {
	b := newBench(t, testutil.Timeout)
	ctx := context.Background()
	const n = 250
	var keys []table.Key
	for i := range n {
		key := table.Key{Kind: table.KindSlot, ID: fmt.Sprintf("z%d/%03d", i%2, i)}
		keys = append(keys, key)
		if out := b.Commit(ctx, []table.Write{{Key: key, Body: table.Slot{Index: i}}}); out != table.Done {
			t.Fatal(out)
		}
	}
	b.service.SetFaults(standin.Faults{MaxPageRows: 7})
	rows, out := b.Scan(ctx, table.KindSlot, "z1/")
	if out != table.Done || len(rows) != n/2 || rows[0].Key.ID != "z1/001" || rows[n/2-1].Key.ID != "z1/249" {
		t.Errorf("scan: %v, %d rows", out, len(rows))
	}
	rows, out = b.Read(ctx, keys)
	if out != table.Done || len(rows) != n {
		t.Fatalf("read: %v, %d rows", out, len(rows))
	}
	for i, r := range rows {
		if r.Key != keys[i] {
			t.Fatalf("row %d is %v, want %v", i, r.Key, keys[i])
		}
	}
}

// The service allows less than the caller writes. What goes beyond the rate is
// not written, but the caller can't tell that from a failure after the effect.
func TestBeyondTheRate(t *testing.T) {
	b := newBench(t, testutil.Timeout)
	b.service.SetFaults(standin.Faults{WritesPerSecond: 1e-9})
	for v, want := range []table.Outcome{table.Done, table.Unknown} {
		if out := b.Commit(context.Background(), []table.Write{headWrite(uint64(v))}); out != want {
			t.Errorf("commit %d: %v, want %v", v, out, want)
		}
	}
	if v := b.version(t); v != 1 {
		t.Errorf("version %d", v)
	}
}

// Several instances raise one row's version at once, with answers lost now and
// then. Each version is taken by one of them: the row ends at the number of
// transactions that took effect, known or not.
func TestRacingCommits(t *testing.T) {
	b := newBench(t, testutil.Timeout)
	b.service.SetFaults(standin.Faults{LoseResponses: 10})
	var done, unknown atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for v := range uint64(20) {
				switch b.Commit(context.Background(), []table.Write{headWrite(v)}) {
				case table.Done:
					done.Add(1)
				case table.Unknown:
					unknown.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if v := b.version(t); v != uint64(done.Load()+unknown.Load()) || unknown.Load() != 10 {
		t.Errorf("version %d after %d done and %d unknown", v, done.Load(), unknown.Load())
	}
}
