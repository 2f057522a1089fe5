// Package clock defines the time passed to the core. The core never reads a clock
// itself, so that a run can be replayed from its events.
package clock

import (
	"math"
	"time"
)

// Time is a monotonic clock reading in nanoseconds since an arbitrary origin. It
// advances while the machine is suspended. Readings of different instances can't
// be compared.
type Time int64

// Never is later than any clock reading.
const Never = Time(math.MaxInt64)

// Add returns t+d, saturating at Never.
func (t Time) Add(d time.Duration) Time {
	if t == Never || (d > 0 && t > Never-Time(d)) {
		return Never
	}
	return t + Time(d)
}

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// Reached reports whether t is equal to or later than u.
func (t Time) Reached(u Time) bool { return t >= u }

// Earliest returns the earliest of ts, or Never if ts is empty.
func Earliest(ts ...Time) Time {
	m := Never
	for _, t := range ts {
		if t < m {
			m = t
		}
	}
	return m
}
