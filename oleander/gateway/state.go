package gateway

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/core/gateway/revision"
)

const (
	// flushEvery is the time between two messages of changes to all instances.
	// One that waits for a model is told of it at once.
	flushEvery = 100 * time.Millisecond
	// serversPerState bounds one datagram to some kilobytes.
	serversPerState = 20
	// leftAgain is how long it is told again and again that a server leaves: a
	// datagram may be lost, and requests went to such a server until everything was
	// told again, two seconds later.
	leftAgain = 600 * time.Millisecond
	// goneFor is how long a server that left is named.
	goneFor = 5 * time.Second
)

// publisher is what the holder of the lease has told.
type publisher struct {
	told     map[string]serverMsg // by server, as told last
	pending  map[string]serverMsg // changed, not yet told to all
	flushed  clock.Time
	repeats  repeats
	forecast clock.Time // last told
	// readUnder is the fencing number under which the servers were read when
	// everything was told last.
	readUnder int64
	gone      map[string]goneServer
	left      map[string]clock.Time // servers that began to leave, or are gone
}

// goneServer is a server that left, up to a revision of the store.
type goneServer struct {
	at   clock.Time
	last revision.Revision
}

// leftOfLate reports whether a server began to leave, or left, a moment ago.
func (p *publisher) leftOfLate(now clock.Time, id string) bool {
	at, ok := p.left[id]
	return ok && now.Sub(at) < leftAgain
}

// anyLeftOfLate reports that of any server, and forgets the others.
func (p *publisher) anyLeftOfLate(now clock.Time) bool {
	for id := range p.left {
		if !p.leftOfLate(now, id) {
			delete(p.left, id)
		}
	}
	return len(p.left) > 0
}

func newPublisher() publisher {
	return publisher{told: make(map[string]serverMsg), pending: make(map[string]serverMsg), gone: make(map[string]goneServer), left: make(map[string]clock.Time)}
}

// outgoing is one message with those that it goes to.
type outgoing struct {
	message
	to []recipient
}

// publish puts what the placer knows into the own directory, and returns what
// the others are to be told. The caller holds mu.
func (g *Gateway) publish(now clock.Time) []outgoing {
	p := &g.publisher
	ids := g.dir.IDs()
	again := p.repeats.next(now, ids, p.readUnder != g.readUnder)
	p.readUnder = g.readUnder
	var changed []serverMsg
	for i, id := range ids {
		m := g.describe(now, g.dir.Get(id))
		old, told := p.told[id]
		repeated := again.has(i)
		if told && !repeated && sameServer(old, m) && !p.leftOfLate(now, id) {
			continue
		}
		if m.Info != nil && m.Info.Leaving && !(told && old.Info != nil && old.Info.Leaving) {
			p.left[id] = now
		}
		p.told[id] = m
		if told && !repeated && !p.leftOfLate(now, id) && m.Info != nil && sameInfo(old.Info, m.Info) {
			// Only its models changed; what it is may wait to be told, though.
			m.Info = p.pending[id].Info
		}
		p.pending[id] = m
		changed = append(changed, m)
	}
	if len(changed) > 0 {
		g.wake()
	}
	if !again.due && now.Sub(p.flushed) < flushEvery {
		return g.tellWaiting(now, changed)
	}
	p.flushed = now
	return g.tellAll(now, again.due && again.from == 0)
}

// describe says what a server is and holds. The caller holds mu.
func (g *Gateway) describe(now clock.Time, s *directory.Server) serverMsg {
	m := serverMsg{Server: s.ID, Born: s.Born, Info: infoOf(now, s)}
	if g.blind(now) && !s.Draining {
		m.Info = nil // the others know better who is there
	}
	born, holdings, ok := g.placer.UsableModels(now, s.ID)
	if !ok || born != s.Born {
		return m
	}
	g.dir.SetHoldings(now, s.ID, born, holdings)
	m.Engine = true
	for _, h := range holdings {
		m.Models = append(m.Models, modelMsg{Model: h.Model, Adapters: h.Adapters})
	}
	return m
}

// infoOf returns what a server is.
func infoOf(now clock.Time, s *directory.Server) *infoMsg {
	return &infoMsg{
		Address: s.Address, Zone: s.Zone, Group: s.Group, Slots: s.Slots, Leaving: s.Draining, ColdMS: s.ColdFor(now).Milliseconds(),
		Era: s.At.Era, Version: s.At.Version,
	}
}

func sameServer(a, b serverMsg) bool {
	return a.Born == b.Born && a.Engine == b.Engine && sameInfo(a.Info, b.Info) &&
		slices.EqualFunc(a.Models, b.Models, func(x, y modelMsg) bool {
			return x.Model == y.Model && slices.Equal(x.Adapters, y.Adapters)
		})
}

func sameInfo(a, b *infoMsg) bool {
	if a == nil || b == nil {
		return a == b
	}
	x, y := *a, *b
	if (x.ColdMS > 0) != (y.ColdMS > 0) {
		return false
	}
	// How long it is cold, and when its entry was written, is told again with everything else.
	x.ColdMS, x.Era, x.Version = y.ColdMS, y.Era, y.Version
	return x == y
}

