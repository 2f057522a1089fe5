// Package upstream sends requests to backend servers: to model engines, which
// stream their responses, and to plain services. It makes a single attempt for each
// request; the core decides on retries.
package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/event"
)

// Headers of requests to backend servers and of their responses.
const (
	HeaderAccount      = "Client-Account"
	HeaderAttempt      = "Attempt-Id"
	HeaderResumeOffset = "Resume-Offset"
	HeaderLeaving      = "Oleanderdale-Leaving"
	HeaderNotRun       = "Oleanderdale-Not-Run"
)

const (
	dialTimeout    = time.Second
	probeTimeout   = 500 * time.Millisecond
	maxHeaderBytes = 64 << 10
)

// Error is a failed attempt. Its Result tells whether the server may have run the
// request, and so whether it can be retried.
type Error struct {
	Result  event.AttemptResult
	Leaving bool // the server accepts no new requests
	cause   error
}

// Error implements error.
func (e *Error) Error() string { return "upstream: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Client sends requests to backend servers, each on a connection of its own. Servers echo nothing that
// tells which request a response belongs to, so a late second copy of an earlier response would be taken
// for the next one on a connection, and a caller would get another caller's answer. net/http would
// also retry a request by itself when a reused connection fails and the request looks idempotent, as any
// POST with an Idempotency-Key header does.
type Client struct{ transport *http.Transport }

// New returns a Client.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}
	// ResponseHeaderTimeout stays unset: a cold engine may need long, and the
	// deadline of the call limits the wait.
	return &Client{transport: &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true,
		MaxResponseHeaderBytes: maxHeaderBytes, DisableCompression: true,
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends r. A response that says that the request did not run is returned as an *Error, and so is one with a status
// that HTTP does not have, or that switches protocols, and any other status of 500 or more unless once, that r must not be sent again, is set. With once, it has to say so by a header:
// a service may answer 408, 429 or 503 after a run, too, and callers take these statuses for the opposite. The caller
// must close the body of all other responses.
func (c *Client) Do(r *http.Request, once bool) (*http.Response, error) {
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		return nil, c.classifyTransportError(r, err)
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode >= statusEnd {
		_ = resp.Body.Close() // what follows such a status is nobody's
		return nil, &Error{Result: event.AttemptBroken, cause: errors.Errorf("status %03d, which HTTP does not have", resp.StatusCode)}
	}
	leaving := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderLeaving) == "true"
	refused := leaving || resp.Header.Get(HeaderNotRun) == "true" || resp.StatusCode == http.StatusServiceUnavailable && !once
	if refused {
		defer drain(resp.Body)
		return nil, &Error{
			Result: event.AttemptRefused, Leaving: leaving,
			cause: errors.New("the backend server refused the call"),
		}
	}
	if once && promisesNotRun(resp.StatusCode) || resp.StatusCode >= http.StatusInternalServerError && !once {
		defer drain(resp.Body)
		return nil, &Error{Result: event.AttemptBroken, cause: errors.Errorf("status %d", resp.StatusCode)}
	}
	return resp, nil
}

// statusEnd is the first number above the status codes of HTTP (RFC 9110, 15).
const statusEnd = 600

// promisesNotRun reports whether callers take a response status for the promise that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// classifyTransportError classifies an error of the HTTP transport. After a failed
// dial the request was not sent.
func (c *Client) classifyTransportError(r *http.Request, err error) *Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &Error{Result: event.AttemptNotSent, cause: err}
	}
	return ClassifyError(r.Context(), r.URL.Host, err)
}

// ClassifyError classifies an error that occurred after the request was sent. If
// the server does not accept a new connection either, it has crashed.
func ClassifyError(ctx context.Context, address string, err error) *Error {
	if ctx.Err() != nil {
		return &Error{Result: event.AttemptCancelled, cause: err}
	}
	conn, dialErr := net.DialTimeout("tcp", address, probeTimeout)
	if dialErr != nil {
		return &Error{Result: event.AttemptCrashed, cause: err}
	}
	_ = conn.Close()
	return &Error{Result: event.AttemptBroken, cause: err}
}

const drainLimit = 64 << 10

// drain reads up to drainLimit bytes of b, so that the server is not cut off in the middle of a short
// response, and closes it.
func drain(b io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, b, drainLimit)
	_ = b.Close()
}
