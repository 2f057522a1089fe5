package callermem

import (
	"net"
	"sync"
	"time"
)

// roomCheckInterval is how often it is checked whether there is room for one more connection.
const roomCheckInterval = 10 * time.Millisecond

// listener admits the connections of another listener.
type listener struct {
	net.Listener
	account  *Account
	onRefuse func()
	closed   chan struct{}
	once     sync.Once
}

// Listener returns a listener whose connections are charged. While as many are open as are allowed, further ones wait
// with the kernel. One for which there is no memory is reset, and onRefuse is called.
func (a *Account) Listener(l net.Listener, onRefuse func()) net.Listener {
	return &listener{Listener: l, account: a, onRefuse: onRefuse, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if !l.awaitRoom() {
			return nil, net.ErrClosed
		}
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, ok := l.account.Admit(accepted)
		if ok {
			return c, nil
		}
		l.onRefuse()
		CloseUnread(accepted)
	}
}

// awaitRoom waits until one more connection may be open. It returns false if the listener is closed before.
func (l *listener) awaitRoom() bool {
	for !l.account.hasRoomForConnection() {
		l.account.MakeRoomForConnection()
		select {
		case <-l.closed:
			return false
		case <-time.After(roomCheckInterval):
		}
	}
	return true
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// CloseUnread resets a connection. The end of an open one could be that of an answer that was cut off.
func CloseUnread(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
