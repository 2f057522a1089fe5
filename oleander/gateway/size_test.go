package gateway

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/process/boottime"
)

// sized returns a gateway that does not run, in a fleet of so many instances and
// engines.
func sized(tb testing.TB, instances, engines int) *Gateway {
	tb.Helper()
	g, err := New(Settings{Name: "self", Zone: "z0", Peer: "self"}, nil, nil, fakeDialect{}, zerolog.Nop())
	if err != nil {
		tb.Fatal(err)
	}
	now := boottime.Now()
	for i := range instances - 1 {
		name := fmt.Sprintf("front-%04d", i)
		g.members.Heard(now, members.Member{Name: name, Address: name, Zone: fmt.Sprint("z", i%5)})
	}
	m := config(1)
	g.manifest.Store(m)
	for i := range engines {
		id := fmt.Sprintf("i-%010d", i)
		g.dir.Put(now, directory.Entry{ID: id, Address: "10.0.0.1:8000", Zone: fmt.Sprint("z", i%5), Group: "llm", Born: 1, Slots: 12})
	}
	g.placer.Sync(now, g.dir.All("llm"), m.Groups)
	for i, id := range g.dir.IDs() {
		g.placer.HandleReport(now, id, 1, now, placer.Report{Sequence: 1, LoadedModels: []directory.Holding{{Model: fmt.Sprint("m", i%300)}}})
	}
	return g
}

// BenchmarkSize is what an instance does again and again, by the size of the fleet.
//
// Servers that are told again, 300 instances and 3,000 engines: 368,154 bytes to each
// instance every two seconds before, 19,490 after, without the names of all.
func BenchmarkSize(b *testing.B) {
	for _, s := range []struct{ instances, engines int }{{30, 300}, {100, 1000}, {300, 3000}} {
		g := sized(b, s.instances, s.engines)
		run := func(name string, f func()) {
			b.Run(fmt.Sprintf("instances=%d/%s", s.instances, name), func(b *testing.B) {
				for b.Loop() {
					f()
				}
			})
		}
		whole := g.publish(boottime.Now())
		run("look-around", func() { g.lookAround(boottime.Now()) })
		run("heartbeat", func() { g.encode(packet{Beat: g.beat(boottime.Now())}) })
		run("publish-no-change", func() {
			g.publisher.repeats.at, g.publisher.flushed = boottime.Now(), 0
			g.publish(boottime.Now())
		})
		run("plan", func() { g.plan(boottime.Now(), placer.ScopeFleet) })
		run("pick", func() {
			g.dir.Pick(boottime.Now(), directory.Need{Group: "llm", Model: "m7", Zone: "z0"})
		})
		b.Run(fmt.Sprintf("instances=%d/repeat", s.instances), func(b *testing.B) {
			var out []outgoing
			for b.Loop() {
				g.publisher.repeats.at = 0
				out = g.publish(boottime.Now())
			}
			b.ReportMetric(float64(bytesOf(out)), "bytes")
			b.ReportMetric(float64(bytesOf(whole)), "bytes-of-all")
		})
	}
}

// bytesOf is what one recipient of messages gets.
func bytesOf(out []outgoing) int {
	n := 0
	for _, m := range out {
		if len(m.to) > 0 {
			n += len(m.body)
		}
	}
	return n
}
