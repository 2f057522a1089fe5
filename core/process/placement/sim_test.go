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
	zone             = id.Zone("z1")
	testMaxOrderTime = 8 * time.Second // how long an order can be under way
	sessionEndDelay  = 3 * time.Second // time from a crash until the table shows the end of the session
)

// faultRates are the probabilities of the faults, 0 to 1.
type faultRates struct {
	orderLost, orderLate, orderDuplicated   float64
	messageLost, tableSlow, tableResultLost float64
	tableWriteLate, reportLost, reportSlow  float64
}

// sim runs several instances of one zone against fakes in virtual time.
type sim struct {
	now          clock.Time
	seq          int
	steps        stepQueue
	rand         *rand.Rand
	cfg          *config.Config
	faultRates   faultRates
	tableDown    bool    // the table service is unavailable
	standbyShare float64 // of the memory of each backend server
	rows         map[table.Key]table.Row
	nodes        []*node
	engines      map[id.Backend]*engine
	backends     []id.Backend
	artifacts    []id.Artifact
	checker      *invariant.Checker                 // nil: one that panics
	violations   []string                           // limits exceeded at the engines
	transactions int                                // transactions that took effect
	loads        map[string]int                     // load orders carried out, by backend/artifact
	intercept    func(n *node, e event.Effect) bool // true: the effect is dropped
}

type step struct {
	at  clock.Time
	seq int
	run func()
}

type stepQueue []step

func (s stepQueue) Len() int { return len(s) }
func (s stepQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(s[i].at, s[j].at), s[i].seq-s[j].seq) < 0
}
func (s stepQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *stepQueue) Push(x any)   { *s = append(*s, x.(step)) }
func (s *stepQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// node is an instance. It is also its own process.LeaseStatus and process.Members.
type node struct {
	*sim
	name         id.Instance
	placement    *Placement
	alive        bool
	sessionEnded bool // the table shows its session as ended
	leaseExpired bool // its lease has expired, but it keeps running
	isolated     bool // it sees no other instance
}

func (n *node) Valid(clock.Time) bool                   { return n.alive && !n.leaseExpired }
func (n *node) NotAfter(now clock.Time) clock.Time      { return now.Add(time.Second) }
func (n *node) Fencing() id.Fencing                     { return 1 }
func (n *node) Self() id.Instance                       { return n.name }
func (n *node) Zone() id.Zone                           { return zone }
func (n *node) Live() []id.Instance                     { return n.InZone(zone) }
func (n *node) ZoneOf(id.Instance) id.Zone              { return zone }
func (n *node) Backend(id.Backend) (event.Member, bool) { panic("not used") }

func (n *node) HasEnded(i id.Instance) bool {
	return !slices.ContainsFunc(n.nodes, func(o *node) bool { return o.name == i && !o.sessionEnded })
}

func (n *node) InZone(id.Zone) []id.Instance {
	var live []id.Instance
	for _, o := range n.nodes {
		if !o.sessionEnded && (!n.isolated || o == n) {
			live = append(live, o.name)
		}
	}
	return live
}

func (n *node) Backends() []event.Member {
	var all []event.Member
	for _, b := range n.backends {
		if e := n.engines[b]; !e.unlisted {
			all = append(all, event.Member{Name: string(b), Address: "addr", Zone: zone, Group: "g", Leaving: e.leaving})
		}
	}
	return all
}

// engine is a fake model engine. It carries out every load order, even beyond
// its memory, and does not recognise repeated orders; checkEngines records what
// went wrong.
type engine struct {
	*sim
	name          id.Backend
	boot          int
	fencing       id.Fencing
	held          map[id.Artifact]message.HeldArtifact
	loadStartedAt map[id.Artifact]clock.Time
	cached        map[id.Artifact]message.CacheLevel
	leaving       bool
	unlisted      bool
	dead          bool
	busy          bool // always runs a request on every loaded artifact
}

func newSim(seed uint64, nodes, engines int, checksFencing bool, standbyShare float64) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 1)), rows: map[table.Key]table.Row{},
		engines: map[id.Backend]*engine{}, loads: map[string]int{}, now: clock.Time(time.Hour),
	}
	s.cfg = testConfig(6, checksFencing)
	s.standbyShare, s.artifacts = standbyShare, slices.Sorted(maps.Keys(s.cfg.Artifacts))
	for i := range engines {
		b := id.Backend(fmt.Sprintf("b%03d", i))
		s.backends = append(s.backends, b)
		s.engines[b] = &engine{sim: s, name: b, held: map[id.Artifact]message.HeldArtifact{},
			loadStartedAt: map[id.Artifact]clock.Time{}, cached: map[id.Artifact]message.CacheLevel{}}
	}
	for i := range nodes {
		s.start(fmt.Sprintf("i%d", i))
	}
	return s
}

