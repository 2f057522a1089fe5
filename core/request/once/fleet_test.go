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

// faults are what may go wrong in a run, as probabilities.
type faults struct {
	loss, double  float64 // of a message
	delay         time.Duration
	down          float64 // a table operation is not carried out, and its caller knows
	lost, late    float64 // its answer is lost; it takes effect after that
	notSent, died float64 // of an attempt; a server dies before or after it ran
	kills         int
	seed          uint64
}

type task struct {
	at  clock.Time
	seq int
	run func()
}

type tasks []task

func (t tasks) Len() int { return len(t) }
func (t tasks) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].seq < t[j].seq)
}
func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *tasks) Push(x any)   { *t = append(*t, x.(task)) }
func (t *tasks) Pop() any     { o := *t; x := o[len(o)-1]; *t = o[:len(o)-1]; return x }

// world runs several instances, the table and the service in virtual time, and
// counts at the service what ran.
type world struct {
	f         faults
	rng       *rand.Rand
	now       clock.Time
	seq       int
	tasks     tasks
	nodes     []*node
	rows      map[table.Key]table.Row
	runs      map[string]int     // by idempotency key
	ran       map[id.Request]int // by request
	sent      map[id.Request]bool
	ends      map[id.Request]string
	deadlines map[id.Request]clock.Time
	asked     map[id.Request]*node
	wrong     []string
}

type node struct {
	process.Members
	w     *world
	name  id.Instance
	dead  bool
	gone  bool // dead, and the instance list says so
	once  *Calls
	turns *turn.Entry
	owner *queue.Owner
	calls map[id.Request]Call
	wake  clock.Time
}

func (n *node) Self() id.Instance                    { return n.name }
func (n *node) InZone(id.Zone) []id.Instance         { return n.Live() }
func (n *node) Zones(queue.Target) []id.Zone         { return []id.Zone{"z"} }
func (n *node) Snapshot(id.Artifact) []queue.Replica { return nil }
func (n *node) Estimate(id.Artifact) time.Duration   { return 0 }

func (n *node) Backend(id.Backend) (event.Member, bool) { return event.Member{}, true }

func (n *node) Live() []id.Instance {
	var live []id.Instance
	for _, o := range n.w.nodes {
		if !o.gone {
			live = append(live, o.name)
		}
	}
	return live
}

func (n *node) Servers(id.Service) []queue.Replica {
	return []queue.Replica{
		{Backend: "b1", State: queue.Loaded, Concurrency: 2},
		{Backend: "b2", State: queue.Loaded, Concurrency: 2},
	}
}

func newWorld(f faults, instances int) *world {
	w := &world{
		f: f, rng: rand.New(rand.NewPCG(f.seed, 1)), now: clock.Time(time.Hour),
		rows: make(map[table.Key]table.Row), runs: make(map[string]int), ran: make(map[id.Request]int),
		ends: make(map[id.Request]string), deadlines: make(map[id.Request]clock.Time),
		asked: make(map[id.Request]*node), sent: make(map[id.Request]bool),
	}
	for i := range instances {
		n := &node{w: w, name: id.Instance(fmt.Sprint("i", i)), calls: make(map[id.Request]Call)}
		n.once = New(Settings{}, n, &invariant.Checker{})
		n.turns = turn.New(turn.Settings{}, n, n, &invariant.Checker{})
		n.owner = queue.New(queue.Settings{Instance: n.name}, n, n, &invariant.Checker{})
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) hit(p float64) bool                 { return w.rng.Float64() < p }
func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d) + 1)) }

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.tasks, task{w.now.Add(d), w.seq, run})
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); len(w.tasks) > 0 && w.tasks[0].at <= end; {
		t := heap.Pop(&w.tasks).(task)
		w.now = t.at
		t.run()
	}
}

