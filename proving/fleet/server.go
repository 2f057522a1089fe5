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

// Server simulates a backend server: a model engine or a plain service.
type Server struct {
	fleet *Fleet
	Name  id.Backend
	Zone  id.Zone
	Group config.Group

	// LostOrderRate, DelayedOrderRate and LostReplyRate are the shares of orders
	// that are lost, that are executed up to MaxOrderDelay late, and that are
	// executed but whose reply is lost.
	LostOrderRate, DelayedOrderRate, LostReplyRate float64
	MaxOrderDelay                                  time.Duration
	// CrashAfterRuns is the number of next runs of a plain service after which
	// it crashes without a response.
	CrashAfterRuns int
	// DuplicateOrderRate is the share of orders that are executed twice, the
	// second time up to MaxOrderDelay later.
	DuplicateOrderRate float64
	// ExecutesRefused makes an engine faulty: it runs requests that it reports
	// as refused.
	ExecutesRefused bool
	// LeaksMemory makes an engine faulty: unloading frees no memory, and its
	// report does not show that.
	LeaksMemory bool
	leakedBytes int64

	artifacts       map[id.Artifact]*heldArtifact
	recentlyLoaded  []id.Artifact // checkpoints in the order of their latest load, the latest first
	fencing         id.Fencing
	bootCount       int
	down            bool
	leaving         bool
	listedAsLeaving bool
	leavingSince    clock.Time
	lastOfferDelay  time.Duration // time from leavingSince to the latest offer of work
	maxOrderFencing id.Fencing    // largest fencing number of all orders sent to it
	lastOrderSender id.Instance   // instance that sent the order with maxOrderFencing
	removed         bool
	running         map[*attempt]bool

	Crashes  int
	Loads    int
	idleTime time.Duration // idle time of loaded artifacts, weighted by their share of the memory
}

// heldArtifact is an artifact in the memory of an engine.
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
	// leaveListDelay is the time after which the instance list shows that a
	// server leaves.
	leaveListDelay = 3 * time.Second
	// Load times from a cache, relative to those from the weight store.
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

// HasLoaded reports whether an artifact is loaded on the server.
func (s *Server) HasLoaded(a id.Artifact) bool {
	h := s.artifacts[a]
	return h != nil && h.state == message.Loaded
}

// Crash ends all attempts and drops all artifacts. The server restarts a while
// later.
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

// Reclaim removes the server from the fleet without notice.
func (s *Server) Reclaim() {
	s.Crash()
	s.removed = true
}

// Leave makes the server leave: it refuses requests from now on, and the
// instance list shows it later.
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

// usedBytes returns the used memory, with what was leaked.
func (s *Server) usedBytes() int64 {
	n := s.leakedBytes
	for _, h := range s.artifacts {
		n += h.bytes
	}
	return n
}

// sendOrder sends an order to an engine, with injected faults. An order whose
// NotAfter has passed is not sent.
func (n *Node) sendOrder(e event.OrderBackend) {
	f, instanceID := n.fleet, n.ID
	s := f.serverNamed(e.Backend)
	if s == nil {
		return
	}
	s.checkOrderSender(n, e)
	reply := func(r event.OrderResult) {
		n.postToRun(instanceID, event.OrderAnswered{Backend: e.Backend, Order: e.Order, Result: r})
	}
	if n.clock() > e.NotAfter {
		f.schedule(0, func() { reply(event.OrderUnknown) })
		return
	}
	roll := f.random.Float64()
	d := f.jitter(backendLatency)
	if s.DelayedOrderRate > 0 && f.random.Float64() < s.DelayedOrderRate {
		d += time.Duration(f.random.Int64N(int64(max(s.MaxOrderDelay, 1))))
		f.schedule(time.Second, func() { reply(event.OrderUnknown) })
		f.schedule(d, func() { s.executeOrder(e) })
		return
	}
	if roll < s.LostOrderRate {
		f.schedule(time.Second, func() { reply(event.OrderUnknown) })
		return
	}
	if s.DuplicateOrderRate > 0 && f.random.Float64() < s.DuplicateOrderRate {
		f.schedule(d+time.Duration(f.random.Int64N(int64(max(s.MaxOrderDelay, 1)))), func() { s.executeOrder(e) })
	}
	f.schedule(d, func() {
		r := s.executeOrder(e)
		if roll < s.LostOrderRate+s.LostReplyRate {
			f.schedule(time.Second, func() { reply(event.OrderUnknown) })
			return
		}
		f.schedule(f.jitter(backendLatency), func() { reply(r) })
	})
}

// checkOrderSender checks that an instance sends no order to a server after
// another instance with a larger fencing number, which has taken the server
// over, has sent one.
func (s *Server) checkOrderSender(n *Node, e event.OrderBackend) {
	if e.Fencing < s.maxOrderFencing && n.ID != s.lastOrderSender {
		s.fleet.addViolation("%s sent %s an order with fencing number %d after %s had sent one with %d", n.ID, s.Name, e.Fencing, s.lastOrderSender, s.maxOrderFencing)
	}
	if e.Fencing >= s.maxOrderFencing {
		s.maxOrderFencing, s.lastOrderSender = e.Fencing, n.ID
	}
}

// recordOffer records that work was offered to a server that is leaving.
func (s *Server) recordOffer() { s.lastOfferDelay = s.fleet.now.Sub(s.leavingSince) }

