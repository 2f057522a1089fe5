package gateway

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/budget"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/membudget"
	"oleanderdale.org/core/gateway/poison"
	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// claimsNotRun reports whether a status promises that the request did not run and will not.
func claimsNotRun(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// runCounts counts the runs of each request at all servers.
type runCounts struct {
	mu   sync.Mutex
	runs map[string]int
}

func newRunCounts() *runCounts { return &runCounts{runs: make(map[string]int)} }

func (c *runCounts) add(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.Header.Get(testID)]++
}

func (c *runCounts) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// check reports a request that was refused and ran, or that ran more often than it may.
func (c *runCounts) check(t *testing.T, id string, status, most int) {
	t.Helper()
	n := c.of(id)
	if n > most {
		t.Errorf("%s ran %d times, at most %d allowed", id, n, most)
	}
	if n > 0 && claimsNotRun(status) {
		t.Errorf("%s was refused with %d and ran %d times", id, status, n)
	}
}

// firstEnd is how the first attempt of a request ends.
type firstEnd string

const (
	endRejected firstEnd = "rejected"
	endRan      firstEnd = "ran"
)

// subjectID is the ID of the request whose refusal is tested.
const subjectID = "subject"

// laterRefusal is a way in which a request is refused after its first attempt.
type laterRefusal struct {
	reason reason // of the refusal if the first attempt was rejected
	status int    // of that refusal; 0: 503
	// path is that of a route whose requests may run twice; "" means /read/. Those that may run once have oncePath.
	path, oncePath string
	model          string
	software       string // version of the first server
	header         []string
	adapt          func(m *manifest.Manifest) // changes the first configuration
	before         func(f *fixture)           // called once the instance runs, before its first server is there
	during         func(f *fixture)           // called while the first attempt is under way
	reached        func(g *Gateway) bool      // whether the refusal came from where it should after a rejection; may be nil
}

func (l laterRefusal) paths() map[string]string {
	if l.path == "" {
		return map[string]string{"repeatable": "/read/x", "once": "/order/x"}
	}
	return map[string]string{"repeatable": l.path, "once": l.oncePath}
}

