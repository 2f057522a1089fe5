package gateway

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

func serverIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%05d", i)
	}
	return ids
}

// Three thousand servers are told again by parts: no message burst grows with their
// number, and within a cycle each server is told once, though some leave meanwhile.
func TestServersAreRepeatedByParts(t *testing.T) {
	const servers = 3000
	ids := serverIDs(servers)
	var p republisher
	now := clock.Time(time.Hour)
	told := make(map[string]int)
	for round := range servers / maxRepublished {
		r := p.next(now, ids, false)
		if r.to-r.from > maxRepublished {
			t.Fatalf("%d at once", r.to-r.from)
		}
		for i, id := range ids {
			if r.contains(i) {
				told[id]++
			}
		}
		if round == 3 {
			ids = append(ids[:r.to-1:r.to-1], ids[r.to:]...) // the last one told leaves
		}
		now = now.Add(republishInterval)
	}
	for _, id := range serverIDs(servers) {
		if told[id] != 1 {
			t.Fatalf("%s told %d times", id, told[id])
		}
	}
}

// A fleet as large as most is told again whole, every two seconds and not more often.
func TestFewServersAreRepeatedWhole(t *testing.T) {
	ids := serverIDs(75)
	var p republisher
	now := clock.Time(time.Hour)
	for range 3 {
		if r := p.next(now, ids, false); r != (republishRange{due: true, to: len(ids)}) {
			t.Fatalf("%+v", r)
		}
		if r := p.next(now.Add(republishInterval-1), ids, false); r.due {
			t.Fatalf("again too soon: %+v", r)
		}
		now = now.Add(republishInterval)
	}
}

// Whoever takes the lease over, or reads the servers anew, tells all at once.
func TestAllAreToldAnew(t *testing.T) {
	ids := serverIDs(3000)
	var p republisher
	now := clock.Time(time.Hour)
	p.next(now, ids, false)
	if r := p.next(now, ids, true); r != (republishRange{due: true, to: len(ids)}) {
		t.Errorf("%+v", r)
	}
	if r := p.next(now.Add(republishInterval), ids, false); r.from != 0 || r.to != maxRepublished {
		t.Errorf("%+v", r)
	}
}
