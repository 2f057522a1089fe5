package warmup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

const start = clock.Time(time.Hour)

// limit is a server that bears 31 requests a second while it is cold.
var limit = Limit{ColdRate: 31, SurvivableRate: 51.5}

// most returns the most moments within any second.
func most(at []clock.Time) int {
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
		share   Share
		limit   Limit
		cold    bool
		most    int
		bounded bool
	}{
		{"no limit", Share{Dispatcher: true, Live: 9, Known: 9}, Limit{}, true, 0, false},
		{"chooses, cold", Share{Dispatcher: true, Live: 9, Known: 9}, limit, true, 31, true},
		{"chooses for a third, cold", Share{Dispatcher: true, Live: 3, Known: 9}, limit, true, 13, true},
		{"chooses, warm", Share{Dispatcher: true, Live: 9, Known: 9}, limit, false, 47, true},
		{"chooses for too few, cold", Share{Dispatcher: true, Live: 1, Known: 9}, limit, true, 0, true},
		{"chosen for, cold", Share{Live: 9, Known: 9}, limit, true, 0, true},
		{"chosen for, warm", Share{Live: 9, Known: 9}, limit, false, 0, false},
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
			if n := most(sent); tc.bounded && (n > tc.most || n < tc.most-4) {
				t.Errorf("%d in a second, want %d", n, tc.most)
			}
		})
	}
}

// play is a cold server before instances that choose for others, or alone. Whoever chooses
// dies, is cut off with some of the others, and is replaced, at random.
type play struct {
	random   *rand.Rand
	paces    []Pacer
	whole    bool // the safeguard is out: everybody takes the whole rate
	arrivals []clock.Time
}

// held is how long a request may be on its way.
const held = 150 * time.Millisecond

func (p *play) send(now clock.Time, i int, s Share) {
	if p.whole {
		s = Share{Dispatcher: true, Live: 1, Known: 1}
	}
	if p.paces[i].CanSend(now, s, limit, true) {
		p.paces[i].RecordSend(now, s, limit, true)
		p.arrivals = append(p.arrivals, now)
	}
}

// run returns the most requests that the server gets in a second: counted are those that
// were sent and arrived within it, and one arrives up to held later than it was sent.
func (p *play) run(instances int) int {
	side, chooser := 0, [2]int{0, 1}
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Millisecond) {
		if p.random.IntN(1500) == 0 { // a cut begins or ends
			side = p.random.IntN(instances / 2)
		}
		if p.random.IntN(500) == 0 { // one that chooses dies, another starts or goes on
			chooser[p.random.IntN(2)] = p.random.IntN(instances)
		}
		if p.random.IntN(700) == 0 {
			p.paces[p.random.IntN(instances)] = Pacer{}
		}
		p.send(now, chooser[0], Share{Dispatcher: true, Live: instances - side, Known: instances})
		if side > 0 && chooser[1] != chooser[0] {
			p.send(now, chooser[1], Share{Dispatcher: true, Live: side, Known: instances})
		}
		for i := range instances {
			if i != chooser[0] && i != chooser[1] {
				p.send(now, i, Share{Known: instances})
			}
		}
	}
	return most(p.arrivals)
}

// A cold server gets no more than it survives, however the instances die, are cut off and
// follow each other.
func TestColdServerInPlay(t *testing.T) {
	for _, n := range []int{9, 77, 195, 1800} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			p := &play{random: rand.New(rand.NewPCG(uint64(n), 1)), paces: make([]Pacer, n)}
			if got := p.run(n); float64(got) > limit.SurvivableRate-limit.ColdRate*held.Seconds() {
				t.Errorf("%d requests in a second", got)
			}
		})
	}
}

// With the whole rate for everybody the server is sent more than it survives.
func TestColdServerWithoutShares(t *testing.T) {
	p := &play{random: rand.New(rand.NewPCG(1, 1)), paces: make([]Pacer, 9), whole: true}
	if got := p.run(9); float64(got) <= limit.SurvivableRate {
		t.Errorf("the play does not notice that the safeguard is taken out: %d in a second", got)
	}
}
