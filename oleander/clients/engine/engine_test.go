package engine_test

import (
	"context"
	"errors"
	"fmt"
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
	shortTimeout = 500 * time.Millisecond // for servers that respond later than this
	memorySize   = 100                    // bytes
)

// harness is a client with a simulated backend server.
type harness struct {
	*engine.Client
	server *standin.Engine
	addr   string
	calls  atomic.Int64 // requests received by the server
}

func newHarness(t *testing.T, timeout time.Duration) *harness {
	t.Helper()
	h := &harness{
		Client: engine.New(engine.Settings{Timeout: timeout}),
		server: standin.New(standin.Settings{Name: "gpu", MemoryBytes: memorySize, ChecksFencing: true}),
	}
	url := testutil.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.calls.Add(1)
		h.server.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { h.server.Close() })
	h.addr = strings.TrimPrefix(url, "http://")
	return h
}

func load(bytes int64) engine.OrderRequest {
	return engine.OrderRequest{
		Order: "o1", Kind: event.OrderLoad, Artifact: "m", Bytes: bytes,
		LoadTime: time.Millisecond, Fencing: 5,
	}
}

// An order that the server definitely accepted or rejected has that result. In
// all other cases the result is OrderUnknown, after a single request, and the
// server may still execute the order.
func TestSendOrder(t *testing.T) {
	oldFencing := load(10)
	oldFencing.Fencing = 4
	unknownKind := load(10)
	unknownKind.Kind = "evict"
	noOrderID := load(10)
	noOrderID.Order = ""
	tests := []struct {
		name       string
		faults     standin.Faults
		order      engine.OrderRequest
		want       event.OrderResult
		wantEffect bool
	}{
		{"accepted", standin.Faults{}, load(10), event.OrderAccepted, true},
		{"outdated fencing number", standin.Faults{}, oldFencing, event.OrderStaleFencing, false},
		{"exceeds the memory", standin.Faults{}, load(memorySize + 1), event.OrderRefused, false},
		{"unknown kind", standin.Faults{}, unknownKind, event.OrderRefused, false},
		{"leaving", standin.Faults{Leaving: true}, load(10), event.OrderRefused, false},
		{"malformed", standin.Faults{}, noOrderID, event.OrderUnknown, false},
		{"down", standin.Faults{Down: true}, load(10), event.OrderUnknown, false},
		{"order lost", standin.Faults{LoseOrders: 1}, load(10), event.OrderUnknown, false},
		{"response lost after execution", standin.Faults{LoseOrderResponses: 1}, load(10), event.OrderUnknown, true},
		{"executed late", standin.Faults{LateOrders: 1, LateOrderDelay: 10 * time.Millisecond}, load(10), event.OrderUnknown, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, testutil.Timeout)
			h.server.HandleOrder(engine.OrderRequest{Order: "o0", Kind: event.OrderFence, Fencing: 5})
			h.server.SetFaults(test.faults)
			if got := h.SendOrder(context.Background(), h.addr, test.order); got != test.want {
				t.Errorf("result %v, want %v", got, test.want)
			}
			if n := h.calls.Load(); n != 1 {
				t.Errorf("%d requests for one order, want 1", n)
			}
			if test.wantEffect {
				testutil.WaitFor(t, func() bool { return len(h.server.Report().Held) == 1 })
			} else if held := h.server.Report().Held; len(held) != 0 {
				t.Errorf("held artifacts %+v, want none", held)
			}
		})
	}
}

// An order that is delayed in the network can arrive after another instance has
// taken over the backend server. An engine that checks fencing numbers rejects
// it; an engine that does not check them loads the artifact needlessly.
func TestLateOrderAfterTakeover(t *testing.T) {
	for _, checks := range []bool{true, false} {
		server := standin.New(standin.Settings{MemoryBytes: memorySize, ChecksFencing: checks})
		defer server.Close()
		server.HandleOrder(engine.OrderRequest{Order: "o2", Kind: event.OrderFence, Fencing: 6})
		server.HandleOrder(load(10))
		if held := len(server.Report().Held); (held == 0) != checks {
			t.Errorf("checks fencing: %v, held artifacts: %d", checks, held)
		}
	}
}

func TestFetchReport(t *testing.T) {
	h := newHarness(t, testutil.Timeout)
	h.server.HandleOrder(load(10))
	got, err := h.FetchReport(context.Background(), h.addr)
	if err != nil || got.Bytes != memorySize || got.Fencing != 5 || got.BootID == "" || len(got.Held) != 1 || got.Held[0].Order != "o1" {
		t.Errorf("report: %+v, %v", got, err)
	}
}

// A report that could not be read gives a typed error. The owner of the backend
// server would otherwise release reservations that the server still uses.
func TestFetchReportFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  standin.Faults
		timeout time.Duration
		want    error
	}{
		{"down", standin.Faults{Down: true}, testutil.Timeout, engine.ErrUnavailable},
		{"slower than the timeout", standin.Faults{ReportDelay: 4 * shortTimeout}, shortTimeout, engine.ErrUnavailable},
		{"garbage", standin.Faults{MalformedReports: 1}, testutil.Timeout, engine.ErrMalformed},
		{"oversized", standin.Faults{OversizedReports: 1}, testutil.Timeout, engine.ErrTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.timeout)
			h.server.SetFaults(test.faults)
			if _, err := h.FetchReport(context.Background(), h.addr); !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}

func TestMalformedReports(t *testing.T) {
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
			if _, err := c.FetchReport(context.Background(), addr); !errors.Is(err, engine.ErrMalformed) {
				t.Errorf("report: %v", err)
			}
		})
	}
}

func TestConnectionRefused(t *testing.T) {
	addr := testutil.ClosedAddress(t)
	c := engine.New(engine.Settings{Timeout: testutil.Timeout})
	if _, err := c.FetchReport(context.Background(), addr); !errors.Is(err, engine.ErrUnavailable) {
		t.Errorf("report: %v", err)
	}
	if got := c.SendOrder(context.Background(), addr, load(10)); got != event.OrderUnknown {
		t.Errorf("order: %v", got)
	}
}

// Guards against a report that is an earlier one, since a second copy of it is believed.
func TestSecondCopyIsNoReport(t *testing.T) {
	var boots atomic.Int64
	addr := testutil.ServeCopies(t, func(*http.Request) string { return fmt.Sprintf(`{"boot":"b%d"}`, boots.Add(1)) })
	c := engine.New(engine.Settings{Timeout: time.Second})
	for n := 1; n <= 4; n++ {
		r, err := c.FetchReport(t.Context(), addr)
		if err != nil || string(r.BootID) != fmt.Sprint("b", n) {
			t.Errorf("report %d: of start %q, %v", n, r.BootID, err)
		}
	}
}
