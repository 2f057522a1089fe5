package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/oleander/internal/testutil"
)

// Guards against a request that is sent once more after it waited for a slot, during which its route came to forbid that.
func TestRouteThatBecomesNonIdempotentDuringAWaitIsNotRepeated(t *testing.T) {
	for name, scheduling := range map[string]Switch{"own queues": On, "no queues": Off} {
		t.Run(name, func(t *testing.T) {
			c := config(1)
			c.Match(testHost, "/read/").Timeout = 10 * time.Second
			f := newFixture(t, c)
			f.loadScheduling = scheduling
			runs := newRunCounts()
			released := make(chan struct{})
			release := sync.OnceFunc(func() { close(released) })
			t.Cleanup(release)
			var servers []*backend
			for _, id := range []string{"a", "b"} {
				servers = append(servers, f.backend(id, "plain", func(w http.ResponseWriter, r *http.Request) {
					runs.add(r)
					if r.Header.Get(testID) == subjectID && runs.of(subjectID) == 1 {
						<-released
						panic(http.ErrAbortHandler)
					}
					if r.Header.Get(testID) != subjectID {
						time.Sleep(2 * time.Second)
					}
					ok(w, r)
				}))
			}
			total := func() int { return servers[0].requests() + servers[1].requests() }
			url := f.start()
			var wait sync.WaitGroup
			defer wait.Wait()
			var got answer
			wait.Go(func() { got = f.ask(http.MethodPost, url+"/read/x", testID, subjectID) })
			testutil.WaitFor(t, func() bool { return runs.of(subjectID) == 1 })
			before, changed := -1, time.Now()
			for range 40 {
				wait.Go(func() { f.ask(http.MethodPost, url+"/order/x") })
			}
			testutil.WaitFor(t, func() bool { // until the servers are full
				if n := total(); n != before {
					before, changed = n, time.Now()
				}
				return before > 6 && time.Since(changed) >= 200*time.Millisecond
			})
			release()
			time.Sleep(300 * time.Millisecond)
			f.setVersion(func(m *manifest.Manifest) {
				r := m.Match(testHost, "/read/")
				r.Kind, r.MaxAttempts, r.Timeout = manifest.NonIdempotent, 1, 10*time.Second
			})
			wait.Wait()
			t.Logf("answered %d, ran %d times, servers got %d", got.status, runs.of(subjectID), total())
			runs.check(t, subjectID, got.status, 1)
		})
	}
}
