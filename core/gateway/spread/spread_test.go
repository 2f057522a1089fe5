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
			m := &members.Member{Name: fmt.Sprintf("%c-%02d", 'a'+z, i), Zone: string(rune('a' + z)), Strength: 1, LastHeard: now}
			if i < relaysPerZone {
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
	b[0].LastHeard = now.Add(-2 * relayTimeout)
	b[1].Leaving = true
	r := Plan(now, "a", all, 0, true)
	if got := names(r.Relays); len(got) != 2 || !got["b-02"] || !got["b-03"] {
		t.Errorf("relays %v", got)
	}
	for _, m := range b[3:] {
		m.LastHeard = 0
	}
	if r := Plan(now, "a", all, 0, false); len(r.Relays) != 0 || len(r.Direct) != 42 {
		t.Errorf("%d direct, %d relays", len(r.Direct), len(r.Relays))
	}
}
