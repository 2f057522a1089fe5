package gateway

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"oleanderdale.org/oleander/process/boottime"
)

// endless answers with head, in which %s is the request's ID, and then with more until the connection ends.
func endless(head, more string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, strings.ReplaceAll(head, "%s", r.Header.Get(testID)))
		for chunk := strings.Repeat(more, 1+32<<10/len(more)); err == nil; {
			_, err = io.WriteString(c, chunk)
		}
	}
}

// maxEndlessHeap is how much the heap may grow, with what is not collected yet.
const maxEndlessHeap = 2*maxBufferedBytes + 64<<20

// Guards against bytes without end, in a head or a body, that fill the memory, keep the caller waiting or pass for a crash of the server.
func TestBytesWithoutEnd(t *testing.T) {
	good := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %%s\r\n%s: 1\r\n", testID, testSigned)
	rejected := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %%s\r\n%s: 1\r\n", testID, testNotRun)
	for name, s := range map[string]struct {
		path, head, more string
	}{
		"head":                {"/read/", "HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"no head":             {"/order/", "", "xyz"},
		"body until the end":  {"/read/", good + "\r\n", "xyz"},
		"chunks":              {"/order/", good + "Transfer-Encoding: chunked\r\n\r\n", "8\r\nabcdefgh\r\n"},
		"one chunk size":      {"/order/", good + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"after the answer":    {"/read/", good + "Content-Length: 0\r\n\r\n", "xyz"},
		"foreign answer":      {"/read/", strings.ReplaceAll(good, "%s", "another") + "\r\n", "xyz"},
		"event":               {"/stream/", good + "\r\ndata: ", "xyz"},
		"resumable event":     {"/resume/", good + "\r\ndata: ", "xyz"},
		"rejection":           {"/order/", rejected + "\r\n", "xyz"},
		"rejection's header":  {"/order/", rejected + "Name: ", "v"},
		"trailer after chunk": {"/read/", good + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, config(1))
			f.slots = 100
			bad := endless(s.head, s.more)
			for i := range 2 {
				f.backend(fmt.Sprint("s", i), "plain", bad)
				f.backend(fmt.Sprint("e", i), "llm", bad, "warm")
			}
			url := f.start()
			model := ""
			if strings.HasPrefix(s.path, "/stream") || strings.HasPrefix(s.path, "/resume") {
				model = "warm"
			}
			var before, now runtime.MemStats
			defer debug.SetGCPercent(debug.SetGCPercent(20))
			runtime.GC()
			runtime.ReadMemStats(&before)
			done, peak := make(chan struct{}), uint64(0)
			var sampling, callers sync.WaitGroup
			sampling.Go(func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(20 * time.Millisecond):
						runtime.ReadMemStats(&now)
						peak = max(peak, now.HeapInuse)
					}
				}
			})
			for n := range 16 {
				callers.Go(func() {
					began := time.Now()
					got := f.ask(http.MethodPost, fmt.Sprintf("%s%sx%d", url, s.path, n), testID, fmt.Sprint("r", n), testModel, model, testWait, "3000")
					if got.status == http.StatusOK && name != "after the answer" {
						t.Errorf("status %d, body of %d bytes", got.status, len(got.body))
					}
					if took := time.Since(began); took > 4*time.Second {
						t.Errorf("answered after %v", took)
					}
				})
			}
			callers.Wait()
			close(done)
			sampling.Wait()
			if peak > before.HeapInuse+maxEndlessHeap {
				t.Errorf("%d MB of heap, %d before", peak>>20, before.HeapInuse>>20)
			}
			g := f.gateways[0]
			g.mu.Lock()
			defer g.mu.Unlock()
			if refused := g.poison.Refused(boottime.Now()); refused > 0 {
				t.Errorf("%d requests are refused as if they had crashed servers", refused)
			}
			if n := g.bufferedBytes.Load(); n != 0 {
				t.Errorf("%d bytes count as held", n)
			}
		})
	}
}
