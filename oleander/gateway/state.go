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
	// publishInterval is the time between two messages about changes to all
	// instances. Instances that wait for a model are notified at once.
	publishInterval = 100 * time.Millisecond
	// serversPerMessage bounds one datagram to a few kilobytes.
	serversPerMessage = 20
	// departureRepeatPeriod is how long the departure of a server is repeated in
	// every message. When such a datagram was lost, requests went to the server until
	// the next full republication 2 s later.
	departureRepeatPeriod = 600 * time.Millisecond
	// goneRepeatPeriod is how long a removed server is listed in messages.
	goneRepeatPeriod = 5 * time.Second
)

// serverPublisher is the publishing state of a lease holder.
type serverPublisher struct {
	published   map[string]serverMsg // last published state by server
	pending     map[string]serverMsg // changes not yet sent to all instances
	flushedAt   clock.Time
	republisher republisher
	forecastAt  clock.Time // last forecast sent
	// readFencing is the value of serversReadFencing at the last publication.
	readFencing int64
	gone        map[string]goneServer
	departures  map[string]clock.Time // servers that began to drain or are gone
}

// goneServer is a server that is gone as of a store revision.
type goneServer struct {
	goneAt   clock.Time
	revision revision.Revision
}

// recentlyLeft reports whether a server began to drain or was removed within
// departureRepeatPeriod.
func (p *serverPublisher) recentlyLeft(now clock.Time, id string) bool {
	at, ok := p.departures[id]
	return ok && now.Sub(at) < departureRepeatPeriod
}

// anyRecentlyLeft reports whether recentlyLeft holds for any server, and forgets
// older departures.
func (p *serverPublisher) anyRecentlyLeft(now clock.Time) bool {
	for id := range p.departures {
		if !p.recentlyLeft(now, id) {
			delete(p.departures, id)
		}
	}
	return len(p.departures) > 0
}

func newServerPublisher() serverPublisher {
	return serverPublisher{published: make(map[string]serverMsg), pending: make(map[string]serverMsg), gone: make(map[string]goneServer), departures: make(map[string]clock.Time)}
}

// outgoing is a message with its recipients.
type outgoing struct {
	message
	recipients []recipient
}

// publishServers applies the models known to the placer to the local directory and
// returns the messages for other instances. The caller holds mu.
func (g *Gateway) publishServers(now clock.Time) []outgoing {
	p := &g.publisher
	ids := g.servers.IDs()
	batch := p.republisher.next(now, ids, p.readFencing != g.serversReadFencing)
	p.readFencing = g.serversReadFencing
	var changed []serverMsg
	for i, id := range ids {
		m := g.serverMessage(now, g.servers.Get(id))
		old, wasPublished := p.published[id]
		repeated := batch.contains(i)
		if wasPublished && !repeated && sameServer(old, m) && !p.recentlyLeft(now, id) {
			continue
		}
		if m.Info != nil && m.Info.Leaving && !(wasPublished && old.Info != nil && old.Info.Leaving) {
			p.departures[id] = now
		}
		p.published[id] = m
		if wasPublished && !repeated && !p.recentlyLeft(now, id) && m.Info != nil && sameInfo(old.Info, m.Info) {
			// Only its models changed. Keep an unsent change of the server itself.
			m.Info = p.pending[id].Info
		}
		p.pending[id] = m
		changed = append(changed, m)
	}
	if len(changed) > 0 {
		g.wakeWaiting()
	}
	if !batch.due && now.Sub(p.flushedAt) < publishInterval {
		return g.publishToWaiting(now, changed)
	}
	p.flushedAt = now
	return g.publishToAll(now, batch.due && batch.from == 0)
}

