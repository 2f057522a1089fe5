package placement

import (
	"slices"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

type opKind int

const (
	opOwnRead     opKind = iota // rows that this instance should own
	opAcquire                   // a write that takes a row
	opReplicaRead               // replica rows that the next write needs
	opWrite                     // a write to an owned row
	opReadBack                  // what became of a write
)

// op is one table operation, or a write with its retries.
type op struct {
	kind    opKind
	n       uint64
	backend id.Backend
	row     table.Backend // opAcquire, opWrite: the row as it will be
	expect  uint64
	also    []replicaWrite // written in the same transaction
	wanted  []id.Artifact  // opReplicaRead
	asked   *op            // opReadBack: the write asked about, nil if none
	sent    bool           // opWrite: may be under way, or may have taken effect
}

// replicaRow is a replica row as last read. It may have changed since: the
// transaction then ends in a conflict.
type replicaRow struct {
	row     table.Replica
	version uint64
	readAt  clock.Time
}

type replicaWrite struct {
	row    table.Replica
	expect uint64
}

func (p *Placement) number(o *op) event.Op {
	p.lastOp++
	o.n = p.lastOp
	p.ops[o.n] = o
	return event.Op{Component: event.ComponentPlacement, Seq: o.n}
}

func (p *Placement) read(o *op, keys []table.Key, out *event.Outbox) {
	out.Add(event.TableRead{Op: p.number(o), Keys: keys})
}

func (p *Placement) commit(o *op, out *event.Outbox) {
	writes := []table.Write{{Key: backendKey(o.backend), Expect: o.expect, Body: o.row}}
	for _, r := range o.also {
		writes = append(writes, table.Write{Key: p.replicaKey(r.row.Artifact), Expect: r.expect, Body: r.row})
	}
	out.Add(event.TableCommit{Op: p.number(o), Writes: writes})
}

// write starts a write to an owned row.
func (p *Placement) write(o *owned, w *op, out *event.Outbox) {
	w.kind, w.backend = opWrite, o.name
	o.op, o.writing = w, w
	p.commit(w, out)
}

// Table handles the answer to a table operation.
func (p *Placement) Table(now clock.Time, r event.TableResult, out *event.Outbox) {
	p.now = now
	done := p.ops[r.Op.Seq]
	if done == nil {
		return
	}
	delete(p.ops, r.Op.Seq)
	switch done.kind {
	case opOwnRead:
		p.ownResult(now, r, out)
		return
	case opAcquire:
		p.acquired(now, done, r, out)
		return
	}
	o := p.owned[done.backend]
	if o == nil || o.op != done {
		return
	}
	o.op = nil
	switch done.kind {
	case opReplicaRead:
		p.replicasRead(o, now, done, r)
	case opWrite:
		p.written(o, now, done, r, out)
	case opReadBack:
		p.readBack(o, now, done, r)
	}
	if p.owned[o.name] == o {
		p.advance(o, now, out)
		p.broadcast(o, now, out)
	}
}

func (p *Placement) replicasRead(o *owned, now clock.Time, done *op, r event.TableResult) {
	if r.Outcome != table.Done {
		o.retryAt = now.Add(p.set.RetryEvery)
		return
	}
	p.cacheReplicas(done.wanted, r.Rows)
}

func (p *Placement) cacheReplicas(wanted []id.Artifact, rows []table.Row) {
	for _, a := range wanted {
		p.replicas[a] = replicaRow{row: table.Replica{Zone: p.set.Zone, Artifact: a}, readAt: p.now}
	}
	for _, row := range rows {
		if body, ok := row.Body.(table.Replica); ok {
			p.replicas[body.Artifact] = replicaRow{body, row.Version, p.now}
		}
	}
}

// written handles the answer to a write. A write whose answer was lost may take
// effect at any later moment, so it is never put aside: it is read back, and
// made again with the same conditions, until its outcome is known.
func (p *Placement) written(o *owned, now clock.Time, w *op, r event.TableResult, out *event.Outbox) {
	switch r.Outcome {
	case table.Done:
		p.applied(o, now, w)
	case table.Conflict, table.Unknown:
		w.sent = true
		p.askBack(o, w, out)
	case table.NotExecuted:
		o.retryAt = now.Add(p.set.RetryEvery)
		if !w.sent {
			o.writing = nil // never sent before either: nothing is pending
		}
	}
}

// askBack reads the rows of a write whose outcome is not known.
func (p *Placement) askBack(o *owned, w *op, out *event.Outbox) {
	back := &op{kind: opReadBack, backend: o.name, asked: w}
	keys := []table.Key{backendKey(o.name)}
	if w != nil {
		for _, r := range w.also {
			keys = append(keys, p.replicaKey(r.row.Artifact))
			back.wanted = append(back.wanted, r.row.Artifact)
		}
	}
	o.op = back
	p.read(back, keys, out)
}

// readBack compares the row with the write that was asked about.
func (p *Placement) readBack(o *owned, now clock.Time, back *op, r event.TableResult) {
	if r.Outcome != table.Done {
		o.retryAt = now.Add(p.set.RetryEvery)
		return
	}
	p.cacheReplicas(back.wanted, r.Rows)
	row, version := findBackend(r.Rows, o.name)
	switch w := back.asked; {
	case w != nil && version == w.expect+1 && sameWrite(row, w.row):
		p.applied(o, now, w)
	case w != nil && version == w.expect && p.mine(o, row) && !p.replicasMoved(w):
		o.retryAt = now.Add(p.set.RetryEvery) // the same write again
	case !p.mine(o, row):
		p.forget(o)
	default:
		// Somebody else wrote, so that a write with the old condition can't
		// take effect any more.
		o.doubted, o.writing = false, nil
		o.row, o.version, o.changed = row, version, true
		p.matchWorks(o, now, true)
	}
}

// mine reports whether a row read from the table is still this instance's.
func (p *Placement) mine(o *owned, row table.Backend) bool {
	if o.claim {
		return row.Owner == o.row.Owner && row.Fencing == o.row.Fencing
	}
	return row.Owner == p.set.Instance && row.Fencing >= o.row.Fencing
}

// replicasMoved reports whether a replica row changed under a write, so that
// the write can't take effect any more.
func (p *Placement) replicasMoved(w *op) bool {
	return slices.ContainsFunc(w.also, func(r replicaWrite) bool {
		return p.replicas[r.row.Artifact].version != r.expect
	})
}

func findBackend(rows []table.Row, b id.Backend) (table.Backend, uint64) {
	for _, r := range rows {
		if body, ok := r.Body.(table.Backend); ok && body.Name == b {
			return body, r.Version
		}
	}
	return table.Backend{}, 0
}

// sameWrite reports whether the row read is the one that was written. Owner,
// fencing number and order ids name the writer and the decision.
func sameWrite(read, written table.Backend) bool {
	return read.Owner == written.Owner && read.Fencing == written.Fencing &&
		slices.Equal(read.Reservations, written.Reservations) &&
		slices.Equal(read.Standby, written.Standby)
}

// applied takes a write into use that is known to have taken effect.
func (p *Placement) applied(o *owned, now clock.Time, w *op) {
	if w.row.Fencing > o.row.Fencing {
		o.unloadAgain(now)
	}
	o.row, o.version, o.changed = w.row, w.expect+1, true
	o.doubted, o.writing = false, nil
	for _, r := range w.also {
		p.replicas[r.row.Artifact] = replicaRow{r.row, r.expect + 1, now}
	}
	if w.row.Owner != p.set.Instance {
		p.forget(o) // released
		return
	}
	o.claim = false
	p.matchWorks(o, now, false)
}
