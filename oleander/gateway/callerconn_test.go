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

	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// rawHead returns the head of a caller's request with more header lines, each with its line end.
func rawHead(method, path, id, lines string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: secret\r\n%s\r\n", method, path, testHost, testID, id, testKey, lines)
}

// rawPost returns a caller's request with a body of known length.
func rawPost(path, id, lines, body string) string {
	return rawHead(http.MethodPost, path, id, fmt.Sprintf("%sContent-Length: %d\r\n", lines, len(body))) + body
}

// rawChunked returns a caller's request with a body in chunks.
func rawChunked(path, id, lines, body string) string {
	return rawHead(http.MethodPost, path, id, lines+"Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// rawAnswer is an answer as it stands on a caller's connection.
type rawAnswer struct {
	status int
	body   string
}

// readRawAnswers reads answers until the connection ends or is silent. Informational ones are skipped.
func readRawAnswers(c net.Conn, silence time.Duration) []rawAnswer {
	var answers []rawAnswer
	for reader := bufio.NewReader(c); ; {
		_ = c.SetReadDeadline(time.Now().Add(silence))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers
		}
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			return answers
		}
		if resp.StatusCode >= http.StatusOK {
			answers = append(answers, rawAnswer{resp.StatusCode, string(b)})
		}
	}
}

