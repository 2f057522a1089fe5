package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

// gossip lets detectors tell each other what they know, in messages that take up to 20 ms, and two
// of them keep it in the store and read what the other one kept.
type gossip struct {
	rng       *rand.Rand
	now       clock.Time
	detectors []*Detector
	messages  []fleetMessage
	store     bool
}

func newGossip(instances int, store bool) *gossip {
	g := &gossip{rng: rand.New(rand.NewPCG(1, 66)), now: start, store: store}
	for range instances {
		g.detectors = append(g.detectors, New())
	}
	return g
}

// until lets time pass.
func (g *gossip) until(end clock.Time) {
	for ; g.now < end; g.now = g.now.Add(5 * time.Millisecond) {
		kept := g.messages[:0]
		for _, m := range g.messages {
			if m.at > g.now {
				kept = append(kept, m)
				continue
			}
			g.detectors[m.to].Merge(g.now, "peer", m.report)
		}
		g.messages = kept
		for from, d := range g.detectors {
			if g.rng.IntN(40) > 0 {
				continue
			}
			r := d.Report(g.now)
			for to := range g.detectors {
				if to != from {
					g.messages = append(g.messages, fleetMessage{g.now.Add(time.Duration(1+g.rng.IntN(20)) * time.Millisecond), to, r})
				}
			}
		}
		if g.store && g.now.Sub(start)%(500*time.Millisecond) == 0 {
			writer, reader := g.detectors[0], g.detectors[1]
			if g.now.Sub(start)%time.Second == 0 {
				writer, reader = reader, writer
			}
			reader.MergeKept(g.now.Add(20*time.Millisecond), writer.Kept(g.now, 0))
		}
	}
}

// latest returns when something happened, as the detector says that holds the latest time.
func (g *gossip) latest(age func(Report) (time.Duration, bool)) clock.Time {
	latest := clock.Time(0)
	for _, d := range g.detectors {
		if a, ok := age(d.Kept(g.now, 0)); ok {
			latest = max(latest, g.now.Add(-a))
		}
	}
	return latest
}

// crashAll records crashes of three servers under a request and what it shares, as all instances hear of them.
func (g *gossip) crashAll(shared ...Digest) {
	for i := range 3 {
		at := seconds(float64(i))
		g.until(at)
		g.detectors[i].RecordCrash(at, []Digest{1}, Server(i))
		run := Run{Digests: []Digest{Digest(100 + i)}, Shared: shared, SentAt: at.Add(-50 * time.Millisecond)}
		g.detectors[i].RecordSharedCrash(at, run, Server(i), 0)
	}
	g.until(seconds(3))
}

// Guards against what happened once and grows younger each time that it is told on.
func TestTimesToldOnStayWhereTheyWere(t *testing.T) {
	survivalAge := func(r Report) (time.Duration, bool) {
		for _, s := range r.Survivals {
			if s.Digest == deadly {
				return s.Age, true
			}
		}
		return 0, false
	}
	suspectOf := func(r Report) SuspectReport {
		for _, s := range r.Suspects {
			if s.Digest == 1 {
				return s
			}
		}
		return SuspectReport{}
	}
	for _, tc := range []struct {
		name   string
		happen func(g *gossip)
		at     float64 // when it did, in seconds
		age    func(Report) (time.Duration, bool)
	}{
		{"survival of a part", func(g *gossip) {
			g.detectors[0].RecordSurvival(seconds(-1), []Digest{deadly})
			g.crashAll(deadly)
		}, -1, survivalAge},
		{"trial of a part", func(g *gossip) {
			g.crashAll(deadly)
			g.detectors[0].BeginSharedTrial(g.now, []Digest{deadly})
		}, 3, func(r Report) (time.Duration, bool) {
			if len(r.SharedTrials) == 0 {
				return 0, false
			}
			return r.SharedTrials[0].Age, true
		}},
		{"trial of a request", func(g *gossip) {
			g.crashAll(deadly)
			g.detectors[0].BeginTrial(g.now, []Digest{1})
		}, 3, func(r Report) (time.Duration, bool) { return suspectOf(r).TrialAge, suspectOf(r).Trials > 0 }},
		{"completed run of a request", func(g *gossip) {
			g.crashAll(deadly)
			g.detectors[0].RecordCompletion(g.now, []Digest{1})
		}, 3, func(r Report) (time.Duration, bool) { return suspectOf(r).CompletedAge, suspectOf(r).Completed }},
		{"completed run before the crashes", func(g *gossip) {
			g.detectors[0].RecordCompletion(seconds(-1), []Digest{1})
			g.crashAll(deadly)
		}, -1, func(r Report) (time.Duration, bool) { return suspectOf(r).RanBeforeAge, suspectOf(r).RanBefore }},
		{"crash", func(g *gossip) { g.crashAll(deadly) }, 2, func(r Report) (time.Duration, bool) {
			crashes := suspectOf(r).Crashes
			return crashes[len(crashes)-1].Age, true
		}},
		{"crash under a part", func(g *gossip) { g.crashAll(deadly) }, 2, func(r Report) (time.Duration, bool) {
			return r.Crashes[len(r.Crashes)-1].Age, true
		}},
		{"run that met a crash", func(g *gossip) { g.crashAll(deadly) }, 1.95, func(r Report) (time.Duration, bool) {
			return r.Crashes[len(r.Crashes)-1].Runs[0].SentAge, true
		}},
		{"server that is up again", func(g *gossip) {
			g.crashAll(deadly)
			for _, d := range g.detectors {
				d.RecordAnswer(g.now, 2, g.now)
			}
		}, 3, func(r Report) (time.Duration, bool) {
			if len(r.Up) == 0 {
				return 0, false
			}
			return r.Up[0].Age, true
		}},
	} {
		for _, size := range []struct {
			instances int
			store     bool
		}{{9, false}, {36, false}, {9, true}} {
			t.Run(fmt.Sprintf("%s, %d instances, store %v", tc.name, size.instances, size.store), func(t *testing.T) {
				g := newGossip(size.instances, size.store)
				tc.happen(g)
				g.until(seconds(20))
				latest := g.latest(tc.age)
				t.Logf("said to have happened at %v", latest.Sub(start))
				if latest == 0 {
					t.Fatal("not known any more, so the test proves nothing")
				}
				// A message takes 20 ms, and the store as long.
				if late := latest.Sub(seconds(tc.at)); late > 50*time.Millisecond {
					t.Errorf("said to have happened %v later than it did", late)
				}
			})
		}
	}
}

