package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	crowdInstances = 4 // two in each of two zones
	crowdServers   = 6
	crowdBefore    = 2 * time.Second
	crowdSettle    = time.Second
	crowdPeriod    = 3 * time.Second
	// minCrowdServed is how much of what is served before must be served while one instance has
	// all new connections.
	minCrowdServed = 0.9
)

// crowdScenario sends requests at a rate, each on a new connection, first to all instances and then
// to one.
type crowdScenario struct {
	method, path, model string
	handler             http.HandlerFunc
	perSecond           int
	increase            float64 // of the rate while one instance has all connections
	memory              int64   // bound of each instance
	accountRate         float64 // requests a second; 0: no limit
	slowReaders         int     // callers that read nothing, at the instance that has all connections
	stop                bool    // that instance is stopped midway; callers then turn to the next one
}

type crowdAnswer struct {
	at     time.Time
	status int
}

func (s crowdScenario) play(t *testing.T) {
	t.Parallel()
	m := config(1)
	if s.accountRate > 0 {
		m.Accounts["account"].Rate, m.Accounts["account"].Burst = s.accountRate*testTokens, s.accountRate*testTokens
	}
	f := newFixture(t, m)
	f.memory, f.slots = s.memory, 8
	f.zones = []string{"z", "z", "y", "y"}
	for i := range crowdServers {
		if s.model != "" {
			f.backend(fmt.Sprint("s", i), "llm", s.handler, s.model)
		} else {
			f.backend(fmt.Sprint("s", i), "plain", s.handler)
		}
	}
	var urls []string
	for range crowdInstances {
		urls = append(urls, f.start())
	}
	for _, url := range urls {
		testutil.WaitFor(t, func() bool { return f.ask(s.method, url+s.path, testModel, s.model).status == http.StatusOK })
	}
	began := time.Now()
	crowded := began.Add(crowdBefore)
	end := crowded.Add(crowdSettle + crowdPeriod)
	stopAt := crowded.Add(crowdSettle)
	var mu sync.Mutex
	var answers []crowdAnswer
	var callers sync.WaitGroup
	for range s.slowReaders {
		callers.Go(func() { f.readNothing(urls[0]+s.path, s.model, end) })
	}
	stopped := false
	for n := 0; time.Now().Before(end); n++ {
		at := time.Now()
		url, rate := urls[n%crowdInstances], float64(s.perSecond)
		if at.After(crowded) {
			url, rate = urls[0], rate*s.increase
		}
		if s.stop && at.After(stopAt) {
			if !stopped {
				stopped = true
				close(f.stops[0])
			}
			if at.After(stopAt.Add(time.Second)) {
				url = urls[1]
			}
		}
		callers.Go(func() {
			got := f.ask(s.method, url+s.path, testID, fmt.Sprint("c", n), testModel, s.model, testWait, "2000")
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, crowdAnswer{at, got.status})
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	callers.Wait()
	before := servedOf(answers, began, crowded)
	after := servedOf(answers, crowded.Add(crowdSettle), end)
	t.Logf("served %.3f before, %.3f while one instance has all connections", before, after)
	if before == 0 || after < minCrowdServed*before {
		t.Errorf("served %.3f while one instance has all connections, %.3f before", after, before)
	}
}

// readNothing sends a request and reads no response until a time.
func (f *fixture) readNothing(url, model string, until time.Time) {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
	if err != nil {
		return
	}
	r.Host = testHost
	for name, v := range map[string]string{testID: "slow", testKey: "secret", testModel: model, testWait: "5000"} {
		r.Header.Set(name, v)
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	if resp, err := transport.RoundTrip(r); err == nil {
		time.Sleep(time.Until(until))
		_ = resp.Body.Close()
	}
}

// servedOf returns the share of the requests sent in a time that were served, but for those
// refused for their account's limit.
func servedOf(answers []crowdAnswer, from, to time.Time) float64 {
	served, all := 0, 0
	for _, a := range answers {
		if a.at.Before(from) || a.at.After(to) || a.status == http.StatusTooManyRequests {
			continue
		}
		all++
		if a.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(1, all))
}

// Guards against requests that are refused since one instance has nearly all new connections.
func TestInstanceWithAllConnectionsServes(t *testing.T) {
	stream := func(w http.ResponseWriter, _ *http.Request) {
		for i := 1; i <= 10; i++ {
			events(w, i, i)
			time.Sleep(20 * time.Millisecond)
		}
	}
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(60 * time.Millisecond)
		ok(w, r)
	}
	large := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testSigned, "1")
		_, _ = fmt.Fprint(w, strings.Repeat("x", 256<<10))
	}
	for name, s := range map[string]crowdScenario{
		"reads":              {method: http.MethodGet, path: "/read/x", handler: slow, perSecond: 300, increase: 2},
		"streams":            {method: http.MethodPost, path: "/stream/x", model: "warm", handler: stream, perSecond: 120, increase: 1.6},
		"resumable streams":  {method: http.MethodPost, path: "/resume/x", model: "warm", handler: stream, perSecond: 120, increase: 1.6},
		"orders":             {method: http.MethodPost, path: "/order/x", handler: slow, perSecond: 150, increase: 2},
		"account near limit": {method: http.MethodGet, path: "/read/x", handler: slow, perSecond: 100, increase: 1, accountRate: 110},
		"little memory":      {method: http.MethodPost, path: "/read/x", handler: large, perSecond: 60, increase: 1.5, memory: 24 << 20},
		"slow readers":       {method: http.MethodPost, path: "/read/x", handler: large, perSecond: 60, increase: 1.5, memory: 24 << 20, slowReaders: 20},
		"stopped midway":     {method: http.MethodGet, path: "/read/x", handler: slow, perSecond: 150, increase: 1.5, stop: true},
	} {
		t.Run(name, s.play)
	}
}

