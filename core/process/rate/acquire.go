package rate

import (
	"slices"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/rendezvous"
	"oleanderdale.org/core/table"
)

// opKind is the purpose of a table operation.
type opKind int

const (
	opRead    opKind = iota // reads the slot rows of the zone
	opAcquire               // acquires a vacant slot, or one that its holder transferred
	opClaim                 // records a slot that was handed over
	opVacate                // vacates a slot whose transfer was not acknowledged
)

// slotOp is a table operation without a result.
type slotOp struct {
	kind opKind
	key  slotKey
	sent clock.Time
}

// acquisition is an attempt to acquire a slot. Its write may have taken
// effect.
type acquisition struct {
	fencing id.Fencing
	newRow  bool // the row did not exist, so nobody ever spent tokens of the slot
	vacated bool // the previous holder vacated the slot itself
	// transfer is set if another instance transferred the slot to this one.
	transfer   *message.HandoverSlot
	giver      id.Instance // the sender of transfer
	receivedAt clock.Time  // when transfer was received
}

// slotTable is the state of this instance's operations on the slot rows.
type slotTable struct {
	nextRead     clock.Time // time of the next read
	lastOp       uint64     // number of the last operation
	ops          map[uint64]slotOp
	vacantSince  map[slotKey]clock.Time // when a slot was first read as vacant
	acquisitions map[slotKey]acquisition
	// highestFencing has the highest fencing number with which this instance
	// accepted or handed out a slot. Messages with no higher number are
	// duplicates.
	highestFencing map[slotKey]id.Fencing
}

func newSlotTable() slotTable {
	return slotTable{
		ops:            make(map[uint64]slotOp),
		vacantSince:    make(map[slotKey]clock.Time),
		acquisitions:   make(map[slotKey]acquisition),
		highestFencing: make(map[slotKey]id.Fencing),
	}
}

// startOp registers a new operation and returns its ID.
func (t *slotTable) startOp(now clock.Time, kind opKind, key slotKey) event.Op {
	t.lastOp++
	t.ops[t.lastOp] = slotOp{kind: kind, key: key, sent: now}
	return event.Op{Component: event.ComponentRate, Seq: t.lastOp}
}

// tickSlots does everything that is due for slots: announcements, transfers
// and table operations.
func (lim *Limiter) tickSlots(now clock.Time, out *event.Outbox) {
	lim.announceSlots(now, out)
	lim.sendTransfers(now, out)
	for n, op := range lim.table.ops {
		if now.Sub(op.sent) >= lim.settings.TableTimeout {
			delete(lim.table.ops, n) // the next read shows whether it took effect
		}
	}
	if !lim.rights.Valid(now) {
		// An instance that was paused may have missed another instance's
		// claim.
		clear(lim.table.vacantSince)
	}
	if lim.cfg == nil || lim.closed || now.Before(lim.table.nextRead) || len(lim.table.ops) > 0 {
		return
	}
	lim.table.nextRead = now.Add(lim.settings.RowReadInterval)
	lim.transferSurplusSlot(now, out)
	lim.readSlotRows(now, out)
}

// zoneSlots returns the keys of the zone's slots.
func (lim *Limiter) zoneSlots() []slotKey {
	var keys []slotKey
	if slices.Contains(lim.cfg.Fleet.Zones, lim.settings.Zone) {
		for i := range lim.cfg.Fleet.SlotsPerZone {
			keys = append(keys, slotKey{zone: lim.settings.Zone, index: i})
		}
	}
	return keys
}

// readSlotRows reads the slot rows if this instance holds a slot, waits for
// an acquisition, or is the assignee of a slot in case it is vacant. In a
// large zone the other instances thus cause no reads.
func (lim *Limiter) readSlotRows(now clock.Time, out *event.Outbox) {
	keys := lim.zoneSlots()
	relevant := len(lim.slots)+len(lim.table.acquisitions) > 0
	var rows []table.Key
	for n, k := range keys {
		relevant = relevant || lim.assignee(keys, n) == lim.settings.Instance
		rows = append(rows, k.rowKey())
	}
	if relevant && len(rows) > 0 {
		out.Add(event.TableRead{Op: lim.table.startOp(now, opRead, slotKey{}), Keys: rows})
	}
}

