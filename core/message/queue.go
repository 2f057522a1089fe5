package message

import (
	"time"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
)

// queueTypes are numbered 40 to 59.
var queueTypes = map[Kind]Message{
	40: TurnRequest{},
	41: TurnQueued{},
	42: TurnGranted{},
	43: TurnRefused{},
	44: TurnRelease{},
	45: SuspectSeen{},
	46: SuspectCleared{},
}

// TurnRequest asks the owner of a queue for a turn. It is sent again until it is
// answered; the owner keeps one entry per Request.
type TurnRequest struct {
	Request        id.Request    `cbor:"1,keyasint"`
	Artifact       id.Artifact   `cbor:"2,keyasint,omitempty"`
	Service        id.Service    `cbor:"3,keyasint,omitempty"`
	Account        id.Account    `cbor:"4,keyasint"`
	Class          config.Class  `cbor:"5,keyasint"`
	TimeToDeadline time.Duration `cbor:"6,keyasint"` // until the request's deadline
	Tokens         int           `cbor:"7,keyasint"` // cost, for fair queueing
	PrefixHash     uint64        `cbor:"8,keyasint,omitempty"`
	Alone          bool          `cbor:"9,keyasint,omitempty"`  // must run on a server without other requests
	Avoid          []id.Backend  `cbor:"10,keyasint,omitempty"` // servers not to be used
	// Turn numbers the turns that the sender asks for: a request that is retried
	// asks for another turn with a larger number, which voids the earlier ones.
	Turn uint64 `cbor:"11,keyasint"`
	// Digest is the digest of account and body, set if Alone is: at most one
	// request with the same digest runs at a time.
	Digest id.Digest `cbor:"12,keyasint,omitempty"`
	// Spillover says that another zone could not serve the request in time. It
	// is accepted only if no load has to be started for it.
	Spillover bool `cbor:"13,keyasint,omitempty"`
}

// TurnQueued says that the request is in the queue. Estimate is the expected time
// until its turn.
type TurnQueued struct {
	Request  id.Request    `cbor:"1,keyasint"`
	Estimate time.Duration `cbor:"2,keyasint"`
	Turn     uint64        `cbor:"3,keyasint"`
}

// TurnGranted names the backend server to send the request to now.
type TurnGranted struct {
	Request id.Request `cbor:"1,keyasint"`
	Backend id.Backend `cbor:"2,keyasint"`
	Address string     `cbor:"3,keyasint"`
	Turn    uint64     `cbor:"4,keyasint"`
}

// TurnRefused says that the request gets no turn, for example because it can't be
// served before its deadline.
type TurnRefused struct {
	Request    id.Request    `cbor:"1,keyasint"`
	Reason     string        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint"`
	Turn       uint64        `cbor:"4,keyasint"`
}

// TurnRelease gives a turn back, or withdraws a waiting request.
type TurnRelease struct {
	Request         id.Request    `cbor:"1,keyasint"`
	Backend         id.Backend    `cbor:"2,keyasint,omitempty"`
	ServerFailed    bool          `cbor:"3,keyasint,omitempty"` // the server crashed or could not be reached
	ServerLeaving   bool          `cbor:"4,keyasint,omitempty"` // the server takes no new work
	ServiceTime     time.Duration `cbor:"5,keyasint,omitempty"` // from dispatch to completion; 0 if not completed
	GeneratedTokens int           `cbor:"6,keyasint,omitempty"`
	Turn            uint64        `cbor:"7,keyasint"`
}

// SuspectSeen says that a request was running on a backend server when that server
// crashed.
type SuspectSeen struct {
	Digest  id.Digest  `cbor:"1,keyasint"` // of account and body
	Crash   id.Attempt `cbor:"2,keyasint"` // the attempt that ended by the crash
	Backend id.Backend `cbor:"3,keyasint"`
	Alone   bool       `cbor:"4,keyasint,omitempty"` // no other request was running there
}

// SuspectCleared says that a suspected request was completed without a crash.
type SuspectCleared struct {
	Digest id.Digest `cbor:"1,keyasint"` // of account and body
}

func (TurnRequest) message()    {}
func (TurnQueued) message()     {}
func (TurnGranted) message()    {}
func (TurnRefused) message()    {}
func (TurnRelease) message()    {}
func (SuspectSeen) message()    {}
func (SuspectCleared) message() {}
