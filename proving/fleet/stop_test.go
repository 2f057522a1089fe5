package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
)

// readyNodes returns the nodes that the load balancer sends calls to.
func (f *Fleet) readyNodes() []*Node {
	var all []*Node
	for _, n := range f.Nodes {
		if n.Ready && n.Running() {
			all = append(all, n)
		}
	}
	return all
}

// scheduleSteadyCalls schedules calls of models and services at regular
// intervals through the nodes that are ready, as the load balancer does.
func (f *Fleet) scheduleSteadyCalls(length, gap time.Duration) {
	for n := range int(length / gap) {
		f.schedule(time.Duration(n)*gap, func() {
			ready := f.readyNodes()
			if len(ready) == 0 {
				return
			}
			at := ready[n%len(ready)]
			switch n % 4 {
			case 0:
				f.Call(at, orderSpec(Orders, fmt.Sprint("steady", n), "one"))
			case 1:
				f.Call(at, lookupSpec("a", n))
			default:
				f.Call(at, Spec{Account: "a", Artifact: "m0", PromptTokens: 10, OutputTokens: 300, Timeout: 25 * time.Second, Body: fmt.Sprint("steady", n)})
			}
		})
	}
}

// removeTableRefusals removes the orders that arrived after a point in time and
// were refused because the table was unavailable. These refusals are correct, as
// orders cannot be recorded without the table.
func (f *Fleet) removeTableRefusals(from clock.Time) {
	f.Calls = slices.DeleteFunc(f.Calls, func(c *Call) bool {
		return c.IdempotencyKey != "" && c.Arrived > from && c.Refusal != nil && c.Refusal.Reason == event.ReasonTableUnavailable
	})
}

// waitStopped waits until the instance of a node has stopped by itself.
func (f *Fleet) waitStopped(t *testing.T, n *Node) {
	t.Helper()
	f.waitFor(t, n.Name+" has stopped", 45*time.Second, func() bool { return n.Stopped })
}

// stopAll stops all instances at the same time and waits until they have
// stopped.
func (f *Fleet) stopAll(t *testing.T) {
	t.Helper()
	for _, n := range f.Nodes {
		n.Stop()
	}
	for _, n := range f.Nodes {
		f.waitStopped(t, n)
	}
}

// replaceAll stops and replaces all instances, one after another.
func replaceAll(t *testing.T, f *Fleet) {
	t.Helper()
	for _, n := range f.Nodes {
		n.Stop()
		f.waitStopped(t, n)
		n.Restart()
		f.Run(6 * time.Second)
	}
}

// TestPlannedStops: one, several or all instances are stopped and replaced under
// load. A stopping instance reports that it is not ready, takes calls until the
// load balancer has noticed, hands over its rights, and lets its calls end. No
// caller sees a broken connection or a refusal, and no rate is exceeded.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		stop func(t *testing.T, f *Fleet)
	}{
		{"one", func(t *testing.T, f *Fleet) {
			f.Nodes[0].Stop()
			f.waitStopped(t, f.Nodes[0])
		}},
		{"one of each zone", func(t *testing.T, f *Fleet) {
			for _, n := range []int{0, 3, 6} {
				f.Nodes[n].Stop()
			}
			for _, n := range []int{0, 3, 6} {
				f.waitStopped(t, f.Nodes[n])
			}
		}},
		{"all in turn", replaceAll},
		{"all in turn, without a pause", func(t *testing.T, f *Fleet) {
			for _, n := range f.Nodes {
				n.Stop()
				f.waitStopped(t, n)
				n.Restart()
			}
		}},
		{"one zone after the other", func(t *testing.T, f *Fleet) {
			for _, z := range f.zones {
				for _, n := range f.zoneNodes(z) {
					n.Stop()
				}
				for _, n := range f.zoneNodes(z) {
					f.waitStopped(t, n)
					n.Restart()
				}
				f.Run(8 * time.Second)
			}
		}},
		{"all in turn, on a lossy network", func(t *testing.T, f *Fleet) {
			f.Network.LossRate, f.Network.DuplicateRate, f.Network.DelayRate = 0.1, 0.1, 0.1
			replaceAll(t, f)
		}},
		{"all in turn, with a slow table that loses replies", func(t *testing.T, f *Fleet) {
			f.Table.ExtraLatency, f.Table.LostReplyRate = 200*time.Millisecond, 0.1
			replaceAll(t, f)
		}},
		{"one, during a short outage of the table", func(t *testing.T, f *Fleet) {
			from := f.now
			f.Table.Down = true
			f.Nodes[4].Stop()
			f.waitStopped(t, f.Nodes[4])
			f.Table.Down = false
			f.Run(5 * time.Second)
			f.removeTableRefusals(from)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newReadyFleet(t, 91, nil)
			f.scheduleSteadyCalls(3*time.Minute, 150*time.Millisecond)
			f.Run(10 * time.Second)
			test.stop(t, f)
			f.Run(200*time.Second - f.Now())
			f.Run(20 * time.Second)
			wantCompleted(t, f.Calls...)
			if len(f.Calls) < 300 {
				t.Errorf("%d calls, want at least 300", len(f.Calls))
			}
			wantNoViolations(t, f)
		})
	}
}

