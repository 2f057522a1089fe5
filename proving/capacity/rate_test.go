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
	// callsPerSecond is the number of calls per second at each instance: 38,000
	// calls over 1,800 instances.
	callsPerSecond = 21
	rateRunTime    = 6 * time.Second
)

// BenchmarkRateMessages counts the messages that rate limits shared by many
// instances need. The zone has three rate slots; calls arrive at every instance,
// distributed over accounts that use a tenth of their rate.
func BenchmarkRateMessages(b *testing.B) {
	for _, perZone := range []int{3, 9, 27} {
		for _, accounts := range []int{1, 20} {
			b.Run(fmt.Sprintf("instances=%d/accounts=%d", perZone, accounts), func(b *testing.B) {
				for range b.N {
					benchmarkRateMessages(b, perZone, accounts)
				}
			})
		}
	}
}

func benchmarkRateMessages(b *testing.B, perZone, accounts int) {
	s := fleetSize{zones: 1, instancesPerZone: perZone, enginesPerZone: 1}
	c := s.config()
	for n := range accounts {
		rate := 10 * 5 * float64(callsPerSecond*perZone) / float64(accounts)
		fleet.AddAccount(c, config.Account{Name: accountName(n), Rate: rate, Burst: 4 * rate, Weight: 1, Class: config.Interactive})
	}
	f := fleet.New(fleet.Settings{
		Seed: 1, Config: c, InstancesPerZone: perZone, EnginesPerZone: 1, ServicesPerZone: 4,
		LeaseTerm: leaseTerm, DrainDelay: time.Second, GracePeriod: 10 * time.Second, TokenTime: 10 * time.Millisecond,
	})
	f.Run(settleTime)
	callAllInstances(f, accounts)
	messages, bytes := 0, 0
	f.Network.OnSend = func(_ *fleet.Node, e event.SendPeer) {
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
	callAllInstances(f, accounts)
	calls := f.Calls[before:]
	f.Network.OnSend = nil
	f.Run(settleTime)
	completed := 0
	for _, call := range calls {
		if call.Completed {
			completed++
		}
	}
	seconds := rateRunTime.Seconds() * float64(perZone)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(messages)/seconds, "msgs/instance/s")
	b.ReportMetric(float64(bytes)/seconds, "B/instance/s")
	b.ReportMetric(float64(messages)/float64(len(calls)), "msgs/call")
	b.ReportMetric(100*float64(completed)/float64(len(calls)), "%served")
}

// callAllInstances makes calls at all instances for rateRunTime.
func callAllInstances(f *fleet.Fleet, accounts int) {
	rounds := int(rateRunTime.Seconds()) * callsPerSecond
	for n := range rounds {
		for k, node := range f.Nodes {
			f.Call(node, fleet.Spec{
				Account: accountName((n + k) % accounts), Service: fleet.Lookup, PromptTokens: 1, OutputTokens: 1, Timeout: 5 * time.Second,
				Body: fmt.Sprintf("%d-%d", n, k),
			})
		}
		f.Run(rateRunTime / time.Duration(rounds))
	}
}
