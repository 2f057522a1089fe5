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

// maxRowsPerRead limits the version rows of one table read.
const maxRowsPerRead = 8

// objectTimeout is the time after which an object that did not arrive is
// requested again.
const objectTimeout = 10 * time.Second

// objectRequest is a requested object and the version that it contains.
type objectRequest struct {
	encodedVersion
	requestedAt clock.Time
}

// fetch is the request for the versions after the tip; there is at most one. If
// a source does not reply in time, or replies with something unusable, the next
// source is tried, so that a lost message or a dead peer costs one timeout.
type fetch struct {
	active   bool
	tableOp  uint64           // number of the table read, 0 for a peer
	target   id.ConfigVersion // the fetch is complete when the tip has this version
	deadline clock.Time       // when the next source is tried
	retryAt  clock.Time       // no fetch starts before
	tried    []source         // tried without progress, the current one included
}

// source is where a version can be fetched from: a peer, or the table if peer
// is "".
type source struct{ peer id.Instance }

// nextTick returns when the fetch needs attention next.
func (t *fetch) nextTick() clock.Time {
	switch {
	case t.active:
		return t.deadline
	case t.retryAt > 0:
		return t.retryAt
	}
	return clock.Never
}

// fail abandons the current source; the next one is tried at retryAt.
func (t *fetch) fail(retryAt clock.Time) { *t = fetch{tried: t.tried, retryAt: retryAt} }

// chooseSource returns the first source that was not tried yet. If all were, it
// starts over with the first.
func (t *fetch) chooseSource(sources []source) source {
	for _, s := range sources {
		if !slices.Contains(t.tried, s) {
			return s
		}
	}
	t.tried = nil
	return sources[0]
}

// startFetch requests the versions after the tip, if there are any and no fetch
// is in progress.
func (f *Follower) startFetch(now clock.Time, out *event.Outbox) {
	if f.fetch.active && versionOf(f.tip) >= f.fetch.target {
		f.fetch = fetch{}
	}
	behind := f.tip == nil || f.newestKnown > f.tip.Version
	if !behind {
		f.fetch = fetch{}
		clear(f.requestedObjects)
		return
	}
	if f.fetch.active || !now.Reached(f.fetch.retryAt) {
		return
	}
	f.fetch.retryAt = 0
	if f.decoding.version != 0 || f.awaitsFirstHeadRead(now) {
		return
	}
	sources := f.sources()
	if len(sources) == 0 {
		return
	}
	f.fetchFrom(now, f.fetch.chooseSource(sources), out)
}

// awaitsFirstHeadRead reports whether a starting instance still waits for its
// first read of the head before it asks peers for a whole configuration.
func (f *Follower) awaitsFirstHeadRead(now clock.Time) bool {
	return f.tip == nil && !f.headKnown && !now.Reached(f.startedAt.Add(f.settings.HeadPollInterval))
}

// fetchFrom requests the versions after the tip from s.
func (f *Follower) fetchFrom(now clock.Time, s source, out *event.Outbox) {
	have := versionOf(f.tip)
	t := fetch{active: true, tried: append(f.fetch.tried, s)}
	if s.peer != "" {
		t.deadline = now.Add(f.settings.RetryInterval)
		t.target = max(have+1, min(f.newestKnown, have+maxChangesPerReply))
		out.Send(s.peer, message.VersionRequest{Have: have})
	} else {
		first, last := f.rowsToRead(have)
		t.deadline = now.Add(f.settings.TableTimeout)
		t.target = last
		t.tableOp = f.nextOp()
		out.Add(event.TableRead{Op: f.tableOp(t.tableOp), Keys: RowKeys(first, last)})
	}
	f.fetch = t
}

// rowsToRead returns which version rows to read next: those of the changes after
// have, or only the row of the newest snapshot if that is less to read.
func (f *Follower) rowsToRead(have id.ConfigVersion) (first, last id.ConfigVersion) {
	if s := LatestSnapshot(f.newestKnown); prefersSnapshot(s, have) {
		return s, s
	}
	return have + 1, min(f.newestKnown, have+maxRowsPerRead)
}

// sources lists where newer versions can be fetched from, the preferred source
// first. Head readers prefer the table and fall back to peers; other instances
// prefer peers and fall back to the table.
func (f *Follower) sources() []source {
	var list []source
	tableFirst := f.isHeadReader() && f.lastHeadReadOK && f.highestHead > versionOf(f.tip)
	tableHasMore := f.newestKnown > versionOf(f.tip)
	if tableHasMore && tableFirst {
		list = append(list, source{})
	}
	for _, p := range f.newerPeers() {
		list = append(list, source{peer: p})
	}
	if tableHasMore && !tableFirst {
		list = append(list, source{})
	}
	return list
}

// newerPeers lists the live peers with a higher version than the tip, ordered by
// version, highest first, and peers of this zone before others. Ties are ordered
// differently at each instance, so that the instances of a zone don't all ask the
// same peer at once. Without a tip it lists every live peer.
func (f *Follower) newerPeers() []id.Instance {
	self, zone, have := f.members.Self(), f.members.Zone(), versionOf(f.tip)
	var ahead []id.Instance
	for _, i := range f.members.Live() {
		if i != self && (f.tip == nil || f.peerVersions[i] > have) {
			ahead = append(ahead, i)
		}
	}
	ahead = rendezvous.Rank("config-ask/"+string(self), ahead, len(ahead))
	slices.SortStableFunc(ahead, func(a, b id.Instance) int {
		return cmp.Or(
			cmp.Compare(f.peerVersions[b], f.peerVersions[a]),
			cmp.Compare(otherZone(f.members.ZoneOf(a), zone), otherZone(f.members.ZoneOf(b), zone)),
		)
	})
	return ahead
}

