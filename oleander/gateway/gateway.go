// Package gateway is the entry instance on machines whose platform speaks its
// own protocol: it takes callers' requests, forwards each to a backend server,
// and carries out what the deciders of core/gateway decide. It knows no name of
// any platform; what it needs of one stands in package ports.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/budget"
	"oleanderdale.org/core/gateway/configsync"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/dispatch"
	"oleanderdale.org/core/gateway/evacuation"
	"oleanderdale.org/core/gateway/lapse"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/members"
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

// Settings of a Gateway.
type Settings struct {
	Name string
	Zone string
	// Regions are the regions of all zones; nil: there is one.
	Regions          map[string]string
	CallerAddress    string // address for callers
	ReadinessAddress string // address for the balancer's question
	PeerAddress      string // address for other instances, TCP and UDP; metrics too
	// GracePeriod is the time from the signal to stop until the process is killed.
	GracePeriod time.Duration
	// Strength orders the candidates for the lease: the holder has more to do
	// than the others, and a machine with more of a core does it in time.
	Strength int
	// MaxDrainDelay is when a server that leaves must be known everywhere.
	MaxDrainDelay time.Duration
	// MaxEvacuationDelay is when nothing may be sent any more to an evacuated zone.
	MaxEvacuationDelay time.Duration
	// ColdRateFactor times the rate that a cold server bears, and ColdRateSlack requests more,
	// are the most that it survives in a second.
	ColdRateFactor, ColdRateSlack float64
	// OrderQuietPeriod is the time without orders between two holders of the lease.
	OrderQuietPeriod time.Duration
	RetryBudget      budget.Settings
	// DroppedLogLines returns how many log lines were left out so far; nil: none.
	DroppedLogLines func() int64
}

const (
	// leaseTerm and leaseRenew: a holder that dies is replaced within some
	// seconds, at two and a half writes a second for the whole fleet.
	leaseTerm          = 1200 * time.Millisecond
	leaseRenewInterval = 400 * time.Millisecond
	leaseMargin        = 300 * time.Millisecond
	// leaseSilence is how long the holder is not heard before others look at
	// the row: three of its messages.
	holderTimeout = 700 * time.Millisecond
	// leasePromise is how long an instance that heard the holder keeps from
	// taking over. The holder goes on without the store while it is heard so
	// often by all, and their messages are up to 0.7 s apart.
	takeoverHoldoff = time.Second
	// zoneTerm and zoneRenew are those of the zones' leases. Their holders go on by the
	// word of their zone, so the row is written more rarely.
	zoneLeaseTerm          = 1500 * time.Millisecond
	zoneLeaseRenewInterval = 600 * time.Millisecond
	// zoneSilence is how long no instance of a zone is heard until it counts as cut off:
	// two heartbeats of a small fleet, and in a large one a zone has many instances.
	zoneTimeout = time.Second
	// leaseBeyond is how long a holder goes on without the store: the outages
	// measured last up to nine seconds. Instances that are no voters wait as
	// long after a holder's death.
	storelessHoldLimit = 10 * time.Second
	// orderSlack is added to the quiet time for orders that are on their way
	// when the right of their sender ends.
	orderTransitTime = 250 * time.Millisecond
	// dialTimeout bounds connecting to a backend server, a millisecond away. A
	// server that is cut off does not answer at all.
	dialTimeout = 400 * time.Millisecond
	// maxBody bounds a body while the configuration does not.
	maxBodyBytes = 4 << 20
)

