package callermem

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
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

	mu       sync.Mutex
	state    eviction.State
	head     headCost // of what was read of the current head
	headPaid int64    // how much of that was charged

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

// Read implements net.Conn. What it returns of a head was charged; without memory for it the head is not read further,
// which ends the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.received(p[:n]) {
		return 0, os.ErrDeadlineExceeded // net/http closes the connection without an answer
	}
	return n, err
}

// received records bytes of the caller. It reports whether there is memory for those of a head.
func (c *Conn) received(b []byte) bool {
	c.mu.Lock()
	if c.state.Phase == eviction.Idle {
		c.state.Enter(now(), eviction.Head)
	}
	c.state.Passed(now(), len(b))
	inHead := c.state.Phase == eviction.Head
	first := inHead && c.head == 0
	if inHead {
		c.head += costOf(len(b), bytes.Count(b, []byte{'\n'}), bytes.Count(b, []byte{','}))
	}
	c.mu.Unlock()
	if first {
		c.account.chargeRequest(c)
	}
	return !inHead || c.payHead()
}

// headCost is what a head takes, in bytes.
type headCost int64

func costOf(size, headers, items int) headCost {
	return headCost(headFactor*size + headerBytes*headers + itemBytes*items)
}

// costOfHeaders is costOf for headers that were read.
func costOfHeaders(h http.Header) headCost {
	cost := headCost(0)
	for name, values := range h {
		for _, v := range values {
			cost += costOf(len(name)+len(v), 1, strings.Count(v, ","))
		}
	}
	return cost
}

// payHead charges what the head takes beyond what was charged. It reports whether there is memory for it.
func (c *Conn) payHead() bool {
	c.mu.Lock()
	missing := int64(c.head) - c.headPaid
	c.mu.Unlock()
	if missing <= 0 {
		return true
	}
	step := (missing + headStep - 1) / headStep * headStep
	if !c.account.chargeConnection(c, step, true) {
		return false
	}
	c.mu.Lock()
	c.headPaid += step
	c.mu.Unlock()
	return true
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

// end closes a connection that makes way. The kernel still delivers the last answer on one that is idle.
func (c *Conn) end() {
	c.mu.Lock()
	idle := c.state.Phase == eviction.Idle
	c.mu.Unlock()
	if idle {
		_ = c.Close()
		return
	}
	c.reset()
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
	c.head, c.headPaid = 0, freeHeadBytes
	c.mu.Unlock()
	c.overloaded.Store(false)
	c.account.endRequest(c)
}

// BeginRequest says that the head of a request was read. It returns an error if there was no memory for it.
func BeginRequest(r *http.Request) error {
	c := Of(r.Context())
	if c == nil {
		return nil
	}
	c.mu.Lock()
	c.state.Enter(now(), eviction.Busy)
	withLast := c.head == 0 // it came together with the request before
	c.head = max(c.head, costOfHeaders(r.Header))
	c.mu.Unlock()
	if withLast {
		c.account.chargeRequest(c)
	}
	if !c.payHead() || c.overloaded.Load() || c.Evicted() {
		return &NoMemoryError{RetryAfter: membudget.MinRetryAfter}
	}
	return nil
}

// hasArrived reports whether the kernel has received bytes that were not read.
func (c *Conn) hasArrived() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) // 0 if it fails
	})
	return err == nil && unread > 0
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
