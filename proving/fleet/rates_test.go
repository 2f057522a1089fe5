package fleet

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// traffic says which instance the n-th call goes to.
type trafficPattern struct {
	name      string
	nodeIndex func(n int) int
}

var trafficPatterns = []trafficPattern{
	{"one", func(int) int { return 0 }},
	{"spread", func(n int) int { return n % 9 }},
	{"moving", func(n int) int { return n / 100 % 9 }},
}

// overload sends three times the rate of account a for a while, and a burst at
// the start.
func sendOverload(f *Fleet, tr trafficPattern, length time.Duration) {
	for n := range 150 {
		f.Call(f.Nodes[tr.nodeIndex(n)], lookupSpec("a", n))
	}
	f.repeat(11*time.Millisecond, length, func(n int) { f.Call(f.Nodes[tr.nodeIndex(n)], lookupSpec("a", n)) })
}

// granted counts what account a was served, in tokens.
func grantedTokens(f *Fleet) float64 {
	sum := 0.0
	for _, c := range f.Calls {
		if c.Account == "a" && c.runs > 0 {
			sum += lookupTokens
		}
	}
	return sum
}

// TestRateUnderFaults: a client account sends three times its rate, through one
// instance, through all, or through one after the other, while holders of its
// rate are killed, frozen and replaced, zones are cut and rejoined, messages are
// lost, doubled and late, or its rate is lowered while parts of it are lent.
// The caller sees refusals. The servers never see more than rate and burst: who
// lends deducts first, and what a lost message carried is lost, not doubled.
func TestRateUnderFaults(t *testing.T) {
	t.Parallel()
	faults := []struct {
		name  string
		begin func(f *Fleet)
	}{
		{"none", func(*Fleet) {}},
		{"holder killed", func(f *Fleet) {
			f.schedule(3*time.Second, f.Nodes[1].Kill)
			f.schedule(6*time.Second, f.Nodes[5].Kill)
		}},
		{"holder replaced", func(f *Fleet) {
			for n, node := range f.Nodes {
				f.schedule(time.Duration(n+1)*1500*time.Millisecond, func() { node.Kill(); node.Restart() })
			}
		}},
		{"holder paused", func(f *Fleet) {
			f.schedule(2*time.Second, func() { f.Nodes[0].Pause(10 * time.Second) })
			f.schedule(4*time.Second, func() { f.Nodes[4].Pause(9 * time.Second) })
		}},
		{"holder stopped", func(f *Fleet) {
			f.schedule(2*time.Second, f.Nodes[0].Stop)
			f.schedule(8*time.Second, f.Nodes[0].Restart)
		}},
		{"zone cut and rejoined", func(f *Fleet) {
			f.schedule(2*time.Second, func() { f.Network.SetIsolated("za", true) })
			f.schedule(12*time.Second, func() { f.Network.SetIsolated("za", false) })
		}},
		{"all zones cut", func(f *Fleet) {
			f.schedule(2*time.Second, func() {
				for _, z := range f.zones {
					f.Network.SetIsolated(z, true)
				}
			})
			f.schedule(14*time.Second, f.Network.Heal)
		}},
		{"lossy net", func(f *Fleet) { f.Network.LossRate, f.Network.DuplicateRate, f.Network.DelayRate = 0.3, 0.3, 0.3 }},
		{"table down and holder killed", func(f *Fleet) {
			f.schedule(time.Second, func() { f.Table.Down = true })
			f.schedule(4*time.Second, f.Nodes[2].Kill)
			f.schedule(14*time.Second, f.Table.Heal)
		}},
		{"rate lowered", func(f *Fleet) { f.schedule(4*time.Second, func() { lowerRate(f) }) }},
		{"rate lowered on a lossy net", func(f *Fleet) {
			f.Network.LossRate, f.Network.DuplicateRate, f.Network.DelayRate = 0.2, 0.2, 0.2
			f.schedule(4*time.Second, func() { lowerRate(f) })
		}},
	}
	for _, fault := range faults {
		for _, tr := range trafficPatterns {
			t.Run(fault.name+" "+tr.name, func(t *testing.T) {
				t.Parallel()
				f := newRateFleet(t, 41, nil)
				fault.begin(f)
				sendOverload(f, tr, 20*time.Second)
				f.Heal()
				f.Run(10 * time.Second)
				wantNoViolations(t, f)
				if grantedTokens(f) == 0 {
					t.Error("nothing was served: the check shows nothing")
				}
			})
		}
	}
}