// assignee returns the instance that acquires the slot keys[index] if it is
// vacant: the first in the slot's rendezvous ranking that is not the assignee
// of an even share of the slots before it.
func (lim *Limiter) assignee(keys []slotKey, index int) id.Instance {
	live := lim.members.InZone(lim.settings.Zone)
	if len(live) == 0 {
		return ""
	}
	evenShare := (len(keys) + len(live) - 1) / len(live)
	assigned := make(map[id.Instance]int)
	var owner id.Instance
	for _, k := range keys[:index+1] {
		eligible := slices.DeleteFunc(slices.Clone(live), func(i id.Instance) bool { return assigned[i] >= evenShare })
		owner = rendezvous.Owner(k.String(), eligible)
		assigned[owner]++
	}
	return owner
}

// HandleTableResult handles the result of an operation on the slot rows.
func (lim *Limiter) HandleTableResult(now clock.Time, r event.TableResult, out *event.Outbox) {
	op, ok := lim.table.ops[r.Op.Seq]
	if !ok || r.Op.Component != event.ComponentRate {
		return
	}
	delete(lim.table.ops, r.Op.Seq)
	switch {
	case op.kind == opRead && r.Outcome == table.Done && !lim.closed:
		lim.handleSlotRows(now, r.Rows, out)
	case op.kind == opRead:
	case r.Outcome == table.Done:
		lim.handleSlotWrite(now, op)
	case r.Outcome == table.Conflict && op.kind == opVacate:
		delete(lim.transfers, op.key) // the receiver has acquired it
	default:
		// Whether the operation took effect is unknown. The next read shows
		// it.
		lim.table.nextRead = min(lim.table.nextRead, now.Add(lim.settings.RowReadInterval/4))
	}
}

// handleSlotWrite handles a write that took effect.
func (lim *Limiter) handleSlotWrite(now clock.Time, op slotOp) {
	switch op.kind {
	case opClaim, opAcquire:
		lim.table.nextRead = now // the read tells the row's new version
	case opVacate:
		delete(lim.transfers, op.key)
	}
}

// nextTableTick returns when the next tick for the slot rows is due.
func (lim *Limiter) nextTableTick() clock.Time {
	if lim.cfg == nil || lim.closed {
		return clock.Never
	}
	if len(lim.table.ops) == 0 {
		return lim.table.nextRead
	}
	t := clock.Never
	for _, op := range lim.table.ops {
		t = min(t, op.sent.Add(lim.settings.TableTimeout))
	}
	return t
}

// handleSlotRows handles the slot rows as read.
func (lim *Limiter) handleSlotRows(now clock.Time, rows []table.Row, out *event.Outbox) {
	found := make(map[table.Key]table.Row)
	for _, r := range rows {
		found[r.Key] = r
	}
	for n, k := range lim.zoneSlots() {
		r, ok := found[k.rowKey()]
		body, _ := r.Body.(table.Slot)
		lim.handleSlotRow(now, n, slotRow{key: k, found: ok, version: r.Version, body: body}, out)
	}
	lim.dropRemovedSlots(now)
}

// dropRemovedSlots stops using slots that are no longer in the configuration.
func (lim *Limiter) dropRemovedSlots(now clock.Time) {
	keys := lim.zoneSlots()
	for _, s := range slices.Clone(lim.slots) {
		if !slices.Contains(keys, s.key) {
			lim.dropSlot(now, s.key)
		}
	}
}

// slotRow is the row of a slot as read.
type slotRow struct {
	key     slotKey
	found   bool
	version uint64
	body    table.Slot
}

// handleSlotRow handles one row: it checks a held slot, completes an
// acquisition or acquires a vacant slot.
func (lim *Limiter) handleSlotRow(now clock.Time, index int, r slotRow, out *event.Outbox) {
	ownRow := r.found && r.body.Holder == lim.settings.Instance
	acq, acquiring := lim.table.acquisitions[r.key]
	switch s := lim.slot(r.key); {
	case s != nil:
		lim.checkHeldSlot(now, s, r, out)
	case ownRow && acquiring && r.body.Fencing == acq.fencing:
		lim.finishAcquisition(now, r, acq, out)
	case ownRow && lim.table.highestFencing[r.key] < r.body.Fencing:
		// The write of an earlier acquisition, no longer tracked, took
		// effect.
		lim.finishAcquisition(now, r, acquisition{fencing: r.body.Fencing}, out)
	case ownRow:
		// The slot was handed over or transferred. The receiver writes the row.
	default:
		lim.acquireIfVacant(now, index, r, out)
	}
}

// checkHeldSlot compares a held slot with its row. It records a slot that was
// handed over and drops one that another instance has acquired.
func (lim *Limiter) checkHeldSlot(now clock.Time, s *slot, r slotRow, out *event.Outbox) {
	switch {
	case r.found && r.body.Holder == lim.settings.Instance && r.body.Fencing == s.fencing:
		s.recorded, s.rowVersion, s.previousHolders = true, r.version, nil
	case !s.recorded && s.isSuccessorOf(r):
		lim.writeClaim(now, s, r.version, out)
	default:
		lim.dropSlot(now, s.key)
	}
}

