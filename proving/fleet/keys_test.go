package fleet

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
)

// configPropagationLimit is the time within which a change is in force at all
// instances that can be reached on some path.
const configPropagationLimit = 3 * time.Second

// withdrawal is a change of the configuration that withdraws a right of account
// a.
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

// withdraw publishes a withdrawal.
func (f *Fleet) withdraw(w withdrawal) {
	c := Clone(f.Config)
	w.apply(c)
	f.Publish(c)
}

// streamSpec is a call of account a whose response takes 20 s with
// setSlowTokens, once m0 is loaded.
func streamSpec(n int) Spec {
	return Spec{Account: "a", Artifact: "m0", PromptTokens: 20, OutputTokens: 100, Timeout: 50 * time.Second, Body: fmt.Sprint("stream", n)}
}

// setSlowTokens makes responses stream for a long time.
func setSlowTokens(s *Settings) { s.TokenTime = 200 * time.Millisecond }

// TestWithdrawnWhileWaiting: the key or the approval of an account is withdrawn
// while its calls wait for a model to load. They are refused within seconds as
// not run, long before the model is loaded. Later calls are refused at once.
func TestWithdrawnWhileWaiting(t *testing.T) {
	t.Parallel()
	for _, w := range withdrawals {
		t.Run(w.name, func(t *testing.T) {
			f := newReadyFleet(t, 31, func(s *Settings) {
				m := s.Config.Artifacts["m0"]
				m.LoadTime = 15 * time.Second
				s.Config.Artifacts["m0"] = m
			})
			for n, node := range f.Nodes {
				f.Call(node, streamSpec(n))
			}
			f.Run(3 * time.Second)
			withdrawnAt := f.now
			f.withdraw(w)
			f.Run(configPropagationLimit)
			for _, c := range f.Calls {
				wantRefused(t, c, w.reason, event.NotRun)
				if c.EndedAt.Sub(withdrawnAt) > configPropagationLimit {
					t.Errorf("%s was refused %s after the withdrawal", c.Request, c.EndedAt.Sub(withdrawnAt))
				}
			}
			afterwards := f.Call(f.Nodes[4], streamSpec(100))
			f.Run(time.Second)
			wantRefused(t, afterwards, w.reason, event.NotRun)
			if afterwards.Latency() > 100*time.Millisecond {
				t.Errorf("a call with a withdrawn right was refused only after %s", afterwards.Latency())
			}
			wantNoViolations(t, f)
		})
	}
}

// TestWithdrawnWhileStreaming: the key or the approval of an account is
// withdrawn while responses to it stream. The streams end within seconds with an
// explicit error that says that the calls may have run. Streams of other
// accounts continue.
func TestWithdrawnWhileStreaming(t *testing.T) {
	t.Parallel()
	for _, w := range withdrawals {
		t.Run(w.name, func(t *testing.T) {
			f := newReadyFleet(t, 32, setSlowTokens)
			for n, node := range f.Nodes {
				s := streamSpec(n)
				f.Call(node, s)
				s.Account = "b"
				f.Call(node, s)
			}
			f.waitFor(t, "all responses stream", 20*time.Second, func() bool {
				for _, c := range f.Calls {
					if c.FirstTokenAt == 0 {
						return false
					}
				}
				return true
			})
			withdrawnAt := f.now
			f.withdraw(w)
			f.Run(45 * time.Second)
			for _, c := range f.Calls {
				if c.Account == "b" {
					wantCompleted(t, c)
					continue
				}
				wantRefused(t, c, w.reason, event.MayHaveRun)
				if c.EndedAt.Sub(withdrawnAt) > configPropagationLimit {
					t.Errorf("%s ended %s after the withdrawal", c.Request, c.EndedAt.Sub(withdrawnAt))
				}
			}
			wantNoViolations(t, f)
		})
	}
}

// TestWithdrawnOrderFinishes: a key is withdrawn while a non-idempotent call
// with it runs. The call runs to the end and is answered, as cancelling it would
// only lose its outcome.
func TestWithdrawnOrderFinishes(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 33, nil)
	s := orderSpec(Orders, "k", "one")
	s.Account = "a"
	c := f.Call(f.Nodes[0], s)
	f.waitFor(t, "the order runs", time.Second, func() bool { return c.runs > 0 })
	f.withdraw(withdrawals[0])
	f.Run(5 * time.Second)
	wantCompleted(t, c)
	afterwards := f.Call(f.Nodes[1], s)
	f.Run(time.Second)
	wantRefused(t, afterwards, event.ReasonUnknownKey, event.NotRun)
	wantNoViolations(t, f)
}

