package leader

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderdale.org/core/clock"
)

// While the store is unavailable, the holder can't renew the row. Its lease is
// extended as long as every voter, that is every instance named in the row,
// acknowledges its announcements. A voter that received an announcement does not
// take over for PromiseDuration. The holder counts that duration from when it
// sent the acknowledged announcement, so its lease ends before any voter may take
// over, and one unreachable voter is enough to end it.
//
// An instance that is not a voter waits for the longest time that a holder may
// continue without the row. A restarted process votes for its machine: its start
// counts as receipt of an announcement.

// Voters is a set of instances in a comparable form that can be stored.
type Voters string

// voterIDLength is the length of one voter's hash in Voters. Ninety voters take
// 720 bytes of the row, and one of four billion pairs of names collides.
const voterIDLength = 8

func voterID(name string) string {
	return fmt.Sprintf("%0*x", voterIDLength, uint32(xxhash.Sum64String(name)))
}

// VotersOf returns the set of the named instances.
func VotersOf(names []string) Voters {
	all := make([]string, 0, len(names))
	for _, n := range names {
		all = append(all, voterID(n))
	}
	slices.Sort(all)
	return Voters(strings.Join(slices.Compact(all), ""))
}

// Has reports whether an instance is in the set.
func (v Voters) Has(name string) bool { return slices.Contains(v.ids(), voterID(name)) }

func (v Voters) ids() []string {
	var all []string
	for i := 0; i+voterIDLength <= len(v); i += voterIDLength {
		all = append(all, string(v[i:i+voterIDLength]))
	}
	return all
}

// Ack acknowledges the last announcement that a voter received from the holder.
type Ack struct {
	Fencing  int64
	Sequence uint64
}

// sentHistory is the number of announcements whose send time the holder keeps; they
// cover several seconds.
const sentHistory = 64

// ackState is what a holder knows about its voters and their acknowledgments.
type ackState struct {
	nextVoters   []string   // names of the voters that the next renewal writes
	possibleSets []voterSet // every set that the row may name
	sequence     uint64
	sentAt       [sentHistory]clock.Time // by sequence modulo sentHistory
	ackedAt      map[string]clock.Time   // by voter ID: send time of the latest acknowledged announcement
}

// voterSet is a set of voters that the row may name: the last one known, or that of
// a write that may still be applied while the row has the expected version.
type voterSet struct {
	set           Voters
	expectVersion int64
}

func (v *ackState) reset() { v.possibleSets, v.ackedAt = nil, nil }

// writeStarted records a write that may be applied at any time.
func (v *ackState) writeStarted(expect int64, set Voters) {
	if w := (voterSet{set: set, expectVersion: expect}); !slices.Contains(v.possibleSets, w) {
		v.possibleSets = append(v.possibleSets, w)
	}
}

// rowConfirmed records the row's version and voters. Writes that expect an older
// version can no longer be applied.
func (v *ackState) rowConfirmed(version int64, set Voters) {
	v.possibleSets = slices.DeleteFunc(v.possibleSets, func(w voterSet) bool { return w.expectVersion < version })
	v.writeStarted(version, set)
}

// nextSequence numbers an announcement and records when it is sent.
func (v *ackState) nextSequence(now clock.Time) uint64 {
	v.sequence++
	v.sentAt[v.sequence%sentHistory] = now
	return v.sequence
}

// extendedUntil returns the end of the lease by the voters' acknowledgments, at most
// limit.
func (v *ackState) extendedUntil(promiseDuration time.Duration, limit clock.Time) clock.Time {
	end := limit
	for _, w := range v.possibleSets {
		if w.set == "" {
			return 0 // a row without voters may be taken over when its term is over
		}
		for _, voter := range w.set.ids() {
			end = min(end, v.ackedAt[voter].Add(promiseDuration))
		}
	}
	if len(v.possibleSets) == 0 {
		return 0
	}
	return end
}

// SetVoters sets the names of the other instances that are reachable. They become
// voters with the next renewal of the row.
func (l *Lease) SetVoters(names []string) { l.acks.nextVoters = names }

// acknowledge keeps this instance from taking over for PromiseDuration and prepares the
// acknowledgment. An instance that may already have taken over acknowledges nothing, and
// one that released the holders of earlier eras does not acknowledge them.
func (l *Lease) acknowledge(now clock.Time, a Announcement) {
	if l.isHolder || l.pendingTakeover != 0 || eraOf(a.Fencing) < l.releases.minEra {
		return
	}
	l.promisedAt = now
	l.ack = Ack{Fencing: a.Fencing, Sequence: a.Sequence}
}

// Ack returns the acknowledgment to send to the holder. ok is false if no announcement
// was received, or if this instance is the holder or may be taking over.
func (l *Lease) Ack() (a Ack, ok bool) {
	return l.ack, l.ack.Sequence != 0 && !l.isHolder && l.pendingTakeover == 0
}

// HandleAck records an acknowledgment of another instance.
func (l *Lease) HandleAck(name string, a Ack) {
	acks := &l.acks
	if !l.isHolder || a.Fencing != l.row.Fencing || a.Sequence > acks.sequence || a.Sequence+sentHistory <= acks.sequence {
		return
	}
	if acks.ackedAt == nil {
		acks.ackedAt = make(map[string]clock.Time)
	}
	voter := voterID(name)
	acks.ackedAt[voter] = max(acks.ackedAt[voter], acks.sentAt[a.Sequence%sentHistory])
}
