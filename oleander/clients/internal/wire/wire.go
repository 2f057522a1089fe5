// Package wire holds the HTTP transport that the platform's clients share:
// it never repeats a request, follows no redirect, asks no proxy and bounds
// what it reads.
package wire

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrTooLarge says that a body is longer than its limit.
var ErrTooLarge = errors.New("body is too large")

const (
	dialTimeout         = time.Second
	tlsHandshakeTimeout = 2 * time.Second
	idleConnTimeout     = 10 * time.Second
	maxIdleConnsPerHost = 16
	maxHeaderSize       = 64 << 10
)

// Options sets up a client.
type Options struct {
	// MaxBody is the longest answer that is read, in bytes.
	MaxBodySize int64
	// Fresh opens a connection for each request.
	DisableKeepAlives bool
}

// NewClient returns an HTTP client that sends each request at most once.
func NewClient(o Options) *http.Client {
	return &http.Client{
		Transport:     NewTransport(o),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// NewTransport returns the transport of NewClient.
func NewTransport(o Options) http.RoundTripper {
	base := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout:    tlsHandshakeTimeout,
		IdleConnTimeout:        idleConnTimeout,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		MaxResponseHeaderBytes: maxHeaderSize,
		DisableKeepAlives:      o.DisableKeepAlives,
		DisableCompression:     true,
		Protocols:              new(http.Protocols),
	}
	base.Protocols.SetHTTP1(true)
	return &transport{base: base, maxBodySize: o.MaxBodySize}
}

// transport sends a request once and bounds the answer.
type transport struct {
	base        *http.Transport
	maxBodySize int64
}

// RoundTrip implements http.RoundTripper.
//
// Failure: net/http sends a request again when a reused connection turns out
// to be closed. Symptom: a write that took effect is carried out a second
// time, and its condition then reads as a conflict. Without GetBody the library
// can't rewind a body, and it repeats no POST or PUT that has one, so each
// write goes out once.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(withTrace(r.Context()))
	r.GetBody = nil
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = readCloserOnly{r.Body}
	}
	resp, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if t.maxBodySize > 0 {
		resp.Body = &limitedBody{ReadCloser: resp.Body, remaining: t.maxBodySize}
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// plainBody hides all methods of a body but Read and Close.
//
// Failure: the table service's library closes the body as soon as the answer's
// headers are there, while net/http may still look for more of it, through
// WriteTo if there is one; the closed body's WriteTo returns io.EOF, and
// net/http takes that for a failed request and closes the connection. Symptom:
// "use of closed network connection" on reading an answer, now and then on a
// busy machine. Read may return io.EOF, so net/http sees the end of the body.
type readCloserOnly struct{ io.ReadCloser }

type sendTrackerKey struct{}

// Sent tells whether any byte of a call can have left this process.
type SendTracker struct{ any atomic.Bool }

// Any reports whether a connection was there to send on.
func (s *SendTracker) MayHaveSent() bool { return s.any.Load() }

// WithSent returns a context whose requests are noted in the returned Sent.
func WithSendTracker(ctx context.Context) (context.Context, *SendTracker) {
	s := new(SendTracker)
	return context.WithValue(ctx, sendTrackerKey{}, s), s
}

func withTrace(ctx context.Context) context.Context {
	s, ok := ctx.Value(sendTrackerKey{}).(*SendTracker)
	if !ok {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.any.Store(true) },
	})
}

// boundedBody fails with ErrTooLarge once more than left bytes were read.
type limitedBody struct {
	io.ReadCloser
	remaining int64
}

func (b *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	n, err := b.ReadCloser.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return n, ErrTooLarge
	}
	return n, err
}
