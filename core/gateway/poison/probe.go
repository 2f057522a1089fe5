package poison

import (
	"time"

	"oleanderdale.org/core/clock"
)

// A request that crashed a server and has not completed since is on probation: one copy of it
// at a time may run, over all instances. All copies that wait for the next server would
// otherwise crash it together, and each of them counts.

const (
	// probeTerm is how long a copy on probation keeps the others waiting. A crash, or a short
	// run that completes, is reported sooner.
	probeTerm = time.Second
	// crashTold is the time after a probe that did not complete in which the others hear of the
	// crash, which may be the last one before the request is refused.
	crashTold = 200 * time.Millisecond
	// probeMemory is how long the end of a probe is remembered.
	probeMemory = crashWindow
)

// Probation returns when a request that is on probation last crashed a server; false if it is not.
func (d *Detector) Probation(now clock.Time, digests []Digest) (crashedAt clock.Time, ok bool) {
	s, known := d.suspects[digests[0]]
	if !known || s.expired(now) || len(s.recent()) == 0 {
		return 0, false
	}
	last := s.lastCrash()
	if s.completed.at > last || protects(s.completed.at, now) || d.unexplained(now, s) == 0 {
		return 0, false
	}
	return last, true
}

// ProbeAnswer says whether a copy of a request on probation may run.
type ProbeAnswer int

// Answers to a probe. Their numbers are sent between instances.
const (
	ProbeDenied  ProbeAnswer = iota // another copy runs
	ProbeGranted                    // the copy may run; its end must be reported
	ProbeCleared                    // a copy has completed since the crash
)

// Probes grants the probes of requests, at the instance that decides on them. It is not safe for
// concurrent use.
type Probes struct {
	probes map[Digest]probe
}

type probe struct {
	until       clock.Time // of the copy that runs
	completedAt clock.Time // last copy that completed; 0: none
	changedAt   clock.Time
}

// NewProbes returns Probes that have granted none.
func NewProbes() *Probes { return &Probes{probes: make(map[Digest]probe)} }

// Ask decides on a copy of a request that last crashed a server at a time.
func (p *Probes) Ask(now clock.Time, digest Digest, crashedAt clock.Time) ProbeAnswer {
	known := p.probes[digest]
	switch {
	case known.completedAt > crashedAt:
		return ProbeCleared
	case now.Before(known.until):
		return ProbeDenied
	}
	p.makeRoom(now)
	p.probes[digest] = probe{until: now.Add(probeTerm), completedAt: known.completedAt, changedAt: now}
	return ProbeGranted
}

// End records the end of a copy that was granted.
func (p *Probes) End(now clock.Time, digest Digest, completed bool) {
	known, ok := p.probes[digest]
	if !ok {
		return
	}
	known.until, known.changedAt = now.Add(crashTold), now
	if completed {
		known.until, known.completedAt = now, now
	}
	p.probes[digest] = known
}

// makeRoom forgets the oldest probes.
func (p *Probes) makeRoom(now clock.Time) {
	if len(p.probes) < maxSuspects {
		return
	}
	for digest, known := range p.probes {
		if now.Sub(known.changedAt) > probeMemory {
			delete(p.probes, digest)
		}
	}
	if len(p.probes) >= maxSuspects {
		clear(p.probes)
	}
}