// otherZone returns 0 if the zones are equal, else 1.
func otherZone(a, b id.Zone) int {
	if a == b {
		return 0
	}
	return 1
}

// prefersSnapshot reports whether fetching the snapshot of version v is better
// than fetching all changes after have.
func prefersSnapshot(v, have id.ConfigVersion) bool {
	return have == 0 || v > have+SnapshotInterval
}

// handleRows handles the version rows of a table read. Rows never change, so
// they are used even if the fetch that requested them was abandoned meanwhile.
func (f *Follower) handleRows(now clock.Time, r event.TableResult, out *event.Outbox) {
	rows := versionRows(r)
	current := f.fetch.active && r.Op.Seq == f.fetch.tableOp
	if current && (r.Outcome != table.Done || len(rows) == 0) {
		f.fetch.fail(now.Add(f.settings.RetryInterval))
		return
	}
	have := versionOf(f.tip)
	for _, row := range rows {
		switch {
		case prefersSnapshot(row.Version, have):
			f.requestObject(now, row.Snapshot, encodedVersion{version: row.Version, snapshot: true}, out)
		case row.ChangeObject != "":
			f.requestObject(now, row.ChangeObject, encodedVersion{version: row.Version}, out)
		default:
			f.addPendingChange(row.Version, row.Change)
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

// requestObject requests an object unless a request for it is outstanding: a
// snapshot is large, and repeated requests would slow down a slow store further.
func (f *Follower) requestObject(now clock.Time, d id.Digest, e encodedVersion, out *event.Outbox) {
	if d == "" || e.version <= versionOf(f.tip) {
		return
	}
	if o, ok := f.requestedObjects[d]; ok && !now.Reached(o.requestedAt.Add(objectTimeout)) {
		return
	}
	f.requestedObjects[d] = objectRequest{encodedVersion: e, requestedAt: now}
	out.Add(event.ObjectGet{Digest: d})
}

// handleObject handles a change or snapshot that is stored as an object.
func (f *Follower) handleObject(now clock.Time, r event.ObjectResult) {
	o, ok := f.requestedObjects[r.Digest]
	delete(f.requestedObjects, r.Digest)
	switch {
	case !ok:
		return
	case !r.OK:
		f.fetch.fail(now.Add(f.settings.RetryInterval))
	case o.snapshot:
		f.setReceivedSnapshot(o.version, r.Body)
	default:
		f.addPendingChange(o.version, r.Body)
	}
}

// addPendingChange keeps a change until all changes before it have arrived.
// Changes up to the tip are obsolete, and those far ahead are dropped to bound
// memory.
func (f *Follower) addPendingChange(v id.ConfigVersion, change []byte) {
	have := versionOf(f.tip)
	if v > have && v <= have+id.ConfigVersion(f.settings.ChangeLogSize) {
		f.pendingChanges[v] = change
	}
}

// setReceivedSnapshot keeps a snapshot that is newer than the tip and than the
// one already received.
func (f *Follower) setReceivedSnapshot(v id.ConfigVersion, body []byte) {
	if v > versionOf(f.tip) && v > f.receivedSnapshot.version {
		f.receivedSnapshot = encodedVersion{version: v, snapshot: true, body: body}
	}
}

// decodeNext requests the decoding of the next change, or of a received snapshot
// if that change is missing.
func (f *Follower) decodeNext(out *event.Outbox) {
	if f.decoding.version != 0 {
		return
	}
	next := versionOf(f.tip) + 1
	if body, ok := f.pendingChanges[next]; ok {
		delete(f.pendingChanges, next)
		f.decoding = encodedVersion{version: next, body: body}
		out.Add(event.DecodeConfig{Version: next, Base: f.tip, Change: body})
		return
	}
	if s := f.receivedSnapshot; s.version >= next {
		f.receivedSnapshot = encodedVersion{}
		f.decoding = s
		out.Add(event.DecodeConfig{Version: s.version, Snapshot: s.body})
	}
}

// decodeSucceeded makes a decoded version the tip and drops what it supersedes.
func (f *Follower) decodeSucceeded(now clock.Time, d encodedVersion, c *config.Config) {
	f.lastDecodeError = ""
	if f.tip == nil {
		f.firstTipAt = now
	}
	f.setTip(c)
	f.log.add(d, f.settings.ChangeLogSize)
	if f.fetch.active {
		f.fetch.tried = nil
		f.fetch.deadline = max(f.fetch.deadline, now.Add(f.settings.RetryInterval))
	}
	for v := range f.pendingChanges {
		if v <= c.Version {
			delete(f.pendingChanges, v)
		}
	}
	if f.receivedSnapshot.version <= c.Version {
		f.receivedSnapshot = encodedVersion{}
	}
}

// setTip replaces the tip by a higher version. With a lower one a withdrawn key
// would work again, so the invariant is checked here for all callers.
func (f *Follower) setTip(c *config.Config) {
	have := versionOf(f.tip)
	if f.check.Hold(c.Version > have, NoReversal, "tip %d after %d", c.Version, have) {
		f.tip = c
	}
}

// decodeFailed drops data that can't be decoded and tries another source.
func (f *Follower) decodeFailed(now clock.Time, d encodedVersion, e event.ConfigDecoded) {
	f.lastDecodeError = e.Err
	if f.lastDecodeError == "" {
		f.lastDecodeError = "decoded configuration has an unexpected version"
	}
	delete(f.pendingChanges, d.version)
	f.fetch.fail(now.Add(f.settings.RetryInterval))
}
