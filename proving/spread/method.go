package spread

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
)

// packet is an update sent to a node. limit is used by ringBroadcast: the
// receiver forwards the update to nodes less than limit ahead of it. tree is
// the index of the tree on which the packet is sent.
type packet struct {
	to    int
	limit int
	tree  int
}

// strategy selects the nodes to which a node sends an update.
type strategy interface {
	// linkCount returns the number of links that node n maintains.
	linkCount(t *Topology, n int) int
	// originate returns the packets that the source of the update sends.
	originate(t *Topology, n int, random *rand.Rand) []packet
	// forward returns the packets that a node sends after it received p. first
	// is true if the node did not have the update before.
	forward(t *Topology, p packet, first bool, random *rand.Rand) []packet
	String() string
}

// allToAll sends an update to every node of the own zone and to linksPerZone
// nodes of each other zone, when a node first receives it.
type allToAll struct{ linksPerZone int }

// String implements strategy.
func (f allToAll) String() string {
	return fmt.Sprintf("all-to-all in the zone, %d to each other", f.linksPerZone)
}

func (f allToAll) linkCount(t *Topology, n int) int {
	return len(t.zoneNodes[t.zoneOf[n]]) - 1 + f.linksPerZone*(len(t.zoneNodes)-1)
}

func (f allToAll) originate(t *Topology, n int, _ *rand.Rand) []packet { return f.broadcast(t, n) }

func (f allToAll) forward(t *Topology, p packet, first bool, _ *rand.Rand) []packet {
	if !first {
		return nil
	}
	return f.broadcast(t, p.to)
}

func (f allToAll) broadcast(t *Topology, n int) []packet {
	var out []packet
	for z, nodes := range t.zoneNodes {
		if z != t.zoneOf[n] {
			for k := range f.linksPerZone {
				out = append(out, packet{to: nodes[(n*f.linksPerZone+k)%len(nodes)]})
			}
			continue
		}
		for _, to := range nodes {
			if to != n {
				out = append(out, packet{to: to})
			}
		}
	}
	return out
}

// gossip sends an update to random nodes when a node first receives it.
type gossip struct {
	zoneFanOut   int // random nodes of the own zone
	globalFanOut int // random nodes of any zone
}

// String implements strategy.
func (g gossip) String() string {
	if g.zoneFanOut == 0 {
		return fmt.Sprintf("gossip, %d anywhere", g.globalFanOut)
	}
	return fmt.Sprintf("gossip, %d in the zone, %d anywhere", g.zoneFanOut, g.globalFanOut)
}

func (g gossip) linkCount(*Topology, int) int { return g.zoneFanOut + g.globalFanOut }

func (g gossip) originate(t *Topology, n int, random *rand.Rand) []packet {
	return g.sendRandom(t, n, random)
}

func (g gossip) forward(t *Topology, p packet, first bool, random *rand.Rand) []packet {
	if !first {
		return nil
	}
	return g.sendRandom(t, p.to, random)
}

func (g gossip) sendRandom(t *Topology, n int, random *rand.Rand) []packet {
	var out []packet
	own := t.zoneNodes[t.zoneOf[n]]
	for range g.zoneFanOut {
		out = append(out, packet{to: own[random.IntN(len(own))]})
	}
	for range g.globalFanOut {
		out = append(out, packet{to: random.IntN(t.nodeCount())})
	}
	return out
}

// tree sends an update down trees that are formed by rank inside each zone. The
// source sends it to the root of each tree in each zone. The trees of a zone
// are rotated against each other, so that the inner nodes of one tree are
// leaves of the others.
type tree struct {
	fanOut int // children per node
	trees  int // trees per zone
}

// String implements strategy.
func (m tree) String() string {
	return fmt.Sprintf("tree by rank, fan-out %d, %d in each zone", m.fanOut, m.trees)
}

// linkCount counts the children and parents of a node, and the links of a root
// to the roots of the other zones.
func (m tree) linkCount(t *Topology, n int) int {
	size := len(t.zoneNodes[t.zoneOf[n]])
	count := 0
	for k := range m.trees {
		at := m.position(size, t.rankInZone[n], k)
		count += len(m.children(size, at))
		if at > 0 {
			count++
			continue
		}
		count += m.trees * (len(t.zoneNodes) - 1)
	}
	return count
}

// position returns the index of the node with the given rank in tree k of a
// zone; the root has index 0.
func (m tree) position(size, rank, k int) int { return (rank + size - k*size/m.trees) % size }

