// Package fleettest simulates several instances in virtual time, with a table and
// a network into which tests inject faults. It is for tests of the packages under
// process. Runs with the same seed are identical.
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

// tableTimeout is the time after which a table operation without a result is
// reported as table.Unknown.
const tableTimeout = time.Second

// Machine is the state machine that runs on a node.
type Machine interface {
	Tick(now clock.Time, out *event.Outbox)
	Next() clock.Time
	HandleMessage(now clock.Time, from id.Instance, m message.Message, out *event.Outbox)
	HandleTableResult(now clock.Time, r event.TableResult, out *event.Outbox)
}

// Node is a running instance.
type Node struct {
	Name    id.Instance
	Zone    id.Zone
	Machine Machine
	Dead    bool
	// TableUnreachable cuts only this node off from the table.
	TableUnreachable bool

	clockOffset clock.Time
	clockRate   float64
	pausedUntil clock.Time
	outbox      event.Outbox
}

// LocalTime returns what the node's clock shows at fleet time t.
func (n *Node) LocalTime(t clock.Time) clock.Time {
	return clock.Time(float64(t)*n.clockRate) + n.clockOffset
}

// fleetTime returns the fleet time at which the node's clock shows t.
func (n *Node) fleetTime(t clock.Time) clock.Time {
	return clock.Time(math.Ceil(float64(t-n.clockOffset) / n.clockRate))
}

// Faults are the faults that are injected at present.
type Faults struct {
	LossRate, DuplicateRate float64       // probabilities, per message
	MaxDelay                time.Duration // of messages, and of each way to the table
	TableDown               bool
	LostReplyRate           float64                      // probability, per table operation that took effect
	IsolatedZones           map[id.Zone]bool             // cut off from the table
	IsLinkCut               func(a, b *Node) bool        // nil if no link is cut
	OnCommit                func(w []table.Write)        // called with each transaction that took effect
	AcceptMessage           func(m message.Message) bool // drops a message if false; nil accepts all
}

// Fleet is a set of nodes in virtual time.
type Fleet struct {
	Now    clock.Time
	Faults Faults
	Rows   map[table.Key]table.Row
	Nodes  []*Node
	// ClockDrift is the drift of the nodes' clocks: every other clock runs faster
	// by this part, the others slower.
	ClockDrift float64
	// OnStep is called after each step.
	OnStep func()
	// TableOps and Messages count the operations and messages sent.
	TableOps, Messages int

	rng   *rand.Rand
	queue callQueue
	seq   uint64
}

// New returns a fleet without nodes.
func New(seed uint64) *Fleet {
	return &Fleet{
		Now:    clock.Time(time.Hour),
		Faults: Faults{MaxDelay: 2 * time.Millisecond, IsolatedZones: make(map[id.Zone]bool)},
		Rows:   make(map[table.Key]table.Row),
		OnStep: func() {},
		rng:    rand.New(rand.NewPCG(seed, 0)),
	}
}

// Add starts a node. Each node's clock has a different offset.
func (f *Fleet) Add(name id.Instance, z id.Zone, m Machine) *Node {
	n := &Node{Name: name, Zone: z, Machine: m, clockRate: 1 + f.ClockDrift}
	if len(f.Nodes)%2 == 1 {
		n.clockRate = 1 - f.ClockDrift
	}
	n.clockOffset = clock.Time(len(f.Nodes)+1) * clock.Time(time.Hour)
	f.Nodes = append(f.Nodes, n)
	f.Call(n, func(now clock.Time, out *event.Outbox) { m.Tick(now, out) })
	return n
}

// Node returns the node with this name, which must exist.
func (f *Fleet) Node(name id.Instance) *Node {
	i := slices.IndexFunc(f.Nodes, func(n *Node) bool { return n.Name == name })
	return f.Nodes[i]
}

// Pause stops a node for d. Its clock continues to run.
func (f *Fleet) Pause(n *Node, d time.Duration) { n.pausedUntil = f.Now.Add(d) }

// Paused reports whether a node is paused.
func (f *Fleet) Paused(n *Node) bool { return f.Now < n.pausedUntil }

// Call calls do with the node's time and outbox, for example to send it a request,
// and carries out the effects.
func (f *Fleet) Call(n *Node, do func(now clock.Time, out *event.Outbox)) {
	do(n.LocalTime(f.Now), &n.outbox)
	f.applyEffects(n)
}

// After calls do after d.
func (f *Fleet) After(d time.Duration, do func()) { f.schedule(f.Now.Add(d), nil, do) }

// Run advances the time by d.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for f.runStep(end) {
		f.OnStep()
	}
	f.Now = end
	f.OnStep()
}

// runStep runs the earliest scheduled call or tick before end. It reports whether
// there was one.
func (f *Fleet) runStep(end clock.Time) bool {
	var next *Node
	at := end
	for _, n := range f.Nodes {
		if t := f.nextTick(n); t < at {
			next, at = n, t
		}
	}
	if len(f.queue) > 0 && f.queue[0].at < at {
		c := heap.Pop(&f.queue).(scheduledCall)
		f.Now = max(f.Now, c.at)
		f.runCall(c)
		return true
	}
	if next == nil {
		return false
	}
	f.Now = max(f.Now, at)
	f.Call(next, next.Machine.Tick)
	return true
}

