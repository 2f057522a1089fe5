package placement

import (
	"slices"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// maxBatch is how many replica rows one transaction may write.
const maxReplicaWrites = 8

// advance does all that can be done for o now: orders that are due, loads by
// standby right, and the next write to its row.
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

// draft is a write in the making.
type rowDraft struct {
	row           table.Backend
	replicaWrites []replicaWrite
	missingRows   []id.Artifact // replica rows that must be read first
	changed       bool
}

// plan makes the next write to o's row. What frees something goes first.
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
			p.startWrite(o, &op{row: d.row, expectedVersion: o.rowVersion, replicaWrites: d.replicaWrites}, out)
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

func (p *Placement) startReplicaRead(o *ownedBackend, wanted []id.Artifact, out *event.Outbox) {
	keys := make([]table.Key, 0, len(wanted))
	for _, a := range wanted {
		keys = append(keys, p.replicaKey(a))
	}
	o.pendingOp = &op{kind: opReadReplicas, backend: o.name, artifacts: wanted}
	p.startRead(o.pendingOp, keys, out)
}

// replica returns a copy of the replica row of a to change, or notes that it
// must be read first.
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

func (d *rowDraft) full() bool { return len(d.replicaWrites)+len(d.missingRows) >= maxReplicaWrites }

// planClaim puts this instance's name on a row that was handed over. It also
// overtakes an engine that saw a larger number than the row has, though the row
// is ours: one that outlived a row which was lost would refuse all orders.
func (p *Placement) planClaim(o *ownedBackend, d *rowDraft, now clock.Time, out *event.Outbox) {
	if o.unclaimed {
		d.row.Owner, d.changed = p.settings.Instance, true
		d.row.Fencing++
	}
	if engineFencing := o.report.Fencing; p.checksFencing(o.name) && engineFencing > d.row.Fencing {
		d.row.Fencing, d.changed = engineFencing+1, true
	}
}

// planRelease gives the row up once all orders are answered.
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

// planRemove removes the reservations of which the engine proved to hold
// nothing, and the decisions with them.
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
		// Shuts out late unload orders, which would hit a later load.
		d.row.Fencing++
	}
}

// planGiveUp gives up what was decided on a backend server that leaves, so that
// it can be decided elsewhere. The reservations stay until a report shows them
// gone, or for good with the server.
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

// undecide takes o out of the replica row of a.
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

// planFence raises the fencing number for a withdrawn pre-authorised replica, so
// that a checking engine shuts out its load orders. Without the table its memory
// is counted until they can't be under way any more, which may take minutes.
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

// refence sends the fence again until a report shows that it was seen.
func (p *Placement) resendFence(o *ownedBackend, now clock.Time, out *event.Outbox) {
	if o.reportKnown && !o.poolKnown && o.report.Fencing < o.row.Fencing && now.Reached(o.nextFenceAt) {
		p.sendFence(o, now, out)
	}
}
