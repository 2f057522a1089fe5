// Package lag measures how late an instance is in handling what it has received: how much
// later than asked its timers fire and how long its goroutines wait to run, since its processor is
// busy or the process was paused, and how long even the quickest answer of another instance
// takes, since its link is full.
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
	// waitMemory and tripMemory are how long measurements are kept.
	waitMemory = time.Second
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
	waits []sample   // for the processor
	trips []sample
}

// Started records that the instance starts and will call Ticked.
func (m *Meter) Started(now clock.Time) { m.due = now.Add(Interval) }

// Ticked records that a timer fired that was set to now+Interval at the last call, and how long a
// goroutine waited to run at most since then. Timers alone don't show a queue of goroutines,
// which they go before.
func (m *Meter) Ticked(now clock.Time, longestWait time.Duration) {
	if m.due != 0 {
		m.waits = record(m.waits, sample{now, max(longestWait, now.Sub(m.due))}, waitMemory)
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

// Processor returns how long the instance waited for its processor at most since a time, at most
// waitMemory ago.
func (m *Meter) Processor(now, since clock.Time) time.Duration {
	worst := time.Duration(0)
	if m.due != 0 {
		worst = max(0, now.Sub(m.due)) // the next tick is late already
	}
	for _, s := range m.waits {
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
	return max(m.Processor(now, since), m.Trips(now))
}