// lowerRate gives account a a third of its rate and burst.
func lowerRate(f *Fleet) {
	c := Clone(f.Config)
	a := c.Accounts["a"]
	a.Rate, a.Burst = a.Rate/3, a.Burst/3
	c.Accounts["a"] = a
	f.Publish(c)
}

// TestLoweredRateHolds: the rate of an account is lowered to a third while it
// sends more than that through one instance, which has borrowed from all others.
// A few seconds later, when the loans have ended, the servers see the new rate.
func TestLoweredRateHolds(t *testing.T) {
	t.Parallel()
	for _, tr := range trafficPatterns {
		t.Run(tr.name, func(t *testing.T) {
			t.Parallel()
			f := newRateFleet(t, 42, nil)
			sendOverload(f, tr, 8*time.Second)
			lowerRate(f)
			sendOverload(f, tr, loanSettlementTime)
			from, before := f.now, grantedTokens(f)
			sendOverload(f, tr, 10*time.Second)
			f.Run(6 * time.Second)
			a := f.Config.Accounts["a"]
			used, limit := grantedTokens(f)-before, a.Burst+a.Rate*f.now.Sub(from).Seconds()
			if used > limit {
				t.Errorf("%.0f tokens after the rate was lowered, allowed are %.0f", used, limit)
			}
		})
	}
}

// loansEnd is when a change of the rate is in force everywhere and what was lent
// before it has been given back.
const loanSettlementTime = 8 * time.Second

// TestNoWrongfulRefusals: nothing fails. A client account sends nine tenths of
// its rate, through one instance, through all, or through one after the other.
// Each instance holds a ninth of the rate, so most has to be lent to where the
// calls arrive. No call is refused, as all are inside the account's rate.
func TestNoWrongfulRefusals(t *testing.T) {
	t.Parallel()
	for _, burst := range []float64{900, 12000} {
		for _, tr := range trafficPatterns {
			t.Run(fmt.Sprint(tr.name, " burst ", burst), func(t *testing.T) {
				t.Parallel()
				f := newRateFleet(t, 43, func(s *Settings) { setBurst(s, burst) })
				rate := f.Config.Accounts["a"].Rate
				gap := time.Duration(lookupTokens / (0.9 * rate) * float64(time.Second))
				f.repeat(gap, 40*time.Second, func(n int) { f.Call(f.Nodes[tr.nodeIndex(n)], lookupSpec("a", n)) })
				f.Run(6 * time.Second)
				wantCompleted(t, f.Calls...)
				wantNoViolations(t, f)
			})
		}
	}
}

func setBurst(s *Settings, burst float64) {
	a := s.Config.Accounts["a"]
	a.Burst = burst
	s.Config.Accounts["a"] = a
}

// TestWholeBurstThroughOneInstance: an account that was idle sends nine tenths of
// its burst in one moment through one instance, and again when its rate has filled
// it. The instance holds a ninth of it, and draws the rest from all holders at
// once. No call is refused.
func TestWholeBurstThroughOneInstance(t *testing.T) {
	t.Parallel()
	for _, at := range []int{0, 5} {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			t.Parallel()
			f := newRateFleet(t, 48, nil)
			a := f.Config.Accounts["a"]
			for range 4 {
				f.Run(10 * time.Second)
				for n := range int(0.9 * a.Burst / lookupTokens) {
					f.Call(f.Nodes[at], lookupSpec("a", n))
				}
			}
			f.Run(6 * time.Second)
			wantCompleted(t, f.Calls...)
			wantNoViolations(t, f)
		})
	}
}

