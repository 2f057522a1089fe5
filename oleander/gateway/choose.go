package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/outlook"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/core/gateway/reservation"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// allFullRecheck is when a request that found all servers full checks again.
	allFullRecheck = 20 * time.Millisecond
	// refusalLead is how long before its caller leaves a waiting request is refused:
	// an answer could no longer be in time.
	refusalLead = 150 * time.Millisecond
	// rateLimitedWait is how long a request waits for a dispatcher while only the
	// dispatcher may send to the servers that could run it: a silent one is asked again
	// or replaced within this time.
	rateLimitedWait = time.Second
)

// target is the server chosen for an attempt.
type target struct {
	id, address string
	incarnation int64
	software    string
	prefill     directory.Prefill
}

func (t target) start() serverStart { return serverStart{t.id, t.incarnation} }

func newTarget(s *directory.Server) target {
	return target{id: s.ID, address: s.Address, incarnation: s.Incarnation, software: s.Software}
}

// chooseServer waits for a server that can run the request and counts the request as
// sent to it.
func (x *exchange) chooseServer() (target, *refusal) {
	for {
		t, ref := x.awaitServer()
		if ref != nil || x.origin.Allows(t.software) {
			return t, ref
		}
		// A dispatcher of an earlier version does not know what the stream requires.
		x.returnTarget(t)
		x.leaveOut(t.id)
	}
}

// awaitServer is chooseServer, but for a server of another version than the stream requires.
func (x *exchange) awaitServer() (target, *refusal) {
	g := x.g
	began := boottime.Now()
	defer func() {
		waited := boottime.Now().Sub(began)
		x.queueTime += waited
		g.metrics.queueWait.Update(waited.Seconds())
	}()
	var demandKey placer.Key
	waiting := false
	limitedSince := clock.Never // since when only rate limits delay the request
	defer func() {
		if waiting {
			g.removeLocalDemand(demandKey)
		}
	}()
	for {
		s, ref := x.selectServer()
		if ref != nil || s.target.id != "" {
			return s.target, ref
		}
		if s.query != nil {
			t, ref := x.awaitDispatcher(s, x.waitWindow(began))
			if ref != nil || t.id != "" {
				return t, ref
			}
			continue
		}
		if !s.allFull && !waiting {
			demandKey, waiting = x.placementKey(), true
			g.metrics.coldStarts.Inc()
			g.addLocalDemand(demandKey, x.demand())
		}
		waitedFrom := boottime.Now()
		window := x.waitWindow(began)
		switch {
		case !s.rateLimited:
			limitedSince = clock.Never
		case limitedSince == clock.Never:
			limitedSince = waitedFrom
		}
		window.End = min(window.End, limitedSince.Add(rateLimitedWait))
		ref = x.waitForChange(window, s.changed, s.allFull)
		x.timing.addWait(boottime.Now().Sub(waitedFrom), s.allFull)
		// After a wait for a model the dispatcher may know a server that has it.
		// After a wait for a server with a rate limit, only the dispatcher knows the
		// fleet's use of that server.
		x.chooseLocally = x.chooseLocally && s.allFull && !s.rateLimited
		if ref != nil {
			return target{}, ref
		}
	}
}

// demand describes the request as part of the demand for its model.
func (x *exchange) demand() placer.Demand {
	d := placer.Demand{Requests: 1, Since: x.arrived, Priority: x.priority()}
	// An objective shorter than a swap says nothing about the urgency of one.
	if x.route.LatencyObjective > placer.TypicalSwapTime {
		d.ObjectiveDeadline = x.arrived.Add(x.route.LatencyObjective)
	}
	return d
}

func (x *exchange) placementKey() placer.Key {
	return placer.Key{Group: x.group, Model: x.call.Model, Adapter: x.call.Adapter, AllowedRegions: x.allowedRegions, Origin: x.required}
}

// selection is the result of one attempt to select a server.
type selection struct {
	target      target // chosen locally
	allFull     bool   // servers have the model, but no free slot
	rateLimited bool   // servers have a free slot, but a rate that allows no request now
	changed     <-chan struct{}
	query       *pendingQuery // the dispatcher chooses
	number      uint64        // of query
}

// selectServer tries once to select a server. It follows configuration changes since
// the request arrived, such as a withdrawn key or a moved route.
func (x *exchange) selectServer() (selection, *refusal) {
	g := x.g
	if x.config != g.manifest.Load() {
		if ref := x.followConfig(); ref != nil {
			return selection{}, ref
		}
		if x.possibleRuns == 0 && !x.responseStarted {
			x.pickGroup()
		}
	}
	if x.r.Context().Err() != nil {
		return selection{}, x.contextRefusal()
	}
	g.mu.Lock()
	s, out, ref := x.selectServerLocked(boottime.Now())
	g.mu.Unlock()
	g.sendAll(out)
	return s, ref
}

// followConfig finds the route and the account in a new configuration, by which the request may not run again.
func (x *exchange) followConfig() *refusal {
	if ref := x.resolve(); ref != nil {
		return ref
	}
	if !x.mayRunAgain() {
		return x.finalRefusal()
	}
	return nil
}

