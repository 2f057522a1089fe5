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

// benchmarkSizes are the numbers of artifacts and backend servers.
var benchmarkSizes = []struct{ artifacts, backends int }{
	{10, 3}, {100, 3}, {1000, 3}, {10, 100}, {100, 100}, {1000, 100},
}

// newLargeZone returns a zone with one instance. Each backend server has memory
// for two artifacts and up to 20 checkpoints on disk.
func newLargeZone(artifacts, backends int) (*sim, *node) {
	s := newSim(1, 1, backends, true, 0.5)
	s.cfg = testConfig(artifacts, true)
	n := s.nodes[0]
	n.handle(func(out *event.Outbox) { n.placement.Configure(s.now, s.cfg, out) })
	for i, b := range s.backends {
		eng := s.engines[b]
		eng.busy = true
		for j := range min(artifacts, 20) {
			eng.cached[id.Artifact(fmt.Sprintf("m%03d", (i*20+j)%artifacts))] = message.CacheDisk
		}
	}
	s.run(20 * time.Second)
	return s, n
}

func forEachSize(b *testing.B, run func(b *testing.B, s *sim, n *node)) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprintf("artifacts=%d/backends=%d", size.artifacts, size.backends), func(b *testing.B) {
			s, n := newLargeZone(size.artifacts, size.backends)
			b.ReportAllocs()
			run(b, s, n)
		})
	}
}

func BenchmarkHandleReport(b *testing.B) {
	forEachSize(b, func(b *testing.B, s *sim, n *node) {
		r := event.BackendReport{Backend: "b000", OK: true, Report: s.engines["b000"].currentReport()}
		var out event.Outbox
		for b.Loop() {
			s.now = s.now.Add(time.Millisecond)
			r.RequestedAt = s.now
			n.placement.HandleReport(s.now, r, &out)
			out.Take()
		}
	})
}

func BenchmarkTick(b *testing.B) {
	forEachSize(b, func(b *testing.B, s *sim, n *node) {
		var out event.Outbox
		for b.Loop() {
			s.now = s.now.Add(tickInterval)
			n.placement.Tick(s.now, &out)
			out.Take()
		}
	})
}

// BenchmarkSetDemand spreads the demands over all artifacts. Most calls repeat
// a demand that was handled a moment before, as in a burst.
func BenchmarkSetDemand(b *testing.B) {
	forEachSize(b, func(b *testing.B, s *sim, n *node) {
		var out event.Outbox
		i := 0
		for b.Loop() {
			i++
			s.now = s.now.Add(10 * time.Microsecond)
			a := id.Artifact(fmt.Sprintf("m%03d", i%len(s.cfg.Artifacts)))
			n.placement.SetDemand(s.now, Demand{Artifact: a, Class: config.Interactive, TimeToDeadline: time.Minute, Waiting: 4}, &out)
			out.Take()
		}
	})
}

// BenchmarkPick chooses a backend server in every call.
func BenchmarkPick(b *testing.B) {
	forEachSize(b, func(b *testing.B, s *sim, n *node) {
		artifact := s.cfg.Artifacts["m001"]
		for b.Loop() {
			n.placement.pick(artifact, "")
		}
	})
}

func BenchmarkReplicas(b *testing.B) {
	forEachSize(b, func(b *testing.B, s *sim, n *node) {
		for b.Loop() {
			n.placement.Replicas("m001")
		}
	})
}

func BenchmarkHeldReplicas(b *testing.B) {
	forEachSize(b, func(b *testing.B, s *sim, n *node) {
		s.demandFor(5*time.Second, "m001")
		s.run(time.Second)
		if len(n.placement.HeldReplicas("m001")) == 0 {
			b.Fatal("m001 is not loaded")
		}
		for b.Loop() {
			n.placement.HeldReplicas("m001")
		}
	})
}

// BenchmarkLoad runs a whole load, from the demand to the report that shows it,
// including the simulation around it.
func BenchmarkLoad(b *testing.B) {
	var out event.Outbox
	for b.Loop() {
		s := newSim(1, 1, 1, true, -1)
		s.run(time.Second)
		s.demandFor(5*time.Second, "m000")
		s.nodes[0].placement.Tick(s.now, &out)
	}
}
