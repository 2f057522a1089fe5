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

// fixedSeed and fixedCheckCount are used unless flags are given, so that runs in
// CI are reproducible.
const (
	fixedSeed       = "20261202"
	fixedCheckCount = "60"
)

// TestMain sets the flags of rapid that the command line does not give.
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

// TestRandomFaults: random calls meet several random faults at a time: killed,
// stopped and paused instances, network partitions, faults of the table, lost
// and late orders, crashing requests, leaving servers, changed rates and
// withdrawn rights. Each caller gets one true final response in time,
// non-idempotent calls run at most once, limits of rates, memory and replicas
// hold, and the fleet recovers afterwards.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := ScenarioGenerator().Draw(t, "scenario")
		if violations := NewRunner(s, nil).Play(s); len(violations) > 0 {
			t.Fatalf("%d violations, the first: %s", len(violations), violations[0])
		}
	})
}

// uniformScenarioCount is the number of scenarios that TestUniformRandomFaults
// runs.
const uniformScenarioCount = 24

// TestUniformRandomFaults runs scenarios with longer and stronger faults than
// TestRandomFaults.
func TestUniformRandomFaults(t *testing.T) {
	t.Parallel()
	for number := range uint64(uniformScenarioCount) {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			t.Parallel()
			s := UniformScenario(number)
			for _, violation := range NewRunner(s, nil).Play(s) {
				t.Error(violation)
			}
		})
	}
}

// Environment variables of TestLongRun.
const (
	longRunDuration = "OLEANDERDALE_LONG"      // duration of the run
	longRunFirst    = "OLEANDERDALE_LONG_FROM" // number before that of the first scenario
)

// TestLongRun runs scenarios on all processor cores for the time given in the
// environment, and logs how many steps of each kind it ran. numberedScenario
// returns the scenario of a reported number.
func TestLongRun(t *testing.T) {
	limit, err := time.ParseDuration(os.Getenv(longRunDuration))
	if err != nil {
		t.Skip("set " + longRunDuration + "=20m to run scenarios for twenty minutes")
	}
	var next, steps atomic.Int64
	from, _ := strconv.ParseInt(os.Getenv(longRunFirst), 10, 64)
	next.Store(from)
	var mu sync.Mutex
	stepCounts := make(map[string]int)
	deadline := time.Now().Add(limit)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for time.Now().Before(deadline) {
				number := int(next.Add(1))
				r, violations := playNumbered(number)
				if len(violations) > 0 {
					t.Errorf("scenario %d: %d violations, the first: %s", number, len(violations), violations[0])
				}
				if r == nil {
					continue
				}
				steps.Add(int64(r.TasksRun))
				mu.Lock()
				for k, n := range r.StepCounts {
					stepCounts[k] += n
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%d scenarios, %d simulation tasks, steps by kind %v", next.Load()-from, steps.Load(), stepCounts)
}

// playNumbered runs the scenario of a number. A panic counts as a violation.
func playNumbered(number int) (r *Runner, violations []string) {
	defer func() {
		if v := recover(); v != nil {
			violations = append(violations, fmt.Sprint(v))
		}
	}()
	s := numberedScenario(number)
	r = NewRunner(s, nil)
	return r, r.Play(s)
}

// numberedScenario returns the scenario of a number: even numbers are those of
// UniformScenario, odd ones are examples of ScenarioGenerator.
func numberedScenario(number int) Scenario {
	if number%2 == 0 {
		return UniformScenario(uint64(number))
	}
	return ScenarioGenerator().Example(number)
}
