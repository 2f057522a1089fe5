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

// NeverConfirmed is the ConfirmedAge of a Follower whose version was never
// confirmed to be the newest.
const NeverConfirmed = time.Duration(math.MaxInt64)

// maxTableAge is the largest TableAge that is accepted. A sender that never
// reached the table sends a huge one, and adding to it could overflow to a small
// age.
const maxTableAge = 365 * 24 * time.Hour

// Settings configure a Follower. Fields that are 0 get their defaults.
type Settings struct {
	// HeadPollInterval is the time between two reads of the head; default
	// 300 ms.
	HeadPollInterval time.Duration
	// ReadersPerZone is the number of instances of a zone that read the head;
	// default 2.
	ReadersPerZone int
	// RetryInterval is the time that a peer has to reply until another source
	// is tried, and the pause after a source failed; default 250 ms.
	RetryInterval time.Duration
	// TableTimeout is the time that a fetch from the table has until another
	// source is tried; default 1 s. A later result is still used: the table may
	// be slow for a long time, and otherwise all instances would stay behind
	// until it recovers.
	TableTimeout time.Duration
	// DiscoveryPeriod is how long a starting instance that can't read the head
	// listens for higher versions before it activates one; default 1.5 s.
	DiscoveryPeriod time.Duration
	// CatchUpTimeout is how long a starting instance that has a version waits
	// for a newer one that it knows of but can't fetch; default 5 s.
	CatchUpTimeout time.Duration
	// ChangeLogSize is the number of encoded changes kept for peers; default
	// 128.
	ChangeLogSize int
	// PushFanout is the number of instances of its zone to which a head reader
	// sends a new change unrequested; default 8, none if negative. It bounds
	// the cost of a change at a head reader, however large the zone is.
	PushFanout int
}

// Default settings.
const (
	defaultHeadPollInterval = 300 * time.Millisecond
	defaultReadersPerZone   = 2
	defaultRetryInterval    = 250 * time.Millisecond
	defaultTableTimeout     = time.Second
	defaultDiscoveryPeriod  = 1500 * time.Millisecond
	defaultCatchUpTimeout   = 5 * time.Second
	defaultChangeLogSize    = 128
	defaultPushFanout       = 8
)

func (s Settings) withDefaults() Settings {
	s.HeadPollInterval = cmp.Or(s.HeadPollInterval, defaultHeadPollInterval)
	s.ReadersPerZone = cmp.Or(s.ReadersPerZone, defaultReadersPerZone)
	s.RetryInterval = cmp.Or(s.RetryInterval, defaultRetryInterval)
	s.TableTimeout = cmp.Or(s.TableTimeout, defaultTableTimeout)
	s.DiscoveryPeriod = cmp.Or(s.DiscoveryPeriod, defaultDiscoveryPeriod)
	s.CatchUpTimeout = cmp.Or(s.CatchUpTimeout, defaultCatchUpTimeout)
	s.ChangeLogSize = cmp.Or(s.ChangeLogSize, defaultChangeLogSize)
	s.PushFanout = cmp.Or(s.PushFanout, defaultPushFanout)
	return s
}

// Follower keeps the configuration of one instance up to date. It implements
// process.Machine. All methods must be called from one goroutine.
type Follower struct {
	settings Settings
	members  process.Members
	check    *invariant.Checker

	// active is the configuration that requests use. tip is the newest decoded
	// version; it is ahead of active only while the instance starts.
	active     *config.Config
	tip        *config.Config
	startedAt  clock.Time
	firstTipAt clock.Time // when the first version was decoded
	ticked     bool       // Tick was called

	lastOp         uint64
	nextHeadRead   clock.Time       // when the next read of the head is due
	headReads      []headRead       // outstanding, the oldest first
	headKnown      bool             // the head was read at least once
	lastHeadReadOK bool             // the last read of the head succeeded
	highestHead    id.ConfigVersion // highest version read from the head
	newestKnown    id.ConfigVersion // highest version that the table or a live peer has
	peerVersions   map[id.Instance]id.ConfigVersion

	fetch            fetch
	pendingChanges   map[id.ConfigVersion][]byte // encoded changes after the tip, by version
	requestedObjects map[id.Digest]objectRequest // outstanding requests
	receivedSnapshot encodedVersion              // not decoded yet
	decoding         encodedVersion
	lastDecodeError  string

	log          changeLog
	confirmation confirmation
}

