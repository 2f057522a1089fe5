package fleet

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// artifactSpec is a call of an artifact by account b; n tells calls apart.
func artifactSpec(a id.Artifact, n int) Spec {
	return Spec{Account: "b", Artifact: a, PromptTokens: 10, OutputTokens: 20, Timeout: 25 * time.Second, Body: fmt.Sprint(a, n)}
}

// onLoadDecision calls decide when a transaction that stores a decision to load
// reaches the table.
func (f *Fleet) onLoadDecision(decide func(n *Node) CommitFault) {
	f.Table.OnCommit = func(n *Node, writes []table.Write) CommitFault {
		for _, w := range writes {
			if r, ok := w.Body.(table.Replica); ok && len(r.Decided) > 0 {
				return decide(n)
			}
		}
		return NoFault
	}
}

// TestBurstForColdModel: several requests for a model that is not loaded arrive
// at each of the nine instances at the same time. The instances of a zone ask
// the owner of the queue of the zone, which sees all the demand and decides on
// one load. All calls are answered, after one load in each zone.
func TestBurstForColdModel(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newReadyFleet(t, 100+seed, nil)
			for n := range 5 {
				for _, node := range f.Nodes {
					f.Call(node, artifactSpec("m2", n))
				}
			}
			f.Run(26 * time.Second)
			wantCompleted(t, f.Calls...)
			for _, z := range f.zones {
				if n := f.loadCount(z); n != 1 {
					t.Errorf("%d loads in %s, want 1", n, z)
				}
			}
			wantNoViolations(t, f)
		})
	}
}

// TestEngineOrdersUnderFaults: orders to load and unload are lost, duplicated or
// late, or their replies are lost, at engines that check fencing numbers and at
// engines that do not, while more models are called in turn than fit into
// memory. A reservation must stay until a report of the engine, read after the
// order can no longer arrive, shows what became of it; otherwise the memory or
// the allowed number of replicas could be exceeded. Callers may have to wait
// longer.
func TestEngineOrdersUnderFaults(t *testing.T) {
	t.Parallel()
	faults := []struct {
		name string
		set  func(s *Server)
	}{
		{"lost", func(s *Server) { s.LostOrderRate = 0.4 }},
		{"reply lost", func(s *Server) { s.LostReplyRate = 0.5 }},
		{"late", func(s *Server) { s.DelayedOrderRate, s.MaxOrderDelay = 0.5, 4*time.Second }},
		{"duplicated", func(s *Server) { s.DuplicateOrderRate, s.MaxOrderDelay = 0.5, 4*time.Second }},
		{"all", func(s *Server) {
			s.LostOrderRate, s.LostReplyRate, s.DelayedOrderRate, s.DuplicateOrderRate, s.MaxOrderDelay = 0.2, 0.2, 0.2, 0.2, 4*time.Second
		}},
	}
	for _, fault := range faults {
		for _, fencing := range []bool{true, false} {
			t.Run(fmt.Sprint(fault.name, " fencing ", fencing), func(t *testing.T) {
				t.Parallel()
				f := newReadyFleet(t, 51, func(s *Settings) { s.EnginesPerZone = 1; ignoreFencing(s, !fencing) })
				for _, s := range f.Servers {
					fault.set(s)
				}
				f.callModelsInTurn(80*time.Second, 700*time.Millisecond)
				f.Heal()
				f.Run(30 * time.Second)
				wantNoViolations(t, f)
				last := f.Call(f.Nodes[0], artifactSpec("m0", 999))
				f.Run(26 * time.Second)
				wantCompleted(t, last)
			})
		}
	}
}

// ignoreFencing makes engines ignore fencing numbers, or check them, and
// configures their group accordingly.
func ignoreFencing(s *Settings, ignore bool) {
	s.IgnoreFencing = ignore
	g := s.Config.Groups["workers"]
	g.ChecksFencing = !ignore
	s.Config.Groups["workers"] = g
}

