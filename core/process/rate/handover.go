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

// transferRetryInterval is the time between two sends of the same SlotTransfer
// message.
const transferRetryInterval = 500 * time.Millisecond

// Handover permanently stops using all slots and returns them, to be sent to
// one other instance of the zone. They must never be sent to a second one:
// while the table is down, nothing decides between two receivers.
func (lim *Limiter) Handover(now clock.Time) []message.HandoverSlot {
	lim.closed = true
	var detached []message.HandoverSlot
	for _, s := range slices.Clone(lim.slots) {
		detached = append(detached, lim.detachSlot(now, s))
	}
	return detached
}

// TakeOver begins to use slots that were handed over, and records this
// instance as their holder. It ignores a slot that it received before. It
// reports false, and accepts nothing, if this instance is stopping or its
// lease is not valid: a holder without a session row counts as ended.
func (lim *Limiter) TakeOver(now clock.Time, given []message.HandoverSlot, out *event.Outbox) bool {
	if lim.closed || !lim.rights.Valid(now) {
		return false
	}
	for _, m := range given {
		key := slotKey{zone: m.Zone, index: m.Index}
		if lim.slot(key) != nil || lim.table.highestFencing[key] >= m.Fencing {
			continue
		}
		lim.table.highestFencing[key] = m.Fencing
		s := &slot{
			key:             key,
			fencing:         m.Fencing + 1,
			rowVersion:      m.RowVersion,
			previousHolders: m.Holders,
			countsFrom:      now.Add(-m.Age),
			startedFull:     m.Full,
		}
		lim.addSlot(now, s, m.Balances)
		lim.writeClaim(now, s, s.rowVersion, out)
	}
	lim.nextAnnouncement = now // so that other instances don't find the slots vacant
	return true
}

// outgoingTransfer is a slot that is being transferred to an instance with
// fewer slots.
type outgoingTransfer struct {
	slot      message.HandoverSlot
	to        id.Instance
	startedAt clock.Time
	nextSend  clock.Time
}

// transferSurplusSlot transfers a slot if another live instance of the zone
// holds at least two fewer, as after a start or a replacement.
func (lim *Limiter) transferSurplusSlot(now clock.Time, out *event.Outbox) {
	if len(lim.transfers) > 0 || len(lim.slots) < 2 || !lim.rights.Valid(now) {
		return
	}
	s := lim.slots[len(lim.slots)-1]
	var candidates []id.Instance
	for _, i := range lim.members.InZone(lim.settings.Zone) {
		if i != lim.settings.Instance && lim.directory.slotCount(i)+2 <= len(lim.slots) {
			candidates = append(candidates, i)
		}
	}
	if !s.recorded || len(candidates) == 0 {
		return
	}
	to := rendezvous.Owner(s.key.String(), candidates)
	lim.transfers[s.key] = &outgoingTransfer{slot: lim.detachSlot(now, s), to: to, startedAt: now}
	lim.sendTransfers(now, out)
}

// sendTransfers sends unacknowledged transfers again. After TransferTimeout
// it vacates the slot instead; that write fails if the receiver has acquired
// the slot after all.
func (lim *Limiter) sendTransfers(now clock.Time, out *event.Outbox) {
	for _, key := range slices.SortedFunc(maps.Keys(lim.transfers), compareKeys) {
		transfer := lim.transfers[key]
		if now.Before(transfer.nextSend) {
			continue
		}
		transfer.nextSend = now.Add(transferRetryInterval)
		if now.Sub(transfer.startedAt) < lim.settings.TransferTimeout {
			out.Send(transfer.to, message.SlotTransfer{Slot: transfer.slot})
			continue
		}
		transfer.nextSend = now.Add(lim.settings.TableTimeout)
		lim.writeSlotRow(now, opVacate, key, transfer.slot.RowVersion, "", transfer.slot.Fencing+1, out)
	}
}

// nextTransferTick returns when the next step of a transfer is due.
func (lim *Limiter) nextTransferTick() clock.Time {
	next := clock.Never
	for _, transfer := range lim.transfers {
		next = min(next, transfer.nextSend)
	}
	return next
}

// handleSlotGiven acquires a slot that an instance with more slots transfers.
// The slot is not used before the table records it, so that a late or
// duplicate message can't bring it back into use.
func (lim *Limiter) handleSlotGiven(now clock.Time, from id.Instance, given message.HandoverSlot, out *event.Outbox) {
	key := slotKey{zone: given.Zone, index: given.Index}
	if s := lim.slot(key); s != nil && s.recorded && s.fencing == given.Fencing+1 {
		out.Send(from, message.SlotTransferAck{Slot: message.HeldSlot{Zone: given.Zone, Index: given.Index, Fencing: s.fencing}})
		return
	}
	_, acquiring := lim.table.acquisitions[key]
	if lim.closed || acquiring || lim.slot(key) != nil || !lim.rights.Valid(now) || lim.table.highestFencing[key] >= given.Fencing {
		return
	}
	lim.table.highestFencing[key] = given.Fencing
	lim.table.acquisitions[key] = acquisition{fencing: given.Fencing + 1, transfer: &given, giver: from, receivedAt: now}
	lim.writeSlotRow(now, opAcquire, key, given.RowVersion, lim.settings.Instance, given.Fencing+1, out)
}

// handleSlotTaken completes a transfer that the receiver acknowledged.
func (lim *Limiter) handleSlotTaken(from id.Instance, taken message.HeldSlot) {
	key := slotKey{zone: taken.Zone, index: taken.Index}
	if transfer := lim.transfers[key]; transfer != nil && transfer.to == from && taken.Fencing == transfer.slot.Fencing+1 {
		delete(lim.transfers, key)
	}
}
