package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
)

// open returns the nodes that the balancer sends calls to.
func (f *Fleet) open() []*Node {
	var all []*Node
	for _, n := range f.Nodes {
		if n.Ready && n.Running() {
			all = append(all, n)
		}
	}
	return all
}

// steady sends calls of all sorts through the nodes that are ready, as the
// balancer does, from now on for a while.
func (f *Fleet) steady(length, gap time.Duration) {
	for n := range int(length / gap) {
		f.after(time.Duration(n)*gap, func() {
			open := f.open()
			if len(open) == 0 {
				return
			}
			at := open[n%len(open)]
			switch n % 4 {
			case 0:
				f.Call(at, order(Orders, fmt.Sprint("steady", n), "one"))
			case 1:
				f.Call(at, lookup("a", n))
			default:
				f.Call(at, Spec{Account: "a", Artifact: "m0", Prompt: 10, Tokens: 300, Within: 25 * time.Second, Body: fmt.Sprint("steady", n)})
			}
		})
	}
}

// dropOrders leaves out the orders that came since from: without the table they
// can't be recorded, so that their refusals are right.
func (f *Fleet) dropOrders(from clock.Time) {
	f.Calls = slices.DeleteFunc(f.Calls, func(c *Call) bool {
		return c.Key != "" && c.Arrived > from && c.Refusal != nil && c.Refusal.Reason == event.ReasonTableUnavailable
	})
}

// stopped waits until a node has ended by itself.
func (f *Fleet) stopped(t *testing.T, n *Node) {
	t.Helper()
	f.until(t, n.Name+" has stopped", 45*time.Second, func() bool { return n.Stopped })
}

// stopAll stops all instances in the same moment and waits until they have ended.
func (f *Fleet) stopAll(t *testing.T) {
	t.Helper()
	for _, n := range f.Nodes {
		n.Stop()
	}
	for _, n := range f.Nodes {
		f.stopped(t, n)
	}
}

// replaceAll stops and replaces all instances, one after the other.
func replaceAll(t *testing.T, f *Fleet) {
	t.Helper()
	for _, n := range f.Nodes {
		n.Stop()
		f.stopped(t, n)
		n.Restart()
		f.Run(6 * time.Second)
	}
}

// TestPlannedStops: one instance, several, or all nine one after the other are
// stopped under load and replaced. Each says that it is not ready, takes calls
// until the balancer has seen it, hands over its rights, and lets its calls end.
// No caller sees a broken connection or a refusal, and no rate is exceeded.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		stop func(t *testing.T, f *Fleet)
	}{
		{"one", func(t *testing.T, f *Fleet) {
			f.Nodes[0].Stop()
			f.stopped(t, f.Nodes[0])
		}},
		{"one of each zone", func(t *testing.T, f *Fleet) {
			for _, n := range []int{0, 3, 6} {
				f.Nodes[n].Stop()
			}
			for _, n := range []int{0, 3, 6} {
				f.stopped(t, f.Nodes[n])
			}
		}},
		{"all in turn", replaceAll},
		{"all in turn, without a pause", func(t *testing.T, f *Fleet) {
			for _, n := range f.Nodes {
				n.Stop()
				f.stopped(t, n)
				n.Restart()
			}
		}},
		{"one zone after the other", func(t *testing.T, f *Fleet) {
			for _, z := range f.zones {
				for _, n := range f.zoneNodes(z) {
					n.Stop()
				}
				for _, n := range f.zoneNodes(z) {
					f.stopped(t, n)
					n.Restart()
				}
				f.Run(8 * time.Second)
			}
		}},
		{"all in turn, on a lossy net", func(t *testing.T, f *Fleet) {
			f.Net.Lose, f.Net.Double, f.Net.Late = 0.1, 0.1, 0.1
			replaceAll(t, f)
		}},
		{"all in turn, with a slow table that loses answers", func(t *testing.T, f *Fleet) {
			f.Table.Slow, f.Table.LoseAnswers = 200*time.Millisecond, 0.1
			replaceAll(t, f)
		}},
		{"one, in a short outage of the table", func(t *testing.T, f *Fleet) {
			from := f.now
			f.Table.Down = true
			f.Nodes[4].Stop()
			f.stopped(t, f.Nodes[4])
			f.Table.Down = false
			f.Run(5 * time.Second)
			f.dropOrders(from)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := ready(t, 91, nil)
			f.steady(3*time.Minute, 150*time.Millisecond)
			f.Run(10 * time.Second)
			test.stop(t, f)
			f.Run(200*time.Second - f.Now())
			f.Run(20 * time.Second)
			wantWhole(t, f.Calls...)
			if len(f.Calls) < 300 {
				t.Errorf("only %d calls", len(f.Calls))
			}
			noFaults(t, f)
		})
	}
}