// callModelsInTurn calls all four models in turn, eight calls each, through all
// instances.
func (f *Fleet) callModelsInTurn(length, gap time.Duration) {
	f.repeat(gap, length, func(n int) {
		f.Call(f.Nodes[n%len(f.Nodes)], artifactSpec(id.Artifact(fmt.Sprint("m", n/8%4)), n))
	})
}

// TestUnloadAndReload: four models are called in quick turns in zones whose one
// engine holds two. Each turn unloads one model and loads another; sometimes a
// model is needed again while it is still being unloaded. Memory is never
// exceeded, and nine tenths of the calls are answered.
func TestUnloadAndReload(t *testing.T) {
	t.Parallel()
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprint("fencing ", fencing), func(t *testing.T) {
			f := newReadyFleet(t, 52, func(s *Settings) { s.EnginesPerZone = 1; ignoreFencing(s, !fencing) })
			f.callModelsInTurn(2*time.Minute, 500*time.Millisecond)
			f.Run(30 * time.Second)
			completed := 0
			for _, c := range f.Calls {
				if c.Completed {
					completed++
				}
			}
			if completed < len(f.Calls)*9/10 {
				t.Errorf("%d of %d calls were answered", completed, len(f.Calls))
			}
			if n := f.loadCount("za"); n < 8 {
				t.Errorf("%d loads, want at least 8", n)
			}
			wantNoViolations(t, f)
		})
	}
}

// TestEngineOwnerKilled: the instance that owns an engine is killed after its
// decision to load was written and before it sent the order, or during the load.
// Calls wait at the other instances of the zone. One of these takes over the
// engine, finds the reservation, reads the report of the engine, and orders the
// load unless it is in progress. The calls are answered after one load.
func TestEngineOwnerKilled(t *testing.T) {
	t.Parallel()
	for _, when := range []string{"before the order", "during the load"} {
		for _, fencing := range []bool{true, false} {
			t.Run(fmt.Sprint(when, " fencing ", fencing), func(t *testing.T) {
				f := newReadyFleet(t, 53, func(s *Settings) { ignoreFencing(s, !fencing) })
				owner := f.loadingOwner(t, "za")
				f.onLoadDecision(func(n *Node) CommitFault {
					if n != owner {
						return NoFault
					}
					f.Table.OnCommit = nil
					if when == "before the order" {
						n.Kill()
					} else {
						f.schedule(500*time.Millisecond, n.Kill)
					}
					return NoFault
				})
				for _, n := range f.zoneNodes("za") {
					if n != owner {
						f.Call(n, artifactSpec("m3", 1))
					}
				}
				f.Run(26 * time.Second)
				if owner.Running() {
					t.Fatal("the owner was not killed: it wrote no decision")
				}
				wantCompleted(t, f.Calls...)
				if n := f.loadCount("za"); n != 1 {
					t.Errorf("%d loads, want 1", n)
				}
				wantNoViolations(t, f)
			})
		}
	}
}

// loadingOwner returns the node that decides on loads of m3 in a zone. It finds
// it in a run of a second fleet with the same seed.
func (f *Fleet) loadingOwner(t *testing.T, z id.Zone) *Node {
	t.Helper()
	probe := newReadyFleet(t, f.Seed, func(s *Settings) { ignoreFencing(s, f.IgnoreFencing) })
	name := ""
	probe.onLoadDecision(func(n *Node) CommitFault {
		if name == "" && n.Zone == z {
			name = n.Name
		}
		return NoFault
	})
	for _, n := range probe.zoneNodes(z) {
		probe.Call(n, artifactSpec("m3", 1))
	}
	probe.Run(10 * time.Second)
	for _, n := range f.Nodes {
		if n.Name == name {
			return n
		}
	}
	t.Skip("no load was decided in the table: the model has a pre-authorised place")
	return nil
}

