// Package gateway implements an entry instance for platforms that have a protocol of
// their own: it accepts callers' requests, forwards each to a backend server, and
// carries out the decisions of core/gateway. It is independent of any platform;
// package ports lists what it needs from one.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/budget"
	"oleanderdale.org/core/gateway/catalog"
	"oleanderdale.org/core/gateway/configsync"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/dispatch"
	"oleanderdale.org/core/gateway/evacuation"
	"oleanderdale.org/core/gateway/grace"
	"oleanderdale.org/core/gateway/lag"
	"oleanderdale.org/core/gateway/lapse"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/origin"
	"oleanderdale.org/core/gateway/outlook"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/core/gateway/poison"
	"oleanderdale.org/core/gateway/quota"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/oleander/connection/rawhttp"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

// Settings configures a Gateway.
type Settings struct {
	Name string
	Zone string
	// Regions maps each zone to its region; nil means that all zones share one.
	Regions          map[string]string
	CallerAddress    string // listens for callers
	ReadinessAddress string // listens for the load balancer's readiness probes
	PeerAddress      string // listens for other instances (TCP and UDP) and serves the metrics
	// GracePeriod is the time from the stop signal until the process is killed.
	GracePeriod time.Duration
	// FirstStart says that all instances start for the first time, so that no engine has got orders.
	FirstStart bool
	// Strength is the relative CPU capacity of the machine. It ranks the candidates
	// for the leases: a holder has more work than other instances and must finish it
	// in time.
	Strength int
	// MaxDrainDelay is the time within which all instances must know that a backend
	// server drains.
	MaxDrainDelay time.Duration
	// MaxEvacuationDelay is the time after which nothing may be sent to an evacuated
	// zone.
	MaxEvacuationDelay time.Duration
	// A cold server survives at most ColdRateFactor times its cold rate plus
	// ColdRateSlack requests in one second.
	ColdRateFactor, ColdRateSlack float64
	// OrderQuietPeriod is the time without orders between two holders of a lease.
	OrderQuietPeriod time.Duration
	RetryBudget      budget.Settings
	// LoadScheduling says whether requests are scheduled by due time, account and measured
	// work. Auto follows the configuration (manifest.Manifest.SchedulesLoad).
	LoadScheduling Switch
	// MemoryBound is the most bytes of bodies and responses held at a time, ConnectionMemory that of
	// connections and heads; 0 means no bound on either.
	MemoryBound, ConnectionMemory int64
	// CutSlowReaders says that a caller has slowReaderTimeout to read a part of a response. Otherwise
	// it is cut off when others need the memory or the connection.
	CutSlowReaders bool
	// ServersFailOnLoad says that backend servers fail if they get too many bytes at a time.
	ServersFailOnLoad bool
	// RefuseWhenLate says whether connections are refused while this instance is late and most others
	// are not. Instances in one process are late together.
	RefuseWhenLate bool
	// LinkBytesPerSecond is the rate of the machine's link in each direction, and
	// MaxCallerConnections how many connections of callers are kept open; 0 means no bound.
	LinkBytesPerSecond   float64
	MaxCallerConnections int
	// DroppedLogLines returns how many log lines were dropped so far; it may be nil.
	DroppedLogLines func() int64
}

// Switch turns a feature on or off.
type Switch int

// States of a Switch.
const (
	Auto Switch = iota // as the configuration or the platform's settings call for it
	On
	Off
)

// ParseSwitch parses "auto", "on" or "off"; "" is Auto.
func ParseSwitch(text string) (Switch, error) {
	switch text {
	case "", "auto":
		return Auto, nil
	case "on":
		return On, nil
	case "off":
		return Off, nil
	}
	return Auto, errors.Errorf("%q is not one of auto, on, off", text)
}

// Resolve returns whether the feature is on; auto decides in the state Auto.
func (s Switch) Resolve(auto bool) bool { return s == On || s == Auto && auto }

