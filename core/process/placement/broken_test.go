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
const brokenRuns = 300

func TestEachSafeguardIsNoticedWhenOff(t *testing.T) {
	// Each variant switches one safeguard off. What a caller would see is a
	// crashed engine, a doubled replica, or work done without a right; the
	// asserted invariant or the oracle at the engines must say so, or the tests
	// that pass prove nothing.
	for name, tc := range map[string]struct {
		hook   unsafe
		checks bool
		share  float64
		want   string
	}{
		"no lease asked":           {unsafe{noValid: true}, true, 0.5, "order-without-lease"},
		"order before the commit":  {unsafe{noCommit: true}, true, 0.5, "order-without-reservation"},
		"memory not counted":       {unsafe{noMemory: true}, true, 0.5, "memory-overcommitted"},
		"replicas not counted":     {unsafe{noReplicas: true}, true, 0.5, "too-many-replicas"},
		"reservation removed soon": {unsafe{noQuiet: true}, false, -1, "replicas:"},
		"memory given away soon":   {unsafe{noQuiet: true}, false, -1, "memory:"},
		"old report believed":      {unsafe{staleReport: true}, false, -1, "replicas:"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(brokenRuns) {
				r := randomRun{seed: seed, checks: tc.checks, share: tc.share, episodes: 12, chances: chances{
					orderLost: .05, orderLate: .3, orderDoubled: .3, tableSlow: .05, answerLost: .05, lateWrite: .05, reportSlow: .2,
				}}
				if strings.Contains(found(r, tc.hook), tc.want) {
					return
				}
				if f := found(r, unsafe{}); f != "" {
					t.Fatalf("seed %d shows %s with all safeguards on", seed, f)
				}
			}
			t.Fatalf("%d runs did not show %s", brokenRuns, tc.want)
		})
	}
}

func TestTakeoverWaitsForLateStandbyLoads(t *testing.T) {
	// An owner orders a pre-authorised load without the table and dies; the
	// order is late. The next owner finds nothing of it in the table nor in the
	// engine's report. If it used the pool at once, the late order would find
	// the memory given away, and the engine would crash under its callers.
	for name, tc := range map[string]struct {
		hook unsafe
		want int
	}{
		"safeguard on":  {unsafe{}, 0},
		"safeguard off": {unsafe{blindPool: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(1, 3, 1, false, 0.5)
			g := s.engines[s.names[0]]
			g.busy = true
			for _, n := range s.nodes {
				n.p.unsafe = tc.hook
			}
			s.run(12 * time.Second)
			s.tap = func(n *node, e event.Effect) bool {
				late := isLoadOrder(e)
				if late {
					s.tap = nil
					s.kill(n)
					s.after(orderMax-time.Second, func() { g.carry(e.(event.OrderBackend)) })
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
			if got := min(len(s.wrong), 1); got != tc.want || s.loads["b000/m000"] == 0 {
				t.Errorf("wrong %v, loads %v", s.wrong, s.loads)
			}
		})
	}
}

func TestViolationTakesTheSafeBranch(t *testing.T) {
	// In production a violation does not panic: it is reported, and the load or
	// the order is left out. The engines stay within their limits even so.
	for name, hook := range map[string]unsafe{
		"no lease asked":          {noValid: true},
		"order before the commit": {noCommit: true},
		"memory not counted":      {noMemory: true},
		"replicas not counted":    {noReplicas: true},
	} {
		t.Run(name, func(t *testing.T) {
			reported := 0
			check := invariant.Reporting(func(invariant.Violation) { reported++ })
			for seed := range uint64(20) {
				r := randomRun{seed: seed, checks: true, share: 0.5, episodes: 10, check: check}
				if s := r.play(hook); len(s.wrong) > 0 {
					t.Fatalf("seed %d: %v", seed, s.wrong)
				}
			}
			if reported == 0 {
				t.Error("no violation was reported")
			}
		})
	}
}

// found plays r and returns the violation or the findings of the oracle.
func found(r randomRun, hook unsafe) (what string) {
	defer func() {
		if err, ok := recover().(error); ok {
			var v invariant.Violation
			if !errors.As(err, &v) {
				panic(err)
			}
			what = v.Name
		}
	}()
	return strings.Join(r.play(hook).wrong, "\n")
}
