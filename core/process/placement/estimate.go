package placement

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// Initial load times by cache level, as fractions of the load time from remote
// storage, and the weight of a new measurement in the moving average.
const (
	initialMemoryFactor = 0.1
	initialDiskFactor   = 0.4
	smoothingFactor     = 0.2
)

// loadTimeFactors holds the measured load times by cache level, as fractions of
// the configured load time.
type loadTimeFactors struct{ memory, disk, remote float64 }

func (l *loadTimeFactors) factor(level message.CacheLevel) *float64 {
	switch level {
	case message.CacheMemory:
		return &l.memory
	case message.CacheDisk:
		return &l.disk
	}
	return &l.remote
}

// levelRank numbers the cache levels by speed; 0 is the fastest.
func levelRank(level message.CacheLevel) int {
	switch level {
	case message.CacheMemory:
		return 0
	case message.CacheDisk:
		return 1
	}
	return 2
}

// recordLoadTime updates the average with a load that ended.
func (p *Placement) recordLoadTime(o *ownedBackend, replica *managedReplica, now clock.Time) {
	artifact, ok := p.configuredArtifact(replica.artifact)
	if !ok || replica.loadSentAt == 0 || artifact.LoadTime <= 0 {
		return
	}
	factor := p.loadTimes.factor(replica.cacheLevel)
	duration := now.Sub(replica.loadSentAt)
	// The measured time is bounded: the end of the load may be noticed late,
	// because this process was suspended or a report was delayed. Without the
	// bound, such a value would cause requests for cold models to be refused
	// although there is enough time to load them.
	duration = min(duration, slowLoadFactor*max(artifact.LoadTime, time.Second))
	*factor += smoothingFactor * (float64(duration)/float64(max(artifact.LoadTime, time.Second)) - *factor)
	replica.loadSentAt = 0
}

// expectedLoadTime returns how long a load from the cache level is expected to
// take.
func (p *Placement) expectedLoadTime(artifact config.Artifact, level message.CacheLevel) time.Duration {
	return time.Duration(*p.loadTimes.factor(level) * float64(artifact.LoadTime))
}

// readyIn returns the expected time until the artifact is loaded on v.
func (p *Placement) readyIn(v *backendView, artifact config.Artifact) time.Duration {
	switch v.held[artifact.Name].State {
	case message.Loaded:
		return 0
	case message.Loading:
		if d := p.demands[artifact.Name]; d != nil && d.loadingSince != 0 {
			return max(p.expectedLoadTime(artifact, v.cacheLevel(artifact.Name))-p.now.Sub(d.loadingSince), 0)
		}
	}
	loadTime := p.expectedLoadTime(artifact, v.cacheLevel(artifact.Name))
	if v.cacheLevel(artifact.Name) == message.CacheRemote {
		loadTime += p.storeDelay
	}
	return loadTime
}

// expectedStoreDelay returns how long a load is expected to wait for the weight
// store: the number of loads above its concurrency limit, divided by the rate
// at which it starts loads.
func (p *Placement) expectedStoreDelay(own message.LoadsInTransit) time.Duration {
	s := &p.weightStore
	peerTotals, _ := s.peerTotals(p.now)
	excess := own.Models + peerTotals.Models + 1 - s.maxModels
	if s.maxModels == 0 || s.loadsPerSecond <= 0 || excess <= 0 {
		return 0
	}
	return time.Duration(float64(excess) / s.loadsPerSecond * float64(time.Second))
}

// EstimateReadyIn returns the expected time until a is loaded somewhere in the
// zone: 0 if it is loaded, the remaining time of a load under way, or else the
// time of the fastest load if it were decided now. It is NotLoadable if no
// backend server can be used.
func (p *Placement) EstimateReadyIn(a id.Artifact) time.Duration {
	artifact, ok := p.configuredArtifact(a)
	best := NotLoadable
	if !ok {
		return best
	}
	for _, v := range p.sortedViews {
		if v.group.Name == artifact.Group && v.usable() {
			best = min(best, p.readyIn(v, artifact))
		}
	}
	return best
}

// NotLoadable is the estimate for an artifact that no usable backend server can
// load.
const NotLoadable = 24 * time.Hour
