package fleet

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// use sends calls of every sort through a zone for a while: what the zone's
// instances own is then used all the time.
func (f *Fleet) sendCalls(nodes []*Node, length time.Duration) []*Call {
	first := len(f.Calls)
	f.repeat(300*time.Millisecond, length, func(n int) {
		f.Call(nodes[n%len(nodes)], artifactSpec([]id.Artifact{"m0", "m3"}[n/6%2], n))
		f.Call(nodes[(n+1)%len(nodes)], lookupSpec("a", n))
	})
	return f.Calls[first:]
}

// atRunning returns the nodes that take calls.
func runningNodes(nodes []*Node) []*Node {
	var all []*Node
	for _, n := range nodes {
		if n.Running() && !n.paused {
			all = append(all, n)
		}
	}
	return all
}

// session returns the session row of a run.
func (f *Fleet) sessionRow(i id.Instance) table.Session {
	r := f.Table.rows[table.Key{Kind: table.KindSession, ID: string(i)}]
	body, _ := r.Body.(table.Session)
	return body
}

// TestLeaseHolderPaused: an instance is frozen for longer than its lease lasts.
// Another one of its zone waits out the term, takes over what it owned, and
// serves. The frozen one resumes with timers and answers of long ago in hand. It
// sees the gap, uses no right, sends no order, and starts over under a new name.
// Engines that ignore fencing numbers would obey it, so this has to hold there.
func TestLeaseHolderPaused(t *testing.T) {
	t.Parallel()
	for _, fencing := range []bool{true, false} {
		for _, length := range []time.Duration{3 * time.Second, 10 * time.Second, 30 * time.Second} {
			t.Run(fmt.Sprint(length, " fencing ", fencing), func(t *testing.T) {
				t.Parallel()
				f := newReadyFleet(t, 21, func(s *Settings) { ignoreFencing(s, !fencing) })
				nodes := f.zoneNodes("za")
				f.sendCalls(nodes, 5*time.Second)
				was := nodes[0].ID
				nodes[0].Pause(length)
				f.Run(2 * time.Second)
				f.sendCalls(nodes[1:], length)
				f.Run(8 * time.Second)
				if length > 20*time.Second && f.sessionRow(was).State != table.SessionEnded {
					t.Errorf("the session of %s was not taken over: %+v", was, f.sessionRow(was))
				}
				if length > 20*time.Second && !nodes[0].Stopped {
					t.Errorf("%s goes on after its session was taken over", was)
				}
				f.Heal()
				f.Run(8 * time.Second)
				late := f.sendCalls(nodes, 5*time.Second)
				f.Run(26 * time.Second)
				wantCompleted(t, late...)
				wantNoViolations(t, f)
			})
		}
	}
}

// TestLeaseTableDown: the table is down for ten minutes. Renewals fail in all
// zones, and no taker can find a lapsed session in the table. Instances that run
// without a pause keep their rights: calls go on being charged, models are loaded
// in their pre-authorised places, and nobody is refused.
func TestLeaseTableDown(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 22, nil)
	f.Run(5 * time.Second)
	f.Table.Down = true
	for range 10 {
		f.Run(45 * time.Second)
		wantCompleted(t, f.waitForCalls(f.sendCalls(f.Nodes, 15*time.Second))...)
	}
	f.Table.Down = false
	f.Run(10 * time.Second)
	wantCompleted(t, f.waitForCalls(f.sendCalls(f.Nodes, 5*time.Second))...)
	wantNoViolations(t, f)
}

// settled lets calls end and returns them.
func (f *Fleet) waitForCalls(calls []*Call) []*Call {
	f.Run(26 * time.Second)
	return calls
}

// TestLeaseTableDownHolderKilled: the table is down, and an instance dies. What
// it owned can't be taken over before the table is back. The others of its zone
// serve with what they own, and its share of the rates stays unused; when the
// table is back they take over, and everything is served.
func TestLeaseTableDownHolderKilled(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 23, nil)
	f.sendCalls(f.Nodes, 5*time.Second)
	f.Table.Down = true
	f.Run(3 * time.Second)
	f.Nodes[0].Kill()
	f.sendCalls(f.Nodes[1:], 30*time.Second)
	f.Table.Down = false
	f.Run(20 * time.Second)
	wantCompleted(t, f.waitForCalls(f.sendCalls(f.Nodes[1:], 10*time.Second))...)
	wantNoViolations(t, f)
}

// TestLeaseZoneCut: a zone is cut off from the platform only, from the other
// zones only, or from both, for minutes. From outside its sessions look lapsed.
// Only instances of the same zone may take over, and they hear each other: no
// right moves, callers in the zone are served, and the zone is whole afterwards.
func TestLeaseZonePartitioned(t *testing.T) {
	t.Parallel()
	cuts := []struct {
		name string
		cut  func(f *Fleet, on bool)
	}{
		{"from the platform", func(f *Fleet, on bool) { f.Network.SetPlatformUnreachable("za", on) }},
		{"from the zones", func(f *Fleet, on bool) {
			f.Network.SetPartitioned("za", "zb", on)
			f.Network.SetPartitioned("za", "zc", on)
		}},
		{"from both", func(f *Fleet, on bool) { f.Network.SetIsolated("za", on) }},
	}
	for _, cut := range cuts {
		for _, fencing := range []bool{true, false} {
			t.Run(fmt.Sprint(cut.name, " fencing ", fencing), func(t *testing.T) {
				t.Parallel()
				f := newReadyFleet(t, 24, func(s *Settings) { ignoreFencing(s, !fencing) })
				f.sendCalls(f.Nodes, 5*time.Second)
				f.Run(8 * time.Second)
				cut.cut(f, true)
				f.Run(2 * time.Second)
				wantCompleted(t, f.sendCalls(f.zoneNodes("zb"), 10*time.Second)...)
				during := f.sendCalls(f.zoneNodes("za"), 2*time.Minute)
				f.Run(26 * time.Second)
				wantCompleted(t, during...)
				for _, n := range f.zoneNodes("za") {
					if f.sessionRow(n.ID).State != table.SessionLive {
						t.Errorf("the session of %s was taken over: %+v", n.ID, f.sessionRow(n.ID))
					}
				}
				cut.cut(f, false)
				f.Run(10 * time.Second)
				wantCompleted(t, f.waitForCalls(f.sendCalls(f.Nodes, 5*time.Second))...)
				wantNoViolations(t, f)
			})
		}
	}
}

