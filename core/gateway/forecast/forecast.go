// Package forecast compares the predicted waits for a slot with the actual ones, and derives
// the correction of the next predictions.
package forecast

import (
	"math"
	"time"
)

const (
	// errorWeight is the weight of one wait in the moving averages: about the last 50 count.
	errorWeight = 0.02
	// minCorrection and maxCorrection bound the correction. A larger error means that the
	// model behind the predictions does not hold, and a factor would not mend it.
	minCorrection, maxCorrection = 0.5, 2.0
	// initialWeight is the wait that the correction starts from, in both moving sums: the
	// first few waits change the correction only a little.
	initialWeight = 50 * time.Millisecond
)

// Counts counts the decisions that followed from predictions.
type Counts struct {
	Refused uint64 // not expected to get a slot in time
	InTime  uint64 // queued, and granted a slot in time
	Late    uint64 // queued, and not granted a slot in time
}

// Prediction is a predicted wait.
type Prediction struct {
	Wait time.Duration // as predicted when the wait began
	// Uncorrected is the wait without the correction. While the request waits, it follows
	// the requests that are served before it: those that arrive later are no error of the
	// predicted rate, which the correction is for.
	Uncorrected time.Duration
}

// Tracker records predictions and what became of them. It is not safe for concurrent use.
type Tracker struct {
	counts         Counts
	meanError      float64 // moving average of actual minus predicted wait, in seconds
	uncorrected    float64 // moving average of the waits without the correction, in seconds
	actual         float64 // moving average of the actual waits, in seconds
	deviation      float64 // moving average of the corrected error, without its sign, in seconds
	waitsCompleted bool    // the averages are set
}

// RecordRefusal counts a request that was refused because of its predicted wait.
func (t *Tracker) RecordRefusal() { t.counts.Refused++ }

// RecordWait records the end of a wait for a slot.
func (t *Tracker) RecordWait(p Prediction, actual time.Duration, inTime bool) {
	if inTime {
		t.counts.InTime++
	} else {
		t.counts.Late++
	}
	if !t.waitsCompleted {
		t.uncorrected, t.actual, t.waitsCompleted = initialWeight.Seconds(), initialWeight.Seconds(), true
	}
	t.meanError += errorWeight * ((actual - p.Wait).Seconds() - t.meanError)
	corrected := p.Uncorrected.Seconds() * t.Correction()
	t.deviation += errorWeight * (math.Abs(actual.Seconds()-corrected) - t.deviation)
	t.uncorrected += errorWeight * (p.Uncorrected.Seconds() - t.uncorrected)
	t.actual += errorWeight * (actual.Seconds() - t.actual)
}

// Counts returns the counts since the start.
func (t *Tracker) Counts() Counts { return t.counts }

// MeanError returns the moving average of the actual minus the predicted wait. It is negative
// while requests are served earlier than predicted.
func (t *Tracker) MeanError() time.Duration {
	return time.Duration(t.meanError * float64(time.Second))
}

// Correction returns the factor by which to multiply a predicted wait.
func (t *Tracker) Correction() float64 {
	if t.uncorrected <= 0 {
		return 1
	}
	return min(maxCorrection, max(minCorrection, t.actual/t.uncorrected))
}

// Margin returns by how much a wait usually differs from the corrected prediction.
func (t *Tracker) Margin() time.Duration {
	return time.Duration(t.deviation * float64(time.Second))
}
