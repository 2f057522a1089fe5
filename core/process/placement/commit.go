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
	opReadUnowned  opKind = iota // read rows that this instance should own
	opAcquire                    // write that acquires a row
	opReadReplicas               // read replica rows that the next write needs
	opWrite                      // write to an owned row
	opReadBack                   // read that determines the outcome of a write
)

// tableOp is a table operation, or a write together with its retries.
type tableOp struct {
	kind            opKind
	number          uint64
	backend         id.Backend
	row             table.Backend // opAcquire, opWrite: the row after the write
	expectedVersion uint64
	replicaWrites   []replicaWrite // replica rows written in the same transaction
	artifacts       []id.Artifact  // opReadReplicas, opReadBack: artifacts whose replica rows are read
	write           *tableOp       // opReadBack: the write whose outcome is read, nil if there is none
	mayTakeEffect   bool           // opWrite: an attempt may still take effect, or already has
}

// replicaRow is a replica row as last read or written. If it has changed since,
// the transaction that uses it ends in a conflict.
type replicaRow struct {
	row     table.Replica
	version uint64
	readAt  clock.Time
}

type replicaWrite struct {
	row             table.Replica
	expectedVersion uint64
}

// registerOp numbers the operation, by which its result is recognised.
func (p *Placement) registerOp(op *tableOp) event.Op {
	p.lastOpNumber++
	op.number = p.lastOpNumber
	p.ops[op.number] = op
	return event.Op{Component: event.ComponentPlacement, Seq: op.number}
}

func (p *Placement) startRead(op *tableOp, keys []table.Key, out *event.Outbox) {
	out.Add(event.TableRead{Op: p.registerOp(op), Keys: keys})
}

// startCommit sends the transaction of a write.
func (p *Placement) startCommit(write *tableOp, out *event.Outbox) {
	writes := []table.Write{{Key: backendKey(write.backend), Expect: write.expectedVersion, Body: write.row}}
	for _, r := range write.replicaWrites {
		writes = append(writes, table.Write{Key: p.replicaKey(r.row.Artifact), Expect: r.expectedVersion, Body: r.row})
	}
	out.Add(event.TableCommit{Op: p.registerOp(write), Writes: writes})
}

// startWrite starts a write to an owned row.
func (p *Placement) startWrite(o *ownedBackend, write *tableOp, out *event.Outbox) {
	write.kind, write.backend = opWrite, o.name
	o.pendingOp, o.pendingWrite = write, write
	p.startCommit(write, out)
}

// HandleTableResult handles the result of a table operation.
func (p *Placement) HandleTableResult(now clock.Time, r event.TableResult, out *event.Outbox) {
	p.now = now
	op := p.ops[r.Op.Seq]
	if op == nil {
		return
	}
	delete(p.ops, r.Op.Seq)
	switch op.kind {
	case opReadUnowned:
		p.handleUnownedRows(now, r, out)
		return
	case opAcquire:
		p.handleAcquireResult(now, op, r, out)
		return
	}
	o := p.owned[op.backend]
	if o == nil || o.pendingOp != op {
		return
	}
	o.pendingOp = nil
	switch op.kind {
	case opReadReplicas:
		p.handleReplicaRead(o, now, op, r)
	case opWrite:
		p.handleWriteResult(o, now, op, r, out)
	case opReadBack:
		p.handleReadBack(o, now, op, r)
	}
	if p.owned[o.name] == o {
		p.advance(o, now, out)
		p.broadcastState(o, now, out)
	}
}

func (p *Placement) handleReplicaRead(o *ownedBackend, now clock.Time, op *tableOp, r event.TableResult) {
	if r.Outcome != table.Done {
		o.tableRetryAt = now.Add(p.settings.RetryDelay)
		return
	}
	p.cacheReplicaRows(op.artifacts, r.Rows)
}

// cacheReplicaRows stores the replica rows that were read. An artifact without
// a row gets an empty one of version 0.
func (p *Placement) cacheReplicaRows(artifacts []id.Artifact, rows []table.Row) {
	for _, a := range artifacts {
		p.replicaRows[a] = replicaRow{row: table.Replica{Zone: p.settings.Zone, Artifact: a}, readAt: p.now}
	}
	for _, row := range rows {
		if body, ok := row.Body.(table.Replica); ok {
			p.replicaRows[body.Artifact] = replicaRow{body, row.Version, p.now}
		}
	}
}

