package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/message"
	"oleanderdale.org/proving/fleet"
)

const (
	// callsEach is how many calls a second arrive at each instance: 38,000
	// over 1,800.
	callsEach = 21
	rateRun   = 6 * time.Second
)

// BenchmarkRateMessages counts the messages that holding a rate over many
// instances takes: three slots in the zone, calls at every instance, spread
// over some accounts that use a tenth of their rate.
func BenchmarkRateMessages(b *testing.B) {
	for _, perZone := range []int{3, 9, 27} {
		for _, accounts := range []int{1, 20} {
			b.Run(fmt.Sprintf("instances=%d/accounts=%d", perZone, accounts), func(b *testing.B) {
				for range b.N {
					rateMessages(b, perZone, accounts)
				}
			})
		}
	}
}

func rateMessages(b *testing.B, perZone, accounts int) {
	s := size{zones: 1, perZone: perZone, engines: 1}
	c := s.config()
	for n := range accounts {
		rate := 10 * 5 * float64(callsEach*perZone) / float64(accounts)
		fleet.AddAccount(c, config.Account{Name: account(n), Rate: rate, Burst: 4 * rate, Weight: 1, Class: config.Interactive})
	}
	f := fleet.New(fleet.Settings{
		Seed: 1, Config: c, PerZone: perZone, Engines: 1, Services: 4,
		LeaseTerm: leaseTerm, DrainDelay: time.Second, Grace: 10 * time.Second, TokenTime: 10 * time.Millisecond,
	})
	f.Run(settleFor)
	callAll(f, accounts)
	messages, bytes := 0, 0
	f.Net.OnSend = func(_ *fleet.Node, e event.SendPeer) {
		switch e.Message.(type) {
		case message.LoanRequest, message.LoanGrant, message.LoanSettlement:
			body, err := cbor.Marshal(e.Message)
			if err != nil {
				b.Fatal(err)
			}
			messages++
			bytes += len(body)
		}
	}
	before := len(f.Calls)
	callAll(f, accounts)
	calls := f.Calls[before:]
	f.Net.OnSend = nil
	f.Run(settleFor)
	whole := 0
	for _, call := range calls {
		if call.Whole {
			whole++
		}
	}
	seconds := rateRun.Seconds() * float64(perZone)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(messages)/seconds, "msgs/instance/s")
	b.ReportMetric(float64(bytes)/seconds, "B/instance/s")
	b.ReportMetric(float64(messages)/float64(len(calls)), "msgs/call")
	b.ReportMetric(100*float64(whole)/float64(len(calls)), "%served")
}

// callAll lets calls arrive at all instances for a while.
func callAll(f *fleet.Fleet, accounts int) {
	rounds := int(rateRun.Seconds()) * callsEach
	for n := range rounds {
		for k, node := range f.Nodes {
			f.Call(node, fleet.Spec{
				Account: account((n + k) % accounts), Service: fleet.Lookup, Prompt: 1, Tokens: 1, Within: 5 * time.Second,
				Body: fmt.Sprintf("%d-%d", n, k),
			})
		}
		f.Run(rateRun / time.Duration(rounds))
	}
}
