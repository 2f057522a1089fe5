// Package upstream sends requests to backend servers: to model engines, whose
// answers stream, and to plain services. Each call is one attempt; nothing in
// here repeats one.
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

// Header names between instances and backend servers.
const (
	HeaderAccount      = "Client-Account"
	HeaderAttempt      = "Attempt-Id"
	HeaderResumeOffset = "Resume-Offset"
	HeaderLeaving      = "Oleanderdale-Leaving"
)

const (
	dialTimeout    = time.Second
	probeTimeout   = 500 * time.Millisecond
	idlePerServer  = 64
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 64 << 10
)

// Error says how an attempt failed, and what that means for a repeat.
type Error struct {
	Result  event.AttemptResult
	Leaving bool // the server takes no new work
	cause   error
}

// Error implements error.
func (e *Error) Error() string { return "upstream: " + e.cause.Error() }

// Unwrap returns what lies below.
func (e *Error) Unwrap() error { return e.cause }

// Client sends attempts.
type Client struct {
	pooled   *http.Transport // for calls that may be repeated
	unpooled *http.Transport // for calls that may not
}

// New returns a Client.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}
	// No limit on the time to the headers: a cold engine may take long, and the
	// deadline ends it.
	pooled := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerServer, IdleConnTimeout: idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes, DisableCompression: true,
	}
	// net/http repeats a request by itself when a reused connection breaks
	// and the request looks idempotent; an Idempotency-Key header makes any
	// POST look so. The server may have run the call before the connection
	// broke, and would run it twice. A fresh connection for each call is
	// enough, since net/http repeats nothing on a connection it just opened.
	unpooled := &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true,
		MaxResponseHeaderBytes: maxHeaderBytes, DisableCompression: true,
	}
	return &Client{pooled: pooled, unpooled: unpooled}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Do sends r once. With once set the call is never repeated by anything below.
// A response with a status of 500 or more comes back as an *Error; the caller
// must close the body of any other.
func (c *Client) Do(r *http.Request, once bool) (*http.Response, error) {
	t := c.pooled
	if once {
		t = c.unpooled
	}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return nil, c.classifyTransportError(r, err)
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		defer drain(resp.Body)
		return nil, &Error{
			Result: event.AttemptRefused, Leaving: resp.Header.Get(HeaderLeaving) == "true",
			cause: errors.New("the backend server refused the call"),
		}
	}
	if resp.StatusCode >= http.StatusInternalServerError && !once {
		defer drain(resp.Body)
		return nil, &Error{Result: event.AttemptBroken, cause: errors.Errorf("status %d", resp.StatusCode)}
	}
	return resp, nil
}

// failed classifies an error of the transport.
func (c *Client) classifyTransportError(r *http.Request, err error) *Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &Error{Result: event.AttemptNotSent, cause: err}
	}
	return ClassifyError(r.Context(), r.URL.Host, err)
}

// Broken classifies an error after the call was sent: if the server does not
// even take a connection any more, it crashed.
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

func drain(b io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, b, drainLimit)
	_ = b.Close()
}
