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
	contentJSON   = "application/json"
	contentStream = "text/event-stream"
)

// completion serves the two kinds of completion.
func (f *Front) completion(w http.ResponseWriter, r *http.Request) {
	body, call, err := f.read(w, r)
	if err != nil {
		writeProblem(w, problemOf(err))
		return
	}
	stream, err := readCompletion(r.URL.Path == pathChat, body, &call)
	if err != nil {
		writeProblem(w, problemOf(err))
		return
	}
	x := f.open(call)
	defer f.close(x)
	x.stream = stream
	x.run(w, r, &completion{
		x: x, w: w, path: r.URL.Path, body: body,
		parts: connection.New[string](connection.Options{Resumes: f.resumes(call), Repeatable: true}),
	})
}

const pathChat = "/v1/chat/completions"

// resumes reports whether the engines for a call continue a broken stream.
func (f *Front) resumes(call event.Call) bool {
	c := f.config()
	if c == nil {
		return false
	}
	return c.Groups[c.Artifacts[call.Artifact].Group].Resumes
}

// completion carries out the attempts of one completion.
type completion struct {
	x      *exchange
	w      http.ResponseWriter
	path   string
	body   []byte
	parts  *connection.Stream[string]
	resume connection.Decision // after the last break
	tokens int
}

func (c *completion) attempt(ctx context.Context, d event.Dispatch) event.AttemptEnded {
	ended := event.AttemptEnded{Request: d.Request, Attempt: d.Attempt}
	c.parts.Begin(d.Attempt)
	err := c.send(ctx, d, &ended)
	ended.Answered = c.x.begun
	ended.Generated = c.tokens
	if err == nil {
		return ended
	}
	c.resume = c.parts.Break(d.Attempt)
	var u *upstream.Error
	if !errors.As(err, &u) {
		u = upstream.ClassifyError(ctx, d.Address, err)
	}
	ended.Result, ended.Leaving = u.Result, u.Leaving
	return ended
}

func (c *completion) send(ctx context.Context, d event.Dispatch, ended *event.AttemptEnded) error {
	r, err := c.request(ctx, d)
	if err != nil {
		return &upstream.Error{Result: event.AttemptNotSent}
	}
	resp, err := c.x.front.upstream.Do(r, false)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if c.x.stream && resp.StatusCode == http.StatusOK {
		return c.copyStream(d, resp)
	}
	return c.copyWhole(resp, ended)
}

func (c *completion) request(ctx context.Context, d event.Dispatch) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, errors.Wrap(err, "front: build the request")
	}
	r.Header.Set("Content-Type", contentJSON)
	r.Header.Set(upstream.HeaderAccount, string(d.Account))
	r.Header.Set(upstream.HeaderAttempt, string(d.Attempt))
	if c.resume.Kind == connection.Resume {
		r.Header.Set(upstream.HeaderResumeOffset, strconv.FormatInt(c.resume.Offset, 10))
	}
	return r, nil
}

// copyStream hands the engine's events to the caller as they come.
func (c *completion) copyStream(d event.Dispatch, resp *http.Response) error {
	events := upstream.NewEventReader(resp.Body)
	for {
		p, err := events.Next()
		if err != nil {
			return err
		}
		if p.End {
			return c.write("data: [DONE]\n\n")
		}
		if err := c.part(d, p); err != nil {
			return err
		}
	}
}

// part takes one event. Those that carry a token are assembled by its offset;
// the others, such as the one with the usage, are passed on as they come.
func (c *completion) part(d event.Dispatch, p upstream.Event) error {
	if p.Offset < 0 {
		return c.write("data: " + string(p.Data) + "\n\n")
	}
	text := "id: " + strconv.Itoa(p.Offset) + "\ndata: " + string(p.Data) + "\n\n"
	taken, err := c.parts.Add(connection.Part[string]{Attempt: d.Attempt, Offset: int64(p.Offset), Data: []string{text}})
	if err != nil || taken != connection.Used {
		return err
	}
	for _, token := range c.parts.Next() {
		c.tokens++
		if err := c.write(token); err != nil {
			return err
		}
	}
	return nil
}

func (c *completion) write(s string) error {
	if !c.x.begun {
		c.begin()
	}
	if _, err := io.WriteString(c.w, s); err != nil {
		return &upstream.Error{Result: event.AttemptCancelled}
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return &upstream.Error{Result: event.AttemptCancelled}
	}
	return nil
}

// begin sends the headers of a stream.
func (c *completion) begin() {
	h := c.w.Header()
	h.Set("Content-Type", contentStream)
	h.Set("Cache-Control", "no-store")
	c.w.WriteHeader(http.StatusOK)
	c.x.first()
}

// usage is the part of an engine's answer that counts its tokens.
type usage struct {
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// copyWhole reads an answer that does not stream and passes it on once it is
// whole; a broken one has reached nobody and can be run again.
func (c *completion) copyWhole(resp *http.Response, ended *event.AttemptEnded) error {
	limit := c.x.front.settings.MaxResponseSize
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return errors.Wrap(err, "front: read the answer")
	}
	if int64(len(body)) > limit || (resp.StatusCode == http.StatusOK && !json.Valid(body)) {
		return &upstream.Error{Result: event.AttemptBroken}
	}
	var u usage
	if json.Unmarshal(body, &u) == nil && u.Usage != nil {
		c.tokens = u.Usage.CompletionTokens
	}
	c.w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(resp.StatusCode)
	c.x.first()
	if _, err := c.w.Write(body); err != nil {
		return &upstream.Error{Result: event.AttemptCancelled}
	}
	return nil
}

// first notes that the first part of the answer reached the caller.
func (x *exchange) first() {
	if x.begun {
		return
	}
	x.begun = true
	x.took = time.Since(x.start)
	x.front.poster.Post(event.AttemptStarted{Request: x.call.Request})
}
