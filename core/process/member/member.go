// Package member tracks the other instances, by their heartbeats, and the backend
// servers, by the platform's instance list and by what other parts of the
// instance observe.
//
// The list may be stale, and reads of it may arrive out of order. It names the
// instances to which heartbeats are sent, but only a received heartbeat shows
// that an instance is live. A leaving mark is kept until the name has been off
// the list for a long time.
package member

import (
	"cmp"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/rendezvous"
)

// Default settings.
const (
	DefaultHeartbeatInterval  = 500 * time.Millisecond
	DefaultHeartbeatTimeout   = 2500 * time.Millisecond
	DefaultRemoveAfter        = 10 * time.Minute
	DefaultBackendRetryDelay  = 5 * time.Second
	DefaultPeersPerRemoteZone = 4
)

// Settings identify this instance and configure its heartbeats. Durations and
// counts that are 0 get their defaults.
type Settings struct {
	Instance id.Instance
	Zone     id.Zone
	Address  string // host:port at which the other instances reach this one

	HeartbeatInterval  time.Duration // time between two heartbeats
	HeartbeatTimeout   time.Duration // an instance without a heartbeat for this time is dead
	RemoveAfter        time.Duration // a name that is off the list for this time is removed
	BackendRetryDelay  time.Duration // time until a backend server that is down is tried again
	PeersPerRemoteZone int           // number of instances of each other zone that get heartbeats
}

func (s Settings) withDefaults() Settings {
	s.HeartbeatInterval = cmp.Or(s.HeartbeatInterval, DefaultHeartbeatInterval)
	s.HeartbeatTimeout = cmp.Or(s.HeartbeatTimeout, DefaultHeartbeatTimeout)
	s.RemoveAfter = cmp.Or(s.RemoveAfter, DefaultRemoveAfter)
	s.BackendRetryDelay = cmp.Or(s.BackendRetryDelay, DefaultBackendRetryDelay)
	s.PeersPerRemoteZone = cmp.Or(s.PeersPerRemoteZone, DefaultPeersPerRemoteZone)
	return s
}

// peer is another instance.
type peer struct {
	zone            id.Zone
	address         string
	leaving         bool
	alive           bool
	lastSeenAt      clock.Time // last time that the list or another source named it
	lastHeartbeatAt clock.Time // time of the last heartbeat; set if hasHeartbeat
	hasHeartbeat    bool       // a heartbeat was received
	lastHeartbeat   message.Heartbeat
}

// Membership implements process.Members and process.Machine.
type Membership struct {
	settings      Settings
	check         *invariant.Checker
	ownHeartbeat  message.Heartbeat
	peers         map[id.Instance]*peer
	servers       servers
	hasTicked     bool
	lastTick      clock.Time
	nextHeartbeat clock.Time

	// liveByZone and live cache the sorted results of InZone and Live until
	// liveStale is set. The slices are never modified once they are built.
	liveByZone map[id.Zone][]id.Instance
	live       []id.Instance
	liveStale  bool
}

// New returns the membership of an instance that knows no others yet.
func New(s Settings, check *invariant.Checker) *Membership {
	s = s.withDefaults()
	return &Membership{
		settings:     s,
		check:        check,
		ownHeartbeat: message.Heartbeat{Zone: s.Zone, Address: s.Address},
		peers:        make(map[id.Instance]*peer),
		servers:      newServers(s),
		liveStale:    true,
	}
}

// SetOwnState sets the contents of this instance's heartbeats: its active
// configuration version, whether it is leaving, its session's fencing number and
// the time since it last reached the table.
func (m *Membership) SetOwnState(version id.ConfigVersion, leaving bool, fencing id.Fencing, tableAge time.Duration) {
	if leaving != m.ownHeartbeat.Leaving {
		m.liveStale = true
	}
	m.ownHeartbeat.Version, m.ownHeartbeat.Leaving, m.ownHeartbeat.Fencing, m.ownHeartbeat.TableAge = version, leaving, fencing, tableAge
}

// Tick sends the heartbeats that are due and detects dead instances.
func (m *Membership) Tick(now clock.Time, out *event.Outbox) {
	m.extendAfterPause(now)
	m.hasTicked, m.lastTick = true, now
	if now.Before(m.nextHeartbeat) {
		return
	}
	m.nextHeartbeat = now.Add(m.settings.HeartbeatInterval)
	m.removeSilentPeers(now)
	m.sendHeartbeats(out)
}

// Next returns when the next heartbeat is due.
func (m *Membership) Next() clock.Time { return m.nextHeartbeat }

// extendAfterPause gives every live peer two heartbeat intervals to send a
// heartbeat after this instance itself was paused. Otherwise a resumed instance
// would consider all others dead and claim what they own.
func (m *Membership) extendAfterPause(now clock.Time) {
	if !m.hasTicked || now.Sub(m.lastTick) <= 2*m.settings.HeartbeatInterval {
		return
	}
	earliest := now.Add(2*m.settings.HeartbeatInterval - m.settings.HeartbeatTimeout)
	for _, p := range m.peers {
		if p.alive && p.lastHeartbeatAt.Before(earliest) {
			p.lastHeartbeatAt = earliest
		}
	}
}

