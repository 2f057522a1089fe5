package version

import (
	"cmp"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/rendezvous"
	"oleanderdale.org/core/table"
)

// rowsPerRead bounds one read of version rows.
const rowsPerRead = 8

// objectWait is after what time an object that did not come is asked for again.
const objectWait = 10 * time.Second

// wantedObject is an object under way, and what it holds.
type wantedObject struct {
	encoded
	asked clock.Time
}

// fetch is the one request for what comes after the tip. A source that does
// not answer in time, or answers with something useless, is followed by the
// next one, so that a lost message or a dead peer costs one wait.
type fetch struct {
	active  bool
	op      uint64           // of the table read, 0 for a peer
	through id.ConfigVersion // the tip at which the request is answered
	until   clock.Time       // when the source is given up
	pause   clock.Time       // before which nothing is asked
	tried   []source         // asked in vain since the last progress, this one included
}

// source is where a version can be had: a peer, or the table if peer is "".
type source struct{ peer id.Instance }

func (t *fetch) next() clock.Time {
	switch {
	case t.active:
		return t.until
	case t.pause > 0:
		return t.pause
	}
	return clock.Never
}

// failed gives the source up; the next one is asked at the time next.
func (t *fetch) failed(next clock.Time) { *t = fetch{tried: t.tried, pause: next} }

// choose returns the first source that was not asked in vain, and begins anew
// when all were.
func (t *fetch) choose(sources []source) source {
	for _, s := range sources {
		if !slices.Contains(t.tried, s) {
			return s
		}
	}
	t.tried = nil
	return sources[0]
}

// fetchMore asks for what comes after the tip, if there is something and
// nothing is under way.
func (f *Follower) fetchMore(now clock.Time, out *event.Outbox) {
	if f.fetch.active && versionOf(f.tip) >= f.fetch.through {
		f.fetch = fetch{}
	}
	behind := f.tip == nil || f.newest > f.tip.Version
	if !behind {
		f.fetch = fetch{}
		clear(f.objects)
		return
	}
	if f.fetch.active || !now.Reached(f.fetch.pause) {
		return
	}
	f.fetch.pause = 0
	if f.decoding.version != 0 || f.awaitsFirstHead(now) {
		return
	}
	sources := f.sources()
	if len(sources) == 0 {
		return
	}
	f.ask(now, f.fetch.choose(sources), out)
}

// awaitsFirstHead reports whether a starting instance should still hear from
// the table before it asks peers for a whole configuration.
func (f *Follower) awaitsFirstHead(now clock.Time) bool {
	return f.tip == nil && !f.headKnown && !now.Reached(f.started.Add(f.set.Poll))
}

func (f *Follower) ask(now clock.Time, s source, out *event.Outbox) {
	have := versionOf(f.tip)
	t := fetch{active: true, tried: append(f.fetch.tried, s)}
	if s.peer != "" {
		t.until = now.Add(f.set.Retry)
		t.through = max(have+1, min(f.newest, have+changesPerAnswer))
		out.Send(s.peer, message.VersionRequest{Have: have})
	} else {
		first, last := f.rowsWanted(have)
		t.until = now.Add(f.set.TableWait)
		t.through = last
		t.op = f.nextOp()
		out.Add(event.TableRead{Op: f.op(t.op), Keys: RowKeys(first, last)})
	}
	f.fetch = t
}

// rowsWanted returns which version rows to read next: the changes after have,
// or the one row with the newest snapshot if that is less to read.
func (f *Follower) rowsWanted(have id.ConfigVersion) (first, last id.ConfigVersion) {
	if s := SnapshotAt(f.newest); wantsSnapshot(s, have) {
		return s, s
	}
	return have + 1, min(f.newest, have+rowsPerRead)
}

// sources lists where a newer version can be had, the best first: readers of
// the head go to the table, the others to their peers, and each of them to the
// other source if the first fails.
func (f *Follower) sources() []source {
	var list []source
	tableFirst := f.readsHead() && f.headOK && f.headSeen > versionOf(f.tip)
	tableHasMore := f.newest > versionOf(f.tip)
	if tableHasMore && tableFirst {
		list = append(list, source{})
	}
	for _, p := range f.peersAhead() {
		list = append(list, source{peer: p})
	}
	if tableHasMore && !tableFirst {
		list = append(list, source{})
	}
	return list
}

// peersAhead lists the live peers that have more than the tip, the highest
// version first, then those of this zone. Equal ones come in an order of this
// instance's own, so that a zone doesn't ask one peer all at once. Without a
// tip every live peer is worth asking.
func (f *Follower) peersAhead() []id.Instance {
	self, zone, have := f.members.Self(), f.members.Zone(), versionOf(f.tip)
	var ahead []id.Instance
	for _, i := range f.members.Live() {
		if i != self && (f.tip == nil || f.peers[i] > have) {
			ahead = append(ahead, i)
		}
	}
	ahead = rendezvous.Rank("config-ask/"+string(self), ahead, len(ahead))
	slices.SortStableFunc(ahead, func(a, b id.Instance) int {
		return cmp.Or(
			cmp.Compare(f.peers[b], f.peers[a]),
			cmp.Compare(far(f.members.ZoneOf(a), zone), far(f.members.ZoneOf(b), zone)),
		)
	})
	return ahead
}

