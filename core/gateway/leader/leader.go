// Package leader decides which instance gives orders to the backend servers.
//
// One row of the platform's table holds the lease: its holder and a fencing
// number that grows with each takeover. The holder renews the row all the
// time; its right ends on its own clock, counted from before the last renewal
// that succeeded was sent. A candidate reads the row, waits until the row has
// stood unchanged for longer than the term, and replaces it only if it is
// still unchanged. So two instances never hold the right at once, whatever
// their clocks say and however late a write is carried out: a late renewal
// changes the row's version, and the candidate's conditional write fails.
//
// Some backend servers don't check fencing numbers, and an order may be on its
// way when the right of its sender ends. The new holder therefore gives no
// order before the quiet time has passed since the old one's last chance.
//
// While the store is away for all, nobody can renew, nor take over. The holder
// goes on as long as every other instance says that it hears it; see voters.go.
package leader

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/revision"
)

// rankDelay is the time by which candidates of one rank are ahead of the next:
// longer than a read and a write of the row take.
const rankDelay = 150 * time.Millisecond

// Settings of a Lease.
type Settings struct {
	// Self names the machine: one that is replaced has another name.
	Self string
	// Term is how long a renewal is good for.
	Term time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// DriftMargin is added to the term by a candidate, for clocks that run apart.
	DriftMargin time.Duration
	// QuietPeriod is the time without orders between two holders.
	QuietPeriod time.Duration
	// HolderTimeout is how long the holder is not heard before a candidate looks at
	// the row.
	HolderTimeout time.Duration
	// PromiseDuration is how long an instance that heard the holder does not take over.
	PromiseDuration time.Duration
	// MaxExtension is how long a holder may go on without renewing the row.
	MaxExtension time.Duration
}

// Record is the row of the lease.
type Record struct {
	Holder      string // a machine
	Incarnation uint64 // one life of its process
	Fencing     int64
	// Settled says that the quiet time after the holder before is over.
	Settled bool
	// Voters are the instances without which the holder does not go on while it
	// can't renew the row.
	Voters Voters
}

// Action is what is to be done with the row.
type Action int

// The actions.
const (
	None  Action = iota
	Read         // read the row and report it with Seen
	Write        // replace version Expect of the row by Record, and report with Written
)

// Step is one action on the row.
type Step struct {
	Action Action
	Record Record
	// Expect is the store's era, and the version of the row; 0: it must not exist.
	Expect revision.Revision
}

// Row is the row as it was read.
type Row struct {
	Record
	At revision.Revision // its version, 0 if there is none in the store's era
	// Earlier says that rows of earlier eras are there.
	Earlier bool
}

// Result says what became of a write.
type Result int

// The results of a write.
const (
	Done     Result = iota
	Conflict        // the row has another version
	Unknown         // it may be carried out, now or later
)

// Lease is the view of one instance. It is not safe for concurrent use.
type Lease struct {
	set         Settings
	incarnation uint64

	busy   bool       // an action is under way
	sentAt clock.Time // of the action under way
	next   clock.Time // no action before

	row       Record
	version   int64
	firstSeen clock.Time // of version
	seen      bool
	era       eras

	heldUntil  clock.Time // own right by the row
	ordersFrom clock.Time // no order before
	holding    bool       // the row names this instance, as far as it knows
	held       bool       // the right was there when Lapsed was last called
	votes      votes      // of the others, for this instance

	promised clock.Time // last moment at which the holder was heard, or the start
	echo     Ack        // of the holder's last message
	taking   int64      // version of the row that a write of ours may still replace; 0: none

	heard   clock.Time // a message of the holder
	told    told       // by the holder, last
	resting bool       // is about to end; does not want the lease
}

// told is what the holder said of its right.
type told struct {
	fencing int64
	version int64      // of the row, as the holder last wrote it
	seen    clock.Time // as if this instance had seen the row being written then
}

// unread is the version of a row that was not read yet. The process that ran
// here before may have taken over: until the row says otherwise, this one gives
// no word to another holder.
const unread = -1

// New returns the Lease of an instance that has seen nothing.
func New(s Settings, incarnation uint64, now clock.Time) *Lease {
	return &Lease{set: s, incarnation: incarnation, heard: now.Add(-s.HolderTimeout), promised: now, taking: unread}
}

// Holds reports whether the right is this instance's at now: by the row, or by
// the word of all voters.
func (l *Lease) Holds(now clock.Time) bool {
	return l.holding && (now.Before(l.heldUntil) || now.Before(l.votes.until(l.set.PromiseDuration, l.heldUntil.Add(l.set.MaxExtension))))
}

// MayOrder reports whether an order may be sent at now.
func (l *Lease) MayOrder(now clock.Time) bool {
	return l.Holds(now) && now.Reached(l.ordersFrom) && !l.resting
}

// Fencing returns the number that the orders of this holder carry.
func (l *Lease) Fencing() int64 { return l.row.Fencing }

