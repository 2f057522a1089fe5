// Package reservation records when refused requests were told to return. A request with a
// reservation that returns then takes precedence over new ones, once. One without is only kept
// from asking again before that time.
package reservation

import (
	"container/list"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// Window is how long after the promised time a reservation can be redeemed. Callers
	// add some random delay to the time they are told.
	Window = 2 * time.Second
	// Capacity is the number of reservations that a Book holds at most.
	Capacity = 4096
)

// Status is the result of Book.Redeem.
type Status int

// The statuses.
const (
	New      Status = iota // no reservation is known
	Early                  // the promised time is not reached; the reservation remains
	Returned               // redeemed
	Expired                // returned after the window; handled like New
	Deferred               // returned, and counts as new
)

// String returns the status's name for logs.
func (s Status) String() string {
	return [...]string{"new", "early", "returned", "expired", "deferred"}[s]
}

// Book holds reservations by key. It is kept in memory only: when its holder is replaced,
// the reservations are lost and callers that return count as new. It is not safe for
// concurrent use.
type Book struct {
	entries map[uint64]*list.Element
	byAge   *list.List // of entry, oldest first
}

type entry struct {
	key      uint64
	at       clock.Time // when to return
	reserved bool       // takes precedence then
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{entries: make(map[uint64]*list.Element), byAge: list.New()} }

// Reserve records that the request with a key was told to return at a time, and returns the
// time that holds. A reservation that can still be redeemed is not changed: a caller must not
// improve its place by asking again. Key 0 gets no reservation. When the Book is full, the
// oldest reservation is evicted.
func (b *Book) Reserve(now clock.Time, key uint64, at clock.Time) clock.Time {
	return b.add(now, entry{key: key, at: at, reserved: true})
}

// Defer is like Reserve, but the request counts as new when it returns.
func (b *Book) Defer(now clock.Time, key uint64, at clock.Time) clock.Time {
	return b.add(now, entry{key: key, at: at})
}

func (b *Book) add(now clock.Time, added entry) clock.Time {
	key, at := added.key, added.at
	if key == 0 {
		return at
	}
	if e := b.entries[key]; e != nil {
		if held := e.Value.(entry).at; now <= held.Add(Window) {
			return held
		}
		b.remove(e)
	}
	if len(b.entries) >= Capacity {
		b.remove(b.byAge.Front())
	}
	b.entries[key] = b.byAge.PushBack(added)
	return at
}

// Redeem reports whether the request with a key returns as it was told. With Early, remaining
// is the time until the promised one. With the other statuses the entry ends.
func (b *Book) Redeem(now clock.Time, key uint64) (s Status, remaining time.Duration) {
	e := b.entries[key]
	if e == nil {
		return New, 0
	}
	known := e.Value.(entry)
	at := known.at
	if now < at {
		return Early, at.Sub(now)
	}
	b.remove(e)
	switch {
	case now > at.Add(Window):
		return Expired, 0
	case !known.reserved:
		return Deferred, 0
	}
	return Returned, 0
}

// Len returns the number of reservations, including those whose window has passed.
func (b *Book) Len() int { return len(b.entries) }

func (b *Book) remove(e *list.Element) {
	delete(b.entries, b.byAge.Remove(e).(entry).key)
}
