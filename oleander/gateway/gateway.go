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
	Regions map[string]string
	Front   string // address for callers
	Ready   string // address for the balancer's question
	Peer    string // address for other instances, TCP and UDP; metrics too
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration
	// Strength orders the candidates for the lease: the holder has more to do
	// than the others, and a machine with more of a core does it in time.
	Strength int
	// LeavingWithin is when a server that leaves must be known everywhere.
	LeavingWithin time.Duration
	// EvacuatedWithin is when nothing may be sent any more to an evacuated zone.
	EvacuatedWithin time.Duration
	// ColdFactor times the rate that a cold server bears, and ColdSlack requests more,
	// are the most that it survives in a second.
	ColdFactor, ColdSlack float64
	// OrderQuiet is the time without orders between two holders of the lease.
	OrderQuiet time.Duration
	Retry      budget.Settings
	// LinesLeftOut returns how many log lines were left out so far; nil: none.
	LinesLeftOut func() int64
}

const (
	// leaseTerm and leaseRenew: a holder that dies is replaced within some
	// seconds, at two and a half writes a second for the whole fleet.
	leaseTerm   = 1200 * time.Millisecond
	leaseRenew  = 400 * time.Millisecond
	leaseMargin = 300 * time.Millisecond
	// leaseSilence is how long the holder is not heard before others look at
	// the row: three of its messages.
	leaseSilence = 700 * time.Millisecond
	// leasePromise is how long an instance that heard the holder keeps from
	// taking over. The holder goes on without the store while it is heard so
	// often by all, and their messages are up to 0.7 s apart.
	leasePromise = time.Second
	// zoneTerm and zoneRenew are those of the zones' leases. Their holders go on by the
	// word of their zone, so the row is written more rarely.
	zoneTerm  = 1500 * time.Millisecond
	zoneRenew = 600 * time.Millisecond
	// zoneSilence is how long no instance of a zone is heard until it counts as cut off:
	// two heartbeats of a small fleet, and in a large one a zone has many instances.
	zoneSilence = time.Second
	// leaseBeyond is how long a holder goes on without the store: the outages
	// measured last up to nine seconds. Instances that are no voters wait as
	// long after a holder's death.
	leaseBeyond = 10 * time.Second
	// orderSlack is added to the quiet time for orders that are on their way
	// when the right of their sender ends.
	orderSlack = 250 * time.Millisecond
	// dialTimeout bounds connecting to a backend server, a millisecond away. A
	// server that is cut off does not answer at all.
	dialTimeout = 400 * time.Millisecond
	// maxBody bounds a body while the configuration does not.
	maxBody = 4 << 20
)

// Gateway is one entry instance.
type Gateway struct {
	set         Settings
	incarnation uint64
	started     clock.Time
	log         zerolog.Logger
	store       ports.Store
	engines     ports.Engines
	dialect     ports.Dialect
	pool        *rawhttp.Pool
	peers       *peers
	metrics     *instruments
	watches     watches

	manifest atomic.Pointer[manifest.Manifest]
	raw      atomic.Pointer[packed] // the manifest in force, as stored
	// configHeard is when the manifest in force was last known to be the
	// newest, as a clock.Time.
	configHeard atomic.Int64
	stopping    atomic.Bool
	stopBegan   atomic.Int64 // a clock.Time
	active      atomic.Int64 // requests being served
	kick        chan struct{}
	rejoin      chan struct{} // the store may have lost this instance's row
	fetching    atomic.Bool
	watching    atomic.Bool // waits at the store for changes of the configuration
	// refuseWaiting is closed when a stop is near its end.
	refuseWaiting chan struct{}
	ctx           context.Context
	cancel        context.CancelFunc

	mu         sync.Mutex
	dir        *directory.Directory
	members    *members.Set
	sync       *configsync.Sync
	dispatch   *dispatch.Dispatcher
	client     *dispatch.Client
	asks       map[uint64]*asked // of this instance, by number
	serving    bool              // a look at what waits for a server is due
	quota      *quota.Limiter
	deciding   map[uint64]chan quota.Outcome // requests for tokens that wait, by number
	tokenTimer *time.Timer                   // when quota does something next
	budget     *budget.Budget
	poison     *poison.Detector
	lease      *leader.Lease // of the fleet: its holder plans, chooses servers and tells of them
	zoneLease  *leader.Lease // of the own zone: its holder gives the orders to its engines
	zoneHolder map[string]zoneHolder
	passedOn   orderCalls   // orders that others were asked to give
	scope      placer.Scope // of the last plan
	planned    clock.Time   // the last plan
	placer     *placer.Placer
	outlook    *outlook.Outlook[placer.Key]
	waits      map[placer.Key]placer.Want // of the requests here
	promises   map[placer.Key]promise
	arrived    map[string]arrivals // by model
	peerSeen   map[string]*peerSeen
	changed    chan struct{} // closed when a waiting request should look again
	holder     holder
	tellClaim  bool     // the lease was renewed, and the others don't know yet
	turn       int      // messages to all others, for the choice of relays
	passing    [][]byte // packets to pass on in this zone
	knowsPeers bool     // the rows of the instances were read
	// readUnder is the fencing number of the holder under which the servers were
	// last read from the store.
	readUnder int64
	// toldUnder is the fencing number of the holder that told last which servers
	// there are, and toldAt when a holder that tells was last heard; at first, when
	// the servers were first read.
	toldUnder int64
	toldAt    clock.Time
	// serversSeen is when a call for the servers was last answered.
	serversSeen clock.Time
	serversAt   revision.Revision // of the store, at that answer
	storeDown   clock.Time        // last failure of a call to the store
	wasAway     bool              // the store, for this instance, in the last round
	removed     map[string]removedServer
	lapse       *lapse.Tracker
	publisher   publisher
	evacuations *evacuation.Set
	era         eraSeen
}