// Announcement is what the holder tells the others of its right.
type Announcement struct {
	Fencing int64
	// Sequence numbers the messages; the others name the last one they heard.
	Sequence  uint64
	Version   int64         // of the row, as the holder last wrote it
	Remaining time.Duration // of the right that this version gives, when it was told
	// QuietRemaining is the rest of the quiet time; 0: the holder gives orders.
	QuietRemaining time.Duration
}

// Announce returns what to tell the others at now. ok is false at an instance that
// is not the holder. A renewal that is under way need not be told: if it is
// carried out, the row has another version than the one told.
func (l *Lease) Announce(now clock.Time) (c Announcement, ok bool) {
	if !l.holding || l.resting {
		return Announcement{}, false
	}
	return Announcement{
		Fencing: l.row.Fencing, Sequence: l.votes.told(now), Version: l.version,
		Remaining: l.heldUntil.Sub(now), QuietRemaining: max(0, l.ordersFrom.Sub(now)),
	}, true
}

// QuietUntil returns the end of the quiet time of this holder.
func (l *Lease) QuietUntil() clock.Time { return l.ordersFrom }

// HandleAnnouncement records a message of the instance that holds the lease.
//
// A candidate that later finds the row at the version told need not watch it
// for a term of its own: no renewal was carried out since, so the right ends at
// the latest when what was left of it, counted from the message's arrival, has
// passed. After a holder's death orders begin 0.9 s sooner (4.3 s instead of
// 5.2 s), and 4 s sooner if the holder died while the store was away.
func (l *Lease) HandleAnnouncement(now clock.Time, c Announcement) {
	l.ObserveEra(now, eraOf(c.Fencing))
	if c.Fencing < l.row.Fencing || c.Fencing < l.told.fencing {
		return
	}
	if l.holding && c.Fencing > l.row.Fencing {
		l.lose() // somebody took over while this instance was cut off
	}
	l.heard = now
	if c.Version > l.told.version && eraOf(c.Fencing) == l.era.now {
		l.told = told{fencing: c.Fencing, version: c.Version, seen: now.Add(c.Remaining - l.set.Term)}
	}
	l.promise(now, c)
}

// Next returns the next action, if one is due. rank orders the candidates: one
// of a higher rank waits longer, so that one of them takes over and the others
// hear of it.
func (l *Lease) Next(now clock.Time, rank int) Step {
	switch {
	case l.busy || l.resting:
		return Step{}
	case !l.holding && !l.wanted(now, rank):
		l.seen = false
		if l.taking != 0 && now.Reached(l.next) { // until that is known, no word can be given to the holder
			return l.begin(now, Step{Action: Read})
		}
		return Step{}
	case now.Before(l.next):
		return Step{}
	case !l.seen:
		return l.begin(now, Step{Action: Read})
	case l.holding && l.era.carried && !l.Holds(now):
		l.lose()
		return Step{}
	case l.holding:
		r := l.row
		r.Fencing = max(r.Fencing, firstFencing(l.era.now))
		r.Settled, r.Voters = now.Reached(l.ordersFrom), VotersOf(l.votes.names)
		return l.begin(now, Step{Action: Write, Expect: l.at(), Record: r})
	case l.unclaimed() || l.ours() || now.Sub(l.rightEnds()) > l.set.DriftMargin+time.Duration(rank)*rankDelay:
		l.keepQuiet()
		l.taking = l.version
		return l.begin(now, Step{Action: Write, Expect: l.at(), Record: Record{
			Holder: l.set.Self, Incarnation: l.incarnation, Fencing: max(l.row.Fencing+1, firstFencing(l.era.now)),
			Voters: VotersOf(l.votes.names), // not settled: whether it is carried out, and when, is not known
		}})
	}
	return Step{}
}

// at returns the revision that the next write expects.
func (l *Lease) at() revision.Revision { return revision.Revision{Era: l.era.now, Version: l.version} }

// unclaimed reports whether nobody has held the right: there is no row, nor was there one
// before the store came back from an older copy.
func (l *Lease) unclaimed() bool { return l.version == 0 && !l.era.earlier }

// keepQuiet sets when orders may begin, before a write that may take the right
// over. It is set here and not when the write is known to be done: a write
// without an answer is found done when the row is read again, and by then the
// row no longer says who held the right before.
func (l *Lease) keepQuiet() {
	if l.unclaimed() || l.own() || l.ours() && l.row.Settled {
		return // no other machine ordered since
	}
	l.ordersFrom = l.rightEnds().Add(l.set.QuietPeriod)
}