// handleWriteResult handles the result of a write. A write whose result was
// lost may take effect at any later time. It is therefore never abandoned: the
// rows are read back, and the write is repeated with the same conditions, until
// its outcome is known.
func (p *Placement) handleWriteResult(o *ownedBackend, now clock.Time, write *tableOp, r event.TableResult, out *event.Outbox) {
	switch r.Outcome {
	case table.Done:
		p.recordWrite(o, now, write)
	case table.Conflict, table.Unknown:
		write.mayTakeEffect = true
		p.startReadBack(o, write, out)
	case table.NotExecuted:
		o.tableRetryAt = now.Add(p.settings.RetryDelay)
		if !write.mayTakeEffect {
			o.pendingWrite = nil // no earlier attempt either: nothing can take effect
		}
	}
}

// startReadBack reads the rows of a write whose outcome is not known. If write
// is nil, it reads only the row of o, to check whether this instance owns it.
func (p *Placement) startReadBack(o *ownedBackend, write *tableOp, out *event.Outbox) {
	readBack := &tableOp{kind: opReadBack, backend: o.name, write: write}
	keys := []table.Key{backendKey(o.name)}
	if write != nil {
		for _, r := range write.replicaWrites {
			keys = append(keys, p.replicaKey(r.row.Artifact))
			readBack.artifacts = append(readBack.artifacts, r.row.Artifact)
		}
	}
	o.pendingOp = readBack
	p.startRead(readBack, keys, out)
}

// handleReadBack compares the row with the write whose outcome is unknown, and
// checks whether this instance still owns it.
func (p *Placement) handleReadBack(o *ownedBackend, now clock.Time, readBack *tableOp, r event.TableResult) {
	if r.Outcome != table.Done {
		o.tableRetryAt = now.Add(p.settings.RetryDelay)
		return
	}
	p.cacheReplicaRows(readBack.artifacts, r.Rows)
	row, version := findBackendRow(r.Rows, o.name)
	switch write := readBack.write; {
	case write != nil && version == write.expectedVersion+1 && isSameWrite(row, write.row):
		p.recordWrite(o, now, write)
	case write != nil && version == write.expectedVersion && p.stillOwns(o, row) && !p.replicaRowsChanged(write):
		o.tableRetryAt = now.Add(p.settings.RetryDelay) // repeat the same write
	case !p.stillOwns(o, row):
		p.stopOwning(o)
	default:
		// Another write came first, so the pending write can no longer take
		// effect: its condition does not hold any more.
		o.ownershipUncertain, o.pendingWrite = false, nil
		o.row, o.rowVersion, o.stateChanged = row, version, true
		p.syncReplicas(o, now, true)
	}
}

// stillOwns reports whether a row read from the table still belongs to this
// instance. An unclaimed row does while it is as the previous owner left it.
func (p *Placement) stillOwns(o *ownedBackend, row table.Backend) bool {
	if o.unclaimed {
		return row.Owner == o.row.Owner && row.Fencing == o.row.Fencing
	}
	return row.Owner == p.settings.Instance && row.Fencing >= o.row.Fencing
}

// replicaRowsChanged reports whether a replica row changed since the write was
// prepared, so that the write can no longer take effect.
func (p *Placement) replicaRowsChanged(write *tableOp) bool {
	return slices.ContainsFunc(write.replicaWrites, func(r replicaWrite) bool {
		return p.replicaRows[r.row.Artifact].version != r.expectedVersion
	})
}

func findBackendRow(rows []table.Row, b id.Backend) (table.Backend, uint64) {
	for _, r := range rows {
		if body, ok := r.Body.(table.Backend); ok && body.Name == b {
			return body, r.Version
		}
	}
	return table.Backend{}, 0
}

// isSameWrite reports whether the row read is the one that was written. Owner,
// fencing number and order ids identify the writer and the decision.
func isSameWrite(read, written table.Backend) bool {
	return read.Owner == written.Owner && read.Fencing == written.Fencing &&
		slices.Equal(read.Reservations, written.Reservations) &&
		slices.Equal(read.Standby, written.Standby)
}

// recordWrite updates the local state after a write that took effect.
func (p *Placement) recordWrite(o *ownedBackend, now clock.Time, write *tableOp) {
	if write.row.Fencing > o.row.Fencing {
		o.retryUnloads(now)
	}
	o.row, o.rowVersion, o.stateChanged = write.row, write.expectedVersion+1, true
	o.ownershipUncertain, o.pendingWrite = false, nil
	for _, r := range write.replicaWrites {
		p.replicaRows[r.row.Artifact] = replicaRow{r.row, r.expectedVersion + 1, now}
	}
	if write.row.Owner != p.settings.Instance {
		p.stopOwning(o) // this write released the row
		return
	}
	o.unclaimed = false
	p.syncReplicas(o, now, false)
}