// Guards against what the store alone knows and grows younger each time that one instance reads it and another writes it again.
func TestTimesKeptStayWhereTheyWere(t *testing.T) {
	observer := newGossip(1, false)
	d := observer.detectors[0]
	d.RecordCompletion(seconds(-3), []Digest{1})
	d.RecordSurvival(start, []Digest{firstPart})
	crashThree(d, seconds(1), 1)
	sharedCrashes3(d, seconds(1), deadly, firstPart)
	d.BeginSharedTrial(seconds(1.3), []Digest{deadly})
	d.BeginTrial(seconds(1.3), []Digest{1})
	g := newGossip(2, true)
	g.now = seconds(2)
	for _, d := range g.detectors {
		d.MergeKept(g.now, observer.detectors[0].Kept(g.now, 0))
	}
	before := g.detectors[0].Kept(g.now, 0)
	g.until(seconds(22))
	after := g.detectors[0].Kept(g.now, 0)
	aged := before.Aged(20 * time.Second)
	same := func(name string, age, want time.Duration) {
		if age != want {
			t.Errorf("%s: %v ago, want %v", name, age, want)
		}
	}
	same("survival", after.Survivals[0].Age, aged.Survivals[0].Age)
	same("trial of the part", after.SharedTrials[0].Age, aged.SharedTrials[0].Age)
	same("completed run", after.Suspects[0].CompletedAge, aged.Suspects[0].CompletedAge)
	same("completed run before the crashes", after.Suspects[0].RanBeforeAge, aged.Suspects[0].RanBeforeAge)
	same("trial of the request", after.Suspects[0].TrialAge, aged.Suspects[0].TrialAge)
}

// Guards against a sign of life that is told on until it follows a later crash, which is taken back.
func TestSignsOfLifeStayWhereTheyWere(t *testing.T) {
	g := newGossip(9, false)
	for i, d := range g.detectors {
		d.RecordCrash(start, []Digest{Digest(10 + i)}, 1)
	}
	for _, d := range g.detectors {
		d.RecordAnswer(seconds(0.1), 1, seconds(0.1))
	}
	g.until(seconds(1))
	g.detectors[0].RecordCrash(seconds(1), []Digest{99}, 1)
	g.until(seconds(8))
	if crashes, _ := g.detectors[0].Suspicion(99); crashes != 1 {
		t.Errorf("%d crashes of the request that ended the server later, want 1", crashes)
	}
	latest := clock.Time(0)
	for _, d := range g.detectors {
		latest = max(latest, d.alive[1])
	}
	if late := latest.Sub(seconds(0.1)); late > 25*time.Millisecond {
		t.Errorf("the sign of life is said to have been %v later than it was", late)
	}
}
