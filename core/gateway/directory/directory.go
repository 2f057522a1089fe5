// Package directory is what one instance believes about the backend servers:
// who is there, what each holds, how busy each is and how its answers were.
// It chooses the server for a request by filter, score and pick.
package directory

import (
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/evacuation"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/core/gateway/warmup"
)

// LoadedModel is a model that is resident on a backend server.
type LoadedModel struct {
	Model    string
	Version  int
	Adapters []string
}

// Entry is what a backend server says of itself.
type Entry struct {
	ID          string
	Address     string
	Zone        string
	Group       string
	Incarnation int64 // tells two lives under one id apart
	// Revision is the revision of the store that wrote the entry.
	Revision revision.Revision
	Slots    int
	Draining bool
	// RemainingLifetime is how long a server that is reclaimed still has; 0 if it
	// does not say.
	RemainingLifetime time.Duration
	// ColdFor is how long a server that started of late still bears little; 0: it is warm.
	ColdFor      time.Duration
	LoadedModels []LoadedModel
	InMemory     []string // models of which a copy lies in the server's memory
	OnDisk       []string
}

// LoadedModel returns what the entry says of a model.
func (e *Entry) LoadedModel(model string) (LoadedModel, bool) {
	for _, h := range e.LoadedModels {
		if h.Model == model {
			return h, true
		}
	}
	return LoadedModel{}, false
}

const (
	// failureWeight is the weight of one answer in the rate of failures. About
	// ten answers tell a server that fails two in five from a sound one.
	failureWeight = 0.15
	// failureHigh is the rate from which a server is suspected; a single
	// failure stays below it.
	suspectFailureRate = 0.22
	// failureFactor is how much worse than its group a server must be: when
	// all fail alike, the cause is the requests, and none is set aside.
	suspectGroupFactor = 2.0
	// probation is how long a suspected server gets requests only if there is
	// no other; afterwards its rate starts anew at half of failureHigh.
	probation = 3 * time.Second
	// unreachableFor is how long a server is left out that could not be
	// connected to.
	unreachableDuration = time.Second
	// toldFor is how long what the owner of the orders said goes before the
	// server's own entry: it is repeated twice a second.
	reportedModelsTTL = 2 * time.Second
	// staleAfter is when what another instance said of its requests no longer
	// counts.
	peerLoadTTL = 2200 * time.Millisecond
)

// Server is a backend server and what was seen of it.
type Server struct {
	Entry
	published        Entry          // as the server wrote it
	local            map[string]int // requests of this instance, by model
	peers            map[string]peerLoad
	running          int // of all instances
	failureRate      float64
	modelsReportedAt clock.Time // when the owner of the orders last told the holdings
	suspectedUntil   clock.Time // until when
	unreachableUntil clock.Time
	lastUsed         clock.Time
	modelLastUsed    map[string]clock.Time // when requests for a model were last known there
	updatedAt        clock.Time            // its entry was last taken
	region           string
	zoneState        evacuation.State
	coldUntil        clock.Time
	pace             warmup.Pace
}

// Cold reports whether the server bears little now.
func (s *Server) Cold(now clock.Time) bool { return now.Before(s.coldUntil) }

// ColdRemaining is how long the server still bears little.
func (s *Server) ColdRemaining(now clock.Time) time.Duration { return max(0, s.coldUntil.Sub(now)) }

// ModelLastUsed returns when requests for a model were last known on the server; 0: never.
func (s *Server) ModelLastUsed(model string) clock.Time { return s.modelLastUsed[model] }

// Region is the region of the server's zone; "" if it is not known.
func (s *Server) Region() string { return s.region }

// ZoneClosed reports whether nothing at all may be sent to the server, since its zone is
// evacuated.
func (s *Server) ZoneClosed() bool { return s.zoneState == evacuation.Closed }

// RemainsInService reports whether the server goes on serving, so that a model is of use there.
func (s *Server) RemainsInService() bool { return !s.Draining && s.zoneState == evacuation.Open }

// recentFor is how long after its entry was read a server counts as recent.
const recentUpdateAge = 2 * time.Second

// RecentlyUpdated reports whether the server's entry was read a moment ago.
func (s *Server) RecentlyUpdated(now clock.Time) bool { return now.Sub(s.updatedAt) < recentUpdateAge }

type peerLoad struct {
	running map[string]int
	heardAt clock.Time
}

// Running is the number of requests of all instances that run on the server.
func (s *Server) Running() int { return s.running }

// RunningForModel is the number of them that use a model.
func (s *Server) RunningForModel(model string) int {
	n := s.local[model]
	for _, p := range s.peers {
		n += p.running[model]
	}
	return n
}

