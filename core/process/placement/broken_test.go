package placement

import (
	"errors"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/invariant"
)

// brokenRuns is how many random runs a broken variant may take to show.
const maxSafeguardRuns = 300

func TestDisabledSafeguardIsDetected(t *testing.T) {
	// Each variant switches one safeguard off. What a caller would see is a
	// crashed engine, a doubled replica, or work done without a right; the
	// asserted invariant or the oracle at the engines must say so, or the tests
	// that pass prove nothing.
	for name, tc := range map[string]struct {
		hook   disabledSafeguards
		checks bool
		share  float64
		want   string
	}{
		"no lease asked":           {disabledSafeguards{leaseCheck: true}, true, 0.5, "order-without-lease"},
		"order before the commit":  {disabledSafeguards{commitBeforeOrder: true}, true, 0.5, "order-without-reservation"},
		"memory not counted":       {disabledSafeguards{memoryLimit: true}, true, 0.5, "memory-overcommitted"},
		"replicas not counted":     {disabledSafeguards{replicaLimit: true}, true, 0.5, "too-many-replicas"},
		"reservation removed soon": {disabledSafeguards{quietPeriod: true}, false, -1, "replicas:"},
		"memory given away soon":   {disabledSafeguards{quietPeriod: true}, false, -1, "memory:"},
		"old report believed":      {disabledSafeguards{reportFreshness: true}, false, -1, "replicas:"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(maxSafeguardRuns) {
				r := randomRun{seed: seed, checksFencing: tc.checks, standbyShare: tc.share, episodes: 12, faultRates: faultRates{
					orderLost: .05, orderLate: .3, orderDuplicated: .3, tableSlow: .05, tableResultLost: .05, tableWriteLate: .05, reportSlow: .2,
				}}
				if strings.Contains(findViolation(r, tc.hook), tc.want) {
					return
				}
				if f := findViolation(r, disabledSafeguards{}); f != "" {
					t.Fatalf("seed %d shows %s with all safeguards on", seed, f)
				}
			}
			t.Fatalf("%d runs did not show %s", maxSafeguardRuns, tc.want)
		})
	}
}

func TestTakeoverWaitsForLateStandbyLoads(t *testing.T) {
	// An owner orders a pre-authorised load without the table and dies; the
	// order is late. The next owner finds nothing of it in the table nor in the
	// engine's report. If it used the pool at once, the late order would find
	// the memory given away, and the engine would crash under its callers.
	for name, tc := range map[string]struct {
		hook disabledSafeguards
		want int
	}{
		"safeguard on":  {disabledSafeguards{}, 0},
		"safeguard off": {disabledSafeguards{poolAdoption: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(1, 3, 1, false, 0.5)
			eng := s.engines[s.backends[0]]
			eng.busy = true
			for _, n := range s.nodes {
				n.placement.disabled = tc.hook
			}
			s.run(12 * time.Second)
			s.intercept = func(n *node, e event.Effect) bool {
				late := isLoadOrder(e)
				if late {
					s.intercept = nil
					s.kill(n)
					s.after(testMaxOrderTime-time.Second, func() { eng.executeOrder(e.(event.OrderBackend)) })
				}
				return late
			}
			for range 40 {
				s.demandAll("m000")
				s.run(100 * time.Millisecond)
			}
			for range 300 {
				s.demandAll("m002")
				s.demandAll("m004")
				s.run(100 * time.Millisecond)
			}
			if got := min(len(s.violations), 1); got != tc.want || s.loads["b000/m000"] == 0 {
				t.Errorf("wrong %v, loads %v", s.violations, s.loads)
			}
		})
	}
}

func TestViolationIsReportedAndLeftOut(t *testing.T) {
	// In production a violation does not panic: it is reported, and the load or
	// the order is left out. The engines stay within their limits even so.
	for name, disabled := range map[string]disabledSafeguards{
		"no lease asked":          {leaseCheck: true},
		"order before the commit": {commitBeforeOrder: true},
		"memory not counted":      {memoryLimit: true},
		"replicas not counted":    {replicaLimit: true},
	} {
		t.Run(name, func(t *testing.T) {
			reported := 0
			check := invariant.Reporting(func(invariant.Violation) { reported++ })
			for seed := range uint64(20) {
				r := randomRun{seed: seed, checksFencing: true, standbyShare: 0.5, episodes: 10, checker: check}
				if s := r.run(disabled); len(s.violations) > 0 {
					t.Fatalf("seed %d: %v", seed, s.violations)
				}
			}
			if reported == 0 {
				t.Error("no violation was reported")
			}
		})
	}
}

// found plays r and returns the violation or the findings of the oracle.
func findViolation(r randomRun, disabled disabledSafeguards) (violation string) {
	defer func() {
		if err, ok := recover().(error); ok {
			var v invariant.Violation
			if !errors.As(err, &v) {
				panic(err)
			}
			violation = v.Name
		}
	}()
	return strings.Join(r.run(disabled).violations, "\n")
}
