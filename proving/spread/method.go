package spread

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
)

// packet is an update on its way to a node. limit is the part of the ring that
// the node is to pass it on to, for methods that need it; tree is the tree
// that it came by.
type packet struct {
	to    int
	limit int
	tree  int
}

// method decides to whom a node passes an update on.
type method interface {
	// links returns how many other nodes a node keeps in touch with.
	links(t *Topology, n int) int
	// origin returns what the node that has the update first sends.
	origin(t *Topology, n int, random *rand.Rand) []packet
	// pass returns what a node sends when p reached it. first says that it did
	// not have the update before.
	pass(t *Topology, p packet, first bool, random *rand.Rand) []packet
	String() string
}

// flat is all-to-all within a zone, and a few links to each other zone.
type flat struct{ perZone int }

// String implements method.
func (f flat) String() string {
	return fmt.Sprintf("all-to-all in the zone, %d to each other", f.perZone)
}

func (f flat) links(t *Topology, n int) int {
	return len(t.zones[t.zone[n]]) - 1 + f.perZone*(len(t.zones)-1)
}

func (f flat) origin(t *Topology, n int, _ *rand.Rand) []packet { return f.all(t, n) }

func (f flat) pass(t *Topology, p packet, first bool, _ *rand.Rand) []packet {
	if !first {
		return nil
	}
	return f.all(t, p.to)
}

