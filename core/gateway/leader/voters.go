package leader

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderdale.org/core/clock"
)

// While the store is away, the holder can't renew the row. Its right goes on as
// long as every voter, which are the instances that the row names, says that it
// hears the holder. A voter that heard it keeps from taking over for the time of
// its promise, and the holder counts that time from when it sent the message
// that the voter names; so its right ends before any voter may take over, and
// one voter that is cut off is enough to end it.
//
// An instance that is not a voter waits for longer than a holder ever goes on
// without the row. A process that was started again votes for its machine: its
// start counts as having heard the holder.

// Voters is a set of instances, in a form that can be compared and stored.
type Voters string

// voterDigits is the length of one voter in Voters: a row of ninety voters has
// 720 bytes, and two names are alike in one of four billion pairs.
const voterDigits = 8

func voterOf(name string) string {
	return fmt.Sprintf("%0*x", voterDigits, uint32(xxhash.Sum64String(name)))
}

// VotersOf returns the set of instances with names.
func VotersOf(names []string) Voters {
	all := make([]string, 0, len(names))
	for _, n := range names {
		all = append(all, voterOf(n))
	}
	slices.Sort(all)
	return Voters(strings.Join(slices.Compact(all), ""))
}

// Has reports whether an instance is in the set.
func (v Voters) Has(name string) bool { return slices.Contains(v.all(), voterOf(name)) }

func (v Voters) all() []string {
	var all []string
	for i := 0; i+voterDigits <= len(v); i += voterDigits {
		all = append(all, string(v[i:i+voterDigits]))
	}
	return all
}

// Ack is what a voter says to the holder: the last message that it heard.
type Ack struct {
	Fencing  int64
	Sequence uint64
}

// sentKept is how many messages a holder remembers the time of: some seconds.
const sentKept = 64

// votes is what a holder knows of its voters.
type votes struct {
	names    []string    // of the voters to be written with the next renewal
	possible []rowVoters // that the row may name
	sequence uint64
	sent     [sentKept]clock.Time  // by sequence
	acked    map[string]clock.Time // when the message was sent that a voter heard
}

// rowVoters is a set that the row may name: as last known, or by a write that
// may be carried out while the row has the version expected.
type rowVoters struct {
	set    Voters
	expect int64
}

func (v *votes) reset() { v.possible, v.acked = nil, nil }

// writing records a write that may be carried out at any time.
func (v *votes) writing(expect int64, s Voters) {
	if w := (rowVoters{set: s, expect: expect}); !slices.Contains(v.possible, w) {
		v.possible = append(v.possible, w)
	}
}

// settled records the row's version and set. Writes that expect an older
// version can't be carried out any more.
func (v *votes) settled(version int64, s Voters) {
	v.possible = slices.DeleteFunc(v.possible, func(w rowVoters) bool { return w.expect < version })
	v.writing(version, s)
}

// told numbers a message.
func (v *votes) told(now clock.Time) uint64 {
	v.sequence++
	v.sent[v.sequence%sentKept] = now
	return v.sequence
}

// until returns the end of the right that the voters give, at most limit.
func (v *votes) until(promise time.Duration, limit clock.Time) clock.Time {
	end := limit
	for _, w := range v.possible {
		if w.set == "" {
			return 0 // a row without voters is free when its term is over
		}
		for _, voter := range w.set.all() {
			end = min(end, v.acked[voter].Add(promise))
		}
	}
	if len(v.possible) == 0 {
		return 0
	}
	return end
}

// SetVoters takes the names of the other instances that are heard. They become
// voters with the next renewal of the row.
func (l *Lease) SetVoters(names []string) { l.votes.names = names }

// promise keeps this instance from taking over for a time, and prepares to say
// so to the holder. An instance that may already have taken over says nothing.
func (l *Lease) promise(now clock.Time, c Announcement) {
	if l.holding || l.taking != 0 {
		return
	}
	l.promised = now
	l.echo = Ack{Fencing: c.Fencing, Sequence: c.Sequence}
}

// Ack returns what to say to the holder. ok is false if nothing was heard of
// it, or if this instance is about to take over.
func (l *Lease) Ack() (e Ack, ok bool) {
	return l.echo, l.echo.Sequence != 0 && !l.holding && l.taking == 0
}

// HandleAck takes what an instance says to the holder.
func (l *Lease) HandleAck(name string, e Ack) {
	v := &l.votes
	if !l.holding || e.Fencing != l.row.Fencing || e.Sequence > v.sequence || e.Sequence+sentKept <= v.sequence {
		return
	}
	if v.acked == nil {
		v.acked = make(map[string]clock.Time)
	}
	id := voterOf(name)
	v.acked[id] = max(v.acked[id], v.sent[e.Sequence%sentKept])
}
