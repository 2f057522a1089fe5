package spread

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// Faults holds the fractions of nodes and of links that have failed without
// being detected by other nodes yet.
type Faults struct{ FailedNodes, FailedLinks float64 }

// Result describes the dissemination of one update.
type Result struct {
	Coverage        float64       // fraction of the healthy nodes that received the update
	MaxHops         int           // largest number of hops of a first delivery
	CompletionTime  time.Duration // time of the last first delivery
	Messages        int           // sent by all nodes
	MaxNodeMessages int           // sent by the busiest node
	CrossRegion     int           // messages sent to other regions
}

// arrival is the scheduled delivery of a packet.
type arrival struct {
	packet
	at   time.Duration
	hops int
	seq  int
}

// arrivalHeap orders arrivals by time, then in the order of sending.
type arrivalHeap []arrival

func (a arrivalHeap) Len() int { return len(a) }
func (a arrivalHeap) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].seq < a[j].seq)
}
func (a arrivalHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *arrivalHeap) Push(x any) { *a = append(*a, x.(arrival)) }

// Pop implements heap.Interface.
func (a *arrivalHeap) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// simulation holds the state of the dissemination of one update.
type simulation struct {
	topology *Topology
	strategy strategy
	random   *rand.Rand
	faults   Faults
	seed     uint64
	failed   []bool
	received []bool
	sent     []int
	queue    arrivalHeap
	seq      int
	result   Result
}

// Simulate disseminates one update from a random healthy node.
func Simulate(t *Topology, m strategy, faults Faults, seed uint64) Result {
	c := &simulation{
		topology: t, strategy: m, faults: faults, seed: seed, random: rand.New(rand.NewPCG(seed, 2)),
		failed: make([]bool, t.nodeCount()), received: make([]bool, t.nodeCount()), sent: make([]int, t.nodeCount()),
	}
	for _, n := range c.random.Perm(t.nodeCount())[:int(faults.FailedNodes*float64(t.nodeCount()))] {
		c.failed[n] = true
	}
	source := c.random.IntN(t.nodeCount())
	for c.failed[source] {
		source = c.random.IntN(t.nodeCount())
	}
	c.received[source] = true
	c.send(source, 0, 0, m.originate(t, source, c.random))
	for len(c.queue) > 0 {
		c.deliver(heap.Pop(&c.queue).(arrival))
	}
	return c.summarize()
}

// send counts all packets and schedules the delivery of those whose link works.
// Packets that a node sends at the same time leave sendInterval apart.
func (c *simulation) send(from int, at time.Duration, hops int, packets []packet) {
	for n, p := range packets {
		c.sent[from]++
		if c.topology.latency(from, p.to) >= minRegionLatency {
			c.result.CrossRegion++
		}
		if p.to == from || c.linkFailed(from, p.to) {
			continue
		}
		c.seq++
		heap.Push(&c.queue, arrival{
			packet: p, hops: hops + 1, seq: c.seq,
			at: at + time.Duration(n)*sendInterval + c.topology.latency(from, p.to),
		})
	}
}

// linkFailed reports whether the link between two nodes has failed. It is
// derived from the seed and is the same in both directions.
func (c *simulation) linkFailed(a, b int) bool {
	if c.faults.FailedLinks == 0 {
		return false
	}
	low, high := min(a, b), max(a, b)
	return rand.New(rand.NewPCG(c.seed, uint64(low)<<32|uint64(high))).Float64() < c.faults.FailedLinks
}

func (c *simulation) deliver(a arrival) {
	if c.failed[a.to] {
		return
	}
	first := !c.received[a.to]
	if first {
		c.received[a.to] = true
		c.result.CompletionTime = a.at
		c.result.MaxHops = max(c.result.MaxHops, a.hops)
	}
	c.send(a.to, a.at, a.hops, c.strategy.forward(c.topology, a.packet, first, c.random))
}

func (c *simulation) summarize() Result {
	healthy, reached := 0, 0
	for n, failed := range c.failed {
		if failed {
			continue
		}
		healthy++
		if c.received[n] {
			reached++
		}
	}
	c.result.Coverage = float64(reached) / float64(healthy)
	c.result.MaxNodeMessages = slices.Max(c.sent)
	for _, n := range c.sent {
		c.result.Messages += n
	}
	return c.result
}
