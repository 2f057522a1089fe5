package poison

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

const start = clock.Time(time.Hour)

// seconds returns the time s seconds after the start.
func seconds(s float64) clock.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// refused reports whether a request may not be sent, not even as a trial.
func refused(d *Detector, now clock.Time, digest Digest) bool {
	c := d.Check(now, []Digest{digest})
	return c.Refused && !c.Trial
}

// crashThree records crashes of three servers half a second apart, up to now.
func crashThree(d *Detector, now clock.Time, digest Digest) {
	for i := range 3 {
		d.RecordCrash(now.Add(time.Duration(i-2)*time.Second/2), []Digest{digest}, Server(100+i))
	}
}

// Guards against a request that crashes one server after the other, through all instances.
func TestRefusedAfterThirdCrash(t *testing.T) {
	d := New()
	const bad, innocent = Digest(1), Digest(2)
	report := Report{Suspects: []SuspectReport{
		{Digest: bad, Crashes: []ServerAge{{Server: 11, Age: 100 * time.Millisecond}}},
		{Digest: innocent, Crashes: []ServerAge{{Server: 11, Age: 100 * time.Millisecond}}},
	}}
	d.RecordCrash(start, []Digest{bad}, 10)
	d.RecordCrash(start, []Digest{innocent}, 10)
	d.Merge(start, "peer", report)
	d.Merge(start, "peer", report) // a repeated report does not count twice
	if refused(d, start, bad) {
		t.Error("refused after two crashes")
	}
	d.Merge(start, "peer", Report{Suspects: []SuspectReport{{Digest: bad, Crashes: []ServerAge{{Server: 12}}}}})
	if !refused(d, start, bad) {
		t.Error("not refused after three crashes")
	}
	if refused(d, start, innocent) || refused(d, start, Digest(3)) {
		t.Error("refused a request that did not cause the crashes")
	}
	if refused(d, start.Add(crashWindow+time.Second), bad) {
		t.Error("still refused, without a trial, long after the crashes")
	}
}

// Guards against the refusal of a sound request that callers send again and again, and some
// runs of which meet crashes.
func TestCompletionClearsSuspect(t *testing.T) {
	local, remote := New(), New()
	for i := range 6 {
		at := seconds(float64(i))
		local.RecordCrash(at, []Digest{1}, Server(i))
		local.RecordCompletion(at.Add(time.Millisecond), []Digest{1})
		if refused(local, at.Add(time.Millisecond), 1) {
			t.Fatalf("refused although it completed as often as it met a crash, %d times", i+1)
		}
		local.RecordCompletion(at.Add(2*time.Millisecond), []Digest{1})
	}
	crashThree(remote, seconds(5), 1)
	if !refused(remote, seconds(5.1), 1) {
		t.Fatal("not refused without a completed run, so the test proves nothing")
	}
	remote.Merge(seconds(5.1), "local", local.Report(seconds(5.1)))
	if refused(remote, seconds(5.1), 1) {
		t.Error("refused although runs completed at another instance")
	}
}

// Guards against a request that a server survives now and then, and that is cleared by it.
func TestOneCompletionDoesNotOutweighManyCrashes(t *testing.T) {
	d := New()
	d.RecordCrash(start, []Digest{1}, 1)
	d.RecordCrash(seconds(1), []Digest{1}, 2)
	d.RecordCompletion(seconds(1.5), []Digest{1})
	d.RecordCrash(seconds(2), []Digest{1}, 3)
	if !refused(d, seconds(2), 1) {
		t.Error("not refused after three crashes and one completed run")
	}
}

// Guards against a request that was sound for long and then crashes every server.
func TestRequestThatTurnsBadIsRefused(t *testing.T) {
	d := New()
	d.RecordCrash(start, []Digest{1}, 1)
	for i := range 100 {
		d.RecordCompletion(start.Add(time.Duration(i)*time.Millisecond), []Digest{1})
	}
	crashThree(d, seconds(3), 1)
	if !refused(d, seconds(3), 1) {
		t.Error("earlier runs protect the request for ever")
	}
}

