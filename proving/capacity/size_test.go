package capacity

import (
	"reflect"
	"testing"
	"time"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/message"
)

// BenchmarkMessageBytes shows the bodies of the messages of one request and of
// one loan, in bytes.
func BenchmarkMessageBytes(b *testing.B) {
	const (
		request = "zone-a-17.0123456789ab/123456"
		server  = "zone-a-engine-0417"
		adapter = "model-117:adapter-23417"
	)
	for _, m := range []message.Message{
		message.TurnRequest{Request: request, Artifact: adapter, Account: account(417), Class: config.Interactive, TimeToDeadline: 30 * time.Second, Tokens: 700, PrefixHash: 1 << 60, Turn: 1},
		message.TurnGranted{Request: request, Backend: server, Address: "10.20.30.40:8000", Turn: 1},
		message.TurnRelease{Request: request, Backend: server, ServiceTime: time.Second, GeneratedTokens: 400, Turn: 1},
		message.LoanRequest{ID: 123_456, Account: account(417), Tokens: 512.5, Rate: 1234.5},
		message.LoanGrant{ID: 123_456, Account: account(417), Tokens: 512.5, Rate: 1234.5, Term: 3 * time.Second, Burst: 4321.5},
		message.LoanSettlement{ID: 123_456, Account: account(417), Returned: 12.5},
		message.SlotsHeld{Slots: []message.HeldSlot{{Zone: "zone-a", Index: 2, Fencing: 17}}},
		message.LoadsInTransit{Models: 2, Adapters: 7, MostUrgent: config.Interactive},
		heartbeat(),
		state(1, 10, nil), state(1, 10, holdings(2)), state(1, 10, holdings(heldEach)),
	} {
		b.Run(reflect.TypeOf(m).Name(), func(b *testing.B) {
			b.ReportMetric(float64(messageBytes(b, m)), "B")
			b.ReportMetric(0, "ns/op")
		})
	}
}
