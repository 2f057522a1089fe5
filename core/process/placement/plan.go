package placement

import (
	"slices"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// maxReplicaWrites is the maximum number of replica rows in one transaction.
const maxReplicaWrites = 8

// advance does everything that can be done for o now: it sends due orders,
// starts loads by standby right, and starts the next write to the row.
func (p *Placement) advance(o *ownedBackend, now clock.Time, out *event.Outbox) {
	p.startPoolLoads(o, now)
	p.sendDueOrders(o, now, out)
	p.resendFence(o, now, out)
	if o.pendingOp != nil || now.Before(o.tableRetryAt) || !p.rights.Valid(now) {
		return
	}
	switch {
	case o.ownershipUncertain:
		p.startReadBack(o, o.pendingWrite, out)
	case o.pendingWrite != nil:
		o.pendingOp = o.pendingWrite
		p.startCommit(o.pendingWrite, out)
	default:
		p.planWrite(o, now, out)
	}
}

// rowDraft is a planned write to an owned row.
type rowDraft struct {
	row           table.Backend
	replicaWrites []replicaWrite
	missingRows   []id.Artifact // replica rows that must be read first
	changed       bool
}

// planWrite starts the next write to the row of o. Steps that free memory or
// replicas come first.
func (p *Placement) planWrite(o *ownedBackend, now clock.Time, out *event.Outbox) {
	steps := []func(*ownedBackend, *rowDraft, clock.Time, *event.Outbox){
		p.planClaim, p.planRelease, p.planGiveUp, p.planRemove, p.planWithdraw, p.planFence, p.planResize, p.planLoad, p.planStandby,
	}
	for _, step := range steps {
		d := &rowDraft{row: cloneRow(o.row)}
		step(o, d, now, out)
		if len(d.missingRows) > 0 {
			p.startReplicaRead(o, d.missingRows, out)
			return
		}
		if d.changed {
			p.startWrite(o, &tableOp{row: d.row, expectedVersion: o.rowVersion, replicaWrites: d.replicaWrites}, out)
			return
		}
		if p.owned[o.name] != o {
			return
		}
	}
}

func cloneRow(row table.Backend) table.Backend {
	row.Reservations = slices.Clone(row.Reservations)
	row.Standby = slices.Clone(row.Standby)
	return row
}

func (p *Placement) startReplicaRead(o *ownedBackend, artifacts []id.Artifact, out *event.Outbox) {
	keys := make([]table.Key, 0, len(artifacts))
	for _, a := range artifacts {
		keys = append(keys, p.replicaKey(a))
	}
	o.pendingOp = &tableOp{kind: opReadReplicas, backend: o.name, artifacts: artifacts}
	p.startRead(o.pendingOp, keys, out)
}

// replicaRowFor returns a copy of the cached replica row of a that may be
// changed. If none is cached, it adds a to the rows that must be read first and
// returns false.
func (p *Placement) replicaRowFor(d *rowDraft, a id.Artifact) (replicaRow, bool) {
	r, ok := p.replicaRows[a]
	if !ok {
		d.missingRows = append(d.missingRows, a)
		return r, false
	}
	r.row.Decided = slices.Clone(r.row.Decided)
	return r, true
}

func (d *rowDraft) addReplicaWrite(r replicaRow) {
	d.replicaWrites = append(d.replicaWrites, replicaWrite{r.row, r.version})
	d.changed = true
}

// full reports whether the transaction can hold no more replica rows.
func (d *rowDraft) full() bool { return len(d.replicaWrites)+len(d.missingRows) >= maxReplicaWrites }

// planClaim writes this instance as owner into a row that was handed over. It
// also raises the fencing number if the engine has seen a larger one than the
// row has: an engine that outlived the loss of its row would otherwise refuse
// all orders.
func (p *Placement) planClaim(o *ownedBackend, d *rowDraft, now clock.Time, out *event.Outbox) {
	if o.unclaimed {
		d.row.Owner, d.changed = p.settings.Instance, true
		d.row.Fencing++
	}
	if engineFencing := o.report.Fencing; p.checksFencing(o.name) && engineFencing > d.row.Fencing {
		d.row.Fencing, d.changed = engineFencing+1, true
	}
}

// planRelease releases the row once no order waits for its answer.
func (p *Placement) planRelease(o *ownedBackend, d *rowDraft, now clock.Time, out *event.Outbox) {
	if !p.releaseDue(o, now) {
		return
	}
	for _, replica := range o.replicas {
		if replica.orderPending && now.Before(replica.retryAt) {
			return
		}
	}
	d.row.Owner, d.changed = "", true
}

// planRemove removes the reservations, and their decisions, of artifacts that
// are proven absent from the engine.
func (p *Placement) planRemove(o *ownedBackend, d *rowDraft, now clock.Time, out *event.Outbox) {
	for _, a := range o.sortedArtifacts() {
		replica := o.replicas[a]
		if replica.inPool || !replica.withdrawn || !p.provenAbsent(o, replica) || d.full() {
			continue
		}
		r, ok := p.replicaRowFor(d, a)
		if !ok {
			continue
		}
		r.row.Decided = slices.DeleteFunc(r.row.Decided, func(b id.Backend) bool { return b == o.name })
		d.row.Reservations = slices.DeleteFunc(d.row.Reservations, func(r table.Reservation) bool { return r.Artifact == a })
		d.addReplicaWrite(r)
	}
	if d.changed {
		// Fences off late unload orders, which would otherwise unload a later
		// load.
		d.row.Fencing++
	}
}

// planGiveUp gives up the decisions on a backend server that is leaving, so
// that the artifacts can be loaded elsewhere. The reservations stay until a
// report shows that the artifacts are gone, or forever if the server is gone.
func (p *Placement) planGiveUp(o *ownedBackend, d *rowDraft, now clock.Time, out *event.Outbox) {
	if !o.leaving {
		return
	}
	for i, r := range d.row.Reservations {
		if r.State == table.Decided && !d.full() && p.removeDecision(o, d, r.Artifact) {
			d.row.Reservations[i].State = table.Withdrawn
		}
	}
	for _, a := range o.row.Standby {
		if !d.full() && p.removeDecision(o, d, a) {
			d.row.Standby = slices.DeleteFunc(d.row.Standby, func(s id.Artifact) bool { return s == a })
		}
	}
	if d.changed {
		d.row.Fencing++
	}
}

// removeDecision removes o from the replica row of a.
func (p *Placement) removeDecision(o *ownedBackend, d *rowDraft, a id.Artifact) bool {
	if slices.ContainsFunc(d.replicaWrites, func(r replicaWrite) bool { return r.row.Artifact == a }) {
		return true
	}
	r, ok := p.replicaRowFor(d, a)
	if !ok {
		return false
	}
	r.row.Decided = slices.DeleteFunc(r.row.Decided, func(b id.Backend) bool { return b == o.name })
	if r.row.Standby == o.name {
		r.row.Standby = ""
	}
	d.addReplicaWrite(r)
	return true
}

// planFence raises the fencing number for a withdrawn pre-authorised replica,
// so that an engine that checks fencing numbers refuses late orders to load it.
// While the table is unavailable, the memory stays counted until no such order
// can arrive any more, which may take minutes.
func (p *Placement) planFence(o *ownedBackend, d *rowDraft, now clock.Time, out *event.Outbox) {
	if !p.checksFencing(o.name) {
		return
	}
	for _, replica := range o.replicas {
		if replica.inPool && replica.withdrawn && replica.maxLoadFencing >= o.row.Fencing && now.Before(replica.quietAt) {
			d.row.Fencing, d.changed = o.row.Fencing+1, true
		}
	}
}

// resendFence repeats the fence order until a report shows that the engine has
// seen the number.
func (p *Placement) resendFence(o *ownedBackend, now clock.Time, out *event.Outbox) {
	if o.reportKnown && !o.poolKnown && o.report.Fencing < o.row.Fencing && now.Reached(o.nextFenceAt) {
		p.sendFence(o, now, out)
	}
}
