package fleet

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/event"
)

// crashCount returns the number of crashes of all servers.
func (f *Fleet) crashCount() int {
	n := 0
	for _, s := range f.Servers {
		n += s.Crashes
	}
	return n
}

// The most crashes that one request may cause in the whole fleet, when sent
// again and again, before it is refused everywhere. Sent through one instance
// after another, the first crash makes it a suspect, and the second one, when it
// runs alone, has it refused. Sent through all instances at once, it may crash
// two engines in each of the three zones, which have one replica of the model
// each: one beside other requests and one alone, before the zone hears of the
// crashes elsewhere. docs/design/crash-suspects.md gives the general bound.
const (
	maxCrashesSequential = 2
	maxCrashesConcurrent = 6
)

// crashingSpec is a call that crashes each engine that runs it.
func crashingSpec() Spec {
	return Spec{Account: "a", Artifact: "m0", PromptTokens: 10, OutputTokens: 20, Timeout: 20 * time.Second, Body: "crash", CrashesEngine: true}
}

// TestCrashingRequestSentSequentially: a request that crashes engines is sent
// through one instance after another for five minutes. It may crash two engines,
// one beside other requests and one alone, and is then refused everywhere. Other
// requests are answered all the time.
func TestCrashingRequestSentSequentially(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 71, nil)
	innocent := func(n int) { f.Call(f.Nodes[(n+4)%9], modelSpec("b", fmt.Sprint("innocent", n))) }
	for n := range 5 {
		innocent(n)
	}
	f.Run(5 * time.Second)
	f.repeat(time.Second, 5*time.Minute, func(n int) {
		f.Call(f.Nodes[n%9], crashingSpec())
		innocent(n)
	})
	f.Run(25 * time.Second)
	if n := f.crashCount(); n == 0 || n > maxCrashesSequential {
		t.Errorf("%d crashes, want 1 to %d", n, maxCrashesSequential)
	}
	for _, c := range f.Calls {
		if !c.CrashesEngine {
			wantCompleted(t, c)
		}
	}
	afterwards := f.Call(f.Nodes[3], crashingSpec())
	f.Run(time.Second)
	wantRefused(t, afterwards, event.ReasonCrash, event.NotRun)
	if afterwards.Refusal != nil && afterwards.Refusal.RetryAfter == 0 {
		t.Error("the refusal has no retry time")
	}
	wantNoViolations(t, f)
}

// TestCrashingRequestSentConcurrently: the request is sent through all nine
// instances at the same time, again every second. With odd seeds the network
// loses a fifth of all messages, so that some instances learn late that it is a
// suspect.
func TestCrashingRequestSentConcurrently(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newReadyFleet(t, 72+seed, nil)
			f.Network.LossRate = 0.2 * float64(seed%2)
			for n, node := range f.Nodes {
				f.Call(node, modelSpec("b", fmt.Sprint("warm", n)))
			}
			f.Run(8 * time.Second)
			f.repeat(time.Second, 90*time.Second, func(n int) {
				for k, node := range f.Nodes {
					f.Call(node, crashingSpec())
					f.Call(node, modelSpec("b", fmt.Sprint("innocent", n, k)))
				}
			})
			f.Run(25 * time.Second)
			t.Logf("%d crashes", f.crashCount())
			if n := f.crashCount(); n == 0 || n > maxCrashesConcurrent {
				t.Errorf("%d crashes, want 1 to %d", n, maxCrashesConcurrent)
			}
			for _, c := range f.Calls {
				if !c.CrashesEngine {
					wantCompleted(t, c)
				}
			}
			wantNoViolations(t, f)
		})
	}
}

// TestCrashingRequestAndReplacedInstance: an instance that starts after a
// request was found to crash engines knows nothing of that. It lets the request
// run again, alone, and then refuses it. A replaced instance may cost at most
// two more crashes.
func TestCrashingRequestAndReplacedInstance(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 77, nil)
	f.Call(f.Nodes[0], modelSpec("b", "warm"))
	f.Run(5 * time.Second)
	f.repeat(time.Second, 15*time.Second, func(n int) { f.Call(f.Nodes[n%9], crashingSpec()) })
	before := f.crashCount()
	f.Nodes[5].Kill()
	f.Nodes[5].Restart()
	f.Run(10 * time.Second)
	f.repeat(time.Second, time.Minute, func(int) { f.Call(f.Nodes[5], crashingSpec()) })
	f.Run(25 * time.Second)
	if n := f.crashCount() - before; n > 2 {
		t.Errorf("%d more crashes through a replaced instance, want at most 2", n)
	}
	wantNoViolations(t, f)
}

// TestCrashBoundCanBeExceeded: requests with different bodies are different
// requests, and together cause more crashes than the bound. This shows that the
// bound is not met trivially.
func TestCrashBoundCanBeExceeded(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 78, nil)
	f.repeat(2*time.Second, time.Minute, func(n int) {
		c := crashingSpec()
		c.Body = fmt.Sprint("crash", n)
		f.Call(f.Nodes[n%9], c)
	})
	f.Run(25 * time.Second)
	if n := f.crashCount(); n <= maxCrashesConcurrent {
		t.Errorf("%d crashes by requests with different bodies, not more than the bound for one request", n)
	}
}
