package poison

import "oleanderdale.org/core/clock"

// lastSeen says when something was last observed, and by whom. An age that is told on grows younger
// by the delay of each message, so only the instance tells it that observed it.
type lastSeen struct {
	at    clock.Time // by anyone; 0: never
	heard clock.Time // by this instance, or by one that told it itself
	own   clock.Time // by this instance
}

// observe records an observation of this instance.
func (s *lastSeen) observe(now clock.Time) {
	s.own = max(s.own, now)
	s.hear(now)
}

// hear records what the instance tells that observed it. It reports whether that is the latest.
func (s *lastSeen) hear(at clock.Time) (latest bool) {
	s.heard = max(s.heard, at)
	return s.read(at, false)
}

// read records what the store keeps, as read there before (again) or heard by the instance that wrote
// it. What was read before may come round again and again, so it counts only where nothing is known.
// It reports whether that is the latest.
func (s *lastSeen) read(at clock.Time, again bool) (latest bool) {
	if again && s.at != 0 || at <= s.at {
		return false
	}
	s.at = at
	return true
}

// merge is read for what the store keeps (stored), else hear.
func (s *lastSeen) merge(at clock.Time, stored, again bool) (latest bool) {
	if stored {
		return s.read(at, again)
	}
	return s.hear(at)
}

// toTell returns what this instance observed itself, for the others. To keep it in the store, it
// returns the latest observation of all, and whether it is known from there alone. 0: nothing.
func (s *lastSeen) toTell(keep bool) (at clock.Time, again bool) {
	if keep {
		return s.at, s.at > s.heard
	}
	return s.own, false
}

// maxRecentRuns bounds each of the two generations of recentRuns.
const maxRecentRuns = 2048

// recentRuns remembers when requests last completed, for the most recent runs: at least
// maxRecentRuns requests, at most twice as many.
type recentRuns struct {
	current, previous map[Digest]lastSeen
}

func (r *recentRuns) set(digest Digest, s lastSeen) {
	if r.current == nil || len(r.current) >= maxRecentRuns {
		r.current, r.previous = make(map[Digest]lastSeen), r.current
	}
	r.current[digest] = s
}

// observe records a run that completed at this instance.
func (r *recentRuns) observe(now clock.Time, digest Digest) {
	s := r.get(digest)
	s.observe(now)
	r.set(digest, s)
}

// get returns when a request last completed, as far as that is known.
func (r *recentRuns) get(digest Digest) lastSeen {
	if s, ok := r.current[digest]; ok {
		return s
	}
	return r.previous[digest]
}
