package rate

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// heldPeriods is after how many missed SlotsHeld a holder is no longer asked.
const maxMissedAnnouncements = 4

// holding is what another instance said it holds.
type announcement struct {
	zone       id.Zone
	slots      []message.HeldSlot
	receivedAt clock.Time
}

// directory keeps which other instances hold slots.
type directory map[id.Instance]*announcement

func (d directory) update(now clock.Time, from id.Instance, zone id.Zone, m message.SlotsHeld) {
	if len(m.Slots) == 0 {
		delete(d, from)
		return
	}
	d[from] = &announcement{zone: zone, slots: m.Slots, receivedAt: now}
}

func (d directory) slotCount(i id.Instance) int {
	if x := d[i]; x != nil {
		return len(x.slots)
	}
	return 0
}

// targets returns the other holders of this zone, or with far those of the
// other zones, sorted. Holders that were long not heard are dropped.
func (d directory) holders(now clock.Time, h *Limiter, far bool) []id.Instance {
	var t []id.Instance
	for i, x := range d {
		if now.Sub(x.receivedAt) > maxMissedAnnouncements*h.settings.AnnouncementInterval {
			delete(d, i)
			continue
		}
		if (x.zone != h.settings.Zone) == far {
			t = append(t, i)
		}
	}
	slices.Sort(t)
	return t
}

// claimed reports whether an instance said within d that it holds a slot by a
// later change of hands than the table has on record.
func (d directory) claimed(now clock.Time, key slotKey, on id.Fencing, within time.Duration) bool {
	for _, x := range d {
		if now.Sub(x.receivedAt) > within {
			continue
		}
		if slices.ContainsFunc(x.slots, func(s message.HeldSlot) bool {
			return s.Zone == key.zone && s.Index == key.index && s.Fencing > on
		}) {
			return true
		}
	}
	return false
}

func (h *Limiter) nextAnnouncementTick() clock.Time {
	if len(h.slots) == 0 {
		return clock.Never
	}
	return h.nextAnnouncement
}

// tellHeld tells the others which slots are held here.
func (h *Limiter) announceSlots(now clock.Time, out *event.Outbox) {
	if now.Before(h.nextAnnouncement) {
		return
	}
	h.nextAnnouncement = now.Add(h.settings.AnnouncementInterval)
	if len(h.slots) == 0 {
		return
	}
	var m message.SlotsHeld
	for _, s := range h.slots {
		m.Slots = append(m.Slots, message.HeldSlot{Zone: s.key.zone, Index: s.key.index, Fencing: s.fencing})
	}
	for _, to := range h.members.Live() {
		if to != h.settings.Instance {
			out.Send(to, m)
		}
	}
}
