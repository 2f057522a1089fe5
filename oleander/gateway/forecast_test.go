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

// A caller requests a model that loads for longer than the caller waits, at an
// instance that does not plan. The request is refused as soon as the holder's
// forecast arrives. The model is loaded anyway, and a retry after the given time
// succeeds.
func TestRetryAfterFollowsForecast(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "llm", twoEvents, "warm")
	f.start()
	testutil.WaitFor(t, func() bool {
		return strings.Contains(f.log.String(), "lease: taken, this instance plans for the fleet")
	})
	url := f.start()
	testutil.WaitFor(t, func() bool { return strings.Contains(f.log.String(), "another instance plans for the fleet") })
	time.Sleep(modelSettleTime)
	began := time.Now()
	got := f.ask(http.MethodPost, url+"/stream/", testModel, "slow")
	if took := time.Since(began); got.status != http.StatusServiceUnavailable || took > slowLoadTime/4 {
		t.Fatalf("status %d after %v, want an immediate refusal", got.status, took)
	}
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if retryAfter := time.Duration(seconds * float64(time.Second)); err != nil || retryAfter < slowLoadTime/2 || retryAfter > slowLoadTime+slowLoadTime/4 {
		t.Fatalf("Retry-After %v, %v", retryAfter, err)
	}
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	if got := f.ask(http.MethodPost, url+"/stream/", testModel, "slow"); got.status != http.StatusOK {
		t.Errorf("status %d at the retry", got.status)
	}
}

// Nobody holds the lease, and the instance does not know for how long. A request for
// a model that is not loaded waits for half of its caller's time, and then is refused
// so that the caller can still retry.
func TestRefusalWithoutLeaseHolder(t *testing.T) {
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
		t.Error("no Retry-After")
	}
}
