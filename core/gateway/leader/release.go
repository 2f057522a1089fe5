package leader

import (
	"time"

	"oleanderdale.org/core/clock"
)

// In a new era without a lease row, a candidate has to wait for the longest possible lease
// of an earlier holder: by the row, and by acknowledgments for MaxExtension more. The lease
// by the row ends within a term, because no renewal of an earlier era's row succeeds. A
// longer lease needs a holder that still exists and the acknowledgments of all its voters.
// The candidate therefore need not wait for the extension once every other instance that it
// knows has released the holders of earlier eras.
//
// A release is a commitment for the rest of the era, not a description of a moment: the
// sender is not the holder by the row of an earlier era, which it cannot become again, its
// last acknowledgment no longer extends a lease, and it acknowledges no holder of an
// earlier era any more. So a release that is relayed, delayed or repeated holds as well as
// one just sent, and no withdrawal can be lost. It also binds the next process of the
// machine, which acknowledges no holder of an era before the one in which it first read the
// row; the released era is not later than that one, because the store's era never falls.
//
// An instance that is not heard, or runs a version that sends no releases, prevents the
// shorter wait.

// releaseRetention is how long an instance that is neither heard nor listed is taken into
// account. It is far longer than a lease lasts without the row, and than the age of the
// copies from which a store is restored.
const releaseRetention = 5 * time.Minute

// releaseState is what a Lease knows about releases of the holders of earlier eras.
type releaseState struct {
	startedAt clock.Time
	// minEra is the lowest era whose holder this instance still acknowledges.
	minEra    int64
	listedEra int64 // era of the last list of instances from the store
	peers     map[string]peerRelease
	early     bool // the last takeover was started after the shorter wait
}

// peerRelease is what is known of another instance.
type peerRelease struct {
	incarnation uint64     // 0: not heard yet
	seenAt      clock.Time // last message, or last time in a list of instances
	stoppedAt   clock.Time // when the message arrived that it sends no orders until it is restarted; 0: none
	era         int64
	releasedAt  clock.Time // when the release for era arrived; 0: none
}

// PeerStatus is what a message says about its sender's part in the election.
type PeerStatus struct {
	// Released is true if the sender released the holders of eras before Era.
	Released bool
	Era      int64
	// Stopped is true if the sender's part in the election has ended; see Stop.
	Stopped bool
}

// Release commits this instance to acknowledge no holder of an era before the returned one.
// ok is false if it is the holder, or if its last acknowledgment may still extend a lease.
// Its start counts as an acknowledgment.
func (l *Lease) Release(now clock.Time) (era int64, ok bool) {
	if l.isHolder || !l.era.known || !now.Reached(l.promiseEnd()) {
		return 0, false
	}
	l.releases.minEra = max(l.releases.minEra, l.era.current)
	return l.era.current, true
}

// promiseEnd returns when the last acknowledgment of this instance extends no lease any
// more.
func (l *Lease) promiseEnd() clock.Time {
	return l.promisedAt.Add(l.settings.PromiseDuration + l.settings.DriftMargin)
}

// HandlePeerStatus records a message of another instance. A message without a release has
// to be recorded as well: its sender must be known.
func (l *Lease) HandlePeerStatus(now clock.Time, name string, incarnation uint64, status PeerStatus) {
	if status.Released {
		l.ObserveEra(now, status.Era)
	}
	p := l.releases.peers[name]
	if p.incarnation != incarnation {
		p = peerRelease{incarnation: incarnation}
	}
	p.seenAt = now
	if status.Stopped && p.stoppedAt == 0 {
		p.stoppedAt = now
	}
	if status.Released && (p.releasedAt == 0 || status.Era > p.era) {
		p.era, p.releasedAt = status.Era, now
	}
	l.setPeer(name, p)
}

// SetPeers names the other instances that are known. listedEra is the era of the store in
// which its list of instances was last read.
func (l *Lease) SetPeers(now clock.Time, names []string, listedEra int64) {
	l.releases.listedEra = listedEra
	for _, name := range names {
		p := l.releases.peers[name]
		p.seenAt = now
		l.setPeer(name, p)
	}
	for name, p := range l.releases.peers {
		if now.Sub(p.seenAt) > releaseRetention {
			delete(l.releases.peers, name)
		}
	}
}

func (l *Lease) setPeer(name string, p peerRelease) {
	if l.releases.peers == nil {
		l.releases.peers = make(map[string]peerRelease)
	}
	l.releases.peers[name] = p
}

// releasedEnd returns the end of the leases of all earlier holders if the current era has
// no row and all known instances, including this one, released them. A process that has run
// for less than the longest lease may not have heard of all instances, nor may one that has
// not read their list in this era. One that knows no other instance may be cut off.
func (l *Lease) releasedEnd(now clock.Time) (end clock.Time, ok bool) {
	r := &l.releases
	end = l.versionSeenAt.Add(l.settings.Term)
	longest := l.settings.Term + l.settings.MaxExtension + l.settings.DriftMargin
	if l.versionSeenAt == 0 || l.rowVersion != 0 || r.listedEra < l.era.current || now.Sub(r.startedAt) < longest {
		return 0, false
	}
	if _, ok := l.Release(now); !ok {
		return 0, false
	}
	end = max(end, l.promiseEnd())
	released := 0
	for _, p := range r.peers {
		switch {
		case p.stoppedAt != 0:
			end = max(end, p.stoppedAt)
		case p.releasedAt == 0 || p.era != l.era.current:
			return 0, false
		default:
			released++
			end = max(end, p.releasedAt)
		}
	}
	return end, released > 0 && end.Before(l.versionSeenAt.Add(l.settings.Term+l.settings.MaxExtension))
}

// TakenEarly reports whether the last takeover was started after the shorter wait.
func (l *Lease) TakenEarly() bool { return l.releases.early }
