package callers

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"oleanderdale.org/oleander/process/dev"
	"oleanderdale.org/oleander/process/explain"
	"oleanderdale.org/oleander/standin/engine"
	"oleanderdale.org/oleander/version/apikey"
)

// The deployment is started at the first free port of this range.
const (
	firstPort = 21000
	lastPort  = 24000
	portStep  = 100
)

var (
	deployment   *dev.Deployment
	instanceLogs logBuffer // the logs of all instances
)

// logBuffer is a bytes.Buffer that is safe for concurrent use by the instances.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	for port := firstPort; port < lastPort; port += portStep {
		d, err := dev.Start(context.Background(), dev.Settings{Port: port, Instances: 1, Engines: 2, TokenTime: time.Millisecond, Log: &instanceLogs})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			continue
		}
		defer d.Close()
		deployment = d
		return m.Run()
	}
	fmt.Fprintln(os.Stderr, "found no free ports for the deployment")
	return 1
}

func baseURL(n int) string { return "http://" + deployment.Instances[n].CallerAddress() }

func newClient(n int, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(baseURL(n)+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(7),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("door 7 jams")},
	}
}

// An unmodified client library, configured only with the base URL and a key, must
// get complete and streamed responses of a model and of an adapter, with the same
// content.
func TestOpenAIClient(t *testing.T) {
	ctx := context.Background()
	for n := range deployment.Instances {
		c := newClient(n, deployment.Key)
		for _, model := range []string{"fault-summary", "fault-summary:hospital-doors"} {
			answer, err := c.Chat.Completions.New(ctx, chatParams(model))
			if err != nil {
				t.Fatalf("instance %d, %s: %v", n, model, err)
			}
			if got := len(strings.Fields(answer.Choices[0].Message.Content)); got != 7 || answer.Usage.CompletionTokens != 7 {
				t.Errorf("instance %d, %s: %d words, usage %+v", n, model, got, answer.Usage)
			}
			if streamed := streamContent(t, c, model); streamed != answer.Choices[0].Message.Content {
				t.Errorf("instance %d, %s: streamed %q, complete %q", n, model, streamed, answer.Choices[0].Message.Content)
			}
		}
	}
}

func streamContent(t *testing.T, c openai.Client, model string) string {
	t.Helper()
	var b strings.Builder
	s := c.Chat.Completions.NewStreaming(context.Background(), chatParams(model))
	for s.Next() {
		for _, choice := range s.Current().Choices {
			b.WriteString(choice.Delta.Content)
		}
	}
	if s.Err() != nil {
		t.Fatal(s.Err())
	}
	return b.String()
}

func TestOpenAIClientCompletionsAndModels(t *testing.T) {
	ctx := context.Background()
	c := newClient(0, deployment.Key)
	answer, err := c.Completions.New(ctx, openai.CompletionNewParams{
		Model: "fault-summary", MaxTokens: openai.Int(4), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("door 7")},
	})
	if err != nil || len(strings.Fields(answer.Choices[0].Text)) != 4 {
		t.Errorf("completion %+v, %v", answer, err)
	}
	models, err := c.Models.List(ctx)
	if err != nil || len(models.Data) != 3 {
		t.Errorf("models %+v, %v", models, err)
	}
	model, err := c.Models.Get(ctx, "fault-summary:hospital-doors")
	if err != nil || model.ID != "fault-summary:hospital-doors" {
		t.Errorf("model %+v, %v", model, err)
	}
	if _, err := c.Models.Get(ctx, "no-such"); statusCode(err) != http.StatusNotFound {
		t.Errorf("unknown model: %v", err)
	}
}

func statusCode(err error) int {
	if e, ok := err.(*openai.Error); ok {
		return e.StatusCode
	}
	return 0
}

// errorMessage returns the message that the library reads from a refusal.
func errorMessage(err error) string {
	if e, ok := err.(*openai.Error); ok {
		return e.Message
	}
	return ""
}

