package session

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// confirmRequestsPerMargin is how many times within DriftMargin the zone is
// asked to confirm.
const confirmRequestsPerMargin = 4

// pause is the state of a pause of this instance that is not confirmed yet.
//
// While a holder was paused past its expiry, another instance may have taken
// its session over. If the table can be reached, a renewal shows whether that
// happened. Without the table, only instances of the same zone can have done
// so, and only by reaching the table. So if no instance of the zone, whether
// it was seen before the pause or since, has reached the table since the
// pause began, there was no takeover. The design page tells which cases this
// does not cover.
type pause struct {
	zoneMembers []id.Instance // live instances of the zone at the last tick
	began       clock.Time    // last tick before the first unconfirmed pause
	detectedAt  clock.Time    // when the last pause was detected
	nonce       uint64
	nextRequest clock.Time
	confirmed   map[id.Instance]bool // every instance that has to confirm, true once it has
	takenOver   bool                 // an instance knows of a takeover
}

// detectPause checks for a pause. Every entry point calls it first, because a
// result or a message may be handled after a pause before the tick that is
// due.
func (l *Lease) detectPause(now clock.Time) {
	if !l.pausedAt(now) {
		return
	}
	l.runningSince = now
	l.watch.invalidateRows()
	switch l.phase {
	case held:
		l.phase = unconfirmed
		l.pause.began = l.lastTick
		l.pause.takenOver = false
		l.startConfirmation(now)
	case unconfirmed:
		l.startConfirmation(now)
	}
	l.lastTick = now
}

// startConfirmation starts a new round of confirmations.
func (l *Lease) startConfirmation(now clock.Time) {
	l.pause.detectedAt = now
	l.pause.nonce++
	l.pause.nextRequest = now
	l.pause.confirmed = make(map[id.Instance]bool)
	l.requireConfirmation(l.pause.zoneMembers)
	l.nextAttempt = now
}

// requireConfirmation adds instances that have to confirm.
func (l *Lease) requireConfirmation(instances []id.Instance) {
	for _, i := range instances {
		if _, ok := l.pause.confirmed[i]; !ok && i != l.settings.Instance {
			l.pause.confirmed[i] = false
		}
	}
}

// requestConfirmations asks the instances that have not confirmed yet.
func (l *Lease) requestConfirmations(now clock.Time, out *event.Outbox) {
	if l.phase != unconfirmed {
		return
	}
	l.requireConfirmation(l.members.InZone(l.settings.Zone))
	l.resumeIfConfirmed(now)
	if l.phase != unconfirmed || now.Before(l.pause.nextRequest) {
		return
	}
	l.pause.nextRequest = now.Add(l.settings.DriftMargin / confirmRequestsPerMargin)
	for _, i := range sortedKeys(l.pause.confirmed) {
		if !l.pause.confirmed[i] {
			out.Send(i, message.TakeoverQuery{Nonce: l.pause.nonce})
		}
	}
}

// resumeIfConfirmed makes the lease valid again once all instances have
// confirmed. It waits for at least DriftMargin, in which instances that
// started during the pause become known by their heartbeats.
func (l *Lease) resumeIfConfirmed(now clock.Time) {
	if l.pause.takenOver || now.Sub(l.pause.detectedAt) < l.settings.DriftMargin || !l.predatesPause(now, l.zoneTableAge(now)) {
		return
	}
	for _, ok := range l.pause.confirmed {
		if !ok {
			return
		}
	}
	l.phase = held
}

// HandleMessage handles a message of another instance. Any message also
// proves that the sender can be reached.
func (l *Lease) HandleMessage(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	l.detectPause(now)
	if from == l.settings.Instance {
		return
	}
	l.watch.recordHeard(now, from)
	switch m := m.(type) {
	case message.Heartbeat:
		l.recordTableAge(now, from, m)
	case message.TakeoverQuery:
		out.Send(from, l.confirmation(now, from, m.Nonce))
	case message.TakeoverReply:
		l.handleConfirm(now, from, m)
	}
}

// confirmation returns the answer to a TakeoverQuery.
func (l *Lease) confirmation(now clock.Time, from id.Instance, nonce uint64) message.TakeoverReply {
	return message.TakeoverReply{
		Nonce:         nonce,
		TakenBy:       l.watch.takenOverBy(from, l.settings.Instance),
		TableAge:      l.zoneTableAge(now),
		ZoneInstances: l.members.InZone(l.settings.Zone),
	}
}

// tableContact has the time at which another instance of the zone last
// reached the table, or a later time, as told by the heartbeat with number
// seq.
type tableContact struct {
	seq uint64
	at  clock.Time
}

// recordTableAge records when an instance of the zone last reached the table.
// The instance may take a session over and die before the holder asks it to
// confirm. A late heartbeat makes the time appear later than it was until the
// next one arrives, which is safe. One that was overtaken by a newer
// heartbeat is ignored, because it would make the time appear earlier.
func (l *Lease) recordTableAge(now clock.Time, from id.Instance, m message.Heartbeat) {
	if m.Zone != l.settings.Zone || m.TableAge == neverReached || m.Seq <= l.zoneTableContacts[from].seq {
		return
	}
	l.zoneTableContacts[from] = tableContact{seq: m.Seq, at: now.Add(-m.TableAge)}
}

// zoneTableAge returns the time since this instance or any known instance of
// the zone last reached the table.
func (l *Lease) zoneTableAge(now clock.Time) time.Duration {
	age := l.TableAge(now)
	for _, contact := range l.zoneTableContacts {
		age = min(age, now.Sub(contact.at))
	}
	return age
}

// handleConfirm handles a Confirm. One of an earlier round has another nonce
// and is ignored; a duplicate has no effect.
func (l *Lease) handleConfirm(now clock.Time, from id.Instance, m message.TakeoverReply) {
	if l.phase != unconfirmed || m.Nonce != l.pause.nonce {
		return
	}
	l.requireConfirmation(m.ZoneInstances)
	if m.TakenBy != "" {
		l.pause.takenOver = true
		return
	}
	if l.predatesPause(now, m.TableAge) {
		l.pause.confirmed[from] = true
	}
	l.resumeIfConfirmed(now)
}

// predatesPause reports whether an instance with the given table age
// certainly last reached the table before the pause began. DriftMargin covers
// the drift of the two clocks.
func (l *Lease) predatesPause(now clock.Time, tableAge time.Duration) bool {
	return tableAge >= now.Sub(l.pause.began)+l.settings.DriftMargin || l.hooks.acceptAnyConfirm
}
