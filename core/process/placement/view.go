package placement

import (
	"slices"
	"strings"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// Cold is the state of an artifact that is not on a backend server.
const Cold message.LoadState = ""

// ownerTTL is how long the sender of a backend server's state is taken to be
// its owner.
const ownerTTL = 5 * time.Second

// backendView is what this instance knows about a backend server of its zone,
// whichever instance owns it.
type backendView struct {
	name             id.Backend
	address          string
	group            config.Group
	leaving          bool // never cleared
	down             bool
	unavailable      bool // a request found it leaving or down
	unavailableUntil clock.Time
	unlisted         bool       // not in the instance list
	unlistedSince    clock.Time // clock.Never: listed, or not checked yet
	referenced       bool       // a Want named it: its row may exist though it was never listed

	owner          id.Instance // sender of the last state
	receivedAt     clock.Time
	fencing        id.Fencing
	seq            uint64
	report         message.Report
	freeBytes      int64
	evictableBytes int64 // memory of artifacts that are unloading or run no requests
	held           map[id.Artifact]message.HeldArtifact
	cached         map[id.Artifact]message.CacheLevel

	row        table.Backend
	rowVersion uint64
}

func (v *backendView) usable() bool { return !v.leaving && !v.down && !v.unavailable && !v.unlisted }

// refreshViews updates the views from the instance list.
func (p *Placement) refreshViews(now clock.Time) {
	listed := map[id.Backend]bool{}
	members := p.members.Backends()
	for _, m := range members {
		g, ok := p.cfg.Groups[m.Group]
		if m.Zone != p.settings.Zone || !ok || g.Kind != config.GroupModels {
			continue
		}
		b := id.Backend(m.Name)
		listed[b] = true
		v := p.ensureView(b)
		v.address, v.group, v.unlisted = m.Address, g, false
		v.leaving = v.leaving || m.Leaving
	}
	if len(members) > 0 { // an empty list has not been read yet
		p.markUnlisted(now, listed)
	}
}

// markUnlisted records which backend servers are missing from the instance
// list.
func (p *Placement) markUnlisted(now clock.Time, listed map[id.Backend]bool) {
	for _, v := range p.sortedViews {
		v.unavailable = v.unavailable && now.Before(v.unavailableUntil)
		switch {
		case listed[v.name]:
			v.unlistedSince = clock.Never
		case v.unlistedSince == clock.Never:
			v.unlisted, v.unlistedSince = true, now
		}
	}
}

// unlistedTimeout is how long a backend server must be missing from the
// instance list before the decisions on it are given up.
const unlistedTimeout = 10 * time.Second

// poolFreeBytes is the unused memory of the standby pool, by the last report.
func (v *backendView) poolFreeBytes() int64 {
	free := v.row.StandbyBytes
	for _, h := range v.report.Held {
		if _, reserved := findReservation(v.row, h.Artifact); !reserved {
			free -= h.Bytes
		}
	}
	return free
}

// hasLeft reports whether the backend server is gone for good.
func (v *backendView) hasLeft(now clock.Time) bool {
	return v.leaving || (v.unlisted && v.unlistedSince != clock.Never && now.Sub(v.unlistedSince) >= unlistedTimeout)
}

// ensureView returns the view of b and creates it if needed.
func (p *Placement) ensureView(b id.Backend) *backendView {
	if v := p.views[b]; v != nil {
		return v
	}
	v := &backendView{name: b, unlisted: true, unlistedSince: clock.Never}
	p.views[b] = v
	p.sortedViews = append(p.sortedViews, v)
	slices.SortFunc(p.sortedViews, compareViews)
	return v
}

// handleBackendState applies the state sent by an owner. An older state is
// ignored: states may arrive late and out of order.
func (p *Placement) handleBackendState(now clock.Time, from id.Instance, m message.BackendState) {
	v := p.ensureView(m.Backend)
	if m.Fencing < v.fencing || (m.Fencing == v.fencing && from == v.owner && m.Seq <= v.seq) {
		return
	}
	v.owner, v.receivedAt, v.fencing, v.seq = from, now, m.Fencing, m.Seq
	if m.CachedUnchanged {
		m.Report.Cached = v.report.Cached
	}
	v.report, v.freeBytes, v.down = m.Report, m.FreeBytes, m.Down
	v.leaving = v.leaving || m.Report.Leaving
	p.updateHolders(v)
	if m.Row != nil {
		p.updateViewRow(v, *m.Row, m.RowVersion)
	}
	if o := p.owned[m.Backend]; o != nil && from != p.settings.Instance && m.Fencing > o.row.Fencing {
		// Another instance acts with a larger fencing number. Before anything
		// else is done with the row, it is read to check whether this instance
		// still owns it.
		o.ownershipUncertain = true
	}
}

// updateHolders updates the maps that are indexed by artifact from the report
// of v.
func (p *Placement) updateHolders(v *backendView) {
	before := v.held
	v.indexReport()
	for a := range before {
		if _, held := v.held[a]; !held {
			p.holders[a] = slices.DeleteFunc(p.holders[a], func(h *backendView) bool { return h == v })
			if len(p.holders[a]) == 0 {
				delete(p.holders, a)
			}
		}
	}
	for a := range v.held {
		if _, known := before[a]; !known {
			p.holders[a] = append(p.holders[a], v)
			slices.SortFunc(p.holders[a], compareViews)
		}
	}
}

func compareViews(x, y *backendView) int { return strings.Compare(string(x.name), string(y.name)) }

func (v *backendView) indexReport() {
	v.evictableBytes = 0
	v.held = make(map[id.Artifact]message.HeldArtifact, len(v.report.Held))
	for _, h := range v.report.Held {
		v.held[h.Artifact] = h
		if h.State == message.Unloading || (h.State == message.Loaded && h.Running == 0) {
			v.evictableBytes += h.Bytes
		}
	}
	v.cached = make(map[id.Artifact]message.CacheLevel, len(v.report.Cached))
	for _, c := range v.report.Cached {
		v.cached[c.Artifact] = c.Level
	}
}

// updateViewRow stores a newer row and updates standbyBackends from it.
func (p *Placement) updateViewRow(v *backendView, row table.Backend, version uint64) {
	if version <= v.rowVersion {
		return
	}
	for _, a := range v.row.Standby {
		if p.standbyBackends[a] == v.name {
			delete(p.standbyBackends, a)
		}
	}
	for _, a := range row.Standby {
		p.standbyBackends[a] = v.name
	}
	v.row, v.rowVersion = row, version
}

// Replica describes an artifact on a backend server.
type Replica struct {
	Backend     id.Backend
	Address     string
	State       message.LoadState // Cold if the artifact is not there
	Running     int               // requests that the server runs, for all artifacts
	ReportedAt  clock.Time        // when this instance received Running; 0: never
	Concurrency int               // limit of concurrent requests
	FreeBytes   int64             // unreserved memory
	CacheLevel  message.CacheLevel
	Leaving     bool
	Down        bool
	// ReadyIn is the expected time until the artifact is loaded: 0 if it is
	// loaded; if it is cold, the time if the load were decided now.
	ReadyIn time.Duration
}

// Replicas returns the state of a on each listed backend server of its group in
// the zone, sorted by name.
func (p *Placement) Replicas(a id.Artifact) []Replica {
	artifact, ok := p.configuredArtifact(a)
	if !ok {
		return nil
	}
	replicas := make([]Replica, 0, len(p.sortedViews))
	for _, v := range p.sortedViews {
		if v.unlisted || v.group.Name != artifact.Group {
			continue
		}
		replicas = append(replicas, p.newReplica(v, artifact))
	}
	return replicas
}

// HeldReplicas returns the state of a on the backend servers that hold any part
// of it, sorted by name. It equals Replicas without the cold ones, but its cost
// does not grow with the size of the zone.
func (p *Placement) HeldReplicas(a id.Artifact) []Replica {
	artifact, ok := p.configuredArtifact(a)
	if !ok || len(p.holders[a]) == 0 {
		return nil
	}
	replicas := make([]Replica, 0, len(p.holders[a]))
	for _, v := range p.holders[a] {
		if !v.unlisted && v.group.Name == artifact.Group {
			replicas = append(replicas, p.newReplica(v, artifact))
		}
	}
	return replicas
}

func (p *Placement) newReplica(v *backendView, artifact config.Artifact) Replica {
	return Replica{
		Backend:     v.name,
		Address:     v.address,
		State:       v.held[artifact.Name].State,
		Running:     v.report.Running,
		ReportedAt:  v.receivedAt,
		Concurrency: v.group.Concurrency,
		FreeBytes:   v.freeBytes,
		CacheLevel:  v.cacheLevel(artifact.Name),
		Leaving:     v.leaving,
		Down:        v.down || v.unavailable,
		ReadyIn:     p.readyIn(v, artifact),
	}
}

func (v *backendView) cacheLevel(a id.Artifact) message.CacheLevel {
	if l, ok := v.cached[a]; ok {
		return l
	}
	return message.CacheRemote
}

// broadcastState sends the state of o to the zone when it changed, and at
// regular intervals.
func (p *Placement) broadcastState(o *ownedBackend, now clock.Time, out *event.Outbox) {
	// Before the first report the state is unknown, and an empty one would make
	// loaded replicas look cold.
	if (!o.reportKnown && !o.down) || (!o.stateChanged && now.Before(o.nextBroadcastAt)) {
		return
	}
	o.stateChanged, o.nextBroadcastAt = false, now.Add(p.settings.BroadcastInterval)
	o.seq++
	m := message.BackendState{
		Backend: o.name, Fencing: o.row.Fencing, Seq: o.seq,
		Report: p.effectiveReport(o), FreeBytes: o.freeBytes(), Down: o.down, RowVersion: o.rowVersion,
	}
	p.handleBackendState(now, p.settings.Instance, m)
	full := o.seq%fullStateEvery == 0
	if full || o.sentRowVersion != o.rowVersion {
		row := o.row
		m.Row, o.sentRowVersion = &row, o.rowVersion
		p.updateViewRow(p.ensureView(o.name), row, o.rowVersion)
	}
	if !full && slices.Equal(o.sentCached, m.Report.Cached) {
		m.Report.Cached, m.CachedUnchanged = nil, true
	} else {
		o.sentCached = m.Report.Cached
	}
	for _, i := range p.members.InZone(p.settings.Zone) {
		if i != p.settings.Instance {
			out.Send(i, m)
		}
	}
}

// fullStateEvery is the number of states from one full state to the next. Those
// in between leave out an unchanged row and unchanged cached checkpoints; an
// instance that missed a change receives it with the full state.
const fullStateEvery = 10

// effectiveReport returns the last report, adjusted for later orders. A replica
// that is withdrawn must not look loaded, or requests would still be sent to
// it.
func (p *Placement) effectiveReport(o *ownedBackend) message.Report {
	r := o.report
	r.Held = slices.Clone(r.Held)
	for i, h := range r.Held {
		r.Held[i].State = p.effectiveState(o, h)
		if replica := o.replicas[h.Artifact]; replica != nil && replica.withdrawn {
			r.Held[i].State = message.Unloading
		}
	}
	for _, a := range o.sortedArtifacts() {
		if replica := o.replicas[a]; !replica.withdrawn && o.held[a].State == Cold && replica.loadSent {
			r.Held = append(r.Held, message.HeldArtifact{Artifact: a, State: message.Loading, Bytes: replica.bytes})
		}
	}
	return r
}
