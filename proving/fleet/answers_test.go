package fleet

import (
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
)

// streaming returns a fleet with a call whose answer is streaming, and the
// engine that it comes from.
func newStreamingFleet(t *testing.T, seed uint64, resumes bool) (*Fleet, *Call, *Server) {
	t.Helper()
	f := newReadyFleet(t, seed, func(s *Settings) {
		setSlowTokens(s)
		g := s.Config.Groups["workers"]
		g.Resumes = resumes
		s.Config.Groups["workers"] = g
	})
	c := f.Call(f.Nodes[0], streamSpec(1))
	f.waitFor(t, "it streams", 20*time.Second, func() bool { return c.FirstTokenAt != 0 })
	f.Run(3 * time.Second)
	return f, c, f.runningServer(t, c)
}

func (f *Fleet) runningServer(t *testing.T, c *Call) *Server {
	t.Helper()
	for _, s := range f.Servers {
		for r := range s.running {
			if r.call == c {
				return s
			}
		}
	}
	t.Fatalf("%s runs nowhere", c.Request)
	return nil
}

// TestStreamBroken: the engine dies while an answer streams. On engines that
// resume, the call is sent to another one with what has reached the caller, or to
// the same one when it is back, and the caller gets the whole answer. On others, a rerun would give the caller a
// beginning twice: the answer ends with an explicit error. If nothing had reached
// the caller, both rerun it from the start.
func TestEngineCrashDuringStream(t *testing.T) {
	t.Parallel()
	t.Run("resumes", func(t *testing.T) {
		f, c, s := newStreamingFleet(t, 61, true)
		got := c.deliveredTokens
		s.Crash()
		f.Run(40 * time.Second)
		wantCompleted(t, c)
		if c.runs != 2 || got == 0 {
			t.Errorf("%d runs, %d tokens before the crash", c.runs, got)
		}
		wantNoViolations(t, f)
	})
	t.Run("resumes where it was", func(t *testing.T) {
		f := newReadyFleet(t, 60, func(s *Settings) { setSlowTokens(s); s.EnginesPerZone = 1 })
		c := f.Call(f.Nodes[0], streamSpec(1))
		f.waitFor(t, "it streams", 20*time.Second, func() bool { return c.FirstTokenAt != 0 })
		f.runningServer(t, c).Crash()
		f.Run(45 * time.Second)
		wantCompleted(t, c)
		wantNoViolations(t, f)
	})
	t.Run("can't resume", func(t *testing.T) {
		f, c, s := newStreamingFleet(t, 62, false)
		s.Crash()
		f.Run(time.Second)
		wantRefused(t, c, event.ReasonBroken, event.RanUnknown)
		if c.runs != 1 {
			t.Errorf("%d runs, want 1", c.runs)
		}
		wantNoViolations(t, f)
	})
	t.Run("nothing had reached the caller", func(t *testing.T) {
		f := newReadyFleet(t, 63, func(s *Settings) {
			setSlowTokens(s)
			g := s.Config.Groups["workers"]
			g.Resumes = false
			s.Config.Groups["workers"] = g
		})
		c := f.Call(f.Nodes[0], streamSpec(1))
		f.waitFor(t, "it runs", 20*time.Second, func() bool { return c.runs > 0 })
		f.runningServer(t, c).Crash()
		f.Run(45 * time.Second)
		wantCompleted(t, c)
		wantNoViolations(t, f)
	})
}

// TestCallerHangsUp: a caller closes its connection while its call waits, while
// it streams, or while its order is being recorded. What waits leaves the queue,
// the engine's work is cancelled at once, and what was charged and not used comes
// back: the same account can spend its whole burst afterwards.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	t.Run("waiting", func(t *testing.T) {
		f := newRateFleet(t, 64, nil)
		burst := f.Config.Accounts["a"].Burst
		for n := range 30 {
			s := modelSpec("", "gone")
			s.OutputTokens, s.MaxOutputTokens, s.Timeout = 380, 380, 30*time.Second
			f.Call(f.Nodes[n%9], s)
		}
		f.Run(500 * time.Millisecond)
		for _, c := range f.Calls {
			f.Disconnect(c)
		}
		f.Run(200 * time.Millisecond)
		gone := f.Calls
		for n := range int(0.9 * burst / lookupTokens) {
			s := lookupSpec("a", n)
			s.Timeout = time.Second
			f.Call(f.Nodes[n%9], s)
		}
		f.Run(30 * time.Second)
		wantCompleted(t, f.Calls[len(gone):]...)
		for _, c := range gone {
			if c.runs > 0 {
				t.Errorf("%s ran after its caller was gone", c.Request)
			}
		}
		wantNoViolations(t, f)
	})
	t.Run("streaming", func(t *testing.T) {
		f, c, s := newStreamingFleet(t, 65, true)
		f.Disconnect(c)
		f.Run(100 * time.Millisecond)
		if len(s.running) != 0 {
			t.Errorf("%d runs go on at %s", len(s.running), s.Name)
		}
		f.Run(30 * time.Second)
		if c.runs != 1 {
			t.Errorf("%d runs, want 1", c.runs)
		}
		wantNoViolations(t, f)
	})
	for _, service := range orderServices {
		t.Run("order "+string(service), func(t *testing.T) {
			f := newReadyFleet(t, 66, nil)
			c := f.Call(f.Nodes[0], orderSpec(service, "k", "one"))
			f.Run(3 * time.Millisecond)
			f.Disconnect(c)
			f.Run(5 * time.Second)
			repeat := f.Call(f.Nodes[5], orderSpec(service, "k", "one"))
			f.Run(12 * time.Second)
			wantCompleted(t, repeat)
			if n := totalRuns(f.Calls...); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
			wantNoViolations(t, f)
		})
	}
}

// TestLateEndOfOldAttempt: the end of an attempt that was given up arrives after
// the call was sent to another engine, and again after the call is over. It names
// its attempt, so it ends nothing: the caller gets one whole answer.
func TestStaleAttemptEndIsIgnored(t *testing.T) {
	t.Parallel()
	f, c, s := newStreamingFleet(t, 67, true)
	old := f.Nodes[0].sortedAttempts()[0].id
	s.Crash()
	late := func() {
		for _, result := range []event.AttemptResult{event.AttemptWhole, event.AttemptCrashed, event.AttemptRefused, event.AttemptCancelled} {
			f.Nodes[0].post(event.AttemptEnded{Request: c.Request, Attempt: old, Result: result, Answered: true, Generated: 5})
			f.Nodes[0].post(event.AttemptEnded{Request: "another", Attempt: id.Attempt("another"), Result: result})
		}
	}
	f.waitFor(t, "it runs again", 20*time.Second, func() bool { return c.runs == 2 })
	late()
	f.Run(40 * time.Second)
	late()
	wantCompleted(t, c)
	if c.runs != 2 {
		t.Errorf("%d runs, want 2", c.runs)
	}
	wantNoViolations(t, f)
}

// TestAnswerCheckFires shows that the check of final answers can fail: a second
// final answer to the same call is a fault, and so is a call without one.
func TestFinalResponseCheckDetectsViolations(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 68, nil)
	c := f.Call(f.Nodes[0], lookupSpec("a", 1))
	f.Run(time.Second)
	f.recordFinalResponse(c)
	wantViolation(t, f, "a call had two final answers")

	f = newReadyFleet(t, 69, nil)
	c = f.Call(f.Nodes[0], modelSpec("", "x"))
	f.Nodes[0].paused = true
	f.Run(c.Timeout + 2*deadlineGrace)
	wantViolation(t, f, "a call had no final answer")
}
