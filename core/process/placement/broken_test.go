package placement

import (
	"errors"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/invariant"
)

// maxSafeguardRuns is the maximum number of random runs until a disabled
// safeguard must be detected.
const maxSafeguardRuns = 300

func TestDisabledSafeguardIsDetected(t *testing.T) {
	// Each case disables one safeguard. Callers would see a crashed engine, a
	// duplicate replica, or work without authorisation. An invariant or the
	// simulation's check of the engines must detect it; otherwise the passing
	// tests prove nothing.
	for name, tc := range map[string]struct {
		hook   disabledSafeguards
		checks bool
		share  float64
		want   string
	}{
		"lease not checked":         {disabledSafeguards{leaseCheck: true}, true, 0.5, "order-without-lease"},
		"order before commit":       {disabledSafeguards{commitBeforeOrder: true}, true, 0.5, "order-without-reservation"},
		"memory limit ignored":      {disabledSafeguards{memoryLimit: true}, true, 0.5, "memory-overcommitted"},
		"replica limit ignored":     {disabledSafeguards{replicaLimit: true}, true, 0.5, "too-many-replicas"},
		"reservation removed early": {disabledSafeguards{quietPeriod: true}, false, -1, "replicas:"},
		"memory reassigned early":   {disabledSafeguards{quietPeriod: true}, false, -1, "memory:"},
		"stale report accepted":     {disabledSafeguards{reportFreshness: true}, false, -1, "replicas:"},
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
					t.Fatalf("seed %d: %s with all safeguards enabled", seed, f)
				}
			}
			t.Fatalf("%d runs did not detect %s", maxSafeguardRuns, tc.want)
		})
	}
}

func TestTakeoverWaitsForLateStandbyLoads(t *testing.T) {
	// An owner orders a pre-authorised load without the table and crashes; the
	// order is delayed. The next owner finds no trace of it in the table or in
	// the engine's report. If it used the pool at once, the late order would
	// load into memory that has been reassigned, and the engine would crash
	// with its requests.
	for name, tc := range map[string]struct {
		hook disabledSafeguards
		want int
	}{
		"safeguard enabled":  {disabledSafeguards{}, 0},
		"safeguard disabled": {disabledSafeguards{poolAdoption: true}, 1},
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
				t.Errorf("violations %v, loads %v", s.violations, s.loads)
			}
		})
	}
}

func TestViolationIsReportedAndLeftOut(t *testing.T) {
	// In production a violation does not panic: it is reported, and the load or
	// order is left out. The engines must still stay within their limits.
	for name, disabled := range map[string]disabledSafeguards{
		"lease not checked":     {leaseCheck: true},
		"order before commit":   {commitBeforeOrder: true},
		"memory limit ignored":  {memoryLimit: true},
		"replica limit ignored": {replicaLimit: true},
	} {
		t.Run(name, func(t *testing.T) {
			reported := 0
			check := invariant.Reporting(func(invariant.Violation) { reported++ })
			for seed := range uint64(20) {
				r := randomRun{seed: seed, checksFencing: true, standbyShare: 0.5, episodes: 10, checker: check}
				if s := r.run(disabled); len(s.violations) > 0 {
					t.Fatalf("seed %d: violations %v", seed, s.violations)
				}
			}
			if reported == 0 {
				t.Error("no violation was reported")
			}
		})
	}
}

// findViolation executes r and returns the violated invariant or the violations
// found at the engines.
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
