package poison

import (
	"fmt"
	"testing"
	"time"
)

// Guards against servers that crash on while a part is not blamed, since its requests wait at many servers at once.
func TestPartWhoseRequestsWaitIsBlamed(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	const maxLate = 3
	for _, tc := range []struct {
		seed              uint64
		everyMS           int
		wait              time.Duration
		instances         int
		servers           int
		maxRefusedPercent int // of sound requests, while the part is blamed
	}{
		{1, 350, 3 * time.Second, 90, 72, 2},
		{2, 350, 3 * time.Second, 90, 72, 2},
		{3, 350, 6 * time.Second, 90, 72, 2},
		{4, 80, 3 * time.Second, 36, 72, 2},
	} {
		t.Run(fmt.Sprintf("%d instances, one in %d ms, %v", tc.instances, tc.everyMS, tc.wait), func(t *testing.T) {
			f, parts := largeFleet(tc.seed, tc.instances, tc.servers)
			f.wait = tc.wait
			for f.now < seconds(25) {
				f.step()
				if f.now > seconds(4) && f.rng.IntN(tc.everyMS/5) == 0 {
					f.send(parts(true), true)
				}
				f.send(parts(false), false)
			}
			t.Logf("%d crashes, %d late sends; %d of %d sound requests refused before, %d of %d later", len(f.crashes), f.lateSends(),
				f.soundEarly[0], f.soundEarly[1], f.soundLate[0], f.soundLate[1])
			if len(f.crashes) < 3 {
				t.Errorf("%d crashes, so the test proves nothing", len(f.crashes))
			}
			if f.lateSends() > maxLate {
				t.Errorf("%d sends with the part later than 4 s after the fifth crash", f.lateSends())
			}
			for _, sound := range [][2]int{f.soundEarly, f.soundLate} {
				if sound[0]*100 > sound[1]*tc.maxRefusedPercent {
					t.Errorf("%d of %d sound requests refused", sound[0], sound[1])
				}
			}
		})
	}
}

// Guards against parts that are blamed since many servers end at once, for a reason of their own.
func TestServersThatEndTogetherBlameNothing(t *testing.T) {
	for seed := range uint64(6) {
		for _, servers := range []int{3, 6, 24} {
			f, parts := largeFleet(seed, 9, 72)
			f.length = 3 * time.Second
			for f.now < seconds(12) {
				f.step()
				f.send(parts(false), false)
				if f.now.Sub(start)%time.Second == 0 && f.now > seconds(8) {
					for range servers {
						f.crash(f.rng.IntN(len(f.downUntil)))
					}
				}
			}
			refused := f.soundEarly[0] + f.soundLate[0]
			if refused > 0 {
				t.Errorf("seed %d, %d servers a second: %d of %d requests refused", seed, servers, refused, f.soundEarly[1]+f.soundLate[1])
			}
		}
	}
}

// Guards against a part that few requests have and that is blamed since servers end together, though each of them works on one for long.
func TestPartThatRunsEverywhereIsNotBlamed(t *testing.T) {
	for _, everywhere := range []bool{true, false} {
		d := New()
		for i := range 400 {
			d.RecordSurvival(seconds(float64(i)/40), []Digest{firstPart, model})
		}
		for i := range 24 {
			shared := []Digest{firstPart, model}
			if everywhere && i%3 == 0 {
				shared = []Digest{deadly, model}
			}
			d.BeginRun(Server(i), Start(i), Run{Digests: []Digest{Digest(1<<20 + i)}, Shared: shared, SentAt: seconds(5)}, seconds(60))
		}
		for now := seconds(5); now < seconds(10); now = now.Add(200 * time.Millisecond) {
			d.Report(now)
		}
		for i := range 8 {
			at := seconds(10 + float64(i)/100)
			for j, part := range []Digest{firstPart, deadly, secondPart + Digest(2*i)} {
				run := Run{Digests: []Digest{Digest(1<<21 + 10*i + j)}, Shared: []Digest{part, model}, SentAt: seconds(6)}
				d.RecordSharedCrash(at, run, Server(200+i), 0)
			}
		}
		if got := sharedRefused(d, seconds(10.1), deadly, model); got == everywhere {
			t.Errorf("works everywhere: %v; refused: %v", everywhere, got)
		}
		if sharedRefused(d, seconds(10.1), firstPart, model) {
			t.Error("a part is refused that many requests have")
		}
	}
}
