package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/links"
	"oleanderdale.org/oleander/connection/rawhttp"
	"oleanderdale.org/oleander/process/boottime"
)

// heardMemory is how long it is known when a server sent something last.
const heardMemory = time.Minute

// serverStart is one start of a backend server.
type serverStart struct {
	server      string
	incarnation int64
}

// serverLinks are this instance's own links to the backend servers. Its mutex may be locked
// while Gateway.mu is held, but not the reverse.
type serverLinks struct {
	mu      sync.Mutex
	monitor links.Monitor
	chooser *links.Chooser
	// waiting are the attempts on own links that another server may repeat.
	waiting map[*rawhttp.Conn]*exchange
	relayed int // connections relayed for other instances
	// heardAt is when each start of a server sent something last, on any connection.
	heardAt map[serverStart]clock.Time
}

func newServerLinks() *serverLinks {
	return &serverLinks{chooser: links.NewChooser(), waiting: make(map[*rawhttp.Conn]*exchange), heardAt: make(map[serverStart]clock.Time)}
}

// cut reports whether no server can be reached on an own link.
func (l *serverLinks) cut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, cut := l.monitor.Cut()
	return cut
}

// sound reports whether the own links can be relied on.
func (l *serverLinks) sound(now clock.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.monitor.Sound(now)
}

func (l *serverLinks) sent(now clock.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.monitor.Sent(now)
}

// await registers an attempt that a cut ends. It reports whether there is a cut already.
func (l *serverLinks) await(c *rawhttp.Conn, x *exchange) (cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, cut := l.monitor.Cut(); cut {
		return true
	}
	l.waiting[c] = x
	return false
}

// done removes an attempt, if it is registered. From then on, no cut sets its exchange's
// linkFailed. Another exchange may use the connection already.
func (l *serverLinks) done(c *rawhttp.Conn, x *exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting[c] == x {
		delete(l.waiting, c)
	}
}

// serverHeard records a sign of a server.
func (g *Gateway) serverHeard(t target, c *rawhttp.Conn) {
	g.links.mu.Lock()
	now := boottime.Now()
	g.links.heardAt[t.start()] = now
	ended := !c.Indirect && g.links.monitor.Heard(now)
	g.links.mu.Unlock()
	if ended {
		g.logLinks(false)
	}
}

// lastHeard returns when each start of a server sent something last, and forgets those silent for long.
func (l *serverLinks) lastHeard(now clock.Time) map[serverStart]clock.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.heardAt, func(_ serverStart, at clock.Time) bool { return now.Sub(at) > heardMemory })
	return maps.Clone(l.heardAt)
}

func (g *Gateway) logLinks(cut bool) {
	if cut {
		g.metrics.linkCuts.Inc()
		g.log.Warn().Msg("links: no path to any server, connecting through other instances")
		return
	}
	g.log.Info().Msg("links: servers are reached again")
}

// checkLinks probes the links if requests wait without a sign of any server.
func (g *Gateway) checkLinks(now clock.Time) {
	g.links.mu.Lock()
	due := g.links.monitor.ProbeDue(now)
	g.links.mu.Unlock()
	if due {
		go g.probeLinks(now)
	}
}

// probeLinks connects to some servers at once.
func (g *Gateway) probeLinks(began clock.Time) {
	addresses := g.probeAddresses(began)
	ctx, cancel := context.WithTimeout(g.ctx, links.ProbeTimeout)
	defer cancel()
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() {
			c, err := g.pool.Dial(ctx, address)
			if err == nil {
				g.metrics.connections.Inc()
				_ = c.Close()
			}
			results <- err == nil
		}()
	}
	reached := false
	for range addresses {
		if <-results {
			reached = true
			break
		}
	}
	now := boottime.Now()
	g.links.mu.Lock()
	changed := g.links.monitor.ProbeEnded(now, began, reached || len(addresses) == 0)
	since, cut := g.links.monitor.Cut()
	g.links.mu.Unlock()
	if !changed {
		return
	}
	g.logLinks(cut)
	if cut {
		g.leaveOwnLinks(now, since)
	}
}