const (
	// With leaseTerm and leaseRenewInterval a dead holder is replaced within a few
	// seconds, at 2.5 writes per second for the whole fleet.
	leaseTerm          = 1200 * time.Millisecond
	leaseRenewInterval = 400 * time.Millisecond
	leaseDriftMargin   = 300 * time.Millisecond
	// holderTimeout is the silence of the holder after which other instances check
	// its lease row: three missed heartbeats.
	holderTimeout = 700 * time.Millisecond
	// promiseDuration is how long an instance that heard the holder does not try to
	// take its lease. Without the store, the holder keeps its lease as long as all
	// voters hear it within this time; their heartbeats are up to 0.7 s apart.
	promiseDuration = time.Second
	// zoneLeaseTerm and zoneLeaseRenewInterval apply to the leases of the zones.
	// Their rows are written less often, since a zone's holder can also
	// extend its lease by the acknowledgments of its zone.
	zoneLeaseTerm          = 1500 * time.Millisecond
	zoneLeaseRenewInterval = 600 * time.Millisecond
	// zoneTimeout is the time without heartbeats of any instance of a zone after
	// which the zone counts as cut off. It is two heartbeats of a small fleet; in a
	// large fleet a zone has many instances.
	zoneTimeout = time.Second
	// maxLeaseExtension is how long a holder can keep its lease without the store,
	// longer than most outages. Instances that are not voters wait equally long after
	// the holder died.
	maxLeaseExtension = 10 * time.Second
	// orderTransitTime is added to the quiet period for orders still in transit when
	// the lease of their sender ends.
	orderTransitTime = 250 * time.Millisecond
	// dialTimeout bounds connecting to a backend server, which takes about 1 ms. A
	// server that is cut off does not answer at all.
	dialTimeout = 400 * time.Millisecond
	// maxBodyBytes bounds a request body if the configuration sets no limit.
	maxBodyBytes = 4 << 20
)

// Gateway is one entry instance.
type Gateway struct {
	settings    Settings
	incarnation uint64
	started     clock.Time
	log         zerolog.Logger
	store       ports.Store
	engines     ports.Engines
	dialect     ports.Dialect
	pool        *rawhttp.Pool
	peers       *peerTransport
	metrics     *instruments
	memory      *memory // nil without a bound
	// bufferedBytes is what is held of responses without it.
	bufferedBytes atomic.Int64
	storeWatches  storeWatches
	links         *serverLinks
	callerConns   atomic.Int64 // open connections of callers
	intake        callerIntake

	manifest       atomic.Pointer[manifest.Manifest]
	packedManifest atomic.Pointer[packedManifest] // current manifest, as stored
	// configConfirmedAt is the clock.Time at which the current manifest was last
	// known to be the newest.
	configConfirmedAt atomic.Int64
	stopping          atomic.Bool
	grace             atomic.Pointer[grace.Period] // nil until it stops
	activeRequests    atomic.Int64                 // requests being served
	housekeepNow      chan struct{}
	reregister        chan struct{} // signals that the store may have lost this instance's row
	fetchingManifest  atomic.Bool
	watchingStore     atomic.Bool // waits at the store for configuration changes
	// refuseQueued is closed shortly before a stopping process is killed.
	refuseQueued chan struct{}
	// serving is the context of all requests. It ends with errStopped shortly before the process does.
	serving    context.Context
	endServing context.CancelCauseFunc
	ctx        context.Context
	cancel     context.CancelFunc

	mu              sync.Mutex
	lag             lag.Meter
	servers         *directory.Directory
	members         *members.Set
	configSync      *configsync.Sync
	dispatcher      servedQueues // of the fleet, while this instance is the dispatcher
	ownQueues       servedQueues // of this instance, while no dispatcher answers
	dispatchClient  *dispatch.Client
	pendingQueries  map[uint64]*pendingQuery // dispatch requests of this instance, by number
	limiter         *quota.Limiter
	quotaWaiters    map[uint64]chan quota.Outcome // waiting quota requests, by number
	quotaTimer      *time.Timer                   // fires when the quota limiter has to act next
	retryBudget     *budget.Budget
	poison          *poison.Detector
	tellingCrashes  bool // tellCrashes is due
	checkingLife    bool // checkLife is due
	crashRecords    crashRecords
	probes          *poison.Probes // of requests on probation, on which this instance decides
	probeWaits      map[uint64]chan poison.ProbeAnswer
	probeNumber     uint64
	origins         *origin.Book                    // of streams
	originWaits     map[origin.Stream][]*originWait // requests that wait for the origin of a stream
	mixedGroups     map[string]bool                 // groups with servers of several versions
	softwareSeenAt  clock.Time                      // last update of mixedGroups
	softwareHash    uint64                          // as of that update; 0 until all servers were read
	fleetLease      *leader.Lease                   // its holder plans for the fleet, dispatches requests and publishes the servers
	zoneLease       *leader.Lease                   // its holder sends the orders to the engines of this zone
	zoneHolders     map[string]zoneHolder
	forwardedOrders forwardedOrders // orders that other instances were asked to send
	reports         reportQueue
	planScope       placer.Scope // scope of the last plan
	plannedAt       clock.Time   // time of the last plan
	placer          *placer.Placer
	outlook         *outlook.Tracker[placer.Key]
	localDemand     map[placer.Key]placer.Demand // models that requests of this instance wait for
	expectedRetries map[placer.Key]expectedRetry
	arrivalCounts   map[string]arrivalCount // by model
	peerStates      map[string]*peerState
	stateChanged    chan struct{} // closed when waiting requests should check again
	fleetHolder     fleetHolder
	heartbeatDue    bool     // send a heartbeat at once: a lease was renewed, or other state must be announced
	relayTurn       int      // number of broadcasts, rotates the relays
	relayQueue      [][]byte // packets to relay within this zone
	peersRead       bool     // the rows of the instances were read
	peersReadEra    int64    // era of the store known before they were last read
	// serversReadFencing is the fencing number of the holder known when the servers
	// were last read from the store.
	serversReadFencing int64
	// serverListFencing is the fencing number of the holder that last sent the
	// complete list of servers. holderPublishedAt is when a publishing holder was
	// last heard; it starts as the time of the first reading of the servers.
	serverListFencing int64
	holderPublishedAt clock.Time
	// serversReadAt is when the store last answered a call for the servers.
	serversReadAt       clock.Time
	storeAnsweredAt     clock.Time        // last answer of the store to any call
	watchingServers     bool              // a call waits at the store for changes of the servers
	serversRevision     revision.Revision // revision of the store at that answer
	serversComplete     bool              // all entries were read once
	serversDoubtful     bool              // entries were dropped that the store may have
	serversOffered      bool              // the servers are complete as of serversRevision
	serversPartial      *serversRead      // read in progress whose pages are offered; nil: none
	serversSource       catalog.Source
	serversSnapshot     *serversSnapshot // for other instances
	storeFailedAt       clock.Time       // last failed call to the store
	storeWasUnreachable bool             // result of storeUnreachable in the previous round
	removedServers      map[string]removedServer
	lapse               *lapse.Tracker
	publisher           serverPublisher
	evacuations         *evacuation.Set
	storeEra            storeEra
	feedbackLog         feedbackLog
	feedbackHeardAt     map[string]clock.Time // last response with feedback to this instance, by server
	loadScheduling      bool                  // in force with the current configuration
	pacesToldAt         clock.Time            // last message about paces to other instances
}

