package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

// largeFleet returns a fleet of many instances, and what draws the parts of a request.
func largeFleet(seed uint64, instances, servers int) (f *fleetOfSuspects, parts func(isDeadly bool) []Digest) {
	rng := rand.New(rand.NewPCG(seed, 66))
	f = &fleetOfSuspects{rng: rng, now: start, detectors: make([]*Detector, instances), downUntil: make([]clock.Time, servers)}
	for i := range f.detectors {
		f.detectors[i] = New()
	}
	return f, func(isDeadly bool) []Digest {
		shared := []Digest{firstPart + Digest(2*rng.IntN(3)), 1e7 + Digest(2*rng.IntN(284))}
		if isDeadly {
			shared[1] = deadly
		}
		return append(shared, Broad(uint64(1e6+2*rng.IntN(21))))
	}
}

// lateSends returns how many requests with the part were sent later than 4 s after the fifth crash.
func (f *fleetOfSuspects) lateSends() int {
	late := 0
	for _, at := range f.sends {
		if len(f.crashes) >= 5 && at.Sub(f.crashes[4]) > 4*time.Second {
			late++
		}
	}
	return late
}

// newestSurvival returns when the part was last survived, as the detector says that holds the latest time.
func (f *fleetOfSuspects) newestSurvival() clock.Time {
	newest := clock.Time(0)
	for _, d := range f.detectors {
		newest = max(newest, d.shared.lastSurvival(d, deadly))
	}
	return newest
}

// Guards against a part that ran well before and is blamed late or never, since each instance that tells its last good run on makes it younger.
func TestLastSurvivalStaysWhereItWas(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	const maxLate = 3
	for _, tc := range []struct{ instances, servers, everyMS int }{
		{9, 18, 40}, {9, 18, 350}, {36, 36, 40}, {36, 36, 350},
	} {
		t.Run(fmt.Sprintf("%d instances, one in %d ms", tc.instances, tc.everyMS), func(t *testing.T) {
			f, parts := largeFleet(1, tc.instances, tc.servers)
			lastSound := seconds(1)
			for f.now < seconds(18) {
				f.step()
				if f.rng.IntN(tc.everyMS/5) == 0 {
					switch {
					case f.now < lastSound:
						f.send(parts(true), false)
					case f.now > seconds(2):
						f.send(parts(true), true)
					}
				}
				f.send(parts(false), false)
			}
			survived := f.newestSurvival().Sub(start)
			t.Logf("%d crashes, %d late sends; the part was last survived at %v", len(f.crashes), f.lateSends(), survived)
			if len(f.crashes) < 3 {
				t.Errorf("%d crashes, so the test proves nothing", len(f.crashes))
			}
			if f.lateSends() > maxLate {
				t.Errorf("%d sends with the part later than 4 s after the fifth crash", f.lateSends())
			}
			// A sound run takes 600 ms, a message 20 ms.
			if survived > 1700*time.Millisecond {
				t.Errorf("the part was last survived %v after the start, as it seems; its last good run ended before 1.6s", survived)
			}
		})
	}
}
