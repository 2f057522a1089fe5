// Package directory keeps one instance's view of the backend servers: which
// servers exist, which models each has loaded, its load and its recent failures.
// It selects the server for a request by filtering and scoring the candidates.
package directory

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/brittle"
	"oleanderdale.org/core/gateway/evacuation"
	"oleanderdale.org/core/gateway/fleetshare"
	"oleanderdale.org/core/gateway/pace"
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
	// Age is the time since the start of the server by its own clock; 0 if unknown.
	Age time.Duration
	// Software is the version of the server's software. Servers of several may serve a group.
	Software string
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

// UnknownSoftware returns a version that no other start of a server has.
func UnknownSoftware(id string, incarnation int64) string {
	return fmt.Sprintf("unknown (%s, %d)", id, incarnation)
}

// reportedModelsTTL is how long models reported by the instance that orders
// loads override the server's own entry. The report is repeated twice a second.
const reportedModelsTTL = 2 * time.Second

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
	restartedAt      clock.Time            // 0: not lately
	region           string
	zoneState        evacuation.State
	coldUntil        clock.Time
	pacer            warmup.Pacer
	limit            *serverlimit.Limit // nil: never named
	rest             *rest              // nil: never asked for
	bound            brittle.Bound      // used while its group is brittle
	prefills         []prefill          // counted with load scheduling
	prefixes         []cachedPrefix     // expected in the cache, least recently used first; with load scheduling

	// Kept with load scheduling: the last prompts sent to the server, a ring from nextRead,
	// and the pause objectives of the running requests, oldest first, with the shortest.
	reads    []read
	nextRead int
	streams  []time.Duration
	tightest time.Duration
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

// PublishedEntry returns the entry that the server last published, without the models
// reported by the instance that orders loads.
func (s *Server) PublishedEntry() *Entry { return &s.published }

// Directory holds all known servers. It is not safe for concurrent use.
type Directory struct {
	servers map[string]*Server
	ids     []string             // sorted; nil after a server was added or removed
	groups  map[string][]*Server // sorted by ID; nil after a server was added, replaced or removed
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
	// brittleGroups are the groups whose servers said that they survive few rejections.
	brittleGroups map[string]*brittle.Group
	// departures are the servers that said in a response that they leave, by ID. Like limits
	// they outlive the entry.
	departures map[string]departure
	// rests are the servers that asked for rest, by ID. They outlive the entry and restarts.
	rests map[string]*rest
	// gone are the servers without an entry for at most restartMemory, by ID.
	gone       map[string]goneServer
	complete   bool // all entries were read once
	completeAt clock.Time
	// softwareSeen says when a server of a version was last seen.
	softwareSeen map[groupSoftware]clock.Time

	loadScheduling bool
	paces          *pace.Estimator
	lastPrefill    uint64         // number of the last prefill of this instance
	cacheTokens    map[string]int // of one engine, by group
}

// New returns an empty Directory.
func New() *Directory {
	return &Directory{
		servers: make(map[string]*Server), serversByPeer: make(map[string][]string),
		zoneStates: make(map[string]evacuation.State), warmupLimits: make(map[string]warmup.Limit),
		limits: make(map[string]*serverlimit.Limit), brittleGroups: make(map[string]*brittle.Group), departures: make(map[string]departure), rests: make(map[string]*rest),
		softwareSeen: make(map[groupSoftware]clock.Time), gone: make(map[string]goneServer),
		paces: pace.New(),
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
	if s == nil {
		d.ids = nil
	} else {
		d.noteSoftware(now, s)
	}
	if s == nil || s.Incarnation != e.Incarnation || s.Group != e.Group {
		d.groups = nil
	}
	e.Draining = e.Draining || d.saidLeaving(e.ID, e.Incarnation)
	if s == nil || s.Incarnation != e.Incarnation {
		d.servers[e.ID] = &Server{
			Entry: e, published: e, local: make(map[string]int), peers: make(map[string]peerLoad), modelLastUsed: make(map[string]clock.Time), updatedAt: now,
			restartedAt: d.restartOf(now, s, e),
			region:      d.regionByZone[e.Zone], zoneState: d.zoneStates[e.Zone], coldUntil: now.Add(e.ColdFor), limit: d.keptLimit(e.ID, e.Incarnation), rest: d.rests[e.ID],
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
func (d *Directory) Remove(now clock.Time, id string) {
	if d.servers[id] == nil {
		return
	}
	d.noteSoftware(now, d.servers[id])
	s := d.servers[id]
	d.noteGone(now, id, goneServer{incarnation: s.Incarnation, restartedAt: s.restartedAt, at: now})
	delete(d.servers, id)
	d.ids, d.groups = nil, nil
}

// SetLoadedModels sets the loaded models of a server as reported by the instance that
// orders loads.
func (d *Directory) SetLoadedModels(now clock.Time, id string, incarnation int64, models []LoadedModel) {
	s := d.servers[id]
	if s == nil || s.Incarnation != incarnation {
		return
	}
	s.LoadedModels, s.modelsReportedAt = models, now
	s.forgetUnloaded()
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

// Usable reports whether new requests may be sent to the server: it is not draining, its
// zone is not closed, and no connection attempt failed recently.
func (s *Server) Usable(now clock.Time) bool {
	return !s.Draining && !s.ZoneClosed() && !now.Before(s.unreachableUntil)
}

// Len returns the number of servers.
func (d *Directory) Len() int { return len(d.servers) }

// IDs returns the sorted IDs of all servers. The caller must not modify the slice.
func (d *Directory) IDs() []string {
	if d.ids == nil {
		d.ids = slices.Sorted(maps.Keys(d.servers))
	}
	return d.ids
}
