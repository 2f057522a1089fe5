package fleet

import (
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
)

// newStreamingFleet returns a fleet with a call whose response is streaming, and
// the engine that runs it.
func newStreamingFleet(t *testing.T, seed uint64, resumes bool) (*Fleet, *Call, *Server) {
	t.Helper()
	f := newReadyFleet(t, seed, func(s *Settings) {
		setSlowTokens(s)
		g := s.Config.Groups["workers"]
		g.Resumes = resumes
		s.Config.Groups["workers"] = g
	})
	c := f.Call(f.Nodes[0], streamSpec(1))
	f.waitFor(t, "the response streams", 20*time.Second, func() bool { return c.FirstTokenAt != 0 })
	f.Run(3 * time.Second)
	return f, c, f.runningServer(t, c)
}

// runningServer returns the server that runs a call.
func (f *Fleet) runningServer(t *testing.T, c *Call) *Server {
	t.Helper()
	for _, s := range f.Servers {
		for r := range s.running {
			if r.call == c {
				return s
			}
		}
	}
	t.Fatalf("no server runs %s", c.Request)
	return nil
}

// TestEngineCrashDuringStream: an engine crashes while a response streams. If
// the engines can resume, the call continues with the tokens that the caller
// has, on another engine or on the same one after its restart, and the caller
// gets the whole response. If not, a second run would repeat the beginning to
// the caller, so the response ends with an explicit error. If nothing has
// reached the caller, the call always runs again from the start.
func TestEngineCrashDuringStream(t *testing.T) {
	t.Parallel()
	t.Run("engines can resume", func(t *testing.T) {
		f, c, s := newStreamingFleet(t, 61, true)
		delivered := c.deliveredTokens
		s.Crash()
		f.Run(40 * time.Second)
		wantCompleted(t, c)
		if c.runs != 2 || delivered == 0 {
			t.Errorf("%d runs, %d tokens before the crash", c.runs, delivered)
		}
		wantNoViolations(t, f)
	})
	t.Run("resumes on the same engine", func(t *testing.T) {
		f := newReadyFleet(t, 60, func(s *Settings) { setSlowTokens(s); s.EnginesPerZone = 1 })
		c := f.Call(f.Nodes[0], streamSpec(1))
		f.waitFor(t, "the response streams", 20*time.Second, func() bool { return c.FirstTokenAt != 0 })
		f.runningServer(t, c).Crash()
		f.Run(45 * time.Second)
		wantCompleted(t, c)
		wantNoViolations(t, f)
	})
	t.Run("engines cannot resume", func(t *testing.T) {
		f, c, s := newStreamingFleet(t, 62, false)
		s.Crash()
		f.Run(time.Second)
		wantRefused(t, c, event.ReasonInterrupted, event.MayHaveRun)
		if c.runs != 1 {
			t.Errorf("%d runs, want 1", c.runs)
		}
		wantNoViolations(t, f)
	})
	t.Run("before the first token", func(t *testing.T) {
		f := newReadyFleet(t, 63, func(s *Settings) {
			setSlowTokens(s)
			g := s.Config.Groups["workers"]
			g.Resumes = false
			s.Config.Groups["workers"] = g
		})
		c := f.Call(f.Nodes[0], streamSpec(1))
		f.waitFor(t, "the call runs", 20*time.Second, func() bool { return c.runs > 0 })
		f.runningServer(t, c).Crash()
		f.Run(45 * time.Second)
		wantCompleted(t, c)
		wantNoViolations(t, f)
	})
}

// TestCallerDisconnects: a caller closes its connection while its call is
// queued, while its response streams, or while its order is being recorded. A
// queued call leaves the queue, a running one is cancelled at once, and unused
// tokens are refunded: the account can then spend its whole burst.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	t.Run("queued", func(t *testing.T) {
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
		disconnected := f.Calls
		for n := range int(0.9 * burst / lookupTokens) {
			s := lookupSpec("a", n)
			s.Timeout = time.Second
			f.Call(f.Nodes[n%9], s)
		}
		f.Run(30 * time.Second)
		wantCompleted(t, f.Calls[len(disconnected):]...)
		for _, c := range disconnected {
			if c.runs > 0 {
				t.Errorf("%s ran after its caller had disconnected", c.Request)
			}
		}
		wantNoViolations(t, f)
	})
	t.Run("streaming", func(t *testing.T) {
		f, c, s := newStreamingFleet(t, 65, true)
		f.Disconnect(c)
		f.Run(100 * time.Millisecond)
		if len(s.running) != 0 {
			t.Errorf("%d attempts still run at %s", len(s.running), s.Name)
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

// TestStaleAttemptEndIsIgnored: the end of an abandoned attempt arrives after
// the call was sent to another engine, and again after the call has ended. The
// event names its attempt, so it changes nothing, and the caller gets one whole
// response.
func TestStaleAttemptEndIsIgnored(t *testing.T) {
	t.Parallel()
	f, c, s := newStreamingFleet(t, 67, true)
	oldAttempt := f.Nodes[0].sortedAttempts()[0].id
	s.Crash()
	postStaleEnds := func() {
		for _, result := range []event.AttemptResult{event.AttemptCompleted, event.AttemptCrashed, event.AttemptRefused, event.AttemptCancelled} {
			f.Nodes[0].post(event.AttemptEnded{Request: c.Request, Attempt: oldAttempt, Result: result, ResponseStarted: true, GeneratedTokens: 5})
			f.Nodes[0].post(event.AttemptEnded{Request: "another", Attempt: id.Attempt("another"), Result: result})
		}
	}
	f.waitFor(t, "the call runs again", 20*time.Second, func() bool { return c.runs == 2 })
	postStaleEnds()
	f.Run(40 * time.Second)
	postStaleEnds()
	wantCompleted(t, c)
	if c.runs != 2 {
		t.Errorf("%d runs, want 2", c.runs)
	}
	wantNoViolations(t, f)
}

// TestFinalResponseCheckDetectsViolations: a second final response to a call is
// a violation, and so is a call without one.
func TestFinalResponseCheckDetectsViolations(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 68, nil)
	c := f.Call(f.Nodes[0], lookupSpec("a", 1))
	f.Run(time.Second)
	f.recordFinalResponse(c)
	wantViolation(t, f, "a call had two final responses")

	f = newReadyFleet(t, 69, nil)
	c = f.Call(f.Nodes[0], modelSpec("", "x"))
	f.Nodes[0].paused = true
	f.Run(c.Timeout + 2*deadlineGrace)
	wantViolation(t, f, "a call had no final response")
}
