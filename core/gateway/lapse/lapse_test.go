package lapse

import (
	"slices"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	start = clock.Time(time.Hour)
	// renewInterval is the time between two renewals of the lease.
	renewInterval = 420 * time.Millisecond
	// callTimeout is the timeout of a call to the store.
	callTimeout = 1200 * time.Millisecond
)

// The store answers nobody for four seconds, and entries expire. Their servers are kept
// until GracePeriod has passed; a server whose entry is still missing then has left.
func TestEntriesExpireDuringOutage(t *testing.T) {
	for _, failsAfter := range []time.Duration{time.Millisecond, callTimeout} {
		tr := New()
		tr.RecordAnswer(start)
		now := start
		for now.Sub(start) < 4*time.Second {
			tr.RecordFailure(now.Add(10 * time.Millisecond))
			now = now.Add(failsAfter + 250*time.Millisecond)
		}
		tr.RecordAnswer(now)
		if tr.RecordMissing(now, "back") || tr.RecordMissing(now, "gone") {
			t.Fatalf("server reported as left just after an outage; calls fail after %v", failsAfter)
		}
		tr.Forget("back")
		if got := tr.Overdue(now.Add(GracePeriod)); len(got) > 0 {
			t.Errorf("Overdue returns %v before the end of the grace period", got)
		}
		if got := tr.Overdue(now.Add(GracePeriod + 1)); !slices.Equal(got, []string{"gone"}) {
			t.Errorf("Overdue returns %v, want gone", got)
		}
		if !tr.RecordMissing(now.Add(GracePeriod), "late") {
			t.Error("an entry that is removed after the grace period is reported as expired")
		}
	}
}

// A long poll was pending when the outage began, so it was sent before the last answer of
// the store. When it times out, the outage is taken to have begun at that answer.
func TestLongPollDuringOutage(t *testing.T) {
	tr := New()
	sentAt := start
	lastAnswer := start.Add(3 * time.Second)
	tr.RecordAnswer(lastAnswer)
	tr.RecordFailure(sentAt)
	end := lastAnswer.Add(4 * time.Second)
	tr.RecordAnswer(end)
	if tr.RecordMissing(end, "a") {
		t.Error("server reported as left just after an outage")
	}
}

// The store refuses the calls of one instance, with an error or by not answering. The
// instance renews its lease through another one, so a server whose entry is removed has
// left, both meanwhile and just afterwards.
func TestStoreRefusesOneInstance(t *testing.T) {
	for _, silent := range []bool{false, true} {
		tr := New()
		tr.RecordAnswer(start)
		now := start
		for now.Sub(start) < 5*time.Second {
			if !silent {
				tr.RecordFailure(now)
			} else if sentAt := now.Add(-callTimeout); !sentAt.Before(start) {
				tr.RecordFailure(sentAt)
			}
			tr.RecordAnswer(now.Add(120 * time.Millisecond)) // through another instance
			now = now.Add(renewInterval)
			if !tr.RecordMissing(now, "meanwhile") {
				t.Fatalf("entry reported as expired while the store refuses one instance; silent: %v", silent)
			}
		}
		tr.RecordAnswer(now)
		if !tr.RecordMissing(now, "afterwards") {
			t.Errorf("entry reported as expired afterwards; silent: %v", silent)
		}
	}
}

// One call fails and the next ones are answered. That is no outage, so a server whose
// entry is removed has left.
func TestSingleFailedCall(t *testing.T) {
	tr := New()
	tr.RecordAnswer(start)
	tr.RecordFailure(start.Add(time.Millisecond))
	tr.RecordAnswer(start.Add(300 * time.Millisecond))
	if !tr.RecordMissing(start.Add(400*time.Millisecond), "a") {
		t.Error("entry reported as expired after a single failed call")
	}
}

// A second outage begins while entries are missing. They can't come back, so their servers
// are kept.
func TestSecondOutage(t *testing.T) {
	tr := New()
	tr.RecordFailure(start)
	now := start.Add(3 * time.Second)
	tr.RecordAnswer(now)
	tr.RecordMissing(now, "a")
	tr.RecordFailure(now.Add(time.Second))
	if got := tr.Overdue(now.Add(3 * time.Second)); len(got) > 0 {
		t.Errorf("Overdue returns %v during an outage", got)
	}
}
