package once

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process"
	"oleanderdale.org/core/request/queue"
	"oleanderdale.org/core/request/turn"
	"oleanderdale.org/core/table"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// faults are the faults of a run. Numbers of type float64 are probabilities.
type faults struct {
	loss, duplication               float64       // of a message
	delay                           time.Duration // longest delay of a message or table operation
	tableDown                       float64       // a table operation is not executed, and its caller is told
	tableResultLost, tableWriteLate float64       // the result is lost; the operation takes effect after the caller gave up
	notSent, serverCrash            float64       // of an attempt; the server crashes before or after executing it
	kills                           int           // number of instances that are killed
	seed                            uint64
}

// simEvent is a function that runs at a point in virtual time.
type simEvent struct {
	at  clock.Time
	seq int
	run func()
}

// eventHeap orders events by time, then by the order in which they were added.
type eventHeap []simEvent

func (t eventHeap) Len() int { return len(t) }
func (t eventHeap) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].seq < t[j].seq)
}
func (t eventHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *eventHeap) Push(x any)   { *t = append(*t, x.(simEvent)) }
func (t *eventHeap) Pop() any     { o := *t; x := o[len(o)-1]; *t = o[:len(o)-1]; return x }

// simulation runs several instances, the table and the service in virtual time, and
// counts the executions at the service.
type simulation struct {
	faults        faults
	rng           *rand.Rand
	now           clock.Time
	seq           int
	events        eventHeap
	instances     []*simInstance
	rows          map[table.Key]table.Row
	runsByKey     map[string]int        // executions by idempotency key
	runsByRequest map[id.Request]int    // executions by request
	sent          map[id.Request]bool   // requests that were sent to a server
	results       map[id.Request]string // final answers to the callers
	deadlines     map[id.Request]clock.Time
	receiver      map[id.Request]*simInstance // instance that received each request
	violations    []string
}

// simInstance is one instance: its tracker, its client of the queues and its queues.
type simInstance struct {
	process.Members
	sim     *simulation
	name    id.Instance
	dead    bool // killed
	removed bool // dead, and no longer in the list of instances
	once    *Tracker
	turns   *turn.Client
	owner   *queue.Owner
	calls   map[id.Request]Call
	wakeAt  clock.Time // when the next Tick is scheduled
}

func (n *simInstance) Self() id.Instance                            { return n.name }
func (n *simInstance) InZone(id.Zone) []id.Instance                 { return n.Live() }
func (n *simInstance) Zones(queue.Target) []id.Zone                 { return []id.Zone{"z"} }
func (n *simInstance) ArtifactReplicas(id.Artifact) []queue.Replica { return nil }
func (n *simInstance) EstimateLoadTime(id.Artifact) time.Duration   { return 0 }

func (n *simInstance) Backend(id.Backend) (event.Member, bool) { return event.Member{}, true }

func (n *simInstance) Live() []id.Instance {
	var live []id.Instance
	for _, o := range n.sim.instances {
		if !o.removed {
			live = append(live, o.name)
		}
	}
	return live
}

func (n *simInstance) ServiceReplicas(id.Service) []queue.Replica {
	return []queue.Replica{
		{Backend: "b1", State: queue.Loaded, Concurrency: 2},
		{Backend: "b2", State: queue.Loaded, Concurrency: 2},
	}
}

func newSimulation(f faults, instances int) *simulation {
	s := &simulation{
		faults: f, rng: rand.New(rand.NewPCG(f.seed, 1)), now: clock.Time(time.Hour),
		rows: make(map[table.Key]table.Row), runsByKey: make(map[string]int), runsByRequest: make(map[id.Request]int),
		results: make(map[id.Request]string), deadlines: make(map[id.Request]clock.Time),
		receiver: make(map[id.Request]*simInstance), sent: make(map[id.Request]bool),
	}
	for i := range instances {
		n := &simInstance{sim: s, name: id.Instance(fmt.Sprint("i", i)), calls: make(map[id.Request]Call)}
		n.once = New(Settings{}, n, &invariant.Checker{})
		n.turns = turn.New(turn.Settings{}, n, n, &invariant.Checker{})
		n.owner = queue.New(queue.Settings{Instance: n.name}, n, n, &invariant.Checker{})
		s.instances = append(s.instances, n)
	}
	return s
}

// chance returns true with probability p.
func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

// randomDuration returns a random duration of at most d.
func (s *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d) + 1))
}

