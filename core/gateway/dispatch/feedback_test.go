package dispatch

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

// allowedIn returns the bound on the requests in limitWindow: one and a half times the
// limit, and five.
func allowedIn(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds()) + 5 }

// The requests of all instances together stay within the rate that a server names,
// whatever happens to the instances. Where it is calm, the server gets close to its limit.
func TestServerLimitHoldsOverAllInstances(t *testing.T) {
	cut := func(f *feedbackFleet) {
		f.side = func(n *feedbackNode) int { return n.index % 3 }
	}
	heal := func(f *feedbackFleet) { f.side = func(*feedbackNode) int { return 0 } }
	tests := []struct {
		name  string
		calm  bool
		setUp func(f *feedbackFleet)
		event func(f *feedbackFleet, second int)
	}{
		{name: "calm", calm: true},
		{name: "burst", event: func(f *feedbackFleet, second int) {
			f.perSecond = 60
			if second%5 == 4 {
				f.perSecond = 600
			}
		}},
		{name: "one hot instance", calm: true, setUp: func(f *feedbackFleet) { f.hot = 0.9 }},
		{name: "cut into three", event: func(f *feedbackFleet, second int) {
			if second == 6 {
				cut(f)
			} else if second == 12 {
				heal(f)
			}
		}},
		{name: "cut every second", event: func(f *feedbackFleet, second int) {
			if second%2 == 0 {
				cut(f)
			} else {
				heal(f)
			}
		}},
		{name: "dispatchers killed", event: func(f *feedbackFleet, second int) {
			if second >= 5 && second%4 == 1 && second/4 < len(f.nodes) {
				f.nodes[second/4-1].down = true
			}
		}},
		{name: "all restarted", event: func(f *feedbackFleet, second int) {
			if second == 9 {
				for _, n := range f.nodes {
					n.restart()
				}
			}
		}},
		{name: "instances restarted one after another", event: func(f *feedbackFleet, second int) {
			f.nodes[second%len(f.nodes)].restart()
		}},
		{name: "one message in five lost", setUp: func(f *feedbackFleet) { f.lossOneIn = 5 }},
	}
	for _, instances := range []int{3, 9, 77} {
		for _, perSecond := range []float64{0.2, 3.1, 20} {
			for _, tc := range tests {
				t.Run(fmt.Sprintf("%s, %d instances, %g a second", tc.name, instances, perSecond), func(t *testing.T) {
					f := newFeedbackFleet(5, instances, 3, 90)
					f.servers[0].limit = always(perSecond)
					if tc.setUp != nil {
						tc.setUp(f)
					}
					for second := range 20 {
						if tc.event != nil {
							tc.event(f, second)
						}
						f.run(time.Second)
					}
					s := f.servers[0]
					if most := s.most(); most > allowedIn(perSecond) {
						t.Errorf("%d requests in %v, allowed are %d", most, limitWindow, allowedIn(perSecond))
					}
					got, want := s.within(s.named.Add(settleTime), 12*time.Second), 12*max(minProbes, perSecond)
					if tc.calm && float64(got) < 0.8*want-2 {
						t.Errorf("%d requests in 12 s, close to %.0f wanted", got, want)
					}
					if tc.calm && f.refused > f.arrived/100 {
						t.Errorf("%d of %d refused, although other servers have room", f.refused, f.arrived)
					}
				})
			}
		}
	}
}

// minProbes is the rate, in requests per second, that a server gets whatever it names.
const minProbes = 0.5

// Without telling others what a server said, the dispatcher does not know what the only
// instance with traffic hears: the check must detect that.
func TestServerLimitWithoutTellingIsDetected(t *testing.T) {
	f := newFeedbackFleet(5, 9, 3, 90)
	f.deaf, f.hot = true, 1
	f.servers[0].limit = always(3.1)
	f.run(12 * time.Second)
	if most := f.servers[0].most(); most <= allowedIn(3.1) {
		t.Errorf("%d requests, the bound of %d holds without the safeguard", most, allowedIn(3.1))
	}
}

