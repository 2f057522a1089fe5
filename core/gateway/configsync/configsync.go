// Package configsync decides how a new version of the configuration reaches an
// instance.
//
// A few instances of each availability zone, the watchers, wait for changes at the
// store and announce several times a second to their zone that they do. The others
// learn of a version from any instance and fetch it from one of their own zone.
//
// The package handles two failures. If the watchers are killed, frozen, isolated or
// blocked in a call that is never answered, their announcements stop, and other
// instances take over within two seconds. If a source is slow, each retry goes to
// another source and finally to the store: when 190 instances shared the link of a
// single source, fetching a large version took longer than the call's timeout.
package configsync

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/process/rendezvous"
)

const (
	// WatchersPerZone is the number of instances of a zone that watch the store: with
	// two, the zone still gets new versions when one fails.
	WatchersPerZone = 2
	// SmallZoneSize is the size up to which all instances of a zone watch the store.
	SmallZoneSize = 4
	// AnnouncementInterval is the time between two announcements of a watcher.
	AnnouncementInterval = 400 * time.Millisecond
	// announcementTimeout is the time without an announcement after which a zone counts
	// as not watched: two announcements may be lost.
	announcementTimeout = 1300 * time.Millisecond
	// takeoverStagger is the delay between successive candidates to replace a failed
	// watcher, so that the first one is heard before the next starts.
	takeoverStagger = 150 * time.Millisecond
	// sameZoneDelay is the time before a version is fetched from the same zone: the
	// store notifies its watchers within a few milliseconds of each other.
	sameZoneDelay = 30 * time.Millisecond
	// otherZoneDelay is the time before a version is fetched from another zone: traffic
	// between zones is billed, and an instance of the same zone usually has the
	// version sooner.
	otherZoneDelay = 300 * time.Millisecond
	// storeReadDelay is the time after which a version is read from the store if it could
	// not be fetched from an instance. After maxPeerFetches failed fetches it is read
	// at once.
	storeReadDelay = 1200 * time.Millisecond
	maxPeerFetches = 2
	// storeRetryInterval is the time between two reads from the store.
	storeRetryInterval = 500 * time.Millisecond
	// sourceTTL is how long an instance counts as a source after it was last heard.
	sourceTTL = 5 * time.Second
)

// Sync tracks which versions the other instances have and which of them watch the
// store. It is not safe for concurrent use.
type Sync struct {
	self, zone       string
	startedAt        clock.Time
	applied          uint64                // version in use by this instance
	sources          map[string]source     // by instance
	announcements    map[string]clock.Time // last one of each watcher in the zone
	lastAnnouncement clock.Time
	storeRespondedAt clock.Time // last response to this instance's call
	announcedAt      clock.Time // last announcement by this instance

	newest        uint64 // newest known version
	newestHeardAt clock.Time
	triedSources  map[string]bool // for the newest version
	failedFetches int             // of the newest version
	storeReadAt   clock.Time      // last read of the newest version; 0 if none
}

// source is an instance that has a version of the configuration.
type source struct {
	zone      string
	version   uint64
	lastHeard clock.Time
}

// New returns the Sync of an instance that starts at now.
func New(now clock.Time, self, zone string) *Sync {
	return &Sync{self: self, zone: zone, startedAt: now, lastAnnouncement: now, sources: make(map[string]source), announcements: make(map[string]clock.Time)}
}

// ObserveVersion records the version that another instance uses.
func (s *Sync) ObserveVersion(now clock.Time, name, zone string, version uint64) {
	s.sources[name] = source{zone: zone, version: version, lastHeard: now}
	if version > s.newest && version > s.applied {
		s.newest, s.newestHeardAt = version, now
		s.triedSources, s.failedFetches, s.storeReadAt = make(map[string]bool), 0, 0
	}
}

// HandleAnnouncement records the announcement of a watcher, with the version that it
// uses.
func (s *Sync) HandleAnnouncement(now clock.Time, name, zone string, version uint64) {
	s.ObserveVersion(now, name, zone, version)
	if zone == s.zone {
		s.announcements[name], s.lastAnnouncement = now, now
	}
}

// SetApplied records the version that this instance uses.
func (s *Sync) SetApplied(version uint64) { s.applied = max(s.applied, version) }