// isSuccessorOf reports whether a slot that was handed over came from the
// holder in the row, so that no other instance has acquired it since.
func (s *slot) isSuccessorOf(r slotRow) bool {
	if !r.found {
		return s.rowVersion == 0
	}
	return r.body.Fencing < s.fencing && (r.version == s.rowVersion || slices.Contains(s.previousHolders, r.body.Holder))
}

// writeClaim records this instance as the holder of a slot that was handed
// over.
func (lim *Limiter) writeClaim(now clock.Time, s *slot, version uint64, out *event.Outbox) {
	lim.writeSlotRow(now, opClaim, s.key, version, lim.settings.Instance, s.fencing, out)
}

// writeSlotRow writes a slot's row if the row still has the given version.
func (lim *Limiter) writeSlotRow(now clock.Time, kind opKind, key slotKey, version uint64, holder id.Instance, fencing id.Fencing, out *event.Outbox) {
	out.Add(event.TableCommit{
		Op: lim.table.startOp(now, kind, key),
		Writes: []table.Write{{
			Key:    key.rowKey(),
			Expect: version,
			Body:   table.Slot{Zone: key.zone, Index: key.index, Holder: holder, Fencing: fencing},
		}},
	})
}

// acquireIfVacant acquires a vacant slot if this instance is its assignee.
func (lim *Limiter) acquireIfVacant(now clock.Time, index int, r slotRow, out *event.Outbox) {
	t := &lim.table
	if !lim.isVacant(r) {
		delete(t.vacantSince, r.key)
		delete(t.acquisitions, r.key) // its write can't succeed against this row
		return
	}
	if _, ok := t.vacantSince[r.key]; !ok {
		t.vacantSince[r.key] = now
	}
	if !lim.rights.Valid(now) || lim.transfers[r.key] != nil || lim.assignee(lim.zoneSlots(), index) != lim.settings.Instance {
		return
	}
	holderEnded := r.found && r.body.Holder != ""
	if holderEnded && !lim.unclaimed(now, r) {
		return
	}
	fencing := r.body.Fencing + 1
	t.acquisitions[r.key] = acquisition{fencing: fencing, newRow: !r.found, vacated: !holderEnded}
	lim.writeSlotRow(now, opAcquire, r.key, r.version, lim.settings.Instance, fencing, out)
}

// isVacant reports whether a slot has no holder, or one whose session has
// ended.
func (lim *Limiter) isVacant(r slotRow) bool {
	return !r.found || r.body.Holder == "" || lim.rights.HasEnded(r.body.Holder)
}

// unclaimed reports whether ClaimGracePeriod has passed and no instance has
// announced the slot since. An ended holder may have handed the slot over
// while the table was down. If it were acquired then, two instances would use
// it until the other one's claim fails.
func (lim *Limiter) unclaimed(now clock.Time, r slotRow) bool {
	return now.Sub(lim.table.vacantSince[r.key]) >= lim.settings.ClaimGracePeriod &&
		!lim.directory.claimed(now, r.key, r.body.Fencing, lim.settings.ClaimGracePeriod)
}

// finishAcquisition begins to use a slot whose row names this instance as its
// holder.
func (lim *Limiter) finishAcquisition(now clock.Time, r slotRow, acq acquisition, out *event.Outbox) {
	delete(lim.table.acquisitions, r.key)
	delete(lim.table.vacantSince, r.key)
	s := &slot{key: r.key, fencing: acq.fencing, rowVersion: r.version, recorded: true, countsFrom: now}
	switch {
	case acq.transfer != nil:
		// Tokens that the bucket gained since it was transferred are lost;
		// they are few.
		s.startedFull = acq.transfer.Full
		s.countsFrom = acq.receivedAt.Add(-acq.transfer.Age)
		lim.addSlot(now, s, acq.transfer.Balances)
		out.Send(acq.giver, message.SlotTransferAck{Slot: message.HeldSlot{Zone: r.key.zone, Index: r.key.index, Fencing: s.fencing}})
		return
	case acq.newRow:
		s.startedFull = true
	case !acq.vacated:
		// The last holder may have lent tokens right before it died. The slot
		// counts once those loans have expired.
		s.countsFrom = now.Add(lim.lenderTerm())
	}
	lim.addSlot(now, s, nil)
}
