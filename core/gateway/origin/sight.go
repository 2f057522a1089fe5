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

// Sight is what an instance last saw of servers that join, itself or through other instances. Out of sight
// of them, it does not learn that there is a second version, and what it takes for the only one may not be.
type Sight struct {
	Alone   bool          // no other instance is known, at which a stream could have begun
	StoreAt clock.Time    // last answer of the store, while changes of the servers are awaited there
	PeerAt  clock.Time    // last message of another instance
	Differs bool          // another instance that is heard knows other versions
	Late    time.Duration // how late this instance was at most lately
}

// Current reports whether the instance knows the versions of all servers at which streams can have begun.
func (s Sight) Current(now clock.Time) bool {
	inTouch := s.Alone || now.Sub(max(s.StoreAt, s.PeerAt)) <= sightTimeout
	return inTouch && !s.Differs && s.Late < maxLate
}
