package members

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

func TestRowsAndMessages(t *testing.T) {
	s := New("me")
	now := clock.Time(time.Hour)
	s.UpdateFromRow(now, "me", "10.0.0.1:1", "a", 0)
	s.UpdateFromRow(now, "old", "10.0.0.2:1", "a", 0)
	s.UpdateFromMessage(now, Member{Name: "new", Address: "10.0.0.3:1", Incarnation: 5})
	if all := s.All(now); len(all) != 2 || all[0].Name != "new" || all[1].Name != "old" {
		t.Fatalf("members %v", all)
	}
	if s.Get("old").Live(now) || !s.Get("new").Live(now) {
		t.Error("want an instance to be live after a message, not because of its row")
	}

	// The row of an instance whose address changed is outdated. Its messages take
	// precedence while it is live.
	s.UpdateFromRow(now, "new", "10.0.0.9:1", "a", 0)
	if s.Get("new").Address != "10.0.0.3:1" {
		t.Error("a row replaced the address of a live instance")
	}
	later := now.Add(2 * liveTimeout)
	s.UpdateFromRow(later, "new", "10.0.0.9:1", "a", 0)
	if s.Get("new").Address != "10.0.0.9:1" {
		t.Error("the row of an instance that is not live was ignored")
	}

	if n := len(s.All(now.Add(forgetAfter + 3*liveTimeout))); n != 0 {
		t.Errorf("%d instances left after forgetAfter", n)
	}
}

// Guards against an instance that is checked again and again while it is silent, or not at all.
func TestDoubtfulOnceForEachSilence(t *testing.T) {
	const silence = 300 * time.Millisecond
	s := New("self")
	now := clock.Time(time.Hour)
	s.UpdateFromMessage(now, Member{Name: "a"})
	s.UpdateFromMessage(now, Member{Name: "b"})
	if got := s.Doubtful(now.Add(silence), silence); len(got) > 0 {
		t.Errorf("doubted at once: %v", got)
	}
	late := now.Add(silence + 1)
	s.UpdateFromMessage(late, Member{Name: "b"})
	if got := s.Doubtful(late, silence); len(got) != 1 || got[0].Name != "a" {
		t.Errorf("doubted %v, want a", got)
	}
	if got := s.Doubtful(late.Add(1), silence); len(got) > 0 {
		t.Errorf("doubted again: %v", got)
	}
	s.UpdateFromMessage(late.Add(1), Member{Name: "a"})
	if got := s.Doubtful(late.Add(2*silence), silence); len(got) != 2 {
		t.Errorf("doubted %v after another silence, want both", got)
	}
	if got := s.Doubtful(late.Add(time.Minute), silence); len(got) > 0 {
		t.Errorf("doubted %v, which count as gone", got)
	}
}
