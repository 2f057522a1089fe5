package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/oleander/internal/testutil"
)

// changeDuringAWait is a request that waits for a slot while the configuration changes.
type changeDuringAWait struct {
	scheduling Switch
	timeout    time.Duration // of the request
	heldFor    time.Duration // after the change until there is room
	change     func(m *manifest.Manifest)
}

// arrivals records when a server got which request.
type arrivals struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (a *arrivals) add(r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[r.Header.Get(testID)] = time.Now()
}

// play returns how long after the change the request was sent under the former configuration; false if it was not. A request that its
// caller sends after the change must not be.
func (c changeDuringAWait) play(t *testing.T) (late time.Duration, sent bool) {
	f, b, release := busyFixture(t, c.scheduling, 5*time.Second)
	got, held := arrivals{at: make(map[string]time.Time)}, b.handler
	b.handler = func(w http.ResponseWriter, r *http.Request) {
		got.add(r)
		held(w, r)
	}
	f.backend("other", "none", ok)
	url := f.start()
	g := f.gateways[0]
	var wait sync.WaitGroup
	for range 6 {
		wait.Go(func() { f.ask(http.MethodPost, url+"/order/x") })
	}
	testutil.WaitFor(t, func() bool { return b.requests() == 6 })
	ask := func(id string) func() {
		return func() {
			a := f.ask(http.MethodPost, url+"/order/x", testID, id, testWait, strconv.FormatInt(c.timeout.Milliseconds(), 10))
			t.Logf("%s: %d %s", id, a.status, a.body)
		}
	}
	wait.Go(ask(subjectID))
	testutil.WaitFor(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.activeRequests.Load() == 7 && (c.scheduling == Off || g.ownQueues.QueueLength() == 1)
	})
	f.setVersion(func(m *manifest.Manifest) {
		r := m.Match(testHost, "/order/")
		r.LatencyObjective, r.Timeout = 5*time.Second, 10*time.Second
		c.change(m)
	})
	inForce := time.Now()
	wait.Go(ask("later"))
	time.Sleep(c.heldFor)
	release()
	wait.Wait()
	if _, ok := got.at["later"]; ok {
		t.Error("a request that was sent after the change went to the former servers")
	}
	at, sent := got.at[subjectID]
	return at.Sub(inForce), sent
}

// Guards against a request that is handled by a former configuration though its caller sent it after the change, or, if it waited before,
// longer than its deadline allows or without a queue.
func TestConfigurationThatChangesDuringAWait(t *testing.T) {
	for name, change := range map[string]func(m *manifest.Manifest){
		"key withdrawn": withoutKey,
		"route moved":   func(m *manifest.Manifest) { m.Match(testHost, "/order/").Targets[0].Group = "none" },
		"no region":     disjointRegions,
	} {
		for kind, tc := range map[string]struct {
			changeDuringAWait
			maySend bool // the queue grants a slot by what it was asked before
		}{
			"queues":                {changeDuringAWait{On, 10 * time.Second, 300 * time.Millisecond, change}, true},
			"queues, short of time": {changeDuringAWait{On, 800 * time.Millisecond, 1200 * time.Millisecond, change}, false},
			"no queues":             {changeDuringAWait{Off, 10 * time.Second, 300 * time.Millisecond, change}, false},
		} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				late, sent := tc.play(t)
				switch {
				case sent && !tc.maySend:
					t.Errorf("sent under the former configuration %v after the change", late)
				case sent:
					t.Logf("sent under the former configuration %v after the change", late)
				}
			})
		}
	}
}
