package queue

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oleanderdale.org/core/clock"
)

// maxWaitError is the largest miss that is told apart.
const maxWaitError = 10 * time.Minute

// histogramDigits is the precision of a miss, in decimal digits.
const histogramDigits = 2

// WaitAccuracy says how good the estimated waits are that requests are taken in or
// refused by.
type WaitAccuracy struct {
	// Late and Early hold by how much a turn came later or earlier than
	// estimated when the request was taken in, in milliseconds.
	Late, Early *hdrhistogram.Histogram
	// RefusedWhileWaiting counts requests that were taken in and refused later: the
	// estimate was wrong, or servers were lost.
	RefusedWhileWaiting uint64
}

func newAccuracy() WaitAccuracy {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxWaitError.Milliseconds(), histogramDigits)
	}
	return WaitAccuracy{Late: histogram(), Early: histogram()}
}

// WaitAccuracy returns the accuracy since the start. The histograms go on changing.
func (o *Owner) WaitAccuracy() WaitAccuracy { return o.accuracy }

func (a *WaitAccuracy) recordGrant(now clock.Time, e *request) {
	miss := now.Sub(e.enqueuedAt) - e.estimatedWait
	h := a.Late
	if miss < 0 {
		h, miss = a.Early, -miss
	}
	// The only error is a value out of range, which min rules out.
	_ = h.RecordValue(min(miss, maxWaitError).Milliseconds())
}