var _ process.Machine = (*Follower)(nil)

// encodedVersion is an encoded change or, if snapshot is set, an encoded whole
// configuration. Version 0 means none.
type encodedVersion struct {
	version  id.ConfigVersion
	snapshot bool
	body     []byte
}

// NewFollower returns a Follower without a version.
func NewFollower(s Settings, members process.Members, check *invariant.Checker) *Follower {
	return &Follower{
		settings:         s.withDefaults(),
		members:          members,
		check:            check,
		peerVersions:     make(map[id.Instance]id.ConfigVersion),
		pendingChanges:   make(map[id.ConfigVersion][]byte),
		requestedObjects: make(map[id.Digest]objectRequest),
	}
}

// Current returns the active configuration, or nil before there is one; the
// instance is not ready until then.
func (f *Follower) Current() *config.Config { return f.active }

// NewestKnown returns the highest version known to exist, which may be ahead of
// Current.
func (f *Follower) NewestKnown() id.ConfigVersion { return max(f.newestKnown, versionOf(f.tip)) }

// LastDecodeError returns why the last decoding failed, or "" if it succeeded.
func (f *Follower) LastDecodeError() string { return f.lastDecodeError }

// ConfirmedAge returns the time since the active version was last confirmed to
// be the newest, by a read of the head or by an instance that has the version
// and reached the table service. It is NeverConfirmed before the first time.
func (f *Follower) ConfirmedAge(now clock.Time) time.Duration {
	if f.active == nil || !f.confirmation.known {
		return NeverConfirmed
	}
	return max(now.Sub(f.confirmation.at), 0)
}

// Next returns when Tick must be called next.
func (f *Follower) Next() clock.Time {
	if !f.ticked {
		return 0
	}
	return min(f.nextHeadRead, f.fetch.nextTick())
}

// Tick reads the head if this instance is a head reader and a read is due, drops
// requests that timed out and fetches missing versions.
func (f *Follower) Tick(now clock.Time, out *event.Outbox) {
	if !f.ticked {
		f.ticked = true
		f.startedAt = now
	}
	f.removeDeadPeers()
	if now.Reached(f.nextHeadRead) {
		f.nextHeadRead = now.Add(f.settings.HeadPollInterval)
		f.expireHeadReads(now)
		f.readHead(now, out)
	}
	if f.fetch.active && now.Reached(f.fetch.deadline) {
		f.fetch.fail(now)
	}
	f.advance(now, out)
}

// HandleTableResult handles the result of a table read. Results of other parts
// of the instance are ignored.
func (f *Follower) HandleTableResult(now clock.Time, r event.TableResult, out *event.Outbox) {
	if r.Op.Component != event.ComponentConfig {
		return
	}
	if sent, ok := f.takeHeadRead(r.Op.Seq); ok {
		f.handleHeadRead(sent, r)
	} else {
		f.handleRows(now, r, out)
	}
	f.advance(now, out)
}

// HandleObjectResult handles a change or snapshot that was too large for its row.
func (f *Follower) HandleObjectResult(now clock.Time, r event.ObjectResult, out *event.Outbox) {
	f.handleObject(now, r)
	f.advance(now, out)
}

// HandleDecoded handles the result of DecodeConfig. A late or duplicate result
// is dropped.
func (f *Follower) HandleDecoded(now clock.Time, e event.ConfigDecoded, out *event.Outbox) {
	d := f.decoding
	if d.version == 0 || e.Version != d.version {
		return
	}
	f.decoding = encodedVersion{}
	if e.Err != "" || e.Config == nil || e.Config.Version != d.version {
		f.decodeFailed(now, d, e)
	} else {
		f.decodeSucceeded(now, d, e.Config)
	}
	f.advance(now, out)
}

