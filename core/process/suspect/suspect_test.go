package suspect

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process"
)

type testMembers struct {
	process.Members
	self id.Instance
	all  []id.Instance
}

func (p testMembers) Self() id.Instance   { return p.self }
func (p testMembers) Live() []id.Instance { return p.all }

func newRegistry(set Settings) *Registry {
	return New(set, testMembers{self: "i0", all: []id.Instance{"i0", "i1"}}, &invariant.Checker{})
}

const startTime = clock.Time(time.Hour)

// A request was running when a server crashed, and the caller repeats it. Each
// step is an observation that reaches the instance; want is how the request may
// run afterwards.
func TestRegistry(t *testing.T) {
	seen := func(crash id.Attempt, alone bool) func(*Registry, clock.Time) {
		return func(r *Registry, now clock.Time) {
			r.HandleMessage(now, "i1", message.SuspectSeen{Digest: "d", Crash: crash, Alone: alone})
		}
	}
	cleared := func(r *Registry, now clock.Time) { r.HandleMessage(now, "i1", message.SuspectCleared{Digest: "d"}) }
	type step struct {
		after time.Duration
		do    func(*Registry, clock.Time)
		want  Mode
	}
	for name, steps := range map[string][]step{
		"suspect, then cleared":                  {{0, seen("t1", false), Alone}, {0, cleared, Unrestricted}},
		"duplicate observation after clearing":   {{0, seen("t1", false), Alone}, {0, cleared, Unrestricted}, {0, seen("t1", false), Unrestricted}},
		"second crash beside others":             {{0, seen("t1", false), Alone}, {0, seen("t2", false), Alone}},
		"second crash while alone":               {{0, seen("t1", false), Alone}, {0, seen("t2", true), Refuse}},
		"cleared late by a run before the crash": {{0, seen("t2", true), Refuse}, {0, cleared, Refuse}},
		"suspect expires":                        {{0, seen("t1", false), Alone}, {DefaultSuspectTTL, nil, Unrestricted}},
		"suspect after the end of a refusal":     {{0, seen("t2", true), Refuse}, {DefaultRefusalPeriod, nil, Alone}, {DefaultSuspectTTL, nil, Unrestricted}},
		"refusal doubles with each crash": {
			{0, seen("t2", true), Refuse}, {DefaultRefusalPeriod, seen("t3", true), Refuse}, {DefaultRefusalPeriod, nil, Refuse}, {DefaultRefusalPeriod, nil, Alone},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, now := newRegistry(Settings{}), startTime
			for i, s := range steps {
				now = now.Add(s.after)
				r.Tick(now, &event.Outbox{})
				if s.do != nil {
					s.do(r, now)
				}
				if got := r.Check(now, "d").Mode; got != s.want {
					t.Errorf("step %d: got %d, want %d", i, got, s.want)
				}
			}
		})
	}
}

// With more suspects than MaxRecords the oldest are dropped, so that the memory
// stays bounded.
func TestMemoryIsBounded(t *testing.T) {
	r := newRegistry(Settings{MaxRecords: 10})
	for i := range 100 {
		r.RecordCrash(startTime+clock.Time(i), id.Attempt(fmt.Sprint(i)), "b", []InFlight{{Digest: id.Digest(fmt.Sprint(i))}}, &event.Outbox{})
	}
	if r.Len() != 10 || len(r.seenObservations) != 10 || len(r.resends) > 10 {
		t.Errorf("kept %d suspects, %d observations, %d resends", r.Len(), len(r.seenObservations), len(r.resends))
	}
	if r.Check(startTime+99, "99").Mode != Alone {
		t.Error("the latest suspect was dropped")
	}
}

// With a safeguard disabled, the invariant that it protects must be reported.
func TestInvariantViolationsAreDetected(t *testing.T) {
	for want, off := range map[string]func(*testHooks){
		"suspect-second-crash": func(h *testHooks) { h.ignoreAlone = true },
		"suspect-memory":       func(h *testHooks) { h.skipEviction = true },
	} {
		t.Run(want, func(t *testing.T) {
			defer func() {
				if v, ok := recover().(invariant.Violation); !ok || v.Name != want {
					t.Errorf("got %v, want a violation of %s", v, want)
				}
			}()
			r := newRegistry(Settings{MaxRecords: 1})
			off(&r.hooks)
			r.RecordCrash(startTime, "t1", "b", []InFlight{{Digest: "d"}, {Digest: "e"}}, &event.Outbox{})
			r.RecordCrash(startTime, "t2", "b", []InFlight{{Digest: "d", Alone: true}}, &event.Outbox{})
		})
	}
}

