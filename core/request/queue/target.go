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
	// parked holds requests that were next in order while no server was available
	// that they may use: those that must run alone or avoid a server. They do not
	// block the others.
	parked          []*request
	turnsInUse      int
	meanServiceTime time.Duration // mean duration of a turn; 0: not measured
	serversFull     bool          // requests wait because the servers are busy, not for loading
	refusedDemand   refusedDemand
}

// refusedDemand records a request that was refused because loading would take too
// long. Without it the loading would never start, and the caller would be refused
// again when it retries at the suggested time.
type refusedDemand struct {
	level     int
	expiresAt clock.Time // when it stops counting as demand
	retryAt   clock.Time // when the caller was told to retry
}

// queue returns the queue of t, and creates it if needed.
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

// removeIdleQueues removes queues without state that must be kept.
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

// size returns the number of waiting requests.
func (q *targetQueue) size() int {
	n := len(q.parked)
	for i := range q.classes {
		n += q.classes[i].size
	}
	return n
}

// recordServiceTime updates the moving average of the service time.
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
