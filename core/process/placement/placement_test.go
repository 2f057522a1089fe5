package placement

import (
	"testing"
	"time"

	"oleanderdale.org/core/message"
)

func TestBurstOfDemandsIsOneLoad(t *testing.T) {
	// Callers burst at a cold model through all entries of the zone. Every
	// instance demands it many times; one load is decided and ordered, and the
	// snapshot of each instance shows it loaded.
	s := newSim(1, 3, 3, true)
	s.run(2 * time.Second)
	for range 30 {
		for _, n := range s.nodes {
			for range 20 {
				s.demand(n, "m000")
			}
		}
		s.run(100 * time.Millisecond)
	}
	if len(s.loads) != 1 || len(s.loaded("m000")) != 1 || len(s.wrong) > 0 {
		t.Fatalf("loads %v, wrong %v, commits %d", s.loads, s.wrong, s.commits)
	}
	for _, n := range s.nodes {
		found := 0
		for _, r := range n.p.Snapshot("m000") {
			if r.State == message.Loaded {
				found++
			}
		}
		if found != 1 || n.p.Estimate("m000") != 0 {
			t.Errorf("%s sees %d loaded, estimate %v", n.name, found, n.p.Estimate("m000"))
		}
	}
}
