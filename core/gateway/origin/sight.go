package origin

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// sightTimeout is how long what was last seen counts: the holders of leases call the store, and send
	// heartbeats, more often.
	sightTimeout = time.Second
	// maxLate is how late an instance may be that handles messages in time.
	maxLate = 500 * time.Millisecond
)

// Sight is what an instance last saw of servers that join, itself or through another instance. Out of sight
// of them, it does not learn that there is a second version, and what it takes for the only one may not be.
type Sight struct {
	StoreAt  clock.Time    // last answer of the store, while changes of the servers are awaited there
	HolderAt clock.Time    // last message of an instance that sees the servers and tells of them
	Late     time.Duration // how late this instance was at most lately
}

// Current reports whether the instance sees what joins now.
func (s Sight) Current(now clock.Time) bool {
	return s.Late < maxLate && now.Sub(max(s.StoreAt, s.HolderAt)) <= sightTimeout
}
