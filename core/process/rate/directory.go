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
	if ann := d[i]; ann != nil {
		return len(ann.slots)
	}
	return 0
}

// targets returns the other holders of this zone, or with far those of the
// other zones, sorted. Holders that were long not heard are dropped.
func (d directory) holders(now clock.Time, lim *Limiter, otherZones bool) []id.Instance {
	var found []id.Instance
	for i, ann := range d {
		if now.Sub(ann.receivedAt) > maxMissedAnnouncements*lim.settings.AnnouncementInterval {
			delete(d, i)
			continue
		}
		if (ann.zone != lim.settings.Zone) == otherZones {
			found = append(found, i)
		}
	}
	slices.Sort(found)
	return found
}

// claimed reports whether an instance said within d that it holds a slot by a
// later change of hands than the table has on record.
func (d directory) claimed(now clock.Time, key slotKey, recorded id.Fencing, within time.Duration) bool {
	for _, ann := range d {
		if now.Sub(ann.receivedAt) > within {
			continue
		}
		if slices.ContainsFunc(ann.slots, func(s message.HeldSlot) bool {
			return s.Zone == key.zone && s.Index == key.index && s.Fencing > recorded
		}) {
			return true
		}
	}
	return false
}

func (lim *Limiter) nextAnnouncementTick() clock.Time {
	if len(lim.slots) == 0 {
		return clock.Never
	}
	return lim.nextAnnouncement
}

// tellHeld tells the others which slots are held here.
func (lim *Limiter) announceSlots(now clock.Time, out *event.Outbox) {
	if now.Before(lim.nextAnnouncement) {
		return
	}
	lim.nextAnnouncement = now.Add(lim.settings.AnnouncementInterval)
	if len(lim.slots) == 0 {
		return
	}
	var m message.SlotsHeld
	for _, s := range lim.slots {
		m.Slots = append(m.Slots, message.HeldSlot{Zone: s.key.zone, Index: s.key.index, Fencing: s.fencing})
	}
	for _, to := range lim.members.Live() {
		if to != lim.settings.Instance {
			out.Send(to, m)
		}
	}
}
