package rate

import (
	"cmp"
	"fmt"
	"slices"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// slotKey names a slot.
type slotKey struct {
	zone  id.Zone
	index int
}

func (k slotKey) row() table.Key {
	return table.Key{Kind: table.KindSlot, ID: k.String()}
}

// String returns the ID of the slot's row.
func (k slotKey) String() string { return fmt.Sprintf("%s/%d", k.zone, k.index) }

func compareKeys(a, b slotKey) int {
	return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.index, b.index))
}

// slot is a slot that is held here.
type slot struct {
	key     slotKey
	fencing id.Fencing
	row     uint64 // version of its row, as last known
	// known says that the table has this holder on record. Otherwise the slot
	// was handed over, and holders lists who held it since version row.
	known   bool
	holders []id.Instance
	// from is when its part of every account began to count. Buckets that
	// were never looked at are full, or as full as they got since from.
	from clock.Time
	full bool
}

// untouched returns what the slot has of an account that was not looked at yet.
func (s *slot) untouched(h *Holder, now clock.Time, a *account) float64 {
	share := a.burst / h.parts()
	if s.full {
		return share
	}
	filled := a.rate / h.parts() * max(0, now.Sub(s.from).Seconds())
	return min(share, filled)
}

// slotsAt counts the slots whose part counts at t.
func (h *Holder) slotsAt(t clock.Time) float64 {
	n := 0
	for _, s := range h.slots {
		if s.from <= t {
			n++
		}
	}
	return float64(n)
}

// Slots returns the held slots, for status.
func (h *Holder) Slots() []message.HeldSlot {
	var held []message.HeldSlot
	for _, s := range h.slots {
		held = append(held, message.HeldSlot{Zone: s.key.zone, Index: s.key.index, Fencing: s.fencing})
	}
	return held
}

func (h *Holder) slot(key slotKey) *slot {
	for _, s := range h.slots {
		if s.key == key {
			return s
		}
	}
	return nil
}

// addSlot begins to use a slot. balances lists accounts whose buckets in it
// differ from untouched ones.
func (h *Holder) addSlot(now clock.Time, s *slot, balances []message.SlotBalance) {
	h.refillAll(now)
	listed := make(map[id.Account]message.SlotBalance)
	for _, b := range balances {
		listed[b.Account] = b
		h.account(now, b.Account)
	}
	h.slots = append(h.slots, s)
	slices.SortFunc(h.slots, func(a, b *slot) int { return compareKeys(a.key, b.key) })
	for name, a := range h.accounts {
		if b, ok := listed[name]; ok {
			h.addBalance(now, a, s, b)
		} else {
			a.balance += s.untouched(h, now, a)
		}
		a.clip(h)
		if len(a.queue) > 0 {
			h.wake(a, now)
		}
	}
}

// addBalance takes over a bucket with what is lent out of it. To whom it is
// lent the giver knows; here it is set aside until it has run out.
func (h *Holder) addBalance(now clock.Time, a *account, s *slot, b message.SlotBalance) {
	a.balance += max(0, b.Tokens)
	if b.LentBurst <= 0 && b.LentRate <= 0 {
		return
	}
	to := id.Instance("handed over with " + s.key.String())
	a.setAside(to, 0, part{rate: b.LentRate, burst: b.LentBurst, until: now.Add(h.loanHold())})
}

// dropSlot stops using a slot. The buckets lose the room for it.
func (h *Holder) dropSlot(now clock.Time, key slotKey) {
	h.refillAll(now)
	h.slots = slices.DeleteFunc(h.slots, func(s *slot) bool { return s.key == key })
	for _, a := range h.accounts {
		a.clip(h)
	}
}

// handOut builds what a receiver needs of a slot, and takes it out of use here
// before anything is sent. Without that, both would spend it.
func (h *Holder) handOut(now clock.Time, s *slot) message.HandoverSlot {
	h.refillAll(now)
	m := message.HandoverSlot{
		Zone:       s.key.zone,
		Index:      s.key.index,
		Fencing:    s.fencing,
		RowVersion: s.row,
		Holders:    append(slices.Clone(s.holders), h.set.Instance),
		Age:        now.Sub(s.from),
		Full:       s.full,
	}
	for _, name := range sortedKeys(h.accounts) {
		a := h.accounts[name]
		b := h.partOf(now, a)
		if now.Before(s.from) {
			break // it does not count yet
		}
		if b.LentBurst == 0 && b.Tokens >= s.untouched(h, now, a) {
			continue // as an untouched one, which can't have more
		}
		m.Balances = append(m.Balances, b)
	}
	if !h.hooks.keepAfterHandover {
		h.takeOut(now, s)
	}
	h.table.seen[s.key] = max(h.table.seen[s.key], s.fencing)
	return m
}

// partOf returns one slot's part of a bucket and of what is lent out of it.
func (h *Holder) partOf(now clock.Time, a *account) message.SlotBalance {
	n := max(1, h.slotsAt(now))
	o := a.out()
	room := max(0, a.own(h, now).burst-o.burst)
	return message.SlotBalance{
		Account:   a.name,
		Tokens:    min(a.balance, room) / n,
		LentBurst: o.burst / n,
		LentRate:  o.rate / n,
	}
}

// takeOut removes a slot with its part of every bucket and of what is lent,
// which the receiver sets aside from now on.
func (h *Holder) takeOut(now clock.Time, s *slot) {
	n := h.slotsAt(now)
	for _, a := range h.accounts {
		if now.Before(s.from) {
			break
		}
		b := h.partOf(now, a)
		a.balance = max(0, a.balance-b.Tokens)
		for i := range a.lent {
			a.lent[i].tokens *= 1 - 1/n
		}
		for _, s := range a.lentTo {
			s.shrink(1 - 1/n)
		}
	}
	h.dropSlot(now, s.key)
}

func (s *shareLent) shrink(by float64) {
	for _, p := range []*part{&s.now, &s.old} {
		p.rate *= by
		p.burst *= by
	}
}
