package poison

import (
	"math/rand/v2"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

// Guards against a verdict that comes late where many instances send to many servers.
func TestLargeFleetFindsTheSharedPart(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	for _, tc := range []struct {
		name               string
		instances, servers int
		everyMS, toCrash   int // between two sends with the part, and until the crash, in milliseconds
		seconds            float64
	}{
		{"12 a second, quick crashes", 90, 72, 80, 200, 7},
		{"12 a second, slow crashes", 90, 72, 80, 1500, 9},
	} {
		rng := rand.New(rand.NewPCG(1, 47))
		f := &fleetOfSuspects{rng: rng, now: start, detectors: make([]*Detector, tc.instances), downUntil: make([]clock.Time, tc.servers), toCrash: tc.toCrash}
		for i := range f.detectors {
			f.detectors[i] = New()
		}
		parts := func(isDeadly bool) []Digest {
			shared := []Digest{firstPart + Digest(2*rng.IntN(3)), 1e7 + Digest(2*rng.IntN(284))}
			if isDeadly {
				shared[1] = deadly
			}
			return append(shared, Broad(uint64(1e6+2*rng.IntN(21))))
		}
		for f.now < seconds(tc.seconds) {
			f.step()
			if f.now > seconds(1) && rng.IntN(tc.everyMS/5) == 0 {
				f.send(parts(true), true)
			}
			f.send(parts(false), false)
			f.send(parts(false), false)
		}
		late, last := 0, time.Duration(0)
		for _, at := range f.sends {
			if len(f.crashes) < 5 {
				break
			}
			if last = at.Sub(f.crashes[4]); last > 4*time.Second {
				late++
			}
		}
		t.Logf("%s: %d crashes, %d sends with the part, the last %v after the fifth crash", tc.name, len(f.crashes), len(f.sends), last)
		if len(f.crashes) < 3 {
			t.Errorf("%s: %d crashes, so the test proves nothing", tc.name, len(f.crashes))
		}
		if late > 0 {
			t.Errorf("%s: %d sends with the part later than 4 s after the fifth crash", tc.name, late)
		}
	}
}

// Guards against a guilty run that is not among those kept of a crash, where many wait at each server.
func TestCrowdedFleetFindsTheSharedPart(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	const instances, maxLate = 63, 3
	for _, tc := range []struct {
		name             string
		servers          int
		everyMS, toCrash int           // as above
		length           time.Duration // of a sound run
	}{
		{"140 runs a server, 12 a second", 12, 80, 1200, 2800 * time.Millisecond},
	} {
		for seed := range uint64(1) {
			rng := rand.New(rand.NewPCG(seed, 59))
			f := &fleetOfSuspects{
				rng: rng, now: start, detectors: make([]*Detector, instances), downUntil: make([]clock.Time, tc.servers), toCrash: tc.toCrash, length: tc.length,
			}
			for i := range f.detectors {
				f.detectors[i] = New()
			}
			parts := func(isDeadly bool) []Digest {
				shared := []Digest{firstPart + Digest(2*rng.IntN(3)), 1e7 + Digest(2*rng.IntN(284))}
				if isDeadly {
					shared[1] = deadly
				}
				return append(shared, Broad(uint64(1e6+2*rng.IntN(21))))
			}
			for f.now < seconds(14) {
				f.step()
				if f.now > seconds(3) && rng.IntN(tc.everyMS/5) == 0 {
					f.send(parts(true), true)
				}
				for range 3 {
					f.send(parts(false), false)
				}
			}
			late := 0
			for _, at := range f.sends {
				if len(f.crashes) >= 5 && at.Sub(f.crashes[4]) > 4*time.Second {
					late++
				}
			}
			t.Logf("%s, seed %d: %d crashes, %d sends later than 4 s after the fifth", tc.name, seed, len(f.crashes), late)
			if late > maxLate {
				t.Errorf("%s, seed %d: %d sends with the part later than 4 s after the fifth crash, want at most %d", tc.name, seed, late, maxLate)
			}
		}
	}
}
