// Package fleettest runs several instances' machines together in virtual time,
// with a table and a network between them that fail on demand. It is for tests
// of the packages under process; the same seed gives the same run.
package fleettest

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// opTimeout is when an unanswered table operation is reported as unknown.
const opTimeout = time.Second

// Machine is what runs on a node.
type Machine interface {
	Tick(now clock.Time, out *event.Outbox)
	Next() clock.Time
	HandleMessage(now clock.Time, from id.Instance, m message.Message, out *event.Outbox)
	HandleTableResult(now clock.Time, r event.TableResult, out *event.Outbox)
}

// Node is one running instance.
type Node struct {
	Name    id.Instance
	Zone    id.Zone
	Machine Machine
	Dead    bool
	// TableUnreachable cuts this node alone from the table.
	TableUnreachable bool

	offset clock.Time
	speed  float64
	paused clock.Time
	outbox event.Outbox
}

// LocalTime returns the node's own clock at t.
func (n *Node) LocalTime(t clock.Time) clock.Time {
	return clock.Time(float64(t)*n.speed) + n.offset
}

// world returns when the node's own clock shows t.
func (n *Node) world(t clock.Time) clock.Time {
	return clock.Time(math.Ceil(float64(t-n.offset) / n.speed))
}

// Faults is what goes wrong now.
type Faults struct {
	LossRate, DuplicateRate float64       // of messages
	MaxDelay                time.Duration // longest, of messages and the table
	TableDown               bool
	LostReplyRate           float64                      // of table operations that took effect
	IsolatedZones           map[id.Zone]bool             // from the platform
	IsLinkCut               func(a, b *Node) bool        // nil: no link is cut
	OnCommit                func(w []table.Write)        // sees each transaction that took effect
	AcceptMessage           func(m message.Message) bool // false drops it; nil: none
}

// Fleet is a fleet in virtual time.
type Fleet struct {
	Now    clock.Time
	Faults Faults
	Rows   map[table.Key]table.Row
	Nodes  []*Node
	// ClockDrift is how much faster or slower, in turn, the nodes' clocks go.
	ClockDrift float64
	// OnStep runs after each step.
	OnStep func()
	// TableOps and Messages count what was sent.
	TableOps, Messages int

	rng   *rand.Rand
	queue deliveries
	seq   uint64
}

// New returns an empty world.
func New(seed uint64) *Fleet {
	return &Fleet{
		Now:    clock.Time(time.Hour),
		Faults: Faults{MaxDelay: 2 * time.Millisecond, IsolatedZones: make(map[id.Zone]bool)},
		Rows:   make(map[table.Key]table.Row),
		OnStep: func() {},
		rng:    rand.New(rand.NewPCG(seed, 0)),
	}
}

// Add starts a node. Its clock has its own start.
func (w *Fleet) Add(name id.Instance, z id.Zone, m Machine) *Node {
	n := &Node{Name: name, Zone: z, Machine: m, speed: 1 + w.ClockDrift}
	if len(w.Nodes)%2 == 1 {
		n.speed = 1 - w.ClockDrift
	}
	n.offset = clock.Time(len(w.Nodes)+1) * clock.Time(time.Hour)
	w.Nodes = append(w.Nodes, n)
	w.Call(n, func(now clock.Time, out *event.Outbox) { m.Tick(now, out) })
	return n
}

// Node returns a node by name.
func (w *Fleet) Node(name id.Instance) *Node {
	i := slices.IndexFunc(w.Nodes, func(n *Node) bool { return n.Name == name })
	return w.Nodes[i]
}

// Pause stops a node for d, its clock going on.
func (w *Fleet) Pause(n *Node, d time.Duration) { n.paused = w.Now.Add(d) }

// Paused reports whether a node is paused.
func (w *Fleet) Paused(n *Node) bool { return w.Now < n.paused }

// Call calls a node from outside, for instance with a request.
func (w *Fleet) Call(n *Node, f func(now clock.Time, out *event.Outbox)) {
	f(n.LocalTime(w.Now), &n.outbox)
	w.carryOut(n)
}

// After calls f at a time from now.
func (w *Fleet) After(d time.Duration, f func()) { w.push(w.Now.Add(d), nil, f) }

// Run runs for d.
func (w *Fleet) Run(d time.Duration) {
	end := w.Now.Add(d)
	for w.step(end) {
		w.OnStep()
	}
	w.Now = end
	w.OnStep()
}