// do lets an instance handle an event, and carries its effects out.
func (n *node) do(f func(now clock.Time, out *event.Outbox)) {
	if n.dead {
		return
	}
	var out event.Outbox
	f(n.w.now, &out)
	n.settle(&out)
	for _, e := range out.Take() {
		n.effect(e)
	}
	if next := clock.Earliest(n.once.Next(), n.turns.Next(), n.owner.Next()); next != clock.Never && next != n.wake {
		n.wake = next
		n.w.after(max(next.Sub(n.w.now), 0), func() {
			n.wake = 0
			n.do(func(now clock.Time, out *event.Outbox) {
				n.once.Tick(now, out)
				n.turns.Tick(now, out)
				n.owner.Tick(now, out)
			})
		})
	}
}

// settle turns the machines' decisions into inputs of one another.
func (n *node) settle(out *event.Outbox) {
	for {
		once, turns := n.once.Decisions(), n.turns.Decisions()
		if len(once)+len(turns) == 0 {
			return
		}
		for _, d := range once {
			n.onOnce(d, out)
		}
		for _, d := range turns {
			n.onTurn(d, out)
		}
	}
}

func (n *node) onOnce(d Decision, out *event.Outbox) {
	c := n.calls[d.Request]
	switch d.Kind {
	case Send:
		n.turns.Request(n.w.now, turn.Ask{
			Call:    event.Call{Request: c.Request, Service: "s", Deadline: c.Deadline, BodyDigest: c.Digest},
			Account: c.Account, Class: config.Urgent, Cost: 1,
		}, out)
	case Answer:
		n.w.end(d.Request, "answer "+string(d.Row.Body))
	case Refuse:
		n.w.end(d.Request, string(d.Refusal.Execution))
	case AskStatus:
		s := Status{Known: n.w.runs[c.Key] > 0, Status: 200, Body: []byte(c.Key)}
		n.w.after(n.w.upTo(time.Second), func() {
			n.do(func(now clock.Time, out *event.Outbox) { n.once.StatusTold(now, d.Request, s, out) })
		})
	}
}

func (n *node) onTurn(d turn.Decision, out *event.Outbox) {
	switch {
	case d.Refused != nil:
		n.once.Abandon(n.w.now, d.Request, out)
		n.w.end(d.Request, string(d.Refused.Execution))
	case !n.once.MaySend(d.Request):
		n.turns.Cancel(n.w.now, d.Request, out)
	default:
		n.dispatch(d)
	}
}

// dispatch sends the call. The service may carry it out even if its answer, or
// the instance, is lost.
func (n *node) dispatch(d turn.Decision) {
	w, c := n.w, n.calls[d.Request]
	w.sent[c.Request] = true
	result := event.AttemptCompleted
	if w.hit(w.f.notSent) {
		result = event.AttemptNotSent
	} else {
		runsWithin := 200 * time.Millisecond
		if w.hit(w.f.died) {
			result = event.AttemptCrashed
			runsWithin = 5 * time.Second // what was received may still be carried out
		}
		if result == event.AttemptCompleted || w.hit(0.5) {
			w.after(w.upTo(runsWithin), func() { w.runs[c.Key]++; w.ran[c.Request]++ })
		}
	}
	took := 200*time.Millisecond + w.upTo(time.Second)
	if left := c.Deadline.Sub(w.now); took >= left { // the deadline ends the attempt
		took = left
		if result == event.AttemptCompleted {
			result = event.AttemptCancelled
		}
	}
	w.after(took, func() {
		n.do(func(now clock.Time, out *event.Outbox) {
			if result == event.AttemptNotSent && now.Before(c.Deadline) && w.hit(0.5) {
				n.beginAnew(now, c, out)
			} else {
				n.once.Ended(now, event.AttemptEnded{
					Request: c.Request, Result: result, Status: 200, Body: []byte(c.Key),
				}, out)
			}
			n.turns.Done(now, message.TurnRelease{
				Request: c.Request, Backend: d.Granted.Backend, ServerFailed: result == event.AttemptCrashed,
				ServiceTime: 500 * time.Millisecond,
			}, out)
		})
	})
}

