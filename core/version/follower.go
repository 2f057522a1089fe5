package version

import (
	"cmp"
	"math"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process"
)

// NoReversal names the invariant that an instance never goes back to a lower
// configuration version.
const NoReversal = "config-no-reversal"

// NeverHeard is the HeardAge of a Follower whose version was never confirmed.
const NeverHeard = time.Duration(math.MaxInt64)

// maxTableAge bounds the TableAge that is believed. A sender that never reached
// the table gives a huge one, and a sum with it could overflow to a small age.
const maxTableAge = 365 * 24 * time.Hour

// Settings tune a Follower. A field that is 0 takes its default.
type Settings struct {
	// Poll is the time between two readings of the head; default 300 ms.
	Poll time.Duration
	// Readers is how many instances of a zone read the head; default 2.
	Readers int
	// Retry is how long a peer has to answer before another is asked, and the
	// pause after a source failed; default 250 ms.
	Retry time.Duration
	// TableWait is how long a fetch from the table has until another source is
	// asked; default 1 s. A later answer still counts: the table may be slow
	// for long stretches, and all instances would be behind for as long.
	TableWait time.Duration
	// Settle is how long a starting instance that can't read the head listens
	// for the newest version before it takes one; default 1.5 s.
	Settle time.Duration
	// CatchUp is how long a starting instance that has a version waits for a
	// newer one that it heard of and can't get; default 5 s.
	CatchUp time.Duration
	// Keep is how many encoded changes are kept for peers; default 128.
	Keep int
	// Push is to how many instances of its zone a reader of the head sends a
	// new change unasked; default 8, none if negative. It bounds what a change
	// costs a reader, however large the zone is.
	Push int
}

// The defaults of Settings.
const (
	defaultPoll      = 300 * time.Millisecond
	defaultReaders   = 2
	defaultRetry     = 250 * time.Millisecond
	defaultTableWait = time.Second
	defaultSettle    = 1500 * time.Millisecond
	defaultCatchUp   = 5 * time.Second
	defaultKeep      = 128
	defaultPush      = 8
)

func (s Settings) withDefaults() Settings {
	s.Poll = cmp.Or(s.Poll, defaultPoll)
	s.Readers = cmp.Or(s.Readers, defaultReaders)
	s.Retry = cmp.Or(s.Retry, defaultRetry)
	s.TableWait = cmp.Or(s.TableWait, defaultTableWait)
	s.Settle = cmp.Or(s.Settle, defaultSettle)
	s.CatchUp = cmp.Or(s.CatchUp, defaultCatchUp)
	s.Keep = cmp.Or(s.Keep, defaultKeep)
	s.Push = cmp.Or(s.Push, defaultPush)
	return s
}

// Follower keeps the newest configuration of one instance. It implements
// process.Machine; every method is to be called from one goroutine.
type Follower struct {
	set     Settings
	members process.Members
	check   *invariant.Checker

	// inForce is what requests see. tip is the newest decoded version; it is
	// ahead of inForce only while the instance starts.
	inForce *config.Config
	tip     *config.Config
	started clock.Time
	tipAt   clock.Time // when the first tip came
	running bool       // Tick was called

	ops       uint64
	nextHead  clock.Time       // when the next reading of the head is due
	heads     []headRead       // under way, the oldest first
	headKnown bool             // the head was read since the start
	headOK    bool             // the last reading of the head succeeded
	headSeen  id.ConfigVersion // largest head read
	newest    id.ConfigVersion // largest version that the table or a live peer has
	peers     map[id.Instance]id.ConfigVersion

	fetch    fetch
	pending  map[id.ConfigVersion][]byte // encoded changes after the tip
	objects  map[id.Digest]wantedObject  // asked for
	snapshot encoded                     // received, not decoded yet
	decoding encoded
	problem  string

	log   changeLog
	heard heard
}

var _ process.Machine = (*Follower)(nil)

// encoded is an encoded change or, if Snapshot is set, a whole configuration.
// Version 0 means none.
type encoded struct {
	version  id.ConfigVersion
	snapshot bool
	body     []byte
}

// NewFollower returns a Follower without a version.
func NewFollower(s Settings, members process.Members, check *invariant.Checker) *Follower {
	return &Follower{
		set:     s.withDefaults(),
		members: members,
		check:   check,
		peers:   make(map[id.Instance]id.ConfigVersion),
		pending: make(map[id.ConfigVersion][]byte),
		objects: make(map[id.Digest]wantedObject),
	}
}

// Current returns the configuration in force, nil before there is one: the
// instance is not ready until then.
func (f *Follower) Current() *config.Config { return f.inForce }

// Newest returns the largest version heard of, which may be ahead of Current.
func (f *Follower) Newest() id.ConfigVersion { return max(f.newest, versionOf(f.tip)) }

// Problem says why the last decoding failed, "" if it did not.
func (f *Follower) Problem() string { return f.problem }

// HeardAge returns the time since the version in force was last known to be
// the newest: by a reading of the head, or by an instance that has the version
// and reached the table service. It is NeverHeard before the first time.
func (f *Follower) HeardAge(now clock.Time) time.Duration {
	if f.inForce == nil || !f.heard.known {
		return NeverHeard
	}
	return max(now.Sub(f.heard.at), 0)
}

// Next returns when Tick is wanted.
func (f *Follower) Next() clock.Time {
	if !f.running {
		return 0
	}
	return min(f.nextHead, f.fetch.next())
}

