package evacuation

import (
	"math/rand/v2"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/revision"
)

// Guards against an evacuated zone that closes later with each notice that is told on.
func TestClosingTimeToldOnStaysWhereItWas(t *testing.T) {
	type message struct {
		at      clock.Time
		to      int
		notices []Notice
	}
	start := clock.Time(time.Hour)
	rng := rand.New(rand.NewPCG(1, 66))
	var sets []*Set
	for range 36 {
		sets = append(sets, New(time.Minute))
	}
	sets[0].ApplyNotice(start, Notice{Zone: "a", Revision: revision.Revision{Version: 10}, Active: true, ClosesIn: 20 * time.Second})
	var messages []message
	for now := start; now < start.Add(15*time.Second); now = now.Add(5 * time.Millisecond) {
		kept := messages[:0]
		for _, m := range messages {
			if m.at > now {
				kept = append(kept, m)
				continue
			}
			for _, n := range m.notices {
				sets[m.to].ApplyNotice(now, n)
			}
		}
		messages = kept
		for from, s := range sets {
			for to := range sets {
				if to != from && rng.IntN(40*len(sets)) == 0 {
					messages = append(messages, message{now.Add(time.Duration(1+rng.IntN(20)) * time.Millisecond), to, s.Notices(now)})
				}
			}
		}
	}
	for i, s := range sets {
		// It takes a few messages until all have heard of it.
		if late := s.zones["a"].closesAt.Sub(start.Add(20 * time.Second)); late > 60*time.Millisecond {
			t.Errorf("instance %d closes the zone %v later than the first", i, late)
		}
	}
}
