package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/oleander/standin/internal/serve"
)

const (
	maxCallBytes     = 16 << 20
	defaultMaxTokens = 16
	maxTokensLimit   = 1 << 20
)

// endpoint is the endpoint of the OpenAI-compatible interface that a call uses.
type endpoint int

const (
	completions endpoint = iota
	chat
)

// call is one OpenAI-compatible request.
type call struct {
	Model               id.Artifact   `json:"model"`
	Prompt              string        `json:"prompt"`
	Messages            []ChatMessage `json:"messages"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	User                string        `json:"user"`

	endpoint endpoint
	account  string
	attempt  string
	offset   int // number of tokens that the caller has received already
	digest   string
}

// callError is an error response in the format of the OpenAI interface.
type callError struct {
	status  int
	code    string
	message string
	leaving bool
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func (c *callError) writeTo(w http.ResponseWriter) {
	if c.leaving {
		w.Header().Set(LeavingHeader, "true")
	}
	kind := "invalid_request_error"
	if c.status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	serve.WriteJSON(w, c.status, errorBody{errorDetail{Message: c.message, Type: kind, Code: c.code}})
}

// badRequest returns an error response with status 400.
func badRequest(message string) *callError {
	return &callError{status: http.StatusBadRequest, code: "bad_request", message: message}
}

func (e *Engine) serveCall(target endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
		if err != nil {
			serve.Abort()
		}
		e.checkAPIKey(r, body)
		e.abortIfDown()
		c, failure := e.parseCall(r, body, target)
		if failure != nil {
			failure.writeTo(w)
			return
		}
		if failure = e.runCall(w, r, c); failure != nil {
			failure.writeTo(w)
		}
	}
}

// parseCall decodes a call and checks it.
func (e *Engine) parseCall(r *http.Request, body []byte, target endpoint) (*call, *callError) {
	c := &call{endpoint: target, account: r.Header.Get(AccountHeader), attempt: r.Header.Get(AttemptHeader)}
	if c.account == "" {
		e.mu.Lock()
		e.recorder.violations.AccountMissing++
		e.mu.Unlock()
		return nil, badRequest(AccountHeader + " is missing")
	}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, badRequest("body is malformed")
	}
	if target == chat {
		c.Prompt = ChatPrompt(c.Messages)
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = c.MaxCompletionTokens
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
	}
	if c.MaxTokens < 0 || c.MaxTokens > maxTokensLimit || c.Prompt == "" {
		return nil, badRequest("prompt is empty or max_tokens is out of range")
	}
	c.digest = RequestDigest(c.User, c.Prompt)
	return c, e.parseResumeOffset(c, r.Header.Get(ResumeHeader))
}

// parseResumeOffset sets the offset of c from the value of ResumeHeader.
func (e *Engine) parseResumeOffset(c *call, header string) *callError {
	if header == "" {
		return nil
	}
	n, err := strconv.Atoi(header)
	if err != nil || n < 0 || n > c.MaxTokens || !e.settings.Resumes {
		return badRequest("invalid resume offset, or resuming is not supported")
	}
	c.offset = n
	return nil
}

// runCall runs a call from its admission to the end of the response.
func (e *Engine) runCall(w http.ResponseWriter, r *http.Request, c *call) *callError {
	bootCtx := e.bootContext()
	h, failure := e.acquire(c)
	if failure != nil {
		return failure
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(bootCtx, cancel)()
	run := e.startRun(c)
	err := e.generateResponse(ctx, w, c, run)
	outcome := RunCompleted
	switch {
	case err == nil:
	case bootCtx.Err() != nil:
		outcome = RunCrashed
	case errors.Is(err, errConnectionClosed) || errors.Is(err, errStreamTruncated):
		outcome = RunInterrupted
	default:
		outcome = RunCancelled
	}
	e.release(h, run, outcome)
	if err != nil && !errors.Is(err, errStreamTruncated) {
		serve.Abort()
	}
	return nil
}

// acquire admits a call and counts it as running if its artifact is loaded.
func (e *Engine) acquire(c *call) (*heldArtifact, *callError) {
	refuse := e.faults.Consume(func(f *Faults) *int { return &f.RefuseCalls })
	leaving := e.faults.Get().Leaving
	e.mu.Lock()
	defer e.mu.Unlock()
	if leaving {
		return nil, &callError{status: http.StatusServiceUnavailable, code: "leaving", message: "the server is leaving", leaving: true}
	}
	if refuse {
		return nil, &callError{status: http.StatusServiceUnavailable, code: "overloaded", message: "too many requests"}
	}
	h := e.held[c.Model]
	if h == nil || h.state != message.Loaded || !e.baseModelLoaded(c.Model) {
		return nil, &callError{status: http.StatusServiceUnavailable, code: "not_loaded", message: "the model is not loaded"}
	}
	e.recorder.endIdle(h, time.Now())
	h.running++
	h.uses++
	return h, nil
}

// baseModelLoaded reports whether the base model of a is loaded, or is not required.
// It must be called with the lock held.
func (e *Engine) baseModelLoaded(a id.Artifact) bool {
	if !e.settings.RequiresBaseModel || !a.IsAdapter() {
		return true
	}
	base := e.held[a.Model()]
	return base != nil && base.state == message.Loaded
}

func (e *Engine) startRun(c *call) *Run {
	run := &Run{
		Account: c.account, Attempt: c.attempt, Artifact: c.Model, Digest: c.digest,
		Offset: c.offset, PromptTokens: PromptTokens(c.Prompt), StartedAt: time.Now(),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recorder.startRun(run)
	return run
}

// release counts a call as ended. After the last call of an artifact that is
// unloading, the artifact is removed.
func (e *Engine) release(h *heldArtifact, run *Run, outcome RunOutcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recorder.endRun(run, outcome)
	h.running--
	if h.running > 0 || e.held[h.artifact] != h {
		return
	}
	if h.state == message.Unloading {
		e.remove(h)
		return
	}
	h.idleSince = time.Now()
}

// generateResponse waits for a slot and generates the response.
func (e *Engine) generateResponse(ctx context.Context, w http.ResponseWriter, c *call, run *Run) error {
	if err := e.acquireSlot(ctx); err != nil {
		return err
	}
	defer e.releaseSlot()
	faults := e.faults.Get()
	if faults.CrashMarker != "" && strings.Contains(c.Prompt, faults.CrashMarker) {
		e.Crash()
		return context.Canceled
	}
	if err := sleep(ctx, faults.CallDelay); err != nil {
		return err
	}
	if c.Stream {
		return e.writeStream(ctx, w, c, run)
	}
	return e.writeResponse(ctx, w, c, run)
}

func (e *Engine) acquireSlot(ctx context.Context) error {
	if e.slots == nil {
		return nil
	}
	select {
	case e.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Engine) releaseSlot() {
	if e.slots != nil {
		<-e.slots
	}
}