// rankAt is the inverse of position.
func (m tree) rankAt(size, at, k int) int { return (at + k*size/m.trees) % size }

func (m tree) children(size, at int) []int {
	var all []int
	for c := at*m.fanOut + 1; c <= at*m.fanOut+m.fanOut && c < size; c++ {
		all = append(all, c)
	}
	return all
}

func (m tree) originate(t *Topology, n int, _ *rand.Rand) []packet {
	var out []packet
	for _, nodes := range t.zoneNodes {
		for k := range m.trees {
			root := nodes[m.rankAt(len(nodes), 0, k)]
			if root == n {
				out = append(out, m.sendToChildren(t, n, k)...)
				continue
			}
			out = append(out, packet{to: root, tree: k})
		}
	}
	return out
}

// forward sends an update to the children in the tree of p even if the node has
// received it before on another tree: each tree reaches the nodes that a failed
// node cuts off in the others.
func (m tree) forward(t *Topology, p packet, _ bool, _ *rand.Rand) []packet {
	return m.sendToChildren(t, p.to, p.tree)
}

func (m tree) sendToChildren(t *Topology, n, k int) []packet {
	nodes := t.zoneNodes[t.zoneOf[n]]
	var out []packet
	for _, c := range m.children(len(nodes), m.position(len(nodes), t.rankInZone[n], k)) {
		out = append(out, packet{to: nodes[m.rankAt(len(nodes), c, k)], tree: k})
	}
	return out
}

// ringBroadcast sends an update along the fingers of a ring. Each receiver is
// responsible for the segment up to the next finger, so that every node gets
// exactly one message.
type ringBroadcast struct {
	name  string
	jumps []int
}

// String implements strategy.
func (s ringBroadcast) String() string { return s.name + ", each to its part" }

func (s ringBroadcast) linkCount(*Topology, int) int { return len(s.jumps) }

func (s ringBroadcast) originate(t *Topology, n int, _ *rand.Rand) []packet {
	return s.delegate(t, n, t.nodeCount())
}

func (s ringBroadcast) forward(t *Topology, p packet, _ bool, _ *rand.Rand) []packet {
	return s.delegate(t, p.to, p.limit)
}

func (s ringBroadcast) delegate(t *Topology, n, limit int) []packet {
	var out []packet
	end := limit
	for i := len(s.jumps) - 1; i >= 0; i-- {
		if s.jumps[i] < limit {
			out = append(out, packet{to: (n + s.jumps[i]) % t.nodeCount(), limit: end - s.jumps[i]})
			end = s.jumps[i]
		}
	}
	return out
}

// ringFlood sends an update to all fingers on a ring when a node first receives
// it.
type ringFlood struct {
	name  string
	jumps []int
}

// String implements strategy.
func (f ringFlood) String() string { return f.name + ", to all fingers" }

func (f ringFlood) linkCount(*Topology, int) int { return len(f.jumps) }

func (f ringFlood) originate(t *Topology, n int, _ *rand.Rand) []packet { return f.sendToFingers(t, n) }

func (f ringFlood) forward(t *Topology, p packet, first bool, _ *rand.Rand) []packet {
	if !first {
		return nil
	}
	return f.sendToFingers(t, p.to)
}

func (f ringFlood) sendToFingers(t *Topology, n int) []packet {
	out := make([]packet, 0, len(f.jumps))
	for _, j := range f.jumps {
		out = append(out, packet{to: (n + j) % t.nodeCount()})
	}
	return out
}

// randomRegular sends an update over fixed random links when a node first
// receives it. Every node has the same number of outgoing and of incoming links.
type randomRegular struct{ successors [][]int }

// newRandomRegular draws degree links for each of n nodes.
func newRandomRegular(n, degree int, seed uint64) randomRegular {
	random := rand.New(rand.NewPCG(seed, 3))
	r := randomRegular{successors: make([][]int, degree)}
	for d := range r.successors {
		r.successors[d] = random.Perm(n)
	}
	return r
}

// String implements strategy.
func (r randomRegular) String() string {
	return fmt.Sprintf("%d links drawn once, to all", len(r.successors))
}

func (r randomRegular) linkCount(*Topology, int) int { return len(r.successors) }

func (r randomRegular) originate(_ *Topology, n int, _ *rand.Rand) []packet {
	return r.sendToSuccessors(n)
}