// TestWithdrawnOnUnreachableInstance: a key is withdrawn while an instance that
// runs a stream is paused or isolated. Within seconds after its return the
// stream ends and the key is refused there too.
func TestWithdrawnOnUnreachableInstance(t *testing.T) {
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
		{"isolated", func(f *Fleet, on bool) { f.Network.SetIsolated("za", on) }},
	}
	for _, absence := range absences {
		t.Run(absence.name, func(t *testing.T) {
			f := newReadyFleet(t, 34, setSlowTokens)
			s := streamSpec(1)
			s.OutputTokens = 300
			c := f.Call(f.Nodes[0], s)
			f.waitFor(t, "the response streams", 20*time.Second, func() bool { return c.FirstTokenAt != 0 })
			absence.away(f, true)
			f.Run(time.Second)
			f.withdraw(withdrawals[0])
			f.Run(9 * time.Second)
			absence.away(f, false)
			reconnectedAt := f.now
			f.Run(configPropagationLimit)
			wantRefused(t, c, event.ReasonUnknownKey, event.MayHaveRun)
			if c.EndedAt.Sub(reconnectedAt) > configPropagationLimit {
				t.Errorf("the stream ended %s after the instance was back", c.EndedAt.Sub(reconnectedAt))
			}
			afterwards := f.Call(f.Nodes[0], streamSpec(2))
			f.Run(time.Second)
			if afterwards.Completed || afterwards.runs > 0 || afterwards.Refusal == nil && !afterwards.connectionLost {
				t.Errorf("call with a withdrawn key after the instance was back: %s", afterwards.describeResult())
			}
			wantNoViolations(t, f)
		})
	}
}

// TestIsolationPolicy: an isolated zone cannot learn of withdrawals. By default
// it serves an account by its latest configuration for as long as the isolation
// lasts. An account with a ServeFor limit is served for that time, and then
// refused as not run, with a retry time. Within seconds after the isolation ends
// all are served.
func TestIsolationPolicy(t *testing.T) {
	t.Parallel()
	const serveFor = 30 * time.Second
	f := newReadyFleet(t, 35, func(s *Settings) {
		a := s.Config.Accounts["a"]
		a.ServeFor = serveFor
		s.Config.Accounts["a"] = a
	})
	f.Network.SetIsolated("za", true)
	call := func(n int) (limited, unlimited *Call) {
		limited, unlimited = f.Call(f.Nodes[n%3], lookupSpec("a", n)), f.Call(f.Nodes[n%3], lookupSpec("b", n))
		f.Run(time.Second)
		return limited, unlimited
	}
	for n := range 24 {
		limited, unlimited := call(n)
		wantCompleted(t, limited, unlimited)
	}
	f.Run(15 * time.Second)
	for n := range 20 {
		limited, unlimited := call(100 + n)
		wantRefused(t, limited, event.ReasonIsolated, event.NotRun)
		if limited.Refusal != nil && limited.Refusal.RetryAfter == 0 {
			t.Error("the refusal has no retry time")
		}
		wantCompleted(t, unlimited)
	}
	f.Heal()
	f.Run(configPropagationLimit)
	limited, unlimited := call(200)
	wantCompleted(t, limited, unlimited)
	wantNoViolations(t, f)
}

// TestWithdrawalCheckDetectsViolations: an instance that cannot learn of a
// withdrawal continues to serve the withdrawn key, so the tests above do not
// pass trivially.
func TestWithdrawalCheckDetectsViolations(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 36, nil)
	f.Network.SetIsolated("za", true)
	f.withdraw(withdrawals[0])
	f.Run(configPropagationLimit)
	c := f.Call(f.Nodes[0], lookupSpec("a", 1))
	f.Run(time.Second)
	if !c.Completed {
		t.Errorf("want an isolated zone to serve a key that was withdrawn elsewhere, got %s", c.describeResult())
	}
}
