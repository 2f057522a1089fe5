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
func (h *Limiter) tickSlots(now clock.Time, out *event.Outbox) {
	h.announceSlots(now, out)
	h.sendTransfers(now, out)
	for n, op := range h.table.ops {
		if now.Sub(op.sent) >= h.settings.TableTimeout {
			delete(h.table.ops, n) // the next reading tells what became of it
		}
	}
	if !h.rights.Valid(now) {
		// A paused instance may have missed the claim of another.
		clear(h.table.vacantSince)
	}
	if h.cfg == nil || h.closed || now.Before(h.table.nextRead) || len(h.table.ops) > 0 {
		return
	}
	h.table.nextRead = now.Add(h.settings.RowReadInterval)
	h.transferSurplusSlot(now, out)
	h.readSlotRows(now, out)
}

// zoneSlots returns the keys of the zone's slots.
func (h *Limiter) zoneSlots() []slotKey {
	var keys []slotKey
	if slices.Contains(h.cfg.Fleet.Zones, h.settings.Zone) {
		for i := range h.cfg.Fleet.SlotsPerZone {
			keys = append(keys, slotKey{zone: h.settings.Zone, index: i})
		}
	}
	return keys
}

// readSlots reads the rows if this instance holds slots or would get one that
// is vacant; the other instances of a large zone cost the table nothing.
func (h *Limiter) readSlotRows(now clock.Time, out *event.Outbox) {
	keys := h.zoneSlots()
	own := len(h.slots)+len(h.table.acquisitions) > 0
	var rows []table.Key
	for n, k := range keys {
		own = own || h.assignee(keys, n) == h.settings.Instance
		rows = append(rows, k.rowKey())
	}
	if own && len(rows) > 0 {
		out.Add(event.TableRead{Op: h.table.startOp(now, opRead, slotKey{}), Keys: rows})
	}
}

// assigned returns who acquires the n-th slot of keys if it is vacant: the
// first in its ranking that does not have its even part of the slots before it.
func (h *Limiter) assignee(keys []slotKey, n int) id.Instance {
	live := h.members.InZone(h.settings.Zone)
	if len(live) == 0 {
		return ""
	}
	even := (len(keys) + len(live) - 1) / len(live)
	count := make(map[id.Instance]int)
	var owner id.Instance
	for _, k := range keys[:n+1] {
		free := slices.DeleteFunc(slices.Clone(live), func(i id.Instance) bool { return count[i] >= even })
		owner = rendezvous.Owner(k.String(), free)
		count[owner]++
	}
	return owner
}

// Table takes in the answer to an operation on the slot rows.
func (h *Limiter) HandleTableResult(now clock.Time, r event.TableResult, out *event.Outbox) {
	op, ok := h.table.ops[r.Op.N]
	if !ok || r.Op.Part != event.PartRate {
		return
	}
	delete(h.table.ops, r.Op.N)
	switch {
	case op.kind == opRead && r.Outcome == table.Done && !h.closed:
		h.handleSlotRows(now, r.Rows, out)
	case op.kind == opRead:
	case r.Outcome == table.Done:
		h.handleSlotWrite(now, op)
	case r.Outcome == table.Conflict && op.kind == opVacate:
		delete(h.transfers, op.key) // the receiver has it
	default:
		// Whether it took effect, the row tells.
		h.table.nextRead = min(h.table.nextRead, now.Add(h.settings.RowReadInterval/4))
	}
}

func (h *Limiter) handleSlotWrite(now clock.Time, op slotOp) {
	switch op.kind {
	case opClaim, opAcquire:
		h.table.nextRead = now // read back: the row says which version it has
	case opVacate:
		delete(h.transfers, op.key)
	}
}

// nextTable returns when the slot rows want a tick.
func (h *Limiter) nextTableTick() clock.Time {
	if h.cfg == nil || h.closed {
		return clock.Never
	}
	if len(h.table.ops) == 0 {
		return h.table.nextRead
	}
	t := clock.Never
	for _, op := range h.table.ops {
		t = min(t, op.sent.Add(h.settings.TableTimeout))
	}
	return t
}

func (h *Limiter) handleSlotRows(now clock.Time, rows []table.Row, out *event.Outbox) {
	found := make(map[table.Key]table.Row)
	for _, r := range rows {
		found[r.Key] = r
	}
	for n, k := range h.zoneSlots() {
		r, ok := found[k.rowKey()]
		body, _ := r.Body.(table.Slot)
		h.handleSlotRow(now, n, slotRow{key: k, found: ok, version: r.Version, body: body}, out)
	}
	h.dropRemovedSlots(now)
}

