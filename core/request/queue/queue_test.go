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

// fakeMembers stands for the instance list; only Backend is asked by an Owner.
type fakeMembers struct{ process.Members }

func (fakeMembers) Backend(id.Backend) (event.Member, bool) { return event.Member{}, true }

// fakeReplicas is a settable list of replicas.
type fakeReplicas struct {
	replicas []Replica
	loadTime time.Duration
}

func (f *fakeReplicas) ArtifactReplicas(id.Artifact) []Replica     { return slices.Clone(f.replicas) }
func (f *fakeReplicas) ServiceReplicas(id.Service) []Replica       { return slices.Clone(f.replicas) }
func (f *fakeReplicas) EstimateLoadTime(id.Artifact) time.Duration { return f.loadTime }

func loadedReplica(b id.Backend, concurrency int) Replica {
	return Replica{Backend: b, Address: string(b) + ":1", State: Loaded, Concurrency: concurrency}
}

// harness drives one Owner in virtual time and notes what it answers.
type harness struct {
	owner  *Owner
	source *fakeReplicas
	now    clock.Time
	out    event.Outbox
}

func newHarness(set Settings, rs ...Replica) *harness {
	b := &harness{source: &fakeReplicas{replicas: rs}, now: clock.Time(time.Hour)}
	b.owner = New(set, fakeMembers{}, b.source, &invariant.Checker{})
	return b
}

// output returns the answers since the last call, without repeats of "wait".
func (b *harness) output() string {
	var s []string
	for _, e := range b.out.Take() {
		switch m := e.(event.SendPeer).Message.(type) {
		case message.TurnGranted:
			s = append(s, fmt.Sprintf("%s@%s", m.Request, m.Backend))
		case message.TurnRefused:
			s = append(s, fmt.Sprintf("%s!%s", m.Request, m.Reason))
		case message.TurnWaiting:
			s = append(s, fmt.Sprintf("%s..", m.Request))
		}
	}
	return strings.Join(s, " ")
}

func (b *harness) advance(d time.Duration) {
	for end := b.now.Add(d); ; {
		next := b.owner.Next()
		if next > end {
			b.now = end
			return
		}
		b.now = max(next, b.now)
		b.owner.Tick(b.now, &b.out)
	}
}

func (b *harness) acquire(r id.Request, change ...func(*message.TurnAsk)) {
	m := message.TurnAsk{
		Request: r, Artifact: "m", Account: "a", Class: config.Interactive,
		Within: 10 * time.Second, Tokens: 100, Turn: 1,
	}
	for _, f := range change {
		f(&m)
	}
	b.owner.HandleAcquire(b.now, "entry", m, &b.out)
}

func (b *harness) release(r id.Request, change ...func(*message.TurnDone)) {
	m := message.TurnDone{Request: r, Turn: 1, Service: time.Second}
	for _, f := range change {
		f(&m)
	}
	b.owner.HandleRelease(b.now, "entry", m, &b.out)
}

func batch(m *message.TurnAsk)  { m.Class = config.Batch; m.Within = time.Hour }
func urgent(m *message.TurnAsk) { m.Class = config.Urgent }
func alone(m *message.TurnAsk)  { m.Alone, m.Digest = true, "d" }
func broken(m *message.TurnDone) {
	m.Broken = true
}
func forAccount(a id.Account) func(*message.TurnAsk) {
	return func(m *message.TurnAsk) { m.Account = a }
}
func within(d time.Duration) func(*message.TurnAsk) {
	return func(m *message.TurnAsk) { m.Within = d }
}
func avoid(bs ...id.Backend) func(*message.TurnAsk) {
	return func(m *message.TurnAsk) { m.Avoid = bs }
}

