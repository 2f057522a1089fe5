// Package directory keeps one instance's view of the backend servers: which
// servers exist, which models each has loaded, its load and its recent failures.
// It selects the server for a request by filtering and scoring the candidates.
package directory

import (
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/evacuation"
	"oleanderdale.org/core/gateway/fleetshare"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/core/gateway/serverlimit"
	"oleanderdale.org/core/gateway/warmup"
)

// LoadedModel is a model that a backend server has loaded.
type LoadedModel struct {
	Model    string
	Version  int
	Adapters []string
}

// Entry is what a backend server publishes about itself in the store.
type Entry struct {
	ID          string
	Address     string
	Zone        string
	Group       string
	Incarnation int64 // start of the server; a later start under the same ID has a higher one
	// Revision is the store revision that wrote the entry.
	Revision revision.Revision
	Slots    int
	Draining bool
	// RemainingLifetime is the time until a server that is being reclaimed is gone;
	// 0 if unknown.
	RemainingLifetime time.Duration
	// ColdFor is how long a recently started server still has reduced capacity; 0 if it
	// is warm.
	ColdFor      time.Duration
	LoadedModels []LoadedModel
	InMemory     []string // models that the server can load from its own memory
	OnDisk       []string // models that the server can load from its own disk
}

// LoadedModel returns the loaded model with that name.
func (e *Entry) LoadedModel(model string) (LoadedModel, bool) {
	for _, m := range e.LoadedModels {
		if m.Model == model {
			return m, true
		}
	}
	return LoadedModel{}, false
}

const (
	// failureWeight is the weight of one response in the moving average of
	// failures. About ten responses distinguish a server that fails two in five
	// requests from a healthy one.
	failureWeight = 0.15
	// suspectFailureRate is the failure rate above which a server is suspected; a
	// single failure stays below it.
	suspectFailureRate = 0.22
	// suspectGroupFactor is the multiple of the group's failure rate that a suspected
	// server must exceed: when all servers fail alike, the requests are the cause
	// and no server is suspected.
	suspectGroupFactor = 2.0
	// probation is how long a suspected server gets requests only if there is no
	// other. Its failure rate restarts at half of suspectFailureRate.
	probation = 3 * time.Second
	// unreachableDuration is how long a server is skipped after a failed
	// connection attempt.
	unreachableDuration = time.Second
	// reportedModelsTTL is how long models reported by the instance that orders
	// loads override the server's own entry. The report is repeated twice a second.
	reportedModelsTTL = 2 * time.Second
	// peerLoadTTL is how long the load reported by another instance is counted.
	peerLoadTTL = 2200 * time.Millisecond
)

// Server is a backend server with its observed state.
type Server struct {
	Entry
	published        Entry               // as the server published it
	local            map[string]int      // requests of this instance, by model
	peers            map[string]peerLoad // by instance
	running          int                 // requests of all instances
	failureRate      float64             // moving average
	modelsReportedAt clock.Time          // last report of loaded models by the instance that orders loads
	suspectedUntil   clock.Time
	unreachableUntil clock.Time
	lastUsed         clock.Time
	modelLastUsed    map[string]clock.Time // last known request, by model
	updatedAt        clock.Time            // last Put of its entry
	region           string
	zoneState        evacuation.State
	coldUntil        clock.Time
	pacer            warmup.Pacer
	limit            *serverlimit.Limit // nil: never named
	rest             *rest              // nil: never asked for
}

// Cold reports whether the server is still warming up and has reduced capacity.
func (s *Server) Cold(now clock.Time) bool { return now.Before(s.coldUntil) }

// ColdRemaining returns how long the server stays cold.
func (s *Server) ColdRemaining(now clock.Time) time.Duration { return max(0, s.coldUntil.Sub(now)) }

// ModelLastUsed returns when a request for the model was last known on the
// server; 0 if never.
func (s *Server) ModelLastUsed(model string) clock.Time { return s.modelLastUsed[model] }

// Region returns the region of the server's zone; "" if unknown.
func (s *Server) Region() string { return s.region }

// ZoneClosed reports whether the server's zone is evacuated, so that nothing may be
// sent to the server.
func (s *Server) ZoneClosed() bool { return s.zoneState == evacuation.Closed }

// RemainsInService reports whether the server will keep serving, so that it is worth
// loading models there.
func (s *Server) RemainsInService() bool { return !s.Draining && s.zoneState == evacuation.Open }

// recentUpdateAge is the age up to which a server's entry counts as recently updated.
const recentUpdateAge = 2 * time.Second

// RecentlyUpdated reports whether the server's entry was read within the last two
// seconds.
func (s *Server) RecentlyUpdated(now clock.Time) bool { return now.Sub(s.updatedAt) < recentUpdateAge }

