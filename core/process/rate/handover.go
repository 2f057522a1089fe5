package rate

import (
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/rendezvous"
)

// giveEvery is the time between two sendings of SlotGiven.
const giveEvery = 500 * time.Millisecond

// Handover stops using all slots for good and returns them, for one other
// instance of the zone. They must never be sent to a second one: without the
// table nothing tells the two apart.
func (h *Holder) Handover(now clock.Time) []message.HandoverSlot {
	h.closed = true
	var all []message.HandoverSlot
	for _, s := range slices.Clone(h.slots) {
		all = append(all, h.handOut(now, s))
	}
	return all
}

// TakeOver begins to use slots that were handed over, and puts them on record.
// A slot that comes again is left out. It reports false if this instance takes
// nothing because it is stopping itself or its lease does not hold now: a
// holder without a session row counts as ended.
func (h *Holder) TakeOver(now clock.Time, all []message.HandoverSlot, out *event.Outbox) bool {
	if h.closed || !h.rights.Valid(now) {
		return false
	}
	for _, m := range all {
		key := slotKey{zone: m.Zone, index: m.Index}
		if h.slot(key) != nil || h.table.seen[key] >= m.Fencing {
			continue
		}
		h.table.seen[key] = m.Fencing
		s := &slot{
			key:     key,
			fencing: m.Fencing + 1,
			row:     m.RowVersion,
			holders: m.Holders,
			from:    now.Add(-m.Age),
			full:    m.Full,
		}
		h.addSlot(now, s, m.Balances)
		h.claim(now, s, s.row, out)
	}
	h.heldDue = now // the claim is heard before anybody can find the slot vacant
	return true
}

// giving is a slot on its way to an instance that holds fewer.
type giving struct {
	slot  message.HandoverSlot
	to    id.Instance
	since clock.Time
	next  clock.Time
}

// giveSurplus gives a slot away if another live instance of the zone holds two
// fewer, as after a start or a replacement.
func (h *Holder) giveSurplus(now clock.Time, out *event.Outbox) {
	if len(h.giving) > 0 || len(h.slots) < 2 || !h.rights.Valid(now) {
		return
	}
	s := h.slots[len(h.slots)-1]
	var poor []id.Instance
	for _, i := range h.members.InZone(h.set.Zone) {
		if i != h.set.Instance && h.directory.slotsOf(i)+2 <= len(h.slots) {
			poor = append(poor, i)
		}
	}
	if !s.known || len(poor) == 0 {
		return
	}
	to := rendezvous.Owner(s.key.String(), poor)
	h.giving[s.key] = &giving{slot: h.handOut(now, s), to: to, since: now}
	h.tickGiving(now, out)
}

// tickGiving sends given slots again until they are taken. One that is not is
// vacated through the table, which also tells if it was taken after all.
func (h *Holder) tickGiving(now clock.Time, out *event.Outbox) {
	for _, key := range slices.SortedFunc(maps.Keys(h.giving), compareKeys) {
		g := h.giving[key]
		if now.Before(g.next) {
			continue
		}
		g.next = now.Add(giveEvery)
		if now.Sub(g.since) < h.set.GiveTimeout {
			out.Send(g.to, message.SlotTransfer{Slot: g.slot})
			continue
		}
		g.next = now.Add(h.set.OpTimeout)
		h.writeSlot(now, opVacate, key, g.slot.RowVersion, "", g.slot.Fencing+1, out)
	}
}

func (h *Holder) nextGiving() clock.Time {
	t := clock.Never
	for _, g := range h.giving {
		t = min(t, g.next)
	}
	return t
}

// given takes in a slot from an instance that holds more. It is used once the
// table has it on record, so a late or doubled message can't revive it.
func (h *Holder) given(now clock.Time, from id.Instance, m message.HandoverSlot, out *event.Outbox) {
	key := slotKey{zone: m.Zone, index: m.Index}
	if s := h.slot(key); s != nil && s.known && s.fencing == m.Fencing+1 {
		out.Send(from, message.SlotTransferAck{Slot: message.HeldSlot{Zone: m.Zone, Index: m.Index, Fencing: s.fencing}})
		return
	}
	_, busy := h.table.acquiring[key]
	if h.closed || busy || h.slot(key) != nil || !h.rights.Valid(now) || h.table.seen[key] >= m.Fencing {
		return
	}
	h.table.seen[key] = m.Fencing
	h.table.acquiring[key] = acquiring{fencing: m.Fencing + 1, given: &m, from: from, at: now}
	h.writeSlot(now, opAcquire, key, m.RowVersion, h.set.Instance, m.Fencing+1, out)
}

// taken ends the giving of a slot.
func (h *Holder) taken(from id.Instance, m message.HeldSlot) {
	key := slotKey{zone: m.Zone, index: m.Index}
	if g := h.giving[key]; g != nil && g.to == from && m.Fencing == g.slot.Fencing+1 {
		delete(h.giving, key)
	}
}
