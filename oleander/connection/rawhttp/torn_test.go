package rawhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/oleander/internal/testutil"
)

// stalledConn is a connection whose reads meet the deadline a number of times before the rest arrives, as those of a process
// that stands still at the deadline do.
type stalledConn struct {
	*net.TCPConn
	timeouts int
	arrive   func()
}

// Read implements io.Reader.
func (c *stalledConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n == 0 && isTimeout(err) {
		if c.timeouts--; c.timeouts == 0 {
			c.arrive()
		}
	}
	return n, err
}

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (here, server *net.TCPConn) {
	l := testutil.Listen(t)
	t.Cleanup(func() { _ = l.Close() })
	a, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = a.Close()
		_ = b.Close()
	})
	return a.(*net.TCPConn), b.(*net.TCPConn)
}

// Guards against a head that arrives in two parts, around the deadline, and is taken for a shorter one.
func TestHeadAroundTheDeadlineIsNoShorterHead(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nName: value\r\nContent-Length: 27\r\n\r\n", "the body, with its 27 bytes"
	for cut := 1; cut < len(head); cut++ {
		for timeouts := 1; timeouts <= 4; timeouts++ {
			here, server := pair(t)
			_, _ = io.WriteString(server, head[:cut])
			deadline := time.Now().Add(2 * time.Millisecond)
			c := newConn(&stalledConn{TCPConn: here, timeouts: timeouts, arrive: func() {
				_, _ = io.WriteString(server, head[cut:]+body)
				_ = server.Close()
				time.Sleep(time.Millisecond)
			}}, "")
			c.SetDeadline(deadline)
			resp, err := c.ReadResponse(http.MethodPost)
			if err != nil {
				c.Close()
				continue
			}
			got, err := io.ReadAll(resp.Body)
			if err == nil && (string(got) != body || resp.ContentLength != int64(len(body))) {
				t.Errorf("cut after %q, %d timeouts: length %d, body %q", head[:cut], timeouts, resp.ContentLength, got)
			}
			c.Close()
		}
	}
}

// Guards against a reset that passes for a plain end, and so for the end of a response without length, once somebody has looked at the connection.
func TestLookAtAResetConnectionLeavesTheReset(t *testing.T) {
	here, server := pair(t)
	c := newConn(here, "")
	_ = server.SetLinger(0)
	_ = server.Close()
	testutil.WaitFor(t, c.endedUnread)
	if _, err := c.reader.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("read %v, want the reset", err)
	}
}

// Guards against a status that HTTP doesn't have, or a switch of protocols that nobody asked for, which is skipped like an
// informational one, so that what follows it, a body, passes for the response.
func TestStatusThatIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for _, head := range []string{"", "Upgrade: x\r\n", "Content-Length: 38\r\n"} {
			text := "HTTP/1.1 " + status + " Odd\r\n" + head + "\r\n"
			for cut := range len(text) + 1 {
				here, server := pair(t)
				_, _ = io.WriteString(server, text[:cut])
				if cut == len(text) {
					_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
				_ = server.Close()
				c := newConn(here, "")
				resp, err := c.ReadResponse(http.MethodPost)
				if err == nil {
					t.Errorf("%q: %v", text[:cut], resp.Status)
				}
				if cut == len(text) && !errors.Is(err, ErrMalformed) {
					t.Errorf("%q: %v, want a malformed response", text, err)
				}
				c.Close()
			}
		}
	}
}

// Guards against heads cut at any byte, by an end or a reset, that are taken for a response.
func TestTornHeadIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nName: value\r\nContent-Length: 0\r\n\r\n",
		"chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n",
		"neither":       "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"old":           "HTTP/1.0 200 OK\r\nName: value\r\n\r\n",
		"no phrase":     "HTTP/1.1 200\r\n\r\n",
		"bare LF":       "HTTP/1.1 200 OK\nName: value\n\n",
		"mixed ends":    "HTTP/1.1 200 OK\r\nName: value\n\r\n",
		"continuation":  "HTTP/1.1 200 OK\r\nName: value\r\n more\r\n\tand more\r\n\r\n",
		"informational": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(head) + 1 {
				for _, reset := range []bool{false, true} {
					here, server := pair(t)
					_, _ = io.WriteString(server, head[:cut])
					if reset {
						_ = server.SetLinger(0)
					}
					_ = server.Close()
					c := newConn(here, "")
					resp, err := c.ReadResponse(http.MethodPost)
					if cut < len(head) && err == nil {
						t.Errorf("cut after %q, reset %v: %v %v", head[:cut], reset, resp.Status, resp.Header)
					}
					if cut == len(head) && !reset && err != nil {
						t.Errorf("whole head: %v", err)
					}
					c.Close()
				}
			}
		})
	}
}

// Guards against a torn answer to one of the instance's own calls, an order or a report, that counts as whole.
func TestTornAnswerToOwnCallIsAnError(t *testing.T) {
	for name, answer := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"value\":1}",
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\n{\"val\r\n6\r\nue\":1}\r\n0\r\n\r\n",
		"trailers": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\nb\r\n{\"value\":1}\r\n0\r\nSum: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(answer) {
				s := startServer(t, "!"+answer[:cut])
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				dial := func(ctx context.Context) (net.Conn, error) { return DialTCP(ctx, s.address, time.Second) }
				if _, body, err := DoOver(ctx, s.address, dial, Request{Method: "POST", Target: "/", Host: "h"}, 1<<20); err == nil {
					t.Errorf("cut after %q: body %q", answer[:cut], body)
				}
				cancel()
			}
		})
	}
}
