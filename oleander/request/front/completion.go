package front

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/connection"
	"oleanderdale.org/core/event"
	"oleanderdale.org/oleander/connection/upstream"
)

const (
	mediaTypeJSON        = "application/json"
	mediaTypeEventStream = "text/event-stream"
)

// handleCompletion serves /v1/chat/completions and /v1/completions.
func (f *Front) handleCompletion(w http.ResponseWriter, r *http.Request) {
	stream := false
	x, body := f.readCall(w, r, func(body []byte, call *event.Call) (err error) {
		stream, err = parseCompletion(r.URL.Path == chatPath, body, call)
		return err
	})
	if x == nil {
		return
	}
	defer x.end()
	x.streaming = stream
	x.run(w, r, &completionCall{
		exchange: x, w: w, path: r.URL.Path, body: body,
		assembler: connection.New[string](connection.Options{Resumes: f.canResumeStreams(x.call), Repeatable: true}),
	})
}

const chatPath = "/v1/chat/completions"

// canResumeStreams reports whether the engines of the called model can continue
// an interrupted stream at an offset.
func (f *Front) canResumeStreams(call event.Call) bool {
	c := f.config()
	if c == nil {
		return false
	}
	return c.Groups[c.Artifacts[call.Artifact].Group].Resumes
}

// completionCall runs the attempts of one completion.
type completionCall struct {
	exchange        *exchange
	w               http.ResponseWriter
	path            string
	body            []byte
	assembler       *connection.Stream[string] // joins the events of all attempts
	recovery        connection.Decision        // how to go on after the last interrupted attempt
	generatedTokens int
}

func (c *completionCall) runAttempt(ctx context.Context, d event.Dispatch) event.AttemptEnded {
	ended := event.AttemptEnded{Request: d.Request, Attempt: d.Attempt}
	c.assembler.Begin(d.Attempt)
	err := c.send(ctx, d, &ended)
	ended.ResponseStarted = c.exchange.responseStarted
	ended.GeneratedTokens = c.generatedTokens
	if err == nil {
		return ended
	}
	c.recovery = c.assembler.Break(d.Attempt)
	var u *upstream.Error
	if !errors.As(err, &u) {
		u = upstream.ClassifyError(ctx, d.Address, err)
	}
	ended.Result, ended.Leaving = u.Result, u.Leaving
	return ended
}

// send sends one attempt and relays the response.
func (c *completionCall) send(ctx context.Context, d event.Dispatch, ended *event.AttemptEnded) error {
	r, err := c.newRequest(ctx, d)
	if err != nil {
		return &upstream.Error{Result: event.AttemptNotSent}
	}
	resp, err := c.exchange.front.upstream.Do(r, false)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if c.exchange.streaming && resp.StatusCode == http.StatusOK {
		return c.copyStream(d, resp)
	}
	return c.copyBuffered(ctx, resp, ended)
}

// newRequest returns the request to the engine. After an interrupted stream it
// asks the engine to resume at the first missing token, if the engine can.
func (c *completionCall) newRequest(ctx context.Context, d event.Dispatch) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, errors.Wrap(err, "front: build the request to the engine")
	}
	r.Header.Set("Content-Type", mediaTypeJSON)
	r.Header.Set(upstream.HeaderAccount, string(d.Account))
	r.Header.Set(upstream.HeaderAttempt, string(d.Attempt))
	if c.recovery.Action == connection.Resume {
		r.Header.Set(upstream.HeaderResumeOffset, strconv.FormatInt(c.recovery.Offset, 10))
	}
	return r, nil
}

// copyStream relays the engine's events to the caller as they arrive.
func (c *completionCall) copyStream(d event.Dispatch, resp *http.Response) error {
	events := upstream.NewEventReader(resp.Body)
	for {
		ev, err := events.Next()
		if err != nil {
			return err
		}
		if ev.End {
			return c.write("data: [DONE]\n\n")
		}
		if err := c.handleEvent(d, ev); err != nil {
			return err
		}
	}
}

// handleEvent relays one event. Events with a token offset are put in order, and
// duplicates dropped; events without one, such as the token usage, are relayed
// unchanged.
func (c *completionCall) handleEvent(d event.Dispatch, ev upstream.Event) error {
	if ev.Offset < 0 {
		return c.write("data: " + string(ev.Data) + "\n\n")
	}
	text := "id: " + strconv.Itoa(ev.Offset) + "\ndata: " + string(ev.Data) + "\n\n"
	result, err := c.assembler.Add(connection.Part[string]{Attempt: d.Attempt, Offset: int64(ev.Offset), Data: []string{text}})
	if err != nil || result != connection.Accepted {
		return err
	}
	for _, token := range c.assembler.Next() {
		c.generatedTokens++
		if err := c.write(token); err != nil {
			return err
		}
	}
	return nil
}

// write sends s to the caller at once, after the headers if need be.
func (c *completionCall) write(s string) error {
	if !c.exchange.responseStarted {
		c.startStream()
	}
	if _, err := io.WriteString(c.w, s); err != nil {
		return &upstream.Error{Result: event.AttemptCancelled}
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return &upstream.Error{Result: event.AttemptCancelled}
	}
	return nil
}

// startStream sends the headers of a streaming response.
func (c *completionCall) startStream() {
	h := c.w.Header()
	h.Set("Content-Type", mediaTypeEventStream)
	h.Set("Cache-Control", "no-store")
	c.w.WriteHeader(http.StatusOK)
	c.exchange.recordResponseStart()
}

// usageBody is the token usage in an engine's response.
type usageBody struct {
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// copyBuffered relays a response that is not streamed, after it has arrived
// completely. If it is interrupted, the caller has received nothing and the call
// can be retried.
func (c *completionCall) copyBuffered(ctx context.Context, resp *http.Response, ended *event.AttemptEnded) error {
	body, err := c.exchange.readResponse(ctx, resp)
	if err != nil && !errors.Is(err, errResponseNotHeld) {
		return err
	}
	if err != nil || (resp.StatusCode == http.StatusOK && !json.Valid(body)) {
		return &upstream.Error{Result: event.AttemptBroken}
	}
	var u usageBody
	if json.Unmarshal(body, &u) == nil && u.Usage != nil {
		c.generatedTokens = u.Usage.CompletionTokens
	}
	c.w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(resp.StatusCode)
	c.exchange.recordResponseStart()
	if _, err := c.w.Write(body); err != nil {
		return &upstream.Error{Result: event.AttemptCancelled}
	}
	return nil
}

// recordResponseStart records that the first part of the response was sent to the
// caller, and tells the core.
func (x *exchange) recordResponseStart() {
	if x.responseStarted {
		return
	}
	x.responseStarted = true
	x.responseLatency = time.Since(x.start)
	x.front.poster.Post(event.AttemptStarted{Request: x.call.Request})
}
