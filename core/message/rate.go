package message

import (
	"time"

	"oleanderdale.org/core/id"
)

// rateTypes are numbered 30 to 39.
var rateTypes = map[Kind]Message{
	30: Draw{},
	31: Lent{},
}

// Draw asks a holder for tokens of an account. A repeat carries the same ID
// and gets the same answer.
type Draw struct {
	ID       uint64     `cbor:"1,keyasint"`
	Account  id.Account `cbor:"2,keyasint"`
	Tokens   float64    `cbor:"3,keyasint"`           // wanted now
	WantRate float64    `cbor:"4,keyasint,omitempty"` // tokens a second wanted for Term
}

// Lent answers Draw. The giver deducted Tokens before it sent this: if it is
// lost, the tokens are lost with it.
type Lent struct {
	ID      uint64        `cbor:"1,keyasint"`
	Account id.Account    `cbor:"2,keyasint"`
	Tokens  float64       `cbor:"3,keyasint"`
	Rate    float64       `cbor:"4,keyasint,omitempty"` // tokens a second lent
	Term    time.Duration `cbor:"5,keyasint,omitempty"` // borrower's; the lender counts longer
}

func (Draw) message() {}
func (Lent) message() {}
