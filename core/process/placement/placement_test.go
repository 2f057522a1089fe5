package placement

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/keepalive"
	"oleanderdale.org/core/table"
)

// newSettledZone returns a zone with three instances and three backend servers.
// The engines always run a request on every loaded artifact, so that none is
// unloaded for being idle.
func newSettledZone(checksFencing bool, standbyShare float64) *sim {
	s := newSim(1, 3, 3, checksFencing, standbyShare)
	for _, b := range s.backends {
		s.engines[b].busy = true
	}
	s.run(6 * time.Second)
	return s
}

func TestBurstOfDemandsCausesOneLoad(t *testing.T) {
	// A burst of requests for a cold model arrives at all instances of the
	// zone, and each instance demands the model many times. Exactly one load
	// must be decided and ordered, and every instance must see the model as
	// loaded.
	for _, share := range []float64{-1, 0.5} {
		s := newSettledZone(true, share)
		for range 30 {
			for range 20 {
				s.demandAll("m000")
			}
			s.run(100 * time.Millisecond)
		}
		if len(s.loads) != 1 || len(s.loadedAt("m000")) != 1 || len(s.violations) > 0 {
			t.Fatalf("loads %v, violations %v, transactions %d", s.loads, s.violations, s.transactions)
		}
		for _, n := range s.nodes {
			if found := countLoaded(n.placement.Replicas("m000")); found != 1 ||
				len(n.placement.HeldReplicas("m000")) != 1 || n.placement.EstimateReadyIn("m000") != 0 {
				t.Errorf("%s sees %d loaded replicas, want 1; estimate %v, want 0", n.name, found, n.placement.EstimateReadyIn("m000"))
			}
		}
	}
}

func (s *sim) demandAll(a id.Artifact) {
	for _, n := range s.nodes {
		s.demand(n, a)
	}
}

func countLoaded(replicas []Replica) int {
	found := 0
	for _, r := range replicas {
		if r.State == message.Loaded {
			found++
		}
	}
	return found
}

// onFirstEffect calls do at the first effect that matches. The effect is
// dropped if do returns true.
func (s *sim) onFirstEffect(match func(event.Effect) bool, do func(n *node) bool) {
	s.intercept = func(n *node, e event.Effect) bool {
		if !match(e) {
			return false
		}
		s.intercept = nil
		return do(n)
	}
}

func isLoadOrder(e event.Effect) bool {
	o, ok := e.(event.OrderBackend)
	return ok && o.Kind == event.OrderLoad
}

func isLoadCommit(e event.Effect) bool {
	c, ok := e.(event.TableCommit)
	if !ok {
		return false
	}
	row, ok := c.Writes[0].Body.(table.Backend)
	return ok && len(row.Reservations) > 0
}

