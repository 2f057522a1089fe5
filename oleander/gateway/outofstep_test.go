package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/oleander/gateway/portstest"
	"oleanderdale.org/oleander/internal/testutil"
)

// Guards against a stream that began at servers of a new version and goes on at an old one, since the instance at which it is taken
// up is cut off, or stood still, as the new ones joined.
func TestStreamTakenUpAtAnInstanceOutOfStep(t *testing.T) {
	const cutFor = 1500 * time.Millisecond
	cutOff := func(f *fixture, g *Gateway, join func()) (resume func(began string) []answer) {
		f.store.SetFault(1, portstest.NoResponse)
		_ = g.peers.conn.Close()
		time.Sleep(cutFor)
		join()
		return nil
	}
	stoodStill := func(f *fixture, g *Gateway, join func()) func(began string) []answer {
		g.mu.Lock()
		time.Sleep(cutFor)
		join()
		return func(began string) []answer {
			got := make(chan answer, 8)
			for range cap(got) {
				go func() { got <- f.resume("http://"+g.settings.CallerAddress, began, 2) }()
			}
			time.Sleep(50 * time.Millisecond)
			g.mu.Unlock()
			var all []answer
			for range cap(got) {
				all = append(all, <-got)
			}
			return all
		}
	}
	for name, outOfStep := range map[string]func(f *fixture, g *Gateway, join func()) func(began string) []answer{"cut off": cutOff, "stood still": stoodStill} {
		for _, named := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, the stream is named: %v", name, named), func(t *testing.T) {
				f := newFixture(t, config(1))
				f.softwareBackend("e0", "llm", "v1", versioned("v1", func(int) int { return 0 }), "warm")
				f.startHolder()
				url := f.start()
				f.age(time.Minute)
				g := f.gateways[1]
				if got := f.resume(url, "", 2); got.status != http.StatusOK {
					t.Fatalf("in step: status %d %s", got.status, got.body)
				}
				resume := outOfStep(f, g, func() {
					f.softwareBackend("e1", "llm", "v2", versioned("v2", func(after int) int { return 2 }), "warm")
					testutil.WaitFor(t, func() bool { return f.knows(f.gateways[0], "e1") })
				})
				if resume == nil {
					resume = func(began string) []answer { return []answer{f.resume(url, began, 2)} }
				}
				began := ""
				if named {
					began = "elsewhere"
				}
				for _, got := range resume(began) {
					if got.status != http.StatusServiceUnavailable && !strings.Contains(got.body, "v2") {
						t.Errorf("status %d, %q", got.status, got.body)
					}
				}
			})
		}
	}
}