// nextTick returns the fleet time of the node's next tick.
func (f *Fleet) nextTick(n *Node) clock.Time {
	t := n.Machine.Next()
	if n.Dead || t == clock.Never {
		return clock.Never
	}
	return max(n.fleetTime(t), n.pausedUntil, f.Now)
}

// runCall runs a scheduled call, or drops it if its node is dead. If the node is
// paused, the call is scheduled for the end of the pause.
func (f *Fleet) runCall(c scheduledCall) {
	switch {
	case c.to == nil:
		c.run()
	case c.to.Dead:
	case f.Paused(c.to):
		f.schedule(c.to.pausedUntil, c.to, c.run)
	default:
		c.run()
	}
}

// applyEffects carries out the effects in a node's outbox.
func (f *Fleet) applyEffects(n *Node) {
	for _, e := range n.outbox.Take() {
		switch e := e.(type) {
		case event.SendPeer:
			f.sendPeer(n, e)
		case event.TableRead:
			f.callTable(n, e.Op, func() event.TableResult { return f.read(e) })
		case event.TableCommit:
			f.callTable(n, e.Op, func() event.TableResult { return f.commit(e) })
		}
	}
}

// sendPeer delivers a message subject to the injected faults.
func (f *Fleet) sendPeer(from *Node, e event.SendPeer) {
	f.Messages++
	copies := 1
	if f.rng.Float64() < f.Faults.DuplicateRate {
		copies = 2
	}
	for range copies {
		if f.rng.Float64() < f.Faults.LossRate || (f.Faults.AcceptMessage != nil && !f.Faults.AcceptMessage(e.Message)) {
			continue
		}
		for _, to := range f.Nodes {
			if to.Name == e.To && (f.Faults.IsLinkCut == nil || !f.Faults.IsLinkCut(from, to)) {
				f.schedule(f.randomDeliveryTime(), to, func() {
					f.Call(to, func(now clock.Time, out *event.Outbox) { to.Machine.HandleMessage(now, from.Name, e.Message, out) })
				})
			}
		}
	}
}

// callTable runs a table operation after one delay and returns its result after
// another. The result is table.Unknown both if the table can't be reached and if
// the operation took effect but its reply is lost, so that the caller can't tell
// the two cases apart.
func (f *Fleet) callTable(n *Node, op event.Op, do func() event.TableResult) {
	f.TableOps++
	if f.Faults.TableDown || f.Faults.IsolatedZones[n.Zone] || n.TableUnreachable {
		f.scheduleTableResult(n, f.Now.Add(tableTimeout), event.TableResult{Op: op, Outcome: table.Unknown})
		return
	}
	f.schedule(f.randomDeliveryTime(), nil, func() {
		r := do()
		r.Op = op
		if f.rng.Float64() < f.Faults.LostReplyRate {
			f.scheduleTableResult(n, f.Now.Add(tableTimeout), event.TableResult{Op: op, Outcome: table.Unknown})
			return
		}
		f.scheduleTableResult(n, f.randomDeliveryTime(), r)
	})
}

// scheduleTableResult delivers the result of a table operation at time at.
func (f *Fleet) scheduleTableResult(n *Node, at clock.Time, r event.TableResult) {
	f.schedule(at, n, func() {
		f.Call(n, func(now clock.Time, out *event.Outbox) { n.Machine.HandleTableResult(now, r, out) })
	})
}

func (f *Fleet) read(e event.TableRead) event.TableResult {
	r := event.TableResult{Outcome: table.Done}
	for _, k := range e.Keys {
		if row, ok := f.Rows[k]; ok {
			r.Rows = append(r.Rows, row)
		}
	}
	return r
}

func (f *Fleet) commit(e event.TableCommit) event.TableResult {
	for _, x := range e.Writes {
		if f.Rows[x.Key].Version != x.Expect {
			return event.TableResult{Outcome: table.Conflict}
		}
	}
	for _, x := range e.Writes {
		f.Rows[x.Key] = table.Row{Key: x.Key, Version: x.Expect + 1, Body: x.Body}
	}
	if f.Faults.OnCommit != nil {
		f.Faults.OnCommit(e.Writes)
	}
	return event.TableResult{Outcome: table.Done}
}

// randomDeliveryTime returns a random time up to MaxDelay from now.
func (f *Fleet) randomDeliveryTime() clock.Time {
	return f.Now.Add(time.Duration(f.rng.Int64N(int64(f.Faults.MaxDelay)) + 1))
}

// schedule adds a call at time at. If to is set, the call is subject to the state
// of that node.
func (f *Fleet) schedule(at clock.Time, to *Node, do func()) {
	f.seq++
	heap.Push(&f.queue, scheduledCall{at: at, seq: f.seq, to: to, run: do})
}

// scheduledCall is a call at a later time.
type scheduledCall struct {
	at  clock.Time
	seq uint64
	to  *Node // nil if it concerns no particular node
	run func()
}

// callQueue is a heap of calls, ordered by time and then by sequence.
type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *callQueue) Push(x any) { *q = append(*q, x.(scheduledCall)) }

// Pop implements heap.Interface.
func (q *callQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
