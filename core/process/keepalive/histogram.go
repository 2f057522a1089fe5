package keepalive

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
)

// Settings of Histogram. A zero field takes its default.
type Settings struct {
	// MaxHistograms bounds the memory: each takes about 1.3 KB. Artifacts
	// beyond it go on with their last few gaps. Default 16384.
	MaxHistograms int
	// InitialKeepTime is how long an artifact stays whose gaps are not known yet.
	// Default 10 minutes.
	InitialKeepTime time.Duration
	// MinKeepTime and Most bound every keep time. Defaults 30 s and 2 hours.
	MinKeepTime, MaxKeepTime time.Duration
	// WaitWeight is how many seconds of a whole backend server's memory one
	// second of a caller's waiting is worth. Default 60.
	WaitWeight float64
	// EvictionHorizon is how far ahead an eviction looks. Default 10 minutes.
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

// sameBurst is the time within which arrivals count as one: a burst at a cold
// artifact is one reason to load it, not many.
const sameBurst = time.Second

// leastKnown is how many gaps must be known before they are believed.
const leastKnown = 3

// Histogram keeps an artifact for the time that costs least by its own
// inter-arrival times: memory held while nobody calls against a caller's wait
// for the load, weighed by the load's cost and the pressure on memory.
type Histogram struct {
	set   Settings
	used  map[id.Artifact]*usage
	grown int
	bars  []bar // scratch
}

type usage struct {
	last clock.Time
	gaps gaps
}

// NewHistogram returns an empty Histogram.
func NewHistogram(s Settings) *Histogram {
	return &Histogram{set: s.withDefaults(), used: map[id.Artifact]*usage{}}
}

// RecordArrival implements Policy.
func (h *Histogram) RecordArrival(now clock.Time, a id.Artifact) {
	u, known := h.used[a]
	if !known {
		h.used[a] = &usage{last: now}
		return
	}
	gap := now.Sub(u.last)
	u.last = now
	if gap < sameBurst {
		return
	}
	if u.gaps.add(gap, h.grown < h.set.MaxHistograms) {
		h.grown++
	}
}

// KeepTime implements Policy.
func (h *Histogram) KeepTime(it IdleArtifact) time.Duration {
	bars := h.known(it.Artifact)
	if bars == nil {
		return h.bound(h.set.InitialKeepTime)
	}
	return h.bound(h.cheapest(bars, it))
}

func (h *Histogram) bound(d time.Duration) time.Duration {
	return min(max(d, h.set.MinKeepTime), h.set.MaxKeepTime)
}

// cheapest tries every known gap as keep time: with keep time k, a gap g holds
// memory for min(g, k), and costs a load if it is longer than k.
func (h *Histogram) cheapest(bars []bar, it IdleArtifact) time.Duration {
	load := it.LoadTime.Seconds() * h.set.WaitWeight
	rent := it.MemoryShare * (rentFloor + it.MemoryPressure)
	total, longer := int64(0), int64(0)
	for _, b := range bars {
		total += b.n
	}
	longer = total
	best, least := time.Duration(0), float64(total)*load
	held := 0.0
	for _, b := range bars {
		longer -= b.n
		held += float64(b.n) * b.gap.Seconds()
		cost := rent*(held+float64(longer)*b.gap.Seconds()) + float64(longer)*load
		if cost < least {
			best, least = b.gap+gapUnit, cost
		}
	}
	return best
}

// rentFloor is what idle memory costs when nobody else wants it: an idle
// accelerator hour is paid for also then.
const rentFloor = 0.1

// EvictionCost implements Policy: the chance of a call within the horizon, times the
// load's cost, over the bytes that the eviction would free.
func (h *Histogram) EvictionCost(it IdleArtifact) float64 {
	cost := it.LoadTime.Seconds() / float64(max(it.Bytes, 1))
	bars := h.known(it.Artifact)
	if bars == nil {
		return cost / (1 + it.IdleTime.Minutes())
	}
	within, after := int64(0), int64(0)
	for _, b := range bars {
		switch {
		case b.gap+gapUnit <= it.IdleTime:
		case b.gap <= it.IdleTime+h.set.EvictionHorizon:
			within += b.n
		default:
			after += b.n
		}
	}
	// One more arrival is assumed after the horizon, so that a gap longer than
	// all known ones reads as unlikely, not as impossible.
	return cost * (float64(within) + 1/(1+it.IdleTime.Minutes())) / float64(within+after+1)
}

// known returns the gaps of a, nil if too few to be believed.
func (h *Histogram) known(a id.Artifact) []bar {
	u := h.used[a]
	if u == nil || u.gaps.count < leastKnown {
		return nil
	}
	h.bars = u.gaps.bars(h.bars[:0])
	return h.bars
}