// TestIsolatedZoneLoadsOneReplica: many requests for a model that is not loaded
// arrive in an isolated zone. Its pre-authorised replica is loaded without the
// table. A second replica would need the table, so none is loaded, although the
// configuration allows two and the demand would justify it.
func TestIsolatedZoneLoadsOneReplica(t *testing.T) {
	t.Parallel()
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprint("fencing ", fencing), func(t *testing.T) {
			f := newReadyFleet(t, 54, func(s *Settings) {
				ignoreFencing(s, !fencing)
				a := s.Config.Artifacts["m2"]
				a.MaxReplicas = 2
				s.Config.Artifacts["m2"] = a
			})
			f.Run(10 * time.Second)
			f.Network.SetIsolated("za", true)
			f.Run(2 * time.Second)
			nodes := f.zoneNodes("za")
			f.repeat(200*time.Millisecond, time.Minute, func(n int) { f.Call(nodes[n%3], artifactSpec("m2", n)) })
			f.Run(26 * time.Second)
			wantCompleted(t, f.Calls...)
			if n := f.loadCount("za"); n != 1 {
				t.Errorf("%d loads in the isolated zone, want 1", n)
			}
			f.Heal()
			f.Run(10 * time.Second)
			wantNoViolations(t, f)
		})
	}
}

// TestIsolatedZoneSwapsStandby: each of the four models is called in turn in an
// isolated zone. The zone loads and unloads pre-authorised replicas within its
// memory, at most one of each model, and answers all calls.
func TestIsolatedZoneSwapsStandby(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 55, nil)
	f.Run(10 * time.Second)
	f.Network.SetIsolated("zb", true)
	f.Run(2 * time.Second)
	nodes := f.zoneNodes("zb")
	f.repeat(time.Second, 80*time.Second, func(n int) {
		f.Call(nodes[n%3], artifactSpec(id.Artifact(fmt.Sprint("m", n/10%4)), n))
	})
	f.Run(26 * time.Second)
	wantCompleted(t, f.Calls...)
	f.Heal()
	f.Run(10 * time.Second)
	wantNoViolations(t, f)
}

// TestEngineCrashesDuringLoad: an engine crashes while it loads a model, and so
// does the next one. Waiting calls are kept: another engine loads the model, or
// the same one after its restart.
func TestEngineCrashesDuringLoad(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 56, nil)
	c := f.Call(f.Nodes[0], artifactSpec("m1", 1))
	for range 2 {
		f.waitFor(t, "an engine loads", 20*time.Second, func() bool { return f.crashWhileLoading("za", "m1") })
		f.Run(time.Second)
	}
	f.Run(26 * time.Second)
	wantCompleted(t, c)
	wantNoViolations(t, f)
}

// crashWhileLoading crashes an engine of a zone that is loading an artifact, and
// reports whether there was one.
func (f *Fleet) crashWhileLoading(z id.Zone, a id.Artifact) bool {
	for _, s := range f.zoneServers(z, "workers") {
		if h := s.artifacts[a]; h != nil && h.state == message.Loading {
			s.Crash()
			return true
		}
	}
	return false
}

// TestPlacementChecksDetectViolations: engines that free no memory are ordered
// to load more than fits, and a fleet configured for two replicas exceeds a
// check that allows one.
func TestPlacementChecksDetectViolations(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 57, func(s *Settings) { s.EnginesPerZone = 1 })
	for _, s := range f.Servers {
		s.LeaksMemory = true
	}
	f.Run(15 * time.Second)
	f.callModelsInTurn(60*time.Second, 500*time.Millisecond)
	wantViolation(t, f, "engines freed no memory")

	f = newReadyFleet(t, 58, func(s *Settings) {
		m := s.Config.Artifacts["m0"]
		m.MaxReplicas = 2
		s.Config.Artifacts["m0"] = m
	})
	f.Config = Clone(f.Config)
	m := f.Config.Artifacts["m0"]
	m.MaxReplicas = 1
	f.Config.Artifacts["m0"] = m
	f.repeat(20*time.Millisecond, 20*time.Second, func(n int) { f.Call(f.Nodes[n%9], artifactSpec("m0", n)) })
	wantViolation(t, f, "two replicas were loaded where the check counts one")
}
