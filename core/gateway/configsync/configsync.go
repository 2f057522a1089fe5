// Package configsync decides how a new version of the configuration reaches an
// instance.
//
// A few instances of each availability zone wait for changes at the store and
// tell the others of their zone, several times a second, that they do. The others
// hear of a version from any instance and fetch it from one of their own zone.
// Two failures are answered here. If those that wait are killed, frozen, cut off
// or held on a call that nobody answers, their word stops, and another instance
// waits in their place within two seconds. If a source is slow, each next try
// goes to another one and then to the store: with one source for all, 190
// instances shared its link, and a large version took longer than the call.
package configsync

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/process/rendezvous"
)

const (
	// WatchersPerZone are the instances of a zone that wait at the store: with two a
	// version is there also when one of them is lost.
	WatchersPerZone = 2
	// SmallZoneSize is the size up to which all instances of a zone wait there.
	SmallZoneSize = 4
	// AnnouncementInterval is the time between two words of a watcher to its zone.
	AnnouncementInterval = 400 * time.Millisecond
	// wordWithin is when a zone without a word of any watcher counts as not
	// watched: two words may be lost.
	announcementTimeout = 1300 * time.Millisecond
	// takeoverStep is the time between the candidates that take a silent
	// watcher's place, so that the first one is heard before the next begins.
	takeoverStagger = 150 * time.Millisecond
	// nearDelay is the time before a version is fetched in the own zone: the
	// store tells its watchers within some milliseconds of each other.
	sameZoneDelay = 30 * time.Millisecond
	// farDelay is the time before a version is fetched from another zone, where
	// bytes are paid; the own zone has it sooner as a rule.
	otherZoneDelay = 300 * time.Millisecond
	// storeAfter is when a version that could not be had elsewhere is read from
	// the store, and triesOfOthers how many failed tries make it sooner.
	storeReadDelay = 1200 * time.Millisecond
	maxPeerFetches = 2
	// storeAgain is the time between two such readings.
	storeRetryInterval = 500 * time.Millisecond
	// sourceFor is how long an instance counts as a source after it was heard.
	sourceTTL = 5 * time.Second
)

// Sync is what one instance knows of versions elsewhere. It is not safe for
// concurrent use.
type Sync struct {
	self, zone       string
	startedAt        clock.Time
	applied          uint64
	sources          map[string]source
	announcements    map[string]clock.Time // of the zone's watchers
	lastAnnouncement clock.Time
	storeRespondedAt clock.Time // the store's last answer to this instance
	announcedAt      clock.Time

	newest        uint64 // that was heard of
	newestHeardAt clock.Time
	triedSources  map[string]bool // sources of the newest
	failedFetches int
	storeReadAt   clock.Time
}

// source is an instance that has a version.
type source struct {
	zone      string
	version   uint64
	lastHeard clock.Time
}

// New returns the Sync of an instance that starts at now.
func New(now clock.Time, self, zone string) *Sync {
	return &Sync{self: self, zone: zone, startedAt: now, lastAnnouncement: now, sources: make(map[string]source), announcements: make(map[string]clock.Time)}
}

// ObserveVersion takes which version another instance has in force.
func (s *Sync) ObserveVersion(now clock.Time, name, zone string, version uint64) {
	s.sources[name] = source{zone: zone, version: version, lastHeard: now}
	if version > s.newest && version > s.applied {
		s.newest, s.newestHeardAt = version, now
		s.triedSources, s.failedFetches, s.storeReadAt = make(map[string]bool), 0, 0
	}
}

// HandleAnnouncement takes the word of a watcher that it waits at the store.
func (s *Sync) HandleAnnouncement(now clock.Time, name, zone string, version uint64) {
	s.ObserveVersion(now, name, zone, version)
	if zone == s.zone {
		s.announcements[name], s.lastAnnouncement = now, now
	}
}

// SetApplied records the version that this instance uses.
func (s *Sync) SetApplied(version uint64) { s.applied = max(s.applied, version) }

// Behind reports whether a newer version is in force elsewhere.
func (s *Sync) Behind() bool { return s.newest > s.applied }