// removeSilentPeers marks peers without recent heartbeats dead, and removes dead
// peers that have been off the list for long enough.
func (m *Membership) removeSilentPeers(now clock.Time) {
	for name, p := range m.peers {
		if p.alive && now.Sub(p.lastHeartbeatAt) >= m.settings.HeartbeatTimeout {
			p.alive = false
			m.liveStale = true
		}
		if !p.alive && now.Sub(p.lastSeenAt) >= m.settings.RemoveAfter {
			delete(m.peers, name)
		}
	}
}

// sendHeartbeats sends heartbeats to all instances of this zone, and to a few of
// each other zone with a request for a reply.
func (m *Membership) sendHeartbeats(out *event.Outbox) {
	sameZone, otherZones := m.heartbeatTargets()
	m.ownHeartbeat.Seq++
	for _, to := range sameZone {
		out.Send(to, m.ownHeartbeat)
	}
	withReply := m.ownHeartbeat
	withReply.WantReply = true
	for _, z := range sortedZones(otherZones) {
		for _, to := range rendezvous.Rank(string(m.settings.Instance), otherZones[z], m.settings.PeersPerRemoteZone) {
			out.Send(to, withReply)
		}
	}
}

// heartbeatTargets returns the known instances of this zone, sorted, and those of
// the other zones. Dead instances are included unless they were leaving, so that
// zones find one another again after a network partition.
func (m *Membership) heartbeatTargets() (sameZone []id.Instance, otherZones map[id.Zone][]id.Instance) {
	otherZones = make(map[id.Zone][]id.Instance)
	for _, name := range sortedKeys(m.peers) {
		p := m.peers[name]
		switch {
		case p.leaving && !p.alive:
		case p.zone == m.settings.Zone:
			sameZone = append(sameZone, name)
		default:
			otherZones[p.zone] = append(otherZones[p.zone], name)
		}
	}
	return sameZone, otherZones
}

// HandleMessage handles a heartbeat of another instance and ignores all other
// messages. A delayed or duplicate heartbeat can only make the sender count as
// live for longer.
func (m *Membership) HandleMessage(now clock.Time, from id.Instance, msg message.Message, out *event.Outbox) {
	h, ok := msg.(message.Heartbeat)
	if !ok || from == m.settings.Instance {
		return
	}
	p := m.addPeer(now, from, h.Zone, h.Address)
	// An older heartbeat that arrives late must not clear the leaving mark.
	leaving := p.leaving || h.Leaving
	if !p.alive || leaving != p.leaving {
		m.liveStale = true
	}
	p.alive, p.hasHeartbeat, p.leaving = true, true, leaving
	p.lastHeartbeatAt, p.lastHeartbeat = now, h
	if h.WantReply {
		m.ownHeartbeat.Seq++
		out.Send(from, m.ownHeartbeat)
	}
}

// AddInstance adds an instance that may not be on the list, such as one whose
// session row was read, so that heartbeats are sent to it.
func (m *Membership) AddInstance(now clock.Time, i id.Instance, z id.Zone, address string) {
	if i != m.settings.Instance {
		m.addPeer(now, i, z, address)
	}
}

// addPeer adds or updates the zone and address of a peer.
func (m *Membership) addPeer(now clock.Time, i id.Instance, z id.Zone, address string) *peer {
	p := m.peers[i]
	if p == nil {
		p = &peer{}
		m.peers[i] = p
	}
	if p.zone != z {
		m.liveStale = true
	}
	p.zone, p.address, p.lastSeenAt = z, address, now
	return p
}

// LastHeartbeat returns the last heartbeat of an instance, and whether the
// instance is live.
func (m *Membership) LastHeartbeat(from id.Instance) (message.Heartbeat, bool) {
	p := m.peers[from]
	if p == nil || !p.hasHeartbeat {
		return message.Heartbeat{}, false
	}
	return p.lastHeartbeat, p.alive
}

// AddressOf returns the address of a known instance, or "" if it is unknown.
func (m *Membership) AddressOf(i id.Instance) string {
	if i == m.settings.Instance {
		return m.settings.Address
	}
	if p := m.peers[i]; p != nil {
		return p.address
	}
	return ""
}

// ApplyList updates the membership from a read of the instance list.
func (m *Membership) ApplyList(now clock.Time, l event.InstanceListRead) {
	if len(l.Members) == 0 {
		return // failed read: the list always contains this instance
	}
	for _, e := range l.Members {
		if e.Group == "" && e.Name != string(m.settings.Instance) {
			m.updateListedPeer(now, e)
		}
	}
	m.servers.applyList(now, l.Members)
}

// updateListedPeer updates a peer that is on the list. The zone and address of a
// peer that sent heartbeats are taken from these.
func (m *Membership) updateListedPeer(now clock.Time, e event.Member) {
	i := id.Instance(e.Name)
	p := m.peers[i]
	if p == nil || !p.hasHeartbeat {
		p = m.addPeer(now, i, e.Zone, e.Address)
	}
	p.lastSeenAt = now
	if e.Leaving && !p.leaving {
		p.leaving = true
		m.liveStale = true
	}
}
