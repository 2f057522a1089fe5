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

// slotKey identifies a slot.
type slotKey struct {
	zone  id.Zone
	index int
}

// rowKey returns the key of the slot's row.
func (k slotKey) rowKey() table.Key {
	return table.Key{Kind: table.KindSlot, ID: k.String()}
}

// String returns the ID in the key of the slot's row.
func (k slotKey) String() string { return fmt.Sprintf("%s/%d", k.zone, k.index) }

func compareKeys(a, b slotKey) int {
	return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.index, b.index))
}

// slot is a slot that this instance holds.
type slot struct {
	key        slotKey
	fencing    id.Fencing
	rowVersion uint64 // last known version of the slot's row
	// recorded tells whether the row names this instance as the holder. If
	// not, the slot was handed over, and previousHolders lists its holders
	// since rowVersion.
	recorded        bool
	previousHolders []id.Instance
	// countsFrom is the time from which the slot's part of each account
	// counts. A bucket that was never used is full if startedFull is set;
	// otherwise it was empty at countsFrom.
	countsFrom  clock.Time
	startedFull bool
}

// initialBalance returns the tokens that the slot has for an account that was
// not used yet.
func (s *slot) initialBalance(lim *Limiter, now clock.Time, a *account) float64 {
	slotBurst := a.burst / lim.totalSlots()
	if s.startedFull {
		return slotBurst
	}
	filled := a.rate / lim.totalSlots() * max(0, now.Sub(s.countsFrom).Seconds())
	return min(slotBurst, filled)
}

// countingSlots returns the number of held slots that count at t.
func (lim *Limiter) countingSlots(t clock.Time) float64 {
	count := 0
	for _, s := range lim.slots {
		if s.countsFrom <= t {
			count++
		}
	}
	return float64(count)
}

// Slots returns the held slots.
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

// addSlot begins to use a slot. balances lists the accounts whose buckets in
// the slot differ from unused ones.
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

// mergeBalance adds the slot's balance of an account to the bucket and
// reserves what is lent out of it. The borrowers are not known here, so the
// reservation lasts until the loans have expired.
func (lim *Limiter) mergeBalance(now clock.Time, a *account, s *slot, b message.SlotBalance) {
	a.balance += max(0, b.Tokens)
	if b.LentBurst <= 0 && b.LentRate <= 0 {
		return
	}
	to := id.Instance("handed over with " + s.key.String())
	a.reserveShare(to, 0, reservation{rate: b.LentRate, burst: b.LentBurst, until: now.Add(lim.lenderTerm())})
}

// dropSlot stops using a slot. The buckets lose its capacity.
func (lim *Limiter) dropSlot(now clock.Time, key slotKey) {
	lim.refillAll(now)
	lim.slots = slices.DeleteFunc(lim.slots, func(s *slot) bool { return s.key == key })
	for _, a := range lim.accounts {
		a.clampBalance(lim)
	}
}

// detachSlot removes a slot with its balances and returns the message for the
// receiver. It must run before anything is sent, or both instances would
// spend the tokens.
func (lim *Limiter) detachSlot(now clock.Time, s *slot) message.HandoverSlot {
	lim.refillAll(now)
	m := message.HandoverSlot{
		Zone:       s.key.zone,
		Index:      s.key.index,
		Fencing:    s.fencing,
		RowVersion: s.rowVersion,
		Holders:    append(slices.Clone(s.previousHolders), lim.settings.Instance),
		Age:        now.Sub(s.countsFrom),
		Full:       s.startedFull,
	}
	for _, name := range sortedKeys(lim.accounts) {
		a := lim.accounts[name]
		b := lim.slotBalance(now, a)
		if now.Before(s.countsFrom) {
			break // the slot does not count yet
		}
		if b.LentBurst == 0 && b.Tokens >= s.initialBalance(lim, now, a) {
			continue // the receiver computes the same balance
		}
		m.Balances = append(m.Balances, b)
	}
	if !lim.hooks.keepAfterHandover {
		lim.removeSlotWithBalances(now, s)
	}
	lim.table.highestFencing[s.key] = max(lim.table.highestFencing[s.key], s.fencing)
	return m
}

// slotBalance returns one slot's part of an account's bucket and of what is
// lent out of it.
func (lim *Limiter) slotBalance(now clock.Time, a *account) message.SlotBalance {
	slots := max(1, lim.countingSlots(now))
	lent := a.lentLimits()
	unlent := max(0, a.ownLimits(lim, now).burst-lent.burst)
	return message.SlotBalance{
		Account:   a.name,
		Tokens:    min(a.balance, unlent) / slots,
		LentBurst: lent.burst / slots,
		LentRate:  lent.rate / slots,
	}
}

// removeSlotWithBalances removes a slot with its part of every bucket and of
// what is lent, which the receiver reserves from now on.
func (lim *Limiter) removeSlotWithBalances(now clock.Time, s *slot) {
	slots := lim.countingSlots(now)
	for _, a := range lim.accounts {
		if now.Before(s.countsFrom) {
			break
		}
		b := lim.slotBalance(now, a)
		a.balance = max(0, a.balance-b.Tokens)
		for i := range a.lentTokens {
			a.lentTokens[i].tokens *= 1 - 1/slots
		}
		for _, s := range a.lentShares {
			s.shrink(1 - 1/slots)
		}
	}
	lim.dropSlot(now, s.key)
}

// shrink scales the reservations by a factor.
func (s *lentShare) shrink(factor float64) {
	for _, p := range []*reservation{&s.current, &s.previous} {
		p.rate *= factor
		p.burst *= factor
	}
}