// Gateway is one entry instance.
type Gateway struct {
	settings     Settings
	incarnation  uint64
	started      clock.Time
	log          zerolog.Logger
	store        ports.Store
	engines      ports.Engines
	dialect      ports.Dialect
	pool         *rawhttp.Pool
	peers        *peerTransport
	metrics      *instruments
	storeWatches storeWatches

	manifest       atomic.Pointer[manifest.Manifest]
	packedManifest atomic.Pointer[packedManifest] // the manifest in force, as stored
	// configHeard is when the manifest in force was last known to be the
	// newest, as a clock.Time.
	configConfirmedAt atomic.Int64
	stopping          atomic.Bool
	stopStartedAt     atomic.Int64 // a clock.Time
	activeRequests    atomic.Int64 // requests being served
	housekeepNow      chan struct{}
	reregister        chan struct{} // the store may have lost this instance's row
	fetchingManifest  atomic.Bool
	watchingStore     atomic.Bool // waits at the store for changes of the configuration
	// refuseWaiting is closed when a stop is near its end.
	refuseQueued chan struct{}
	ctx          context.Context
	cancel       context.CancelFunc

	mu              sync.Mutex
	servers         *directory.Directory
	members         *members.Set
	configSync      *configsync.Sync
	dispatcher      *dispatch.Dispatcher
	dispatchClient  *dispatch.Client
	pendingAsks     map[uint64]*pendingAsk // of this instance, by number
	serveScheduled  bool                   // a look at what waits for a server is due
	quota           *quota.Meter
	quotaWaiters    map[uint64]chan quota.Outcome // requests for tokens that wait, by number
	quotaTimer      *time.Timer                   // when quota does something next
	retryBudget     *budget.Budget
	poison          *poison.Register
	fleetLease      *leader.Lease // of the fleet: its holder plans, chooses servers and tells of them
	zoneLease       *leader.Lease // of the own zone: its holder gives the orders to its engines
	zoneHolders     map[string]zoneHolder
	forwardedOrders forwardedOrders // orders that others were asked to give
	planScope       placer.Scope    // of the last plan
	plannedAt       clock.Time      // the last plan
	placer          *placer.Placer
	outlook         *outlook.Outlook[placer.Key]
	localWants      map[placer.Key]placer.Want // of the requests here
	expectedRetries map[placer.Key]expectedRetry
	arrivalCounts   map[string]arrivalCount // by model
	peerStates      map[string]*peerState
	stateChanged    chan struct{} // closed when a waiting request should look again
	fleetHolder     fleetHolder
	heartbeatDue    bool     // the lease was renewed, and the others don't know yet
	relayTurn       int      // messages to all others, for the choice of relays
	relayQueue      [][]byte // packets to pass on in this zone
	peersRead       bool     // the rows of the instances were read
	// readUnder is the fencing number of the holder under which the servers were
	// last read from the store.
	serversReadFencing int64
	// toldUnder is the fencing number of the holder that told last which servers
	// there are, and toldAt when a holder that tells was last heard; at first, when
	// the servers were first read.
	serverListFencing int64
	holderPublishedAt clock.Time
	// serversSeen is when a call for the servers was last answered.
	serversReadAt       clock.Time
	serversRevision     revision.Revision // of the store, at that answer
	storeFailedAt       clock.Time        // last failure of a call to the store
	storeWasUnreachable bool              // the store, for this instance, in the last round
	removedServers      map[string]removedServer
	lapse               *lapse.Tracker
	publisher           serverPublisher
	evacuations         *evacuation.Set
	storeEra            storeEra
}

// holder is the instance that gives orders, as it says itself.
type fleetHolder struct {
	name        string
	fencing     int64
	rowVersion  int64 // of the row of the lease, as it last wrote it
	heardAt     clock.Time
	publishedAt clock.Time // it last told of the backend servers
	// storeDown says that a call of its own to the store failed, and blind that it
	// does not see servers come and leave.
	storeUnreachable bool
	serversStale     bool
}

// peerSeen is what the counters of another instance were.
type peerState struct {
	incarnation      uint64
	noHeartbeat      bool // no heartbeat of this life was heard
	arrivalCounts    map[string]uint64
	wants            []wantMsg
	heardAt          clock.Time
	storeUnreachable bool
}

// removedServer is a server that left.
type removedServer struct {
	born      int64
	removedAt clock.Time
	// last is the revision of the store up to which it is known to be gone. An entry
	// that was written later says that it is there after all.
	goneRevision revision.Revision
}

