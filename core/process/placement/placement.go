// Package placement decides which backend servers load which artifacts, and
// carries out the loads and unloads.
//
// Each model backend server of the availability zone is owned by one instance
// of the zone. Only the owner sends orders to it. It orders a load only after a
// reservation for the artifact is committed in the table service, or if the
// table already lists the artifact as pre-authorised there (a standby). A
// reservation is removed only when the engine's own report, requested after the
// last moment at which an order could still arrive, shows nothing of the
// artifact.
//
// Files: own.go acquires and releases backend servers, plan.go decides the next
// write to a row, commit.go tracks that write until its outcome is known,
// work.go sends the orders; demand.go and pick.go are used by the queue owner.
package placement

import (
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process"
	"oleanderdale.org/core/process/keepalive"
	"oleanderdale.org/core/process/rendezvous"
	"oleanderdale.org/core/table"
)

// Settings configures a Placement. A zero duration takes its default.
type Settings struct {
	Instance id.Instance
	Zone     id.Zone
	// Policy decides how long idle artifacts stay loaded; default
	// keepalive.EvictLRU over keepalive.Histogram.
	Policy keepalive.Policy
	// ReportInterval is how often an owner reads an engine's report; default
	// 500 ms.
	ReportInterval time.Duration
	// BroadcastInterval is how often an owner sends the state of an unchanged
	// backend server to the zone; default 1 s.
	BroadcastInterval time.Duration
	// OwnershipCheckInterval is how often the rows that this instance should
	// own, and does not, are read; default 1 s.
	OwnershipCheckInterval time.Duration
	// RetryDelay is the pause after a failed table operation; default 500 ms.
	RetryDelay time.Duration
	// DownAfter is how long reports may be missing before a backend server
	// counts as down; default 3 s.
	DownAfter time.Duration
	// StandbyShare is the fraction of a backend server's memory that is set
	// aside for its pre-authorised artifacts; default 0.5. A negative value
	// means none.
	StandbyShare float64
}

func (s Settings) withDefaults() Settings {
	for _, p := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.ReportInterval, 500 * time.Millisecond},
		{&s.BroadcastInterval, time.Second},
		{&s.OwnershipCheckInterval, time.Second},
		{&s.RetryDelay, 500 * time.Millisecond},
		{&s.DownAfter, 3 * time.Second},
	} {
		if *p.field == 0 {
			*p.field = p.value
		}
	}
	if s.StandbyShare == 0 {
		s.StandbyShare = 0.5
	}
	if s.Policy == nil {
		s.Policy = keepalive.EvictLRU{Policy: keepalive.NewHistogram(keepalive.Settings{})}
	}
	return s
}

// tickInterval is how often the owned backend servers are checked.
const tickInterval = 100 * time.Millisecond

// Placement is the state machine that places artifacts for one instance. It
// implements process.Machine.
type Placement struct {
	settings Settings
	rights   process.LeaseStatus
	members  process.Members
	checker  *invariant.Checker
	cfg      *config.Config
	policy   keepalive.Policy

	views           map[id.Backend]*backendView
	sortedViews     []*backendView // sorted by name
	standbyBackends map[id.Artifact]id.Backend
	holders         map[id.Artifact][]*backendView // backend servers that hold any part of the artifact, sorted by name
	demands         map[id.Artifact]*demand

	owned              map[id.Backend]*ownedBackend
	ownedNames         []id.Backend // keys of owned, sorted
	ops                map[uint64]*tableOp
	lastOpNumber       uint64
	replicaRows        map[id.Artifact]replicaRow
	lastUsed           map[id.Artifact]clock.Time   // last arrival seen by this instance
	lastClass          map[id.Artifact]config.Class // class of the last Want; at most one entry per configured artifact
	nextLastUsedExpiry clock.Time                   // when old entries of lastUsed are deleted

	weightStore weightStore
	loadTimes   loadTimeFactors
	storeDelay  time.Duration // expected wait of a load for the weight store, computed at the last tick

	now                  clock.Time // time of the last input
	nextTickAt           clock.Time
	nextRefreshAt        clock.Time // when the list of backend servers is read again
	nextOwnershipCheckAt clock.Time
	ownershipReadPending bool // a read of the rows to own is under way
	// uncertainAcquires holds, for each acquire whose outcome is unknown, the
	// row version on which it is conditional.
	uncertainAcquires map[id.Backend]uint64
	handedOver        bool // Handover was called: nothing is acquired any more
	disabled          disabledSafeguards
}

// disabledSafeguards switches safeguards off, so that tests can show that the
// invariants and the simulation's checks detect it. Only tests set a field.
type disabledSafeguards struct {
	leaseCheck        bool // send orders without a valid lease
	commitBeforeOrder bool // send orders before the reservation is committed
	memoryLimit       bool // ignore the memory limit in decisions
	replicaLimit      bool // ignore the replica limit in decisions
	quietPeriod       bool // remove reservations while an order may still arrive
	reportFreshness   bool // accept reports that were requested too early
	poolAdoption      bool // use the standby pool immediately after a takeover
}

