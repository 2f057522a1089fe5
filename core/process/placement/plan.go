package placement

import (
	"slices"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// maxBatch is how many replica rows one transaction may write.
const maxBatch = 8

// advance does all that can be done for o now: orders that are due, loads by
// standby right, and the next write to its row.
func (p *Placement) advance(o *owned, now clock.Time, out *event.Outbox) {
	p.servePool(o, now)
	p.carryOut(o, now, out)
	p.refence(o, now, out)
	if o.op != nil || now.Before(o.retryAt) || !p.rights.Valid(now) {
		return
	}
	switch {
	case o.doubted:
		p.askBack(o, o.writing, out)
	case o.writing != nil:
		o.op = o.writing
		p.commit(o.writing, out)
	default:
		p.plan(o, now, out)
	}
}

// draft is a write in the making.
type draft struct {
	row     table.Backend
	also    []replicaWrite
	missing []id.Artifact // replica rows that must be read first
	changed bool
}

// plan makes the next write to o's row. What frees something goes first.
func (p *Placement) plan(o *owned, now clock.Time, out *event.Outbox) {
	steps := []func(*owned, *draft, clock.Time, *event.Outbox){
		p.planClaim, p.planRelease, p.planGiveUp, p.planRemove, p.planWithdraw, p.planFence, p.planResize, p.planLoad, p.planStandby,
	}
	for _, step := range steps {
		d := &draft{row: cloneRow(o.row)}
		step(o, d, now, out)
		if len(d.missing) > 0 {
			p.readReplicas(o, d.missing, out)
			return
		}
		if d.changed {
			p.write(o, &op{row: d.row, expect: o.version, also: d.also}, out)
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

func (p *Placement) readReplicas(o *owned, wanted []id.Artifact, out *event.Outbox) {
	keys := make([]table.Key, 0, len(wanted))
	for _, a := range wanted {
		keys = append(keys, p.replicaKey(a))
	}
	o.op = &op{kind: opReplicaRead, backend: o.name, wanted: wanted}
	p.read(o.op, keys, out)
}

// replica returns a copy of the replica row of a to change, or notes that it
// must be read first.
func (p *Placement) replicaFor(d *draft, a id.Artifact) (replicaRow, bool) {
	r, ok := p.replicas[a]
	if !ok {
		d.missing = append(d.missing, a)
		return r, false
	}
	r.row.Decided = slices.Clone(r.row.Decided)
	return r, true
}

func (d *draft) writeReplica(r replicaRow) {
	d.also = append(d.also, replicaWrite{r.row, r.version})
	d.changed = true
}

func (d *draft) full() bool { return len(d.also)+len(d.missing) >= maxBatch }

// planClaim puts this instance's name on a row that was handed over. It also
// overtakes an engine that saw a larger number than the row has, though the row
// is ours: one that outlived a row which was lost would refuse all orders.
func (p *Placement) planClaim(o *owned, d *draft, now clock.Time, out *event.Outbox) {
	if o.claim {
		d.row.Owner, d.changed = p.set.Instance, true
		d.row.Fencing++
	}
	if seen := o.report.Fencing; p.checksFencing(o.name) && seen > d.row.Fencing {
		d.row.Fencing, d.changed = seen+1, true
	}
}

// planRelease gives the row up once all orders are answered.
func (p *Placement) planRelease(o *owned, d *draft, now clock.Time, out *event.Outbox) {
	if !p.moving(o, now) {
		return
	}
	for _, w := range o.works {
		if w.pending && now.Before(w.retryAt) {
			return
		}
	}
	d.row.Owner, d.changed = "", true
}

// planRemove removes the reservations of which the engine proved to hold
// nothing, and the decisions with them.
func (p *Placement) planRemove(o *owned, d *draft, now clock.Time, out *event.Outbox) {
	for _, a := range o.sortedWorks() {
		w := o.works[a]
		if w.pool || !w.withdrawn || !p.gone(o, w) || d.full() {
			continue
		}
		r, ok := p.replicaFor(d, a)
		if !ok {
			continue
		}
		r.row.Decided = slices.DeleteFunc(r.row.Decided, func(b id.Backend) bool { return b == o.name })
		d.row.Reservations = slices.DeleteFunc(d.row.Reservations, func(r table.Reservation) bool { return r.Artifact == a })
		d.writeReplica(r)
	}
	if d.changed {
		// Shuts out late unload orders, which would hit a later load.
		d.row.Fencing++
	}
}

// planGiveUp gives up what was decided on a backend server that leaves, so that
// it can be decided elsewhere. The reservations stay until a report shows them
// gone, or for good with the server.
func (p *Placement) planGiveUp(o *owned, d *draft, now clock.Time, out *event.Outbox) {
	if !o.leaving {
		return
	}
	for i, r := range d.row.Reservations {
		if r.State == table.Decided && !d.full() && p.undecide(o, d, r.Artifact) {
			d.row.Reservations[i].State = table.Withdrawn
		}
	}
	for _, a := range o.row.Standby {
		if !d.full() && p.undecide(o, d, a) {
			d.row.Standby = slices.DeleteFunc(d.row.Standby, func(s id.Artifact) bool { return s == a })
		}
	}
	if d.changed {
		d.row.Fencing++
	}
}

// undecide takes o out of the replica row of a.
func (p *Placement) undecide(o *owned, d *draft, a id.Artifact) bool {
	if slices.ContainsFunc(d.also, func(r replicaWrite) bool { return r.row.Artifact == a }) {
		return true
	}
	r, ok := p.replicaFor(d, a)
	if !ok {
		return false
	}
	r.row.Decided = slices.DeleteFunc(r.row.Decided, func(b id.Backend) bool { return b == o.name })
	if r.row.Standby == o.name {
		r.row.Standby = ""
	}
	d.writeReplica(r)
	return true
}

// planFence raises the fencing number for a withdrawn pre-authorised replica, so
// that a checking engine shuts out its load orders. Without the table its memory
// is counted until they can't be under way any more, which may take minutes.
func (p *Placement) planFence(o *owned, d *draft, now clock.Time, out *event.Outbox) {
	if !p.checksFencing(o.name) {
		return
	}
	for _, w := range o.works {
		if w.pool && w.withdrawn && w.loadFence >= o.row.Fencing && now.Before(w.quietAt) {
			d.row.Fencing, d.changed = o.row.Fencing+1, true
		}
	}
}

// refence sends the fence again until a report shows that it was seen.
func (p *Placement) refence(o *owned, now clock.Time, out *event.Outbox) {
	if o.known && !o.poolKnown && o.report.Fencing < o.row.Fencing && now.Reached(o.fenceAt) {
		p.fence(o, now, out)
	}
}
