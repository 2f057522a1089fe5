package spread

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// Faults are the shares of nodes and of links that are dead, which no living
// node knows of yet.
type Faults struct{ FailedNodes, FailedLinks float64 }

// Outcome is what became of one update.
type Result struct {
	Coverage        float64 // of the living nodes
	MaxHops         int     // of the longest way by which a node first had it
	CompletionTime  time.Duration
	Messages        int // sent, by all nodes
	MaxNodeMessages int // sent, by one node
	CrossRegion     int // of Messages, to other regions
}

// arrival is a packet that reaches a node.
type arrival struct {
	packet
	at   time.Duration
	hops int
	seq  int
}

type arrivals []arrival

func (a arrivals) Len() int { return len(a) }
func (a arrivals) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].seq < a[j].seq)
}
func (a arrivals) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *arrivals) Push(x any) { *a = append(*a, x.(arrival)) }

// Pop implements heap.Interface.
func (a *arrivals) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// calculation is the spreading of one update.
type calculation struct {
	t      *Topology
	m      method
	random *rand.Rand
	faults Faults
	seed   uint64
	dead   []bool
	seen   []bool
	sent   []int
	queue  arrivals
	seq    int
	out    Result
}

// Spread lets one living node spread an update.
func Simulate(t *Topology, m method, f Faults, seed uint64) Result {
	c := &calculation{
		t: t, m: m, faults: f, seed: seed, random: rand.New(rand.NewPCG(seed, 2)),
		dead: make([]bool, t.nodes()), seen: make([]bool, t.nodes()), sent: make([]int, t.nodes()),
	}
	for _, n := range c.random.Perm(t.nodes())[:int(f.FailedNodes*float64(t.nodes()))] {
		c.dead[n] = true
	}
	first := c.random.IntN(t.nodes())
	for c.dead[first] {
		first = c.random.IntN(t.nodes())
	}
	c.seen[first] = true
	c.send(first, 0, 0, m.origin(t, first, c.random))
	for len(c.queue) > 0 {
		c.arrive(heap.Pop(&c.queue).(arrival))
	}
	return c.outcome()
}

// send counts all packets, and lets those arrive whose link is alive.
func (c *calculation) send(from int, at time.Duration, hops int, packets []packet) {
	for n, p := range packets {
		c.sent[from]++
		if c.t.latency(from, p.to) >= regionMin {
			c.out.CrossRegion++
		}
		if p.to == from || c.deadLink(from, p.to) {
			continue
		}
		c.seq++
		heap.Push(&c.queue, arrival{
			packet: p, hops: hops + 1, seq: c.seq,
			at: at + time.Duration(n)*perSend + c.t.latency(from, p.to),
		})
	}
}

// deadLink says by the seed which links are dead, in both directions alike.
func (c *calculation) deadLink(a, b int) bool {
	if c.faults.FailedLinks == 0 {
		return false
	}
	low, high := min(a, b), max(a, b)
	return rand.New(rand.NewPCG(c.seed, uint64(low)<<32|uint64(high))).Float64() < c.faults.FailedLinks
}

func (c *calculation) arrive(a arrival) {
	if c.dead[a.to] {
		return
	}
	first := !c.seen[a.to]
	if first {
		c.seen[a.to] = true
		c.out.CompletionTime = a.at
		c.out.MaxHops = max(c.out.MaxHops, a.hops)
	}
	c.send(a.to, a.at, a.hops, c.m.pass(c.t, a.packet, first, c.random))
}

func (c *calculation) outcome() Result {
	living, reached := 0, 0
	for n, dead := range c.dead {
		if dead {
			continue
		}
		living++
		if c.seen[n] {
			reached++
		}
	}
	c.out.Coverage = float64(reached) / float64(living)
	c.out.MaxNodeMessages = slices.Max(c.sent)
	for _, n := range c.sent {
		c.out.Messages += n
	}
	return c.out
}