// after schedules a function.
func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, run})
}

// run executes all events of the next d of virtual time.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); len(s.events) > 0 && s.events[0].at <= end; {
		t := heap.Pop(&s.events).(simEvent)
		s.now = t.at
		t.run()
	}
}

// handle lets an instance handle an event and carries out the effects.
func (n *simInstance) handle(f func(now clock.Time, out *event.Outbox)) {
	if n.dead {
		return
	}
	var out event.Outbox
	f(n.sim.now, &out)
	n.processDecisions(&out)
	for _, e := range out.Take() {
		n.carryOut(e)
	}
	if next := clock.Earliest(n.once.Next(), n.turns.Next(), n.owner.Next()); next != clock.Never && next != n.wakeAt {
		n.wakeAt = next
		n.sim.after(max(next.Sub(n.sim.now), 0), func() {
			n.wakeAt = 0
			n.handle(func(now clock.Time, out *event.Outbox) {
				n.once.Tick(now, out)
				n.turns.Tick(now, out)
				n.owner.Tick(now, out)
			})
		})
	}
}

// processDecisions passes the decisions of each state machine to the other.
func (n *simInstance) processDecisions(out *event.Outbox) {
	for {
		once, turns := n.once.Decisions(), n.turns.Decisions()
		if len(once)+len(turns) == 0 {
			return
		}
		for _, d := range once {
			n.handleOnceDecision(d, out)
		}
		for _, d := range turns {
			n.handleTurnDecision(d, out)
		}
	}
}

func (n *simInstance) handleOnceDecision(d Decision, out *event.Outbox) {
	c := n.calls[d.Request]
	switch d.Action {
	case Send:
		n.turns.Acquire(n.sim.now, turn.Request{
			Call:    event.Call{Request: c.Request, Service: "s", Deadline: c.Deadline, BodyDigest: c.Digest},
			Account: c.Account, Class: config.Urgent, Cost: 1,
		}, out)
	case Answer:
		n.sim.recordResult(d.Request, "answer "+string(d.Row.Body))
	case Refuse:
		n.sim.recordResult(d.Request, string(d.Refusal.Execution))
	case QueryStatus:
		s := StatusResult{Known: n.sim.runsByKey[c.Key] > 0, Status: 200, Body: []byte(c.Key)}
		n.sim.after(n.sim.randomDuration(time.Second), func() {
			n.handle(func(now clock.Time, out *event.Outbox) { n.once.HandleStatus(now, d.Request, s, out) })
		})
	}
}

func (n *simInstance) handleTurnDecision(d turn.Decision, out *event.Outbox) {
	switch {
	case d.Refusal != nil:
		n.once.Cancel(n.sim.now, d.Request, out)
		n.sim.recordResult(d.Request, string(d.Refusal.Execution))
	case !n.once.CanSend(d.Request):
		n.turns.Cancel(n.sim.now, d.Request, out)
	default:
		n.dispatch(d)
	}
}

// dispatch sends the call to a server. The service may execute it even if the
// response or the instance is lost.
func (n *simInstance) dispatch(d turn.Decision) {
	s, c := n.sim, n.calls[d.Request]
	s.sent[c.Request] = true
	result := event.AttemptCompleted
	if s.chance(s.faults.notSent) {
		result = event.AttemptNotSent
	} else {
		runsWithin := 200 * time.Millisecond
		if s.chance(s.faults.serverCrash) {
			result = event.AttemptCrashed
			runsWithin = 5 * time.Second // the service may still execute what it received
		}
		if result == event.AttemptCompleted || s.chance(0.5) {
			s.after(s.randomDuration(runsWithin), func() { s.runsByKey[c.Key]++; s.runsByRequest[c.Request]++ })
		}
	}
	took := 200*time.Millisecond + s.randomDuration(time.Second)
	if left := c.Deadline.Sub(s.now); took >= left { // the deadline ends the attempt
		took = left
		if result == event.AttemptCompleted {
			result = event.AttemptCancelled
		}
	}
	s.after(took, func() {
		n.handle(func(now clock.Time, out *event.Outbox) {
			if result == event.AttemptNotSent && now.Before(c.Deadline) && s.chance(0.5) {
				n.retryUnsent(now, c, out)
			} else {
				n.once.HandleAttemptEnded(now, event.AttemptEnded{
					Request: c.Request, Result: result, Status: 200, Body: []byte(c.Key),
				}, out)
			}
			n.turns.Release(now, message.TurnRelease{
				Request: c.Request, Backend: d.Grant.Backend, ServerFailed: result == event.AttemptCrashed,
				ServiceTime: 500 * time.Millisecond,
			}, out)
		})
	})
}

