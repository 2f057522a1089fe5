package gateway

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/core/gateway/serverlimit"
	"oleanderdale.org/oleander/process/boottime"
)

// newGatewayOfSize returns a gateway that is not running, in a fleet of the given
// size.
func newGatewayOfSize(tb testing.TB, instances, engines int) *Gateway {
	tb.Helper()
	g, err := New(Settings{Name: "self", Zone: "z0", PeerAddress: "self"}, nil, nil, fakeDialect{}, zerolog.Nop())
	if err != nil {
		tb.Fatal(err)
	}
	now := boottime.Now()
	for i := range instances - 1 {
		name := fmt.Sprintf("front-%04d", i)
		g.members.UpdateFromMessage(now, members.Member{Name: name, Address: name, Zone: fmt.Sprint("z", i%5)})
	}
	m := config(1)
	g.manifest.Store(m)
	for i := range engines {
		id := fmt.Sprintf("i-%010d", i)
		g.servers.Put(now, directory.Entry{ID: id, Address: "10.0.0.1:8000", Zone: fmt.Sprint("z", i%5), Group: "llm", Incarnation: 1, Slots: 12})
	}
	g.placer.Sync(now, g.servers.InGroup("llm"), m.Groups)
	for i, id := range g.servers.IDs() {
		g.placer.HandleReport(now, id, 1, now, placer.Report{Sequence: 1, LoadedModels: []directory.LoadedModel{{Model: fmt.Sprint("m", i%300)}}})
	}
	return g
}

// BenchmarkSize measures the recurring work of an instance by fleet size.
//
// Republishing with 300 instances and 3,000 engines sent 368,154 bytes to each
// instance every 2 s before it was split into batches, and 19,490 after, without the
// list of all servers.
func BenchmarkSize(b *testing.B) {
	for _, s := range []struct{ instances, engines int }{{30, 300}, {100, 1000}, {300, 3000}} {
		g := newGatewayOfSize(b, s.instances, s.engines)
		run := func(name string, f func()) {
			b.Run(fmt.Sprintf("instances=%d/%s", s.instances, name), func(b *testing.B) {
				for b.Loop() {
					f()
				}
			})
		}
		whole := g.publishServers(boottime.Now())
		run("look-around", func() { g.refreshState(boottime.Now()) })
		run("heartbeat", func() { g.encode(packet{Heartbeat: g.newHeartbeat(boottime.Now())}) })
		run("publish-no-change", func() {
			g.publisher.republisher.lastAt, g.publisher.flushedAt = boottime.Now(), 0
			g.publishServers(boottime.Now())
		})
		run("plan", func() { g.plan(boottime.Now(), placer.ScopeFleet) })
		run("pick", func() {
			g.servers.Pick(boottime.Now(), directory.Requirements{Group: "llm", Model: "m7", Zone: "z0"})
		})
		b.Run(fmt.Sprintf("instances=%d/feedback", s.instances), func(b *testing.B) {
			id := g.servers.IDs()[0]
			g.servers.RecordLimit(id, 1, serverlimit.Statement{Limited: true, PerSecond: 3.1, At: boottime.Now()})
			var out []outgoing
			for b.Loop() {
				out = g.feedbackToAll(boottime.Now(), g.servers.Get(id))
			}
			b.ReportMetric(float64(len(out[len(out)-1].body)), "bytes")
		})
		b.Run(fmt.Sprintf("instances=%d/repeat", s.instances), func(b *testing.B) {
			var out []outgoing
			for b.Loop() {
				g.publisher.republisher.lastAt = 0
				out = g.publishServers(boottime.Now())
			}
			b.ReportMetric(float64(bytesPerRecipient(out)), "bytes")
			b.ReportMetric(float64(bytesPerRecipient(whole)), "bytes-of-all")
		})
	}
}

// bytesPerRecipient returns how many bytes one recipient gets.
func bytesPerRecipient(out []outgoing) int {
	n := 0
	for _, m := range out {
		if len(m.recipients) > 0 {
			n += len(m.body)
		}
	}
	return n
}
