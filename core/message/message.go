// Package message defines what instances say to one another. Messages may be
// lost, doubled, late and out of order; each handler says what that does to it.
//
// The wire form is CBOR with integer keys, so that a field can be added
// without breaking instances that don't know it.
package message

// Message is one message between instances.
type Message interface{ message() }

// Kind numbers a message type on the wire. Numbers are never reused.
type Kind uint8

// Types lists a zero value of every message, with its number on the wire.
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
