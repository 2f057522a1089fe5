// Package lag measures how late an instance is in handling what it has received: how much
// later than asked its timers fire, since its processor is busy or the process was paused, and how
// long even the quickest answer of another instance takes, since its link is full.
//
// An instance that is late takes for silence what it has not read yet, and for new what was
// sent long ago.
package lag

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// Interval is how often the instance must call Ticked.
	Interval = 20 * time.Millisecond
	// tickMemory and tripMemory are how long measurements are kept.
	tickMemory = time.Second
	tripMemory = 300 * time.Millisecond
	// minTrips is how many answers within tripMemory tell a full link from single slow instances.
	minTrips = 8
	// maxSamples bounds the memory.
	maxSamples = 64
)

type sample struct {
	at  clock.Time
	lag time.Duration
}

// Meter measures the lag. It is not safe for concurrent use.
type Meter struct {
	due   clock.Time // when Ticked is due next; 0: not started
	ticks []sample
	trips []sample
}

// Ticked records that a timer fired that was set to now+Interval at the last call.
func (m *Meter) Ticked(now clock.Time) {
	if m.due != 0 {
		m.ticks = record(m.ticks, sample{now, max(0, now.Sub(m.due))}, tickMemory)
	}
	m.due = now.Add(Interval)
}

// Answered records how long another instance took for an answer for which it did not wait.
func (m *Meter) Answered(now clock.Time, took time.Duration) {
	m.trips = record(m.trips, sample{now, took}, tripMemory)
}

func record(samples []sample, s sample, memory time.Duration) []sample {
	for len(samples) > 0 && (s.at.Sub(samples[0].at) > memory || len(samples) >= maxSamples) {
		samples = samples[1:]
	}
	return append(samples, s)
}

// Timers returns how late the timers were at most since a time, at most tickMemory ago.
func (m *Meter) Timers(now, since clock.Time) time.Duration {
	worst := time.Duration(0)
	if m.due != 0 {
		worst = max(0, now.Sub(m.due)) // the next tick is late already
	}
	for _, s := range m.ticks {
		if s.at >= since {
			worst = max(worst, s.lag)
		}
	}
	return worst
}

// Trips returns how long the quickest of the answers took lately, 0 if there were too few.
func (m *Meter) Trips(now clock.Time) time.Duration {
	quickest, n := time.Duration(0), 0
	for _, s := range m.trips {
		if now.Sub(s.at) > tripMemory {
			continue
		}
		if n == 0 || s.lag < quickest {
			quickest = s.lag
		}
		n++
	}
	if n < minTrips {
		return 0
	}
	return quickest
}

// Since returns how late the instance was at most since a time.
func (m *Meter) Since(now, since clock.Time) time.Duration {
	return max(m.Timers(now, since), m.Trips(now))
}