// Tick reads the head if that is due here, gives up what was not answered and
// asks for what is missing.
func (f *Follower) Tick(now clock.Time, out *event.Outbox) {
	if !f.running {
		f.running = true
		f.started = now
	}
	f.forgetDeadPeers()
	if now.Reached(f.nextHead) {
		f.nextHead = now.Add(f.set.Poll)
		f.forgetHeads(now)
		f.readHead(now, out)
	}
	if f.fetch.active && now.Reached(f.fetch.until) {
		f.fetch.failed(now)
	}
	f.advance(now, out)
}

// Table takes the answer to a read of this part.
func (f *Follower) Table(now clock.Time, r event.TableResult, out *event.Outbox) {
	if r.Op.Component != event.ComponentConfig {
		return
	}
	if sent, ok := f.takeHead(r.Op.Seq); ok {
		f.headRead(sent, r)
	} else {
		f.rowsRead(now, r, out)
	}
	f.advance(now, out)
}

// Object takes a change or a snapshot that was too large for its row.
func (f *Follower) Object(now clock.Time, r event.ObjectResult, out *event.Outbox) {
	f.objectRead(now, r)
	f.advance(now, out)
}

// Decoded takes the answer to DecodeConfig. An answer that was not asked for,
// late or doubled, is dropped.
func (f *Follower) Decoded(now clock.Time, e event.ConfigDecoded, out *event.Outbox) {
	d := f.decoding
	if d.version == 0 || e.Version != d.version {
		return
	}
	f.decoding = encoded{}
	if e.Err != "" || e.Config == nil || e.Config.Version != d.version {
		f.rejected(now, d, e)
	} else {
		f.accepted(now, d, e.Config)
	}
	f.advance(now, out)
}

// Encoded takes the answer to EncodeConfig and serves the peers that wait for
// it. If it failed, they ask again by themselves.
func (f *Follower) Encoded(_ clock.Time, e event.ConfigEncoded, out *event.Outbox) {
	waiting := f.log.takeWaiting()
	if !f.log.snapshotEncoded(e) {
		return
	}
	for _, w := range waiting {
		f.serve(w.peer, w.have, out)
	}
}

// Peer takes a message of another instance: Heartbeat, VersionAsk,
// VersionChange or VersionSnapshot. Others are ignored. Each may be lost,
// doubled, late or out of order.
func (f *Follower) Peer(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	switch m := m.(type) {
	case message.Heartbeat:
		f.notePeer(from, m.Version)
		if m.TableAge >= 0 && m.TableAge < maxTableAge {
			f.heard.note(m.Version, now.Add(-m.TableAge))
		}
	case message.VersionRequest:
		f.notePeer(from, m.Have)
		f.serve(from, m.Have, out)
	case message.VersionChange:
		f.notePeer(from, m.Version)
		f.keepPending(m.Version, m.Change)
	case message.VersionSnapshot:
		f.notePeer(from, m.Version)
		f.keepSnapshot(m.Version, m.Snapshot)
	default:
		return
	}
	f.advance(now, out)
}

// advance does what became possible by the last input.
func (f *Follower) advance(now clock.Time, out *event.Outbox) {
	f.putInForce(now, out)
	f.decodeNext(out)
	f.fetchMore(now, out)
	f.heard.confirm(f.inForce)
}

func (f *Follower) nextOp() uint64 {
	f.ops++
	return f.ops
}

func (f *Follower) op(n uint64) event.Op { return event.Op{Component: event.ComponentConfig, Seq: n} }

// notePeer keeps the largest version that a peer is known to have.
func (f *Follower) notePeer(from id.Instance, v id.ConfigVersion) {
	if from == f.members.Self() {
		return
	}
	f.peers[from] = max(f.peers[from], v)
	if f.members.ZoneOf(from) != "" {
		f.newest = max(f.newest, v)
	}
}

// forgetDeadPeers drops what was heard of instances that are gone. Otherwise a
// starting instance would wait for a version that nobody can give it.
func (f *Follower) forgetDeadPeers() {
	live := make(map[id.Instance]bool)
	for _, i := range f.members.Live() {
		live[i] = true
	}
	f.newest = f.headSeen
	for i, v := range f.peers {
		if !live[i] {
			delete(f.peers, i)
			continue
		}
		f.newest = max(f.newest, v)
	}
}

// putInForce swaps the configuration in force for the tip.
func (f *Follower) putInForce(now clock.Time, out *event.Outbox) {
	if f.tip == f.inForce || !f.mayStart(now) {
		return
	}
	old := versionOf(f.inForce)
	if !f.check.Hold(f.tip.Version > old, NoReversal, "version %d after %d", f.tip.Version, old) {
		f.tip = f.inForce
		return
	}
	f.inForce = f.tip
	out.Add(event.ConfigApplied{Config: f.tip})
	f.push(out)
}

// mayStart reports whether the tip is new enough to begin with. An instance
// that takes the first version it is offered can start on one in which a
// withdrawn key still works, while its neighbours are long past it; so it
// waits until it has the newest version of the table, or, without the table,
// of all that it heard. The waits are bounded: a version that was heard of but
// can't be had must not keep a cut-off zone from starting.
func (f *Follower) mayStart(now clock.Time) bool {
	if f.inForce != nil {
		return true
	}
	caughtUp := f.tip.Version >= f.newest
	if caughtUp && f.headKnown {
		return true
	}
	if caughtUp {
		return now.Reached(f.started.Add(f.set.Settle))
	}
	return now.Reached(f.tipAt.Add(f.set.CatchUp))
}

func versionOf(c *config.Config) id.ConfigVersion {
	if c == nil {
		return 0
	}
	return c.Version
}