// TestRateWithinShareWhenCut: a zone is cut off from all others and the
// platform. Its account sends three tenths of its rate there, nine tenths of the
// zone's third. The zone knows its own share and serves all of it.
func TestRateShareInIsolatedZone(t *testing.T) {
	t.Parallel()
	f := newRateFleet(t, 44, nil)
	f.Network.SetIsolated("zb", true)
	f.Run(3 * time.Second)
	nodes := f.zoneNodes("zb")
	f.repeat(111*time.Millisecond, time.Minute, func(n int) { f.Call(nodes[0], lookupSpec("a", n)) })
	f.Run(6 * time.Second)
	wantCompleted(t, f.Calls...)
	wantNoViolations(t, f)
}

// TestTooLargeForBurst: a call may cost more than its account's whole burst. It
// can never be paid, so it is refused at once, and is not told to come back.
func TestCallLargerThanBurst(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 45, func(s *Settings) {
		a := s.Config.Accounts["a"]
		a.Burst = 100
		s.Config.Accounts["a"] = a
	})
	s := modelSpec("", "large")
	s.PromptTokens = 200
	c := f.Call(f.Nodes[0], s)
	f.Run(time.Second)
	wantRefused(t, c, event.ReasonRate, event.NotRun)
	if c.Refusal != nil && c.Refusal.RetryAfter != 0 {
		t.Errorf("told to come back after %s", c.Refusal.RetryAfter)
	}
}

// TestRateCheckFires shows that the check at the servers can fail: lenders that
// say that they lent three times what they deducted let an account spend more
// than its rate and burst.
func TestRateCheckDetectsViolations(t *testing.T) {
	t.Parallel()
	f := newRateFleet(t, 46, nil)
	f.Network.RewriteMessage = func(m message.Message) message.Message {
		if lent, ok := m.(message.Lent); ok {
			lent.Tokens *= 3
			lent.Rate *= 3
			lent.Burst *= 3
			return lent
		}
		return m
	}
	sendOverload(f, trafficPatterns[0], 20*time.Second)
	wantViolation(t, f, "an account spent what was lent three times")
}

// TestManyAccountsShareServers: five client accounts send through all instances,
// one of them ten times its rate. Those inside their rates are not refused
// because of it.
func TestManyAccountsShareServers(t *testing.T) {
	t.Parallel()
	f := newRateFleet(t, 47, func(s *Settings) {
		for n := range 3 {
			AddAccount(s.Config, config.Account{Name: otherAccount(n), Rate: 1000, Burst: 3000, Weight: 1, Class: config.Interactive})
		}
	})
	f.repeat(20*time.Millisecond, 20*time.Second, func(n int) {
		for k := range 5 {
			f.Call(f.Nodes[(n+k)%9], lookupSpec("a", n))
		}
		if n%7 == 0 {
			for k := range 3 {
				f.Call(f.Nodes[(n+k)%9], lookupSpec(otherAccount(k), n))
			}
		}
	})
	f.Run(6 * time.Second)
	for _, c := range f.Calls {
		if c.Account != "a" && !c.Completed {
			t.Errorf("%s of %s: %s", c.Request, c.Account, c.describeResult())
		}
	}
	wantNoViolations(t, f)
}

func otherAccount(n int) id.Account { return id.Account(fmt.Sprint("other", n)) }

// TestRateWhileAllAreReplaced: all nine instances are stopped and replaced, one
// after the other, while an account sends nine tenths of its rate through those
// that are ready, or through the first of them. The shares of a stopped instance
// go to another one in a message. No call is refused, and the rate holds.
func TestRateDuringRollingReplacement(t *testing.T) {
	t.Parallel()
	const length = 100 * time.Second
	for _, one := range []bool{false, true} {
		t.Run(fmt.Sprint("through one ", one), func(t *testing.T) {
			t.Parallel()
			f := newRateFleet(t, 300, nil)
			gap := time.Duration(lookupTokens / (0.9 * f.Config.Accounts["a"].Rate) * float64(time.Second))
			for n := range int(length / gap) {
				f.schedule(time.Duration(n)*gap, func() {
					open := f.readyNodes()
					at := open[n%len(open)]
					if one {
						at = open[0]
					}
					f.Call(at, lookupSpec("a", n))
				})
			}
			f.Run(10 * time.Second)
			replaceAll(t, f)
			f.Run(length + 20*time.Second - f.Now())
			wantCompleted(t, f.Calls...)
			wantNoViolations(t, f)
		})
	}
}
