package fleet

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fixedSeed and fixedRuns make the run in CI the same each time.
const (
	fixedSeed       = "20261202"
	fixedCheckCount = "60"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": fixedSeed, "rapid.checks": fixedCheckCount, "rapid.nofailfile": "true", "rapid.shrinktime": "20s"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// TestRandomFaults: calls, bursts, orders and their repeats meet random faults,
// several at a time: kills, planned stops, pauses, cuts, a table that is down,
// slow or loses answers, lost and late orders, crashing requests, leaving
// servers, changed rates and withdrawn keys. Callers get one true final answer
// in time; orders run once; rates, memory and replicas hold; afterwards all is
// well again.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := ScenarioGenerator().Draw(t, "scenario")
		if faults := NewRunner(s, nil).Play(s); len(faults) > 0 {
			t.Fatalf("%d faults, the first: %s", len(faults), faults[0])
		}
	})
}

// uniformRuns is how many scenarios of Uniform are played in CI.
const uniformScenarioCount = 24

// TestUniformFaults plays scenarios with longer and stronger faults.
func TestUniformRandomFaults(t *testing.T) {
	t.Parallel()
	for number := range uint64(uniformScenarioCount) {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			t.Parallel()
			s := UniformScenario(number)
			for _, fault := range NewRunner(s, nil).Play(s) {
				t.Error(fault)
			}
		})
	}
}

// Environment variables of the long run.
const (
	longRunDuration = "OLEANDERDALE_LONG"      // how long it takes
	longRunFirst    = "OLEANDERDALE_LONG_FROM" // number of the scenario before its first
)

// TestLongRun plays scenarios on all cores for the time given in the
// environment, and reports what it tried. A scenario that shows a fault is
// named by its number; scenarioOf(number) is it.
func TestLongRun(t *testing.T) {
	limit, err := time.ParseDuration(os.Getenv(longRunDuration))
	if err != nil {
		t.Skip("set " + longRunDuration + "=20m to play scenarios for twenty minutes")
	}
	var next, steps atomic.Int64
	from, _ := strconv.ParseInt(os.Getenv(longRunFirst), 10, 64)
	next.Store(from)
	var mu sync.Mutex
	done := make(map[string]int)
	end := time.Now().Add(limit)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for time.Now().Before(end) {
				number := int(next.Add(1))
				r, faults := playNumbered(number)
				if len(faults) > 0 {
					t.Errorf("scenario %d: %d faults, the first: %s", number, len(faults), faults[0])
				}
				if r == nil {
					continue
				}
				steps.Add(int64(r.TasksRun))
				mu.Lock()
				for k, n := range r.StepCounts {
					done[k] += n
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%d scenarios, %d steps of the fakes, steps by kind %v", next.Load()-from, steps.Load(), done)
}

// playNumber plays the scenario of that number; a panic counts as a fault.
func playNumbered(number int) (r *Runner, faults []string) {
	defer func() {
		if v := recover(); v != nil {
			faults = append(faults, fmt.Sprint(v))
		}
	}()
	s := numberedScenario(number)
	r = NewRunner(s, nil)
	return r, r.Play(s)
}

// scenarioOf returns the scenario of a number of the long run: those with small
// values and those with even ones in turn.
func numberedScenario(number int) Scenario {
	if number%2 == 0 {
		return UniformScenario(uint64(number))
	}
	return ScenarioGenerator().Example(number)
}
