package instance

import (
	"testing"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
)

const (
	testKey     = id.Digest("digest")
	farDeadline = clock.Time(1 << 40)
	testModel   = id.Artifact("m")
	testAccount = id.Account("a")
)

// permittedConfig returns a configuration in which testKey belongs to testAccount
// and the account may call testModel.
func permittedConfig() *config.Config {
	return &config.Config{
		Version:   2,
		Artifacts: map[id.Artifact]config.Artifact{testModel: {Name: testModel}},
		Accounts:  map[id.Account]config.Account{testAccount: {Name: testAccount}},
		Keys:      map[id.Digest]config.Key{testKey: {Digest: testKey, Account: testAccount}},
		Approvals: map[config.Approval]struct{}{{Account: testAccount, Model: testModel}: {}},
	}
}

func withoutKey() *config.Config {
	c := permittedConfig()
	c.Keys = nil
	return c
}

func withoutApproval() *config.Config {
	c := permittedConfig()
	c.Approvals = nil
	return c
}

func withKeyOfOtherAccount() *config.Config {
	c := permittedConfig()
	c.Keys = map[id.Digest]config.Key{testKey: {Digest: testKey, Account: "b"}}
	return c
}

func openRequest(i *Instance, s stage) *request {
	req := &request{
		call:    event.Call{Request: "r", KeyDigest: testKey, Artifact: testModel, Deadline: farDeadline},
		account: testAccount, stage: s, attempt: "r/1",
	}
	i.requests["r"] = req
	return req
}

// onlyEffect returns the single effect of an instance, or nil if there is none.
func onlyEffect(t *testing.T, i *Instance) event.Effect {
	t.Helper()
	switch len(i.effects) {
	case 0:
		return nil
	case 1:
		return i.effects[0]
	}
	t.Fatalf("effects %+v, want one", i.effects)
	return nil
}

// TestRecheckBeforeDispatch: when a call gets its turn, its key or approval has
// been withdrawn, its key belongs to another account, or its deadline has passed.
// It must not reach a backend server, and is refused as not run.
func TestRecheckBeforeDispatch(t *testing.T) {
	for name, c := range map[string]struct {
		cfg    *config.Config
		now    clock.Time
		reason event.Reason
	}{
		"key withdrawn":          {withoutKey(), 1, event.ReasonUnknownKey},
		"key of another account": {withKeyOfOtherAccount(), 1, event.ReasonUnknownKey},
		"approval withdrawn":     {withoutApproval(), 1, event.ReasonNotApproved},
		"deadline passed":        {permittedConfig(), farDeadline, event.ReasonDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			i := newTestInstance(nil)
			i.cfg = c.cfg
			i.dispatch(c.now, openRequest(i, stageTurn))
			r, ok := onlyEffect(t, i).(event.Refuse)
			if !ok || r.Refusal.Reason != c.reason || r.Refusal.Execution != event.NotRun {
				t.Errorf("got %+v, want a refusal for %s, not run", i.effects, c.reason)
			}
		})
	}
	i := newTestInstance(nil)
	i.cfg = permittedConfig()
	i.dispatch(1, openRequest(i, stageTurn))
	if _, ok := onlyEffect(t, i).(event.Dispatch); !ok {
		t.Errorf("nothing withdrawn: got %+v, want a dispatch", i.effects)
	}
}

// TestKeyWithdrawnWhileRequestOpen: a new configuration withdraws a key. A waiting
// request is refused at once as not run; a stream is cancelled with an error that
// does not claim so; a non-idempotent call that was sent runs to its end, since
// cancelling it would only lose its outcome.
func TestKeyWithdrawnWhileRequestOpen(t *testing.T) {
	for name, c := range map[string]struct {
		stage      stage
		atMostOnce bool
		mayHaveRun bool
		check      func(e event.Effect) bool
	}{
		"waiting for tokens": {stage: stageTokens, check: refusedNotRun},
		"waiting for a turn": {stage: stageTurn, check: refusedNotRun},
		"streaming": {stage: stageServer, check: func(e event.Effect) bool {
			cancel, ok := e.(event.Cancel)
			return ok && cancel.Attempt == "r/1" && cancel.Refusal.Execution == event.MayHaveRun && cancel.Refusal.Reason == event.ReasonUnknownKey
		}},
		"non-idempotent, sent":                   {stage: stageServer, atMostOnce: true, check: func(e event.Effect) bool { return e == nil }},
		"non-idempotent, outcome being recorded": {stage: stageRecord, atMostOnce: true, mayHaveRun: true, check: func(e event.Effect) bool { return e == nil }},
	} {
		t.Run(name, func(t *testing.T) {
			i := newTestInstance(nil)
			req := openRequest(i, c.stage)
			req.atMostOnce, req.mayHaveRun = c.atMostOnce, c.mayHaveRun
			i.applyConfig(1, withoutKey())
			if e := onlyEffect(t, i); !c.check(e) {
				t.Errorf("got %+v", e)
			}
		})
	}
}

func refusedNotRun(e event.Effect) bool {
	r, ok := e.(event.Refuse)
	return ok && r.Refusal.Execution == event.NotRun && r.Refusal.Reason == event.ReasonUnknownKey
}

// TestSentCallKeptUntilOutcomeRecorded: the connection of a non-idempotent call
// broke after it was sent, so it may have run, and its outcome is still to be
// recorded. Then its key is withdrawn, or its caller disconnects. The caller is not
// told "not run", and the record stays: without it, a repeat would run the call a
// second time.
func TestSentCallKeptUntilOutcomeRecorded(t *testing.T) {
	for name, interrupt := range map[string]func(i *Instance){
		"key withdrawn":      func(i *Instance) { i.applyConfig(2, withoutKey()) },
		"caller disconnects": func(i *Instance) { i.callerDisconnected(2, "r") },
	} {
		t.Run(name, func(t *testing.T) {
			i := newTestInstance(nil)
			i.cfg = permittedConfig()
			req := openRequest(i, stageServer)
			req.atMostOnce = true
			i.handleOnceAttemptEnded(1, req, event.AttemptEnded{Request: "r", Attempt: "r/1", Result: event.AttemptBroken})
			interrupt(i)
			for _, e := range i.effects {
				if refused, ok := e.(event.Refuse); ok && refused.Refusal.Execution == event.NotRun {
					t.Errorf("refused as not run: %+v", refused.Refusal)
				}
			}
			if i.requests["r"] != req {
				t.Error("the request was removed before its outcome was recorded")
			}
		})
	}
}
