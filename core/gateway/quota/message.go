package quota

import (
	"time"
)

// RequestID names one request of an instance; a repeated ask has the same.
type RequestID struct {
	Requester   string
	Incarnation uint64
	Number      uint64
}

// AcquireRequest asks the owner of an account for tokens.
type AcquireRequest struct {
	ID       RequestID
	Account  string
	Cost     float64       // tokens, or requests
	Priority int           // 0 goes first
	Wait     time.Duration // how long the tokens may be waited for
	// SuspectedOwner is an owner that did not answer; the one that is asked instead
	// takes over from it unless it hears it. "": none.
	SuspectedOwner string
	Epoch          uint64 // of the newest claim on the account that the asker knows
}

// Verdict is what the owner says to an ask.
type Verdict int

// The verdicts.
const (
	Granted      Verdict = iota
	Waiting              // the tokens come in time; another reply says so then
	Refused              // they don't come in time
	NotOwner             // another instance owns the account
	OwnerUnknown         // it is not known yet who owns the account
)

// String names a verdict for logs.
func (v Verdict) String() string {
	return [...]string{"granted", "waiting", "refused", "elsewhere", "checking"}[v]
}

// AcquireReply answers an ask.
type AcquireReply struct {
	ID           RequestID
	Verdict      Verdict
	Wait         time.Duration // until the tokens are there
	Owner        string        // with Elsewhere; "": not known
	Epoch        uint64        // of its claim
	Level        float64       // of the bucket, in tokens
	QueuedTokens float64       // tokens that others wait for
}

// Release gives up an ask, or gives back what was granted.
type Release struct {
	ID      RequestID
	Account string
	// Unused is the tokens that were granted and not used. With 0 the asker
	// does not know whether they were granted.
	Unused float64
}

// Claim says that an instance owns an account.
type Claim struct {
	Account string
	Epoch   uint64 // grows with each owner
	// Provisional says that the owner heard less than half of the instances when
	// it took over. It gives way to any other.
	Provisional bool
}

// Handover is what an owner that stops leaves to the next one.
type Handover struct {
	Account string
	Epoch   uint64
	Level   float64 // tokens in the bucket
}

// Message is one of Ask, Reply, Return and Ping for another instance.
type Message struct {
	To      string // instance
	Acquire *AcquireRequest
	Reply   *AcquireReply
	Release *Release
	// Ping asks for the other instance's heartbeat at once.
	Ping bool
}

// Outcome ends a request for tokens.
type Outcome struct {
	Number  uint64  // of the request, as Request returned it
	Verdict Verdict // Granted, Refused, or Checking: nobody answered in time
	// RetryAfter is when the tokens will be there.
	RetryAfter   time.Duration
	Waited       time.Duration
	Owner        string
	Level        float64 // of the bucket before, as the owner said
	QueuedTokens float64 // tokens that others waited for
}
