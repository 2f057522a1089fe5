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
	// DoubleOrders is the share of orders that are carried out twice, the
	// second time up to LateBy later.
	DoubleOrders float64
	// RunsRefused makes it a broken engine that runs what it says it refused.
	RunsRefused bool
	// Keeps makes it a broken engine that frees no memory, and doesn't say so.
	Keeps bool
	kept  int64

	held          map[id.Artifact]*holding
	recent        []id.Artifact // checkpoints loaded before, the newest first
	fencing       id.Fencing
	boot          int
	down          bool
	leaving       bool
	leavingListed bool
	leftAt        clock.Time
	offered       time.Duration // the latest offer of work, since leftAt
	ordered       id.Fencing    // the largest number sent in an order
	orderer       id.Instance   // that sent it
	removed       bool
	runs          map[*run]bool

	Crashes int
	Loads   int
	idleFor time.Duration // idle time of loaded artifacts, each by its share of the memory
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
				s := &Server{
					fleet: f, Name: id.Backend(fmt.Sprintf("%s-%s-%s-%d", z, g.Name, kind, n+1)), Zone: z, Group: g,
					held: make(map[id.Artifact]*holding), runs: make(map[*run]bool),
				}
				f.Servers = append(f.Servers, s)
				f.byBackend[s.Name] = s
			}
		}
	}
}

func (f *Fleet) server(b id.Backend) *Server { return f.byBackend[b] }

// HasLoaded reports whether an artifact is loaded there.
func (s *Server) HasLoaded(a id.Artifact) bool {
	h := s.held[a]
	return h != nil && h.state == message.Loaded
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
	s.fleet.after(restartAfter, func() { s.down = s.removed })
}

// Reclaim takes the server away without notice; the list shows it later.
func (s *Server) Reclaim() {
	s.Crash()
	s.removed = true
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
	n := s.kept
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
	s.checkOrderer(n, e)
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
	if s.DoubleOrders > 0 && f.random.Float64() < s.DoubleOrders {
		f.after(d+time.Duration(f.random.Int64N(int64(max(s.LateBy, 1)))), func() { s.carryOut(e) })
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

// checkOrderer checks that an instance sends no order to a server after another
// one that took the server over has sent one.
func (s *Server) checkOrderer(n *Node, e event.OrderBackend) {
	if e.Fencing < s.ordered && n.ID != s.orderer {
		s.fleet.fault("%s sent %s an order with fencing number %d, %s one with %d before", n.ID, s.Name, e.Fencing, s.orderer, s.ordered)
	}
	if e.Fencing >= s.ordered {
		s.ordered, s.orderer = e.Fencing, n.ID
	}
}

// noteOffer notes that work was offered to a leaving server.
func (s *Server) noteOffer() { s.offered = s.fleet.now.Sub(s.leftAt) }

// carryOut is an order as the engine takes it.
func (s *Server) carryOut(e event.OrderBackend) event.OrderResult {
	s.fleet.trace("%s carries out %s %s %s fencing %d", s.Name, e.Kind, e.Artifact, e.Order, e.Fencing)
	if s.down {
		return event.OrderUnknown
	}
	if s.Group.ChecksFencing && !s.fleet.NoFencing {
		if e.Fencing < s.fencing {
			return event.OrderStaleFencing
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
	if s.leaving {
		s.noteOffer()
	}
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
	switch s.cacheLevel(e.Artifact) {
	case message.CacheMemory:
		factor = memoryFactor
	case message.CacheDisk:
		factor = diskFactor
	}
	f.Store.load(a, factor, func() {
		if s.held[e.Artifact] == h && s.boot == h.boot && h.state == message.Loading {
			h.state, h.lastUse, h.loadedAt = message.Loaded, f.now, f.now
			s.recent = append([]id.Artifact{e.Artifact}, slices.DeleteFunc(s.recent, func(old id.Artifact) bool { return old == e.Artifact })...)
		}
	})
	return event.OrderAccepted
}

// countReplicas checks that no more replicas of an artifact are on the engines
// of a zone than may be decided. Those on leaving engines are not counted: the
// place is given up in the table with the first sign, as the engine takes no new
// work, and the model is decided elsewhere at once. If it had to wait until the
// leaving engine has run its last answers to the end, callers would be without
// the model for minutes. (Seen in TestLeavingEngine/0, with this not left out.)
func (f *Fleet) countReplicas(z id.Zone, a config.Artifact) {
	n := 0
	for _, s := range f.Servers {
		if h := s.held[a.Name]; s.Zone == z && !s.leaving && h != nil && h.state != message.Unloading {
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
		if s.Keeps {
			s.kept += h.bytes
		}
		delete(s.held, a)
	}
}

// noteIdleOf adds the idle time of an artifact up to now: an artifact that
// takes a quarter of the memory keeps a quarter of the accelerator idle.
func (s *Server) noteIdleOf(h *holding) {
	if h.state == message.Loaded && h.running == 0 {
		share := float64(h.bytes) / float64(s.Group.MemoryBytes)
		s.idleFor += time.Duration(share * float64(s.fleet.now.Sub(max(h.lastUse, h.loadedAt))))
		h.lastUse = s.fleet.now
	}
}

func (s *Server) noteIdle() {
	for _, h := range s.held {
		s.noteIdleOf(h)
	}
}

func (n *Node) report(e event.FetchReport) {
	f, run, asked := n.fleet, n.ID, n.clock()
	s := f.server(e.Backend)
	d := f.jitter(toBackend)
	f.after(d, func() {
		r := event.BackendReport{Backend: e.Backend, RequestedAt: asked}
		if s != nil && !s.down && !s.removed {
			r.OK, r.Report = true, s.Report()
		}
		f.after(f.jitter(toBackend), func() { n.postTo(run, r) })
	})
}

// The caches of checkpoints, as parts of the memory for artifacts.
const (
	hostMemory = 1
	hostDisk   = 4
)

// cacheLevel returns where a checkpoint is cached: what was loaded last stays
// in the host's memory as far as it fits, then on its disk.
func (s *Server) cacheLevel(a id.Artifact) message.CacheLevel {
	var sum int64
	for _, c := range s.recent {
		sum += s.fleet.Config.Artifacts[c].Bytes
		if c != a {
			continue
		}
		switch {
		case sum <= hostMemory*s.Group.MemoryBytes:
			return message.CacheMemory
		case sum <= (hostMemory+hostDisk)*s.Group.MemoryBytes:
			return message.CacheDisk
		}
		return message.CacheRemote
	}
	return message.CacheRemote
}

// Report is the engine's own report.
func (s *Server) Report() message.Report {
	r := message.Report{
		Fencing: s.fencing, Bytes: s.Group.MemoryBytes, Running: len(s.runs), Leaving: s.leaving,
		BootID: fmt.Sprintf("%s#%d", s.Name, s.boot),
	}
	for _, a := range slices.Sorted(maps.Keys(s.held)) {
		h := s.held[a]
		idle := time.Duration(0)
		if h.running == 0 && h.state == message.Loaded {
			idle = s.fleet.now.Sub(h.lastUse)
		}
		r.Held = append(r.Held, message.HeldArtifact{
			Artifact: a, State: h.state, Order: h.order, Bytes: h.bytes, Running: h.running, Idle: idle, Uses: h.uses,
		})
	}
	for _, a := range slices.Sorted(slices.Values(s.recent)) {
		if level := s.cacheLevel(a); level != message.CacheRemote {
			r.Cached = append(r.Cached, message.CachedArtifact{Artifact: a, Level: level})
		}
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
