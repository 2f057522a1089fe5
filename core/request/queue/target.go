package queue

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

// targetQueue is the queue of one target.
type targetQueue struct {
	target  Target
	classes [levels]class
	// parked requests had their turn but no server that they may go to: Alone
	// ones, and those that avoid a server. They don't hold the others up.
	parked  []*entry
	running int
	service time.Duration // mean time of a turn; 0: not measured
	full    bool          // its requests wait for room, not for a load
	missed  missed
}

// missed is a demand that was refused because a load would take too long.
// Without it nobody would start the load, and the caller who comes back at the
// time it was told would be refused again.
type missed struct {
	level int
	until clock.Time // counts until then
	ready clock.Time // when the caller was told to come back
}

func (o *Owner) queue(t Target) *targetQueue {
	q := o.queues[t]
	if q == nil {
		q = &targetQueue{target: t}
		o.queues[t] = q
		i, _ := slices.BinarySearchFunc(o.order, t, func(q *targetQueue, t Target) int {
			return compareTargets(q.target, t)
		})
		o.order = slices.Insert(o.order, i, q)
	}
	return q
}

// forgetIdle drops queues that hold nothing worth keeping.
func (o *Owner) forgetIdle(now clock.Time) {
	o.order = slices.DeleteFunc(o.order, func(q *targetQueue) bool {
		idle := q.size() == 0 && q.running == 0 && now.Reached(q.missed.until)
		if idle {
			delete(o.queues, q.target)
		}
		return idle
	})
	o.next = 0
}

func (q *targetQueue) size() int {
	n := len(q.parked)
	for i := range q.classes {
		n += q.classes[i].size
	}
	return n
}

// addService folds the time of one turn into the mean.
func (q *targetQueue) addService(d time.Duration) {
	if d <= 0 {
		return
	}
	if q.service == 0 {
		q.service = d
		return
	}
	q.service += (d - q.service) / 8
}
