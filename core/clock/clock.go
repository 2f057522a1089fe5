// Package clock defines the time that the core is handed. The core never reads
// a clock itself, so that a run can be replayed from its events.
package clock

import (
	"math"
	"time"
)

// Time is a monotonic reading, in nanoseconds since an arbitrary start of the
// instance, that goes on counting while the machine is suspended. Readings of
// two instances can't be compared.
type Time int64

// Never is later than every reading.
const Never = Time(math.MaxInt64)

// Add returns t moved by d, saturating at Never.
func (t Time) Add(d time.Duration) Time {
	if t == Never || (d > 0 && t > Never-Time(d)) {
		return Never
	}
	return t + Time(d)
}

// Sub returns the time from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// Reached reports whether t is u or later.
func (t Time) Reached(u Time) bool { return t >= u }

// Earliest returns the smallest of ts, or Never if there is none.
func Earliest(ts ...Time) Time {
	m := Never
	for _, t := range ts {
		if t < m {
			m = t
		}
	}
	return m
}
