// Package budget bounds how often requests are sent once more, over all
// instances together: without a bound, retries multiply the load on backend
// servers that are already failing under it.
//
// Each instance keeps an equal part of the fixed allowance and a ratio of the
// requests that it took itself, so the sum over all instances can't exceed the
// whole and nobody has to be asked.
package budget

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// slots divide the window. One more is kept, so that a span of a whole
	// window is always covered.
	slots = 20
	// margin leaves a part of the allowance unspent: instances don't agree on
	// where a second begins, and on how many they are.
	margin = 0.8
)

// Settings of a Budget.
type Settings struct {
	Window    time.Duration
	Ratio     float64 // of the requests in a window
	Allowance float64 // in a window, besides, over all instances
}

type counts struct {
	slot              int64
	requests, repeats int
}

// Budget counts for all groups. It is not safe for concurrent use.
type Budget struct {
	settings Settings
	groups   map[string]*[slots + 1]counts
}

// New returns a Budget.
func New(s Settings) *Budget {
	return &Budget{settings: s, groups: make(map[string]*[slots + 1]counts)}
}

func (b *Budget) at(now clock.Time, group string) *counts {
	ring := b.groups[group]
	if ring == nil {
		ring = new([slots + 1]counts)
		b.groups[group] = ring
	}
	n := b.slot(now)
	c := &ring[n%(slots+1)]
	if c.slot != n {
		*c = counts{slot: n}
	}
	return c
}

func (b *Budget) slot(now clock.Time) int64 {
	return int64(now) / int64(b.settings.Window/slots)
}

// RecordRequest counts a request of a caller for a group.
func (b *Budget) RecordRequest(now clock.Time, group string) { b.at(now, group).requests++ }

// TryRetry spends one repeat, if the part of one instance among so many allows it.
func (b *Budget) TryRetry(now clock.Time, group string, instances int) bool {
	c := b.at(now, group)
	if b.left(now, group, instances) < 1 {
		return false
	}
	c.repeats++
	return true
}

// Remaining returns how many repeats an instance has left in the group that has the
// fewest. Without a request it is what the allowance gives.
func (b *Budget) Remaining(now clock.Time, instances int) float64 {
	left := b.left(now, "", instances)
	for group := range b.groups {
		left = min(left, b.left(now, group, instances))
	}
	return max(0, left)
}

func (b *Budget) left(now clock.Time, group string, instances int) float64 {
	c := b.sum(now, group)
	allowed := margin * (float64(c.requests)*b.settings.Ratio + b.settings.Allowance/float64(max(1, instances)))
	return allowed - float64(c.repeats)
}

func (b *Budget) sum(now clock.Time, group string) counts {
	var total counts
	ring := b.groups[group]
	if ring == nil {
		return total
	}
	oldest := b.slot(now) - slots
	for _, c := range ring {
		if c.slot >= oldest {
			total.requests += c.requests
			total.repeats += c.repeats
		}
	}
	return total
}
