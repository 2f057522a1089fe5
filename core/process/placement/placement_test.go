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

// settled is a zone with three instances and three backend servers that run a
// request on whatever is loaded, so that nothing is unloaded for being idle.
func settled(checks bool, share float64) *sim {
	s := newSim(1, 3, 3, checks, share)
	for _, b := range s.names {
		s.engines[b].busy = true
	}
	s.run(6 * time.Second)
	return s
}

func TestBurstOfDemandsIsOneLoad(t *testing.T) {
	// Callers burst at a cold model through all entries of the zone. Every
	// instance demands it many times; one load is decided and ordered, and the
	// snapshot of each instance shows it loaded.
	for _, share := range []float64{-1, 0.5} {
		s := settled(true, share)
		for range 30 {
			for range 20 {
				s.demandAll("m000")
			}
			s.run(100 * time.Millisecond)
		}
		if len(s.loads) != 1 || len(s.loaded("m000")) != 1 || len(s.wrong) > 0 {
			t.Fatalf("loads %v, wrong %v, commits %d", s.loads, s.wrong, s.commits)
		}
		for _, n := range s.nodes {
			if found := countLoaded(n.p.Snapshot("m000")); found != 1 || len(n.p.Held("m000")) != 1 || n.p.Estimate("m000") != 0 {
				t.Errorf("%s sees %d loaded, estimate %v", n.name, found, n.p.Estimate("m000"))
			}
		}
	}
}

func (s *sim) demandAll(a id.Artifact) {
	for _, n := range s.nodes {
		s.demand(n, a)
	}
}

func countLoaded(all []Replica) int {
	found := 0
	for _, r := range all {
		if r.State == message.Loaded {
			found++
		}
	}
	return found
}

