package fleet

import (
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
)

// streaming returns a fleet with a call whose answer is streaming, and the
// engine that it comes from.
func streaming(t *testing.T, seed uint64, resumes bool) (*Fleet, *Call, *Server) {
	t.Helper()
	f := ready(t, seed, func(s *Settings) {
		slowTokens(s)
		g := s.Config.Groups["workers"]
		g.Resumes = resumes
		s.Config.Groups["workers"] = g
	})
	c := f.Call(f.Nodes[0], stream(1))
	f.until(t, "it streams", 20*time.Second, func() bool { return c.FirstAt != 0 })
	f.Run(3 * time.Second)
	return f, c, f.runsOn(t, c)
}

func (f *Fleet) runsOn(t *testing.T, c *Call) *Server {
	t.Helper()
	for _, s := range f.Servers {
		for r := range s.runs {
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
func TestStreamBroken(t *testing.T) {
	t.Parallel()
	t.Run("resumes", func(t *testing.T) {
		f, c, s := streaming(t, 61, true)
		got := c.got
		s.Crash()
		f.Run(40 * time.Second)
		wantWhole(t, c)
		if c.runs != 2 || got == 0 {
			t.Errorf("%d runs, %d tokens before the crash", c.runs, got)
		}
		noFaults(t, f)
	})
	t.Run("resumes where it was", func(t *testing.T) {
		f := ready(t, 60, func(s *Settings) { slowTokens(s); s.Engines = 1 })
		c := f.Call(f.Nodes[0], stream(1))
		f.until(t, "it streams", 20*time.Second, func() bool { return c.FirstAt != 0 })
		f.runsOn(t, c).Crash()
		f.Run(45 * time.Second)
		wantWhole(t, c)
		noFaults(t, f)
	})
	t.Run("can't resume", func(t *testing.T) {
		f, c, s := streaming(t, 62, false)
		s.Crash()
		f.Run(time.Second)
		wantRefused(t, c, event.ReasonInterrupted, event.MayHaveRun)
		if c.runs != 1 {
			t.Errorf("%d runs, want 1", c.runs)
		}
		noFaults(t, f)
	})
	t.Run("nothing had reached the caller", func(t *testing.T) {
		f := ready(t, 63, func(s *Settings) {
			slowTokens(s)
			g := s.Config.Groups["workers"]
			g.Resumes = false
			s.Config.Groups["workers"] = g
		})
		c := f.Call(f.Nodes[0], stream(1))
		f.until(t, "it runs", 20*time.Second, func() bool { return c.runs > 0 })
		f.runsOn(t, c).Crash()
		f.Run(45 * time.Second)
		wantWhole(t, c)
		noFaults(t, f)
	})
}

// TestCallerHangsUp: a caller closes its connection while its call waits, while
// it streams, or while its order is being recorded. What waits leaves the queue,
// the engine's work is cancelled at once, and what was charged and not used comes
// back: the same account can spend its whole burst afterwards.
func TestCallerHangsUp(t *testing.T) {
	t.Parallel()
	t.Run("waiting", func(t *testing.T) {
		f := rateFleet(t, 64, nil)
		burst := f.Config.Accounts["a"].Burst
		for n := range 30 {
			s := model("", "gone")
			s.Tokens, s.Limit, s.Within = 380, 380, 30*time.Second
			f.Call(f.Nodes[n%9], s)
		}
		f.Run(500 * time.Millisecond)
		for _, c := range f.Calls {
			f.HangUp(c)
		}
		f.Run(200 * time.Millisecond)
		gone := f.Calls
		for n := range int(0.9 * burst / lookupTokens) {
			s := lookup("a", n)
			s.Within = time.Second
			f.Call(f.Nodes[n%9], s)
		}
		f.Run(30 * time.Second)
		wantWhole(t, f.Calls[len(gone):]...)
		for _, c := range gone {
			if c.runs > 0 {
				t.Errorf("%s ran after its caller was gone", c.Request)
			}
		}
		noFaults(t, f)
	})
	t.Run("streaming", func(t *testing.T) {
		f, c, s := streaming(t, 65, true)
		f.HangUp(c)
		f.Run(100 * time.Millisecond)
		if len(s.runs) != 0 {
			t.Errorf("%d runs go on at %s", len(s.runs), s.Name)
		}
		f.Run(30 * time.Second)
		if c.runs != 1 {
			t.Errorf("%d runs, want 1", c.runs)
		}
		noFaults(t, f)
	})
	for _, service := range onceServices {
		t.Run("order "+string(service), func(t *testing.T) {
			f := ready(t, 66, nil)
			c := f.Call(f.Nodes[0], order(service, "k", "one"))
			f.Run(3 * time.Millisecond)
			f.HangUp(c)
			f.Run(5 * time.Second)
			repeat := f.Call(f.Nodes[5], order(service, "k", "one"))
			f.Run(12 * time.Second)
			wantWhole(t, repeat)
			if n := totalRuns(f.Calls...); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
			noFaults(t, f)
		})
	}
}

// TestLateEndOfOldAttempt: the end of an attempt that was given up arrives after
// the call was sent to another engine, and again after the call is over. It names
// its attempt, so it ends nothing: the caller gets one whole answer.
func TestLateEndOfOldAttempt(t *testing.T) {
	t.Parallel()
	f, c, s := streaming(t, 67, true)
	old := f.Nodes[0].sortedRuns()[0].attempt
	s.Crash()
	late := func() {
		for _, result := range []event.AttemptResult{event.AttemptCompleted, event.AttemptCrashed, event.AttemptRefused, event.AttemptCancelled} {
			f.Nodes[0].post(event.AttemptEnded{Request: c.Request, Attempt: old, Result: result, ResponseStarted: true, GeneratedTokens: 5})
			f.Nodes[0].post(event.AttemptEnded{Request: "another", Attempt: id.Attempt("another"), Result: result})
		}
	}
	f.until(t, "it runs again", 20*time.Second, func() bool { return c.runs == 2 })
	late()
	f.Run(40 * time.Second)
	late()
	wantWhole(t, c)
	if c.runs != 2 {
		t.Errorf("%d runs, want 2", c.runs)
	}
	noFaults(t, f)
}

// TestAnswerCheckFires shows that the check of final answers can fail: a second
// final answer to the same call is a fault, and so is a call without one.
func TestAnswerCheckFires(t *testing.T) {
	t.Parallel()
	f := ready(t, 68, nil)
	c := f.Call(f.Nodes[0], lookup("a", 1))
	f.Run(time.Second)
	f.final(c)
	wantFault(t, f, "a call had two final answers")

	f = ready(t, 69, nil)
	c = f.Call(f.Nodes[0], model("", "x"))
	f.Nodes[0].paused = true
	f.Run(c.Within + 2*lateness)
	wantFault(t, f, "a call had no final answer")
}