// probeAddresses returns the addresses of some usable servers, in different zones if possible.
func (g *Gateway) probeAddresses(now clock.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	ids := g.servers.IDs()
	zones := make(map[string]bool)
	var first, others []string
	for _, i := range rand.Perm(len(ids)) {
		s := g.servers.Get(ids[i])
		switch {
		case s.Draining || s.ZoneClosed():
		case zones[s.Zone]:
			others = append(others, s.Address)
		default:
			zones[s.Zone] = true
			first = append(first, s.Address)
		}
	}
	all := append(first, others...)
	return all[:min(len(all), links.ProbedServers)]
}

// leaveOwnLinks ends the attempts that wait on own links and can be repeated, drops the idle
// connections, and takes back what broken links said of the servers since the cut began.
func (g *Gateway) leaveOwnLinks(now, since clock.Time) {
	g.links.mu.Lock()
	waiting := maps.Clone(g.links.waiting)
	for _, x := range waiting {
		x.linkFailed = true
	}
	g.links.mu.Unlock()
	g.pool.DropIdle()
	for c := range waiting {
		c.Abort()
	}
	g.mu.Lock()
	if taken := g.poison.RecordLinkFailure(now, since); taken > 0 {
		g.log.Warn().Int("servers", taken).Int64("lag_ms", g.lag.Since(now, since).Milliseconds()).Msg("crashes: breaks since the links failed are no crashes")
	}
	g.servers.ForgetUnreachable()
	g.wakeWaiting()
	g.mu.Unlock()
}

// linksMsg tells other instances of the sender's links to servers. It is a map, so that later
// versions can add fields; an instance that is not cut off and relays nothing sends none.
type linksMsg struct {
	Cut     bool `cbor:"1,keyasint,omitempty"`
	Relayed int  `cbor:"2,keyasint,omitempty"` // connections that it relays
}

func (g *Gateway) linksMessage() *linksMsg {
	g.links.mu.Lock()
	defer g.links.mu.Unlock()
	_, cut := g.links.monitor.Cut()
	if !cut && g.links.relayed == 0 {
		return nil
	}
	return &linksMsg{Cut: cut, Relayed: g.links.relayed}
}

// handleLinks records the links of another instance. The caller holds mu.
func (g *Gateway) handleLinks(now clock.Time, b *heartbeatMsg, m *linksMsg) {
	peer := g.peerStateOf(b.Name, b.Incarnation)
	peer.links = linksMsg{}
	if m != nil {
		peer.links = *m
	}
	if peer.links.Cut && b.ZoneAnnouncement == nil && b.Zone == g.settings.Zone && g.zoneHolders[b.Zone].name == b.Name {
		g.zoneLease.HandleHolderStopping(now) // it leaves the lease to others
	}
	g.links.mu.Lock()
	g.links.chooser.Reported(b.Name)
	g.links.mu.Unlock()
}

// yieldsOrders reports whether this instance leaves the orders of its zone to another one: it
// reaches no engine, and the other one is not known to be cut off, too. Orders are never
// relayed: they would come from two machines. The caller holds mu.
func (g *Gateway) yieldsOrders(now clock.Time) bool {
	if !g.links.cut() {
		return false
	}
	for _, m := range g.members.All(now) {
		peer := g.peerStates[m.Name]
		if m.Zone == g.settings.Zone && m.Live(now) && !m.Leaving && peer != nil && !peer.links.Cut {
			return true
		}
	}
	return false
}

// linkOutcome returns what the end of an attempt says about its server: nothing if the
// instance's own link failed.
func (x *exchange) linkOutcome(c *rawhttp.Conn, o directory.Outcome) directory.Outcome {
	if x.linkFailed || !c.Indirect && x.g.links.cut() {
		return directory.Neutral
	}
	return o
}
