package rate

import (
	"cmp"
	"time"

	"oleanderdale.org/core/id"
)

// The defaults of Settings.
const (
	DefaultLoanRequestTimeout   = 250 * time.Millisecond
	DefaultLoanTerm             = 3 * time.Second
	DefaultLoanMargin           = 500 * time.Millisecond
	DefaultRowReadInterval      = 2 * time.Second
	DefaultAnnouncementInterval = time.Second
	DefaultClaimGracePeriod     = 4 * time.Second
	DefaultTransferTimeout      = 10 * time.Second
	DefaultTableTimeout         = 3 * time.Second
)

const (
	// demandWindow is the time constant over which demand is averaged.
	demandWindow = 2 * time.Second
	// wantHeadroom is how much more rate than the demand is borrowed, and
	// keepHeadroom how much more than its own demand a lender keeps.
	borrowHeadroom = 1.3
	lendHeadroom   = 1.1
	// shareTrigger is how far demand has to pass the own rate before rate is
	// borrowed; the ups and downs of even traffic must not move shares around.
	borrowThreshold = 1.25
	// evenEvery is the shortest time between two draws that even out buckets, in
	// a fleet of up to evenFleet instances; it grows with the fleet. evenParallel
	// is how many holders each asks, evenBelow how full the own bucket may be.
	rebalanceInterval    = 50 * time.Millisecond
	rebalanceFleetSize   = 16
	maxRebalanceRequests = 8
	rebalanceBelow       = 0.9
	// shareEvery is the shortest time between two rounds of borrowing rate.
	shareReviewInterval = 200 * time.Millisecond
	// retryMin and retryMax bound the time between two rounds of draws.
	minRoundPause = 20 * time.Millisecond
	maxRoundPause = 500 * time.Millisecond
	// maxParallel bounds the draws of each half of a round.
	maxParallelRequests = 16
	// avoidFor is how long a holder that left a draw unanswered is not asked.
	avoidDuration = time.Second
	// maxDoublings bounds how often the least time between two rounds doubles.
	maxBackoffDoublings = 5
	// triesAfterGrant is where the pause between rounds starts again when one
	// brought enough for a request.
	attemptsAfterGrant = 2
	// maxInvalidWait is how long a request waits for the lease to hold again.
	maxLeaseWait = 2 * time.Second
	// tolerance is what floating-point sums may be off, relative to a burst.
	relativeTolerance = 1e-9
)

// Settings says who this instance is and how shares are lent. A zero duration
// stands for its default.
type Settings struct {
	Instance id.Instance
	Zone     id.Zone

	// DrawTimeout bounds the wait for the answers to a round of draws.
	LoanRequestTimeout time.Duration
	// LoanTerm is how long a borrower uses a loan, counted from before it
	// asked; the lender counts LoanMargin more from when it answered. Their
	// sum must be below the term of the session lease: a dead lender's slot
	// then passes on only after all its loans have run out.
	LoanTerm             time.Duration
	LoanMargin           time.Duration
	RowReadInterval      time.Duration // between two readings of the slot rows
	AnnouncementInterval time.Duration // between two SlotsHeld
	// ClaimWait is how long an ended holder's slot is watched before it is
	// acquired: an instance to which it was handed over while the table was
	// down says so meanwhile. It has to be several times HeldEvery.
	ClaimGracePeriod time.Duration
	TransferTimeout  time.Duration // after which a slot that was given in vain is vacated
	TableTimeout     time.Duration // after which a table operation's fate is unknown
}

func (s Settings) withDefaults() Settings {
	s.LoanRequestTimeout = cmp.Or(s.LoanRequestTimeout, DefaultLoanRequestTimeout)
	s.LoanTerm = cmp.Or(s.LoanTerm, DefaultLoanTerm)
	s.LoanMargin = cmp.Or(s.LoanMargin, DefaultLoanMargin)
	s.RowReadInterval = cmp.Or(s.RowReadInterval, DefaultRowReadInterval)
	s.AnnouncementInterval = cmp.Or(s.AnnouncementInterval, DefaultAnnouncementInterval)
	s.ClaimGracePeriod = cmp.Or(s.ClaimGracePeriod, DefaultClaimGracePeriod)
	s.TransferTimeout = cmp.Or(s.TransferTimeout, DefaultTransferTimeout)
	s.TableTimeout = cmp.Or(s.TableTimeout, DefaultTableTimeout)
	return s
}
