package session

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// asksPerMargin is how often within Margin the zone is asked to confirm.
const asksPerMargin = 4

// gap is a pause of this instance that is not cleared yet.
//
// A paused holder past its expiry may have been taken over without knowing.
// With the table in reach a renewal tells. Without it, only instances of the
// same zone could have taken over, and only through the table. So if every one
// of them, those of before the pause and those of now, has not reached the
// table since, nobody did. What this leaves open is in the design page.
type gap struct {
	zoneAtTick []id.Instance // seen in the zone at the last tick
	began      clock.Time    // last tick before the first pause not cleared
	found      clock.Time    // when the last pause was found
	nonce      uint64
	nextAsk    clock.Time
	confirmed  map[id.Instance]bool // of all that have to confirm
	taken      bool                 // somebody knows of a takeover
}

// noteGap looks for a pause. Every entry point calls it first: after a pause
// an answer or a message may be handled before the tick that is due.
func (l *Lease) noteGap(now clock.Time) {
	if !l.gapAt(now) {
		return
	}
	l.listening = now
	l.watch.forgetReadings()
	switch l.phase {
	case held:
		l.phase = suspect
		l.gap.began = l.tick
		l.gap.taken = false
		l.openGap(now)
	case suspect:
		l.openGap(now)
	}
	l.tick = now
}

func (l *Lease) openGap(now clock.Time) {
	l.gap.found = now
	l.gap.nonce++
	l.gap.nextAsk = now
	l.gap.confirmed = make(map[id.Instance]bool)
	l.needConfirm(l.gap.zoneAtTick)
	l.nextTry = now
}

// needConfirm adds those who have to confirm.
func (l *Lease) needConfirm(instances []id.Instance) {
	for _, i := range instances {
		if _, ok := l.gap.confirmed[i]; !ok && i != l.set.Instance {
			l.gap.confirmed[i] = false
		}
	}
}

// askConfirm asks those who have not confirmed yet.
func (l *Lease) askConfirm(now clock.Time, out *event.Outbox) {
	if l.phase != suspect {
		return
	}
	l.needConfirm(l.members.InZone(l.set.Zone))
	l.clearByConfirm(now)
	if l.phase != suspect || now.Before(l.gap.nextAsk) {
		return
	}
	l.gap.nextAsk = now.Add(l.set.Margin / asksPerMargin)
	for _, i := range sortedKeys(l.gap.confirmed) {
		if !l.gap.confirmed[i] {
			out.Send(i, message.TakeoverQuery{Nonce: l.gap.nonce})
		}
	}
}

// clearByConfirm lets the right be used again once all have confirmed. It
// waits for Margin at least, in which instances that started during the pause
// show themselves by their heartbeats.
func (l *Lease) clearByConfirm(now clock.Time) {
	if l.gap.taken || now.Sub(l.gap.found) < l.set.Margin || !l.vouches(now, l.zoneTableAge(now)) {
		return
	}
	for _, ok := range l.gap.confirmed {
		if !ok {
			return
		}
	}
	l.phase = held
}

// Peer takes in a message of another instance. Whatever it says, it proves
// that the sender can be reached.
func (l *Lease) Peer(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	l.noteGap(now)
	if from == l.set.Instance {
		return
	}
	l.watch.hear(now, from)
	switch m := m.(type) {
	case message.Heartbeat:
		l.noteTableAge(now, from, m)
	case message.TakeoverQuery:
		out.Send(from, l.confirm(now, from, m.Nonce))
	case message.TakeoverReply:
		l.confirmedBy(now, from, m)
	}
}

func (l *Lease) confirm(now clock.Time, from id.Instance, nonce uint64) message.TakeoverReply {
	return message.TakeoverReply{
		Nonce:         nonce,
		TakenBy:       l.watch.takerOf(from, l.set.Instance),
		TableAge:      l.zoneTableAge(now),
		ZoneInstances: l.members.InZone(l.set.Zone),
	}
}

// reached is when another instance of the zone last reached the table, at the
// latest, by its heartbeat of number seq.
type reached struct {
	seq uint64
	at  clock.Time
}

// noteTableAge remembers when an instance of the zone last reached the table.
// It may have taken a session over and died before the holder asks about it. A
// heartbeat that was late makes the time seem later than it was, which is safe,
// until the next one; one that was overtaken would make it seem earlier.
func (l *Lease) noteTableAge(now clock.Time, from id.Instance, m message.Heartbeat) {
	if m.Zone != l.set.Zone || m.TableAge == never || m.Seq <= l.zoneReached[from].seq {
		return
	}
	l.zoneReached[from] = reached{seq: m.Seq, at: now.Add(-m.TableAge)}
}

// zoneTableAge returns the time since any instance of the zone that was heard
// last reached the table.
func (l *Lease) zoneTableAge(now clock.Time) time.Duration {
	age := l.TableAge(now)
	for _, r := range l.zoneReached {
		age = min(age, now.Sub(r.at))
	}
	return age
}

// confirmedBy takes in a Confirm. One that is late carries an old nonce, and a
// doubled one changes nothing.
func (l *Lease) confirmedBy(now clock.Time, from id.Instance, m message.TakeoverReply) {
	if l.phase != suspect || m.Nonce != l.gap.nonce {
		return
	}
	l.needConfirm(m.ZoneInstances)
	if m.TakenBy != "" {
		l.gap.taken = true
		return
	}
	if l.vouches(now, m.TableAge) {
		l.gap.confirmed[from] = true
	}
	l.clearByConfirm(now)
}

// vouches reports whether an instance that reached the table so long ago did
// so surely before the pause began. Margin covers the drift of the two clocks.
func (l *Lease) vouches(now clock.Time, tableAge time.Duration) bool {
	return tableAge >= now.Sub(l.gap.began)+l.set.Margin || l.hooks.confirmAny
}
