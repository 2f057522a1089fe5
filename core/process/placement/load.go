package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// wantFresh is how long a Want counts that is not repeated.
const loadRequestTTL = 2 * time.Second

// gateFresh is some ticks: a want that only the weight store holds up asks it
// again with each.
const storeWaitTTL = 3 * tickInterval

// want is a load that a queue owner asks for.
type loadRequest struct {
	artifact     id.Artifact
	class        config.Class
	deadline     clock.Time
	waiting      int
	receivedAt   clock.Time
	waitingSince clock.Time // when requests began to wait for it
	expiresAt    clock.Time
	forwarded    bool
	forAdapter   bool       // wanted only for the sake of an adapter
	storeWaitAt  clock.Time // when nothing but the weight store kept it waiting
}

// gated reports whether w waits for nothing but the weight store. One that is
// held up by something else since, as a table that does not answer, must not
// hold up others.
func (req *loadRequest) waitsForStore(now clock.Time) bool {
	return req.storeWaitAt != 0 && now.Sub(req.storeWaitAt) <= storeWaitTTL && now.Before(req.expiresAt)
}

// urgency numbers the classes, the most urgent 0.
func classRank(c config.Class) int {
	switch c {
	case config.Urgent:
		return 0
	case config.Interactive:
		return 1
	}
	return 2
}

// compareWants orders by class, then by the earliest deadline.
func compareLoadRequests(a, b *loadRequest) int {
	return cmp.Or(
		cmp.Compare(classRank(a.class), classRank(b.class)),
		cmp.Compare(a.deadline, b.deadline),
		cmp.Compare(a.artifact, b.artifact))
}

// want handles a Want. It is idempotent: a repeat only brings it up to date.
func (p *Placement) handleWant(now clock.Time, m message.Want, out *event.Outbox) {
	o := p.owned[m.Backend]
	if o == nil {
		p.ensureView(m.Backend).referenced = true
		return
	}
	if _, ok := p.configuredArtifact(m.Artifact); !ok {
		return
	}
	p.recordArrival(now, m.Artifact)
	req := o.loadRequests[m.Artifact]
	if req == nil {
		req = &loadRequest{artifact: m.Artifact, receivedAt: now}
		o.loadRequests[m.Artifact] = req
	}
	req.class, req.deadline, req.waiting = m.Class, now.Add(m.Within), m.Waiting
	req.waitingSince = now.Add(-m.Waited)
	p.lastClass[m.Artifact] = m.Class
	req.expiresAt, req.forwarded, req.forAdapter = now.Add(loadRequestTTL), m.Forwarded, false
	p.advance(o, now, out)
}

// sortedWants drops the wants that are over, and returns the others.
func (o *ownedBackend) activeLoadRequests(now clock.Time) []*loadRequest {
	for a, req := range o.loadRequests {
		if now.Reached(req.expiresAt) || o.held[a].State == message.Loaded || now.Before(o.refusedUntil[a]) {
			delete(o.loadRequests, a)
		}
	}
	return slices.SortedFunc(maps.Values(o.loadRequests), compareLoadRequests)
}

// planLoad decides the most urgent load that has room.
func (p *Placement) planLoad(o *ownedBackend, d *rowDraft, now clock.Time, out *event.Outbox) {
	if !o.reportKnown || o.leaving || o.down || p.releaseDue(o, now) {
		return
	}
	for _, req := range o.activeLoadRequests(now) {
		if o.replicas[req.artifact] != nil || o.held[req.artifact].State != Cold {
			continue
		}
		if !p.hasBaseModel(o, req.artifact) {
			p.requestBaseModel(o, req)
			continue
		}
		p.decideLoad(o, d, req, now, out)
		if d.changed || len(d.missingRows) > 0 {
			return
		}
	}
}

func (p *Placement) decideLoad(o *ownedBackend, d *rowDraft, req *loadRequest, now clock.Time, out *event.Outbox) {
	artifact, ok := p.configuredArtifact(req.artifact)
	if !ok {
		return
	}
	r, ok := p.replicaRowFor(d, req.artifact)
	if !ok || p.poolCanFit(o, req, artifact, now) {
		return
	}
	if p.standbyElsewhere(o, req, r.row) || !p.withinReplicaLimit(r.row, o.name, artifact) {
		p.handleReplicaLimit(o, d, req, r, now, out)
		return
	}
	if !p.fits(d.row, artifact.Bytes) {
		req.storeWaitAt = 0
		p.findMemory(o, d, req, r, artifact, now)
		return
	}
	if !p.weightStore.tryStart(p, o, req, now) {
		return
	}
	p.addLoad(o, d, r, artifact)
}

// yieldAfter is how long a want must be without room before the standby right is
// given up: what was just loaded is not in the report yet, and can't be evicted.
const relinquishDelay = time.Second

// findRoom makes room for c: in the pool if that has room, else by evictions. If
// there is none for a while, c must go elsewhere.
func (p *Placement) findMemory(o *ownedBackend, d *rowDraft, req *loadRequest, r replicaRow, artifact config.Artifact, now clock.Time) {
	switch {
	case p.canAddToPool(o, req, r, artifact, false, now):
		p.addStandby(o, d, artifact.Name)
	case p.freeMemory(o, d, req, artifact, now):
	case p.canAddToPool(o, req, r, artifact, true, now):
		p.addStandby(o, d, artifact.Name)
	case now.Sub(req.receivedAt) >= relinquishDelay:
		p.relinquishStandby(o, d, artifact.Name, now)
		p.dropAdapterRequests(o, d, artifact.Name, now)
	}
}

