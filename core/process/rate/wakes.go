package rate

import (
	"container/heap"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
)

// wakeAt says that an account wants a tick.
type scheduledTick struct {
	at   clock.Time
	name id.Account
}

// wakeHeap is a heap by time, then name.
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

// wakes orders the accounts with something pending, so that a tick costs
// nothing for the idle ones. An entry that its account has moved away from is
// skipped when it comes up.
type tickSchedule struct{ heap tickHeap }

// drop removes entries that no longer count from the top.
func (w *tickSchedule) dropStale(accounts map[id.Account]*account) {
	for len(w.heap) > 0 && accounts[w.heap[0].name].nextTick != w.heap[0].at {
		heap.Pop(&w.heap)
	}
}

func (w *tickSchedule) next(accounts map[id.Account]*account) clock.Time {
	w.dropStale(accounts)
	if len(w.heap) == 0 {
		return clock.Never
	}
	return w.heap[0].at
}

// due removes and returns the first account whose time has come, or nil.
func (w *tickSchedule) popDue(now clock.Time, accounts map[id.Account]*account) *account {
	if w.next(accounts) > now || len(w.heap) == 0 {
		return nil
	}
	e := heap.Pop(&w.heap).(scheduledTick)
	a := accounts[e.name]
	a.nextTick = clock.Never
	return a
}

// wake wants a tick of a at t, or at the time it has if that is earlier.
func (lim *Limiter) scheduleTick(a *account, t clock.Time) {
	if t >= a.nextTick {
		return
	}
	a.nextTick = t
	heap.Push(&lim.schedule.heap, scheduledTick{at: t, name: a.name})
}
