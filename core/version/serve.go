package version

import (
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// The bounds of one answer to a peer.
const (
	changesPerAnswer = 16
	bytesPerAnswer   = 256 << 10
	waitingPeers     = 64 // that wait for a snapshot to be encoded
)

// changeLog holds the last encoded changes, which end at the tip, and an
// encoded snapshot for peers that are further behind.
type changeLog struct {
	first    id.ConfigVersion // version of changes[0]
	changes  [][]byte
	snapshot encoded
	encoding bool
	waiting  []waiter
}

// waiter is a peer that asked for the changes after have.
type waiter struct {
	peer id.Instance
	have id.ConfigVersion
}

// add takes the version that became the tip.
func (l *changeLog) add(e encoded, keep int) {
	if e.snapshot {
		l.snapshot = e
		l.first, l.changes = e.version+1, nil
		return
	}
	if len(l.changes) == 0 {
		l.first = e.version
	}
	l.changes = append(l.changes, e.body)
	if over := len(l.changes) - keep; over > 0 {
		clear(l.changes[:over])
		l.changes = l.changes[over:]
		l.first += id.ConfigVersion(over)
	}
}

// snapshotEncoded keeps the snapshot; it reports whether there is a newer one.
func (l *changeLog) snapshotEncoded(e event.ConfigEncoded) bool {
	l.encoding = false
	if e.Err != "" || e.Version <= l.snapshot.version {
		return false
	}
	l.snapshot = encoded{version: e.Version, snapshot: true, body: e.Snapshot}
	return true
}

func (l *changeLog) takeWaiting() []waiter {
	w := l.waiting
	l.waiting = nil
	return w
}

// wait remembers a peer until the snapshot is encoded.
func (l *changeLog) wait(w waiter) {
	for _, o := range l.waiting {
		if o.peer == w.peer {
			return
		}
	}
	if len(l.waiting) < waitingPeers {
		l.waiting = append(l.waiting, w)
	}
}

// serve answers a peer that has version have: with the changes after it, or
// with a snapshot if some of them are not kept any more.
func (f *Follower) serve(peer id.Instance, have id.ConfigVersion, out *event.Outbox) {
	l := &f.log
	switch {
	case have >= versionOf(f.tip):
		return // nothing newer here
	case len(l.changes) > 0 && have+1 >= l.first:
		f.serveChanges(peer, have, out)
	case l.snapshot.version > have && l.snapshot.version+1 >= l.first:
		out.Send(peer, message.VersionSnapshot{Version: l.snapshot.version, Snapshot: l.snapshot.body})
		f.serveChanges(peer, l.snapshot.version, out)
	default:
		l.wait(waiter{peer: peer, have: have})
		f.encodeSnapshot(out)
	}
}

func (f *Follower) serveChanges(peer id.Instance, have id.ConfigVersion, out *event.Outbox) {
	l := &f.log
	skip := int(have + 1 - l.first)
	size := 0
	for n, body := range l.changes[min(skip, len(l.changes)):] {
		size += len(body)
		if n == changesPerAnswer || (n > 0 && size > bytesPerAnswer) {
			return
		}
		out.Send(peer, message.VersionChange{Version: have + 1 + id.ConfigVersion(n), Change: body})
	}
}

func (f *Follower) encodeSnapshot(out *event.Outbox) {
	if f.log.encoding {
		return
	}
	f.log.encoding = true
	out.Add(event.EncodeConfig{Config: f.tip})
}

// push sends the newest change to instances of the zone, so that they need not
// wait for the next heartbeat. Lost ones are made up for by heartbeats.
func (f *Follower) push(out *event.Outbox) {
	l := &f.log
	if len(l.changes) == 0 || f.set.PushFanout < 0 || !f.readsHead() {
		return
	}
	body := l.changes[len(l.changes)-1]
	if len(body) > bytesPerAnswer {
		return
	}
	v := versionOf(f.tip)
	for _, i := range f.zoneRank(f.set.PushFanout + 1) {
		if i != f.members.Self() && f.peers[i] < v {
			out.Send(i, message.VersionChange{Version: v, Change: body})
		}
	}
}
