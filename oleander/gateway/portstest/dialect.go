package portstest

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"oleanderdale.org/oleander/gateway/ports"
)

// DialectHarness is a dialect with the other ends of its connections.
type DialectHarness interface {
	Dialect() ports.Dialect
	// RequestHeaders returns the headers that a caller sends for a call.
	RequestHeaders(c ports.Call) http.Header
	// ParseAttempt returns what a backend server reads in the headers of an
	// attempt: the request's id, what the gateway says, and the caller's key.
	ParseAttempt(h http.Header) (id string, a ports.Attempt, key string)
	// ResponseHeaders returns the status and headers with which a backend server says
	// what head says.
	ResponseHeaders(head ports.ResponseInfo) (status int, h http.Header)
}

// TestDialect runs the contract of ports.Dialect.
func TestDialect(t *testing.T, w DialectHarness) {
	t.Run("a call is read as it was sent", func(t *testing.T) { testReadCall(t, w) })
	t.Run("a call that says nothing", func(t *testing.T) { testEmptyCall(t, w) })
	t.Run("an attempt says what the gateway says", func(t *testing.T) { testForward(t, w) })
	t.Run("a caller can't speak for the gateway", func(t *testing.T) { testForged(t, w) })
	t.Run("an answer is read as it was sent", func(t *testing.T) { testReadAnswer(t, w) })
}

func call() ports.Call {
	return ports.Call{ID: "r1", APIKey: "secret", Timeout: 1500 * time.Millisecond, Model: "m", LastEventID: "12", TotalTokens: 10, PromptTokens: 8}
}

func read(w DialectHarness, h http.Header) ports.Call {
	r := httptest.NewRequest(http.MethodPost, "http://any.example/p/", nil)
	r.Header = h
	return w.Dialect().ParseCall(r)
}

func testReadCall(t *testing.T, w DialectHarness) {
	if got := read(w, w.RequestHeaders(call())); !reflect.DeepEqual(got, call()) {
		t.Errorf("read %+v, want %+v", got, call())
	}
}

func testEmptyCall(t *testing.T, w DialectHarness) {
	got := read(w, make(http.Header))
	if got.ID != "" || got.APIKey != "" || got.Timeout != 0 || got.Model != "" || got.LastEventID != "" {
		t.Errorf("read %+v", got)
	}
}

// The request's id and foreign headers are passed on; the key, and what concerns
// one connection only, is not. The caller's headers stay as they were: they are
// needed for the next attempt.
func testForward(t *testing.T, w DialectHarness) {
	from := w.RequestHeaders(call())
	for name, v := range map[string]string{"Other": "kept", "Connection": "Drop-Me", "Drop-Me": "1", "Keep-Alive": "timeout=5"} {
		from.Set(name, v)
	}
	want := ports.Attempt{Account: "account", Server: "s1", Timeout: 1200 * time.Millisecond, LastEventID: "17"}
	h := w.Dialect().ForwardHeaders(from, want)
	id, got, key := w.ParseAttempt(h)
	if id != "r1" || got != want || key != "" {
		t.Errorf("received %q, %+v, key %q", id, got, key)
	}
	if h.Get("Other") != "kept" || h.Get("Drop-Me") != "" || h.Get("Keep-Alive") != "" || h.Get("Connection") != "" {
		t.Errorf("headers %v", h)
	}
	if from.Get("Drop-Me") == "" || read(w, from).APIKey != "secret" {
		t.Errorf("the caller's headers became %v", from)
	}
}

// A caller sends headers of an attempt, as if it were the gateway. It gets
// neither another account nor another server.
func testForged(t *testing.T, w DialectHarness) {
	forged := w.Dialect().ForwardHeaders(make(http.Header), ports.Attempt{Account: "another", Server: "s9", Timeout: time.Hour})
	want := ports.Attempt{Server: "s1", Timeout: time.Second}
	_, got, _ := w.ParseAttempt(w.Dialect().ForwardHeaders(forged, want))
	if got != want {
		t.Errorf("received %+v, want %+v", got, want)
	}
}

func testReadAnswer(t *testing.T, w DialectHarness) {
	for _, head := range []ports.ResponseInfo{
		{RequestID: "r1", Signed: true, Server: "s1"},
		{RequestID: "r1"},
		{RequestID: "r1", NotExecuted: true, Server: "s2"},
	} {
		status, h := w.ResponseHeaders(head)
		if got := w.Dialect().ParseResponse(status, h); got != head {
			t.Errorf("read %+v, want %+v", got, head)
		}
	}
	if !w.Dialect().ParseResponse(http.StatusMisdirectedRequest, make(http.Header)).NotExecuted {
		t.Error("an answer of another server counts as a run")
	}
	if w.Dialect().ParseResponse(http.StatusServiceUnavailable, make(http.Header)).NotExecuted {
		t.Error("a failure that does not say so counts as not run")
	}
}
