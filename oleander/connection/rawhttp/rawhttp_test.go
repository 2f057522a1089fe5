package rawhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"golang.org/x/sys/unix"

	"oleanderdale.org/oleander/internal/testutil"
)

// scriptedServer counts the requests and connections that it gets.
type scriptedServer struct {
	address      string
	requests     atomic.Int32
	connections  atomic.Int32
	requestLines chan string // first lines of the requests
}

// startServer runs a server that sends the n-th of responses for the n-th request
// on any connection, and the last one for all further requests. It closes the
// connection after a response that begins with "!".
func startServer(t *testing.T, responses ...string) *scriptedServer {
	l := testutil.Listen(t)
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedServer{address: l.Addr().String(), requestLines: make(chan string, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serveConn(c, responses)
		}
	}()
	return s
}

func (s *scriptedServer) serveConn(c net.Conn, responses []string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		s.requestLines <- line
		length := 0
		for line != "\r\n" {
			if line, err = r.ReadString('\n'); err != nil {
				return
			}
			if strings.HasPrefix(line, "Content-Length: 4") {
				length = 4
			}
		}
		if _, err := io.CopyN(io.Discard, r, int64(length)); err != nil {
			return
		}
		n := int(s.requests.Add(1)) - 1
		text, closes := strings.CutPrefix(responses[min(n, len(responses)-1)], "!")
		if _, err := io.WriteString(c, text); err != nil || closes {
			return
		}
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func doRequest(p *Pool, address, method string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, body, err := p.Do(ctx, address, Request{Method: method, Target: "/a//b/../c?x=%2f", Host: "h", Header: http.Header{}, Body: bodyOf(method)}, 100)
	return string(body), err
}

func bodyOf(method string) []byte {
	if method == http.MethodPost {
		return []byte("body")
	}
	return nil
}

// TestTargetUnchangedAndConnectionReused: path and query must be sent unchanged, and
// the connection be reused.
func TestTargetUnchangedAndConnectionReused(t *testing.T) {
	s := startServer(t, okResponse)
	p := NewPool(time.Second, nil)
	for range 3 {
		if body, err := doRequest(p, s.address, http.MethodPost); err != nil || body != "ok" {
			t.Fatalf("%q, %v", body, err)
		}
		if head := <-s.requestLines; head != "POST /a//b/../c?x=%2f HTTP/1.1\r\n" {
			t.Errorf("sent %q", head)
		}
	}
	if n := s.connections.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// TestNoRequestIsRetried: a server reads a request and closes the connection without
// a response. It may have run the request, so even a GET must not be sent again.
func TestNoRequestIsRetried(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		s := startServer(t, okResponse, "!", okResponse)
		p := NewPool(time.Second, nil)
		if _, err := doRequest(p, s.address, method); err != nil {
			t.Fatal(err)
		}
		_, err := doRequest(p, s.address, method)
		if err == nil || errors.Is(err, ErrNotSent) {
			t.Errorf("%s: error %v, want one that is not ErrNotSent", method, err)
		}
		if n := s.requests.Load(); n != 2 {
			t.Errorf("%s: the server got %d requests, want 2", method, n)
		}
	}
}

// TestExtraResponseDropsTheConnection: a second response follows the first. It must
// not be read as the response to the next request.
func TestExtraResponseDropsTheConnection(t *testing.T) {
	extra := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	s := startServer(t, okResponse+extra, okResponse)
	p := NewPool(time.Second, nil)
	for range 2 {
		if body, err := doRequest(p, s.address, http.MethodPost); err != nil || body != "ok" {
			t.Errorf("%q, %v", body, err)
		}
	}
	if n := s.connections.Load(); n != 2 {
		t.Errorf("%d connections, want a new one for the second request", n)
	}
}

// TestUnsolicitedBytesDropTheConnection: a response arrives on an idle connection in
// the pool. It must not be read as the response to the next request.
func TestUnsolicitedBytesDropTheConnection(t *testing.T) {
	l := testutil.Listen(t)
	defer func() { _ = l.Close() }()
	sent := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1000))
		_, _ = io.WriteString(c, okResponse)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
		close(sent)
		if c, err = l.Accept(); err == nil {
			_, _ = c.Read(make([]byte, 1000))
			_, _ = io.WriteString(c, okResponse)
		}
	}()
	p := NewPool(time.Second, nil)
	if _, err := doRequest(p, l.Addr().String(), http.MethodPost); err != nil {
		t.Fatal(err)
	}
	<-sent
	time.Sleep(10 * time.Millisecond) // for delivery over loopback
	if body, err := doRequest(p, l.Addr().String(), http.MethodPost); err != nil || body != "ok" {
		t.Errorf("%q, %v", body, err)
	}
}

func TestIncompleteResponses(t *testing.T) {
	tests := map[string]string{
		"truncated body":   "!HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok",
		"truncated chunks": "!HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"not HTTP":         "!hello\r\n\r\n",
		"over the limit":   "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101),
	}
	for name, response := range tests {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, response)
			if body, err := doRequest(NewPool(time.Second, nil), s.address, http.MethodGet); err == nil {
				t.Errorf("accepted as complete: %q", body)
			}
		})
	}
}

