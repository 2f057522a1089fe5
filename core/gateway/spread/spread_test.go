package spread

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/members"
)

const now = clock.Time(time.Hour)

// zones returns n instances in each of count zones. The first two of each zone are the
// strongest.
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

// A message goes to all instances of the sender's zone and to one relay of every other
// zone. The next message goes through the other relay.
func TestOneRelayPerZone(t *testing.T) {
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
		t.Errorf("%d relays for a message through all of them, want 6", len(both.Relays))
	}
}

// Messages to small zones are sent directly.
func TestSmallZonesGetMessagesDirectly(t *testing.T) {
	if r := Plan(now, "a", zones(3, 4), 0, false); len(r.Direct) != 12 || len(r.Relays) != 0 {
		t.Errorf("%d direct, %d relays", len(r.Direct), len(r.Relays))
	}
}

// Relays that are silent or leaving are replaced. A zone with fewer than two instances
// that are heard gets messages directly, since no relay can be relied on.
func TestFailedRelaysAreReplaced(t *testing.T) {
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