// rightEnds returns when the right of the row's holder has ended at the latest,
// if the row stays as it is.
func (l *Lease) rightEnds() clock.Time {
	byRow := l.firstSeen.Add(l.set.Term)
	switch {
	case l.version == 0:
		// Who held the right in an earlier era, and by whose word, is not known any more.
		return byRow.Add(l.set.MaxExtension)
	case l.ours() || l.row.Voters == "":
		return byRow
	case l.row.Voters.Has(l.set.Self):
		// The holder goes on without the row only while this instance says that
		// it hears it.
		return max(byRow, l.promised.Add(l.set.PromiseDuration))
	}
	return byRow.Add(l.set.MaxExtension)
}

// wanted reports whether a candidate should look at the row.
func (l *Lease) wanted(now clock.Time, rank int) bool {
	return now.Sub(l.heard) >= l.set.HolderTimeout+time.Duration(rank)*rankDelay
}

// own reports whether the row names this incarnation as the holder.
func (l *Lease) own() bool {
	return l.version != 0 && l.row.Holder == l.set.Self && l.row.Incarnation == l.incarnation
}

// ours reports whether the row names this machine. Its process of before is
// gone, or this one would not have been started; so the right can be taken on
// at once, and after all processes were killed engines get orders again without
// a term and a quiet time in which nobody may order.
func (l *Lease) ours() bool { return l.version != 0 && l.row.Holder == l.set.Self }

func (l *Lease) begin(now clock.Time, s Step) Step {
	l.busy, l.sentAt = true, now
	if s.Action == Write {
		l.votes.writing(s.Expect.Version, s.Record.Voters)
	}
	return s
}

// HandleRead takes the row as read. ok is false if it could not be read.
func (l *Lease) HandleRead(now clock.Time, r Row, ok bool) {
	l.busy, l.next = false, now.Add(l.set.RenewInterval)
	l.ObserveEra(now, r.At.Era)
	if !ok || r.At.Era < l.era.now {
		return
	}
	version := r.At.Version
	l.era.earlier = l.era.earlier || r.Earlier
	if version != l.version || l.firstSeen == 0 {
		l.firstSeen, l.version = now, version
		if version != 0 || !l.holding {
			l.row = r.Record // one that carries its right over keeps its own
		}
	}
	if version == l.told.version && version != 0 {
		l.firstSeen = min(l.firstSeen, l.told.seen)
	}
	l.seen = true
	if version != l.taking {
		l.taking = 0 // a write of ours that is still under way can't be carried out any more
	}
	switch {
	case l.holding && l.own():
		l.votes.settled(version, r.Voters)
	case l.holding && (version != 0 || !l.era.carried):
		l.lose() // while this instance was frozen or cut off
	}
	switch {
	case l.ours() || l.unclaimed() || l.holding:
		l.next = now
	default:
		l.next = l.rightEnds().Add(l.set.DriftMargin)
	}
}

// HandleWrite takes the result of a write; at is the row's new revision.
func (l *Lease) HandleWrite(now clock.Time, s Step, res Result, at revision.Revision) {
	l.busy, l.next = false, now.Add(l.set.RenewInterval)
	version := at.Version
	switch {
	case l.resting && !l.holding:
		return
	case s.Expect.Era < l.era.now:
		l.seen, l.next = false, now // it went to a row that nobody reads any more
		return
	}
	switch res {
	case Done:
		if l.era.carried {
			l.votes.reset()
		}
		l.holding, l.taking, l.era.carried = true, 0, false
		l.votes.settled(version, s.Record.Voters)
		l.row, l.version, l.seen, l.firstSeen = s.Record, version, true, now
		l.heldUntil = l.sentAt.Add(l.set.Term)
	case Conflict:
		// An earlier write of ours was carried out after all, or somebody
		// took over, which they can only after our right has ended. The row
		// tells; until then the right holds to its end.
		l.seen, l.next, l.taking = false, now, 0
	case Unknown:
		l.seen, l.next = false, now.Add(l.set.RenewInterval/2)
	}
}

func (l *Lease) lose() {
	l.holding, l.era.carried = false, false
	l.heldUntil = 0
	l.votes.reset()
}

// CheckExpiry reports whether the right ran out since it was last called. It comes
// back when the row is renewed, or when all voters hear this instance again.
func (l *Lease) CheckExpiry(now clock.Time) bool {
	held := l.held
	l.held = l.Holds(now)
	if l.holding && now.Reached(l.heldUntil.Add(l.set.MaxExtension)) {
		l.lose()
		l.seen = false
		l.heard = now.Add(-l.set.HolderTimeout)
	}
	return held && !l.held
}

// Stop ends all that this instance does with the lease, at the end of a planned
// stop. The right is not given back: as a rule the same machine starts again
// within a second, and goes on at once since nobody else gave orders. Any other
// has to wait for the quiet time, three seconds in which nobody may order. If
// the machine stays away, the others take over when their promise is over, and
// orders begin 1.3 s later than if the right had been given back.
func (l *Lease) Stop() { l.resting = true }

// HandleHolderStopping records that the holder said it stops.
func (l *Lease) HandleHolderStopping(now clock.Time) { l.heard = now.Add(-l.set.HolderTimeout) }
