package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/outlook"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// lookAgain is when a request that found all servers full looks again.
	allFullRecheck = 20 * time.Millisecond
	// lastMoment before its caller leaves a waiting request is refused: no
	// answer could still be in time.
	refusalLead = 150 * time.Millisecond
	// stopMoment before the kill a stopping process refuses what waits, so
	// that it is served elsewhere.
	stopRefusalLead = 3 * time.Second
)

// target is the server that was chosen for an attempt.
type target struct {
	id, address string
}

// choose waits for a server that can run the request and counts the request as
// sent to it.
func (x *exchange) chooseServer() (target, *refusal) {
	g := x.g
	began := boottime.Now()
	defer func() {
		waited := boottime.Now().Sub(began)
		x.queueTime += waited
		g.metrics.queueWait.Update(waited.Seconds())
	}()
	var key placer.Key
	waiting := false
	defer func() {
		if waiting {
			g.removeWant(key)
		}
	}()
	for {
		l, ref := x.selectServer()
		if ref != nil || l.target.id != "" {
			return l.target, ref
		}
		if l.ask != nil {
			t, ref := x.awaitDispatcher(l, x.patience(began))
			if ref != nil || t.id != "" {
				return t, ref
			}
			continue
		}
		if !l.allFull && !waiting {
			key, waiting = x.placementKey(), true
			g.metrics.coldStarts.Inc()
			g.addWant(key, x.want())
		}
		paused := boottime.Now()
		ref = x.waitForChange(x.patience(began), l.changed, l.allFull)
		x.timing.addWait(boottime.Now().Sub(paused), l.allFull)
		// The model that it waited for may be known to be there now; and what a cold server
		// bears is known to whoever chooses for all.
		x.chooseLocally = x.chooseLocally && l.allFull && !l.warmupLimited
		if ref != nil {
			return target{}, ref
		}
	}
}

// want is this request's part in what waits for its model.
func (x *exchange) want() placer.Want {
	w := placer.Want{Requests: 1, Since: x.arrived, Priority: x.priority()}
	// An objective that no swap can meet tells nothing of how urgent one is.
	if x.route.Objective > placer.SwapTypical {
		w.Due = x.arrived.Add(x.route.Objective)
	}
	return w
}

func (x *exchange) placementKey() placer.Key {
	return placer.Key{Group: x.group, Model: x.call.Model, Adapter: x.call.Adapter, Homes: x.homes}
}

// lookResult is what a request saw when it looked for a server.
type selection struct {
	target        target // that was chosen here
	allFull       bool   // some hold what it needs, and none has room
	warmupLimited bool   // some have room, and bear no more just now
	changed       <-chan struct{}
	ask           *pendingAsk // the dispatcher chooses
	number        uint64      // of the ask
}

// look looks once. The configuration may have changed since the request
// arrived: a key that was withdrawn or a route that moved counts now.
func (x *exchange) selectServer() (selection, *refusal) {
	g := x.g
	if m := g.manifest.Load(); m != x.config {
		if ref := x.resolve(); ref != nil {
			return selection{}, ref
		}
		if x.possibleRuns == 0 && !x.responseStarted {
			x.pickGroup()
		}
	}
	if x.r.Context().Err() != nil {
		return selection{}, unavailable(reasonCallerGone, 0)
	}
	g.mu.Lock()
	v, out, ref := x.selectServerLocked(boottime.Now())
	g.mu.Unlock()
	g.sendAll(out)
	return v, ref
}

// lookLocked asks the dispatcher if a server has what the request needs, or
// chooses one itself if nobody is to be asked. The caller holds mu.
func (x *exchange) selectServerLocked(now clock.Time) (selection, []outgoing, *refusal) {
	g := x.g
	if now.Reached(x.deadline) {
		return selection{}, nil, unavailable(reasonTimeout, retryDelay)
	}
	c := g.servers.Pick(now, x.need())
	if (c.Server != nil || c.Full) && !x.chooseLocally {
		if number, a := x.beginAsk(now); a != nil {
			return selection{ask: a, number: number}, x.askMessages(now, number, a), nil
		}
	}
	if s := c.Server; s != nil {
		x.timing.choice = c
		g.servers.Started(now, s.ID, x.call.Model)
		g.placer.AdapterUsed(now, s.ID, x.call.Model, x.call.Adapter)
		return selection{target: target{id: s.ID, address: s.Address}}, g.loadMessages(now), nil
	}
	if !c.Full {
		if why := x.unservableReason(now); why != "" {
			return selection{}, nil, unavailable(why, loadRetryDelay)
		}
	}
	return selection{allFull: c.Full, warmupLimited: c.Paced, changed: g.stateChanged}, nil, nil
}

// hopeless returns why waiting can't help, or "" if a server of the group could
// come to hold the model. The caller holds mu.
func (x *exchange) unservableReason(now clock.Time) reason {
	if x.call.Model == "" {
		return reasonNoServer
	}
	if grp := x.config.Groups[x.group]; grp == nil || grp.Engine == nil || !grp.Engine.Knows(x.call.Model) {
		return reasonNoModel
	}
	for _, s := range x.g.servers.All(x.group) {
		if s.Usable(now) && x.homes.Has(s.Region()) {
			return ""
		}
	}
	return reasonNoServer
}

// wait waits for a change, or refuses what can't be served before the caller
// leaves.
func (x *exchange) waitForChange(p outlook.Patience, changed <-chan struct{}, full bool) *refusal {
	now := boottime.Now()
	var until clock.Time
	if full {
		if now.Reached(p.Leaves) {
			return unavailable(reasonNoRoom, retryDelay)
		}
		until = min(p.Leaves, now.Add(allFullRecheck))
	} else {
		v, ref := x.decideWait(p)
		if ref != nil {
			return ref
		}
		until = min(v.LookAgain, now.Add(decideInterval))
	}
	t := time.NewTimer(until.Sub(now))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-x.r.Context().Done():
		return unavailable(reasonCallerGone, 0)
	case <-x.g.refuseQueued:
		return unavailable(reasonStopping, retryDelay)
	}
	return nil
}

// startWaiting tells the holder of the lease what is wanted.
func (g *Gateway) addWant(k placer.Key, w placer.Want) {
	g.mu.Lock()
	old, others := g.localWants[k]
	first := !others
	if others {
		w = old.Join(w)
	}
	g.localWants[k] = w
	own := g.fleetLease.Holds(boottime.Now())
	g.mu.Unlock()
	switch {
	case !first:
	case own:
		g.triggerHousekeeping()
	default:
		g.sendHeartbeat(audienceHolder)
	}
}

func (g *Gateway) removeWant(k placer.Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, ok := g.localWants[k]
	if !ok {
		return
	}
	if w.Requests--; w.Requests > 0 {
		g.localWants[k] = w
	} else {
		delete(g.localWants, k)
	}
}

// ended counts the end of an attempt.
func (g *Gateway) attemptEnded(server, model string, o directory.Outcome) {
	g.mu.Lock()
	now := boottime.Now()
	g.servers.Ended(now, server, model, o)
	out := g.endMessages(now, server, o)
	g.mu.Unlock()
	g.sendAll(out)
}
