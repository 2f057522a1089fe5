package keepalive

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Gaps between arrivals are kept in units of gapUnit up to gapMax; a longer
// one counts as gapMax. One significant digit is as exact as a keep time needs,
// and keeps a histogram at about 1.3 KB.
const (
	gapUnit   = 30 * time.Second
	gapMax    = 24 * time.Hour
	gapDigits = 1
	gapUnits  = int64(gapMax / gapUnit)
)

// fewGaps is how many gaps are kept one by one before a histogram is worth its
// memory. Most artifacts of a large fleet never get further.
const fewGaps = 8

// gaps is the distribution of the times between arrivals of one artifact.
type gaps struct {
	few   [fewGaps]uint16 // in units of gapUnit
	count int64
	hist  *hdrhistogram.Histogram // nil: few holds all of them
}

func units(d time.Duration) int64 { return min(max(int64(d/gapUnit), 0), gapUnits) }

// add records a gap. It goes on with the last few gaps if no histogram may be
// made.
func (g *gaps) add(d time.Duration, mayGrow bool) (grew bool) {
	if g.hist == nil && g.count >= fewGaps && mayGrow {
		g.grow()
		grew = true
	}
	if g.hist != nil {
		// The error says that the value is out of range, which units rules out.
		_ = g.hist.RecordValue(units(d))
	} else {
		g.few[g.count%fewGaps] = uint16(units(d))
	}
	g.count++
	return grew
}

func (g *gaps) grow() {
	g.hist = hdrhistogram.New(1, gapUnits, gapDigits)
	for _, u := range g.few {
		_ = g.hist.RecordValue(int64(u))
	}
}

// bar is a number of gaps of about the same length.
type bar struct {
	gap time.Duration
	n   int64
}

// bars appends the distribution to to, the shortest gaps first.
func (g *gaps) bars(to []bar) []bar {
	if g.hist == nil {
		return g.fewBars(to)
	}
	for _, b := range g.hist.Distribution() {
		if b.Count > 0 {
			to = append(to, bar{time.Duration(b.To) * gapUnit, b.Count})
		}
	}
	return to
}

func (g *gaps) fewBars(to []bar) []bar {
	start := len(to)
	for _, u := range g.few[:min(g.count, fewGaps)] {
		to = append(to, bar{time.Duration(u) * gapUnit, 1})
	}
	for i := start + 1; i < len(to); i++ {
		for j := i; j > start && to[j].gap < to[j-1].gap; j-- {
			to[j], to[j-1] = to[j-1], to[j]
		}
	}
	return to
}
