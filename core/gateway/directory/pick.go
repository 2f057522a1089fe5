package directory

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/origin"
	"oleanderdale.org/core/gateway/regions"
)

// Requirements is what a request requires of a backend server.
type Requirements struct {
	Group   string
	Model   string // "" for a plain service
	Adapter string
	// Affinity is a hash of the shared beginning of the prompt. Requests with equal
	// affinity go to the same server as long as its load allows, so that they hit
	// its prompt cache. 0 means none.
	Affinity uint64
	// PromptTokens is the length of the prompt, and SharedTokens that of its beginning that
	// Affinity stands for; 0 if unknown, or if load scheduling is off.
	PromptTokens int
	SharedTokens int
	// PauseObjective is the longest pause between two events of the stream that counts as on
	// time; 0 if there is none, if it is unknown, or if load scheduling is off.
	PauseObjective time.Duration
	Zone           string          // of the instance that sends the request
	AllowedRegions regions.Set     // regions in which the request may run
	Exclude        map[string]bool // server IDs
	// Origin is the version of the servers' software at which a stream must go on.
	Origin origin.Requirement
}

const (
	// affinityLoadFactor and affinityLoadSlack bound the load of a server chosen by
	// affinity relative to the mean load. Above that, queueing there costs more
	// than processing the shared prompt parts again elsewhere.
	affinityLoadFactor = 1.25
	affinityLoadSlack  = 3
	// crossZonePenalty is added to the load of servers in other zones, in
	// requests. The extra latency is only a millisecond, but traffic between zones
	// is billed.
	crossZonePenalty = 0.6
	// plainOvercommit is the number of requests per slot at which a plain server, one
	// that is no model engine, counts as full. A few requests queue at the server, so
	// that no slot is idle while the next request is in transit; the others stay in
	// the dispatcher's queue, from which they can go to the first free server. Model
	// engines get no more requests than slots: their requests last long compared to
	// the network latency, and a queued one delays the first tokens of others.
	plainOvercommit = 1.5
)

// meets reports whether the server has loaded the model and the adapter of a request.
func (s *Server) meets(req Requirements) bool {
	if req.Model == "" {
		return true
	}
	m, ok := s.LoadedModel(req.Model)
	if !ok || req.Adapter == "" {
		return ok
	}
	for _, a := range m.Adapters {
		if a == req.Adapter {
			return true
		}
	}
	return false
}

// Candidates returns the usable servers that meet the requirements. Suspected servers
// and those in silent zones are returned only if there are no others.
func (d *Directory) Candidates(now clock.Time, req Requirements) []*Server {
	candidates, _ := d.candidates(now, req)
	return candidates
}

// candidates returns the candidates, and the suspected servers that take a request while
// all candidates are full. Servers in silent zones are not among those: connecting to one
// would likely take until the dial timeout.
func (d *Directory) candidates(now clock.Time, req Requirements) (candidates, overflow []*Server) {
	var healthy, suspected, silent []*Server
	for _, s := range d.InGroup(req.Group) {
		switch {
		case !s.Usable(now) || req.Exclude[s.ID] || !req.AllowedRegions.Allows(s.region) || !s.meets(req) || !req.Origin.Allows(s.Software):
		case d.silentZones[s.Zone]:
			silent = append(silent, s)
		case now.Before(s.suspectedUntil):
			suspected = append(suspected, s)
		default:
			healthy = append(healthy, s)
		}
	}
	if len(healthy) == 0 {
		return append(suspected, silent...), nil
	}
	return healthy, suspected
}

// Reason is the criterion by which a server was chosen.
type Reason int

// Reasons for a choice.
const (
	ByLoad     Reason = iota // lowest load
	ByPrompt                 // prompt affinity
	ByOverflow               // suspected, but all others are full
)

// String returns the name of the reason for logs.
func (r Reason) String() string { return [...]string{"load", "prompt", "overflow"}[r] }

// Choice is the result of Pick.
type Choice struct {
	Server      *Server // nil if no server can take the request
	AllFull     bool    // there are candidates, but none can take another request now
	RateLimited bool    // AllFull, and a candidate has a free slot but a rate that allows no request now
	Pace        Pace    // if AllFull only because of the rate limits that the candidates named
	Candidates  int     // number of candidates
	Reason      Reason
	Load        float64 // load of the chosen server, in requests; see Directory.load
	NextLoad    float64 // lowest load of the other candidates
	// PaceFactor and Work are those of the chosen server with load scheduling. PaceFactor is
	// 0 if load scheduling is off, or if the dispatcher that chose does not know it.
	PaceFactor float64
	Work       float64
	// CachedTokens is the part of the prompt that the chosen server is expected to have in its
	// cache, with load scheduling.
	CachedTokens int
	Pauses       PauseEffect
}