// serverMessage describes a server and its models. The caller holds mu.
func (g *Gateway) serverMessage(now clock.Time, s *directory.Server) serverMsg {
	m := serverMsg{Server: s.ID, Incarnation: s.Incarnation, Info: serverInfo(now, s), software: &s.Software}
	if g.serversStale(now) && !s.Draining {
		m.Info = nil // instances that reach the store know the servers better
	}
	incarnation, loaded, ok := g.placer.UsableModels(now, s.ID)
	if !ok || incarnation != s.Incarnation {
		return m
	}
	g.servers.SetLoadedModels(now, s.ID, incarnation, loaded)
	m.Engine = true
	for _, h := range loaded {
		m.Models = append(m.Models, modelMsg{Model: h.Model, Adapters: h.Adapters})
	}
	return m
}

// serverInfo describes a server without its models.
func serverInfo(now clock.Time, s *directory.Server) *infoMsg {
	return &infoMsg{
		Address: s.Address, Zone: s.Zone, Group: s.Group, Slots: s.Slots, Leaving: s.Draining, ColdMS: s.ColdRemaining(now).Milliseconds(),
		Era: s.Revision.Era, Version: s.Revision.Version,
	}
}

func sameServer(a, b serverMsg) bool {
	return a.Incarnation == b.Incarnation && a.Engine == b.Engine && sameInfo(a.Info, b.Info) &&
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
	// The remaining cold time and the revision alone are no reason to publish;
	// republication updates them.
	x.ColdMS, x.Era, x.Version = y.ColdMS, y.Era, y.Version
	return x == y
}

// publishToWaiting sends changes at once to the instances that wait for one of the
// models.
func (g *Gateway) publishToWaiting(now clock.Time, changed []serverMsg) []outgoing {
	if len(changed) == 0 {
		return nil
	}
	changedModels := make(map[string]bool)
	for _, s := range changed {
		for _, m := range s.Models {
			changedModels[m.Model] = true
		}
	}
	var to []recipient
	for name, peer := range g.peerStates {
		m := g.members.Get(name)
		if m != nil && m.Live(now) && slices.ContainsFunc(peer.demand, func(d demandMsg) bool { return changedModels[d.Model] }) {
			to = append(to, g.recipient(m))
		}
	}
	if len(to) == 0 {
		return nil
	}
	var out []outgoing
	for _, m := range g.stateMessages(changed, nil, nil) {
		out = append(out, outgoing{message: m, recipients: to})
	}
	return out
}

// publishToAll sends pending changes and republished servers to all instances. With
// listAll it also lists all servers; receivers drop those not listed.
func (g *Gateway) publishToAll(now clock.Time, listAll bool) []outgoing {
	p := &g.publisher
	var servers []serverMsg
	for _, id := range sortedNames(p.pending) {
		servers = append(servers, p.pending[id])
	}
	var gone []goneMsg
	for id, s := range p.gone {
		if now.Sub(s.goneAt) > goneRepeatPeriod {
			delete(p.gone, id)
			continue
		}
		gone = append(gone, goneMsg{Server: id, Era: s.revision.Era, Version: s.revision.Version})
	}
	var out []outgoing
	clear(p.pending)
	if len(servers) == 0 && !p.anyRecentlyLeft(now) {
		return nil
	}
	var listed []string
	if listAll && g.serversReadFencing == g.fleetLease.Fencing() && !g.serversStale(now) {
		listed = g.servers.IDs()
	}
	for _, m := range g.stateMessages(servers, gone, listed) {
		out = append(out, g.broadcast(now, m, g.members.All(now), true)...)
	}
	return out
}

// stateMessages encodes servers in batches of serversPerMessage.
func (g *Gateway) stateMessages(servers []serverMsg, gone []goneMsg, listed []string) []message {
	var messages []message
	for first := true; first || len(servers) > 0; first = false {
		part := servers[:min(serversPerMessage, len(servers))]
		servers = servers[len(part):]
		messages = append(messages, g.encode(packet{StateSoftware: softwareOf(part), State: &stateMsg{
			Name: g.settings.Name, Fencing: g.planFencing(), Servers: part, Gone: gone, ServerIDs: listed, Zone: g.planZone(),
		}}))
		listed = nil // only in the first message
	}
	return messages
}

