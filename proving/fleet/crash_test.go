package fleet

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/event"
)

// crashes counts the crashes of all servers.
func (f *Fleet) crashCount() int {
	n := 0
	for _, s := range f.Servers {
		n += s.Crashes
	}
	return n
}

// The most crashes that one request, sent again and again, may cause in the
// whole fleet before it is refused everywhere. Sent by one instance at a time,
// the first crash makes it a suspect, and the second, alone, has it refused.
// Sent at once through every instance, each of the three zones, which have one
// replica of the model each, may crash an engine once beside others and once alone
// before it hears of the others' crashes. docs/design/crash-suspects.md has the
// bound in general.
const (
	maxCrashesSequential = 2
	maxCrashesConcurrent = 6
)

func crashingSpec() Spec {
	return Spec{Account: "a", Artifact: "m0", PromptTokens: 10, OutputTokens: 20, Timeout: 20 * time.Second, Body: "crash", CrashesEngine: true}
}

// TestCrashingRequestInTurn: a request crashes each engine that runs it. Its
// caller sends it again through one instance after another for five minutes. It
// may crash two engines: the first time beside others, then alone. After that it
// is refused everywhere, also by instances that were replaced. Innocent requests
// beside it are answered all the time.
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
	last := f.Call(f.Nodes[3], crashingSpec())
	f.Run(time.Second)
	wantRefused(t, last, event.ReasonCrash, event.NotRun)
	if last.Refusal != nil && last.Refusal.RetryAfter == 0 {
		t.Error("not told when to come back")
	}
	wantNoViolations(t, f)
}

// TestCrashingRequestAtOnce: the caller sends the request through all nine
// instances in the same moment, and again each second, on a network that loses a
// fifth of all messages, so that some instances hear late that it is a suspect.
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

// TestCrashingRequestAndReplacedInstance: an instance starts after the request
// was found to crash engines. It has heard none of it, so the request runs there
// once more, alone, and is refused there too. Each replaced instance may cost one
// more crash, not more.
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

// TestCrashCheckFires shows that the bound can be passed: bodies that differ are
// not recognised as the same request, and each may crash its two engines.
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
		t.Errorf("%d crashes by different bodies: the bound shows nothing", n)
	}
}
