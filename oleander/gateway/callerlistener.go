package gateway

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// refuseTime is how long connections are refused at a time.
const refuseTime = 50 * time.Millisecond

// callerListener listens for callers and refuses connections for a while if one is not taken. A
// connection that is accepted and closed would bring its request over the link first; one that is
// refused costs a packet, and its caller turns to another instance at once.
type callerListener struct {
	address string
	takes   func() bool

	mu      sync.Mutex
	current net.Listener // nil while connections are refused
	closed  chan struct{}
}

func listenForCallers(address string, takes func() bool) (*callerListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &callerListener{address: address, takes: takes, current: l, closed: make(chan struct{})}, nil
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		current := l.current
		l.mu.Unlock()
		if current == nil {
			return nil, net.ErrClosed
		}
		c, err := current.Accept()
		if err != nil || l.takes() {
			return c, err
		}
		closeUnread(c)
		if err := l.refuse(); err != nil {
			return nil, err
		}
	}
}

// closeUnread resets a connection. The end of an open one could be that of an answer that was cut off.
func closeUnread(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// refuse refuses connections for refuseTime.
func (l *callerListener) refuse() error {
	l.mu.Lock()
	if l.current != nil {
		_ = l.current.Close()
		l.current = nil
	}
	l.mu.Unlock()
	for {
		select {
		case <-l.closed:
			return net.ErrClosed
		case <-time.After(refuseTime):
		}
		again, err := net.Listen("tcp", l.address)
		if err != nil {
			continue // another socket may still have the address
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		select {
		case <-l.closed:
			_ = again.Close()
			return net.ErrClosed
		default:
			l.current = again
			return nil
		}
	}
}

// Close implements net.Listener.
func (l *callerListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return nil
	default:
		close(l.closed)
	}
	if l.current == nil {
		return nil
	}
	return errors.Wrap(l.current.Close(), "front: stop listening")
}

// Addr implements net.Listener.
func (l *callerListener) Addr() net.Addr {
	a, err := net.ResolveTCPAddr("tcp", l.address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return a
}
