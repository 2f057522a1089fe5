package poison

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

// A request crashes the server of each instance that passes it on, and its
// caller sends it again. The third crash, wherever it was seen, ends that;
// requests that stood beside it once or twice are still served.
func TestThirdCrashRefuses(t *testing.T) {
	r := New()
	now := clock.Time(time.Hour)
	const bad, innocent = Digest(1), Digest(2)
	r.RecordCrash(now, bad)
	r.RecordCrash(now, innocent)
	r.RecordPeerCount(now, "p1", bad, 1)
	r.RecordPeerCount(now, "p1", bad, 1) // repeated, not counted twice
	r.RecordPeerCount(now, "p1", innocent, 1)
	if r.IsPoisonous(now, bad) {
		t.Error("refused after two crashes")
	}
	r.RecordPeerCount(now, "p2", bad, 1)
	if !r.IsPoisonous(now, bad) {
		t.Error("not refused after three crashes")
	}
	if r.IsPoisonous(now, innocent) || r.IsPoisonous(now, Digest(3)) {
		t.Error("refused a request that is not the cause")
	}
	if r.IsPoisonous(now.Add(keep+time.Second), bad) {
		t.Error("refused for ever")
	}
}

// Callers send the same body over and over, as a poll does. Servers crash three
// times while some of these run, and others of them are answered: the request
// is not the cause, at no instance.
func TestAnsweredOneIsCleared(t *testing.T) {
	here, there := New(), New()
	now := clock.Time(time.Hour)
	const d = Digest(1)
	here.RecordCrash(now, d)
	here.RecordCompletion(now, d)
	for range crashLimit {
		here.RecordCrash(now, d)
		there.RecordCrash(now, d)
	}
	if here.IsPoisonous(now, d) {
		t.Error("refused although one was answered here")
	}
	if !there.IsPoisonous(now, d) {
		t.Fatal("the play shows nothing")
	}
	for digest, n := range here.LocalCounts(now, time.Second) {
		there.RecordPeerCount(now, "here", digest, n)
	}
	if there.IsPoisonous(now, d) {
		t.Error("refused although one was answered elsewhere")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	r := New()
	for i := range 2 * maxSuspects {
		r.RecordCrash(clock.Time(i), Digest(i))
	}
	if n := len(r.suspects); n > maxSuspects {
		t.Errorf("%d suspects", n)
	}
	if _, ok := r.suspects[Digest(2*maxSuspects-1)]; !ok {
		t.Error("the newest was dropped")
	}
}

func TestOwn(t *testing.T) {
	r := New()
	r.RecordCrash(clock.Time(time.Hour), 1)
	r.RecordPeerCount(clock.Time(time.Hour), "p", 2, 1)
	if own := r.LocalCounts(clock.Time(time.Hour), time.Second); len(own) != 1 || own[1] != 1 {
		t.Errorf("tells %v", own)
	}
	if own := r.LocalCounts(clock.Time(2*time.Hour), time.Second); len(own) != 0 {
		t.Errorf("tells %v an hour later", own)
	}
}

// Three instances tell each other every 0.2 s. One request broke at two of them
// and was answered at the third. They tell so for the age that is asked for and
// no longer, whatever they hear from each other.
func TestWhatWasHeardIsNotToldOn(t *testing.T) {
	now := clock.Time(time.Hour)
	const d, age = Digest(1), 5 * time.Second
	all := []*Detector{New(), New(), New()}
	all[0].RecordCrash(now, d)
	all[1].RecordCrash(now, d)
	all[2].RecordCrash(now, d)
	all[2].RecordCompletion(now, d)
	for range 40 {
		now = now.Add(200 * time.Millisecond)
		for i, from := range all {
			for digest, n := range from.LocalCounts(now, age) {
				for j, to := range all {
					if i != j {
						to.RecordPeerCount(now, string(rune('a'+i)), digest, n)
					}
				}
			}
		}
	}
	for i, r := range all {
		if own := r.LocalCounts(now, age); len(own) > 0 {
			t.Errorf("instance %d still tells %v after 8 s", i, own)
		}
	}
	if all[0].IsPoisonous(now, d) {
		t.Error("refused although it was answered at one of them")
	}
}