// retryUnsent tries a call that was certainly not sent again as another attempt.
func (n *simInstance) retryUnsent(now clock.Time, c Call, out *event.Outbox) {
	n.once.Cancel(now, c.Request, out)
	c.Attempt += "+"
	n.calls[c.Request] = c
	n.once.Begin(now, c, out)
}

// carryOut carries out an effect.
func (n *simInstance) carryOut(e event.Effect) {
	switch e := e.(type) {
	case event.SendPeer:
		n.sim.deliver(n, e)
	case event.TableRead:
		n.sim.tableOp(n, e.Op, func() (table.Outcome, []table.Row) { return n.sim.read(e.Keys) })
	case event.TableCommit:
		n.sim.tableOp(n, e.Op, func() (table.Outcome, []table.Row) { return n.sim.commit(e.Writes[0]), nil })
	}
}

// deliver sends a message to another instance, with faults.
func (s *simulation) deliver(from *simInstance, e event.SendPeer) {
	to := s.instances[slices.IndexFunc(s.instances, func(n *simInstance) bool { return n.name == e.To })]
	if to == from {
		s.after(0, func() { to.receive(from.name, e.Message) })
		return
	}
	times := 1
	if s.chance(s.faults.loss) {
		times = 0
	} else if s.chance(s.faults.duplication) {
		times = 2
	}
	for range times {
		s.after(s.randomDuration(s.faults.delay), func() { to.receive(from.name, e.Message) })
	}
}

func (n *simInstance) receive(from id.Instance, m message.Message) {
	n.handle(func(now clock.Time, out *event.Outbox) {
		switch m := m.(type) {
		case message.TurnRequest:
			n.owner.HandleAcquire(now, from, m, out)
		case message.TurnRelease:
			n.owner.HandleRelease(now, from, m, out)
		case message.OnceQuery, message.OnceReply:
			n.once.HandleMessage(now, from, m, out)
		default:
			n.turns.HandleMessage(now, from, m, out)
		}
	})
}

// tableOp executes a table operation, does not execute it, or executes it after its
// caller was told that the result is unknown.
func (s *simulation) tableOp(n *simInstance, op event.Op, do func() (table.Outcome, []table.Row)) {
	answer := func(d time.Duration, o table.Outcome, rows []table.Row) {
		s.after(d, func() {
			n.handle(func(now clock.Time, out *event.Outbox) {
				n.once.HandleTableResult(now, event.TableResult{Op: op, Outcome: o, Rows: rows}, out)
			})
		})
	}
	slow := s.randomDuration(s.faults.delay)
	switch {
	case s.chance(s.faults.tableDown):
		answer(slow, table.NotExecuted, nil)
	case s.chance(s.faults.tableResultLost):
		answer(slow, table.Unknown, nil)
		s.after(s.randomDuration(slow), func() {
			if s.chance(0.5) {
				do()
			}
		})
	case s.chance(s.faults.tableWriteLate):
		answer(slow, table.Unknown, nil)
		s.after(slow+s.randomDuration(10*time.Second), func() { do() })
	default:
		s.after(slow/2, func() {
			o, rows := do()
			answer(slow/2, o, rows)
		})
	}
}

func (s *simulation) read(keys []table.Key) (table.Outcome, []table.Row) {
	if r, ok := s.rows[keys[0]]; ok {
		return table.Done, []table.Row{r}
	}
	return table.Done, nil
}

func (s *simulation) commit(wr table.Write) table.Outcome {
	r := s.rows[wr.Key]
	if r.Version != wr.Expect {
		return table.Conflict
	}
	s.rows[wr.Key] = table.Row{Key: wr.Key, Version: r.Version + 1, Body: wr.Body}
	return table.Done
}

// recordResult records the final answer to a request.
func (s *simulation) recordResult(r id.Request, result string) {
	if prev, ok := s.results[r]; ok {
		s.violations = append(s.violations, fmt.Sprintf("%s ended twice: %s, %s", r, prev, result))
	}
	grace := time.Duration(0)
	if s.sent[r] {
		grace = DefaultDeadlineGrace
	}
	if late := s.now.Sub(s.deadlines[r]); late > grace {
		s.violations = append(s.violations, fmt.Sprintf("%s decided %s after its deadline", r, late))
	}
	s.results[r] = result
}

