package placement

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/keepalive"
	"oleanderdale.org/core/table"
)

const (
	zone     = id.Zone("z1")
	orderMax = 8 * time.Second // longest that an order is under way
	leaseEnd = 3 * time.Second // from a death until the table shows it
)

// chances are those of a fault, 0 to 1.
type chances struct {
	orderLost, orderLate, orderDoubled float64
	peerLost, tableSlow, answerLost    float64
	lateWrite, reportLost, reportSlow  float64
}

// sim runs several instances of one zone against fakes in virtual time.
type sim struct {
	now       clock.Time
	seq       int
	queue     steps
	rand      *rand.Rand
	cfg       *config.Config
	chances   chances
	down      bool    // the table
	share     float64 // of the standby pools
	rows      map[table.Key]table.Row
	nodes     []*node
	engines   map[id.Backend]*engine
	names     []id.Backend
	artifacts []id.Artifact
	check     *invariant.Checker                 // nil: one that panics
	wrong     []string                           // what the oracle found
	commits   int                                // transactions that took effect
	loads     map[string]int                     // load orders carried out, by backend/artifact
	tap       func(n *node, e event.Effect) bool // true: the effect is swallowed
}

type step struct {
	at  clock.Time
	seq int
	run func()
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(s[i].at, s[j].at), s[i].seq-s[j].seq) < 0
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)   { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// node is an instance; it is its own rights and members.
type node struct {
	*sim
	name    id.Instance
	p       *Placement
	alive   bool
	ended   bool // the table shows its session as ended
	expired bool // its lease has run out though it runs on
	solo    bool // it sees no other instance
}

func (n *node) Valid(clock.Time) bool                   { return n.alive && !n.expired }
func (n *node) NotAfter(now clock.Time) clock.Time      { return now.Add(time.Second) }
func (n *node) Fencing() id.Fencing                     { return 1 }
func (n *node) Self() id.Instance                       { return n.name }
func (n *node) Zone() id.Zone                           { return zone }
func (n *node) Live() []id.Instance                     { return n.InZone(zone) }
func (n *node) ZoneOf(id.Instance) id.Zone              { return zone }
func (n *node) Backend(id.Backend) (event.Member, bool) { panic("not used") }

func (n *node) Ended(i id.Instance) bool {
	return !slices.ContainsFunc(n.nodes, func(o *node) bool { return o.name == i && !o.ended })
}

func (n *node) InZone(id.Zone) []id.Instance {
	var live []id.Instance
	for _, o := range n.nodes {
		if !o.ended && (!n.solo || o == n) {
			live = append(live, o.name)
		}
	}
	return live
}

func (n *node) Backends() []event.Member {
	var all []event.Member
	for _, b := range n.names {
		if e := n.engines[b]; !e.unlisted {
			all = append(all, event.Member{Name: string(b), Address: "addr", Zone: zone, Group: "g", Leaving: e.leaving})
		}
	}
	return all
}

// engine is a fake model engine. It loads whatever it is ordered to, also
// beyond its memory, and knows no repeats: the oracle says what went wrong.
type engine struct {
	*sim
	name     id.Backend
	boot     int
	fencing  id.Fencing
	held     map[id.Artifact]message.HeldArtifact
	since    map[id.Artifact]clock.Time
	cached   map[id.Artifact]message.CacheLevel
	leaving  bool
	unlisted bool
	dead     bool
	busy     bool // runs a request on whatever is loaded
}

func newSim(seed uint64, nodes, engines int, checks bool, share float64) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 1)), rows: map[table.Key]table.Row{},
		engines: map[id.Backend]*engine{}, loads: map[string]int{}, now: clock.Time(time.Hour),
	}
	s.cfg = testConfig(6, checks)
	s.share, s.artifacts = share, slices.Sorted(maps.Keys(s.cfg.Artifacts))
	for i := range engines {
		b := id.Backend(fmt.Sprintf("b%03d", i))
		s.names = append(s.names, b)
		s.engines[b] = &engine{sim: s, name: b, held: map[id.Artifact]message.HeldArtifact{},
			since: map[id.Artifact]clock.Time{}, cached: map[id.Artifact]message.CacheLevel{}}
	}
	for i := range nodes {
		s.start(fmt.Sprintf("i%d", i))
	}
	return s
}

