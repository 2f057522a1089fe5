package instance

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
)

func newTestInstance(check *invariant.Checker) *Instance {
	return New(Settings{Instance: "i.1", Zone: "z", Address: "i:1", LeaseTerm: 6 * time.Second}, check)
}

// TestEveryMessageIsRouted: the message type that announces rate slots was once
// not routed. Instances without a slot knew no holder to borrow tokens from and
// refused every call as over its rate, with no other symptom. A message that no
// component handles therefore violates an invariant.
func TestEveryMessageIsRouted(t *testing.T) {
	for kind, m := range message.Types() {
		i := newTestInstance(nil) // panics on a violation
		func() {
			defer func() {
				if v := recover(); v != nil {
					t.Errorf("message %d, %T: %v", kind, m, v)
				}
			}()
			i.Handle(1, event.PeerMessage{From: "other.1", Message: m})
		}()
	}
}

// unroutedMessage is a message type that no component handles.
type unroutedMessage struct{ message.Heartbeat }

// TestUnroutedMessageViolatesInvariant shows that the check above can fail.
func TestUnroutedMessageViolatesInvariant(t *testing.T) {
	var seen []string
	i := newTestInstance(invariant.Reporting(func(v invariant.Violation) { seen = append(seen, v.Name) }))
	i.Handle(1, event.PeerMessage{From: "other.1", Message: unroutedMessage{}})
	if fmt.Sprint(seen) != "[message-routed]" {
		t.Errorf("violations %v, want message-routed", seen)
	}
}