// TestResponseWithoutLength: a response without a length ends with its connection,
// which must not be reused.
func TestResponseWithoutLength(t *testing.T) {
	s := startServer(t, "!HTTP/1.1 200 OK\r\n\r\nok")
	p := NewPool(time.Second, nil)
	for range 2 {
		if body, err := doRequest(p, s.address, http.MethodGet); err != nil || body != "ok" {
			t.Errorf("%q, %v", body, err)
		}
	}
}

func TestDialErrorIsNotSent(t *testing.T) {
	if _, err := doRequest(NewPool(time.Second, nil), testutil.ClosedAddress(t), http.MethodPost); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
}

// TestCancelledRequestIsReset: a request is cancelled. Its connection must be reset,
// so that the kernel discards undelivered data; after a plain close it would keep
// sending for minutes.
func TestCancelledRequestIsReset(t *testing.T) {
	l := testutil.Listen(t)
	defer func() { _ = l.Close() }()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, c)
		ended <- err
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, _, err := NewPool(time.Second, nil).Do(ctx, l.Addr().String(), Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}}, 100)
	if err == nil {
		t.Fatal("no error")
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}

func TestIdleTimeout(t *testing.T) {
	tests := map[string]time.Duration{
		"":                  defaultIdleTimeout,
		"timeout=5":         5*time.Second - idleTimeoutMargin,
		"max=10, timeout=2": 2*time.Second - idleTimeoutMargin,
		"timeout=0":         0,
		"timeout=x":         defaultIdleTimeout,
	}
	for header, want := range tests {
		if got := idleTimeout(header); got != want {
			t.Errorf("%q: %v, want %v", header, got, want)
		}
	}
}

// Guards against connections that break while a server is silent for a second or so, or that outlive
// a server that is gone: with TCP_USER_TIMEOUT set, it decides when keep-alive probes give up.
func TestUserTimeoutDecidesWhenProbesGiveUp(t *testing.T) {
	l := testutil.Listen(t)
	c, err := DialTCP(t.Context(), l.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(name int) (value int) {
		if e := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); e != nil || err != nil {
			t.Fatal(e, err)
		}
		return value
	}
	const longestSilence, longestUnnoticed = 1500 * time.Millisecond, 5 * time.Second
	userTimeout := time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond
	idle := time.Duration(option(unix.TCP_KEEPIDLE)) * time.Second
	interval := time.Duration(option(unix.TCP_KEEPINTVL)) * time.Second
	if userTimeout <= longestSilence {
		t.Errorf("user timeout %v breaks connections to servers that are silent for %v", userTimeout, longestSilence)
	}
	if gone := idle + max(userTimeout, interval); gone > longestUnnoticed {
		t.Errorf("a server that is gone is noticed after %v", gone)
	}
}

// Guards against a second copy of a request's response that counts as the response to the request sent again.
func TestConnectionCarriesNoRequestTwice(t *testing.T) {
	s := startServer(t, okResponse)
	p := NewPool(time.Second, nil)
	send := func(id string) (reused bool) {
		c, err := p.Get(context.Background(), s.address, id)
		if err != nil {
			t.Fatal(err)
		}
		resp, _, err := c.roundTrip(context.Background(), Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h"}, 100)
		if err != nil {
			t.Fatal(err)
		}
		c.Release(resp)
		return c.Reused
	}
	for i, r := range []struct {
		id     string
		reused bool
	}{{"a", false}, {"a", false}, {"b", true}, {"a", true}, {"", true}, {"", false}, {"a", true}} {
		if reused := send(r.id); reused != r.reused {
			t.Errorf("request %d, %q: reused %v, want %v", i, r.id, reused, r.reused)
		}
	}
	if n := p.Idle(); n != 1 {
		t.Errorf("%d idle connections, want those that were passed over closed", n)
	}
}

// Guards against the copy of a request's own rejection that comes after other requests on the connection.
func TestConnectionCarriesNoRejectedRequestAgain(t *testing.T) {
	s := startServer(t, okResponse)
	p := NewPool(time.Second, nil)
	send := func(id string, release func(c *Conn, resp *http.Response)) (reused bool) {
		c, err := p.Get(context.Background(), s.address, id)
		if err != nil {
			t.Fatal(err)
		}
		resp, _, err := c.roundTrip(context.Background(), Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h"}, 100)
		if err != nil {
			t.Fatal(err)
		}
		<-s.requestLines
		release(c, resp)
		return c.Reused
	}
	send("a", (*Conn).ReleaseRejected)
	for n := range maxRejectedIDs - 1 {
		if !send(fmt.Sprint("b", n), (*Conn).ReleaseRejected) || !send(fmt.Sprint("c", n), (*Conn).Release) {
			t.Fatalf("connection dropped after %d rejections", n+1)
		}
	}
	if send("a", (*Conn).Release) {
		t.Error("the connection was used for a request that was rejected on it")
	}
	for n := range maxRejectedIDs {
		send(fmt.Sprint("d", n), (*Conn).ReleaseRejected)
	}
	send("e", (*Conn).ReleaseRejected)
	if n := p.Idle(); n != 0 {
		t.Errorf("%d idle connections, want those that can remember no more closed", n)
	}
}
