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
	DefaultTerm       = 10 * time.Second
	DefaultRenewEvery = 3 * time.Second
	DefaultMargin     = time.Second
	DefaultMaxGap     = time.Second
)

const (
	// ticksPerGap is how many ticks are planned within MaxGap, so that a late
	// one alone is not taken for a pause.
	ticksPerGap = 4
	// retriesPerRenewal is how much sooner than RenewEvery a write of unknown
	// or no effect is followed up.
	retriesPerRenewal = 3
	// firstFencing is the fencing number of a session that nobody took over.
	firstFencing id.Fencing = 1
	// silentTerms divides Term: a peer that is silent for Term/silentTerms has
	// its row watched.
	silentTerms = 2
	// watchers is how many instances of the zone watch the row of a silent
	// peer that none of them asked about.
	watchers = 2
	// forgetTerms times Term is how long a silent peer is remembered.
	forgetTerms = 60
	// attemptsKept bounds the renewals whose sending time is remembered for a
	// late answer. An older one does not extend the right.
	attemptsKept = 64
)

// Settings says who this instance is and how its lease runs. A zero duration
// stands for its default.
type Settings struct {
	Instance id.Instance
	Zone     id.Zone
	Address  string

	Term       time.Duration // how long a renewal lasts
	RenewEvery time.Duration // between two renewals
	// Margin is what a taker waits beyond Term. It has to cover the drift of
	// two clocks over Term.
	Margin time.Duration
	// MaxGap is the longest time between two ticks that is not a pause. It has
	// to be well below Term.
	MaxGap time.Duration
}

func (s Settings) withDefaults() Settings {
	s.Term = cmp.Or(s.Term, DefaultTerm)
	s.RenewEvery = cmp.Or(s.RenewEvery, DefaultRenewEvery)
	s.Margin = cmp.Or(s.Margin, DefaultMargin)
	s.MaxGap = cmp.Or(s.MaxGap, DefaultMaxGap)
	return s
}

// Members is what the lease needs of the membership.
type Members interface {
	process.Members
	// Introduce names an instance whose session row was read, so that the two
	// exchange heartbeats.
	AddInstance(now clock.Time, i id.Instance, z id.Zone, address string)
}
