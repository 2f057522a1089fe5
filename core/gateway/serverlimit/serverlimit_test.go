package serverlimit

import (
	"math"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/fleetshare"
)

const start = clock.Time(time.Hour)

var whole = fleetshare.Share{Dispatcher: true, Live: 9, Known: 9}

// sendAll sends as many requests as the limit allows, and returns how many.
func sendAll(l *Limit, share fleetshare.Share, from clock.Time, d time.Duration) int {
	sent := 0
	for now := from; now.Before(from.Add(d)); now = now.Add(time.Millisecond) {
		for l.CanSend(now, share) && sent < 1e6 {
			l.RecordSend(now, share)
			sent++
		}
	}
	return sent
}

// The rate of each share is its part of the named limit, but never less than what is
// needed to hear that the limit has ended. None stops the requests, or allows endless ones.
func TestRateOfShares(t *testing.T) {
	tests := []struct {
		name      string
		share     fleetshare.Share
		perSecond float64
		want      int // in 20 s
	}{
		{"whole fleet", whole, 10, 200},
		{"fraction of a request", whole, 3.1, 62},
		{"less than one in two seconds", whole, 0.2, 10},
		{"none", whole, 0, 10},
		{"huge", whole, 1e9, 1e6},
		{"third of the fleet", fleetshare.Share{Dispatcher: true, Live: 3, Known: 9}, 9, 60},
		{"not a dispatcher", fleetshare.Share{Live: 9, Known: 9}, 10, 0},
		{"too few heard", fleetshare.Share{Dispatcher: true, Live: 1, Known: 9}, 10, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			l := New(1)
			l.Record(Statement{Limited: true, PerSecond: tc.perSecond, At: start})
			if n := sendAll(l, tc.share, start, 20*time.Second); n < tc.want-1 || n > tc.want+1 {
				t.Errorf("%d requests, want %d", n, tc.want)
			}
		})
	}
}

// After an idle time at most maxBurst requests are sent at once, and one if the limit is
// small.
func TestBurstAfterIdleTime(t *testing.T) {
	for perSecond, want := range map[float64]int{0.2: 1, 2: 2, 50: maxBurst} {
		l := New(1)
		l.Record(Statement{Limited: true, PerSecond: perSecond, At: start})
		if n := sendAll(l, whole, start.Add(time.Minute), time.Millisecond); n != want {
			t.Errorf("%g a second: %d at once, want %d", perSecond, n, want)
		}
	}
}

// Of two statements the one that the server made later counts, whichever arrives first.
func TestNewerStatementCounts(t *testing.T) {
	l := New(1)
	l.Record(Statement{Limited: true, PerSecond: 2, At: start.Add(time.Second)})
	if l.Record(Statement{At: start}) || !l.Active() {
		t.Error("an older statement ended the limit")
	}
	if !l.Record(Statement{At: start.Add(2 * time.Second)}) || l.Active() {
		t.Error("a newer statement did not end the limit")
	}
	if !l.CanSend(start, whole) || l.Wait(start, whole) != 0 {
		t.Error("a server without a limit is paced")
	}
}

// Wait is the time after which CanSend allows a request.
func TestWait(t *testing.T) {
	l := New(1)
	l.Record(Statement{Limited: true, PerSecond: 4, At: start})
	if got := l.Wait(start, whole); math.Abs(got.Seconds()-0.25) > 1e-6 {
		t.Errorf("wait %v, want 250ms", got)
	}
	if !l.CanSend(start.Add(251*time.Millisecond), whole) {
		t.Error("no request is allowed after the wait")
	}
}

// A server names its limit in every other response. It must be paced throughout.
func TestLimitNamedInSomeResponses(t *testing.T) {
	l := New(1)
	l.Record(Statement{Limited: true, PerSecond: 2, At: start})
	for i := range 100 {
		at := start.Add(time.Duration(i) * 50 * time.Millisecond)
		if l.Record(Statement{Limited: i%2 == 0, PerSecond: 2 * float64((i+1)%2), At: at}) || !l.Active() {
			t.Fatalf("response %d ended or changed the limit", i)
		}
	}
}
