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

// trafficPattern gives the index of the node that gets the n-th call.
type trafficPattern struct {
	name      string
	nodeIndex func(n int) int
}

var trafficPatterns = []trafficPattern{
	{"one instance", func(int) int { return 0 }},
	{"all instances", func(n int) int { return n % 9 }},
	{"one after the other", func(n int) int { return n / 100 % 9 }},
}

// sendOverload sends a burst of calls of account a, and then three times its
// rate for some time.
func sendOverload(f *Fleet, pattern trafficPattern, length time.Duration) {
	for n := range 150 {
		f.Call(f.Nodes[pattern.nodeIndex(n)], lookupSpec("a", n))
	}
	f.repeat(11*time.Millisecond, length, func(n int) { f.Call(f.Nodes[pattern.nodeIndex(n)], lookupSpec("a", n)) })
}

// grantedTokens returns the cost of all calls of account a that ran.
func grantedTokens(f *Fleet) float64 {
	sum := 0.0
	for _, c := range f.Calls {
		if c.Account == "a" && c.runs > 0 {
			sum += lookupTokens
		}
	}
	return sum
}

// TestRateUnderFaults: an account sends three times its rate while instances
// that hold shares of the rate are killed, paused or replaced, zones are
// isolated, messages are lost, duplicated or late, or the rate is lowered while
// parts of it are lent. Calls may be refused, but the servers must never see
// more than rate and burst: a lender deducts tokens before it lends them, so
// those in a lost message are lost and never spent twice.
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
		{"zone isolated and reconnected", func(f *Fleet) {
			f.schedule(2*time.Second, func() { f.Network.SetIsolated("za", true) })
			f.schedule(12*time.Second, func() { f.Network.SetIsolated("za", false) })
		}},
		{"all zones isolated", func(f *Fleet) {
			f.schedule(2*time.Second, func() {
				for _, z := range f.zones {
					f.Network.SetIsolated(z, true)
				}
			})
			f.schedule(14*time.Second, f.Network.Heal)
		}},
		{"lossy network", func(f *Fleet) { f.Network.LossRate, f.Network.DuplicateRate, f.Network.DelayRate = 0.3, 0.3, 0.3 }},
		{"table down and holder killed", func(f *Fleet) {
			f.schedule(time.Second, func() { f.Table.Down = true })
			f.schedule(4*time.Second, f.Nodes[2].Kill)
			f.schedule(14*time.Second, f.Table.Heal)
		}},
		{"rate lowered", func(f *Fleet) { f.schedule(4*time.Second, func() { lowerRate(f) }) }},
		{"rate lowered on a lossy network", func(f *Fleet) {
			f.Network.LossRate, f.Network.DuplicateRate, f.Network.DelayRate = 0.2, 0.2, 0.2
			f.schedule(4*time.Second, func() { lowerRate(f) })
		}},
	}
	for _, fault := range faults {
		for _, pattern := range trafficPatterns {
			t.Run(fault.name+" "+pattern.name, func(t *testing.T) {
				t.Parallel()
				f := newRateFleet(t, 41, nil)
				fault.begin(f)
				sendOverload(f, pattern, 20*time.Second)
				f.Heal()
				f.Run(10 * time.Second)
				wantNoViolations(t, f)
				if grantedTokens(f) == 0 {
					t.Error("no call was served")
				}
			})
		}
	}
}

// lowerRate reduces the rate and burst of account a to a third.
func lowerRate(f *Fleet) {
	c := Clone(f.Config)
	a := c.Accounts["a"]
	a.Rate, a.Burst = a.Rate/3, a.Burst/3
	c.Accounts["a"] = a
	f.Publish(c)
}

// TestLoweredRateHolds: the rate of an account is lowered to a third while the
// account sends more than that, also through one instance that has borrowed from
// all others. Once the loans have ended, the servers see no more than the new
// rate.
func TestLoweredRateHolds(t *testing.T) {
	t.Parallel()
	for _, pattern := range trafficPatterns {
		t.Run(pattern.name, func(t *testing.T) {
			t.Parallel()
			f := newRateFleet(t, 42, nil)
			sendOverload(f, pattern, 8*time.Second)
			lowerRate(f)
			sendOverload(f, pattern, loanSettlementTime)
			from, before := f.now, grantedTokens(f)
			sendOverload(f, pattern, 10*time.Second)
			f.Run(6 * time.Second)
			a := f.Config.Accounts["a"]
			used, limit := grantedTokens(f)-before, a.Burst+a.Rate*f.now.Sub(from).Seconds()
			if used > limit {
				t.Errorf("%.0f tokens used after the rate was lowered, more than the allowed %.0f", used, limit)
			}
		})
	}
}

