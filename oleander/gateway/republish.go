package gateway

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// repeatEvery is how often servers are told again, for those that lost a
	// message or started since.
	repeatEvery = 2 * time.Second
	// repeatMost bounds how many servers are told again at once: of more, the next
	// ones each time. A server is about 120 bytes.
	repeatMost = 200
)

// repeats decides which servers are told again when. It is not safe for concurrent use.
type repeats struct {
	at   clock.Time // servers were last told again
	last string     // id of the last one of them; "": the first ones are next
}

// repetition are the servers that are told again now, by their places.
type repetition struct {
	due      bool
	from, to int // to is not among them
}

func (r repetition) has(i int) bool { return r.due && r.from <= i && i < r.to }

// next returns which of the servers, sorted by id, are told again now: all of them if
// anew, else the next ones when it is time.
func (p *repeats) next(now clock.Time, ids []string, anew bool) repetition {
	if !anew && now.Sub(p.at) < repeatEvery {
		return repetition{}
	}
	p.at = now
	if anew {
		p.last = ""
		return repetition{due: true, to: len(ids)}
	}
	from, found := slices.BinarySearch(ids, p.last)
	if found {
		from++
	}
	to := min(from+repeatMost, len(ids))
	p.last = ""
	if to < len(ids) {
		p.last = ids[to-1]
	}
	return repetition{due: true, from: from, to: to}
}
