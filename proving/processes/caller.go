package processes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Result is the result of one call as its caller sees it.
type Result struct {
	Status    int    // 0 if the connection failed
	Execution string // whether a refused call was executed
	Reason    string // of a refusal, or error-event for a stream that ended with an error
	Body      string // of a refusal or of the response of a plain service
	Tokens    int    // content events of a stream
	Completed bool   // the response was read to its end; for a stream, including its end marker
	Err       error
}

// Interrupted reports whether the caller got neither a complete response nor a
// refusal.
func (r Result) Interrupted() bool {
	return r.Err != nil || (r.Status == http.StatusOK && !r.Completed)
}

// problemDetails holds the fields that are read of a refusal (RFC 9457).
type problemDetails struct {
	Type      string `json:"type"`
	Execution string `json:"ran"`
}

// Caller is a client that sends calls with one API key.
type Caller struct {
	APIKey string
	Client *http.Client
}

// NewCaller returns a Caller with a timeout for each call.
func NewCaller(key string, timeout time.Duration) *Caller {
	return &Caller{APIKey: key, Client: &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// Stream requests a streamed chat completion and reads it to its end.
func (c *Caller) Stream(ctx context.Context, address, model string, tokens int, prompt string) Result {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, prompt)
	resp, err := c.post(ctx, address, "/v1/chat/completions", body, "")
	if err != nil {
		return Result{Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return parseRefusal(resp)
	}
	r := Result{Status: resp.StatusCode}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		switch line := lines.Text(); {
		case line == "data: [DONE]":
			r.Completed = true
		case strings.HasPrefix(line, "event: error"):
			r.Reason = "error-event"
		case strings.Contains(line, `"content"`):
			r.Tokens++
		}
	}
	r.Err = lines.Err()
	return r
}

// PlaceOrder sends a non-idempotent call to the service orders. key is its
// idempotency key and the order's text.
func (c *Caller) PlaceOrder(ctx context.Context, address, key string) Result {
	resp, err := c.post(ctx, address, "/services/orders/new", `{"order":"`+key+`"}`, key)
	if err != nil {
		return Result{Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return parseRefusal(resp)
	}
	b, err := io.ReadAll(resp.Body)
	return Result{Status: resp.StatusCode, Body: string(b), Completed: err == nil, Err: err}
}

func (c *Caller) post(ctx context.Context, address, path, body, idempotencyKey string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // keeps net/http from sending the request again by itself
	req.Header.Set("Authorization", "Bearer "+c.APIKey)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return c.Client.Do(req)
}

// parseRefusal reads a response with another status than 200.
func parseRefusal(resp *http.Response) Result {
	b, err := io.ReadAll(resp.Body)
	r := Result{Status: resp.StatusCode, Body: string(b), Err: err}
	var p problemDetails
	if json.Unmarshal(b, &p) == nil {
		r.Execution, r.Reason = p.Execution, p.Type[strings.LastIndex(p.Type, "/")+1:]
	}
	return r
}

// Load sends calls to a deployment with a bounded number at a time and counts
// their results.
type Load struct {
	Concurrency int // calls at a time
	Streams     atomic.Int64
	Orders      atomic.Int64
	Refused     atomic.Int64

	mu            sync.Mutex
	interruptions []string
	refusalCounts map[string]int
}

const (
	tokensPerStream = 30
	orderInterval   = 3 // one call in orderInterval is an order
	// maxInterruptions is how many interrupted calls are described.
	maxInterruptions = 20
	callTimeout      = 60 * time.Second
	// Every adapterInterval-th call is for an adapter, unless it is an order.
	adapterInterval = 5
)

// Run sends calls until ctx ends, and waits for those in progress.
func (l *Load) Run(ctx context.Context, b *Balancer, key string) {
	l.refusalCounts = make(map[string]int)
	var wg sync.WaitGroup
	for n := range l.Concurrency {
		wg.Go(func() { l.runCaller(ctx, b, key, n) })
	}
	wg.Wait()
}

func (l *Load) runCaller(ctx context.Context, b *Balancer, key string, n int) {
	c := NewCaller(key, callTimeout)
	defer c.Client.CloseIdleConnections()
	for k := 0; ctx.Err() == nil; k++ {
		inst := b.Pick()
		if inst == nil {
			l.recordInterruption("no instance is ready")
			time.Sleep(readinessInterval)
			continue
		}
		name := fmt.Sprintf("load-%d-%d", n, k)
		// The end of ctx does not cancel calls in progress.
		if k%orderInterval == 0 {
			l.Orders.Add(1)
			l.recordResult(inst, "order", c.PlaceOrder(context.Background(), inst.CallerAddress, name))
			continue
		}
		l.Streams.Add(1)
		model := "summary"
		if k%adapterInterval == 0 {
			model = "summary:doors"
		}
		r := c.Stream(context.Background(), inst.CallerAddress, model, tokensPerStream, name)
		if r.Status == http.StatusOK && r.Completed && r.Tokens != tokensPerStream {
			l.recordInterruption(fmt.Sprintf("%s returned %d tokens of %d", inst.Name, r.Tokens, tokensPerStream))
		}
		l.recordResult(inst, "stream", r)
	}
}

func (l *Load) recordResult(inst *Instance, kind string, r Result) {
	switch {
	case r.Interrupted():
		l.recordInterruption(fmt.Sprintf("%s %s: status %d, %v %s", inst.Name, kind, r.Status, r.Err, r.Reason))
	case r.Status != http.StatusOK:
		l.Refused.Add(1)
		l.mu.Lock()
		l.refusalCounts[fmt.Sprintf("%s %s %d %s", inst.Name, kind, r.Status, r.Reason)]++
		l.mu.Unlock()
	}
}

func (l *Load) recordInterruption(description string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.interruptions) < maxInterruptions {
		l.interruptions = append(l.interruptions, description)
	}
}

// Interruptions describes the calls that got neither a complete response nor a
// refusal, at most the first maxInterruptions.
func (l *Load) Interruptions() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.interruptions...)
}

// RefusalCounts returns the number of refusals by instance, kind, status and reason.
func (l *Load) RefusalCounts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusalCounts
}