// holder is the instance that gives orders, as it says itself.
type holder struct {
	name    string
	fencing int64
	version int64 // of the row of the lease, as it last wrote it
	heard   clock.Time
	told    clock.Time // it last told of the backend servers
	// storeDown says that a call of its own to the store failed, and blind that it
	// does not see servers come and leave.
	storeDown bool
	blind     bool
}

// peerSeen is what the counters of another instance were.
type peerSeen struct {
	incarnation uint64
	fresh       bool // no heartbeat of this life was heard
	arrived     map[string]uint64
	wants       []wantMsg
	heard       clock.Time
	storeDown   bool
}

// removedServer is a server that left.
type removedServer struct {
	born int64
	at   clock.Time
	// last is the revision of the store up to which it is known to be gone. An entry
	// that was written later says that it is there after all.
	last revision.Revision
}

// arrivals counts the requests for a model since the start.
type arrivals struct {
	count uint64
	last  clock.Time
}

// New returns a Gateway that does not run yet.
func New(s Settings, store ports.Store, engines ports.Engines, dialect ports.Dialect, log zerolog.Logger) (*Gateway, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, err
	}
	g := &Gateway{
		set: s, incarnation: binary.LittleEndian.Uint64(seed[:]) >> 1, started: boottime.Now(), log: log,
		store: store, engines: engines, dialect: dialect, metrics: newMetrics(),
		kick: make(chan struct{}, 1), rejoin: make(chan struct{}, 1), changed: make(chan struct{}), refuseWaiting: make(chan struct{}),
		dir: directory.New(), members: members.New(s.Name), sync: configsync.New(boottime.Now(), s.Name, s.Zone), deciding: make(map[uint64]chan quota.Outcome),
		budget: budget.New(s.Retry), poison: poison.New(),
		outlook: outlook.New[placer.Key](outlook.Settings{Silence: leaseSilence}),
		waits:   make(map[placer.Key]placer.Want), promises: make(map[placer.Key]promise), arrived: make(map[string]arrivals),
		peerSeen: make(map[string]*peerSeen), zoneHolder: make(map[string]zoneHolder), passedOn: newOrderCalls(), lapse: lapse.New(), removed: make(map[string]removedServer),
		publisher: newPublisher(), evacuations: evacuation.New(s.EvacuatedWithin), watches: watches{cancels: make(map[string]context.CancelFunc)},
	}
	g.dir.SetRegions(s.Regions)
	g.dispatch, g.client, g.asks = dispatch.New(s.Name, g.dir), dispatch.NewClient(), make(map[uint64]*asked)
	g.quota = quota.New(quota.Settings{
		Self: s.Name, Zone: s.Zone, Strength: s.Strength, Incarnation: g.incarnation, HeartbeatInterval: beatIntervalOf,
		Check: invariant.Reporting(g.violated),
	}, g.members)
	g.tokenTimer = time.AfterFunc(time.Hour, func() { g.withTokens(g.quota.Tick) })
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.pool = rawhttp.NewPool(dialTimeout, g.metrics.connections.Inc)
	g.placer = placer.New(invariant.Reporting(g.violated))
	of := leader.Settings{
		Self: machine(s.Name, s.Peer), Term: leaseTerm, RenewInterval: leaseRenew, DriftMargin: leaseMargin,
		HolderTimeout: leaseSilence, PromiseDuration: leasePromise, MaxExtension: leaseBeyond,
	}
	g.lease = leader.New(of, g.incarnation, boottime.Now())
	of.Term, of.RenewInterval, of.QuietPeriod = zoneTerm, zoneRenew, s.OrderQuiet+orderSlack
	g.zoneLease = leader.New(of, g.incarnation, boottime.Now())
	g.placer.SetReach(g.reachOf)
	return g, nil
}

// machine names the machine of an instance in the row of the lease: one that is
// replaced has another address.
func machine(name, address string) string { return name + "@" + address }

func (g *Gateway) violated(v invariant.Violation) {
	g.metrics.violation(v.Name).Inc()
	g.log.Error().Str("invariant", v.Name).Str("detail", v.Detail).Msg("core: invariant violated")
}

// wake lets waiting requests look again. The caller holds mu.
func (g *Gateway) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// poke lets the housekeeping run at once.
func (g *Gateway) poke() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}
