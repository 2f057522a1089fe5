package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/members"
)

const (
	testRate  = 1000.0
	testBurst = 500.0
	window    = 8 * time.Second
)

func oneAccount(rate, burst float64) map[string]*manifest.Account {
	return map[string]*manifest.Account{"a": {Name: "a", Rate: rate, Burst: burst, CountTokens: true}}
}

// event is something that happens at a moment of a play.
type event struct {
	at clock.Time
	n  int // order of equal moments
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// node is one instance of a play.
type node struct {
	f           *fleet
	name, zone  string
	strength    int
	incarnation uint64
	meter       *Meter
	set         *members.Set
	up          bool
	frozen      clock.Time // until
	stopping    bool
	wake        clock.Time // its next timer
	open        map[uint64]func(Outcome)
}

// fleet plays meters over a network with delays, losses and cuts.
type fleet struct {
	t        *testing.T
	rng      *rand.Rand
	now      clock.Time
	queue    events
	count    int
	nodes    []*node
	accounts map[string]*manifest.Account
	interval func(int) time.Duration
	late     time.Duration // a heartbeat comes up to so much later
	loss     float64
	cut      func(a, b *node) bool
	runs     []run
	outcomes map[Verdict]int
	waited   time.Duration // longest until an outcome
}

// run is a request that was let in.
type run struct {
	at     clock.Time
	tokens float64
}

func beatEvery(n int) time.Duration {
	return max(200*time.Millisecond, time.Duration(n)*8*time.Millisecond)
}

func newFleet(t *testing.T, n, zones int, accounts map[string]*manifest.Account) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(1, 2)), now: clock.Time(time.Hour), accounts: accounts, interval: beatEvery,
		cut: func(*node, *node) bool { return false }, outcomes: make(map[Verdict]int),
	}
	for i := range n {
		f.nodes = append(f.nodes, &node{f: f, name: fmt.Sprintf("n%02d", i), zone: fmt.Sprintf("z%d", i%zones)})
	}
	for _, x := range f.nodes {
		f.at(time.Duration(f.rng.IntN(100))*time.Millisecond, x.start)
	}
	f.run(3 * time.Second)
	return f
}

