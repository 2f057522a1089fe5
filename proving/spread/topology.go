package spread

import (
	"math/rand/v2"
	"time"
)

// Size of the largest planned deployment.
const (
	Nodes   = 1800
	Zones   = 13
	Regions = 5
)

// Latency of a message.
const (
	zoneLatency      = time.Millisecond
	crossZoneLatency = 2 * time.Millisecond
	minRegionLatency = 20 * time.Millisecond
	maxRegionLatency = 80 * time.Millisecond
	// sendInterval is the time between consecutive messages of a node that
	// sends several at the same time.
	sendInterval = 100 * time.Microsecond
)

// Topology assigns nodes to zones and zones to regions. Nodes are numbered zone
// by zone, and zones region by region, so that nodes with adjacent numbers are
// close to each other.
type Topology struct {
	zoneOf        []int             // zone of each node
	rankInZone    []int             // index of each node in its zone
	zoneNodes     [][]int           // nodes of each zone
	regionOf      []int             // region of each zone
	regionLatency [][]time.Duration // between each pair of regions
}

// NewTopology distributes nodes over zones of nearly equal size. The latencies
// between regions are drawn from the seed.
func NewTopology(nodes, zones, regions int, seed uint64) *Topology {
	t := &Topology{zoneNodes: make([][]int, zones), regionOf: make([]int, zones)}
	for n := range nodes {
		z := n * zones / nodes
		t.zoneOf = append(t.zoneOf, z)
		t.rankInZone = append(t.rankInZone, len(t.zoneNodes[z]))
		t.zoneNodes[z] = append(t.zoneNodes[z], n)
	}
	for z := range zones {
		t.regionOf[z] = z * regions / zones
	}
	random := rand.New(rand.NewPCG(seed, 1))
	t.regionLatency = make([][]time.Duration, regions)
	for a := range regions {
		t.regionLatency[a] = make([]time.Duration, regions)
		for b := range a {
			t.regionLatency[a][b] = minRegionLatency + time.Duration(random.Int64N(int64(maxRegionLatency-minRegionLatency)))
			t.regionLatency[b][a] = t.regionLatency[a][b]
		}
	}
	return t
}

func (t *Topology) nodeCount() int { return len(t.zoneOf) }

// latency returns the time that a message takes from a to b.
func (t *Topology) latency(a, b int) time.Duration {
	za, zb := t.zoneOf[a], t.zoneOf[b]
	switch ra, rb := t.regionOf[za], t.regionOf[zb]; {
	case za == zb:
		return zoneLatency
	case ra == rb:
		return crossZoneLatency
	default:
		return t.regionLatency[ra][rb]
	}
}