func TestLoadedOnceDespiteFaults(t *testing.T) {
	// A request waits for a cold model while one fault occurs between the
	// decision and the engine. In the end the model must be loaded once, on one
	// engine: the decision is found in the table and carried on, and orders
	// that may be under way stay counted.
	for name, tc := range map[string]struct {
		checks bool
		share  float64
		fault  func(s *sim)
	}{
		"owner crashes between decision and order": {true, -1, func(s *sim) {
			s.onFirstEffect(isLoadOrder, func(n *node) bool { s.kill(n); return true })
		}},
		"owner crashes between decision and order, fencing ignored": {false, -1, func(s *sim) {
			s.onFirstEffect(isLoadOrder, func(n *node) bool { s.kill(n); return true })
		}},
		"owner crashes during the load": {true, -1, func(s *sim) {
			s.onFirstEffect(isLoadOrder, func(n *node) bool {
				s.after(60*time.Millisecond, func() { s.kill(n) })
				return false
			})
		}},
		"owner crashes during a standby load": {true, 0.5, func(s *sim) {
			s.onFirstEffect(isLoadOrder, func(n *node) bool {
				s.after(60*time.Millisecond, func() { s.kill(n) })
				return false
			})
		}},
		"order is lost": {true, -1, func(s *sim) {
			s.onFirstEffect(isLoadOrder, func(*node) bool { return true })
		}},
		"result of the decision is lost": {true, -1, func(s *sim) {
			s.onFirstEffect(isLoadCommit, func(n *node) bool {
				s.faultRates.tableResultLost = 1
				s.after(100*time.Millisecond, func() { s.faultRates.tableResultLost = 0 })
				return false
			})
		}},
		"decision takes effect late": {true, -1, func(s *sim) {
			s.onFirstEffect(isLoadCommit, func(n *node) bool {
				s.faultRates.tableWriteLate = 1
				s.after(100*time.Millisecond, func() { s.faultRates.tableWriteLate = 0 })
				return false
			})
		}},
		"table is temporarily unavailable": {true, -1, func(s *sim) {
			s.tableDown = true
			s.after(5*time.Second, func() { s.tableDown = false })
		}},
		"instances see only themselves": {false, -1, func(s *sim) {
			for _, n := range s.nodes {
				n.isolated = true
			}
		}},
		"planned stop of the owner": {true, -1, func(s *sim) {
			s.onFirstEffect(isLoadCommit, func(n *node) bool {
				s.after(3*time.Millisecond, func() { s.stop(n, s.start("new")) })
				return false
			})
		}},
		"engine saw a larger fencing number than the row": {true, -1, func(s *sim) {
			for _, b := range s.backends {
				s.engines[b].fencing = 99
			}
		}},
		"engine restarts during the load": {true, -1, func(s *sim) {
			s.onFirstEffect(isLoadOrder, func(*node) bool {
				s.after(80*time.Millisecond, func() {
					for _, b := range s.backends {
						s.engines[b].restart()
					}
				})
				return false
			})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSettledZone(tc.checks, tc.share)
			tc.fault(s)
			if !s.demandFor(40*time.Second, "m000") {
				t.Fatalf("m000 is not loaded: rows %v", s.rows)
			}
			s.run(20 * time.Second)
			if got := s.loadedAt("m000"); len(got) != 1 || len(s.violations) > 0 {
				t.Errorf("loaded on %v, violations %v", got, s.violations)
			}
		})
	}
}

func TestAcquireWithLostResultIsDiscovered(t *testing.T) {
	// An instance acquires backend servers, but the results are lost, and
	// before it reads the rows again other instances become the preferred
	// owners. The rows name a live instance, so the others may not acquire
	// them. The instance must discover its ownership itself, or nothing can
	// ever be loaded there.
	s := newSim(1, 0, 3, true, -1)
	s.intercept = func(n *node, e event.Effect) bool {
		c, ok := e.(event.TableCommit)
		if ok {
			s.applyWrites(c.Writes)
			s.after(time.Millisecond, func() {
				n.handle(func(out *event.Outbox) {
					n.placement.HandleTableResult(s.now, event.TableResult{Op: c.Op, Outcome: table.Unknown}, out)
				})
			})
		}
		return ok
	}
	s.start("i0")
	s.run(20 * time.Millisecond)
	s.intercept = nil
	s.start("i1")
	s.start("i2")
	s.run(15 * time.Second)
	for _, b := range s.backends {
		owner := s.rows[backendKey(b)].Body.(table.Backend).Owner
		for _, n := range s.nodes {
			if owns := n.placement.owned[b] != nil; owns != (owner == n.name) {
				t.Errorf("%s owns %s: %v, the row says %s", n.name, b, owns, owner)
			}
		}
	}
}

func TestStandbyLoadsWhileTableIsDown(t *testing.T) {
	// A cold model is requested while the table is unavailable. If the model is
	// pre-authorised, it must be loaded once, without the table, even if its
	// owner changes by a handover meanwhile. Otherwise it must wait.
	for name, tc := range map[string]struct {
		share    float64
		handover bool
		loads    bool
	}{
		"pre-authorised":                {0.5, false, true},
		"not pre-authorised":            {-1, false, false},
		"pre-authorised, owner changes": {0.5, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSettledZone(true, tc.share)
			s.tableDown = true
			if tc.handover {
				for _, n := range s.nodes[:2] {
					s.stop(n, s.nodes[2])
				}
			}
			if got := s.demandFor(40*time.Second, "m000"); got != tc.loads {
				t.Fatalf("loaded %v, want %v", got, tc.loads)
			}
			s.run(10 * time.Second)
			if tc.loads && len(s.loadedAt("m000")) != 1 || len(s.violations) > 0 {
				t.Errorf("loaded on %v, violations %v", s.loadedAt("m000"), s.violations)
			}
		})
	}
}

