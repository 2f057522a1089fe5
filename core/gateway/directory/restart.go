package directory

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// restartMemory is how long a restart under the same ID, and an ID without an entry, are remembered:
	// longer than an order can be on its way.
	restartMemory = 30 * time.Second
	// clockError is by how much the clocks of a server and of this instance may differ.
	clockError = 5 * time.Second
)

// goneServer is what is remembered of a server whose entry is gone.
type goneServer struct {
	incarnation int64
	restartedAt clock.Time
	at          clock.Time
}

// RestartedAt returns when the server may have started again under its ID, at the latest; 0 if it did not
// within the last half minute.
func (s *Server) RestartedAt() clock.Time { return s.restartedAt }

// SetComplete records that all entries were read once.
func (d *Directory) SetComplete(now clock.Time) {
	if !d.complete {
		d.complete, d.completeAt = true, now
	}
}

// knewEarlierStarts reports whether the ID of each server that ended lately is known.
func (d *Directory) knewEarlierStarts(now clock.Time) bool {
	return d.complete && now.Sub(d.completeAt) > restartMemory
}

// restartOf returns when the server of an entry may have started again under its ID. old is the server as
// known before, or nil.
func (d *Directory) restartOf(now clock.Time, old *Server, e Entry) clock.Time {
	gone, wasKnown := d.gone[e.ID]
	delete(d.gone, e.ID)
	switch {
	case old != nil:
		return now
	case wasKnown && gone.incarnation == e.Incarnation:
		return gone.restartedAt
	case wasKnown:
		return now
	case d.knewEarlierStarts(now) || e.Age == 0 || e.Age-clockError > restartMemory:
		return 0
	}
	return max(1, now.Add(-max(0, e.Age-clockError)))
}

// noteGone remembers a server whose entry is gone.
func (d *Directory) noteGone(now clock.Time, s *Server) {
	for id, g := range d.gone {
		if now.Sub(g.at) > restartMemory {
			delete(d.gone, id)
		}
	}
	d.gone[s.ID] = goneServer{incarnation: s.Incarnation, restartedAt: s.restartedAt, at: now}
}