// TestLeaseCutZoneHolderPaused: in a cut-off zone an instance is frozen and
// resumes. None of the zone has reached the table meanwhile, so none can have
// taken over; the others confirm that, and it goes on with its rights.
func TestLeaseHolderPausedInIsolatedZone(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 25, nil)
	f.sendCalls(f.Nodes, 5*time.Second)
	f.Network.SetIsolated("za", true)
	f.Run(10 * time.Second)
	nodes := f.zoneNodes("za")
	was := nodes[0].ID
	nodes[0].Pause(12 * time.Second)
	f.Run(20 * time.Second)
	if nodes[0].ID != was || !nodes[0].Running() {
		t.Errorf("%s does not go on", was)
	}
	wantCompleted(t, f.waitForCalls(f.sendCalls(nodes, 10*time.Second))...)
	f.Heal()
	f.Run(10 * time.Second)
	wantNoViolations(t, f)
}

// TestLeaseHandoverWithoutTable: the table is down, and an instance is stopped as
// planned. It stops using its rights and hands them to one instance of its zone
// in a message; the table learns of it later. Its zone serves on, also in what
// only the stopped instance owned, and after the table is back.
func TestLeaseHandoverWithoutTable(t *testing.T) {
	t.Parallel()
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprint("fencing ", fencing), func(t *testing.T) {
			f := newReadyFleet(t, 26, func(s *Settings) { ignoreFencing(s, !fencing) })
			nodes := f.zoneNodes("za")
			f.sendCalls(nodes, 5*time.Second)
			f.Table.Down = true
			f.Run(3 * time.Second)
			nodes[0].Stop()
			during := f.sendCalls(nodes[1:], 30*time.Second)
			if !nodes[0].Stopped {
				t.Error("the instance has not stopped")
			}
			f.Run(26 * time.Second)
			wantCompleted(t, during...)
			f.Table.Down = false
			f.Run(15 * time.Second)
			wantCompleted(t, f.waitForCalls(f.sendCalls(nodes[1:], 10*time.Second))...)
			wantNoViolations(t, f)
		})
	}
}

// TestLeaseTwoTakers: an instance dies, and the two others of its zone find its
// session lapsed in the same moment, on a network that loses and doubles what
// they say and a table that loses answers. One takes over. No engine gets orders
// from both, and no share of a rate is spent twice.
func TestLeaseConcurrentTakeover(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newReadyFleet(t, 200+seed, func(s *Settings) { ignoreFencing(s, seed%2 == 0) })
			f.sendCalls(f.Nodes, 5*time.Second)
			f.Network.LossRate, f.Network.DuplicateRate, f.Network.DelayRate = 0.2, 0.2, 0.2
			f.Table.LostReplyRate, f.Table.LostRequestRate = 0.3, 0.1
			nodes := f.zoneNodes("zb")
			was := nodes[1].ID
			nodes[1].Kill()
			left := []*Node{nodes[0], nodes[2]}
			f.sendCalls(left, 40*time.Second)
			if s := f.sessionRow(was); s.State != table.SessionEnded {
				t.Errorf("nobody took %s over: %+v", was, s)
			}
			f.Heal()
			f.Run(20 * time.Second)
			wantCompleted(t, f.waitForCalls(f.sendCalls(runningNodes(f.Nodes), 5*time.Second))...)
			wantNoViolations(t, f)
		})
	}
}

// TestLeaseCheckFires shows that the check of orders can fail: an instance is
// frozen on a machine whose clock leaves out that time, and no message comes
// through. It is taken over, resumes without seeing the gap, can't reach the
// table, and sends orders to engines that another instance has given orders.
func TestOrderSenderCheckDetectsViolations(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 27, func(s *Settings) { s.ClockStopsWhilePaused = true; ignoreFencing(s, true) })
	f.Run(10 * time.Second)
	f.Network.LossRate = 1
	nodes := f.zoneNodes("za")
	for _, n := range nodes[:2] {
		n.Pause(40 * time.Second)
	}
	f.Run(20 * time.Second)
	f.sendCalls(nodes[2:], 15*time.Second)
	f.Network.SetPlatformUnreachable("za", true)
	f.Run(6 * time.Second)
	for n, a := range []id.Artifact{"m0", "m1", "m2", "m3"} {
		f.Call(nodes[0], artifactSpec(a, 900+n))
		f.Call(nodes[1], artifactSpec(a, 910+n))
	}
	f.Run(20 * time.Second)
	wantViolation(t, f, "a taken over instance went on")
}