// onFirst runs do at the first effect of the kind that is matched, instead of
// carrying the effect out if do returns true.
func (s *sim) onFirst(match func(event.Effect) bool, do func(n *node) bool) {
	s.tap = func(n *node, e event.Effect) bool {
		if !match(e) {
			return false
		}
		s.tap = nil
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

func TestOneLoadWhateverFails(t *testing.T) {
	// A caller waits for a cold model while one thing fails on the way from the
	// decision to the engine. The model is loaded once in the end, on one
	// engine: what was decided is found in the table and carried on, and what
	// may be under way stays counted.
	for name, tc := range map[string]struct {
		checks bool
		share  float64
		fault  func(s *sim)
	}{
		"owner dies between decision and order": {true, -1, func(s *sim) {
			s.onFirst(isLoadOrder, func(n *node) bool { s.kill(n); return true })
		}},
		"the same, engine ignores fencing numbers": {false, -1, func(s *sim) {
			s.onFirst(isLoadOrder, func(n *node) bool { s.kill(n); return true })
		}},
		"owner dies during the load": {true, -1, func(s *sim) {
			s.onFirst(isLoadOrder, func(n *node) bool {
				s.after(60*time.Millisecond, func() { s.kill(n) })
				return false
			})
		}},
		"owner dies during a standby load": {true, 0.5, func(s *sim) {
			s.onFirst(isLoadOrder, func(n *node) bool {
				s.after(60*time.Millisecond, func() { s.kill(n) })
				return false
			})
		}},
		"order is lost": {true, -1, func(s *sim) {
			s.onFirst(isLoadOrder, func(*node) bool { return true })
		}},
		"answer to the decision is lost": {true, -1, func(s *sim) {
			s.onFirst(isLoadCommit, func(n *node) bool {
				s.chances.answerLost = 1
				s.after(100*time.Millisecond, func() { s.chances.answerLost = 0 })
				return false
			})
		}},
		"decision takes effect late": {true, -1, func(s *sim) {
			s.onFirst(isLoadCommit, func(n *node) bool {
				s.chances.lateWrite = 1
				s.after(100*time.Millisecond, func() { s.chances.lateWrite = 0 })
				return false
			})
		}},
		"table is down for a while": {true, -1, func(s *sim) {
			s.down = true
			s.after(5*time.Second, func() { s.down = false })
		}},
		"two instances believe that they own": {false, -1, func(s *sim) {
			for _, n := range s.nodes {
				n.solo = true
			}
		}},
		"planned stop of the owner": {true, -1, func(s *sim) {
			s.onFirst(isLoadCommit, func(n *node) bool {
				s.after(3*time.Millisecond, func() { s.stop(n, s.start("new")) })
				return false
			})
		}},
		"engine saw a larger fencing number than the row": {true, -1, func(s *sim) {
			for _, b := range s.names {
				s.engines[b].fencing = 99
			}
		}},
		"engine restarts during the load": {true, -1, func(s *sim) {
			s.onFirst(isLoadOrder, func(*node) bool {
				s.after(80*time.Millisecond, func() {
					for _, b := range s.names {
						s.engines[b].restart()
					}
				})
				return false
			})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := settled(tc.checks, tc.share)
			tc.fault(s)
			if !s.demandFor(40*time.Second, "m000") {
				t.Fatalf("not loaded: %v", s.rows)
			}
			s.run(20 * time.Second)
			if got := s.loaded("m000"); len(got) != 1 || len(s.wrong) > 0 {
				t.Errorf("loaded at %v, wrong %v", got, s.wrong)
			}
		})
	}
}

func TestRowTakenUnknowinglyIsFound(t *testing.T) {
	// An instance takes backend servers and the answers are lost; before it reads
	// the rows again, other instances rank first for them. The rows name a live
	// instance, so that the others may not take them: it must find out itself, or
	// nobody ever loads anything there.
	s := newSim(1, 0, 3, true, -1)
	s.tap = func(n *node, e event.Effect) bool {
		c, ok := e.(event.TableCommit)
		if ok {
			s.apply(c.Writes)
			s.after(time.Millisecond, func() {
				n.do(func(out *event.Outbox) {
					n.p.Table(s.now, event.TableResult{Op: c.Op, Outcome: table.Unknown}, out)
				})
			})
		}
		return ok
	}
	s.start("i0")
	s.run(20 * time.Millisecond)
	s.tap = nil
	s.start("i1")
	s.start("i2")
	s.run(15 * time.Second)
	for _, b := range s.names {
		owner := s.rows[backendKey(b)].Body.(table.Backend).Owner
		for _, n := range s.nodes {
			if owns := n.p.owned[b] != nil; owns != (owner == n.name) {
				t.Errorf("%s owns %s: %v, the row says %s", n.name, b, owns, owner)
			}
		}
	}
}

func TestTableDownStandbyGoesOn(t *testing.T) {
	// The table is down and a caller asks for a cold model. Where the model is
	// pre-authorised, it is loaded, once, without the table; its owner may
	// change by a handover meanwhile. Without the right, it waits.
	for name, tc := range map[string]struct {
		share    float64
		handover bool
		loads    bool
	}{
		"pre-authorised":             {0.5, false, true},
		"not pre-authorised":         {-1, false, false},
		"pre-authorised, owner goes": {0.5, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := settled(true, tc.share)
			s.down = true
			if tc.handover {
				for _, n := range s.nodes[:2] {
					s.stop(n, s.nodes[2])
				}
			}
			if got := s.demandFor(40*time.Second, "m000"); got != tc.loads {
				t.Fatalf("loaded %v, want %v", got, tc.loads)
			}
			s.run(10 * time.Second)
			if tc.loads && len(s.loaded("m000")) != 1 || len(s.wrong) > 0 {
				t.Errorf("loaded at %v, wrong %v", s.loaded("m000"), s.wrong)
			}
		})
	}
}

func TestReloadWaitsForLateOrders(t *testing.T) {
	// A model is unloaded and wanted again at once, elsewhere, while a doubled
	// load order for its first place is still on its way. The engine ignores
	// fencing numbers and would carry it out. So the first place stays decided
	// and its memory counted until no order can be under way.
	s := settled(false, -1)
	s.onFirst(isLoadOrder, func(*node) bool {
		s.chances.orderDoubled = 1
		s.after(100*time.Millisecond, func() { s.chances.orderDoubled = 0 })
		return false
	})
	s.demandFor(10*time.Second, "m000")
	at := s.loaded("m000")[0]
	s.engines[at].busy = false
	began := s.now
	for s.engines[at].held["m000"].State != Cold {
		s.run(50 * time.Millisecond)
	}
	if s.now.Sub(began) > orderMax/2 {
		t.Fatal("it was unloaded too late to show anything")
	}
	s.engines[at].leaving = false
	row := s.rows[backendKey(at)].Body.(table.Backend)
	if len(row.Reservations) != 1 {
		t.Fatalf("reservation removed while an order may be under way: %+v", row)
	}
	s.run(2 * orderMax)
	if row = s.rows[backendKey(at)].Body.(table.Backend); len(row.Reservations) != 0 || len(s.wrong) > 0 {
		t.Errorf("after the quiet time: %+v, wrong %v", row, s.wrong)
	}
}

func TestLeavingBackendIsGivenUpForGood(t *testing.T) {
	// A backend server with a loaded model is reclaimed. At the first sign it
	// gets no new work, its model may be loaded elsewhere at once, and an older
	// instance list that calls it live changes nothing.
	for name, sign := range map[string]func(g *engine){
		"leaving":          func(g *engine) { g.leaving = true },
		"out of the list":  func(g *engine) { g.unlisted, g.dead = true, true },
		"leaving and dead": func(g *engine) { g.leaving, g.dead = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			s := settled(true, 0.5)
			s.demandFor(10*time.Second, "m000")
			first := s.loaded("m000")[0]
			sign(s.engines[first])
			s.run(11 * time.Second)
			g := s.engines[first]
			wasListed := g.unlisted
			delete(g.held, "m000")
			if !s.demandFor(20*time.Second, "m000") {
				t.Fatal("not loaded elsewhere")
			}
			g.leaving, g.unlisted = false, wasListed
			s.run(5 * time.Second)
			for _, n := range s.nodes {
				for _, r := range n.p.Snapshot("m000") {
					if r.Backend == first && !r.Leaving {
						t.Errorf("%s takes %s for live again", n.name, first)
					}
				}
			}
			if at := s.loaded("m000"); len(at) != 1 || at[0] == first {
				t.Errorf("loaded at %v, first %s", at, first)
			}
		})
	}
}

