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
const transferRetryInterval = 500 * time.Millisecond

// Handover stops using all slots for good and returns them, for one other
// instance of the zone. They must never be sent to a second one: without the
// table nothing tells the two apart.
func (h *Limiter) Handover(now clock.Time) []message.HandoverSlot {
	h.closed = true
	var all []message.HandoverSlot
	for _, s := range slices.Clone(h.slots) {
		all = append(all, h.detachSlot(now, s))
	}
	return all
}

// TakeOver begins to use slots that were handed over, and puts them on record.
// A slot that comes again is left out. It reports false if this instance takes
// nothing because it is stopping itself or its lease does not hold now: a
// holder without a session row counts as ended.
func (h *Limiter) TakeOver(now clock.Time, all []message.HandoverSlot, out *event.Outbox) bool {
	if h.closed || !h.rights.Valid(now) {
		return false
	}
	for _, m := range all {
		key := slotKey{zone: m.Zone, index: m.Index}
		if h.slot(key) != nil || h.table.highestFencing[key] >= m.Fencing {
			continue
		}
		h.table.highestFencing[key] = m.Fencing
		s := &slot{
			key:             key,
			fencing:         m.Fencing + 1,
			rowVersion:      m.Row,
			previousHolders: m.Holders,
			countsFrom:      now.Add(-m.Age),
			startedFull:     m.Full,
		}
		h.addSlot(now, s, m.Balances)
		h.writeClaim(now, s, s.rowVersion, out)
	}
	h.nextAnnouncement = now // the claim is heard before anybody can find the slot vacant
	return true
}

// giving is a slot on its way to an instance that holds fewer.
type outgoingTransfer struct {
	slot      message.HandoverSlot
	to        id.Instance
	startedAt clock.Time
	nextSend  clock.Time
}

// giveSurplus gives a slot away if another live instance of the zone holds two
// fewer, as after a start or a replacement.
func (h *Limiter) transferSurplusSlot(now clock.Time, out *event.Outbox) {
	if len(h.transfers) > 0 || len(h.slots) < 2 || !h.rights.Valid(now) {
		return
	}
	s := h.slots[len(h.slots)-1]
	var poor []id.Instance
	for _, i := range h.members.InZone(h.settings.Zone) {
		if i != h.settings.Instance && h.directory.slotCount(i)+2 <= len(h.slots) {
			poor = append(poor, i)
		}
	}
	if !s.recorded || len(poor) == 0 {
		return
	}
	to := rendezvous.Owner(s.key.String(), poor)
	h.transfers[s.key] = &outgoingTransfer{slot: h.detachSlot(now, s), to: to, startedAt: now}
	h.sendTransfers(now, out)
}

// tickGiving sends given slots again until they are taken. One that is not is
// vacated through the table, which also tells if it was taken after all.
func (h *Limiter) sendTransfers(now clock.Time, out *event.Outbox) {
	for _, key := range slices.SortedFunc(maps.Keys(h.transfers), compareKeys) {
		g := h.transfers[key]
		if now.Before(g.nextSend) {
			continue
		}
		g.nextSend = now.Add(transferRetryInterval)
		if now.Sub(g.startedAt) < h.settings.TransferTimeout {
			out.Send(g.to, message.SlotGiven{Slot: g.slot})
			continue
		}
		g.nextSend = now.Add(h.settings.TableTimeout)
		h.writeSlotRow(now, opVacate, key, g.slot.Row, "", g.slot.Fencing+1, out)
	}
}

func (h *Limiter) nextTransferTick() clock.Time {
	t := clock.Never
	for _, g := range h.transfers {
		t = min(t, g.nextSend)
	}
	return t
}

// given takes in a slot from an instance that holds more. It is used once the
// table has it on record, so a late or doubled message can't revive it.
func (h *Limiter) handleSlotGiven(now clock.Time, from id.Instance, m message.HandoverSlot, out *event.Outbox) {
	key := slotKey{zone: m.Zone, index: m.Index}
	if s := h.slot(key); s != nil && s.recorded && s.fencing == m.Fencing+1 {
		out.Send(from, message.SlotTaken{Slot: message.HeldSlot{Zone: m.Zone, Index: m.Index, Fencing: s.fencing}})
		return
	}
	_, busy := h.table.acquisitions[key]
	if h.closed || busy || h.slot(key) != nil || !h.rights.Valid(now) || h.table.highestFencing[key] >= m.Fencing {
		return
	}
	h.table.highestFencing[key] = m.Fencing
	h.table.acquisitions[key] = acquisition{fencing: m.Fencing + 1, transfer: &m, giver: from, receivedAt: now}
	h.writeSlotRow(now, opAcquire, key, m.Row, h.settings.Instance, m.Fencing+1, out)
}

// taken ends the giving of a slot.
func (h *Limiter) handleSlotTaken(from id.Instance, m message.HeldSlot) {
	key := slotKey{zone: m.Zone, index: m.Index}
	if g := h.transfers[key]; g != nil && g.to == from && m.Fencing == g.slot.Fencing+1 {
		delete(h.transfers, key)
	}
}
