package directory

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderdale.org/core/clock"
)

// softwareTTL is how long a version is remembered after the last server of it was seen. Callers
// take up a stream for less long.
const softwareTTL = 2 * time.Minute

// groupSoftware is a version of the servers of a group.
type groupSoftware struct{ group, software string }

// noteSoftware remembers when a server of its version was last seen.
func (d *Directory) noteSoftware(now clock.Time, s *Server) {
	d.softwareSeen[groupSoftware{s.Group, s.Software}] = now
	for k, at := range d.softwareSeen {
		if now.Sub(at) > softwareTTL {
			delete(d.softwareSeen, k)
		}
	}
}

// SoleSoftware returns the only version that servers of a group had within a time; false if there
// were others, or none.
func (d *Directory) SoleSoftware(now clock.Time, group string, within time.Duration) (software string, ok bool) {
	for _, s := range d.InGroup(group) {
		if ok && s.Software != software {
			return "", false
		}
		software, ok = s.Software, true
	}
	for k, at := range d.softwareSeen {
		if k.group == group && now.Sub(at) <= within && k.software != software {
			return "", false
		}
	}
	return software, ok
}

// SoftwareHash returns a hash of which versions the servers of each group have; it is not 0.
func (d *Directory) SoftwareHash() uint64 {
	seen := make(map[groupSoftware]bool)
	sum := uint64(0)
	for _, s := range d.servers {
		k := groupSoftware{s.Group, s.Software}
		if !seen[k] {
			seen[k] = true
			sum += xxhash.Sum64String(k.group + "\x00" + k.software) // in any order
		}
	}
	return max(1, sum)
}

// SetSoftware sets the version of a server that is known from a message without it.
func (d *Directory) SetSoftware(now clock.Time, id string, incarnation int64, software string) {
	s := d.servers[id]
	if s == nil || s.Incarnation != incarnation || s.Software != UnknownSoftware(id, incarnation) {
		return
	}
	s.Software, s.published.Software = software, software
	d.noteSoftware(now, s)
}