func TestReservationStaysWhileOrdersMayArrive(t *testing.T) {
	// A model is unloaded while a duplicate of its load order is still under
	// way. The engine ignores fencing numbers and would carry it out. The
	// reservation must therefore stay until no order can arrive any more, or a
	// load elsewhere could exceed the replica limit.
	s := newSettledZone(false, -1)
	s.onFirstEffect(isLoadOrder, func(*node) bool {
		s.faultRates.orderDuplicated = 1
		s.after(100*time.Millisecond, func() { s.faultRates.orderDuplicated = 0 })
		return false
	})
	s.demandFor(10*time.Second, "m000")
	loadedOn := s.loadedAt("m000")[0]
	s.engines[loadedOn].busy = false
	unloadingSince := s.now
	for s.engines[loadedOn].held["m000"].State != Cold {
		s.run(50 * time.Millisecond)
	}
	if s.now.Sub(unloadingSince) > testMaxOrderTime/2 {
		t.Fatal("m000 was unloaded too late for this test")
	}
	s.engines[loadedOn].leaving = false
	row := s.rows[backendKey(loadedOn)].Body.(table.Backend)
	if len(row.Reservations) != 1 {
		t.Fatalf("reservation removed while an order may arrive: row %+v", row)
	}
	s.run(2 * testMaxOrderTime)
	if row = s.rows[backendKey(loadedOn)].Body.(table.Backend); len(row.Reservations) != 0 || len(s.violations) > 0 {
		t.Errorf("after the quiet period: row %+v, violations %v", row, s.violations)
	}
}

func TestLeavingBackendStaysUnavailable(t *testing.T) {
	// A backend server with a loaded model is reclaimed. From the first sign it
	// must get no new work, its model may be loaded elsewhere at once, and an
	// older instance list in which it is live must change nothing.
	for name, leave := range map[string]func(eng *engine){
		"leaving":          func(eng *engine) { eng.leaving = true },
		"not in the list":  func(eng *engine) { eng.unlisted, eng.dead = true, true },
		"leaving and dead": func(eng *engine) { eng.leaving, eng.dead = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSettledZone(true, 0.5)
			s.demandFor(10*time.Second, "m000")
			first := s.loadedAt("m000")[0]
			leave(s.engines[first])
			s.run(11 * time.Second)
			eng := s.engines[first]
			wasUnlisted := eng.unlisted
			delete(eng.held, "m000")
			if !s.demandFor(20*time.Second, "m000") {
				t.Fatal("m000 is not loaded elsewhere")
			}
			eng.leaving, eng.unlisted = false, wasUnlisted
			s.run(5 * time.Second)
			for _, n := range s.nodes {
				for _, r := range n.placement.Replicas("m000") {
					if r.Backend == first && !r.Leaving {
						t.Errorf("%s considers %s live again", n.name, first)
					}
				}
			}
			if loadedOn := s.loadedAt("m000"); len(loadedOn) != 1 || loadedOn[0] == first {
				t.Errorf("loaded on %v, first on %s", loadedOn, first)
			}
		})
	}
}

