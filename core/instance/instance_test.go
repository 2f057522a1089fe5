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

// TestEveryMessageIsRouted: rate slots were announced in a message type that
// the instance did not route. Instances without a slot found no holder to draw
// from and refused every call as over its rate, with no other sign. Now a
// message that no part takes breaks an invariant.
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

// unknown is a message type that no part takes.
type unroutedMessage struct{ message.Heartbeat }

// TestUnroutedMessageIsSeen shows that the check above can fail.
func TestUnroutedMessageViolatesInvariant(t *testing.T) {
	var seen []string
	i := newTestInstance(invariant.Reporting(func(v invariant.Violation) { seen = append(seen, v.Name) }))
	i.Handle(1, event.PeerMessage{From: "other.1", Message: unroutedMessage{}})
	if fmt.Sprint(seen) != "[message-routed]" {
		t.Errorf("violations %v, want message-routed", seen)
	}
}
