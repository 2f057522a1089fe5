package fleet

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
)

// inForceWithin is how soon a change is in force at instances that a path leads to.
const inForceWithin = 3 * time.Second

// withdrawal takes a right of account a away.
type withdrawal struct {
	name   string
	reason event.Reason
	apply  func(c *config.Config)
}

var withdrawals = []withdrawal{
	{"key", event.ReasonUnknownKey, func(c *config.Config) { delete(c.Keys, KeyOf("a")) }},
	{"approval", event.ReasonNotApproved, func(c *config.Config) {
		delete(c.Approvals, config.Approval{Account: "a", Model: "m0"})
		delete(c.Approvals, config.Approval{Account: "a", Service: Lookup})
		delete(c.Approvals, config.Approval{Account: "a", Service: Orders})
	}},
}

func (f *Fleet) withdraw(w withdrawal) {
	c := Clone(f.Config)
	w.apply(c)
	f.Publish(c)
}

// stream is a call of account a that takes 20 s, once m0 is loaded.
func stream(n int) Spec {
	return Spec{Account: "a", Artifact: "m0", Prompt: 20, Tokens: 100, Within: 50 * time.Second, Body: fmt.Sprint("stream", n)}
}

// slowTokens makes streams last.
func slowTokens(s *Settings) { s.TokenTime = 200 * time.Millisecond }

// TestWithdrawnWhileWaiting: calls of an account wait for a cold model while its
// key or its approval is withdrawn. They are refused within seconds as not run,
// long before the model is loaded. Calls that arrive later are refused at once.
func TestWithdrawnWhileWaiting(t *testing.T) {
	t.Parallel()
	for _, w := range withdrawals {
		t.Run(w.name, func(t *testing.T) {
			f := ready(t, 31, func(s *Settings) {
				m := s.Config.Artifacts["m0"]
				m.LoadTime = 15 * time.Second
				s.Config.Artifacts["m0"] = m
			})
			for n, node := range f.Nodes {
				f.Call(node, stream(n))
			}
			f.Run(3 * time.Second)
			at := f.now
			f.withdraw(w)
			f.Run(inForceWithin)
			for _, c := range f.Calls {
				wantRefused(t, c, w.reason, event.NotRun)
				if c.EndedAt.Sub(at) > inForceWithin {
					t.Errorf("%s was refused %s after the withdrawal", c.Request, c.EndedAt.Sub(at))
				}
			}
			late := f.Call(f.Nodes[4], stream(100))
			f.Run(time.Second)
			wantRefused(t, late, w.reason, event.NotRun)
			if late.Took() > 100*time.Millisecond {
				t.Errorf("a call with a withdrawn right was refused after %s", late.Took())
			}
			noFaults(t, f)
		})
	}
}

// TestWithdrawnWhileStreaming: answers are streaming when the key or approval is
// withdrawn. The streams end within seconds with an explicit error that says
// that it is not known whether they ran. Other accounts' streams go on.
func TestWithdrawnWhileStreaming(t *testing.T) {
	t.Parallel()
	for _, w := range withdrawals {
		t.Run(w.name, func(t *testing.T) {
			f := ready(t, 32, slowTokens)
			for n, node := range f.Nodes {
				s := stream(n)
				f.Call(node, s)
				s.Account = "b"
				f.Call(node, s)
			}
			f.until(t, "all stream", 20*time.Second, func() bool {
				for _, c := range f.Calls {
					if c.FirstAt == 0 {
						return false
					}
				}
				return true
			})
			at := f.now
			f.withdraw(w)
			f.Run(45 * time.Second)
			for _, c := range f.Calls {
				if c.Account == "b" {
					wantWhole(t, c)
					continue
				}
				wantRefused(t, c, w.reason, event.MayHaveRun)
				if c.EndedAt.Sub(at) > inForceWithin {
					t.Errorf("%s ended %s after the withdrawal", c.Request, c.EndedAt.Sub(at))
				}
			}
			noFaults(t, f)
		})
	}
}

