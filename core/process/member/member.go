// Package member keeps track of who is there: the other instances, from their
// heartbeats, and the backend servers, from the platform's instance list and
// from what the other parts of the instance saw of them.
//
// The list lags and its readings may arrive out of order. It names instances
// to greet, but only a heartbeat shows that one lives. A sign that somebody is
// leaving is kept until the name has been off the list for a long time.
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

// The defaults of Settings.
const (
	DefaultPeriod       = 500 * time.Millisecond
	DefaultDeadAfter    = 2500 * time.Millisecond
	DefaultForgetAfter  = 10 * time.Minute
	DefaultBackendRetry = 5 * time.Second
	DefaultPeersPerZone = 4
)

// Settings says who this instance is and how it keeps in touch. A zero
// duration or count stands for its default.
type Settings struct {
	Instance id.Instance
	Zone     id.Zone
	Address  string // host:port at which the other instances reach this one

	Period       time.Duration // between two heartbeats
	DeadAfter    time.Duration // an instance that is silent for so long is dead
	ForgetAfter  time.Duration // a name that is off the list for so long is unknown again
	BackendRetry time.Duration // a backend server that is down is tried again after it
	PeersPerZone int           // instances of each other zone that get heartbeats
}

func (s Settings) withDefaults() Settings {
	s.Period = cmp.Or(s.Period, DefaultPeriod)
	s.DeadAfter = cmp.Or(s.DeadAfter, DefaultDeadAfter)
	s.ForgetAfter = cmp.Or(s.ForgetAfter, DefaultForgetAfter)
	s.BackendRetry = cmp.Or(s.BackendRetry, DefaultBackendRetry)
	s.PeersPerZone = cmp.Or(s.PeersPerZone, DefaultPeersPerZone)
	return s
}

// peer is another instance.
type peer struct {
	zone     id.Zone
	address  string
	leaving  bool
	alive    bool
	known    clock.Time // last time that the list or somebody else named it
	heard    clock.Time // last heartbeat
	everSeen bool       // whether heard means anything
	last     message.Heartbeat
}

// Membership implements process.Members and process.Machine.
type Membership struct {
	set     Settings
	check   *invariant.Checker
	own     message.Heartbeat
	peers   map[id.Instance]*peer
	servers servers
	ticked  bool
	tick    clock.Time // last Tick
	due     clock.Time // next heartbeat

	// view holds the sorted answers of Live and InZone until one of them
	// changes. Its slices are never changed once made.
	view  map[id.Zone][]id.Instance
	live  []id.Instance
	stale bool
}

// New returns the membership of an instance that knows nobody yet.
func New(s Settings, check *invariant.Checker) *Membership {
	s = s.withDefaults()
	return &Membership{
		set:     s,
		check:   check,
		own:     message.Heartbeat{Zone: s.Zone, Address: s.Address},
		peers:   make(map[id.Instance]*peer),
		servers: newServers(s),
		stale:   true,
	}
}

// SetSelf fills the own heartbeat: the configuration version in force, whether
// this instance is leaving, its session's fencing number and the time since it
// last reached the table.
func (m *Membership) SetSelf(version id.ConfigVersion, leaving bool, fencing id.Fencing, tableAge time.Duration) {
	if leaving != m.own.Leaving {
		m.stale = true
	}
	m.own.Version, m.own.Leaving, m.own.Fencing, m.own.TableAge = version, leaving, fencing, tableAge
}

// Tick sends the heartbeats that are due and finds the dead.
func (m *Membership) Tick(now clock.Time, out *event.Outbox) {
	m.allowForPause(now)
	m.ticked, m.tick = true, now
	if now.Before(m.due) {
		return
	}
	m.due = now.Add(m.set.Period)
	m.removeDead(now)
	m.sendHeartbeats(out)
}

// Next returns when the next heartbeat is due.
func (m *Membership) Next() clock.Time { return m.due }

// allowForPause gives every living peer two periods to be heard again after this
// instance itself was paused. Without it a resumed instance takes all others
// for dead and, alone in its view, claims what is theirs.
func (m *Membership) allowForPause(now clock.Time) {
	if !m.ticked || now.Sub(m.tick) <= 2*m.set.Period {
		return
	}
	grace := now.Add(2*m.set.Period - m.set.DeadAfter)
	for _, p := range m.peers {
		if p.alive && p.heard.Before(grace) {
			p.heard = grace
		}
	}
}