// RecordStoreResponse records that the store answered this instance's call for changes.
func (s *Sync) RecordStoreResponse(now clock.Time) { s.storeRespondedAt = now }

// Peer is another instance of the zone for the choice of watchers.
type Peer struct {
	Name         string
	Preferred    bool // goes before this one
	ReachesStore bool // the store, as it says
}

// ShouldWatch reports whether this instance waits for changes at the store. Peers are
// those of the own zone that are heard and not stopping.
func (s *Sync) ShouldWatch(now clock.Time, peers []Peer) bool {
	if len(peers) < SmallZoneSize {
		return true
	}
	rank, watching := 0, 0
	for _, p := range peers {
		if !p.Preferred || !p.ReachesStore {
			continue
		}
		rank++
		if at, ok := s.announcements[p.Name]; ok && now.Sub(at) <= announcementTimeout {
			watching++
		}
	}
	if rank < WatchersPerZone {
		return true
	}
	unwatched := now.Sub(s.lastAnnouncement) > announcementTimeout+time.Duration(rank)*takeoverStagger
	return watching < WatchersPerZone && unwatched
}

// AnnouncementDue reports, once, that the zone is to be told that this instance waits at
// the store. A call that should have returned within wait, and did not, may be
// held by a store that will never answer: then nothing is said, and others take
// over.
func (s *Sync) AnnouncementDue(now clock.Time, wait time.Duration) bool {
	if s.storeRespondedAt == 0 || now.Sub(s.storeRespondedAt) > wait || now.Sub(s.announcedAt) < AnnouncementInterval {
		return false
	}
	s.announcedAt = now
	return true
}

// StepKind says what to do about a newer version.
type StepKind int

// The kinds.
const (
	Wait      StepKind = iota // until Until
	Fetch                     // from the instance From
	ReadStore                 // read it from the store
)

// Step is what to do next while behind.
type Step struct {
	Kind  StepKind
	From  string
	Until clock.Time
}

// Next returns the next step towards the newest version. A Fetch is marked as
// tried.
func (s *Sync) Next(now clock.Time) Step {
	storeDue := s.newestHeardAt.Add(storeReadDelay)
	if s.failedFetches >= maxPeerFetches {
		storeDue = now
	}
	if s.storeReadAt != 0 {
		storeDue = max(storeDue, s.storeReadAt.Add(storeRetryInterval))
	}
	if now.Reached(storeDue) {
		s.storeReadAt = now
		return Step{Kind: ReadStore}
	}
	near, far := s.untried(now)
	switch {
	case len(near) > 0 && now.Reached(s.newestHeardAt.Add(sameZoneDelay)):
		return s.fetch(near)
	case len(near) > 0:
		return Step{Until: s.newestHeardAt.Add(sameZoneDelay)}
	case len(far) > 0 && now.Reached(s.newestHeardAt.Add(otherZoneDelay)):
		return s.fetch(far)
	case len(far) > 0:
		return Step{Until: min(storeDue, s.newestHeardAt.Add(otherZoneDelay))}
	}
	return Step{Until: storeDue}
}

// untried returns the sources of the newest version that were not tried, those of
// the own zone apart.
func (s *Sync) untried(now clock.Time) (near, far []id.Instance) {
	for name, o := range s.sources {
		switch {
		case o.version < s.newest || s.triedSources[name] || now.Sub(o.lastHeard) > sourceTTL:
		case o.zone == s.zone:
			near = append(near, id.Instance(name))
		default:
			far = append(far, id.Instance(name))
		}
	}
	return near, far
}

// fetch chooses a source: every instance another one, so that they share the load.
func (s *Sync) fetch(from []id.Instance) Step {
	chosen := string(rendezvous.Owner(s.self, from))
	s.triedSources[chosen] = true
	return Step{Kind: Fetch, From: chosen}
}

// FetchFailed records that the newest version was not had from another instance.
func (s *Sync) FetchFailed() { s.failedFetches++ }

// Expire drops instances that are not heard any more.
func (s *Sync) Expire(now clock.Time) {
	for name, o := range s.sources {
		if now.Sub(o.lastHeard) > sourceTTL {
			delete(s.sources, name)
			delete(s.announcements, name)
		}
	}
}
