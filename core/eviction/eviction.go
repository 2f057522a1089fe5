// Package eviction chooses which caller's connection is closed to make room for others: the one furthest behind
// its pace. A caller that keeps up is never chosen, however much it holds.
package eviction

import (
	"time"

	"oleanderdale.org/core/clock"
)

// Phase says what a connection waits for.
type Phase int

// Phases.
const (
	Busy     Phase = iota // for the instance; its caller has nothing to do
	Head                  // for the head of a request, or for the first byte on a new connection
	Body                  // for the body of a request
	Response              // for its caller to read
	Idle                  // for the next request on a kept connection
)

// String names a phase in logs and metrics.
func (p Phase) String() string { return [...]string{"busy", "head", "body", "response", "idle"}[p] }

const (
	// minRate is the pace, in bytes per second, that a caller has to keep while it sends or reads.
	minRate = 16 << 10
)

// patience is what callers are given in a phase.
type patience struct {
	allowed time.Duration // ranks callers in different phases, by how often they are that far behind
	least   time.Duration // a caller that is less behind is not chosen
}

// patiences spare callers that come together, which could not send anything yet, and those that pause while they read.
var patiences = map[Phase]patience{
	Head:     {allowed: 3 * time.Second, least: 300 * time.Millisecond},
	Body:     {allowed: 3 * time.Second, least: 300 * time.Millisecond},
	Response: {allowed: 2 * time.Second, least: 2 * time.Second},
	Idle:     {allowed: 16 * time.Second, least: 1600 * time.Millisecond},
}

// State is what is known of a connection.
type State struct {
	Phase Phase
	due   clock.Time // until when its bytes so far keep the pace
}

// Enter begins a phase.
func (s *State) Enter(now clock.Time, p Phase) { s.Phase, s.due = p, now }

// Passed records bytes that the caller sent or read.
func (s *State) Passed(now clock.Time, bytes int) {
	pace := time.Duration(bytes) * time.Second / minRate
	s.due = min(now, s.due.Add(pace))
}

// Behind returns how far the caller is behind its pace, as a multiple of the time allowed; 0 if it has nothing to do.
func (s *State) Behind(now clock.Time) float64 {
	if s.Phase == Busy {
		return 0
	}
	return now.Sub(s.due).Seconds() / patiences[s.Phase].allowed.Seconds()
}

// mayGo reports whether the caller is behind far enough to make way.
func (s *State) mayGo(now clock.Time) bool {
	return s.Phase != Busy && now.Sub(s.due) >= patiences[s.Phase].least
}

// Furthest returns the index of the state furthest behind, or -1 if none is behind far enough.
func Furthest(now clock.Time, states []State) int {
	found, most := -1, 0.0
	for i := range states {
		if behind := states[i].Behind(now); behind > most && states[i].mayGo(now) {
			found, most = i, behind
		}
	}
	return found
}