// beginAnew tries a call again that surely was not sent, as another attempt.
func (n *node) beginAnew(now clock.Time, c Call, out *event.Outbox) {
	n.once.Abandon(now, c.Request, out)
	c.Attempt += "+"
	n.calls[c.Request] = c
	n.once.Begin(now, c, out)
}

func (n *node) effect(e event.Effect) {
	switch e := e.(type) {
	case event.SendPeer:
		n.w.deliver(n, e)
	case event.TableRead:
		n.w.table(n, e.Op, func() (table.Outcome, []table.Row) { return n.w.read(e.Keys) })
	case event.TableCommit:
		n.w.table(n, e.Op, func() (table.Outcome, []table.Row) { return n.w.commit(e.Writes[0]), nil })
	}
}

func (w *world) deliver(from *node, e event.SendPeer) {
	to := w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == e.To })]
	if to == from {
		w.after(0, func() { to.receive(from.name, e.Message) })
		return
	}
	times := 1
	if w.hit(w.f.loss) {
		times = 0
	} else if w.hit(w.f.double) {
		times = 2
	}
	for range times {
		w.after(w.upTo(w.f.delay), func() { to.receive(from.name, e.Message) })
	}
}

func (n *node) receive(from id.Instance, m message.Message) {
	n.do(func(now clock.Time, out *event.Outbox) {
		switch m := m.(type) {
		case message.TurnRequest:
			n.owner.Ask(now, from, m, out)
		case message.TurnRelease:
			n.owner.Done(now, from, m, out)
		case message.OnceQuery, message.OnceReply:
			n.once.Peer(now, from, m, out)
		default:
			n.turns.Peer(now, from, m, out)
		}
	})
}

// table carries an operation out, or not, or after its answer was given up.
func (w *world) table(n *node, op event.Op, do func() (table.Outcome, []table.Row)) {
	answer := func(d time.Duration, o table.Outcome, rows []table.Row) {
		w.after(d, func() {
			n.do(func(now clock.Time, out *event.Outbox) {
				n.once.Table(now, event.TableResult{Op: op, Outcome: o, Rows: rows}, out)
			})
		})
	}
	slow := w.upTo(w.f.delay)
	switch {
	case w.hit(w.f.down):
		answer(slow, table.NotExecuted, nil)
	case w.hit(w.f.lost):
		answer(slow, table.Unknown, nil)
		w.after(w.upTo(slow), func() {
			if w.hit(0.5) {
				do()
			}
		})
	case w.hit(w.f.late):
		answer(slow, table.Unknown, nil)
		w.after(slow+w.upTo(10*time.Second), func() { do() })
	default:
		w.after(slow/2, func() {
			o, rows := do()
			answer(slow/2, o, rows)
		})
	}
}

func (w *world) read(keys []table.Key) (table.Outcome, []table.Row) {
	if r, ok := w.rows[keys[0]]; ok {
		return table.Done, []table.Row{r}
	}
	return table.Done, nil
}

func (w *world) commit(wr table.Write) table.Outcome {
	r := w.rows[wr.Key]
	if r.Version != wr.Expect {
		return table.Conflict
	}
	w.rows[wr.Key] = table.Row{Key: wr.Key, Version: r.Version + 1, Body: wr.Body}
	return table.Done
}

func (w *world) end(r id.Request, how string) {
	if prev, ok := w.ends[r]; ok {
		w.wrong = append(w.wrong, fmt.Sprintf("%s ended twice: %s, %s", r, prev, how))
	}
	grace := time.Duration(0)
	if w.sent[r] {
		grace = DefaultEndGrace
	}
	if late := w.now.Sub(w.deadlines[r]); late > grace {
		w.wrong = append(w.wrong, fmt.Sprintf("%s decided %s after its deadline", r, late))
	}
	w.ends[r] = how
}

