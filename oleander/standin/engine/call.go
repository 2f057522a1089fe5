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
	maxCall          = 16 << 20 // bytes
	defaultMaxTokens = 16
	maxMaxTokens     = 1 << 20
)

// form tells the two kinds of call apart.
type form int

const (
	completions form = iota
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

	form    form
	account string
	attempt string
	offset  int // number of tokens that the caller has
	digest  string
}

// callError is an error answer in the form of the OpenAI interface.
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

func (c *callError) answer(w http.ResponseWriter) {
	if c.leaving {
		w.Header().Set(LeavingHeader, "true")
	}
	kind := "invalid_request_error"
	if c.status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	serve.WriteJSON(w, c.status, errorBody{errorDetail{Message: c.message, Type: kind, Code: c.code}})
}

func badCall(message string) *callError {
	return &callError{status: http.StatusBadRequest, code: "bad_request", message: message}
}

func (e *Engine) serveCall(f form) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCall))
		if err != nil {
			serve.Abort()
		}
		e.noteKey(r, body)
		e.abortIfAway()
		c, bad := e.parseCall(r, body, f)
		if bad != nil {
			bad.answer(w)
			return
		}
		if bad = e.runCall(w, r, c); bad != nil {
			bad.answer(w)
		}
	}
}

func (e *Engine) parseCall(r *http.Request, body []byte, f form) (*call, *callError) {
	c := &call{form: f, account: r.Header.Get(AccountHeader), attempt: r.Header.Get(AttemptHeader)}
	if c.account == "" {
		e.mu.Lock()
		e.record.violations.AccountMissing++
		e.mu.Unlock()
		return nil, badCall(AccountHeader + " is missing")
	}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, badCall("body can't be decoded")
	}
	if f == chat {
		c.Prompt = ChatPrompt(c.Messages)
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = c.MaxCompletionTokens
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
	}
	if c.MaxTokens < 0 || c.MaxTokens > maxMaxTokens || c.Prompt == "" {
		return nil, badCall("prompt is empty or max_tokens is out of range")
	}
	c.digest = RequestDigest(c.User, c.Prompt)
	return c, e.parseOffset(c, r.Header.Get(ResumeHeader))
}

func (e *Engine) parseOffset(c *call, header string) *callError {
	if header == "" {
		return nil
	}
	n, err := strconv.Atoi(header)
	if err != nil || n < 0 || n > c.MaxTokens || !e.settings.Resumes {
		return badCall("can't resume there")
	}
	c.offset = n
	return nil
}

// runCall runs a call from admission to the end of its answer.
func (e *Engine) runCall(w http.ResponseWriter, r *http.Request, c *call) *callError {
	life := e.current()
	h, bad := e.acquire(c)
	if bad != nil {
		return bad
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	run := e.startRun(c)
	err := e.answerCall(ctx, w, c, run)
	end := RunCompleted
	switch {
	case err == nil:
	case life.Err() != nil:
		end = RunCrashed
	case errors.Is(err, errBroken) || errors.Is(err, errEndedEarly):
		end = RunInterrupted
	default:
		end = RunCancelled
	}
	e.release(h, run, end)
	if err != nil && !errors.Is(err, errEndedEarly) {
		serve.Abort()
	}
	return nil
}

// acquire counts the call in if its artifact can serve it.
func (e *Engine) acquire(c *call) (*held, *callError) {
	refuse := e.knobs.Consume(func(f *Faults) *int { return &f.RefuseCalls })
	leaving := e.knobs.Get().Leaving
	e.mu.Lock()
	defer e.mu.Unlock()
	if leaving {
		return nil, &callError{status: http.StatusServiceUnavailable, code: "leaving", message: "the server is leaving", leaving: true}
	}
	if refuse {
		return nil, &callError{status: http.StatusServiceUnavailable, code: "overloaded", message: "too many requests"}
	}
	h := e.held[c.Model]
	if h == nil || h.state != message.Loaded || !e.baseLoaded(c.Model) {
		return nil, &callError{status: http.StatusServiceUnavailable, code: "not_loaded", message: "the model is not loaded"}
	}
	e.record.endIdle(h, time.Now())
	h.running++
	h.uses++
	return h, nil
}

func (e *Engine) baseLoaded(a id.Artifact) bool {
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
	e.record.startRun(run)
	return run
}

// release counts the call out; the last one of an unloading artifact frees it.
func (e *Engine) release(h *held, run *Run, end RunOutcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record.endRun(run, end)
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

// answerCall waits for a slot and generates the answer.
func (e *Engine) answerCall(ctx context.Context, w http.ResponseWriter, c *call, run *Run) error {
	if err := e.takeSlot(ctx); err != nil {
		return err
	}
	defer e.giveSlot()
	faults := e.knobs.Get()
	if faults.CrashMarker != "" && strings.Contains(c.Prompt, faults.CrashMarker) {
		e.Crash()
		return context.Canceled
	}
	if err := sleep(ctx, faults.CallDelay); err != nil {
		return err
	}
	if c.Stream {
		return e.stream(ctx, w, c, run)
	}
	return e.whole(ctx, w, c, run)
}

func (e *Engine) takeSlot(ctx context.Context) error {
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

func (e *Engine) giveSlot() {
	if e.slots != nil {
		<-e.slots
	}
}
