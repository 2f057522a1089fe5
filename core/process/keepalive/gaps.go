package keepalive

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Gaps, the times between two arrivals, are stored in units of gapUnit; longer
// gaps than maxGap count as maxGap. One significant digit is precise enough for a
// keep time and limits a histogram to about 1.3 KB.
const (
	gapUnit              = 30 * time.Second
	maxGap               = 24 * time.Hour
	gapSignificantDigits = 1
	maxGapUnits          = int64(maxGap / gapUnit)
)

// maxRecentGaps is the number of gaps that are stored individually before a
// histogram is worth its memory. Most artifacts of a large fleet never need one.
const maxRecentGaps = 8

// gaps is the distribution of the gaps of one artifact.
type gaps struct {
	recent    [maxRecentGaps]uint16 // ring buffer, in units of gapUnit
	count     int64
	histogram *hdrhistogram.Histogram // nil while only recent is used
}

// toGapUnits converts d to units of gapUnit, within the range of a histogram.
func toGapUnits(d time.Duration) int64 { return min(max(int64(d/gapUnit), 0), maxGapUnits) }

// add records a gap. Without mayCreate it creates no histogram and keeps only the
// last gaps. It reports whether it created a histogram.
func (g *gaps) add(d time.Duration, mayCreate bool) (created bool) {
	if g.histogram == nil && g.count >= maxRecentGaps && mayCreate {
		g.switchToHistogram()
		created = true
	}
	if g.histogram != nil {
		// RecordValue fails only for values out of range, which toGapUnits excludes.
		_ = g.histogram.RecordValue(toGapUnits(d))
	} else {
		g.recent[g.count%maxRecentGaps] = uint16(toGapUnits(d))
	}
	g.count++
	return created
}

// switchToHistogram creates the histogram from the recent gaps.
func (g *gaps) switchToHistogram() {
	g.histogram = hdrhistogram.New(1, maxGapUnits, gapSignificantDigits)
	for _, u := range g.recent {
		_ = g.histogram.RecordValue(int64(u))
	}
}

// bucket counts gaps of about the same length.
type bucket struct {
	gap   time.Duration
	count int64
}

// buckets appends the distribution to dst, the shortest gaps first.
func (g *gaps) buckets(dst []bucket) []bucket {
	if g.histogram == nil {
		return g.recentBuckets(dst)
	}
	for _, b := range g.histogram.Distribution() {
		if b.Count > 0 {
			dst = append(dst, bucket{time.Duration(b.To) * gapUnit, b.Count})
		}
	}
	return dst
}

// recentBuckets appends one bucket per recent gap to dst, the shortest first.
func (g *gaps) recentBuckets(dst []bucket) []bucket {
	start := len(dst)
	for _, u := range g.recent[:min(g.count, maxRecentGaps)] {
		dst = append(dst, bucket{time.Duration(u) * gapUnit, 1})
	}
	for i := start + 1; i < len(dst); i++ {
		for j := i; j > start && dst[j].gap < dst[j-1].gap; j-- {
			dst[j], dst[j-1] = dst[j-1], dst[j]
		}
	}
	return dst
}
