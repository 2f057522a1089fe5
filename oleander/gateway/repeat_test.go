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

// Three thousand servers are republished in batches: no burst grows with their
// number, and each server is sent once a cycle, although one leaves meanwhile.
func TestRepublishInBatches(t *testing.T) {
	const servers = 3000
	ids := serverIDs(servers)
	var p republisher
	now := clock.Time(time.Hour)
	count := make(map[string]int)
	for round := range servers / maxRepublished {
		r := p.next(now, ids, false)
		if r.to-r.from > maxRepublished {
			t.Fatalf("%d servers in one batch", r.to-r.from)
		}
		for i, id := range ids {
			if r.contains(i) {
				count[id]++
			}
		}
		if round == 3 {
			ids = append(ids[:r.to-1:r.to-1], ids[r.to:]...) // the last server of the batch leaves
		}
		now = now.Add(republishInterval)
	}
	for _, id := range serverIDs(servers) {
		if count[id] != 1 {
			t.Fatalf("%s published %d times, want 1", id, count[id])
		}
	}
}

// A fleet of usual size is republished as a whole, every republishInterval and not
// more often.
func TestRepublishSmallFleetAtOnce(t *testing.T) {
	ids := serverIDs(75)
	var p republisher
	now := clock.Time(time.Hour)
	for range 3 {
		if r := p.next(now, ids, false); r != (republishRange{due: true, to: len(ids)}) {
			t.Fatalf("%+v", r)
		}
		if r := p.next(now.Add(republishInterval-1), ids, false); r.due {
			t.Fatalf("republished too soon: %+v", r)
		}
		now = now.Add(republishInterval)
	}
}

// All servers are published at once after the lease was taken or the servers were
// read again.
func TestRepublishAll(t *testing.T) {
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