func TestAdapterIsLoadedWithItsModel(t *testing.T) {
	// A caller asks for an adapter. The engine refuses its requests unless the
	// model is loaded beside it, so the model is loaded there too, in the order
	// model, adapter; while the model is loading, the adapter does not count as
	// loaded. With the table down the same holds within the pool.
	for name, down := range map[string]bool{"table up": false, "table down": true} {
		t.Run(name, func(t *testing.T) {
			s := settled(true, 0.5)
			s.down = down
			var order []id.Artifact
			s.tap = func(_ *node, e event.Effect) bool {
				if isLoadOrder(e) {
					order = append(order, e.(event.OrderBackend).Artifact)
				}
				return false
			}
			for s.now.Sub(0) < time.Hour+30*time.Second {
				s.demand(s.nodes[0], "m001:b")
				s.run(50 * time.Millisecond)
				seen := countLoaded(s.nodes[0].p.Held("m001:b"))
				if seen > 0 && len(s.loaded("m001")) == 0 {
					t.Fatal("the adapter counts as loaded before its model")
				}
			}
			at, model := s.loaded("m001:b"), s.loaded("m001")
			if len(at) != 1 || len(model) != 1 || at[0] != model[0] || len(order) != 2 || order[0] != "m001" {
				t.Errorf("adapter at %v, model at %v, ordered %v", at, model, order)
			}
		})
	}
}

// resize changes the memory of the backend servers.
func (s *sim) resize(bytes int64) {
	g := s.cfg.Groups["g"]
	g.MemoryBytes = bytes
	s.cfg.Groups["g"] = g
	for _, n := range s.nodes {
		n.do(func(out *event.Outbox) { n.p.Configure(s.now, s.cfg, out) })
	}
}

func TestModelGoesOnlyWithItsAdapters(t *testing.T) {
	// Memory is full of an idle model with an adapter, and another model is
	// wanted. Both go, and neither if the adapter is in use.
	for name, busy := range map[string]bool{"idle": false, "adapter in use": true} {
		t.Run(name, func(t *testing.T) {
			s := newSim(1, 1, 1, true, -1)
			s.resize(60)
			s.nodes[0].p.policy = keepalive.Fixed{For: time.Hour}
			s.demandFor(20*time.Second, "m001:b")
			s.run(10 * time.Second)
			s.engines["b000"].busy = busy
			s.run(time.Second)
			if got := s.demandFor(20*time.Second, "m003"); got == busy || len(s.loaded("m001:b")) == 1 != busy {
				t.Errorf("loaded %v, adapter at %v, wrong %v", got, s.loaded("m001:b"), s.wrong)
			}
		})
	}
}

func TestPoolIsSharedWithoutWaitingForLateOrders(t *testing.T) {
	// Two pre-authorised models are called in turn, and the pool has room for
	// one. The engine checks fencing numbers: the first one's memory is given to
	// the second at once, not after the longest time that an order may take.
	s := newSim(1, 1, 1, true, 1)
	s.resize(50)
	s.run(12 * time.Second)
	for _, a := range []id.Artifact{"m000", "m002", "m000"} {
		began := s.now
		if !s.demandFor(orderMax, a) || s.now.Sub(began) > orderMax/2 {
			t.Errorf("%s took %v, wrong %v", a, s.now.Sub(began), s.wrong)
		}
	}
}

