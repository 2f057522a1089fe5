package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// Server is the fake of a backend server: a model engine or a plain service.
type Server struct {
	fleet *Fleet
	Name  id.Backend
	Zone  id.Zone
	Group config.Group

	// LoseOrders is the share of orders that are lost, LateOrders of those
	// that are carried out up to LateBy later, and LoseAnswers of those that
	// are carried out and whose answer is lost.
	LoseOrders, LateOrders, LoseAnswers float64
	LateBy                              time.Duration
	// DieAfterRun counts the next runs of a plain service after which it dies
	// without an answer.
	DieAfterRun int

	held          map[id.Artifact]*holding
	cached        map[id.Artifact]message.CacheLevel
	fencing       id.Fencing
	boot          int
	down          bool
	leaving       bool
	leavingListed bool
	leftAt        clock.Time
	removed       bool
	runs          map[*run]bool

	Crashes int
	Loads   int
	idleFor time.Duration // sum over loaded artifacts of idle time, at the last change
}

// holding is an artifact on an engine.
type holding struct {
	order    id.Order
	state    message.LoadState
	bytes    int64
	running  int
	lastUse  clock.Time
	loadedAt clock.Time
	uses     uint64
	boot     int
}

const (
	restartAfter = 2 * time.Second
	// leaveListed is when the instance list shows that a server leaves.
	leaveListed = 3 * time.Second
	// memoryFactor and diskFactor speed up a load from a cache.
	memoryFactor = 0.1
	diskFactor   = 0.3
)

func (f *Fleet) addServers() {
	groups := slices.SortedFunc(maps.Values(f.Config.Groups), func(a, b config.Group) int { return cmp.Compare(a.Name, b.Name) })
	for _, z := range f.zones {
		for _, g := range groups {
			count, kind := f.Engines, "engine"
			if g.Kind == config.GroupServices {
				count, kind = f.Services, "service"
			}
			for n := range count {
				f.Servers = append(f.Servers, &Server{
					fleet: f, Name: id.Backend(fmt.Sprintf("%s-%s-%s-%d", z, g.Name, kind, n+1)), Zone: z, Group: g,
					held: make(map[id.Artifact]*holding), cached: make(map[id.Artifact]message.CacheLevel), runs: make(map[*run]bool),
				})
			}
		}
	}
}

func (f *Fleet) server(b id.Backend) *Server {
	for _, s := range f.Servers {
		if s.Name == b {
			return s
		}
	}
	return nil
}

// Crash ends all that runs and is held; the server comes back a while later.
func (s *Server) Crash() {
	if s.down {
		return
	}
	s.fleet.trace("%s crashes", s.Name)
	s.Crashes++
	s.down = true
	s.boot++
	s.noteIdle()
	clear(s.held)
	for _, r := range s.sortedRuns() {
		r.broken(event.AttemptCrashed)
	}
	s.fleet.after(restartAfter, func() { s.down = false })
}

// Leave announces that the server leaves: calls are refused, and the list
// shows it later.
func (s *Server) Leave() {
	if s.leaving {
		return
	}
	s.leaving, s.leftAt = true, s.fleet.now
	s.fleet.after(leaveListed, func() { s.leavingListed = true })
}

func (s *Server) sortedRuns() []*run {
	return slices.SortedFunc(maps.Keys(s.runs), func(a, b *run) int { return cmp.Compare(a.attempt, b.attempt) })
}

func (s *Server) used() int64 {
	var n int64
	for _, h := range s.held {
		n += h.bytes
	}
	return n
}

func (n *Node) order(e event.OrderBackend) {
	f, run := n.fleet, n.ID
	s := f.server(e.Backend)
	if s == nil {
		return
	}
	answer := func(r event.OrderResult) {
		n.postTo(run, event.OrderAnswered{Backend: e.Backend, Order: e.Order, Result: r})
	}
	if n.clock() > e.NotAfter {
		f.after(0, func() { answer(event.OrderUnknown) })
		return
	}
	lost := f.random.Float64()
	d := f.jitter(toBackend)
	if s.LateOrders > 0 && f.random.Float64() < s.LateOrders {
		d += time.Duration(f.random.Int64N(int64(max(s.LateBy, 1))))
		f.after(time.Second, func() { answer(event.OrderUnknown) })
		f.after(d, func() { s.carryOut(e) })
		return
	}
	if lost < s.LoseOrders {
		f.after(time.Second, func() { answer(event.OrderUnknown) })
		return
	}
	f.after(d, func() {
		r := s.carryOut(e)
		if lost < s.LoseOrders+s.LoseAnswers {
			f.after(time.Second, func() { answer(event.OrderUnknown) })
			return
		}
		f.after(f.jitter(toBackend), func() { answer(r) })
	})
}

// carryOut is an order as the engine takes it.
func (s *Server) carryOut(e event.OrderBackend) event.OrderResult {
	s.fleet.trace("%s carries out %s %s %s fencing %d", s.Name, e.Kind, e.Artifact, e.Order, e.Fencing)
	if s.down {
		return event.OrderUnknown
	}
	if s.Group.ChecksFencing && !s.fleet.NoFencing {
		if e.Fencing < s.fencing {
			return event.OrderOldFencing
		}
		s.fencing = e.Fencing
	}
	switch e.Kind {
	case event.OrderLoad:
		return s.load(e)
	case event.OrderUnload:
		s.unload(e.Artifact)
	}
	return event.OrderAccepted
}

