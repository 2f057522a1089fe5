package poison

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

// A request crashes a server at each instance that forwards it, and its caller retries it.
// After the third crash at any instance it is refused. Requests that ran during one or two
// of these crashes are still served.
func TestRefusedAfterThirdCrash(t *testing.T) {
	d := New()
	now := clock.Time(time.Hour)
	const bad, innocent = Digest(1), Digest(2)
	d.RecordCrash(now, bad)
	d.RecordCrash(now, innocent)
	d.RecordPeerCount(now, "p1", bad, 1)
	d.RecordPeerCount(now, "p1", bad, 1) // a repeated report does not count twice
	d.RecordPeerCount(now, "p1", innocent, 1)
	if d.IsPoisonous(now, bad) {
		t.Error("refused after two crashes")
	}
	d.RecordPeerCount(now, "p2", bad, 1)
	if !d.IsPoisonous(now, bad) {
		t.Error("not refused after three crashes")
	}
	if d.IsPoisonous(now, innocent) || d.IsPoisonous(now, Digest(3)) {
		t.Error("refused a request that did not cause the crashes")
	}
	if d.IsPoisonous(now.Add(suspectTTL+time.Second), bad) {
		t.Error("still refused after suspectTTL")
	}
}

// Callers send the same body repeatedly, for example to poll. Servers crash three times
// while some of these requests run, and others complete, so the request is not the cause
// and no instance may refuse it.
func TestCompletionClearsSuspect(t *testing.T) {
	local, remote := New(), New()
	now := clock.Time(time.Hour)
	const digest = Digest(1)
	local.RecordCrash(now, digest)
	local.RecordCompletion(now, digest)
	for range poisonThreshold {
		local.RecordCrash(now, digest)
		remote.RecordCrash(now, digest)
	}
	if local.IsPoisonous(now, digest) {
		t.Error("refused although a run completed at this instance")
	}
	if !remote.IsPoisonous(now, digest) {
		t.Fatal("not refused without a completed run, so the test proves nothing")
	}
	for reported, n := range local.LocalCounts(now, time.Second) {
		remote.RecordPeerCount(now, "here", reported, n)
	}
	if remote.IsPoisonous(now, digest) {
		t.Error("refused although a run completed at another instance")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	d := New()
	for i := range 2 * maxSuspects {
		d.RecordCrash(clock.Time(i), Digest(i))
	}
	if n := len(d.suspects); n > maxSuspects {
		t.Errorf("%d suspects, want at most maxSuspects", n)
	}
	if _, ok := d.suspects[Digest(2*maxSuspects-1)]; !ok {
		t.Error("the newest suspect was dropped")
	}
}

func TestLocalCounts(t *testing.T) {
	d := New()
	d.RecordCrash(clock.Time(time.Hour), 1)
	d.RecordPeerCount(clock.Time(time.Hour), "p", 2, 1)
	if counts := d.LocalCounts(clock.Time(time.Hour), time.Second); len(counts) != 1 || counts[1] != 1 {
		t.Errorf("LocalCounts returned %v, want one crash of request 1", counts)
	}
	if counts := d.LocalCounts(clock.Time(2*time.Hour), time.Second); len(counts) != 0 {
		t.Errorf("LocalCounts returned %v an hour later, want none", counts)
	}
}

// Three instances exchange their counts every 0.2 s. One request crashed at two of them
// and completed at the third. Each instance reports this only for the given age, whatever
// it receives from the others.
func TestPeerCountsAreNotForwarded(t *testing.T) {
	now := clock.Time(time.Hour)
	const digest, age = Digest(1), 5 * time.Second
	detectors := []*Detector{New(), New(), New()}
	detectors[0].RecordCrash(now, digest)
	detectors[1].RecordCrash(now, digest)
	detectors[2].RecordCrash(now, digest)
	detectors[2].RecordCompletion(now, digest)
	for range 40 {
		now = now.Add(200 * time.Millisecond)
		for i, from := range detectors {
			for reported, n := range from.LocalCounts(now, age) {
				for j, to := range detectors {
					if i != j {
						to.RecordPeerCount(now, string(rune('a'+i)), reported, n)
					}
				}
			}
		}
	}
	for i, d := range detectors {
		if counts := d.LocalCounts(now, age); len(counts) > 0 {
			t.Errorf("instance %d still reports %v after 8 s", i, counts)
		}
	}
	if detectors[0].IsPoisonous(now, digest) {
		t.Error("refused although a run completed at one instance")
	}
}
