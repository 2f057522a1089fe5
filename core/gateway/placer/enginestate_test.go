package placer

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
)

// An engine answers that it does not hold the adapter that it is to unload, and does
// not count the order; the lane counts it. All further orders are refused, since they
// name one order too many. The engine's reports, which say so, are believed when they
// can't be older than the last order, and the engine takes orders again.
func TestCountTooHighIsMended(t *testing.T) {
	now := clock.Time(time.Hour)
	l := newLane(&directory.Server{Entry: directory.Entry{ID: "e"}}, now)
	l.adopt(now, 4, []directory.LoadedModel{{Model: "m", Adapters: []string{"a1"}}})
	o := l.send(now, Order{Server: "e", Kind: Unload, Model: "m", Adapter: "a1", Precondition: 4})
	l.answered(now, o, AlreadyDone)
	for range conflictLimit {
		o = l.send(now, Order{Server: "e", Kind: Load, Model: "m", Adapter: "a2", Precondition: l.sequence})
		l.answered(now, o, Busy)
	}
	truth := Report{Sequence: 4, Holdings: []directory.LoadedModel{{Model: "m"}}}
	asked := now.Add(reportLag / 2)
	l.reported(asked, asked, truth)
	if l.free(now.Add(time.Minute)) {
		t.Error("a report that may be old is believed")
	}
	asked = now.Add(reportLag)
	l.reported(asked, asked, truth)
	if !l.free(now.Add(time.Minute)) || l.sequence != truth.Sequence {
		t.Errorf("the engine takes no orders: count %d", l.sequence)
	}
}