// peerLoad is the load that another instance puts on a server.
type peerLoad struct {
	running map[string]int // requests by model
	heardAt clock.Time     // last report
}

// Running returns the number of requests of all instances on the server.
func (s *Server) Running() int { return s.running }

// RunningForModel returns the number of requests of all instances for a model on
// the server.
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

// PublishedEntry returns the entry that the server last published, without the models
// reported by the instance that orders loads.
func (s *Server) PublishedEntry() *Entry { return &s.published }

// Directory holds all known servers. It is not safe for concurrent use.
type Directory struct {
	servers map[string]*Server
	groups  map[string][]*Server // sorted by ID; nil after a change
	// serversByPeer lists the servers on which each other instance has requests.
	serversByPeer map[string][]string
	zoneStates    map[string]evacuation.State // by zone
	silentZones   map[string]bool             // zones from which no instance is heard
	regionByZone  map[string]string
	warmupLimits  map[string]warmup.Limit // by group
	share         fleetshare.Share
	// limits are the rate limits that servers named, by ID. They outlive the entry of a
	// server, which may be gone and back.
	limits map[string]*serverlimit.Limit
	// departures are the servers that said in a response that they leave, by ID. Like limits
	// they outlive the entry.
	departures map[string]departure
	// rests are the servers that asked for rest, by ID. They outlive the entry too.
	rests map[string]*rest
}

// New returns an empty Directory.
func New() *Directory {
	return &Directory{
		servers: make(map[string]*Server), serversByPeer: make(map[string][]string),
		zoneStates: make(map[string]evacuation.State), warmupLimits: make(map[string]warmup.Limit),
		limits: make(map[string]*serverlimit.Limit), departures: make(map[string]departure), rests: make(map[string]*rest),
	}
}

// SetRegions sets the region of each zone. It must be called before the first Put.
func (d *Directory) SetRegions(byZone map[string]string) { d.regionByZone = byZone }

// Get returns the server with an ID, or nil.
func (d *Directory) Get(id string) *Server { return d.servers[id] }

// InGroup returns the servers of a group, sorted by ID. The caller must not modify
// the slice.
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

// Put adds or replaces the entry of a server. A restarted server, which has another
// incarnation, starts with a clean state.
func (d *Directory) Put(now clock.Time, e Entry) {
	s := d.servers[e.ID]
	d.groups = nil
	e.Draining = e.Draining || d.saidLeaving(e.ID, e.Incarnation)
	if s == nil || s.Incarnation != e.Incarnation {
		d.servers[e.ID] = &Server{
			Entry: e, published: e, local: make(map[string]int), peers: make(map[string]peerLoad), modelLastUsed: make(map[string]clock.Time), updatedAt: now,
			region: d.regionByZone[e.Zone], zoneState: d.zoneStates[e.Zone], coldUntil: now.Add(e.ColdFor), limit: d.keptLimit(e.ID, e.Incarnation), rest: d.keptRest(e.ID, e.Incarnation),
		}
		return
	}
	s.published, s.updatedAt, s.region, s.zoneState = e, now, d.regionByZone[e.Zone], d.zoneStates[e.Zone]
	s.coldUntil = max(s.coldUntil, now.Add(e.ColdFor))
	// Entries lag behind; the instance that orders loads knows of a change sooner.
	if s.modelsReportedAt != 0 && now.Sub(s.modelsReportedAt) < reportedModelsTTL {
		e.LoadedModels = s.LoadedModels
	}
	// A draining server does not return to service in the same incarnation.
	e.Draining = e.Draining || s.Draining
	s.Entry = e
}

// Remove deletes a server.
func (d *Directory) Remove(id string) {
	delete(d.servers, id)
	d.groups = nil
}

// SetLoadedModels sets the loaded models of a server as reported by the instance that
// orders loads.
func (d *Directory) SetLoadedModels(now clock.Time, id string, incarnation int64, models []LoadedModel) {
	s := d.servers[id]
	if s == nil || s.Incarnation != incarnation {
		return
	}
	s.LoadedModels, s.modelsReportedAt = models, now
}

// MarkMissing records that a server rejected a request because it has not loaded the
// model, or the adapter if one is given.
func (d *Directory) MarkMissing(id, model, adapter string) {
	s := d.servers[id]
	if s == nil {
		return
	}
	models := slices.Clone(s.LoadedModels)
	for i, m := range models {
		if m.Model != model {
			continue
		}
		if adapter == "" {
			s.LoadedModels = slices.Delete(models, i, i+1)
			return
		}
		m.Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(a string) bool { return a == adapter })
		models[i] = m
		s.LoadedModels = models
		return
	}
}

// RequestStarted counts a request of this instance that is sent to a server.
func (d *Directory) RequestStarted(now clock.Time, id, model string) {
	if s := d.servers[id]; s != nil {
		s.local[model]++
		s.running++
		s.lastUsed, s.modelLastUsed[model] = now, now
		d.countPaced(now, s)
	}
}

