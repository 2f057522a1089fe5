package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/oleander/connection/upstream"
)

const testKey = "odk_testtesttesttesttest"

// fakeCore stands in for the core: it dispatches a call to each of the servers in
// turn until one attempt succeeds, and refuses the call after the last.
type fakeCore struct {
	front   *Front
	servers []string
	once    bool // dispatch calls as non-idempotent

	mu           sync.Mutex
	nextServer   int
	events       []event.Event
	ended        chan event.AttemptEnded
	callerGone   chan struct{} // closed when the front reports that the caller has gone
	unresponsive bool          // send no commands
}

func (s *fakeCore) Post(e event.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
	switch e := e.(type) {
	case event.CallArrived:
		s.dispatchNext(e.Call.Request)
	case event.AttemptEnded:
		s.ended <- e
		switch {
		case e.Result == event.AttemptCompleted && s.once:
			s.front.Deliver(e.Request, event.Answer{Request: e.Request, Status: e.Status, ContentType: e.ContentType, Body: e.Body, Unconfirmed: e.Unconfirmed})
		case e.Result != event.AttemptCompleted && e.Result != event.AttemptCancelled:
			s.dispatchNext(e.Request)
		}
	case event.CallerDisconnected:
		close(s.callerGone)
	}
}

// dispatchNext sends the call r to the next server, or refuses it.
func (s *fakeCore) dispatchNext(r id.Request) {
	if s.unresponsive {
		return
	}
	if s.nextServer == len(s.servers) {
		s.front.Deliver(r, event.Refuse{Request: r, Refusal: event.Refusal{Reason: event.ReasonInterrupted, Execution: event.MayHaveRun, RetryAfter: 1500 * time.Millisecond}})
		return
	}
	s.nextServer++
	s.front.Deliver(r, event.Dispatch{
		Request: r, Attempt: id.Attempt(fmt.Sprint("attempt", s.nextServer)), Address: s.servers[s.nextServer-1],
		Account: "a", AtMostOnce: s.once, Deadline: clock.Never,
	})
}

// engineFunc handles one attempt at an engine.
type engineFunc func(w http.ResponseWriter, r *http.Request)

// setup runs a front with a fakeCore and one server for each of the engines. It
// returns the core and the URL of the front.
func setup(t *testing.T, resumes bool, engines ...engineFunc) (*fakeCore, string) {
	t.Helper()
	c := &config.Config{
		Groups:    map[id.Group]config.Group{"g": {Name: "g", Resumes: resumes}},
		Artifacts: map[id.Artifact]config.Artifact{"m": {Name: "m", Group: "g"}},
	}
	s := &fakeCore{ended: make(chan event.AttemptEnded, 10), callerGone: make(chan struct{})}
	for _, e := range engines {
		server := httptest.NewServer(http.HandlerFunc(e))
		t.Cleanup(server.Close)
		s.servers = append(s.servers, strings.TrimPrefix(server.URL, "http://"))
	}
	settings := DefaultSettings()
	settings.Instance = "i.1"
	s.front = New(settings, s, upstream.New(), func() *config.Config { return c }, nil, zerolog.Nop())
	server := httptest.NewServer(s.front.Handler())
	t.Cleanup(server.Close)
	return s, server.URL
}

// writeTokens writes one event for each token from first up to, not including,
// last.
func writeTokens(w io.Writer, first, last int) {
	for n := first; n < last; n++ {
		fmt.Fprintf(w, "id: %d\ndata: {\"n\":%d}\n\n", n, n)
	}
}

func writeEndMarker(w io.Writer) { _, _ = io.WriteString(w, "data: [DONE]\n\n") }

