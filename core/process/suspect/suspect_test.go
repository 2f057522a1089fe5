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

type peers struct {
	process.Members
	self id.Instance
	all  []id.Instance
}

func (p peers) Self() id.Instance   { return p.self }
func (p peers) Live() []id.Instance { return p.all }

func newRegister(set Settings) *Registry {
	return New(set, peers{self: "i0", all: []id.Instance{"i0", "i1"}}, &invariant.Checker{})
}

const start = clock.Time(time.Hour)

// A caller's request was running when a server crashed, and the caller sends it
// again. Each step is a sign that reaches this instance; want is what the
// request may do after it.
func TestRegister(t *testing.T) {
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
		"suspected, then cleared":                {{0, seen("t1", false), Alone}, {0, cleared, Unrestricted}},
		"a doubled sign after it was cleared":    {{0, seen("t1", false), Alone}, {0, cleared, Unrestricted}, {0, seen("t1", false), Unrestricted}},
		"a second crash beside others":           {{0, seen("t1", false), Alone}, {0, seen("t2", false), Alone}},
		"a second crash while alone":             {{0, seen("t1", false), Alone}, {0, seen("t2", true), Refuse}},
		"a late word of a run before that crash": {{0, seen("t2", true), Refuse}, {0, cleared, Refuse}},
		"suspicion expires":                      {{0, seen("t1", false), Alone}, {DefaultSuspectTTL, nil, Unrestricted}},
		"a refusal ends, the suspicion stays":    {{0, seen("t2", true), Refuse}, {DefaultRefusalPeriod, nil, Alone}, {DefaultSuspectTTL, nil, Unrestricted}},
		"each further crash doubles the refusal": {
			{0, seen("t2", true), Refuse}, {DefaultRefusalPeriod, seen("t3", true), Refuse}, {DefaultRefusalPeriod, nil, Refuse}, {DefaultRefusalPeriod, nil, Alone},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, now := newRegister(Settings{}), start
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

// More requests stand beside crashes than the register keeps: the oldest are
// forgotten, and memory stays bounded.
func TestMemoryIsBounded(t *testing.T) {
	r := newRegister(Settings{MaxRecords: 10})
	for i := range 100 {
		r.RecordCrash(start+clock.Time(i), id.Attempt(fmt.Sprint(i)), "b", []InFlight{{Digest: id.Digest(fmt.Sprint(i))}}, &event.Outbox{})
	}
	if r.Len() != 10 || len(r.seen) != 10 || len(r.unsaid) > 10 {
		t.Errorf("kept %d records, %d signs, %d to say", r.Len(), len(r.seen), len(r.unsaid))
	}
	if r.Check(start+99, "99").Mode != Alone {
		t.Error("the latest suspect was forgotten")
	}
}

// Each safeguard off: the check that watches it must fire.
func TestChecksFire(t *testing.T) {
	for want, off := range map[string]func(*hooks){
		"suspect-second-crash": func(h *hooks) { h.ignoreAlone = true },
		"suspect-memory":       func(h *hooks) { h.keepAll = true },
	} {
		t.Run(want, func(t *testing.T) {
			defer func() {
				if v, ok := recover().(invariant.Violation); !ok || v.Name != want {
					t.Errorf("got %v, want a violation of %s", v, want)
				}
			}()
			r := newRegister(Settings{MaxRecords: 1})
			off(&r.hooks)
			r.RecordCrash(start, "t1", "b", []InFlight{{Digest: "d"}, {Digest: "e"}}, &event.Outbox{})
			r.RecordCrash(start, "t2", "b", []InFlight{{Digest: "d", Alone: true}}, &event.Outbox{})
		})
	}
}

// attack sends one killer request through each of the entries at once, and then
// again and again through any of them for a time. Each zone runs one suspect of
// a digest at a time, as its queue owner does. It returns the crashes until no
// copy ran that began before the first one was known, and those after.
func attack(seed uint64, entries, zones int, lasting time.Duration, loss float64) (atFirst, later int) {
	const runs, delay, gap = 500 * time.Millisecond, 100 * time.Millisecond, time.Second
	rng := rand.New(rand.NewPCG(seed, 2))
	type task struct {
		at  clock.Time
		run func()
	}
	var tasks []task
	now := start
	after := func(d time.Duration, run func()) {
		t := task{now.Add(d), run}
		i, _ := slices.BinarySearchFunc(tasks, t.at, func(x task, at clock.Time) int { return cmp.Or(cmp.Compare(x.at, at), -1) })
		tasks = slices.Insert(tasks, i, t)
	}
	var all []id.Instance
	for i := range entries {
		all = append(all, id.Instance(fmt.Sprint("i", i)))
	}
	regs := make([]*Registry, entries)
	for i := range regs {
		regs[i] = New(Settings{}, peers{self: all[i], all: all}, &invariant.Checker{})
	}
	deliver := func(out *event.Outbox) {
		for _, e := range out.Take() {
			p := e.(event.SendPeer)
			if rng.Float64() >= loss {
				after(time.Duration(rng.Int64N(int64(delay))), func() { regs[slices.Index(all, p.To)].HandleMessage(now, "", p.Message) })
			}
		}
	}
	busy := make([]clock.Time, zones)
	attempts := 0
	send := func(i int) {
		kind := regs[i].Check(now, "d").Mode
		zone := i % zones
		if kind == Refuse || (kind == Alone && now.Before(busy[zone])) {
			return
		}
		if kind == Alone {
			busy[zone] = now.Add(runs + gap)
		}
		attempts++
		attempt := id.Attempt(fmt.Sprint(attempts))
		after(runs, func() {
			if kind == Alone {
				later++
			} else {
				atFirst++
			}
			var out event.Outbox
			regs[i].RecordCrash(now, attempt, "b", []InFlight{{Digest: "d", Alone: kind == Alone}}, &out)
			deliver(&out)
		})
	}
	for i := range entries {
		send(i)
	}
	for d := 200 * time.Millisecond; d < lasting; d += 200 * time.Millisecond {
		after(d, func() {
			for _, r := range regs {
				var out event.Outbox
				r.Tick(now, &out)
				deliver(&out)
			}
			send(rng.IntN(entries))
		})
	}
	for len(tasks) > 0 {
		t := tasks[0]
		tasks = tasks[1:]
		now = t.at
		t.run()
	}
	return atFirst, later
}

// The bound of docs/design/crash-suspects.md: the copies under way when the
// first crash becomes known, then one crash a zone for each refusal, whose
// length doubles. A message that is lost is said again, so that loss adds at
// most the copies sent meanwhile.
func TestCrashesAreBounded(t *testing.T) {
	const entries, zones = 9, 3
	var most [4]int
	note := func(i, n int) { most[i] = max(most[i], n) }
	for seed := range uint64(30) {
		// Copies begin every 200 ms for the 500 ms until the first crash, and
		// the 100 ms until it is known.
		atFirst, later := attack(seed, entries, zones, time.Hour, 0)
		if atFirst > entries+3 || later > 3*zones {
			t.Errorf("seed %d: %d crashes at first, %d later", seed, atFirst, later)
		}
		lossFirst, lossLater := attack(seed, entries, zones, time.Hour, 0.3)
		note(0, atFirst)
		note(1, later)
		note(2, lossFirst)
		note(3, lossLater)
		if lossFirst > 2*entries || lossLater > 4*zones {
			t.Errorf("seed %d with loss: %d crashes at first, %d later", seed, lossFirst, lossLater)
		}
	}
	t.Logf("most crashes in an hour: %d at first and %d later; with 30%% of messages lost %d and %d",
		most[0], most[1], most[2], most[3])
}

func BenchmarkCheck(b *testing.B) {
	r := newRegister(Settings{})
	r.RecordCrash(start, "t", "b", []InFlight{{Digest: RequestDigest("a", "x")}}, &event.Outbox{})
	b.ReportAllocs()
	for range b.N {
		r.Check(start, RequestDigest("a", "x"))
	}
}