// HandleEncoded handles the result of EncodeConfig and replies to the peers that
// wait for the snapshot. If it failed, they repeat their requests.
func (f *Follower) HandleEncoded(_ clock.Time, e event.ConfigEncoded, out *event.Outbox) {
	waiting := f.log.takeWaiters()
	if !f.log.setEncodedSnapshot(e) {
		return
	}
	for _, w := range waiting {
		f.reply(w.peer, w.have, out)
	}
}

// HandleMessage handles a Heartbeat, VersionRequest, VersionChange or
// VersionSnapshot of another instance and ignores all other messages. Messages
// may be lost, duplicated, delayed or reordered.
func (f *Follower) HandleMessage(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	switch m := m.(type) {
	case message.Heartbeat:
		f.recordPeerVersion(from, m.Version)
		if m.TableAge >= 0 && m.TableAge < maxTableAge {
			f.confirmation.record(m.Version, now.Add(-m.TableAge))
		}
	case message.VersionRequest:
		f.recordPeerVersion(from, m.Have)
		f.reply(from, m.Have, out)
	case message.VersionChange:
		f.recordPeerVersion(from, m.Version)
		f.addPendingChange(m.Version, m.Change)
	case message.VersionSnapshot:
		f.recordPeerVersion(from, m.Version)
		f.setReceivedSnapshot(m.Version, m.Snapshot)
	default:
		return
	}
	f.advance(now, out)
}

// advance takes all steps that the last input made possible.
func (f *Follower) advance(now clock.Time, out *event.Outbox) {
	f.activateTip(now, out)
	f.decodeNext(out)
	f.startFetch(now, out)
	f.confirmation.apply(f.active)
}

func (f *Follower) nextOp() uint64 {
	f.lastOp++
	return f.lastOp
}

func (f *Follower) tableOp(n uint64) event.Op {
	return event.Op{Component: event.ComponentConfig, Seq: n}
}

// recordPeerVersion keeps the highest version that a peer is known to have.
func (f *Follower) recordPeerVersion(from id.Instance, v id.ConfigVersion) {
	if from == f.members.Self() {
		return
	}
	f.peerVersions[from] = max(f.peerVersions[from], v)
	if f.members.ZoneOf(from) != "" {
		f.newestKnown = max(f.newestKnown, v)
	}
}

// removeDeadPeers drops the versions of instances that are no longer live.
// Otherwise a starting instance would wait for a version that no peer can send.
func (f *Follower) removeDeadPeers() {
	live := make(map[id.Instance]bool)
	for _, i := range f.members.Live() {
		live[i] = true
	}
	f.newestKnown = f.highestHead
	for i, v := range f.peerVersions {
		if !live[i] {
			delete(f.peerVersions, i)
			continue
		}
		f.newestKnown = max(f.newestKnown, v)
	}
}

// activateTip makes the tip the active configuration.
func (f *Follower) activateTip(now clock.Time, out *event.Outbox) {
	if f.tip == f.active || !f.canActivateTip(now) {
		return
	}
	old := versionOf(f.active)
	if !f.check.Hold(f.tip.Version > old, NoReversal, "version %d after %d", f.tip.Version, old) {
		f.tip = f.active
		return
	}
	f.active = f.tip
	out.Add(event.ConfigApplied{Config: f.tip})
	f.pushChange(out)
}

// canActivateTip reports whether the tip is new enough to become active. A
// starting instance that activated the first version it gets could accept a key
// that is already withdrawn at the other instances. So it waits for the newest
// version in the table or, if the table is unreachable, for the newest version
// that a peer announced. The waits are bounded: an announced version that can't
// be fetched must not keep an isolated zone from starting.
func (f *Follower) canActivateTip(now clock.Time) bool {
	if f.active != nil {
		return true
	}
	caughtUp := f.tip.Version >= f.newestKnown
	if caughtUp && f.headKnown {
		return true
	}
	if caughtUp {
		return now.Reached(f.startedAt.Add(f.settings.DiscoveryPeriod))
	}
	return now.Reached(f.firstTipAt.Add(f.settings.CatchUpTimeout))
}

func versionOf(c *config.Config) id.ConfigVersion {
	if c == nil {
		return 0
	}
	return c.Version
}
