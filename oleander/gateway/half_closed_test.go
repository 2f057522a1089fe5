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
)

// askHalfClosed sends a request as a caller that closes its side of the connection after a time.
func askHalfClosed(t *testing.T, url, path, model string, after time.Duration) answer {
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: r1\r\n%s: secret\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", path, testHost, testID, testKey, testModel, model)
	time.Sleep(after)
	_ = c.(*net.TCPConn).CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), closes: resp.Close, framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0, err: err}
}

// Guards against callers that close their side of the connection after the request and get an empty or short response, framed as whole.
func TestHalfClosedCallerGetsNoShortResponse(t *testing.T) {
	const pause = 400 * time.Millisecond
	late := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(pause)
		ok(w, r)
	}
	stream := func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 1)
		time.Sleep(pause)
		events(w, 2, 2)
	}
	for name, tc := range map[string]struct{ path, model, want string }{
		"read": {"/read/x", "", "answer to r1"}, "order": {"/order/x", "", "answer to r1"},
		"stream": {"/stream/x", "warm", eventsText(1, 2)}, "resumable": {"/resume/x", "warm", eventsText(1, 2)},
	} {
		for _, memory := range []int64{0, 64 << 20} {
			for _, after := range []time.Duration{0, pause / 2} {
				t.Run(fmt.Sprintf("%s, memory %d MB, after %v", name, memory>>20, after), func(t *testing.T) {
					t.Parallel()
					f := newFixture(t, config(1))
					f.memory = memory
					f.backend("p", "plain", late)
					f.backend("e", "llm", stream, "warm")
					got := askHalfClosed(t, f.start(), tc.path, tc.model, after)
					if got.status == http.StatusOK && got.err == nil && got.body != tc.want {
						t.Errorf("status 200, framed %v, body %q; want %q or no success", got.framed, got.body, tc.want)
					}
				})
			}
		}
	}
}
