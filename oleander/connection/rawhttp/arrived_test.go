package rawhttp

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// sendTo sends a request to a server that answers with some bytes and closes the connection, and returns
// once both have arrived.
func sendTo(t *testing.T, answer string) *Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1<<10))
		_, _ = conn.Write([]byte(answer))
		_ = conn.Close()
	}()
	c, err := NewPool(time.Second, nil).Get(context.Background(), l.Addr().String(), "r1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.Send(Request{Method: http.MethodGet, Target: "/", Host: "h"}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	return c
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// Guards against an answer, or the end of a connection, that a process misses since it stood still until
// the deadline.
func TestWhatArrivedBeforeTheDeadlineIsRead(t *testing.T) {
	c := sendTo(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	c.SetDeadline(time.Now().Add(-100 * time.Millisecond))
	if resp, err := c.ReadResponse(http.MethodGet); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("answer that had arrived: %v, %v", resp, err)
	}
	c = sendTo(t, "")
	c.SetDeadline(time.Now().Add(-100 * time.Millisecond))
	if _, err := c.ReadResponse(http.MethodGet); err == nil || isTimeout(err) {
		t.Errorf("end of the connection that had arrived: %v", err)
	}
}

func TestDeadlineHoldsWhereNothingArrived(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := NewPool(time.Second, nil).Get(context.Background(), l.Addr().String(), "r1")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(-100 * time.Millisecond))
	if _, err := c.ReadResponse(http.MethodGet); !isTimeout(err) {
		t.Errorf("nothing arrived: %v", err)
	}
	c = sendTo(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	c.Interrupt()
	if _, err := c.ReadResponse(http.MethodGet); !isTimeout(err) {
		t.Errorf("interrupted: %v", err)
	}
}

func TestAbortTellsWhetherTheServerHadEnded(t *testing.T) {
	for answer, want := range map[string]bool{"": true, "HTTP/1.1 504 Gateway Timeout\r\n\r\n": false} {
		c := sendTo(t, answer)
		c.Abort()
		if c.EndedByServer() != want {
			t.Errorf("answer %q: ended by the server: %v", answer, !want)
		}
	}
}
