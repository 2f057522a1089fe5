package placer

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
)

// An engine does not hold the adapter that it is ordered to unload, and responds so without
// counting the order, while the placer counts it. The engine then refuses all further
// orders, because their precondition is one too high. Its reports, which have the lower
// count, must be believed once they can't be older than the last order, so that the engine
// takes orders again.
func TestSequenceIsCorrectedByReport(t *testing.T) {
	now := clock.Time(time.Hour)
	e := newEngineState(&directory.Server{Entry: directory.Entry{ID: "e"}}, now)
	e.adoptState(now, 4, []directory.LoadedModel{{Model: "m", Adapters: []string{"a1"}}})
	o := e.setPending(now, Order{Server: "e", Kind: Unload, Model: "m", Adapter: "a1", Precondition: 4})
	e.handleResult(now, o, AlreadyDone)
	for range maxConflicts {
		o = e.setPending(now, Order{Server: "e", Kind: Load, Model: "m", Adapter: "a2", Precondition: e.sequence})
		e.handleResult(now, o, Busy)
	}
	report := Report{Sequence: 4, LoadedModels: []directory.LoadedModel{{Model: "m"}}}
	queriedAt := now.Add(maxReportAge / 2)
	e.handleReport(queriedAt, queriedAt, report)
	if e.canTakeOrder(now.Add(time.Minute)) {
		t.Error("a report that may be older than the last order is believed")
	}
	queriedAt = now.Add(maxReportAge)
	e.handleReport(queriedAt, queriedAt, report)
	if !e.canTakeOrder(now.Add(time.Minute)) || e.sequence != report.Sequence {
		t.Errorf("the engine takes no orders: sequence %d", e.sequence)
	}
}
