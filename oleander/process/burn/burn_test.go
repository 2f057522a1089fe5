package burn

import (
	"testing"
	"time"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/oleander/request/front"
)

// newTestRecorder returns a Recorder and its clock, which the test can advance.
func newTestRecorder() (*Recorder, *time.Time) {
	now := time.Unix(1_000_000, 0)
	r := New()
	r.now = func() time.Time { return now }
	return r, &now
}

// TestWindows checks that a call counts in the short and the long window and leaves
// each after its length.
func TestWindows(t *testing.T) {
	r, now := newTestRecorder()
	bad := front.Observation{Account: "a", Class: config.Interactive, Reason: event.ReasonDeadline}
	good := front.Observation{Account: "a", Class: config.Interactive, Good: true}
	for range 98 {
		r.Observe(good)
	}
	r.Observe(bad)
	r.Observe(bad)
	rows := r.Snapshot()
	if len(rows) != 1 || rows[0].Short != (Count{100, 2}) || rows[0].Short.BurnRate() != 2 {
		t.Fatalf("at once: %+v", rows)
	}
	*now = now.Add(ShortWindow)
	if rows := r.Snapshot(); rows[0].Short.Calls != 0 || rows[0].Long.Calls != 100 {
		t.Errorf("after the short window: %+v", rows)
	}
	r.Observe(good)
	*now = now.Add(LongWindow - ShortWindow)
	if rows := r.Snapshot(); rows[0].Long != (Count{1, 0}) {
		t.Errorf("after the long window of the first: %+v", rows)
	}
	*now = now.Add(LongWindow)
	if rows := r.Snapshot(); len(rows) != 0 {
		t.Errorf("long after: %+v", rows)
	}
}

// TestLateAnswerIsBad checks that a complete answer that missed the latency objective
// of its class counts as bad: the caller had to wait too long for it.
func TestLateAnswerIsBad(t *testing.T) {
	r, _ := newTestRecorder()
	r.Observe(front.Observation{Account: "a", Class: config.Urgent, Good: true, Latency: LatencyObjectives[config.Urgent] + 1})
	r.Observe(front.Observation{Account: "a", Class: config.Batch, Good: true, Latency: time.Hour})
	rows := r.Snapshot()
	if rows[0].Class != config.Batch || rows[0].Short.Bad != 0 || rows[1].Short.Bad != 1 {
		t.Errorf("%+v", rows)
	}
}

// TestMerge checks that the counts of two instances are summed by account and class.
func TestMerge(t *testing.T) {
	first := []Row{{Account: "a", Class: config.Urgent, Short: Count{1, 1}, Long: Count{2, 1}}}
	second := []Row{{Account: "a", Class: config.Urgent, Short: Count{3, 0}, Long: Count{4, 0}}, {Account: "b", Class: config.Urgent}}
	rows := Merge(first, second)
	if len(rows) != 2 || rows[0].Short != (Count{4, 1}) || rows[0].Long != (Count{6, 1}) {
		t.Errorf("%+v", rows)
	}
}
