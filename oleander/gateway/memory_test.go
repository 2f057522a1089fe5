package gateway

import (
	"bufio"
	"context"
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

	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/oleander/internal/testutil"
)

const mb = 1 << 20

// boundedFixture returns a fixture whose routes have this objective and a timeout of 20 s.
func boundedFixture(t *testing.T, bound int64, objective time.Duration) *fixture {
	m := config(1)
	for _, path := range []string{"/order/", "/read/", "/resume/", "/stream/"} {
		r := m.Match(testHost, path)
		r.Timeout, r.LatencyObjective = 20*time.Second, objective
	}
	f := newFixture(t, m)
	f.memory = bound
	return f
}

// post sends a body of this size; the length is not given if chunked.
func (f *fixture) post(client *http.Client, url, id string, size int64, chunked bool) answer {
	r, err := http.NewRequest(http.MethodPost, url, io.LimitReader(neverEnding('x'), size))
	if err != nil {
		return answer{err: err}
	}
	if !chunked {
		r.ContentLength = size
	}
	r.Host = testHost
	r.Header.Set(testID, id)
	r.Header.Set(testKey, "secret")
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(b), closes: resp.Close, err: err}
}

func (f *fixture) awaitNothingHeld() {
	f.t.Helper()
	m := f.gateways[0].memory
	testutil.WaitFor(f.t, func() bool { s := m.status(); return s.Held == 0 && s.WaitingBodies == 0 && s.WaitingResponses == 0 })
}

// Eighty callers send 2 MB at once to an instance with a bound of 20 MB, half of them
// without a length. Without a bound all is held, which took an instance beyond its memory.
func TestManyLargeBodies(t *testing.T) {
	const bound = 20 * mb
	f := boundedFixture(t, bound, 2*time.Second)
	for i := range 8 {
		f.backend(fmt.Sprint("s", i), "plain", func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			ok(w, r)
		})
	}
	url := f.start() + "/order/"
	g := f.gateways[0]
	done := make(chan struct{})
	var most, waited int64
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for {
			select {
			case <-done:
				return
			default:
				s := g.memory.status()
				most, waited = max(most, s.Held), max(waited, int64(s.WaitingBodies))
				time.Sleep(100 * time.Microsecond)
			}
		}
	}()
	var callers sync.WaitGroup
	var answered, refused atomic.Int64
	for i := range 80 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			got := f.post(client, url, fmt.Sprint("large", i), 2*mb, i%2 == 1)
			switch {
			case got.status == http.StatusOK:
				answered.Add(1)
			case got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" && got.closes:
				refused.Add(1)
			default:
				t.Errorf("request %d: status %d, Retry-After %q, %v", i, got.status, got.header.Get("Retry-After"), got.err)
			}
		})
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			if got := f.post(client, url, fmt.Sprint("small", i), 1000, i%2 == 1); got.status != http.StatusOK {
				t.Errorf("small request: status %d %s, %v", got.status, got.body, got.err)
			}
		})
	}
	callers.Wait()
	close(done)
	<-watched
	f.awaitNothingHeld()
	t.Logf("answered %d, refused %d, at most %d bytes held, %d waited", answered.Load(), refused.Load(), most, waited)
	if most > bound || answered.Load() == 0 || waited == 0 {
		t.Error("the bound did not hold, or nothing was served or waited")
	}
}

// slowDial returns a connection of a caller with a small buffer, so that its reading soon
// affects the sender.
func slowDial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err == nil {
		err = c.(*net.TCPConn).SetReadBuffer(64 << 10)
	}
	return c, err
}

// get returns the response to a request whose body the test reads itself.
func get(t *testing.T, client *http.Client, url, id string, header ...string) *http.Response {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = testHost
	r.Header.Set(testID, id)
	r.Header.Set(testKey, "secret")
	if strings.Contains(url, "/stream/") {
		r.Header.Set(testModel, "warm")
	}
	for pair := range slices.Chunk(header, 2) {
		r.Header.Set(pair[0], pair[1])
	}
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// A caller that stops reading a stream loses it after 2 s, its server's connection is
// closed, and another stream goes on.
func TestStalledReaderLosesItsStream(t *testing.T) {
	f := boundedFixture(t, 20*mb, 100*time.Millisecond)
	stalledEnded := make(chan struct{})
	event := "data: " + strings.Repeat("x", 16<<10) + "\n\n"
	f.backend("a", "llm", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testSigned, "1")
		if r.Header.Get(testID) == "stalled" {
			defer close(stalledEnded)
			for r.Context().Err() == nil {
				_, _ = io.WriteString(w, event)
				_ = http.NewResponseController(w).Flush()
			}
			return
		}
		for end := false; !end; {
			select {
			case <-stalledEnded:
				end = true
			case <-time.After(20 * time.Millisecond):
			}
			events(w, 1, 1)
		}
		events(w, 2, 2)
	}, "warm")
	url := f.start() + "/stream/"
	began := time.Now()
	stalled := get(t, &http.Client{Transport: &http.Transport{DialContext: slowDial}}, url, "stalled")
	other := get(t, http.DefaultClient, url, "other")
	<-stalledEnded
	if took := time.Since(began); took < slowReaderTimeout || took > 3*slowReaderTimeout {
		t.Errorf("ended after %v", took)
	}
	text, err := io.ReadAll(other.Body)
	if err != nil || !strings.HasSuffix(string(text), eventsText(2, 2)) {
		t.Errorf("other stream: %d bytes, %v", len(text), err)
	}
	if _, err := io.Copy(io.Discard, stalled.Body); err == nil {
		t.Error("the stalled stream looks complete")
	}
	testutil.WaitFor(t, func() bool { return strings.Contains(f.explain("stalled"), "reason=slow-reader") })
	if n := f.gateways[0].metrics.slowReaders.Get(); n != 1 {
		t.Errorf("%d slow readers", n)
	}
}