// The library must be able to parse the status and the message of the refusals for
// an invalid key and for an unknown model.
func TestOpenAIClientParsesRefusals(t *testing.T) {
	ctx := context.Background()
	invalid := newClient(0, "odk_wrongwrongwrongwrongwrong")
	if _, err := invalid.Chat.Completions.New(ctx, chatParams("fault-summary")); statusCode(err) != http.StatusUnauthorized || !strings.Contains(errorMessage(err), "withdrawn") {
		t.Errorf("invalid key: %v", err)
	}
	valid := newClient(0, deployment.Key)
	if _, err := valid.Chat.Completions.New(ctx, chatParams("no-such")); statusCode(err) != http.StatusNotFound || !strings.Contains(errorMessage(err), "No such model") {
		t.Errorf("unknown model: %v", err)
	}
}

// invalidCall is a call with one error, and the response that it must get.
type invalidCall struct {
	name    string
	method  string
	path    string
	headers map[string]string
	body    string
	status  int
	detail  string // must be part of the response
}

func invalidCalls(key string) []invalidCall {
	const completions = "/v1/chat/completions"
	const validBody = `{"model":"fault-summary","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`
	h := func(name, value string) map[string]string { return map[string]string{name: value} }
	return []invalidCall{
		{"no key", "POST", completions, h("Authorization", ""), validBody, 401, "Authorization: Bearer"},
		{"another authentication scheme", "POST", completions, h("Authorization", "Basic "+key), validBody, 401, "Authorization: Bearer"},
		{"unknown path", "GET", "/v2/models", nil, "", 404, "nothing at this path"},
		{"wrong method", "GET", completions, nil, "", 405, "GET"},
		{"not JSON", "POST", completions, nil, "hello", 400, "byte 1"},
		{"truncated JSON", "POST", completions, nil, `{"model":`, 400, "byte 9"},
		{"a JSON array", "POST", completions, nil, `[]`, 400, "wrong type"},
		{"a field of the wrong type", "POST", completions, nil, `{"model":7}`, 400, "model"},
		{"no model", "POST", completions, nil, `{"messages":[{}]}`, 400, "model"},
		{"no messages", "POST", completions, nil, `{"model":"fault-summary"}`, 400, "messages"},
		{"no prompt", "POST", "/v1/completions", nil, `{"model":"fault-summary"}`, 400, "prompt"},
		{"several choices", "POST", completions, nil, strings.Replace(validBody, `"max_tokens":1`, `"n":2`, 1), 400, "takes 1 only"},
		{"a token limit of 0", "POST", completions, nil, strings.Replace(validBody, `"max_tokens":1`, `"max_tokens":0`, 1), 400, "max_tokens"},
		{"a huge token limit", "POST", completions, nil, strings.Replace(validBody, `"max_tokens":1`, `"max_tokens":99999999`, 1), 400, "max_tokens"},
		{"an unknown model", "POST", completions, nil, strings.Replace(validBody, "fault-summary", "no-such", 1), 404, "No such model"},
		{"a timeout in words", "POST", completions, h("Request-Timeout", "soon"), validBody, 400, "Request-Timeout"},
		{"a negative timeout", "POST", completions, h("Request-Timeout", "-1"), validBody, 400, "Request-Timeout"},
		{"a timeout that is not a number", "POST", completions, h("Request-Timeout", "NaN"), validBody, 400, "Request-Timeout"},
		{"a timeout of more than a year", "POST", completions, h("Request-Timeout", "40000000"), validBody, 400, "Request-Timeout"},
		{"a malformed priority", "POST", completions, h("Priority", "u="), validBody, 400, "Priority"},
		{"a priority out of range", "POST", completions, h("Priority", "u=9"), validBody, 400, "0 to 7"},
		{"the key in the body", "POST", completions, nil, strings.Replace(validBody, `"x"`, `"`+key+`"`, 1), 400, "copy of the key"},
		{"the key in the query", "POST", completions + "?key=" + key, nil, validBody, 400, "copy of the key"},
		{"a body that is too large", "POST", completions, nil, validBody + strings.Repeat(" ", 5<<20), 413, "larger than"},
		{"headers that are too large", "POST", completions, h("X-Filler", strings.Repeat("x", 37<<10)), validBody, 431, ""},
		{"an unknown service", "POST", "/services/no-such/x", nil, "", 404, "service"},
		{"a non-idempotent call without an idempotency key", "POST", "/services/work-orders/x", nil, "", 400, "Idempotency-Key"},
		{"a long idempotency key", "POST", "/services/work-orders/x", h("Idempotency-Key", strings.Repeat("k", 200)), "", 400, "128"},
		{"an idempotency key with a slash", "POST", "/services/work-orders/x", h("Idempotency-Key", "a/b"), "", 400, "printable"},
	}
}

