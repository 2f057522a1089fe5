package keepalive

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
)

// recordArrivals records arrivals of a with the given gaps between them.
func recordArrivals(p Policy, a id.Artifact, gaps ...time.Duration) {
	now := clock.Time(0)
	p.RecordArrival(now, a)
	for _, g := range gaps {
		now = now.Add(g)
		p.RecordArrival(now, a)
	}
}

func TestKeepTimes(t *testing.T) {
	each := func(d time.Duration, n int) []time.Duration { return slices.Repeat([]time.Duration{d}, n) }
	item := IdleArtifact{Artifact: "m", Bytes: 1, MemoryShare: 0.2, LoadTime: 20 * time.Second, MemoryPressure: 0.9}
	cheap := item
	cheap.LoadTime = 100 * time.Millisecond
	for name, tc := range map[string]struct {
		gaps        []time.Duration
		item        IdleArtifact
		least, most time.Duration
	}{
		"no known gaps":              {nil, item, 10 * time.Minute, 10 * time.Minute},
		"calls every few minutes":    {each(4*time.Minute, 5), item, 4 * time.Minute, 5 * time.Minute},
		"the same, with a histogram": {each(4*time.Minute, 50), item, 4 * time.Minute, 6 * time.Minute},
		"calls twice a day":          {each(12*time.Hour, 20), item, 30 * time.Second, 30 * time.Second},
		"a very short load":          {each(4*time.Minute, 50), cheap, 30 * time.Second, 30 * time.Second},
		"a burst counts once":        {each(10*time.Millisecond, 50), item, 10 * time.Minute, 10 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHistogram(Settings{})
			recordArrivals(h, "m", tc.gaps...)
			if got := h.KeepTime(tc.item); got < tc.least || got > tc.most {
				t.Errorf("keep time %v, want %v to %v", got, tc.least, tc.most)
			}
		})
	}
}

func TestEvictionPrefersLowestCost(t *testing.T) {
	// One of two idle models must be evicted. The one that is called every few
	// minutes must stay, although the one that is called twice a day was called
	// more recently.
	h := NewHistogram(Settings{})
	recordArrivals(h, "often", slices.Repeat([]time.Duration{5 * time.Minute}, 20)...)
	recordArrivals(h, "rarely", slices.Repeat([]time.Duration{12 * time.Hour}, 20)...)
	often := h.EvictionCost(IdleArtifact{Artifact: "often", Bytes: 10, LoadTime: 10 * time.Second, IdleTime: 4 * time.Minute})
	rarely := h.EvictionCost(IdleArtifact{Artifact: "rarely", Bytes: 10, LoadTime: 10 * time.Second, IdleTime: time.Minute})
	if often <= rarely {
		t.Errorf("cost %g for the frequent model, %g for the rare one; want the first higher", often, rarely)
	}
	costly := h.EvictionCost(IdleArtifact{Artifact: "rarely", Bytes: 10, LoadTime: time.Hour, IdleTime: time.Minute})
	if costly <= rarely {
		t.Errorf("cost %g for a longer load, %g for a shorter one; want the first higher", costly, rarely)
	}
}

