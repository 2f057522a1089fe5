package lapse

import (
	"slices"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	start = clock.Time(time.Hour)
	// renewal is the time between two renewals of the lease.
	renewal = 420 * time.Millisecond
	// timeout is that of a call.
	timeout = 1200 * time.Millisecond
)

// The store is away for all for four seconds, and entries lapse. Their servers stay
// until the entries had time to come back; one that stays away is gone then.
func TestEntriesLapseWhileTheStoreIsAway(t *testing.T) {
	for _, failsAfter := range []time.Duration{time.Millisecond, timeout} {
		tr := New()
		tr.RecordAnswer(start)
		now := start
		for now.Sub(start) < 4*time.Second {
			tr.RecordFailure(now.Add(10 * time.Millisecond))
			now = now.Add(failsAfter + 250*time.Millisecond)
		}
		tr.RecordAnswer(now)
		if tr.RecordMissing(now, "back") || tr.RecordMissing(now, "gone") {
			t.Fatalf("taken for gone right after an outage; calls fail after %v", failsAfter)
		}
		tr.Forget("back")
		if got := tr.Overdue(now.Add(GracePeriod)); len(got) > 0 {
			t.Errorf("overdue %v though the time is not over", got)
		}
		if got := tr.Overdue(now.Add(GracePeriod + 1)); !slices.Equal(got, []string{"gone"}) {
			t.Errorf("overdue %v", got)
		}
		if !tr.RecordMissing(now.Add(GracePeriod), "late") {
			t.Error("an entry that goes later is taken for lapsed")
		}
	}
}

// A call that waits for changes was held when the store went silent, so it was sent
// before the last answer. When it times out, the outage began with that answer.
func TestCallHeldWhenTheStoreWentSilent(t *testing.T) {
	tr := New()
	held := start
	down := start.Add(3 * time.Second)
	tr.RecordAnswer(down)
	tr.RecordFailure(held)
	back := down.Add(4 * time.Second)
	tr.RecordAnswer(back)
	if tr.RecordMissing(back, "a") {
		t.Error("taken for gone right after an outage")
	}
}

// The store turns one instance away, at once or by silence. It renews its lease through
// another one, so a server whose entry goes has left, meanwhile and right afterwards.
func TestTurnedAwayAlone(t *testing.T) {
	for _, silent := range []bool{false, true} {
		tr := New()
		tr.RecordAnswer(start)
		now := start
		for now.Sub(start) < 5*time.Second {
			if !silent {
				tr.RecordFailure(now)
			} else if sent := now.Add(-timeout); !sent.Before(start) {
				tr.RecordFailure(sent)
			}
			tr.RecordAnswer(now.Add(120 * time.Millisecond)) // through another instance
			now = now.Add(renewal)
			if !tr.RecordMissing(now, "meanwhile") {
				t.Fatalf("taken for lapsed, silent %v", silent)
			}
		}
		tr.RecordAnswer(now)
		if !tr.RecordMissing(now, "afterwards") {
			t.Errorf("taken for lapsed, silent %v", silent)
		}
	}
}

// One call is lost, and the next ones are answered. An entry that goes has not lapsed.
func TestOneCallIsLost(t *testing.T) {
	tr := New()
	tr.RecordAnswer(start)
	tr.RecordFailure(start.Add(time.Millisecond))
	tr.RecordAnswer(start.Add(300 * time.Millisecond))
	if !tr.RecordMissing(start.Add(400*time.Millisecond), "a") {
		t.Error("taken for lapsed though the store was hardly away")
	}
}

// The store goes away again while entries are missing. They can't come back, so their
// servers stay.
func TestStoreGoesAwayAgain(t *testing.T) {
	tr := New()
	tr.RecordFailure(start)
	now := start.Add(3 * time.Second)
	tr.RecordAnswer(now)
	tr.RecordMissing(now, "a")
	tr.RecordFailure(now.Add(time.Second))
	if got := tr.Overdue(now.Add(3 * time.Second)); len(got) > 0 {
		t.Errorf("overdue %v while the store is away", got)
	}
}
