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
	LostOrderRate, DelayedOrderRate, LostReplyRate float64
	MaxOrderDelay                                  time.Duration
	// DieAfterRun counts the next runs of a plain service after which it dies
	// without an answer.
	CrashAfterRuns int
	// DoubleOrders is the share of orders that are carried out twice, the
	// second time up to LateBy later.
	DuplicateOrderRate float64
	// RunsRefused makes it a broken engine that runs what it says it refused.
	ExecutesRefused bool
	// Keeps makes it a broken engine that frees no memory, and doesn't say so.
	LeaksMemory bool
	leakedBytes int64

	artifacts       map[id.Artifact]*heldArtifact
	recentlyLoaded  []id.Artifact // checkpoints loaded before, the newest first
	fencing         id.Fencing
	bootCount       int
	down            bool
	leaving         bool
	listedAsLeaving bool
	leavingSince    clock.Time
	lastOfferDelay  time.Duration // the latest offer of work, since leftAt
	maxOrderFencing id.Fencing    // the largest number sent in an order
	lastOrderSender id.Instance   // that sent it
	removed         bool
	running         map[*attempt]bool

	Crashes  int
	Loads    int
	idleTime time.Duration // idle time of loaded artifacts, each by its share of the memory
}

// holding is an artifact on an engine.
type heldArtifact struct {
	order      id.Order
	state      message.LoadState
	bytes      int64
	running    int
	lastUsedAt clock.Time
	loadedAt   clock.Time
	useCount   uint64
	bootCount  int
}

const (
	crashRestartDelay = 2 * time.Second
	// leaveListed is when the instance list shows that a server leaves.
	leaveListDelay = 3 * time.Second
	// memoryFactor and diskFactor speed up a load from a cache.
	memoryCacheFactor = 0.1
	diskCacheFactor   = 0.3
)

func (f *Fleet) addServers() {
	groups := slices.SortedFunc(maps.Values(f.Config.Groups), func(a, b config.Group) int { return cmp.Compare(a.Name, b.Name) })
	for _, z := range f.zones {
		for _, g := range groups {
			count, kind := f.EnginesPerZone, "engine"
			if g.Kind == config.GroupServices {
				count, kind = f.ServicesPerZone, "service"
			}
			for n := range count {
				s := &Server{
					fleet: f, Name: id.Backend(fmt.Sprintf("%s-%s-%s-%d", z, g.Name, kind, n+1)), Zone: z, Group: g,
					artifacts: make(map[id.Artifact]*heldArtifact), running: make(map[*attempt]bool),
				}
				f.Servers = append(f.Servers, s)
				f.serverByName[s.Name] = s
			}
		}
	}
}

func (f *Fleet) serverNamed(b id.Backend) *Server { return f.serverByName[b] }

// HasLoaded reports whether an artifact is loaded there.
func (s *Server) HasLoaded(a id.Artifact) bool {
	h := s.artifacts[a]
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
	s.bootCount++
	s.addAllIdleTime()
	clear(s.artifacts)
	for _, r := range s.sortedAttempts() {
		r.fail(event.AttemptCrashed)
	}
	s.fleet.schedule(crashRestartDelay, func() { s.down = s.removed })
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
	s.leaving, s.leavingSince = true, s.fleet.now
	s.fleet.schedule(leaveListDelay, func() { s.listedAsLeaving = true })
}

