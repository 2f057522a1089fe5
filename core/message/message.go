// Package message defines the messages between instances. Messages may be lost,
// duplicated, delayed and reordered; every handler must tolerate that.
//
// They are encoded as CBOR with integer keys, so that a field can be added without
// breaking instances that don't know it.
package message

// Message is a message between instances.
type Message interface{ message() }

// Kind numbers a message type on the wire. Numbers are never reused.
type Kind uint8

// Types returns a zero value of every message type by its number on the wire.
func Types() map[Kind]Message {
	types := make(map[Kind]Message)
	for _, family := range []map[Kind]Message{
		sessionTypes, configTypes, rateTypes, queueTypes, placementTypes, onceTypes,
	} {
		for k, m := range family {
			types[k] = m
		}
	}
	return types
}