func TestAdapterIsLoadedWithItsModel(t *testing.T) {
	// An adapter is requested. The engine refuses its requests unless the model
	// is loaded on the same server, so the model must be loaded there first,
	// then the adapter. While the model is loading, the adapter must not count
	// as loaded. The same holds within the pool while the table is unavailable.
	for name, tableDown := range map[string]bool{"table available": false, "table unavailable": true} {
		t.Run(name, func(t *testing.T) {
			s := newSettledZone(true, 0.5)
			s.tableDown = tableDown
			var order []id.Artifact
			s.intercept = func(_ *node, e event.Effect) bool {
				if isLoadOrder(e) {
					order = append(order, e.(event.OrderBackend).Artifact)
				}
				return false
			}
			for s.now.Sub(0) < time.Hour+30*time.Second {
				s.demand(s.nodes[0], "m001:b")
				s.run(50 * time.Millisecond)
				seen := countLoaded(s.nodes[0].placement.HeldReplicas("m001:b"))
				if seen > 0 && len(s.loadedAt("m001")) == 0 {
					t.Fatal("the adapter counts as loaded before its model")
				}
			}
			at, model := s.loadedAt("m001:b"), s.loadedAt("m001")
			if len(at) != 1 || len(model) != 1 || at[0] != model[0] || len(order) != 2 || order[0] != "m001" {
				t.Errorf("adapter on %v, model on %v, orders %v", at, model, order)
			}
		})
	}
}

// setMemory changes the memory of the backend servers.
func (s *sim) setMemory(bytes int64) {
	g := s.cfg.Groups["g"]
	g.MemoryBytes = bytes
	s.cfg.Groups["g"] = g
	for _, n := range s.nodes {
		n.handle(func(out *event.Outbox) { n.placement.Configure(s.now, s.cfg, out) })
	}
}

func TestModelIsEvictedWithItsAdapters(t *testing.T) {
	// The memory is full with an idle model and its adapter, and another model
	// is requested. Both must be evicted, or neither if the adapter is in use.
	for name, busy := range map[string]bool{"idle": false, "adapter in use": true} {
		t.Run(name, func(t *testing.T) {
			s := newSim(1, 1, 1, true, -1)
			s.setMemory(60)
			s.nodes[0].placement.policy = keepalive.Fixed{Duration: time.Hour}
			s.demandFor(20*time.Second, "m001:b")
			s.run(10 * time.Second)
			s.engines["b000"].busy = busy
			s.run(time.Second)
			if got := s.demandFor(20*time.Second, "m003"); got == busy || len(s.loadedAt("m001:b")) == 1 != busy {
				t.Errorf("loaded %v, adapter on %v, violations %v", got, s.loadedAt("m001:b"), s.violations)
			}
		})
	}
}

func TestFencingFreesPoolMemoryAtOnce(t *testing.T) {
	// Two pre-authorised models are requested in turn, and the pool has memory
	// for one. As the engine checks fencing numbers, the memory of the first
	// must be reassigned at once instead of after the maximum order time.
	s := newSim(1, 1, 1, true, 1)
	s.setMemory(50)
	s.run(12 * time.Second)
	for _, a := range []id.Artifact{"m000", "m002", "m000"} {
		start := s.now
		if !s.demandFor(testMaxOrderTime, a) || s.now.Sub(start) > testMaxOrderTime/2 {
			t.Errorf("%s took %v, violations %v", a, s.now.Sub(start), s.violations)
		}
	}
}

func TestStandbyIsAssignedOnDemand(t *testing.T) {
	// Most artifacts have no standby right, as too many are configured, and the
	// pool takes all memory. A cold artifact must get the right where it is
	// loaded.
	s := newSim(1, 3, 3, true, 1)
	s.cfg = testConfig(maxArtifactsAllStandby+1, true)
	s.setMemory(50)
	s.run(12 * time.Second)
	if !s.demandFor(testMaxOrderTime, "m300") || len(s.violations) > 0 {
		t.Errorf("m300 is not loaded, violations %v", s.violations)
	}
}

func TestExpiredLeaseSendsNoOrders(t *testing.T) {
	// An instance is suspended, its lease expires, and it continues. It must
	// send no more orders, although it still considers itself the owner of
	// backend servers.
	s := newSettledZone(true, 0.5)
	for _, n := range s.nodes {
		n.leaseExpired = true
	}
	s.intercept = func(_ *node, e event.Effect) bool {
		if _, ok := e.(event.OrderBackend); ok {
			t.Errorf("order sent with an expired lease: %+v", e)
		}
		return false
	}
	s.demandFor(5*time.Second, "m000")
}

