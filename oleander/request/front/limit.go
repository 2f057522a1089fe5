package front

import (
	"net"
	"sync"
)

// limitListener accepts up to a number of connections at a time. Unlike that of x/net, its connections keep SetLinger.
type limitListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newLimitListener(l net.Listener, n int) *limitListener {
	return &limitListener{Listener: l, slots: make(chan struct{}, n), closed: make(chan struct{})}
}

// Accept implements net.Listener. It waits until another connection is closed while there are as many as allowed.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn is a connection of a limitListener.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// SetLinger is that of net.TCPConn.
func (c *limitedConn) SetLinger(sec int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetLinger(sec)
	}
	return nil
}

// CloseWrite is that of net.TCPConn, with which net/http ends a connection whose caller still sends.
func (c *limitedConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}