// Guards against the refusal of a popular request whose runs all break when several servers
// crash at once: it completed right before.
func TestRunBeforeTheCrashesProtects(t *testing.T) {
	d := New()
	d.RecordCompletion(seconds(-0.5), []Digest{1})
	for server := range Server(4) {
		d.RecordCrash(start, []Digest{1}, server)
	}
	if refused(d, start, 1) {
		t.Error("refused although it completed half a second before")
	}
	if refused(d, seconds(2), 1) {
		t.Error("no trial 2 s after the crashes, though it is known to complete")
	}
}

// Guards against several breaks during one crash that count as several crashes.
func TestOneCrashCountsOnce(t *testing.T) {
	d := New()
	for i := range 5 {
		d.RecordCrash(seconds(0.1*float64(i)), []Digest{1}, 10)
		d.RecordCrash(seconds(0.1*float64(i)), []Digest{1}, 11)
	}
	if n, _ := d.Suspicion(1); n != 2 {
		t.Errorf("%d crashes, want 2", n)
	}
	d.RecordCrash(seconds(3), []Digest{1}, 10) // restarted, and crashed again
	if !refused(d, seconds(3), 1) {
		t.Error("not refused after three crashes of two servers")
	}
}

// Guards against links that fail: the breaks that they cause count as crashes of sound servers.
func TestBreakAtLiveServerIsNoCrash(t *testing.T) {
	cut, other := New(), New()
	for server := range Server(4) {
		cut.RecordCrash(start, []Digest{1}, server)
	}
	if !refused(cut, start, 1) {
		t.Fatal("not refused, so the test proves nothing")
	}
	other.Merge(seconds(0.05), "peer", cut.Report(seconds(0.05)))
	for server := range Server(2) {
		other.RecordAnswer(seconds(0.2), server, seconds(0.1))
	}
	cut.Merge(seconds(0.25), "peer", other.Report(seconds(0.25)))
	for name, d := range map[string]*Detector{"cut off": cut, "other": other} {
		if refused(d, seconds(0.3), 1) {
			t.Errorf("%s: refused although two of the servers live", name)
		}
		d.Merge(seconds(0.4), "peer", Report{Suspects: []SuspectReport{{Digest: 1, Crashes: []ServerAge{{0, 400 * time.Millisecond}, {1, 400 * time.Millisecond}}}}})
		if refused(d, seconds(0.4), 1) {
			t.Errorf("%s: a late report brought the breaks back", name)
		}
	}
}

// Guards against answers that do not show that a server survived: sent before the break, or
// so late that it may have restarted.
func TestOtherAnswersDoNotUndoCrash(t *testing.T) {
	for _, sentAfter := range []time.Duration{-time.Millisecond, restartTime + time.Millisecond} {
		d := New()
		for server := range Server(3) {
			d.RecordCrash(start, []Digest{1}, server)
			d.RecordAnswer(seconds(1), server, start.Add(sentAfter))
		}
		if !refused(d, seconds(1), 1) {
			t.Errorf("an answer to a request sent %v after the break undid the crash", sentAfter)
		}
	}
}

// Guards against a request that is refused by mistake for good, and against trials of a guilty
// one that crash a server every time.
func TestTrialsOfRefusedRequest(t *testing.T) {
	d, other := New(), New()
	crashThree(d, start, 1)
	trials := 0
	for now := start; now < seconds(200); now = now.Add(200 * time.Millisecond) {
		if c := d.Check(now, []Digest{1}); c.Refused && c.Trial {
			trials++
			d.BeginTrial(now, []Digest{1})
			d.RecordCrash(now, []Digest{1}, 100)
		}
		other.Merge(now, "peer", d.Report(now))
		if c := other.Check(now, []Digest{1}); c.Trial {
			t.Fatalf("another instance may try at the same time, %v after the crashes", now.Sub(start))
		}
	}
	if trials != 2 {
		t.Errorf("%d trials in 200 s, want 2", trials)
	}
	d.RecordCompletion(seconds(200), []Digest{1})
	if c := d.Check(seconds(210), []Digest{1}); c.Refused {
		t.Error("refused after a trial completed")
	}
}

