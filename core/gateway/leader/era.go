package leader

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/revision"
)

// When the store is restored from an older snapshot, the lease row may name a previous
// holder, and the version that a renewal expects may be assigned again to another holder's
// row. Each era of the store therefore has its own lease row, and the fencing tokens of a
// later era are higher than all earlier ones.
//
// The holder continues without interruption: it writes the new row while its lease from
// the previous era is still valid, by the row or by the acknowledgments of its voters. Any
// other instance waits until the longest possible lease of the previous era has expired, or
// until all instances have released its holder; see release.go.

// eraShift is the position of the era in a fencing token. The bits below it allow for more
// than two billion takeovers in one era.
const eraShift = 32

func eraOf(fencing int64) int64 { return fencing >> eraShift }

// firstFencing returns the first fencing token of an era.
func firstFencing(era int64) int64 { return era<<eraShift + 1 }

// unreadableHolder stands for the holder that a row which can't be read may name.
const unreadableHolder = "?"

// UnreadableRecord returns the record of a row that can't be read. Its holder is unknown, so that the lease is taken over
// after a term and a quiet period. Its fencing token is higher than all before: each of them took a write to the store.
func UnreadableRecord(at revision.Revision) Record {
	return Record{Holder: unreadableHolder, Fencing: firstFencing(at.Era) + at.Version}
}

// eraState is what a Lease knows about the store's eras.
type eraState struct {
	current int64
	known   bool // set once a response or a message named the era
	// hadEarlier is true if some instance may have held the lease in an earlier era.
	hadEarlier bool
	// heldFromEarlier is true while this instance holds the lease by the row of an
	// earlier era.
	heldFromEarlier bool
}

// ObserveEra records the era of the store, as reported by the store or by another instance.
func (l *Lease) ObserveEra(now clock.Time, era int64) {
	if !l.era.known {
		l.era.known, l.era.current = true, era
		return
	}
	if era <= l.era.current {
		return
	}
	l.era = eraState{current: era, known: true, hadEarlier: true, heldFromEarlier: l.isHolder}
	l.rowCurrent, l.versionSeenAt, l.rowVersion, l.nextAt = false, 0, 0, now
	l.announced, l.releases.early = announced{}, false
	if l.pendingTakeover != versionNotRead {
		l.pendingTakeover = 0 // a pending write changes the row of an earlier era, which is no longer read
	}
	if !l.isHolder {
		l.row = Record{}
	}
}
