package links

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// otherZonePenalty is added to the load of relays in other zones, in connections:
	// traffic between zones is billed.
	otherZonePenalty = 2
	// failedRelayPause is how long a relay that could not connect is avoided.
	failedRelayPause = time.Second
	// MaxRelayed bounds the connections that one instance relays, so that the callers of cut
	// instances don't drown its own.
	MaxRelayed = 256
)

// Relay is another instance that may connect to servers for this one.
type Relay struct {
	Name     string
	SameZone bool
	Cut      bool // it has no path of its own either
	Relayed  int  // connections that it relays, as it last said
}

// Chooser chooses relays. It is not safe for concurrent use.
type Chooser struct {
	pausedUntil map[string]clock.Time
	opened      map[string]int // connections chosen since the relay last said how many it relays
	turn        int
}

// NewChooser returns a Chooser that avoids no relay.
func NewChooser() *Chooser {
	return &Chooser{pausedUntil: make(map[string]clock.Time), opened: make(map[string]int)}
}

// Choose returns the relay with the least load that is not excluded, "" if there is none.
// Among equals it takes turns, so that the instances of a cut zone don't all choose one.
func (c *Chooser) Choose(now clock.Time, relays []Relay, exclude map[string]bool) string {
	c.turn++
	best, bestLoad := "", 0
	for i := range relays {
		r := relays[(i+c.turn)%len(relays)]
		load := r.Relayed + c.opened[r.Name]
		if !r.SameZone {
			load += otherZonePenalty
		}
		switch {
		case r.Cut || exclude[r.Name] || r.Relayed >= MaxRelayed || now.Before(c.pausedUntil[r.Name]):
		case best == "" || load < bestLoad:
			best, bestLoad = r.Name, load
		}
	}
	if best != "" {
		c.opened[best]++
	}
	return best
}

// Failed records that a relay could not connect: it is gone, cut off itself or full.
func (c *Chooser) Failed(now clock.Time, name string) {
	c.pausedUntil[name] = now.Add(failedRelayPause)
}

// Reported records that a relay said how many connections it relays.
func (c *Chooser) Reported(name string) { delete(c.opened, name) }
