package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// limited responds like a healthy server that names a rate limit.
func limited(perSecond float64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testLimit, strconv.FormatFloat(perSecond, 'f', -1, 64))
		ok(w, r)
	}
}

// arrivalTimes records when requests reach a server.
type arrivalTimes struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivalTimes) record(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		a.at = append(a.at, time.Now())
		a.mu.Unlock()
		h(w, r)
	}
}

// mostWithin returns the largest number of arrivals within any span, from a time on.
func (a *arrivalTimes) mostWithin(span time.Duration, from time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, t := range a.at {
		if t.Before(from) {
			first = i + 1
			continue
		}
		for t.Sub(a.at[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// askAll sends requests through each of the URLs in turn, at a steady rate for some time,
// and returns how many were answered with success.
func (f *fixture) askAll(urls []string, path string, perSecond int, duration time.Duration) (sent, served int) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	interval := time.Second / time.Duration(perSecond)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		url := urls[sent%len(urls)]
		sent++
		wait.Go(func() {
			if got := f.ask(http.MethodPost, url+path, testWait, "1000"); got.status == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				served++
			}
		})
	}
	wait.Wait()
	return sent, served
}

// An engine names a rate limit in its response to an order or a query only. All instances
// must learn of it.
func TestRateLimitInEngineResponseIsHeard(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "llm", ok, "warm")
	f.engines.SetFeedback("a", ports.Feedback{RateLimit: ports.RateLimit{Named: true, PerSecond: 2}})
	startPair(t, f)
	for _, g := range f.gateways {
		testutil.WaitFor(t, func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.limitedServerCount() == 1
		})
	}
}

// A server that names a rate limit in its responses must not get more than that from all
// instances together, while other servers have room.
func TestServerRateLimitHoldsOverAllInstances(t *testing.T) {
	const (
		perSecond = 2.0
		window    = 4 * time.Second
		allowed   = 1.5*perSecond*4 + 5
	)
	f := newFixture(t, config(1))
	var arrivals arrivalTimes
	f.backend("a", "plain", arrivals.record(limited(perSecond)))
	f.backend("b", "plain", ok)
	f.startHolder()
	urls := []string{"http://" + f.gateways[0].settings.CallerAddress, f.start(), f.start()}
	testutil.WaitFor(t, func() bool { return f.ask(http.MethodPost, urls[2]+"/order/").status == http.StatusOK })
	f.askAll(urls, "/order/", 30, time.Second) // each instance is told
	told := time.Now()
	sent, served := f.askAll(urls, "/order/", 30, window+time.Second)
	if n := arrivals.mostWithin(window, told); float64(n) > allowed {
		t.Errorf("%d requests in %v, allowed are %.0f", n, window, allowed)
	}
	if n := arrivals.mostWithin(window, told); float64(n) < perSecond*window.Seconds()/2 {
		t.Errorf("%d requests in %v, want at least half of the limit", n, window)
	}
	if served < sent*98/100 {
		t.Errorf("%d of %d served, although the other server has room", served, sent)
	}
}

// An instance that tells that a server leaves, and knows nothing of its limit, must not end
// the limit that others know. Fields out of range are ignored.
func TestFeedbackMessageEndsNoUnknownLimit(t *testing.T) {
	_, g := single(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	limited := func() int { return g.limitedServerCount() }
	say := func(limit *limitMsg) {
		g.handleFeedbackMsg(now, &feedbackMsg{Servers: []serverFeedbackMsg{{Server: "a", Incarnation: 1, Limit: limit}}})
	}
	say(&limitMsg{Limited: true, PerSecond: 2, AgeMS: 2500})
	say(nil)
	say(&limitMsg{AgeMS: -1})
	say(&limitMsg{Limited: true, PerSecond: -1})
	say(&limitMsg{AgeMS: 2700})
	if limited() != 1 {
		t.Error("the limit has ended")
	}
	say(&limitMsg{AgeMS: 200})
	if limited() != 0 {
		t.Error("a newer statement did not end the limit")
	}
}

// leaving responds like a healthy server that says that it leaves.
func leaving(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testLeaves, "1")
	ok(w, r)
}

// A server says that it leaves in its responses only, as its entry cannot be written. No
// instance may send it a request later, also after the entry was gone and is back.
func TestServerThatSaysItLeavesGetsNoRequests(t *testing.T) {
	f := newFixture(t, config(1))
	a := f.backend("a", "plain", leaving)
	f.backend("b", "plain", ok)
	f.startHolder()
	urls := []string{"http://" + f.gateways[0].settings.CallerAddress, f.start(), f.start()}
	testutil.WaitFor(t, func() bool {
		f.ask(http.MethodPost, urls[2]+"/order/")
		return a.requests() > 0
	})
	time.Sleep(500 * time.Millisecond)
	entry := f.store.Server("a")
	for _, step := range []string{"while its entry says that it serves", "after its entry was gone and is back"} {
		before := a.requests()
		sent, served := f.askAll(urls, "/order/", 30, time.Second)
		if n := a.requests() - before; n > 0 {
			t.Errorf("%d of %d requests reached the leaving server %s", n, sent, step)
		}
		if served < sent {
			t.Errorf("%d of %d served %s", served, sent, step)
		}
		f.store.RemoveServer("a")
		testutil.WaitFor(t, func() bool {
			g := f.gateways[0]
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.servers.Get("a") == nil
		})
		f.store.PutServer(entry)
		testutil.WaitFor(t, func() bool {
			g := f.gateways[0]
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.servers.Get("a") != nil
		})
	}
}

// rejecting rejects every request and asks for rest.
func rejecting(rest time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testNotRun, "1")
		w.Header().Set(testRest, strconv.FormatInt(rest.Milliseconds(), 10))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// A server rejects requests and asks for rest. Each instance must leave it alone for that
// time, while the other server has room for all callers.
func TestServerThatAsksForRestIsLeftAlone(t *testing.T) {
	const (
		rest  = 3 * time.Second
		grace = 500 * time.Millisecond
	)
	f := newFixture(t, config(1))
	var arrivals arrivalTimes
	f.backend("a", "plain", arrivals.record(rejecting(rest)))
	f.backend("b", "plain", ok)
	f.startHolder()
	urls := []string{"http://" + f.gateways[0].settings.CallerAddress, f.start(), f.start()}
	began := time.Now()
	sent, served := f.askAll(urls, "/order/", 60, 5*time.Second)
	if n := arrivals.mostWithin(rest-grace, began.Add(grace)); n > 2*len(urls) {
		t.Errorf("%d requests from %d instances in %v", n, len(urls), rest-grace)
	}
	if served < sent*99/100 {
		t.Errorf("%d of %d served, although the other server has room", served, sent)
	}
}

// All servers of a plain service ask for rest: a request is refused at once, and may come
// back when the first rest ends.
func TestAllServersRest(t *testing.T) {
	const rest = 1500 * time.Millisecond
	f := newFixture(t, config(1))
	a := f.backend("a", "plain", rejecting(rest))
	url := f.start()
	f.ask(http.MethodPost, url+"/order/")
	began := time.Now()
	got := f.ask(http.MethodPost, url+"/order/")
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != http.StatusServiceUnavailable || time.Since(began) > 300*time.Millisecond || a.requests() != 1 {
		t.Errorf("status %d after %v, %d requests at the server", got.status, time.Since(began), a.requests())
	}
	if err != nil || after < 1 || after > 2*rest.Seconds() {
		t.Errorf("to be asked again after %q s", got.header.Get("Retry-After"))
	}
}
