package message

import (
	"time"

	"oleanderdale.org/core/id"
)

// sessionTypes are numbered 1 to 19.
var sessionTypes = map[Kind]Message{
	1: Heartbeat{},
	2: TakeoverQuery{},
	3: TakeoverReply{},
	4: Handover{},
	5: HandoverAck{},
}

// Heartbeat says that the sender lives and what it knows. It goes to every
// instance of the availability zone, and to a few of the other zones.
type Heartbeat struct {
	Zone      id.Zone          `cbor:"1,keyasint"`
	Address   string           `cbor:"2,keyasint"`
	Version   id.ConfigVersion `cbor:"3,keyasint"` // configuration in force
	Leaving   bool             `cbor:"4,keyasint,omitempty"`
	Fencing   id.Fencing       `cbor:"5,keyasint,omitempty"` // of the sender's session
	TableAge  time.Duration    `cbor:"6,keyasint,omitempty"` // since the sender last reached the table
	WantReply bool             `cbor:"7,keyasint,omitempty"` // wants a heartbeat back
	Seq       uint64           `cbor:"8,keyasint,omitempty"` // grows with each sending
}

// ConfirmAsk asks an instance of the same availability zone whether it knows
// of a takeover of the sender's session.
type TakeoverQuery struct {
	Nonce uint64 `cbor:"1,keyasint"`
}

// Confirm answers ConfirmAsk. TableAge tells when the answerer, or anybody of
// the zone that it heard from, last reached the table: only if that was before
// the asker's pause began can it vouch that nobody of its zone took over.
type TakeoverReply struct {
	Nonce    uint64        `cbor:"1,keyasint"`
	TakenBy  id.Instance   `cbor:"2,keyasint,omitempty"` // "": nobody that I know of
	TableAge time.Duration `cbor:"3,keyasint"`
	// Zone lists the instances of the zone that the answerer sees, so that the
	// asker also asks those that started during its pause.
	ZoneInstances []id.Instance `cbor:"4,keyasint,omitempty"`
}

// Handover gives what the sender owns to the receiver. The sender has stopped
// using it before it sends, and sends it again until it is taken.
type Handover struct {
	ID       uint64         `cbor:"1,keyasint"`
	Fencing  id.Fencing     `cbor:"2,keyasint"`
	Backends []OwnedBackend `cbor:"3,keyasint,omitempty"`
	Slots    []HandoverSlot `cbor:"4,keyasint,omitempty"`
}

// OwnedBackend is a backend server handed over.
type OwnedBackend struct {
	Backend    id.Backend `cbor:"1,keyasint"`
	Fencing    id.Fencing `cbor:"2,keyasint"`
	RowVersion uint64     `cbor:"3,keyasint"` // version of its row
}

// HandoverSlot is a rate slot handed over with its balances.
type HandoverSlot struct {
	Zone       id.Zone       `cbor:"1,keyasint"`
	Index      int           `cbor:"2,keyasint"`
	Fencing    id.Fencing    `cbor:"3,keyasint"`
	Balances   []SlotBalance `cbor:"4,keyasint,omitempty"`
	RowVersion uint64        `cbor:"5,keyasint,omitempty"` // version of its row, as last known
	// Holders lists who held the slot since that version, the giver last: the
	// table may learn of them later.
	Holders []id.Instance `cbor:"6,keyasint,omitempty"`
	// Age and Full tell the balances of the accounts that are not listed: what
	// accrued over Age to an empty bucket, or a full one.
	Age  time.Duration `cbor:"7,keyasint,omitempty"`
	Full bool          `cbor:"8,keyasint,omitempty"`
}

// SlotBalance is what an account has left in a slot, in tokens.
type SlotBalance struct {
	Account id.Account `cbor:"1,keyasint"`
	Tokens  float64    `cbor:"2,keyasint"`
	// Lent and LentRate are the burst and the rate that are lent out of the
	// slot; they stay unused until the loans have run out.
	LentBurst float64 `cbor:"3,keyasint,omitempty"`
	LentRate  float64 `cbor:"4,keyasint,omitempty"`
}

// HandoverTaken answers Handover.
type HandoverAck struct {
	ID uint64 `cbor:"1,keyasint"`
}

func (Heartbeat) message()     {}
func (TakeoverQuery) message() {}
func (TakeoverReply) message() {}
func (Handover) message()      {}
func (HandoverAck) message()   {}
