package version

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/process/rendezvous"
	"oleanderdale.org/core/table"
)

// headRead is a reading of the head row that is under way.
type headRead struct {
	op   uint64
	sent clock.Time
}

// The bounds of the readings that are under way together while the table is
// slow. An answer may be lost, so one of them must not keep the next back for
// long; and a table that is down must not be met by a growing crowd.
const (
	maxHeads   = 4
	forgetHead = 5 * time.Second
)

// readsHead reports whether this instance reads the head: it is one of the
// readers of its zone, or has no version yet.
func (f *Follower) readsHead() bool {
	if f.inForce == nil {
		return true
	}
	readers := f.zoneRank(f.set.ReadersPerZone)
	return slices.Contains(readers, f.members.Self())
}

// zoneRank returns the first n instances of this zone in the order in which
// they become readers.
func (f *Follower) zoneRank(n int) []id.Instance {
	zone := f.members.Zone()
	return rendezvous.Rank("config/"+string(zone), f.members.InZone(zone), n)
}

func (f *Follower) readHead(now clock.Time, out *event.Outbox) {
	if len(f.heads) == maxHeads || !f.readsHead() {
		return
	}
	h := headRead{op: f.nextOp(), sent: now}
	f.heads = append(f.heads, h)
	out.Add(event.TableRead{Op: f.op(h.op), Keys: []table.Key{HeadKey()}})
}

func (f *Follower) forgetHeads(now clock.Time) {
	f.heads = slices.DeleteFunc(f.heads, func(h headRead) bool {
		return now.Reached(h.sent.Add(forgetHead))
	})
	if len(f.heads) > 0 && now.Reached(f.heads[0].sent.Add(f.set.TableTimeout)) {
		f.headOK = false
	}
}

// takeHead returns when the reading op was sent, if it is one of the head, and
// forgets it.
func (f *Follower) takeHead(op uint64) (sent clock.Time, ok bool) {
	for i, h := range f.heads {
		if h.op == op {
			f.heads = slices.Delete(f.heads, i, i+1)
			return h.sent, true
		}
	}
	return 0, false
}

// headRead takes an answer. Answers may come out of order; only larger
// versions and later times of asking count.
func (f *Follower) headRead(sent clock.Time, r event.TableResult) {
	f.headOK = r.Outcome == table.Done
	if !f.headOK {
		return
	}
	var v id.ConfigVersion
	for _, row := range r.Rows {
		if h, ok := row.Body.(table.Head); ok {
			v = h.Version
		}
	}
	f.headKnown = true
	f.headSeen = max(f.headSeen, v)
	f.newest = max(f.newest, v)
	// The head may have moved while the answer was under way, so the time of
	// asking counts.
	f.heard.note(v, sent)
}
