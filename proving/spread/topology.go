package spread

import (
	"math/rand/v2"
	"time"
)

// The size to design for.
const (
	Nodes   = 1800
	Zones   = 13
	Regions = 5
)

// The time that a message takes.
const (
	inZone    = time.Millisecond
	inRegion  = 2 * time.Millisecond
	regionMin = 20 * time.Millisecond
	regionMax = 80 * time.Millisecond
	// perSend is the time between two messages that one node sends at once.
	perSend = 100 * time.Microsecond
)

// Topology is where the nodes are. Nodes are numbered zone by zone, and zones
// region by region, so that neighbours by number are near each other.
type Topology struct {
	zone   []int   // of a node
	rank   []int   // of a node in its zone
	zones  [][]int // nodes of a zone
	region []int   // of a zone
	far    [][]time.Duration
}

// NewTopology returns nodes in zones of nearly equal size, and latencies
// between regions that are drawn from a seed.
func NewTopology(nodes, zones, regions int, seed uint64) *Topology {
	t := &Topology{zones: make([][]int, zones), region: make([]int, zones)}
	for n := range nodes {
		z := n * zones / nodes
		t.zone = append(t.zone, z)
		t.rank = append(t.rank, len(t.zones[z]))
		t.zones[z] = append(t.zones[z], n)
	}
	for z := range zones {
		t.region[z] = z * regions / zones
	}
	random := rand.New(rand.NewPCG(seed, 1))
	t.far = make([][]time.Duration, regions)
	for a := range regions {
		t.far[a] = make([]time.Duration, regions)
		for b := range a {
			t.far[a][b] = regionMin + time.Duration(random.Int64N(int64(regionMax-regionMin)))
			t.far[b][a] = t.far[a][b]
		}
	}
	return t
}

func (t *Topology) nodes() int { return len(t.zone) }

// latency is the time that a message takes from a to b.
func (t *Topology) latency(a, b int) time.Duration {
	za, zb := t.zone[a], t.zone[b]
	switch ra, rb := t.region[za], t.region[zb]; {
	case za == zb:
		return inZone
	case ra == rb:
		return inRegion
	default:
		return t.far[ra][rb]
	}
}
