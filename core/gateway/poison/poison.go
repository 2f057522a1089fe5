// Package poison recognizes a request that crashes each backend server that
// runs it. Its caller sends it again and again; without a register, every
// instance would pass it on once and the whole fleet would go down in turn.
//
// A request whose connection broke while it ran is a suspect, known by the
// digest of account, method, path and body. Others that ran on the same server
// are suspects too, once. Only the one that was there at several crashes is
// refused. One that was answered meanwhile is cleared: callers may send the same
// body many times, and some of these requests meet a crash that others caused.
package poison

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// crashLimit is how many broken runs make a request poisonous. Two happen
	// to an innocent request by chance on days with many crashes.
	crashLimit = 3
	// keep is how long a broken run counts.
	keep = 60 * time.Second
	// maxSuspects bounds the memory; the oldest are dropped.
	maxSuspects = 4096
)

// Digest names a request that may come again.
type Digest uint64

type suspect struct {
	last    clock.Time // a run broke, here or elsewhere
	changed clock.Time // own or cleared, by a run here
	own     uint32
	peers   map[string]uint32
	cleared bool // was answered since it was first suspected
}

// Detector counts broken runs. It is not safe for concurrent use.
type Detector struct {
	suspects map[Digest]*suspect
}

// New returns an empty Register.
func New() *Detector { return &Detector{suspects: make(map[Digest]*suspect)} }

// RecordCrash records that a run of d broke off here.
func (r *Detector) RecordCrash(now clock.Time, d Digest) {
	s := r.at(now, d)
	s.last, s.changed = now, now
	s.own++
}

// RecordCompletion records that a run of d came to its end here.
func (r *Detector) RecordCompletion(now clock.Time, d Digest) {
	if s, ok := r.suspects[d]; ok && !s.cleared {
		s.cleared, s.changed = true, now
	}
}

// Cleared is the count that says that a run of a suspect came to its end.
const Cleared = 0

// RecordPeerCount records what another instance counted for d.
func (r *Detector) RecordPeerCount(now clock.Time, peer string, d Digest, count uint32) {
	s := r.at(now, d)
	if count == Cleared {
		s.cleared = true
		return
	}
	s.last = now
	if s.peers == nil {
		s.peers = make(map[string]uint32)
	}
	s.peers[peer] = count
}

// IsPoisonous reports whether d must not be sent to a backend server any more.
func (r *Detector) IsPoisonous(now clock.Time, d Digest) bool {
	s, ok := r.suspects[d]
	if !ok || s.cleared || now.Sub(s.last) > keep {
		return false
	}
	total := s.own
	for _, n := range s.peers {
		total += n
	}
	return total >= crashLimit
}

// LocalCounts returns what this instance has to tell of runs here that are not older than
// age. What it heard from others is theirs to tell: told on, it would go round
// among the instances for ever. With 83 of them on a day with crashing servers
// that made nine tenths of all bytes between them.
func (r *Detector) LocalCounts(now clock.Time, age time.Duration) map[Digest]uint32 {
	own := make(map[Digest]uint32)
	for d, s := range r.suspects {
		switch {
		case s.changed == 0 || now.Sub(s.changed) > age:
		case s.cleared:
			own[d] = Cleared
		case s.own > 0:
			own[d] = s.own
		}
	}
	return own
}

func (r *Detector) at(now clock.Time, d Digest) *suspect {
	s, ok := r.suspects[d]
	if !ok {
		r.shrink(now)
		s = &suspect{last: now}
		r.suspects[d] = s
	}
	return s
}

func (r *Detector) shrink(now clock.Time) {
	if len(r.suspects) < maxSuspects {
		return
	}
	var oldest Digest
	at := clock.Never
	for d, s := range r.suspects {
		if now.Sub(s.last) > keep {
			delete(r.suspects, d)
		} else if s.last < at {
			oldest, at = d, s.last
		}
	}
	if len(r.suspects) >= maxSuspects {
		delete(r.suspects, oldest)
	}
}
