package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/explain"
)

// explain returns what the fixture's logs say about a request.
func (f *fixture) explain(id string) string {
	s := explain.New(id)
	if err := s.Read(strings.NewReader(f.log.String())); err != nil {
		f.t.Fatal(err)
	}
	var b strings.Builder
	if err := s.Write(&b); err != nil {
		f.t.Fatal(err)
	}
	return b.String()
}

// Kinds of failed requests as in docs/OPERATIONS.md: the log lines with the request's
// ID name the cause.
func TestLogsNameTheCause(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		path    string
		header  []string
		want    []string
	}{
		{
			"refused although an engine is there", ok, "/stream/", []string{testModel, "slow"},
			[]string{"reason=not-loaded-in-time", "model=slow", "status=503", "queued_ms=", "model_expected_ms=", "holder_heard_ms=",
				"orders_given=true", "retry_after_ms=", "lease: taken"},
		},
		{
			"refused because the configuration has no such model", ok, "/stream/", []string{testModel, "unknown", testWait, "400"},
			[]string{"reason=unknown-model", "model=unknown", "status=503", "queued_ms=0", "lease: taken"},
		},
		{
			"failed after sending", hangUp, "/stream/", []string{testModel, "warm", testParts, "p1:100,p2:100,own:10"},
			[]string{"front: attempt failed", "server=a", "account=account", "model=warm", "shared_parts=[p1 p2]", "timeout=false", "digest=", "crashes=1", "completions=0", "reason=broken", "ran=1", "status=502", "config: version in force"},
		},
		{
			"stream broken off", func(w http.ResponseWriter, _ *http.Request) {
				events(w, 1, 2)
				panic(http.ErrAbortHandler)
			}, "/stream/", []string{testModel, "warm"},
			[]string{"front: attempt failed", "reason=broken-off-midway", "cause=broken", "events=2", "server=a"},
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, config(1))
			f.backend("a", "llm", tc.handler, "warm")
			url := f.start()
			testutil.WaitFor(t, func() bool { return strings.Contains(f.log.String(), "lease: taken") })
			time.Sleep(modelSettleTime)
			f.ask(http.MethodPost, url+tc.path, tc.header...)
			testutil.WaitFor(t, func() bool { return strings.Contains(f.explain("r1"), "request ended") })
			explanation := f.explain("r1")
			for _, want := range tc.want {
				if !strings.Contains(explanation, want) {
					t.Errorf("%q is missing in\n%s", want, explanation)
				}
			}
		})
	}
}

// A request is refused because its only server named a limit, or asked for rest. The refused
// request reached no server, and the log must still name the server and what it said.
func TestLogsNameWhatServersSaid(t *testing.T) {
	tests := map[string]struct {
		handler http.HandlerFunc
		want    []string
	}{
		"limit": {limited(0.2), []string{"reason=servers-limited", "feedback: server names a rate limit", "per_second=0.2", "server=a", "retry_after_ms="}},
		"rest":  {rejecting(2 * time.Second), []string{"reason=servers-resting", "feedback: server asks for rest", "rest=2000", "server=a", "retry_after_ms="}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, config(1))
			f.backend("a", "plain", tc.handler)
			url := f.start()
			f.ask(http.MethodPost, url+"/order/", testID, "r0")
			f.ask(http.MethodPost, url+"/order/", testID, "r1")
			testutil.WaitFor(t, func() bool { return strings.Contains(f.explain("r1"), "request ended") })
			explanation := f.explain("r1")
			for _, want := range tc.want {
				if !strings.Contains(explanation, want) {
					t.Errorf("%q is missing in\n%s", want, explanation)
				}
			}
		})
	}
}

// Neither keys nor bodies of requests and responses are logged.
func TestLogsHoldNoSecrets(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", firstThenOK(hangUp))
	url := f.start()
	for _, path := range []string{"/order/", "/order/", "/read/", "/none/"} {
		f.ask(http.MethodPost, url+path)
		f.ask(http.MethodPost, url+path, testKey, "another-secret")
	}
	text := f.log.String()
	for _, secret := range []string{"secret", strings.Repeat("x", 20), "answer to"} {
		if strings.Contains(text, secret) {
			t.Errorf("the log holds %q", secret)
		}
	}
}
