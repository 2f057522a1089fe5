package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/oleander/internal/testutil"
)

// unframed responds with neither a length nor chunks: with the parts, pause apart, and the
// end of the connection.
func unframed(pause time.Duration, parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nConnection: close\r\n\r\n", testID, r.Header.Get(testID), testSigned)
		for i, p := range parts {
			if i > 0 {
				time.Sleep(pause)
			}
			_, _ = io.WriteString(c, p)
		}
	}
}

// claimsToBeComplete reports whether a caller takes the response for complete by its framing.
func (a answer) claimsToBeComplete() bool {
	return a.err == nil && a.status == http.StatusOK && (a.framed || !a.closes)
}

// Guards against a response that ended with its connection, perhaps too early, and reaches the caller framed as complete.
func TestUnframedResponseIsNotFramedAsComplete(t *testing.T) {
	kinds := map[string]string{"read": "/read/x", "order": "/order/x", "stream": "/stream/x", "resumable": "/resume/x"}
	whole := map[bool][]string{false: {"an answer", " in two parts"}, true: {eventsText(1, 1), eventsText(2, 2), eventsText(3, 3)}}
	broken := map[bool]map[string][]string{
		false: {"half-way": {"an answer"}},
		true: {
			"inside an event":      {eventsText(1, 2), "id: 3\nda"},
			"before the last line": {eventsText(1, 2), "id: 3\ndata: e3\n"},
			"between two events":   {eventsText(1, 2)},
			"inside the first":     {"id: 1\nda"},
			"before the first":     {},
		},
	}
	for kind, path := range kinds {
		stream := strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/resume/")
		for name, parts := range broken[stream] {
			t.Run(kind+" broken off "+name, func(t *testing.T) {
				got := askUnframed(t, path, stream, parts)
				if got.claimsToBeComplete() {
					t.Errorf("status %d, framed as complete: %q", got.status, got.body)
				}
				if want := eventsText(1, 3); kind == "resumable" && name == "between two events" && got.body != want {
					t.Errorf("body %q, want the rest from another server: %q", got.body, want)
				}
				if name != "half-way" && name != "between two events" && got.status == http.StatusOK && got.err == nil {
					t.Errorf("looks like a whole stream: %q", got.body)
				}
			})
		}
		t.Run(kind+" whole", func(t *testing.T) {
			got := askUnframed(t, path, stream, whole[stream])
			if want := strings.Join(whole[stream], ""); got.status != http.StatusOK || got.err != nil || got.body != want {
				t.Errorf("status %d, error %v, body %q; want %q", got.status, got.err, got.body, want)
			}
			if got.claimsToBeComplete() {
				t.Error("the caller is told more about the end than the server told")
			}
		})
	}
}

// askUnframed plays a request to two servers that answer with parts. What follows a whole event of a stream of three they
// send to who asks for it.
func askUnframed(t *testing.T, path string, stream bool, parts []string) answer {
	f := newFixture(t, config(1))
	group, model := "plain", ""
	if stream {
		group, model = "llm", "warm"
	}
	first := unframed(0, parts...)
	for i := range 2 {
		f.backend("s"+strconv.Itoa(i), group, func(w http.ResponseWriter, r *http.Request) {
			if from, err := strconv.Atoi(r.Header.Get(testLast)); err == nil && strings.HasSuffix(strings.Join(parts, ""), "\n\n") {
				unframed(0, eventsText(from+1, 3))(w, r)
				return
			}
			first(w, r)
		}, "warm")
	}
	return f.ask(http.MethodPost, f.start()+path, testModel, model)
}

