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
type acquiring struct {
	fencing id.Fencing
	first   bool // the row was absent: nobody ever spent of it
	vacated bool // its holder had given it up
	given   *message.HandoverSlot
	from    id.Instance // who gave it
	at      clock.Time  // when it was given
}

// slotTable is what this instance does with the slot rows.
type slotTable struct {
	due         clock.Time
	last        uint64
	ops         map[uint64]slotOp
	vacantSince map[slotKey]clock.Time
	acquiring   map[slotKey]acquiring
	// seen has the highest fencing number with which a slot was taken over or
	// handed out here, so that a message that comes again has no effect.
	seen map[slotKey]id.Fencing
}

func newSlotTable() slotTable {
	return slotTable{
		ops:         make(map[uint64]slotOp),
		vacantSince: make(map[slotKey]clock.Time),
		acquiring:   make(map[slotKey]acquiring),
		seen:        make(map[slotKey]id.Fencing),
	}
}

func (t *slotTable) start(now clock.Time, kind opKind, key slotKey) event.Op {
	t.last++
	t.ops[t.last] = slotOp{kind: kind, key: key, sent: now}
	return event.Op{Component: event.ComponentRate, Seq: t.last}
}

// tickSlots does what is due for the slots.
func (h *Holder) tickSlots(now clock.Time, out *event.Outbox) {
	h.tellHeld(now, out)
	h.tickGiving(now, out)
	for n, op := range h.table.ops {
		if now.Sub(op.sent) >= h.set.OpTimeout {
			delete(h.table.ops, n) // the next reading tells what became of it
		}
	}
	if !h.rights.Valid(now) {
		// A paused instance may have missed the claim of another.
		clear(h.table.vacantSince)
	}
	if h.cfg == nil || h.closed || now.Before(h.table.due) || len(h.table.ops) > 0 {
		return
	}
	h.table.due = now.Add(h.set.ReadEvery)
	h.giveSurplus(now, out)
	h.readSlots(now, out)
}

// zoneSlots returns the keys of the zone's slots.
func (h *Holder) zoneSlots() []slotKey {
	var keys []slotKey
	if slices.Contains(h.cfg.Fleet.Zones, h.set.Zone) {
		for i := range h.cfg.Fleet.SlotsPerZone {
			keys = append(keys, slotKey{zone: h.set.Zone, index: i})
		}
	}
	return keys
}

// readSlots reads the rows if this instance holds slots or would get one that
// is vacant; the other instances of a large zone cost the table nothing.
func (h *Holder) readSlots(now clock.Time, out *event.Outbox) {
	keys := h.zoneSlots()
	own := len(h.slots)+len(h.table.acquiring) > 0
	var rows []table.Key
	for n, k := range keys {
		own = own || h.assigned(keys, n) == h.set.Instance
		rows = append(rows, k.row())
	}
	if own && len(rows) > 0 {
		out.Add(event.TableRead{Op: h.table.start(now, opRead, slotKey{}), Keys: rows})
	}
}

