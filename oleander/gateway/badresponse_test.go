package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// requestKinds are paths of the fixture with the model that their servers hold.
var requestKinds = map[string]struct{ path, model string }{
	"read": {"/read/x", ""}, "order": {"/order/x", ""}, "stream": {"/stream/x", "warm"}, "resumable": {"/resume/x", "warm"},
}

// startBefore starts two instances before servers that all answer alike, and returns the address of one, which reaches
// them through the other if relayed.
func startBefore(t *testing.T, relayed bool, h http.HandlerFunc) (*fixture, string) {
	f := newFixture(t, config(1))
	f.slots = 100
	for i := range 2 {
		f.backend(fmt.Sprint("p", i), "plain", h)
		f.backend(fmt.Sprint("e", i), "llm", h, "warm")
	}
	urls := []string{f.start(), f.start()}
	testutil.WaitFor(t, func() bool {
		g := f.gateways[0]
		g.mu.Lock()
		defer g.mu.Unlock()
		now := boottime.Now()
		return slices.ContainsFunc(g.members.All(now), func(m *members.Member) bool { return m.Live(now) })
	})
	if relayed {
		links := &cutLinks{}
		links.install(f.gateways[0])
		links.set(cutRefuses)
	}
	return f, urls[0]
}

// hijacked runs h on the connection of a request.
func hijacked(h func(c *net.TCPConn, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		h(c.(*net.TCPConn), r)
	}
}

// Guards against a status that HTTP doesn't have and that reaches the caller, keeps it waiting, or hides another
// response in its body.
func TestStatusThatHTTPDoesNotHave(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		for _, status := range []int{0, 1, 99, 101, 600, 999} {
			t.Run(fmt.Sprintf("%03d relayed %v", status, relayed), func(t *testing.T) {
				t.Parallel()
				stays := make(chan struct{})
				t.Cleanup(func() { close(stays) })
				f, url := startBefore(t, relayed, hijacked(func(c *net.TCPConn, r *http.Request) {
					id := r.Header.Get(testID)
					inner := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\nid: 1\ndata: x\n\n", testID, id, testSigned)
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %03d Odd\r\n%s: %s\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s", status, testID, id, testSigned, len(inner), inner)
					<-stays
				}))
				for name, kind := range requestKinds {
					began := time.Now()
					got := f.ask(http.MethodPost, url+kind.path, testModel, kind.model, testWait, "3000")
					if got.err != nil || got.status != http.StatusBadGateway && got.status != http.StatusServiceUnavailable {
						t.Errorf("%s: status %d, %q, %v", name, got.status, got.body, got.err)
					}
					if took := time.Since(began); took > 2*time.Second {
						t.Errorf("%s: answered after %v", name, took)
					}
				}
			})
		}
	}
}

// Guards against the part of an early response that looks whole: the server resets the connection while the request
// is still on its way to it.
func TestEarlyResponseThatIsReset(t *testing.T) {
	const part = "id: 1\ndata: e1\n\n"
	framings := map[string]string{"to the close": "", "length": "Content-Length: 4000\r\n", "chunks": "Transfer-Encoding: chunked\r\n"}
	for _, relayed := range []bool{false, true} {
		for framing, header := range framings {
			for _, wait := range []time.Duration{0, 2 * time.Millisecond, 16 * time.Millisecond, 1500 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s after %v relayed %v", framing, wait, relayed), func(t *testing.T) {
					t.Parallel()
					text := part
					if framing == "chunks" {
						text = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
					}
					var reached atomic.Int64
					f, url := startBefore(t, relayed, hijacked(func(c *net.TCPConn, r *http.Request) {
						reached.Add(1)
						if strings.HasSuffix(r.URL.Path, "some") {
							_, _ = io.CopyN(io.Discard, c, 60<<10)
						}
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\n%s\r\n%s", testID, r.Header.Get(testID), testSigned, header, text)
						time.Sleep(wait)
						_ = c.SetLinger(0)
					}))
					var callers sync.WaitGroup
					for name, kind := range requestKinds {
						for _, size := range []int{16 << 10, 200 << 10, 3 << 20} {
							for _, read := range []string{"none", "some"} {
								callers.Go(func() {
									status, err := http.StatusServiceUnavailable, error(nil)
									for end := time.Now().Add(5 * time.Second); status == http.StatusServiceUnavailable && time.Now().Before(end); {
										status, err = f.upload(url+kind.path+read, kind.model, size)
									}
									if status == http.StatusOK && err == nil {
										t.Errorf("%s with %d bytes, of which the server read %s: the part looks whole", name, size, read)
									}
								})
							}
						}
					}
					callers.Wait()
					if n := reached.Load(); n < 24 {
						t.Errorf("%d requests reached a server, want all of 24", n)
					}
				})
			}
		}
	}
}

// upload sends a request with a body and reads the response.
func (f *fixture) upload(url, model string, size int) (status int, err error) {
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(make([]byte, size)))
	if err != nil {
		return 0, err
	}
	r.Host = testHost
	for name, value := range map[string]string{testID: fmt.Sprint("u", f.asked.Add(1)), testKey: "secret", testModel: model, testWait: "5000"} {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
