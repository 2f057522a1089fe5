package session

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// asksPerMargin is how often within Margin the zone is asked to confirm.
const confirmRequestsPerMargin = 4

// gap is a pause of this instance that is not cleared yet.
//
// A paused holder past its expiry may have been taken over without knowing.
// With the table in reach a renewal tells. Without it, only instances of the
// same zone could have taken over, and only through the table. So if every one
// of them, those of before the pause and those of now, has not reached the
// table since, nobody did. What this leaves open is in the design page.
type pause struct {
	zoneMembers []id.Instance // seen in the zone at the last tick
	began       clock.Time    // last tick before the first pause not cleared
	detectedAt  clock.Time    // when the last pause was found
	nonce       uint64
	nextRequest clock.Time
	confirmed   map[id.Instance]bool // of all that have to confirm
	takenOver   bool                 // somebody knows of a takeover
}

// noteGap looks for a pause. Every entry point calls it first: after a pause
// an answer or a message may be handled before the tick that is due.
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

func (l *Lease) startConfirmation(now clock.Time) {
	l.pause.detectedAt = now
	l.pause.nonce++
	l.pause.nextRequest = now
	l.pause.confirmed = make(map[id.Instance]bool)
	l.requireConfirmation(l.pause.zoneMembers)
	l.nextAttempt = now
}

// needConfirm adds those who have to confirm.
func (l *Lease) requireConfirmation(instances []id.Instance) {
	for _, i := range instances {
		if _, ok := l.pause.confirmed[i]; !ok && i != l.settings.Instance {
			l.pause.confirmed[i] = false
		}
	}
}

// askConfirm asks those who have not confirmed yet.
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
			out.Send(i, message.ConfirmAsk{Nonce: l.pause.nonce})
		}
	}
}

// clearByConfirm lets the right be used again once all have confirmed. It
// waits for Margin at least, in which instances that started during the pause
// show themselves by their heartbeats.
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

// Peer takes in a message of another instance. Whatever it says, it proves
// that the sender can be reached.
func (l *Lease) HandleMessage(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	l.detectPause(now)
	if from == l.settings.Instance {
		return
	}
	l.watch.recordHeard(now, from)
	switch m := m.(type) {
	case message.Heartbeat:
		l.recordTableAge(now, from, m)
	case message.ConfirmAsk:
		out.Send(from, l.confirmation(now, from, m.Nonce))
	case message.Confirm:
		l.handleConfirm(now, from, m)
	}
}

func (l *Lease) confirmation(now clock.Time, from id.Instance, nonce uint64) message.Confirm {
	return message.Confirm{
		Nonce:    nonce,
		TakenBy:  l.watch.takenOverBy(from, l.settings.Instance),
		TableAge: l.zoneTableAge(now),
		Zone:     l.members.InZone(l.settings.Zone),
	}
}

// reached is when another instance of the zone last reached the table, at the
// latest, by its heartbeat of number seq.
type tableContact struct {
	seq uint64
	at  clock.Time
}

// noteTableAge remembers when an instance of the zone last reached the table.
// It may have taken a session over and died before the holder asks about it. A
// heartbeat that was late makes the time seem later than it was, which is safe,
// until the next one; one that was overtaken would make it seem earlier.
func (l *Lease) recordTableAge(now clock.Time, from id.Instance, m message.Heartbeat) {
	if m.Zone != l.settings.Zone || m.TableAge == neverReached || m.Seq <= l.zoneTableContacts[from].seq {
		return
	}
	l.zoneTableContacts[from] = tableContact{seq: m.Seq, at: now.Add(-m.TableAge)}
}

// zoneTableAge returns the time since any instance of the zone that was heard
// last reached the table.
func (l *Lease) zoneTableAge(now clock.Time) time.Duration {
	age := l.TableAge(now)
	for _, r := range l.zoneTableContacts {
		age = min(age, now.Sub(r.at))
	}
	return age
}

// confirmedBy takes in a Confirm. One that is late carries an old nonce, and a
// doubled one changes nothing.
func (l *Lease) handleConfirm(now clock.Time, from id.Instance, m message.Confirm) {
	if l.phase != unconfirmed || m.Nonce != l.pause.nonce {
		return
	}
	l.requireConfirmation(m.Zone)
	if m.TakenBy != "" {
		l.pause.takenOver = true
		return
	}
	if l.predatesPause(now, m.TableAge) {
		l.pause.confirmed[from] = true
	}
	l.resumeIfConfirmed(now)
}

// vouches reports whether an instance that reached the table so long ago did
// so surely before the pause began. Margin covers the drift of the two clocks.
func (l *Lease) predatesPause(now clock.Time, tableAge time.Duration) bool {
	return tableAge >= now.Sub(l.pause.began)+l.settings.DriftMargin || l.hooks.acceptAnyConfirm
}
