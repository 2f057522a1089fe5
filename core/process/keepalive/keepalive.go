// Package keepalive decides how long an idle artifact stays loaded, and which
// one goes first when memory is short. It only advises: what it says is never
// needed for safety.
package keepalive

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
)

// Item is a loaded, idle artifact as the policies see it.
type Item struct {
	Artifact id.Artifact
	Bytes    int64
	// Share is the part of the backend server's memory that it takes, 0 to 1.
	Share float64
	// LoadCost is how long the next request would wait if it were unloaded.
	LoadCost time.Duration
	// Idle is the time since its last request ended.
	Idle time.Duration
	// Pressure is the part of the memory in use on its backend server, 0 to 1.
	Pressure float64
}

// Policy decides about idle artifacts.
type Policy interface {
	// Arrived records that requests for a came at now.
	Arrived(now clock.Time, a id.Artifact)
	// Keep returns how long it.Artifact should stay loaded after its last
	// request ended.
	Keep(it Item) time.Duration
	// Loss returns the waiting, in seconds a byte, that unloading it now is
	// expected to cost. The smallest goes first when memory is short.
	Loss(it Item) float64
}

// Fixed keeps every artifact for the same time, and evicts the one that has
// been idle longest. It is the baseline.
type Fixed struct{ For time.Duration }

// Arrived implements Policy; a fixed time learns nothing.
func (Fixed) Arrived(clock.Time, id.Artifact) {}

// Keep implements Policy.
func (f Fixed) Keep(Item) time.Duration { return f.For }

// Loss implements Policy: the longer idle, the smaller.
func (Fixed) Loss(it Item) float64 { return 1 / (1 + it.Idle.Seconds()) }