// abortConnection sends what was written and closes the connection.
func abortConnection(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// post sends a request with the test key in several headers.
func post(t *testing.T, ctx context.Context, url, path, body string) *http.Response {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("Idempotency-Key", "k1")
	r.Header.Set("Cookie", "session="+testKey)
	r.Header.Set("X-Api-Key", testKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

const (
	streamBody   = `{"model":"m","stream":true,"prompt":"x"}`
	bufferedBody = `{"model":"m","prompt":"x"}`
)

// readTokens returns the tokens of a stream and its last line, if that is the end
// marker or an error event.
func readTokens(t *testing.T, resp *http.Response) (got []string, last string) {
	t.Helper()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		switch l := lines.Text(); {
		case strings.HasPrefix(l, "data: {\"n\""):
			got = append(got, strings.TrimSuffix(strings.TrimPrefix(l, "data: {\"n\":"), "}"))
		case l == "data: [DONE]", strings.HasPrefix(l, "event: error"):
			last = l
		}
	}
	return got, last
}

// TestStreamRecovery: engines interrupt a stream, repeat events or skip some. The
// caller must receive each token once and in order, and an error event instead of
// the end marker if the response is incomplete.
func TestStreamRecovery(t *testing.T) {
	whole := func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 0, 4); writeEndMarker(w) }
	for name, c := range map[string]struct {
		resumes bool
		engines []engineFunc
		tokens  string
		last    string
	}{
		"complete": {engines: []engineFunc{whole}, tokens: "0 1 2 3", last: "data: [DONE]"},
		"interrupted and resumed at its offset": {resumes: true, tokens: "0 1 2 3", last: "data: [DONE]", engines: []engineFunc{
			func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 0, 2); abortConnection(w) },
			func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Resume-Offset") != "2" {
					http.Error(w, "wrong offset "+r.Header.Get("Resume-Offset"), http.StatusBadRequest)
					return
				}
				writeTokens(w, 2, 4)
				writeEndMarker(w)
			},
		}},
		"resumed from an earlier offset": {resumes: true, tokens: "0 1 2 3", last: "data: [DONE]", engines: []engineFunc{
			func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 0, 2); abortConnection(w) },
			whole,
		}},
		"interrupted, engine cannot resume": {tokens: "0 1", last: "event: error", engines: []engineFunc{
			func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 0, 2); abortConnection(w) },
		}},
		"end marker missing": {tokens: "0 1 2 3", last: "event: error", engines: []engineFunc{
			func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 0, 4) },
		}},
		"repeated events": {tokens: "0 1 2 3", last: "data: [DONE]", engines: []engineFunc{
			func(w http.ResponseWriter, _ *http.Request) {
				writeTokens(w, 0, 3)
				writeTokens(w, 1, 4)
				writeEndMarker(w)
			},
		}},
		"skipped event": {tokens: "0 1", last: "event: error", engines: []engineFunc{
			func(w http.ResponseWriter, _ *http.Request) {
				writeTokens(w, 0, 2)
				writeTokens(w, 3, 4)
				writeEndMarker(w)
			},
		}},
		"interrupted before the first token and retried": {tokens: "0 1 2 3", last: "data: [DONE]", engines: []engineFunc{
			func(w http.ResponseWriter, _ *http.Request) { abortConnection(w) },
			whole,
		}},
	} {
		t.Run(name, func(t *testing.T) {
			_, url := setup(t, c.resumes, c.engines...)
			got, last := readTokens(t, post(t, t.Context(), url, "/v1/completions", streamBody))
			if strings.Join(got, " ") != c.tokens || last != c.last {
				t.Errorf("tokens %v, then %q; want %s, then %q", got, last, c.tokens, c.last)
			}
		})
	}
}

