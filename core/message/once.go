package message

import (
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// onceTypes are numbered 80 to 89.
var onceTypes = map[Kind]Message{
	80: OnceQuery{},
	81: OnceReply{},
}

// OnceQuery asks the holder of a non-idempotent call for the call's state.
type OnceQuery struct {
	Account id.Account `cbor:"1,keyasint"`
	Key     string     `cbor:"2,keyasint"`
	Attempt id.Attempt `cbor:"3,keyasint"` // as read from the call's row
}

// OnceReply answers OnceQuery, and is sent again to each instance that asked when
// the call ends. Status, ContentType and Body are set if State is OnceDone.
type OnceReply struct {
	Account id.Account `cbor:"1,keyasint"`
	Key     string     `cbor:"2,keyasint"`
	Running bool       `cbor:"3,keyasint,omitempty"`
	Known   bool       `cbor:"4,keyasint,omitempty"` // false: the sender knows nothing of the call
	Attempt id.Attempt `cbor:"5,keyasint"`
	// State is the state of the attempt at its holder. With OnceNotRun the
	// holder guarantees that it will never send it.
	State       table.OnceState `cbor:"6,keyasint,omitempty"`
	Status      int             `cbor:"7,keyasint,omitempty"`
	ContentType string          `cbor:"8,keyasint,omitempty"`
	Body        []byte          `cbor:"9,keyasint,omitempty"`
	// Unconfirmed is set if nothing but the end of the connection ended Body,
	// which may be cut.
	Unconfirmed bool `cbor:"10,keyasint,omitempty"`
}

func (OnceQuery) message() {}
func (OnceReply) message() {}