// call makes a caller send a request with an idempotency key at some instance.
func (w *world) call(n *node, r id.Request, key string, within time.Duration, status bool) {
	c := Call{
		Request: r, Account: "a", Key: key, Digest: id.Digest(key), Attempt: id.Attempt("t-" + r),
		Deadline: w.now.Add(within), StatusCall: status,
	}
	w.deadlines[r], w.asked[r], n.calls[r] = c.Deadline, n, c
	n.do(func(now clock.Time, out *event.Outbox) { n.once.Begin(now, c, out) })
}

func (w *world) kill(n *node) {
	n.dead = true
	w.after(time.Second+w.upTo(time.Second), func() {
		n.gone = true
		for _, o := range w.nodes {
			o.do(func(now clock.Time, out *event.Outbox) { o.owner.Lost(now, n.name, out) })
		}
	})
}

// play sends each of several orders a few times through different instances,
// some at once and some later, as a caller does that heard nothing.
func (w *world) play(orders int, status bool) {
	for i := range orders {
		key := fmt.Sprint("k", i)
		start := w.upTo(20 * time.Second)
		for j := range 1 + w.rng.IntN(4) {
			r := id.Request(fmt.Sprintf("r%d.%d", i, j))
			n := w.nodes[w.rng.IntN(len(w.nodes))]
			within := 500*time.Millisecond + w.upTo(8*time.Second)
			w.after(start, func() { w.call(n, r, key, within, status) })
			if w.hit(0.6) {
				start += w.upTo(6 * time.Second)
			}
		}
	}
	for i := range w.f.kills {
		w.after(w.upTo(20*time.Second), func() { w.kill(w.nodes[i]) })
	}
	w.run(2 * time.Minute)
	w.f = faults{} // the network heals, so that what was lost can be found
	w.run(20 * time.Minute)
}

// judge returns what a caller, or the service, would complain of.
func (w *world) judge() []string {
	wrong := w.wrong
	for key, n := range w.runs {
		if n > 1 {
			wrong = append(wrong, fmt.Sprintf("%s ran %d times", key, n))
		}
	}
	for r, n := range w.asked {
		if _, ok := w.ends[r]; !ok && !n.dead {
			wrong = append(wrong, fmt.Sprintf("%s was never decided", r))
		}
		if w.ends[r] == string(event.NotRun) && w.ran[r] > 0 {
			wrong = append(wrong, fmt.Sprintf("%s ran and was called not-run", r))
		}
	}
	for _, n := range w.nodes {
		if held := n.turns.Len() + n.owner.Granted() + n.owner.Waiting() + n.once.Len() + n.once.Held(); !n.dead && held > 0 {
			wrong = append(wrong, fmt.Sprintf("%s still holds turns %d, grants %d, waiting %d, calls %d, held %d", n.name,
				n.turns.Len(), n.owner.Granted(), n.owner.Waiting(), n.once.Len(), n.once.Held()))
		}
	}
	slices.Sort(wrong)
	return wrong
}

// Callers send orders, and send them again through other instances when they
// hear nothing, while messages are lost and doubled, the table is down, slow or
// loses answers, instances are killed and servers die after running an order.
// No order may run twice, each not-run must be true, each request must be
// decided by its deadline, and no turn may stay taken.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := func(name string, most float64) float64 { return rapid.Float64Range(0, most).Draw(t, name) }
		f := faults{
			loss: p("loss", 0.5), double: p("double", 0.5), down: p("down", 0.3), lost: p("lost", 0.3),
			late: p("late", 0.3), notSent: p("notSent", 0.3), died: p("died", 0.4),
			delay: time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "delay")),
			kills: rapid.IntRange(0, 3).Draw(t, "kills"),
			seed:  rapid.Uint64().Draw(t, "seed"),
		}
		w := newWorld(f, 5)
		w.play(8, rapid.Bool().Draw(t, "status"))
		for _, s := range w.judge() {
			t.Error(s)
		}
	})
}
