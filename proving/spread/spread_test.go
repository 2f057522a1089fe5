package spread

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	seeds = 20
	// topologySeed draws the latencies between regions.
	topologySeed = 1
	// changesPerDay is what the users plan with.
	changesPerDay = 23_000
	day           = 24 * time.Hour
	// changeBytes and beatBytes are what a change of 150 bytes and a heartbeat
	// put on the wire, with what comes back; BenchmarkPeerRate and
	// BenchmarkConfigChange of proving/capacity measured them.
	changeBytes = 153 + 89 + 52
	beatBytes   = 134 + 52
	// beatsPerSecond is how often an instance sends a heartbeat over a link.
	beatsPerSecond = 2
)

func methods(t *Topology) []method {
	n := t.nodes()
	return []method{
		flat{perZone: 4},
		tree{fan: 8, trees: 1}, tree{fan: 8, trees: 2}, tree{fan: 8, trees: 3}, tree{fan: 4, trees: 3},
		gossip{far: 4}, gossip{far: 8}, gossip{near: 5, far: 1}, gossip{near: 8, far: 2},
		split{"max-range fingers, k=2", MaxRangeJumps(2, n)}, split{"max-range fingers, k=4", MaxRangeJumps(4, n)},
		flood{"max-range fingers, k=2", MaxRangeJumps(2, n)}, flood{"max-range fingers, k=4", MaxRangeJumps(4, n)},
		flood{"Chord fingers, k=2", PowerJumps(2, n)},
		newRegular(n, 7, topologySeed), newRegular(n, 9, topologySeed),
		newZoned(t, 5, 1), newZoned(t, 6, 1), rings{k: 2, cross: 1}, rings{k: 2, cross: 2}, rings{k: 4, cross: 1},
	}
}

var faults = []Faults{{}, {FailedNodes: 0.05}, {FailedNodes: 0.1}, {FailedLinks: 0.05}, {FailedLinks: 0.1}}

// mean is the mean of some outcomes, the worst one's reach, and the longest time.
type mean struct {
	reach, worst, messages, far, most float64
	hops                              int
	last                              time.Duration
}

func meanOf(t *Topology, m method, f Faults) mean {
	r := mean{worst: 1}
	for seed := range uint64(seeds) {
		o := Simulate(t, m, f, seed)
		r.reach += o.Coverage / seeds
		r.worst = min(r.worst, o.Coverage)
		r.messages += float64(o.Messages) / seeds / float64(t.nodes())
		r.far += float64(o.CrossRegion) / seeds / float64(t.nodes())
		r.most = max(r.most, float64(o.MaxNodeMessages))
		r.hops = max(r.hops, o.MaxHops)
		r.last = max(r.last, o.CompletionTime)
	}
	return r
}

// linksOf returns the mean and the largest number of links of a node.
func linksOf(t *Topology, m method) (average float64, most int) {
	for n := range t.nodes() {
		l := m.links(t, n)
		average += float64(l) / float64(t.nodes())
		most = max(most, l)
	}
	return average, most
}

// BenchmarkSpread prints the comparison of docs/design/spreading.md.
func BenchmarkSpread(b *testing.B) {
	t := NewTopology(Nodes, Zones, Regions, topologySeed)
	var out strings.Builder
	for range b.N {
		out.Reset()
		for _, m := range methods(t) {
			row(&out, t, m)
		}
	}
	b.Log("\nmethod | links mean/most | messages a node mean/most, of them to other regions | hops | time to all | B/s a node: changes, heartbeats | reach mean (worst): none dead, 5% nodes, 10% nodes, 5% links, 10% links\n" + out.String())
}

func row(out *strings.Builder, t *Topology, m method) {
	well := meanOf(t, m, Faults{})
	average, most := linksOf(t, m)
	perDay := changesPerDay * changeBytes / day.Seconds()
	fmt.Fprintf(out, "%s | %.1f / %d | %.1f / %.0f, %.1f | %d | %s | %.0f, %.0f |", m, average, most, well.messages, well.most, well.far,
		well.hops, well.last.Round(time.Millisecond), well.messages*perDay, average*beatsPerSecond*beatBytes)
	for _, f := range faults {
		r := meanOf(t, m, f)
		fmt.Fprintf(out, " %.2f%% (%.2f%%)", 100*r.reach, 100*r.worst)
	}
	out.WriteString("\n")
}