// TestStopOfAll: all instances are stopped at the same time, so that none can
// hand over. Running calls end with whole responses, all sessions end in the
// table, and newly started instances own everything within seconds.
func TestStopOfAll(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 92, nil)
	f.scheduleSteadyCalls(12*time.Second, 250*time.Millisecond)
	f.Run(10 * time.Second)
	f.stopAll(t)
	wantCompleted(t, f.Calls...)
	for _, n := range f.Nodes {
		n.Restart()
	}
	f.Run(8 * time.Second)
	for n, node := range f.Nodes {
		f.Call(node, artifactSpec("m1", n))
		f.Call(node, lookupSpec("a", n))
	}
	f.Run(25 * time.Second)
	wantCompleted(t, f.Calls...)
	wantNoViolations(t, f)
}

// TestStreamOutlastsGracePeriod: a response streams for longer than the grace
// period of a stopping instance. The caller gets an explicit error that says
// that the call may have run, and the instance stops in time.
func TestStreamOutlastsGracePeriod(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 93, func(s *Settings) { setSlowTokens(s); s.GracePeriod = 3 * time.Second })
	c := f.Call(f.Nodes[0], streamSpec(1))
	f.waitFor(t, "the response streams", 20*time.Second, func() bool { return c.FirstTokenAt != 0 })
	f.Nodes[0].Stop()
	f.Run(12 * time.Second)
	if !f.Nodes[0].Stopped {
		t.Error("the instance has not stopped")
	}
	wantRefused(t, c, event.ReasonStopping, event.MayHaveRun)
	wantNoViolations(t, f)
}

// TestStopCheckDetectsViolations: killing an instance instead of stopping it
// breaks connections, so the tests above do not pass trivially.
func TestStopCheckDetectsViolations(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 94, nil)
	f.scheduleSteadyCalls(12*time.Second, 100*time.Millisecond)
	f.Run(10 * time.Second)
	f.Nodes[0].Kill()
	f.Run(30 * time.Second)
	broken := 0
	for _, c := range f.Calls {
		if c.ConnectionLost() {
			broken++
		}
	}
	if broken == 0 {
		t.Error("killing an instance broke no connection")
	}
}

// TestCallsDuringDrainDelay: after an instance was told to stop, the load
// balancer sends it calls until it notices. These calls are answered. Only a
// call that arrives long afterwards is refused, as not run and with a retry
// time.
func TestCallsDuringDrainDelay(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 93, nil)
	n := f.Nodes[0]
	n.Stop()
	f.Run(f.DrainDelay / 2)
	early := f.Call(n, Spec{Account: "a", Service: Lookup, Timeout: 5 * time.Second, Body: "early"})
	long := f.Call(n, modelSpec("", "long"))
	f.Run(f.DrainDelay)
	late := f.Call(n, Spec{Account: "a", Service: Lookup, Timeout: 5 * time.Second, Body: "late"})
	f.waitStopped(t, n)
	wantCompleted(t, early, long)
	wantRefused(t, late, event.ReasonStopping, event.NotRun)
	wantNoViolations(t, f)
}