// TestWithdrawnOrderFinishes: the key is withdrawn while an order that may not be
// repeated is running. Breaking it off would only lose its outcome: it finishes,
// and its caller gets the answer.
func TestWithdrawnOrderFinishes(t *testing.T) {
	t.Parallel()
	f := ready(t, 33, nil)
	s := order(Orders, "k", "one")
	s.Account = "a"
	c := f.Call(f.Nodes[0], s)
	f.until(t, "the order runs", time.Second, func() bool { return c.runs > 0 })
	f.withdraw(withdrawals[0])
	f.Run(5 * time.Second)
	wantWhole(t, c)
	late := f.Call(f.Nodes[1], s)
	f.Run(time.Second)
	wantRefused(t, late, event.ReasonUnknownKey, event.NotRun)
	noFaults(t, f)
}

// TestWithdrawnOnPausedInstance: the key is withdrawn while an instance is frozen
// or cut off with streams running. When it is back it hears of the withdrawal
// within seconds: from then on the key is refused there too, and what still
// streams has ended.
func TestWithdrawnOnPausedInstance(t *testing.T) {
	t.Parallel()
	absences := []struct {
		name string
		away func(f *Fleet, on bool)
	}{
		{"paused", func(f *Fleet, on bool) {
			if on {
				f.Nodes[0].Pause(10 * time.Second)
			}
		}},
		{"cut off", func(f *Fleet, on bool) { f.Net.Isolate("za", on) }},
	}
	for _, absence := range absences {
		t.Run(absence.name, func(t *testing.T) {
			f := ready(t, 34, slowTokens)
			s := stream(1)
			s.Tokens = 300
			c := f.Call(f.Nodes[0], s)
			f.until(t, "it streams", 20*time.Second, func() bool { return c.FirstAt != 0 })
			absence.away(f, true)
			f.Run(time.Second)
			f.withdraw(withdrawals[0])
			f.Run(9 * time.Second)
			absence.away(f, false)
			back := f.now
			f.Run(inForceWithin)
			wantRefused(t, c, event.ReasonUnknownKey, event.MayHaveRun)
			if c.EndedAt.Sub(back) > inForceWithin {
				t.Errorf("the stream ended %s after the return", c.EndedAt.Sub(back))
			}
			late := f.Call(f.Nodes[0], stream(2))
			f.Run(time.Second)
			if late.Whole || late.runs > 0 || late.Refusal == nil && !late.lost {
				t.Errorf("a withdrawn key after the return: %s", late.ending())
			}
			noFaults(t, f)
		})
	}
}

// TestIsolationPolicy: a zone is cut off from all others and the platform, and
// can't hear of withdrawals. An account without a limit is served there by the
// last version heard for as long as the cut lasts; one that declares how long is
// served for that long and then refused as not run, with when to come back; all
// is well again within seconds of the end of the cut.
func TestIsolationPolicy(t *testing.T) {
	t.Parallel()
	const serveFor = 30 * time.Second
	f := ready(t, 35, func(s *Settings) {
		a := s.Config.Accounts["a"]
		a.ServeFor = serveFor
		s.Config.Accounts["a"] = a
	})
	f.Net.Isolate("za", true)
	call := func(n int) (limited, free *Call) {
		limited, free = f.Call(f.Nodes[n%3], lookup("a", n)), f.Call(f.Nodes[n%3], lookup("b", n))
		f.Run(time.Second)
		return limited, free
	}
	for n := range 24 {
		limited, free := call(n)
		wantWhole(t, limited, free)
	}
	f.Run(15 * time.Second)
	for n := range 20 {
		limited, free := call(100 + n)
		wantRefused(t, limited, event.ReasonIsolated, event.NotRun)
		if limited.Refusal != nil && limited.Refusal.RetryAfter == 0 {
			t.Error("not told when to come back")
		}
		wantWhole(t, free)
	}
	f.Heal()
	f.Run(inForceWithin)
	limited, free := call(200)
	wantWhole(t, limited, free)
	noFaults(t, f)
}

// TestKeyCheckFires shows that the checks of withdrawals can fail: an instance
// that hears nothing of the change goes on serving a withdrawn key.
func TestKeyCheckFires(t *testing.T) {
	t.Parallel()
	f := ready(t, 36, nil)
	f.Net.Isolate("za", true)
	f.withdraw(withdrawals[0])
	f.Run(inForceWithin)
	c := f.Call(f.Nodes[0], lookup("a", 1))
	f.Run(time.Second)
	if !c.Whole {
		t.Errorf("a cut-off zone serves by the last version heard, got %s: the tests above show nothing", c.ending())
	}
}