// addLoad writes the decision into the draft. Both limits are asserted where
// they are written; the transaction holds only if nobody changed the rows.
func (p *Placement) addLoad(o *ownedBackend, d *rowDraft, r replicaRow, artifact config.Artifact) {
	row := cloneRow(d.row)
	row.Reservations = append(row.Reservations, table.Reservation{
		Artifact: artifact.Name, Order: o.newOrderID(), Bytes: artifact.Bytes, State: table.Decided,
	})
	if !slices.Contains(r.row.Decided, o.name) {
		r.row.Decided = append(r.row.Decided, o.name)
	}
	memoryOK := p.checker.Hold(reservedBytes(row) <= row.Bytes, "memory-overcommitted",
		"%s at %s: %d of %d bytes", artifact.Name, o.name, reservedBytes(row), row.Bytes)
	countOK := p.checker.Hold(len(decidedBackends(r.row)) <= maxReplicas(artifact), "too-many-replicas",
		"%s: %v", artifact.Name, decidedBackends(r.row))
	if memoryOK && countOK {
		d.row = row
		d.addReplicaWrite(r)
	}
	if p.disabled.commitBeforeOrder {
		o.replicas[artifact.Name] = &managedReplica{artifact: artifact.Name, bytes: artifact.Bytes}
	}
}

// places returns where a replica may be loaded; the standby counts as decided.
func decidedBackends(r table.Replica) []id.Backend {
	backends := slices.Clone(r.Decided)
	if r.Standby != "" && !slices.Contains(backends, r.Standby) {
		backends = append(backends, r.Standby)
	}
	return backends
}

func maxReplicas(artifact config.Artifact) int { return max(artifact.MaxReplicas, 1) }

// allowed reports whether one more replica at b is within the limit.
func (p *Placement) withinReplicaLimit(r table.Replica, b id.Backend, artifact config.Artifact) bool {
	backends := decidedBackends(r)
	if !slices.Contains(backends, b) {
		backends = append(backends, b)
	}
	return len(backends) <= maxReplicas(artifact) || p.disabled.replicaLimit
}

func (p *Placement) fits(row table.Backend, bytes int64) bool {
	return reservedBytes(row)+bytes <= row.Bytes || p.disabled.memoryLimit
}

// elsewhere reports whether the artifact is pre-authorised, but cold, on
// another backend server: a load there needs no further decision, and one here
// would leave that right standing beside it.
func (p *Placement) standbyElsewhere(o *ownedBackend, req *loadRequest, r table.Replica) bool {
	if r.Standby == "" || r.Standby == o.name || req.forwarded || slices.Contains(r.Decided, r.Standby) {
		return false
	}
	v := p.views[r.Standby]
	return v == nil || v.held[req.artifact].State == Cold
}

// replicaFresh is how long a replica row is believed that denies a load.
const replicaRowTTL = time.Second

// denied reads a row again that denies a load, since another owner may have
// changed it; else it passes the want on to the owners of the places that it
// names. That also tells an instance of a backend server that has gone, and
// whose decisions nobody gave up.
func (p *Placement) handleReplicaLimit(o *ownedBackend, d *rowDraft, req *loadRequest, r replicaRow, now clock.Time, out *event.Outbox) {
	if now.Sub(r.readAt) > replicaRowTTL {
		d.missingRows = append(d.missingRows, req.artifact)
		return
	}
	delete(o.loadRequests, req.artifact)
	if req.forAdapter {
		p.dropAdapterRequests(o, d, req.artifact, now)
	}
	for _, b := range decidedBackends(r.row) {
		if b == o.name || req.forwarded {
			continue
		}
		out.Send(p.ownerOf(b), message.Want{
			Backend: b, Artifact: req.artifact, Class: req.class, Within: max(req.deadline.Sub(p.now), 0),
			Waiting: req.waiting, Forwarded: true, Waited: now.Sub(req.waitingSince),
		})
	}
}

// planResize follows the configured memory of the group, or the engine's own
// word where none is configured.
func (p *Placement) planResize(o *ownedBackend, d *rowDraft, now clock.Time, out *event.Outbox) {
	if !o.reportKnown || o.leaving {
		return
	}
	p.setMemory(&d.row, o.report.Bytes)
	d.changed = d.row.Bytes != o.row.Bytes || d.row.StandbyBytes != o.row.StandbyBytes
}

// size sets the memory of a row, and sets the standby pool aside while there is
// room for it.
func (p *Placement) setMemory(row *table.Backend, reported int64) {
	row.Bytes = reported
	if v := p.views[row.Name]; v != nil && v.group.MemoryBytes > 0 {
		row.Bytes = v.group.MemoryBytes
	}
	standbyBytes := int64(p.settings.StandbyShare * float64(row.Bytes))
	if row.StandbyBytes == 0 && standbyBytes > 0 && reservedBytes(*row)+standbyBytes <= row.Bytes {
		row.StandbyBytes = standbyBytes
	}
}