func sum(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// PublishedEntry returns what the server last wrote of itself.
func (s *Server) PublishedEntry() *Entry { return &s.published }

// Directory holds all servers. It is not safe for concurrent use.
type Directory struct {
	servers map[string]*Server
	groups  map[string][]*Server // sorted by id; nil after a change
	// loadedBy are the servers on which each other instance has requests.
	serversByPeer map[string][]string
	zoneStates    map[string]evacuation.State
	silentZones   map[string]bool         // zones of which no instance is heard
	regionByZone  map[string]string       // by zone
	warmupLimits  map[string]warmup.Limit // by group
	warmupShare   warmup.Share
}

// New returns an empty Directory.
func New() *Directory {
	return &Directory{
		servers: make(map[string]*Server), serversByPeer: make(map[string][]string),
		zoneStates: make(map[string]evacuation.State), warmupLimits: make(map[string]warmup.Limit),
	}
}

// SetRegions says in which region each zone lies, before any server is put.
func (d *Directory) SetRegions(byZone map[string]string) { d.regionByZone = byZone }

// Get returns a server, or nil.
func (d *Directory) Get(id string) *Server { return d.servers[id] }

// InGroup returns the servers of a group by id. The caller must not change it.
func (d *Directory) InGroup(group string) []*Server {
	if d.groups == nil {
		d.groups = make(map[string][]*Server)
		for _, id := range d.IDs() {
			s := d.servers[id]
			d.groups[s.Group] = append(d.groups[s.Group], s)
		}
	}
	return d.groups[group]
}

// Put takes a newer entry. A new life starts with a clean record.
func (d *Directory) Put(now clock.Time, e Entry) {
	s := d.servers[e.ID]
	d.groups = nil
	if s == nil || s.Incarnation != e.Incarnation {
		d.servers[e.ID] = &Server{
			Entry: e, published: e, local: make(map[string]int), peers: make(map[string]peerLoad), modelLastUsed: make(map[string]clock.Time), updatedAt: now,
			region: d.regionByZone[e.Zone], zoneState: d.zoneStates[e.Zone], coldUntil: now.Add(e.ColdFor),
		}
		return
	}
	s.published, s.updatedAt, s.region, s.zoneState = e, now, d.regionByZone[e.Zone], d.zoneStates[e.Zone]
	s.coldUntil = max(s.coldUntil, now.Add(e.ColdFor))
	// An entry lags; the owner of the orders knows sooner what it changed.
	if s.modelsReportedAt != 0 && now.Sub(s.modelsReportedAt) < reportedModelsTTL {
		e.LoadedModels = s.LoadedModels
	}
	// A leaving server never comes back in the same life.
	e.Draining = e.Draining || s.Draining
	s.Entry = e
}

// Remove drops a server that left.
func (d *Directory) Remove(id string) {
	delete(d.servers, id)
	d.groups = nil
}

// SetLoadedModels takes what the owner of the orders says a server holds.
func (d *Directory) SetLoadedModels(now clock.Time, id string, born int64, holdings []LoadedModel) {
	s := d.servers[id]
	if s == nil || s.Incarnation != born {
		return
	}
	s.LoadedModels, s.modelsReportedAt = holdings, now
}

// MarkMissing records that a server refused a request since it does not hold what
// the request needs.
func (d *Directory) MarkMissing(id, model, adapter string) {
	s := d.servers[id]
	if s == nil {
		return
	}
	holdings := slices.Clone(s.LoadedModels)
	for i, h := range holdings {
		if h.Model != model {
			continue
		}
		if adapter == "" {
			s.LoadedModels = slices.Delete(holdings, i, i+1)
			return
		}
		h.Adapters = slices.DeleteFunc(slices.Clone(h.Adapters), func(a string) bool { return a == adapter })
		holdings[i] = h
		s.LoadedModels = holdings
		return
	}
}

// RequestStarted counts a request for a model that was sent to a server.
func (d *Directory) RequestStarted(now clock.Time, id, model string) {
	if s := d.servers[id]; s != nil {
		s.local[model]++
		s.running++
		s.lastUsed, s.modelLastUsed[model] = now, now
		d.countWarmup(now, s)
	}
}

// Outcome says how a request ended, as far as it speaks for or against a
// server.
type Outcome int

// The outcomes.
const (
	Answered Outcome = iota
	Failed           // broke off, was spoiled, silent or a failure of the server
	Neutral          // says nothing of the server: the caller left, or it was full
)

// RequestEnded counts the end of a request of this instance.
func (d *Directory) RequestEnded(now clock.Time, id, model string, o Outcome) {
	s := d.servers[id]
	if s == nil {
		return
	}
	d.RecordOutcome(now, id, o)
	// An entry of a new life counts from zero; what ran in the old one doesn't.
	if s.local[model] > 0 {
		s.running--
		if s.local[model]--; s.local[model] == 0 {
			delete(s.local, model)
		}
	}
}

// RecordOutcome takes how a request of any instance ended at a server. What one instance of
// two hundred sees of a server is too little to tell that it fails.
func (d *Directory) RecordOutcome(now clock.Time, id string, o Outcome) {
	s := d.servers[id]
	if s == nil {
		return
	}
	switch o {
	case Answered:
		s.failureRate *= 1 - failureWeight
	case Failed:
		s.failureRate += failureWeight * (1 - s.failureRate)
		if s.failureRate > suspectFailureRate && s.failureRate > suspectGroupFactor*d.groupFailureRate(s) {
			s.suspectedUntil = now.Add(probation)
			s.failureRate = suspectFailureRate / 2
		}
	}
}

// groupFailures is the mean rate of failures of the others in the group.
func (d *Directory) groupFailureRate(of *Server) float64 {
	sum, n := 0.0, 0
	for _, s := range d.servers {
		if s != of && s.Group == of.Group {
			sum += s.failureRate
			n++
		}
	}
	if n == 0 {
		return 1 // the only one is never set aside
	}
	return sum / float64(n)
}

// MarkUnreachable records that a server could not be connected to.
func (d *Directory) MarkUnreachable(now clock.Time, id string) {
	if s := d.servers[id]; s != nil {
		s.unreachableUntil = now.Add(unreachableDuration)
	}
}

// SetPeerLoad takes how many requests another instance has on each server.
func (d *Directory) SetPeerLoad(now clock.Time, peer string, running map[string]map[string]int) {
	for _, id := range d.serversByPeer[peer] {
		if s := d.servers[id]; s != nil && len(running[id]) == 0 {
			s.dropPeerLoad(peer)
		}
	}
	loaded := make([]string, 0, len(running))
	for id, n := range running {
		s := d.servers[id]
		if s == nil || len(n) == 0 {
			continue
		}
		s.running += sum(n) - sum(s.peers[peer].running)
		s.peers[peer] = peerLoad{running: n, heardAt: now}
		for model := range n {
			s.modelLastUsed[model] = now
		}
		loaded = append(loaded, id)
	}
	d.serversByPeer[peer] = loaded
}

// AddPeerRequest counts one more request of another instance, which that instance
// does not tell of yet.
func (d *Directory) AddPeerRequest(now clock.Time, peer, id, model string) {
	s := d.servers[id]
	if s == nil {
		return
	}
	p, had := s.peers[peer]
	if !had {
		p.running = make(map[string]int)
		d.serversByPeer[peer] = append(d.serversByPeer[peer], id)
	}
	p.running[model]++
	p.heardAt = now
	s.peers[peer] = p
	s.running++
	s.lastUsed, s.modelLastUsed[model] = now, now
	d.countWarmup(now, s)
}

// RefreshPeerLoad keeps what an instance told counting: it is heard, and nothing changed.
func (d *Directory) RefreshPeerLoad(now clock.Time, peer string) {
	for _, id := range d.serversByPeer[peer] {
		s := d.servers[id]
		if s == nil {
			continue
		}
		if p, ok := s.peers[peer]; ok {
			p.heardAt = now
			s.peers[peer] = p
		}
	}
}

// forgetPeer drops what an instance said of its requests.
func (s *Server) dropPeerLoad(peer string) {
	s.running -= sum(s.peers[peer].running)
	delete(s.peers, peer)
}

// ExpirePeerLoad drops what instances said that are not heard any more.
func (d *Directory) ExpirePeerLoad(now clock.Time) {
	for _, s := range d.servers {
		for name, p := range s.peers {
			if now.Sub(p.heardAt) > peerLoadTTL {
				s.dropPeerLoad(name)
			}
		}
	}
}

// LocalLoad returns how many requests this instance has on each server, without
// the models that they use: the form that HeardRunning takes, under no model.
func (d *Directory) LocalLoad() map[string]map[string]int {
	own := make(map[string]map[string]int)
	for id, s := range d.servers {
		if len(s.local) > 0 {
			own[id] = map[string]int{"": sum(s.local)}
		}
	}
	return own
}

// LocalLoadByModel returns how many requests this instance has on each server.
func (d *Directory) LocalLoadByModel() map[string]map[string]int {
	own := make(map[string]map[string]int)
	for id, s := range d.servers {
		if len(s.local) > 0 {
			own[id] = maps.Clone(s.local)
		}
	}
	return own
}

// Usable reports whether new requests may go to the server at all.
func (s *Server) Usable(now clock.Time) bool {
	return !s.Draining && !s.ZoneClosed() && !now.Before(s.unreachableUntil)
}

// IDs returns the ids of all servers.
func (d *Directory) IDs() []string { return slices.Sorted(maps.Keys(d.servers)) }
