package rate

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// maxMissedAnnouncements is the number of announcement intervals without an
// announcement after which a holder is forgotten.
const maxMissedAnnouncements = 4

// announcement is the last announcement of another holder
// (message.SlotsHeld).
type announcement struct {
	zone       id.Zone
	slots      []message.HeldSlot
	receivedAt clock.Time
}

// directory has the last announcement of each of the other holders.
type directory map[id.Instance]*announcement

// update stores an announcement. An instance that announces no slots is
// removed.
func (d directory) update(now clock.Time, from id.Instance, zone id.Zone, m message.SlotsHeld) {
	if len(m.Slots) == 0 {
		delete(d, from)
		return
	}
	d[from] = &announcement{zone: zone, slots: m.Slots, receivedAt: now}
}

// slotCount returns the number of slots that an instance announced.
func (d directory) slotCount(i id.Instance) int {
	if ann := d[i]; ann != nil {
		return len(ann.slots)
	}
	return 0
}

// holders returns the holders in this zone, or those in the other zones,
// sorted by name. It removes holders that have not announced themselves for
// too long.
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

// claimed reports whether an instance announced, within the given time, that
// it holds a slot with a higher fencing number than the recorded one.
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

// nextAnnouncementTick returns when the next announcement is due.
func (lim *Limiter) nextAnnouncementTick() clock.Time {
	if len(lim.slots) == 0 {
		return clock.Never
	}
	return lim.nextAnnouncement
}

// announceSlots tells all live instances which slots this one holds.
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
