// Package links decides whether an instance still has a path of its own to the backend
// servers, and through which other instance it connects to them if it has none.
//
// A cut instance shows nothing but silence: requests wait, on connections that were sound
// a moment ago, and no server is heard. Slow servers look the same for a while, so silence
// only causes a probe: connecting to several servers at once. A cut ends with the first
// server that is heard directly.
package links

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// silenceLimit is how long requests wait without a sign of any server until the links
	// are probed.
	silenceLimit = 250 * time.Millisecond
	// probeInterval is the time between two probes.
	probeInterval = 500 * time.Millisecond
	// ProbeTimeout bounds connecting to a server that is probed, which takes about 1 ms.
	ProbeTimeout = 150 * time.Millisecond
	// ProbedServers is how many servers one probe connects to.
	ProbedServers = 3
)

// Monitor watches the links of one instance. It is not safe for concurrent use.
type Monitor struct {
	heardAt      clock.Time // last sign of any server
	waitingSince clock.Time // first send after that; 0: none
	cutSince     clock.Time // 0: not cut off
	probing      bool
	nextProbe    clock.Time
}

// Sent records that a request was sent, or a connection begun, on an own link.
func (m *Monitor) Sent(now clock.Time) {
	if m.waitingSince == 0 {
		m.waitingSince = now
	}
}

// Heard records a sign of a server on an own link. It reports whether a cut ended.
func (m *Monitor) Heard(now clock.Time) (ended bool) {
	ended = m.cutSince != 0
	m.heardAt, m.waitingSince, m.cutSince = now, 0, 0
	return ended
}

// Sound reports whether the links can be relied on: no request waits for long without a sign
// of any server.
func (m *Monitor) Sound(now clock.Time) bool {
	return m.cutSince == 0 && (m.waitingSince == 0 || now.Sub(m.waitingSince) < silenceLimit)
}

// Cut reports whether no server can be reached on an own link, and since when none was heard.
func (m *Monitor) Cut() (since clock.Time, cut bool) { return m.cutSince, m.cutSince != 0 }

// ProbeDue reports whether to probe the links now. ProbeEnded must follow.
func (m *Monitor) ProbeDue(now clock.Time) bool {
	silent := m.waitingSince != 0 && now.Sub(m.waitingSince) >= silenceLimit
	if m.probing || !now.Reached(m.nextProbe) || !silent && m.cutSince == 0 {
		return false
	}
	m.probing, m.nextProbe = true, now.Add(probeInterval)
	return true
}

// ProbeEnded records the result of a probe that began at began: whether any server was
// reached. It reports whether a cut was found or has ended.
func (m *Monitor) ProbeEnded(now, began clock.Time, reached bool) (changed bool) {
	m.probing = false
	switch {
	case reached:
		return m.Heard(now)
	case m.cutSince != 0 || m.heardAt >= began:
		return false // a server was heard meanwhile
	}
	m.cutSince = max(m.heardAt, 1)
	return true
}
