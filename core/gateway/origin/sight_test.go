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
		"the holder is heard":                    {Sight{StoreAt: ago(time.Minute), HolderAt: ago(600 * time.Millisecond)}, true},
		"cut off":                                {Sight{StoreAt: ago(2 * time.Second), HolderAt: ago(1500 * time.Millisecond)}, false},
		"stood still, messages are read by now":  {Sight{StoreAt: now, HolderAt: now, Late: 2 * time.Second}, false},
		"stood still, nothing has been read yet": {Sight{StoreAt: ago(2 * time.Second), HolderAt: ago(2 * time.Second), Late: 2 * time.Second}, false},
		"has seen nothing yet":                   {Sight{}, false},
	} {
		if got := tc.sight.Current(now); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}
