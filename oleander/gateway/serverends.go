package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/poison"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// silencePingTimeout is how long a server has to answer that is silent to all instances.
	silencePingTimeout = 400 * time.Millisecond
	// silenceAnswers times the heartbeat interval is how long the other instances have to tell that they
	// have heard of a server: the question and the answer go with heartbeats.
	silenceAnswers = 1.5
	// silenceMaxLag is how late an instance may be at most to take what it has not read for silence.
	silenceMaxLag = 200 * time.Millisecond
)

func (m *suspectsMsg) encodeEnds(r poison.Report) {
	for _, start := range r.Asked {
		m.Asked = append(m.Asked, uint64(start))
	}
	for _, h := range r.Heard {
		m.Heard = append(m.Heard, serverAgeMsg{Server: uint64(h.Start), AgeMS: h.Age.Milliseconds()})
	}
}

func (m *suspectsMsg) decodeEnds(r *poison.Report) {
	for _, start := range m.Asked {
		r.Asked = append(r.Asked, poison.Start(start))
	}
	for _, h := range m.Heard {
		r.Heard = append(r.Heard, poison.StartAge{Start: poison.Start(h.Server), Age: millis(h.AgeMS)})
	}
}

// hash identifies a start of a server in messages.
func (s serverStart) hash() poison.Start {
	return poison.Start(xxhash.Sum64String(s.server + "\n" + strconv.FormatInt(s.incarnation, 10)))
}

// beginRun records that the request is about to be sent.
func (x *exchange) beginRun(t target) {
	g := x.g
	until := x.deadline.Add(responseGrace)
	g.mu.Lock()
	defer g.mu.Unlock()
	x.crashesAtSend, _ = g.poison.Suspicion(x.digests[0])
	x.openRun = g.poison.BeginRun(serverHash(t.id), t.start().hash(), x.run(), until)
}

// settleRun records that the outcome of the current attempt is known. The caller holds mu.
func (x *exchange) settleRun() {
	if x.openRun != nil {
		x.g.poison.Settle(x.openRun)
		x.openRun = nil
	}
}

// giveUpRun records that the current attempt ended without a known outcome, if it did.
func (x *exchange) giveUpRun() {
	if x.openRun == nil {
		return
	}
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.poison.GiveUp(boottime.Now(), x.openRun)
	x.openRun = nil
}

// checkSilence looks for servers that ended without a sign. The caller holds mu.
func (g *Gateway) checkSilence(now clock.Time) {
	watched := g.poison.Watched(now)
	if len(watched) == 0 {
		return
	}
	for start, at := range g.links.lastHeard(now) {
		if hash := start.hash(); watched[hash] && g.poison.RecordHeard(now, hash, at) {
			g.logNoEnd(start.server, "heard")
			g.tellCrashesSoon()
		}
	}
	answerTime := time.Duration(silenceAnswers * float64(heartbeatIntervalFor(g.members.Count())))
	silent := g.poison.CheckSilence(now, answerTime)
	if len(silent) == 0 || g.lag.Since(now, now.Add(-time.Second)) > silenceMaxLag || g.links.cut() {
		return
	}
	for _, s := range silent {
		server := g.serverOfStart(s.Start)
		if server == nil || !g.zoneHeard(now, server.Zone) {
			continue
		}
		if path, ok := g.pingPath(server.Group); ok {
			go g.pingSilent(serverStart{server.ID, server.Incarnation}, server.Address, path)
		}
	}
}

// serverOfStart returns the known server with a start, or nil. The caller holds mu.
func (g *Gateway) serverOfStart(start poison.Start) *directory.Server {
	for _, id := range g.servers.IDs() {
		if s := g.servers.Get(id); (serverStart{s.ID, s.Incarnation}).hash() == start {
			return s
		}
	}
	return nil
}

// zoneHeard reports whether an instance of an availability zone is heard, this one included, so that
// the zone is not cut off. The caller holds mu.
func (g *Gateway) zoneHeard(now clock.Time, zone string) bool {
	if zone == g.settings.Zone {
		return true
	}
	silence := time.Duration(silenceFactor * float64(heartbeatIntervalFor(g.members.Count())))
	for _, m := range g.members.All(now) {
		if m.Zone == zone && m.Live(now) && now.Sub(m.LastHeard) <= silence {
			return true
		}
	}
	return false
}

// pingPath returns where a server of a group is asked for a sign of life; false if it has nothing to ask. The
// caller holds mu.
func (g *Gateway) pingPath(groupName string) (path string, ok bool) {
	m := g.manifest.Load()
	if m == nil || m.Groups[groupName] == nil {
		return "", false
	}
	group := m.Groups[groupName]
	if group.Engine != nil {
		return "", true
	}
	return group.HealthPath, group.HealthPath != ""
}

// pingSilent asks a server that is silent to all instances whether it lives.
func (g *Gateway) pingSilent(s serverStart, address, path string) {
	ctx, cancel := context.WithTimeout(g.ctx, silencePingTimeout)
	defer cancel()
	err := g.engines.Ping(ctx, ports.Route{Address: address, Server: s.server}, path)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if err == nil {
		g.poison.RecordHeard(now, s.hash(), now)
		return
	}
	g.logEnd(s, "silent", g.poison.ConfirmEnd(now, s.hash()))
}

// recordStart records what a server's entry says of the start that was known, if any. The caller holds
// mu.
func (g *Gateway) recordStart(now clock.Time, old *directory.Server, e directory.Entry) {
	if old != nil && (e.Incarnation != old.Incarnation || e.Address != old.Address) {
		go g.pool.Drop(old.Address)
	}
	removed, wasRemoved := g.removedServers[e.ID]
	switch {
	case old != nil && e.Incarnation > old.Incarnation:
		known := serverStart{old.ID, old.Incarnation}
		g.logEnd(known, "restarted", g.poison.RecordRestart(now, known.hash()))
	case old == nil && wasRemoved && e.Incarnation > removed.incarnation:
		known := serverStart{e.ID, removed.incarnation}
		g.logEnd(known, "restarted", g.poison.RecordRestart(now, known.hash()))
	case old == nil && g.poison.RecordReturn(now, serverStart{e.ID, e.Incarnation}.hash()):
		g.logNoEnd(e.ID, "back")
		g.tellCrashesSoon()
	}
}

// recordLapse records that the entry of a server is gone: nothing more is sent there. The caller holds mu.
func (g *Gateway) recordLapse(now clock.Time, s *directory.Server) {
	go g.pool.Drop(s.Address)
	known := serverStart{s.ID, s.Incarnation}
	if s.Draining || g.servers.SaidLeaving(s) {
		g.poison.RecordLeft(known.hash())
		return
	}
	g.logEnd(known, "lapsed", g.poison.RecordLapse(now, known.hash()))
}

// logEnd logs that a server ended without a broken connection, and how many runs of this instance met
// that, and tells the other instances. The caller holds mu.
func (g *Gateway) logEnd(s serverStart, evidence string, runs int) {
	if runs == 0 {
		return
	}
	g.metrics.silentEnds(evidence).Inc()
	g.log.Warn().Str("server", s.server).Str("evidence", evidence).Int("runs", runs).Msg("crashes: the server ended without a sign")
	g.tellCrashesSoon()
}

func (g *Gateway) logNoEnd(server, evidence string) {
	g.log.Warn().Str("server", server).Str("evidence", evidence).Msg("crashes: the server lives, so it has not ended")
}
