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
	// ticksPerGap is how many ticks are planned within MaxGap, so that a late
	// one alone is not taken for a pause.
	ticksPerMaxGap = 4
	// retriesPerRenewal is how much sooner than RenewEvery a write of unknown
	// or no effect is followed up.
	retriesPerRenewal = 3
	// firstFencing is the fencing number of a session that nobody took over.
	firstFencing id.Fencing = 1
	// silentTerms divides Term: a peer that is silent for Term/silentTerms has
	// its row watched.
	silenceDivisor = 2
	// watchers is how many instances of the zone watch the row of a silent
	// peer that none of them asked about.
	watchersPerSession = 2
	// forgetTerms times Term is how long a silent peer is remembered.
	forgetAfterTerms = 60
	// attemptsKept bounds the renewals whose sending time is remembered for a
	// late answer. An older one does not extend the right.
	maxRenewalsKept = 64
)

// Settings says who this instance is and how its lease runs. A zero duration
// stands for its default.
type Settings struct {
	Instance id.Instance
	Zone     id.Zone
	Address  string

	Term          time.Duration // how long a renewal lasts
	RenewInterval time.Duration // between two renewals
	// Margin is what a taker waits beyond Term. It has to cover the drift of
	// two clocks over Term.
	DriftMargin time.Duration
	// MaxGap is the longest time between two ticks that is not a pause. It has
	// to be well below Term.
	MaxTickGap time.Duration
}

func (s Settings) withDefaults() Settings {
	s.Term = cmp.Or(s.Term, DefaultTerm)
	s.RenewInterval = cmp.Or(s.RenewInterval, DefaultRenewInterval)
	s.DriftMargin = cmp.Or(s.DriftMargin, DefaultDriftMargin)
	s.MaxTickGap = cmp.Or(s.MaxTickGap, DefaultMaxTickGap)
	return s
}

// Members is what the lease needs of the membership.
type Members interface {
	process.Members
	// Introduce names an instance whose session row was read, so that the two
	// exchange heartbeats.
	Introduce(now clock.Time, i id.Instance, z id.Zone, address string)
}
