package rate

import (
	"container/heap"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
)

// scheduledTick is the time at which an account needs a tick.
type scheduledTick struct {
	at   clock.Time
	name id.Account
}

// tickHeap is a heap ordered by time, then by account name.
type tickHeap []scheduledTick

func (w tickHeap) Len() int { return len(w) }
func (w tickHeap) Less(i, j int) bool {
	if w[i].at != w[j].at {
		return w[i].at < w[j].at
	}
	return w[i].name < w[j].name
}
func (w tickHeap) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push implements heap.Interface.
func (w *tickHeap) Push(x any) { *w = append(*w, x.(scheduledTick)) }

// Pop implements heap.Interface.
func (w *tickHeap) Pop() any {
	last := len(*w) - 1
	x := (*w)[last]
	*w = (*w)[:last]
	return x
}

// tickSchedule orders the accounts that need a tick by time, so that idle
// accounts cost nothing in a tick. Entries of ticks that were rescheduled
// stay in the heap and are skipped.
type tickSchedule struct{ heap tickHeap }

// dropStale removes rescheduled entries from the top of the heap.
func (w *tickSchedule) dropStale(accounts map[id.Account]*account) {
	for len(w.heap) > 0 && accounts[w.heap[0].name].nextTick != w.heap[0].at {
		heap.Pop(&w.heap)
	}
}

// next returns the time of the next scheduled tick.
func (w *tickSchedule) next(accounts map[id.Account]*account) clock.Time {
	w.dropStale(accounts)
	if len(w.heap) == 0 {
		return clock.Never
	}
	return w.heap[0].at
}

// popDue removes and returns the first account whose tick is due, or nil.
func (w *tickSchedule) popDue(now clock.Time, accounts map[id.Account]*account) *account {
	if w.next(accounts) > now || len(w.heap) == 0 {
		return nil
	}
	e := heap.Pop(&w.heap).(scheduledTick)
	a := accounts[e.name]
	a.nextTick = clock.Never
	return a
}

// scheduleTick schedules a tick of an account at t, unless an earlier one is
// scheduled.
func (lim *Limiter) scheduleTick(a *account, t clock.Time) {
	if t >= a.nextTick {
		return
	}
	a.nextTick = t
	heap.Push(&lim.schedule.heap, scheduledTick{at: t, name: a.name})
}
