package queue

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

// targetQueue is the queue of one target.
type targetQueue struct {
	target  Target
	classes [numLevels]class
	// parked requests had their turn but no server that they may go to: Alone
	// ones, and those that avoid a server. They don't hold the others up.
	parked          []*request
	turnsInUse      int
	meanServiceTime time.Duration // mean time of a turn; 0: not measured
	serversFull     bool          // its requests wait for room, not for a load
	refusedDemand   refusedDemand
}

// refusedDemand is a demand that was refused because a load would take too long.
// Without it nobody would start the load, and the caller who comes back at the
// time it was told would be refused again.
type refusedDemand struct {
	level     int
	expiresAt clock.Time // counts until then
	retryAt   clock.Time // when the caller was told to come back
}

func (o *Owner) queue(t Target) *targetQueue {
	q := o.queues[t]
	if q == nil {
		q = &targetQueue{target: t}
		o.queues[t] = q
		i, _ := slices.BinarySearchFunc(o.sortedQueues, t, func(q *targetQueue, t Target) int {
			return compareTargets(q.target, t)
		})
		o.sortedQueues = slices.Insert(o.sortedQueues, i, q)
	}
	return q
}

// removeIdleQueues drops queues that hold nothing worth keeping.
func (o *Owner) removeIdleQueues(now clock.Time) {
	o.sortedQueues = slices.DeleteFunc(o.sortedQueues, func(q *targetQueue) bool {
		idle := q.size() == 0 && q.turnsInUse == 0 && now.Reached(q.refusedDemand.expiresAt)
		if idle {
			delete(o.queues, q.target)
		}
		return idle
	})
	o.nextQueue = 0
}

func (q *targetQueue) size() int {
	n := len(q.parked)
	for i := range q.classes {
		n += q.classes[i].size
	}
	return n
}

// recordServiceTime folds the time of one turn into the mean.
func (q *targetQueue) recordServiceTime(d time.Duration) {
	if d <= 0 {
		return
	}
	if q.meanServiceTime == 0 {
		q.meanServiceTime = d
		return
	}
	q.meanServiceTime += (d - q.meanServiceTime) / 8
}