// TestTruncatedResponseIsRetried: an engine interrupts a response that is not
// streamed. The caller has received nothing, so the call is retried at another
// server. With no server left, the refusal must say that it is unknown whether the
// call ran.
func TestTruncatedResponseIsRetried(t *testing.T) {
	broken := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"half":`); abortConnection(w) }
	good := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", mediaTypeJSON)
		_, _ = io.WriteString(w, `{"usage":{"completion_tokens":3}}`)
	}
	s, url := setup(t, false, broken, good)
	resp := post(t, t.Context(), url, "/v1/completions", bufferedBody)
	if b, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || !strings.Contains(string(b), "usage") {
		t.Errorf("%d %s %v", resp.StatusCode, b, err)
	}
	if e := <-s.ended; e.Result != event.AttemptBroken || e.ResponseStarted {
		t.Errorf("first attempt %+v", e)
	}
	if e := <-s.ended; e.Result != event.AttemptCompleted || e.GeneratedTokens != 3 {
		t.Errorf("second attempt %+v", e)
	}
	_, url = setup(t, false, broken)
	resp = post(t, t.Context(), url, "/v1/completions", bufferedBody)
	if b, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Retry-After") != "2" || !strings.Contains(string(b), `"ran":"unknown"`) {
		t.Errorf("%d, Retry-After %q, %s", resp.StatusCode, resp.Header.Get("Retry-After"), b)
	}
}

// Guards against a service's response that ended with its connection, perhaps too early, and reaches the caller with a length.
func TestUnframedServiceResponseIsNotFramed(t *testing.T) {
	_, url := setup(t, false, func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it")
		_ = c.Close()
	})
	resp := post(t, t.Context(), url, "/services/orders/7", "{}")
	if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "half of it" || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		t.Errorf("%q, %v, length %d, encoding %v", b, err, resp.ContentLength, resp.TransferEncoding)
	}
}

// streamUntilCancelled streams until the request is cancelled, then closes cancelled.
func streamUntilCancelled(cancelled chan<- struct{}) engineFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for n := 0; r.Context().Err() == nil; n++ {
			writeTokens(w, n, n+1)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Millisecond)
		}
		close(cancelled)
	}
}

// TestCallerDisconnectCancelsTheEngine: a caller disconnects during a stream. The
// request to the engine must be cancelled and the core told, or the call would
// keep its turn and its tokens.
func TestCallerDisconnectCancelsTheEngine(t *testing.T) {
	cancelled := make(chan struct{})
	s, url := setup(t, true, streamUntilCancelled(cancelled))
	ctx, cancel := context.WithCancel(t.Context())
	resp := post(t, ctx, url, "/v1/completions", streamBody)
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	cancel()
	waitFor(t, cancelled, "the request to the engine was not cancelled")
	if e := <-s.ended; e.Result != event.AttemptCancelled || !e.ResponseStarted {
		t.Errorf("attempt %+v", e)
	}
}

// TestCancelEndsAStream: the key of a caller is withdrawn during a stream. The
// stream must end with an error event, and the request to the engine be cancelled.
func TestCancelEndsAStream(t *testing.T) {
	cancelled := make(chan struct{})
	s, url := setup(t, true, streamUntilCancelled(cancelled))
	resp := post(t, t.Context(), url, "/v1/completions", streamBody)
	r := id.Request(resp.Header.Get(headerRequestID))
	s.front.Deliver(r, event.Cancel{Request: r, Attempt: "attempt1", Refusal: event.Refusal{Reason: event.ReasonUnknownKey, Execution: event.MayHaveRun}})
	if _, last := readTokens(t, resp); last != "event: error" {
		t.Errorf("the stream ended with %q", last)
	}
	waitFor(t, cancelled, "the request to the engine was not cancelled")
}

// waitFor waits until c is closed, and reports otherwise as the error if it is not.
func waitFor(t *testing.T, c <-chan struct{}, otherwise string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(30 * time.Second):
		t.Error(otherwise)
	}
}

// TestUnresponsiveCoreDoesNotBlockCallers: the core sends no command for a call.
// The front must refuse the call shortly after its deadline, without claiming that
// it did not run.
func TestUnresponsiveCoreDoesNotBlockCallers(t *testing.T) {
	s, url := setup(t, false)
	s.unresponsive = true
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/completions", strings.NewReader(bufferedBody))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set(headerRequestTimeout, "0.05")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if b, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(b), `"ran":"unknown"`) {
		t.Errorf("%d %s", resp.StatusCode, b)
	}
	waitFor(t, s.callerGone, "the core was not told that the call has ended")
}

// TestAPIKeyIsNotForwarded: a caller sends its API key in the Authorization header,
// a cookie and a custom header. The key must reach neither model engines nor
// plain services.
func TestAPIKeyIsNotForwarded(t *testing.T) {
	var mu sync.Mutex
	headers := make(map[string]http.Header)
	record := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		headers[r.URL.Path] = r.Header.Clone()
		_, _ = io.WriteString(w, `{}`)
	}
	s, url := setup(t, false, record, record)
	_, _ = io.ReadAll(post(t, t.Context(), url, "/v1/completions", bufferedBody).Body)
	s.once = true
	resp := post(t, t.Context(), url, "/services/orders/new/7", "{}")
	if b, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK || string(b) != "{}" {
		t.Errorf("%d %s", resp.StatusCode, b)
	}
	for _, path := range []string{"/v1/completions", "/new/7"} {
		h := headers[path]
		if h == nil {
			t.Fatalf("no request for %s, only %v", path, headers)
		}
		if strings.Contains(fmt.Sprint(h), testKey) || h.Get("Client-Account") != "a" || h.Get("Attempt-Id") == "" {
			t.Errorf("%s: headers %v", path, h)
		}
	}
	if headers["/new/7"].Get("Idempotency-Key") != "k1" {
		t.Errorf("the service did not receive the idempotency key: %v", headers["/new/7"])
	}
}

// TestPathsAreNotRedirected: paths with dot segments or double slashes must be
// served or refused unchanged. A redirect would make the caller repeat its request
// at another path.
func TestPathsAreNotRedirected(t *testing.T) {
	s, _ := setup(t, false)
	f := New(DefaultSettings(), s, upstream.New(), func() *config.Config { return nil }, nil, zerolog.Nop())
	for _, path := range []string{"/services/../x", "/services//x", "/services/x/../y", "//v1/models", "/v1/./models", "/services/..%2fx"} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPut, "http://h/", nil)
		r.URL.Path, r.URL.RawPath = path, ""
		f.Handler().ServeHTTP(w, r)
		if w.Code < 400 {
			t.Errorf("%s: status %d, Location %q", path, w.Code, w.Header().Get("Location"))
		}
	}
}

// TestConnectionLimit: a caller opens more connections than MaxConnections. The
// excess connections must wait until another one is closed, instead of using the
// instance's memory, and then be served.
func TestConnectionLimit(t *testing.T) {
	s, _ := setup(t, false)
	settings := DefaultSettings()
	settings.MaxConnections = 2
	f := New(settings, s, upstream.New(), func() *config.Config { return nil }, nil, zerolog.Nop())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = f.Serve(l) }()
	defer f.Server().Close()
	first, second, third := sendRequest(t, l.Addr()), sendRequest(t, l.Addr()), sendRequest(t, l.Addr())
	if readStatus(t, first) != 404 || readStatus(t, second) != 404 {
		t.Error("the first connections were not served")
	}
	_ = third.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	if n, err := third.Read(make([]byte, 1)); err == nil {
		t.Errorf("the third connection got %d bytes while two are open", n)
	}
	_ = first.Close()
	_ = third.SetReadDeadline(time.Now().Add(30 * time.Second))
	if readStatus(t, third) != 404 {
		t.Error("the third connection was not served after the first had closed")
	}
}

// sendRequest opens a connection and requests a path that does not exist.
func sendRequest(t *testing.T, to net.Addr) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", to.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return c
}

func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
