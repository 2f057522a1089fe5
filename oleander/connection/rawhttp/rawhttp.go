// Package rawhttp is an HTTP/1.1 client with a connection pool. It never retries
// a request, follows no redirects and leaves path, headers and body unchanged.
// The client of net/http retries some requests by itself when a pooled connection
// fails, which could run a non-idempotent request twice.
//
// A connection is not reused after unsolicited bytes, a truncated response or a
// cancelled request.
package rawhttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("rawhttp: not sent")
	// ErrMalformed means that what the server sent is no response: the connection did not fail.
	ErrMalformed = errors.New("rawhttp: malformed response")
	// errReset is a reset of which the kernel told somebody else than the reader.
	errReset = errors.New("rawhttp: connection reset")
	// errHeadTooLong ends the reading of a head.
	errHeadTooLong = errors.Errorf("head longer than %d bytes", maxHeadBytes)
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the server
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutMargin is subtracted from the server's Keep-Alive timeout, so
	// that no request is sent while the server closes the connection.
	idleTimeoutMargin = 900 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged before the
	// kernel closes the connection, for example in a network partition.
	tcpUserTimeout    = 2 * time.Second
	bufferSize        = 8 << 10
	maxIdlePerAddress = 32
	// maxRejectedIDs is how many rejected requests a connection remembers. It is closed after them.
	maxRejectedIDs = 64
	// maxHeadBytes bounds the status line and headers of a response, informational ones before it
	// included.
	maxHeadBytes = 64 << 10
)

// Pool opens connections and keeps idle ones for reuse, by address.
type Pool struct {
	// Dial opens connections. It may be replaced before the first use.
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	mu     sync.Mutex
	idle   map[string][]*Conn
	swept  time.Time // when expired connections were last dropped
	onOpen func()
}

// NewPool returns an empty Pool. It calls onOpen, unless nil, for each new
// connection.
func NewPool(dialTimeout time.Duration, onOpen func()) *Pool {
	dial := func(ctx context.Context, address string) (net.Conn, error) { return DialTCP(ctx, address, dialTimeout) }
	return &Pool{Dial: dial, idle: make(map[string][]*Conn), onOpen: onOpen}
}

// Conn is a connection. It carries one request at a time.
type Conn struct {
	pool         *Pool // nil: the connection carries one request
	address      string
	conn         net.Conn
	reader       *bufio.Reader
	idleDeadline time.Time // a pooled connection is not reused after this
	lastID       string    // of the request that it carried last
	rejectedIDs  []string  // of requests that it carried and the server rejected
	Reused       bool
	Indirect     bool // opened by a DialFunc of the caller

	inHead        bool  // a head is read
	headBytes     int   // read since its begin
	headError     error // of reading it, which ends it; nil outside a head
	readFailed    bool
	readDeadline  atomic.Int64 // Unix nanoseconds
	onReadTimeout func() time.Time
	aborted       atomic.Bool
	endedByServer atomic.Bool // before it was aborted
	reset         atomic.Bool // by the server, as seen other than by a read
}

// DialFunc opens a connection to one address.
type DialFunc func(ctx context.Context) (net.Conn, error)

// Get returns an idle connection that is still usable, or a new one, for a request with an ID. A connection
// on which a request with the same ID was the last one, or was rejected, is not used: a second copy of that
// response would be taken for the response to this one. Its errors wrap ErrNotSent.
func (p *Pool) Get(ctx context.Context, address, id string) (*Conn, error) {
	return p.get(ctx, address, id, false, p.dialer(address))
}

// Keeper is implemented by connections of a DialFunc that may have to be left while they are idle.
type Keeper interface {
	// Keep reports whether a further request may go over the connection.
	Keep() bool
}

// GetIndirect is Get, but opens a new connection with dial. Its errors wrap those of dial.
func (p *Pool) GetIndirect(ctx context.Context, address, id string, dial DialFunc) (*Conn, error) {
	return p.get(ctx, address, id, true, dial)
}

