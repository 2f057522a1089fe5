package directory

import (
	"time"

	"oleanderdale.org/core/clock"
)

// departure is the word of one incarnation of a server that it leaves.
type departure struct {
	incarnation int64
	saidAt      clock.Time
}

// departureTTL is how long a server's word that it leaves is kept after it was last heard:
// longer than a leaving server stays.
const departureTTL = 10 * time.Minute

// MarkLeaving records that a server said in a response that it leaves. Its entry may say
// otherwise for as long as the server can't write it. It returns false if that was known.
func (d *Directory) MarkLeaving(now clock.Time, id string, incarnation int64) bool {
	known, ok := d.departures[id]
	if ok && known.incarnation > incarnation {
		return false
	}
	d.departures[id] = departure{incarnation: incarnation, saidAt: now}
	if s := d.servers[id]; s != nil && s.Incarnation == incarnation {
		s.Draining = true
	}
	return !ok || known.incarnation < incarnation
}

// saidLeaving reports whether an incarnation of a server said that it leaves.
func (d *Directory) saidLeaving(id string, incarnation int64) bool {
	known, ok := d.departures[id]
	return ok && known.incarnation == incarnation
}

// SaidLeaving reports whether the server said in a response that it leaves.
func (d *Directory) SaidLeaving(s *Server) bool { return d.saidLeaving(s.ID, s.Incarnation) }

// expireDepartures forgets servers that said long ago that they leave.
func (d *Directory) expireDepartures(now clock.Time) {
	for id, known := range d.departures {
		if now.Sub(known.saidAt) > departureTTL {
			delete(d.departures, id)
		}
	}
}
