package once

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process"
	"oleanderdale.org/core/table"
)

// fakeMembers is a list of instances that tests can change.
type fakeMembers struct {
	process.Members
	live []id.Instance
}

func (p *fakeMembers) Self() id.Instance   { return "self" }
func (p *fakeMembers) Live() []id.Instance { return p.live }

// harness drives the Tracker of one instance. The test answers its table operations.
// log records the output of each step: first decisions, then effects.
type harness struct {
	tracker *Tracker
	members *fakeMembers
	now     clock.Time
	out     event.Outbox
	op      event.Op // the last table operation
	log     []string
}

func newHarness() *harness {
	h := &harness{members: &fakeMembers{live: []id.Instance{"self", "other"}}, now: clock.Time(time.Hour)}
	h.tracker = New(Settings{MaxBodySize: 10}, h.members, &invariant.Checker{})
	return h
}

// recordOutput appends the decisions and effects since the last call to log.
func (h *harness) recordOutput() {
	for _, d := range h.tracker.Decisions() {
		switch d.Action {
		case Send:
			h.log = append(h.log, "SEND")
		case QueryStatus:
			h.log = append(h.log, "STATUS")
		case Answer:
			h.log = append(h.log, fmt.Sprintf("ANSWER:%s:%t", d.Row.Body, d.Replay))
		case Refuse:
			h.log = append(h.log, fmt.Sprintf("REFUSE:%s:%s", d.Refusal.Reason, d.Refusal.Execution))
		}
	}
	for _, e := range h.out.Take() {
		switch e := e.(type) {
		case event.TableRead:
			h.op = e.Op
			h.log = append(h.log, "read")
		case event.TableCommit:
			h.op = e.Op
			h.log = append(h.log, fmt.Sprintf("%s@%d", e.Writes[0].Body.(table.Once).State, e.Writes[0].Expect))
		case event.SendPeer:
			if m, ok := e.Message.(message.OnceReply); ok {
				h.log = append(h.log, fmt.Sprintf("told:%t:%s", m.Known, m.State))
			}
		}
	}
}

func (h *harness) begin(change ...func(*Call)) {
	c := Call{Request: "r", Account: "a", Key: "k", Digest: "d", Attempt: "t", Deadline: h.now.Add(5 * time.Second)}
	for _, f := range change {
		f(&c)
	}
	h.tracker.Begin(h.now, c, &h.out)
	h.recordOutput()
}

func (h *harness) tableResult(o table.Outcome, rows ...table.Row) {
	h.tracker.HandleTableResult(h.now, event.TableResult{Op: h.op, Outcome: o, Rows: rows}, &h.out)
	h.recordOutput()
}

func (h *harness) attemptEnded(r event.AttemptResult, body string) {
	h.tracker.HandleAttemptEnded(h.now, event.AttemptEnded{Request: "r", Result: r, Status: 200, Body: []byte(body)}, &h.out)
	h.recordOutput()
}

// advance moves the time forward by d and calls Tick when it is due.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); ; {
		if h.tracker.Next() > end {
			h.now = end
			return
		}
		h.now = max(h.tracker.Next(), h.now)
		h.tracker.Tick(h.now, &h.out)
		h.recordOutput()
	}
}

// receive handles a message of the other instance.
func (h *harness) receive(m message.Message) {
	h.tracker.HandleMessage(h.now, "other", m, &h.out)
	h.recordOutput()
}

func withStatusQuery(c *Call) { c.CanQueryStatus = true }

// otherRow returns the row of an attempt of another instance.
func otherRow(state table.OnceState, digest id.Digest, version uint64) table.Row {
	return table.Row{Version: version, Body: table.Once{
		Account: "a", Key: "k", Digest: digest, Holder: "other", Attempt: "t2", State: state, Body: []byte("done"),
	}}
}

// ownRow returns the row of the attempt of this instance.
func ownRow(version uint64) table.Row {
	return table.Row{Version: version, Body: table.Once{
		Account: "a", Key: "k", Digest: "d", Holder: "self", Attempt: "t", State: table.OnceRunning,
	}}
}