func testConfig(artifacts int, checksFencing bool) *config.Config {
	c := &config.Config{
		Fleet: config.Fleet{LoadsPerSecond: 4, LoadsAtOnce: 4, AdaptersInTransit: 30},
		Groups: map[id.Group]config.Group{"g": {
			Name: "g", Kind: config.GroupModels, MemoryBytes: 100, Concurrency: 4, ChecksFencing: checksFencing, MaxOrderTime: testMaxOrderTime,
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
	n.placement = New(Settings{
		Instance: n.name, Zone: zone, Policy: keepalive.Fixed{Duration: time.Second}, StandbyShare: s.standbyShare,
	}, n, n, s.checker)
	s.nodes = append(s.nodes, n)
	n.handle(func(out *event.Outbox) { n.placement.Configure(s.now, s.cfg, out) })
	n.tickRepeatedly()
	return n
}

func (n *node) tickRepeatedly() {
	if n.alive {
		n.handle(func(out *event.Outbox) { n.placement.Tick(n.now, out) })
		n.after(max(n.placement.Next().Sub(n.now), time.Millisecond), n.tickRepeatedly)
	}
}

func (n *node) handle(f func(out *event.Outbox)) {
	if !n.alive {
		return
	}
	var out event.Outbox
	f(&out)
	for _, e := range out.Take() {
		if n.intercept == nil || !n.intercept(n, e) {
			n.carryOutEffect(e)
		}
	}
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.steps, step{s.now.Add(d), s.seq, f})
}

// run advances the time by d.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.steps) > 0 && !end.Before(s.steps[0].at) {
		next := heap.Pop(&s.steps).(step)
		s.now = next.at
		next.run()
	}
	s.now = end
}

func (s *sim) happens(c float64) bool { return c > 0 && s.rand.Float64() < c }

// randomDuration returns a random time between shortest and longest.
func (s *sim) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.rand.Int64N(int64(longest-shortest)+1))
}

func (n *node) carryOutEffect(e event.Effect) {
	switch e := e.(type) {
	case event.SendPeer:
		n.sendMessage(e)
	case event.TableRead:
		n.tableOp(e.Op, func() (table.Outcome, []table.Row) { return n.readRows(e.Keys) })
	case event.TableCommit:
		n.commitRows(e)
	case event.FetchReport:
		n.fetchReport(e)
	case event.OrderBackend:
		n.deliverOrder(e)
	}
}

func (n *node) sendMessage(e event.SendPeer) {
	if n.happens(n.faultRates.messageLost) {
		return
	}
	n.after(n.randomDuration(0, 5*time.Millisecond), func() {
		for _, o := range n.nodes {
			if o.name == e.To {
				o.handle(func(out *event.Outbox) { o.placement.HandleMessage(n.now, n.name, e.Message, out) })
			}
		}
	})
}

func (n *node) tableOp(op event.Op, run func() (table.Outcome, []table.Row)) {
	delay := n.randomDuration(time.Millisecond, 4*time.Millisecond)
	if n.happens(n.faultRates.tableSlow) {
		delay = n.randomDuration(0, 2*time.Second)
	}
	n.after(delay, func() {
		outcome, rows := table.NotExecuted, []table.Row(nil)
		if !n.sim.tableDown {
			outcome, rows = run()
		}
		n.handle(func(out *event.Outbox) {
			n.placement.HandleTableResult(n.now, event.TableResult{Op: op, Outcome: outcome, Rows: rows}, out)
		})
	})
}

