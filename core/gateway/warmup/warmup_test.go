package warmup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/fleetshare"
)

const start = clock.Time(time.Hour)

// testLimit is that of a server that sustains 31 requests a second while it is cold.
var testLimit = Limit{ColdRate: 31, SurvivableRate: 51.5}

// maxPerSecond returns the largest number of times within any second.
func maxPerSecond(at []clock.Time) int {
	best, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) >= time.Second {
			first++
		}
		best = max(best, i-first+1)
	}
	return best
}

func TestShares(t *testing.T) {
	tests := []struct {
		name    string
		share   fleetshare.Share
		limit   Limit
		cold    bool
		wantMax int
		bounded bool
	}{
		{"no limit", fleetshare.Share{Dispatcher: true, Live: 9, Known: 9}, Limit{}, true, 0, false},
		{"dispatcher, cold", fleetshare.Share{Dispatcher: true, Live: 9, Known: 9}, testLimit, true, 31, true},
		{"dispatcher of a third of the fleet, cold", fleetshare.Share{Dispatcher: true, Live: 3, Known: 9}, testLimit, true, 13, true},
		{"dispatcher, warm", fleetshare.Share{Dispatcher: true, Live: 9, Known: 9}, testLimit, false, 47, true},
		{"dispatcher of too few, cold", fleetshare.Share{Dispatcher: true, Live: 1, Known: 9}, testLimit, true, 0, true},
		{"not a dispatcher, cold", fleetshare.Share{Live: 9, Known: 9}, testLimit, true, 0, true},
		{"not a dispatcher, warm", fleetshare.Share{Live: 9, Known: 9}, testLimit, false, 0, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var p Pacer
			var sent []clock.Time
			for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(time.Millisecond) {
				if p.CanSend(now, tc.share, tc.limit, tc.cold) {
					p.RecordSend(now, tc.share, tc.limit, tc.cold)
					sent = append(sent, now)
				}
			}
			if bounded := len(sent) < 5000; bounded != tc.bounded {
				t.Fatalf("bounded %v, want %v", bounded, tc.bounded)
			}
			if n := maxPerSecond(sent); tc.bounded && (n > tc.wantMax || n < tc.wantMax-4) {
				t.Errorf("%d requests in a second, want %d", n, tc.wantMax)
			}
		})
	}
}

// simulation is a cold server and the instances that send to it. Dispatchers stop, are
// separated from a part of the fleet and are replaced at random.
type simulation struct {
	random   *rand.Rand
	pacers   []Pacer
	unshared bool // disables the safeguard: every instance uses the whole rate
	arrivals []clock.Time
}

// maxDelay is how long a request may take to arrive.
const maxDelay = 150 * time.Millisecond

func (s *simulation) send(now clock.Time, i int, share fleetshare.Share) {
	if s.unshared {
		share = fleetshare.Share{Dispatcher: true, Live: 1, Known: 1}
	}
	if s.pacers[i].CanSend(now, share, testLimit, true) {
		s.pacers[i].RecordSend(now, share, testLimit, true)
		s.arrivals = append(s.arrivals, now)
	}
}

// run returns the largest number of requests sent within a second. The server may get
// more than these in a second, since a request arrives up to maxDelay after it was sent;
// the test allows for that.
func (s *simulation) run(instances int) int {
	isolated, dispatchers := 0, [2]int{0, 1}
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Millisecond) {
		if s.random.IntN(1500) == 0 { // a partition begins or ends
			isolated = s.random.IntN(instances / 2)
		}
		if s.random.IntN(500) == 0 { // a dispatcher is replaced by another instance
			dispatchers[s.random.IntN(2)] = s.random.IntN(instances)
		}
		if s.random.IntN(700) == 0 { // an instance restarts
			s.pacers[s.random.IntN(instances)] = Pacer{}
		}
		s.send(now, dispatchers[0], fleetshare.Share{Dispatcher: true, Live: instances - isolated, Known: instances})
		if isolated > 0 && dispatchers[1] != dispatchers[0] {
			s.send(now, dispatchers[1], fleetshare.Share{Dispatcher: true, Live: isolated, Known: instances})
		}
		for i := range instances {
			if i != dispatchers[0] && i != dispatchers[1] {
				s.send(now, i, fleetshare.Share{Known: instances})
			}
		}
	}
	return maxPerSecond(s.arrivals)
}

// A cold server gets no more requests than it survives while dispatchers stop, are
// partitioned and replace each other.
func TestColdServerIsNotOverloaded(t *testing.T) {
	for _, n := range []int{9, 77, 195, 1800} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			s := &simulation{random: rand.New(rand.NewPCG(uint64(n), 1)), pacers: make([]Pacer, n)}
			if got := s.run(n); float64(got) > testLimit.SurvivableRate-testLimit.ColdRate*maxDelay.Seconds() {
				t.Errorf("%d requests in a second", got)
			}
		})
	}
}

// The simulation exceeds the survivable rate when every instance uses the whole rate, so
// it would detect a missing share.
func TestColdServerWithoutShares(t *testing.T) {
	s := &simulation{random: rand.New(rand.NewPCG(1, 1)), pacers: make([]Pacer, 9), unshared: true}
	if got := s.run(9); float64(got) <= testLimit.SurvivableRate {
		t.Errorf("the simulation does not detect the missing safeguard: %d requests in a second", got)
	}
}
