package message

import (
	"time"

	"oleanderdale.org/core/id"
)

// rateTypes are numbered 30 to 39.
var rateTypes = map[Kind]Message{
	30: LoanRequest{},
	31: LoanGrant{},
	32: LoanSettlement{},
	33: SlotsHeld{},
	34: SlotTransfer{},
	35: SlotTransferAck{},
}

// LoanRequest asks a holder of rate slots to lend tokens of an account or, if Rate
// is set, part of its rate. A repeat carries the same ID and gets the same answer.
type LoanRequest struct {
	ID      uint64     `cbor:"1,keyasint"`
	Account id.Account `cbor:"2,keyasint"`
	Tokens  float64    `cbor:"3,keyasint"`           // needed now
	Rate    float64    `cbor:"4,keyasint,omitempty"` // tokens per second, for LoanGrant.Term
	// Capacity is set if no request waits for the tokens and the sender only
	// balances its bucket: Capacity is the bucket's size, Tokens is what it lacks,
	// and HolderCount is the number of holders asked at once. Each holder lends
	// the amount that makes all of the buckets equally full, assuming that the
	// other holders' are as full as its own.
	Capacity    float64 `cbor:"5,keyasint,omitempty"`
	HolderCount int     `cbor:"6,keyasint,omitempty"`
}

// LoanGrant answers LoanRequest. The lender deducts Tokens before sending it: if
// the message is lost, the tokens are lost with it.
type LoanGrant struct {
	ID      uint64        `cbor:"1,keyasint"`
	Account id.Account    `cbor:"2,keyasint"`
	Tokens  float64       `cbor:"3,keyasint"`
	Rate    float64       `cbor:"4,keyasint,omitempty"` // tokens per second lent
	Term    time.Duration `cbor:"5,keyasint,omitempty"` // of the loan, counted by the borrower from when it sent LoanRequest; the lender adds a margin
	Burst   float64       `cbor:"6,keyasint,omitempty"` // part of the bucket's size lent with Rate
}

// LoanSettlement ends the loan of LoanRequest ID early: the Returned tokens go back
// to the lender, the others are spent. The lender may then use again what it had
// reserved for the loan. With EarlierOnly the loan continues, and only what an
// earlier grant lent beyond the grant of ID ends.
type LoanSettlement struct {
	ID          uint64     `cbor:"1,keyasint"`
	Account     id.Account `cbor:"2,keyasint"`
	Returned    float64    `cbor:"3,keyasint,omitempty"`
	EarlierOnly bool       `cbor:"4,keyasint,omitempty"`
}

// SlotsHeld announces, at regular intervals, the slots that the sender holds.
type SlotsHeld struct {
	Slots []HeldSlot `cbor:"1,keyasint"`
}

// HeldSlot identifies a slot and the fencing number of its holder.
type HeldSlot struct {
	Zone    id.Zone    `cbor:"1,keyasint"`
	Index   int        `cbor:"2,keyasint"`
	Fencing id.Fencing `cbor:"3,keyasint"`
}

// SlotTransfer transfers a slot to an instance that holds fewer. The sender has
// stopped using it; the receiver uses it once the table records it as its own.
type SlotTransfer struct {
	Slot HandoverSlot `cbor:"1,keyasint"`
}

// SlotTransferAck acknowledges SlotTransfer: the table records the slot as held by
// the sender of the acknowledgment.
type SlotTransferAck struct {
	Slot HeldSlot `cbor:"1,keyasint"`
}

func (LoanRequest) message()     {}
func (LoanGrant) message()       {}
func (LoanSettlement) message()  {}
func (SlotsHeld) message()       {}
func (SlotTransfer) message()    {}
func (SlotTransferAck) message() {}