// A caller that reads slowly but steadily gets a buffered response whole, although that
// takes longer than the time allowed for one part; the deadlines don't affect its next
// request on the connection. One that reads nothing is cut off and its memory is released.
func TestSlowReadersOfBufferedResponses(t *testing.T) {
	f := boundedFixture(t, 20*mb, 100*time.Millisecond)
	large := strings.Repeat("y", 2*mb)
	f.backend("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testSigned, "1")
		if r.Header.Get(testID) != "next" {
			_, _ = io.WriteString(w, large)
		}
	})
	url := f.start() + "/order/"
	get(t, &http.Client{Transport: &http.Transport{DialContext: slowDial}}, url, "stalled")
	var dials atomic.Int64
	steady := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return slowDial(ctx, network, address)
	}}}
	resp := get(t, steady, url, "steady")
	began, got := time.Now(), 0
	for part := make([]byte, 64<<10); got < len(large); got += len(part) {
		if _, err := io.ReadFull(resp.Body, part); err != nil {
			t.Fatalf("after %d bytes and %v: %v", got, time.Since(began), err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if took := time.Since(began); took < slowReaderTimeout {
		t.Fatalf("read in %v", took)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	f.awaitNothingHeld()
	time.Sleep(slowReaderTimeout + 100*time.Millisecond)
	if next := get(t, steady, url, "next"); next.StatusCode != http.StatusOK || dials.Load() != 1 {
		t.Errorf("next request: status %d, %d connections", next.StatusCode, dials.Load())
	}
	if n := f.gateways[0].metrics.slowReaders.Get(); n != 1 || !strings.Contains(f.explain("stalled"), "reason=slow-reader") {
		t.Errorf("%d slow readers", n)
	}
}

// Callers with a timeout of 0.3 s get more responses than the bound holds and read nothing for
// a second. Reading from servers pauses past the timeouts, and all responses are delivered
// whole: their servers did the work in time.
func TestPausedResponsesAreDelivered(t *testing.T) {
	const bound, size = 20 * mb, 3 * mb
	f := boundedFixture(t, bound, 100*time.Millisecond)
	for i := range 4 {
		f.backend(fmt.Sprint("s", i), "plain", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testSigned, "1")
			_, _ = w.Write(make([]byte, size))
		})
	}
	url := f.start() + "/order/"
	var callers sync.WaitGroup
	for i := range 14 {
		callers.Go(func() {
			resp := get(t, &http.Client{Transport: &http.Transport{}}, url, fmt.Sprint("r", i), testWait, "600")
			time.Sleep(time.Second)
			if n, err := io.Copy(io.Discard, resp.Body); resp.StatusCode != http.StatusOK || n != size || err != nil {
				t.Errorf("status %d, %d bytes, %v", resp.StatusCode, n, err)
			}
		})
	}
	paused := false
	for end := time.Now().Add(900 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s := f.gateways[0].memory.status()
		if paused = paused || s.WaitingResponses > 0; s.Held > bound {
			t.Fatalf("%d bytes held", s.Held)
		}
	}
	callers.Wait()
	if !paused {
		t.Error("no response was paused")
	}
	f.awaitNothingHeld()
}

// At most 8 MB of bodies are in flight to one server: further requests go to another one,
// and are refused when all have as much.
func TestBytesInFlightToOneServer(t *testing.T) {
	f := boundedFixture(t, 70*mb, 400*time.Millisecond)
	release := make(chan struct{})
	block := func(w http.ResponseWriter, r *http.Request) {
		<-release
		ok(w, r)
	}
	a, b := f.backend("a", "plain", block), f.backend("b", "plain", block)
	url := f.start() + "/order/"
	results := make(chan answer)
	for i := range 5 {
		go func() { results <- f.post(http.DefaultClient, url, fmt.Sprint("r", i), 3*mb, false) }()
	}
	if got := <-results; got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "memory") || got.header.Get("Retry-After") == "" {
		t.Errorf("the fifth: status %d %s", got.status, got.body)
	}
	testutil.WaitFor(t, func() bool { return a.requests() == 2 && b.requests() == 2 })
	close(release)
	for range 4 {
		if got := <-results; got.status != http.StatusOK {
			t.Errorf("status %d %s", got.status, got.body)
		}
	}
	f.awaitNothingHeld()
}