// executeOrder executes an order on the engine.
func (s *Server) executeOrder(e event.OrderBackend) event.OrderResult {
	s.fleet.trace("%s executes %s %s %s fencing %d", s.Name, e.Kind, e.Artifact, e.Order, e.Fencing)
	if s.down {
		return event.OrderUnknown
	}
	if s.Group.ChecksFencing && !s.fleet.IgnoreFencing {
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
		s.recordOffer()
	}
	if !ok || s.leaving {
		return event.OrderRefused
	}
	if _, held := s.artifacts[e.Artifact]; held {
		return event.OrderAccepted
	}
	if used := s.usedBytes(); used+a.Bytes > s.Group.MemoryBytes {
		f.addViolation("%s: loading %s would use %d of %d bytes", s.Name, e.Artifact, used+a.Bytes, s.Group.MemoryBytes)
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

// checkReplicaCount checks that the engines of a zone hold no more replicas of
// an artifact than the configuration allows. Replicas on leaving engines are not
// counted: their places in the table are given up at the first sign that the
// engine leaves, because it takes no new work, and the model is placed elsewhere
// at once. If that had to wait for the last response of the leaving engine,
// callers would be without the model for minutes. TestLeavingEngine/0 fails if
// such replicas are counted.
func (f *Fleet) checkReplicaCount(z id.Zone, a config.Artifact) {
	n := 0
	for _, s := range f.Servers {
		if h := s.artifacts[a.Name]; s.Zone == z && !s.leaving && h != nil && h.state != message.Unloading {
			n++
		}
	}
	if n > a.MaxReplicas {
		f.addViolation("%d replicas of %s in %s, allowed are at most %d", n, a.Name, z, a.MaxReplicas)
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

// freeIfUnused frees an artifact that is being unloaded once no request uses it.
func (s *Server) freeIfUnused(a id.Artifact) {
	if h := s.artifacts[a]; h != nil && h.state == message.Unloading && h.running == 0 {
		if s.LeaksMemory {
			s.leakedBytes += h.bytes
		}
		delete(s.artifacts, a)
	}
}

// addIdleTime adds the idle time of an artifact up to now, weighted by its share
// of the memory: an artifact that takes a quarter of the memory keeps a quarter
// of the accelerator idle.
func (s *Server) addIdleTime(h *heldArtifact) {
	if h.state == message.Loaded && h.running == 0 {
		share := float64(h.bytes) / float64(s.Group.MemoryBytes)
		s.idleTime += time.Duration(share * float64(s.fleet.now.Sub(max(h.lastUsedAt, h.loadedAt))))
		h.lastUsedAt = s.fleet.now
	}
}

// addAllIdleTime adds the idle times of all artifacts up to now.
func (s *Server) addAllIdleTime() {
	for _, h := range s.artifacts {
		s.addIdleTime(h)
	}
}

// fetchReport fetches the report of an engine.
func (n *Node) fetchReport(e event.FetchReport) {
	f, instanceID, requestedAt := n.fleet, n.ID, n.clock()
	s := f.serverNamed(e.Backend)
	d := f.jitter(backendLatency)
	f.schedule(d, func() {
		r := event.BackendReport{Backend: e.Backend, RequestedAt: requestedAt}
		if s != nil && !s.down && !s.removed {
			r.OK, r.Report = true, s.Report()
		}
		f.schedule(f.jitter(backendLatency), func() { n.postToRun(instanceID, r) })
	})
}

// Sizes of the checkpoint caches, relative to the memory for artifacts.
const (
	hostMemoryFactor = 1
	hostDiskFactor   = 4
)

// cacheLevel returns where a checkpoint is cached: the latest loaded ones in the
// memory of the host as far as they fit, the next ones on its disk.
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

// Report returns the report of the engine.
func (s *Server) Report() message.Report {
	r := message.Report{
		Fencing: s.fencing, Bytes: s.Group.MemoryBytes, Running: len(s.running), Leaving: s.leaving,
		BootID: fmt.Sprintf("%s#%d", s.Name, s.bootCount),
	}
	for _, a := range slices.Sorted(maps.Keys(s.artifacts)) {
		h := s.artifacts[a]
		idle := time.Duration(0)
		if h.running == 0 && h.state == message.Loaded {
			idle = s.fleet.now.Sub(h.lastUsedAt)
		}
		r.Held = append(r.Held, message.HeldArtifact{
			Artifact: a, State: h.state, Order: h.order, Bytes: h.bytes, Running: h.running, Idle: idle, Uses: h.useCount,
		})
	}
	for _, a := range slices.Sorted(slices.Values(s.recentlyLoaded)) {
		if level := s.cacheLevel(a); level != message.CacheRemote {
			r.Cached = append(r.Cached, message.CachedArtifact{Artifact: a, Level: level})
		}
	}
	return r
}

// WeightStore simulates the store of model weights. Loads start at a limited
// rate, and slow down when too many run at the same time.
type WeightStore struct {
	fleet          *Fleet
	SlowdownFactor float64 // multiplies load times; values below 1 have no effect
	nextStart      clock.Time
	modelLoads     int
	adapterLoads   int
	LoadsStarted   int
}

func newWeightStore(f *Fleet) *WeightStore { return &WeightStore{fleet: f} }

// load calls done once an artifact is loaded. The slowdown by concurrent loads
// is computed once, at the start of the load, which is accurate enough here.
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