// arrivals counts the requests for a model since the start.
type arrivalCount struct {
	count  uint64
	lastAt clock.Time
}

// New returns a Gateway that does not run yet.
func New(s Settings, store ports.Store, engines ports.Engines, dialect ports.Dialect, log zerolog.Logger) (*Gateway, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, err
	}
	g := &Gateway{
		settings: s, incarnation: binary.LittleEndian.Uint64(seed[:]) >> 1, started: boottime.Now(), log: log,
		store: store, engines: engines, dialect: dialect, metrics: newMetrics(),
		housekeepNow: make(chan struct{}, 1), reregister: make(chan struct{}, 1), stateChanged: make(chan struct{}), refuseQueued: make(chan struct{}),
		servers: directory.New(), members: members.New(s.Name), configSync: configsync.New(boottime.Now(), s.Name, s.Zone), quotaWaiters: make(map[uint64]chan quota.Outcome),
		retryBudget: budget.New(s.RetryBudget), poison: poison.New(),
		outlook:    outlook.New[placer.Key](outlook.Settings{Silence: holderTimeout}),
		localWants: make(map[placer.Key]placer.Want), expectedRetries: make(map[placer.Key]expectedRetry), arrivalCounts: make(map[string]arrivalCount),
		peerStates: make(map[string]*peerState), zoneHolders: make(map[string]zoneHolder), forwardedOrders: newForwardedOrders(), lapse: lapse.New(), removedServers: make(map[string]removedServer),
		publisher: newServerPublisher(), evacuations: evacuation.New(s.MaxEvacuationDelay), storeWatches: storeWatches{cancels: make(map[string]context.CancelFunc)},
	}
	g.servers.SetRegions(s.Regions)
	g.dispatcher, g.dispatchClient, g.pendingAsks = dispatch.New(s.Name, g.servers), dispatch.NewClient(), make(map[uint64]*pendingAsk)
	g.quota = quota.New(quota.Settings{
		Self: s.Name, Zone: s.Zone, Strength: s.Strength, Incarnation: g.incarnation, Interval: heartbeatIntervalFor,
		Check: invariant.Reporting(g.reportViolation),
	}, g.members)
	g.quotaTimer = time.AfterFunc(time.Hour, func() { g.withQuota(g.quota.Tick) })
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.pool = rawhttp.NewPool(dialTimeout, g.metrics.connections.Inc)
	g.placer = placer.New(invariant.Reporting(g.reportViolation))
	of := leader.Settings{
		Self: machineID(s.Name, s.PeerAddress), Term: leaseTerm, RenewEvery: leaseRenewInterval, Margin: leaseMargin,
		Silence: holderTimeout, Promise: takeoverHoldoff, Beyond: storelessHoldLimit,
	}
	g.fleetLease = leader.New(of, g.incarnation, boottime.Now())
	of.Term, of.RenewEvery, of.Quiet = zoneLeaseTerm, zoneLeaseRenewInterval, s.OrderQuietPeriod+orderTransitTime
	g.zoneLease = leader.New(of, g.incarnation, boottime.Now())
	g.placer.SetReach(g.zoneReach)
	return g, nil
}

// machine names the machine of an instance in the row of the lease: one that is
// replaced has another address.
func machineID(name, address string) string { return name + "@" + address }

func (g *Gateway) reportViolation(v invariant.Violation) {
	g.metrics.violation(v.Name).Inc()
	g.log.Error().Str("invariant", v.Name).Str("detail", v.Detail).Msg("core: invariant violated")
}

// wake lets waiting requests look again. The caller holds mu.
func (g *Gateway) wakeWaiting() {
	close(g.stateChanged)
	g.stateChanged = make(chan struct{})
}

// poke lets the housekeeping run at once.
func (g *Gateway) triggerHousekeeping() {
	select {
	case g.housekeepNow <- struct{}{}:
	default:
	}
}
