package rawhttp

import (
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
	n, err := c.conn.Read(b)
	var timeout net.Error
	if n > 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
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

// poll returns which of these events the connection has, without waiting.
func (c *Conn) poll(events int16) (found int16) {
	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { // fails once the connection is closed
		p := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, err := unix.Poll(p, 0); err == nil && n > 0 {
			found = p[0].Revents
		}
	})
	return found
}

// endedUnread reports whether the server has ended the connection and nothing is left to read.
func (c *Conn) endedUnread() bool {
	if c.poll(unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) == 0 {
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
	left := -1
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		left, _, err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return left == 0 || left < 0 && err == unix.ECONNRESET
}

// EndedByServer reports whether the server had ended the connection, with nothing left to read, before
// Abort was called first.
func (c *Conn) EndedByServer() bool { return c.endedByServer.Load() }