// fleetHolder describes the holder of the fleet lease as its heartbeats do.
type fleetHolder struct {
	name        string
	fencing     int64
	rowVersion  int64 // version of the lease row that it last wrote
	heardAt     clock.Time
	publishedAt clock.Time // last message about the backend servers
	// storeUnreachable: its own calls to the store fail. serversStale: it does not
	// see backend servers come and go.
	storeUnreachable bool
	serversStale     bool
}

// peerState is what the last messages of another instance said.
type peerState struct {
	incarnation      uint64
	noHeartbeat      bool // no heartbeat of this incarnation was received
	arrivalCounts    map[string]uint64
	demand           []demandMsg
	heardAt          clock.Time
	storeUnreachable bool
	links            linksMsg
	late             bool   // it does not keep up with what it receives
	versions         uint64 // see Directory.SoftwareHash; 0: not told
}

// removedServer is a backend server that is gone.
type removedServer struct {
	incarnation int64
	removedAt   clock.Time
	// goneRevision is the store revision up to which the server is known to be gone.
	// An entry written later means that it is back.
	goneRevision revision.Revision
}

// arrivalCount counts the requests for a model since the process started.
type arrivalCount struct {
	count  uint64
	lastAt clock.Time
}

// New returns a Gateway that is not running yet.
func New(s Settings, store ports.Store, engines ports.Engines, dialect ports.Dialect, log zerolog.Logger) (*Gateway, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, err
	}
	g := &Gateway{
		settings: s, incarnation: binary.LittleEndian.Uint64(seed[:]) >> 1, started: boottime.Now(), log: log,
		store: store, engines: engines, dialect: dialect, metrics: newMetrics(), links: newServerLinks(), intake: newCallerIntake(s),
		housekeepNow: make(chan struct{}, 1), reregister: make(chan struct{}, 1), stateChanged: make(chan struct{}), refuseQueued: make(chan struct{}),
		servers: directory.New(), members: members.New(s.Name), configSync: configsync.New(boottime.Now(), s.Name, s.Zone), quotaWaiters: make(map[uint64]chan quota.Outcome),
		retryBudget: budget.New(boottime.Now(), s.RetryBudget), poison: poison.New(), probes: poison.NewProbes(), probeWaits: make(map[uint64]chan poison.ProbeAnswer), origins: origin.NewBook(), originWaits: make(map[origin.Stream][]*originWait), mixedGroups: make(map[string]bool),
		outlook:     outlook.New[placer.Key](outlook.Settings{HolderTimeout: holderTimeout}),
		localDemand: make(map[placer.Key]placer.Demand), expectedRetries: make(map[placer.Key]expectedRetry), arrivalCounts: make(map[string]arrivalCount),
		peerStates: make(map[string]*peerState), zoneHolders: make(map[string]zoneHolder), forwardedOrders: newForwardedOrders(), lapse: lapse.New(), removedServers: make(map[string]removedServer),
		publisher: newServerPublisher(), evacuations: evacuation.New(s.MaxEvacuationDelay), storeWatches: storeWatches{cancels: make(map[string]context.CancelFunc)},
		feedbackLog: make(feedbackLog), feedbackHeardAt: make(map[string]clock.Time),
	}
	g.memory = newMemory(s, g.metrics.evicted, log)
	g.servers.SetRegions(s.Regions)
	g.dispatcher.Dispatcher, g.ownQueues.Dispatcher = dispatch.New(s.Name, g.servers), dispatch.NewLocal(s.Name, g.servers)
	g.dispatchClient, g.pendingQueries = dispatch.NewClient(), make(map[uint64]*pendingQuery)
	g.limiter = quota.New(quota.Settings{
		Self: s.Name, Zone: s.Zone, Strength: s.Strength, Incarnation: g.incarnation, HeartbeatInterval: heartbeatIntervalFor,
		Check: invariant.Reporting(g.reportViolation),
	}, g.members)
	g.quotaTimer = time.AfterFunc(time.Hour, func() { g.withQuota(g.limiter.Tick) })
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.serving, g.endServing = context.WithCancelCause(context.Background())
	g.pool = rawhttp.NewPool(dialTimeout, g.metrics.connections.Inc)
	g.placer = placer.New(invariant.Reporting(g.reportViolation))
	leaseSettings := leader.Settings{
		Self: machineID(s.Name, s.PeerAddress), Term: leaseTerm, RenewInterval: leaseRenewInterval, DriftMargin: leaseDriftMargin,
		HolderTimeout: holderTimeout, PromiseDuration: promiseDuration, MaxExtension: maxLeaseExtension,
	}
	g.fleetLease = leader.New(leaseSettings, g.incarnation, boottime.Now())
	leaseSettings.Term, leaseSettings.RenewInterval, leaseSettings.QuietPeriod = zoneLeaseTerm, zoneLeaseRenewInterval, s.OrderQuietPeriod+orderTransitTime
	g.zoneLease = leader.New(leaseSettings, g.incarnation, boottime.Now())
	g.placer.SetReachability(g.zoneReachability)
	return g, nil
}

// machineID identifies the machine of an instance in a lease row. A replacement
// instance has the same name but another address.
func machineID(name, address string) string { return name + "@" + address }

func (g *Gateway) reportViolation(v invariant.Violation) {
	g.metrics.violation(v.Name).Inc()
	g.log.Error().Str("invariant", v.Name).Str("detail", v.Detail).Msg("core: invariant violated")
}

// wakeWaiting makes waiting requests check again. The caller holds mu.
func (g *Gateway) wakeWaiting() {
	close(g.stateChanged)
	g.stateChanged = make(chan struct{})
}

// triggerHousekeeping starts a round of housekeeping at once.
func (g *Gateway) triggerHousekeeping() {
	select {
	case g.housekeepNow <- struct{}{}:
	default:
	}
}
