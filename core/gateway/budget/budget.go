// Package budget implements a retry budget, which limits retries over all instances.
// Without a limit, retries multiply the load on backend servers that already fail under
// it.
//
// Each instance may use an equal share of the fixed allowance plus a ratio of the
// requests that it received itself. The sum over all instances therefore stays within
// the limit without communication between them.
package budget

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// slotsPerWindow is the number of slots that the window is divided into. One more
	// slot is kept, so that the slots always cover a full window.
	slotsPerWindow = 20
	// safetyFactor leaves a part of the budget unused, because the instances' slots are
	// not aligned and their counts of the instances may differ.
	safetyFactor = 0.8
	// firstWindowFactor replaces safetyFactor for the allowance in the first window of a process. The
	// one before it may have spent its part, and all instances may have ended at once.
	firstWindowFactor = 1 - safetyFactor
)

// Settings of a Budget.
type Settings struct {
	Window    time.Duration
	Ratio     float64 // retries per request in a window
	Allowance float64 // additional retries in a window, over all instances
}

type slotCounts struct {
	slot              int64
	requests, retries int
}

// Budget is one instance's retry budget, with separate counts for each group of backend
// servers. It is not safe for concurrent use.
type Budget struct {
	settings Settings
	started  clock.Time
	groups   map[string]*[slotsPerWindow + 1]slotCounts
}

// New returns the Budget of a process that started at a time.
func New(started clock.Time, s Settings) *Budget {
	return &Budget{settings: s, started: started, groups: make(map[string]*[slotsPerWindow + 1]slotCounts)}
}

func (b *Budget) currentSlot(now clock.Time, group string) *slotCounts {
	ring := b.groups[group]
	if ring == nil {
		ring = new([slotsPerWindow + 1]slotCounts)
		b.groups[group] = ring
	}
	number := b.slotNumber(now)
	counts := &ring[number%(slotsPerWindow+1)]
	if counts.slot != number {
		*counts = slotCounts{slot: number}
	}
	return counts
}

func (b *Budget) slotNumber(now clock.Time) int64 {
	return int64(now) / int64(b.settings.Window/slotsPerWindow)
}

// RecordRequest counts a caller's request to a group.
func (b *Budget) RecordRequest(now clock.Time, group string) { b.currentSlot(now, group).requests++ }

// TryRetry counts a retry and returns true if the share of one of so many instances
// allows it.
func (b *Budget) TryRetry(now clock.Time, group string, instances int) bool {
	counts := b.currentSlot(now, group)
	if b.remaining(now, group, instances) < 1 {
		return false
	}
	counts.retries++
	return true
}

// Reservation is retries that were counted before they are made.
type Reservation struct {
	Left  int // not made
	group string
	slot  int64
}

// Reserve counts retries that a request may make later, or none if the share of one of so many instances does not
// allow all of them.
func (b *Budget) Reserve(now clock.Time, group string, instances, retries int) Reservation {
	counts := b.currentSlot(now, group)
	if b.remaining(now, group, instances) < float64(retries) {
		return Reservation{}
	}
	counts.retries += retries
	return Reservation{Left: retries, group: group, slot: counts.slot}
}

// Return takes back the count of retries that were not made.
func (b *Budget) Return(r Reservation) {
	ring := b.groups[r.group]
	if ring == nil {
		return
	}
	if counts := &ring[r.slot%(slotsPerWindow+1)]; counts.slot == r.slot {
		counts.retries -= r.Left
	}
}

// Remaining returns the number of retries left to this instance in the group with the
// fewest. Without any requests it is the instance's share of the allowance.
func (b *Budget) Remaining(now clock.Time, instances int) float64 {
	remaining := b.remaining(now, "", instances)
	for group := range b.groups {
		remaining = min(remaining, b.remaining(now, group, instances))
	}
	return max(0, remaining)
}

func (b *Budget) remaining(now clock.Time, group string, instances int) float64 {
	counts := b.sum(now, group)
	return b.allowed(now, counts, instances) - float64(counts.retries)
}

// HalfLeft reports whether at least half of the retries to a group that one of so many instances may make, and one
// of them, is left.
func (b *Budget) HalfLeft(now clock.Time, group string, instances int) bool {
	counts := b.sum(now, group)
	allowed := b.allowed(now, counts, instances)
	return allowed-float64(counts.retries) >= max(1, allowed/2)
}

// allowed returns how many retries one of so many instances may make in the window.
func (b *Budget) allowed(now clock.Time, counts slotCounts, instances int) float64 {
	allowance := safetyFactor * b.settings.Allowance
	if now.Sub(b.started) < b.settings.Window {
		allowance = firstWindowFactor * b.settings.Allowance
	}
	return safetyFactor*float64(counts.requests)*b.settings.Ratio + allowance/float64(max(1, instances))
}

func (b *Budget) sum(now clock.Time, group string) slotCounts {
	var total slotCounts
	ring := b.groups[group]
	if ring == nil {
		return total
	}
	oldest := b.slotNumber(now) - slotsPerWindow
	for _, counts := range ring {
		if counts.slot >= oldest {
			total.requests += counts.requests
			total.retries += counts.retries
		}
	}
	return total
}
