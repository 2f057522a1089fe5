package callermem

import (
	"net"
	"testing"
	"time"
)

// Guards against more connections at a time than are allowed, and against places that closed ones keep.
func TestListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(Settings{BodyBytes: 1 << 20, ConnectionBytes: 1 << 20, MaxConnections: 2}).Listener(inner, func() {})
	accepted := make(chan net.Conn)
	ended := make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- c
		}
	}()
	for range 4 {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	first := <-accepted
	<-accepted
	select {
	case <-accepted:
		t.Fatal("a third connection")
	case <-time.After(100 * time.Millisecond):
	}
	_ = first.Close()
	_ = first.Close() // gives back one place only
	<-accepted
	select {
	case <-accepted:
		t.Fatal("a connection more than one that closed")
	case <-time.After(100 * time.Millisecond):
	}
	if err := first.(interface{ SetLinger(int) error }).SetLinger(0); err == nil {
		t.Error("SetLinger of a closed connection succeeds")
	}
	_ = l.Close()
	if err := <-ended; err == nil {
		t.Error("no error after the end")
	}
}
