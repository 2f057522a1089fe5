package spread

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	seedCount = 20
	// topologySeed is the seed of the latencies between regions and of the
	// random links.
	topologySeed = 1
	// changesPerDay is the number of configuration changes that the users expect.
	changesPerDay = 23_000
	day           = 24 * time.Hour
	// changeBytes and heartbeatBytes are the bytes on the wire of a change of 150
	// bytes and of a heartbeat, replies included, as measured by
	// BenchmarkPeerRate and BenchmarkConfigChange of proving/capacity.
	changeBytes    = 153 + 89 + 52
	heartbeatBytes = 134 + 52
	// heartbeatsPerSecond is the number of heartbeats that an instance sends
	// over each link.
	heartbeatsPerSecond = 2
)

func strategies(t *Topology) []strategy {
	n := t.nodeCount()
	return []strategy{
		allToAll{linksPerZone: 4},
		tree{fanOut: 8, trees: 1}, tree{fanOut: 8, trees: 2}, tree{fanOut: 8, trees: 3}, tree{fanOut: 4, trees: 3},
		gossip{globalFanOut: 4}, gossip{globalFanOut: 8}, gossip{zoneFanOut: 5, globalFanOut: 1}, gossip{zoneFanOut: 8, globalFanOut: 2},
		ringBroadcast{"max-range fingers, k=2", MaxRangeJumps(2, n)}, ringBroadcast{"max-range fingers, k=4", MaxRangeJumps(4, n)},
		ringFlood{"max-range fingers, k=2", MaxRangeJumps(2, n)}, ringFlood{"max-range fingers, k=4", MaxRangeJumps(4, n)},
		ringFlood{"Chord fingers, k=2", PowerJumps(2, n)},
		newRandomRegular(n, 7, topologySeed), newRandomRegular(n, 9, topologySeed),
		newZoneHashRings(t, 5, 1), newZoneHashRings(t, 6, 1), zoneFingers{k: 2, crossLinks: 1}, zoneFingers{k: 2, crossLinks: 2}, zoneFingers{k: 4, crossLinks: 1},
	}
}

var faultCases = []Faults{{}, {FailedNodes: 0.05}, {FailedNodes: 0.1}, {FailedLinks: 0.05}, {FailedLinks: 0.1}}

// summary aggregates the results of several seeds: coverage, messages and
// crossRegion are means, minCoverage is the minimum, the others are maxima.
// messages and crossRegion are per node.
type summary struct {
	coverage, minCoverage, messages, crossRegion, maxNodeMessages float64
	maxHops                                                       int
	completionTime                                                time.Duration
}

func simulateSeeds(t *Topology, m strategy, f Faults) summary {
	r := summary{minCoverage: 1}
	for seed := range uint64(seedCount) {
		o := Simulate(t, m, f, seed)
		r.coverage += o.Coverage / seedCount
		r.minCoverage = min(r.minCoverage, o.Coverage)
		r.messages += float64(o.Messages) / seedCount / float64(t.nodeCount())
		r.crossRegion += float64(o.CrossRegion) / seedCount / float64(t.nodeCount())
		r.maxNodeMessages = max(r.maxNodeMessages, float64(o.MaxNodeMessages))
		r.maxHops = max(r.maxHops, o.MaxHops)
		r.completionTime = max(r.completionTime, o.CompletionTime)
	}
	return r
}

// linkStats returns the mean and the maximum number of links per node.
func linkStats(t *Topology, m strategy) (average float64, maxLinks int) {
	for n := range t.nodeCount() {
		l := m.linkCount(t, n)
		average += float64(l) / float64(t.nodeCount())
		maxLinks = max(maxLinks, l)
	}
	return average, maxLinks
}

// BenchmarkSpread prints the table of docs/design/spreading.md.
func BenchmarkSpread(b *testing.B) {
	t := NewTopology(Nodes, Zones, Regions, topologySeed)
	var out strings.Builder
	for range b.N {
		out.Reset()
		for _, m := range strategies(t) {
			writeRow(&out, t, m)
		}
	}
	b.Log("\nmethod | links mean/most | messages a node mean/most, of them to other regions | hops | time to all | B/s a node: changes, heartbeats | reach mean (worst): none dead, 5% nodes, 10% nodes, 5% links, 10% links\n" + out.String())
}

