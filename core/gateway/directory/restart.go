package directory

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// restartMemory is how long a restart under the same ID, and an ID without an entry, are remembered:
	// longer than an order can be on its way that was sent before its sender knew of the restart.
	restartMemory = 17 * time.Second
	// clockError is by how much the clocks of a server and of this instance may differ, one of which has jumped.
	clockError = 2500 * time.Millisecond
)

// goneServer is what is remembered of a server whose entry is gone.
type goneServer struct {
	incarnation int64
	restartedAt clock.Time
	at          clock.Time
}

// RestartedAt returns when the server may have started again under its ID, at the latest; 0 if it did not, or long ago.
func (s *Server) RestartedAt() clock.Time { return s.restartedAt }

// SetComplete records that all entries were read, and that the IDs of all servers are known that ended within a time.
func (d *Directory) SetComplete(now clock.Time, endsKnownFor time.Duration) {
	if since := now.Add(-endsKnownFor); !d.complete || since < d.completeAt {
		d.complete, d.completeAt = true, since
	}
}

// EndsKnownFor returns how long the IDs of all servers that end are known; 0 if they are not.
func (d *Directory) EndsKnownFor(now clock.Time) time.Duration {
	if !d.complete {
		return 0
	}
	return now.Sub(d.completeAt)
}

// knewEarlierStarts reports whether the ID of each server that ended lately is known.
func (d *Directory) knewEarlierStarts(now clock.Time) bool {
	return d.EndsKnownFor(now) > restartMemory
}

// restartOf returns when the server of an entry may have started again under its ID. old is the directory's
// server of that ID, or nil.
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

// NoteGone remembers a server without an entry that the directory does not hold.
func (d *Directory) NoteGone(now clock.Time, id string, incarnation int64) {
	d.noteGone(now, id, goneServer{incarnation: incarnation, at: now})
}

// noteGone remembers a server whose entry is gone.
func (d *Directory) noteGone(now clock.Time, id string, s goneServer) {
	for id, g := range d.gone {
		if now.Sub(g.at) > restartMemory {
			delete(d.gone, id)
		}
	}
	d.gone[id] = s
}