// assigned returns who acquires the n-th slot of keys if it is vacant: the
// first in its ranking that does not have its even part of the slots before it.
func (h *Holder) assigned(keys []slotKey, n int) id.Instance {
	live := h.members.InZone(h.set.Zone)
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
func (h *Holder) Table(now clock.Time, r event.TableResult, out *event.Outbox) {
	op, ok := h.table.ops[r.Op.Seq]
	if !ok || r.Op.Component != event.ComponentRate {
		return
	}
	delete(h.table.ops, r.Op.Seq)
	switch {
	case op.kind == opRead && r.Outcome == table.Done && !h.closed:
		h.slotsRead(now, r.Rows, out)
	case op.kind == opRead:
	case r.Outcome == table.Done:
		h.slotWritten(now, op)
	case r.Outcome == table.Conflict && op.kind == opVacate:
		delete(h.giving, op.key) // the receiver has it
	default:
		// Whether it took effect, the row tells.
		h.table.due = min(h.table.due, now.Add(h.set.ReadEvery/4))
	}
}

func (h *Holder) slotWritten(now clock.Time, op slotOp) {
	switch op.kind {
	case opClaim, opAcquire:
		h.table.due = now // read back: the row says which version it has
	case opVacate:
		delete(h.giving, op.key)
	}
}

// nextTable returns when the slot rows want a tick.
func (h *Holder) nextTable() clock.Time {
	if h.cfg == nil || h.closed {
		return clock.Never
	}
	if len(h.table.ops) == 0 {
		return h.table.due
	}
	t := clock.Never
	for _, op := range h.table.ops {
		t = min(t, op.sent.Add(h.set.OpTimeout))
	}
	return t
}

func (h *Holder) slotsRead(now clock.Time, rows []table.Row, out *event.Outbox) {
	found := make(map[table.Key]table.Row)
	for _, r := range rows {
		found[r.Key] = r
	}
	for n, k := range h.zoneSlots() {
		r, ok := found[k.row()]
		body, _ := r.Body.(table.Slot)
		h.slotRead(now, n, slotReading{key: k, found: ok, version: r.Version, body: body}, out)
	}
	h.dropRemoved(now)
}

// dropRemoved stops using slots that the configuration no longer has.
func (h *Holder) dropRemoved(now clock.Time) {
	keys := h.zoneSlots()
	for _, s := range slices.Clone(h.slots) {
		if !slices.Contains(keys, s.key) {
			h.dropSlot(now, s.key)
		}
	}
}

// slotReading is the row of a slot as read.
type slotReading struct {
	key     slotKey
	found   bool
	version uint64
	body    table.Slot
}

func (h *Holder) slotRead(now clock.Time, n int, r slotReading, out *event.Outbox) {
	mine := r.found && r.body.Holder == h.set.Instance
	a, acquires := h.table.acquiring[r.key]
	switch s := h.slot(r.key); {
	case s != nil:
		h.checkHeld(now, s, r, out)
	case mine && acquires && r.body.Fencing == a.fencing:
		h.acquired(now, r, a, out)
	case mine && h.table.seen[r.key] < r.body.Fencing:
		// An acquisition that was given up for lost took effect after all.
		h.acquired(now, r, acquiring{fencing: r.body.Fencing}, out)
	case mine:
		// Handed out; the receiver writes the row.
	default:
		h.maybeAcquire(now, n, r, out)
	}
}

// checkHeld compares a held slot with its row.
func (h *Holder) checkHeld(now clock.Time, s *slot, r slotReading, out *event.Outbox) {
	switch {
	case r.found && r.body.Holder == h.set.Instance && r.body.Fencing == s.fencing:
		s.known, s.row, s.holders = true, r.version, nil
	case !s.known && s.follows(r):
		h.claim(now, s, r.version, out)
	default:
		h.dropSlot(now, s.key)
	}
}

// follows reports whether a slot that was handed over comes from the holder
// that the row has on record, so that no other instance took it meanwhile.
func (s *slot) follows(r slotReading) bool {
	if !r.found {
		return s.row == 0
	}
	return r.body.Fencing < s.fencing && (r.version == s.row || slices.Contains(s.holders, r.body.Holder))
}

// claim puts a slot that was handed over on record.
func (h *Holder) claim(now clock.Time, s *slot, version uint64, out *event.Outbox) {
	h.writeSlot(now, opClaim, s.key, version, h.set.Instance, s.fencing, out)
}

func (h *Holder) writeSlot(now clock.Time, kind opKind, key slotKey, expect uint64, holder id.Instance, f id.Fencing, out *event.Outbox) {
	out.Add(event.TableCommit{
		Op: h.table.start(now, kind, key),
		Writes: []table.Write{{
			Key:    key.row(),
			Expect: expect,
			Body:   table.Slot{Zone: key.zone, Index: key.index, Holder: holder, Fencing: f},
		}},
	})
}

// maybeAcquire acquires a vacant slot that falls to this instance.
func (h *Holder) maybeAcquire(now clock.Time, n int, r slotReading, out *event.Outbox) {
	t := &h.table
	if !h.vacant(r) {
		delete(t.vacantSince, r.key)
		delete(t.acquiring, r.key) // it can't take effect against this row
		return
	}
	if _, ok := t.vacantSince[r.key]; !ok {
		t.vacantSince[r.key] = now
	}
	if !h.rights.Valid(now) || h.giving[r.key] != nil || h.assigned(h.zoneSlots(), n) != h.set.Instance {
		return
	}
	ended := r.found && r.body.Holder != ""
	if ended && !h.unclaimed(now, r) {
		return
	}
	f := r.body.Fencing + 1
	t.acquiring[r.key] = acquiring{fencing: f, first: !r.found, vacated: !ended}
	h.writeSlot(now, opAcquire, r.key, r.version, h.set.Instance, f, out)
}

func (h *Holder) vacant(r slotReading) bool {
	return !r.found || r.body.Holder == "" || h.rights.Ended(r.body.Holder)
}

// unclaimed reports whether no instance came forward to which an ended holder
// handed its slot over while the table was down. Taking it then would give the
// slot two users until the other's claim fails.
func (h *Holder) unclaimed(now clock.Time, r slotReading) bool {
	return now.Sub(h.table.vacantSince[r.key]) >= h.set.ClaimWait &&
		!h.directory.claimed(now, r.key, r.body.Fencing, h.set.ClaimWait)
}

// acquired begins to use a slot that the table has on record as this one's.
func (h *Holder) acquired(now clock.Time, r slotReading, a acquiring, out *event.Outbox) {
	delete(h.table.acquiring, r.key)
	delete(h.table.vacantSince, r.key)
	s := &slot{key: r.key, fencing: a.fencing, row: r.version, known: true, from: now}
	switch {
	case a.given != nil:
		// The bucket filled up since it was given: a little is lost.
		s.full = a.given.Full
		s.from = a.at.Add(-a.given.Age)
		h.addSlot(now, s, a.given.Balances)
		out.Send(a.from, message.SlotTransferAck{Slot: message.HeldSlot{Zone: r.key.zone, Index: r.key.index, Fencing: s.fencing}})
		return
	case a.first:
		s.full = true
	case !a.vacated:
		// The last holder may have lent right before it died: its part counts
		// once those loans have run out.
		s.from = now.Add(h.loanHold())
	}
	h.addSlot(now, s, nil)
}
