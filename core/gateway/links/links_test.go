package links

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

const start = clock.Time(time.Hour)

func after(ms int) clock.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// probe runs a probe at a time, which takes ProbeTimeout.
func probe(t *testing.T, m *Monitor, at clock.Time, reached bool) (changed bool) {
	t.Helper()
	if !m.ProbeDue(at) {
		t.Fatalf("no probe %v after the start", at.Sub(start))
	}
	return m.ProbeEnded(at.Add(ProbeTimeout), at, reached)
}

// Guards against a cut that is noticed only when callers have given up.
func TestCutIsFoundWithinHalfASecond(t *testing.T) {
	m := &Monitor{}
	m.Heard(start)
	m.Sent(after(1))
	if m.ProbeDue(after(200)) {
		t.Error("probed after 200 ms of silence")
	}
	if !probe(t, m, after(300), false) {
		t.Fatal("not cut off though no server was reached")
	}
	if since, cut := m.Cut(); !cut || since != start {
		t.Errorf("cut %t since %v", cut, since)
	}
	if m.ProbeDue(after(600)) {
		t.Error("probed again too soon")
	}
	if probe(t, m, after(900), false) {
		t.Error("a second failed probe changed something")
	}
	if !probe(t, m, after(1500), true) {
		t.Error("a server that was reached did not end the cut")
	}
	if _, cut := m.Cut(); cut {
		t.Error("still cut off")
	}
}

// Guards against probes of sound links: servers that are slow for a while, and no requests at all.
func TestSoundLinksAreNotCut(t *testing.T) {
	m := &Monitor{}
	if m.ProbeDue(after(60_000)) {
		t.Error("probed without a request")
	}
	m.Sent(after(60_000))
	m.Heard(after(60_200))
	if m.ProbeDue(after(61_000)) {
		t.Error("probed though the server answered")
	}
	m.Sent(after(62_000))
	if !m.ProbeDue(after(62_300)) {
		t.Fatal("no probe")
	}
	m.Heard(after(62_350))
	if m.ProbeEnded(after(62_450), after(62_300), false) {
		t.Error("cut off though a server was heard during the probe")
	}
}

// Guards against a server that is gone and not taken for it while there are few requests, and against
// sound servers that are taken for gone while the links are cut.
func TestLinksAreReliedOnUntilSilence(t *testing.T) {
	m := &Monitor{}
	m.Heard(start)
	m.Sent(after(60_000))
	if !m.Sound(after(60_010)) {
		t.Error("a connection that is refused at once, after a quiet minute, says nothing of its server")
	}
	if m.Sound(after(60_400)) {
		t.Error("relied on after 400 ms of silence")
	}
	probe(t, m, after(60_400), true)
	if !m.Sound(after(60_600)) {
		t.Error("not relied on after a probe that reached a server")
	}
	m.Sent(after(61_000))
	probe(t, m, after(61_300), false)
	if m.Sound(after(61_500)) {
		t.Error("relied on during a cut")
	}
}

// Guards against cut instances that all choose one relay, or one that can't connect.
func TestRelaysShareTheLoad(t *testing.T) {
	c := NewChooser()
	relays := []Relay{{Name: "near", SameZone: true}, {Name: "far"}, {Name: "other"}, {Name: "cut", Cut: true, SameZone: true}, {Name: "full", Relayed: MaxRelayed}}
	count := make(map[string]int)
	for range 90 {
		count[c.Choose(start, relays, nil)]++
	}
	if count["cut"]+count["full"]+count[""] > 0 || min(count["near"], count["far"], count["other"]) < 28 {
		t.Errorf("chosen: %v", count)
	}
	c.Failed(start, "near")
	if got := c.Choose(start, relays, map[string]bool{"far": true}); got != "other" {
		t.Errorf("chose %q, want the only one left", got)
	}
	c.Reported("far")
	if got := c.Choose(after(1100), relays, map[string]bool{"near": true}); got != "far" {
		t.Errorf("chose %q, want the least loaded", got)
	}
	if got := c.Choose(start, nil, nil); got != "" {
		t.Errorf("chose %q of none", got)
	}
}
