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

// members stands for the instance list; only Backend is asked by an Owner.
type members struct{ process.Members }

func (members) Backend(id.Backend) (event.Member, bool) { return event.Member{}, true }

// fleet is a settable list of replicas.
type fleet struct {
	replicas []Replica
	load     time.Duration
}

func (f *fleet) Snapshot(id.Artifact) []Replica     { return slices.Clone(f.replicas) }
func (f *fleet) Servers(id.Service) []Replica       { return slices.Clone(f.replicas) }
func (f *fleet) Estimate(id.Artifact) time.Duration { return f.load }

func loaded(b id.Backend, concurrency int) Replica {
	return Replica{Backend: b, Address: string(b) + ":1", State: Loaded, Concurrency: concurrency}
}

// bench drives one Owner in virtual time and notes what it answers.
type bench struct {
	o     *Owner
	fleet *fleet
	now   clock.Time
	out   event.Outbox
}

func newBench(set Settings, rs ...Replica) *bench {
	b := &bench{fleet: &fleet{replicas: rs}, now: clock.Time(time.Hour)}
	b.o = New(set, members{}, b.fleet, &invariant.Checker{})
	return b
}

// said returns the answers since the last call, without repeats of "wait".
func (b *bench) said() string {
	var s []string
	for _, e := range b.out.Take() {
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

func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); ; {
		next := b.o.Next()
		if next > end {
			b.now = end
			return
		}
		b.now = max(next, b.now)
		b.o.Tick(b.now, &b.out)
	}
}

func (b *bench) ask(r id.Request, change ...func(*message.TurnRequest)) {
	m := message.TurnRequest{
		Request: r, Artifact: "m", Account: "a", Class: config.Interactive,
		TimeToDeadline: 10 * time.Second, Tokens: 100, Turn: 1,
	}
	for _, f := range change {
		f(&m)
	}
	b.o.Ask(b.now, "entry", m, &b.out)
}

func (b *bench) done(r id.Request, change ...func(*message.TurnRelease)) {
	m := message.TurnRelease{Request: r, Turn: 1, ServiceTime: time.Second}
	for _, f := range change {
		f(&m)
	}
	b.o.Done(b.now, "entry", m, &b.out)
}

func batch(m *message.TurnRequest)  { m.Class = config.Batch; m.TimeToDeadline = time.Hour }
func urgent(m *message.TurnRequest) { m.Class = config.Urgent }
func alone(m *message.TurnRequest)  { m.Alone, m.Digest = true, "d" }
func broken(m *message.TurnRelease) {
	m.ServerFailed = true
}
func of(a id.Account) func(*message.TurnRequest) {
	return func(m *message.TurnRequest) { m.Account = a }
}
func within(d time.Duration) func(*message.TurnRequest) {
	return func(m *message.TurnRequest) { m.TimeToDeadline = d }
}
func avoid(bs ...id.Backend) func(*message.TurnRequest) {
	return func(m *message.TurnRequest) { m.Avoid = bs }
}

