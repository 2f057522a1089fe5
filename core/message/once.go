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

// OnceAsk asks the holder of a non-idempotent call how it stands.
type OnceQuery struct {
	Account id.Account `cbor:"1,keyasint"`
	Key     string     `cbor:"2,keyasint"`
	Attempt id.Attempt `cbor:"3,keyasint"` // of the row that was read
}

// OnceTold answers OnceAsk, and is sent again to whoever asked when the call
// ends. Status, Type and Body are set in OnceDone.
type OnceReply struct {
	Account id.Account `cbor:"1,keyasint"`
	Key     string     `cbor:"2,keyasint"`
	Running bool       `cbor:"3,keyasint,omitempty"`
	Known   bool       `cbor:"4,keyasint,omitempty"` // false: I hold nothing of it
	Attempt id.Attempt `cbor:"5,keyasint"`
	// State is how far the attempt came by its holder's own word. OnceNotRun
	// promises that the holder will never send it.
	State       table.OnceState `cbor:"6,keyasint,omitempty"`
	Status      int             `cbor:"7,keyasint,omitempty"`
	ContentType string          `cbor:"8,keyasint,omitempty"`
	Body        []byte          `cbor:"9,keyasint,omitempty"`
}

func (OnceQuery) message() {}
func (OnceReply) message() {}
