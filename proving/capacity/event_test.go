package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

const (
	peerInstance id.Instance = "z00-1"
	// heldPerEngine is the largest number of adapters that an engine of the
	// benchmarks holds.
	heldPerEngine = 20
	// eventInterval is the virtual time between events, short enough that no
	// timer is due within a benchmark.
	eventInterval = 50 * time.Nanosecond
	// eventsPerHeartbeat is the number of events between two heartbeats of the
	// peers.
	eventsPerHeartbeat = 100_000
)

// designEnvironment is the environment of an instance in the largest planned
// deployment: 1,800 instances in 13 availability zones, 10,000 model engines,
// 57,000 adapters.
// The number of client accounts is an assumption.
var designEnvironment = environment{zones: 13, instancesPerZone: 138, engines: 769, remoteBackends: 9231, adapters: 57_000, accounts: 1000, remotePeers: 96}

// currentEnvironment is the environment of an instance in the present deployment
// of the Authority: nine instances in three availability zones, nine model engines,
// sixty adapters, five accounts.
var currentEnvironment = environment{zones: 3, instancesPerZone: 3, engines: 3, remoteBackends: 6, adapters: 60, accounts: 5, remotePeers: 6}

// eventSource returns event n of a benchmark.
type eventSource func(d *driver, n int) event.Event

func benchmarkEvents(b *testing.B, s environment, f eventSource) {
	d := newDriver(s)
	benchmarkDriver(b, d, f)
}

func benchmarkDriver(b *testing.B, d *driver, f eventSource) {
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		d.now = d.now.Add(eventInterval)
		d.handle(f(d, n))
		if n%eventsPerHeartbeat == eventsPerHeartbeat-1 {
			b.StopTimer()
			d.deliverHeartbeats()
			b.StartTimer()
		}
	}
}

// BenchmarkTimerFired measures a timer event when nothing is due. This is the
// minimum cost of every event.
func BenchmarkTimerFired(b *testing.B) {
	for _, s := range []environment{
		{}, {instancesPerZone: 9}, {instancesPerZone: 138}, {engines: 769, instancesPerZone: 138},
		{accounts: 1000}, {accounts: 4000}, {adapters: 57_000}, designEnvironment,
	} {
		b.Run(s.String(), func(b *testing.B) {
			benchmarkEvents(b, s, func(*driver, int) event.Event { return event.TimerFired{} })
		})
	}
}

// BenchmarkHeartbeat measures the receipt of a heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	for _, s := range []environment{{instancesPerZone: 3}, {instancesPerZone: 9}, {instancesPerZone: 138}, designEnvironment} {
		b.Run(s.String(), func(b *testing.B) {
			benchmarkEvents(b, s, func(d *driver, n int) event.Event { return d.peerHeartbeats[n%len(d.peerHeartbeats)] })
		})
	}
}

// BenchmarkBackendState measures the receipt of the state of a model engine that
// its owner, another instance of the zone, sends.
func BenchmarkBackendState(b *testing.B) {
	for _, s := range []environment{
		{instancesPerZone: 3, engines: 3}, {instancesPerZone: 3, engines: 100}, {instancesPerZone: 138, engines: 769}, designEnvironment,
	} {
		for _, held := range []int{2, heldPerEngine} {
			b.Run(fmt.Sprintf("%s/held=%d", s, held), func(b *testing.B) {
				h := heldArtifacts(held)
				benchmarkEvents(b, s, func(_ *driver, n int) event.Event {
					return event.PeerMessage{From: peerInstance, Message: backendState(n, s.engines, h)}
				})
			})
		}
	}
}

func heldArtifacts(n int) []message.HeldArtifact {
	var all []message.HeldArtifact
	for k := range n {
		all = append(all, message.HeldArtifact{
			Artifact: id.Adapter(model, fmt.Sprintf("a%05d", k)), State: message.Loaded, Order: id.Order(fmt.Sprintf("z00-1.%06d", k)),
			Bytes: 1 << 28, Idle: time.Minute, Uses: uint64(k),
		})
	}
	return all
}

// backendState returns the state of an engine that another instance owns.
func backendState(n, engines int, held []message.HeldArtifact) message.BackendState {
	return message.BackendState{
		Backend: id.Backend(fmt.Sprintf("z00-engine-%05d", n%engines)), Fencing: 1 << 20, Seq: uint64(n + 1),
		Report: message.Report{Fencing: 1 << 20, Bytes: engineBytes, Held: held, BootID: "boot-1"}, FreeBytes: 1 << 30, CachedUnchanged: true, RowVersion: 1,
	}
}

// BenchmarkSlotsHeld measures the receipt of the message by which an instance lists
// the rate slots that it holds.
func BenchmarkSlotsHeld(b *testing.B) {
	for _, s := range []environment{{instancesPerZone: 3}, {instancesPerZone: 138}, designEnvironment} {
		b.Run(s.String(), func(b *testing.B) {
			benchmarkEvents(b, s, func(d *driver, n int) event.Event {
				from := d.peerHeartbeats[n%len(d.peerHeartbeats)].From
				return event.PeerMessage{From: from, Message: message.SlotsHeld{Slots: []message.HeldSlot{{Zone: ownZone, Index: n % 3, Fencing: 1}}}}
			})
		})
	}
}

// BenchmarkLoanRequest measures a loan request that a holder of rate slots
// receives. touched is the number of accounts over which the requests are
// distributed.
func BenchmarkLoanRequest(b *testing.B) {
	for _, touched := range []int{1, 1000, 4000} {
		b.Run(fmt.Sprintf("accounts=4000/touched=%d", touched), func(b *testing.B) {
			benchmarkEvents(b, environment{accounts: 4000}, func(_ *driver, n int) event.Event {
				return event.PeerMessage{From: peerInstance, Message: message.LoanRequest{ID: uint64(n + 1), Account: accountName(n % touched), Tokens: 1}}
			})
		})
	}
}

