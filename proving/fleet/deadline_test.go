package fleet

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
)

// combinedFault is a fault that is injected together with another one.
type combinedFault struct {
	name   string
	inject func(f *Fleet)
}

// combinedFaults are tested in pairs. Fleet.Heal ends those that do not end by
// themselves.
var combinedFaults = []combinedFault{
	{"table down", func(f *Fleet) { f.Table.Down = true }},
	{"table slow", func(f *Fleet) { f.Table.ExtraLatency = 1500 * time.Millisecond }},
	{"table loses replies", func(f *Fleet) { f.Table.LostReplyRate, f.Table.LostRequestRate = 0.4, 0.2 }},
	{"zone isolated", func(f *Fleet) { f.Network.SetIsolated("za", true) }},
	{"zones partitioned", func(f *Fleet) { f.Network.SetPartitioned("za", "zb", true); f.Network.SetPartitioned("zb", "zc", true) }},
	{"lossy network", func(f *Fleet) { f.Network.LossRate, f.Network.DuplicateRate, f.Network.DelayRate = 0.3, 0.3, 0.3 }},
	{"instances killed", func(f *Fleet) { f.Nodes[1].Kill(); f.Nodes[4].Kill() }},
	{"instance paused", func(f *Fleet) { f.Nodes[0].Pause(8 * time.Second) }},
	{"instance stopped", func(f *Fleet) { f.Nodes[3].Stop() }},
	{"engines crash", func(f *Fleet) {
		for n, s := range f.Servers {
			f.schedule(time.Duration(n)*700*time.Millisecond, s.Crash)
		}
	}},
	{"orders lost", func(f *Fleet) {
		for _, s := range f.Servers {
			s.LostOrderRate, s.LostReplyRate, s.DelayedOrderRate, s.MaxOrderDelay = 0.3, 0.3, 0.3, 4*time.Second
		}
	}},
	{"slow weight store", func(f *Fleet) { f.WeightStore.SlowdownFactor = 8 }},
	{"engines leave", func(f *Fleet) {
		for _, z := range f.zones {
			f.zoneServers(z, "workers")[0].Leave()
		}
	}},
}

// TestDeadlinesUnderTwoFaults: calls of models, orders and lookups with short
// and long deadlines are in progress at all instances when two faults begin at
// the same time. Each caller gets one final response by its deadline. Each
// refusal that says "not run" is true, and each one for a transient reason has a
// retry time.
func TestDeadlinesUnderTwoFaults(t *testing.T) {
	t.Parallel()
	for a := range combinedFaults {
		for b := range a {
			x, y := combinedFaults[a], combinedFaults[b]
			t.Run(x.name+" and "+y.name, func(t *testing.T) {
				t.Parallel()
				f := newReadyFleet(t, uint64(1000+a*len(combinedFaults)+b), nil)
				sendMixedCalls := func(n int) {
					timeout := []time.Duration{time.Second, 4 * time.Second, 15 * time.Second}[n%3]
					at := f.Nodes[n%9]
					s := artifactSpec(id.Artifact(fmt.Sprint("m", n%4)), n)
					s.Timeout = timeout
					f.Call(at, s)
					o := orderSpec([]id.Service{Orders, Desk}[n%2], fmt.Sprint("pair", n/2), "one")
					o.Timeout = timeout
					f.Call(at, o)
					l := lookupSpec("a", n)
					l.Timeout = timeout
					f.Call(at, l)
				}
				f.repeat(200*time.Millisecond, 2*time.Second, sendMixedCalls)
				x.inject(f)
				y.inject(f)
				f.repeat(200*time.Millisecond, 10*time.Second, func(n int) { sendMixedCalls(10 + n) })
				f.Run(15*time.Second + 2*deadlineGrace)
				wantNoViolations(t, f)
			})
		}
	}
}

// TestInstanceKilledWhileCallsWait: calls of a model that is not loaded wait at
// all instances when one instance of each zone is killed, which may own the
// queue of the zone or the engine that loads. The other instances ask the next
// owner for their calls, and all these are answered.
func TestInstanceKilledWhileCallsWait(t *testing.T) {
	t.Parallel()
	for k := range 3 {
		t.Run(fmt.Sprint(k), func(t *testing.T) {
			t.Parallel()
			f := newReadyFleet(t, 130, func(s *Settings) {
				m := s.Config.Artifacts["m1"]
				m.LoadTime = 6 * time.Second
				s.Config.Artifacts["m1"] = m
			})
			for n, node := range f.Nodes {
				f.Call(node, artifactSpec("m1", n))
			}
			f.Run(3 * time.Second)
			for z := range 3 {
				f.Nodes[3*z+k].Kill()
			}
			f.Run(26 * time.Second)
			for _, c := range f.Calls {
				if !c.ConnectionLost() {
					wantCompleted(t, c)
				}
			}
			wantNoViolations(t, f)
		})
	}
}

// TestUnmeetableDeadlineRefusedImmediately: a call whose model takes longer to
// load than its deadline allows is refused at once and with a retry time, not at
// its deadline.
func TestUnmeetableDeadlineRefusedImmediately(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 121, func(s *Settings) {
		m := s.Config.Artifacts["m1"]
		m.LoadTime = 10 * time.Second
		s.Config.Artifacts["m1"] = m
	})
	s := artifactSpec("m1", 1)
	s.Timeout = 4 * time.Second
	c := f.Call(f.Nodes[0], s)
	f.Run(5 * time.Second)
	wantRefused(t, c, event.ReasonDeadline, event.NotRun)
	if c.Latency() > 200*time.Millisecond {
		t.Errorf("refused after %s", c.Latency())
	}
	wantNoViolations(t, f)
}

// TestServedAfterRetryAfter: a caller that is refused and retries after the time
// in the refusal is served.
func TestServedAfterRetryAfter(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 122, func(s *Settings) {
		m := s.Config.Artifacts["m1"]
		m.LoadTime = 8 * time.Second
		s.Config.Artifacts["m1"] = m
	})
	f.Run(8 * time.Second) // until each engine has an owner
	long, short := artifactSpec("m1", 1), artifactSpec("m1", 2)
	long.Timeout, short.Timeout = 25*time.Second, 3*time.Second
	first := f.Call(f.Nodes[0], long)
	refused := f.Call(f.Nodes[1], short)
	f.Run(4 * time.Second)
	if refused.Refusal == nil {
		t.Fatalf("want a refusal, got %s", refused.describeResult())
	}
	f.Run(max(refused.Refusal.RetryAfter-f.now.Sub(refused.EndedAt), 0))
	retry := f.Call(f.Nodes[1], short)
	f.Run(20 * time.Second)
	wantCompleted(t, first, retry)
	wantNoViolations(t, f)
}