func testConfig(artifacts int, checks bool) *config.Config {
	c := &config.Config{
		Fleet: config.Fleet{LoadsPerSecond: 4, LoadsAtOnce: 4, AdaptersInTransit: 30},
		Groups: map[id.Group]config.Group{"g": {
			Name: "g", Kind: config.GroupModels, MemoryBytes: 100, Concurrency: 4, ChecksFencing: checks, MaxOrderTime: orderMax,
		}},
		Artifacts: map[id.Artifact]config.Artifact{},
	}
	for i := range artifacts {
		a := id.Artifact(fmt.Sprintf("m%03d", i))
		c.Artifacts[a] = config.Artifact{Name: a, Group: "g", Bytes: 45, LoadTime: time.Second, MaxReplicas: 1 + i%2}
	}
	for _, a := range []id.Artifact{"m000:a", "m001:b", "m001:c"} {
		c.Artifacts[a] = config.Artifact{Name: a, Group: "g", Bytes: 5, LoadTime: time.Second, MaxReplicas: 1}
	}
	return c
}

func (s *sim) start(name string) *node {
	n := &node{sim: s, name: id.Instance(name), alive: true}
	n.p = New(Settings{Instance: n.name, Zone: zone, Policy: keepalive.Fixed{For: time.Second}, StandbyShare: s.share}, n, n, s.check)
	s.nodes = append(s.nodes, n)
	n.do(func(out *event.Outbox) { n.p.Configure(s.now, s.cfg, out) })
	n.wake()
	return n
}

func (n *node) wake() {
	if n.alive {
		n.do(func(out *event.Outbox) { n.p.Tick(n.now, out) })
		n.after(max(n.p.Next().Sub(n.now), time.Millisecond), n.wake)
	}
}

func (n *node) do(f func(out *event.Outbox)) {
	if !n.alive {
		return
	}
	var out event.Outbox
	f(&out)
	for _, e := range out.Take() {
		if n.tap == nil || !n.tap(n, e) {
			n.effect(e)
		}
	}
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, step{s.now.Add(d), s.seq, f})
}

// run lets d pass.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !end.Before(s.queue[0].at) {
		next := heap.Pop(&s.queue).(step)
		s.now = next.at
		next.run()
	}
	s.now = end
}

func (s *sim) chance(c float64) bool { return c > 0 && s.rand.Float64() < c }

// within draws a time between least and most.
func (s *sim) within(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rand.Int64N(int64(most-least)+1))
}

func (n *node) effect(e event.Effect) {
	switch e := e.(type) {
	case event.SendPeer:
		n.peer(e)
	case event.TableRead:
		n.tableOp(e.Op, func() (table.Outcome, []table.Row) { return n.read(e.Keys) })
	case event.TableCommit:
		n.commit(e)
	case event.FetchReport:
		n.report(e)
	case event.OrderBackend:
		n.order(e)
	}
}

func (n *node) peer(e event.SendPeer) {
	if n.chance(n.chances.peerLost) {
		return
	}
	n.after(n.within(0, 5*time.Millisecond), func() {
		for _, o := range n.nodes {
			if o.name == e.To {
				o.do(func(out *event.Outbox) { o.p.Peer(n.now, n.name, e.Message, out) })
			}
		}
	})
}

func (n *node) tableOp(op event.Op, run func() (table.Outcome, []table.Row)) {
	delay := n.within(time.Millisecond, 4*time.Millisecond)
	if n.chance(n.chances.tableSlow) {
		delay = n.within(0, 2*time.Second)
	}
	n.after(delay, func() {
		outcome, rows := table.NotExecuted, []table.Row(nil)
		if !n.sim.down {
			outcome, rows = run()
		}
		n.do(func(out *event.Outbox) {
			n.p.Table(n.now, event.TableResult{Op: op, Outcome: outcome, Rows: rows}, out)
		})
	})
}

