package gateway

import (
	"testing"
	"time"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/process/boottime"
)

// Guards against an engine that two planners overfill: that of its zone, which did not hear the fleet's, and then the
// fleet's, whose orders the zone's holder sends.
func TestForwardedOrderBesideAnOwnOne(t *testing.T) {
	o := placer.Order{Server: "e", Incarnation: 2, Kind: placer.Load, Model: "m", Precondition: 3}
	earlier := func(precondition int64, kind placer.OrderKind) placer.Order {
		return placer.Order{Server: "e", Incarnation: 1, Kind: kind, Model: "n", Precondition: precondition}
	}
	for _, tc := range []struct {
		name      string
		own       placer.Order // without a response
		forwarded bool         // of the other planner
		held      bool
	}{
		{"same count", earlier(3, placer.Load), false, true},
		{"later count", earlier(5, placer.Load), false, true},
		{"count is past it", earlier(2, placer.Load), false, false},
		{"unload", earlier(3, placer.Unload), false, false},
		{"to this start", placer.Order{Server: "e", Incarnation: 2, Kind: placer.Load, Model: "n", Precondition: 3}, false, false},
		{"to another engine", placer.Order{Server: "f", Incarnation: 1, Kind: placer.Load, Model: "n", Precondition: 3}, false, false},
		{"of the other planner", earlier(3, placer.Load), true, false},
	} {
		g := newStoppedGateway(t, "a", "z")
		now := boottime.Now()
		g.servers.Put(now, directory.Entry{ID: "e", Group: "llm", Zone: "z", Incarnation: 2, Slots: 4})
		if tc.forwarded {
			g.placer.RecordForwarded(now, tc.own)
		} else {
			g.placer.HandleResult(now, tc.own, placer.NoResponse)
		}
		if got := g.sendForwarded(o); (got == placer.Busy) != tc.held {
			t.Errorf("%s: result %v, want held back: %v", tc.name, got, tc.held)
		}
	}
}

// Guards against an instance that learns of a server from another one and takes a restart for the first start.
func TestTransferTellsRestarts(t *testing.T) {
	now := boottime.Now()
	from, to := directory.New(), directory.New()
	for incarnation := range int64(2) {
		from.Put(now.Add(-time.Duration(2-incarnation)*time.Second), directory.Entry{ID: "e", Incarnation: incarnation + 1})
	}
	m := encodeServerEntry(now, from.Get("e"))
	to.Put(now, m.decode())
	if at := to.Get("e").RestartedAt(); at == 0 || now.Sub(at) > time.Second {
		t.Errorf("restarted %v ago, want a second at most", now.Sub(at))
	}
}

// Guards against engines that get no orders as all instances start for the first time, and against a restarted
// instance that orders an engine of which it does not know what it was ordered before.
func TestYoungEngineAsTheInstanceStarts(t *testing.T) {
	for _, first := range []bool{true, false} {
		g := newStoppedGateway(t, "a", "z")
		g.settings.FirstStart = first
		g.started = boottime.Now()
		g.putServer(g.started, directory.Entry{ID: "e", Group: "llm", Zone: "z", Incarnation: 1, Age: time.Second})
		if restarted := g.servers.Get("e").RestartedAt() != 0; restarted == first {
			t.Errorf("first start of all %v: taken for a restart %v", first, restarted)
		}
	}
}
