package instance

import (
	"fmt"
	"testing"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
)

// newReportingInstance returns an instance without a configuration, and the names
// of the invariants that it violates.
func newReportingInstance() (*Instance, *[]string) {
	seen := new([]string)
	return newTestInstance(invariant.Reporting(func(v invariant.Violation) { *seen = append(*seen, v.Name) })), seen
}

// TestFalseNotRunViolatesInvariant shows that the check of refusals can fail: a
// request that may have run is refused as not run, which would make its caller
// send it again. The caller must be told that it may have run.
func TestFalseNotRunViolatesInvariant(t *testing.T) {
	i, seen := newReportingInstance()
	req := &request{call: event.Call{Request: "r"}, stage: stageServer, mayHaveRun: true}
	i.refuseRequest(1, req, *notRun(event.ReasonNoBackend, defaultRetryAfter, ""))
	if fmt.Sprint(*seen) != "[not-run-true]" {
		t.Errorf("violations %v, want not-run-true", *seen)
	}
	refusal, ok := i.effects[0].(event.Refuse)
	if !ok || refusal.Refusal.Execution != event.MayHaveRun {
		t.Errorf("effect %+v, want a refusal that it may have run", i.effects[0])
	}
}

// TestSecondSendViolatesInvariant shows that the check of non-idempotent calls can
// fail: a call that may have run is about to be sent again. It must not be sent.
func TestSecondSendViolatesInvariant(t *testing.T) {
	i, seen := newReportingInstance()
	i.cfg = &config.Config{}
	req := &request{call: event.Call{Request: "r"}, stage: stageRecord, atMostOnce: true, mayHaveRun: true}
	i.sendOnce(1, req)
	if fmt.Sprint(*seen) != "[once-single-send]" {
		t.Errorf("violations %v, want once-single-send", *seen)
	}
	for _, e := range i.effects {
		if _, sent := e.(event.Dispatch); sent {
			t.Errorf("sent again: %+v", e)
		}
	}
}

// TestTransientRefusalsHaveRetryAfter: clients treat a refusal without a retry time
// as permanent, and gave up on calls that could have been served a second later.
// Transient reasons carry a retry time, all others don't.
func TestTransientRefusalsHaveRetryAfter(t *testing.T) {
	tests := []struct {
		reason         event.Reason
		wantRetryAfter bool
	}{
		{event.ReasonDeadline, true},
		{event.ReasonQueueFull, true},
		{event.ReasonNoBackend, true},
		{event.ReasonTableUnavailable, true},
		{event.ReasonRunningElsewhere, true},
		{event.ReasonStopping, true},
		{event.ReasonIsolated, true},
		{event.ReasonInterrupted, true},
		{event.ReasonUnknownKey, false},
		{event.ReasonNotApproved, false},
		{event.ReasonNoTarget, false},
		{event.ReasonKeyReuse, false},
		{event.ReasonKeyMissing, false},
		{event.ReasonOutcomeUnknown, false},
		{event.ReasonOverRate, false}, // the rate limiter sets the time; none if the call exceeds the burst
	}
	for _, test := range tests {
		i, _ := newReportingInstance()
		i.refuseCall("r", event.Refusal{Reason: test.reason, Execution: event.NotRun}, event.Basis{})
		if got := i.effects[0].(event.Refuse).Refusal.RetryAfter > 0; got != test.wantRetryAfter {
			t.Errorf("%s: has a retry time: %t, want %t", test.reason, got, test.wantRetryAfter)
		}
	}
}

// TestNonIdempotentCallRefusedWhileTableUnavailable: the table has not responded
// for a lease term, or never. A non-idempotent call that waited for it all the same
// was refused only after three operations had timed out, six seconds later.
func TestNonIdempotentCallRefusedWhileTableUnavailable(t *testing.T) {
	i, _ := newReportingInstance()
	const digest = "d"
	i.cfg = &config.Config{
		Keys:      map[id.Digest]config.Key{digest: {Digest: digest, Account: "a"}},
		Accounts:  map[id.Account]config.Account{"a": {Name: "a"}},
		Services:  map[id.Service]config.Service{"s": {Name: "s"}},
		Approvals: map[config.Approval]struct{}{{Account: "a", Service: "s"}: {}},
	}
	_, refusal := i.admit(1, event.Call{Request: "r", KeyDigest: digest, Service: "s", IdempotencyKey: "k", Deadline: 10})
	if refusal == nil || refusal.Reason != event.ReasonTableUnavailable || refusal.Execution != event.NotRun {
		t.Errorf("got %+v, want a refusal for the table, not run", refusal)
	}
}

// TestEndOfOldAttemptIgnored: the end of an abandoned attempt arrives while a newer
// one runs. Taken for the end of the newer one, it would release the turn and
// refund the tokens while the server still works.
func TestEndOfOldAttemptIgnored(t *testing.T) {
	i, seen := newReportingInstance()
	req := &request{call: event.Call{Request: "r"}, stage: stageServer, attempt: "i.1/2", charged: true, cost: 10}
	i.requests["r"] = req
	for _, result := range []event.AttemptResult{
		event.AttemptCompleted, event.AttemptNotSent, event.AttemptRefused, event.AttemptBroken, event.AttemptCancelled, event.AttemptCrashed,
	} {
		i.handleAttemptEnded(1, event.AttemptEnded{Request: "r", Attempt: "i.1/1", Result: result, ResponseStarted: true})
		if i.requests["r"] != req || req.stage != stageServer || req.mayHaveRun || req.responseStarted {
			t.Errorf("result %d of an old attempt: %+v", result, req)
		}
	}
	if len(i.effects) > 0 || len(*seen) > 0 {
		t.Errorf("effects %v, violations %v", i.effects, *seen)
	}
}
