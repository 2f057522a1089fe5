package fleet

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

func artifactSpec(a id.Artifact, n int) Spec {
	return Spec{Account: "b", Artifact: a, PromptTokens: 10, OutputTokens: 20, Timeout: 25 * time.Second, Body: fmt.Sprint(a, n)}
}

// decisions runs do when a transaction that decides a load reaches the table.
func (f *Fleet) onLoadDecision(do func(n *Node) CommitFault) {
	f.Table.OnCommit = func(n *Node, writes []table.Write) CommitFault {
		for _, w := range writes {
			if r, ok := w.Body.(table.Replica); ok && len(r.Decided) > 0 {
				return do(n)
			}
		}
		return NoFault
	}
}

// TestBurstForColdModel: requests for one cold model arrive at all nine
// instances in the same moment, several at each. Each zone serves its own: the
// entries ask the owner of the zone's queue, which sees one demand and decides
// one load. All are answered, and the engines of each zone load once.
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

// TestOrdersUnderFaults: orders to load and unload are lost, doubled, late, or
// their answers are, at engines that check fencing numbers and at such that
// don't, while five artifacts take turns in memory that holds fewer. The caller
// may wait longer. A reservation stays until the engine's own report, read after
// the order can no longer arrive, shows what became of it, so that neither
// memory nor the decided number of replicas is exceeded.
func TestEngineOrdersUnderFaults(t *testing.T) {
	t.Parallel()
	faults := []struct {
		name string
		set  func(s *Server)
	}{
		{"lost", func(s *Server) { s.LostOrderRate = 0.4 }},
		{"answer lost", func(s *Server) { s.LostReplyRate = 0.5 }},
		{"late", func(s *Server) { s.DelayedOrderRate, s.MaxOrderDelay = 0.5, 4*time.Second }},
		{"doubled", func(s *Server) { s.DuplicateOrderRate, s.MaxOrderDelay = 0.5, 4*time.Second }},
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

// ignoreFencing makes the engines ignore fencing numbers, and says so in the
// configuration.
func ignoreFencing(s *Settings, ignore bool) {
	s.IgnoreFencing = ignore
	g := s.Config.Groups["workers"]
	g.ChecksFencing = !ignore
	s.Config.Groups["workers"] = g
}

// turns calls for all models in turn, through all instances.
func (f *Fleet) callModelsInTurn(length, gap time.Duration) {
	f.repeat(gap, length, func(n int) {
		f.Call(f.Nodes[n%len(f.Nodes)], artifactSpec(id.Artifact(fmt.Sprint("m", n/8%4)), n))
	})
}

// TestUnloadAndReload: four models take quick turns at zones whose one engine
// holds two. Each turn unloads one and loads another; at times a model is wanted
// again while its unloading is under way. Memory holds, and callers are answered.
func TestUnloadAndReload(t *testing.T) {
	t.Parallel()
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprint("fencing ", fencing), func(t *testing.T) {
			f := newReadyFleet(t, 52, func(s *Settings) { s.EnginesPerZone = 1; ignoreFencing(s, !fencing) })
			f.callModelsInTurn(2*time.Minute, 500*time.Millisecond)
			f.Run(30 * time.Second)
			whole := 0
			for _, c := range f.Calls {
				if c.Completed {
					whole++
				}
			}
			if whole < len(f.Calls)*9/10 {
				t.Errorf("%d of %d calls were answered", whole, len(f.Calls))
			}
			if n := f.loadCount("za"); n < 8 {
				t.Errorf("%d loads: the models did not take turns", n)
			}
			wantNoViolations(t, f)
		})
	}
}

// TestOwnerKilled: the instance that owns an engine dies after its decision to
// load was written and before the order went out, or while the engine loads. The
// call came in elsewhere in the zone and waits. Another instance takes the engine
// over, finds the reservation, reads the engine's report, and orders the load if
// it is not under way. The caller is answered, after one load.
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
					t.Fatal("the owner was to die: no decision was seen")
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

// ownerInZone finds the node that decides loads of m3 in a zone, on a second
// fleet with the same seed.
func (f *Fleet) loadingOwner(t *testing.T, z id.Zone) *Node {
	t.Helper()
	twin := newReadyFleet(t, f.Seed, func(s *Settings) { ignoreFencing(s, f.IgnoreFencing) })
	name := ""
	twin.onLoadDecision(func(n *Node) CommitFault {
		if name == "" && n.Zone == z {
			name = n.Name
		}
		return NoFault
	})
	for _, n := range twin.zoneNodes(z) {
		twin.Call(n, artifactSpec("m3", 1))
	}
	twin.Run(10 * time.Second)
	for _, n := range f.Nodes {
		if n.Name == name {
			return n
		}
	}
	t.Skip("no load was decided in the table: the model stood by")
	return nil
}

// TestCutZoneLoadsOneReplica: a zone is cut off from the others and from the
// table, and many requests for a cold model arrive in it. Its pre-authorised
// replica is loaded without the table. A second one would need the table, so
// there is none, though the model may have two and the demand asks for it.
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
				t.Errorf("%d loads in the cut-off zone, want 1", n)
			}
			f.Heal()
			f.Run(10 * time.Second)
			wantNoViolations(t, f)
		})
	}
}

// TestCutZoneSwapsStandby: a cut-off zone is asked for each of its four models
// in turn. It loads and unloads among the pre-authorised ones, within memory,
// never more than one replica of each, and answers.
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

// TestLoadDies: the engine dies while it loads, and again during the next load.
// What waits is not dropped: another engine loads, or the same one when it is
// back, and the callers are answered.
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

// crashLoading crashes an engine of a zone that loads an artifact.
func (f *Fleet) crashWhileLoading(z id.Zone, a id.Artifact) bool {
	for _, s := range f.zoneServers(z, "workers") {
		if h := s.artifacts[a]; h != nil && h.state == message.Loading {
			s.Crash()
			return true
		}
	}
	return false
}

// TestPlacementChecksFire shows that the checks at the engines can fail: engines
// that free no memory are ordered to load more than they hold, and a core that
// may decide two replicas loads more than a check that allows one.
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
