package queue

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process"
)

// fakeMembers is the list of instances; an Owner only calls Backend.
type fakeMembers struct{ process.Members }

func (fakeMembers) Backend(id.Backend) (event.Member, bool) { return event.Member{}, true }

// fakeReplicas is a list of replicas that tests can change.
type fakeReplicas struct {
	replicas []Replica
	loadTime time.Duration
}

func (f *fakeReplicas) ArtifactReplicas(id.Artifact) []Replica     { return slices.Clone(f.replicas) }
func (f *fakeReplicas) ServiceReplicas(id.Service) []Replica       { return slices.Clone(f.replicas) }
func (f *fakeReplicas) EstimateLoadTime(id.Artifact) time.Duration { return f.loadTime }

// loadedReplica returns a server that has the target loaded.
func loadedReplica(name id.Backend, concurrency int) Replica {
	return Replica{Backend: name, Address: string(name) + ":1", State: Loaded, Concurrency: concurrency}
}

// harness drives one Owner in virtual time and records its messages.
type harness struct {
	owner  *Owner
	source *fakeReplicas
	now    clock.Time
	out    event.Outbox
}

func newHarness(set Settings, rs ...Replica) *harness {
	h := &harness{source: &fakeReplicas{replicas: rs}, now: clock.Time(time.Hour)}
	h.owner = New(set, fakeMembers{}, h.source, &invariant.Checker{})
	return h
}

// output returns the messages since the last call: "request@server" for a grant,
// "request!reason" for a refusal and "request.." for a request that waits.
func (h *harness) output() string {
	var s []string
	for _, e := range h.out.Take() {
		switch m := e.(event.SendPeer).Message.(type) {
		case message.TurnGranted:
			s = append(s, fmt.Sprintf("%s@%s", m.Request, m.Backend))
		case message.TurnRefused:
			s = append(s, fmt.Sprintf("%s!%s", m.Request, m.Reason))
		case message.TurnQueued:
			s = append(s, fmt.Sprintf("%s..", m.Request))
		}
	}
	return strings.Join(s, " ")
}

// advance moves the time forward by d and calls Tick when it is due.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); ; {
		next := h.owner.Next()
		if next > end {
			h.now = end
			return
		}
		h.now = max(next, h.now)
		h.owner.Tick(h.now, &h.out)
	}
}

// acquire sends a request for a turn from the instance "entry".
func (h *harness) acquire(r id.Request, change ...func(*message.TurnRequest)) {
	m := message.TurnRequest{
		Request: r, Artifact: "m", Account: "a", Class: config.Interactive,
		TimeToDeadline: 10 * time.Second, Tokens: 100, Turn: 1,
	}
	for _, f := range change {
		f(&m)
	}
	h.owner.HandleAcquire(h.now, "entry", m, &h.out)
}

// release sends the end of a turn.
func (h *harness) release(r id.Request, change ...func(*message.TurnRelease)) {
	m := message.TurnRelease{Request: r, Turn: 1, ServiceTime: time.Second}
	for _, f := range change {
		f(&m)
	}
	h.owner.HandleRelease(h.now, "entry", m, &h.out)
}

func batch(m *message.TurnRequest)  { m.Class = config.Batch; m.TimeToDeadline = time.Hour }
func urgent(m *message.TurnRequest) { m.Class = config.Urgent }
func alone(m *message.TurnRequest)  { m.Alone, m.Digest = true, "d" }
func broken(m *message.TurnRelease) {
	m.ServerFailed = true
}
func forAccount(a id.Account) func(*message.TurnRequest) {
	return func(m *message.TurnRequest) { m.Account = a }
}
func within(d time.Duration) func(*message.TurnRequest) {
	return func(m *message.TurnRequest) { m.TimeToDeadline = d }
}
func avoid(bs ...id.Backend) func(*message.TurnRequest) {
	return func(m *message.TurnRequest) { m.Avoid = bs }
}

