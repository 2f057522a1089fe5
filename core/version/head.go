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

// headRead is an outstanding read of the head row.
type headRead struct {
	op   uint64
	sent clock.Time
}

// Limits of the outstanding reads of the head while the table is slow. A reply
// may be lost, so a pending read must not block the next one for long; and a
// table that is down must not receive ever more reads.
const (
	maxHeadReads    = 4
	headReadTimeout = 5 * time.Second
)

// isHeadReader reports whether this instance reads the head: it is one of the
// head readers of its zone, or has no active version yet.
func (f *Follower) isHeadReader() bool {
	if f.active == nil {
		return true
	}
	readers := f.rankInZone(f.settings.ReadersPerZone)
	return slices.Contains(readers, f.members.Self())
}

// rankInZone returns the first n instances of this zone in the order in which
// they become head readers.
func (f *Follower) rankInZone(n int) []id.Instance {
	zone := f.members.Zone()
	return rendezvous.Rank("config/"+string(zone), f.members.InZone(zone), n)
}

// readHead starts a read of the head if this instance is a head reader and not
// too many reads are outstanding.
func (f *Follower) readHead(now clock.Time, out *event.Outbox) {
	if len(f.headReads) == maxHeadReads || !f.isHeadReader() {
		return
	}
	h := headRead{op: f.nextOp(), sent: now}
	f.headReads = append(f.headReads, h)
	out.Add(event.TableRead{Op: f.tableOp(h.op), Keys: []table.Key{HeadKey()}})
}

// expireHeadReads gives up old reads. The head counts as unreadable once the
// oldest outstanding read exceeds the table timeout.
func (f *Follower) expireHeadReads(now clock.Time) {
	f.headReads = slices.DeleteFunc(f.headReads, func(h headRead) bool {
		return now.Reached(h.sent.Add(headReadTimeout))
	})
	if len(f.headReads) > 0 && now.Reached(f.headReads[0].sent.Add(f.settings.TableTimeout)) {
		f.lastHeadReadOK = false
	}
}

// takeHeadRead removes the outstanding head read with number op and returns when
// it was sent; ok is false if op is no head read.
func (f *Follower) takeHeadRead(op uint64) (sent clock.Time, ok bool) {
	for i, h := range f.headReads {
		if h.op == op {
			f.headReads = slices.Delete(f.headReads, i, i+1)
			return h.sent, true
		}
	}
	return 0, false
}

// handleHeadRead handles the result of a head read. Results may arrive out of
// order: only higher versions and later send times count.
func (f *Follower) handleHeadRead(sent clock.Time, r event.TableResult) {
	f.lastHeadReadOK = r.Outcome == table.Done
	if !f.lastHeadReadOK {
		return
	}
	var v id.ConfigVersion
	for _, row := range r.Rows {
		if h, ok := row.Body.(table.Head); ok {
			v = h.Version
		}
	}
	f.headKnown = true
	f.highestHead = max(f.highestHead, v)
	f.newestKnown = max(f.newestKnown, v)
	// The head may have changed while the reply was in transit, so the version
	// is confirmed as of the send time.
	f.confirmation.record(v, sent)
}
