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

func (k slotKey) rowKey() table.Key {
	return table.Key{Kind: table.KindSlot, ID: k.String()}
}

// String returns the ID of the slot's row.
func (k slotKey) String() string { return fmt.Sprintf("%s/%d", k.zone, k.index) }

func compareKeys(a, b slotKey) int {
	return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.index, b.index))
}

// slot is a slot that is held here.
type slot struct {
	key        slotKey
	fencing    id.Fencing
	rowVersion uint64 // version of its row, as last known
	// known says that the table has this holder on record. Otherwise the slot
	// was handed over, and holders lists who held it since version row.
	recorded        bool
	previousHolders []id.Instance
	// from is when its part of every account began to count. Buckets that
	// were never looked at are full, or as full as they got since from.
	countsFrom  clock.Time
	startedFull bool
}

// untouched returns what the slot has of an account that was not looked at yet.
func (s *slot) initialBalance(lim *Limiter, now clock.Time, a *account) float64 {
	slotBurst := a.burst / lim.totalSlots()
	if s.startedFull {
		return slotBurst
	}
	filled := a.rate / lim.totalSlots() * max(0, now.Sub(s.countsFrom).Seconds())
	return min(slotBurst, filled)
}

// slotsAt counts the slots whose part counts at t.
func (lim *Limiter) countingSlots(t clock.Time) float64 {
	n := 0
	for _, s := range lim.slots {
		if s.countsFrom <= t {
			n++
		}
	}
	return float64(n)
}

// Slots returns the held slots, for status.
func (lim *Limiter) Slots() []message.HeldSlot {
	var held []message.HeldSlot
	for _, s := range lim.slots {
		held = append(held, message.HeldSlot{Zone: s.key.zone, Index: s.key.index, Fencing: s.fencing})
	}
	return held
}

func (lim *Limiter) slot(key slotKey) *slot {
	for _, s := range lim.slots {
		if s.key == key {
			return s
		}
	}
	return nil
}

// addSlot begins to use a slot. balances lists accounts whose buckets in it
// differ from untouched ones.
func (lim *Limiter) addSlot(now clock.Time, s *slot, balances []message.SlotBalance) {
	lim.refillAll(now)
	listed := make(map[id.Account]message.SlotBalance)
	for _, b := range balances {
		listed[b.Account] = b
		lim.account(now, b.Account)
	}
	lim.slots = append(lim.slots, s)
	slices.SortFunc(lim.slots, func(a, b *slot) int { return compareKeys(a.key, b.key) })
	for name, a := range lim.accounts {
		if b, ok := listed[name]; ok {
			lim.mergeBalance(now, a, s, b)
		} else {
			a.balance += s.initialBalance(lim, now, a)
		}
		a.clampBalance(lim)
		if len(a.queue) > 0 {
			lim.scheduleTick(a, now)
		}
	}
}

// addBalance takes over a bucket with what is lent out of it. To whom it is
// lent the giver knows; here it is set aside until it has run out.
func (lim *Limiter) mergeBalance(now clock.Time, a *account, s *slot, b message.SlotBalance) {
	a.balance += max(0, b.Tokens)
	if b.Lent <= 0 && b.LentRate <= 0 {
		return
	}
	to := id.Instance("handed over with " + s.key.String())
	a.reserveShare(to, 0, reservation{rate: b.LentRate, burst: b.Lent, until: now.Add(lim.lenderTerm())})
}

// dropSlot stops using a slot. The buckets lose the room for it.
func (lim *Limiter) dropSlot(now clock.Time, key slotKey) {
	lim.refillAll(now)
	lim.slots = slices.DeleteFunc(lim.slots, func(s *slot) bool { return s.key == key })
	for _, a := range lim.accounts {
		a.clampBalance(lim)
	}
}

// handOut builds what a receiver needs of a slot, and takes it out of use here
// before anything is sent. Without that, both would spend it.
func (lim *Limiter) detachSlot(now clock.Time, s *slot) message.HandoverSlot {
	lim.refillAll(now)
	m := message.HandoverSlot{
		Zone:    s.key.zone,
		Index:   s.key.index,
		Fencing: s.fencing,
		Row:     s.rowVersion,
		Holders: append(slices.Clone(s.previousHolders), lim.settings.Instance),
		Age:     now.Sub(s.countsFrom),
		Full:    s.startedFull,
	}
	for _, name := range sortedKeys(lim.accounts) {
		a := lim.accounts[name]
		b := lim.slotBalance(now, a)
		if now.Before(s.countsFrom) {
			break // it does not count yet
		}
		if b.Lent == 0 && b.Tokens >= s.initialBalance(lim, now, a) {
			continue // as an untouched one, which can't have more
		}
		m.Balances = append(m.Balances, b)
	}
	if !lim.hooks.keepAfterHandover {
		lim.removeSlotWithBalances(now, s)
	}
	lim.table.highestFencing[s.key] = max(lim.table.highestFencing[s.key], s.fencing)
	return m
}

// partOf returns one slot's part of a bucket and of what is lent out of it.
func (lim *Limiter) slotBalance(now clock.Time, a *account) message.SlotBalance {
	slots := max(1, lim.countingSlots(now))
	lent := a.lentLimits()
	unlent := max(0, a.ownLimits(lim, now).burst-lent.burst)
	return message.SlotBalance{
		Account:  a.name,
		Tokens:   min(a.balance, unlent) / slots,
		Lent:     lent.burst / slots,
		LentRate: lent.rate / slots,
	}
}

// takeOut removes a slot with its part of every bucket and of what is lent,
// which the receiver sets aside from now on.
func (lim *Limiter) removeSlotWithBalances(now clock.Time, s *slot) {
	n := lim.countingSlots(now)
	for _, a := range lim.accounts {
		if now.Before(s.countsFrom) {
			break
		}
		b := lim.slotBalance(now, a)
		a.balance = max(0, a.balance-b.Tokens)
		for i := range a.lentTokens {
			a.lentTokens[i].tokens *= 1 - 1/n
		}
		for _, s := range a.lentShares {
			s.shrink(1 - 1/n)
		}
	}
	lim.dropSlot(now, s.key)
}

func (s *lentShare) shrink(factor float64) {
	for _, p := range []*reservation{&s.current, &s.previous} {
		p.rate *= factor
		p.burst *= factor
	}
}