// Each request is served once, or refused with the correct reason. The messages of
// each case show the order of events.
func TestOwner(t *testing.T) {
	for _, c := range []struct {
		name     string
		set      Settings
		replicas []Replica
		steps    func(h *harness)
		want     string
	}{
		{
			"a repeated request gets the same grant again, and the next one waits while the server is full",
			Settings{}, []Replica{loadedReplica("b1", 1)},
			func(h *harness) { h.acquire("r1"); h.acquire("r1"); h.acquire("r2"); h.release("r1"); h.release("r1") },
			"r1@b1 r1@b1 r2.. r2@b1",
		},
		{
			"a late message for an older turn has no effect, and a newer turn replaces the older one",
			Settings{}, []Replica{loadedReplica("b1", 1)},
			func(h *harness) {
				h.acquire("r1")
				h.acquire("r1", func(m *message.TurnRequest) { m.Turn = 2 })
				h.acquire("r1")
				h.release("r1")
				h.acquire("r2")
			},
			"r1@b1 r1@b1 r2..",
		},
		{
			"classes are served in order of urgency, regardless of the order of arrival",
			Settings{}, []Replica{loadedReplica("b1", 1)},
			func(h *harness) {
				h.acquire("r0")
				h.acquire("r1", batch)
				h.acquire("r2")
				h.acquire("r3", urgent)
				h.release("r0")
				h.release("r3")
				h.release("r2")
			},
			"r0@b1 r1.. r2.. r3.. r3@b1 r2@b1 r1@b1",
		},
		{
			"a batch request that waited for MaxBatchDelay is served before interactive ones",
			Settings{MaxBatchDelay: time.Second, StaleAfter: time.Minute}, []Replica{loadedReplica("b1", 1)},
			func(h *harness) {
				h.acquire("r0")
				h.acquire("r1", batch)
				h.acquire("r2")
				h.advance(1100 * time.Millisecond)
				h.release("r0")
			},
			"r0@b1 r1.. r2.. r1@b1",
		},
		{
			"a request is refused at once if loading takes longer than its deadline, otherwise it waits",
			Settings{}, []Replica{{Backend: "b1", State: Cold, Concurrency: 1}},
			func(h *harness) {
				h.source.loadTime = 5 * time.Second
				h.acquire("r1", within(4*time.Second))
				h.acquire("r2", within(6*time.Second))
			},
			"r1!deadline r2..",
		},
		{
			"a request that another zone could not serve does not cause loading",
			Settings{}, []Replica{{Backend: "b1", State: Cold, Concurrency: 1}},
			func(h *harness) {
				h.acquire("r1", func(m *message.TurnRequest) { m.Spillover = true })
				if ds := h.owner.Demands(h.now); len(ds) > 0 {
					h.out.Send("", message.TurnQueued{Request: "demand"})
				}
			},
			"r1!deadline",
		},
		{
			"a waiting request is refused before its deadline when loading becomes too slow",
			Settings{}, []Replica{{Backend: "b1", State: Loading, Concurrency: 1, ReadyIn: time.Second}},
			func(h *harness) {
				h.acquire("r1", within(2*time.Second))
				h.source.replicas[0].ReadyIn = time.Minute
				h.advance(100 * time.Millisecond)
			},
			"r1.. r1!deadline",
		},
		{
			"a request is refused if there is no server, or none that it may use",
			Settings{}, []Replica{loadedReplica("b1", 1)},
			func(h *harness) {
				h.acquire("r1", avoid("b1"))
				h.source.replicas[0].Down = true
				h.acquire("r2")
			},
			"r1!no-backend r2!no-backend",
		},
		{
			"a request that avoids a server waits for the other one without blocking later requests",
			Settings{}, []Replica{loadedReplica("b1", 2), loadedReplica("b2", 1)},
			func(h *harness) {
				h.acquire("r1", avoid("b1"))
				h.acquire("r2", avoid("b1"))
				h.acquire("r3")
				h.release("r1")
			},
			"r1@b2 r2.. r3@b1 r2@b2",
		},
		{
			"a suspect waits for an idle server, and nothing else runs beside it",
			Settings{}, []Replica{loadedReplica("b1", 2)},
			func(h *harness) {
				h.acquire("r1")
				h.acquire("r2", alone)
				h.acquire("r3")
				h.release("r1")
				h.acquire("r4")
				h.release("r2")
			},
			"r1@b1 r2.. r3.. r2@b1 r4.. r3@b1 r4@b1",
		},
		{
			"two suspects of one digest run one after the other, with a delay after a crash",
			Settings{FailureBackoff: time.Millisecond}, []Replica{loadedReplica("b1", 2), loadedReplica("b2", 2)},
			func(h *harness) {
				h.acquire("r1", alone)
				h.acquire("r2", alone)
				h.release("r1", broken)
				h.advance(900 * time.Millisecond)
				h.out.Send("", message.TurnQueued{Request: "gap"})
				h.advance(200 * time.Millisecond)
			},
			"r1@b1 r2.. gap.. r2@b1",
		},
		{
			"a server that refused a request because it is leaving gets no more, even if the server list is older",
			Settings{}, []Replica{loadedReplica("b1", 1), loadedReplica("b2", 1)},
			func(h *harness) {
				h.acquire("r1")
				h.release("r1", func(m *message.TurnRelease) { m.ServerLeaving = true })
				h.acquire("r2")
				h.acquire("r3")
			},
			"r1@b1 r2@b2 r3..",
		},
		{
			"requests in an old report are not counted in addition to the owner's turns",
			Settings{}, []Replica{loadedReplica("b1", 2)},
			func(h *harness) {
				h.acquire("r1")
				h.source.replicas[0].Running, h.source.replicas[0].ReportedAt = 1, h.now
				h.advance(time.Millisecond)
				h.acquire("r2")
				h.release("r1")
				h.acquire("r3")
				h.acquire("r4")
			},
			"r1@b1 r2@b1 r3@b1 r4..",
		},
		{
			"a full queue refuses the newest request of the account with the largest share",
			Settings{MaxQueueLength: 2}, []Replica{loadedReplica("b1", 1)},
			func(h *harness) {
				h.acquire("r0")
				h.acquire("r1")
				h.acquire("r2")
				h.acquire("r3", forAccount("b"))
				h.acquire("r4")
			},
			"r0@b1 r1.. r2.. r2!queue-full r3.. r4!queue-full",
		},
		{
			"the turns of a lost instance are released, and a stopping owner refuses all requests as moved",
			Settings{}, []Replica{loadedReplica("b1", 1)},
			func(h *harness) {
				h.acquire("r1")
				h.owner.HandleAcquire(h.now, "other", message.TurnRequest{Request: "r2", Artifact: "m", TimeToDeadline: time.Second}, &h.out)
				h.owner.RemoveInstance(h.now, "entry", &h.out)
				h.acquire("r3")
				h.owner.Drain(h.now, &h.out)
				h.acquire("r4")
			},
			"r1@b1 r2.. r2@b1 r3.. r3!moved r4!moved",
		},
		{
			"a request is dropped when its requester stops asking for it, and a grant in use is sent again",
			Settings{}, []Replica{loadedReplica("b1", 1)},
			func(h *harness) {
				h.acquire("r1")
				h.acquire("r2")
				h.advance(3 * time.Second)
				h.release("r1")
				h.acquire("r3")
			},
			"r1@b1 r2.. r1@b1 r3@b1",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(c.set, c.replicas...)
			c.steps(h)
			if got := h.output(); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

// 64 requests for one model that is not loaded result in one demand. A request that
// was refused because loading takes too long still counts, because its caller was
// told to retry when the model would be loaded.
func TestDemands(t *testing.T) {
	h := newHarness(Settings{}, Replica{Backend: "b1", State: Cold, Concurrency: 1})
	for i := range 64 {
		h.acquire(id.Request(fmt.Sprint("r", i)), within(time.Minute))
	}
	got := h.owner.Demands(h.now)
	want := Demand{Artifact: "m", Class: config.Interactive, MaxWait: time.Minute, Waiting: 64}
	if len(got) != 1 || got[0] != want {
		t.Errorf("got %v, want %v once", got, want)
	}
	h.source.loadTime = time.Hour
	h.acquire("late", within(time.Second), func(m *message.TurnRequest) { m.Artifact = "n" })
	if got := h.owner.Demands(h.now); len(got) != 2 || got[1].Artifact != "n" || got[1].Waiting != 1 {
		t.Errorf("got %v, want a demand for n", got)
	}
}

// With a safeguard disabled, the invariant that watches it must be violated.
func TestInvariantViolationsAreDetected(t *testing.T) {
	for want, run := range map[string]func(h *harness){
		"queue-concurrency": func(h *harness) {
			h.owner.hooks.ignoreConcurrency = true
			h.acquire("r1")
			h.acquire("r2")
		},
		"queue-deadline": func(h *harness) {
			h.owner.hooks.ignoreDeadline = true
			h.acquire("r1")
			h.acquire("r2", within(time.Second))
			h.now = h.now.Add(time.Second)
			h.release("r1")
		},
		"queue-one-turn": func(h *harness) {
			h.acquire("r1")
			e := h.owner.requests["r1"]
			h.owner.grant(h.now, e, &h.owner.loadedServers(h.now, e.queue)[0], &h.out)
		},
		"queue-alone": func(h *harness) {
			h.owner.hooks.ignoreAlone = true
			h.source.replicas[0].Concurrency = 2
			h.acquire("r1")
			h.acquire("r2", alone)
		},
		"queue-batch-bound": func(h *harness) {
			h.owner.hooks.ignoreBatchBound = true
			h.acquire("r0")
			h.acquire("r1", batch)
			h.now = h.now.Add(DefaultMaxBatchDelay)
			h.owner.requests["r1"].lastAsked = h.now
			h.acquire("r2")
			h.release("r0")
		},
	} {
		t.Run(want, func(t *testing.T) {
			defer func() {
				if v, ok := recover().(invariant.Violation); !ok || v.Name != want {
					t.Errorf("got %v, want a violation of %s", v, want)
				}
			}()
			run(newHarness(Settings{}, loadedReplica("b1", 1)))
		})
	}
}

// An account stays within half of the server's capacity while another sends ten times
// as many requests. Without fair queueing the first account's requests would be
// refused because of the other's queue.
func TestFairness(t *testing.T) {
	servedAlone := countServed(t, false)
	servedBeside := countServed(t, true)
	t.Logf("served alone %d, beside an account with ten times the load %d: ratio %.3f", servedAlone, servedBeside, float64(servedBeside)/float64(servedAlone))
	if float64(servedBeside) < 0.95*float64(servedAlone) {
		t.Errorf("served %d beside an account with ten times the load, %d alone", servedBeside, servedAlone)
	}
}

// countServed returns how many requests of account "a" are granted in a minute, of 20
// a second at a server that can serve 40. With flood, account "b" sends ten times as
// many.
func countServed(t *testing.T, flood bool) int {
	const interval, serviceTime = 50 * time.Millisecond, 100 * time.Millisecond
	h := newHarness(Settings{}, loadedReplica("b1", 4))
	ends := make(map[id.Request]clock.Time)
	served := 0
	for i := range 20 * 60 {
		h.acquire(id.Request(fmt.Sprint("a", i)), within(time.Second), forAccount("a"))
		for j := 0; flood && j < 10; j++ {
			h.acquire(id.Request(fmt.Sprint("b", i, "/", j)), within(time.Second), forAccount("b"))
		}
		for end := h.now.Add(interval); h.now < end; h.advance(5 * time.Millisecond) {
			h.releaseFinished(ends, serviceTime)
			served += h.takeGrants(ends, serviceTime)
		}
	}
	a := h.owner.WaitAccuracy()
	t.Logf("flood %t: turns late by %d ms (median), %d ms (p99); early by %d and %d ms; refused while waiting %d", flood,
		a.Late.ValueAtQuantile(50), a.Late.ValueAtQuantile(99),
		a.Early.ValueAtQuantile(50), a.Early.ValueAtQuantile(99), a.RefusedWhileWaiting)
	return served
}

// takeGrants records when the turns granted since the last call end, and returns the
// number of those for account "a".
func (h *harness) takeGrants(ends map[id.Request]clock.Time, service time.Duration) int {
	n := 0
	for _, e := range h.out.Take() {
		g, ok := e.(event.SendPeer).Message.(message.TurnGranted)
		if !ok || ends[g.Request] != 0 {
			continue
		}
		ends[g.Request] = h.now.Add(service)
		if g.Request[0] == 'a' {
			n++
		}
	}
	return n
}

// releaseFinished releases the turns that have ended.
func (h *harness) releaseFinished(ends map[id.Request]clock.Time, service time.Duration) {
	var finished []id.Request
	for r, at := range ends {
		if h.now.Reached(at) && at != clock.Never {
			finished = append(finished, r)
			ends[r] = clock.Never
		}
	}
	slices.Sort(finished)
	for _, r := range finished {
		h.release(r, func(m *message.TurnRelease) { m.ServiceTime = service })
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	rs := make([]Replica, 9)
	for i := range rs {
		rs[i] = loadedReplica(id.Backend(fmt.Sprint("b", i)), 8)
	}
	h := newHarness(Settings{}, rs...)
	b.ReportAllocs()
	for i := range b.N {
		h.acquire("r", func(m *message.TurnRequest) { m.PrefixHash = uint64(i + 1) })
		h.release("r")
		h.out.Take()
	}
}
