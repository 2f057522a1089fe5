package gateway

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/oleander/connection/callermem"
)

// refuseTime is how long connections are refused at a time.
const refuseTime = 50 * time.Millisecond

// callerListener listens for callers and refuses connections for a while if one is not taken. A
// connection that is accepted and closed would bring its request over the link first; one that is
// refused costs a packet, and its caller turns to another instance at once.
type callerListener struct {
	address string
	admit   func(net.Conn) (net.Conn, bool)

	mu      sync.Mutex
	current net.Listener // nil while connections are refused
	closed  chan struct{}
}

func listenForCallers(address string, admit func(net.Conn) (net.Conn, bool)) (*callerListener, error) {
	l, err := callermem.Listen(address)
	if err != nil {
		return nil, err
	}
	return &callerListener{address: address, admit: admit, current: l, closed: make(chan struct{})}, nil
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
		accepted, err := current.Accept()
		if err != nil {
			return nil, err
		}
		c, ok := l.admit(accepted)
		if ok {
			return c, nil
		}
		callermem.CloseUnread(accepted)
		if err := l.refuse(); err != nil {
			return nil, err
		}
	}
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
		again, err := callermem.Listen(l.address)
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
