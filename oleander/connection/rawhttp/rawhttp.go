// Package rawhttp sends HTTP/1.1 requests over connections that it pools, and
// does nothing else: no repeats, no redirects, no change to path, headers or
// body. net/http's client repeats some requests by itself when a pooled
// connection breaks, and that would run a non-idempotent request twice.
//
// A connection on which anything odd was seen is never used again: bytes that
// nobody asked for, an answer that was cut, a request that was given up.
package rawhttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrNotSent says that surely no byte of the request was sent.
var ErrNotSent = errors.New("rawhttp: not sent")

const (
	// idleDefault is how long a connection is kept whose peer does not say.
	defaultIdleTimeout = 8 * time.Second
	// idleMargin is taken off the time that the peer says, so that a request
	// does not cross the peer's close.
	idleTimeoutMargin = 900 * time.Millisecond
	// userTimeout ends a connection whose bytes are not acknowledged, such as
	// one that went silent in a partition.
	tcpUserTimeout    = 2 * time.Second
	bufferSize        = 8 << 10
	maxIdlePerAddress = 32 // for one address
)

// Pool keeps idle connections by address.
type Pool struct {
	dialTimeout time.Duration
	mu          sync.Mutex
	idle        map[string][]*Conn
	onOpen      func()
}

// NewPool returns an empty Pool. opened is called for each new connection.
func NewPool(dialTimeout time.Duration, onOpen func()) *Pool {
	return &Pool{dialTimeout: dialTimeout, idle: make(map[string][]*Conn), onOpen: onOpen}
}

// Conn is one connection; one request uses it at a time.
type Conn struct {
	pool         *Pool
	address      string
	conn         net.Conn
	reader       *bufio.Reader
	idleDeadline time.Time
	Reused       bool
}

// Get returns an idle connection that looks sound, or a new one. An error
// means that nothing was sent.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if time.Now().Before(c.idleDeadline) && c.usable() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
}

func (p *Pool) popIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	d := net.Dialer{
		Timeout:         p.dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
		Control:         setUserTimeout,
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if p.onOpen != nil {
		p.onOpen()
	}
	return &Conn{pool: p, address: address, conn: c, reader: bufio.NewReaderSize(c, bufferSize)}, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if e := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
	}); e != nil {
		return e
	}
	return err
}

// quiet reports whether the peer has neither closed the idle connection nor
// sent anything on it. Bytes that nobody asked for would be read as the answer
// to the next request.
func (c *Conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = e == unix.EAGAIN || e == unix.EWOULDBLOCK
		return true
	})
	return err == nil && noData
}

// Request is a request as it goes on the wire.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
}

// Send writes a request. After an error some of it may have been sent.
func (c *Conn) Send(r Request) error {
	var b bytes.Buffer
	b.Grow(1024 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	_, err := c.conn.Write(b.Bytes())
	return errors.Wrap(err, "rawhttp: send")
}

// Receive reads the head of the answer; its body is read from it.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "rawhttp: receive")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// SetDeadline bounds all reads and writes.
func (c *Conn) SetDeadline(t time.Time) { _ = c.conn.SetDeadline(t) }

// SetReadDeadline bounds the reads.
func (c *Conn) SetReadDeadline(t time.Time) { _ = c.conn.SetReadDeadline(t) }

// Release returns the connection to the pool after an answer whose body was
// read to its end, or closes it if it can't be used again.
func (c *Conn) Release(resp *http.Response) {
	if resp.Close || resp.ProtoMinor == 0 || c.reader.Buffered() > 0 || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	c.idleDeadline = time.Now().Add(idleTimeout(resp.Header.Get("Keep-Alive")))
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// idleTime returns how long a connection may rest, from a Keep-Alive header.
func idleTimeout(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(n)*time.Second-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// Abort resets the connection, which also tells the peer to stop working. What
// was sent and not yet delivered is dropped: after a plain close the kernel goes
// on sending, and an order or request that was given up arrives when a partition
// heals, seconds later.
func (c *Conn) Abort() {
	if t, ok := c.conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.conn.Close()
}

// Do sends a request and reads its whole answer, of at most limit bytes.
func (p *Pool) Do(ctx context.Context, address string, r Request, limit int64) (*http.Response, []byte, error) {
	c, err := p.Get(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
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
		err = errors.Errorf("more than %d bytes", limit)
	}
	if err != nil {
		c.Abort()
		return nil, nil, errors.Wrap(err, "rawhttp: body")
	}
	if !stop() {
		c.Abort()
	} else {
		c.Release(resp)
	}
	return resp, body, nil
}
