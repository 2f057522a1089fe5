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
	// demandWindow is the time constant of the exponential average of demand.
	demandWindow = 2 * time.Second
	// borrowHeadroom is the ratio of the rate that an instance aims at to its
	// demand, lendHeadroom that of the rate that a lender keeps to its own
	// demand.
	borrowHeadroom = 1.3
	lendHeadroom   = 1.1
	// borrowThreshold is the ratio of demand to the available rate above
	// which rate is borrowed. Fluctuations of even traffic must not move
	// shares.
	borrowThreshold = 1.25
	// rebalanceInterval is the shortest time between two rebalancings of an
	// account in a fleet of fewer than rebalanceFleetSize instances; it grows
	// in proportion to the fleet. maxRebalanceRequests bounds the holders
	// that each of them asks, and only buckets filled to less than
	// rebalanceBelow are rebalanced.
	rebalanceInterval    = 50 * time.Millisecond
	rebalanceFleetSize   = 16
	maxRebalanceRequests = 8
	rebalanceBelow       = 0.9
	// shareReviewInterval is the shortest time between two reviews of the
	// borrowed shares.
	shareReviewInterval = 200 * time.Millisecond
	// minRoundPause and maxRoundPause bound the pause between two rounds of
	// loan requests.
	minRoundPause = 20 * time.Millisecond
	maxRoundPause = 500 * time.Millisecond
	// maxParallelRequests bounds the loan requests in each phase of a round.
	maxParallelRequests = 16
	// avoidDuration is how long a holder that did not answer a loan request
	// is not asked.
	avoidDuration = time.Second
	// maxBackoffDoublings bounds the exponential backoff between two rounds,
	// which starts at minRoundPause.
	maxBackoffDoublings = 5
	// attemptsAfterGrant is the number of attempts from which the backoff
	// goes on after a round brought enough tokens for a request.
	attemptsAfterGrant = 2
	// maxLeaseWait is how long a request waits for the lease to become valid
	// again.
	maxLeaseWait = 2 * time.Second
	// relativeTolerance is the accepted rounding error of sums of tokens or
	// rates, relative to the burst or the rate.
	relativeTolerance = 1e-9
)

// Settings identifies this instance and sets the timing. A zero duration
// stands for its default.
type Settings struct {
	Instance id.Instance
	Zone     id.Zone

	// LoanRequestTimeout bounds the wait for the replies in each phase of a
	// round.
	LoanRequestTimeout time.Duration
	// LoanTerm is how long a borrower may use a loan, counted from before it
	// sent the request. The lender reserves what it lent for LoanMargin more,
	// counted from its reply. The sum must be less than the term of the
	// session lease: then a dead lender's slot passes to another instance
	// only after all its loans have expired.
	LoanTerm             time.Duration
	LoanMargin           time.Duration
	RowReadInterval      time.Duration // time between two reads of the slot rows
	AnnouncementInterval time.Duration // time between two announcements of the held slots
	// ClaimGracePeriod is how long a slot stays vacant after its holder's
	// session has ended, before it is acquired. An instance that took the
	// slot over while the table was down announces that in the meantime, so
	// the period must be several times AnnouncementInterval.
	ClaimGracePeriod time.Duration
	TransferTimeout  time.Duration // time after which an unacknowledged transfer is cancelled by vacating the slot
	TableTimeout     time.Duration // time after which the result of a table operation is taken as unknown
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