func TestWeightStoreServesTheMostUrgentFirst(t *testing.T) {
	// Batch requests and a technician's requests wait for cold models of the
	// same zone, and the weight store runs one load at a time. Interactive
	// loads must come first, the one with the earlier deadline before the
	// other.
	s := newSettledZone(true, -1)
	s.cfg.Fleet.LoadsAtOnce = 1
	var order []id.Artifact
	s.intercept = func(_ *node, e event.Effect) bool {
		if o, ok := e.(event.OrderBackend); ok && o.Kind == event.OrderLoad {
			order = append(order, o.Artifact)
		}
		return false
	}
	n := s.nodes[0]
	for _, m := range s.nodes[1:] { // one owner, so that no messages are needed
		m.leaseExpired, m.sessionEnded = true, true
	}
	s.run(5 * time.Second)
	n.handle(func(out *event.Outbox) { n.placement.Configure(s.now, s.cfg, out) })
	n.placement.weightStore.nextStartAt = s.now.Add(time.Second)
	for range 60 {
		for _, d := range []Demand{
			{"m002", config.Batch, time.Hour, 9}, {"m004", config.Interactive, time.Minute, 1},
			{"m000", config.Interactive, time.Second, 1},
		} {
			n.handle(func(out *event.Outbox) { n.placement.SetDemand(s.now, d, out) })
		}
		s.run(100 * time.Millisecond)
	}
	want := []id.Artifact{"m000", "m004", "m002"}
	if len(order) != 3 || order[0] != want[0] || order[1] != want[1] || order[2] != want[2] {
		t.Errorf("orders %v, want %v", order, want)
	}
}

func TestRequestForLeavingBackendBlocksNoOthers(t *testing.T) {
	// An urgent load waits for the weight store when its backend server starts
	// to leave, and its callers go elsewhere. The load request that stays
	// behind once blocked all less urgent ones permanently, and their models
	// stayed cold.
	s := newSettledZone(true, -1)
	n := s.nodes[0]
	for _, m := range s.nodes[1:] {
		m.leaseExpired, m.sessionEnded = true, true
	}
	s.run(5 * time.Second)
	n.placement.weightStore.nextStartAt = s.now.Add(time.Second)
	n.handle(func(out *event.Outbox) {
		n.placement.HandleMessage(s.now, n.name, message.LoadRequest{Backend: "b000", Artifact: "m000", Class: config.Urgent, TimeToDeadline: time.Hour}, out)
	})
	s.run(200 * time.Millisecond)
	if req := n.placement.owned["b000"].loadRequests["m000"]; req == nil || req.storeWaitAt == 0 {
		t.Fatal("the urgent load does not wait for the weight store")
	}
	s.engines["b000"].leaving = true
	s.run(time.Second)
	if !s.demandFor(10*time.Second, "m002") {
		t.Error("m002 is not loaded")
	}
}

func TestBatchLoadWaitsForUrgentLoadInOtherZone(t *testing.T) {
	// Another zone reports that an interactive load waits there for the weight
	// store. A batch load here must wait, until messages from that zone have
	// stopped.
	s := newSettledZone(true, -1)
	n := s.nodes[0]
	req := &loadRequest{artifact: "m000", class: config.Batch, expiresAt: clock.Never}
	o := n.placement.owned[n.placement.ownedNames[0]]
	n.placement.HandleMessage(s.now, "far", message.LoadsInTransit{Models: 1, MostUrgent: config.Interactive}, &event.Outbox{})
	if n.placement.weightStore.tryStart(n.placement, o, req, s.now) {
		t.Error("batch load started before an interactive one in another zone")
	}
	s.run(loadsTTL + time.Second)
	if !n.placement.weightStore.tryStart(n.placement, o, req, s.now) {
		t.Error("batch load waits for a zone that no longer sends messages")
	}
}
