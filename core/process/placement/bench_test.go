package placement

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// sizes are artifacts and backend servers.
var sizes = []struct{ artifacts, backends int }{
	{10, 3}, {100, 3}, {1000, 3}, {10, 100}, {100, 100}, {1000, 100},
}

// large is a zone with one instance, whose backend servers each hold two
// artifacts and have all of their zone's checkpoints on disk.
func large(artifacts, backends int) (*sim, *node) {
	s := newSim(1, 1, backends, true, 0.5)
	s.cfg = testConfig(artifacts, true)
	n := s.nodes[0]
	n.do(func(out *event.Outbox) { n.p.Configure(s.now, s.cfg, out) })
	for i, b := range s.names {
		g := s.engines[b]
		g.busy = true
		for j := range min(artifacts, 20) {
			g.cached[id.Artifact(fmt.Sprintf("m%03d", (i*20+j)%artifacts))] = message.CacheDisk
		}
	}
	s.run(20 * time.Second)
	return s, n
}

func eachSize(b *testing.B, run func(b *testing.B, s *sim, n *node)) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("artifacts=%d/backends=%d", size.artifacts, size.backends), func(b *testing.B) {
			s, n := large(size.artifacts, size.backends)
			b.ReportAllocs()
			run(b, s, n)
		})
	}
}

func BenchmarkReport(b *testing.B) {
	eachSize(b, func(b *testing.B, s *sim, n *node) {
		r := event.BackendReport{Backend: "b000", OK: true, Report: s.engines["b000"].show()}
		var out event.Outbox
		for b.Loop() {
			s.now = s.now.Add(time.Millisecond)
			r.RequestedAt = s.now
			n.p.Report(s.now, r, &out)
			out.Take()
		}
	})
}

func BenchmarkTick(b *testing.B) {
	eachSize(b, func(b *testing.B, s *sim, n *node) {
		var out event.Outbox
		for b.Loop() {
			s.now = s.now.Add(tickEvery)
			n.p.Tick(s.now, &out)
			out.Take()
		}
	})
}

// BenchmarkDemand spreads demands over all artifacts, so that all but a few
// repeat one that was answered a moment ago, as in a burst.
func BenchmarkDemand(b *testing.B) {
	eachSize(b, func(b *testing.B, s *sim, n *node) {
		var out event.Outbox
		i := 0
		for b.Loop() {
			i++
			s.now = s.now.Add(10 * time.Microsecond)
			a := id.Artifact(fmt.Sprintf("m%03d", i%len(s.cfg.Artifacts)))
			n.p.Demand(s.now, Demand{Artifact: a, Class: config.Interactive, Within: time.Minute, Waiting: 4}, &out)
			out.Take()
		}
	})
}

// BenchmarkPick decides anew with each call.
func BenchmarkPick(b *testing.B) {
	eachSize(b, func(b *testing.B, s *sim, n *node) {
		c := s.cfg.Artifacts["m001"]
		for b.Loop() {
			n.p.pick(c, "")
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	eachSize(b, func(b *testing.B, s *sim, n *node) {
		for b.Loop() {
			n.p.Snapshot("m001")
		}
	})
}

func BenchmarkHeld(b *testing.B) {
	eachSize(b, func(b *testing.B, s *sim, n *node) {
		s.demandFor(5*time.Second, "m001")
		s.run(time.Second)
		if len(n.p.Held("m001")) == 0 {
			b.Fatal("not loaded")
		}
		for b.Loop() {
			n.p.Held("m001")
		}
	})
}

// BenchmarkLoad runs a whole load, from the demand to the report that shows it,
// with the fakes around it.
func BenchmarkLoad(b *testing.B) {
	var out event.Outbox
	for b.Loop() {
		s := newSim(1, 1, 1, true, -1)
		s.run(time.Second)
		s.demandFor(5*time.Second, "m000")
		s.nodes[0].p.Tick(s.now, &out)
	}
}
