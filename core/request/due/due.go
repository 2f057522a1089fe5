// Package due keeps one point in time for each of many keys and hands out the
// keys whose time has come, the earliest first, in an order that depends only
// on the calls made.
package due

import "oleanderdale.org/core/clock"

type item[K comparable] struct {
	key K
	at  clock.Time
	seq uint64
}

// Timers is a set of keys with a time each. The zero value is empty.
type Timers[K comparable] struct {
	heap []item[K]
	pos  map[K]int
	seq  uint64
}

// Len returns the number of keys.
func (t *Timers[K]) Len() int { return len(t.heap) }

// Next returns the earliest time, clock.Never if there is no key.
func (t *Timers[K]) Next() clock.Time {
	if len(t.heap) == 0 {
		return clock.Never
	}
	return t.heap[0].at
}

// Set gives key the time at, in place of the one it had.
func (t *Timers[K]) Set(key K, at clock.Time) {
	if t.pos == nil {
		t.pos = make(map[K]int)
	}
	t.seq++
	it := item[K]{key: key, at: at, seq: t.seq}
	i, ok := t.pos[key]
	if !ok {
		i = len(t.heap)
		t.heap = append(t.heap, it)
	}
	t.put(i, it)
	t.fix(i)
}

// Delete removes key.
func (t *Timers[K]) Delete(key K) {
	i, ok := t.pos[key]
	if !ok {
		return
	}
	delete(t.pos, key)
	last := len(t.heap) - 1
	moved := t.heap[last]
	t.heap[last] = item[K]{}
	t.heap = t.heap[:last]
	if i < last {
		t.put(i, moved)
		t.fix(i)
	}
}

// Pop removes and returns the earliest key that is due at now.
func (t *Timers[K]) Pop(now clock.Time) (key K, ok bool) {
	if len(t.heap) == 0 || !now.Reached(t.heap[0].at) {
		return key, false
	}
	key = t.heap[0].key
	t.Delete(key)
	return key, true
}

func (t *Timers[K]) less(i, j int) bool {
	a, b := &t.heap[i], &t.heap[j]
	return a.at < b.at || (a.at == b.at && a.seq < b.seq)
}

func (t *Timers[K]) put(i int, it item[K]) {
	t.heap[i] = it
	t.pos[it.key] = i
}

func (t *Timers[K]) swap(i, j int) {
	a, b := t.heap[i], t.heap[j]
	t.put(i, b)
	t.put(j, a)
}

func (t *Timers[K]) fix(i int) {
	for i > 0 && t.less(i, (i-1)/2) {
		t.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(t.heap); c++ {
			if t.less(c, least) {
				least = c
			}
		}
		if least == i {
			return
		}
		t.swap(i, least)
		i = least
	}
}
