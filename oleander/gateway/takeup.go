package gateway

import (
	"context"
	"slices"
	"time"

	"oleanderdale.org/core/gateway/origin"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// originRound is how long the other instances are given to answer, and originRounds how
	// often they are asked for a stream.
	originRound  = 60 * time.Millisecond
	originRounds = 4
	// unknownRounds is how often all must answer that they do not know it: the message of the
	// instance where it began may be on its way.
	unknownRounds = 2
	// lagMemory is for how long an instance that stood still does not rely on what it knows of the others.
	lagMemory = time.Second
)

// originWait is a wait for the origin of a stream.
type originWait struct {
	awaited  map[string]bool // live instances that did not answer in this round
	answered map[string]bool // in any round
	changed  chan struct{}
}

// findOrigin finds out at which version the stream began that the caller takes up. What nobody
// knows is refused: at another version the caller would get what does not fit.
func (x *exchange) findOrigin() *refusal {
	if !x.route.Resumable || x.lastEventID == "" {
		return nil
	}
	g := x.g
	software, ok := g.soleSoftware(x.group)
	versionless := ok && software == ""
	switch {
	case versionless:
	case x.call.Resumes == "":
		// Its caller may well have read it elsewhere, from servers that this instance can't know while it is out of touch.
		ok = ok && g.seesServers()
	default:
		began, answers, found := g.askOrigin(x.r.Context(), streamOf(x.call.Resumes))
		if found {
			software = began
		}
		ok = found || ok && g.seesServers() && g.knowsAllVersions(answers)
	}
	if !ok {
		g.metrics.originsUnknown.Inc()
		return unavailable(reasonOriginUnknown, retryDelay)
	}
	x.origin = origin.At(software)
	return nil
}

// soleSoftware returns the only version that this instance knew the servers of a group to have
// since the beginning of the oldest stream that may be taken up.
func (g *Gateway) soleSoftware(group string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers.SoleSoftware(boottime.Now(), group, g.takeUpPeriod())
}

// seesServers reports whether this instance knows the versions of all servers at which streams can have begun.
func (g *Gateway) seesServers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	s := origin.Sight{Alone: g.members.Count() == 1, StoreAt: g.serversReadAt, Late: g.lag.Processor(now, now.Add(-lagMemory))}
	if g.watchingServers {
		s.StoreAt = max(s.StoreAt, g.storeAnsweredAt)
	}
	own := g.servers.SoftwareHash()
	for _, m := range g.members.All(now) {
		peer := g.peerStates[m.Name]
		if peer == nil || !m.Live(now) {
			continue
		}
		s.PeerAt = max(s.PeerAt, m.LastHeard)
		s.Differs = s.Differs || peer.versions != 0 && peer.versions != own
	}
	return s.Current(now)
}

// knowsAllVersions reports whether this instance knew the servers all the while, and is in touch
// with the other instances: some answered, or there are none.
func (g *Gateway) knowsAllVersions(answers int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	inTouch := answers > 0 || g.members.Count() == 1
	return inTouch && g.serversComplete && !g.serversStale(now) && now.Sub(g.started) >= g.takeUpPeriod()
}

// askOrigin returns the version at which a stream began, from the own records or from another
// instance, and how many others answered.
func (g *Gateway) askOrigin(ctx context.Context, s origin.Stream) (software string, answers int, found bool) {
	w := &originWait{answered: make(map[string]bool), changed: make(chan struct{}, 1)}
	g.mu.Lock()
	g.originWaits[s] = append(g.originWaits[s], w)
	g.mu.Unlock()
	defer g.endOriginWait(s, w)
	unknown := 0
	for range originRounds {
		out, r, ok := g.beginOriginRound(s, w)
		if ok {
			return r.Software, len(w.answered), true
		}
		g.sendAll(out)
		complete, ok := g.awaitOrigins(ctx, s, w)
		if ok || ctx.Err() != nil {
			break
		}
		if complete {
			unknown++
		}
		if unknown == unknownRounds {
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.origins.Lookup(boottime.Now(), s)
	return r.Software, len(w.answered), ok
}

// beginOriginRound returns the record of a stream, or the messages that ask for it.
func (g *Gateway) beginOriginRound(s origin.Stream, w *originWait) ([]outgoing, origin.Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if r, ok := g.origins.Lookup(now, s); ok {
		return nil, r, true
	}
	message := g.encode(packet{OriginQuery: &originQueryMsg{From: g.settings.Name, Address: g.settings.PeerAddress, Zone: g.settings.Zone, Stream: uint64(s)}})
	var to []recipient
	w.awaited = make(map[string]bool)
	for _, name := range origin.Asked(s, g.settings.Zone, g.otherInstances(now, false)) {
		m := g.members.Get(name)
		to = append(to, g.recipient(m))
		if m.Live(now) {
			w.awaited[name] = true
		}
	}
	if len(to) == 0 {
		return nil, origin.Record{}, false
	}
	return []outgoing{{message: message, recipients: to}}, origin.Record{}, false
}

// awaitOrigins waits for the answers of a round. It returns whether all live instances answered,
// and whether the origin is known.
func (g *Gateway) awaitOrigins(ctx context.Context, s origin.Stream, w *originWait) (complete, found bool) {
	end := time.NewTimer(originRound)
	defer end.Stop()
	for {
		select {
		case <-w.changed:
			g.mu.Lock()
			_, found = g.origins.Lookup(boottime.Now(), s)
			g.mu.Unlock()
			if found {
				return false, true
			}
		case <-end.C:
			g.mu.Lock()
			defer g.mu.Unlock()
			return len(w.awaited) == 0, false
		case <-ctx.Done():
			return false, false
		}
	}
}

func (g *Gateway) endOriginWait(s origin.Stream, w *originWait) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.originWaits[s] = slices.DeleteFunc(g.originWaits[s], func(o *originWait) bool { return o == w })
	if len(g.originWaits[s]) == 0 {
		delete(g.originWaits, s)
	}
}
