package rawhttp

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxLateRead is how long after a deadline what arrived before is still read.
	maxLateRead = time.Second
	// lateReadTime is how long reading it may take.
	lateReadTime = 10 * time.Millisecond
)

// arrivedReader reads from a connection what has arrived, also after the read deadline. A process that
// stood still until the deadline would otherwise see a timeout where the server answered, or where
// the connection ended.
type arrivedReader struct{ c *Conn }

// Read implements io.Reader.
func (r arrivedReader) Read(b []byte) (int, error) {
	c := r.c
	switch {
	case c.headError != nil:
		return 0, c.headError
	case c.inHead && c.headBytes >= maxHeadBytes:
		return 0, errHeadTooLong
	}
	n, err := r.read(b)
	for n == 0 && isTimeoutError(err) && c.extendReadDeadline() {
		n, err = r.read(b)
	}
	if err == io.EOF && (c.aborted.Load() || c.reset.Load()) {
		err = errReset
	}
	c.headBytes += n
	c.readFailed = c.readFailed || err != nil
	if c.inHead {
		// The reader of a head takes a line before an error for a whole one, and would read on.
		c.headError = err
	}
	return n, err
}

func (r arrivedReader) read(b []byte) (int, error) {
	c := r.c
	n, err := c.conn.Read(b)
	if n > 0 || !isTimeoutError(err) {
		return n, err
	}
	deadline := time.Unix(0, c.readDeadline.Load())
	if time.Since(deadline) > maxLateRead || c.poll(unix.POLLIN) == 0 {
		return n, err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lateReadTime))
	defer func() { _ = c.conn.SetReadDeadline(deadline) }()
	return c.conn.Read(b)
}

// control calls f with the descriptor of the connection, and reports whether it has one that is open.
func (c *Conn) control(f func(fd int)) bool {
	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// poll returns which of these events the connection has, without waiting.
func (c *Conn) poll(events int16) (found int16) {
	c.control(func(fd int) {
		p := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, err := unix.Poll(p, 0); err == nil && n > 0 {
			found = p[0].Revents
		}
	})
	return found
}

// peek looks at the next byte without waiting; n is 0 at the end of the connection.
func (c *Conn) peek() (n int, err error) {
	open := c.control(func(fd int) {
		var b [1]byte
		n, _, err = unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if !open {
		return 0, net.ErrClosed
	}
	if errors.Is(err, unix.ECONNRESET) {
		c.reset.Store(true) // the kernel says so once, and then that the connection has ended
	}
	return n, err
}

// endedUnread reports whether the server has ended the connection and nothing is left to read.
func (c *Conn) endedUnread() bool {
	if c.poll(unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) == 0 {
		return false
	}
	n, err := c.peek()
	return err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
}

// EndedByServer reports whether the server had ended the connection, with nothing left to read, before
// Abort was called first.
func (c *Conn) EndedByServer() bool { return c.endedByServer.Load() }

func isTimeoutError(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// OnReadTimeout sets what decides, in the goroutine that reads, whether a read that reached its deadline waits on: until
// the time that it returns, or not if that has passed. It holds until the connection is released; nil waits on for nothing.
func (c *Conn) OnReadTimeout(until func() time.Time) { c.onReadTimeout = until }

// extendReadDeadline reports whether a read that reached its deadline waits on.
func (c *Conn) extendReadDeadline() bool {
	if c.onReadTimeout == nil || c.aborted.Load() {
		return false
	}
	until := c.onReadTimeout()
	if !until.After(time.Now()) {
		return false
	}
	c.SetReadDeadline(until)
	return true
}