// A caller that leaves while its body waits unread frees its place at once. net/http does
// not notice it, since it watches a connection only when the body was read.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	f := boundedFixture(t, 5*mb, 19*time.Second)
	release := make(chan struct{})
	f.backend("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		<-release
		ok(w, r)
	})
	url := f.start()
	first := make(chan answer)
	go func() { first <- f.post(http.DefaultClient, url+"/order/", "first", 2*mb, false) }()
	g := f.gateways[0]
	testutil.WaitFor(t, func() bool { return g.memory.status().Held == 2*mb })
	c, err := net.Dial("tcp", g.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintf(c, "POST /order/ HTTP/1.1\r\nHost: %s\r\n%s: r1\r\n%s: secret\r\nContent-Length: 2000000\r\n\r\nbegin", testHost, testID, testKey)
	testutil.WaitFor(t, func() bool { return g.memory.status().WaitingBodies == 1 })
	_ = c.Close()
	left := time.Now()
	testutil.WaitFor(t, func() bool { return g.memory.status().WaitingBodies == 0 })
	if took := time.Since(left); took > time.Second {
		t.Errorf("noticed after %v", took)
	}
	testutil.WaitFor(t, func() bool { return strings.Contains(f.explain("r1"), "reason=caller-gone") })
	if e := f.explain("r1"); !strings.Contains(e, "memory_held_kb=2048") || !strings.Contains(e, "memory_bound_kb=5120") {
		t.Errorf("the log does not tell the decision:\n%s", e)
	}
	close(release)
	if got := <-first; got.status != http.StatusOK {
		t.Errorf("first: status %d", got.status)
	}
	f.awaitNothingHeld()
}

// With a bound, the size limit and broken bodies are answered as without one, and nothing
// that follows an unread body on the connection is taken for a request.
func TestBoundedBodyErrors(t *testing.T) {
	f := boundedFixture(t, 20*mb, time.Second)
	f.store.SetManifest(func() *manifest.Manifest {
		m := config(2)
		m.Limits.BodyBytes = 100_000
		return m
	}())
	b := f.backend("a", "plain", ok)
	url := f.start() + "/order/"
	for _, chunked := range []bool{false, true} {
		for size, want := range map[int64]int{100_000: 200, 100_001: 413, 3 * mb: 413, 16 << 10: 200, 1: 200} {
			if got := f.post(http.DefaultClient, url, "r1", size, chunked); got.status != want || got.closes != (want == 413) {
				t.Errorf("%d bytes, chunked %t: status %d, closes %t, %v", size, chunked, got.status, got.closes, got.err)
			}
		}
	}
	before := b.requests()
	head := fmt.Sprintf("POST /order/ HTTP/1.1\r\nHost: %s\r\n%s: r1\r\n%s: secret\r\n", testHost, testID, testKey)
	for text, want := range map[string]string{
		"Transfer-Encoding: chunked\r\n\r\nzz\r\n":       "400",
		"Content-Length: 200000\r\n\r\n" + head + "\r\n": "413",
	} {
		c, err := net.Dial("tcp", f.gateways[0].settings.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, head+text)
		answers, _ := io.ReadAll(c)
		if s := string(answers); !strings.HasPrefix(s, "HTTP/1.1 "+want) || strings.Count(s, "HTTP/1.1") != 1 {
			t.Errorf("want %s, got %q", want, s)
		}
		_ = c.Close()
	}
	if n := b.requests(); n != before {
		t.Errorf("%d more requests reached the server", n-before)
	}
	f.awaitNothingHeld()
}

// Guards against a refusal for good of a sound request whose body only arrives too slowly.
func TestSlowBodyMayBeSentAgain(t *testing.T) {
	f := boundedFixture(t, 20*mb, 2*time.Second)
	f.backend("a", "plain", ok)
	address := strings.TrimPrefix(f.start(), "http://")
	for name, framing := range map[string]string{"length": "Content-Length: 1000\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n3e8\r\n"} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: %s\r\n%s: slow\r\n%s: secret\r\n%s: 200\r\n%sbegin", testHost, testID, testKey, testWait, framing)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if resp.StatusCode != http.StatusRequestTimeout || !resp.Close {
			t.Errorf("%s: status %d, closes %v", name, resp.StatusCode, resp.Close)
		}
		_ = conn.Close()
	}
	f.awaitNothingHeld()
}