func (p *Pool) get(ctx context.Context, address, id string, indirect bool, dial DialFunc) (*Conn, error) {
	c := p.takeIdle(address)
	if c != nil && c.carried(id) {
		c.Close()
		c = nil
	}
	if c == nil {
		return p.dial(ctx, address, indirect, dial)
	}
	return c, nil
}

// carried reports whether a second copy of an earlier response may be taken for the response to a request with an ID.
func (c *Conn) carried(id string) bool { return c.lastID == id || slices.Contains(c.rejectedIDs, id) }

// takeIdle returns an idle connection that is still usable, or nil.
func (p *Pool) takeIdle(address string) *Conn {
	for c := p.popIdle(address); c != nil; c = p.popIdle(address) {
		if time.Now().Before(c.idleDeadline) && c.usable() {
			c.Reused = true
			return c
		}
		c.Close()
	}
	return nil
}

func (p *Pool) dialer(address string) DialFunc {
	return func(ctx context.Context) (net.Conn, error) { return p.Dial(ctx, address) }
}

// DialTCP opens a TCP connection that notices within a few seconds that its peer is gone.
func DialTCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
		Control:         setUserTimeout,
	}
	return d.DialContext(ctx, "tcp", address)
}

func (p *Pool) dial(ctx context.Context, address string, indirect bool, dial DialFunc) (*Conn, error) {
	c, err := dial(ctx)
	switch {
	case err != nil && indirect:
		return nil, err
	case err != nil:
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if p.onOpen != nil {
		p.onOpen()
	}
	opened := newConn(c, address)
	opened.pool, opened.Indirect = p, indirect
	return opened, nil
}

// newConn returns a connection that belongs to no pool.
func newConn(conn net.Conn, address string) *Conn {
	c := &Conn{address: address, conn: conn}
	c.reader = bufio.NewReaderSize(arrivedReader{c}, bufferSize)
	return c
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if e := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
	}); e != nil {
		return e
	}
	return err
}

// usable reports whether the server has neither closed the idle connection nor
// sent data on it. Unsolicited data would be read as the response to the next
// request. What an indirect connection goes through may have to be left.
func (c *Conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if k, ok := c.conn.(Keeper); ok && !k.Keep() {
		return false
	}
	_, err := c.peek()
	return errors.Is(err, unix.EAGAIN)
}

// Request is an HTTP request. It is sent as given, with Host and Content-Length
// added to the headers.
type Request struct {
	ID     string // tells it from others, for Pool.Get; not sent
	Method string
	Target string // path and query, sent unchanged
	Host   string
	Header http.Header
	Body   []byte
	// BodyParts follow Body.
	BodyParts [][]byte
}

func (r *Request) bodySize() int {
	n := len(r.Body)
	for _, p := range r.BodyParts {
		n += len(p)
	}
	return n
}

// Send writes a request. If it fails, part of the request may have been sent, unless
// the error wraps ErrNotSent.
func (c *Conn) Send(r Request) error {
	c.lastID = r.ID
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	if n := r.bodySize(); n > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: " + strconv.Itoa(n) + "\r\n")
	}
	b.WriteString("\r\n")
	buffers := append(net.Buffers{b.Bytes(), r.Body}, r.BodyParts...) // one system call, without a copy of the body
	_, err := buffers.WriteTo(c.conn)
	return errors.Wrap(err, "rawhttp: send request")
}

// statusEnd is the first number above the status codes of HTTP (RFC 9110, 15).
const statusEnd = 600

// ReadResponse reads the status line and headers of the response to a request with
// this method, and skips informational responses. A status that HTTP does not have is no response, and what follows
// it is not read: a body there may hold the text of another response. The caller reads the body. Its errors wrap
// ErrMalformed if the connection did not fail.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	c.inHead, c.headBytes = true, c.reader.Buffered()
	defer func() { c.inHead, c.headError = false, nil }()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil && c.Malformed() {
			return nil, errors.Wrap(ErrMalformed, err.Error())
		}
		if err != nil {
			return nil, errors.Wrap(err, "rawhttp: read response")
		}
		switch {
		case resp.StatusCode >= http.StatusOK && resp.StatusCode < statusEnd:
			return resp, nil
		case resp.StatusCode < http.StatusContinue || resp.StatusCode >= statusEnd, resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.Wrapf(ErrMalformed, "status %03d", resp.StatusCode)
		}
	}
}

