// Package schedwait measures how long goroutines of this process that could run waited for a processor.
package schedwait

import (
	"runtime/metrics"
	"time"
)

// latencies is the histogram of these waits; the Go runtime records one in eight.
const latencies = "/sched/latencies:seconds"

// Meter is not safe for concurrent use.
type Meter struct {
	sample [1]metrics.Sample
	counts []uint64 // of the histogram at the last call of Longest
}

// New returns a Meter that measures from now on.
func New() *Meter {
	m := &Meter{sample: [1]metrics.Sample{{Name: latencies}}}
	m.Longest()
	return m
}

// Longest returns the longest wait that ended since the last call, rounded down to a bucket of
// the histogram.
func (m *Meter) Longest() time.Duration {
	metrics.Read(m.sample[:])
	if m.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := m.sample[0].Value.Float64Histogram()
	if m.counts == nil {
		m.counts = make([]uint64, len(h.Counts))
	}
	longest := 0
	for i, n := range h.Counts {
		if n > m.counts[i] {
			longest = i
		}
		m.counts[i] = n
	}
	return time.Duration(max(0, h.Buckets[longest]) * float64(time.Second))
}