// sendRequest makes a caller send a request with an idempotency key to an instance.
func (s *simulation) sendRequest(n *simInstance, r id.Request, key string, within time.Duration, status bool) {
	c := Call{
		Request: r, Account: "a", Key: key, Digest: id.Digest(key), Attempt: id.Attempt("t-" + r),
		Deadline: s.now.Add(within), CanQueryStatus: status,
	}
	s.deadlines[r], s.receiver[r], n.calls[r] = c.Deadline, n, c
	n.handle(func(now clock.Time, out *event.Outbox) { n.once.Begin(now, c, out) })
}

// kill stops an instance without notice. The others learn it one to two seconds later.
func (s *simulation) kill(n *simInstance) {
	n.dead = true
	s.after(time.Second+s.randomDuration(time.Second), func() {
		n.removed = true
		for _, o := range s.instances {
			o.handle(func(now clock.Time, out *event.Outbox) { o.owner.RemoveInstance(now, n.name, out) })
		}
	})
}

// runScenario sends each of several calls up to four times through different
// instances, some at once and some later, like a caller that gets no answer.
func (s *simulation) runScenario(calls int, status bool) {
	for i := range calls {
		key := fmt.Sprint("k", i)
		start := s.randomDuration(20 * time.Second)
		for j := range 1 + s.rng.IntN(4) {
			r := id.Request(fmt.Sprintf("r%d.%d", i, j))
			n := s.instances[s.rng.IntN(len(s.instances))]
			within := 500*time.Millisecond + s.randomDuration(8*time.Second)
			s.after(start, func() { s.sendRequest(n, r, key, within, status) })
			if s.chance(0.6) {
				start += s.randomDuration(6 * time.Second)
			}
		}
	}
	for i := range s.faults.kills {
		s.after(s.randomDuration(20*time.Second), func() { s.kill(s.instances[i]) })
	}
	s.run(2 * time.Minute)
	s.faults = faults{} // without faults, so that everything that is left over must be resolved
	s.run(20 * time.Minute)
}

// findViolations returns the violations that callers or the service would see.
func (s *simulation) findViolations() []string {
	violations := s.violations
	for key, n := range s.runsByKey {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
	for r, n := range s.receiver {
		if _, ok := s.results[r]; !ok && !n.dead {
			violations = append(violations, fmt.Sprintf("%s was never decided", r))
		}
		if s.results[r] == string(event.NotRun) && s.runsByRequest[r] > 0 {
			violations = append(violations, fmt.Sprintf("%s ran and was reported as not-run", r))
		}
	}
	for _, n := range s.instances {
		if open := n.turns.Len() + n.owner.TurnsInUse() + n.owner.QueueLength() + n.once.Len() + n.once.OpenAttempts(); !n.dead && open > 0 {
			violations = append(violations, fmt.Sprintf("%s still has %d turns as client, %d turns as owner, %d waiting requests, %d calls, %d open attempts", n.name,
				n.turns.Len(), n.owner.TurnsInUse(), n.owner.QueueLength(), n.once.Len(), n.once.OpenAttempts()))
		}
	}
	slices.Sort(violations)
	return violations
}

// Callers send calls, and send them again through other instances if they get no
// answer, while messages are lost and duplicated, the table is down, slow or loses
// results, instances are killed and servers crash after executing a call. No call
// may run twice, no call reported as not-run may have run, each request must be
// decided by its deadline, and no turn may stay in use.
func TestSimulation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := func(name string, limit float64) float64 { return rapid.Float64Range(0, limit).Draw(t, name) }
		f := faults{
			loss: p("loss", 0.5), duplication: p("duplication", 0.5), tableDown: p("tableDown", 0.3), tableResultLost: p("tableResultLost", 0.3),
			tableWriteLate: p("tableWriteLate", 0.3), notSent: p("notSent", 0.3), serverCrash: p("serverCrash", 0.4),
			delay: time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "delay")),
			kills: rapid.IntRange(0, 3).Draw(t, "kills"),
			seed:  rapid.Uint64().Draw(t, "seed"),
		}
		sim := newSimulation(f, 5)
		sim.runScenario(8, rapid.Bool().Draw(t, "status"))
		for _, violation := range sim.findViolations() {
			t.Error(violation)
		}
	})
}
