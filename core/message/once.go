package message

import "oleanderdale.org/core/id"

// onceTypes are numbered 80 to 89.
var onceTypes = map[Kind]Message{
	80: OnceAsk{},
	81: OnceTold{},
}

// OnceAsk asks the holder of a non-idempotent call how it stands.
type OnceAsk struct {
	Account id.Account `cbor:"1,keyasint"`
	Key     string     `cbor:"2,keyasint"`
}

// OnceTold answers OnceAsk.
type OnceTold struct {
	Account id.Account `cbor:"1,keyasint"`
	Key     string     `cbor:"2,keyasint"`
	Running bool       `cbor:"3,keyasint,omitempty"`
	Known   bool       `cbor:"4,keyasint,omitempty"` // false: I hold nothing of it
}

func (OnceAsk) message()  {}
func (OnceTold) message() {}
