package gateway

import (
	"testing"
	"time"

	"oleanderdale.org/core/gateway/lag"
	"oleanderdale.org/core/gateway/poison"
	"oleanderdale.org/oleander/process/boottime"
)

// Guards against a part that is cleared of its crashes since an instance stood still between two events that its
// server sent right after each other.
func TestStandingStillIsNoSurvival(t *testing.T) {
	g := &Gateway{poison: poison.New()}
	now := boottime.Now()
	x := &exchange{g: g, shared: []poison.Digest{poison.Narrow(8)}, writingSince: now.Add(-survivalTime - 50*time.Millisecond)}
	g.lag.Ticked(x.writingSince, 0)
	g.lag.Ticked(now, 0)
	if x.recordSurvival(); x.survived {
		t.Error("the server counts as having written for long, though this instance stood still")
	}
	g.lag = lag.Meter{}
	if x.recordSurvival(); !x.survived {
		t.Error("the server does not count as having written for long")
	}
}