// Outcome is the result of a request, as evidence of the server's health.
type Outcome int

// Outcomes of a request.
const (
	Answered Outcome = iota
	Failed           // connection lost, invalid response, timeout or server error
	Neutral          // no evidence: the caller disconnected, or the server was full
)

// RequestEnded counts the end of a request of this instance and records its outcome.
func (d *Directory) RequestEnded(now clock.Time, id, model string, o Outcome) {
	s := d.servers[id]
	if s == nil {
		return
	}
	d.RecordOutcome(now, id, o)
	// A restarted server counts from zero: requests sent before the restart are not
	// in the count.
	if s.local[model] > 0 {
		s.running--
		if s.local[model]--; s.local[model] == 0 {
			delete(s.local, model)
		}
	}
}

// RecordOutcome records the outcome of a request of any instance. One instance of two
// hundred sees too few requests of a server to detect that it fails.
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

// groupFailureRate returns the mean failure rate of the other servers of its group.
func (d *Directory) groupFailureRate(server *Server) float64 {
	total, n := 0.0, 0
	for _, s := range d.servers {
		if s != server && s.Group == server.Group {
			total += s.failureRate
			n++
		}
	}
	if n == 0 {
		return 1 // the only server of a group is never suspected
	}
	return total / float64(n)
}

// MarkUnreachable records that a connection to a server could not be established.
func (d *Directory) MarkUnreachable(now clock.Time, id string) {
	if s := d.servers[id]; s != nil {
		s.unreachableUntil = now.Add(unreachableDuration)
	}
}

// SetPeerLoad replaces the requests that another instance has, by server and model.
func (d *Directory) SetPeerLoad(now clock.Time, peer string, running map[string]map[string]int) {
	for _, id := range d.serversByPeer[peer] {
		if s := d.servers[id]; s != nil && len(running[id]) == 0 {
			s.dropPeerLoad(peer)
		}
	}
	servers := make([]string, 0, len(running))
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
		servers = append(servers, id)
	}
	d.serversByPeer[peer] = servers
}

// GrantPeerRequest counts a request that another instance is about to send to a server.
func (d *Directory) GrantPeerRequest(now clock.Time, peer, id, model string) {
	d.AddPeerRequest(now, peer, id, model)
	if s := d.servers[id]; s != nil {
		d.countPaced(now, s)
	}
}

// AddPeerRequest counts one more request of another instance, which was granted but is not
// in the instance's last report.
func (d *Directory) AddPeerRequest(now clock.Time, peer, id, model string) {
	s := d.servers[id]
	if s == nil {
		return
	}
	p, known := s.peers[peer]
	if !known {
		p.running = make(map[string]int)
		d.serversByPeer[peer] = append(d.serversByPeer[peer], id)
	}
	p.running[model]++
	p.heardAt = now
	s.peers[peer] = p
	s.running++
	s.lastUsed, s.modelLastUsed[model] = now, now
}

// RefreshPeerLoad keeps the load reported by an instance from expiring: the instance
// was heard and its report still applies.
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

// dropPeerLoad removes the load that an instance puts on the server.
func (s *Server) dropPeerLoad(peer string) {
	s.running -= sum(s.peers[peer].running)
	delete(s.peers, peer)
}

// ExpirePeerLoad removes the load reported by instances that are no longer heard.
func (d *Directory) ExpirePeerLoad(now clock.Time) {
	for _, s := range d.servers {
		for name, p := range s.peers {
			if now.Sub(p.heardAt) > peerLoadTTL {
				s.dropPeerLoad(name)
			}
		}
	}
}

// LocalLoad returns how many requests this instance has on each server, in the form that
// SetPeerLoad takes: the sum over all models is under the empty model name.
func (d *Directory) LocalLoad() map[string]map[string]int {
	load := make(map[string]map[string]int)
	for id, s := range d.servers {
		if len(s.local) > 0 {
			load[id] = map[string]int{"": sum(s.local)}
		}
	}
	return load
}

// LocalLoadByModel returns how many requests this instance has, by server and model.
func (d *Directory) LocalLoadByModel() map[string]map[string]int {
	load := make(map[string]map[string]int)
	for id, s := range d.servers {
		if len(s.local) > 0 {
			load[id] = maps.Clone(s.local)
		}
	}
	return load
}

// Usable reports whether new requests may be sent to the server: it is not draining, its
// zone is not closed, and no connection attempt failed recently.
func (s *Server) Usable(now clock.Time) bool {
	return !s.Draining && !s.ZoneClosed() && !now.Before(s.unreachableUntil)
}

// IDs returns the sorted IDs of all servers.
func (d *Directory) IDs() []string { return slices.Sorted(maps.Keys(d.servers)) }
