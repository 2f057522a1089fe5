package directory

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/regions"
)

// Requirements is what a request needs of a backend server.
type Requirements struct {
	Group   string
	Model   string // "" for a plain service
	Adapter string
	// Affinity is the hash of the prompt parts that requests share. Requests
	// with equal affinity go to the same server as long as its load allows, so
	// that its prompt cache is used. 0: none.
	Affinity       uint64
	Zone           string      // of the instance
	AllowedRegions regions.Set // where the request may run
	Exclude        map[string]bool
}

const (
	// loadSpread and loadSlack bound the load of the server that affinity
	// chooses: it may have a quarter more than the mean, and a few. More, and
	// the wait there costs more than reading the shared parts anew.
	affinityLoadFactor = 1.25
	affinityLoadSlack  = 3
	// remotePenalty is the load that the way to another zone is worth, in
	// requests. A millisecond is little, but bytes between zones are paid.
	crossZonePenalty = 0.6
	// fullFactor of the slots is what a plain server is given before it counts as
	// full: some wait there, so that no slot rests while the next request is on
	// its way. What waits here instead can still go to whichever is free first.
	// An engine's requests last long beside that way, and one that waits there holds
	// up the first tokens of others: it is given its slots.
	plainOvercommit = 1.5
)

// Holds reports whether the server has what a request needs.
func (s *Server) meets(n Requirements) bool {
	if n.Model == "" {
		return true
	}
	h, ok := s.LoadedModel(n.Model)
	if !ok || n.Adapter == "" {
		return ok
	}
	for _, a := range h.Adapters {
		if a == n.Adapter {
			return true
		}
	}
	return false
}

// Candidates returns the servers that can run a request now: those that hold
// what it needs, without the suspected ones, and those of a zone that seems to be cut off,
// unless there is no other.
func (d *Directory) Candidates(now clock.Time, n Requirements) []*Server {
	var sound, suspected []*Server
	for _, s := range d.InGroup(n.Group) {
		if !s.Usable(now) || n.Exclude[s.ID] || !n.AllowedRegions.Allows(s.region) || !s.meets(n) {
			continue
		}
		if now.Before(s.suspectedUntil) || d.silentZones[s.Zone] {
			suspected = append(suspected, s)
		} else {
			sound = append(sound, s)
		}
	}
	if len(sound) == 0 {
		return suspected
	}
	return sound
}

// Reason says what made a server the chosen one.
type Reason int

// The reasons.
const (
	ByLoad   Reason = iota // it has the least to do
	ByPrompt               // it has read prompts with the same beginning
)

// String names a reason for logs.
func (r Reason) String() string { return [...]string{"load", "prompt"}[r] }

// Choice is a server that was chosen, with what decided.
type Choice struct {
	Server        *Server // nil: none can run the request
	AllFull       bool    // there are some, but none with room
	WarmupLimited bool    // of those that are full, one has room and bears no more just now
	Candidates    int
	Reason        Reason
	Load          float64 // of the chosen one, in requests
	NextLoad      float64 // the least load of the others
}

// Pick chooses a server.
func (d *Directory) Pick(now clock.Time, n Requirements) Choice {
	candidates := d.Candidates(now, n)
	if len(candidates) == 0 {
		return Choice{}
	}
	able := d.eligible(now, candidates, n)
	if n.Affinity != 0 {
		if s := pickByAffinity(able, candidates, n); s != nil {
			return newChoice(s, ByPrompt, candidates, n)
		}
	}
	if s := pickLeastLoaded(able, n); s != nil {
		return newChoice(s, ByLoad, candidates, n)
	}
	return Choice{AllFull: true, WarmupLimited: anyWithRoom(candidates, n), Candidates: len(candidates)}
}

func anyWithRoom(candidates []*Server, n Requirements) bool {
	return slices.ContainsFunc(candidates, func(s *Server) bool { return !s.full(n) })
}

// able returns the candidates that have room for a request and bear it now. A warm server
// that is at its pace is used if there is no other: the pace only guards against one that
// turned cold unnoticed.
func (d *Directory) eligible(now clock.Time, candidates []*Server, n Requirements) []*Server {
	var able, warm []*Server
	for _, s := range candidates {
		switch {
		case s.full(n):
		case d.warmupAllows(now, s):
			able = append(able, s)
		case !s.Cold(now):
			warm = append(warm, s)
		}
	}
	if len(able) == 0 {
		return warm
	}
	return able
}

func newChoice(chosen *Server, by Reason, candidates []*Server, n Requirements) Choice {
	c := Choice{Server: chosen, Candidates: len(candidates), Reason: by, Load: chosen.load(n)}
	first := true
	for _, s := range candidates {
		if s == chosen {
			continue
		}
		if l := s.load(n); first || l < c.NextLoad {
			c.NextLoad, first = l, false
		}
	}
	return c
}

// load is what a server has to do, with what the way to it is worth.
func (s *Server) load(n Requirements) float64 {
	if s.Zone != n.Zone {
		return float64(s.Running()) + crossZonePenalty
	}
	return float64(s.Running())
}

func (s *Server) full(n Requirements) bool {
	most := float64(s.Slots)
	if n.Model == "" {
		most *= plainOvercommit
	}
	return s.Slots > 0 && float64(s.Running()) >= most
}

// pickAffine returns the first able server in the order of the affinity's hash
// whose load is near the mean of all.
func pickByAffinity(able, candidates []*Server, n Requirements) *Server {
	total := 0
	for _, s := range candidates {
		total += s.Running()
	}
	bound := affinityLoadFactor*float64(total)/float64(len(candidates)) + affinityLoadSlack
	var best *Server
	var most uint64
	for _, s := range able {
		if float64(s.Running()) > bound {
			continue
		}
		if w := rendezvousWeight(n.Affinity, s.ID); best == nil || w > most {
			best, most = s, w
		}
	}
	return best
}

// pickLeast returns the server with the least load, the own zone's first, or nil.
func pickLeastLoaded(servers []*Server, n Requirements) *Server {
	var best *Server
	var least float64
	for _, s := range servers {
		load := s.load(n)
		if best == nil || load < least || load == least && s.lastUsed < best.lastUsed {
			best, least = s, load
		}
	}
	return best
}

func rendezvousWeight(affinity uint64, id string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], affinity)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(id)
	return d.Sum64()
}
