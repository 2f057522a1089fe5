package poison

import "oleanderdale.org/core/clock"

// maxRecentRuns bounds each of the two generations of recentRuns.
const maxRecentRuns = 2048

// recentRuns remembers when requests last completed, for the most recent runs: at least
// maxRecentRuns requests, at most twice as many.
type recentRuns struct {
	current, previous map[Digest]clock.Time
}

func (r *recentRuns) add(now clock.Time, digest Digest) {
	if r.current == nil || len(r.current) >= maxRecentRuns {
		r.current, r.previous = make(map[Digest]clock.Time), r.current
	}
	r.current[digest] = now
}

// last returns when a request last completed, or 0 if that is not known.
func (r *recentRuns) last(digest Digest) clock.Time {
	if at, ok := r.current[digest]; ok {
		return at
	}
	return r.previous[digest]
}
