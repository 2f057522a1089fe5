package spread

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/members"
)

const now = clock.Time(time.Hour)

// zones returns n instances in each of so many zones; two of each are strong.
func zones(n, count int) []*members.Member {
	var all []*members.Member
	for z := range count {
		for i := range n {
			m := &members.Member{Name: fmt.Sprintf("%c-%02d", 'a'+z, i), Zone: string(rune('a' + z)), Strength: 1, Heard: now}
			if i < relays {
				m.Strength = 2
			}
			all = append(all, m)
		}
	}
	return all
}

func names(all []*members.Member) map[string]bool {
	set := make(map[string]bool)
	for _, m := range all {
		set[m.Name] = true
	}
	return set
}

// Eighty-three instances in four zones: each tells its own zone, and one of every
// other zone; the next message goes through the other relay.
func TestOneMessageAZone(t *testing.T) {
	all := zones(21, 4)
	first, second := Plan(now, "a", all, 0, false), Plan(now, "a", all, 1, false)
	if len(first.Direct) != 21 || len(first.Relays) != 3 {
		t.Fatalf("%d direct, %d relays", len(first.Direct), len(first.Relays))
	}
	one, two := names(first.Relays), names(second.Relays)
	for _, z := range []string{"b", "c", "d"} {
		if !(one[z+"-00"] && two[z+"-01"]) {
			t.Errorf("zone %s: %v, then %v", z, one, two)
		}
	}
	if both := Plan(now, "a", all, 0, true); len(both.Relays) != 6 {
		t.Errorf("%d relays for what must not be lost", len(both.Relays))
	}
}

// A small fleet is told directly.
func TestSmallZonesAreToldDirectly(t *testing.T) {
	if r := Plan(now, "a", zones(3, 4), 0, false); len(r.Direct) != 12 || len(r.Relays) != 0 {
		t.Errorf("%d direct, %d relays", len(r.Direct), len(r.Relays))
	}
}

// Relays that are missed, or stop, are replaced; a zone of which hardly anybody is
// heard is told directly, since nobody knows whom to rely on.
func TestRelaysThatAreMissed(t *testing.T) {
	all := zones(21, 2)
	b := all[21:]
	b[0].Heard = now.Add(-2 * relaySilence)
	b[1].Leaving = true
	r := Plan(now, "a", all, 0, true)
	if got := names(r.Relays); len(got) != 2 || !got["b-02"] || !got["b-03"] {
		t.Errorf("relays %v", got)
	}
	for _, m := range b[3:] {
		m.Heard = 0
	}
	if r := Plan(now, "a", all, 0, false); len(r.Relays) != 0 || len(r.Direct) != 42 {
		t.Errorf("%d direct, %d relays", len(r.Direct), len(r.Relays))
	}
}

// Two of a zone wait for changes at the store, and others in their place when the
// store turns them away.
func TestWatchers(t *testing.T) {
	all := zones(21, 2)
	watching := func(down map[string]bool) (set map[string]bool) {
		set = make(map[string]bool)
		for _, self := range all {
			var others []*members.Member
			for _, m := range all {
				if m != self {
					others = append(others, m)
				}
			}
			if Watches(now, self, others, func(name string) bool { return !down[name] }) {
				set[self.Name] = true
			}
		}
		return set
	}
	if got := watching(nil); len(got) != 4 || !got["a-00"] || !got["b-01"] {
		t.Errorf("watching %v", got)
	}
	got := watching(map[string]bool{"a-00": true, "a-01": true})
	if !got["a-02"] || !got["a-03"] || got["a-04"] {
		t.Errorf("watching %v", got)
	}
	small := zones(3, 1)
	if !Watches(now, small[2], small[:2], func(string) bool { return true }) {
		t.Error("in a small zone not all watch")
	}
}