// startFirst adds the server that gets the first attempt, and waits until the instance knows it.
func (l laterRefusal) startFirst(f *fixture, runs *runCounts, end firstEnd) {
	group := "plain"
	var models []string
	if l.model != "" {
		group, models = "llm", []string{l.model}
	}
	f.softwareBackend("a", group, l.software, func(w http.ResponseWriter, r *http.Request) {
		if l.during != nil {
			l.during(f)
		}
		if end == endRejected {
			w.Header().Set(testNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		runs.add(r)
		panic(http.ErrAbortHandler)
	}, models...)
	testutil.WaitFor(f.t, func() bool { return f.knows(f.gateways[0], "a") })
}

// setVersion puts a changed configuration in force.
func (f *fixture) setVersion(change func(m *manifest.Manifest)) {
	m := config(2)
	change(m)
	f.store.SetManifest(m)
	awaitVersion(f, 2)
}

// awaitVersion waits until the first instance has a configuration in force.
func awaitVersion(f *fixture, version uint64) {
	f.t.Helper()
	testutil.WaitFor(f.t, func() bool { return f.gateways[0].manifest.Load().Version == version })
}

// withoutRoutes returns a configuration that knows no route.
func withoutRoutes(f *fixture) {
	f.store.SetEmptyManifest(2)
	awaitVersion(f, 2)
}

// fill makes a server look full to the instance.
func fill(f *fixture, id string) {
	g := f.gateways[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	for range 20 {
		g.servers.RequestStarted(boottime.Now(), id, "")
	}
}

// addKnown adds a server and waits until the instance knows it.
func addKnown(f *fixture, id, group string, h http.HandlerFunc, models ...string) {
	f.backend(id, group, h, models...)
	testutil.WaitFor(f.t, func() bool { return f.knows(f.gateways[0], id) })
}

// blameSubject records crashes of servers under the request, and returns its digest.
func blameSubject(f *fixture, path, body string, servers ...string) poison.Digest {
	g := f.gateways[0]
	r := httptest.NewRequest(http.MethodPost, path, nil)
	r.Host = testHost
	x := &exchange{g: g, r: r, body: [][]byte{[]byte(body)}, account: &manifest.Account{Name: "account"}}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range servers {
		g.poison.RecordCrash(boottime.Now(), x.requestDigests(), serverHash(id))
	}
	return x.requestDigests()[0]
}

// holdProbe puts the request on probation, and has another copy of it run for as long as this one may wait.
func holdProbe(f *fixture, path, body string) {
	digest := blameSubject(f, path, body, "c1")
	g := f.gateways[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	later := boottime.Now().Add(2 * maxProbeWait)
	g.probes.Ask(later, digest, later)
}

// beginAtSoftware makes the instance believe that the stream that the request takes up began at a version.
func beginAtSoftware(f *fixture, software string) {
	g := f.gateways[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	g.origins.Began(boottime.Now(), originRecord("s", software))
}

// addSingleAttempts adds a route of streams that may be resumed, but not sent again.
func addSingleAttempts(m *manifest.Manifest) {
	r := *m.Match(testHost, "/resume/")
	r.Name, r.Prefix, r.MaxAttempts = "single", "/single/", 1
	m.AddRoute(&r)
}

func setTimes(timeout, objective time.Duration) func(m *manifest.Manifest) {
	return func(m *manifest.Manifest) {
		for _, path := range []string{"/read/", "/order/", "/resume/", "/stream/"} {
			r := m.Match(testHost, path)
			r.Timeout, r.LatencyObjective = timeout, objective
		}
	}
}

// laterRefusals returns the ways in which a request is refused after its first attempt.
func laterRefusals() map[string]laterRefusal {
	rejects := status(http.StatusServiceUnavailable, testNotRun, "1")
	return map[string]laterRefusal{
		"no other server":   {reason: reasonNoServer},
		"route is gone":     {reason: reasonNoRoute, status: http.StatusNotFound, during: withoutRoutes},
		"key is withdrawn":  {reason: reasonInvalidKey, status: http.StatusUnauthorized, during: func(f *fixture) { f.setVersion(withoutKey) }},
		"no allowed region": {reason: reasonNoAllowedRegion, during: func(f *fixture) { f.setVersion(disjointRegions) }},
		"no room": {
			reason: reasonNoFreeSlot,
			before: func(f *fixture) {
				addKnown(f, "b", "plain", ok)
				fill(f, "b")
			},
		},
		"limited server": {
			reason: reasonNoFreeSlot, // after a send, a late answer is better than none
			before: func(f *fixture) {
				addKnown(f, "b", "plain", limited(0.1))
				for range 3 {
					f.ask(http.MethodPost, "http://"+f.gateways[0].settings.CallerAddress+"/order/fill", testWait, "300")
				}
			},
		},
		"resting server": {
			reason: reasonServersResting,
			before: func(f *fixture) {
				addKnown(f, "b", "plain", rejecting(5*time.Second))
				f.ask(http.MethodPost, "http://"+f.gateways[0].settings.CallerAddress+"/order/fill")
			},
		},
		"model not loaded": {
			reason: reasonNotLoaded, path: "/resume/x", oncePath: "/stream/x", model: "slow", header: []string{testModel, "slow", testWait, "1500"},
			before: func(f *fixture) { addKnown(f, "b", "llm", ok) },
		},
		"model is gone": {
			reason: reasonUnknownModel, path: "/resume/x", oncePath: "/stream/x", model: "warm", header: []string{testModel, "warm"},
			during: func(f *fixture) {
				f.setVersion(func(m *manifest.Manifest) { delete(m.Groups["llm"].Engine.Models, "warm") })
			},
		},
		"group is gone": {
			reason: reasonNoServer,
			during: func(f *fixture) {
				f.setVersion(func(m *manifest.Manifest) {
					for _, path := range []string{"/read/", "/order/"} {
						m.Match(testHost, path).Targets = []manifest.Target{{Group: "gone", Weight: 1}}
					}
				})
			},
		},
		"rejected by all others": {
			reason: reasonRefused,
			before: func(f *fixture) {
				for _, id := range []string{"b", "c", "d", "e"} {
					addKnown(f, id, "plain", rejects)
					fill(f, id) // the first attempt goes to another one
				}
			},
			during: func(f *fixture) {
				g := f.gateways[0]
				g.mu.Lock()
				defer g.mu.Unlock()
				for _, id := range []string{"b", "c", "d", "e"} {
					for range 20 {
						g.servers.RequestEnded(boottime.Now(), id, "", 0)
					}
				}
			},
		},
		"no retries left": {
			reason: reasonRefused,
			before: func(f *fixture) {
				g := f.gateways[0]
				g.mu.Lock()
				g.retryBudget = budget.New(boottime.Now(), budget.Settings{Window: 10 * time.Second})
				g.mu.Unlock()
				addKnown(f, "b", "plain", rejects)
				fill(f, "b")
			},
			during: func(f *fixture) { empty(f, "b") },
		},
		"instance stops": {
			reason: reasonStopping, adapt: setTimes(10*time.Second, 8*time.Second),
			before: func(f *fixture) {
				addKnown(f, "b", "plain", ok)
				fill(f, "b")
			},
			during: func(f *fixture) { close(f.stops[0]) },
		},
		"deadline": {
			reason: reasonTimeout, header: []string{testWait, "300"},
			during: func(*fixture) { time.Sleep(340 * time.Millisecond) },
		},
		"server with too many bytes": {
			reason: reasonNoServer,
			before: func(f *fixture) {
				m := f.gateways[0].memory
				m.update(func() { m.servers.Start("b", membudget.ID(1<<40), membudget.MaxServerBytes) })
				addKnown(f, "b", "plain", ok)
				fill(f, "b")
			},
			during: func(f *fixture) { empty(f, "b") },
		},
		"crashes servers": {
			reason: reasonCrashesServers,
			before: func(f *fixture) {
				addKnown(f, "b", "plain", ok)
				fill(f, "b")
			},
			during: func(f *fixture) {
				empty(f, "b")
				for _, path := range []string{"/read/x", "/order/x"} {
					blameSubject(f, path, strings.Repeat("x", 1000), "c1", "c2", "c3", "c4")
				}
			},
		},
	}
}

// laterRefusalsOfCopiesAndVersions returns those that copies of the request cause, or the version that its stream needs.
func laterRefusalsOfCopiesAndVersions() map[string]laterRefusal {
	return map[string]laterRefusal{
		"another copy runs": {
			reason: reasonCrashesServers,
			before: func(f *fixture) {
				addKnown(f, "b", "plain", ok)
				fill(f, "b")
			},
			during: func(f *fixture) {
				empty(f, "b")
				for _, path := range []string{"/read/x", "/order/x"} {
					holdProbe(f, path, strings.Repeat("x", 1000))
				}
			},
			reached: func(g *Gateway) bool { return g.metrics.probesDenied.Get() > 1 },
		},
		"version is gone": {
			reason: reasonNoSoftware, path: "/resume/x", oncePath: "/single/x", model: "warm", software: "v1",
			header: []string{testModel, "warm", testLast, "2", testResumes, "s"}, adapt: addSingleAttempts,
			before: func(f *fixture) {
				f.softwareBackend("b", "llm", "v2", ok, "warm")
				testutil.WaitFor(f.t, func() bool { return f.knows(f.gateways[0], "b") })
				beginAtSoftware(f, "v1")
			},
			during: func(f *fixture) {
				f.store.RemoveServer("a")
				testutil.WaitFor(f.t, func() bool { return f.gateways[0].serverAddress("a") == "" })
			},
		},
	}
}

// empty takes back what fill did.
func empty(f *fixture, id string) {
	g := f.gateways[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	for range 20 {
		g.servers.RequestEnded(boottime.Now(), id, "", 0)
	}
}

func withoutKey(m *manifest.Manifest) {
	m.AddKey(manifest.DigestOf("secret"), nil)
	m.AddKey(manifest.DigestOf("another"), m.Accounts["account"])
}

func disjointRegions(m *manifest.Manifest) {
	m.Accounts["account"].AllowedRegions = "north"
	for _, path := range []string{"/read/", "/order/", "/resume/", "/stream/"} {
		m.Match(testHost, path).AllowedRegions = "south"
	}
}

// Guards against a refusal that promises that a request did not run, after an attempt that ran it.
func TestRefusalAfterARunPromisesNothing(t *testing.T) {
	for name, l := range laterRefusals() {
		for kind, path := range l.paths() {
			for _, end := range []firstEnd{endRejected, endRan} {
				t.Run(name+"/"+kind+"/"+string(end), func(t *testing.T) {
					t.Parallel()
					playLaterRefusal(t, l, kind, path, end)
				})
			}
		}
	}
}

// Guards against a refusal that promises that a request did not run, since after an attempt that ran it another copy is on probation, or
// no server has the version of its stream.
func TestRefusalForACopyOrAVersionAfterARunPromisesNothing(t *testing.T) {
	for name, l := range laterRefusalsOfCopiesAndVersions() {
		for kind, path := range l.paths() {
			for _, end := range []firstEnd{endRejected, endRan} {
				t.Run(name+"/"+kind+"/"+string(end), func(t *testing.T) { playLaterRefusal(t, l, kind, path, end) })
			}
		}
	}
}

func playLaterRefusal(t *testing.T, l laterRefusal, kind, path string, end firstEnd) {
	m := config(1)
	if l.adapt != nil {
		l.adapt(m)
	}
	f := newFixture(t, m)
	f.memory = 64 * mb
	f.backend("other", "none", ok)
	url := f.start()
	runs := newRunCounts()
	if l.before != nil {
		l.before(f)
	}
	l.startFirst(f, runs, end)
	got := f.ask(http.MethodPost, url+path, append([]string{testID, subjectID}, l.header...)...)
	runs.check(t, subjectID, got.status, map[string]int{"repeatable": 2, "once": 1}[kind])
	if end == endRan {
		if runs.of(subjectID) == 0 {
			t.Errorf("not run, so the test proves nothing: %+v", got)
		}
		t.Logf("after a run: %d %s", got.status, got.body)
		return
	}
	want := l.status
	if want == 0 {
		want = http.StatusServiceUnavailable
	}
	if got.status != want || !strings.Contains(got.body, `"`+string(l.reason)+`"`) {
		t.Errorf("after a rejection: %d %s, want %d %s", got.status, got.body, want, l.reason)
	}
	if l.reached != nil && !l.reached(f.gateways[0]) {
		t.Error("refused elsewhere, so the test proves nothing")
	}
}