// Pick chooses a server for a request: by affinity if the request has one and the load
// allows, else the least loaded. Suspected servers take what the others have no slot for: a
// few failed requests in a row make a sound server suspected for seconds, and refusing the
// request would fail it for certain.
func (d *Directory) Pick(now clock.Time, req Requirements) Choice {
	candidates, overflow := d.candidates(now, req)
	if len(candidates) == 0 {
		return Choice{}
	}
	eligible := avoidResting(now, d.eligible(now, candidates, req))
	// A server that has the beginning of a prompt in its cache reads less than the prompt. If the
	// length of that is unknown, its pauses can't be told, and affinity goes first.
	if req.Affinity != 0 && !d.knowsPrefix(req) {
		if s := d.pickByAffinity(now, d.avoidLongPrefills(now, eligible, req), candidates, req); s != nil {
			return d.newChoice(now, s, ByPrompt, candidates, req)
		}
	}
	eligible, effect := d.keepPauses(now, eligible, req)
	if s, reason := d.pickFirst(now, d.avoidLongPrefills(now, eligible, req), req); s != nil {
		c := d.newChoice(now, s, reason, candidates, req)
		c.Pauses = effect
		return c
	}
	if s := d.pickLeastLoaded(now, avoidResting(now, d.eligible(now, overflow, req)), req); s != nil {
		return d.newChoice(now, s, ByOverflow, append(candidates, overflow...), req)
	}
	return Choice{AllFull: true, RateLimited: d.anyWithFreeSlot(now, candidates, req), Pace: d.paceOf(now, candidates, req), Candidates: len(candidates)}
}

// anyWithFreeSlot reports whether any candidate has a free slot.
func (d *Directory) anyWithFreeSlot(now clock.Time, candidates []*Server, req Requirements) bool {
	return slices.ContainsFunc(candidates, func(s *Server) bool { return !s.full(req) && d.brittleAllows(now, s) })
}

// eligible returns the candidates that have a free slot and whose limits allow another
// request. If there are none, it returns the warm servers at their warm-up limit: for them
// that limit only guards against a server that became cold unnoticed.
func (d *Directory) eligible(now clock.Time, candidates []*Server, req Requirements) []*Server {
	var eligible, warm []*Server
	for _, s := range candidates {
		switch {
		case s.full(req), !d.limitAllows(now, s), !d.brittleAllows(now, s):
		case d.warmupAllows(now, s):
			eligible = append(eligible, s)
		case !s.Cold(now):
			warm = append(warm, s)
		}
	}
	if len(eligible) == 0 {
		return warm
	}
	return eligible
}

// newChoice returns the Choice of a server among the candidates.
func (d *Directory) newChoice(now clock.Time, chosen *Server, reason Reason, candidates []*Server, req Requirements) Choice {
	c := Choice{Server: chosen, Candidates: len(candidates), Reason: reason, Load: d.load(now, chosen, req)}
	if d.loadScheduling {
		c.PaceFactor, c.Work = d.PaceFactor(now, chosen), chosen.Work(now)
		c.CachedTokens = chosen.cachedTokens(req.Prompt())
	}
	first := true
	for _, s := range candidates {
		if s == chosen {
			continue
		}
		if l := d.load(now, s, req); first || l < c.NextLoad {
			c.NextLoad, first = l, false
		}
	}
	return c
}

// full reports whether the server has no free slot for a request.
func (s *Server) full(req Requirements) bool {
	limit := float64(s.Slots)
	if req.Model == "" {
		limit *= plainOvercommit
	}
	return s.Slots > 0 && float64(s.Running()) >= limit
}

// pickByAffinity returns the eligible server with the highest rendezvous weight for the
// affinity, without those whose load is too far above the mean of the candidates; nil
// if there is none. With load scheduling the load is work.
func (d *Directory) pickByAffinity(now clock.Time, eligible, candidates []*Server, req Requirements) *Server {
	load := func(s *Server) float64 {
		if d.loadScheduling {
			return s.Work(now)
		}
		return float64(s.Running())
	}
	total := 0.0
	for _, s := range candidates {
		total += load(s)
	}
	bound := affinityLoadFactor*total/float64(len(candidates)) + affinityLoadSlack
	var best *Server
	var bestWeight uint64
	for _, s := range eligible {
		if load(s) > bound {
			continue
		}
		if w := rendezvousWeight(req.Affinity, s.ID); best == nil || w > bestWeight {
			best, bestWeight = s, w
		}
	}
	return best
}

// pickLeastLoaded returns the server with the lowest load, among equals the least
// recently used; nil if there is none.
func (d *Directory) pickLeastLoaded(now clock.Time, servers []*Server, req Requirements) *Server {
	var best *Server
	var leastLoad float64
	for _, s := range servers {
		load := d.load(now, s, req)
		if best == nil || load < leastLoad || load == leastLoad && s.lastUsed < best.lastUsed {
			best, leastLoad = s, load
		}
	}
	return best
}

// rendezvousWeight returns the weight of a server for an affinity in rendezvous hashing.
func rendezvousWeight(affinity uint64, id string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], affinity)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(id)
	return d.Sum64()
}