func far(a, b id.Zone) int {
	if a == b {
		return 0
	}
	return 1
}

// wantsSnapshot reports whether version v is better taken whole than by all
// changes after have.
func wantsSnapshot(v, have id.ConfigVersion) bool {
	return have == 0 || v > have+SnapshotEvery
}

// rowsRead takes version rows. They are as good if the fetch that asked for
// them was given up meanwhile, for a row never changes.
func (f *Follower) rowsRead(now clock.Time, r event.TableResult, out *event.Outbox) {
	rows := versionRows(r)
	current := f.fetch.active && r.Op.Seq == f.fetch.op
	if current && (r.Outcome != table.Done || len(rows) == 0) {
		f.fetch.failed(now.Add(f.set.Retry))
		return
	}
	have := versionOf(f.tip)
	for _, row := range rows {
		switch {
		case wantsSnapshot(row.Version, have):
			f.getObject(now, row.Snapshot, encoded{version: row.Version, snapshot: true}, out)
		case row.ChangeObject != "":
			f.getObject(now, row.ChangeObject, encoded{version: row.Version}, out)
		default:
			f.keepPending(row.Version, row.Change)
		}
	}
}

func versionRows(r event.TableResult) []table.Version {
	var rows []table.Version
	for _, row := range r.Rows {
		if v, ok := row.Body.(table.Version); ok {
			rows = append(rows, v)
		}
	}
	slices.SortFunc(rows, func(a, b table.Version) int { return cmp.Compare(a.Version, b.Version) })
	return rows
}

// getObject asks for an object unless that is under way: a snapshot is large,
// and a slow store would only get slower.
func (f *Follower) getObject(now clock.Time, d id.Digest, e encoded, out *event.Outbox) {
	if d == "" || e.version <= versionOf(f.tip) {
		return
	}
	if o, ok := f.objects[d]; ok && !now.Reached(o.asked.Add(objectWait)) {
		return
	}
	f.objects[d] = wantedObject{encoded: e, asked: now}
	out.Add(event.ObjectGet{Digest: d})
}

// objectRead takes a change or snapshot that stands in an object.
func (f *Follower) objectRead(now clock.Time, r event.ObjectResult) {
	o, ok := f.objects[r.Digest]
	delete(f.objects, r.Digest)
	switch {
	case !ok:
		return
	case !r.OK:
		f.fetch.failed(now.Add(f.set.Retry))
	case o.snapshot:
		f.keepSnapshot(o.version, r.Body)
	default:
		f.keepPending(o.version, r.Body)
	}
}

// keepPending keeps a change until all before it are there. A change at or
// below the tip is old news, and one far ahead would only fill memory.
func (f *Follower) keepPending(v id.ConfigVersion, change []byte) {
	have := versionOf(f.tip)
	if v > have && v <= have+id.ConfigVersion(f.set.Keep) {
		f.pending[v] = change
	}
}

func (f *Follower) keepSnapshot(v id.ConfigVersion, body []byte) {
	if v > versionOf(f.tip) && v > f.snapshot.version {
		f.snapshot = encoded{version: v, snapshot: true, body: body}
	}
}

// decodeNext asks for the decoding of what follows the tip.
func (f *Follower) decodeNext(out *event.Outbox) {
	if f.decoding.version != 0 {
		return
	}
	next := versionOf(f.tip) + 1
	if body, ok := f.pending[next]; ok {
		delete(f.pending, next)
		f.decoding = encoded{version: next, body: body}
		out.Add(event.DecodeConfig{Version: next, Base: f.tip, Change: body})
		return
	}
	if s := f.snapshot; s.version >= next {
		f.snapshot = encoded{}
		f.decoding = s
		out.Add(event.DecodeConfig{Version: s.version, Snapshot: s.body})
	}
}

// accepted makes a decoded version the tip.
func (f *Follower) accepted(now clock.Time, d encoded, c *config.Config) {
	f.problem = ""
	if f.tip == nil {
		f.tipAt = now
	}
	f.setTip(c)
	f.log.add(d, f.set.Keep)
	if f.fetch.active {
		f.fetch.tried = nil
		f.fetch.until = max(f.fetch.until, now.Add(f.set.Retry))
	}
	for v := range f.pending {
		if v <= c.Version {
			delete(f.pending, v)
		}
	}
	if f.snapshot.version <= c.Version {
		f.snapshot = encoded{}
	}
}

// setTip moves the tip forward. Were a lower version taken here, a withdrawn
// key would work again; the check is made on the value itself, whatever path
// led here.
func (f *Follower) setTip(c *config.Config) {
	have := versionOf(f.tip)
	if f.check.Hold(c.Version > have, NoReversal, "tip %d after %d", c.Version, have) {
		f.tip = c
	}
}

// rejected drops what could not be decoded and turns to another source.
func (f *Follower) rejected(now clock.Time, d encoded, e event.ConfigDecoded) {
	f.problem = e.Err
	if f.problem == "" {
		f.problem = "decoded configuration has another version"
	}
	delete(f.pending, d.version)
	f.fetch.failed(now.Add(f.set.Retry))
}
