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
	otherInstance id.Instance = "z00-1"
	// heldEach is how many adapters an engine of the benchmarks holds.
	heldEach = 20
	// betweenEvents keeps the timers from being due within a benchmark.
	betweenEvents = 50 * time.Nanosecond
	// betweenHearing is how many events pass until the others are heard again.
	betweenHearing = 100_000
)

// letter is the surroundings of an instance at the size to design for: 1,800
// instances in 13 availability zones, 10,000 model workers, 57,000 adapters.
// The number of client accounts is an assumption.
var letter = scene{zones: 13, perZone: 138, engines: 769, remote: 9231, adapters: 57_000, accounts: 1000, heard: 96}

// today is the surroundings of an instance of the Authority: nine instances in
// three availability zones, nine model workers, sixty adapters, five accounts.
var today = scene{zones: 3, perZone: 3, engines: 3, remote: 6, adapters: 60, accounts: 5, heard: 6}

// feed makes the events of one benchmark, one after the other.
type feed func(d *driver, n int) event.Event

func measure(b *testing.B, s scene, f feed) {
	d := newDriver(s)
	measureWith(b, d, f)
}

func measureWith(b *testing.B, d *driver, f feed) {
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		d.now = d.now.Add(betweenEvents)
		d.handle(f(d, n))
		if n%betweenHearing == betweenHearing-1 {
			b.StopTimer()
			d.hear()
			b.StartTimer()
		}
	}
}

// BenchmarkWoken measures an event that finds nothing due: what every event
// costs at least.
func BenchmarkWoken(b *testing.B) {
	for _, s := range []scene{
		{}, {perZone: 9}, {perZone: 138}, {engines: 769, perZone: 138},
		{accounts: 1000}, {accounts: 4000}, {adapters: 57_000}, letter,
	} {
		b.Run(s.String(), func(b *testing.B) {
			measure(b, s, func(*driver, int) event.Event { return event.TimerFired{} })
		})
	}
}

// BenchmarkHeartbeat measures a heartbeat received.
func BenchmarkHeartbeat(b *testing.B) {
	for _, s := range []scene{{perZone: 3}, {perZone: 9}, {perZone: 138}, letter} {
		b.Run(s.String(), func(b *testing.B) {
			measure(b, s, func(d *driver, n int) event.Event { return d.others[n%len(d.others)] })
		})
	}
}

// BenchmarkBackendState measures the word of an owner about one of its model
// engines, received by another instance of the zone.
func BenchmarkBackendState(b *testing.B) {
	for _, s := range []scene{
		{perZone: 3, engines: 3}, {perZone: 3, engines: 100}, {perZone: 138, engines: 769}, letter,
	} {
		for _, held := range []int{2, heldEach} {
			b.Run(fmt.Sprintf("%s/held=%d", s, held), func(b *testing.B) {
				h := holdings(held)
				measure(b, s, func(_ *driver, n int) event.Event {
					return event.PeerMessage{From: otherInstance, Message: state(n, s.engines, h)}
				})
			})
		}
	}
}

func holdings(n int) []message.HeldArtifact {
	var all []message.HeldArtifact
	for k := range n {
		all = append(all, message.HeldArtifact{
			Artifact: id.Adapter(model, fmt.Sprintf("a%05d", k)), State: message.Loaded, Order: id.Order(fmt.Sprintf("z00-1.%06d", k)),
			Bytes: 1 << 28, Idle: time.Minute, Uses: uint64(k),
		})
	}
	return all
}

// state is a BackendState of an engine that this instance does not own.
func state(n, engines int, held []message.HeldArtifact) message.BackendState {
	return message.BackendState{
		Backend: id.Backend(fmt.Sprintf("z00-engine-%05d", n%engines)), Fencing: 1 << 20, Seq: uint64(n + 1),
		Report: message.Report{Fencing: 1 << 20, Bytes: engineBytes, Held: held, BootID: "boot-1"}, FreeBytes: 1 << 30, CachedUnchanged: true, RowVersion: 1,
	}
}

// BenchmarkSlotsHeld measures the word of a holder of rate slots.
func BenchmarkSlotsHeld(b *testing.B) {
	for _, s := range []scene{{perZone: 3}, {perZone: 138}, letter} {
		b.Run(s.String(), func(b *testing.B) {
			measure(b, s, func(d *driver, n int) event.Event {
				from := d.others[n%len(d.others)].From
				return event.PeerMessage{From: from, Message: message.SlotsHeld{Slots: []message.HeldSlot{{Zone: ownZone, Index: n % 3, Fencing: 1}}}}
			})
		})
	}
}

// BenchmarkDraw measures a draw that another instance makes on a holder of
// rate slots: the answer and the settlement. touched is over how many accounts
// the draws go.
func BenchmarkDraw(b *testing.B) {
	for _, touched := range []int{1, 1000, 4000} {
		b.Run(fmt.Sprintf("accounts=4000/touched=%d", touched), func(b *testing.B) {
			measure(b, scene{accounts: 4000}, func(_ *driver, n int) event.Event {
				return event.PeerMessage{From: otherInstance, Message: message.LoanRequest{ID: uint64(n + 1), Account: account(n % touched), Tokens: 1}}
			})
		})
	}
}

