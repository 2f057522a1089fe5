package directory

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

// Guards against a start under a known ID that is taken for the first one, so that orders to the earlier start are
// not expected.
func TestRestartedAt(t *testing.T) {
	now := clock.Time(time.Hour)
	entry := func(incarnation int64, age time.Duration) Entry {
		return Entry{ID: "e", Group: "g", Incarnation: incarnation, Age: age}
	}
	for _, tc := range []struct {
		name string
		play func(d *Directory)
		want clock.Time
	}{
		{"new server", func(d *Directory) { d.SetComplete(now.Add(-2*time.Minute), 0); d.Put(now, entry(1, time.Second)) }, 0},
		{"restart", func(d *Directory) {
			d.Put(now.Add(-time.Minute), entry(1, time.Hour))
			d.Put(now, entry(2, time.Second))
		}, now},
		{"entry gone before the restart", func(d *Directory) {
			d.SetComplete(now.Add(-2*time.Minute), 0)
			d.Put(now.Add(-time.Minute), entry(1, time.Hour))
			d.Remove(now.Add(-10*time.Second), "e")
			d.Put(now, entry(2, time.Second))
		}, now},
		{"entry gone and back", func(d *Directory) {
			d.SetComplete(now.Add(-2*time.Minute), 0)
			d.Put(now.Add(-time.Minute), entry(1, time.Hour))
			d.Remove(now.Add(-10*time.Second), "e")
			d.Put(now, entry(1, time.Hour))
		}, 0},
		{"restarted, then gone and back", func(d *Directory) {
			d.Put(now.Add(-time.Minute), entry(1, time.Hour))
			d.Put(now.Add(-20*time.Second), entry(2, time.Second))
			d.Remove(now.Add(-10*time.Second), "e")
			d.Put(now, entry(2, 21*time.Second))
		}, now.Add(-20 * time.Second)},
		{"young as this instance has just read all entries", func(d *Directory) {
			d.SetComplete(now.Add(-time.Second), 0)
			d.Put(now, entry(2, time.Second))
		}, now},
		{"new to this instance, but not to the one that told it", func(d *Directory) {
			d.SetComplete(now.Add(-time.Second), time.Minute)
			d.Put(now, entry(2, time.Second))
		}, 0},
		{"gone at the instance that told this one", func(d *Directory) {
			d.NoteGone(now.Add(-time.Second), "e", 1)
			d.SetComplete(now.Add(-time.Second), time.Minute)
			d.Put(now, entry(2, time.Second))
		}, now},
		{"young as this instance starts", func(d *Directory) { d.Put(now, entry(1, 7*time.Second)) }, now.Add(-4500 * time.Millisecond)},
		{"younger than clocks may differ", func(d *Directory) { d.Put(now, entry(1, time.Second)) }, now},
		{"old as this instance starts", func(d *Directory) { d.Put(now, entry(1, time.Minute)) }, 0},
	} {
		d := New()
		tc.play(d)
		if got := d.Get("e").RestartedAt(); got != tc.want {
			t.Errorf("%s: %v before now, want %v", tc.name, now.Sub(got), now.Sub(tc.want))
		}
	}
}