// The caller sees each request served once, or refused with a true reason; the
// order of events is the steps of each case, and why the owner answers as it
// does is the case's name.
func TestOwner(t *testing.T) {
	for _, c := range []struct {
		name     string
		set      Settings
		replicas []Replica
		steps    func(b *bench)
		want     string
	}{
		{
			"a repeated ask gets the same grant again, a full server keeps the next one waiting",
			Settings{}, []Replica{loaded("b1", 1)},
			func(b *bench) { b.ask("r1"); b.ask("r1"); b.ask("r2"); b.done("r1"); b.done("r1") },
			"r1@b1 r1@b1 r2.. r2@b1",
		},
		{
			"a late ask of an older turn changes nothing, a newer turn voids the older one",
			Settings{}, []Replica{loaded("b1", 1)},
			func(b *bench) {
				b.ask("r1")
				b.ask("r1", func(m *message.TurnRequest) { m.Turn = 2 })
				b.ask("r1")
				b.done("r1")
				b.ask("r2")
			},
			"r1@b1 r1@b1 r2..",
		},
		{
			"classes go in order, whatever the order of arrival",
			Settings{}, []Replica{loaded("b1", 1)},
			func(b *bench) {
				b.ask("r0")
				b.ask("r1", batch)
				b.ask("r2")
				b.ask("r3", urgent)
				b.done("r0")
				b.done("r3")
				b.done("r2")
			},
			"r0@b1 r1.. r2.. r3.. r3@b1 r2@b1 r1@b1",
		},
		{
			"batch that was passed over for its bound goes before interactive",
			Settings{BatchBound: time.Second, StaleAfter: time.Minute}, []Replica{loaded("b1", 1)},
			func(b *bench) {
				b.ask("r0")
				b.ask("r1", batch)
				b.ask("r2")
				b.pass(1100 * time.Millisecond)
				b.done("r0")
			},
			"r0@b1 r1.. r2.. r1@b1",
		},
		{
			"a load longer than the deadline is refused at once, one within it is waited for",
			Settings{}, []Replica{{Backend: "b1", State: Cold, Concurrency: 1}},
			func(b *bench) {
				b.fleet.load = 5 * time.Second
				b.ask("r1", within(4*time.Second))
				b.ask("r2", within(6*time.Second))
			},
			"r1!deadline r2..",
		},
		{
			"a request that another zone could not serve has nothing loaded for it",
			Settings{}, []Replica{{Backend: "b1", State: Cold, Concurrency: 1}},
			func(b *bench) {
				b.ask("r1", func(m *message.TurnRequest) { m.Spillover = true })
				if ds := b.o.Demands(b.now); len(ds) > 0 {
					b.out.Send("", message.TurnQueued{Request: "demand"})
				}
			},
			"r1!deadline",
		},
		{
			"what waits is refused once its load turns out too slow, before its deadline",
			Settings{}, []Replica{{Backend: "b1", State: Loading, Concurrency: 1, ReadyIn: time.Second}},
			func(b *bench) {
				b.ask("r1", within(2*time.Second))
				b.fleet.replicas[0].ReadyIn = time.Minute
				b.pass(100 * time.Millisecond)
			},
			"r1.. r1!deadline",
		},
		{
			"without any server, or with none it may use, it is told so",
			Settings{}, []Replica{loaded("b1", 1)},
			func(b *bench) {
				b.ask("r1", avoid("b1"))
				b.fleet.replicas[0].Down = true
				b.ask("r2")
			},
			"r1!no-backend r2!no-backend",
		},
		{
			"a request that avoids a server waits for the other, and holds nobody up",
			Settings{}, []Replica{loaded("b1", 2), loaded("b2", 1)},
			func(b *bench) {
				b.ask("r1", avoid("b1"))
				b.ask("r2", avoid("b1"))
				b.ask("r3")
				b.done("r1")
			},
			"r1@b2 r2.. r3@b1 r2@b2",
		},
		{
			"a suspect waits for an empty server, and nothing joins it there",
			Settings{}, []Replica{loaded("b1", 2)},
			func(b *bench) {
				b.ask("r1")
				b.ask("r2", alone)
				b.ask("r3")
				b.done("r1")
				b.ask("r4")
				b.done("r2")
			},
			"r1@b1 r2.. r3.. r2@b1 r4.. r3@b1 r4@b1",
		},
		{
			"two suspects of one digest run one after the other, with a gap after a crash",
			Settings{BrokenHold: time.Millisecond}, []Replica{loaded("b1", 2), loaded("b2", 2)},
			func(b *bench) {
				b.ask("r1", alone)
				b.ask("r2", alone)
				b.done("r1", broken)
				b.pass(900 * time.Millisecond)
				b.out.Send("", message.TurnQueued{Request: "gap"})
				b.pass(200 * time.Millisecond)
			},
			"r1@b1 r2.. gap.. r2@b1",
		},
		{
			"a server that refused new work as leaving gets none, even if the list is older",
			Settings{}, []Replica{loaded("b1", 1), loaded("b2", 1)},
			func(b *bench) {
				b.ask("r1")
				b.done("r1", func(m *message.TurnRelease) { m.ServerLeaving = true })
				b.ask("r2")
				b.ask("r3")
			},
			"r1@b1 r2@b2 r3..",
		},
		{
			"requests counted in an old report are not counted beside our own turns",
			Settings{}, []Replica{loaded("b1", 2)},
			func(b *bench) {
				b.ask("r1")
				b.fleet.replicas[0].Running, b.fleet.replicas[0].Reported = 1, b.now
				b.pass(time.Millisecond)
				b.ask("r2")
				b.done("r1")
				b.ask("r3")
				b.ask("r4")
			},
			"r1@b1 r2@b1 r3@b1 r4..",
		},
		{
			"a full queue refuses the newest request of the account that fills it",
			Settings{MaxWaiting: 2}, []Replica{loaded("b1", 1)},
			func(b *bench) { b.ask("r0"); b.ask("r1"); b.ask("r2"); b.ask("r3", of("b")); b.ask("r4") },
			"r0@b1 r1.. r2.. r2!queue-full r3.. r4!queue-full",
		},
		{
			"a lost instance's turns come free; on a planned stop the rest asks elsewhere",
			Settings{}, []Replica{loaded("b1", 1)},
			func(b *bench) {
				b.ask("r1")
				b.o.Ask(b.now, "other", message.TurnRequest{Request: "r2", Artifact: "m", TimeToDeadline: time.Second}, &b.out)
				b.o.Lost(b.now, "entry", &b.out)
				b.ask("r3")
				b.o.Drain(b.now, &b.out)
				b.ask("r4")
			},
			"r1@b1 r2.. r2@b1 r3.. r3!moved r4!moved",
		},
		{
			"what its entry asks for no more is dropped, a turn in use is asked about",
			Settings{}, []Replica{loaded("b1", 1)},
			func(b *bench) {
				b.ask("r1")
				b.ask("r2")
				b.pass(3 * time.Second)
				b.done("r1")
				b.ask("r3")
			},
			"r1@b1 r2.. r1@b1 r3@b1",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(c.set, c.replicas...)
			c.steps(b)
			if got := b.said(); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

// Sixty-four entries ask for one cold model at the same moment: placement sees
// one demand. One that was refused because the load is too slow is still seen,
// as its caller was told to come back when the load would be done.
func TestDemands(t *testing.T) {
	b := newBench(Settings{}, Replica{Backend: "b1", State: Cold, Concurrency: 1})
	for i := range 64 {
		b.ask(id.Request(fmt.Sprint("r", i)), within(time.Minute))
	}
	got := b.o.Demands(b.now)
	want := Demand{Artifact: "m", Class: config.Interactive, Within: time.Minute, Waiting: 64}
	if len(got) != 1 || got[0] != want {
		t.Errorf("got %v, want %v once", got, want)
	}
	b.fleet.load = time.Hour
	b.ask("late", within(time.Second), func(m *message.TurnRequest) { m.Artifact = "n" })
	if got := b.o.Demands(b.now); len(got) != 2 || got[1].Artifact != "n" || got[1].Waiting != 1 {
		t.Errorf("got %v, want n among them", got)
	}
}

// Each safeguard off: the check that watches it must fire.
func TestChecksFire(t *testing.T) {
	for want, run := range map[string]func(b *bench){
		"queue-concurrency": func(b *bench) {
			b.o.hooks.ignoreConcurrency = true
			b.ask("r1")
			b.ask("r2")
		},
		"queue-deadline": func(b *bench) {
			b.o.hooks.ignoreDeadline = true
			b.ask("r1")
			b.ask("r2", within(time.Second))
			b.now = b.now.Add(time.Second)
			b.done("r1")
		},
		"queue-one-turn": func(b *bench) {
			b.ask("r1")
			e := b.o.entries["r1"]
			b.o.grant(b.now, e, &b.o.loaded(b.now, e.queue)[0], &b.out)
		},
		"queue-alone": func(b *bench) {
			b.o.hooks.ignoreAlone = true
			b.fleet.replicas[0].Concurrency = 2
			b.ask("r1")
			b.ask("r2", alone)
		},
		"queue-batch-bound": func(b *bench) {
			b.o.hooks.ignoreBatchBound = true
			b.ask("r0")
			b.ask("r1", batch)
			b.now = b.now.Add(DefaultBatchBound)
			b.o.entries["r1"].heard = b.now
			b.ask("r2")
			b.done("r0")
		},
	} {
		t.Run(want, func(t *testing.T) {
			defer func() {
				if v, ok := recover().(invariant.Violation); !ok || v.Name != want {
					t.Errorf("got %v, want a violation of %s", v, want)
				}
			}()
			run(newBench(Settings{}, loaded("b1", 1)))
		})
	}
}

// An account keeps within its rate, half of what the server carries, while
// another sends ten times that. Without fair queueing the first one's callers
// would see their requests refused for the other's line.
func TestFairness(t *testing.T) {
	aloneServed := serve(t, false)
	beside := serve(t, true)
	t.Logf("served alone %d, beside a tenfold sender %d: %.3f", aloneServed, beside, float64(beside)/float64(aloneServed))
	if float64(beside) < 0.95*float64(aloneServed) {
		t.Errorf("served %d beside a tenfold sender, %d alone", beside, aloneServed)
	}
}

// serve returns how many requests of "a" are granted in a minute, of 20 a
// second at a server that carries 40.
func serve(t *testing.T, flood bool) int {
	const every, service = 50 * time.Millisecond, 100 * time.Millisecond
	b := newBench(Settings{}, loaded("b1", 4))
	ends := make(map[id.Request]clock.Time)
	served := 0
	for i := range 20 * 60 {
		b.ask(id.Request(fmt.Sprint("a", i)), within(time.Second), of("a"))
		for j := 0; flood && j < 10; j++ {
			b.ask(id.Request(fmt.Sprint("b", i, "/", j)), within(time.Second), of("b"))
		}
		for end := b.now.Add(every); b.now < end; b.pass(5 * time.Millisecond) {
			b.finish(ends, service)
			served += b.grants(ends, service)
		}
	}
	a := b.o.Accuracy()
	t.Logf("flood %t: turns late by %d ms in the median, %d at p99; early by %d and %d; given up %d", flood,
		a.Late.ValueAtQuantile(50), a.Late.ValueAtQuantile(99),
		a.Early.ValueAtQuantile(50), a.Early.ValueAtQuantile(99), a.GivenUp)
	return served
}

// grants notes when the turns granted now end, and counts those of "a".
func (b *bench) grants(ends map[id.Request]clock.Time, service time.Duration) int {
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

func (b *bench) finish(ends map[id.Request]clock.Time, service time.Duration) {
	var over []id.Request
	for r, at := range ends {
		if b.now.Reached(at) && at != clock.Never {
			over = append(over, r)
			ends[r] = clock.Never
		}
	}
	slices.Sort(over)
	for _, r := range over {
		b.done(r, func(m *message.TurnRelease) { m.ServiceTime = service })
	}
}

func BenchmarkAskGrantDone(bm *testing.B) {
	rs := make([]Replica, 9)
	for i := range rs {
		rs[i] = loaded(id.Backend(fmt.Sprint("b", i)), 8)
	}
	b := newBench(Settings{}, rs...)
	bm.ReportAllocs()
	for i := range bm.N {
		b.ask("r", func(m *message.TurnRequest) { m.PrefixHash = uint64(i + 1) })
		b.done("r")
		b.out.Take()
	}
}
