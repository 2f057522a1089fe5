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

// loadRequestTTL is how long a load request stays valid without a repeated
// Want.
const loadRequestTTL = 2 * time.Second

// storeWaitTTL is a few ticks: a request that waits only for the weight store
// tries it again at every tick.
const storeWaitTTL = 3 * tickInterval

// loadRequest is a load requested by a queue owner.
type loadRequest struct {
	artifact     id.Artifact
	class        config.Class
	deadline     clock.Time
	waiting      int // number of waiting requests
	receivedAt   clock.Time
	waitingSince clock.Time // when requests began to wait for the artifact
	expiresAt    clock.Time
	forwarded    bool       // by the owner of another backend server; not forwarded again
	forAdapter   bool       // requested only because an adapter needs the model
	storeWaitAt  clock.Time // when only the weight store last delayed it; 0: not delayed by it
}

// waitsForStore reports whether only the weight store delays the request. One
// that has since been delayed by something else, such as an unresponsive table,
// must not delay other requests.
func (req *loadRequest) waitsForStore(now clock.Time) bool {
	return req.storeWaitAt != 0 && now.Sub(req.storeWaitAt) <= storeWaitTTL && now.Before(req.expiresAt)
}

// classRank numbers the classes by urgency; 0 is the most urgent.
func classRank(c config.Class) int {
	switch c {
	case config.Urgent:
		return 0
	case config.Interactive:
		return 1
	}
	return 2
}

// compareLoadRequests orders requests by class, then by the earliest deadline.
func compareLoadRequests(a, b *loadRequest) int {
	return cmp.Or(
		cmp.Compare(classRank(a.class), classRank(b.class)),
		cmp.Compare(a.deadline, b.deadline),
		cmp.Compare(a.artifact, b.artifact))
}

// handleWant handles a Want. It is idempotent: a repeated Want only updates the
// request.
func (p *Placement) handleWant(now clock.Time, m message.LoadRequest, out *event.Outbox) {
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
	req.class, req.deadline, req.waiting = m.Class, now.Add(m.TimeToDeadline), m.Waiting
	req.waitingSince = now.Add(-m.Waited)
	p.lastClass[m.Artifact] = m.Class
	req.expiresAt, req.forwarded, req.forAdapter = now.Add(loadRequestTTL), m.Forwarded, false
	p.advance(o, now, out)
}

// activeLoadRequests deletes the requests that are expired, fulfilled or
// refused, and returns the others, the most urgent first.
func (o *ownedBackend) activeLoadRequests(now clock.Time) []*loadRequest {
	for a, req := range o.loadRequests {
		if now.Reached(req.expiresAt) || o.held[a].State == message.Loaded || now.Before(o.refusedUntil[a]) {
			delete(o.loadRequests, a)
		}
	}
	return slices.SortedFunc(maps.Values(o.loadRequests), compareLoadRequests)
}

// planLoad decides the most urgent load that can be decided now.
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

// relinquishDelay is how long a request must lack memory before the standby
// right is given up. Artifacts that were just loaded are not in the report yet
// and can't be evicted, so an earlier decision would be premature.
const relinquishDelay = time.Second

// findMemory finds memory for the artifact: in the standby pool if there is
// enough, else by evictions. If there has been none for relinquishDelay, the
// standby right is given up so that the artifact can be loaded elsewhere.
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

// addLoad adds a reservation and a decision to the draft. The invariants of
// both limits are checked here; the transaction takes effect only if the rows
// are unchanged.
func (p *Placement) addLoad(o *ownedBackend, d *rowDraft, r replicaRow, artifact config.Artifact) {
	row := cloneRow(d.row)
	row.Reservations = append(row.Reservations, table.Reservation{
		Artifact: artifact.Name, Order: o.newOrderID(), Bytes: artifact.Bytes, State: table.Decided,
	})
	if !slices.Contains(r.row.Decided, o.name) {
		r.row.Decided = append(r.row.Decided, o.name)
	}
	memoryOK := p.checker.Hold(reservedBytes(row) <= row.Bytes, "memory-overcommitted",
		"%s on %s: %d of %d bytes reserved", artifact.Name, o.name, reservedBytes(row), row.Bytes)
	countOK := p.checker.Hold(len(decidedBackends(r.row)) <= maxReplicas(artifact), "too-many-replicas",
		"%s is decided on %v", artifact.Name, decidedBackends(r.row))
	if memoryOK && countOK {
		d.row = row
		d.addReplicaWrite(r)
	}
	if p.disabled.commitBeforeOrder {
		o.replicas[artifact.Name] = &managedReplica{artifact: artifact.Name, bytes: artifact.Bytes}
	}
}

// decidedBackends returns the backend servers where the artifact may be loaded,
// including its standby.
func decidedBackends(r table.Replica) []id.Backend {
	backends := slices.Clone(r.Decided)
	if r.Standby != "" && !slices.Contains(backends, r.Standby) {
		backends = append(backends, r.Standby)
	}
	return backends
}

func maxReplicas(artifact config.Artifact) int { return max(artifact.MaxReplicas, 1) }

// withinReplicaLimit reports whether a replica at b keeps the artifact within
// its limit.
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

// standbyElsewhere reports whether the artifact is pre-authorised on another
// backend server and cold there. A load there needs no further decision; a load
// here would leave that right in place as a second permitted replica.
func (p *Placement) standbyElsewhere(o *ownedBackend, req *loadRequest, r table.Replica) bool {
	if r.Standby == "" || r.Standby == o.name || req.forwarded || slices.Contains(r.Decided, r.Standby) {
		return false
	}
	v := p.views[r.Standby]
	return v == nil || v.held[req.artifact].State == Cold
}

// replicaRowTTL is how long a cached replica row may be used to deny a load.
const replicaRowTTL = time.Second

// handleReplicaLimit handles a load that the replica row does not permit. If
// the cached row is old, it is read again, since another owner may have changed
// it. Otherwise the request is forwarded to the owners of the backend servers
// that the row names. This also makes an instance aware of a backend server
// that has disappeared and whose decisions were never given up.
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
		out.Send(p.ownerOf(b), message.LoadRequest{
			Backend: b, Artifact: req.artifact, Class: req.class, TimeToDeadline: max(req.deadline.Sub(p.now), 0),
			Waiting: req.waiting, Forwarded: true, Waited: now.Sub(req.waitingSince),
		})
	}
}

// planResize sets the memory to the configured value of the group or, if none
// is configured, to the value that the engine reports.
func (p *Placement) planResize(o *ownedBackend, d *rowDraft, now clock.Time, out *event.Outbox) {
	if !o.reportKnown || o.leaving {
		return
	}
	p.setMemory(&d.row, o.report.Bytes)
	d.changed = d.row.Bytes != o.row.Bytes || d.row.StandbyBytes != o.row.StandbyBytes
}

// setMemory sets the memory of a row, and sets aside the standby pool if there
// is enough unreserved memory.
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
