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

// Result is what a caller saw of one call.
type Result struct {
	Status    int    // 0: the connection failed
	Execution string // of a refusal
	Reason    string
	Body      string // of a refusal or of a plain service
	Tokens    int    // of a stream
	Completed bool   // the stream had its end marker
	Err       error
}

// Cut reports whether the caller got neither a whole answer nor a refusal.
func (r Result) Interrupted() bool {
	return r.Err != nil || (r.Status == http.StatusOK && !r.Completed)
}

// problem is what a caller reads of a refusal.
type problem struct {
	Type string `json:"type"`
	Ran  string `json:"ran"`
}

// Caller makes calls with a key.
type Caller struct {
	APIKey string
	Client *http.Client
}

// NewCaller returns a Caller whose calls end after limit.
func NewCaller(key string, limit time.Duration) *Caller {
	return &Caller{APIKey: key, Client: &http.Client{Timeout: limit, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// Stream asks for a streamed completion and reads it to its end.
func (c *Caller) Stream(ctx context.Context, address, model string, tokens int, prompt string) Result {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, prompt)
	resp, err := c.post(ctx, address, "/v1/chat/completions", body, "")
	if err != nil {
		return Result{Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
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

// Order makes a once-only call of the service orders.
func (c *Caller) PlaceOrder(ctx context.Context, address, key string) Result {
	resp, err := c.post(ctx, address, "/services/orders/new", `{"order":"`+key+`"}`, key)
	if err != nil {
		return Result{Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}
	b, err := io.ReadAll(resp.Body)
	return Result{Status: resp.StatusCode, Body: string(b), Completed: err == nil, Err: err}
}

func (c *Caller) post(ctx context.Context, address, path, body, idempotency string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.APIKey)
	req.Header.Set("Content-Type", "application/json")
	if idempotency != "" {
		req.Header.Set("Idempotency-Key", idempotency)
	}
	return c.Client.Do(req)
}

func refused(resp *http.Response) Result {
	b, err := io.ReadAll(resp.Body)
	r := Result{Status: resp.StatusCode, Body: string(b), Err: err}
	var p problem
	if json.Unmarshal(b, &p) == nil {
		r.Execution, r.Reason = p.Ran, p.Type[strings.LastIndex(p.Type, "/")+1:]
	}
	return r
}

// Load is a bounded load on a deployment.
type Load struct {
	Concurrency int // at a time
	Streams     atomic.Int64
	Orders      atomic.Int64
	Refused     atomic.Int64

	mu      sync.Mutex
	cuts    []string
	refused map[string]int
}

const (
	loadTokens   = 30
	orderEvery   = 3 // each third call is an order
	mostCuts     = 20
	callLimit    = 60 * time.Second
	loadModelDiv = 5
)

// Run makes calls until ctx ends, and waits for the last ones.
func (l *Load) Run(ctx context.Context, b *Balancer, key string) {
	l.refused = make(map[string]int)
	var wg sync.WaitGroup
	for n := range l.Concurrency {
		wg.Go(func() { l.call(ctx, b, key, n) })
	}
	wg.Wait()
}

func (l *Load) call(ctx context.Context, b *Balancer, key string, n int) {
	c := NewCaller(key, callLimit)
	defer c.Client.CloseIdleConnections()
	for k := 0; ctx.Err() == nil; k++ {
		e := b.Pick()
		if e == nil {
			l.cut("no instance takes calls")
			time.Sleep(balanceEvery)
			continue
		}
		name := fmt.Sprintf("load-%d-%d", n, k)
		// The calls themselves are not bound to ctx: they run to their end.
		if k%orderEvery == 0 {
			l.Orders.Add(1)
			l.note(e, "order", c.PlaceOrder(context.Background(), e.CallerAddress, name))
			continue
		}
		l.Streams.Add(1)
		model := "summary"
		if k%loadModelDiv == 0 {
			model = "summary:doors"
		}
		r := c.Stream(context.Background(), e.CallerAddress, model, loadTokens, name)
		if r.Status == http.StatusOK && r.Completed && r.Tokens != loadTokens {
			l.cut(fmt.Sprintf("%s answered %d tokens of %d", e.Name, r.Tokens, loadTokens))
		}
		l.note(e, "stream", r)
	}
}

func (l *Load) note(e *Instance, kind string, r Result) {
	switch {
	case r.Interrupted():
		l.cut(fmt.Sprintf("%s %s: status %d, %v %s", e.Name, kind, r.Status, r.Err, r.Reason))
	case r.Status != http.StatusOK:
		l.Refused.Add(1)
		l.mu.Lock()
		l.refused[fmt.Sprintf("%s %s %d %s", e.Name, kind, r.Status, r.Reason)]++
		l.mu.Unlock()
	}
}

func (l *Load) cut(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.cuts) < mostCuts {
		l.cuts = append(l.cuts, what)
	}
}

// Cuts lists the calls that got neither a whole answer nor a refusal.
func (l *Load) Interruptions() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.cuts...)
}

// RefusedFor counts the refusals by instance, kind, status and reason.
func (l *Load) RefusalCounts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}
