package ending

import "testing"

// Guards against an end that is passed on as plain though the server is known to have ended.
func TestSettle(t *testing.T) {
	for _, tc := range []struct {
		state  ServerState
		stream bool
		want   Verdict
	}{
		{Lives, true, Unconfirmed}, {Ended, true, BrokenOff}, {Silent, true, BrokenOff},
		{Lives, false, Unconfirmed}, {Ended, false, BrokenOff}, {Silent, false, Unconfirmed},
		{Unasked, true, Unconfirmed}, {Unasked, false, Unconfirmed},
	} {
		if got := Settle(tc.state, tc.stream); got != tc.want {
			t.Errorf("server %v, stream %v: %v, want %v", tc.state, tc.stream, got, tc.want)
		}
	}
}
