package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	client "oleanderdale.org/oleander/clients/engine"
	"oleanderdale.org/oleander/internal/testutil"
)

const longLoadTime = time.Hour // a load does not end within a test

// testEngine is an engine that listens on the loopback interface.
type testEngine struct {
	*Engine
	url string
}

// startEngine starts an engine that runs until the test ends. Its caches have 100
// bytes each, and so has its memory unless Settings say otherwise.
func startEngine(t *testing.T, s Settings) *testEngine {
	t.Helper()
	if s.MemoryBytes == 0 {
		s.MemoryBytes = 100
	}
	s.HostCacheBytes, s.DiskCacheBytes, s.Resumes = 100, 100, true
	l := testutil.Listen(t)
	e := &testEngine{Engine: New(s), url: "http://" + l.Addr().String()}
	served := make(chan error, 1)
	go func() { served <- e.Serve(l) }()
	t.Cleanup(func() {
		e.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return e
}

func loadOrder(order id.Order, a id.Artifact, bytes int64, d time.Duration) client.OrderRequest {
	return client.OrderRequest{Order: order, Kind: event.OrderLoad, Artifact: a, Bytes: bytes, LoadTime: d}
}

func unloadOrder(a id.Artifact) client.OrderRequest {
	return client.OrderRequest{Order: "u", Kind: event.OrderUnload, Artifact: a}
}

// mustLoad loads an artifact of 10 bytes and waits until it is loaded.
func (e *testEngine) mustLoad(t *testing.T, a id.Artifact) {
	t.Helper()
	if status, detail := e.HandleOrder(loadOrder("o-"+id.Order(a), a, 10, time.Millisecond)); status != http.StatusAccepted {
		t.Fatalf("load: %d %s", status, detail)
	}
	testutil.WaitFor(t, func() bool { return e.reportedArtifact(a).State == message.Loaded })
}

// reportedArtifact returns the entry of a in the engine's report, or the zero value
// if there is none.
func (e *testEngine) reportedArtifact(a id.Artifact) message.HeldArtifact {
	for _, h := range e.Report().Held {
		if h.Artifact == a {
			return h
		}
	}
	return message.HeldArtifact{}
}

// clientResponse is a response as the caller received it.
type clientResponse struct {
	status   int
	header   http.Header
	ids      []string
	text     string
	usage    *tokenUsage
	complete bool // the end marker of a stream was received
	err      error
}

// call sends a call and reads the response. Values in header replace the defaults.
func (e *testEngine) call(ctx context.Context, path, body string, header map[string]string) clientResponse {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+path, strings.NewReader(body))
	if err != nil {
		return clientResponse{err: err}
	}
	req.Header.Set(AccountHeader, "depot")
	req.Header.Set(AttemptHeader, "attempt-1")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return clientResponse{err: err}
	}
	defer resp.Body.Close()
	r := clientResponse{status: resp.StatusCode, header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		r.readEvents(resp.Body)
		return r
	}
	data, err := io.ReadAll(resp.Body)
	if r.err = err; err == nil && r.status == http.StatusOK {
		r.addBody(data)
	}
	return r
}

func (r *clientResponse) readEvents(body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "id":
			r.ids = append(r.ids, value)
		case name == "data" && value == EndMarker:
			r.complete = true
		case name == "data":
			r.addBody([]byte(value))
		}
	}
	if r.err == nil {
		r.err = lines.Err()
	}
}

// addBody adds a JSON body, or the data of one event of a stream.
func (r *clientResponse) addBody(body []byte) {
	var a struct {
		Choices []struct {
			Text           string
			Delta, Message ChatMessage
		}
		Usage *tokenUsage
	}
	if r.err = json.Unmarshal(body, &a); r.err == nil {
		c := a.Choices[0]
		r.text += c.Text + c.Delta.Content + c.Message.Content
		r.usage = a.Usage
	}
}

const (
	streamBody = `{"model":"m","prompt":"which door?","max_tokens":5,"stream":true,"user":"u1"}`
	plainBody  = `{"model":"m","prompt":"which door?","max_tokens":5,"user":"u1"}`
	longBody   = `{"model":"m","prompt":"tell it all","max_tokens":1000,"stream":true}`
)