// TestMaxRange checks the jumps against the example of the paper for k=3, and
// against the ranges that its recurrence gives: 987 and 2,584 nodes within 7
// and 8 hops for k=2, 551 and 2,640 within 4 and 5 for k=4.
func TestMaxRange(t *testing.T) {
	if got := fmt.Sprint(MaxRangeJumps(3, 56)); got != "[1 2 3 7 11 26 41]" {
		t.Errorf("k=3, 56 nodes: %s", got)
	}
	for _, c := range []struct{ k, n, hops int }{{2, 987, 7}, {2, 988, 8}, {2, 2584, 8}, {4, 551, 4}, {4, 552, 5}, {4, 2640, 5}} {
		if got := diameter(MaxRangeJumps(c.k, c.n), c.n); got != c.hops {
			t.Errorf("k=%d, %d nodes: %d hops, want %d", c.k, c.n, got, c.hops)
		}
	}
}

// diameter is the most jumps of a greedy way.
func diameter(jumps []int, n int) int {
	hops, most := make([]int, n), 0
	for d := 1; d < n; d++ {
		far := 0
		for _, j := range jumps {
			if j <= d {
				far = max(far, j)
			}
		}
		hops[d] = hops[d-far] + 1
		most = max(most, hops[d])
	}
	return most
}

// TestReachesAll checks that each method but gossip reaches every node while
// none is dead, the trees and the split ones with the messages that they need.
func TestReachesAll(t *testing.T) {
	top := NewTopology(Nodes, Zones, Regions, topologySeed)
	for _, m := range methods(top) {
		o := Simulate(top, m, Faults{}, 1)
		_, isGossip := m.(gossip)
		if o.Coverage < 1 && !isGossip {
			t.Errorf("%s reaches %v", m, o.Coverage)
		}
		if _, ok := m.(split); ok && o.Messages != Nodes-1 {
			t.Errorf("%s sends %d messages", m, o.Messages)
		}
		if tr, ok := m.(tree); ok && o.Messages > tr.trees*Nodes {
			t.Errorf("%s sends %d messages", m, o.Messages)
		}
	}
}

// link is from one node to another.
type link struct{ from, to int }

// fingerLinks are the links of max-range fingers over the sorted nodes.
func fingerLinks(nodes []int, k int) map[link]bool {
	all := make(map[link]bool)
	for rank, n := range nodes {
		for _, j := range MaxRangeJumps(k, len(nodes)) {
			all[link{n, nodes[(rank+j)%len(nodes)]}] = true
		}
	}
	return all
}

// ringLinks are the links to the successors on hash rings.
func ringLinks(nodes []int, rings int) map[link]bool {
	all := make(map[link]bool)
	for r := range rings {
		for from, to := range successors(nodes, r) {
			all[link{from, to}] = true
		}
	}
	return all
}

// BenchmarkChurn counts the links of a zone that are made anew when one of its
// instances is replaced, as 950 times a day.
func BenchmarkChurn(b *testing.B) {
	before := make([]int, Nodes/Zones)
	for n := range before {
		before[n] = n
	}
	for range b.N {
		fingers, rings := 0, 0
		for gone := range before {
			after := slices.Delete(slices.Clone(before), gone, gone+1)
			fingers += made(fingerLinks(before, 2), fingerLinks(after, 2))
			rings += made(ringLinks(before, 6), ringLinks(after, 6))
		}
		b.ReportMetric(float64(fingers)/float64(len(before)), "fingers-made-anew")
		b.ReportMetric(float64(rings)/float64(len(before)), "rings-made-anew")
	}
}

// made counts the links of after that were not there before.
func made(before, after map[link]bool) int {
	n := 0
	for l := range after {
		if !before[l] {
			n++
		}
	}
	return n
}