func (m *Membership) removeDead(now clock.Time) {
	for name, p := range m.peers {
		if p.alive && now.Sub(p.heard) >= m.set.DeadAfter {
			p.alive = false
			m.stale = true
		}
		if !p.alive && now.Sub(p.known) >= m.set.ForgetAfter {
			delete(m.peers, name)
		}
	}
}

func (m *Membership) sendHeartbeats(out *event.Outbox) {
	own, zones := m.targets()
	m.own.Seq++
	for _, to := range own {
		out.Send(to, m.own)
	}
	greeting := m.own
	greeting.WantReply = true
	for _, z := range sortedZones(zones) {
		for _, to := range rendezvous.Rank(string(m.set.Instance), zones[z], m.set.PeersPerZone) {
			out.Send(to, greeting)
		}
	}
}

// targets returns the known instances of this zone, sorted, and those of the
// other zones. The dead among them are greeted too: a zone that was cut off
// comes back this way.
func (m *Membership) targets() (own []id.Instance, others map[id.Zone][]id.Instance) {
	others = make(map[id.Zone][]id.Instance)
	for _, name := range sortedKeys(m.peers) {
		p := m.peers[name]
		switch {
		case p.leaving && !p.alive:
		case p.zone == m.set.Zone:
			own = append(own, name)
		default:
			others[p.zone] = append(others[p.zone], name)
		}
	}
	return own, others
}

// Peer takes in a message from another instance; all but heartbeats are left
// to others. A heartbeat that is late or doubled can only make the sender seem
// alive for longer.
func (m *Membership) Peer(now clock.Time, from id.Instance, msg message.Message, out *event.Outbox) {
	h, ok := msg.(message.Heartbeat)
	if !ok || from == m.set.Instance {
		return
	}
	p := m.introduce(now, from, h.Zone, h.Address)
	// A reordered older heartbeat must not clear the first sign of leaving.
	leaving := p.leaving || h.Leaving
	if !p.alive || leaving != p.leaving {
		m.stale = true
	}
	p.alive, p.everSeen, p.leaving = true, true, leaving
	p.heard, p.last = now, h
	if h.WantReply {
		m.own.Seq++
		out.Send(from, m.own)
	}
}

// Introduce names an instance that is not on the list, for instance one whose
// session row was read, so that it gets heartbeats and can answer.
func (m *Membership) Introduce(now clock.Time, i id.Instance, z id.Zone, address string) {
	if i != m.set.Instance {
		m.introduce(now, i, z, address)
	}
}

func (m *Membership) introduce(now clock.Time, i id.Instance, z id.Zone, address string) *peer {
	p := m.peers[i]
	if p == nil {
		p = &peer{}
		m.peers[i] = p
	}
	if p.zone != z {
		m.stale = true
	}
	p.zone, p.address, p.known = z, address, now
	return p
}

// Heard returns the last heartbeat of an instance, and whether it is alive.
func (m *Membership) Heard(from id.Instance) (message.Heartbeat, bool) {
	p := m.peers[from]
	if p == nil || !p.everSeen {
		return message.Heartbeat{}, false
	}
	return p.last, p.alive
}

// AddressOf returns the address of a known instance, else "".
func (m *Membership) AddressOf(i id.Instance) string {
	if i == m.set.Instance {
		return m.set.Address
	}
	if p := m.peers[i]; p != nil {
		return p.address
	}
	return ""
}

// List takes in a reading of the instance list.
func (m *Membership) List(now clock.Time, l event.InstanceListRead) {
	if len(l.Members) == 0 {
		return // no reading: this instance itself would be on it
	}
	for _, e := range l.Members {
		if e.Group == "" && e.Name != string(m.set.Instance) {
			m.listPeer(now, e)
		}
	}
	m.servers.list(now, l.Members)
}

func (m *Membership) listPeer(now clock.Time, e event.Member) {
	i := id.Instance(e.Name)
	p := m.peers[i]
	if p == nil || !p.everSeen {
		p = m.introduce(now, i, e.Zone, e.Address)
	}
	p.known = now
	if e.Leaving && !p.leaving {
		p.leaving = true
		m.stale = true
	}
}