// Guards against events of a response without length and chunks that wait for its end.
func TestEventsOfUnframedStreamArriveAtOnce(t *testing.T) {
	const pause = 400 * time.Millisecond
	f := newFixture(t, config(1))
	f.backend("s", "llm", unframed(pause, eventsText(1, 1), eventsText(2, 2)), "warm")
	url := f.start() + "/stream/x"
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = testHost
	r.Header.Set(testKey, "secret")
	r.Header.Set(testModel, "warm")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	began := time.Now()
	first := make([]byte, len(eventsText(1, 1)))
	if _, err := io.ReadFull(resp.Body, first); err != nil || string(first) != eventsText(1, 1) {
		t.Fatalf("read %q, %v", first, err)
	}
	if took := time.Since(began); took > pause/2 {
		t.Errorf("the first event came after %v", took)
	}
	if rest, err := io.ReadAll(resp.Body); err != nil || string(rest) != eventsText(2, 2) {
		t.Errorf("read %q, %v", rest, err)
	}
}

// chunkedThenBroken sends events in chunks and aborts the connection.
func chunkedThenBroken(to int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, to)
		panic(http.ErrAbortHandler)
	}
}

// Guards against a last chunk after a stream that went on at a server whose response ended with its connection.
func TestEndOfResumedStreamIsNotClaimed(t *testing.T) {
	tests := map[string]struct {
		first, second http.HandlerFunc
		body          string
		whole         bool
	}{
		"chunks, then none": {chunkedThenBroken(2), unframed(0, eventsText(3, 4)), eventsText(1, 4), false},
		"none, then chunks": {unframed(0, eventsText(1, 2)+"id"), func(w http.ResponseWriter, _ *http.Request) { events(w, 3, 4) }, eventsText(1, 4), true},
		"none, then none":   {unframed(0, eventsText(1, 2)+"id"), unframed(0, eventsText(3, 4)), eventsText(1, 4), true},
		"nothing left":      {chunkedThenBroken(2), func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 0) }, eventsText(1, 2), true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, config(1))
			h := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(testLast) == "" {
					tc.first(w, r)
				} else {
					tc.second(w, r)
				}
			}
			f.backend("a", "llm", h, "warm")
			f.backend("b", "llm", h, "warm")
			got := f.ask(http.MethodPost, f.start()+"/resume/x", testModel, "warm")
			if got.body != tc.body || (got.err == nil) != tc.whole {
				t.Errorf("body %q, error %v; want %q, whole %v", got.body, got.err, tc.body, tc.whole)
			}
		})
	}
}

// Guards against a plain end of the caller's connection, which passes for the end of the response, when the instance ends midway.
func TestUnframedResponseIsResetWhenTheInstanceEnds(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("s", "llm", unframed(time.Minute, eventsText(1, 1), eventsText(2, 2)), "warm")
	url := f.start() + "/stream/x"
	got := make(chan answer, 1)
	go func() { got <- f.ask(http.MethodPost, url, testModel, "warm", testWait, "60000") }()
	testutil.WaitFor(t, func() bool { return f.gateways[0].activeRequests.Load() == 1 })
	time.Sleep(200 * time.Millisecond)
	f.cancels[0]()
	if a := <-got; a.err == nil {
		t.Errorf("the response looks whole: status %d, %q", a.status, a.body)
	}
}

// Guards against callers without chunks, of HTTP/1.0, for whom a stream that breaks off looks whole.
func TestBrokenStreamIsResetForCallersWithoutChunks(t *testing.T) {
	for name, whole := range map[string]bool{"whole": true, "broken off": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, config(1))
			h := chunkedThenBroken(2)
			if whole {
				h = func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2) }
			}
			f.backend("s", "llm", h, "warm")
			address := strings.TrimPrefix(f.start(), "http://")
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = fmt.Fprintf(c, "POST /stream/x HTTP/1.0\r\nHost: %s\r\n%s: r1\r\n%s: secret\r\n%s: warm\r\nContent-Length: 0\r\n\r\n", testHost, testID, testKey, testModel)
			got, err := io.ReadAll(c)
			if (err == nil) != whole || whole && !strings.HasSuffix(string(got), eventsText(1, 2)) {
				t.Errorf("read %q, %v", got, err)
			}
		})
	}
}
