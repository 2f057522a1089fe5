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

// betweenCalls is the virtual time from one call to the next: 10,000 calls a
// second, so that the timers' own work counts little.
const betweenCalls = 100 * time.Microsecond

// BenchmarkRequest measures what the core decides for one whole request, from
// its arrival to its one final answer, with the driver's share in it.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name   string
		scene  scene
		target func(n int) event.Call
	}{
		{"warm model", scene{engines: 3}, toModel},
		{"warm model, 138 instances in the zone", scene{engines: 3, perZone: 138}, toModel},
		{"warm model, 769 engines", scene{engines: 769}, toModel},
		{"warm model, 57000 adapters", scene{engines: 3, adapters: 57_000}, toModel},
		{"warm model, 4000 accounts", scene{engines: 3, accounts: 4000}, toModel},
		{"warm model, letter's scene", letter, toModel},
		{"once-only", scene{engines: 3}, toDesk},
		{"refused", scene{engines: 3}, toNothing},
	} {
		b.Run(c.name, func(b *testing.B) { requests(b, c.scene, c.target) })
	}
}

func toModel(int) event.Call { return event.Call{Artifact: model} }

func toDesk(n int) event.Call {
	return event.Call{Service: fleet.Desk, IdempotencyKey: fmt.Sprintf("order-%d", n)}
}

func toNothing(int) event.Call { return event.Call{Artifact: "no-such-model"} }

func requests(b *testing.B, s scene, target func(int) event.Call) {
	d := newDriver(s)
	d.warm(b)
	d.answers, d.refusals = 0, 0
	before, events := mallocs(), d.events
	d.reads, d.writes = 0, 0
	b.ReportAllocs()
	b.ResetTimer()
	ends := 0
	for n := range b.N {
		d.now = d.now.Add(betweenCalls)
		d.handle(d.call(n+1, bigAccount, target(n+1)))
		ends += len(d.dispatched)
		d.endAll()
		if n%1000 == 999 { // the others are heard, or they count as dead
			b.StopTimer()
			d.hear()
			b.StartTimer()
		}
	}
	b.StopTimer()
	if d.answers+d.refusals+ends < b.N {
		b.Fatalf("%d answered, %d refused, %d sent of %d", d.answers, d.refusals, ends, b.N)
	}
	b.ReportMetric(float64(d.reads)/float64(b.N), "table-reads/op")
	b.ReportMetric(float64(d.writes)/float64(b.N), "table-writes/op")
	b.ReportMetric(float64(d.events-events)/float64(b.N), "events/op")
	b.ReportMetric(float64(mallocs()-before)/float64(b.N), "mallocs/op")
}

func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

// TestRequestScenes checks that the calls that are measured go the way that is
// said to be measured: a model call and an order are sent, a call for nothing
// is refused.
func TestRequestScenes(t *testing.T) {
	for _, c := range []struct {
		name           string
		target         func(int) event.Call
		sent, answered int
		refused        int
	}{
		{"model", toModel, 1, 0, 0},
		{"order", toDesk, 1, 1, 0},
		{"nothing", toNothing, 0, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDriver(scene{engines: 3})
			d.warm(t)
			d.answers, d.refusals = 0, 0
			d.handle(d.call(1, bigAccount, c.target(1)))
			sent := len(d.dispatched)
			d.endAll()
			if sent != c.sent || d.answers != c.answered || d.refusals != c.refused {
				t.Errorf("sent %d, answered %d, refused %d; rows %v", sent, d.answers, d.refusals, d.rowKinds())
			}
		})
	}
}

// account returns the name of an account of a scene.
func account(n int) id.Account { return id.Account(fmt.Sprintf("account%05d", n)) }
