package poison

import (
	"testing"
	"time"
)

// restart returns the Detector of a process that starts when all others have ended, and reads what
// was kept of d after a time.
func restart(d *Detector, keptAt, readAt float64) *Detector {
	started, age := New(), seconds(readAt).Sub(seconds(keptAt))
	started.MergeKept(seconds(readAt), d.Kept(seconds(keptAt), 0).Aged(age))
	return started
}

// Guards against a refused request that is new to the instances once all of them have ended.
func TestKeptRefusalOutlivesAllProcesses(t *testing.T) {
	d := New()
	crashThree(d, start, 1)
	for i := range 5 {
		at := 2 + 5*float64(i)
		d = restart(d, at, at+1)
		c := d.Check(seconds(at+1), []Digest{1})
		if !c.Refused || c.Trial || c.NextTrial != trialDelay-seconds(at+1).Sub(start) {
			t.Fatalf("restart %d: refused %v, trial %v after %v", i, c.Refused, c.Trial, c.NextTrial)
		}
	}
}

// Guards against trials that begin anew with each restart, and against ones that never come.
func TestKeptTrialsGoOn(t *testing.T) {
	d := New()
	crashThree(d, start, 1)
	d.BeginTrial(seconds(30), []Digest{1})
	d = restart(d, 31, 32) // nobody has seen how the trial ended
	if c := d.Check(seconds(149), []Digest{1}); !c.Refused || c.Trial {
		t.Errorf("119 s after the first trial: refused %v, trial %v", c.Refused, c.Trial)
	}
	if c := d.Check(seconds(150), []Digest{1}); !c.Trial {
		t.Error("no trial 120 s after the first one")
	}
	d = restart(d, 31, 31+(refusalMemory+time.Second).Seconds())
	if c := d.Check(seconds(31).Add(refusalMemory+time.Second), []Digest{1}); c.Refused {
		t.Error("refused for ever")
	}
}

// Guards against a request that has crashed one or two servers and is new after a restart, so that
// it crashes three more, and copies of it go together.
func TestKeptCrashesBeforeTheThirdCount(t *testing.T) {
	d := New()
	for i := range 3 {
		at := float64(3 * i)
		if refused(d, seconds(at), 1) {
			t.Fatalf("refused after %d crashes", i)
		}
		if _, ok := d.Probation(seconds(at), []Digest{1}); ok != (i > 0) {
			t.Errorf("after %d crashes: on probation %v", i, ok)
		}
		d.RecordCrash(seconds(at), []Digest{1}, Server(i))
		d = restart(d, at+0.1, at+2)
	}
	if !refused(d, seconds(8), 1) {
		t.Error("not refused after three crashes, one before each restart")
	}
}

// Guards against sound requests that are refused for longer since a restart forgot that they ran well.
func TestKeptRunsBeforeTheCrashesCount(t *testing.T) {
	d := New()
	d.RecordCompletion(seconds(-4), []Digest{1})
	crashThree(d, start, 1)
	d = restart(d, 0.2, 0.5)
	c := d.Check(seconds(0.5), []Digest{1})
	if !c.Refused || c.NextTrial > soundTrialDelay {
		t.Fatalf("refused %v, trial after %v", c.Refused, c.NextTrial)
	}
	for range 3 {
		d.RecordCompletion(seconds(1.1), []Digest{1})
	}
	d = restart(d, 1.2, 1.5)
	if refused(d, seconds(1.5), 1) {
		t.Error("refused again after it completed as often as it met a crash")
	}
}

// Guards against a prompt part that crashes servers and is new after a restart.
func TestKeptPartIsRefused(t *testing.T) {
	d := New()
	part, model := Narrow(70), Broad(80)
	for i := range 3 {
		at := float64(i)
		run := Run{Digests: []Digest{Digest(100 + i)}, Shared: []Digest{part, model}, SentAt: seconds(at)}
		d.RecordSharedCrash(seconds(at+0.1), run, Server(i), 0)
		d = restart(d, at+0.2, at+0.5)
	}
	if !d.CheckShared(seconds(3), []Digest{part, model}).Refused {
		t.Error("not refused after three crashes, one before each restart")
	}
	if d.CheckShared(seconds(3), []Digest{Narrow(72), model}).Refused {
		t.Error("another part is refused")
	}
	d.BeginSharedTrial(seconds(40), []Digest{part, model})
	d = restart(d, 41, 42)
	if c := d.CheckShared(seconds(42), []Digest{part, model}); !c.Refused || c.Trial {
		t.Errorf("after the first trial and a restart: refused %v, trial %v", c.Refused, c.Trial)
	}
}

// Guards against rows that the store does not take, and against the loss of what matters most.
func TestKeptIsBounded(t *testing.T) {
	d := New()
	for i := range 3 * maxKeptSuspects {
		digest := Digest(1000 + i)
		d.RecordCrash(start, []Digest{digest}, 1)
		d.RecordSharedCrash(start, Run{Digests: []Digest{digest}, Shared: []Digest{Narrow(uint64(4 * i))}, SentAt: seconds(-1)}, Server(i%20), 0)
	}
	crashThree(d, seconds(1), 1)
	for _, limit := range []int{0, 10} {
		r, runs := d.Kept(seconds(2), limit), 0
		for _, c := range r.Crashes {
			runs += len(c.Runs)
		}
		if len(r.Suspects) > maxKeptSuspects || runs > maxKeptRuns || limit > 0 && (len(r.Suspects) > limit || runs > limit) {
			t.Errorf("limit %d: %d suspects, %d runs", limit, len(r.Suspects), runs)
		}
		if r.Suspects[0].Digest != 1 {
			t.Errorf("limit %d: the first suspect is %d, not the refused one", limit, r.Suspects[0].Digest)
		}
	}
}

// Guards against a write for each request, and against changes that are never written.
func TestChangesOfWhatIsKept(t *testing.T) {
	d := New()
	d.RecordCompletion(start, []Digest{1})
	if d.Changes() != (Changes{}) {
		t.Errorf("changes without a crash: %+v", d.Changes())
	}
	d.RecordCrash(seconds(1), []Digest{1}, 1)
	after := d.Changes()
	if after.Urgent == 0 {
		t.Error("a crash is no urgent change")
	}
	d.RecordCrash(seconds(1.1), []Digest{1}, 1)
	d.MergeKept(seconds(2), d.Kept(seconds(2), 0))
	if d.Changes() != after {
		t.Errorf("a crash that is known changed %+v to %+v", after, d.Changes())
	}
	d.RecordCompletion(seconds(3), []Digest{1})
	if c := d.Changes(); c.Urgent != after.Urgent || c.Minor == after.Minor {
		t.Errorf("a completed run changed %+v to %+v", after, c)
	}
}
