package engine_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/oleander/clients/engine"
	"oleanderdale.org/oleander/internal/testutil"
	standin "oleanderdale.org/oleander/standin/engine"
)

const (
	hasty  = 500 * time.Millisecond
	memory = 100
)

type bench struct {
	*engine.Client
	server *standin.Engine
	addr   string
	calls  atomic.Int64
}

func newBench(t *testing.T, timeout time.Duration) *bench {
	t.Helper()
	b := &bench{
		Client: engine.New(engine.Settings{Timeout: timeout}),
		server: standin.New(standin.Settings{Name: "gpu", MemoryBytes: memory, ChecksFencing: true}),
	}
	url := testutil.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.calls.Add(1)
		b.server.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { b.server.Close() })
	b.addr = strings.TrimPrefix(url, "http://")
	return b
}

func load(bytes int64) engine.OrderRequest {
	return engine.OrderRequest{
		Order: "o1", Kind: event.OrderLoad, Artifact: "m", Bytes: bytes,
		LoadTime: time.Millisecond, Fencing: 5,
	}
}

// The caller of an order learns whether it was surely taken or surely refused.
// In all other cases it sees OrderUnknown after one request, and the artifact
// may show up in a later report.
func TestOrder(t *testing.T) {
	old := load(10)
	old.Fencing = 4
	unknownKind := load(10)
	unknownKind.Kind = "evict"
	noName := load(10)
	noName.Order = ""
	tests := []struct {
		name   string
		faults standin.Faults
		order  engine.OrderRequest
		want   event.OrderResult
		effect bool
	}{
		{"accepted", standin.Faults{}, load(10), event.OrderAccepted, true},
		{"old fencing number", standin.Faults{}, old, event.OrderOldFencing, false},
		{"too large for the memory", standin.Faults{}, load(memory + 1), event.OrderRefused, false},
		{"unknown kind", standin.Faults{}, unknownKind, event.OrderRefused, false},
		{"leaving", standin.Faults{Leaving: true}, load(10), event.OrderRefused, false},
		{"malformed", standin.Faults{}, noName, event.OrderUnknown, false},
		{"down", standin.Faults{Down: true}, load(10), event.OrderUnknown, false},
		{"order lost", standin.Faults{LoseOrders: 1}, load(10), event.OrderUnknown, false},
		{"answer lost after effect", standin.Faults{LoseOrderResponses: 1}, load(10), event.OrderUnknown, true},
		{"carried out late", standin.Faults{LateOrders: 1, LateOrderDelay: 10 * time.Millisecond}, load(10), event.OrderUnknown, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, testutil.Timeout)
			b.server.HandleOrder(engine.OrderRequest{Order: "o0", Kind: event.OrderFence, Fencing: 5})
			b.server.SetFaults(test.faults)
			if got := b.Order(context.Background(), b.addr, test.order); got != test.want {
				t.Errorf("order: %v, want %v", got, test.want)
			}
			if n := b.calls.Load(); n != 1 {
				t.Errorf("%d requests for one order", n)
			}
			if test.effect {
				testutil.WaitFor(t, func() bool { return len(b.server.Report().Held) == 1 })
			} else if held := b.server.Report().Held; len(held) != 0 {
				t.Errorf("held: %+v", held)
			}
		})
	}
}

// An order that was delayed in the network arrives after its sender lost the
// backend server to another owner. The engine that checks fencing numbers drops
// it; the one that does not loads the artifact though nobody wants it any more.
func TestLateOrderAfterTakeover(t *testing.T) {
	for _, checks := range []bool{true, false} {
		server := standin.New(standin.Settings{MemoryBytes: memory, ChecksFencing: checks})
		defer server.Close()
		server.HandleOrder(engine.OrderRequest{Order: "o2", Kind: event.OrderFence, Fencing: 6})
		server.HandleOrder(load(10))
		if held := len(server.Report().Held); (held == 0) != checks {
			t.Errorf("checks fencing: %v, held: %d", checks, held)
		}
	}
}

func TestReport(t *testing.T) {
	b := newBench(t, testutil.Timeout)
	b.server.HandleOrder(load(10))
	got, err := b.Report(context.Background(), b.addr)
	if err != nil || got.Bytes != memory || got.Fencing != 5 || got.Boot == "" || len(got.Held) != 1 || got.Held[0].Order != "o1" {
		t.Errorf("report: %+v, %v", got, err)
	}
}

// The owner of a backend server sees a typed error and no report, so that no
// reservation is ever released by what could not be read.
func TestReportFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  standin.Faults
		timeout time.Duration
		want    error
	}{
		{"down", standin.Faults{Down: true}, testutil.Timeout, engine.ErrUnavailable},
		{"slower than the timeout", standin.Faults{ReportDelay: 4 * hasty}, hasty, engine.ErrUnavailable},
		{"garbage", standin.Faults{MalformedReports: 1}, testutil.Timeout, engine.ErrDamaged},
		{"oversized", standin.Faults{OversizedReports: 1}, testutil.Timeout, engine.ErrTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, test.timeout)
			b.server.SetFaults(test.faults)
			if _, err := b.Report(context.Background(), b.addr); !errors.Is(err, test.want) {
				t.Errorf("report: %v, want %v", err, test.want)
			}
		})
	}
}

func TestDamagedReports(t *testing.T) {
	tests := []struct{ name, body string }{
		{"null", `null`},
		{"no boot", `{"bytes":1,"held":[],"cached":[],"running":0}`},
		{"negative bytes", `{"boot":"b","bytes":-1}`},
		{"unknown state", `{"boot":"b","held":[{"artifact":"m","state":"warm"}]}`},
		{"held without a name", `{"boot":"b","held":[{"state":"loaded"}]}`},
		{"negative idle time", `{"boot":"b","held":[{"artifact":"m","state":"loaded","idle":-1}]}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			addr := strings.TrimPrefix(testutil.ServeText(t, test.body), "http://")
			c := engine.New(engine.Settings{Timeout: testutil.Timeout})
			if _, err := c.Report(context.Background(), addr); !errors.Is(err, engine.ErrDamaged) {
				t.Errorf("report: %v", err)
			}
		})
	}
}

func TestNothingListens(t *testing.T) {
	addr := testutil.ClosedAddress(t)
	c := engine.New(engine.Settings{Timeout: testutil.Timeout})
	if _, err := c.Report(context.Background(), addr); !errors.Is(err, engine.ErrUnavailable) {
		t.Errorf("report: %v", err)
	}
	if got := c.Order(context.Background(), addr, load(10)); got != event.OrderUnknown {
		t.Errorf("order: %v", got)
	}
}
