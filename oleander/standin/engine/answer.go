package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"oleanderdale.org/oleander/standin/internal/serve"
)

// EndMarker is the data of the last event of a complete stream.
const EndMarker = "[DONE]"

var (
	errConnectionClosed = errors.New("connection closed by an injected fault")
	errStreamTruncated  = errors.New("stream truncated by an injected fault")
)

// responseBody is the JSON body of a plain response and the data of each event of
// a stream.
type responseBody struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Model   string      `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   *tokenUsage `json:"usage,omitempty"`
}

// choice has Text in responses to completions, Message in a plain response to a
// chat, and Delta in an event of a streamed one.
type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *delta       `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type tokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// generateToken waits for the time to generate one token and counts it.
func (e *Engine) generateToken(ctx context.Context, run *Run) error {
	if err := sleep(ctx, e.settings.TokenTime+e.faults.Get().TokenDelay); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recorder.countToken(run)
	return nil
}

// writeResponse generates the response and writes it as one JSON body.
func (e *Engine) writeResponse(ctx context.Context, w http.ResponseWriter, c *call, run *Run) error {
	var text strings.Builder
	for i := c.offset; i < c.MaxTokens; i++ {
		if err := e.generateToken(ctx, run); err != nil {
			return err
		}
		text.WriteString(Token(c.digest, i))
	}
	body := c.responseBody(text.String(), false)
	body.finish(c)
	serve.WriteJSON(w, http.StatusOK, body)
	return nil
}

// writeStream writes one event for each token, whose id is the index of the token,
// then one with the usage, and then the end marker.
func (e *Engine) writeStream(ctx context.Context, w http.ResponseWriter, c *call, run *Run) error {
	out := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	fault := e.nextStreamFault()
	for i := c.offset; i < c.MaxTokens; i++ {
		if fault != nil && i-c.offset == e.faults.Get().BreakAfter {
			return errors.WithStack(firstError(out.Flush(), fault))
		}
		if err := e.generateToken(ctx, run); err != nil {
			return err
		}
		if err := writeEvent(w, out, i, c.responseBody(Token(c.digest, i), true)); err != nil {
			return err
		}
	}
	last := c.responseBody("", true)
	last.finish(c)
	if err := writeEvent(w, out, c.MaxTokens, last); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "data: %s\n\n", EndMarker)
	return firstError(err, out.Flush())
}

// nextStreamFault returns the error with which this stream is to fail, or nil.
func (e *Engine) nextStreamFault() error {
	if e.faults.Consume(func(f *Faults) *int { return &f.BreakStreams }) {
		return errConnectionClosed
	}
	if e.faults.Consume(func(f *Faults) *int { return &f.TruncateStreams }) {
		return errStreamTruncated
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func writeEvent(w http.ResponseWriter, out *http.ResponseController, offset int, body *responseBody) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data); err != nil {
		return errors.Wrap(err, "write event")
	}
	return errors.Wrap(out.Flush(), "flush event")
}

// responseBody returns a body that contains text; chunk says whether it is for one
// event of a stream.
func (c *call) responseBody(text string, chunk bool) *responseBody {
	b := &responseBody{ID: "answer-" + c.digest, Model: string(c.Model)}
	var ch choice
	switch {
	case c.endpoint == completions:
		b.Object = "text_completion"
		ch.Text = &text
	case chunk:
		b.Object = "chat.completion.chunk"
		ch.Delta = &delta{Content: text}
	default:
		b.Object = "chat.completion"
		ch.Message = &ChatMessage{Role: "assistant", Content: text}
	}
	b.Choices = []choice{ch}
	return b
}

// finish marks the end of a response and adds the usage.
func (b *responseBody) finish(c *call) {
	reason := "length"
	b.Choices[0].FinishReason = &reason
	prompt := PromptTokens(c.Prompt)
	b.Usage = &tokenUsage{
		PromptTokens:     prompt,
		CompletionTokens: c.MaxTokens,
		TotalTokens:      prompt + c.MaxTokens,
	}
}
