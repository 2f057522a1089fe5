package placement

import (
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// ownedBackend is a backend server that this instance owns.
type ownedBackend struct {
	name               id.Backend
	row                table.Backend // last known content of the table row
	rowVersion         uint64
	pendingOp          *tableOp   // the one table operation on the row that is under way
	pendingWrite       *tableOp   // write whose outcome is not known yet
	tableRetryAt       clock.Time // no table operation before this time
	unclaimed          bool       // taken over by handover: the row still names the previous owner
	ownershipUncertain bool       // another instance may have acquired it: read the row first
	releaseAt          clock.Time // when it is released; 0: not planned

	replicas     map[id.Artifact]*managedReplica
	loadRequests map[id.Artifact]*loadRequest
	refusedUntil map[id.Artifact]clock.Time // by the engine: no load before this time
	orderCount   uint64                     // number of order ids issued

	report        message.Report
	held          map[id.Artifact]message.HeldArtifact
	reportAskedAt clock.Time // when report was requested
	reportKnown   bool       // a report was received since startOwning
	ownedSince    clock.Time
	nextReportAt  clock.Time
	nextFenceAt   clock.Time // no fence order before this time
	lastReportAt  clock.Time
	down          bool
	leaving       bool

	nextIdleCheckAt clock.Time // when idle replicas are checked next
	nextStandbyAt   clock.Time // when standby rights are checked next

	// The content of the standby pool is not in the table. poolKnown says that
	// a report has shown it after the last possible order of an earlier owner.
	poolKnown   bool
	poolQuietAt clock.Time // no order of an earlier owner can arrive after this time

	seq             uint64 // sequence number of the last state sent
	nextBroadcastAt clock.Time
	stateChanged    bool
	sentRowVersion  uint64                   // version of the last row sent
	sentCached      []message.CachedArtifact // cached checkpoints last sent
}

// releaseDelay is how long another instance must be the preferred owner before
// a backend server is released to it, so that an instance that repeatedly comes
// and goes causes no moves.
const releaseDelay = 3 * time.Second

// readUnownedRows reads the rows that this instance should own and does not.
func (p *Placement) readUnownedRows(now clock.Time, out *event.Outbox) {
	if p.handedOver || now.Before(p.nextOwnershipCheckAt) || p.ownershipReadPending || !p.rights.Valid(now) {
		return
	}
	p.nextOwnershipCheckAt = now.Add(p.settings.OwnershipCheckInterval)
	var keys []table.Key
	for _, v := range p.sortedViews {
		if p.owned[v.name] == nil && p.shouldOwn(v) {
			keys = append(keys, backendKey(v.name))
		}
	}
	if len(keys) > 0 {
		p.ownershipReadPending = true
		p.startRead(&tableOp{kind: opReadUnowned}, keys, out)
	}
}

// shouldOwn reports whether this instance is the preferred owner of v, or the
// row may name it after an acquire with unknown outcome: in that case no other
// instance could acquire it. A backend server that is no longer listed is still
// owned, so that its decisions are given up.
func (p *Placement) shouldOwn(v *backendView) bool {
	if _, uncertain := p.uncertainAcquires[v.name]; uncertain {
		return true
	}
	return (!v.unlisted || v.rowVersion > 0 || v.referenced) && p.preferredOwner(v.name) == p.settings.Instance
}

// handleUnownedRows acquires those of the rows that have no active owner.
func (p *Placement) handleUnownedRows(now clock.Time, r event.TableResult, out *event.Outbox) {
	p.ownershipReadPending = false
	if r.Outcome != table.Done {
		return
	}
	rows := map[id.Backend]table.Row{}
	for _, row := range r.Rows {
		rows[id.Backend(row.Key.ID)] = row
	}
	for _, v := range p.sortedViews {
		if p.owned[v.name] != nil || !p.shouldOwn(v) || p.acquiring(v.name) {
			continue
		}
		row, present := rows[v.name]
		if present || !v.unlisted {
			p.startAcquire(now, v, row, out)
		}
	}
}

// startAcquire acquires a row that is absent, released, or whose owner's
// session has ended. A row that already names this instance belongs to an
// acquire whose result was lost.
func (p *Placement) startAcquire(now clock.Time, v *backendView, r table.Row, out *event.Outbox) {
	row, _ := r.Body.(table.Backend)
	if expectedVersion, uncertain := p.uncertainAcquires[v.name]; uncertain && r.Version > expectedVersion && row.Owner != p.settings.Instance {
		delete(p.uncertainAcquires, v.name) // another instance's write came first
		return
	}
	available := row.Owner == "" || row.Owner == p.settings.Instance || p.rights.HasEnded(row.Owner)
	if !available || p.ownedByHandover(now, v, row) {
		return
	}
	row.Name, row.Zone = v.name, p.settings.Zone
	row.Owner = p.settings.Instance
	row.Fencing++
	if r.Version == 0 {
		p.setMemory(&row, 0)
	}
	p.startCommit(&tableOp{kind: opAcquire, backend: v.name, row: row, expectedVersion: r.Version}, out)
}

// ownedByHandover reports whether another instance acts as owner though the row
// does not name it: the owner in the row handed it over while they could not
// reach the table. A released row does not count: whoever acted on it before
// has given it up.
func (p *Placement) ownedByHandover(now clock.Time, v *backendView, row table.Backend) bool {
	return row.Owner != "" && v.owner != "" && v.owner != p.settings.Instance && v.owner != row.Owner &&
		v.fencing >= row.Fencing && now.Sub(v.receivedAt) < ownerTTL && !p.rights.HasEnded(v.owner)
}

// acquiring reports whether an acquire of b is under way.
func (p *Placement) acquiring(b id.Backend) bool {
	for _, op := range p.ops {
		if op.kind == opAcquire && op.backend == b {
			return true
		}
	}
	return false
}

// handleAcquireResult handles the result of an acquire. If the outcome is
// unknown, the row is read again until it shows whose write came first.
func (p *Placement) handleAcquireResult(now clock.Time, op *tableOp, r event.TableResult, out *event.Outbox) {
	switch r.Outcome {
	case table.Unknown:
		p.uncertainAcquires[op.backend] = op.expectedVersion
	case table.Done:
		delete(p.uncertainAcquires, op.backend)
	}
	if r.Outcome != table.Done || p.handedOver || p.owned[op.backend] != nil {
		return
	}
	o := p.startOwning(now, op.row, op.expectedVersion+1, false)
	p.requestReport(o, now, out)
	p.sendFence(o, now, out)
	p.advance(o, now, out)
}

// startOwning adds the backend server to those owned. Orders of an earlier
// owner may still arrive, so everything it reserved counts as ordered until the
// quiet period is over.
func (p *Placement) startOwning(now clock.Time, row table.Backend, version uint64, unclaimed bool) *ownedBackend {
	o := &ownedBackend{
		name: row.Name, row: row, rowVersion: version, unclaimed: unclaimed,
		replicas: map[id.Artifact]*managedReplica{}, loadRequests: map[id.Artifact]*loadRequest{},
		refusedUntil: map[id.Artifact]clock.Time{}, held: map[id.Artifact]message.HeldArtifact{},
		ownedSince: now, nextReportAt: now, lastReportAt: now, poolQuietAt: now.Add(p.maxOrderTime(row.Name)), stateChanged: true,
	}
	p.owned[row.Name] = o
	p.syncOwnedNames()
	p.syncReplicas(o, now, true)
	return o
}

// stopOwning removes the backend server from those owned; o must not be used
// afterwards.
func (p *Placement) stopOwning(o *ownedBackend) {
	delete(p.owned, o.name)
	if o.pendingOp != nil {
		delete(p.ops, o.pendingOp.number)
	}
	p.syncOwnedNames()
}

// releaseDue reports whether o should be released now, because another instance
// has been the preferred owner for releaseDelay.
func (p *Placement) releaseDue(o *ownedBackend, now clock.Time) bool {
	if preferred := p.preferredOwner(o.name); preferred == p.settings.Instance || preferred == "" {
		o.releaseAt = 0
		return false
	}
	if o.releaseAt == 0 {
		o.releaseAt = now.Add(releaseDelay)
	}
	return now.Reached(o.releaseAt)
}

// freeBytes is the unreserved memory.
func (o *ownedBackend) freeBytes() int64 {
	return max(o.row.Bytes-reservedBytes(o.row), 0)
}

func reservedBytes(row table.Backend) int64 {
	sum := row.StandbyBytes
	for _, r := range row.Reservations {
		sum += r.Bytes
	}
	return sum
}

func findReservation(row table.Backend, a id.Artifact) (table.Reservation, bool) {
	for _, r := range row.Reservations {
		if r.Artifact == a {
			return r, true
		}
	}
	return table.Reservation{}, false
}

func (o *ownedBackend) sortedArtifacts() []id.Artifact { return slices.Sorted(maps.Keys(o.replicas)) }