// step runs the earliest delivery or tick up to end.
func (w *Fleet) step(end clock.Time) bool {
	var next *Node
	at := end
	for _, n := range w.Nodes {
		if t := w.wakeOf(n); t < at {
			next, at = n, t
		}
	}
	if len(w.queue) > 0 && w.queue[0].at < at {
		d := heap.Pop(&w.queue).(delivery)
		w.Now = max(w.Now, d.at)
		w.deliver(d)
		return true
	}
	if next == nil {
		return false
	}
	w.Now = max(w.Now, at)
	w.Call(next, next.Machine.Tick)
	return true
}

func (w *Fleet) wakeOf(n *Node) clock.Time {
	t := n.Machine.Next()
	if n.Dead || t == clock.Never {
		return clock.Never
	}
	return max(n.world(t), n.paused, w.Now)
}

func (w *Fleet) deliver(d delivery) {
	switch {
	case d.to == nil:
		d.do()
	case d.to.Dead:
	case w.Paused(d.to):
		w.push(d.to.paused, d.to, d.do)
	default:
		d.do()
	}
}

func (w *Fleet) carryOut(n *Node) {
	for _, e := range n.outbox.Take() {
		switch e := e.(type) {
		case event.SendPeer:
			w.send(n, e)
		case event.TableRead:
			w.table(n, e.Op, func() event.TableResult { return w.read(e) })
		case event.TableCommit:
			w.table(n, e.Op, func() event.TableResult { return w.commit(e) })
		}
	}
}

func (w *Fleet) send(from *Node, e event.SendPeer) {
	w.Messages++
	copies := 1
	if w.rng.Float64() < w.Faults.DuplicateRate {
		copies = 2
	}
	for range copies {
		if w.rng.Float64() < w.Faults.LossRate || (w.Faults.AcceptMessage != nil && !w.Faults.AcceptMessage(e.Message)) {
			continue
		}
		for _, to := range w.Nodes {
			if to.Name == e.To && (w.Faults.IsLinkCut == nil || !w.Faults.IsLinkCut(from, to)) {
				w.push(w.late(), to, func() {
					w.Call(to, func(now clock.Time, out *event.Outbox) { to.Machine.HandleMessage(now, from.Name, e.Message, out) })
				})
			}
		}
	}
}

// table carries out an operation half way and answers at the end. Down, it may
// still have taken effect: only the answer is known to be missing.
func (w *Fleet) table(n *Node, op event.Op, do func() event.TableResult) {
	w.TableOps++
	if w.Faults.TableDown || w.Faults.IsolatedZones[n.Zone] || n.TableUnreachable {
		w.answer(n, w.Now.Add(opTimeout), event.TableResult{Op: op, Outcome: table.Unknown})
		return
	}
	w.push(w.late(), nil, func() {
		r := do()
		r.Op = op
		if w.rng.Float64() < w.Faults.LostReplyRate {
			w.answer(n, w.Now.Add(opTimeout), event.TableResult{Op: op, Outcome: table.Unknown})
			return
		}
		w.answer(n, w.late(), r)
	})
}

func (w *Fleet) answer(n *Node, at clock.Time, r event.TableResult) {
	w.push(at, n, func() {
		w.Call(n, func(now clock.Time, out *event.Outbox) { n.Machine.HandleTableResult(now, r, out) })
	})
}

func (w *Fleet) read(e event.TableRead) event.TableResult {
	r := event.TableResult{Outcome: table.Done}
	for _, k := range e.Keys {
		if row, ok := w.Rows[k]; ok {
			r.Rows = append(r.Rows, row)
		}
	}
	return r
}

func (w *Fleet) commit(e event.TableCommit) event.TableResult {
	for _, x := range e.Writes {
		if w.Rows[x.Key].Version != x.Expect {
			return event.TableResult{Outcome: table.Conflict}
		}
	}
	for _, x := range e.Writes {
		w.Rows[x.Key] = table.Row{Key: x.Key, Version: x.Expect + 1, Body: x.Body}
	}
	if w.Faults.OnCommit != nil {
		w.Faults.OnCommit(e.Writes)
	}
	return event.TableResult{Outcome: table.Done}
}

// late returns a moment within Delay from now.
func (w *Fleet) late() clock.Time {
	return w.Now.Add(time.Duration(w.rng.Int64N(int64(w.Faults.MaxDelay)) + 1))
}

func (w *Fleet) push(at clock.Time, to *Node, do func()) {
	w.seq++
	heap.Push(&w.queue, delivery{at: at, seq: w.seq, to: to, do: do})
}

// delivery is something that happens later.
type delivery struct {
	at  clock.Time
	seq uint64
	to  *Node // nil: to nobody in particular
	do  func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d[i].at, d[j].at), cmp.Compare(d[i].seq, d[j].seq)) < 0
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deliveries) Push(x any) { *d = append(*d, x.(delivery)) }

// Pop implements heap.Interface.
func (d *deliveries) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}
