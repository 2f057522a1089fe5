package queue

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oleanderdale.org/core/clock"
)

// maxWaitError is the largest error of an estimated wait that the histograms
// record; larger ones count as this one.
const maxWaitError = 10 * time.Minute

// histogramDigits is the precision of the histograms, in decimal digits.
const histogramDigits = 2

// WaitAccuracy describes the accuracy of the estimated waits that decide whether
// requests are enqueued.
type WaitAccuracy struct {
	// Late and Early record by how much a turn was granted later or earlier than
	// estimated when the request was enqueued, in milliseconds.
	Late, Early *hdrhistogram.Histogram
	// RefusedWhileWaiting counts requests that were enqueued and refused later,
	// because the estimate was wrong or servers were lost.
	RefusedWhileWaiting uint64
}

func newAccuracy() WaitAccuracy {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxWaitError.Milliseconds(), histogramDigits)
	}
	return WaitAccuracy{Late: histogram(), Early: histogram()}
}

// WaitAccuracy returns the accuracy since the start. The histograms continue to
// change.
func (o *Owner) WaitAccuracy() WaitAccuracy { return o.accuracy }

// recordGrant records the error of the estimated wait of a request that gets a
// turn.
func (a *WaitAccuracy) recordGrant(now clock.Time, req *request) {
	waitError := now.Sub(req.enqueuedAt) - req.estimatedWait
	histogram := a.Late
	if waitError < 0 {
		histogram, waitError = a.Early, -waitError
	}
	// The only error is a value out of range, which min rules out.
	_ = histogram.RecordValue(min(waitError, maxWaitError).Milliseconds())
}
