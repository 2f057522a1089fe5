package rawhttp

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/oleander/internal/testutil"
)

// endlessServer answers each request with text and then with more of the same until the connection ends.
func endlessServer(t *testing.T, text, more string) string {
	l := testutil.Listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func(c net.Conn) {
				defer func() { _ = c.Close() }()
				if _, err := c.Read(make([]byte, 1)); err != nil {
					return
				}
				_, err := io.WriteString(c, text)
				for chunk := strings.Repeat(more, 1+4096/len(more)); err == nil; {
					_, err = io.WriteString(c, chunk)
				}
			}(c)
		}
	}()
	return l.Addr().String()
}

// Guards against a head that is read for as long as its server sends it.
func TestEndlessHeadIsMalformed(t *testing.T) {
	for name, s := range map[string]struct{ text, more string }{
		"status line":             {"HTTP/1.1 200 ", "o"},
		"no line":                 {"", "x"},
		"headers":                 {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"one header":              {"HTTP/1.1 200 OK\r\nName: ", "v"},
		"informational responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPool(time.Second, nil)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			c, err := p.Get(ctx, endlessServer(t, s.text, s.more), "r1")
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if err := c.Send(Request{Method: "GET", Target: "/", Host: "h"}); err != nil {
				t.Fatal(err)
			}
			if _, err := c.ReadResponse("GET"); !errors.Is(err, ErrMalformed) {
				t.Fatalf("error %v, want a malformed response", err)
			}
			if c.headBytes > maxHeadBytes+bufferSize {
				t.Errorf("%d bytes read", c.headBytes)
			}
		})
	}
}

// Guards against the end of a connection in the middle of a head that counts as a response of a server that goes on.
func TestBrokenHeadIsNotMalformed(t *testing.T) {
	s := startServer(t, "!HTTP/1.1 200 OK\r\nNa")
	c, err := NewPool(time.Second, nil).Get(context.Background(), s.address, "r1")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.Send(Request{Method: "GET", Target: "/", Host: "h"}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.ReadResponse("GET"); err == nil || errors.Is(err, ErrMalformed) {
		t.Errorf("error %v, want that of the connection", err)
	}
}
