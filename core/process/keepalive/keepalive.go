// Package keepalive decides how long an idle artifact stays loaded, and which idle
// artifact to evict when memory is short. Its decisions affect performance only;
// no invariant depends on them.
package keepalive

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
)

// IdleArtifact describes a loaded, idle artifact to a policy.
type IdleArtifact struct {
	Artifact id.Artifact
	Bytes    int64
	// MemoryShare is the part of the backend server's memory that the artifact
	// uses, 0 to 1.
	MemoryShare float64
	// LoadTime is how long the next request would wait if the artifact were
	// unloaded.
	LoadTime time.Duration
	// IdleTime is the time since the artifact's last request ended.
	IdleTime time.Duration
	// MemoryPressure is the part of the backend server's memory in use, 0 to 1.
	MemoryPressure float64
}

// Policy decides how long to keep idle artifacts and which one to evict.
type Policy interface {
	// RecordArrival records that requests for a arrived at now.
	RecordArrival(now clock.Time, a id.Artifact)
	// KeepTime returns how long it.Artifact should stay loaded after the end of
	// its last request.
	KeepTime(it IdleArtifact) time.Duration
	// EvictionCost returns the expected waiting time, in seconds per byte freed,
	// that unloading the artifact now would cause. When memory is short, the
	// artifact with the lowest cost is evicted first.
	EvictionCost(it IdleArtifact) float64
}

// Fixed keeps every artifact for the same time and evicts the least recently used
// one. It is the baseline for comparisons.
type Fixed struct{ Duration time.Duration }

// RecordArrival implements Policy. A fixed keep time needs no arrivals.
func (Fixed) RecordArrival(clock.Time, id.Artifact) {}

// KeepTime implements Policy.
func (f Fixed) KeepTime(IdleArtifact) time.Duration { return f.Duration }

// EvictionCost implements Policy. It decreases with the idle time.
func (Fixed) EvictionCost(it IdleArtifact) float64 { return 1 / (1 + it.IdleTime.Seconds()) }