func (s *Server) load(e event.OrderBackend) event.OrderResult {
	f := s.fleet
	a, ok := f.Config.Artifacts[e.Artifact]
	if !ok || s.leaving {
		return event.OrderRefused
	}
	if _, there := s.held[e.Artifact]; there {
		return event.OrderAccepted
	}
	if used := s.used(); used+a.Bytes > s.Group.MemoryBytes {
		f.fault("%s: ordered to load %s into %d of %d bytes", s.Name, e.Artifact, used+a.Bytes, s.Group.MemoryBytes)
		return event.OrderRefused
	}
	h := &holding{order: e.Order, state: message.Loading, bytes: a.Bytes, boot: s.boot}
	s.held[e.Artifact] = h
	s.Loads++
	f.countReplicas(s.Zone, a)
	factor := 1.0
	switch s.cached[e.Artifact] {
	case message.CacheMemory:
		factor = memoryFactor
	case message.CacheDisk:
		factor = diskFactor
	}
	f.Store.load(a, factor, func() {
		if s.held[e.Artifact] == h && s.boot == h.boot && h.state == message.Loading {
			h.state, h.lastUse, h.loadedAt = message.Loaded, f.now, f.now
			s.cached[e.Artifact] = message.CacheMemory
		}
	})
	return event.OrderAccepted
}

// countReplicas checks that no more replicas of an artifact are on the engines
// of a zone than may be decided.
func (f *Fleet) countReplicas(z id.Zone, a config.Artifact) {
	n := 0
	for _, s := range f.Servers {
		if h := s.held[a.Name]; s.Zone == z && h != nil && h.state != message.Unloading {
			n++
		}
	}
	if n > a.MaxReplicas {
		f.fault("%d replicas of %s in %s, at most %d may be decided", n, a.Name, z, a.MaxReplicas)
	}
}

func (s *Server) unload(a id.Artifact) {
	h := s.held[a]
	if h == nil {
		return
	}
	s.noteIdleOf(h)
	h.state = message.Unloading
	s.dropUnused(a)
}

func (s *Server) dropUnused(a id.Artifact) {
	if h := s.held[a]; h != nil && h.state == message.Unloading && h.running == 0 {
		delete(s.held, a)
	}
}

// noteIdleOf adds the idle time of an artifact up to now.
func (s *Server) noteIdleOf(h *holding) {
	if h.state == message.Loaded && h.running == 0 {
		s.idleFor += s.fleet.now.Sub(max(h.lastUse, h.loadedAt))
		h.lastUse = s.fleet.now
	}
}

func (s *Server) noteIdle() {
	for _, h := range s.held {
		s.noteIdleOf(h)
	}
}

func (n *Node) report(e event.AskReport) {
	f, run, asked := n.fleet, n.ID, n.clock()
	s := f.server(e.Backend)
	d := f.jitter(toBackend)
	f.after(d, func() {
		r := event.BackendReport{Backend: e.Backend, Asked: asked}
		if s != nil && !s.down && !s.removed {
			r.OK, r.Report = true, s.Report()
		}
		f.after(f.jitter(toBackend), func() { n.postTo(run, r) })
	})
}

// Report is the engine's own report.
func (s *Server) Report() message.Report {
	r := message.Report{
		Fencing: s.fencing, Bytes: s.Group.MemoryBytes, Running: len(s.runs), Leaving: s.leaving,
		Boot: fmt.Sprintf("%s#%d", s.Name, s.boot),
	}
	for _, a := range slices.Sorted(maps.Keys(s.held)) {
		h := s.held[a]
		idle := time.Duration(0)
		if h.running == 0 && h.state == message.Loaded {
			idle = s.fleet.now.Sub(h.lastUse)
		}
		r.Held = append(r.Held, message.Held{
			Artifact: a, State: h.state, Order: h.order, Bytes: h.bytes, Running: h.running, Idle: idle, Uses: h.uses,
		})
	}
	for _, a := range slices.Sorted(maps.Keys(s.cached)) {
		r.Cached = append(r.Cached, message.Cached{Artifact: a, Level: s.cached[a]})
	}
	return r
}

// WeightStore is the fake of the store of the checkpoints: loads start at a
// bounded rate, and share its speed beyond a number at once.
type WeightStore struct {
	fleet    *Fleet
	Slow     float64 // divides the speed; 0: 1
	nextAt   clock.Time
	models   int
	adapters int
	Started  int
}

func newWeightStore(f *Fleet) *WeightStore { return &WeightStore{fleet: f} }

// load takes the time of a load and calls done. Sharing is worked out at the
// start of a load, which is close enough for its users.
func (w *WeightStore) load(a config.Artifact, factor float64, done func()) {
	f := w.fleet
	w.Started++
	if factor < 1 {
		f.after(time.Duration(float64(a.LoadTime)*factor), done)
		return
	}
	start := max(f.now, w.nextAt)
	w.nextAt = start.Add(time.Duration(float64(time.Second) / f.Config.Fleet.LoadsPerSecond))
	count, limit := &w.models, f.Config.Fleet.LoadsAtOnce
	if a.Name.IsAdapter() {
		count, limit = &w.adapters, f.Config.Fleet.AdaptersInTransit
	}
	f.after(start.Sub(f.now), func() {
		*count++
		slow := max(1, float64(*count)/float64(limit)) * max(1, w.Slow)
		f.after(time.Duration(float64(a.LoadTime)*slow), func() {
			*count--
			done()
		})
	})
}
