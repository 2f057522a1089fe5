package testutil

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// ServeCopies starts a server that answers each request with a JSON body, and sends a second copy of the earlier
// answer on a connection before the next one. It returns its address.
func ServeCopies(t *testing.T, body func(*http.Request) string) string {
	t.Helper()
	l := Listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveCopies(c, body)
		}
	}()
	return l.Addr().String()
}

func serveCopies(c net.Conn, body func(*http.Request) string) {
	defer func() { _ = c.Close() }()
	reader, earlier := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text := body(r)
		own := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		if _, err := io.WriteString(c, earlier+own); err != nil {
			return
		}
		earlier = own
	}
}
