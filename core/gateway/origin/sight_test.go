package origin

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

// Guards against an instance that takes the only version it knows for the only one there is, while it is cut off or has just stood still.
func TestSightEnds(t *testing.T) {
	now := clock.Time(time.Hour)
	ago := func(d time.Duration) clock.Time { return now.Add(-d) }
	for name, tc := range map[string]struct {
		sight Sight
		want  bool
	}{
		"the store answers":                      {Sight{StoreAt: ago(200 * time.Millisecond)}, true},
		"the store is away, others are heard":    {Sight{StoreAt: ago(time.Minute), PeerAt: ago(600 * time.Millisecond)}, true},
		"the store is away, nobody else is":      {Sight{StoreAt: ago(time.Minute), Alone: true}, true},
		"others know another version":            {Sight{StoreAt: now, PeerAt: now, Differs: true}, false},
		"cut off":                                {Sight{StoreAt: ago(2 * time.Second), PeerAt: ago(1500 * time.Millisecond)}, false},
		"stood still, messages are read by now":  {Sight{StoreAt: now, PeerAt: now, Late: 2 * time.Second}, false},
		"stood still, nothing has been read yet": {Sight{StoreAt: ago(2 * time.Second), PeerAt: ago(2 * time.Second), Late: 2 * time.Second}, false},
		"has seen nothing yet":                   {Sight{}, false},
	} {
		if got := tc.sight.Current(now); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}