func (f flat) all(t *Topology, n int) []packet {
	var out []packet
	for z, nodes := range t.zones {
		if z != t.zone[n] {
			for k := range f.perZone {
				out = append(out, packet{to: nodes[(n*f.perZone+k)%len(nodes)]})
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

// gossip passes an update on to random nodes, once.
type gossip struct {
	near int // nodes of the own zone
	far  int // nodes of any zone
}

// String implements method.
func (g gossip) String() string {
	if g.near == 0 {
		return fmt.Sprintf("gossip, %d anywhere", g.far)
	}
	return fmt.Sprintf("gossip, %d in the zone, %d anywhere", g.near, g.far)
}

func (g gossip) links(*Topology, int) int { return g.near + g.far }

func (g gossip) origin(t *Topology, n int, random *rand.Rand) []packet { return g.some(t, n, random) }

func (g gossip) pass(t *Topology, p packet, first bool, random *rand.Rand) []packet {
	if !first {
		return nil
	}
	return g.some(t, p.to, random)
}

func (g gossip) some(t *Topology, n int, random *rand.Rand) []packet {
	var out []packet
	own := t.zones[t.zone[n]]
	for range g.near {
		out = append(out, packet{to: own[random.IntN(len(own))]})
	}
	for range g.far {
		out = append(out, packet{to: random.IntN(t.nodes())})
	}
	return out
}

// tree passes an update down trees by rank inside each zone. The origin sends
// it to the root of each tree of each zone, its relays there. The trees of a
// zone are rotated against each other, so that the inner nodes of one are
// leaves of the others.
type tree struct {
	fan   int // children of a node
	trees int // in each zone
}

// String implements method.
func (m tree) String() string {
	return fmt.Sprintf("tree by rank, fan-out %d, %d in each zone", m.fan, m.trees)
}

// links counts the children and parents of a node, and a relay's links to the
// relays of the other zones.
func (m tree) links(t *Topology, n int) int {
	size := len(t.zones[t.zone[n]])
	count := 0
	for k := range m.trees {
		at := m.position(size, t.rank[n], k)
		count += len(m.children(size, at))
		if at > 0 {
			count++
			continue
		}
		count += m.trees * (len(t.zones) - 1)
	}
	return count
}

// position is where the node of a rank stands in tree k of a zone.
func (m tree) position(size, rank, k int) int { return (rank + size - k*size/m.trees) % size }

// rankAt is the inverse of position.
func (m tree) rankAt(size, at, k int) int { return (at + k*size/m.trees) % size }

func (m tree) children(size, at int) []int {
	var all []int
	for c := at*m.fan + 1; c <= at*m.fan+m.fan && c < size; c++ {
		all = append(all, c)
	}
	return all
}

func (m tree) origin(t *Topology, n int, _ *rand.Rand) []packet {
	var out []packet
	for _, nodes := range t.zones {
		for k := range m.trees {
			root := nodes[m.rankAt(len(nodes), 0, k)]
			if root == n {
				out = append(out, m.down(t, n, k)...)
				continue
			}
			out = append(out, packet{to: root, tree: k})
		}
	}
	return out
}

// pass sends down the tree that p came by, also if the update is known: the
// other trees serve those whom a dead node cuts off in this one.
func (m tree) pass(t *Topology, p packet, _ bool, _ *rand.Rand) []packet {
	return m.down(t, p.to, p.tree)
}

func (m tree) down(t *Topology, n, k int) []packet {
	nodes := t.zones[t.zone[n]]
	var out []packet
	for _, c := range m.children(len(nodes), m.position(len(nodes), t.rank[n], k)) {
		out = append(out, packet{to: nodes[m.rankAt(len(nodes), c, k)], tree: k})
	}
	return out
}

// split passes an update over the fingers of a ring, each node to its part of
// it: one message for each node.
type split struct {
	name  string
	jumps []int
}

// String implements method.
func (s split) String() string { return s.name + ", each to its part" }

func (s split) links(*Topology, int) int { return len(s.jumps) }

func (s split) origin(t *Topology, n int, _ *rand.Rand) []packet { return s.part(t, n, t.nodes()) }

func (s split) pass(t *Topology, p packet, _ bool, _ *rand.Rand) []packet {
	return s.part(t, p.to, p.limit)
}

func (s split) part(t *Topology, n, limit int) []packet {
	var out []packet
	end := limit
	for i := len(s.jumps) - 1; i >= 0; i-- {
		if s.jumps[i] < limit {
			out = append(out, packet{to: (n + s.jumps[i]) % t.nodes(), limit: end - s.jumps[i]})
			end = s.jumps[i]
		}
	}
	return out
}

// flood passes an update to all fingers of a ring, once.
type flood struct {
	name  string
	jumps []int
}

// String implements method.
func (f flood) String() string { return f.name + ", to all fingers" }

func (f flood) links(*Topology, int) int { return len(f.jumps) }

func (f flood) origin(t *Topology, n int, _ *rand.Rand) []packet { return f.all(t, n) }

func (f flood) pass(t *Topology, p packet, first bool, _ *rand.Rand) []packet {
	if !first {
		return nil
	}
	return f.all(t, p.to)
}

func (f flood) all(t *Topology, n int) []packet {
	out := make([]packet, 0, len(f.jumps))
	for _, j := range f.jumps {
		out = append(out, packet{to: (n + j) % t.nodes()})
	}
	return out
}

// regular passes an update over links that were drawn once, as many from each
// node as to each node.
type regular struct{ to [][]int }

// newRegular draws the links of n nodes from a seed.
func newRegular(n, degree int, seed uint64) regular {
	random := rand.New(rand.NewPCG(seed, 3))
	r := regular{to: make([][]int, degree)}
	for d := range r.to {
		r.to[d] = random.Perm(n)
	}
	return r
}

// String implements method.
func (r regular) String() string { return fmt.Sprintf("%d links drawn once, to all", len(r.to)) }

func (r regular) links(*Topology, int) int { return len(r.to) }

func (r regular) origin(_ *Topology, n int, _ *rand.Rand) []packet { return r.all(n) }

func (r regular) pass(_ *Topology, p packet, first bool, _ *rand.Rand) []packet {
	if !first {
		return nil
	}
	return r.all(p.to)
}

func (r regular) all(n int) []packet {
	out := make([]packet, 0, len(r.to))
	for _, perm := range r.to {
		out = append(out, packet{to: perm[n]})
	}
	return out
}

// rings passes an update to the fingers of a ring in each zone, and over a few
// links of each node to nodes of its rank in other zones.
type rings struct {
	k     int // base of the jumps
	cross int // links to other zones
}

// String implements method.
func (r rings) String() string {
	return fmt.Sprintf("max-range fingers in each zone, k=%d, %d to other zones", r.k, r.cross)
}

func (r rings) links(t *Topology, n int) int { return len(r.all(t, n)) }

func (r rings) origin(t *Topology, n int, _ *rand.Rand) []packet { return r.all(t, n) }

func (r rings) pass(t *Topology, p packet, first bool, _ *rand.Rand) []packet {
	if !first {
		return nil
	}
	return r.all(t, p.to)
}

func (r rings) all(t *Topology, n int) []packet {
	own, rank := t.zones[t.zone[n]], t.rank[n]
	out := crossing(t, n, r.cross)
	for _, j := range MaxRangeJumps(r.k, len(own)) {
		out = append(out, packet{to: own[(rank+j)%len(own)]})
	}
	return out
}

// zoned passes an update over links inside each zone, to the successor of a
// node on each of some rings, and over links to other zones. Each ring orders
// the nodes of the zone by another hash, so a node has as many links to it as
// from it.
type zoned struct {
	to    [][]int // by ring and node
	cross int
}

func newZoned(t *Topology, rings, cross int) zoned {
	z := zoned{to: make([][]int, rings), cross: cross}
	for r := range z.to {
		z.to[r] = make([]int, t.nodes())
		for _, nodes := range t.zones {
			for from, to := range successors(nodes, r) {
				z.to[r][from] = to
			}
		}
	}
	return z
}

// successors returns the successor of each node on a ring.
func successors(nodes []int, ring int) map[int]int {
	ordered := slices.Clone(nodes)
	slices.SortFunc(ordered, func(a, b int) int { return cmp.Compare(place(a, ring), place(b, ring)) })
	next := make(map[int]int, len(nodes))
	for i, n := range ordered {
		next[n] = ordered[(i+1)%len(ordered)]
	}
	return next
}

// place is where a node stands on a ring.
func place(node, ring int) uint64 { return rand.NewPCG(uint64(node), uint64(ring)).Uint64() }

// String implements method.
func (z zoned) String() string {
	return fmt.Sprintf("successors on %d hash rings in each zone, %d to other zones", len(z.to), z.cross)
}

func (z zoned) links(*Topology, int) int { return len(z.to) + z.cross }

func (z zoned) origin(t *Topology, n int, _ *rand.Rand) []packet { return z.all(t, n) }

func (z zoned) pass(t *Topology, p packet, first bool, _ *rand.Rand) []packet {
	if !first {
		return nil
	}
	return z.all(t, p.to)
}

func (z zoned) all(t *Topology, n int) []packet {
	out := crossing(t, n, z.cross)
	for _, to := range z.to {
		out = append(out, packet{to: to[n]})
	}
	return out
}

// crossing returns packets to nodes of n's rank in other zones.
func crossing(t *Topology, n, links int) []packet {
	z, rank := t.zone[n], t.rank[n]
	var out []packet
	for c := range links {
		other := (z + 1 + (rank*links+c)%(len(t.zones)-1)) % len(t.zones)
		out = append(out, packet{to: t.zones[other][rank%len(t.zones[other])]})
	}
	return out
}