// Behind reports whether another instance uses a newer version.
func (s *Sync) Behind() bool { return s.newest > s.applied }

// RecordStoreResponse records that the store answered this instance's call for changes.
func (s *Sync) RecordStoreResponse(now clock.Time) { s.storeRespondedAt = now }

// Peer is another instance of the zone that may be a watcher.
type Peer struct {
	Name         string
	Preferred    bool // as a watcher, over this instance
	ReachesStore bool // as reported by the peer
}

// ShouldWatch reports whether this instance is to watch the store for changes. The
// peers are the instances of its zone that are heard and not stopping.
func (s *Sync) ShouldWatch(now clock.Time, peers []Peer) bool {
	if len(peers) < SmallZoneSize {
		return true
	}
	rank, announced := 0, 0
	for _, p := range peers {
		if !p.Preferred || !p.ReachesStore {
			continue
		}
		rank++
		if at, ok := s.announcements[p.Name]; ok && now.Sub(at) <= announcementTimeout {
			announced++
		}
	}
	if rank < WatchersPerZone {
		return true
	}
	unwatched := now.Sub(s.lastAnnouncement) > announcementTimeout+time.Duration(rank)*takeoverStagger
	return announced < WatchersPerZone && unwatched
}

// AnnouncementDue reports whether this instance is to announce itself as a watcher now;
// a true result counts as an announcement. If a call to the store did not return within
// wait, the store may never answer it: no announcement is due, so that others take over.
func (s *Sync) AnnouncementDue(now clock.Time, wait time.Duration) bool {
	if s.storeRespondedAt == 0 || now.Sub(s.storeRespondedAt) > wait || now.Sub(s.announcedAt) < AnnouncementInterval {
		return false
	}
	s.announcedAt = now
	return true
}

// StepKind is the kind of a Step.
type StepKind int

// Kinds of steps.
const (
	Wait      StepKind = iota // wait until Until, then call Next again
	Fetch                     // fetch the version from the instance From
	ReadStore                 // read the version from the store
)

// Step is the next action of an instance that is behind.
type Step struct {
	Kind  StepKind
	From  string
	Until clock.Time
}

// Next returns the next step to get the newest version. The source of a Fetch is not
// returned again for the same version.
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
	sameZone, otherZones := s.untriedSources(now)
	switch {
	case len(sameZone) > 0 && now.Reached(s.newestHeardAt.Add(sameZoneDelay)):
		return s.fetchFrom(sameZone)
	case len(sameZone) > 0:
		return Step{Until: s.newestHeardAt.Add(sameZoneDelay)}
	case len(otherZones) > 0 && now.Reached(s.newestHeardAt.Add(otherZoneDelay)):
		return s.fetchFrom(otherZones)
	case len(otherZones) > 0:
		return Step{Until: min(storeDue, s.newestHeardAt.Add(otherZoneDelay))}
	}
	return Step{Until: storeDue}
}

// untriedSources returns the sources of the newest version that were not tried yet, by
// whether they are in the same zone.
func (s *Sync) untriedSources(now clock.Time) (sameZone, otherZones []id.Instance) {
	for name, src := range s.sources {
		switch {
		case src.version < s.newest || s.triedSources[name] || now.Sub(src.lastHeard) > sourceTTL:
		case src.zone == s.zone:
			sameZone = append(sameZone, id.Instance(name))
		default:
			otherZones = append(otherZones, id.Instance(name))
		}
	}
	return sameZone, otherZones
}

// fetchFrom returns a Fetch from one of the sources. Rendezvous hashing spreads the
// instances over the sources.
func (s *Sync) fetchFrom(sources []id.Instance) Step {
	chosen := string(rendezvous.Owner(s.self, sources))
	s.triedSources[chosen] = true
	return Step{Kind: Fetch, From: chosen}
}

// FetchFailed records that fetching the newest version from another instance failed.
func (s *Sync) FetchFailed() { s.failedFetches++ }

// Expire drops instances that are no longer heard.
func (s *Sync) Expire(now clock.Time) {
	for name, src := range s.sources {
		if now.Sub(src.lastHeard) > sourceTTL {
			delete(s.sources, name)
			delete(s.announcements, name)
		}
	}
}
