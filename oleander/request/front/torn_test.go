package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/oleander/connection/rawhttp"
)

// torn answers with the first bytes of an answer, and closes or resets the connection.
func torn(answer string, reset bool) engineFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, answer)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}

// caller sends one request on a connection of its own, and may close its side after it. It reports whether the response is a
// success that says itself where it ends, or an event stream with its end marker.
func caller(t *testing.T, url, path, body string, halfClose bool) (whole bool, got string) {
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, testKey, len(body), body)
	if halfClose {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false, err.Error()
	}
	b, err := io.ReadAll(resp.Body)
	stream := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	whole = err == nil && resp.StatusCode < 300 && !rawhttp.EndsWithConnection(resp) && (!stream || strings.Contains(string(b), "[DONE]"))
	return whole, fmt.Sprintf("status %d, length %d, chunks %v, %q, %v", resp.StatusCode, resp.ContentLength, resp.TransferEncoding, b, err)
}

const (
	tornHead    = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	tornBody    = `{"n":1234}`
	tornEvents  = "id: 0\ndata: {\"n\":0}\n\nid: 1\ndata: {\"n\":1}\n\n"
	tornMarker  = "data: [DONE]\n\n"
	eventsHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"
)

// Guards against a server's answer that is torn at any byte and reaches the caller as whole.
func TestTornAnswerIsNotWhole(t *testing.T) {
	length := tornHead + "Content-Length: 10\r\n\r\n" + tornBody
	chunks := tornHead + chunkedHead + "4;x=y\r\n" + tornBody[:4] + "\r\n6\r\n" + tornBody[4:] + "\r\n0\r\n\r\n"
	trailers := tornHead + "Trailer: Sum\r\n" + chunkedHead + "a\r\n" + tornBody + "\r\n0\r\nSum: 1\r\n\r\n"
	events := tornEvents + tornMarker
	for name, tc := range map[string]struct {
		answer, path, body string
		once               bool
		from               int // bytes that hold the whole body, after which the rest says nothing new; 0: all
	}{
		"read, length":         {length, "/services/s/x", "", false, 0},
		"read, chunks":         {chunks, "/services/s/x", "", false, 0},
		"read, trailers":       {trailers, "/services/s/x", "", false, 0},
		"read, neither":        {tornHead + "\r\n" + tornBody, "/services/s/x", "", false, 0},
		"once, length":         {length, "/services/s/x", "", true, 0},
		"once, chunks":         {chunks, "/services/s/x", "", true, 0},
		"once, neither":        {tornHead + "\r\n" + tornBody, "/services/s/x", "", true, 0},
		"completion, length":   {length, "/v1/completions", bufferedBody, false, 0},
		"completion, chunks":   {chunks, "/v1/completions", bufferedBody, false, 0},
		"completion, neither":  {tornHead + "\r\n" + tornBody, "/v1/completions", bufferedBody, false, 0},
		"stream, neither":      {eventsHead + "\r\n" + events, "/v1/completions", streamBody, false, 0},
		"stream, one chunk":    {eventsHead + chunkedHead + fmt.Sprintf("%x\r\n", len(events)) + events + "\r\n0\r\n\r\n", "/v1/completions", streamBody, false, len("\r\n0\r\n\r\n")},
		"stream, several ones": {eventsHead + chunkedHead + fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(tornEvents), tornEvents, len(tornMarker), tornMarker), "/v1/completions", streamBody, false, len("\r\n0\r\n\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(tc.answer) - tc.from {
				for _, reset := range []bool{false, true} {
					t.Run("", func(t *testing.T) {
						s, url := setup(t, false, torn(tc.answer[:cut], reset))
						s.once = tc.once
						if whole, got := caller(t, url, tc.path, tc.body, false); whole {
							t.Errorf("cut after %q, reset %v: %s", tc.answer[:cut], reset, got)
						}
					})
				}
			}
		})
	}
}

// Guards against callers that close their side of the connection after the request and get an empty or short response, framed as whole.
func TestHalfClosedCallerGetsNoShortResponse(t *testing.T) {
	const pause = 200 * time.Millisecond
	late := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(pause)
		_, _ = io.WriteString(w, tornBody)
	}
	for name, tc := range map[string]struct {
		path, body, want string
		once             bool
	}{
		"read": {"/services/s/x", "", "1234", false}, "once": {"/services/s/x", "", "1234", true},
		"completion": {"/v1/completions", bufferedBody, "1234", false}, "stream": {"/v1/completions", streamBody, "[DONE]", false},
	} {
		t.Run(name, func(t *testing.T) {
			s, url := setup(t, false, late)
			s.once = tc.once
			if whole, got := caller(t, url, tc.path, tc.body, true); whole && !strings.Contains(got, tc.want) {
				t.Error(got)
			}
		})
	}
}
