package quota

import (
	"time"

	"oleanderdale.org/core/gateway/reservation"
)

// RequestID identifies a request of an instance. A resent AcquireRequest keeps its ID.
type RequestID struct {
	Requester   string // name of the instance
	Incarnation uint64
	Number      uint64
}

// AcquireRequest asks the owner of an account for tokens.
type AcquireRequest struct {
	ID       RequestID
	Account  string
	Cost     float64       // tokens, or requests
	Priority int           // 0 is the most urgent
	Wait     time.Duration // longest time to wait for the tokens
	// SuspectedOwner is an owner that did not reply to the requester. The receiver of
	// the request takes the account over unless it can reach that owner. "": none.
	SuspectedOwner string
	Epoch          uint64 // of the newest claim on the account known to the requester
	// Detail describes the request for load scheduling; nil if it is off, or if the
	// requester runs a version without it.
	Detail *AcquireDetail
}

// AcquireDetail is what load scheduling needs to know about a request.
type AcquireDetail struct {
	Group  string        // of backend servers
	Leaves time.Duration // until the caller gives up
	Digest uint64        // equal for repetitions of a request; 0: unknown
}

// Verdict is the result of an AcquireRequest.
type Verdict int

// The verdicts.
const (
	Granted      Verdict = iota
	Waiting              // queued; the tokens will be available in time, and another reply follows then
	Refused              // the tokens won't be available in time
	NotOwner             // another instance owns the account
	OwnerUnknown         // the owner of the account is not known yet
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	return [...]string{"granted", "waiting", "refused", "elsewhere", "checking"}[v]
}

// AcquireReply is the reply to an AcquireRequest.
type AcquireReply struct {
	ID           RequestID
	Verdict      Verdict
	Wait         time.Duration // until the tokens are available
	Owner        string        // with NotOwner; "": not known
	Epoch        uint64        // of the owner's claim
	Level        float64       // of the bucket, in tokens
	QueuedTokens float64       // tokens that other requests wait for
	// Returned says whether the caller had been told when to return.
	Returned reservation.Status
}

// Release cancels an AcquireRequest or returns granted tokens.
type Release struct {
	ID      RequestID
	Account string
	// Unused is the number of tokens that were granted but not used. With 0 the
	// requester does not know whether they were granted.
	Unused float64
}

// Claim states that an instance owns an account.
type Claim struct {
	Account string
	Epoch   uint64 // grows with each change of owner
	// Provisional is true if the owner could reach less than half of the instances when
	// it took over. Any other claim takes precedence.
	Provisional bool
}

// Handover passes an account from an owner that stops to the next one.
type Handover struct {
	Account string
	Epoch   uint64
	Level   float64 // tokens in the bucket
}

// Message is a message to another instance. Exactly one of Acquire, Reply, Release and
// Ping is set.
type Message struct {
	To      string // name of the instance
	Acquire *AcquireRequest
	Reply   *AcquireReply
	Release *Release
	// Ping requests an immediate heartbeat of the other instance.
	Ping bool
}

// Outcome is the final result of Limiter.Acquire.
type Outcome struct {
	Number  uint64  // as returned by Acquire
	Verdict Verdict // Granted, Refused, or OwnerUnknown if no instance decided in time
	// RetryAfter is the time until the tokens are available.
	RetryAfter   time.Duration
	Waited       time.Duration
	Owner        string
	Level        float64 // of the bucket before the decision, as reported by the owner
	QueuedTokens float64 // tokens that other requests waited for
	// Returned says whether the caller had been told when to return.
	Returned reservation.Status
}
