// Package wire provides the HTTP transport of the clients for the platform and for
// backend servers. It retries no request, follows no redirect, uses no proxy and
// limits the size of responses.
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

// ErrTooLarge means that a response body exceeds Options.MaxBodySize.
var ErrTooLarge = errors.New("body is too large")

const (
	dialTimeout         = time.Second
	tlsHandshakeTimeout = 2 * time.Second
	idleConnTimeout     = 10 * time.Second
	maxIdleConnsPerHost = 16
	maxHeaderSize       = 64 << 10
)

// Options configures a client or transport.
type Options struct {
	// MaxBodySize is the maximum size of a response body, in bytes; 0 means no
	// limit.
	MaxBodySize int64
	// DisableKeepAlives opens a new connection for each request.
	DisableKeepAlives bool
}

// NewClient returns an HTTP client that sends each request at most once.
func NewClient(o Options) *http.Client {
	return &http.Client{
		Transport:     NewTransport(o),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// NewTransport returns the transport that NewClient uses.
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

// transport sends each request at most once and limits the response body.
type transport struct {
	base        *http.Transport
	maxBodySize int64
}

// RoundTrip implements http.RoundTripper.
//
// It clears GetBody because net/http retries a request when a reused connection
// turns out to be closed. A conditional write that took effect would then be
// executed again and fail with a conflict. Without GetBody, net/http cannot rewind
// the body and does not retry a POST or PUT that has one.
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

// CloseIdleConnections closes the connections that are not in use.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// readCloserOnly hides all methods of a request body except Read and Close.
//
// The DynamoDB library closes the request body as soon as it has the headers of the
// response, while net/http may still be reading the body, through WriteTo if the
// body has that method. WriteTo of the closed body returns io.EOF, which net/http
// treats as a failed request: it closes the connection, and reading the response
// sometimes failed with "use of closed network connection" on a busy machine. An
// io.EOF from Read is the regular end of the body.
type readCloserOnly struct{ io.ReadCloser }

type sendTrackerKey struct{}

// SendTracker records whether any byte of a call may have left this process.
type SendTracker struct{ any atomic.Bool }

// MayHaveSent reports whether a connection was obtained for any request.
func (s *SendTracker) MayHaveSent() bool { return s.any.Load() }

// WithSendTracker returns a context whose requests are recorded in the returned
// SendTracker.
func WithSendTracker(ctx context.Context) (context.Context, *SendTracker) {
	s := new(SendTracker)
	return context.WithValue(ctx, sendTrackerKey{}, s), s
}

// withTrace adds the trace that updates the SendTracker of ctx, if there is one.
func withTrace(ctx context.Context) context.Context {
	s, ok := ctx.Value(sendTrackerKey{}).(*SendTracker)
	if !ok {
		return ctx
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.any.Store(true) },
	})
}

// limitedBody returns ErrTooLarge once more than the remaining bytes have been
// read.
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
