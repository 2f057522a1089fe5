package keepalive

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
)

// Settings configure a Histogram. Fields that are 0 get their defaults.
type Settings struct {
	// MaxHistograms limits the memory: a histogram takes about 1.3 KB. Further
	// artifacts keep only their last few gaps. Default 16384.
	MaxHistograms int
	// InitialKeepTime is the keep time of an artifact with too few known gaps.
	// Default 10 minutes.
	InitialKeepTime time.Duration
	// MinKeepTime and MaxKeepTime limit every keep time. Defaults 30 s and 2
	// hours.
	MinKeepTime, MaxKeepTime time.Duration
	// WaitWeight is the cost of one second of a caller's waiting, expressed in
	// seconds of use of a whole backend server's memory. Default 60.
	WaitWeight float64
	// EvictionHorizon is the time ahead for which EvictionCost estimates the
	// probability of a call. Default 10 minutes.
	EvictionHorizon time.Duration
}

func (s Settings) withDefaults() Settings {
	if s.MaxHistograms == 0 {
		s.MaxHistograms = 16384
	}
	if s.InitialKeepTime == 0 {
		s.InitialKeepTime = 10 * time.Minute
	}
	if s.MinKeepTime == 0 {
		s.MinKeepTime = 30 * time.Second
	}
	if s.MaxKeepTime == 0 {
		s.MaxKeepTime = 2 * time.Hour
	}
	if s.WaitWeight == 0 {
		s.WaitWeight = 60
	}
	if s.EvictionHorizon == 0 {
		s.EvictionHorizon = 10 * time.Minute
	}
	return s
}

// burstWindow is the time within which arrivals count as one, since a burst of
// requests causes only one load.
const burstWindow = time.Second

// minKnownGaps is the number of gaps that must be known before decisions are
// based on them.
const minKnownGaps = 3

// Histogram is a Policy that keeps an artifact for the time that would have cost
// least over its known gaps. The cost is that of the memory held between calls,
// which depends on the memory pressure, plus that of callers waiting for loads.
type Histogram struct {
	settings        Settings
	usageByArtifact map[id.Artifact]*usage
	histogramCount  int
	scratch         []bucket // reused by knownGaps
}

// usage is the arrival history of one artifact.
type usage struct {
	lastArrival clock.Time
	gaps        gaps
}

// NewHistogram returns an empty Histogram.
func NewHistogram(s Settings) *Histogram {
	return &Histogram{settings: s.withDefaults(), usageByArtifact: map[id.Artifact]*usage{}}
}

// RecordArrival implements Policy.
func (h *Histogram) RecordArrival(now clock.Time, a id.Artifact) {
	u, ok := h.usageByArtifact[a]
	if !ok {
		h.usageByArtifact[a] = &usage{lastArrival: now}
		return
	}
	gap := now.Sub(u.lastArrival)
	u.lastArrival = now
	if gap < burstWindow {
		return
	}
	if u.gaps.add(gap, h.histogramCount < h.settings.MaxHistograms) {
		h.histogramCount++
	}
}

// KeepTime implements Policy.
func (h *Histogram) KeepTime(it IdleArtifact) time.Duration {
	buckets := h.knownGaps(it.Artifact)
	if buckets == nil {
		return h.clampKeepTime(h.settings.InitialKeepTime)
	}
	return h.clampKeepTime(h.cheapestKeepTime(buckets, it))
}

// clampKeepTime limits d to MinKeepTime and MaxKeepTime.
func (h *Histogram) clampKeepTime(d time.Duration) time.Duration {
	return min(max(d, h.settings.MinKeepTime), h.settings.MaxKeepTime)
}

// cheapestKeepTime tries every known gap as the keep time. With keep time k, a gap
// g holds memory for min(g, k), and costs a load if it is longer than k.
func (h *Histogram) cheapestKeepTime(buckets []bucket, it IdleArtifact) time.Duration {
	loadCost := it.LoadTime.Seconds() * h.settings.WaitWeight
	memoryCost := it.MemoryShare * (minMemoryCost + it.MemoryPressure)
	total, longer := int64(0), int64(0)
	for _, b := range buckets {
		total += b.count
	}
	longer = total
	best, leastCost := time.Duration(0), float64(total)*loadCost
	shorterSeconds := 0.0 // total of the gaps up to the current one
	for _, b := range buckets {
		longer -= b.count
		shorterSeconds += float64(b.count) * b.gap.Seconds()
		cost := memoryCost*(shorterSeconds+float64(longer)*b.gap.Seconds()) + float64(longer)*loadCost
		if cost < leastCost {
			best, leastCost = b.gap+gapUnit, cost
		}
	}
	return best
}

// minMemoryCost is the cost of idle memory without memory pressure. It is not 0
// because an accelerator is paid for even while it is idle.
const minMemoryCost = 0.1

// EvictionCost implements Policy: the probability of a call within the horizon,
// times the load time, per byte that the eviction frees.
func (h *Histogram) EvictionCost(it IdleArtifact) float64 {
	cost := it.LoadTime.Seconds() / float64(max(it.Bytes, 1))
	buckets := h.knownGaps(it.Artifact)
	if buckets == nil {
		return cost / (1 + it.IdleTime.Minutes())
	}
	within, after := int64(0), int64(0)
	for _, b := range buckets {
		switch {
		case b.gap+gapUnit <= it.IdleTime:
		case b.gap <= it.IdleTime+h.settings.EvictionHorizon:
			within += b.count
		default:
			after += b.count
		}
	}
	// One further arrival is assumed after the horizon, so that a call after a
	// gap longer than all known ones counts as unlikely, not as impossible.
	return cost * (float64(within) + 1/(1+it.IdleTime.Minutes())) / float64(within+after+1)
}

// knownGaps returns the distribution of the gaps of a, or nil if fewer than
// minKnownGaps are known.
func (h *Histogram) knownGaps(a id.Artifact) []bucket {
	u := h.usageByArtifact[a]
	if u == nil || u.gaps.count < minKnownGaps {
		return nil
	}
	h.scratch = u.gaps.buckets(h.scratch[:0])
	return h.scratch
}
