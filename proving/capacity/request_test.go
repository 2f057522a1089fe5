package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/proving/fleet"
)

// callInterval is the virtual time between calls: 10,000 calls per second, so that
// the work of the timers has little weight.
const callInterval = 100 * time.Microsecond

// BenchmarkRequest measures the handling of one request by the core, from its
// arrival to its final response. It includes the time of the driver.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name   string
		env    environment
		target func(n int) event.Call
	}{
		{"warm model", environment{engines: 3}, modelCall},
		{"warm model, 138 instances in the zone", environment{engines: 3, instancesPerZone: 138}, modelCall},
		{"warm model, 769 engines", environment{engines: 769}, modelCall},
		{"warm model, 57000 adapters", environment{engines: 3, adapters: 57_000}, modelCall},
		{"warm model, 4000 accounts", environment{engines: 3, accounts: 4000}, modelCall},
		{"warm model, largest planned deployment", designEnvironment, modelCall},
		{"non-idempotent service", environment{engines: 3}, atMostOnceCall},
		{"refused", environment{engines: 3}, unknownModelCall},
	} {
		b.Run(c.name, func(b *testing.B) { benchmarkRequests(b, c.env, c.target) })
	}
}

func modelCall(int) event.Call { return event.Call{Artifact: model} }

func atMostOnceCall(n int) event.Call {
	return event.Call{Service: fleet.Desk, IdempotencyKey: fmt.Sprintf("order-%d", n)}
}

func unknownModelCall(int) event.Call { return event.Call{Artifact: "no-such-model"} }

func benchmarkRequests(b *testing.B, s environment, target func(int) event.Call) {
	d := newDriver(s)
	d.loadModel(b)
	d.answers, d.refusals = 0, 0
	before, events := mallocCount(), d.eventCount
	d.rowsRead, d.rowsWritten = 0, 0
	b.ReportAllocs()
	b.ResetTimer()
	dispatched := 0
	for n := range b.N {
		d.now = d.now.Add(callInterval)
		d.handle(d.newCall(n+1, unlimitedAccount, target(n+1)))
		dispatched += len(d.dispatched)
		d.completeAttempts()
		if n%1000 == 999 { // without heartbeats the peers would be considered failed
			b.StopTimer()
			d.deliverHeartbeats()
			b.StartTimer()
		}
	}
	b.StopTimer()
	if d.answers+d.refusals+dispatched < b.N {
		b.Fatalf("%d answered, %d refused, %d dispatched of %d calls", d.answers, d.refusals, dispatched, b.N)
	}
	b.ReportMetric(float64(d.rowsRead)/float64(b.N), "table-reads/op")
	b.ReportMetric(float64(d.rowsWritten)/float64(b.N), "table-writes/op")
	b.ReportMetric(float64(d.eventCount-events)/float64(b.N), "events/op")
	b.ReportMetric(float64(mallocCount()-before)/float64(b.N), "mallocs/op")
}

func mallocCount() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

// TestRequestTargets guards against benchmarks that measure a different path than
// they name: a model call and an order must be dispatched, a call of an unknown
// model must be refused.
func TestRequestTargets(t *testing.T) {
	for _, c := range []struct {
		name                 string
		target               func(int) event.Call
		dispatched, answered int
		refused              int
	}{
		{"model", modelCall, 1, 0, 0},
		{"order", atMostOnceCall, 1, 1, 0},
		{"unknown model", unknownModelCall, 0, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDriver(environment{engines: 3})
			d.loadModel(t)
			d.answers, d.refusals = 0, 0
			d.handle(d.newCall(1, unlimitedAccount, c.target(1)))
			dispatched := len(d.dispatched)
			d.completeAttempts()
			if dispatched != c.dispatched || d.answers != c.answered || d.refusals != c.refused {
				t.Errorf("dispatched %d, answered %d, refused %d; rows %v", dispatched, d.answers, d.refusals, d.rowKinds())
			}
		})
	}
}

// accountName returns the name of account n of an environment.
func accountName(n int) id.Account { return id.Account(fmt.Sprintf("account%05d", n)) }
