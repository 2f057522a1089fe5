// Package placement decides where artifacts are loaded, and carries the loads
// and unloads out.
//
// Each model backend server of the availability zone has one owner among the
// zone's instances. Only the owner sends it orders, and it sends none before a
// reservation for it is committed in the table service, or unless the artifact
// is pre-authorised there. A reservation is removed only when the engine's own
// report, asked for after no order for it can be under way any more, shows
// nothing of it. The files: own.go takes and gives up backend servers, plan.go
// decides the next write to a row, commit.go sees it through, work.go sends the
// orders, demand.go and pick.go are the side of the queue owner.
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

// Settings of a Placement. A zero period takes its default.
type Settings struct {
	Instance id.Instance
	Zone     id.Zone
	// Policy decides how long idle artifacts stay; default
	// keepalive.EvictOldest over keepalive.Histogram.
	Policy keepalive.Policy
	// ReportInterval is how often an owner reads an engine's report; 500 ms.
	ReportInterval time.Duration
	// BroadcastInterval is how often an owner tells the zone about a backend server
	// of which nothing changed; 1 s.
	BroadcastInterval time.Duration
	// OwnershipCheckInterval is how often rows that this instance should own are read; 1 s.
	OwnershipCheckInterval time.Duration
	// RetryDelay is the pause after a table operation or an order that did not
	// succeed; 500 ms.
	RetryDelay time.Duration
	// DownAfter is how long a report may be missing before a backend server
	// counts as down; 3 s.
	DownAfter time.Duration
	// StandbyShare is the part of a backend server's memory that its
	// pre-authorised artifacts share; 0.5. Negative: none.
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
		s.Policy = keepalive.EvictOldest{Policy: keepalive.NewHistogram(keepalive.Settings{})}
	}
	return s
}

// tickEvery is how often owned backend servers are looked after.
const tickInterval = 100 * time.Millisecond

// Placement is the part of an instance that places artifacts. It implements
// process.Machine.
type Placement struct {
	settings Settings
	rights   process.Rights
	members  process.Members
	checker  *invariant.Checker
	cfg      *config.Config
	policy   keepalive.Policy

	views           map[id.Backend]*backendView
	sortedViews     []*backendView // by name
	standbyBackends map[id.Artifact]id.Backend
	holders         map[id.Artifact][]*backendView // that hold something of it, by name
	demands         map[id.Artifact]*demand

	owned              map[id.Backend]*ownedBackend
	ownedNames         []id.Backend // of owned, sorted
	ops                map[uint64]*op
	lastOpNumber       uint64
	replicaRows        map[id.Artifact]replicaRow
	lastUsed           map[id.Artifact]clock.Time   // last arrival seen here
	lastClass          map[id.Artifact]config.Class // the class of the last Want; at most one a configured artifact
	nextLastUsedExpiry clock.Time                   // when used is cleared of old ones

	weightStore weightStore
	loadTimes   loadTimeFactors
	storeDelay  time.Duration // that a load waits for the weight store, at the last tick

	now                  clock.Time // of the last input
	nextTickAt           clock.Time
	nextRefreshAt        clock.Time // when the instance list is looked at
	nextOwnershipCheckAt clock.Time
	ownershipReadPending bool // a read of rows to own is out
	// unsure holds the row versions on which an acquire without a known
	// outcome is conditional.
	uncertainAcquires map[id.Backend]uint64
	handedOver        bool // everything was handed over: nothing is taken any more
	disabled          disabledSafeguards
}

// unsafe switches safeguards off, so that a test can show that the checks and
// oracles notice. Nothing but tests sets a field.
type disabledSafeguards struct {
	leaseCheck        bool // send orders without a valid lease
	commitBeforeOrder bool // send orders before the reservation is committed
	memoryLimit       bool // decide without counting memory
	replicaLimit      bool // decide without counting replicas
	quietPeriod       bool // remove reservations while an order may be under way
	reportFreshness   bool // believe reports that were asked for too early
	poolAdoption      bool // use the standby pool right after a takeover
}

// New returns a Placement that owns nothing yet.
func New(s Settings, rights process.Rights, members process.Members, check *invariant.Checker) *Placement {
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
		ops:               map[uint64]*op{},
		uncertainAcquires: map[id.Backend]uint64{},
		replicaRows:       map[id.Artifact]replicaRow{},
		lastUsed:          map[id.Artifact]clock.Time{},
		lastClass:         make(map[id.Artifact]config.Class),
		weightStore:       newWeightStore(),
		loadTimes:         loadTimeFactors{memory: initialMemoryFactor, disk: initialDiskFactor, remote: 1},
	}
}

// Configure takes a configuration into use.
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
	p.expireUsed(now)
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

// MarkUnavailable records that a request found a backend server leaving or down. It gets
// no new work for DownAfter, in which its owner notices too; for good if the
// instance list or its own report says that it leaves.
func (p *Placement) MarkUnavailable(now clock.Time, b id.Backend) {
	if v := p.views[b]; v != nil {
		v.unavailable, v.unavailableUntil = true, now.Add(p.settings.DownAfter)
	}
	if o := p.owned[b]; o != nil {
		o.nextReportAt = now
	}
}

// HandleMessage handles a message of another instance; other types are ignored.
func (p *Placement) HandleMessage(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	p.now = now
	switch m := m.(type) {
	case message.Want:
		p.handleWant(now, m, out)
	case message.BackendState:
		p.handleBackendState(now, from, m)
	case message.LoadsInTransit:
		p.weightStore.recordPeerLoads(now, from, m)
	}
}

// Handover returns the backend servers that are given to another instance and
// stops using them.
func (p *Placement) Handover() []message.OwnedBackend {
	p.handedOver = true
	var handedOver []message.OwnedBackend
	for _, b := range slices.Clone(p.ownedNames) {
		o := p.owned[b]
		// A row with a write under way has no version that a receiver could
		// rely on; it is left to the takeover through the table.
		if o.pendingOp == nil {
			handedOver = append(handedOver, message.OwnedBackend{Backend: b, Fencing: o.row.Fencing, Row: o.rowVersion})
		}
		p.stopOwning(o)
	}
	return handedOver
}

// TakeOver goes on with backend servers that another instance handed over. It
// needs their rows, which it knows if it heard the giver's last BackendState;
// others it takes through the table once the giver's session has ended.
func (p *Placement) TakeOver(now clock.Time, handedOver []message.OwnedBackend, out *event.Outbox) {
	p.now = now
	if p.cfg == nil {
		return
	}
	for _, g := range handedOver {
		v := p.views[g.Backend]
		if v == nil || v.rowVersion != g.Row || p.owned[g.Backend] != nil {
			continue
		}
		o := p.startOwning(now, v.row, g.Row, true)
		p.advance(o, now, out)
	}
}

// sync keeps names in step with owned.
func (p *Placement) syncOwnedNames() { p.ownedNames = slices.Sorted(maps.Keys(p.owned)) }

// ownerByRank returns the instance that should own b.
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