func dialCaller(t *testing.T, g *Gateway) *net.TCPConn {
	c, err := net.Dial("tcp", g.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// countedFixture returns an instance with a bound on the memory, or none, and a server that counts what it runs.
func countedFixture(t *testing.T, m *manifest.Manifest, bound int64) (*fixture, *runCounts) {
	f := newFixture(t, m)
	f.memory = bound
	runs := newRunCounts()
	f.backend("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		runs.add(r)
		ok(w, r)
	})
	f.start()
	return f, runs
}

// Guards against a body, or a part of one, that runs as a request since its own request was refused without being read, and against an
// answer that the caller takes for that of its next request.
func TestBodyOfRefusedRequestIsNoRequest(t *testing.T) {
	inner := rawHead(http.MethodGet, "/order/inner", "inner", "")
	padded := inner + strings.Repeat(inner, 20)
	large := strings.Repeat(inner, (600<<10)/len(inner))
	const wait = "Expect: 100-continue\r\n"
	for _, bound := range []int64{0, 64 * mb} {
		for name, first := range map[string]string{
			"no route":                  rawPost("/none/x", "first", "", padded),
			"no route, chunked":         rawChunked("/none/x", "first", "", padded),
			"no route, expects":         rawPost("/none/x", "first", wait, padded),
			"no route, chunked expects": rawChunked("/none/x", "first", wait, padded),
			"no route, large":           rawPost("/none/x", "first", "", large),
			"no route, large, expects":  rawPost("/none/x", "first", wait, large),
			"too large":                 rawPost("/order/x", "first", "", large),
			"too large, chunked":        rawChunked("/order/x", "first", "", large),
			"too large, expects":        rawPost("/order/x", "first", wait, large),
			"unknown key":               strings.Replace(rawPost("/order/x", "first", "", padded), "secret", "wrong", 1),
			"no server":                 rawPost("/stream/x", "first", "", padded),
			"no server, expects":        rawPost("/stream/x", "first", wait, padded),
			"malformed chunk":           rawHead(http.MethodPost, "/order/x", "first", "Transfer-Encoding: chunked\r\n") + "zz\r\n" + inner,
		} {
			t.Run(fmt.Sprintf("%s, bound %d MB", name, bound/mb), func(t *testing.T) {
				t.Parallel()
				m := config(1)
				m.Limits.BodyBytes = 100 << 10
				f, runs := countedFixture(t, m, bound)
				c := dialCaller(t, f.gateways[0])
				go func() { _, _ = io.WriteString(c, first+rawPost("/order/next", "next", "", "body")) }()
				answers := readRawAnswers(c, time.Second)
				if n := runs.of("inner") + runs.of("first"); n != 0 {
					t.Errorf("%d runs of what was refused or is a body; answers %v", n, answers)
				}
				if len(answers) > 2 {
					t.Errorf("%d answers to two requests: %v", len(answers), answers)
				}
				if runs.of("next") > 0 && (len(answers) != 2 || answers[1].status != http.StatusOK || answers[1].body != "answer to next") {
					t.Errorf("the next request ran, answers %v", answers)
				}
			})
		}
	}
}

// Guards against a request that runs after an answer that says that the connection ends.
func TestRequestsAfterTheLastAnswerDoNotRun(t *testing.T) {
	f, runs := countedFixture(t, config(1), 0)
	g := f.gateways[0]
	c := dialCaller(t, g)
	if _, err := io.WriteString(c, rawPost("/order/x", "kept", "", "body")); err != nil {
		t.Fatal(err)
	}
	if got := readRawAnswers(c, 100*time.Millisecond); len(got) != 1 {
		t.Fatalf("answers %v", got)
	}
	close(f.stops[0])
	testutil.WaitFor(t, g.stopping.Load)
	var text strings.Builder
	for n := range 5 {
		text.WriteString(rawPost("/order/x", fmt.Sprint("late", n), "", "body"))
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		t.Fatal(err)
	}
	answers := readRawAnswers(c, 500*time.Millisecond)
	for n := range 5 {
		if ran := runs.of(fmt.Sprint("late", n)); ran != 0 && n >= len(answers) {
			t.Errorf("request %d ran %d times without an answer, which are %v", n, ran, answers)
		}
	}
	if len(answers) != 1 || answers[0].body != "answer to late0" {
		t.Errorf("answers %v, want that to the first request", answers)
	}
}

// Guards against a request that was refused by a stopping instance and runs, and against one that runs twice, while callers send the
// next request at once.
func TestKeptConnectionsOfAStoppingInstance(t *testing.T) {
	m := config(1)
	m.Match(testHost, "/order/").Timeout = 2 * testGrace
	f, runs := countedFixture(t, m, 0)
	g := f.gateways[0]
	const callers, each = 8, 4000
	refused := 0
	results := make(chan map[string]int, callers)
	for i := range callers {
		c := dialCaller(t, g)
		go func() {
			statuses := make(map[string]int)
			defer func() { results <- statuses }()
			reader := bufio.NewReader(c)
			for n := range each {
				id := fmt.Sprintf("k%d-%d", i, n)
				if _, err := io.WriteString(c, rawPost("/order/x", id, "", "body")); err != nil {
					statuses[id] = 0
					return
				}
				_ = c.SetReadDeadline(time.Now().Add(testGrace))
				resp, err := http.ReadResponse(reader, nil)
				statuses[id] = 0
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				statuses[id] = resp.StatusCode
				if resp.Close {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
	}
	time.Sleep(50 * time.Millisecond)
	close(f.stops[0])
	testutil.WaitFor(t, func() bool { return g.tooLateToAccept(boottime.Now(), 2*testGrace) })
	for i := range 4 {
		c := dialCaller(t, g)
		_, _ = io.WriteString(c, rawPost("/order/x", fmt.Sprint("late", i), "", "body")+rawPost("/order/x", fmt.Sprint("later", i), "", "body"))
		for _, a := range readRawAnswers(c, 300*time.Millisecond) {
			if claimsNotRun(a.status) {
				refused++
			}
			runs.check(t, fmt.Sprint("late", i), a.status, 1)
		}
		if runs.of(fmt.Sprint("later", i)) != 0 {
			t.Errorf("a request after the last answer ran")
		}
	}
	for range callers {
		for id, status := range <-results {
			runs.check(t, id, status, 1)
		}
	}
	if refused == 0 {
		t.Error("nothing was refused, so the test proves nothing")
	}
}

// Guards against an answer of the HTTP server itself that promises something about a request, and against a malformed request that runs.
func TestAnswersOfTheHTTPServerPromiseNothing(t *testing.T) {
	good := rawPost("/order/x", "first", "", "body")
	for name, text := range map[string]string{
		"no host":               strings.Replace(good, "Host: ", "Other: ", 1),
		"two hosts":             strings.Replace(good, "Host: ", "Host: other\r\nHost: ", 1),
		"malformed line":        "POST /order/x\r\n\r\n",
		"unknown version":       strings.Replace(good, "HTTP/1.1", "HTTP/3.7", 1),
		"long header":           rawPost("/order/x", "first", "Long: "+strings.Repeat("x", 2*maxHeaderBytes)+"\r\n", "body"),
		"unknown coding":        rawHead(http.MethodPost, "/order/x", "first", "Transfer-Encoding: gzip\r\n") + "body",
		"unknown expectation":   rawPost("/order/x", "first", "Expect: 200-ok\r\n", "body"),
		"two lengths":           rawPost("/order/x", "first", "Content-Length: 3\r\n", "body"),
		"malformed length":      rawHead(http.MethodPost, "/order/x", "first", "Content-Length: x\r\n") + "body",
		"header without an end": strings.TrimSuffix(rawHead(http.MethodPost, "/order/x", "first", ""), "\r\n"),
		"body without an end":   rawHead(http.MethodPost, "/order/x", "first", "Content-Length: 10\r\n") + "body",
		"other protocol":        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		for _, bound := range []int64{0, 64 * mb} {
			t.Run(fmt.Sprintf("%s, bound %d MB", name, bound/mb), func(t *testing.T) {
				t.Parallel()
				f, runs := countedFixture(t, config(1), bound)
				c := dialCaller(t, f.gateways[0])
				go func() { _, _ = io.WriteString(c, text) }()
				answers := readRawAnswers(c, headerTimeout+time.Second)
				for _, a := range answers {
					promised := claimsNotRun(a.status) && (name != "body without an end" || a.status != http.StatusRequestTimeout)
					if promised || a.status == http.StatusOK {
						t.Errorf("answers %v", answers)
					}
				}
				if runs.of("first") != 0 {
					t.Errorf("ran; answers %v", answers)
				}
				t.Logf("answers %v", answers)
			})
		}
	}
}