// Guards against requests that are refused since the slots of an instance that was killed count as
// taken until it is missed.
func TestSlotsOfKilledInstanceAreFree(t *testing.T) {
	t.Parallel()
	const (
		streams  = 20 // at a time, on 24 slots
		atRandom = 25 * time.Millisecond
	)
	m := config(1)
	m.Match(testHost, "/stream/").LatencyObjective = time.Second
	f := newFixture(t, m)
	f.slots = 8
	stream := func(w http.ResponseWriter, _ *http.Request) {
		for i := 1; i <= 10; i++ {
			events(w, i, i)
			time.Sleep(40 * time.Millisecond)
		}
	}
	for i := range 3 {
		f.backend(fmt.Sprint("s", i), "llm", stream, "warm")
	}
	urls := []string{f.start(), f.start(), f.start()}
	for _, url := range urls {
		testutil.WaitFor(t, func() bool { return f.ask(http.MethodPost, url+"/stream/", testModel, "warm").status == http.StatusOK })
	}
	// The instance that is killed chooses for nobody.
	killed := 0
	testutil.WaitFor(t, func() bool {
		g := f.gateways[0]
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.dispatcherName(boottime.Now()) != ""
	})
	f.gateways[0].mu.Lock()
	for i, g := range f.gateways {
		if g.settings.Name == f.gateways[0].dispatcherName(boottime.Now()) {
			killed = (i + 1) % len(urls)
		}
	}
	f.gateways[0].mu.Unlock()
	at := atomic.Int64{}
	at.Store(int64(killed))
	var mu sync.Mutex
	var answers []crowdAnswer
	var callers sync.WaitGroup
	began := time.Now()
	killedAt := began.Add(1500 * time.Millisecond)
	end := killedAt.Add(2 * time.Second)
	for i := range streams {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * atRandom)
			for n := 0; time.Now().Before(end); n++ {
				sentAt := time.Now()
				got := f.ask(http.MethodPost, urls[at.Load()]+"/stream/", testID, fmt.Sprintf("k%d-%d", i, n), testModel, "warm", testWait, "1500")
				mu.Lock()
				answers = append(answers, crowdAnswer{sentAt, got.status})
				mu.Unlock()
				if got.status != http.StatusOK {
					time.Sleep(2 * atRandom)
				}
			}
		})
	}
	time.Sleep(time.Until(killedAt))
	f.gateways[killed].peers.close() // a killed process tells nothing
	f.cancels[killed]()
	at.Store(int64((killed + 1) % len(urls)))
	callers.Wait()
	refused := 0
	for _, a := range answers {
		if a.at.After(killedAt) && a.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	t.Logf("%d of %d refused; killed %d", refused, len(answers), killed)
	if refused > 0 {
		t.Errorf("%d requests refused after the kill, want none", refused)
	}
}