// Malformed reports whether an error of reading a response lies in what the server sent: the connection
// has not failed.
func (c *Conn) Malformed() bool { return !c.readFailed }

// EndsWithConnection reports whether a response has neither a length nor chunks, so that its
// end is that of the connection, whether or not it is complete.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// SetDeadline sets the deadline of all reads and writes.
func (c *Conn) SetDeadline(t time.Time) {
	c.readDeadline.Store(t.UnixNano())
	_ = c.conn.SetDeadline(t)
}

// SetReadDeadline sets the deadline of reads.
func (c *Conn) SetReadDeadline(t time.Time) {
	c.readDeadline.Store(t.UnixNano())
	_ = c.conn.SetReadDeadline(t)
}

// Interrupt makes the current and later reads and writes fail with a timeout.
func (c *Conn) Interrupt() { c.SetDeadline(time.Unix(1, 0)) }

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// Abort resets the connection, which also tells the server to stop work on the
// request. The kernel discards data that it has not delivered. After a plain close
// it would keep sending, and a cancelled order or request could arrive seconds
// later, when a network partition ends.
func (c *Conn) Abort() {
	if !c.aborted.Swap(true) {
		c.endedByServer.Store(c.endedUnread())
	}
	if t, ok := c.conn.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0)
	}
	_ = c.conn.Close()
}

// Do sends a request and reads the complete response, which is matched to the request by its place on the
// connection only. A body of more than limit bytes is an error.
func (p *Pool) Do(ctx context.Context, address string, r Request, limit int64) (*http.Response, []byte, error) {
	c := p.takeIdle(address)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address, false, p.dialer(address)); err != nil {
			return nil, nil, err
		}
	}
	resp, body, err := c.roundTrip(ctx, r, limit)
	if err != nil {
		return nil, nil, err
	}
	if !c.aborted.Load() {
		c.Release(resp)
	}
	return resp, body, nil
}

// DoOver is Do on a connection of its own, which dial opens and which is closed after the response. A late copy of an
// earlier response can't be taken for the one to this request. If dial fails, the error wraps ErrNotSent and that of dial.
func DoOver(ctx context.Context, address string, dial DialFunc, r Request, limit int64) (*http.Response, []byte, error) {
	conn, err := dial(ctx)
	if err != nil {
		return nil, nil, &dialError{err}
	}
	c := newConn(conn, address)
	defer c.Close()
	return c.roundTrip(ctx, r, limit)
}

// dialError is the error of a connection that was not opened.
type dialError struct{ error }

// Unwrap returns the cause and ErrNotSent.
func (e *dialError) Unwrap() []error { return []error{e.error, ErrNotSent} }

// roundTrip sends a request and reads the complete response. The connection is aborted if this fails, and
// if ctx has ended.
func (c *Conn) roundTrip(ctx context.Context, r Request, limit int64) (*http.Response, []byte, error) {
	if deadline, ok := ctx.Deadline(); ok {
		c.SetDeadline(deadline)
	}
	// A deadline in the past interrupts reads and writes when ctx is cancelled.
	stop := context.AfterFunc(ctx, c.Interrupt)
	defer stop()
	if err := c.Send(r); err != nil {
		c.Abort()
		return nil, nil, err
	}
	resp, err := c.ReadResponse(r.Method)
	if err != nil {
		c.Abort()
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errors.Errorf("response body larger than %d bytes", limit)
	}
	if err != nil {
		c.Abort()
		return nil, nil, errors.Wrap(err, "rawhttp: read response body")
	}
	if !stop() {
		c.Abort()
	}
	return resp, body, nil
}
