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
type traffic struct {
	name string
	at   func(n int) int
}

var traffics = []traffic{
	{"one", func(int) int { return 0 }},
	{"spread", func(n int) int { return n % 9 }},
	{"moving", func(n int) int { return n / 100 % 9 }},
}

// overload sends three times the rate of account a for a while, and a burst at
// the start.
func overload(f *Fleet, tr traffic, length time.Duration) {
	for n := range 150 {
		f.Call(f.Nodes[tr.at(n)], lookup("a", n))
	}
	f.every(11*time.Millisecond, length, func(n int) { f.Call(f.Nodes[tr.at(n)], lookup("a", n)) })
}

// granted counts what account a was served, in tokens.
func granted(f *Fleet) float64 {
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
			f.after(3*time.Second, f.Nodes[1].Kill)
			f.after(6*time.Second, f.Nodes[5].Kill)
		}},
		{"holder replaced", func(f *Fleet) {
			for n, node := range f.Nodes {
				f.after(time.Duration(n+1)*1500*time.Millisecond, func() { node.Kill(); node.Restart() })
			}
		}},
		{"holder paused", func(f *Fleet) {
			f.after(2*time.Second, func() { f.Nodes[0].Pause(10 * time.Second) })
			f.after(4*time.Second, func() { f.Nodes[4].Pause(9 * time.Second) })
		}},
		{"holder stopped", func(f *Fleet) {
			f.after(2*time.Second, f.Nodes[0].Stop)
			f.after(8*time.Second, f.Nodes[0].Restart)
		}},
		{"zone cut and rejoined", func(f *Fleet) {
			f.after(2*time.Second, func() { f.Net.Isolate("za", true) })
			f.after(12*time.Second, func() { f.Net.Isolate("za", false) })
		}},
		{"all zones cut", func(f *Fleet) {
			f.after(2*time.Second, func() {
				for _, z := range f.zones {
					f.Net.Isolate(z, true)
				}
			})
			f.after(14*time.Second, f.Net.Heal)
		}},
		{"lossy net", func(f *Fleet) { f.Net.Lose, f.Net.Double, f.Net.Late = 0.3, 0.3, 0.3 }},
		{"table down and holder killed", func(f *Fleet) {
			f.after(time.Second, func() { f.Table.Down = true })
			f.after(4*time.Second, f.Nodes[2].Kill)
			f.after(14*time.Second, f.Table.Heal)
		}},
		{"rate lowered", func(f *Fleet) { f.after(4*time.Second, func() { lowerRate(f) }) }},
		{"rate lowered on a lossy net", func(f *Fleet) {
			f.Net.Lose, f.Net.Double, f.Net.Late = 0.2, 0.2, 0.2
			f.after(4*time.Second, func() { lowerRate(f) })
		}},
	}
	for _, fault := range faults {
		for _, tr := range traffics {
			t.Run(fault.name+" "+tr.name, func(t *testing.T) {
				t.Parallel()
				f := rateFleet(t, 41, nil)
				fault.begin(f)
				overload(f, tr, 20*time.Second)
				f.Heal()
				f.Run(10 * time.Second)
				noFaults(t, f)
				if granted(f) == 0 {
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
	for _, tr := range traffics {
		t.Run(tr.name, func(t *testing.T) {
			t.Parallel()
			f := rateFleet(t, 42, nil)
			overload(f, tr, 8*time.Second)
			lowerRate(f)
			overload(f, tr, loansEnd)
			from, before := f.now, granted(f)
			overload(f, tr, 10*time.Second)
			f.Run(6 * time.Second)
			a := f.Config.Accounts["a"]
			used, limit := granted(f)-before, a.Burst+a.Rate*f.now.Sub(from).Seconds()
			if used > limit {
				t.Errorf("%.0f tokens after the rate was lowered, allowed are %.0f", used, limit)
			}
		})
	}
}

// loansEnd is when a change of the rate is in force everywhere and what was lent
// before it has been given back.
const loansEnd = 8 * time.Second

// TestNoWrongfulRefusals: nothing fails. A client account sends nine tenths of
// its rate, through one instance, through all, or through one after the other.
// Each instance holds a ninth of the rate, so most has to be lent to where the
// calls arrive. No call is refused, as all are inside the account's rate.
func TestNoWrongfulRefusals(t *testing.T) {
	t.Parallel()
	for _, burst := range []float64{900, 12000} {
		for _, tr := range traffics {
			t.Run(fmt.Sprint(tr.name, " burst ", burst), func(t *testing.T) {
				t.Parallel()
				f := rateFleet(t, 43, func(s *Settings) { setBurst(s, burst) })
				rate := f.Config.Accounts["a"].Rate
				gap := time.Duration(lookupTokens / (0.9 * rate) * float64(time.Second))
				f.every(gap, 40*time.Second, func(n int) { f.Call(f.Nodes[tr.at(n)], lookup("a", n)) })
				f.Run(6 * time.Second)
				wantWhole(t, f.Calls...)
				noFaults(t, f)
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
			f := rateFleet(t, 48, nil)
			a := f.Config.Accounts["a"]
			for range 4 {
				f.Run(10 * time.Second)
				for n := range int(0.9 * a.Burst / lookupTokens) {
					f.Call(f.Nodes[at], lookup("a", n))
				}
			}
			f.Run(6 * time.Second)
			wantWhole(t, f.Calls...)
			noFaults(t, f)
		})
	}
}

// TestRateWithinShareWhenCut: a zone is cut off from all others and the
// platform. Its account sends three tenths of its rate there, nine tenths of the
// zone's third. The zone knows its own share and serves all of it.
func TestRateWithinShareWhenCut(t *testing.T) {
	t.Parallel()
	f := rateFleet(t, 44, nil)
	f.Net.Isolate("zb", true)
	f.Run(3 * time.Second)
	nodes := f.zoneNodes("zb")
	f.every(111*time.Millisecond, time.Minute, func(n int) { f.Call(nodes[0], lookup("a", n)) })
	f.Run(6 * time.Second)
	wantWhole(t, f.Calls...)
	noFaults(t, f)
}

// TestTooLargeForBurst: a call may cost more than its account's whole burst. It
// can never be paid, so it is refused at once, and is not told to come back.
func TestTooLargeForBurst(t *testing.T) {
	t.Parallel()
	f := ready(t, 45, func(s *Settings) {
		a := s.Config.Accounts["a"]
		a.Burst = 100
		s.Config.Accounts["a"] = a
	})
	s := model("", "large")
	s.Prompt = 200
	c := f.Call(f.Nodes[0], s)
	f.Run(time.Second)
	wantRefused(t, c, event.ReasonOverRate, event.NotRun)
	if c.Refusal != nil && c.Refusal.RetryAfter != 0 {
		t.Errorf("told to come back after %s", c.Refusal.RetryAfter)
	}
}

// TestRateCheckFires shows that the check at the servers can fail: lenders that
// say that they lent three times what they deducted let an account spend more
// than its rate and burst.
func TestRateCheckFires(t *testing.T) {
	t.Parallel()
	f := rateFleet(t, 46, nil)
	f.Net.Alter = func(m message.Message) message.Message {
		if lent, ok := m.(message.LoanGrant); ok {
			lent.Tokens *= 3
			lent.Rate *= 3
			lent.Burst *= 3
			return lent
		}
		return m
	}
	overload(f, traffics[0], 20*time.Second)
	wantFault(t, f, "an account spent what was lent three times")
}

// TestManyAccountsShareServers: five client accounts send through all instances,
// one of them ten times its rate. Those inside their rates are not refused
// because of it.
func TestManyAccountsShareServers(t *testing.T) {
	t.Parallel()
	f := rateFleet(t, 47, func(s *Settings) {
		for n := range 3 {
			AddAccount(s.Config, config.Account{Name: other(n), Rate: 1000, Burst: 3000, Weight: 1, Class: config.Interactive})
		}
	})
	f.every(20*time.Millisecond, 20*time.Second, func(n int) {
		for k := range 5 {
			f.Call(f.Nodes[(n+k)%9], lookup("a", n))
		}
		if n%7 == 0 {
			for k := range 3 {
				f.Call(f.Nodes[(n+k)%9], lookup(other(k), n))
			}
		}
	})
	f.Run(6 * time.Second)
	for _, c := range f.Calls {
		if c.Account != "a" && !c.Whole {
			t.Errorf("%s of %s: %s", c.Request, c.Account, c.ending())
		}
	}
	noFaults(t, f)
}

func other(n int) id.Account { return id.Account(fmt.Sprint("other", n)) }

// TestRateWhileAllAreReplaced: all nine instances are stopped and replaced, one
// after the other, while an account sends nine tenths of its rate through those
// that are ready, or through the first of them. The shares of a stopped instance
// go to another one in a message. No call is refused, and the rate holds.
func TestRateWhileAllAreReplaced(t *testing.T) {
	t.Parallel()
	const length = 100 * time.Second
	for _, one := range []bool{false, true} {
		t.Run(fmt.Sprint("through one ", one), func(t *testing.T) {
			t.Parallel()
			f := rateFleet(t, 300, nil)
			gap := time.Duration(lookupTokens / (0.9 * f.Config.Accounts["a"].Rate) * float64(time.Second))
			for n := range int(length / gap) {
				f.after(time.Duration(n)*gap, func() {
					open := f.open()
					at := open[n%len(open)]
					if one {
						at = open[0]
					}
					f.Call(at, lookup("a", n))
				})
			}
			f.Run(10 * time.Second)
			replaceAll(t, f)
			f.Run(length + 20*time.Second - f.Now())
			wantWhole(t, f.Calls...)
			noFaults(t, f)
		})
	}
}