// BenchmarkLateLoanGrant measures a loan grant for which no request is
// outstanding.
func BenchmarkLateLoanGrant(b *testing.B) {
	benchmarkEvents(b, environment{accounts: 4000}, func(_ *driver, n int) event.Event {
		return event.PeerMessage{From: peerInstance, Message: message.LoanGrant{ID: uint64(n + 1), Account: accountName(n % 4000), Tokens: 1}}
	})
}

// BenchmarkTurn measures a turn at the owner of a queue: requested by another
// instance, granted, and released.
func BenchmarkTurn(b *testing.B) {
	for _, s := range []environment{
		{engines: 3}, {engines: 30}, {engines: 100}, {engines: 300}, {engines: 769},
		{engines: 3, instancesPerZone: 138}, {engines: 3, adapters: 57_000},
	} {
		b.Run(s.String(), func(b *testing.B) { benchmarkTurns(b, s) })
	}
}

func benchmarkTurns(b *testing.B, s environment) {
	d := newDriver(s)
	d.requestLoadedModel(b)
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		d.now = d.now.Add(eventInterval)
		r := id.Request(fmt.Sprintf("t-%d", n))
		d.grantedBackend = ""
		d.handle(event.PeerMessage{From: peerInstance, Message: message.TurnRequest{
			Request: r, Artifact: model, Account: unlimitedAccount, Class: config.Interactive, TimeToDeadline: time.Minute, Tokens: 100, Turn: 1,
		}})
		if d.grantedBackend == "" {
			b.Fatal("no turn was granted")
		}
		d.handle(event.PeerMessage{From: peerInstance, Message: message.TurnRelease{
			Request: r, Backend: d.grantedBackend, ServiceTime: 200 * time.Millisecond, GeneratedTokens: 10, Turn: 1,
		}})
	}
}

// BenchmarkBackendReport measures a report of an engine, handled by its owner. The
// table has no decision for the adapters that it lists, so the owner also orders
// their unloading from time to time.
func BenchmarkBackendReport(b *testing.B) {
	for _, s := range []environment{{engines: 3, adapters: 60}, {engines: 100, adapters: 60}, {engines: 3, adapters: 57_000}} {
		for _, held := range []int{0, 2, heldPerEngine} {
			b.Run(fmt.Sprintf("%s/held=%d", s, held), func(b *testing.B) {
				d := newDriver(s)
				names := d.ownedBackends()
				if len(names) == 0 {
					b.Fatal("the instance owns no backend server")
				}
				r := message.Report{Fencing: 1, Bytes: engineBytes, Held: heldArtifacts(held), BootID: "boot-1"}
				benchmarkDriver(b, d, func(d *driver, n int) event.Event {
					return event.BackendReport{Backend: names[n%len(names)], RequestedAt: d.now, OK: true, Report: r}
				})
			})
		}
	}
}

// BenchmarkListRead measures the handling of a reading of the platform's instance
// list.
func BenchmarkListRead(b *testing.B) {
	for _, s := range []environment{
		{zones: 1, instancesPerZone: 10, engines: 90}, {zones: 2, instancesPerZone: 50, engines: 450, remoteBackends: 450}, designEnvironment,
	} {
		b.Run(fmt.Sprintf("entries=%d", max(s.zones, 1)*s.instancesPerZone+s.engines+s.remoteBackends), func(b *testing.B) {
			benchmarkEvents(b, s, func(d *driver, _ int) event.Event { return event.InstanceListRead{Members: d.instanceList} })
		})
	}
}

// BenchmarkTimers measures one second of the timers of an instance: the time that
// handling them takes, the messages sent by type, and the table operations. The
// time for the heartbeats and instance lists that it receives is not counted.
func BenchmarkTimers(b *testing.B) {
	for _, s := range []environment{
		currentEnvironment, {instancesPerZone: 138}, {instancesPerZone: 138, engines: 769}, {zones: 13, instancesPerZone: 138, remotePeers: 96},
		{engines: 6}, {engines: 100}, {adapters: 57_000, engines: 6}, {accounts: 4000}, designEnvironment,
	} {
		b.Run(s.String(), func(b *testing.B) { benchmarkTimers(b, s) })
	}
}

func benchmarkTimers(b *testing.B, s environment) {
	before := heapAlloc()
	d := newDriver(s)
	memory := heapAlloc() - before
	const seconds = 4
	d.sentByType, d.messagesSent, d.rowsRead, d.rowsWritten, d.timerTime = make(map[string]traffic), 0, 0, 0, 0
	d.advance(seconds * time.Second)
	sentByType := d.sentByType
	d.sentByType, d.timerTime = nil, 0
	b.ResetTimer()
	for range b.N {
		d.advance(time.Second)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(d.timerTime.Nanoseconds())/float64(b.N), "ns/s")
	b.ReportMetric(float64(memory), "heapB")
	b.ReportMetric(float64(len(d.ownedBackends())), "owned")
	for name, t := range sentByType {
		b.ReportMetric(float64(t.messages)/seconds, name+"/s")
		b.ReportMetric(float64(t.bytes)/seconds, name+"-B/s")
	}
	b.ReportMetric(float64(d.rowsRead)/float64(b.N+seconds), "table-reads/s")
	b.ReportMetric(float64(d.rowsWritten)/float64(b.N+seconds), "table-writes/s")
	runtime.KeepAlive(d)
}