// BenchmarkLent measures the answer to a draw that nobody waits for any more.
func BenchmarkLent(b *testing.B) {
	measure(b, scene{accounts: 4000}, func(_ *driver, n int) event.Event {
		return event.PeerMessage{From: otherInstance, Message: message.LoanGrant{ID: uint64(n + 1), Account: account(n % 4000), Tokens: 1}}
	})
}

// BenchmarkTurn measures a turn at the owner of a queue: asked for by another
// instance, granted, and given back.
func BenchmarkTurn(b *testing.B) {
	for _, s := range []scene{
		{engines: 3}, {engines: 30}, {engines: 100}, {engines: 300}, {engines: 769},
		{engines: 3, perZone: 138}, {engines: 3, adapters: 57_000},
	} {
		b.Run(s.String(), func(b *testing.B) { turns(b, s) })
	}
}

func turns(b *testing.B, s scene) {
	d := newDriver(s)
	d.warmAs(b)
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		d.now = d.now.Add(betweenEvents)
		r := id.Request(fmt.Sprintf("t-%d", n))
		d.granted = ""
		d.handle(event.PeerMessage{From: otherInstance, Message: message.TurnRequest{
			Request: r, Artifact: model, Account: bigAccount, Class: config.Interactive, TimeToDeadline: time.Minute, Tokens: 100, Turn: 1,
		}})
		if d.granted == "" {
			b.Fatal("no turn was granted")
		}
		d.handle(event.PeerMessage{From: otherInstance, Message: message.TurnRelease{
			Request: r, Backend: d.granted, ServiceTime: 200 * time.Millisecond, GeneratedTokens: 10, Turn: 1,
		}})
	}
}

// BenchmarkBackendReport measures an engine's report that its owner read. The
// adapters that it shows were decided by nobody, so the owner also orders them
// off now and then.
func BenchmarkBackendReport(b *testing.B) {
	for _, s := range []scene{{engines: 3, adapters: 60}, {engines: 100, adapters: 60}, {engines: 3, adapters: 57_000}} {
		for _, held := range []int{0, 2, heldEach} {
			b.Run(fmt.Sprintf("%s/held=%d", s, held), func(b *testing.B) {
				d := newDriver(s)
				names := d.owned()
				if len(names) == 0 {
					b.Fatal("the instance owns no backend server")
				}
				r := message.Report{Fencing: 1, Bytes: engineBytes, Held: holdings(held), BootID: "boot-1"}
				measureWith(b, d, func(d *driver, n int) event.Event {
					return event.BackendReport{Backend: names[n%len(names)], RequestedAt: d.now, OK: true, Report: r}
				})
			})
		}
	}
}

// BenchmarkListRead measures a reading of the platform's instance list.
func BenchmarkListRead(b *testing.B) {
	for _, s := range []scene{
		{zones: 1, perZone: 10, engines: 90}, {zones: 2, perZone: 50, engines: 450, remote: 450}, letter,
	} {
		b.Run(fmt.Sprintf("entries=%d", max(s.zones, 1)*s.perZone+s.engines+s.remote), func(b *testing.B) {
			measure(b, s, func(d *driver, _ int) event.Event { return event.InstanceListRead{Members: d.members} })
		})
	}
}

// BenchmarkTimers measures one second of an instance's own timers: processor
// time, the messages that it sends by type, and its table operations. What
// others send to it is handed in, and not counted.
func BenchmarkTimers(b *testing.B) {
	for _, s := range []scene{
		today, {perZone: 138}, {perZone: 138, engines: 769}, {zones: 13, perZone: 138, heard: 96},
		{engines: 6}, {engines: 100}, {adapters: 57_000, engines: 6}, {accounts: 4000}, letter,
	} {
		b.Run(s.String(), func(b *testing.B) { timers(b, s) })
	}
}

func timers(b *testing.B, s scene) {
	before := heap()
	d := newDriver(s)
	memory := heap() - before
	const seconds = 4
	d.tally, d.sent, d.reads, d.writes, d.spent = make(map[string]traffic), 0, 0, 0, 0
	d.run(seconds * time.Second)
	tally := d.tally
	d.tally, d.spent = nil, 0
	b.ResetTimer()
	for range b.N {
		d.run(time.Second)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(d.spent.Nanoseconds())/float64(b.N), "ns/s")
	b.ReportMetric(float64(memory), "heapB")
	b.ReportMetric(float64(len(d.owned())), "owned")
	for name, t := range tally {
		b.ReportMetric(float64(t.messages)/seconds, name+"/s")
		b.ReportMetric(float64(t.bytes)/seconds, name+"-B/s")
	}
	b.ReportMetric(float64(d.reads)/float64(b.N+seconds), "table-reads/s")
	b.ReportMetric(float64(d.writes)/float64(b.N+seconds), "table-writes/s")
	runtime.KeepAlive(d)
}
