package gateway

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/oleander/internal/testutil"
)

// Guards against a listener that stays closed, or leaks, once connections were refused.
func TestCallerListenerRefusesForAWhile(t *testing.T) {
	var takes atomic.Bool
	l, err := listenForCallers("127.0.0.1:0", func(c net.Conn) (net.Conn, bool) { return c, takes.Load() })
	if err != nil {
		t.Fatal(err)
	}
	l.address = l.current.Addr().String()
	accepted := make(chan error)
	go func() {
		for {
			c, err := l.Accept()
			if err == nil {
				_ = c.Close()
			}
			accepted <- err
			if err != nil {
				return
			}
		}
	}()
	connects := func() bool {
		c, err := net.DialTimeout("tcp", l.address, time.Second)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}
	connects() // is not taken
	testutil.WaitFor(t, func() bool { return !connects() })
	takes.Store(true)
	testutil.WaitFor(t, connects)
	if err := <-accepted; err != nil {
		t.Errorf("accept: %v", err)
	}
	if err := l.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
	for err := range accepted {
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				t.Errorf("accept after close: %v", err)
			}
			break
		}
	}
	if connects() {
		t.Error("listens after close")
	}
}
