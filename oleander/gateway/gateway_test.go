package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/eventstream"
	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// hangUp closes the connection without a response.
func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// status responds with a status and headers.
func status(code int, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.WriteHeader(code)
	}
}

// firstThenOK handles the first request with h and all others with ok.
func firstThenOK(h http.HandlerFunc) http.HandlerFunc {
	done := false
	return func(w http.ResponseWriter, r *http.Request) {
		if !done {
			done = true
			h(w, r)
			return
		}
		ok(w, r)
	}
}

// What a caller gets, and how often the request is sent, when both servers fail
// alike. A request that may not be repeated runs at most once, and a refusal promises
// only what is true.
func TestOutcomes(t *testing.T) {
	unsigned := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) }
	wrongID := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testID, "another")
		w.Header().Set(testSigned, "1")
	}
	truncated := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testSigned, "1")
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("part"))
	}
	tests := []struct {
		name   string
		path   string
		server http.HandlerFunc
		status int
		sends  int // sum of both servers
	}{
		{"answered", "/order/1", ok, 200, 1},
		{"order, connection closed", "/order/1", hangUp, 502, 1},
		{"read, connection closed", "/read/1", hangUp, 502, 2},
		{"order, not run", "/order/1", status(503, testNotRun, "1"), 503, 2},
		{"order, wrong server", "/order/1", status(421, testServer, "x"), 503, 2},
		{"order, success response without signature", "/order/1", unsigned, 502, 1},
		{"order, response to another request", "/order/1", wrongID, 502, 1},
		{"order, truncated response", "/order/1", truncated, 502, 1},
		{"read, truncated response", "/read/1", truncated, 502, 2},
		{"server's own 500", "/order/1", status(500, testSigned, "s"), 500, 1},
		{"server's own 404", "/read/1", status(404, testSigned, "s"), 404, 1},
		{"order, server's own 503", "/order/1", status(503, testSigned, "s"), 502, 1},
		{"read, server's own 503", "/read/1", status(503, testSigned, "s"), 503, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, config(1))
			a, b := f.backend("a", "plain", tc.server), f.backend("b", "plain", tc.server)
			url := f.start()
			got := f.ask(http.MethodPost, url+tc.path)
			if got.status != tc.status {
				t.Errorf("status %d, want %d", got.status, tc.status)
			}
			if n := a.requests() + b.requests(); n != tc.sends {
				t.Errorf("sent %d times, want %d", n, tc.sends)
			}
		})
	}
}

// Path, query, body and headers reach the server unchanged, except that the key is
// removed and the account is set by the gateway.
func TestForwardedUnchanged(t *testing.T) {
	f := newFixture(t, config(1))
	b := f.backend("a", "plain", ok)
	url := f.start()
	got := f.ask(http.MethodPost, url+"/order//x/../y%2fz?q=a%20b;c", testOwner, "forged", "Other", "kept")
	if got.status != http.StatusOK || got.body != "answer to r1" || got.header.Get(testSigned) != "1" {
		t.Fatalf("got %+v", got)
	}
	r := b.received[0]
	if r.RequestURI != "/order//x/../y%2fz?q=a%20b;c" || r.Host != testHost || r.ContentLength != 1000 {
		t.Errorf("the server got %s at %s, %d bytes", r.RequestURI, r.Host, r.ContentLength)
	}
	if r.Header.Get(testKey) != "" || r.Header.Get(testOwner) != "account" || r.Header.Get("Other") != "kept" || r.Header.Get("Accept-Encoding") == "" {
		t.Errorf("headers %v", r.Header)
	}
}

func TestRefusedBeforeSending(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		header []string
		status int
		retry  bool
	}{
		{"no route", "/none/", nil, 404, false},
		{"unknown key", "/read/", []string{testKey, "wrong"}, 401, false},
		{"no key", "/read/", []string{testKey, ""}, 401, false},
		{"no server of the group", "/stream/", nil, 503, true},
	}
	f := newFixture(t, config(1))
	b := f.backend("a", "plain", ok)
	url := f.start()
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := f.ask(http.MethodPost, url+tc.path, tc.header...)
			if got.status != tc.status || got.header.Get("Retry-After") != "" != tc.retry {
				t.Errorf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
			}
		})
	}
	if b.requests() != 0 {
		t.Error("a refused request reached a server")
	}
}

