// Package testutil holds helpers shared by the tests of several packages.
package testutil

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

// Timeout is long enough to expire only in a test that fails.
const Timeout = 30 * time.Second

// pollInterval is the time between two checks of a condition.
const pollInterval = time.Millisecond

// WaitFor returns once ok returns true. The test fails if that takes longer than
// Timeout.
func WaitFor(t testing.TB, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatal("condition did not become true in time")
		}
	}
}

// Listen listens on a free port of the loopback interface.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Ports that FreeAddresses returns. They are below those that the system gives to
// connections, one of which might take a port before the test uses it.
const (
	firstFreePort = 10_000
	lastFreePort  = 32_000
)

var lastPort atomic.Int32

// FreeAddresses returns n addresses to listen on later. They are on a loopback IP
// address that belongs to this test process: on a shared one, the system may assign
// a port to another process before the test uses it. No address is returned twice, so
// that tests that run at the same time don't take each other's.
func FreeAddresses(t testing.TB, n int) []string {
	t.Helper()
	host := fmt.Sprintf("127.240.%d.%d", os.Getpid()>>8&0xff, os.Getpid()&0xff)
	addresses := make([]string, 0, n)
	for len(addresses) < n {
		port := firstFreePort + int(lastPort.Add(1))
		if port > lastFreePort {
			t.Fatal("testutil: no free port left")
		}
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			continue // used by something else
		}
		_ = l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// Serve serves h on the loopback interface until the test ends, and returns the
// URL.
func Serve(t testing.TB, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

// ServeText serves body as the response to every request until the test ends, and
// returns the URL.
func ServeText(t testing.TB, body string) string {
	t.Helper()
	return Serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// A write error is ignored: the client detects the short response.
		_, _ = io.WriteString(w, body)
	}))
}

// ClosedAddress returns an address on the loopback interface on which nothing
// listens.
func ClosedAddress(t testing.TB) string {
	t.Helper()
	return FreeAddresses(t, 1)[0]
}
