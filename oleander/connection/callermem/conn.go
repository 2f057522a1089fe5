package callermem

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/eviction"
	"oleanderdale.org/core/gateway/membudget"
	"oleanderdale.org/oleander/connection/callerconn"
)

// processStart is the origin of the clock of connections, which is read without a system call.
var processStart = time.Now()

func now() clock.Time { return clock.Time(time.Since(processStart)) }

// Conn is a connection of a caller whose memory is charged.
type Conn struct {
	*net.TCPConn
	account *Account

	mu        sync.Mutex
	state     eviction.State
	headBytes int64 // read of the current head
	headRoom  int64 // bytes that the head may have without a further charge

	// Guarded by account.mu.
	holdings     []membudget.ID
	charged      int64 // of the connection and its head
	requestBytes int64 // of that, those of the current request
	wide         bool  // has the receive buffer for large bodies
	closed       bool

	evicted    atomic.Bool
	overloaded atomic.Bool // there was no memory for the current request
}

// Of returns the connection of a request, nil if its context has none that is charged.
func Of(ctx context.Context) *Conn {
	c, _ := callerconn.Of(ctx).(*Conn)
	return c
}

// Evicted reports whether the connection makes way for others. It is false for a nil Conn.
func (c *Conn) Evicted() bool { return c != nil && c.evicted.Load() }

// Read implements net.Conn. Of a head, it reads no more than was charged.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.chargeHead(len(p)); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.received(n)
	}
	return n, err
}

// received records bytes of the caller.
func (c *Conn) received(n int) {
	c.mu.Lock()
	begins := c.state.Phase == eviction.Idle
	if begins {
		c.state.Enter(now(), eviction.Head)
	}
	c.state.Passed(now(), n)
	first := c.state.Phase == eviction.Head && c.headBytes == 0
	if c.state.Phase == eviction.Head {
		c.headBytes += int64(n)
	}
	c.mu.Unlock()
	if first {
		c.account.chargeRequest(c)
	}
}

// chargeHead charges the next bytes of a head beyond what every request may have. Without memory for them the head
// is not read further, which ends the connection.
func (c *Conn) chargeHead(n int) error {
	c.mu.Lock()
	missing := int64(0)
	if c.state.Phase == eviction.Head && c.headBytes > 0 {
		missing = c.headBytes + int64(n) - c.headRoom
	}
	c.mu.Unlock()
	if missing <= 0 {
		return nil
	}
	room := (missing + headStep - 1) / headStep * headStep
	if !c.account.chargeConnection(c, headFactor*room, true) {
		return os.ErrDeadlineExceeded // net/http closes the connection without an answer
	}
	c.mu.Lock()
	c.headRoom += room
	c.mu.Unlock()
	return nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	before := c.state
	c.state.Enter(now(), eviction.Response)
	c.mu.Unlock()
	n, err := c.TCPConn.Write(p)
	c.mu.Lock()
	c.state = before
	c.mu.Unlock()
	return n, err
}

// enter begins a phase.
func (c *Conn) enter(p eviction.Phase) {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.state.Enter(now(), p)
	c.mu.Unlock()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.account.remove(c)
	return c.TCPConn.Close()
}

// reset closes the connection so that the kernel drops what the caller has not read.
func (c *Conn) reset() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// forget removes a holding that was closed. The caller holds account.mu.
func (c *Conn) forget(id membudget.ID) {
	c.holdings = slices.DeleteFunc(c.holdings, func(o membudget.ID) bool { return o == id })
}

// ConnState is for http.Server.ConnState: it ends the request of a connection that is kept.
func ConnState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok || s != http.StateIdle {
		return
	}
	c.mu.Lock()
	c.state.Enter(now(), eviction.Idle)
	c.headBytes, c.headRoom = 0, freeHeadBytes
	c.mu.Unlock()
	c.overloaded.Store(false)
	c.account.endRequest(c)
}

// BeginRequest says that the head of a request was read. It returns an error if there was no memory for it.
func BeginRequest(ctx context.Context) error {
	c := Of(ctx)
	if c == nil {
		return nil
	}
	c.mu.Lock()
	c.state.Enter(now(), eviction.Busy)
	whole := c.headBytes == 0 // it came with the request before
	c.headBytes = max(1, c.headBytes)
	c.mu.Unlock()
	if whole {
		c.account.chargeRequest(c)
	}
	if c.overloaded.Load() || c.Evicted() {
		return &NoMemoryError{RetryAfter: membudget.MinRetryAfter}
	}
	return nil
}

// callerLeft reports whether the caller closed its connection, also when sent data is
// still unread.
func callerLeft(ctx context.Context) bool {
	c, ok := callerconn.Of(ctx).(syscall.Conn)
	return ok && Left(c)
}

// Left reports whether the peer of a connection closed it, also when sent data is still unread.
func Left(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		left = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || left
}
