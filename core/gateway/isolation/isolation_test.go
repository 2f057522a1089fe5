package isolation

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

const start = clock.Time(time.Minute)

// heard returns a detector that heard both zones at the start.
func heard() *Detector {
	d := New("a")
	d.Heard(start, "a")
	d.Heard(start, "b")
	return d
}

// A zone is cut off: its instances hear each other, and nobody else. They count as
// cut off when nobody was reached, within a second and a half, and no longer when
// another zone is heard.
func TestZoneIsCutOff(t *testing.T) {
	d := heard()
	var at clock.Time
	for at = start; !d.CutOff(at); at = at.Add(50 * time.Millisecond) {
		d.Heard(at, "a")
		if d.LookDue(at) {
			d.Failed(at.Add(400 * time.Millisecond))
		}
		if at.Sub(start) > 1500*time.Millisecond {
			t.Fatal("not noticed")
		}
	}
	d.Heard(at, "b")
	if d.CutOff(at) {
		t.Error("cut off though another zone is heard")
	}
}

// All others are silent, but the store answers: they are dead, and this instance
// serves. It does not ask the store all the time.
func TestOthersAreDead(t *testing.T) {
	d := heard()
	looks := 0
	for at := start; at.Sub(start) < 10*time.Second; at = at.Add(50 * time.Millisecond) {
		if d.LookDue(at) {
			looks++
			d.Reached(at)
		}
		if d.CutOff(at) {
			t.Fatalf("cut off after %v", at.Sub(start))
		}
	}
	if looks > 8 {
		t.Errorf("%d looks in ten seconds", looks)
	}
}

// An instance was frozen. It has heard nobody for seconds, and looks once; it is not
// cut off before that look has failed.
func TestFrozenInstance(t *testing.T) {
	d := heard()
	at := start.Add(5 * time.Second)
	if d.CutOff(at) || !d.LookDue(at) || d.LookDue(at) {
		t.Error("cut off, or not one look")
	}
	d.Reached(at)
	if d.CutOff(at) {
		t.Error("cut off though the store answers")
	}
}

// An instance that is alone from its start never heard anybody, so it is not cut off.
func TestAloneFromTheStart(t *testing.T) {
	d := New("a")
	if at := start.Add(time.Hour); d.LookDue(at) || d.CutOff(at) {
		t.Error("cut off")
	}
}