func TestResponses(t *testing.T) {
	digest := RequestDigest("u1", "which door?")
	chatDigest := RequestDigest("", ChatPrompt([]ChatMessage{{Role: "user", Content: "hello"}}))
	const chatBody = `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":3,"stream":`
	tests := []struct {
		name, path, body, resume, want string
		ids                            int
		complete                       bool
	}{
		{"plain", CompletionsPath, plainBody, "", ResponseText(digest, 5), 0, false},
		{"stream", CompletionsPath, streamBody, "", ResponseText(digest, 5), 6, true},
		{"chat", ChatPath, chatBody + "false}", "", ResponseText(chatDigest, 3), 0, false},
		{"chat stream", ChatPath, chatBody + "true}", "", ResponseText(chatDigest, 3), 4, true},
		{"resumed", CompletionsPath, streamBody, "3", Token(digest, 3) + Token(digest, 4), 3, true},
		{"resumed at the end", CompletionsPath, streamBody, "5", "", 1, true},
	}
	e := startEngine(t, Settings{})
	e.mustLoad(t, "m")
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			header := map[string]string{}
			if test.resume != "" {
				header[ResumeHeader] = test.resume
			}
			r := e.call(context.Background(), test.path, test.body, header)
			if r.err != nil || r.status != http.StatusOK || r.text != test.want || r.complete != test.complete || len(r.ids) != test.ids {
				t.Fatalf("response: %+v", r)
			}
			for i, got := range r.ids {
				if first, _ := strconv.Atoi(test.resume); got != strconv.Itoa(first+i) {
					t.Errorf("event %d has ID %s", i, got)
				}
			}
			if r.usage == nil || r.usage.PromptTokens == 0 || r.usage.CompletionTokens == 0 {
				t.Errorf("usage %+v", r.usage)
			}
		})
	}
	if a := e.Accounts()["depot"]; a.Runs != len(tests) || a.GeneratedTokens != 5+5+3+3+2+0 {
		t.Errorf("account usage: %+v", a)
	}
	if h := e.reportedArtifact("m"); h.Uses != uint64(len(tests)) || h.Running != 0 || h.Idle <= 0 {
		t.Errorf("reported artifact: %+v", h)
	}
}

// A refused call gets an error status that says that it was not executed, and no
// run is recorded.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		body   string
		header map[string]string
		status int
	}{
		{"not loaded", Faults{}, `{"model":"m:a","prompt":"p"}`, nil, http.StatusServiceUnavailable},
		{"leaving", Faults{Leaving: true}, plainBody, nil, http.StatusServiceUnavailable},
		{"refused", Faults{RefuseCalls: 1}, plainBody, nil, http.StatusServiceUnavailable},
		{"no account", Faults{}, plainBody, map[string]string{AccountHeader: ""}, http.StatusBadRequest},
		{"resumed beyond the end", Faults{}, plainBody, map[string]string{ResumeHeader: "6"}, http.StatusBadRequest},
		{"malformed body", Faults{}, `{"model":`, nil, http.StatusBadRequest},
		{"no prompt", Faults{}, `{"model":"m"}`, nil, http.StatusBadRequest},
	}
	e := startEngine(t, Settings{})
	e.mustLoad(t, "m")
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e.SetFaults(test.faults)
			r := e.call(context.Background(), CompletionsPath, test.body, test.header)
			if r.err != nil || r.status != test.status {
				t.Errorf("response: %+v", r)
			}
			if leaving := r.header.Get(LeavingHeader) == "true"; leaving != test.faults.Leaving {
				t.Errorf("header Oleanderdale-Leaving is set: %v", leaving)
			}
		})
	}
	if runs := e.Runs(); len(runs) != 0 {
		t.Errorf("runs: %+v", runs)
	}
}