// The caller of a non-idempotent call gets its outcome, a refusal that says that it
// was not run, or a refusal that says that the outcome is unknown. The log of each
// case shows the order of events.
func TestTracker(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(h *harness)
		want  string
	}{
		{"the call is sent after the insert is confirmed and answered after the outcome is stored", func(h *harness) {
			h.begin()
			h.tableResult(table.Done)
			h.attemptEnded(event.AttemptCompleted, "yes")
			h.tableResult(table.Done)
		}, "running@0 SEND done@1 ANSWER:yes:false"},
		{"the result of an insert is lost: the row is read back and has its attempt", func(h *harness) {
			h.begin()
			h.tableResult(table.Unknown)
			h.tableResult(table.Done, ownRow(1))
		}, "running@0 read SEND"},
		{"an insert that can't be read back: the call is not sent and its row is marked as not-run", func(h *harness) {
			h.begin()
			h.tableResult(table.Unknown)
			h.tableResult(table.NotExecuted)
			h.tableResult(table.NotExecuted)
			h.tableResult(table.Done, ownRow(1))
		}, "running@0 read read REFUSE:table-unavailable:not-run read not-run@1"},
		{"an insert that has not taken effect yet can't take effect after the refusal", func(h *harness) {
			h.begin()
			h.tableResult(table.Unknown)
			h.tableResult(table.Done)
			h.tableResult(table.Unknown)
			h.tableResult(table.Done)
			h.tableResult(table.Done)
		}, "running@0 read running@0 read REFUSE:table-unavailable:not-run read not-run@0"},
		{"the table is down", func(h *harness) {
			h.begin()
			h.tableResult(table.NotExecuted)
		}, "running@0 REFUSE:table-unavailable:not-run"},
		{"the same key with another body is refused", func(h *harness) {
			h.begin()
			h.tableResult(table.Conflict)
			h.tableResult(table.Done, otherRow(table.OnceDone, "d2", 2))
		}, "running@0 read REFUSE:idempotency-key-reuse:not-run"},
		{"a retry after the end gets the same answer", func(h *harness) {
			h.begin()
			h.tableResult(table.Conflict)
			h.tableResult(table.Done, otherRow(table.OnceDone, "d", 2))
		}, "running@0 read ANSWER:done:true"},
		{"a retry while the call runs waits until its deadline", func(h *harness) {
			h.begin()
			h.tableResult(table.Conflict)
			h.tableResult(table.Done, otherRow(table.OnceRunning, "d", 1))
			for range 25 {
				h.advance(200 * time.Millisecond)
				h.receive(message.OnceReply{Account: "a", Key: "k", Attempt: "t2", Known: true, State: table.OnceRunning})
			}
		}, "running@0 read read read REFUSE:running-elsewhere:unknown"},
		{"a retry while the call runs gets the outcome from the holder", func(h *harness) {
			h.begin()
			h.tableResult(table.Conflict)
			h.tableResult(table.Done, otherRow(table.OnceRunning, "d", 1))
			h.receive(message.OnceReply{Account: "a", Key: "k", Attempt: "older", Known: true, State: table.OnceNotRun})
			h.receive(message.OnceReply{Account: "a", Key: "k", Attempt: "t2", Known: true, State: table.OnceDone, Body: []byte("yes")})
		}, "running@0 read ANSWER:yes:true"},
		{"the holder is gone without an outcome: unknown, and not sent again", func(h *harness) {
			h.begin()
			h.tableResult(table.Conflict)
			h.tableResult(table.Done, otherRow(table.OnceRunning, "d", 1))
			h.members.live = []id.Instance{"self"}
			h.advance(1500 * time.Millisecond)
			h.tableResult(table.Done, otherRow(table.OnceRunning, "d", 1))
			h.advance(600 * time.Millisecond)
			h.tableResult(table.Done, otherRow(table.OnceRunning, "d", 1))
			h.tableResult(table.Done)
		}, "running@0 read read read unknown@1 REFUSE:outcome-unknown:unknown"},
		{"the holder is alive but does not know the attempt: unknown, unless the row has the outcome", func(h *harness) {
			h.begin()
			h.tableResult(table.Conflict)
			h.tableResult(table.Done, otherRow(table.OnceRunning, "d", 1))
			h.receive(message.OnceReply{Account: "a", Key: "k", Attempt: "t2"})
			h.tableResult(table.Done, otherRow(table.OnceRunning, "d", 1))
			h.tableResult(table.Conflict)
			h.tableResult(table.Done, otherRow(table.OnceDone, "d", 2))
		}, "running@0 read read unknown@1 read ANSWER:done:true"},
		{"the holder guarantees not to send the call: the row is taken over", func(h *harness) {
			h.begin()
			h.tableResult(table.Conflict)
			h.tableResult(table.Done, otherRow(table.OnceRunning, "d", 1))
			h.receive(message.OnceReply{Account: "a", Key: "k", Attempt: "t2", Known: true, State: table.OnceNotRun})
			h.tableResult(table.Done)
		}, "running@0 read running@1 SEND"},
		{"the outcome can't be stored: the caller gets it, and storing continues", func(h *harness) {
			h.begin()
			h.tableResult(table.Done)
			h.attemptEnded(event.AttemptCompleted, "yes")
			h.tableResult(table.NotExecuted)
			h.advance(2 * time.Second)
			h.receive(message.OnceQuery{Account: "a", Key: "k", Attempt: "t"})
			h.tableResult(table.Done, ownRow(1))
			h.tableResult(table.Done)
			h.receive(message.OnceQuery{Account: "a", Key: "k", Attempt: "t"})
		}, "running@0 SEND done@1 read ANSWER:yes:false told:true:done done@1 told:false:"},
		{"a response that is too long for the row reaches its caller", func(h *harness) {
			h.begin()
			h.tableResult(table.Done)
			h.attemptEnded(event.AttemptCompleted, "much too long")
		}, "running@0 SEND ANSWER:much too long:false done@1"},
		{"the attempt failed after sending: unknown", func(h *harness) {
			h.begin()
			h.tableResult(table.Done)
			h.attemptEnded(event.AttemptBroken, "")
		}, "running@0 SEND REFUSE:outcome-unknown:unknown unknown@1"},
		{"the attempt failed after sending, and the service knows the outcome", func(h *harness) {
			h.begin(withStatusQuery)
			h.tableResult(table.Done)
			h.attemptEnded(event.AttemptCrashed, "")
			h.tracker.HandleStatus(h.now, "r", StatusResult{Known: true, Status: 200, Body: []byte("yes")}, &h.out)
			h.recordOutput()
			h.tableResult(table.Done)
		}, "running@0 SEND STATUS done@1 ANSWER:yes:false"},
		{"the service does not know the call: unknown, as it may still be on its way", func(h *harness) {
			h.begin(withStatusQuery)
			h.tableResult(table.Conflict)
			h.tableResult(table.Done, otherRow(table.OnceUnknown, "d", 2))
			h.tracker.HandleStatus(h.now, "r", StatusResult{}, &h.out)
			h.recordOutput()
		}, "running@0 read STATUS REFUSE:outcome-unknown:unknown"},
		{"the call was not sent: not-run, and a retry may run", func(h *harness) {
			h.begin()
			h.tableResult(table.Done)
			h.attemptEnded(event.AttemptNotSent, "")
			h.tableResult(table.Done)
			h.begin(func(c *Call) { c.Attempt = "t3" })
			h.tableResult(table.Conflict)
			h.tableResult(table.Done, otherRow(table.OnceNotRun, "d", 2))
			h.tableResult(table.Done)
		}, "running@0 SEND REFUSE:no-backend:not-run not-run@1 running@0 read running@2 SEND"},
		{"the insert of a cancelled attempt does not confirm the next attempt of the same request", func(h *harness) {
			h.begin()
			first := h.op
			h.tracker.Cancel(h.now, "r", &h.out)
			h.recordOutput()
			h.begin(func(c *Call) { c.Attempt = "t3" })
			h.op = first
			h.tableResult(table.Done)
		}, "running@0 read running@0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			c.steps(h)
			if got := strings.Join(h.log, " "); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

// With a safeguard disabled, the invariant that watches it or the count at the
// service must show the failure.
func TestDisabledSafeguardsAreDetected(t *testing.T) {
	for _, c := range []struct {
		want    string
		disable func(h *hooks)
	}{
		{"once-send", func(h *hooks) { h.sendAfterLostInsert = true }},
		{"once-not-run", func(h *hooks) { h.reportSentAsNotRun = true }},
		{"ran 2 times", func(h *hooks) { h.resendUnknown = true }},
	} {
		t.Run(c.want, func(t *testing.T) {
			for seed := range uint64(50) {
				if strings.Contains(simulateWithoutSafeguard(seed, c.disable), c.want) {
					return
				}
			}
			t.Error("not detected in 50 runs")
		})
	}
}

// Another instance overwrites the row of an attempt that may have run, and sends the
// call again. The holder must detect this when it stores the outcome.
func TestRowOverwriteIsDetected(t *testing.T) {
	defer func() {
		if v, ok := recover().(invariant.Violation); !ok || v.Name != "once-row-kept" {
			t.Errorf("got %v, want a violation of once-row-kept", v)
		}
	}()
	h := newHarness()
	h.begin()
	h.tableResult(table.Done)
	h.attemptEnded(event.AttemptCompleted, "yes")
	h.tableResult(table.Conflict)
	h.tableResult(table.Done, otherRow(table.OnceRunning, "d", 2))
}

// simulateWithoutSafeguard returns the violations of a simulation with a safeguard
// disabled.
func simulateWithoutSafeguard(seed uint64, disable func(h *hooks)) (violations string) {
	defer func() {
		if v, ok := recover().(invariant.Violation); ok {
			violations = v.Name
		}
	}()
	sim := newSimulation(faults{tableResultLost: 0.2, serverCrash: 0.3, delay: 100 * time.Millisecond, kills: 3, seed: seed}, 5)
	for _, n := range sim.instances {
		disable(&n.once.hooks)
	}
	sim.runScenario(8, false)
	return strings.Join(sim.findViolations(), "\n")
}

func BenchmarkBeginSendEnd(b *testing.B) {
	h := newHarness()
	body := []byte("yes")
	b.ReportAllocs()
	for range b.N {
		h.tracker.Begin(h.now, Call{Request: "r", Account: "a", Key: "k", Attempt: "t", Deadline: h.now.Add(time.Second)}, &h.out)
		op := h.out.Take()[0].(event.TableCommit).Op
		h.tracker.HandleTableResult(h.now, event.TableResult{Op: op}, &h.out)
		h.tracker.HandleAttemptEnded(h.now, event.AttemptEnded{Request: "r", Body: body}, &h.out)
		op = h.out.Take()[0].(event.TableCommit).Op
		h.tracker.HandleTableResult(h.now, event.TableResult{Op: op}, &h.out)
		h.tracker.Decisions()
	}
}
