// Package keepalive decides how long an idle artifact stays loaded, and which
// one goes first when memory is short. It only advises: what it says is never
// needed for safety.
package keepalive

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
)

// IdleArtifact is a loaded, idle artifact as the policies see it.
type IdleArtifact struct {
	Artifact id.Artifact
	Bytes    int64
	// MemoryShare is the part of the backend server's memory that it takes, 0 to 1.
	MemoryShare float64
	// LoadTime is how long the next request would wait if it were unloaded.
	LoadTime time.Duration
	// IdleTime is the time since its last request ended.
	IdleTime time.Duration
	// MemoryPressure is the part of the memory in use on its backend server, 0 to 1.
	MemoryPressure float64
}

// Policy decides about idle artifacts.
type Policy interface {
	// RecordArrival records that requests for a came at now.
	RecordArrival(now clock.Time, a id.Artifact)
	// KeepTime returns how long it.Artifact should stay loaded after its last
	// request ended.
	KeepTime(it IdleArtifact) time.Duration
	// EvictionCost returns the waiting, in seconds a byte, that unloading it now is
	// expected to cost. The smallest goes first when memory is short.
	EvictionCost(it IdleArtifact) float64
}

// Fixed keeps every artifact for the same time, and evicts the one that has
// been idle longest. It is the baseline.
type Fixed struct{ Duration time.Duration }

// RecordArrival implements Policy; a fixed time learns nothing.
func (Fixed) RecordArrival(clock.Time, id.Artifact) {}

// KeepTime implements Policy.
func (f Fixed) KeepTime(IdleArtifact) time.Duration { return f.Duration }

// EvictionCost implements Policy: the longer idle, the smaller.
func (Fixed) EvictionCost(it IdleArtifact) float64 { return 1 / (1 + it.IdleTime.Seconds()) }