// loanSettlementTime is the time after which a change of the rate is in force
// everywhere and earlier loans have been returned.
const loanSettlementTime = 8 * time.Second

// TestNoWrongfulRefusals: without faults, an account sends nine tenths of its
// rate. Each instance holds a ninth of the rate, so with most patterns tokens
// must be lent to the instances that get the calls. No call may be refused, as
// the account stays within its rate.
func TestNoWrongfulRefusals(t *testing.T) {
	t.Parallel()
	for _, burst := range []float64{900, 12000} {
		for _, pattern := range trafficPatterns {
			t.Run(fmt.Sprint(pattern.name, " burst ", burst), func(t *testing.T) {
				t.Parallel()
				f := newRateFleet(t, 43, func(s *Settings) { setBurst(s, burst) })
				rate := f.Config.Accounts["a"].Rate
				gap := time.Duration(lookupTokens / (0.9 * rate) * float64(time.Second))
				f.repeat(gap, 40*time.Second, func(n int) { f.Call(f.Nodes[pattern.nodeIndex(n)], lookupSpec("a", n)) })
				f.Run(6 * time.Second)
				wantCompleted(t, f.Calls...)
				wantNoViolations(t, f)
			})
		}
	}
}

// setBurst sets the burst of account a.
func setBurst(s *Settings, burst float64) {
	a := s.Config.Accounts["a"]
	a.Burst = burst
	s.Config.Accounts["a"] = a
}

// TestWholeBurstThroughOneInstance: an idle account sends nine tenths of its
// burst at once through one instance, and again each time its rate has refilled
// the burst. The instance holds a ninth of it and borrows the rest from all
// holders at once. No call is refused.
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

// TestRateShareInIsolatedZone: an account sends three tenths of its rate in an
// isolated zone, nine tenths of the third that the zone holds. The zone serves
// all of it from its own share.
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

// TestCallLargerThanBurst: a call that costs more than the whole burst of its
// account can never be paid for. It is refused at once, without a retry time.
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
	wantRefused(t, c, event.ReasonOverRate, event.NotRun)
	if c.Refusal != nil && c.Refusal.RetryAfter != 0 {
		t.Errorf("the refusal has a retry time of %s", c.Refusal.RetryAfter)
	}
}

// TestRateCheckDetectsViolations: lenders that report three times the tokens
// they deducted let an account exceed its rate and burst.
func TestRateCheckDetectsViolations(t *testing.T) {
	t.Parallel()
	f := newRateFleet(t, 46, nil)
	f.Network.RewriteMessage = func(m message.Message) message.Message {
		if grant, ok := m.(message.LoanGrant); ok {
			grant.Tokens *= 3
			grant.Rate *= 3
			grant.Burst *= 3
			return grant
		}
		return m
	}
	sendOverload(f, trafficPatterns[0], 20*time.Second)
	wantViolation(t, f, "an account spent three times the lent tokens")
}

// TestManyAccountsShareServers: several accounts send calls through all
// instances, one of them far more than its rate allows. No call of the others,
// which stay within their rates, is refused.
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

// TestRateDuringRollingReplacement: all nine instances are stopped and replaced
// one after another, while an account sends nine tenths of its rate through all
// ready instances or through the first of them. A stopping instance hands its
// shares to another one in a message. No call is refused, and the rate holds.
func TestRateDuringRollingReplacement(t *testing.T) {
	t.Parallel()
	const length = 100 * time.Second
	for _, singleInstance := range []bool{false, true} {
		t.Run(fmt.Sprint("through one instance ", singleInstance), func(t *testing.T) {
			t.Parallel()
			f := newRateFleet(t, 300, nil)
			gap := time.Duration(lookupTokens / (0.9 * f.Config.Accounts["a"].Rate) * float64(time.Second))
			for n := range int(length / gap) {
				f.schedule(time.Duration(n)*gap, func() {
					ready := f.readyNodes()
					at := ready[n%len(ready)]
					if singleInstance {
						at = ready[0]
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
