package directory

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

// maxRest bounds the time that a server is left alone by one response. A server that names
// a longer one is asked again after this time.
const maxRest = 10 * time.Minute

// rest is the wish of a server to be left alone for a time. It belongs to the server's ID,
// not to one start of the server: answers come before the entry of a new start is read, and a
// restored store lists earlier starts for a while, so that the start which the entry names is
// not always the one that answered.
type rest struct {
	until clock.Time // for this instance
	// anyUntil is when the last rest ends that the server asked of any instance. It rejects
	// the others' requests more likely than servers that asked nobody.
	anyUntil clock.Time
}

// restOf returns the rest of a server, a new one if there is none.
func (d *Directory) restOf(id string) *rest {
	r := d.rests[id]
	if r == nil {
		r = &rest{}
		d.rests[id] = r
		if s := d.servers[id]; s != nil {
			s.rest = r
		}
	}
	return r
}

// RecordRest records that a server wants no request of this instance for a time.
func (d *Directory) RecordRest(now clock.Time, id string, wanted time.Duration) {
	r := d.restOf(id)
	r.until = max(r.until, now.Add(min(wanted, maxRest)))
}

// RecordRestOfAny records that a server asked any instance, this one or another, for rest.
// It reports whether others should be told: the rest ends later than they know by more than
// minRestExtension.
func (d *Directory) RecordRestOfAny(now clock.Time, id string, remaining time.Duration) bool {
	r := d.restOf(id)
	until, before := now.Add(min(remaining, maxRest)), r.anyUntil
	r.anyUntil = max(r.anyUntil, until)
	return until.Sub(max(before, now)) > minRestExtension
}

// minRestExtension is the least extension of a rest that is told to other instances.
const minRestExtension = 500 * time.Millisecond

// RestRemaining returns how long the server rests for some instance; 0 if for none.
func (s *Server) RestRemaining(now clock.Time) time.Duration {
	if s.rest == nil {
		return 0
	}
	return max(0, s.rest.anyUntil.Sub(now))
}

// Resting reports whether the server wants no request of this instance now.
func (s *Server) Resting(now clock.Time) bool { return s.rest != nil && now.Before(s.rest.until) }

// ExcludeResting returns the IDs of excluded servers and of those of a group that want no
// request of this instance now.
func (d *Directory) ExcludeResting(now clock.Time, group string, excluded map[string]bool) map[string]bool {
	if len(d.rests) == 0 {
		return excluded
	}
	all := make(map[string]bool, len(excluded)+len(d.rests))
	for id := range excluded {
		all[id] = true
	}
	for id := range d.rests {
		if s := d.servers[id]; s != nil && s.Group == group && s.Resting(now) {
			all[id] = true
		}
	}
	return all
}

// RestEnds returns when the first server that could run a request ends its rest for this
// instance; ok is false if none rests. Servers that the request excludes for another reason
// are in excluded.
func (d *Directory) RestEnds(now clock.Time, req Requirements, excluded map[string]bool) (at clock.Time, ok bool) {
	if len(d.rests) == 0 {
		return 0, false
	}
	req.Exclude = excluded
	for _, s := range d.Candidates(now, req) {
		if s.Resting(now) && (!ok || s.rest.until < at) {
			at, ok = s.rest.until, true
		}
	}
	return at, ok
}

// expireRests forgets rests that have ended.
func (d *Directory) expireRests(now clock.Time) {
	for id, r := range d.rests {
		if now.Reached(r.until) && now.Reached(r.anyUntil) {
			delete(d.rests, id)
			if s := d.servers[id]; s != nil {
				s.rest = nil
			}
		}
	}
}

// avoidResting returns the servers that ask no instance for rest, or all if all do.
// A server that rejects one instance's requests likely rejects the next one's: in a large
// fleet, in which each instance would have to find out by itself, it would go on getting
// almost all of its requests.
func avoidResting(now clock.Time, eligible []*Server) []*Server {
	resting := func(s *Server) bool { return s.RestRemaining(now) > 0 }
	if !slices.ContainsFunc(eligible, resting) {
		return eligible
	}
	rested := slices.DeleteFunc(slices.Clone(eligible), resting)
	if len(rested) == 0 {
		return eligible
	}
	return rested
}
