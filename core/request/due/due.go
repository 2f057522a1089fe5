// Package due keeps a set of timers, one for each key. Timers expire in the
// order of their times, and those with equal times in the order in which they
// were set, so that the order depends only on the calls made.
package due

import "oleanderdale.org/core/clock"

// timer is the entry of one key in the heap.
type timer[K comparable] struct {
	key K
	at  clock.Time
	seq uint64 // number of the Set call; breaks ties between equal times
}

// Timers is a set of keys with one due time each, kept as a binary heap. The
// zero value is empty.
type Timers[K comparable] struct {
	heap  []timer[K]
	index map[K]int // position of each key in heap
	seq   uint64    // number of Set calls
}

// Len returns the number of keys.
func (t *Timers[K]) Len() int { return len(t.heap) }

// Next returns the earliest due time, or clock.Never if there is no key.
func (t *Timers[K]) Next() clock.Time {
	if len(t.heap) == 0 {
		return clock.Never
	}
	return t.heap[0].at
}

// Set makes key due at the given time, replacing its previous time if it has
// one.
func (t *Timers[K]) Set(key K, at clock.Time) {
	if t.index == nil {
		t.index = make(map[K]int)
	}
	t.seq++
	entry := timer[K]{key: key, at: at, seq: t.seq}
	i, ok := t.index[key]
	if !ok {
		i = len(t.heap)
		t.heap = append(t.heap, entry)
	}
	t.place(i, entry)
	t.restoreOrder(i)
}

// Delete removes key. It does nothing if the key is not in the set.
func (t *Timers[K]) Delete(key K) {
	i, ok := t.index[key]
	if !ok {
		return
	}
	delete(t.index, key)
	last := len(t.heap) - 1
	moved := t.heap[last]
	t.heap[last] = timer[K]{}
	t.heap = t.heap[:last]
	if i < last {
		t.place(i, moved)
		t.restoreOrder(i)
	}
}

// Pop removes and returns the key with the earliest due time, if that time has
// been reached at now.
func (t *Timers[K]) Pop(now clock.Time) (key K, ok bool) {
	if len(t.heap) == 0 || !now.Reached(t.heap[0].at) {
		return key, false
	}
	key = t.heap[0].key
	t.Delete(key)
	return key, true
}

// less orders timers by due time, then by the order in which they were set.
func (t *Timers[K]) less(i, j int) bool {
	a, b := &t.heap[i], &t.heap[j]
	return a.at < b.at || (a.at == b.at && a.seq < b.seq)
}

// place stores a timer at position i of the heap.
func (t *Timers[K]) place(i int, entry timer[K]) {
	t.heap[i] = entry
	t.index[entry.key] = i
}

func (t *Timers[K]) swap(i, j int) {
	a, b := t.heap[i], t.heap[j]
	t.place(i, b)
	t.place(j, a)
}

// restoreOrder moves the timer at position i up or down until the heap order
// holds again.
func (t *Timers[K]) restoreOrder(i int) {
	for i > 0 && t.less(i, (i-1)/2) {
		t.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(t.heap); child++ {
			if t.less(child, smallest) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		t.swap(i, smallest)
		i = smallest
	}
}