// planZone is the zone that this instance plans for; "" means the fleet.
func (g *Gateway) planZone() string {
	if g.planScope == placer.ScopeZone {
		return g.settings.Zone
	}
	return ""
}

// planFencing is the fencing number of the lease under which this instance plans.
func (g *Gateway) planFencing() int64 {
	if g.planScope == placer.ScopeZone {
		return g.zoneLease.Fencing()
	}
	return g.fleetLease.Fencing()
}

// handleState handles a lease holder's message about the backend servers. The caller
// holds mu.
func (g *Gateway) handleState(now clock.Time, s *stateMsg) {
	if s.Zone != "" {
		g.handleZoneState(now, s)
		return
	}
	if s.Fencing < g.fleetHolder.fencing || s.Name == g.settings.Name {
		return
	}
	g.fleetHolder.publishedAt = now
	for _, m := range s.Gone {
		at := revision.Revision{Era: m.Era, Version: m.Version}
		if known := g.servers.Get(m.Server); known != nil && !at.Before(known.Revision) {
			g.removeServer(now, m.Server, at)
		}
	}
	for _, m := range s.Servers {
		g.applyServer(now, m)
	}
	if s.ServerIDs != nil {
		g.removeUnlisted(now, s.ServerIDs)
		g.serverListFencing = s.Fencing
	}
	if len(g.localDemand) > 0 {
		g.wakeWaiting()
	}
}

// removeUnlisted removes the servers missing from the holder's list: they left before
// it took the lease, and its predecessor may not have announced it. They are not
// remembered as gone, since this instance may have learned of a new server before the
// holder did. The caller holds mu.
func (g *Gateway) removeUnlisted(now clock.Time, listed []string) {
	present := make(map[string]bool, len(listed))
	for _, id := range listed {
		present[id] = true
	}
	for _, id := range g.servers.IDs() {
		if !present[id] && !g.servers.Get(id).RecentlyUpdated(now) {
			g.servers.Remove(now, id)
			g.lapse.Forget(id)
			g.serversDoubtful, g.serversOffered = true, false
			g.log.Info().Str("server", id).Msg("servers: gone, not listed by the lease holder")
		}
	}
}

// applyServer applies a lease holder's description of one server. The caller holds
// mu.
func (g *Gateway) applyServer(now clock.Time, m serverMsg) {
	old := g.servers.Get(m.Server)
	removed, gone := g.removedServers[m.Server]
	if gone && m.Incarnation <= removed.incarnation && (m.Info == nil || !removed.goneRevision.Before(m.Info.revision())) {
		return // it is gone, and the sender does not know yet
	}
	if i := m.Info; i != nil && (old == nil || old.Incarnation < m.Incarnation || i.Leaving && !old.Draining && old.Incarnation == m.Incarnation) {
		g.putServer(now, directory.Entry{
			ID: m.Server, Incarnation: m.Incarnation, Address: i.Address, Zone: i.Zone, Group: i.Group, Slots: i.Slots, Draining: i.Leaving, Revision: i.revision(),
			Software: m.softwareAfter(old),
		})
	}
	if m.software != nil {
		g.servers.SetSoftware(now, m.Server, m.Incarnation, *m.software)
	}
	if m.Info != nil {
		g.servers.MarkCold(now, m.Server, m.Incarnation, time.Duration(m.Info.ColdMS)*time.Millisecond)
	}
	if !m.Engine {
		return
	}
	loaded := make([]directory.LoadedModel, 0, len(m.Models))
	for _, h := range m.Models {
		loaded = append(loaded, directory.LoadedModel{Model: h.Model, Adapters: h.Adapters})
	}
	g.servers.SetLoadedModels(now, m.Server, m.Incarnation, loaded)
}