// selectServerLocked asks the dispatcher, or the instance's own queues, if some server has what
// the request needs, or chooses one locally if there is neither to ask. The caller holds mu.
func (x *exchange) selectServerLocked(now clock.Time) (selection, []outgoing, *refusal) {
	g := x.g
	if now.Reached(x.deadline) {
		return selection{}, nil, unavailable(reasonTimeout, retryDelay)
	}
	req := x.requirements(now)
	c := g.servers.Pick(now, req)
	if c.Server == nil && !c.AllFull && x.returnToBroken() {
		req = x.requirements(now)
		c = g.servers.Pick(now, req)
	}
	if (c.Server != nil || c.AllFull) && !x.chooseLocally {
		if number, q := x.beginQuery(now, c); q != nil {
			return selection{query: q, number: number}, x.queryMessages(now, number, q), nil
		}
	}
	if s := c.Server; s != nil {
		x.recordChoice(c)
		g.metrics.pauseChoice(c.Pauses)
		t := newTarget(s)
		g.servers.RequestStarted(now, s.ID, x.call.Model)
		t.prefill = g.servers.StartPrefill(now, s.ID, g.servers.SendPrompt(s.ID, req.Prompt()), req.PauseObjective)
		g.placer.RecordAdapterUse(now, s.ID, x.call.Model, x.call.Adapter)
		return selection{target: t}, g.loadMessages(now), nil
	}
	if ends, resting := g.servers.RestEnds(now, req, x.leftOut(now)); resting && !c.AllFull {
		if wait, ref := x.awaitRest(now, ends); wait || ref != nil {
			return selection{allFull: true, changed: g.stateChanged}, nil, ref
		}
	}
	if !c.AllFull {
		if why := x.unservableReason(now); why != "" {
			return selection{}, nil, unavailable(why, loadRetryDelay)
		}
	}
	if limit := x.maxSlotWait(now); limit > 0 && c.Pace.Next > limit {
		return selection{}, nil, unavailable(reasonServersLimited, spreadRetry(c.Pace.Next))
	}
	return selection{allFull: c.AllFull, rateLimited: c.RateLimited, changed: g.stateChanged}, nil, nil
}

// returnToBroken lets a stream that has begun go on at the servers where it broke, once, and reports
// whether there are any. No other one has what it needs, and to load that takes longer than its
// caller waits for an event. A server that crashed refuses the connection.
func (x *exchange) returnToBroken() bool {
	if _, leftOut := x.excluded[x.broken]; !x.responseStarted || !leftOut {
		return false
	}
	delete(x.excluded, x.broken)
	x.broken = ""
	return true
}

// recordChoice records the choice of a server for an attempt.
func (x *exchange) recordChoice(c directory.Choice) {
	x.timing.choice = c
	x.g.metrics.cachedTokens.Add(c.CachedTokens)
}

// recordReturn records what the dispatcher said of the caller's return; each status counts once.
func (x *exchange) recordReturn(known *reservation.Status, place returnPlace, s reservation.Status) {
	if s == reservation.New || s == *known {
		return
	}
	*known = s
	x.g.metrics.recordReturn(place, s)
}

// unservableReason returns why waiting is useless, or "" if some server of the group
// could load the model. The caller holds mu.
func (x *exchange) unservableReason(now clock.Time) reason {
	if x.call.Model == "" {
		return reasonNoServer
	}
	if group := x.config.Groups[x.group]; group == nil || group.Engine == nil || !group.Engine.HasModel(x.call.Model) {
		return reasonUnknownModel
	}
	why := reasonNoServer
	for _, s := range x.g.servers.InGroup(x.group) {
		switch {
		case !s.Usable(now) || !x.allowedRegions.Allows(s.Region()):
		case x.origin.Allows(s.Software):
			return ""
		default:
			why = reasonNoSoftware
		}
	}
	return why
}

// waitForChange waits until the request should select again, and refuses a request
// that cannot be served before its caller leaves.
//
// A request that waits here for a slot takes the first one that it finds, until the end of the
// window, whatever its due time, priority and account. With load scheduling, these are only the
// requests for which the dispatcher found no server or that rate limits of servers delay; the
// others wait in the queues of the dispatcher, or in the instance's own ones without it.
func (x *exchange) waitForChange(window outlook.WaitWindow, changed <-chan struct{}, full bool) *refusal {
	now := boottime.Now()
	var until clock.Time
	if full {
		if now.Reached(window.End) {
			return unavailable(reasonNoFreeSlot, retryDelay)
		}
		until = min(window.End, now.Add(allFullRecheck))
	} else {
		v, ref := x.decideWait(window)
		if ref != nil {
			return ref
		}
		until = min(v.RecheckAt, now.Add(decideInterval))
	}
	t := time.NewTimer(until.Sub(now))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-x.r.Context().Done():
		return x.contextRefusal()
	case <-x.stopSignal():
		return unavailable(reasonStopping, retryDelay)
	}
	return nil
}

// addLocalDemand adds to the demand for a model and reports new demand to the planner.
func (g *Gateway) addLocalDemand(k placer.Key, d placer.Demand) {
	g.mu.Lock()
	old, waiting := g.localDemand[k]
	first := !waiting
	if waiting {
		d = old.Merge(d)
	}
	g.localDemand[k] = d
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

func (g *Gateway) removeLocalDemand(k placer.Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.localDemand[k]
	if !ok {
		return
	}
	if d.Requests--; d.Requests > 0 {
		g.localDemand[k] = d
	} else {
		delete(g.localDemand, k)
	}
}

// attemptEnded counts the end of an attempt.
func (g *Gateway) attemptEnded(server, model string, o directory.Outcome) {
	g.mu.Lock()
	now := boottime.Now()
	g.servers.RequestEnded(now, server, model, o)
	out := g.endedMessages(now, server, o, nil)
	g.mu.Unlock()
	g.sendAll(out)
}