// TestStopOfAll: all instances are stopped in the same moment. There is nobody to
// hand over to. Calls that run end whole, nothing is cut, all sessions end in the
// table, and instances that start afterwards own everything within seconds.
func TestStopOfAll(t *testing.T) {
	t.Parallel()
	f := ready(t, 92, nil)
	f.steady(12*time.Second, 250*time.Millisecond)
	f.Run(10 * time.Second)
	f.stopAll(t)
	wantWhole(t, f.Calls...)
	for _, n := range f.Nodes {
		n.Restart()
	}
	f.Run(8 * time.Second)
	for n, node := range f.Nodes {
		f.Call(node, callFor("m1", n))
		f.Call(node, lookup("a", n))
	}
	f.Run(25 * time.Second)
	wantWhole(t, f.Calls...)
	noFaults(t, f)
}

// TestStopOutlastsGrace: an answer streams for longer than the grace time of a
// stopping instance. Its caller gets an explicit error that says that the call
// may have run; the instance stops in time.
func TestStopOutlastsGrace(t *testing.T) {
	t.Parallel()
	f := ready(t, 93, func(s *Settings) { slowTokens(s); s.Grace = 3 * time.Second })
	c := f.Call(f.Nodes[0], stream(1))
	f.until(t, "it streams", 20*time.Second, func() bool { return c.FirstAt != 0 })
	f.Nodes[0].Stop()
	f.Run(12 * time.Second)
	if !f.Nodes[0].Stopped {
		t.Error("the instance has not stopped")
	}
	wantRefused(t, c, event.ReasonStopping, event.MayHaveRun)
	noFaults(t, f)
}

// TestStopCheckFires shows that the check can fail: a kill in place of a stop cuts
// the calls of the instance.
func TestStopCheckFires(t *testing.T) {
	t.Parallel()
	f := ready(t, 94, nil)
	f.steady(12*time.Second, 100*time.Millisecond)
	f.Run(10 * time.Second)
	f.Nodes[0].Kill()
	f.Run(30 * time.Second)
	cut := 0
	for _, c := range f.Calls {
		if c.Lost() {
			cut++
		}
	}
	if cut == 0 {
		t.Error("a kill cut no call: the tests above show nothing")
	}
}

// TestCallsBeforeTheBalancerSees: an instance is told to stop. For a moment the
// balancer, which looks at it now and then, still sends it calls. They are
// answered as any others; only one that comes long after is refused, as not run
// and with a time to come back.
func TestCallsBeforeTheBalancerSees(t *testing.T) {
	t.Parallel()
	f := ready(t, 93, nil)
	n := f.Nodes[0]
	n.Stop()
	f.Run(f.DrainDelay / 2)
	early := f.Call(n, Spec{Account: "a", Service: Lookup, Within: 5 * time.Second, Body: "early"})
	long := f.Call(n, model("", "long"))
	f.Run(f.DrainDelay)
	late := f.Call(n, Spec{Account: "a", Service: Lookup, Within: 5 * time.Second, Body: "late"})
	f.stopped(t, n)
	wantWhole(t, early, long)
	wantRefused(t, late, event.ReasonStopping, event.NotRun)
	noFaults(t, f)
}
