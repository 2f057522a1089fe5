package instance

import (
	"fmt"
	"testing"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
)

// reporting returns an instance without a configuration that notes violations.
func newReportingInstance() (*Instance, *[]string) {
	seen := new([]string)
	return newTestInstance(invariant.Reporting(func(v invariant.Violation) { *seen = append(*seen, v.Name) })), seen
}

// TestFalseNotRunIsSeen shows that the check of refusals can fail: a request that
// may have run is refused as not run. The caller would send it again as if nothing
// had happened. It is told that nobody knows.
func TestFalseNotRunViolatesInvariant(t *testing.T) {
	i, seen := newReportingInstance()
	req := &request{call: event.Call{Request: "r"}, stage: stageServer, mayHaveRun: true}
	i.refuseRequest(1, req, *notRun(event.ReasonNoBackend, defaultRetryAfter, ""))
	if fmt.Sprint(*seen) != "[not-run-true]" {
		t.Errorf("violations %v, want not-run-true", *seen)
	}
	refusal, ok := i.effects[0].(event.Refuse)
	if !ok || refusal.Refusal.Execution != event.MayHaveRun {
		t.Errorf("told the caller %+v", i.effects[0])
	}
}

// TestSecondSendIsSeen shows that the check of non-idempotent calls can fail: one
// that may have run is about to be sent again. It is not sent.
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
			t.Errorf("sent: %+v", e)
		}
	}
}

// TestPassingTroubleSaysWhenToComeBack: callers take a refusal without a time to
// come back as lasting, and gave up on calls that could have been served a second
// later. Each reason that passes has a time now; the others have none.
func TestTransientRefusalsHaveRetryAfter(t *testing.T) {
	tests := []struct {
		reason event.Reason
		back   bool
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
		{event.ReasonOverRate, false}, // larger than the burst: never
	}
	for _, test := range tests {
		i, _ := newReportingInstance()
		i.refuseCall("r", event.Refusal{Reason: test.reason, Execution: event.NotRun}, event.Basis{})
		if got := i.effects[0].(event.Refuse).Refusal.RetryAfter > 0; got != test.back {
			t.Errorf("%s: told when to come back %t, want %t", test.reason, got, test.back)
		}
	}
}

// TestOrderRefusedAtOnceWhileTableIsSilent: the table has never answered, or not
// for a term of the lease. An order was sent to it all the same, and refused only
// after three operations had timed out, six seconds later.
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

// TestEndOfOldAttemptChangesNothing: the end of an attempt that was given up comes
// while a newer one runs. If it were taken for the newer one, the turn would be
// given back and the tokens returned while the server still works.
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