func TestThePoolServesWhoeverNeedsIt(t *testing.T) {
	// So many artifacts are configured that most have no standby right, and all
	// memory is the pool. A cold one gets the right where it is loaded.
	s := newSim(1, 3, 3, true, 1)
	s.cfg = testConfig(standbyAll+1, true)
	s.resize(50)
	s.run(12 * time.Second)
	if !s.demandFor(orderMax, "m300") || len(s.wrong) > 0 {
		t.Errorf("m300 is not loaded, wrong %v", s.wrong)
	}
}

func TestLapsedLeaseOrdersNothing(t *testing.T) {
	// An instance is paused, its lease lapses, and it runs on. It sends no order
	// any more, though it still believes to own backend servers.
	s := settled(true, 0.5)
	for _, n := range s.nodes {
		n.expired = true
	}
	s.tap = func(_ *node, e event.Effect) bool {
		if _, ok := e.(event.OrderBackend); ok {
			t.Errorf("sent %+v", e)
		}
		return false
	}
	s.demandFor(5*time.Second, "m000")
}

func TestWeightStoreServesTheMostUrgentFirst(t *testing.T) {
	// Batch work and a technician want cold models of the same zone, and the
	// weight store runs one load at once. The technician's goes first; then the
	// earlier deadline.
	s := settled(true, -1)
	s.cfg.Fleet.LoadsAtOnce = 1
	var order []id.Artifact
	s.tap = func(_ *node, e event.Effect) bool {
		if o, ok := e.(event.OrderBackend); ok && o.Kind == event.OrderLoad {
			order = append(order, o.Artifact)
		}
		return false
	}
	n := s.nodes[0]
	for _, m := range s.nodes[1:] { // one owner, so that no message is needed
		m.expired, m.ended = true, true
	}
	s.run(5 * time.Second)
	n.do(func(out *event.Outbox) { n.p.Configure(s.now, s.cfg, out) })
	n.p.store.nextStart = s.now.Add(time.Second)
	for range 60 {
		for _, d := range []Demand{
			{"m002", config.Batch, time.Hour, 9}, {"m004", config.Interactive, time.Minute, 1},
			{"m000", config.Interactive, time.Second, 1},
		} {
			n.do(func(out *event.Outbox) { n.p.Demand(s.now, d, out) })
		}
		s.run(100 * time.Millisecond)
	}
	want := []id.Artifact{"m000", "m004", "m002"}
	if len(order) != 3 || order[0] != want[0] || order[1] != want[1] || order[2] != want[2] {
		t.Errorf("ordered %v, want %v", order, want)
	}
}

func TestWantForALeavingBackendHoldsUpNobody(t *testing.T) {
	// An urgent load waits for the weight store when its backend server leaves,
	// and its callers go elsewhere. The want stays behind; it once outranked all
	// less urgent ones for good, and their models stayed cold.
	s := settled(true, -1)
	n := s.nodes[0]
	for _, m := range s.nodes[1:] {
		m.expired, m.ended = true, true
	}
	s.run(5 * time.Second)
	n.p.store.nextStart = s.now.Add(time.Second)
	n.do(func(out *event.Outbox) {
		n.p.Peer(s.now, n.name, message.LoadRequest{Backend: "b000", Artifact: "m000", Class: config.Urgent, TimeToDeadline: time.Hour}, out)
	})
	s.run(200 * time.Millisecond)
	if w := n.p.owned["b000"].wants["m000"]; w == nil || w.gatedAt == 0 {
		t.Fatal("the urgent load does not wait for the weight store")
	}
	s.engines["b000"].leaving = true
	s.run(time.Second)
	if !s.demandFor(10*time.Second, "m002") {
		t.Error("m002 is not loaded")
	}
}

func TestBatchWaitsForAnUrgentLoadElsewhere(t *testing.T) {
	// Another zone says that a technician waits for the weight store there. A
	// batch load here waits, until nothing is heard from that zone any more.
	s := settled(true, -1)
	n := s.nodes[0]
	w := &want{artifact: "m000", class: config.Batch, until: clock.Never}
	o := n.p.owned[n.p.names[0]]
	n.p.Peer(s.now, "far", message.LoadsInTransit{Models: 1, MostUrgent: config.Interactive}, &event.Outbox{})
	if n.p.store.mayStart(n.p, o, w, s.now) {
		t.Error("batch load started before an interactive one elsewhere")
	}
	s.run(loadsFresh + time.Second)
	if !n.p.store.mayStart(n.p, o, w, s.now) {
		t.Error("batch load waits for a zone that is cut off")
	}
}
