// Package poison detects requests that crash every backend server that runs them. The
// caller of such a request retries it; without detection, each instance would forward it
// and all backend servers would crash in turn.
//
// A request whose connection broke while it ran is a suspect, identified by the digest of
// account, method, path and body. Other requests that ran on the same server become
// suspects too. Only a request that was running at several crashes is refused. A suspect
// that completes meanwhile is cleared: callers may send the same body many times, and
// some of these requests may run during a crash that another request caused.
package poison

import (
	"strconv"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// poisonThreshold is the number of crashes after which a request is refused. On days
	// with many crashes, harmless requests meet two by chance.
	poisonThreshold = 3
	// suspectTTL is how long the crashes of a suspect count after the last one.
	suspectTTL = 60 * time.Second
	// maxSuspects bounds the memory; the suspects with the oldest crashes are dropped.
	maxSuspects = 4096
)

// Digest identifies a request and its retries.
type Digest uint64

// String returns the digest as it stands in logs.
func (d Digest) String() string { return strconv.FormatUint(uint64(d), 16) }

type suspect struct {
	lastCrash    clock.Time // at any instance
	localChange  clock.Time // last change of localCrashes or cleared by a run at this instance
	localCrashes uint32
	peerCrashes  map[string]uint32 // by instance
	cleared      bool              // a run has completed since the first crash
}

// Detector counts the crashes of suspects. It is not safe for concurrent use.
type Detector struct {
	suspects map[Digest]*suspect
}

// New returns a Detector without suspects.
func New() *Detector { return &Detector{suspects: make(map[Digest]*suspect)} }

// RecordCrash records that the connection broke during a run of a request at this
// instance.
func (d *Detector) RecordCrash(now clock.Time, digest Digest) {
	s := d.getOrCreate(now, digest)
	s.lastCrash, s.localChange = now, now
	s.localCrashes++
}

// RecordCompletion records that a run of a request completed at this instance.
func (d *Detector) RecordCompletion(now clock.Time, digest Digest) {
	if s, ok := d.suspects[digest]; ok && !s.cleared {
		s.cleared, s.localChange = true, now
	}
}

// Cleared is the count that reports that a run of a suspect has completed.
const Cleared = 0

// RecordPeerCount records another instance's number of crashes of a request, or Cleared.
func (d *Detector) RecordPeerCount(now clock.Time, peer string, digest Digest, count uint32) {
	s := d.getOrCreate(now, digest)
	if count == Cleared {
		s.cleared = true
		return
	}
	s.lastCrash = now
	if s.peerCrashes == nil {
		s.peerCrashes = make(map[string]uint32)
	}
	s.peerCrashes[peer] = count
}

// IsPoisonous reports whether a request must no longer be sent to backend servers.
func (d *Detector) IsPoisonous(now clock.Time, digest Digest) bool {
	crashes, cleared := d.Suspicion(now, digest)
	return crashes >= poisonThreshold && !cleared
}

// Suspicion returns how many crashes of a request are known, at all instances, and whether
// a completed run cleared it.
func (d *Detector) Suspicion(now clock.Time, digest Digest) (crashes uint32, cleared bool) {
	s, ok := d.suspects[digest]
	if !ok || now.Sub(s.lastCrash) > suspectTTL {
		return 0, false
	}
	crashes = s.localCrashes
	for _, n := range s.peerCrashes {
		crashes += n
	}
	return crashes, s.cleared
}

// LocalCounts returns the counts of this instance that changed within age, to be sent to
// the other instances. Counts of other instances are not included: if they were forwarded,
// they would circulate forever. Among 83 instances on a day with crashing servers,
// forwarded counts made up nine tenths of the traffic between them.
func (d *Detector) LocalCounts(now clock.Time, age time.Duration) map[Digest]uint32 {
	counts := make(map[Digest]uint32)
	for digest, s := range d.suspects {
		switch {
		case s.localChange == 0 || now.Sub(s.localChange) > age:
		case s.cleared:
			counts[digest] = Cleared
		case s.localCrashes > 0:
			counts[digest] = s.localCrashes
		}
	}
	return counts
}

func (d *Detector) getOrCreate(now clock.Time, digest Digest) *suspect {
	s, ok := d.suspects[digest]
	if !ok {
		d.makeRoom(now)
		s = &suspect{lastCrash: now}
		d.suspects[digest] = s
	}
	return s
}

func (d *Detector) makeRoom(now clock.Time) {
	if len(d.suspects) < maxSuspects {
		return
	}
	var oldestDigest Digest
	oldestCrash := clock.Never
	for digest, s := range d.suspects {
		if now.Sub(s.lastCrash) > suspectTTL {
			delete(d.suspects, digest)
		} else if s.lastCrash < oldestCrash {
			oldestDigest, oldestCrash = digest, s.lastCrash
		}
	}
	if len(d.suspects) >= maxSuspects {
		delete(d.suspects, oldestDigest)
	}
}