func (s *sim) read(keys []table.Key) (table.Outcome, []table.Row) {
	if s.chance(s.chances.answerLost) {
		return table.Unknown, nil
	}
	var rows []table.Row
	for _, k := range keys {
		if r, ok := s.rows[k]; ok {
			rows = append(rows, r)
		}
	}
	return table.Done, rows
}

func (n *node) commit(e event.TableCommit) {
	n.tableOp(e.Op, func() (table.Outcome, []table.Row) {
		if n.chance(n.chances.lateWrite) {
			n.after(n.within(0, 3*time.Second), func() { n.apply(e.Writes) })
			return table.Unknown, nil
		}
		outcome := n.apply(e.Writes)
		if n.chance(n.chances.answerLost) {
			outcome = table.Unknown
		}
		return outcome, nil
	})
}

func (s *sim) apply(writes []table.Write) table.Outcome {
	for _, w := range writes {
		if s.rows[w.Key].Version != w.Expect {
			return table.Conflict
		}
	}
	for _, w := range writes {
		s.rows[w.Key] = table.Row{Key: w.Key, Version: w.Expect + 1, Body: w.Body}
	}
	s.commits++
	s.judge()
	return table.Done
}

func (n *node) report(e event.FetchReport) {
	asked, g := n.now, n.engines[e.Backend]
	n.after(n.within(time.Millisecond, 30*time.Millisecond), func() {
		r := event.BackendReport{Backend: e.Backend, RequestedAt: asked, OK: !g.dead && !n.chance(n.chances.reportLost)}
		if r.OK {
			r.Report = g.show()
		}
		delay := n.within(time.Millisecond, 400*time.Millisecond)
		if n.chance(n.chances.reportSlow) {
			delay = n.within(0, 2*orderMax)
		}
		n.after(delay, func() {
			n.do(func(out *event.Outbox) { n.p.Report(n.now, r, out) })
		})
	})
}

// order carries an order over a network that loses, delays and doubles it.
func (n *node) order(e event.OrderBackend) {
	n.after(n.within(0, 50*time.Millisecond), func() {
		if !n.alive || !n.now.Before(e.NotAfter) {
			n.answerOrder(e, event.OrderUnknown, 0)
			return
		}
		if n.chance(n.chances.orderDoubled) {
			n.after(n.within(0, orderMax), func() { n.engines[e.Backend].carry(e) })
		}
		switch {
		case n.chance(n.chances.orderLost):
			n.answerOrder(e, event.OrderUnknown, time.Second)
		case n.chance(n.chances.orderLate):
			n.answerOrder(e, event.OrderUnknown, time.Second)
			n.after(n.within(time.Second, orderMax), func() { n.engines[e.Backend].carry(e) })
		default:
			n.after(n.within(time.Millisecond, 5*time.Millisecond), func() {
				n.answerOrder(e, n.engines[e.Backend].carry(e), time.Millisecond)
			})
		}
	})
}

func (n *node) answerOrder(e event.OrderBackend, r event.OrderResult, delay time.Duration) {
	n.after(delay, func() {
		n.do(func(out *event.Outbox) {
			n.p.Ordered(n.now, event.OrderAnswered{Backend: e.Backend, Order: e.Order, Result: r}, out)
		})
	})
}

func (g *engine) carry(e event.OrderBackend) event.OrderResult {
	if g.dead {
		return event.OrderUnknown
	}
	if g.cfg.Groups["g"].ChecksFencing {
		if e.Fencing < g.fencing {
			return event.OrderStaleFencing
		}
		g.fencing = e.Fencing
	}
	_, present := g.held[e.Artifact]
	switch {
	case e.Kind == event.OrderLoad && !present:
		g.load(e)
	case e.Kind == event.OrderUnload && present:
		delete(g.held, e.Artifact)
	}
	return event.OrderAccepted
}

func (g *engine) load(e event.OrderBackend) {
	g.loads[string(g.name)+"/"+string(e.Artifact)]++
	g.held[e.Artifact] = message.HeldArtifact{Artifact: e.Artifact, State: message.Loading, Order: e.Order, Bytes: g.cfg.Artifacts[e.Artifact].Bytes}
	g.since[e.Artifact] = g.now
	boot := g.boot
	g.after(g.within(100*time.Millisecond, time.Second), func() {
		if h, ok := g.held[e.Artifact]; ok && h.Order == e.Order && boot == g.boot {
			h.State = message.Loaded
			g.held[e.Artifact] = h
		}
	})
	g.judge()
}