// Guards against a request that servers survive now and then, and that gets a trial after each run
// that completes.
func TestSurvivedTrialsAreNotRepeated(t *testing.T) {
	d := New()
	crashThree(d, start, 1)
	trials := 0
	for now := start; now < seconds(100); now = now.Add(200 * time.Millisecond) {
		if c := d.Check(now, []Digest{1}); !c.Refused || c.Trial {
			trials++
			d.BeginTrial(now, []Digest{1})
			if trials%2 == 1 {
				d.RecordCompletion(now, []Digest{1})
			} else {
				d.RecordCrash(now, []Digest{1}, 100)
			}
		}
	}
	if trials > 1 {
		t.Errorf("%d trials in 100 s, want 1", trials)
	}
}

// Guards against an instance that starts after the crashes and sends the request again.
func TestStartedInstanceLearnsOfRefusedRequests(t *testing.T) {
	old, started := New(), New()
	crashThree(old, start, 1)
	old.Report(seconds(24.5))
	started.Merge(seconds(26.6), "peer", old.Report(seconds(26.6)))
	if !refused(started, seconds(26.6), 1) {
		t.Error("not refused at an instance that started 26 s after the crashes")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	d := New()
	for i := range 2 * maxSuspects {
		d.RecordCrash(clock.Time(i+1), []Digest{Digest(i)}, 1)
	}
	if n := len(d.suspects); n > maxSuspects {
		t.Errorf("%d suspects, want at most maxSuspects", n)
	}
	if _, ok := d.suspects[Digest(2*maxSuspects-1)]; !ok {
		t.Error("the newest suspect was dropped")
	}
	if n := len(d.Report(clock.Time(2 * maxSuspects)).Suspects); n > maxReportedSuspects {
		t.Errorf("%d suspects in a report", n)
	}
	for i := range 10 * maxRecentRuns {
		d.RecordCompletion(start, []Digest{Digest(i)})
	}
	if n := len(d.completed.current) + len(d.completed.previous); n > 2*maxRecentRuns {
		t.Errorf("%d completed runs remembered", n)
	}
}

func TestReportsOwnObservations(t *testing.T) {
	d := New()
	d.RecordCrash(start, []Digest{1}, 10)
	d.Merge(start, "peer", Report{Suspects: []SuspectReport{{Digest: 2, Crashes: []ServerAge{{Server: 11}}}}})
	if r := d.Report(start); len(r.Suspects) != 1 || r.Suspects[0].Digest != 1 || len(r.Suspects[0].Crashes) != 1 {
		t.Errorf("reported %+v, want one crash of request 1", r)
	}
	if r := d.Report(start.Add(reportPeriod + 1)); len(r.Suspects) != 0 {
		t.Errorf("reported %+v after reportPeriod, want nothing", r)
	}
	if len(d.Report(seconds(200)).Suspects) != 0 || len(d.suspects) != 0 {
		t.Error("suspects are kept for ever")
	}
}

// Guards against observations that circulate among the instances for ever, each of which
// repeats those of all others.
func TestPeerObservationsAreNotForwarded(t *testing.T) {
	now := start
	detectors := []*Detector{New(), New(), New()}
	detectors[0].RecordCrash(now, []Digest{1}, 10)
	detectors[1].RecordCrash(now, []Digest{1}, 11)
	detectors[2].RecordCrash(now, []Digest{1}, 12)
	for range 3 {
		detectors[2].RecordCompletion(now.Add(time.Millisecond), []Digest{1})
	}
	exchange := func() {
		for i, from := range detectors {
			r := from.Report(now)
			for j, to := range detectors {
				if i != j {
					to.Merge(now, string(rune('a'+i)), r)
				}
			}
		}
	}
	for range 40 {
		now = now.Add(200 * time.Millisecond)
		exchange()
	}
	for i, d := range detectors {
		if r := d.Report(now); len(r.Suspects) > 0 {
			t.Errorf("instance %d still reports %+v after 8 s", i, r)
		}
	}
	if refused(detectors[0], now, 1) {
		t.Error("refused although as many runs completed at one instance")
	}
}

// Guards against a refusal that never ends since instances tell each other of it for ever.
func TestRefusalIsForgottenByAll(t *testing.T) {
	now := start
	a, b := New(), New()
	crashThree(a, now, 1)
	for now < start.Add(refusalMemory+time.Minute) {
		now = now.Add(time.Second)
		b.Merge(now, "peer", a.Report(now))
		a.Merge(now, "peer", b.Report(now))
	}
	if len(a.suspects)+len(b.suspects) != 0 {
		t.Error("the suspect is not forgotten")
	}
}

// Guards against a request that is free again since its last trial crashed a server long after the
// crashes before.
func TestCrashedTrialsDoNotEndRefusal(t *testing.T) {
	d := New()
	crashThree(d, start, 1)
	now := start
	for i := range 12 {
		c := d.Check(now, []Digest{1})
		if !c.Refused || c.Trial {
			t.Fatalf("after %d trials: refused %v, trial %v", i, c.Refused, c.Trial)
		}
		if i > 0 && c.NextTrial < trialFactor*trialDelay {
			t.Errorf("after %d trials that crashed: next one after %v", i, c.NextTrial)
		}
		now = now.Add(c.NextTrial)
		d.BeginTrial(now, []Digest{1})
		d.RecordCrash(now.Add(time.Second), []Digest{1}, Server(i))
		now = now.Add(time.Second)
	}
}

// Guards against trials that begin anew where nobody knew of them.
func TestCrashesAfterTheRefusalCountAsTrials(t *testing.T) {
	d := New()
	for _, at := range []float64{0, 5, 10, 31, 36, 41} {
		d.RecordCrash(seconds(at), []Digest{1}, Server(at))
	}
	if c := d.Check(seconds(41), []Digest{1}); !c.Refused || c.NextTrial < trialFactor*trialDelay {
		t.Errorf("refused %v, next trial after %v", c.Refused, c.NextTrial)
	}
}

// Guards against a real crash that all forget since one of the instances that saw it then lost all its links.
func TestLinkFailureTakesNoCrashBackThatOthersSaw(t *testing.T) {
	own, other := New(), New()
	run := func(n int) Run {
		return Run{Digests: []Digest{Digest(n)}, Shared: []Digest{deadly}, SentAt: start}
	}
	own.RecordSharedCrash(seconds(1), run(1), 1, 0)
	own.RecordCrash(seconds(1), []Digest{1}, 1)
	own.RecordCrash(seconds(1), []Digest{1}, 2)
	other.RecordSharedCrash(seconds(1), run(2), 1, 0)
	own.Merge(seconds(1.1), "other", other.UntoldCrashes(seconds(1.1)))
	if servers := own.RecordLinkFailure(seconds(2), seconds(0.9)); servers != 1 {
		t.Errorf("breaks at %d servers are taken back, want those at the one that only this instance saw", servers)
	}
	if n := len(own.shared.crashes); n != 1 {
		t.Errorf("%d crashes known, want the one that others saw", n)
	}
	if crashes, _ := own.Suspicion(1); crashes != 1 {
		t.Errorf("%d crashes known of the request, want the one that others saw", crashes)
	}
}

// Guards against an instance's own word that comes back from another one and seems to confirm it.
func TestOwnWordConfirmsNoBreak(t *testing.T) {
	own, other := New(), New()
	run := Run{Digests: []Digest{1}, Shared: []Digest{deadly}, SentAt: start}
	own.RecordSharedCrash(seconds(1), run, 1, 0)
	own.RecordCrash(seconds(1), run.Digests, 1)
	other.Merge(seconds(1.1), "own", own.Report(seconds(1.1)))
	own.Merge(seconds(1.2), "other", other.Report(seconds(1.2)))
	if servers := own.RecordLinkFailure(seconds(2), seconds(0.9)); servers != 1 {
		t.Errorf("breaks at %d servers are taken back, want 1", servers)
	}
}
