package gateway

import (
	"encoding/binary"
	"io"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// What a relay passes on to the instance that asked for the connection goes in frames: a length
// of frameHeaderSize bytes, big-endian, and as many bytes. A frame of length 0 says that the
// server closed its side. Without it, the end of the relay itself would pass for that of the
// server's response.
const (
	frameHeaderSize = 2
	maxFrameSize    = 1<<16 - 1
)

// errRelayEnded is the error of a relayed connection that ended, but not since the server closed its side.
var errRelayEnded = errors.New("links: the relay ended")

// frameWriter writes each Write as one frame or more.
type frameWriter struct{ to io.Writer }

// Write implements io.Writer.
func (w frameWriter) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		part := b[written:min(len(b), written+maxFrameSize)]
		if err := w.writeFrame(part); err != nil {
			return written, err
		}
		written += len(part)
	}
	return written, nil
}

// end writes that the server closed its side.
func (w frameWriter) end() error { return w.writeFrame(nil) }

func (w frameWriter) writeFrame(part []byte) error {
	header := binary.BigEndian.AppendUint16(make([]byte, 0, frameHeaderSize), uint16(len(part)))
	buffers := net.Buffers{header, part}
	_, err := buffers.WriteTo(w.to)
	return err
}

// relayedConn is a connection to a server through a relay.
type relayedConn struct {
	net.Conn
	keep func() bool // nil: always
}

// Keep implements rawhttp.Keeper.
func (c relayedConn) Keep() bool { return c.keep == nil || c.keep() }

// SyscallConn implements syscall.Conn.
func (c relayedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("links: not a connection of the system")
	}
	return sc.SyscallConn()
}

// SetLinger is that of net.TCPConn.
func (c relayedConn) SetLinger(sec int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetLinger(sec)
	}
	return nil
}

// Read implements io.Reader. The end of the connection is none of the server's response.
func (c relayedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	return n, relayError(err)
}

// framedConn is a relayedConn whose relay sends frames. Its reads end with io.EOF if the
// server closed its side.
type framedConn struct {
	relayedConn
	header      [frameHeaderSize]byte
	headerBytes int // that were read of the next header, of which a deadline may leave a part
	remaining   int // bytes of the current frame
	ended       bool
}

// Read implements io.Reader.
func (c *framedConn) Read(b []byte) (int, error) {
	for c.remaining == 0 && !c.ended {
		n, err := c.relayedConn.Read(c.header[c.headerBytes:])
		if c.headerBytes += n; c.headerBytes < frameHeaderSize {
			if err != nil {
				return 0, err
			}
			continue
		}
		c.headerBytes = 0
		c.remaining = int(binary.BigEndian.Uint16(c.header[:]))
		c.ended = c.remaining == 0
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.relayedConn.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	return n, err
}

// relayError returns the error of a read from a relay.
func relayError(err error) error {
	if err == io.EOF {
		return errRelayEnded
	}
	return err
}
