// Package testutil holds what the tests of several packages share.
package testutil

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"
)

// Timeout is a timeout that passes only in a test that fails anyway.
const Timeout = 30 * time.Second

const pollInterval = time.Millisecond

// WaitFor returns once ok is true; the test fails if that takes longer than
// Timeout.
func WaitFor(t testing.TB, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatal("did not come true in time")
		}
	}
}

// Listen listens on a free port of loopback.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// FreeAddresses returns addresses to listen at later. They lie on a loopback address of
// this test process: elsewhere another process may be given a port before it is used.
func FreeAddresses(t testing.TB, n int) []string {
	t.Helper()
	host := fmt.Sprintf("127.240.%d.%d", os.Getpid()>>8&0xff, os.Getpid()&0xff)
	addresses := make([]string, 0, n)
	for range n {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close() // all are open until the last one is chosen
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// Serve answers with h on loopback until the test ends, and returns the URL.
func Serve(t testing.TB, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

// ServeText answers every request with body until the test ends, and returns
// the URL.
func ServeText(t testing.TB, body string) string {
	t.Helper()
	return Serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// The client notices a short answer.
		_, _ = io.WriteString(w, body)
	}))
}

// ClosedAddress returns an address on loopback at which nothing listens.
func ClosedAddress(t testing.TB) string {
	t.Helper()
	return FreeAddresses(t, 1)[0]
}