// The caller sees each request served once, or refused with a true reason; the
// order of events is the steps of each case, and why the owner answers as it
// does is the case's name.
func TestOwner(t *testing.T) {
	for _, c := range []struct {
		name     string
		set      Settings
		replicas []Replica
		steps    func(b *harness)
		want     string
	}{
		{
			"a repeated ask gets the same grant again, a full server keeps the next one waiting",
			Settings{}, []Replica{loadedReplica("b1", 1)},
			func(b *harness) { b.acquire("r1"); b.acquire("r1"); b.acquire("r2"); b.release("r1"); b.release("r1") },
			"r1@b1 r1@b1 r2.. r2@b1",
		},
		{
			"a late ask of an older turn changes nothing, a newer turn voids the older one",
			Settings{}, []Replica{loadedReplica("b1", 1)},
			func(b *harness) {
				b.acquire("r1")
				b.acquire("r1", func(m *message.TurnAsk) { m.Turn = 2 })
				b.acquire("r1")
				b.release("r1")
				b.acquire("r2")
			},
			"r1@b1 r1@b1 r2..",
		},
		{
			"classes go in order, whatever the order of arrival",
			Settings{}, []Replica{loadedReplica("b1", 1)},
			func(b *harness) {
				b.acquire("r0")
				b.acquire("r1", batch)
				b.acquire("r2")
				b.acquire("r3", urgent)
				b.release("r0")
				b.release("r3")
				b.release("r2")
			},
			"r0@b1 r1.. r2.. r3.. r3@b1 r2@b1 r1@b1",
		},
		{
			"batch that was passed over for its bound goes before interactive",
			Settings{MaxBatchDelay: time.Second, StaleAfter: time.Minute}, []Replica{loadedReplica("b1", 1)},
			func(b *harness) {
				b.acquire("r0")
				b.acquire("r1", batch)
				b.acquire("r2")
				b.advance(1100 * time.Millisecond)
				b.release("r0")
			},
			"r0@b1 r1.. r2.. r1@b1",
		},
		{
			"a load longer than the deadline is refused at once, one within it is waited for",
			Settings{}, []Replica{{Backend: "b1", State: Cold, Concurrency: 1}},
			func(b *harness) {
				b.source.loadTime = 5 * time.Second
				b.acquire("r1", within(4*time.Second))
				b.acquire("r2", within(6*time.Second))
			},
			"r1!deadline r2..",
		},
		{
			"a request that another zone could not serve has nothing loaded for it",
			Settings{}, []Replica{{Backend: "b1", State: Cold, Concurrency: 1}},
			func(b *harness) {
				b.acquire("r1", func(m *message.TurnAsk) { m.Spill = true })
				if ds := b.owner.Demands(b.now); len(ds) > 0 {
					b.out.Send("", message.TurnWaiting{Request: "demand"})
				}
			},
			"r1!deadline",
		},
		{
			"what waits is refused once its load turns out too slow, before its deadline",
			Settings{}, []Replica{{Backend: "b1", State: Loading, Concurrency: 1, ReadyIn: time.Second}},
			func(b *harness) {
				b.acquire("r1", within(2*time.Second))
				b.source.replicas[0].ReadyIn = time.Minute
				b.advance(100 * time.Millisecond)
			},
			"r1.. r1!deadline",
		},
		{
			"without any server, or with none it may use, it is told so",
			Settings{}, []Replica{loadedReplica("b1", 1)},
			func(b *harness) {
				b.acquire("r1", avoid("b1"))
				b.source.replicas[0].Down = true
				b.acquire("r2")
			},
			"r1!no-backend r2!no-backend",
		},
		{
			"a request that avoids a server waits for the other, and holds nobody up",
			Settings{}, []Replica{loadedReplica("b1", 2), loadedReplica("b2", 1)},
			func(b *harness) {
				b.acquire("r1", avoid("b1"))
				b.acquire("r2", avoid("b1"))
				b.acquire("r3")
				b.release("r1")
			},
			"r1@b2 r2.. r3@b1 r2@b2",
		},
		{
			"a suspect waits for an empty server, and nothing joins it there",
			Settings{}, []Replica{loadedReplica("b1", 2)},
			func(b *harness) {
				b.acquire("r1")
				b.acquire("r2", alone)
				b.acquire("r3")
				b.release("r1")
				b.acquire("r4")
				b.release("r2")
			},
			"r1@b1 r2.. r3.. r2@b1 r4.. r3@b1 r4@b1",
		},
		{
			"two suspects of one digest run one after the other, with a gap after a crash",
			Settings{FailureBackoff: time.Millisecond}, []Replica{loadedReplica("b1", 2), loadedReplica("b2", 2)},
			func(b *harness) {
				b.acquire("r1", alone)
				b.acquire("r2", alone)
				b.release("r1", broken)
				b.advance(900 * time.Millisecond)
				b.out.Send("", message.TurnWaiting{Request: "gap"})
				b.advance(200 * time.Millisecond)
			},
			"r1@b1 r2.. gap.. r2@b1",
		},
		{
			"a server that refused new work as leaving gets none, even if the list is older",
			Settings{}, []Replica{loadedReplica("b1", 1), loadedReplica("b2", 1)},
			func(b *harness) {
				b.acquire("r1")
				b.release("r1", func(m *message.TurnDone) { m.Leaving = true })
				b.acquire("r2")
				b.acquire("r3")
			},
			"r1@b1 r2@b2 r3..",
		},
		{
			"requests counted in an old report are not counted beside our own turns",
			Settings{}, []Replica{loadedReplica("b1", 2)},
			func(b *harness) {
				b.acquire("r1")
				b.source.replicas[0].Running, b.source.replicas[0].ReportedAt = 1, b.now
				b.advance(time.Millisecond)
				b.acquire("r2")
				b.release("r1")
				b.acquire("r3")
				b.acquire("r4")
			},
			"r1@b1 r2@b1 r3@b1 r4..",
		},
		{
			"a full queue refuses the newest request of the account that fills it",
			Settings{MaxQueueLength: 2}, []Replica{loadedReplica("b1", 1)},
			func(b *harness) {
				b.acquire("r0")
				b.acquire("r1")
				b.acquire("r2")
				b.acquire("r3", forAccount("b"))
				b.acquire("r4")
			},
			"r0@b1 r1.. r2.. r2!queue-full r3.. r4!queue-full",
		},
		{
			"a lost instance's turns come free; on a planned stop the rest asks elsewhere",
			Settings{}, []Replica{loadedReplica("b1", 1)},
			func(b *harness) {
				b.acquire("r1")
				b.owner.HandleAcquire(b.now, "other", message.TurnAsk{Request: "r2", Artifact: "m", Within: time.Second}, &b.out)
				b.owner.RemoveInstance(b.now, "entry", &b.out)
				b.acquire("r3")
				b.owner.Drain(b.now, &b.out)
				b.acquire("r4")
			},
			"r1@b1 r2.. r2@b1 r3.. r3!moved r4!moved",
		},
		{
			"what its entry asks for no more is dropped, a turn in use is asked about",
			Settings{}, []Replica{loadedReplica("b1", 1)},
			func(b *harness) {
				b.acquire("r1")
				b.acquire("r2")
				b.advance(3 * time.Second)
				b.release("r1")
				b.acquire("r3")
			},
			"r1@b1 r2.. r1@b1 r3@b1",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(c.set, c.replicas...)
			c.steps(b)
			if got := b.output(); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

// Sixty-four entries ask for one cold model at the same moment: placement sees
// one demand. One that was refused because the load is too slow is still seen,
// as its caller was told to come back when the load would be done.
func TestDemands(t *testing.T) {
	b := newHarness(Settings{}, Replica{Backend: "b1", State: Cold, Concurrency: 1})
	for i := range 64 {
		b.acquire(id.Request(fmt.Sprint("r", i)), within(time.Minute))
	}
	got := b.owner.Demands(b.now)
	want := Demand{Artifact: "m", Class: config.Interactive, MaxWait: time.Minute, Waiting: 64}
	if len(got) != 1 || got[0] != want {
		t.Errorf("got %v, want %v once", got, want)
	}
	b.source.loadTime = time.Hour
	b.acquire("late", within(time.Second), func(m *message.TurnAsk) { m.Artifact = "n" })
	if got := b.owner.Demands(b.now); len(got) != 2 || got[1].Artifact != "n" || got[1].Waiting != 1 {
		t.Errorf("got %v, want n among them", got)
	}
}

// Each safeguard off: the check that watches it must fire.
func TestInvariantViolationsAreDetected(t *testing.T) {
	for want, run := range map[string]func(b *harness){
		"queue-concurrency": func(b *harness) {
			b.owner.hooks.ignoreConcurrency = true
			b.acquire("r1")
			b.acquire("r2")
		},
		"queue-deadline": func(b *harness) {
			b.owner.hooks.ignoreDeadline = true
			b.acquire("r1")
			b.acquire("r2", within(time.Second))
			b.now = b.now.Add(time.Second)
			b.release("r1")
		},
		"queue-one-turn": func(b *harness) {
			b.acquire("r1")
			e := b.owner.requests["r1"]
			b.owner.grant(b.now, e, &b.owner.loadedServers(b.now, e.queue)[0], &b.out)
		},
		"queue-alone": func(b *harness) {
			b.owner.hooks.ignoreAlone = true
			b.source.replicas[0].Concurrency = 2
			b.acquire("r1")
			b.acquire("r2", alone)
		},
		"queue-batch-bound": func(b *harness) {
			b.owner.hooks.ignoreBatchBound = true
			b.acquire("r0")
			b.acquire("r1", batch)
			b.now = b.now.Add(DefaultMaxBatchDelay)
			b.owner.requests["r1"].lastAsked = b.now
			b.acquire("r2")
			b.release("r0")
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

// An account keeps within its rate, half of what the server carries, while
// another sends ten times that. Without fair queueing the first one's callers
// would see their requests refused for the other's line.
func TestFairness(t *testing.T) {
	aloneServed := countServed(t, false)
	beside := countServed(t, true)
	t.Logf("served alone %d, beside a tenfold sender %d: %.3f", aloneServed, beside, float64(beside)/float64(aloneServed))
	if float64(beside) < 0.95*float64(aloneServed) {
		t.Errorf("served %d beside a tenfold sender, %d alone", beside, aloneServed)
	}
}

// countServed returns how many requests of "a" are granted in a minute, of 20 a
// second at a server that carries 40.
func countServed(t *testing.T, flood bool) int {
	const every, service = 50 * time.Millisecond, 100 * time.Millisecond
	b := newHarness(Settings{}, loadedReplica("b1", 4))
	ends := make(map[id.Request]clock.Time)
	served := 0
	for i := range 20 * 60 {
		b.acquire(id.Request(fmt.Sprint("a", i)), within(time.Second), forAccount("a"))
		for j := 0; flood && j < 10; j++ {
			b.acquire(id.Request(fmt.Sprint("b", i, "/", j)), within(time.Second), forAccount("b"))
		}
		for end := b.now.Add(every); b.now < end; b.advance(5 * time.Millisecond) {
			b.releaseFinished(ends, service)
			served += b.takeGrants(ends, service)
		}
	}
	a := b.owner.WaitAccuracy()
	t.Logf("flood %t: turns late by %d ms in the median, %d at p99; early by %d and %d; given up %d", flood,
		a.Late.ValueAtQuantile(50), a.Late.ValueAtQuantile(99),
		a.Early.ValueAtQuantile(50), a.Early.ValueAtQuantile(99), a.RefusedWhileWaiting)
	return served
}

// takeGrants notes when the turns granted now end, and counts those of "a".
func (b *harness) takeGrants(ends map[id.Request]clock.Time, service time.Duration) int {
	n := 0
	for _, e := range b.out.Take() {
		g, ok := e.(event.SendPeer).Message.(message.TurnGranted)
		if !ok || ends[g.Request] != 0 {
			continue
		}
		ends[g.Request] = b.now.Add(service)
		if g.Request[0] == 'a' {
			n++
		}
	}
	return n
}

func (b *harness) releaseFinished(ends map[id.Request]clock.Time, service time.Duration) {
	var over []id.Request
	for r, at := range ends {
		if b.now.Reached(at) && at != clock.Never {
			over = append(over, r)
			ends[r] = clock.Never
		}
	}
	slices.Sort(over)
	for _, r := range over {
		b.release(r, func(m *message.TurnDone) { m.Service = service })
	}
}

func BenchmarkAcquireRelease(bm *testing.B) {
	rs := make([]Replica, 9)
	for i := range rs {
		rs[i] = loadedReplica(id.Backend(fmt.Sprint("b", i)), 8)
	}
	b := newHarness(Settings{}, rs...)
	bm.ReportAllocs()
	for i := range bm.N {
		b.acquire("r", func(m *message.TurnAsk) { m.Prefix = uint64(i + 1) })
		b.release("r")
		b.out.Take()
	}
}
