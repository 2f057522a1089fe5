package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"oleanderdale.org/oleander/internal/testutil"
)

// Guards against descriptors that are used up by idle connections to servers that were replaced.
func TestReplacedServersKeepNoConnections(t *testing.T) {
	const rounds, live, callers = 20, 10, 40
	f := newFixture(t, config(1))
	f.slots = callers
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Millisecond) // so that each caller needs a connection
		ok(w, r)
	}
	name := func(round, i int) string { return fmt.Sprintf("s%d-%d", round, i) }
	for i := range live {
		f.backend(name(0, i), "plain", slow)
	}
	url := f.start()
	g := f.gateways[0]
	most := 0
	for round := range rounds {
		var asking sync.WaitGroup
		for n := range 2 * callers {
			asking.Go(func() {
				if got := f.ask(http.MethodPost, fmt.Sprintf("%s/read/%d-%d", url, round, n), testID, fmt.Sprintf("r%d-%d", round, n)); got.status != http.StatusOK {
					t.Errorf("status %d", got.status)
				}
			})
		}
		asking.Wait()
		most = max(most, g.pool.Idle())
		for i := range live {
			f.backend(name(round+1, i), "plain", slow)
		}
		testutil.WaitFor(t, func() bool { return f.knows(g, name(round+1, live-1)) })
		for i := range live {
			f.store.RemoveServer(name(round, i))
		}
		testutil.WaitFor(t, func() bool { return !f.knows(g, name(round, live-1)) })
	}
	if most > 4*callers {
		t.Errorf("%d idle connections, want at most twice the %d that the live servers need", most, 2*callers)
	}
	t.Logf("%d idle connections at most", most)
}

// knows reports whether an instance has an entry of a server.
func (f *fixture) knows(g *Gateway, id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers.Get(id) != nil
}
