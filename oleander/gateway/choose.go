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
	lookAgain = 20 * time.Millisecond
	// lastMoment before its caller leaves a waiting request is refused: no
	// answer could still be in time.
	lastMoment = 150 * time.Millisecond
	// stopMoment before the kill a stopping process refuses what waits, so
	// that it is served elsewhere.
	stopMoment = 3 * time.Second
)

// target is the server that was chosen for an attempt.
type target struct {
	id, address string
}

// choose waits for a server that can run the request and counts the request as
// sent to it.
func (x *exchange) choose() (target, *refusal) {
	g := x.g
	began := boottime.Now()
	defer func() {
		waited := boottime.Now().Sub(began)
		x.queued += waited
		g.metrics.queueWait.Update(waited.Seconds())
	}()
	var key placer.Key
	waiting := false
	defer func() {
		if waiting {
			g.stopWaiting(key)
		}
	}()
	for {
		l, ref := x.look()
		if ref != nil || l.target.id != "" {
			return l.target, ref
		}
		if l.ask != nil {
			t, ref := x.await(l, x.patience(began))
			if ref != nil || t.id != "" {
				return t, ref
			}
			continue
		}
		if !l.full && !waiting {
			key, waiting = x.waitKey(), true
			g.metrics.coldStarts.Inc()
			g.startWaiting(key, x.want())
		}
		paused := boottime.Now()
		ref = x.wait(x.patience(began), l.changed, l.full)
		x.timing.waited(boottime.Now().Sub(paused), l.full)
		// The model that it waited for may be known to be there now; and what a cold server
		// bears is known to whoever chooses for all.
		x.alone = x.alone && l.full && !l.paced
		if ref != nil {
			return target{}, ref
		}
	}
}

// want is this request's part in what waits for its model.
func (x *exchange) want() placer.Want {
	w := placer.Want{Requests: 1, Since: x.arrived, Priority: x.urgency()}
	// An objective that no swap can meet tells nothing of how urgent one is.
	if x.route.LatencyObjective > placer.SwapTypical {
		w.Due = x.arrived.Add(x.route.LatencyObjective)
	}
	return w
}

func (x *exchange) waitKey() placer.Key {
	return placer.Key{Group: x.group, Model: x.call.Model, Adapter: x.call.Adapter, Homes: x.homes}
}

// lookResult is what a request saw when it looked for a server.
type lookResult struct {
	target  target // that was chosen here
	full    bool   // some hold what it needs, and none has room
	paced   bool   // some have room, and bear no more just now
	changed <-chan struct{}
	ask     *asked // the dispatcher chooses
	number  uint64 // of the ask
}

// look looks once. The configuration may have changed since the request
// arrived: a key that was withdrawn or a route that moved counts now.
func (x *exchange) look() (lookResult, *refusal) {
	g := x.g
	if m := g.manifest.Load(); m != x.config {
		if ref := x.resolve(); ref != nil {
			return lookResult{}, ref
		}
		if x.ran == 0 && !x.started {
			x.pickGroup()
		}
	}
	if x.r.Context().Err() != nil {
		return lookResult{}, refusalOf(reasonCallerGone, 0)
	}
	g.mu.Lock()
	v, out, ref := x.lookLocked(boottime.Now())
	g.mu.Unlock()
	g.sendAll(out)
	return v, ref
}

// lookLocked asks the dispatcher if a server has what the request needs, or
// chooses one itself if nobody is to be asked. The caller holds mu.
func (x *exchange) lookLocked(now clock.Time) (lookResult, []outgoing, *refusal) {
	g := x.g
	if now.Reached(x.end) {
		return lookResult{}, nil, refusalOf(reasonTimeout, comeBack)
	}
	c := g.dir.Pick(now, x.need())
	if (c.Server != nil || c.AllFull) && !x.alone {
		if number, a := x.dispatchTo(now); a != nil {
			return lookResult{ask: a, number: number}, x.askServer(now, number, a), nil
		}
	}
	if s := c.Server; s != nil {
		x.timing.choice = c
		g.dir.RequestStarted(now, s.ID, x.call.Model)
		g.placer.AdapterUsed(now, s.ID, x.call.Model, x.call.Adapter)
		return lookResult{target: target{id: s.ID, address: s.Address}}, g.tellLoad(now), nil
	}
	if !c.AllFull {
		if why := x.hopeless(now); why != "" {
			return lookResult{}, nil, refusalOf(why, comeBackLoad)
		}
	}
	return lookResult{full: c.AllFull, paced: c.WarmupLimited, changed: g.changed}, nil, nil
}

// hopeless returns why waiting can't help, or "" if a server of the group could
// come to hold the model. The caller holds mu.
func (x *exchange) hopeless(now clock.Time) reason {
	if x.call.Model == "" {
		return reasonNoServer
	}
	if grp := x.config.Groups[x.group]; grp == nil || grp.Engine == nil || !grp.Engine.HasModel(x.call.Model) {
		return reasonNoModel
	}
	for _, s := range x.g.dir.InGroup(x.group) {
		if s.Usable(now) && x.homes.Allows(s.Region()) {
			return ""
		}
	}
	return reasonNoServer
}

// wait waits for a change, or refuses what can't be served before the caller
// leaves.
func (x *exchange) wait(p outlook.Patience, changed <-chan struct{}, full bool) *refusal {
	now := boottime.Now()
	var until clock.Time
	if full {
		if now.Reached(p.Leaves) {
			return refusalOf(reasonNoRoom, comeBack)
		}
		until = min(p.Leaves, now.Add(lookAgain))
	} else {
		v, ref := x.decide(p)
		if ref != nil {
			return ref
		}
		until = min(v.LookAgain, now.Add(decideEvery))
	}
	t := time.NewTimer(until.Sub(now))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-x.r.Context().Done():
		return refusalOf(reasonCallerGone, 0)
	case <-x.g.refuseWaiting:
		return refusalOf(reasonStopping, comeBack)
	}
	return nil
}

// startWaiting tells the holder of the lease what is wanted.
func (g *Gateway) startWaiting(k placer.Key, w placer.Want) {
	g.mu.Lock()
	old, others := g.waits[k]
	first := !others
	if others {
		w = old.Join(w)
	}
	g.waits[k] = w
	own := g.lease.Holds(boottime.Now())
	g.mu.Unlock()
	switch {
	case !first:
	case own:
		g.poke()
	default:
		g.sendBeat(toHolder)
	}
}

func (g *Gateway) stopWaiting(k placer.Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, ok := g.waits[k]
	if !ok {
		return
	}
	if w.Requests--; w.Requests > 0 {
		g.waits[k] = w
	} else {
		delete(g.waits, k)
	}
}

// ended counts the end of an attempt.
func (g *Gateway) ended(server, model string, o directory.Outcome) {
	g.mu.Lock()
	now := boottime.Now()
	g.dir.RequestEnded(now, server, model, o)
	out := g.tellEnd(now, server, o)
	g.mu.Unlock()
	g.sendAll(out)
}
