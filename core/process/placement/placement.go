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
	// ReportEvery is how often an owner reads an engine's report; 500 ms.
	ReportEvery time.Duration
	// StateEvery is how often an owner tells the zone about a backend server
	// of which nothing changed; 1 s.
	StateEvery time.Duration
	// OwnEvery is how often rows that this instance should own are read; 1 s.
	OwnEvery time.Duration
	// RetryEvery is the pause after a table operation or an order that did not
	// succeed; 500 ms.
	RetryEvery time.Duration
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
		{&s.ReportEvery, 500 * time.Millisecond},
		{&s.StateEvery, time.Second},
		{&s.OwnEvery, time.Second},
		{&s.RetryEvery, 500 * time.Millisecond},
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
const tickEvery = 100 * time.Millisecond

// Placement is the part of an instance that places artifacts. It implements
// process.Machine.
type Placement struct {
	set     Settings
	rights  process.Rights
	members process.Members
	check   *invariant.Checker
	cfg     *config.Config
	policy  keepalive.Policy

	views    map[id.Backend]*view
	sorted   []*view // by name
	standbys map[id.Artifact]id.Backend
	holders  map[id.Artifact][]*view // that hold something of it, by name
	demands  map[id.Artifact]*demand

	owned    map[id.Backend]*owned
	names    []id.Backend // of owned, sorted
	ops      map[uint64]*op
	lastOp   uint64
	replicas map[id.Artifact]replicaRow
	used     map[id.Artifact]clock.Time   // last arrival seen here
	wanted   map[id.Artifact]config.Class // the class of the last Want; at most one a configured artifact
	usedAt   clock.Time                   // when used is cleared of old ones

	store weightStore
	times loadTimes
	queue time.Duration // that a load waits for the weight store, at the last tick

	now     clock.Time // of the last input
	tickAt  clock.Time
	viewsAt clock.Time // when the instance list is looked at
	ownAt   clock.Time
	ownRead bool // a read of rows to own is out
	// unsure holds the row versions on which an acquire without a known
	// outcome is conditional.
	unsure map[id.Backend]uint64
	given  bool // everything was handed over: nothing is taken any more
	unsafe unsafe
}

// unsafe switches safeguards off, so that a test can show that the checks and
// oracles notice. Nothing but tests sets a field.
type unsafe struct {
	noValid     bool // send orders without a valid lease
	noCommit    bool // send orders before the reservation is committed
	noMemory    bool // decide without counting memory
	noReplicas  bool // decide without counting replicas
	noQuiet     bool // remove reservations while an order may be under way
	staleReport bool // believe reports that were asked for too early
	blindPool   bool // use the standby pool right after a takeover
}

// New returns a Placement that owns nothing yet.
func New(s Settings, rights process.Rights, members process.Members, check *invariant.Checker) *Placement {
	s = s.withDefaults()
	return &Placement{
		set:      s,
		rights:   rights,
		members:  members,
		check:    check,
		policy:   s.Policy,
		views:    map[id.Backend]*view{},
		standbys: map[id.Artifact]id.Backend{},
		holders:  map[id.Artifact][]*view{},
		demands:  map[id.Artifact]*demand{},
		owned:    map[id.Backend]*owned{},
		ops:      map[uint64]*op{},
		unsure:   map[id.Backend]uint64{},
		replicas: map[id.Artifact]replicaRow{},
		used:     map[id.Artifact]clock.Time{},
		wanted:   make(map[id.Artifact]config.Class),
		store:    newWeightStore(),
		times:    loadTimes{memory: memoryPart, disk: diskPart, remote: 1},
	}
}

// Configure takes a configuration into use.
func (p *Placement) Configure(now clock.Time, c *config.Config, out *event.Outbox) {
	p.now, p.cfg = now, c
	p.store.limits(c.Fleet)
	p.refreshViews(now)
	p.tickAt = now
}

// Next implements process.Machine.
func (p *Placement) Next() clock.Time {
	if p.cfg == nil {
		return clock.Never
	}
	return p.tickAt
}

// Tick implements process.Machine.
func (p *Placement) Tick(now clock.Time, out *event.Outbox) {
	if p.cfg == nil || now.Before(p.tickAt) {
		return
	}
	p.now, p.tickAt = now, now.Add(tickEvery)
	if now.Reached(p.viewsAt) {
		p.viewsAt = now.Add(p.set.ReportEvery)
		p.refreshViews(now)
	}
	p.expireDemands(now)
	p.expireUsed(now)
	p.own(now, out)
	for _, b := range p.names {
		o := p.owned[b]
		if o == nil {
			continue
		}
		p.askReport(o, now, out)
		p.advance(o, now, out)
		p.broadcast(o, now, out)
	}
	p.tellLoads(now, out)
}

// Drop records that a request found a backend server leaving or down. It gets
// no new work for DownAfter, in which its owner notices too; for good if the
// instance list or its own report says that it leaves.
func (p *Placement) Drop(now clock.Time, b id.Backend) {
	if v := p.views[b]; v != nil {
		v.dropped, v.dropEnd = true, now.Add(p.set.DownAfter)
	}
	if o := p.owned[b]; o != nil {
		o.askAt = now
	}
}

// Peer handles a message of another instance; other types are ignored.
func (p *Placement) Peer(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	p.now = now
	switch m := m.(type) {
	case message.LoadRequest:
		p.want(now, m, out)
	case message.BackendState:
		p.state(now, from, m)
	case message.LoadsInTransit:
		p.store.heard(now, from, m)
	}
}

// Handover returns the backend servers that are given to another instance and
// stops using them.
func (p *Placement) Handover() []message.OwnedBackend {
	p.given = true
	var given []message.OwnedBackend
	for _, b := range slices.Clone(p.names) {
		o := p.owned[b]
		// A row with a write under way has no version that a receiver could
		// rely on; it is left to the takeover through the table.
		if o.op == nil {
			given = append(given, message.OwnedBackend{Backend: b, Fencing: o.row.Fencing, RowVersion: o.version})
		}
		p.forget(o)
	}
	return given
}

// TakeOver goes on with backend servers that another instance handed over. It
// needs their rows, which it knows if it heard the giver's last BackendState;
// others it takes through the table once the giver's session has ended.
func (p *Placement) TakeOver(now clock.Time, given []message.OwnedBackend, out *event.Outbox) {
	p.now = now
	if p.cfg == nil {
		return
	}
	for _, g := range given {
		v := p.views[g.Backend]
		if v == nil || v.rowVersion != g.RowVersion || p.owned[g.Backend] != nil {
			continue
		}
		o := p.take(now, v.row, g.RowVersion, true)
		p.advance(o, now, out)
	}
}

// sync keeps names in step with owned.
func (p *Placement) sync() { p.names = slices.Sorted(maps.Keys(p.owned)) }

// ownerByRank returns the instance that should own b.
func (p *Placement) ownerByRank(b id.Backend) id.Instance {
	return rendezvous.Owner("backend/"+string(b), p.members.InZone(p.set.Zone))
}

func (p *Placement) artifact(a id.Artifact) (config.Artifact, bool) {
	if p.cfg == nil {
		return config.Artifact{}, false
	}
	c, ok := p.cfg.Artifacts[a]
	return c, ok
}

func backendKey(b id.Backend) table.Key {
	return table.Key{Kind: table.KindBackend, ID: string(b)}
}

func (p *Placement) replicaKey(a id.Artifact) table.Key {
	return table.Key{Kind: table.KindReplica, ID: string(p.set.Zone) + "/" + string(a)}
}
