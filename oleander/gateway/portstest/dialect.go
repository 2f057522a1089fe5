package portstest

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"oleanderdale.org/oleander/gateway/ports"
)

// DialectHarness gives the contract tests a dialect, and the callers and backend servers
// that use its headers.
type DialectHarness interface {
	// Dialect returns the dialect under test.
	Dialect() ports.Dialect
	// RequestHeaders returns the headers that a caller sends for a call.
	RequestHeaders(c ports.Call) http.Header
	// ParseAttempt returns what a backend server reads from the headers of an attempt:
	// the request's ID, the attempt, and the API key.
	ParseAttempt(h http.Header) (id string, a ports.Attempt, key string)
	// ResponseHeaders returns the status and headers of a backend server's response
	// that says what info says.
	ResponseHeaders(info ports.ResponseInfo) (status int, h http.Header)
}

// TestDialect tests the contract of ports.Dialect.
func TestDialect(t *testing.T, harness DialectHarness) {
	t.Run("call", func(t *testing.T) { testParseCall(t, harness) })
	t.Run("call without headers", func(t *testing.T) { testEmptyCall(t, harness) })
	t.Run("attempt", func(t *testing.T) { testForwardHeaders(t, harness) })
	t.Run("forged headers of an attempt", func(t *testing.T) { testForgedHeaders(t, harness) })
	t.Run("response", func(t *testing.T) { testParseResponse(t, harness) })
}

// sampleCall is a call with most fields set.
func sampleCall() ports.Call {
	return ports.Call{ID: "r1", APIKey: "secret", Timeout: 1500 * time.Millisecond, Model: "m", LastEventID: "12", Resumes: "r0", TotalTokens: 10, PromptTokens: 8}
}

// parseCall parses the headers of a call with the dialect under test.
func parseCall(harness DialectHarness, h http.Header) ports.Call {
	r := httptest.NewRequest(http.MethodPost, "http://any.example/p/", nil)
	r.Header = h
	return harness.Dialect().ParseCall(r)
}

func testParseCall(t *testing.T, harness DialectHarness) {
	if got := parseCall(harness, harness.RequestHeaders(sampleCall())); !reflect.DeepEqual(got, sampleCall()) {
		t.Errorf("read %+v, want %+v", got, sampleCall())
	}
}

func testEmptyCall(t *testing.T, harness DialectHarness) {
	got := parseCall(harness, make(http.Header))
	if got.ID != "" || got.APIKey != "" || got.Timeout != 0 || got.Model != "" || got.LastEventID != "" || got.Resumes != "" {
		t.Errorf("read %+v", got)
	}
}

// The request's ID and unknown headers are forwarded; the API key and hop-by-hop headers
// are not. The caller's headers are not changed: the next attempt needs them.
func testForwardHeaders(t *testing.T, harness DialectHarness) {
	from := harness.RequestHeaders(sampleCall())
	for name, v := range map[string]string{"Other": "kept", "Connection": "Drop-Me", "Drop-Me": "1", "Keep-Alive": "timeout=5"} {
		from.Set(name, v)
	}
	want := ports.Attempt{Account: "account", Server: "s1", Timeout: 1200 * time.Millisecond, LastEventID: "17"}
	h := harness.Dialect().ForwardHeaders(from, want)
	id, got, key := harness.ParseAttempt(h)
	if id != "r1" || got != want || key != "" {
		t.Errorf("received ID %q, %+v, key %q", id, got, key)
	}
	if h.Get("Other") != "kept" || h.Get("Drop-Me") != "" || h.Get("Keep-Alive") != "" || h.Get("Connection") != "" {
		t.Errorf("headers %v", h)
	}
	if from.Get("Drop-Me") == "" || parseCall(harness, from).APIKey != "secret" {
		t.Errorf("the caller's headers were changed to %v", from)
	}
}

// A caller that sends the headers of an attempt, as only the gateway may, reaches
// neither another client account nor another server.
func testForgedHeaders(t *testing.T, harness DialectHarness) {
	forged := harness.Dialect().ForwardHeaders(make(http.Header), ports.Attempt{Account: "another", Server: "s9", Timeout: time.Hour})
	want := ports.Attempt{Server: "s1", Timeout: time.Second}
	_, got, _ := harness.ParseAttempt(harness.Dialect().ForwardHeaders(forged, want))
	if got != want {
		t.Errorf("received %+v, want %+v", got, want)
	}
}

func testParseResponse(t *testing.T, harness DialectHarness) {
	for _, info := range []ports.ResponseInfo{
		{RequestID: "r1", Signed: true, Server: "s1"},
		{RequestID: "r1"},
		{RequestID: "r1", NotExecuted: true, Server: "s2"},
		{RequestID: "r1", Signed: true, Feedback: ports.Feedback{RateLimit: ports.RateLimit{Named: true, PerSecond: 3.1}}},
		{RequestID: "r1", Signed: true, Feedback: ports.Feedback{Leaving: true}},
		{RequestID: "r1", NotExecuted: true, Feedback: ports.Feedback{Rest: 1500 * time.Millisecond}},
		{RequestID: "r1", NotExecuted: true, Feedback: ports.Feedback{RateLimit: ports.RateLimit{Named: true}}},
	} {
		status, h := harness.ResponseHeaders(info)
		if got := harness.Dialect().ParseResponse(status, h); got != info {
			t.Errorf("read %+v, want %+v", got, info)
		}
	}
	if !harness.Dialect().ParseResponse(http.StatusMisdirectedRequest, make(http.Header)).NotExecuted {
		t.Error("a response of another server counts as executed")
	}
	if harness.Dialect().ParseResponse(http.StatusServiceUnavailable, make(http.Header)).NotExecuted {
		t.Error("a failure that does not say so counts as not executed")
	}
}
