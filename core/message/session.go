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

// Heartbeat says that the sender is alive and describes its state. It is sent to
// every instance of the availability zone, and to a few of each other zone.
type Heartbeat struct {
	Zone      id.Zone          `cbor:"1,keyasint"`
	Address   string           `cbor:"2,keyasint"`
	Version   id.ConfigVersion `cbor:"3,keyasint"` // configuration that the sender uses
	Leaving   bool             `cbor:"4,keyasint,omitempty"`
	Fencing   id.Fencing       `cbor:"5,keyasint,omitempty"` // of the sender's session
	TableAge  time.Duration    `cbor:"6,keyasint,omitempty"` // since the table last responded to the sender
	WantReply bool             `cbor:"7,keyasint,omitempty"` // asks for a heartbeat in return
	Seq       uint64           `cbor:"8,keyasint,omitempty"` // grows with each heartbeat sent
}

// TakeoverQuery asks an instance of the same availability zone whether the sender's
// session was taken over during a pause of the sender.
type TakeoverQuery struct {
	Nonce uint64 `cbor:"1,keyasint"`
}

// TakeoverReply answers TakeoverQuery. TableAge is the time since the table last
// responded to the sender, or to any instance of the zone that the sender has heard
// from. Only if that was before the pause began does the reply show that none of
// them took over the session.
type TakeoverReply struct {
	Nonce    uint64        `cbor:"1,keyasint"`
	TakenBy  id.Instance   `cbor:"2,keyasint,omitempty"` // "" if the sender knows of no takeover
	TableAge time.Duration `cbor:"3,keyasint"`
	// ZoneInstances lists the instances of the zone that the sender knows, so
	// that those that started during the pause are asked as well.
	ZoneInstances []id.Instance `cbor:"4,keyasint,omitempty"`
}

// Handover transfers what the sender owns to the receiver. The sender stops using
// it before the first send, and sends again until it is acknowledged.
type Handover struct {
	ID       uint64         `cbor:"1,keyasint"`
	Fencing  id.Fencing     `cbor:"2,keyasint"`
	Backends []OwnedBackend `cbor:"3,keyasint,omitempty"`
	Slots    []HandoverSlot `cbor:"4,keyasint,omitempty"`
}

// OwnedBackend is a backend server that is handed over.
type OwnedBackend struct {
	Backend    id.Backend `cbor:"1,keyasint"`
	Fencing    id.Fencing `cbor:"2,keyasint"`
	RowVersion uint64     `cbor:"3,keyasint"` // version of its row in the table
}

// HandoverSlot is a rate slot that is handed over with its balances.
type HandoverSlot struct {
	Zone       id.Zone       `cbor:"1,keyasint"`
	Index      int           `cbor:"2,keyasint"`
	Fencing    id.Fencing    `cbor:"3,keyasint"`
	Balances   []SlotBalance `cbor:"4,keyasint,omitempty"`
	RowVersion uint64        `cbor:"5,keyasint,omitempty"` // version of its row in the table, as last known
	// Holders lists the holders of the slot since that version, the sender last.
	// Their writes to the table may still be under way.
	Holders []id.Instance `cbor:"6,keyasint,omitempty"`
	// Age and Full give the balances of the accounts that are not listed: what an
	// empty bucket accrues in Age or, if Full is set, a full bucket.
	Age  time.Duration `cbor:"7,keyasint,omitempty"`
	Full bool          `cbor:"8,keyasint,omitempty"`
}

// SlotBalance is an account's remaining tokens in a slot.
type SlotBalance struct {
	Account id.Account `cbor:"1,keyasint"`
	Tokens  float64    `cbor:"2,keyasint"`
	// LentBurst and LentRate are the parts of the slot's burst and rate that are
	// lent out; the receiver must not use them until the loans have ended.
	LentBurst float64 `cbor:"3,keyasint,omitempty"`
	LentRate  float64 `cbor:"4,keyasint,omitempty"`
}

// HandoverAck acknowledges the Handover with the same ID.
type HandoverAck struct {
	ID uint64 `cbor:"1,keyasint"`
}

func (Heartbeat) message()     {}
func (TakeoverQuery) message() {}
func (TakeoverReply) message() {}
func (Handover) message()      {}
func (HandoverAck) message()   {}
