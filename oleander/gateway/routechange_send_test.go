package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/membudget"
	"oleanderdale.org/oleander/internal/testutil"
)

// forbidRepeats puts a configuration in force whose route allows no second run.
func forbidRepeats(f *fixture) {
	f.setVersion(func(m *manifest.Manifest) {
		r := m.Match(testHost, "/read/")
		r.Kind, r.MaxAttempts, r.Timeout, r.LatencyObjective = manifest.NonIdempotent, 1, 10*time.Second, 8*time.Second
	})
}

// breaksSubject returns a fixture whose servers a and b break off the first run of the subject, and know of all its runs.
func breaksSubject(t *testing.T) (*fixture, *runCounts) {
	c := config(1)
	setTimes(10*time.Second, 8*time.Second)(c)
	f := newFixture(t, c)
	f.memory = 64 * mb
	runs := newRunCounts()
	for _, id := range []string{"a", "b"} {
		f.backend(id, "plain", func(w http.ResponseWriter, r *http.Request) {
			runs.add(r)
			if runs.of(subjectID) == 1 {
				panic(http.ErrAbortHandler)
			}
			ok(w, r)
		})
	}
	return f, runs
}

// Guards against a request that runs again after it waited for a server that had too many bytes in flight, during which its route came to
// forbid that.
func TestRouteThatForbidsRepeatsDuringAWaitForServerBytes(t *testing.T) {
	f, runs := breaksSubject(t)
	url := f.start()
	fill(f, "b")
	m := f.gateways[0].memory
	m.update(func() { m.servers.Start("b", membudget.ID(1<<40), membudget.MaxServerBytes) })
	var got answer
	var wait sync.WaitGroup
	wait.Go(func() { got = f.ask(http.MethodPost, url+"/read/x", testID, subjectID) })
	testutil.WaitFor(t, func() bool { return runs.of(subjectID) == 1 })
	empty(f, "b")
	testutil.WaitFor(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.transfers) == 1
	})
	forbidRepeats(f)
	m.update(func() { m.servers.End("b", membudget.MaxServerBytes) })
	wait.Wait()
	t.Logf("status %d", got.status)
	runs.check(t, subjectID, got.status, 1)
}

// Guards against a request that runs again after a slow dial, during which its route came to forbid that.
func TestRouteThatForbidsRepeatsDuringADial(t *testing.T) {
	f, runs := breaksSubject(t)
	url := f.start()
	dialing, forbidden := make(chan struct{}), make(chan struct{})
	goOn := sync.OnceFunc(func() { close(forbidden) })
	t.Cleanup(goOn)
	pool := f.gateways[0].pool
	dial := pool.Dial
	var second sync.Once
	pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		if runs.of(subjectID) == 1 {
			second.Do(func() {
				close(dialing)
				<-forbidden
			})
		}
		return dial(ctx, address)
	}
	var got answer
	var wait sync.WaitGroup
	wait.Go(func() { got = f.ask(http.MethodPost, url+"/read/x", testID, subjectID) })
	<-dialing
	forbidRepeats(f)
	goOn()
	wait.Wait()
	t.Logf("status %d", got.status)
	runs.check(t, subjectID, got.status, 1)
}