// All servers of a group name limits. They get close to what they ask together, and a
// request for which there is no room is refused at once.
func TestAllServersLimited(t *testing.T) {
	f := newFeedbackFleet(6, 9, 3, 40)
	for _, s := range f.servers {
		s.limit = always(4)
	}
	f.run(5 * time.Second)
	before := f.served
	f.slowestRefusal = 0
	f.run(20 * time.Second)
	if got := float64(f.served-before) / 20; got < 0.85*12 || got > 12.5 {
		t.Errorf("%.1f served a second, the servers take 12", got)
	}
	if f.slowestRefusal > 250*time.Millisecond {
		t.Errorf("a request was refused after %v", f.slowestRefusal)
	}
	for _, s := range f.servers {
		if most := s.most(); most > allowedIn(4) {
			t.Errorf("%s: %d requests in %v, allowed are %d", s.id, most, limitWindow, allowedIn(4))
		}
	}
}

// A limit that ends gives the server its part of the load back within two seconds, also
// after a limit of none; limits that change every second hold.
func TestServerLimitEndsAndChanges(t *testing.T) {
	for _, perSecond := range []float64{0, 0.2, 5} {
		f := newFeedbackFleet(7, 9, 3, 90)
		end := f.now.Add(8 * time.Second)
		f.servers[0].limit = func(now clock.Time) (float64, bool) { return perSecond, now.Before(end) }
		f.run(8 * time.Second)
		f.run(6 * time.Second)
		if n := f.servers[0].within(end.Add(2*time.Second+serverLatency), 2*time.Second); n < 40 {
			t.Errorf("%g a second: %d requests in 2 s after the end, want about 60", perSecond, n)
		}
	}
	f := newFeedbackFleet(8, 9, 3, 90)
	began := f.now
	f.servers[0].limit = func(now clock.Time) (float64, bool) {
		return float64(1 + int(now.Sub(began)/time.Second)*7%5), true
	}
	f.run(20 * time.Second)
	const mean = 3.0
	if most := f.servers[0].most(); most > allowedIn(mean) {
		t.Errorf("%d requests in %v, allowed are %d", most, limitWindow, allowedIn(mean))
	}
}

// One of three servers rejects all requests. In a fleet in which each instance has few
// requests, the others must not find that out one by one; and a server that rejects only
// some instances goes on serving the others when the rest is full.
func TestRejectingServerIsLeftAlone(t *testing.T) {
	run := func(instances int, deaf bool, perSecond float64, rejects func(n *feedbackNode) bool) *feedbackFleet {
		f := newFeedbackFleet(9, instances, 3, perSecond)
		f.deaf = deaf
		f.servers[0].rejects = rejects
		f.run(12 * time.Second)
		return f
	}
	all := func(*feedbackNode) bool { return true }
	for _, instances := range []int{9, 77, 195} {
		told, alone := run(instances, false, 300, all), run(instances, true, 300, all)
		t.Logf("%d instances: %d rejections of %d requests, %d if nobody is told", instances, told.rejected, told.arrived, alone.rejected)
		if told.rejected > told.arrived/100 || told.rejected > alone.rejected {
			t.Errorf("%d instances: %d rejections of %d requests, %d if nobody is told", instances, told.rejected, told.arrived, alone.rejected)
		}
		if told.refused > told.arrived/100 {
			t.Errorf("%d instances: %d of %d refused, although other servers have room", instances, told.refused, told.arrived)
		}
	}
	half := run(9, false, 1500, func(n *feedbackNode) bool { return n.index%2 == 0 })
	served := len(half.servers[0].arrivals) - half.rejected
	t.Logf("half of the instances rejected, under overload: %d served by that server, %d rejected", served, half.rejected)
	if served < 2000 {
		t.Errorf("%d requests served by the server that rejects half of the instances", served)
	}
}
