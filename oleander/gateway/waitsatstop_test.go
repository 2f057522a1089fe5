package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/oleander/internal/testutil"
)

// Guards against a request that waits at an instance that stops, and whose caller gets no answer.
func TestWaitsEndWithAnAnswerAtAStop(t *testing.T) {
	for name, tc := range map[string]struct {
		path, model string
		rate        float64 // of the account; 0: none
		memory      int64
		rest        time.Duration
		blockers    int // requests that take all slots
	}{
		"for a model":              {path: "/stream/x", model: "slow"},
		"for a slot":               {path: "/order/x", blockers: 8},
		"for a slot of a model":    {path: "/stream/x", model: "warm", blockers: 8},
		"for the account's limit":  {path: "/order/x", rate: 0.05},
		"for servers that rest":    {path: "/read/x", rest: 10 * time.Second},
		"for a slot, with a bound": {path: "/order/x", blockers: 8, memory: 64 * mb},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := config(1)
			for _, path := range []string{"/order/", "/stream/", "/read/"} {
				r := m.Match(testHost, path)
				r.Timeout, r.LatencyObjective = begunStreamTimeout, 15*time.Second
			}
			if tc.rate > 0 {
				m.Accounts["account"] = &manifest.Account{Name: "account", Priority: manifest.NoPriority, Rate: tc.rate, Burst: 1}
				m.AddKey(manifest.DigestOf("secret"), m.Accounts["account"])
			}
			f := newFixture(t, m)
			f.slots, f.memory = 1, tc.memory
			var running atomic.Int64
			end := make(chan struct{})
			block := func(w http.ResponseWriter, r *http.Request) {
				if tc.rest > 0 {
					rejecting(tc.rest)(w, r)
					return
				}
				running.Add(1)
				select {
				case <-end:
				case <-r.Context().Done():
				}
				ok(w, r)
			}
			f.backend("a", "plain", block)
			f.backend("b", "llm", block, "warm")
			url := f.start()
			t.Cleanup(func() { close(end) })
			got := make(chan answer, 16)
			ask := func() {
				got <- f.ask(http.MethodPost, url+tc.path, testModel, tc.model, testWait, fmt.Sprint(begunStreamTimeout.Milliseconds()))
			}
			sent := 1
			for range tc.blockers {
				go ask()
				sent++
			}
			if tc.blockers > 0 {
				testutil.WaitFor(t, func() bool { return running.Load() > 0 })
			}
			if tc.rate > 0 {
				go ask()
				sent++
				time.Sleep(100 * time.Millisecond)
			}
			go ask()
			time.Sleep(200 * time.Millisecond)
			close(f.stops[0])
			began := time.Now()
			stopping := 0
			for range sent {
				a := <-got
				if a.status == http.StatusServiceUnavailable && strings.Contains(a.body, string(reasonStopping)) {
					stopping++
				}
				t.Logf("%d %s after %v, %v", a.status, a.body, time.Since(began).Round(time.Millisecond), a.err)
				if a.err != nil || a.status == 0 {
					t.Errorf("no whole answer: %+v", a)
				}
			}
			if tc.blockers > 0 && stopping == 0 {
				t.Error("nothing waited, so the test proves nothing")
			}
		})
	}
}

// Guards against a large answer that is cut at a stop though its caller reads it before the process ends, and against the cut of one that
// nobody reads that looks whole.
func TestLargeAnswersAtAStop(t *testing.T) {
	const size = 12 << 20
	for _, memory := range []int64{0, 64 * mb} {
		for _, pause := range []time.Duration{1200 * time.Millisecond, 2 * testGrace} {
			t.Run(fmt.Sprintf("bound %d MB, read after %v", memory/mb, pause), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, config(1))
				f.memory = memory
				f.backend("a", "plain", func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set(testSigned, "1")
					_, _ = io.WriteString(w, strings.Repeat("x", size))
				})
				f.start()
				c, err := net.Dial("tcp", f.gateways[0].settings.CallerAddress)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = c.Close() }()
				_, _ = fmt.Fprintf(c, "POST /order/x HTTP/1.1\r\nHost: %s\r\n%s: big\r\n%s: secret\r\nContent-Length: 0\r\n\r\n", testHost, testID, testKey)
				time.Sleep(200 * time.Millisecond)
				close(f.stops[0])
				time.Sleep(pause)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				var n int64
				if err == nil {
					n, err = io.Copy(io.Discard, resp.Body)
				}
				t.Logf("%d of %d bytes, %v", n, size, err)
				if whole := n == size && err == nil; whole != (pause < testGrace) {
					t.Errorf("whole %v", whole)
				}
				if n < size && err == nil && !errors.Is(err, syscall.ECONNRESET) {
					t.Error("a part looks whole")
				}
			})
		}
	}
}