// A stream's connection is closed after two tokens, or the stream ends normally but
// without the end marker. The caller must be able to tell both from a complete
// response.
func TestInterruptedStreams(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		err    bool
	}{
		{"connection closed", Faults{BreakStreams: 1, BreakAfter: 2}, true},
		{"no end marker", Faults{TruncateStreams: 1, BreakAfter: 2}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := startEngine(t, Settings{})
			e.mustLoad(t, "m")
			e.SetFaults(test.faults)
			r := e.call(context.Background(), CompletionsPath, streamBody, nil)
			if r.complete || len(r.ids) != 2 || (r.err != nil) != test.err {
				t.Errorf("response: %+v", r)
			}
			testutil.WaitFor(t, func() bool { return e.Runs()[0].Outcome == RunInterrupted })
		})
	}
}

// The caller disconnects during a stream. The engine must stop generating, and its
// report must show the artifact as idle again.
func TestCallerCancels(t *testing.T) {
	e := startEngine(t, Settings{TokenTime: time.Millisecond})
	e.mustLoad(t, "m")
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for e.Accounts()["depot"].GeneratedTokens == 0 {
			time.Sleep(time.Millisecond)
		}
		if h := e.reportedArtifact("m"); h.Running != 1 || h.Idle != 0 {
			t.Errorf("during the call: %+v", h)
		}
		cancel()
	}()
	if r := e.call(ctx, CompletionsPath, longBody, nil); !errors.Is(r.err, context.Canceled) {
		t.Errorf("response: %+v", r)
	}
	testutil.WaitFor(t, func() bool { return e.Usage().Cancelled == 1 })
	if h := e.reportedArtifact("m"); h.Running != 0 || h.Idle <= 0 {
		t.Errorf("after the call: %+v", h)
	}
}

// A prompt crashes the engine. The connections of its caller and of another caller
// must be closed. The engine must restart at the same address with a new boot ID,
// without loaded artifacts and with the checkpoint on disk.
func TestCrash(t *testing.T) {
	e := startEngine(t, Settings{TokenTime: time.Millisecond, RestartDelay: 20 * time.Millisecond})
	e.mustLoad(t, "m")
	before := e.Report().BootID
	e.SetFaults(Faults{CrashMarker: "boom"})
	other := make(chan clientResponse, 1)
	go func() { other <- e.call(context.Background(), CompletionsPath, longBody, nil) }()
	testutil.WaitFor(t, func() bool { return e.Accounts()["depot"].GeneratedTokens > 0 })
	if r := e.call(context.Background(), CompletionsPath, `{"model":"m","prompt":"a boom"}`, nil); r.err == nil {
		t.Errorf("call that crashes the engine: %+v", r)
	}
	if r := <-other; r.err == nil || r.complete {
		t.Errorf("other call: %+v", r)
	}
	c := client.New(client.Settings{Timeout: testutil.Timeout})
	var report message.Report
	testutil.WaitFor(t, func() (ok bool) {
		var err error
		report, err = c.FetchReport(context.Background(), strings.TrimPrefix(e.url, "http://"))
		return err == nil
	})
	if report.BootID == before || len(report.Held) != 0 || len(report.Cached) != 1 || report.Cached[0].Level != message.CacheDisk {
		t.Errorf("report: %+v", report)
	}
	for _, r := range e.Runs() {
		if r.Outcome != RunCrashed {
			t.Errorf("run: %+v", r)
		}
	}
}

// The engine crashes during a load. Nothing of the load must remain.
func TestCrashDuringLoad(t *testing.T) {
	e := startEngine(t, Settings{RestartDelay: time.Millisecond})
	e.SetFaults(Faults{CrashLoads: 1})
	e.HandleOrder(loadOrder("o", "m", 10, time.Millisecond))
	testutil.WaitFor(t, func() bool { return e.Usage().Crashes == 1 })
	if held := e.Report().Held; len(held) != 0 {
		t.Errorf("held: %+v", held)
	}
}

