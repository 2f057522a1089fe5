package gateway

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// repeatEvery is how often servers are told again, for those that lost a
	// message or started since.
	republishInterval = 2 * time.Second
	// repeatMost bounds how many servers are told again at once: of more, the next
	// ones each time. A server is about 120 bytes.
	maxRepublished = 200
)

// repeats decides which servers are told again when. It is not safe for concurrent use.
type republisher struct {
	lastAt clock.Time // servers were last told again
	lastID string     // id of the last one of them; "": the first ones are next
}

// repetition are the servers that are told again now, by their places.
type republishRange struct {
	due      bool
	from, to int // to is not among them
}

func (r republishRange) contains(i int) bool { return r.due && r.from <= i && i < r.to }

// next returns which of the servers, sorted by id, are told again now: all of them if
// anew, else the next ones when it is time.
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
