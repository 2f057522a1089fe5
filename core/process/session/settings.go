package session

import (
	"cmp"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/process"
)

// The defaults of Settings.
const (
	DefaultTerm          = 10 * time.Second
	DefaultRenewInterval = 3 * time.Second
	DefaultDriftMargin   = time.Second
	DefaultMaxTickGap    = time.Second
)

const (
	// ticksPerMaxGap is the number of ticks planned within MaxTickGap, so
	// that one late tick is not taken for a pause.
	ticksPerMaxGap = 4
	// retriesPerRenewal divides RenewInterval to give the delay before the
	// next operation after a write that failed or whose result is unknown.
	retriesPerRenewal = 3
	// firstFencing is the fencing number of a session that was never taken
	// over.
	firstFencing id.Fencing = 1
	// silenceDivisor divides Term: the row of an instance that has been
	// silent for Term/silenceDivisor is watched.
	silenceDivisor = 2
	// watchersPerSession is how many instances of the zone watch the row of a
	// silent instance for which Ended was not called.
	watchersPerSession = 2
	// forgetAfterTerms times Term is how long a silent instance is
	// remembered.
	forgetAfterTerms = 60
	// maxRenewalsKept bounds the renewals whose sending time is kept for a
	// late result. The result of an older renewal does not extend the lease.
	maxRenewalsKept = 64
)

// Settings identifies this instance and sets the timing of its lease. A zero
// duration stands for its default.
type Settings struct {
	Instance id.Instance
	Zone     id.Zone
	Address  string

	Term          time.Duration // how long a renewal is valid
	RenewInterval time.Duration // time between two renewals
	// DriftMargin is added to Term before a takeover. It must cover the drift
	// of two clocks over Term.
	DriftMargin time.Duration
	// MaxTickGap is the longest time between two ticks that is not taken for
	// a pause. It must be well below Term.
	MaxTickGap time.Duration
}

func (s Settings) withDefaults() Settings {
	s.Term = cmp.Or(s.Term, DefaultTerm)
	s.RenewInterval = cmp.Or(s.RenewInterval, DefaultRenewInterval)
	s.DriftMargin = cmp.Or(s.DriftMargin, DefaultDriftMargin)
	s.MaxTickGap = cmp.Or(s.MaxTickGap, DefaultMaxTickGap)
	return s
}

// Members is the part of the membership that the lease uses.
type Members interface {
	process.Members
	// Introduce adds an instance whose session row was read, so that the two
	// instances exchange heartbeats.
	AddInstance(now clock.Time, i id.Instance, z id.Zone, address string)
}
