package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// hangUp closes the connection without an answer.
func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// status answers with a status of the server's own.
func status(code int, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.WriteHeader(code)
	}
}

// first answers the first request with one handler and all others with ok.
func first(h http.HandlerFunc) http.HandlerFunc {
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

// What a caller gets, and how often a server runs the request, when servers
// fail in one way or another. Two servers fail alike at first. A request that
// may not be repeated runs once; a refusal says the truth.
func TestOutcomes(t *testing.T) {
	unsigned := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) }
	crossed := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testID, "another")
		w.Header().Set(testSigned, "1")
	}
	cut := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testSigned, "1")
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("part"))
	}
	tests := []struct {
		name   string
		path   string
		server http.HandlerFunc
		status int
		sends  int // to both servers
	}{
		{"answered", "/order/1", ok, 200, 1},
		{"order, connection closed", "/order/1", hangUp, 502, 1},
		{"read, connection closed", "/read/1", hangUp, 502, 2},
		{"order, not run", "/order/1", status(503, testNotRun, "1"), 503, 2},
		{"order, wrong server", "/order/1", status(421, testServer, "x"), 503, 2},
		{"order, success without signature", "/order/1", unsigned, 502, 1},
		{"order, answer to another", "/order/1", crossed, 502, 1},
		{"order, answer cut", "/order/1", cut, 502, 1},
		{"read, answer cut", "/read/1", cut, 502, 2},
		{"server's own failure", "/order/1", status(500, testSigned, "s"), 500, 1},
		{"server's own 404", "/read/1", status(404, testSigned, "s"), 404, 1},
		{"server's own 503", "/order/1", status(503, testSigned, "s"), 503, 1},
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

// Paths, query, body and headers reach the server as they were sent; the key
// does not, and the account is ours to name.
func TestForwardedUnchanged(t *testing.T) {
	f := newFixture(t, config(1))
	b := f.backend("a", "plain", ok)
	url := f.start()
	got := f.ask(http.MethodPost, url+"/order//x/../y%2fz?q=a%20b;c", testOwner, "forged", "Other", "kept")
	if got.status != http.StatusOK || got.body != "answer to r1" || got.header.Get(testSigned) != "1" {
		t.Fatalf("got %+v", got)
	}
	r := b.seen[0]
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
		t.Error("a server got a request that was refused")
	}
}

// An account asks for more than its rate. What lies beyond is refused with the
// time at which it may come back, and reaches no server.
func TestQuota(t *testing.T) {
	c := config(1)
	c.Accounts["account"].Rate, c.Accounts["account"].Burst = 10, 2
	f := newFixture(t, c)
	b := f.backend("a", "plain", ok)
	url := f.start()
	var last answer
	for range 10 {
		last = f.ask(http.MethodPost, url+"/order/")
	}
	wait, err := strconv.ParseFloat(last.header.Get("Retry-After"), 64)
	if last.status != http.StatusTooManyRequests || err != nil || wait <= 0 || wait > 1.5 {
		t.Errorf("status %d, Retry-After %q", last.status, last.header.Get("Retry-After"))
	}
	if n := b.requests(); n > 5 {
		t.Errorf("%d of 10 requests were sent", n)
	}
}

// events writes events from one id to another as a model server does.
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

// A server stops in the middle of the fourth event. The stream goes on at the
// other server after the third; the caller sees each event once, whole.
func TestStreamGoesOnElsewhere(t *testing.T) {
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

// The same happens to a stream that may not be resumed. The caller's connection
// is cut, so that what it got can't be taken for the whole.
func TestStreamThatMayNotBeResumedIsCut(t *testing.T) {
	f := newFixture(t, config(1))
	h := func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 3)
		panic(http.ErrAbortHandler)
	}
	a, b := f.backend("a", "llm", h, "warm"), f.backend("b", "llm", h, "warm")
	got := f.ask(http.MethodPost, f.start()+"/stream/", testModel, "warm")
	if got.err == nil {
		t.Errorf("a cut stream reads as whole: %q", got.body)
	}
	if n := a.requests() + b.requests(); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

// A server says nothing after two events. Another one goes on well before the
// caller loses patience.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
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

// A model is held by no engine. The request waits, one is ordered to unload an
// idle model and to load it, and the request is served there.
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
	time.Sleep(settleForTest) // the model just reported may not be a victim at once
	got := f.ask(http.MethodPost, url+"/stream/", testModel, "cold")
	if got.status != http.StatusOK || got.body != eventsText(1, 2) {
		t.Errorf("got %+v", got)
	}
}

// settleForTest is longer than a model stays after it was first seen.
const settleForTest = 900 * time.Millisecond

// The caller leaves while a server works. The server's connection is closed at
// once, which ends the work.
func TestCallerLeaves(t *testing.T) {
	f := newFixture(t, config(1))
	started, left := make(chan struct{}), make(chan struct{})
	f.backend("a", "plain", func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(left)
	})
	url := f.start()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	f.askCtx(ctx, http.MethodPost, url+"/order/")
	select {
	case <-left:
	case <-time.After(testutil.Patience):
		t.Error("the server still works")
	}
}

// A server is silent. The caller is told at the route's timeout; the answer
// leaves open whether the request ran.
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

// The instance is stopped while a request runs at a server. The balancer is told,
// the request ends whole, and the process ends within its grace time.
func TestStopCutsNothing(t *testing.T) {
	f := newFixture(t, config(1))
	running, finish := make(chan struct{}), make(chan struct{})
	f.backend("a", "plain", first(func(w http.ResponseWriter, r *http.Request) {
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
	testutil.WaitFor(t, func() bool { return f.status("http://"+f.gateways[0].set.Ready) == http.StatusServiceUnavailable })
	if got := f.ask(http.MethodPost, url+"/order/"); got.status != http.StatusOK || !got.closes {
		t.Errorf("a request that came after the signal: %+v", got)
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

// An instance is told to stop, and a stream comes to it over a connection that the
// balancer opened before it asked again. It may last longer than the process, and
// would be cut: it is refused as not run, at once, so that it is served elsewhere. A
// request that is sure to end in time is served.
func TestLateStreamAtAStoppingInstance(t *testing.T) {
	m := config(1)
	m.Match(testHost, "/stream/").Timeout = 2 * testGrace
	f := newFixture(t, m)
	b := f.backend("a", "plain", ok)
	engine := f.backend("e", "llm", ok, "warm")
	url := f.start()
	g := f.gateways[0]
	close(f.stops[0])
	testutil.WaitFor(t, func() bool { return g.tooLate(boottime.Now(), testGrace) })
	got := f.ask(http.MethodPost, url+"/stream/", testModel, "warm")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || engine.requests() != 0 {
		t.Errorf("the stream: %+v, sent %d times", got, engine.requests())
	}
	if got := f.ask(http.MethodPost, url+"/order/", testWait, "200"); got.status != http.StatusOK || b.requests() != 1 {
		t.Errorf("a short request: %+v", got)
	}
}

func TestWholeEvents(t *testing.T) {
	tests := map[string]int{
		"":                          0,
		"id: 1\ndata: x\n":          0,
		"id: 1\ndata: x\n\n":        15,
		"id: 1\n\nid: 2\n\nid":      14,
		"id: 1\r\n\r\nid: 2":        9,
		"id: 1\ndata: \n\nid: 2\nd": 14,
	}
	for text, want := range tests {
		if got := wholeEvents([]byte(text)); got != want {
			t.Errorf("%q: %d, want %d", text, got, want)
		}
	}
}
