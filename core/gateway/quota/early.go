package quota

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/schedule"
)

// A patient request is due long after its tokens could be there: under overload more urgent
// requests that arrive meanwhile take them, and the requests of its flow that are rejected have
// waited for nearly all of their time. So a part of the new requests of the flow is refused at
// once. That part is learned from the rejections.

const (
	// patientFactor is how much longer than the rate takes to yield the largest cost of its
	// flow a patient request can wait.
	patientFactor = 10
	// earlyStep is how much a late rejection adds to the part that is refused at once.
	// Several tens arrive in the time that they wait, and with larger steps that part swings.
	earlyStep = 0.01
	// lateShare is the number of late rejections per granted request at which the part refused
	// at once is steady. With less, the flow loses requests that would have been granted.
	lateShare = 0.35
	// nearlyDue is the part of its time that the first queued request of a flow has waited when
	// requests are refused at once. With less, there is room for all.
	nearlyDue = 0.8
	// patientLead is how far, as a factor, the flow of a patient queued request has to be ahead
	// before the request is rejected in favor of a new one. With extendedLead the most urgent
	// kind loses requests.
	patientLead = 1.12
)

// earlyRefusals decides which new requests of a flow are refused at once.
type earlyRefusals struct {
	part float64 // of the new requests
	// credit is how many requests of each class are to be accepted, so that the same part of
	// each class is refused.
	credit [sizeClasses]float64
}

// admits reports whether a new request is accepted.
func (e *earlyRefusals) admits(class sizeClass) bool {
	e.credit[class] = min(1, e.credit[class]+1-e.part)
	return e.credit[class] >= 0.5
}

// recordAccepted records that a new request is queued or granted.
func (e *earlyRefusals) recordAccepted(class sizeClass) {
	e.credit[class] = max(-1, e.credit[class]-1)
}

// recordRejection records that a request which had been queued is refused.
func (e *earlyRefusals) recordRejection() { e.part = min(1, e.part+earlyStep) }

// recordGrant records that a request is granted.
func (e *earlyRefusals) recordGrant() { e.part = max(0, e.part-earlyStep*lateShare) }

// refusesEarly reports whether a new request is refused at once. Of a class that was served less
// often than the flow none is: late rejections fall on large requests more often.
func (b *bucket) refusesEarly(now clock.Time, added *queuedRequest, f *flowSizes) bool {
	if !added.patient {
		return false
	}
	admitted := f.early.admits(added.class)
	return !admitted && !f.behind(added.class) && b.nearlyDue(now, f.flow)
}

// nearlyDue reports whether the first queued request of a flow has waited for most of its time.
func (b *bucket) nearlyDue(now clock.Time, flow schedule.Flow) bool {
	for _, w := range b.queue {
		if w.patient && flowOf(w.request) == flow {
			return now.Sub(w.queuedAt).Seconds() > nearlyDue*w.deadline.Sub(w.queuedAt).Seconds()
		}
	}
	return false
}
