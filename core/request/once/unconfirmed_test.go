package once

import (
	"testing"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// Guards against an answer whose end was not confirmed that is repeated as whole.
func TestReplayKeepsUnconfirmedEnd(t *testing.T) {
	for name, steps := range map[string]func(h *harness){
		"own attempt": func(h *harness) {
			h.begin()
			h.tracker.HandleTableResult(h.now, event.TableResult{Op: h.op, Outcome: table.Done}, &h.out)
			h.recordOutput()
			h.tracker.HandleAttemptEnded(h.now, event.AttemptEnded{Request: "r", Attempt: "t", Result: event.AttemptCompleted, Status: 200, Unconfirmed: true}, &h.out)
			h.recordOutput()
			h.tracker.HandleTableResult(h.now, event.TableResult{Op: h.op, Outcome: table.Done}, &h.out)
		},
		"row": func(h *harness) {
			h.begin()
			h.tableResult(table.Conflict)
			row := otherRow(table.OnceDone, "d", 2)
			body := row.Body.(table.Once)
			body.Unconfirmed = true
			row.Body = body
			h.tracker.HandleTableResult(h.now, event.TableResult{Op: h.op, Outcome: table.Done, Rows: []table.Row{row}}, &h.out)
		},
		"message of the holder": func(h *harness) {
			h.begin()
			h.tableResult(table.Conflict)
			h.tableResult(table.Done, otherRow(table.OnceRunning, "d", 1))
			h.tracker.HandleMessage(h.now, "other", message.OnceReply{Account: "a", Key: "k", Attempt: "t2", Known: true, State: table.OnceDone, Status: 200, Unconfirmed: true}, &h.out)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			steps(h)
			d := h.tracker.Decisions()
			if len(d) != 1 || d[0].Action != Answer || !d[0].Row.Unconfirmed {
				t.Errorf("decisions %+v, want one answer with the mark", d)
			}
		})
	}
}