// TestMemoryOfManyArtifacts checks the memory use with 57,000 adapters that are
// all used often enough for a histogram.
func TestMemoryOfManyArtifacts(t *testing.T) {
	const artifacts, limit = 57000, 40 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	h := NewHistogram(Settings{})
	for i := range artifacts {
		recordArrivals(h, id.Artifact(fmt.Sprintf("m:%d", i)), slices.Repeat([]time.Duration{time.Minute}, 2*maxRecentGaps)...)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapAlloc - before.HeapAlloc
	t.Logf("%d artifacts use %.1f MiB", artifacts, float64(used)/(1<<20))
	if used > limit || h.histogramCount != 16384 {
		t.Errorf("%d bytes for %d histograms", used, h.histogramCount)
	}
	runtime.KeepAlive(h)
}

// workload is an artifact and the times of its calls, sorted.
type workload struct {
	item  IdleArtifact
	calls []time.Duration
}

const days = 7

// generateWorkloads returns artifacts of four kinds: rarely called, called during
// working hours, called in bursts, and called at regular intervals.
func generateWorkloads() []workload {
	rng := rand.New(rand.NewPCG(20261202, 3))
	var all []workload
	for i := range 110 {
		item := IdleArtifact{Artifact: id.Artifact(fmt.Sprint("a", i)), Bytes: 10 << 30, MemoryShare: 0.15, LoadTime: 20 * time.Second, MemoryPressure: 0.7}
		if i >= 50 { // adapters
			item.Bytes, item.MemoryShare, item.LoadTime = 1<<30, 0.015, 3*time.Second
		}
		all = append(all, workload{item, generateCalls(rng, i%4)})
	}
	return all
}

func generateCalls(rng *rand.Rand, kind int) []time.Duration {
	var all []time.Duration
	mean := []time.Duration{4 * time.Hour, 6 * time.Minute, 90 * time.Minute, time.Hour}[kind]
	for at := time.Duration(0); at < days*24*time.Hour; {
		step := time.Duration(float64(mean) * -math.Log(1-rng.Float64()))
		if kind == 3 { // regular intervals
			step = mean + time.Duration(rng.Int64N(int64(2*time.Minute)))
		}
		at += step
		hour := int(at.Hours()) % 24
		if kind == 1 && (hour < 7 || hour >= 17) {
			continue // outside working hours
		}
		all = append(all, at)
		if kind == 2 { // a burst of up to five further calls
			for range 1 + rng.IntN(5) {
				at += time.Duration(rng.Int64N(int64(3 * time.Minute)))
				all = append(all, at)
			}
		}
	}
	return all
}

// replay runs the calls of all workloads against p. It returns the number of cold
// starts, the hours of a whole backend server's memory that was held idle, and
// the mean and 99th percentile of the time that calls wait for a load.
func replay(p Policy, all []workload) (cold int, idle float64, mean, p99 time.Duration) {
	var waits []time.Duration
	for _, w := range all {
		last, keep := time.Duration(-1), time.Duration(0)
		for _, at := range w.calls {
			wait := time.Duration(0)
			if gap := at - last; last < 0 || gap > keep {
				cold, wait = cold+1, w.item.LoadTime
			}
			if last >= 0 {
				idle += min(at-last, keep).Hours() * w.item.MemoryShare
			}
			waits = append(waits, wait)
			mean += wait
			p.RecordArrival(clock.Time(at), w.item.Artifact)
			last, keep = at, p.KeepTime(w.item)
		}
	}
	slices.Sort(waits)
	return cold, idle, mean / time.Duration(len(waits)), waits[len(waits)*99/100]
}

// BenchmarkPolicies compares the policies on the same calls:
//
//	go test ./core/process/keepalive -bench Policies -benchtime 1x
func BenchmarkPolicies(b *testing.B) {
	all := generateWorkloads()
	policies := map[string]func() Policy{}
	for _, d := range []time.Duration{time.Minute, 5 * time.Minute, 10 * time.Minute, 20 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour} {
		policies["fixed/"+d.String()] = func() Policy { return Fixed{Duration: d} }
	}
	for _, w := range []float64{5, 15, 30, 60, 120, 240} {
		policies[fmt.Sprintf("histogram/%03.0f", w)] = func() Policy { return NewHistogram(Settings{WaitWeight: w}) }
	}
	names := make([]string, 0, len(policies))
	for n := range policies {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		b.Run(n, func(b *testing.B) {
			for b.Loop() {
				cold, idle, mean, p99 := replay(policies[n](), all)
				b.ReportMetric(float64(cold), "cold")
				b.ReportMetric(idle, "idle-server-hours")
				b.ReportMetric(mean.Seconds(), "mean-wait-s")
				b.ReportMetric(p99.Seconds(), "p99-wait-s")
			}
		})
	}
}

func BenchmarkKeep(b *testing.B) {
	for _, n := range []int{6, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := NewHistogram(Settings{})
			rng := rand.New(rand.NewPCG(1, 1))
			for range n {
				recordArrivals(h, "m", time.Duration(rng.Int64N(int64(4*time.Hour))))
			}
			item := IdleArtifact{Artifact: "m", Bytes: 1, MemoryShare: 0.2, LoadTime: 20 * time.Second, MemoryPressure: 0.5}
			for b.Loop() {
				h.KeepTime(item)
			}
		})
	}
}