func (s *sim) readRows(keys []table.Key) (table.Outcome, []table.Row) {
	if s.happens(s.faultRates.tableResultLost) {
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

func (n *node) commitRows(e event.TableCommit) {
	n.tableOp(e.Op, func() (table.Outcome, []table.Row) {
		if n.happens(n.faultRates.tableWriteLate) {
			n.after(n.randomDuration(0, 3*time.Second), func() { n.applyWrites(e.Writes) })
			return table.Unknown, nil
		}
		outcome := n.applyWrites(e.Writes)
		if n.happens(n.faultRates.tableResultLost) {
			outcome = table.Unknown
		}
		return outcome, nil
	})
}

func (s *sim) applyWrites(writes []table.Write) table.Outcome {
	for _, w := range writes {
		if s.rows[w.Key].Version != w.Expect {
			return table.Conflict
		}
	}
	for _, w := range writes {
		s.rows[w.Key] = table.Row{Key: w.Key, Version: w.Expect + 1, Body: w.Body}
	}
	s.transactions++
	s.checkEngines()
	return table.Done
}

func (n *node) fetchReport(e event.FetchReport) {
	asked, eng := n.now, n.engines[e.Backend]
	n.after(n.randomDuration(time.Millisecond, 30*time.Millisecond), func() {
		r := event.BackendReport{Backend: e.Backend, RequestedAt: asked, OK: !eng.dead && !n.happens(n.faultRates.reportLost)}
		if r.OK {
			r.Report = eng.currentReport()
		}
		delay := n.randomDuration(time.Millisecond, 400*time.Millisecond)
		if n.happens(n.faultRates.reportSlow) {
			delay = n.randomDuration(0, 2*testMaxOrderTime)
		}
		n.after(delay, func() {
			n.handle(func(out *event.Outbox) { n.placement.HandleReport(n.now, r, out) })
		})
	})
}

// deliverOrder sends an order over a network that loses, delays and duplicates
// it.
func (n *node) deliverOrder(e event.OrderBackend) {
	n.after(n.randomDuration(0, 50*time.Millisecond), func() {
		if !n.alive || !n.now.Before(e.NotAfter) {
			n.answerOrder(e, event.OrderUnknown, 0)
			return
		}
		if n.happens(n.faultRates.orderDuplicated) {
			n.after(n.randomDuration(0, testMaxOrderTime), func() { n.engines[e.Backend].executeOrder(e) })
		}
		switch {
		case n.happens(n.faultRates.orderLost):
			n.answerOrder(e, event.OrderUnknown, time.Second)
		case n.happens(n.faultRates.orderLate):
			n.answerOrder(e, event.OrderUnknown, time.Second)
			n.after(n.randomDuration(time.Second, testMaxOrderTime), func() { n.engines[e.Backend].executeOrder(e) })
		default:
			n.after(n.randomDuration(time.Millisecond, 5*time.Millisecond), func() {
				n.answerOrder(e, n.engines[e.Backend].executeOrder(e), time.Millisecond)
			})
		}
	})
}

func (n *node) answerOrder(e event.OrderBackend, r event.OrderResult, delay time.Duration) {
	n.after(delay, func() {
		n.handle(func(out *event.Outbox) {
			n.placement.HandleOrderResult(n.now, event.OrderAnswered{Backend: e.Backend, Order: e.Order, Result: r}, out)
		})
	})
}

func (eng *engine) executeOrder(e event.OrderBackend) event.OrderResult {
	if eng.dead {
		return event.OrderUnknown
	}
	if eng.cfg.Groups["g"].ChecksFencing {
		if e.Fencing < eng.fencing {
			return event.OrderStaleFencing
		}
		eng.fencing = e.Fencing
	}
	_, present := eng.held[e.Artifact]
	switch {
	case e.Kind == event.OrderLoad && !present:
		eng.load(e)
	case e.Kind == event.OrderUnload && present:
		delete(eng.held, e.Artifact)
	}
	return event.OrderAccepted
}

func (eng *engine) load(e event.OrderBackend) {
	eng.loads[string(eng.name)+"/"+string(e.Artifact)]++
	eng.held[e.Artifact] = message.HeldArtifact{
		Artifact: e.Artifact, State: message.Loading, Order: e.Order, Bytes: eng.cfg.Artifacts[e.Artifact].Bytes,
	}
	eng.loadStartedAt[e.Artifact] = eng.now
	boot := eng.boot
	eng.after(eng.randomDuration(100*time.Millisecond, time.Second), func() {
		if h, ok := eng.held[e.Artifact]; ok && h.Order == e.Order && boot == eng.boot {
			h.State = message.Loaded
			eng.held[e.Artifact] = h
		}
	})
	eng.checkEngines()
}

// checkEngines checks memory and replicas at the engines, after each load and
// each transaction, regardless of what the instances assume.
func (s *sim) checkEngines() {
	for _, b := range s.backends {
		eng, heldBytes := s.engines[b], int64(0)
		for _, a := range slices.Sorted(maps.Keys(eng.held)) {
			heldBytes += eng.held[a].Bytes
			s.checkReplica(eng, a)
		}
		if limit := s.cfg.Groups["g"].MemoryBytes; heldBytes > limit {
			s.violations = append(s.violations, fmt.Sprintf("memory: %s holds %d of %d bytes", b, heldBytes, limit))
		}
	}
}

func (s *sim) checkReplica(eng *engine, a id.Artifact) {
	r, _ := s.rows[table.Key{Kind: table.KindReplica, ID: string(zone) + "/" + string(a)}].Body.(table.Replica)
	if !eng.leaving && !eng.unlisted && !slices.Contains(decidedBackends(r), eng.name) {
		s.violations = append(s.violations, fmt.Sprintf("replicas: %s is on %s, but decided on %v", a, eng.name, decidedBackends(r)))
	}
	if len(decidedBackends(r)) > maxReplicas(s.cfg.Artifacts[a]) {
		s.violations = append(s.violations, fmt.Sprintf("replicas: too many decisions for %s: %v", a, decidedBackends(r)))
	}
}

func (eng *engine) currentReport() message.Report {
	r := message.Report{Fencing: eng.fencing, Bytes: 100, Leaving: eng.leaving, BootID: fmt.Sprint(eng.boot)}
	for _, a := range slices.Sorted(maps.Keys(eng.held)) {
		h := eng.held[a]
		if h.State == message.Loaded {
			h.Idle, h.Uses = eng.now.Sub(eng.loadStartedAt[a]), 1
			if eng.busy {
				h.Idle, h.Running = 0, 1
			}
		}
		r.Held = append(r.Held, h)
	}
	for _, a := range slices.Sorted(maps.Keys(eng.cached)) {
		r.Cached = append(r.Cached, message.CachedArtifact{Artifact: a, Level: eng.cached[a]})
	}
	return r
}

// restart makes the engine lose everything it holds. The fake keeps the fencing
// number that it has seen; with a real engine, older orders don't reach the new
// process, because their connections break.
func (eng *engine) restart() {
	eng.boot++
	clear(eng.held)
}

// kill crashes an instance; the table shows the end of its session later.
func (s *sim) kill(n *node) {
	n.alive = false
	s.after(sessionEndDelay, func() { n.sessionEnded = true })
}

// stop hands everything that n owns over to another instance, and ends n.
func (s *sim) stop(n, to *node) {
	handedOver := n.placement.Handover()
	n.alive = false
	s.after(sessionEndDelay, func() { n.sessionEnded = true })
	s.after(s.randomDuration(0, 10*time.Millisecond), func() {
		to.handle(func(out *event.Outbox) { to.placement.TakeOver(s.now, handedOver, out) })
	})
}

// demand makes an instance demand an artifact, as the queue owner would.
func (s *sim) demand(n *node, a id.Artifact) {
	n.handle(func(out *event.Outbox) {
		n.placement.SetDemand(s.now, Demand{Artifact: a, Class: config.Interactive, TimeToDeadline: time.Minute, Waiting: 1}, out)
	})
}

// demandFor repeats a demand until a is loaded, for d at most, and reports
// whether it was.
func (s *sim) demandFor(d time.Duration, a id.Artifact) bool {
	for end := s.now.Add(d); s.now.Before(end) && len(s.loadedAt(a)) == 0; s.run(100 * time.Millisecond) {
		for _, n := range s.nodes {
			if n.alive {
				s.demand(n, a)
				break
			}
		}
	}
	return len(s.loadedAt(a)) > 0
}

// loadedAt returns the backend servers on which a is fully loaded.
func (s *sim) loadedAt(a id.Artifact) []id.Backend {
	var at []id.Backend
	for _, b := range s.backends {
		if s.engines[b].held[a].State == message.Loaded {
			at = append(at, b)
		}
	}
	return at
}
