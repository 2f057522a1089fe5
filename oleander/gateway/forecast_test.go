package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/internal/testutil"
)

func twoEvents(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) }

// A caller asks for a model whose load takes longer than it waits, at an
// instance that does not give the orders. It is refused as soon as the holder's
// forecast is heard, not when it would leave; the model is loaded all the same,
// and when the caller comes back at the time it was told, it is served.
func TestToldWhenToComeBack(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "llm", twoEvents, "warm")
	f.start()
	testutil.WaitFor(t, func() bool { return strings.Contains(f.log.String(), "lease: taken, this instance plans for the fleet") })
	other := f.start()
	testutil.WaitFor(t, func() bool { return strings.Contains(f.log.String(), "another instance plans for the fleet") })
	time.Sleep(modelSettleTime)
	began := time.Now()
	got := f.ask(http.MethodPost, other+"/stream/", testModel, "slow")
	if took := time.Since(began); got.status != http.StatusServiceUnavailable || took > slowLoadTime/4 {
		t.Fatalf("status %d after %v, want a refusal at once", got.status, took)
	}
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if back := time.Duration(seconds * float64(time.Second)); err != nil || back < slowLoadTime/2 || back > slowLoadTime+slowLoadTime/4 {
		t.Fatalf("told to come back after %v, %v", back, err)
	}
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	if got := f.ask(http.MethodPost, other+"/stream/", testModel, "slow"); got.status != http.StatusOK {
		t.Errorf("status %d when it came back", got.status)
	}
}

// Nobody gives orders, and the instance can't know for how long. A request for
// a model that is not loaded waits for half of its caller's patience, then the
// caller is told to come back while it still has time to.
func TestNobodyGivesOrders(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "llm", twoEvents, "warm")
	f.wrapStore = func(s ports.Store) ports.Store { return leaselessStore{s} }
	url := f.start()
	began := time.Now()
	got := f.ask(http.MethodPost, url+"/stream/", testModel, "cold")
	const patience = 2 * time.Second
	if took := time.Since(began); got.status != http.StatusServiceUnavailable || took < patience/4 || took > patience*3/4 {
		t.Errorf("status %d after %v", got.status, took)
	}
	if got.header.Get("Retry-After") == "" {
		t.Error("no time to come back")
	}
}