// Requests above the account's rate are refused with a retry time and reach no
// server.
func TestQuota(t *testing.T) {
	const (
		rate, burst = 10.0, 2.0
		requests    = 20
	)
	c := config(1)
	c.Accounts["account"].Rate, c.Accounts["account"].Burst = rate, burst
	f := newFixture(t, c)
	b := f.backend("a", "plain", ok)
	url := f.start()
	answers := make(chan answer, requests)
	began := time.Now()
	for range requests {
		go func() { answers <- f.ask(http.MethodPost, url+"/order/") }()
	}
	served := 0
	for range requests {
		a := <-answers
		if a.status == http.StatusOK {
			served++
			continue
		}
		wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		if a.status != http.StatusTooManyRequests || err != nil || wait <= 0 || wait > 1.5 {
			t.Errorf("status %d, Retry-After %q", a.status, a.header.Get("Retry-After"))
		}
	}
	allowed := burst + rate*time.Since(began).Seconds()
	if n := b.requests(); float64(n) > allowed || n != served {
		t.Errorf("%d of %d requests were sent and %d answered, allowed are %.1f", n, requests, served, allowed)
	}
	if served == requests {
		t.Error("no request was refused")
	}
}

// events writes events with consecutive IDs like a model server.
func events(w http.ResponseWriter, from, to int) {
	w.Header().Set(testSigned, w.Header().Get(testID))
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

func eventsText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

// A server fails in the middle of the fourth event. The stream continues after the
// third at the other server, and the caller sees each event once and complete.
func TestStreamResumesAtAnotherServer(t *testing.T) {
	f := newFixture(t, config(1))
	h := func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get(testLast))
		if from == 0 {
			events(w, 1, 3)
			_, _ = w.Write([]byte("id: 4\nda"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		events(w, from+1, 6)
	}
	f.backend("a", "llm", h, "warm")
	f.backend("b", "llm", h, "warm")
	got := f.ask(http.MethodPost, f.start()+"/resume/", testModel, "warm")
	if got.err != nil || got.body != eventsText(1, 6) {
		t.Errorf("got %q, %v", got.body, got.err)
	}
}

// The same failure in a stream that may not be resumed. The caller's connection is
// aborted, so that the part does not look complete.
func TestNonResumableStreamIsAborted(t *testing.T) {
	f := newFixture(t, config(1))
	h := func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 3)
		panic(http.ErrAbortHandler)
	}
	a, b := f.backend("a", "llm", h, "warm"), f.backend("b", "llm", h, "warm")
	got := f.ask(http.MethodPost, f.start()+"/stream/", testModel, "warm")
	if got.err == nil {
		t.Errorf("an aborted stream reads as complete: %q", got.body)
	}
	if n := a.requests() + b.requests(); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

// A server is silent after two events. Another one continues well before the caller's
// timeout.
func TestSilentStreamResumesAtAnotherServer(t *testing.T) {
	f := newFixture(t, config(1))
	h := func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get(testLast))
		if from == 0 {
			events(w, 1, 2)
			<-r.Context().Done()
			return
		}
		events(w, from+1, 4)
	}
	f.backend("a", "llm", h, "warm")
	f.backend("b", "llm", h, "warm")
	got := f.ask(http.MethodPost, f.start()+"/resume/", testModel, "warm")
	if got.err != nil || got.body != eventsText(1, 4) {
		t.Errorf("got %q, %v", got.body, got.err)
	}
}

// No engine has the model. The request waits until an engine has unloaded an idle
// model and loaded this one.
func TestColdModelIsLoaded(t *testing.T) {
	f := newFixture(t, config(1))
	b := f.backend("a", "llm", nil, "warm")
	b.handler = func(w http.ResponseWriter, r *http.Request) {
		if !f.engines.HasModel(f.store.Server("a").Address, r.Header.Get(testModel)) {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		events(w, 1, 2)
	}
	url := f.start()
	time.Sleep(modelSettleTime) // a model reported just now may not be evicted yet
	got := f.ask(http.MethodPost, url+"/stream/", testModel, "cold")
	if got.status != http.StatusOK || got.body != eventsText(1, 2) {
		t.Errorf("got %+v", got)
	}
}

// modelSettleTime is longer than a model is protected after it was first reported.
const modelSettleTime = 900 * time.Millisecond

// When the caller disconnects, the server's connection is closed at once, which ends
// the work there.
func TestCallerDisconnects(t *testing.T) {
	f := newFixture(t, config(1))
	started, disconnected := make(chan struct{}), make(chan struct{})
	f.backend("a", "plain", func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(disconnected)
	})
	url := f.start()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	f.askCtx(ctx, http.MethodPost, url+"/order/")
	select {
	case <-disconnected:
	case <-time.After(testutil.Timeout):
		t.Error("the server still processes the request")
	}
}

