package version

import (
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// Limits of replies to peers.
const (
	maxChangesPerReply = 16
	maxBytesPerReply   = 256 << 10
	maxWaiters         = 64 // peers waiting for a snapshot to be encoded
)

// changeLog holds the last encoded changes up to the tip, and an encoded
// snapshot for peers that are further behind.
type changeLog struct {
	first    id.ConfigVersion // version of changes[0]
	changes  [][]byte
	snapshot encodedVersion
	encoding bool
	waiters  []waiter
}

// waiter is a peer that requested the changes after version have.
type waiter struct {
	peer id.Instance
	have id.ConfigVersion
}

// add adds the version that became the tip and keeps the last maxChanges
// changes.
func (l *changeLog) add(e encodedVersion, maxChanges int) {
	if e.snapshot {
		l.snapshot = e
		l.first, l.changes = e.version+1, nil
		return
	}
	if len(l.changes) == 0 {
		l.first = e.version
	}
	l.changes = append(l.changes, e.body)
	if excess := len(l.changes) - maxChanges; excess > 0 {
		clear(l.changes[:excess])
		l.changes = l.changes[excess:]
		l.first += id.ConfigVersion(excess)
	}
}

// setEncodedSnapshot handles the result of encoding a snapshot. It reports
// whether the result is newer than the stored snapshot and replaced it.
func (l *changeLog) setEncodedSnapshot(e event.ConfigEncoded) bool {
	l.encoding = false
	if e.Err != "" || e.Version <= l.snapshot.version {
		return false
	}
	l.snapshot = encodedVersion{version: e.Version, snapshot: true, body: e.Snapshot}
	return true
}

// takeWaiters returns the waiting peers and clears the list.
func (l *changeLog) takeWaiters() []waiter {
	w := l.waiters
	l.waiters = nil
	return w
}

// addWaiter adds a peer that waits for the snapshot to be encoded, unless it
// waits already or too many do.
func (l *changeLog) addWaiter(w waiter) {
	for _, o := range l.waiters {
		if o.peer == w.peer {
			return
		}
	}
	if len(l.waiters) < maxWaiters {
		l.waiters = append(l.waiters, w)
	}
}

// reply sends a peer that has version have the changes after it, or a snapshot
// if some of them are no longer in the log.
func (f *Follower) reply(peer id.Instance, have id.ConfigVersion, out *event.Outbox) {
	l := &f.log
	switch {
	case have >= versionOf(f.tip):
		return // nothing newer here
	case len(l.changes) > 0 && have+1 >= l.first:
		f.sendChanges(peer, have, out)
	case l.snapshot.version > have && l.snapshot.version+1 >= l.first:
		out.Send(peer, message.VersionSnapshot{Version: l.snapshot.version, Snapshot: l.snapshot.body})
		f.sendChanges(peer, l.snapshot.version, out)
	default:
		l.addWaiter(waiter{peer: peer, have: have})
		f.encodeSnapshot(out)
	}
}

// sendChanges sends a peer the changes after have, within the limits of one
// reply.
func (f *Follower) sendChanges(peer id.Instance, have id.ConfigVersion, out *event.Outbox) {
	l := &f.log
	skip := int(have + 1 - l.first)
	size := 0
	for n, body := range l.changes[min(skip, len(l.changes)):] {
		size += len(body)
		if n == maxChangesPerReply || (n > 0 && size > maxBytesPerReply) {
			return
		}
		out.Send(peer, message.VersionChange{Version: have + 1 + id.ConfigVersion(n), Change: body})
	}
}

// encodeSnapshot requests the encoding of the tip unless one is in progress.
func (f *Follower) encodeSnapshot(out *event.Outbox) {
	if f.log.encoding {
		return
	}
	f.log.encoding = true
	out.Add(event.EncodeConfig{Config: f.tip})
}

// pushChange sends the newest change to instances of the zone, so that they
// don't wait for the next heartbeat. If a message is lost, the instance learns
// of the version from heartbeats.
func (f *Follower) pushChange(out *event.Outbox) {
	l := &f.log
	if len(l.changes) == 0 || f.settings.PushFanout < 0 || !f.isHeadReader() {
		return
	}
	body := l.changes[len(l.changes)-1]
	if len(body) > maxBytesPerReply {
		return
	}
	v := versionOf(f.tip)
	for _, i := range f.rankInZone(f.settings.PushFanout + 1) {
		if i != f.members.Self() && f.peerVersions[i] < v {
			out.Send(i, message.VersionChange{Version: v, Change: body})
		}
	}
}