// New returns a Placement that owns no backend servers.
func New(s Settings, rights process.LeaseStatus, members process.Members, check *invariant.Checker) *Placement {
	s = s.withDefaults()
	return &Placement{
		settings:          s,
		rights:            rights,
		members:           members,
		checker:           check,
		policy:            s.Policy,
		views:             map[id.Backend]*backendView{},
		standbyBackends:   map[id.Artifact]id.Backend{},
		holders:           map[id.Artifact][]*backendView{},
		demands:           map[id.Artifact]*demand{},
		owned:             map[id.Backend]*ownedBackend{},
		ops:               map[uint64]*tableOp{},
		uncertainAcquires: map[id.Backend]uint64{},
		replicaRows:       map[id.Artifact]replicaRow{},
		lastUsed:          map[id.Artifact]clock.Time{},
		lastClass:         make(map[id.Artifact]config.Class),
		weightStore:       newWeightStore(),
		loadTimes:         loadTimeFactors{memory: initialMemoryFactor, disk: initialDiskFactor, remote: 1},
	}
}

// Configure applies a configuration.
func (p *Placement) Configure(now clock.Time, c *config.Config, out *event.Outbox) {
	p.now, p.cfg = now, c
	p.weightStore.setLimits(c.Fleet)
	p.refreshViews(now)
	p.nextTickAt = now
}

// Next implements process.Machine.
func (p *Placement) Next() clock.Time {
	if p.cfg == nil {
		return clock.Never
	}
	return p.nextTickAt
}

// Tick implements process.Machine.
func (p *Placement) Tick(now clock.Time, out *event.Outbox) {
	if p.cfg == nil || now.Before(p.nextTickAt) {
		return
	}
	p.now, p.nextTickAt = now, now.Add(tickInterval)
	if now.Reached(p.nextRefreshAt) {
		p.nextRefreshAt = now.Add(p.settings.ReportInterval)
		p.refreshViews(now)
	}
	p.expireDemands(now)
	p.expireLastUsed(now)
	p.readUnownedRows(now, out)
	for _, b := range p.ownedNames {
		o := p.owned[b]
		if o == nil {
			continue
		}
		p.requestReport(o, now, out)
		p.advance(o, now, out)
		p.broadcastState(o, now, out)
	}
	p.broadcastLoads(now, out)
}

// MarkUnavailable records that a request found a backend server leaving or
// down. The server gets no new work for DownAfter, which gives its owner time
// to notice. Once the instance list or its own report says that it is leaving,
// it gets none ever again.
func (p *Placement) MarkUnavailable(now clock.Time, b id.Backend) {
	if v := p.views[b]; v != nil {
		v.unavailable, v.unavailableUntil = true, now.Add(p.settings.DownAfter)
	}
	if o := p.owned[b]; o != nil {
		o.nextReportAt = now
	}
}

// HandleMessage handles a message from another instance. Messages of other
// types are ignored.
func (p *Placement) HandleMessage(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	p.now = now
	switch m := m.(type) {
	case message.LoadRequest:
		p.handleWant(now, m, out)
	case message.BackendState:
		p.handleBackendState(now, from, m)
	case message.LoadsInTransit:
		p.weightStore.recordPeerLoads(now, from, m)
	}
}

// Handover stops using all owned backend servers and returns those that another
// instance can take over directly.
func (p *Placement) Handover() []message.OwnedBackend {
	p.handedOver = true
	var handedOver []message.OwnedBackend
	for _, b := range slices.Clone(p.ownedNames) {
		o := p.owned[b]
		// While a write is under way, the version of the row is not known, so
		// the receiver could not write it. Such a row is acquired through the
		// table instead.
		if o.pendingOp == nil {
			handedOver = append(handedOver, message.OwnedBackend{Backend: b, Fencing: o.row.Fencing, RowVersion: o.rowVersion})
		}
		p.stopOwning(o)
	}
	return handedOver
}

// TakeOver continues with backend servers that another instance handed over. It
// needs their rows, which it has if it received the previous owner's last
// BackendState. The others are acquired through the table once the previous
// owner's session has ended.
func (p *Placement) TakeOver(now clock.Time, handedOver []message.OwnedBackend, out *event.Outbox) {
	p.now = now
	if p.cfg == nil {
		return
	}
	for _, backend := range handedOver {
		v := p.views[backend.Backend]
		if v == nil || v.rowVersion != backend.RowVersion || p.owned[backend.Backend] != nil {
			continue
		}
		o := p.startOwning(now, v.row, backend.RowVersion, true)
		p.advance(o, now, out)
	}
}

// syncOwnedNames updates ownedNames after a change of owned.
func (p *Placement) syncOwnedNames() { p.ownedNames = slices.Sorted(maps.Keys(p.owned)) }

// preferredOwner returns the instance that should own b, by rendezvous hashing.
func (p *Placement) preferredOwner(b id.Backend) id.Instance {
	return rendezvous.Owner("backend/"+string(b), p.members.InZone(p.settings.Zone))
}

func (p *Placement) configuredArtifact(a id.Artifact) (config.Artifact, bool) {
	if p.cfg == nil {
		return config.Artifact{}, false
	}
	artifact, ok := p.cfg.Artifacts[a]
	return artifact, ok
}

func backendKey(b id.Backend) table.Key {
	return table.Key{Kind: table.KindBackend, ID: string(b)}
}

func (p *Placement) replicaKey(a id.Artifact) table.Key {
	return table.Key{Kind: table.KindReplica, ID: string(p.settings.Zone) + "/" + string(a)}
}