// simulateAttack sends copies of one request that crashes its server: first one
// through each instance, then one every 200 ms through a random instance for the
// given duration. Each zone runs one copy of a suspect at a time, as its queue
// owner does. It returns the crashes of copies that ran as ordinary requests and
// of those that ran alone as suspects.
func simulateAttack(seed uint64, instances, zones int, duration time.Duration, loss float64) (unrestricted, alone int) {
	const runTime, maxDelay, pause = 500 * time.Millisecond, 100 * time.Millisecond, time.Second
	rng := rand.New(rand.NewPCG(seed, 2))
	type task struct {
		at  clock.Time
		run func()
	}
	var tasks []task
	now := startTime
	after := func(d time.Duration, run func()) {
		t := task{now.Add(d), run}
		i, _ := slices.BinarySearchFunc(tasks, t.at, func(x task, at clock.Time) int { return cmp.Or(cmp.Compare(x.at, at), -1) })
		tasks = slices.Insert(tasks, i, t)
	}
	var all []id.Instance
	for i := range instances {
		all = append(all, id.Instance(fmt.Sprint("i", i)))
	}
	registries := make([]*Registry, instances)
	for i := range registries {
		registries[i] = New(Settings{}, testMembers{self: all[i], all: all}, &invariant.Checker{})
	}
	deliver := func(out *event.Outbox) {
		for _, e := range out.Take() {
			p := e.(event.SendPeer)
			if rng.Float64() >= loss {
				after(time.Duration(rng.Int64N(int64(maxDelay))), func() { registries[slices.Index(all, p.To)].HandleMessage(now, "", p.Message) })
			}
		}
	}
	busyUntil := make([]clock.Time, zones)
	attempts := 0
	send := func(i int) {
		mode := registries[i].Check(now, "d").Mode
		zone := i % zones
		if mode == Refuse || (mode == Alone && now.Before(busyUntil[zone])) {
			return
		}
		if mode == Alone {
			busyUntil[zone] = now.Add(runTime + pause)
		}
		attempts++
		attempt := id.Attempt(fmt.Sprint(attempts))
		after(runTime, func() {
			if mode == Alone {
				alone++
			} else {
				unrestricted++
			}
			var out event.Outbox
			registries[i].RecordCrash(now, attempt, "b", []InFlight{{Digest: "d", Alone: mode == Alone}}, &out)
			deliver(&out)
		})
	}
	for i := range instances {
		send(i)
	}
	for d := 200 * time.Millisecond; d < duration; d += 200 * time.Millisecond {
		after(d, func() {
			for _, r := range registries {
				var out event.Outbox
				r.Tick(now, &out)
				deliver(&out)
			}
			send(rng.IntN(instances))
		})
	}
	for len(tasks) > 0 {
		t := tasks[0]
		tasks = tasks[1:]
		now = t.at
		t.run()
	}
	return unrestricted, alone
}

// One request causes at most the crashes stated in docs/design/crash-suspects.md:
// those of the copies in flight until the first crash is known everywhere, then
// one crash per zone for each refusal, whose length doubles. Lost messages are
// sent again, so that loss adds at most the copies sent in the meantime.
func TestCrashesAreBounded(t *testing.T) {
	const instances, zones = 9, 3
	var most [4]int
	recordMax := func(i, n int) { most[i] = max(most[i], n) }
	for seed := range uint64(30) {
		// Copies start every 200 ms during the 500 ms until the first crash and
		// the 100 ms until it is known.
		unrestricted, alone := simulateAttack(seed, instances, zones, time.Hour, 0)
		if unrestricted > instances+3 || alone > 3*zones {
			t.Errorf("seed %d: %d crashes of ordinary requests, %d of suspects", seed, unrestricted, alone)
		}
		lossUnrestricted, lossAlone := simulateAttack(seed, instances, zones, time.Hour, 0.3)
		recordMax(0, unrestricted)
		recordMax(1, alone)
		recordMax(2, lossUnrestricted)
		recordMax(3, lossAlone)
		if lossUnrestricted > 2*instances || lossAlone > 4*zones {
			t.Errorf("seed %d with loss: %d crashes of ordinary requests, %d of suspects", seed, lossUnrestricted, lossAlone)
		}
	}
	t.Logf("most crashes in an hour: %d of ordinary requests, %d of suspects; with 30%% of messages lost %d and %d",
		most[0], most[1], most[2], most[3])
}

func BenchmarkCheck(b *testing.B) {
	r := newRegistry(Settings{})
	r.RecordCrash(startTime, "t", "b", []InFlight{{Digest: RequestDigest("a", "x")}}, &event.Outbox{})
	b.ReportAllocs()
	for range b.N {
		r.Check(startTime, RequestDigest("a", "x"))
	}
}