// dropRemoved stops using slots that the configuration no longer has.
func (h *Limiter) dropRemovedSlots(now clock.Time) {
	keys := h.zoneSlots()
	for _, s := range slices.Clone(h.slots) {
		if !slices.Contains(keys, s.key) {
			h.dropSlot(now, s.key)
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

func (h *Limiter) handleSlotRow(now clock.Time, n int, r slotRow, out *event.Outbox) {
	mine := r.found && r.body.Holder == h.settings.Instance
	a, acquires := h.table.acquisitions[r.key]
	switch s := h.slot(r.key); {
	case s != nil:
		h.checkHeldSlot(now, s, r, out)
	case mine && acquires && r.body.Fencing == a.fencing:
		h.finishAcquisition(now, r, a, out)
	case mine && h.table.highestFencing[r.key] < r.body.Fencing:
		// An acquisition that was given up for lost took effect after all.
		h.finishAcquisition(now, r, acquisition{fencing: r.body.Fencing}, out)
	case mine:
		// Handed out; the receiver writes the row.
	default:
		h.acquireIfVacant(now, n, r, out)
	}
}

// checkHeld compares a held slot with its row.
func (h *Limiter) checkHeldSlot(now clock.Time, s *slot, r slotRow, out *event.Outbox) {
	switch {
	case r.found && r.body.Holder == h.settings.Instance && r.body.Fencing == s.fencing:
		s.recorded, s.rowVersion, s.previousHolders = true, r.version, nil
	case !s.recorded && s.isSuccessorOf(r):
		h.writeClaim(now, s, r.version, out)
	default:
		h.dropSlot(now, s.key)
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
func (h *Limiter) writeClaim(now clock.Time, s *slot, version uint64, out *event.Outbox) {
	h.writeSlotRow(now, opClaim, s.key, version, h.settings.Instance, s.fencing, out)
}

func (h *Limiter) writeSlotRow(now clock.Time, kind opKind, key slotKey, expect uint64, holder id.Instance, f id.Fencing, out *event.Outbox) {
	out.Add(event.TableCommit{
		Op: h.table.startOp(now, kind, key),
		Writes: []table.Write{{
			Key:    key.rowKey(),
			Expect: expect,
			Body:   table.Slot{Zone: key.zone, Index: key.index, Holder: holder, Fencing: f},
		}},
	})
}

// maybeAcquire acquires a vacant slot that falls to this instance.
func (h *Limiter) acquireIfVacant(now clock.Time, n int, r slotRow, out *event.Outbox) {
	t := &h.table
	if !h.isVacant(r) {
		delete(t.vacantSince, r.key)
		delete(t.acquisitions, r.key) // it can't take effect against this row
		return
	}
	if _, ok := t.vacantSince[r.key]; !ok {
		t.vacantSince[r.key] = now
	}
	if !h.rights.Valid(now) || h.transfers[r.key] != nil || h.assignee(h.zoneSlots(), n) != h.settings.Instance {
		return
	}
	ended := r.found && r.body.Holder != ""
	if ended && !h.unclaimed(now, r) {
		return
	}
	f := r.body.Fencing + 1
	t.acquisitions[r.key] = acquisition{fencing: f, newRow: !r.found, vacated: !ended}
	h.writeSlotRow(now, opAcquire, r.key, r.version, h.settings.Instance, f, out)
}

func (h *Limiter) isVacant(r slotRow) bool {
	return !r.found || r.body.Holder == "" || h.rights.Ended(r.body.Holder)
}

// unclaimed reports whether no instance came forward to which an ended holder
// handed its slot over while the table was down. Taking it then would give the
// slot two users until the other's claim fails.
func (h *Limiter) unclaimed(now clock.Time, r slotRow) bool {
	return now.Sub(h.table.vacantSince[r.key]) >= h.settings.ClaimGracePeriod &&
		!h.directory.claimed(now, r.key, r.body.Fencing, h.settings.ClaimGracePeriod)
}

// acquired begins to use a slot that the table has on record as this one's.
func (h *Limiter) finishAcquisition(now clock.Time, r slotRow, a acquisition, out *event.Outbox) {
	delete(h.table.acquisitions, r.key)
	delete(h.table.vacantSince, r.key)
	s := &slot{key: r.key, fencing: a.fencing, rowVersion: r.version, recorded: true, countsFrom: now}
	switch {
	case a.transfer != nil:
		// The bucket filled up since it was given: a little is lost.
		s.startedFull = a.transfer.Full
		s.countsFrom = a.receivedAt.Add(-a.transfer.Age)
		h.addSlot(now, s, a.transfer.Balances)
		out.Send(a.giver, message.SlotTaken{Slot: message.HeldSlot{Zone: r.key.zone, Index: r.key.index, Fencing: s.fencing}})
		return
	case a.newRow:
		s.startedFull = true
	case !a.vacated:
		// The last holder may have lent right before it died: its part counts
		// once those loans have run out.
		s.countsFrom = now.Add(h.lenderTerm())
	}
	h.addSlot(now, s, nil)
}
