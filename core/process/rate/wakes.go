package rate

import (
	"container/heap"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
)

// wakeAt says that an account wants a tick.
type wakeAt struct {
	at   clock.Time
	name id.Account
}

// wakeHeap is a heap by time, then name.
type wakeHeap []wakeAt

func (w wakeHeap) Len() int { return len(w) }
func (w wakeHeap) Less(i, j int) bool {
	if w[i].at != w[j].at {
		return w[i].at < w[j].at
	}
	return w[i].name < w[j].name
}
func (w wakeHeap) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push implements heap.Interface.
func (w *wakeHeap) Push(x any) { *w = append(*w, x.(wakeAt)) }

// Pop implements heap.Interface.
func (w *wakeHeap) Pop() any {
	last := len(*w) - 1
	x := (*w)[last]
	*w = (*w)[:last]
	return x
}

// wakes orders the accounts with something pending, so that a tick costs
// nothing for the idle ones. An entry that its account has moved away from is
// skipped when it comes up.
type wakes struct{ heap wakeHeap }

// drop removes entries that no longer count from the top.
func (w *wakes) drop(accounts map[id.Account]*account) {
	for len(w.heap) > 0 && accounts[w.heap[0].name].wake != w.heap[0].at {
		heap.Pop(&w.heap)
	}
}

func (w *wakes) next(accounts map[id.Account]*account) clock.Time {
	w.drop(accounts)
	if len(w.heap) == 0 {
		return clock.Never
	}
	return w.heap[0].at
}

// due removes and returns the first account whose time has come, or nil.
func (w *wakes) due(now clock.Time, accounts map[id.Account]*account) *account {
	if w.next(accounts) > now || len(w.heap) == 0 {
		return nil
	}
	e := heap.Pop(&w.heap).(wakeAt)
	a := accounts[e.name]
	a.wake = clock.Never
	return a
}

// wake wants a tick of a at t, or at the time it has if that is earlier.
func (h *Limiter) wake(a *account, t clock.Time) {
	if t >= a.wake {
		return
	}
	a.wake = t
	heap.Push(&h.wakes.heap, wakeAt{at: t, name: a.name})
}