func TestUnloadWaitsForRunningRequests(t *testing.T) {
	e := startEngine(t, Settings{TokenTime: time.Millisecond})
	e.mustLoad(t, "m")
	done := make(chan clientResponse, 1)
	go func() {
		done <- e.call(context.Background(), CompletionsPath, `{"model":"m","prompt":"p","max_tokens":100,"stream":true}`, nil)
	}()
	testutil.WaitFor(t, func() bool { return e.Accounts()["depot"].GeneratedTokens > 0 })
	e.HandleOrder(unloadOrder("m"))
	if state := e.reportedArtifact("m").State; state != message.Unloading {
		t.Errorf("state %q", state)
	}
	if r := e.call(context.Background(), CompletionsPath, plainBody, nil); r.status != http.StatusServiceUnavailable {
		t.Errorf("new call: %+v", r)
	}
	if r := <-done; !r.complete {
		t.Errorf("running call: %+v", r)
	}
	testutil.WaitFor(t, func() bool { return len(e.Report().Held) == 0 })
}

func TestOrdersWithinMemory(t *testing.T) {
	e := startEngine(t, Settings{})
	steps := []struct {
		name   string
		order  client.OrderRequest
		status int
		want   Violations
	}{
		{"first", loadOrder("1", "a", 60, longLoadTime), http.StatusAccepted, Violations{}},
		{"repeated", loadOrder("1", "a", 60, longLoadTime), http.StatusAccepted, Violations{}},
		{"same artifact, other order", loadOrder("2", "a", 60, longLoadTime), http.StatusUnprocessableEntity, Violations{DuplicateLoad: 1}},
		{"beyond the memory", loadOrder("3", "b", 50, longLoadTime), http.StatusUnprocessableEntity, Violations{DuplicateLoad: 1, Overcommit: 1}},
		{"fits exactly", loadOrder("4", "c", 40, longLoadTime), http.StatusAccepted, Violations{DuplicateLoad: 1, Overcommit: 1}},
		{"unload cancels a load", unloadOrder("a"), http.StatusAccepted, Violations{DuplicateLoad: 1, Overcommit: 1}},
		{"fits after the unload", loadOrder("5", "b", 50, longLoadTime), http.StatusAccepted, Violations{DuplicateLoad: 1, Overcommit: 1}},
	}
	for _, step := range steps {
		if status, detail := e.HandleOrder(step.order); status != step.status || e.Violations() != step.want {
			t.Fatalf("%s: status %d (%s), violations %+v", step.name, status, detail, e.Violations())
		}
	}
}

func TestCacheLevels(t *testing.T) {
	e := startEngine(t, Settings{RestartDelay: time.Millisecond})
	e.mustLoad(t, "m")
	e.HandleOrder(unloadOrder("m"))
	e.mustLoad(t, "m")
	e.Crash()
	e.mustLoad(t, "m")
	want := map[message.CacheLevel]int{message.CacheRemote: 1, message.CacheMemory: 1, message.CacheDisk: 1}
	if got := e.Usage().Loads; !maps.Equal(got, want) {
		t.Errorf("loads from %v, want %v", got, want)
	}
}

func TestAPIKeyDetectedAnywhere(t *testing.T) {
	e := startEngine(t, Settings{})
	ctx := context.Background()
	e.call(ctx, CompletionsPath, `{"model":"odk_x","prompt":"p"}`, nil)
	e.call(ctx, CompletionsPath+"?key=odk%5Fx", plainBody, nil)
	e.call(ctx, CompletionsPath, plainBody, map[string]string{"X-Copy": "Bearer odk_x"})
	e.call(ctx, CompletionsPath, plainBody, nil)
	if v := e.Violations(); v.APIKeySeen != 3 {
		t.Errorf("violations: %+v", v)
	}
}

func TestFaultsOverHTTP(t *testing.T) {
	e := startEngine(t, Settings{})
	e.SetFaults(Faults{CrashMarker: "boom"})
	post := func(body string) int {
		resp, err := http.Post(e.url+"/faults", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}
	if status := post(`{"leaving": true, "slow": 5}`); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if status := post(`{"leaves": true}`); status != http.StatusBadRequest {
		t.Errorf("unknown field: status %d", status)
	}
	if f := e.Faults(); f != (Faults{CrashMarker: "boom", Leaving: true, CallDelay: 5}) {
		t.Errorf("faults: %+v", f)
	}
}
