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

// Draw asks a holder for tokens of an account, or, with WantRate, for a part of
// its share. A repeat carries the same ID and gets the same answer.
type LoanRequest struct {
	ID      uint64     `cbor:"1,keyasint"`
	Account id.Account `cbor:"2,keyasint"`
	Tokens  float64    `cbor:"3,keyasint"`           // wanted now
	Rate    float64    `cbor:"4,keyasint,omitempty"` // tokens a second wanted for Term
	// Room is set if nobody waits for the tokens: the asker's bucket holds Room
	// and lacks Tokens, and it asks Among holders at once. Each gives as much as
	// makes all of them equally full, if the others are as full as itself.
	Capacity    float64 `cbor:"5,keyasint,omitempty"`
	HolderCount int     `cbor:"6,keyasint,omitempty"`
}

// Lent answers Draw. The giver deducted Tokens before it sent this: if it is
// lost, the tokens are lost with it.
type LoanGrant struct {
	ID      uint64        `cbor:"1,keyasint"`
	Account id.Account    `cbor:"2,keyasint"`
	Tokens  float64       `cbor:"3,keyasint"`
	Rate    float64       `cbor:"4,keyasint,omitempty"` // tokens a second lent
	Term    time.Duration `cbor:"5,keyasint,omitempty"` // borrower's, from when it sent Draw; the lender counts longer
	Burst   float64       `cbor:"6,keyasint,omitempty"` // room for tokens lent with Rate
}

// Settle ends the loan of Draw ID early: Returned tokens come back, the others
// are spent. Once settled, the lender may refill what it had set aside. With
// Keep only what an earlier answer lent beyond that of ID ends.
type LoanSettlement struct {
	ID          uint64     `cbor:"1,keyasint"`
	Account     id.Account `cbor:"2,keyasint"`
	Returned    float64    `cbor:"3,keyasint,omitempty"`
	EarlierOnly bool       `cbor:"4,keyasint,omitempty"`
}

// SlotsHeld says now and then which slots the sender holds.
type SlotsHeld struct {
	Slots []HeldSlot `cbor:"1,keyasint"`
}

// HeldSlot is one slot that is held.
type HeldSlot struct {
	Zone    id.Zone    `cbor:"1,keyasint"`
	Index   int        `cbor:"2,keyasint"`
	Fencing id.Fencing `cbor:"3,keyasint"`
}

// SlotGiven gives a slot to an instance that holds fewer. The giver has stopped
// using it; the receiver uses it once the table has it on record.
type SlotTransfer struct {
	Slot HandoverSlot `cbor:"1,keyasint"`
}

// SlotTaken answers SlotGiven: the table has the slot on record as the sender's.
type SlotTransferAck struct {
	Slot HeldSlot `cbor:"1,keyasint"`
}

func (LoanRequest) message()     {}
func (LoanGrant) message()       {}
func (LoanSettlement) message()  {}
func (SlotsHeld) message()       {}
func (SlotTransfer) message()    {}
func (SlotTransferAck) message() {}
