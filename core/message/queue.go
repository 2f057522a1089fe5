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

// TurnAsk asks the owner of a queue for a turn. It is sent again until it is
// answered; the owner keeps one entry per Request.
type TurnRequest struct {
	Request        id.Request    `cbor:"1,keyasint"`
	Artifact       id.Artifact   `cbor:"2,keyasint,omitempty"`
	Service        id.Service    `cbor:"3,keyasint,omitempty"`
	Account        id.Account    `cbor:"4,keyasint"`
	Class          config.Class  `cbor:"5,keyasint"`
	TimeToDeadline time.Duration `cbor:"6,keyasint"` // left until the deadline
	Tokens         int           `cbor:"7,keyasint"` // cost, for fair queueing
	Prefix         uint64        `cbor:"8,keyasint,omitempty"`
	Alone          bool          `cbor:"9,keyasint,omitempty"` // must run away from others' work
	Avoid          []id.Backend  `cbor:"10,keyasint,omitempty"`
	// Turn grows with each turn that the sender asks for: a request that is
	// tried again asks for another one. What it asked for before is void.
	Turn uint64 `cbor:"11,keyasint"`
	// Digest is of account and body, set for an Alone request: at most one
	// request of a digest runs at a time.
	Digest id.Digest `cbor:"12,keyasint,omitempty"`
	// Spill says that another zone could not serve it in time: it is taken in
	// only where no load has to be started for it.
	Spillover bool `cbor:"13,keyasint,omitempty"`
}

// TurnWaiting says that the request is in the queue; Estimate is when its turn
// is expected.
type TurnQueued struct {
	Request  id.Request    `cbor:"1,keyasint"`
	Estimate time.Duration `cbor:"2,keyasint"`
	Turn     uint64        `cbor:"3,keyasint"`
}

// TurnGranted names the backend server that the request goes to now.
type TurnGranted struct {
	Request id.Request `cbor:"1,keyasint"`
	Backend id.Backend `cbor:"2,keyasint"`
	Address string     `cbor:"3,keyasint"`
	Turn    uint64     `cbor:"4,keyasint"`
}

// TurnRefused says that the request can't be served in time.
type TurnRefused struct {
	Request    id.Request    `cbor:"1,keyasint"`
	Reason     string        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint"`
	Turn       uint64        `cbor:"4,keyasint"`
}

// TurnDone gives a turn back, or withdraws a waiting request.
type TurnRelease struct {
	Request         id.Request    `cbor:"1,keyasint"`
	Backend         id.Backend    `cbor:"2,keyasint,omitempty"`
	ServerFailed    bool          `cbor:"3,keyasint,omitempty"` // the server did not answer
	ServerLeaving   bool          `cbor:"4,keyasint,omitempty"` // the server refused new work
	ServiceTime     time.Duration `cbor:"5,keyasint,omitempty"` // time from dispatch to end
	GeneratedTokens int           `cbor:"6,keyasint,omitempty"`
	Turn            uint64        `cbor:"7,keyasint"`
}

// SuspectSeen says that a request was running on a backend server that crashed.
type SuspectSeen struct {
	Digest  id.Digest  `cbor:"1,keyasint"` // of account and body
	Crash   id.Attempt `cbor:"2,keyasint"` // the attempt that saw the crash
	Backend id.Backend `cbor:"3,keyasint"`
	Alone   bool       `cbor:"4,keyasint,omitempty"` // nothing else was running there
}

// SuspectCleared says that a suspect ran to its end.
type SuspectCleared struct {
	Digest id.Digest `cbor:"1,keyasint"`
}

func (TurnRequest) message()    {}
func (TurnQueued) message()     {}
func (TurnGranted) message()    {}
func (TurnRefused) message()    {}
func (TurnRelease) message()    {}
func (SuspectSeen) message()    {}
func (SuspectCleared) message() {}