func (r randomRegular) forward(_ *Topology, p packet, first bool, _ *rand.Rand) []packet {
	if !first {
		return nil
	}
	return r.sendToSuccessors(p.to)
}

func (r randomRegular) sendToSuccessors(n int) []packet {
	out := make([]packet, 0, len(r.successors))
	for _, perm := range r.successors {
		out = append(out, packet{to: perm[n]})
	}
	return out
}

// zoneFingers sends an update to the fingers on a ring within the zone, and to
// crossLinks nodes of the same rank in other zones.
type zoneFingers struct {
	k          int // base of the jumps
	crossLinks int // links to other zones
}

// String implements strategy.
func (r zoneFingers) String() string {
	return fmt.Sprintf("max-range fingers in each zone, k=%d, %d to other zones", r.k, r.crossLinks)
}

func (r zoneFingers) linkCount(t *Topology, n int) int { return len(r.sendToNeighbors(t, n)) }

func (r zoneFingers) originate(t *Topology, n int, _ *rand.Rand) []packet {
	return r.sendToNeighbors(t, n)
}

func (r zoneFingers) forward(t *Topology, p packet, first bool, _ *rand.Rand) []packet {
	if !first {
		return nil
	}
	return r.sendToNeighbors(t, p.to)
}

func (r zoneFingers) sendToNeighbors(t *Topology, n int) []packet {
	own, rank := t.zoneNodes[t.zoneOf[n]], t.rankInZone[n]
	out := crossZonePackets(t, n, r.crossLinks)
	for _, j := range MaxRangeJumps(r.k, len(own)) {
		out = append(out, packet{to: own[(rank+j)%len(own)]})
	}
	return out
}

// zoneHashRings sends an update to a node's successor on each of several rings
// within the zone, and to crossLinks nodes in other zones. Each ring orders the
// nodes of the zone by a different hash, so that every node has as many incoming
// as outgoing links within the zone.
type zoneHashRings struct {
	successors [][]int // indexed by ring and node
	crossLinks int
}

func newZoneHashRings(t *Topology, rings, crossLinks int) zoneHashRings {
	z := zoneHashRings{successors: make([][]int, rings), crossLinks: crossLinks}
	for r := range z.successors {
		z.successors[r] = make([]int, t.nodeCount())
		for _, nodes := range t.zoneNodes {
			for from, to := range ringSuccessors(nodes, r) {
				z.successors[r][from] = to
			}
		}
	}
	return z
}

// ringSuccessors returns the successor of each node on the given ring.
func ringSuccessors(nodes []int, ring int) map[int]int {
	ordered := slices.Clone(nodes)
	slices.SortFunc(ordered, func(a, b int) int { return cmp.Compare(ringPosition(a, ring), ringPosition(b, ring)) })
	next := make(map[int]int, len(nodes))
	for i, n := range ordered {
		next[n] = ordered[(i+1)%len(ordered)]
	}
	return next
}

// ringPosition returns the hash by which a node is placed on a ring.
func ringPosition(node, ring int) uint64 { return rand.NewPCG(uint64(node), uint64(ring)).Uint64() }

// String implements strategy.
func (z zoneHashRings) String() string {
	return fmt.Sprintf("successors on %d hash rings in each zone, %d to other zones", len(z.successors), z.crossLinks)
}

func (z zoneHashRings) linkCount(*Topology, int) int { return len(z.successors) + z.crossLinks }

func (z zoneHashRings) originate(t *Topology, n int, _ *rand.Rand) []packet {
	return z.sendToNeighbors(t, n)
}

func (z zoneHashRings) forward(t *Topology, p packet, first bool, _ *rand.Rand) []packet {
	if !first {
		return nil
	}
	return z.sendToNeighbors(t, p.to)
}

func (z zoneHashRings) sendToNeighbors(t *Topology, n int) []packet {
	out := crossZonePackets(t, n, z.crossLinks)
	for _, to := range z.successors {
		out = append(out, packet{to: to[n]})
	}
	return out
}

// crossZonePackets returns packets to the nodes with the rank of n in other
// zones, one for each link.
func crossZonePackets(t *Topology, n, links int) []packet {
	z, rank := t.zoneOf[n], t.rankInZone[n]
	var out []packet
	for c := range links {
		other := (z + 1 + (rank*links+c)%(len(t.zoneNodes)-1)) % len(t.zoneNodes)
		out = append(out, packet{to: t.zoneNodes[other][rank%len(t.zoneNodes[other])]})
	}
	return out
}
