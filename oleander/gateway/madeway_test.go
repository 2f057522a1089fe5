package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/oleander/internal/testutil"
)

// Guards against a request that is sent again without its body, which was released for its response.
func TestLoneLargeBodyIsSentOnce(t *testing.T) {
	f := boundedFixture(t, 6*mb, 2*time.Second)
	broken := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testSigned, "1")
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write(make([]byte, 10))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	a, b := f.backend("a", "plain", broken), f.backend("b", "plain", broken)
	url := f.start() + "/read/"
	if got := f.post(http.DefaultClient, url, "large", 4*mb, false); got.status != http.StatusBadGateway {
		t.Errorf("status %d %s, want 502", got.status, got.body)
	}
	if sent := a.requests() + b.requests(); sent != 1 {
		t.Errorf("sent %d times", sent)
	}
	f.awaitNothingHeld()
}

// Guards against a caller that stops short and keeps memory that others need, and against a refusal that promises
// less than that the request did not run.
func TestStalledBodyIsRefused(t *testing.T) {
	f := boundedFixture(t, 5*mb, 8*time.Second)
	a := f.backend("a", "plain", ok)
	url := f.start()
	g := f.gateways[0]
	c, err := net.Dial("tcp", g.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST /order/ HTTP/1.1\r\nHost: %s\r\n%s: stalled\r\n%s: secret\r\nContent-Length: %d\r\n\r\nbegin", testHost, testID, testKey, 2*mb)
	testutil.WaitFor(t, func() bool { return g.memory.status().Held == 2*mb })
	time.Sleep(500 * time.Millisecond)
	if got := f.post(http.DefaultClient, url+"/order/", "other", 2*mb, false); got.status != http.StatusOK {
		t.Errorf("another caller: status %d %s", got.status, got.body)
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("status %d, %v", resp.StatusCode, resp.Header)
	}
	testutil.WaitFor(t, func() bool { return strings.Contains(f.explain("stalled"), "reason=made-way") })
	if a.requests() != 1 {
		t.Errorf("%d requests sent", a.requests())
	}
	f.awaitNothingHeld()
}

// Guards against a refusal before the body that waits for the rest of it.
func TestRefusalDoesNotAwaitTheBody(t *testing.T) {
	f := boundedFixture(t, 5*mb, 8*time.Second)
	f.backend("a", "plain", ok)
	f.start()
	for path, want := range map[string]int{"/none/": http.StatusNotFound, "/order/": http.StatusUnauthorized} {
		c, err := net.Dial("tcp", f.gateways[0].settings.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: r\r\n%s: wrong\r\nContent-Length: 100\r\n\r\nbegin", path, testHost, testID, testKey)
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		_ = resp.Body.Close()
		_ = c.Close()
		if resp.StatusCode != want {
			t.Errorf("%s: status %d", path, resp.StatusCode)
		}
	}
}

// Guards against a refusal that its caller does not get, since a reset overtakes it while the caller still sends.
func TestRefusalIsNotOvertakenByAReset(t *testing.T) {
	const size, limit = 8 * mb, 100_000
	for name, tc := range map[string]struct {
		path, head string
		want       int
	}{
		"chunks beyond the limit": {"/order/", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size), http.StatusRequestEntityTooLarge},
		"length beyond the limit": {"/order/", fmt.Sprintf("Content-Length: %d\r\n\r\n", size), http.StatusRequestEntityTooLarge},
		"no route":                {"/none/", fmt.Sprintf("Content-Length: %d\r\n\r\n", size), http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			m := config(2)
			m.Limits.BodyBytes = limit
			f := newFixture(t, m)
			f.backend("a", "plain", ok)
			f.start()
			c, err := net.Dial("tcp", f.gateways[0].settings.CallerAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			sent := make(chan error, 1)
			go func() {
				_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: sends\r\n%s: secret\r\n%s", tc.path, testHost, testID, testKey, tc.head)
				_, err := io.CopyN(c, neverEnding('x'), size)
				sent <- err
			}()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tc.want {
				t.Errorf("status %d, want %d", resp.StatusCode, tc.want)
			}
			select {
			case err := <-sent:
				t.Errorf("sending ended with %v as the answer arrived", err)
			case <-time.After(200 * time.Millisecond):
			}
		})
	}
}