// judge is the oracle: after each load and each transaction, memory and replicas
// are counted at the engines, whatever the instances believe.
func (s *sim) judge() {
	for _, b := range s.names {
		g, sum := s.engines[b], int64(0)
		for _, a := range slices.Sorted(maps.Keys(g.held)) {
			sum += g.held[a].Bytes
			s.judgeReplica(g, a)
		}
		if most := s.cfg.Groups["g"].MemoryBytes; sum > most {
			s.wrong = append(s.wrong, fmt.Sprintf("memory: %s holds %d of %d bytes", b, sum, most))
		}
	}
}

func (s *sim) judgeReplica(g *engine, a id.Artifact) {
	r, _ := s.rows[table.Key{Kind: table.KindReplica, ID: string(zone) + "/" + string(a)}].Body.(table.Replica)
	if !g.leaving && !g.unlisted && !slices.Contains(places(r), g.name) {
		s.wrong = append(s.wrong, fmt.Sprintf("replicas: %s is on %s, decided %v", a, g.name, places(r)))
	}
	if len(places(r)) > maxReplicas(s.cfg.Artifacts[a]) {
		s.wrong = append(s.wrong, fmt.Sprintf("replicas: %s has %v", a, places(r)))
	}
}

func (g *engine) show() message.Report {
	r := message.Report{Fencing: g.fencing, Bytes: 100, Leaving: g.leaving, BootID: fmt.Sprint(g.boot)}
	for _, a := range slices.Sorted(maps.Keys(g.held)) {
		h := g.held[a]
		if h.State == message.Loaded {
			h.Idle, h.Uses = g.now.Sub(g.since[a]), 1
			if g.busy {
				h.Idle, h.Running = 0, 1
			}
		}
		r.Held = append(r.Held, h)
	}
	for _, a := range slices.Sorted(maps.Keys(g.cached)) {
		r.Cached = append(r.Cached, message.CachedArtifact{Artifact: a, Level: g.cached[a]})
	}
	return r
}

// restart loses what the engine held, and the fencing number it had seen. Its
// connections break with it, so that older orders don't reach the new process.
func (g *engine) restart() {
	g.boot++
	clear(g.held)
}

// kill ends an instance; the table shows the end of its session later.
func (s *sim) kill(n *node) {
	n.alive = false
	s.after(leaseEnd, func() { n.ended = true })
}

// stop hands what n owns over to another instance, and ends n.
func (s *sim) stop(n, to *node) {
	given := n.p.Handover()
	n.alive = false
	s.after(leaseEnd, func() { n.ended = true })
	s.after(s.within(0, 10*time.Millisecond), func() {
		to.do(func(out *event.Outbox) { to.p.TakeOver(s.now, given, out) })
	})
}

// demand makes an instance ask for an artifact, as its queue's owner would.
func (s *sim) demand(n *node, a id.Artifact) {
	n.do(func(out *event.Outbox) {
		n.p.Demand(s.now, Demand{Artifact: a, Class: config.Interactive, Within: time.Minute, Waiting: 1}, out)
	})
}

// demandFor repeats a demand until a is loaded, at most for d, and reports
// whether it was.
func (s *sim) demandFor(d time.Duration, a id.Artifact) bool {
	for end := s.now.Add(d); s.now.Before(end) && len(s.loaded(a)) == 0; s.run(100 * time.Millisecond) {
		for _, n := range s.nodes {
			if n.alive {
				s.demand(n, a)
				break
			}
		}
	}
	return len(s.loaded(a)) > 0
}

// loaded returns where the engines hold a in full.
func (s *sim) loaded(a id.Artifact) []id.Backend {
	var at []id.Backend
	for _, b := range s.names {
		if s.engines[b].held[a].State == message.Loaded {
			at = append(at, b)
		}
	}
	return at
}
