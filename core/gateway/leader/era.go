package leader

import "oleanderdale.org/core/clock"

// When the store comes back from an older copy, the row of the lease may name an earlier
// holder, and the version that a renewal expects may be given out again for another one.
// So each era of the store has a row of its own, and the fencing numbers of a later era
// are higher than all before.
//
// The holder goes on without a pause: it writes the new row while its right still lasts, by
// the row of before or by the word of its voters, and nobody else may write it sooner than
// the longest right of before has ended.

// eraShift is the place of the era in a fencing number: above two billion takeovers.
const eraShift = 32

func eraOf(fencing int64) int64 { return fencing >> eraShift }

// firstFencing returns the first fencing number of an era.
func firstFencing(era int64) int64 { return era<<eraShift + 1 }

// eras is what a Lease knows of the store's eras.
type eras struct {
	now   int64
	known bool // some answer or message named it
	// earlier says that somebody may have held the right in an earlier era.
	earlier bool
	// carried says that this instance holds the right by the row of an earlier era.
	carried bool
}

// ObserveEra takes the era of the store, as an answer or another instance named it.
func (l *Lease) ObserveEra(now clock.Time, era int64) {
	if !l.era.known {
		l.era.known, l.era.now = true, era
		return
	}
	if era <= l.era.now {
		return
	}
	l.era = eras{now: era, known: true, earlier: true, carried: l.holding}
	l.seen, l.firstSeen, l.version, l.next = false, 0, 0, now
	l.told = told{}
	if l.taking != unread {
		l.taking = 0 // a write of before changes a row that nobody reads any more
	}
	if !l.holding {
		l.row = Record{}
	}
}
