package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/config"
)

// newFleet returns a fleet of three zones with three instances each.
func newFleet(t *testing.T, seed uint64, modify func(*Settings)) *Fleet {
	t.Helper()
	s := Settings{
		Seed: seed, Config: SmallConfig(), InstancesPerZone: 3, EnginesPerZone: 2, ServicesPerZone: 1,
		LeaseTerm: 6 * time.Second, DrainDelay: time.Second, GracePeriod: 20 * time.Second,
		TokenTime: 10 * time.Millisecond,
	}
	if modify != nil {
		modify(&s)
	}
	return New(s)
}

// wantNoViolations fails the test for each violation.
func wantNoViolations(t *testing.T, f *Fleet) {
	t.Helper()
	for _, violation := range f.Violations() {
		t.Error(violation)
	}
}

// modelSpec is a call of model m0, by account b, or by account a if no account
// is given.
func modelSpec(account, body string) Spec {
	s := Spec{Artifact: "m0", PromptTokens: 20, OutputTokens: 30, Timeout: 20 * time.Second, Body: body}
	s.Account = "a"
	if account != "" {
		s.Account = "b"
	}
	return s
}

// TestEveryInstanceServes: without faults, callers at all nine instances get
// whole responses, although no model is loaded at first.
func TestEveryInstanceServes(t *testing.T) {
	f := newFleet(t, 1, nil)
	f.Run(5 * time.Second)
	for n, node := range f.Nodes {
		if !node.Ready {
			t.Errorf("%s is not ready after 5 s", node.Name)
		}
		f.Call(node, modelSpec("", fmt.Sprint(n)))
		f.Call(node, Spec{Account: "b", Service: Orders, IdempotencyKey: fmt.Sprint("k", n), Timeout: 10 * time.Second, Body: "x"})
	}
	f.Run(30 * time.Second)
	for _, c := range f.Calls {
		if !c.Completed {
			t.Errorf("%s %s%s at %s: %+v", c.Request, c.Artifact, c.Service, c.instance, c.Refusal)
		}
	}
	wantNoViolations(t, f)
}

// TestSameSeedSameTrace runs the same seed again, with lost, duplicate and late
// messages and a killed instance. The traces of all events and effects must be
// identical, or no failure could be reproduced.
func TestSameSeedSameTrace(t *testing.T) {
	traceOf := func(seed uint64) string {
		h := sha256.New()
		f := newFleet(t, seed, func(s *Settings) { s.Trace = func(line string) { fmt.Fprintln(h, line) } })
		f.Network.LossRate, f.Network.DuplicateRate, f.Network.DelayRate = 0.05, 0.05, 0.05
		for n := range 60 {
			f.Run(200 * time.Millisecond)
			f.Call(f.Nodes[n%9], modelSpec("", fmt.Sprint(n)))
			if n == 30 {
				f.Nodes[2].Kill()
			}
		}
		f.Run(20 * time.Second)
		return hex.EncodeToString(h.Sum(nil))
	}
	first := traceOf(7)
	for range 2 {
		if again := traceOf(7); again != first {
			t.Fatalf("the same seed gave the traces %s and %s", first, again)
		}
	}
	if traceOf(8) == first {
		t.Error("another seed gave the same trace, so the comparison proves nothing")
	}
}

var _ = config.Urgent