// Each call has one error. The response must have a 4xx status and a message that
// names the error, and a valid call afterwards must be answered.
func TestInvalidCalls(t *testing.T) {
	for _, c := range invalidCalls(deployment.Key) {
		t.Run(c.name, func(t *testing.T) {
			resp := send(t, 0, c)
			defer resp.Body.Close()
			if c.status == http.StatusRequestHeaderFieldsTooLarge {
				// net/http itself responds to this call and may reset the connection
				// after the status line, so that the body can be missing.
				if resp.StatusCode != c.status {
					t.Errorf("status %d, want %d", resp.StatusCode, c.status)
				}
				return
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != c.status || !strings.Contains(string(body), c.detail) {
				t.Errorf("status %d, want %d; %s", resp.StatusCode, c.status, body)
			}
			if strings.Contains(string(body), deployment.Key) {
				t.Error("the response contains the API key")
			}
			checkProblemDetails(t, resp, body)
		})
	}
	valid := newClient(0, deployment.Key)
	if _, err := valid.Chat.Completions.New(context.Background(), chatParams("fault-summary")); err != nil {
		t.Errorf("a valid call after the invalid ones: %v", err)
	}
}

// send sends the call to instance n. An empty header value removes the header.
func send(t *testing.T, n int, c invalidCall) *http.Response {
	t.Helper()
	req, err := http.NewRequest(c.method, baseURL(n)+c.path, strings.NewReader(c.body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+deployment.Key)
	for name, value := range c.headers {
		if req.Header.Set(name, value); value == "" {
			req.Header.Del(name)
		}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// checkProblemDetails checks that the response has the format of RFC 9457 and says
// that the call was not run.
func checkProblemDetails(t *testing.T, resp *http.Response, body []byte) {
	t.Helper()
	var p struct {
		Type, Title, Detail, Ran string
		Status                   int
	}
	if err := json.Unmarshal(body, &p); err != nil {
		t.Fatalf("%v: %s", err, body)
	}
	if got := resp.Header.Get("Content-Type"); got != "application/problem+json" {
		t.Errorf("content type %s", got)
	}
	if p.Type == "" || p.Title == "" || p.Detail == "" || p.Status != resp.StatusCode || p.Ran != "not-run" {
		t.Errorf("problem %+v", p)
	}
}

// A client starts a request and never completes its headers. The instance must
// close the connection after its header timeout, so that such clients can't use up
// all connections.
func TestHeaderTimeout(t *testing.T) {
	conn, err := net.Dial("tcp", deployment.Instances[0].CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Slow: "); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	rest, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("the connection was still open after a minute: %v", err)
	}
	if strings.HasPrefix(string(rest), "HTTP/1.1 200") {
		t.Errorf("got %q", rest)
	}
}

// A caller sends the same order to every instance. It must run once; each repeat
// must get the first response, marked as replayed. The same idempotency key with
// another body must be refused.
func TestOrderRunsOnce(t *testing.T) {
	order := func(n int, body string) (int, string, string) {
		resp := send(t, n, invalidCall{method: "POST", path: "/services/work-orders/orders", body: body, headers: map[string]string{"Idempotency-Key": "callers-1"}})
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(b), resp.Header.Get("Idempotent-Replayed")
	}
	code, first, replay := order(0, `{"door":7}`)
	if code != http.StatusOK || replay != "" {
		t.Fatalf("first: %d %s", code, first)
	}
	for n := range deployment.Instances {
		if code, again, replay := order(n, `{"door":7}`); code != http.StatusOK || again != first || replay != "true" {
			t.Errorf("repeat at instance %d: %d %s %q", n, code, again, replay)
		}
	}
	if code, body, _ := order(0, `{"door":8}`); code != http.StatusUnprocessableEntity {
		t.Errorf("another body: %d %s", code, body)
	}
	runs := 0
	for _, z := range deployment.Backends {
		for _, s := range z.Services {
			for _, r := range s.Runs() {
				if r.IdempotencyKey == "callers-1" {
					runs++
				}
			}
			if v := s.Violations(); v.APIKeySeen > 0 || v.AccountMissing > 0 {
				t.Errorf("violations %+v", v)
			}
		}
	}
	if runs != 1 {
		t.Errorf("the order ran %d times, want 1", runs)
	}
}

// logPrefix matches the beginning of each message: the component that logs it.
var logPrefix = regexp.MustCompile(`"message":"(daemon|front|peer|loop|core|config|placement|store|servers): `)

// Answered, refused and malformed calls are logged. No line may contain an API
// key, the digest of one, or the text of a prompt, and each message must begin with
// the name of the component.
func TestLogsContainNoSecrets(t *testing.T) {
	const prompt = "the-door-of-ward-9-does-not-close"
	for _, body := range []string{
		`{"model":"fault-summary","max_tokens":2,"messages":[{"role":"user","content":"` + prompt + `"}]}`,
		`{"model":"no-such","messages":[{"role":"user","content":"` + prompt + `"}]}`,
		`{"model":"` + prompt,
	} {
		resp := send(t, 0, invalidCall{method: "POST", path: "/v1/chat/completions", body: body})
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	text := instanceLogs.String()
	if text == "" {
		t.Fatal("nothing was logged")
	}
	for _, secret := range []string{deployment.Key, string(apikey.Digest(deployment.Key)), prompt, "door 7 jams"} {
		if strings.Contains(text, secret) {
			t.Errorf("the logs contain %q", secret)
		}
	}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		if !logPrefix.MatchString(line) {
			t.Errorf("no component is named in %s", line)
		}
	}
}

// explainRequest returns what `oleander explain` prints about the request of a
// response, from the logs of all instances.
func explainRequest(t *testing.T, resp *http.Response) string {
	t.Helper()
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	id := resp.Header.Get("Request-Id")
	var b strings.Builder
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s := explain.New(id)
		if err := s.Read(strings.NewReader(instanceLogs.String())); err != nil {
			t.Fatal(err)
		}
		b.Reset()
		if err := s.Write(&b); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(b.String(), "request ended") {
			break
		}
	}
	return b.String()
}

// Three kinds of failed request, as described in docs/OPERATIONS.md for
// oleanderdale's own interface. The log lines with the request's id must name the
// cause.
func TestLogsNameTheCause(t *testing.T) {
	const validBody = `{"model":"fault-summary","max_tokens":20,"stream":true,"messages":[{"role":"user","content":"x"}]}`
	setFaults := func(f engine.Faults) {
		for _, z := range deployment.Backends {
			for _, e := range z.Engines {
				e.SetFaults(f)
			}
		}
	}
	defer setFaults(engine.Faults{})
	tests := []struct {
		name   string
		faults engine.Faults
		header map[string]string
		want   []string
	}{
		{
			"refused by all engines", engine.Faults{RefuseCalls: 1000}, map[string]string{"Request-Timeout": "2"},
			[]string{"core: request sent on", "front: attempt ended", "result=refused", "core: request refused", "run=not-run", "tries=", "waited_ms=",
				"config_age_ms=", "config: version in force"},
		},
		{
			"deadline missed", engine.Faults{CallDelay: 3 * time.Second}, map[string]string{"Request-Timeout": "0.4"},
			[]string{"core: request sent on", "left_ms=", "server=", "result=cancelled", "front: request ended", "reason=deadline", "begun=false"},
		},
		{
			"stream interrupted", engine.Faults{BreakStreams: 1000, BreakAfter: 3}, map[string]string{"Request-Timeout": "2"},
			[]string{"front: attempt ended", "result=broken", "answered=true", "begun=true", "front: request ended", "outcome=refused"},
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			setFaults(tc.faults)
			text := explainRequest(t, send(t, 0, invalidCall{method: "POST", path: "/v1/chat/completions", body: validBody, headers: tc.header}))
			for _, want := range tc.want {
				if !strings.Contains(text, want) {
					t.Errorf("%q is missing in\n%s", want, text)
				}
			}
		})
	}
}