// A silent server leads to a timeout response, which does not say whether the request
// ran.
func TestTimeout(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	url := f.start()
	began := time.Now()
	got := f.ask(http.MethodPost, url+"/order/", testWait, "300")
	if took := time.Since(began); got.status != http.StatusGatewayTimeout || took < 300*time.Millisecond || took > 1500*time.Millisecond {
		t.Errorf("status %d after %v", got.status, took)
	}
}

// An instance is stopped while a request runs at a server. The readiness probe fails,
// the request completes, and the process ends within the grace period.
func TestShutdownCompletesRequests(t *testing.T) {
	f := newFixture(t, config(1))
	running, finish := make(chan struct{}), make(chan struct{})
	f.backend("a", "plain", firstThenOK(func(w http.ResponseWriter, r *http.Request) {
		close(running)
		<-finish
		ok(w, r)
	}))
	url := f.start()
	result := make(chan answer, 1)
	go func() { result <- f.ask(http.MethodPost, url+"/order/") }()
	<-running
	began := time.Now()
	close(f.stops[0])
	testutil.WaitFor(t, func() bool {
		return f.status("http://"+f.gateways[0].settings.ReadinessAddress) == http.StatusServiceUnavailable
	})
	if got := f.ask(http.MethodPost, url+"/order/"); got.status != http.StatusOK || !got.closes {
		t.Errorf("a request after the stop signal: %+v", got)
	}
	close(finish)
	if got := <-result; got.status != http.StatusOK || got.err != nil {
		t.Errorf("the running request: %+v", got)
	}
	<-f.ended[0]
	if took := time.Since(began); took > testGrace {
		t.Errorf("ended after %v", took)
	}
}

// A stream reaches a stopping instance over a connection that the balancer opened
// before its last probe. It may last longer than the process, so it is refused at
// once and can be served elsewhere. A request that will end in time is served.
func TestLateStreamDuringShutdown(t *testing.T) {
	m := config(1)
	m.Match(testHost, "/stream/").Timeout = 2 * testGrace
	f := newFixture(t, m)
	b := f.backend("a", "plain", ok)
	engine := f.backend("e", "llm", ok, "warm")
	url := f.start()
	g := f.gateways[0]
	close(f.stops[0])
	testutil.WaitFor(t, func() bool { return g.tooLateToAccept(boottime.Now(), testGrace) })
	got := f.ask(http.MethodPost, url+"/stream/", testModel, "warm")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || engine.requests() != 0 {
		t.Errorf("the stream: %+v, sent %d times", got, engine.requests())
	}
	if got := f.ask(http.MethodPost, url+"/order/", testWait, "200"); got.status != http.StatusOK || b.requests() != 1 {
		t.Errorf("a short request: %+v", got)
	}
}

func TestCompleteEventsLen(t *testing.T) {
	tests := map[string]int{
		"":                          0,
		"id: 1\ndata: x\n":          0,
		"id: 1\ndata: x\n\n":        15,
		"id: 1\n\nid: 2\n\nid":      14,
		"id: 1\r\n\r\nid: 2":        9,
		"id: 1\ndata: \n\nid: 2\nd": 14,
	}
	for text, want := range tests {
		if got := new(eventstream.Scanner).Scan([]byte(text)); got != want {
			t.Errorf("%q: %d, want %d", text, got, want)
		}
	}
}

// A caller leaves while it reads a response whose server already serves another request on
// the same connection. That request must not be aborted.
func TestLateDisconnectAbortsNoOtherRequest(t *testing.T) {
	f := newFixture(t, config(1))
	proceed := make(chan struct{})
	b := f.backend("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testSigned, "1")
		if r.Header.Get(testID) == "leaving" {
			_, _ = w.Write(make([]byte, 14<<20))
			return
		}
		<-proceed
	})
	url := f.start() + "/order/"
	leaving := get(t, &http.Client{Transport: &http.Transport{}}, url, "leaving")
	other := make(chan answer)
	go func() { other <- f.ask(http.MethodGet, url, testID, "other") }()
	testutil.WaitFor(t, func() bool { return b.requests() == 2 })
	_ = leaving.Body.Close()
	testutil.WaitFor(t, func() bool { return strings.Contains(f.explain("leaving"), "reason=caller-gone") })
	time.Sleep(20 * time.Millisecond)
	close(proceed)
	if got := <-other; got.status != http.StatusOK {
		t.Errorf("other request: status %d", got.status)
	}
}
