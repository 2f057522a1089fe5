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

// opKind says what an operation on the table is for.
type opKind int

const (
	opRead    opKind = iota // of the slot rows of the zone
	opAcquire               // of a vacant slot, or of one that was given
	opClaim                 // of a slot that was handed over
	opVacate                // of a slot that was given in vain
)

// slotOp is an operation on the table without an answer.
type slotOp struct {
	kind opKind
	key  slotKey
	sent clock.Time
}

// acquiring is an acquisition that may have taken effect.
type acquisition struct {
	fencing    id.Fencing
	newRow     bool // the row was absent: nobody ever spent of it
	vacated    bool // its holder had given it up
	transfer   *message.HandoverSlot
	giver      id.Instance // who gave it
	receivedAt clock.Time  // when it was given
}

// slotTable is what this instance does with the slot rows.
type slotTable struct {
	nextRead     clock.Time
	lastOp       uint64
	ops          map[uint64]slotOp
	vacantSince  map[slotKey]clock.Time
	acquisitions map[slotKey]acquisition
	// seen has the highest fencing number with which a slot was taken over or
	// handed out here, so that a message that comes again has no effect.
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

func (t *slotTable) startOp(now clock.Time, kind opKind, key slotKey) event.Op {
	t.lastOp++
	t.ops[t.lastOp] = slotOp{kind: kind, key: key, sent: now}
	return event.Op{Part: event.PartRate, N: t.lastOp}
}

// tickSlots does what is due for the slots.
func (lim *Limiter) tickSlots(now clock.Time, out *event.Outbox) {
	lim.announceSlots(now, out)
	lim.sendTransfers(now, out)
	for n, op := range lim.table.ops {
		if now.Sub(op.sent) >= lim.settings.TableTimeout {
			delete(lim.table.ops, n) // the next reading tells what became of it
		}
	}
	if !lim.rights.Valid(now) {
		// A paused instance may have missed the claim of another.
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

// readSlots reads the rows if this instance holds slots or would get one that
// is vacant; the other instances of a large zone cost the table nothing.
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

// assigned returns who acquires the n-th slot of keys if it is vacant: the
// first in its ranking that does not have its even part of the slots before it.
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

// Table takes in the answer to an operation on the slot rows.
func (lim *Limiter) HandleTableResult(now clock.Time, r event.TableResult, out *event.Outbox) {
	op, ok := lim.table.ops[r.Op.N]
	if !ok || r.Op.Part != event.PartRate {
		return
	}
	delete(lim.table.ops, r.Op.N)
	switch {
	case op.kind == opRead && r.Outcome == table.Done && !lim.closed:
		lim.handleSlotRows(now, r.Rows, out)
	case op.kind == opRead:
	case r.Outcome == table.Done:
		lim.handleSlotWrite(now, op)
	case r.Outcome == table.Conflict && op.kind == opVacate:
		delete(lim.transfers, op.key) // the receiver has it
	default:
		// Whether it took effect, the row tells.
		lim.table.nextRead = min(lim.table.nextRead, now.Add(lim.settings.RowReadInterval/4))
	}
}

func (lim *Limiter) handleSlotWrite(now clock.Time, op slotOp) {
	switch op.kind {
	case opClaim, opAcquire:
		lim.table.nextRead = now // read back: the row says which version it has
	case opVacate:
		delete(lim.transfers, op.key)
	}
}

// nextTable returns when the slot rows want a tick.
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

// dropRemoved stops using slots that the configuration no longer has.
func (lim *Limiter) dropRemovedSlots(now clock.Time) {
	keys := lim.zoneSlots()
	for _, s := range slices.Clone(lim.slots) {
		if !slices.Contains(keys, s.key) {
			lim.dropSlot(now, s.key)
		}
	}
}

// slotReading is the row of a slot as read.
type slotRow struct {
	key     slotKey
	found   bool
	version uint64
	body    table.Slot
}

func (lim *Limiter) handleSlotRow(now clock.Time, index int, r slotRow, out *event.Outbox) {
	ownRow := r.found && r.body.Holder == lim.settings.Instance
	acq, acquiring := lim.table.acquisitions[r.key]
	switch s := lim.slot(r.key); {
	case s != nil:
		lim.checkHeldSlot(now, s, r, out)
	case ownRow && acquiring && r.body.Fencing == acq.fencing:
		lim.finishAcquisition(now, r, acq, out)
	case ownRow && lim.table.highestFencing[r.key] < r.body.Fencing:
		// An acquisition that was given up for lost took effect after all.
		lim.finishAcquisition(now, r, acquisition{fencing: r.body.Fencing}, out)
	case ownRow:
		// Handed out; the receiver writes the row.
	default:
		lim.acquireIfVacant(now, index, r, out)
	}
}

// checkHeld compares a held slot with its row.
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

// follows reports whether a slot that was handed over comes from the holder
// that the row has on record, so that no other instance took it meanwhile.
func (s *slot) isSuccessorOf(r slotRow) bool {
	if !r.found {
		return s.rowVersion == 0
	}
	return r.body.Fencing < s.fencing && (r.version == s.rowVersion || slices.Contains(s.previousHolders, r.body.Holder))
}

// claim puts a slot that was handed over on record.
func (lim *Limiter) writeClaim(now clock.Time, s *slot, version uint64, out *event.Outbox) {
	lim.writeSlotRow(now, opClaim, s.key, version, lim.settings.Instance, s.fencing, out)
}

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

// maybeAcquire acquires a vacant slot that falls to this instance.
func (lim *Limiter) acquireIfVacant(now clock.Time, index int, r slotRow, out *event.Outbox) {
	t := &lim.table
	if !lim.isVacant(r) {
		delete(t.vacantSince, r.key)
		delete(t.acquisitions, r.key) // it can't take effect against this row
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

func (lim *Limiter) isVacant(r slotRow) bool {
	return !r.found || r.body.Holder == "" || lim.rights.Ended(r.body.Holder)
}

// unclaimed reports whether no instance came forward to which an ended holder
// handed its slot over while the table was down. Taking it then would give the
// slot two users until the other's claim fails.
func (lim *Limiter) unclaimed(now clock.Time, r slotRow) bool {
	return now.Sub(lim.table.vacantSince[r.key]) >= lim.settings.ClaimGracePeriod &&
		!lim.directory.claimed(now, r.key, r.body.Fencing, lim.settings.ClaimGracePeriod)
}

// acquired begins to use a slot that the table has on record as this one's.
func (lim *Limiter) finishAcquisition(now clock.Time, r slotRow, acq acquisition, out *event.Outbox) {
	delete(lim.table.acquisitions, r.key)
	delete(lim.table.vacantSince, r.key)
	s := &slot{key: r.key, fencing: acq.fencing, rowVersion: r.version, recorded: true, countsFrom: now}
	switch {
	case acq.transfer != nil:
		// The bucket filled up since it was given: a little is lost.
		s.startedFull = acq.transfer.Full
		s.countsFrom = acq.receivedAt.Add(-acq.transfer.Age)
		lim.addSlot(now, s, acq.transfer.Balances)
		out.Send(acq.giver, message.SlotTaken{Slot: message.HeldSlot{Zone: r.key.zone, Index: r.key.index, Fencing: s.fencing}})
		return
	case acq.newRow:
		s.startedFull = true
	case !acq.vacated:
		// The last holder may have lent right before it died: its part counts
		// once those loans have run out.
		s.countsFrom = now.Add(lim.lenderTerm())
	}
	lim.addSlot(now, s, nil)
}