// tellWaiting tells changes at once to the instances that wait for a model.
func (g *Gateway) tellWaiting(now clock.Time, changed []serverMsg) []outgoing {
	if len(changed) == 0 {
		return nil
	}
	holds := make(map[string]bool)
	for _, s := range changed {
		for _, m := range s.Models {
			holds[m.Model] = true
		}
	}
	var to []recipient
	for name, seen := range g.peerSeen {
		m := g.members.Get(name)
		if m != nil && m.Live(now) && slices.ContainsFunc(seen.wants, func(w wantMsg) bool { return holds[w.Model] }) {
			to = append(to, g.recipient(m))
		}
	}
	if len(to) == 0 {
		return nil
	}
	var out []outgoing
	for _, m := range g.stateMessages(changed, nil, nil) {
		out = append(out, outgoing{message: m, to: to})
	}
	return out
}

// tellAll tells all instances what changed or is repeated, and with nameAll also
// which servers there are: those that it doesn't name have left.
func (g *Gateway) tellAll(now clock.Time, nameAll bool) []outgoing {
	p := &g.publisher
	var servers []serverMsg
	for _, id := range sortedNames(p.pending) {
		servers = append(servers, p.pending[id])
	}
	var gone []goneMsg
	for id, s := range p.gone {
		if now.Sub(s.at) > goneFor {
			delete(p.gone, id)
			continue
		}
		gone = append(gone, goneMsg{Server: id, Era: s.last.Era, Version: s.last.Version})
	}
	var out []outgoing
	clear(p.pending)
	if len(servers) == 0 && !p.anyLeftOfLate(now) {
		return nil
	}
	var all []string
	if nameAll && g.readUnder == g.lease.Fencing() && !g.blind(now) {
		all = g.dir.IDs()
	}
	for _, m := range g.stateMessages(servers, gone, all) {
		out = append(out, g.toAll(now, m, g.members.All(now), true)...)
	}
	return out
}

// stateMessages encodes what is told of servers, some of them in each message.
func (g *Gateway) stateMessages(servers []serverMsg, gone []goneMsg, all []string) []message {
	var messages []message
	for first := true; first || len(servers) > 0; first = false {
		part := servers[:min(serversPerState, len(servers))]
		servers = servers[len(part):]
		messages = append(messages, g.encode(packet{State: &stateMsg{
			Name: g.set.Name, Fencing: g.planFencing(), Servers: part, Gone: gone, All: all, Zone: g.planZone(),
		}}))
		all = nil // once is enough
	}
	return messages
}

// planZone is the zone for which alone this instance plans; "": for all.
func (g *Gateway) planZone() string {
	if g.scope == placer.ScopeZone {
		return g.set.Zone
	}
	return ""
}

// planFencing is the fencing number of the lease under which this instance plans.
func (g *Gateway) planFencing() int64 {
	if g.scope == placer.ScopeZone {
		return g.zoneLease.Fencing()
	}
	return g.lease.Fencing()
}

// takeState takes what the holder of the lease says of the backend servers.
func (g *Gateway) takeState(now clock.Time, s *stateMsg) {
	if s.Zone != "" {
		g.takeZoneState(now, s)
		return
	}
	if s.Fencing < g.holder.fencing || s.Name == g.set.Name {
		return
	}
	g.holder.told = now
	for _, m := range s.Gone {
		last := revision.Revision{Era: m.Era, Version: m.Version}
		if known := g.dir.Get(m.Server); known != nil && !last.Before(known.At) {
			g.drop(now, m.Server, last)
		}
	}
	for _, m := range s.Servers {
		g.takeServer(now, m)
	}
	if s.All != nil {
		g.dropUnnamed(now, s.All)
		g.toldUnder = s.Fencing
	}
	if len(g.waits) > 0 {
		g.wake()
	}
}

// dropUnnamed drops the servers that the holder does not know: they left before it
// held the lease, and the holder before may not have told. They are not remembered
// as gone, since one that has just come may be known here first. The caller holds mu.
func (g *Gateway) dropUnnamed(now clock.Time, all []string) {
	for _, id := range g.dir.IDs() {
		if s := g.dir.Get(id); !slices.Contains(all, id) && !s.Recent(now) {
			g.dir.Remove(id)
			g.lapse.Forget(id)
			g.log.Info().Str("server", id).Msg("servers: gone, by the holder's list")
		}
	}
}

// takeServer takes what the holder says of one server.
func (g *Gateway) takeServer(now clock.Time, m serverMsg) {
	old := g.dir.Get(m.Server)
	left, gone := g.removed[m.Server]
	if gone && m.Born <= left.born && (m.Info == nil || !left.last.Before(m.Info.revision())) {
		return // it left, and whoever says otherwise has not heard of it
	}
	if i := m.Info; i != nil && (old == nil || old.Born < m.Born || i.Leaving && !old.Draining && old.Born == m.Born) {
		g.putServer(now, directory.Entry{
			ID: m.Server, Born: m.Born, Address: i.Address, Zone: i.Zone, Group: i.Group, Slots: i.Slots, Draining: i.Leaving, At: i.revision(),
		})
	}
	if m.Info != nil {
		g.dir.SetCold(now, m.Server, m.Born, time.Duration(m.Info.ColdMS)*time.Millisecond)
	}
	if !m.Engine {
		return
	}
	holdings := make([]directory.Holding, 0, len(m.Models))
	for _, h := range m.Models {
		holdings = append(holdings, directory.Holding{Model: h.Model, Adapters: h.Adapters})
	}
	g.dir.SetHoldings(now, m.Server, m.Born, holdings)
}