func writeRow(out *strings.Builder, t *Topology, m strategy) {
	noFaults := simulateSeeds(t, m, Faults{})
	average, maxLinks := linkStats(t, m)
	perDay := changesPerDay * changeBytes / day.Seconds()
	fmt.Fprintf(out, "%s | %.1f / %d | %.1f / %.0f, %.1f | %d | %s | %.0f, %.0f |", m, average, maxLinks, noFaults.messages, noFaults.maxNodeMessages, noFaults.crossRegion,
		noFaults.maxHops, noFaults.completionTime.Round(time.Millisecond), noFaults.messages*perDay, average*heartbeatsPerSecond*heartbeatBytes)
	for _, f := range faultCases {
		r := simulateSeeds(t, m, f)
		fmt.Fprintf(out, " %.2f%% (%.2f%%)", 100*r.coverage, 100*r.minCoverage)
	}
	out.WriteString("\n")
}

// TestMaxRangeJumps checks the jumps against the example of the paper for k=3,
// and against the ranges that follow from its recurrence: 987 and 2,584 nodes
// within 7 and 8 hops for k=2, 551 and 2,640 within 4 and 5 for k=4.
func TestMaxRangeJumps(t *testing.T) {
	if got := fmt.Sprint(MaxRangeJumps(3, 56)); got != "[1 2 3 7 11 26 41]" {
		t.Errorf("k=3, 56 nodes: %s", got)
	}
	for _, c := range []struct{ k, n, hops int }{{2, 987, 7}, {2, 988, 8}, {2, 2584, 8}, {4, 551, 4}, {4, 552, 5}, {4, 2640, 5}} {
		if got := diameter(MaxRangeJumps(c.k, c.n), c.n); got != c.hops {
			t.Errorf("k=%d, %d nodes: %d hops, want %d", c.k, c.n, got, c.hops)
		}
	}
}

// diameter returns the maximum number of hops of greedy routing over jumps on a
// ring of n nodes.
func diameter(jumps []int, n int) int {
	hops, maxHops := make([]int, n), 0
	for d := 1; d < n; d++ {
		jump := 0
		for _, j := range jumps {
			if j <= d {
				jump = max(jump, j)
			}
		}
		hops[d] = hops[d-jump] + 1
		maxHops = max(maxHops, hops[d])
	}
	return maxHops
}

// TestFullCoverageWithoutFaults checks that without faults every strategy except
// gossip reaches all nodes, that trees send at most one message per node and
// tree, and that ringBroadcast sends one message per node.
func TestFullCoverageWithoutFaults(t *testing.T) {
	top := NewTopology(Nodes, Zones, Regions, topologySeed)
	for _, m := range strategies(top) {
		o := Simulate(top, m, Faults{}, 1)
		_, isGossip := m.(gossip)
		if o.Coverage < 1 && !isGossip {
			t.Errorf("%s: coverage %v, want 1", m, o.Coverage)
		}
		if _, ok := m.(ringBroadcast); ok && o.Messages != Nodes-1 {
			t.Errorf("%s: sent %d messages", m, o.Messages)
		}
		if tr, ok := m.(tree); ok && o.Messages > tr.trees*Nodes {
			t.Errorf("%s: sent %d messages", m, o.Messages)
		}
	}
}

// link is a directed link between two nodes.
type link struct{ from, to int }

// fingerLinks returns the links to the max-range fingers on the ring of the
// sorted nodes.
func fingerLinks(nodes []int, k int) map[link]bool {
	all := make(map[link]bool)
	for rank, n := range nodes {
		for _, j := range MaxRangeJumps(k, len(nodes)) {
			all[link{n, nodes[(rank+j)%len(nodes)]}] = true
		}
	}
	return all
}

// ringLinks returns the links to the successors on several hash rings.
func ringLinks(nodes []int, rings int) map[link]bool {
	all := make(map[link]bool)
	for r := range rings {
		for from, to := range ringSuccessors(nodes, r) {
			all[link{from, to}] = true
		}
	}
	return all
}

// BenchmarkChurn counts the new links in a zone after one of its instances is
// removed. Instances are replaced 950 times a day.
func BenchmarkChurn(b *testing.B) {
	before := make([]int, Nodes/Zones)
	for n := range before {
		before[n] = n
	}
	for range b.N {
		fingers, rings := 0, 0
		for removed := range before {
			after := slices.Delete(slices.Clone(before), removed, removed+1)
			fingers += newLinks(fingerLinks(before, 2), fingerLinks(after, 2))
			rings += newLinks(ringLinks(before, 6), ringLinks(after, 6))
		}
		b.ReportMetric(float64(fingers)/float64(len(before)), "fingers-made-anew")
		b.ReportMetric(float64(rings)/float64(len(before)), "rings-made-anew")
	}
}

// newLinks counts the links in after that are not in before.
func newLinks(before, after map[link]bool) int {
	n := 0
	for l := range after {
		if !before[l] {
			n++
		}
	}
	return n
}