func (s *Server) sortedAttempts() []*attempt {
	return slices.SortedFunc(maps.Keys(s.running), func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
}

func (s *Server) usedBytes() int64 {
	n := s.leakedBytes
	for _, h := range s.artifacts {
		n += h.bytes
	}
	return n
}

func (n *Node) sendOrder(e event.OrderBackend) {
	f, run := n.fleet, n.ID
	s := f.serverNamed(e.Backend)
	if s == nil {
		return
	}
	s.checkOrderSender(n, e)
	answer := func(r event.OrderResult) {
		n.postToRun(run, event.OrderAnswered{Backend: e.Backend, Order: e.Order, Result: r})
	}
	if n.clock() > e.NotAfter {
		f.schedule(0, func() { answer(event.OrderUnknown) })
		return
	}
	lost := f.random.Float64()
	d := f.jitter(backendLatency)
	if s.DelayedOrderRate > 0 && f.random.Float64() < s.DelayedOrderRate {
		d += time.Duration(f.random.Int64N(int64(max(s.MaxOrderDelay, 1))))
		f.schedule(time.Second, func() { answer(event.OrderUnknown) })
		f.schedule(d, func() { s.executeOrder(e) })
		return
	}
	if lost < s.LostOrderRate {
		f.schedule(time.Second, func() { answer(event.OrderUnknown) })
		return
	}
	if s.DuplicateOrderRate > 0 && f.random.Float64() < s.DuplicateOrderRate {
		f.schedule(d+time.Duration(f.random.Int64N(int64(max(s.MaxOrderDelay, 1)))), func() { s.executeOrder(e) })
	}
	f.schedule(d, func() {
		r := s.executeOrder(e)
		if lost < s.LostOrderRate+s.LostReplyRate {
			f.schedule(time.Second, func() { answer(event.OrderUnknown) })
			return
		}
		f.schedule(f.jitter(backendLatency), func() { answer(r) })
	})
}

// checkOrderer checks that an instance sends no order to a server after another
// one that took the server over has sent one.
func (s *Server) checkOrderSender(n *Node, e event.OrderBackend) {
	if e.Fencing < s.maxOrderFencing && n.ID != s.lastOrderSender {
		s.fleet.addViolation("%s sent %s an order with fencing number %d, %s one with %d before", n.ID, s.Name, e.Fencing, s.lastOrderSender, s.maxOrderFencing)
	}
	if e.Fencing >= s.maxOrderFencing {
		s.maxOrderFencing, s.lastOrderSender = e.Fencing, n.ID
	}
}

// noteOffer notes that work was offered to a leaving server.
func (s *Server) recordOffer() { s.lastOfferDelay = s.fleet.now.Sub(s.leavingSince) }

// carryOut is an order as the engine takes it.
func (s *Server) executeOrder(e event.OrderBackend) event.OrderResult {
	s.fleet.trace("%s carries out %s %s %s fencing %d", s.Name, e.Kind, e.Artifact, e.Order, e.Fencing)
	if s.down {
		return event.OrderUnknown
	}
	if s.Group.ChecksFencing && !s.fleet.IgnoreFencing {
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
	if s.leaving {
		s.recordOffer()
	}
	if !ok || s.leaving {
		return event.OrderRefused
	}
	if _, there := s.artifacts[e.Artifact]; there {
		return event.OrderAccepted
	}
	if used := s.usedBytes(); used+a.Bytes > s.Group.MemoryBytes {
		f.addViolation("%s: ordered to load %s into %d of %d bytes", s.Name, e.Artifact, used+a.Bytes, s.Group.MemoryBytes)
		return event.OrderRefused
	}
	h := &heldArtifact{order: e.Order, state: message.Loading, bytes: a.Bytes, bootCount: s.bootCount}
	s.artifacts[e.Artifact] = h
	s.Loads++
	f.checkReplicaCount(s.Zone, a)
	factor := 1.0
	switch s.cacheLevel(e.Artifact) {
	case message.CacheMemory:
		factor = memoryCacheFactor
	case message.CacheDisk:
		factor = diskCacheFactor
	}
	f.WeightStore.load(a, factor, func() {
		if s.artifacts[e.Artifact] == h && s.bootCount == h.bootCount && h.state == message.Loading {
			h.state, h.lastUsedAt, h.loadedAt = message.Loaded, f.now, f.now
			s.recentlyLoaded = append([]id.Artifact{e.Artifact}, slices.DeleteFunc(s.recentlyLoaded, func(old id.Artifact) bool { return old == e.Artifact })...)
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
func (f *Fleet) checkReplicaCount(z id.Zone, a config.Artifact) {
	n := 0
	for _, s := range f.Servers {
		if h := s.artifacts[a.Name]; s.Zone == z && !s.leaving && h != nil && h.state != message.Unloading {
			n++
		}
	}
	if n > a.MaxReplicas {
		f.addViolation("%d replicas of %s in %s, at most %d may be decided", n, a.Name, z, a.MaxReplicas)
	}
}

func (s *Server) unload(a id.Artifact) {
	h := s.artifacts[a]
	if h == nil {
		return
	}
	s.addIdleTime(h)
	h.state = message.Unloading
	s.freeIfUnused(a)
}

func (s *Server) freeIfUnused(a id.Artifact) {
	if h := s.artifacts[a]; h != nil && h.state == message.Unloading && h.running == 0 {
		if s.LeaksMemory {
			s.leakedBytes += h.bytes
		}
		delete(s.artifacts, a)
	}
}

// noteIdleOf adds the idle time of an artifact up to now: an artifact that
// takes a quarter of the memory keeps a quarter of the accelerator idle.
func (s *Server) addIdleTime(h *heldArtifact) {
	if h.state == message.Loaded && h.running == 0 {
		share := float64(h.bytes) / float64(s.Group.MemoryBytes)
		s.idleTime += time.Duration(share * float64(s.fleet.now.Sub(max(h.lastUsedAt, h.loadedAt))))
		h.lastUsedAt = s.fleet.now
	}
}

func (s *Server) addAllIdleTime() {
	for _, h := range s.artifacts {
		s.addIdleTime(h)
	}
}

func (n *Node) fetchReport(e event.AskReport) {
	f, run, asked := n.fleet, n.ID, n.clock()
	s := f.serverNamed(e.Backend)
	d := f.jitter(backendLatency)
	f.schedule(d, func() {
		r := event.BackendReport{Backend: e.Backend, Asked: asked}
		if s != nil && !s.down && !s.removed {
			r.OK, r.Report = true, s.Report()
		}
		f.schedule(f.jitter(backendLatency), func() { n.postToRun(run, r) })
	})
}

// The caches of checkpoints, as parts of the memory for artifacts.
const (
	hostMemoryFactor = 1
	hostDiskFactor   = 4
)

// cacheLevel returns where a checkpoint is cached: what was loaded last stays
// in the host's memory as far as it fits, then on its disk.
func (s *Server) cacheLevel(a id.Artifact) message.CacheLevel {
	var sum int64
	for _, c := range s.recentlyLoaded {
		sum += s.fleet.Config.Artifacts[c].Bytes
		if c != a {
			continue
		}
		switch {
		case sum <= hostMemoryFactor*s.Group.MemoryBytes:
			return message.CacheMemory
		case sum <= (hostMemoryFactor+hostDiskFactor)*s.Group.MemoryBytes:
			return message.CacheDisk
		}
		return message.CacheRemote
	}
	return message.CacheRemote
}

// Report is the engine's own report.
func (s *Server) Report() message.Report {
	r := message.Report{
		Fencing: s.fencing, Bytes: s.Group.MemoryBytes, Running: len(s.running), Leaving: s.leaving,
		Boot: fmt.Sprintf("%s#%d", s.Name, s.bootCount),
	}
	for _, a := range slices.Sorted(maps.Keys(s.artifacts)) {
		h := s.artifacts[a]
		idle := time.Duration(0)
		if h.running == 0 && h.state == message.Loaded {
			idle = s.fleet.now.Sub(h.lastUsedAt)
		}
		r.Held = append(r.Held, message.Held{
			Artifact: a, State: h.state, Order: h.order, Bytes: h.bytes, Running: h.running, Idle: idle, Uses: h.useCount,
		})
	}
	for _, a := range slices.Sorted(slices.Values(s.recentlyLoaded)) {
		if level := s.cacheLevel(a); level != message.CacheRemote {
			r.Cached = append(r.Cached, message.Cached{Artifact: a, Level: level})
		}
	}
	return r
}

// WeightStore is the fake of the store of the checkpoints: loads start at a
// bounded rate, and share its speed beyond a number at once.
type WeightStore struct {
	fleet          *Fleet
	SlowdownFactor float64 // divides the speed; 0: 1
	nextStart      clock.Time
	modelLoads     int
	adapterLoads   int
	LoadsStarted   int
}

func newWeightStore(f *Fleet) *WeightStore { return &WeightStore{fleet: f} }

// load takes the time of a load and calls done. Sharing is worked out at the
// start of a load, which is close enough for its users.
func (w *WeightStore) load(a config.Artifact, factor float64, done func()) {
	f := w.fleet
	w.LoadsStarted++
	if factor < 1 {
		f.schedule(time.Duration(float64(a.LoadTime)*factor), done)
		return
	}
	start := max(f.now, w.nextStart)
	w.nextStart = start.Add(time.Duration(float64(time.Second) / f.Config.Fleet.LoadsPerSecond))
	count, limit := &w.modelLoads, f.Config.Fleet.LoadsAtOnce
	if a.Name.IsAdapter() {
		count, limit = &w.adapterLoads, f.Config.Fleet.AdaptersInTransit
	}
	f.schedule(start.Sub(f.now), func() {
		*count++
		slow := max(1, float64(*count)/float64(limit)) * max(1, w.SlowdownFactor)
		f.schedule(time.Duration(float64(a.LoadTime)*slow), func() {
			*count--
			done()
		})
	})
}
