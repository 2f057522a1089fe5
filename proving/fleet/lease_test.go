package fleet

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// sendCalls sends calls of models and of the lookup service to nodes for some
// time, so that everything these instances own is in use, and returns the calls.
func (f *Fleet) sendCalls(nodes []*Node, length time.Duration) []*Call {
	first := len(f.Calls)
	f.repeat(300*time.Millisecond, length, func(n int) {
		f.Call(nodes[n%len(nodes)], artifactSpec([]id.Artifact{"m0", "m3"}[n/6%2], n))
		f.Call(nodes[(n+1)%len(nodes)], lookupSpec("a", n))
	})
	return f.Calls[first:]
}

// runningNodes returns the nodes that run an instance and are not paused.
func runningNodes(nodes []*Node) []*Node {
	var all []*Node
	for _, n := range nodes {
		if n.Running() && !n.paused {
			all = append(all, n)
		}
	}
	return all
}

// sessionRow returns the session of an instance as stored in the table.
func (f *Fleet) sessionRow(i id.Instance) table.Session {
	r := f.Table.rows[table.Key{Kind: table.KindSession, ID: string(i)}]
	body, _ := r.Body.(table.Session)
	return body
}

// TestLeaseHolderPaused: an instance is paused. If the pause outlasts its lease,
// another instance of the zone waits for the lease to expire, takes over what
// the paused one owned, and serves. The paused instance resumes with old timers
// and replies still to be processed. It must detect the gap, use none of its
// rights, send no order, and start over with a new ID. Engines that ignore
// fencing numbers would execute its orders, so this must hold with these too.
func TestLeaseHolderPaused(t *testing.T) {
	t.Parallel()
	for _, fencing := range []bool{true, false} {
		for _, length := range []time.Duration{3 * time.Second, 10 * time.Second, 30 * time.Second} {
			t.Run(fmt.Sprint(length, " fencing ", fencing), func(t *testing.T) {
				t.Parallel()
				f := newReadyFleet(t, 21, func(s *Settings) { ignoreFencing(s, !fencing) })
				nodes := f.zoneNodes("za")
				f.sendCalls(nodes, 5*time.Second)
				pausedID := nodes[0].ID
				nodes[0].Pause(length)
				f.Run(2 * time.Second)
				f.sendCalls(nodes[1:], length)
				f.Run(8 * time.Second)
				if length > 20*time.Second && f.sessionRow(pausedID).State != table.SessionEnded {
					t.Errorf("the session of %s was not taken over: %+v", pausedID, f.sessionRow(pausedID))
				}
				if length > 20*time.Second && !nodes[0].Stopped {
					t.Errorf("%s still runs after its session was taken over", pausedID)
				}
				f.Heal()
				f.Run(8 * time.Second)
				afterwards := f.sendCalls(nodes, 5*time.Second)
				f.Run(26 * time.Second)
				wantCompleted(t, afterwards...)
				wantNoViolations(t, f)
			})
		}
	}
}

// TestLeaseTableDown: the table is down for ten minutes. Renewals fail in all
// zones, but no instance can take over a session without the table either.
// Instances that run without a pause keep their rights: calls are charged,
// models are loaded in their pre-authorised places, and no call is refused.
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

// waitForCalls waits until calls have ended and returns them.
func (f *Fleet) waitForCalls(calls []*Call) []*Call {
	f.Run(26 * time.Second)
	return calls
}

// TestLeaseTableDownHolderKilled: an instance is killed while the table is down.
// What it owned cannot be taken over before the table is back; its share of the
// rates stays unused until then. Afterwards the other instances of its zone take
// over, and everything is served.
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

// TestLeaseZonePartitioned: a zone is disconnected from the platform, from the
// other zones, or from both for minutes. From outside its sessions look expired.
// Only instances of the same zone may take over, and these still hear each
// other, so no session may be taken over, and callers in the zone are served
// throughout.
func TestLeaseZonePartitioned(t *testing.T) {
	t.Parallel()
	partitions := []struct {
		name string
		set  func(f *Fleet, on bool)
	}{
		{"platform", func(f *Fleet, on bool) { f.Network.SetPlatformUnreachable("za", on) }},
		{"other zones", func(f *Fleet, on bool) {
			f.Network.SetPartitioned("za", "zb", on)
			f.Network.SetPartitioned("za", "zc", on)
		}},
		{"platform and other zones", func(f *Fleet, on bool) { f.Network.SetIsolated("za", on) }},
	}
	for _, partition := range partitions {
		for _, fencing := range []bool{true, false} {
			t.Run(fmt.Sprint(partition.name, " fencing ", fencing), func(t *testing.T) {
				t.Parallel()
				f := newReadyFleet(t, 24, func(s *Settings) { ignoreFencing(s, !fencing) })
				f.sendCalls(f.Nodes, 5*time.Second)
				f.Run(8 * time.Second)
				partition.set(f, true)
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
				partition.set(f, false)
				f.Run(10 * time.Second)
				wantCompleted(t, f.waitForCalls(f.sendCalls(f.Nodes, 5*time.Second))...)
				wantNoViolations(t, f)
			})
		}
	}
}

// TestLeaseHolderPausedInIsolatedZone: an instance of an isolated zone is paused
// and resumes. No instance of the zone could reach the table meanwhile, so none
// can have taken over its session. The others confirm that, and it continues
// with its rights.
func TestLeaseHolderPausedInIsolatedZone(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 25, nil)
	f.sendCalls(f.Nodes, 5*time.Second)
	f.Network.SetIsolated("za", true)
	f.Run(10 * time.Second)
	nodes := f.zoneNodes("za")
	pausedID := nodes[0].ID
	nodes[0].Pause(12 * time.Second)
	f.Run(20 * time.Second)
	if nodes[0].ID != pausedID || !nodes[0].Running() {
		t.Errorf("%s does not continue after the pause", pausedID)
	}
	wantCompleted(t, f.waitForCalls(f.sendCalls(nodes, 10*time.Second))...)
	f.Heal()
	f.Run(10 * time.Second)
	wantNoViolations(t, f)
}

// TestLeaseHandoverWithoutTable: an instance is stopped while the table is down.
// It stops using its rights and hands them to another instance of its zone in a
// message; the table is updated later. Calls in the zone are answered
// throughout, also those that need what only the stopped instance owned.
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

// TestLeaseConcurrentTakeover: an instance is killed, and the two others of its
// zone find its session expired at the same time, with a network that loses and
// duplicates messages and a table that loses replies. One of them takes over. No
// engine may get orders from both, and no share of a rate may be spent twice.
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
			killedID := nodes[1].ID
			nodes[1].Kill()
			survivors := []*Node{nodes[0], nodes[2]}
			f.sendCalls(survivors, 40*time.Second)
			if s := f.sessionRow(killedID); s.State != table.SessionEnded {
				t.Errorf("the session of %s was not taken over: %+v", killedID, s)
			}
			f.Heal()
			f.Run(20 * time.Second)
			wantCompleted(t, f.waitForCalls(f.sendCalls(runningNodes(f.Nodes), 5*time.Second))...)
			wantNoViolations(t, f)
		})
	}
}

// TestOrderSenderCheckDetectsViolations: an instance is paused on a machine
// whose clock stops meanwhile, and no message is delivered. Its session is taken
// over. It resumes without detecting the gap, cannot reach the table, and sends
// orders to engines that have had orders from another instance.
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
	wantViolation(t, f, "an instance sent orders after its session was taken over")
}
