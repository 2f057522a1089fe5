package gateway

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// republishInterval is how often servers are sent again, for instances that lost
	// a message or started since.
	republishInterval = 2 * time.Second
	// maxRepublished bounds how many servers are sent at once, about 120 bytes each.
	// Larger fleets are sent in turns.
	maxRepublished = 200
)

// republisher decides which servers are sent again and when. It is not safe for
// concurrent use.
type republisher struct {
	lastAt clock.Time // last republication
	lastID string     // last server of that republication; "" starts from the first
}

// republishRange is the index range of the servers to send again now.
type republishRange struct {
	due      bool
	from, to int // to is exclusive
}

func (r republishRange) contains(i int) bool { return r.due && r.from <= i && i < r.to }

// next returns which of the servers, sorted by ID, are sent again now: all if anew is
// set, otherwise the next batch once the interval has passed.
func (p *republisher) next(now clock.Time, ids []string, anew bool) republishRange {
	if !anew && now.Sub(p.lastAt) < republishInterval {
		return republishRange{}
	}
	p.lastAt = now
	if anew {
		p.lastID = ""
		return republishRange{due: true, to: len(ids)}
	}
	from, found := slices.BinarySearch(ids, p.lastID)
	if found {
		from++
	}
	to := min(from+maxRepublished, len(ids))
	p.lastID = ""
	if to < len(ids) {
		p.lastID = ids[to-1]
	}
	return republishRange{due: true, from: from, to: to}
}