func (f *fleet) at(d time.Duration, do func()) {
	f.count++
	heap.Push(&f.queue, event{at: f.now.Add(d), n: f.count, do: do})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// start starts a process on a machine; it reads the others' rows 5 ms later.
func (x *node) start() {
	f := x.f
	x.incarnation++
	x.up, x.stopping, x.open, x.wake = true, false, make(map[uint64]func(Outcome)), 0
	x.set = members.New(x.name)
	x.meter = New(Settings{Self: x.name, Zone: x.zone, Strength: x.strength, Incarnation: x.incarnation, Interval: f.interval}, x.set)
	x.meter.Configure(f.now, f.accounts)
	life := x.incarnation
	f.at(5*time.Millisecond, func() {
		if !x.alive(life) {
			return
		}
		for _, o := range f.nodes {
			x.set.UpdateFromRow(f.now, o.name, o.name, o.zone, 0)
		}
		x.meter.Joined(f.now)
		x.flush()
	})
	x.repeat(life, func() time.Duration { return tickEvery }, func() { x.meter.Tick(f.now) })
	x.repeat(life, func() time.Duration {
		return f.interval(len(f.nodes)) + time.Duration(f.rng.Float64()*float64(f.late))
	}, func() { x.beat(nil) })
}

func (x *node) alive(life uint64) bool { return x.up && x.incarnation == life }

// repeat does something again and again while the process lives.
func (x *node) repeat(life uint64, pause func() time.Duration, do func()) {
	f := x.f
	f.at(pause(), func() {
		if !x.alive(life) {
			return
		}
		x.whenAwake(func() {
			do()
			x.flush()
		})
		x.repeat(life, pause, do)
	})
}

// whenAwake does something now, or when the machine wakes up.
func (x *node) whenAwake(do func()) {
	if x.frozen <= x.f.now {
		do()
		return
	}
	life := x.incarnation
	x.f.at(x.frozen.Sub(x.f.now), func() {
		if x.alive(life) {
			do()
		}
	})
}

func (x *node) stop(after time.Duration) {
	x.stopping = true
	x.meter.Leave(x.f.now)
	x.flush()
	x.f.at(after, func() { x.up = false })
}

func (x *node) freeze(d time.Duration) { x.frozen = x.f.now.Add(d) }

// beat tells one instance, or all.
func (x *node) beat(to *node) {
	for _, o := range x.f.nodes {
		if o != x && (to == nil || o == to) {
			said := members.Member{Name: x.name, Address: x.name, Zone: x.zone, Strength: x.strength, Incarnation: x.incarnation, Leaving: x.stopping}
			claims, left := x.meter.Claims(), x.meter.Handovers(x.f.now)
			x.f.deliver(x, o, func() {
				o.set.UpdateFromMessage(x.f.now, said)
				o.meter.HeardClaims(x.f.now, said.Name, claims)
				o.meter.HeardHandovers(x.f.now, said.Name, left)
			})
		}
	}
}

// deliver carries a datagram.
func (f *fleet) deliver(from, to *node, do func()) {
	if f.cut(from, to) || f.rng.Float64() < f.loss {
		return
	}
	life := to.incarnation
	f.at(time.Duration(500+f.rng.IntN(1500))*time.Microsecond, func() {
		if to.alive(life) && !f.cut(from, to) {
			to.whenAwake(func() {
				do()
				to.flush()
			})
		}
	})
}

// flush carries out what the meter wants.
func (x *node) flush() {
	f := x.f
	messages, outcomes := x.meter.Drain()
	for _, m := range messages {
		to := f.node(m.To)
		f.deliver(x, to, func() {
			switch {
			case m.Ask != nil:
				to.meter.TakeAsk(f.now, *m.Ask)
			case m.Reply != nil:
				to.meter.TakeReply(f.now, x.name, *m.Reply)
			case m.Return != nil:
				to.meter.TakeReturn(f.now, x.name, *m.Return)
			case m.Ping:
				to.beat(x)
			}
		})
	}
	for _, o := range outcomes {
		if done := x.open[o.Number]; done != nil {
			delete(x.open, o.Number)
			done(o)
		}
	}
	if x.meter.Untold() {
		x.beat(nil)
	}
	if next := x.meter.Next(); next != clock.Never && (x.wake <= f.now || next < x.wake) {
		x.wake = max(next, f.now.Add(time.Millisecond))
		life := x.incarnation
		f.at(x.wake.Sub(f.now), func() {
			if x.alive(life) {
				x.whenAwake(func() {
					x.meter.Tick(f.now)
					x.flush()
				})
			}
		})
	}
}

func (f *fleet) node(name string) *node {
	for _, x := range f.nodes {
		if x.name == name {
			return x
		}
	}
	f.t.Fatalf("no instance %s", name)
	return nil
}

// ask lets a request come in at an instance.
func (x *node) ask(account string, cost float64, priority int, wait time.Duration, done func(Outcome)) {
	f := x.f
	if !x.up || x.frozen > f.now {
		return
	}
	began := f.now
	number := x.meter.Request(f.now, account, cost, priority, wait)
	x.open[number] = func(o Outcome) {
		f.outcomes[o.Verdict]++
		if x.frozen < began { // a frozen machine's own callers wait
			f.waited = max(f.waited, f.now.Sub(began))
		}
		if o.Verdict == Granted {
			f.runs = append(f.runs, run{at: f.now, tokens: cost})
		}
		if done != nil {
			done(o)
		}
	}
	x.flush()
}

// load lets requests come in at random instances for d: tokens a second.
func (f *fleet) load(d time.Duration, perSecond, cost float64, at func() *node) {
	gap := cost / perSecond
	for passed := 0.0; passed < d.Seconds(); passed += gap * (0.5 + f.rng.Float64()) {
		f.at(time.Duration(passed*float64(time.Second)), func() { at().ask("a", cost, 0, 300*time.Millisecond, nil) })
	}
}

func (f *fleet) anywhere() *node { return f.nodes[f.rng.IntN(len(f.nodes))] }

// worst returns the most tokens that were let in within any window.
func (f *fleet) worst() float64 {
	sum, most, first := 0.0, 0.0, 0
	for _, r := range f.runs {
		sum += r.tokens
		for f.runs[first].at <= r.at.Add(-window) {
			sum -= f.runs[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}

func (f *fleet) total() float64 {
	sum := 0.0
	for _, r := range f.runs {
		sum += r.tokens
	}
	return sum
}

// promised is what rate and burst allow in a window.
func promised(rate, burst float64) float64 { return rate*window.Seconds() + burst }

// owners counts the instances that believe they own the account.
func (f *fleet) owners() int {
	n := 0
	for _, x := range f.nodes {
		if x.up {
			n += x.meter.Status().Owned
		}
	}
	return n
}
